"""coordination: adaptive concurrency limit of the servers of a model group.

Answers groups under more load than they can serve in time. All ranks of a group run
each pass together, and a pass takes longer with each stream that it serves. A stream is
late as soon as one of its events is, so one long pass makes all streams of the group
late, however short the others are. Late streams also last longer, so more of them run
at the same time: a group that is once too full stays slow under the same load, although
it would be fast with a few streams fewer.

The limit therefore follows the longest recent passes, not the typical one. A group that
has just formed starts with a moderate share, since its first map ignores the demand and
nothing is known of its passes; while they are short, the share grows fast.
"""

from dataclasses import dataclass

# Requests that may queue at a server beyond its slots, as a fraction of its slots. A
# few prevent idle slots between two requests; more would only wait.
QUEUE_SHARE = 0.2
MAX_SLOT_SHARE = 1.0 + QUEUE_SHARE
# Share of a group that has just formed.
INITIAL_SLOT_SHARE = 0.7
# Lower bound of the share. With fewer streams the fixed part of a pass dominates, so
# refusing more of them would make the remaining ones hardly faster.
MIN_SLOT_SHARE = 0.5
# Fractions of the accepted event interval between which the longest intervals are kept.
HIGH_INTERVAL_RATIO = 0.9
LOW_INTERVAL_RATIO = 0.82
# A group whose typical interval exceeds the accepted one by this factor has a slow
# rank. A limit would not make its streams timely, so it serves more of them late.
SLOW_RANK_INTERVAL_RATIO = 1.5
# Minimum time between adjustments.
ADJUST_INTERVAL_SECONDS = 0.5
# Largest decrease in one adjustment, as a factor, and increase of the share.
MAX_DECREASE_FACTOR = 0.8
SHARE_INCREASE = 0.03
# Time without a long pass after which the share may grow. Streams that were admitted
# earlier still run for as long.
HOLD_SECONDS = 2.0
# Increase of the share of a new group until its passes are long for the first time.
START_SHARE_INCREASE = 0.1
# The share is increased only while this part of it is in use.
IN_USE_RATIO = 0.85


@dataclass(frozen=True, slots=True)
class GroupPace:
    """Describe how fast a group has recently produced the events of its streams.

    :param typical_interval: typical seconds between two events of a stream.
    :param longest_interval: seconds that the longest passes have taken.
    """

    typical_interval: float
    longest_interval: float


@dataclass(slots=True)
class _GroupLimit:
    """Hold the limit of one group.

    :ivar long_pass_at: last time at which the longest passes were too long.
    :ivar is_starting: whether no long pass has been seen since the group was formed.
    """

    epoch: int
    slot_share: float = INITIAL_SLOT_SHARE
    adjusted_at: float = float("-inf")
    long_pass_at: float = float("-inf")
    is_starting: bool = True


class AdaptiveConcurrencyLimit:
    """Adjust the share of slots that each group may use to its longest passes."""

    __slots__ = ("_limit_by_group",)

    def __init__(self) -> None:
        self._limit_by_group: dict[str, _GroupLimit] = {}

    def slot_share(self, group: str | None) -> float:
        """Return the maximum number of requests per slot of a server in a group."""
        if not group:
            return MAX_SLOT_SHARE
        limit = self._limit_by_group.get(group)
        return limit.slot_share if limit else INITIAL_SLOT_SHARE

    def adjust(
        self,
        group: str,
        epoch: int,
        pace: GroupPace | None,
        occupancy: float,
        max_event_interval: float,
        now: float,
    ) -> bool:
        """Update the share of a group and return whether it has changed.

        :param epoch: formation of the group; a new one starts afresh.
        :param pace: pace of the group, none if it has no recent events.
        :param occupancy: requests in flight per slot of the group.
        :param max_event_interval: longest interval that callers accept, 0 for no limit.
        """
        limit = self._limit_by_group.get(group)
        if limit is None or limit.epoch != epoch:
            limit = self._limit_by_group[group] = _GroupLimit(epoch)
        if now - limit.adjusted_at < ADJUST_INTERVAL_SECONDS:
            return False
        limit.adjusted_at = now
        previous_share = limit.slot_share
        _adjust_share(limit, pace, occupancy, max_event_interval, now)
        return limit.slot_share != previous_share

    def retain(self, groups: set[str]) -> None:
        """Remove the limits of all other groups."""
        for name in [name for name in self._limit_by_group if name not in groups]:
            del self._limit_by_group[name]


def _adjust_share(
    limit: _GroupLimit,
    pace: GroupPace | None,
    occupancy: float,
    max_event_interval: float,
    now: float,
) -> None:
    """Set the next share of a group.

    A decrease starts from the slots in use and not from the former share: streams that
    are already running leave only after some seconds, in which the passes stay long.
    """
    if max_event_interval <= 0.0:
        limit.slot_share = MAX_SLOT_SHARE
        return
    if pace is None:
        return
    if pace.typical_interval > SLOW_RANK_INTERVAL_RATIO * max_event_interval:
        limit.slot_share = MAX_SLOT_SHARE
        return
    high = HIGH_INTERVAL_RATIO * max_event_interval
    if pace.longest_interval > high:
        limit.is_starting = False
        limit.long_pass_at = now
        factor = max(MAX_DECREASE_FACTOR, high / pace.longest_interval)
        share = min(limit.slot_share, occupancy * factor)
        limit.slot_share = max(MIN_SLOT_SHARE, share)
        return
    if now - limit.long_pass_at < HOLD_SECONDS:
        return
    is_in_use = occupancy >= IN_USE_RATIO * limit.slot_share
    if pace.longest_interval < LOW_INTERVAL_RATIO * max_event_interval and is_in_use:
        increase = START_SHARE_INCREASE if limit.is_starting else SHARE_INCREASE
        limit.slot_share = min(MAX_SLOT_SHARE, limit.slot_share + increase)
