"""coordination: how many requests the servers of a model group are given.

All ranks of a group run each pass together, and a pass takes longer with each stream
that it writes. Shortly before the slots are full the events of all streams can come
later than callers accept; a few streams fewer are then all in time.
"""

from dataclasses import dataclass

# Requests that may wait at a server beyond its slots, as a share of its slots: a few
# keep the server busy between two requests, more of them only wait.
QUEUE_SHARE = 0.2
MAX_SLOT_SHARE = 1.0 + QUEUE_SHARE
# Fewer streams shorten a pass by little more than a quarter; the steps of a pass and
# the work of the most loaded expert remain.
MIN_SLOT_SHARE = 0.6
# Parts of the accepted gap above which the share falls, and below which it grows. A
# stream is late as soon as one of its gaps is, so the usual gap stays some below it.
HIGH_INTERVAL_RATIO = 0.95
LOW_INTERVAL_RATIO = 0.88
# A group this much slower than accepted has a slow rank; fewer streams would not make
# them timely, and more are served late.
SLOW_RANK_INTERVAL_RATIO = 1.4
# The gap follows a change of the share within a second or two, as streams end.
ADJUST_INTERVAL_SECONDS = 0.5
SHARE_DECREASE = 0.06
SHARE_INCREASE = 0.02


@dataclass(slots=True)
class _GroupLimit:
    slot_share: float
    adjusted_at: float


class AdaptiveConcurrencyLimit:
    """Adjust the share of its slots that each group is given to its gaps."""

    __slots__ = ("_limit_by_group",)

    def __init__(self) -> None:
        self._limit_by_group: dict[str, _GroupLimit] = {}

    def slot_share(self, group: str | None) -> float:
        """Return the requests that a server of a group may have, per slot."""
        limit = self._limit_by_group.get(group) if group else None
        return limit.slot_share if limit else MAX_SLOT_SHARE

    def adjust(
        self,
        group: str,
        event_interval: float | None,
        max_event_interval: float,
        now: float,
    ) -> bool:
        """Take in the usual gap of a group; return whether its share has changed.

        :param event_interval: seconds between events, none if nothing is known of late.
        :param max_event_interval: longest timely gap, 0 if callers accept any.
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
        """Forget groups that are gone."""
        for name in [name for name in self._limit_by_group if name not in groups]:
            del self._limit_by_group[name]
