"""coordination: whether a group's replicas should follow the demand on its experts."""

from dataclasses import dataclass

from lacewingcleat.replica_placement import (
    MapShape,
    RankExperts,
    first_map,
    improve_replicas,
    skew,
)

# A new map must lower the mean skew of the sets by this much: a switch costs orders,
# copies and a second of passes that take 15 in 100 longer.
MIN_SKEW_GAIN = 0.35
# Choices behind the estimate below which it is mostly chance.
MIN_CHOICES = 400.0
# Maps are changed only for groups whose events come later than this share of the
# pause that callers accept: an idle group gains nothing that its callers notice.
BUSY_GAP_SHARE = 0.58
# Pause after a switch or an attempt at one.
PAUSE_SECONDS = 4.0
# Pause after an attempt that failed; doubles up to the second figure.
BACKOFF_SECONDS = (2.0, 20.0)


def is_worthwhile(gap_seconds: float | None, target_gap_seconds: float) -> bool:
    """Return whether a group is so busy that a better map would serve its callers.

    :param gap_seconds: usual gap between events of its streams, none without streams.
    :param target_gap_seconds: gap that callers accept, 0 if they do not say.
    """
    if gap_seconds is None:
        return False
    return gap_seconds >= BUSY_GAP_SHARE * target_gap_seconds


@dataclass(frozen=True, slots=True)
class ReplicaPlan:
    """Propose a map.

    :param experts: by set and rank.
    :param skew_before: mean skew of the sets under the present map.
    :param skew_after: the same under the proposed one.
    :param copies: experts that ranks have to copy.
    """

    experts: tuple[tuple[tuple[int, ...], ...], ...]
    skew_before: float
    skew_after: float
    copies: int


class ReplicaPlanner:
    """Keep the present map of a group and propose better ones.

    :param shape: what maps of the group look like.
    """

    __slots__ = ("_backoff", "_next_at", "_shape", "current", "version")

    def __init__(self, shape: MapShape, now: float) -> None:
        self._shape = shape
        self._next_at = now
        self._backoff = BACKOFF_SECONDS[0]
        self.version = 0
        self.current: list[RankExperts] = first_map(shape)

    def adopt(self, version: int, experts: list[RankExperts]) -> None:
        """Take over the map that the ranks use."""
        self.version = version
        self.current = experts

    def plan(self, loads: list[list[float]], now: float) -> ReplicaPlan | None:
        """Return a map that is worth a switch."""
        if now < self._next_at or sum(loads[0]) < MIN_CHOICES:
            return None
        proposed = [
            improve_replicas(held, load, self._shape)
            for held, load in zip(self.current, loads, strict=True)
        ]
        before = _mean_skew(self.current, loads)
        after = _mean_skew(proposed, loads)
        if before - after < MIN_SKEW_GAIN:
            return None
        copies = sum(
            len(new - old)
            for held, kept in zip(proposed, self.current, strict=True)
            for new, old in zip(held, kept, strict=True)
        )
        experts = tuple(
            tuple(tuple(sorted(rank)) for rank in held) for held in proposed
        )
        return ReplicaPlan(experts, before, after, copies)

    def record_switch(self, version: int, plan: ReplicaPlan, now: float) -> None:
        """Take in that the group uses a proposed map."""
        self.adopt(version, [[set(rank) for rank in held] for held in plan.experts])
        self._next_at = now + PAUSE_SECONDS
        self._backoff = BACKOFF_SECONDS[0]

    def record_failure(self, now: float) -> None:
        """Take in that a switch did not come about."""
        self._next_at = now + self._backoff
        self._backoff = min(BACKOFF_SECONDS[1], self._backoff * 2.0)


def _mean_skew(held: list[RankExperts], loads: list[list[float]]) -> float:
    found = [skew(one, load) for one, load in zip(held, loads, strict=True)]
    return sum(found) / len(found)
