"""coordination: how many requests the servers of a model group are given.

All ranks of a group run each pass together, and a pass takes longer with each stream
that it writes. Shortly before the slots are full the events of all streams can come
later than callers accept; a few streams fewer are then all in time.
"""

from dataclasses import dataclass

# Requests that may wait at a server beyond its slots, as a share of its slots: a few
# keep the server busy between two requests, more of them only wait.
QUEUE_SHARE = 0.2
MOST_SHARE = 1.0 + QUEUE_SHARE
# Fewer streams shorten a pass by little more than a quarter; the steps of a pass and
# the work of the most loaded expert remain.
LEAST_SHARE = 0.6
# Parts of the accepted gap above which the share falls, and below which it grows. A
# stream is late as soon as one of its gaps is, so the usual gap stays some below it.
HIGH_GAP = 0.95
LOW_GAP = 0.88
# A group this much slower than accepted has a slow rank; fewer streams would not make
# them timely, and more are served late.
SLOW_RANK_GAP = 1.4
# The gap follows a change of the share within a second or two, as streams end.
ADJUST_SECONDS = 0.5
FALL = 0.06
GROWTH = 0.02


@dataclass(slots=True)
class _Pace:
    share: float
    adjusted_at: float


class PaceLimit:
    """Adjust the share of its slots that each group is given to its gaps."""

    __slots__ = ("_pace_by_group",)

    def __init__(self) -> None:
        self._pace_by_group: dict[str, _Pace] = {}

    def share(self, group: str | None) -> float:
        """Return the requests that a server of a group may have, per slot."""
        pace = self._pace_by_group.get(group) if group else None
        return pace.share if pace else MOST_SHARE

    def adjust(
        self,
        group: str,
        gap: float | None,
        accepted_gap: float,
        now: float,
    ) -> bool:
        """Take in the usual gap of a group; return whether its share has changed.

        :param gap: seconds between events, none if nothing is known of late.
        :param accepted_gap: longest timely gap, 0 if callers accept any.
        """
        if gap is None or accepted_gap <= 0.0 or gap > SLOW_RANK_GAP * accepted_gap:
            return self._pace_by_group.pop(group, None) is not None
        pace = self._pace_by_group.get(group)
        if pace is None:
            if gap <= HIGH_GAP * accepted_gap:
                return False
            self._pace_by_group[group] = _Pace(1.0, now)
            return True
        if now - pace.adjusted_at < ADJUST_SECONDS:
            return False
        pace.adjusted_at = now
        before = pace.share
        if gap > HIGH_GAP * accepted_gap:
            pace.share = max(LEAST_SHARE, pace.share - FALL)
        elif gap < LOW_GAP * accepted_gap:
            pace.share += GROWTH
        if pace.share >= MOST_SHARE:
            del self._pace_by_group[group]
        return pace.share != before

    def retain(self, groups: set[str]) -> None:
        """Forget groups that are gone."""
        for name in [name for name in self._pace_by_group if name not in groups]:
            del self._pace_by_group[name]
