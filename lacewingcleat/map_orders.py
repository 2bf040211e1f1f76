"""state: orders that change a group's expert map, and the ranks' answers and states."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Copy the expert replicas that a map needs, without using the map yet.

    :param experts: experts of each rank, by set and rank.
    """

    version: int
    experts: tuple[tuple[tuple[int, ...], ...], ...]


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Switch to a prepared map at the start of a pass.

    :param step: number of the pass.
    """

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Cancel an armed switch; has no effect if the version is not armed."""

    version: int


@dataclass(frozen=True, slots=True)
class HoldPass:
    """Block the start of a pass of the group until the pass is released."""

    step: int


@dataclass(frozen=True, slots=True)
class ReleasePass:
    """Allow a held pass to start."""

    step: int


MapOrder = PrepareMap | ArmMap | DisarmMap | HoldPass | ReleasePass


@dataclass(frozen=True, slots=True)
class GroupOrder:
    """Attach to an order the formation of the group for which it is meant.

    :param epoch: ranks refuse the order if their group has formed again since.
    """

    order: MapOrder
    epoch: int


class OrderAnswer(Enum):
    """Represent a rank's answer to an order; `UNKNOWN` if there was none."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RankMapState:
    """Represent the state of a rank's expert map as the rank reports it.

    :param step: the last pass that has started.
    :param map_version: map version in use.
    :param prepared_version: map version that is prepared, or None.
    :param armed_version: map version that is armed, or None.
    :param held_step: pass that is held, or None.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared_version: int | None
    armed_version: int | None
    held_step: int | None
