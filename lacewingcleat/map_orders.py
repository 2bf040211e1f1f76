"""state: orders that change a group's expert map, and what ranks say of them."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Copy what a map needs and keep it ready.

    :param experts: by set and rank.
    """

    version: int
    experts: tuple[tuple[tuple[int, ...], ...], ...]


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Switch to a prepared map as a pass begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class DisarmMap:
    """Take an armed switch back; does nothing if the version is not armed."""

    version: int


@dataclass(frozen=True, slots=True)
class HoldPass:
    """Keep the group from beginning a pass until it is released."""

    step: int


@dataclass(frozen=True, slots=True)
class ReleasePass:
    """Release a pass that was held."""

    step: int


MapOrder = PrepareMap | ArmMap | DisarmMap | HoldPass | ReleasePass


@dataclass(frozen=True, slots=True)
class FencedOrder:
    """Give an order in an epoch with a fencing token.

    :param token: ranks refuse orders with a lower token than they have seen.
    """

    order: MapOrder
    epoch: int
    token: int


class OrderAnswer(Enum):
    """Say what a rank answered to an order."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RankMapState:
    """Hold what a rank says of its map.

    :param step: the last pass that was begun.
    :param map_version: version in use.
    :param prepared_version: version that is ready.
    :param armed_version: version that is armed, none if there is none.
    :param held_step: pass that is held, none if there is none.
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
