"""coordination: adaptive concurrency limit of the servers of a model group.

All ranks of a group run each pass together, and a pass takes longer with each stream
that it serves. When nearly all slots are taken, the events of all streams can be later
than callers accept, whereas with a few streams fewer all of them are in time.
"""

from dataclasses import dataclass

# Requests that may queue at a server beyond its slots, as a fraction of its slots. A
# few prevent idle slots between two requests; more would only wait.
QUEUE_SHARE = 0.2
MAX_SLOT_SHARE = 1.0 + QUEUE_SHARE
# Lower bound of the share. Fewer streams shorten a pass by little more than a quarter,
# because the steps of a pass and the work of the most loaded expert remain.
MIN_SLOT_SHARE = 0.6
# Fractions of the accepted event interval above which the share is decreased and below
# which it is increased. They are below 1 because a stream counts as late as soon as one
# of its events is, so that the typical interval has to stay below the accepted one.
HIGH_INTERVAL_RATIO = 0.95
LOW_INTERVAL_RATIO = 0.88
# A group whose interval exceeds the accepted one by this factor has a slow rank. A
# limit would not make its streams timely, so it serves more of them late instead.
SLOW_RANK_INTERVAL_RATIO = 1.4
# Minimum time between adjustments. The interval follows a change of the share within a
# second or two, as streams end.
ADJUST_INTERVAL_SECONDS = 0.5
SHARE_DECREASE = 0.06
SHARE_INCREASE = 0.02


@dataclass(slots=True)
class _GroupLimit:
    slot_share: float
    adjusted_at: float


class AdaptiveConcurrencyLimit:
    """Adjust the share of slots that each group may use to its event interval."""

    __slots__ = ("_limit_by_group",)

    def __init__(self) -> None:
        self._limit_by_group: dict[str, _GroupLimit] = {}

    def slot_share(self, group: str | None) -> float:
        """Return the maximum number of requests per slot of a server in a group."""
        limit = self._limit_by_group.get(group) if group else None
        return limit.slot_share if limit else MAX_SLOT_SHARE

    def adjust(
        self,
        group: str,
        event_interval: float | None,
        max_event_interval: float,
        now: float,
    ) -> bool:
        """Update the share of a group and return whether it has changed.

        :param event_interval: typical seconds between events of a stream, none if there
            is no recent value.
        :param max_event_interval: longest interval that callers accept, 0 for no limit.
        """
        if (
            event_interval is None
            or max_event_interval <= 0.0
            or event_interval > SLOW_RANK_INTERVAL_RATIO * max_event_interval
        ):
            return self._limit_by_group.pop(group, None) is not None
        limit = self._limit_by_group.get(group)
        if limit is None:
            if event_interval <= HIGH_INTERVAL_RATIO * max_event_interval:
                return False
            self._limit_by_group[group] = _GroupLimit(1.0, now)
            return True
        if now - limit.adjusted_at < ADJUST_INTERVAL_SECONDS:
            return False
        limit.adjusted_at = now
        previous_share = limit.slot_share
        if event_interval > HIGH_INTERVAL_RATIO * max_event_interval:
            limit.slot_share = max(MIN_SLOT_SHARE, limit.slot_share - SHARE_DECREASE)
        elif event_interval < LOW_INTERVAL_RATIO * max_event_interval:
            limit.slot_share += SHARE_INCREASE
        if limit.slot_share >= MAX_SLOT_SHARE:
            del self._limit_by_group[group]
        return limit.slot_share != previous_share

    def retain(self, groups: set[str]) -> None:
        """Remove the limits of all other groups."""
        for name in [name for name in self._limit_by_group if name not in groups]:
            del self._limit_by_group[name]
