"""coordination: adaptive concurrency limit of the servers of a model group.

All ranks of a group run each pass together, and a pass takes longer with each stream
that it serves. When nearly all slots are taken, the events of all streams can be later
than callers accept, whereas with a few streams fewer all of them are in time.
"""

from dataclasses import dataclass

# Requests that may queue at a server beyond its slots, as a fraction of its slots. A
# few prevent idle slots between two requests; more would only wait.
QUEUE_SHARE = 0.2
MOST_SHARE = 1.0 + QUEUE_SHARE
# Lower bound of the share. Fewer streams shorten a pass by little more than a quarter,
# because the steps of a pass and the work of the most loaded expert remain.
LEAST_SHARE = 0.6
# Fractions of the accepted event interval above which the share is decreased and below
# which it is increased. They are below 1 because a stream counts as late as soon as one
# of its events is, so that the typical interval has to stay below the accepted one.
HIGH_GAP = 0.95
LOW_GAP = 0.88
# A group whose interval exceeds the accepted one by this factor has a slow rank. A
# limit would not make its streams timely, so it serves more of them late instead.
SLOW_RANK_GAP = 1.4
# Minimum time between adjustments. The interval follows a change of the share within a
# second or two, as streams end.
ADJUST_SECONDS = 0.5
FALL = 0.06
GROWTH = 0.02


@dataclass(slots=True)
class _Pace:
    share: float
    adjusted_at: float


class PaceLimit:
    """Adjust the share of slots that each group may use to its event interval."""

    __slots__ = ("_pace_by_group",)

    def __init__(self) -> None:
        self._pace_by_group: dict[str, _Pace] = {}

    def share(self, group: str | None) -> float:
        """Return the maximum number of requests per slot of a server in a group."""
        pace = self._pace_by_group.get(group) if group else None
        return pace.share if pace else MOST_SHARE

    def adjust(
        self,
        group: str,
        gap: float | None,
        accepted_gap: float,
        now: float,
    ) -> bool:
        """Update the share of a group and return whether it has changed.

        :param gap: typical seconds between events of a stream, none if there
            is no recent value.
        :param accepted_gap: longest interval that callers accept, 0 for no limit.
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
        """Remove the limits of all other groups."""
        for name in [name for name in self._pace_by_group if name not in groups]:
            del self._pace_by_group[name]
