"""coordination: track which model groups accept requests, by reports and refusals.

All ranks of a group run each forward pass together, so one rank that is down or
unreachable closes the group at every rank. A refusal that names another rank shows that
the group is closed. Its ranks are polled for reports only while it is closed, to detect
when it opens again.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from lacewingcleat.adaptive_concurrency import GroupPace

# Poll interval of a closed group, which opens within about a second of the return of
# its last missing rank.
CLOSED_POLL_SECONDS = 0.3
# A rank that is partitioned from the others reports an open group until the group is
# dissolved. Unless the epoch has changed, a group that refused a request is therefore
# retried only after this back-off, which doubles with each further refusal.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 3.0
# Time from the return of a group's last missing rank until an entry knows that the
# group is open: its formation, and the poll that shows it.
FORM_SECONDS = 0.6 + CLOSED_POLL_SECONDS
# Time for which a group is expected to be closed before it was ever seen to open again,
# and bounds of what is learned from its closures.
INITIAL_CLOSED_SECONDS = 3.0
CLOSED_SECONDS_BOUNDS = (FORM_SECONDS, 30.0)
# Weight of the latest closure.
CLOSED_SECONDS_SMOOTHING = 0.3
# Poll interval of a server whose group is unknown.
UNKNOWN_POLL_SECONDS = 1.0
# Intervals between stream events count for this time. It spans ten passes or more, each
# of which yields an interval for each stream.
INTERVAL_WINDOW_SECONDS = 1.5
# Share of the intervals that are at most as long as the one taken for the longest. The
# longest pass of the window contributes one interval in fifteen; a single stream that
# was delayed on its way contributes fewer.
LONGEST_INTERVAL_QUANTILE = 0.95
# Maximum number of intervals that are kept for a group.
MAX_INTERVALS = 512
# The intervals are discarded after this time without new ones, as the load may have
# changed.
INTERVAL_TTL_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class RankStatus:
    """Represent the state of a group as reported by one of its ranks.

    :param group: name of the group, empty for a server that belongs to none.
    :param epoch: formation number of the group; it grows each time the group is formed.
    :param rank: the rank's number in the group.
    :param rank_count: number of ranks of the group.
    :param is_open: whether the group runs forward passes.
    :param slowdown_factor: factor by which this rank is slower than normal.
    """

    group: str
    epoch: int
    rank: int
    rank_count: int
    is_open: bool
    slowdown_factor: float


@dataclass(slots=True)
class _GroupState:
    epoch: int = 0
    rank_count: int = 0
    is_open: bool = True
    backoff_until: float = float("-inf")
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS
    polled_at: float = float("-inf")
    poll_index: int = 0
    # Since when the group is closed, and since when all of its ranks are reachable
    # again; none if it is open or ranks are missing.
    closed_at: float | None = None
    complete_at: float | None = None
    typical_closed_seconds: float = INITIAL_CLOSED_SECONDS
    intervals: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_INTERVALS)
    )


class GroupTracker:
    """Track the state of each group and select the servers to poll for reports."""

    __slots__ = (
        "_group_by_name",
        "_group_name_by_server",
        "_polled_at_by_server",
        "_rank_by_server",
    )

    def __init__(self) -> None:
        self._group_by_name: dict[str, _GroupState] = {}
        self._group_name_by_server: dict[str, str] = {}
        self._polled_at_by_server: dict[str, float] = {}
        self._rank_by_server: dict[str, int] = {}

    def find_group_name(self, server: str) -> str | None:
        """Return the group of a server, None if it is unknown."""
        return self._group_name_by_server.get(server)

    def group_names(self) -> set[str]:
        """Return the names of the known groups."""
        return set(self._group_by_name)

    def count_ranks(self, name: str) -> int:
        """Return the number of ranks of a group, 0 if the group is unknown."""
        group = self._group_by_name.get(name)
        return group.rank_count if group else 0

    def find_epoch(self, name: str) -> int:
        """Return the formation number of a group, 0 if the group is unknown."""
        group = self._group_by_name.get(name)
        return group.epoch if group else 0

    def servers_by_rank(self, name: str) -> dict[int, str]:
        """Return the known servers of a group, indexed by rank."""
        return {
            self._rank_by_server[server]: server
            for server, group in self._group_name_by_server.items()
            if group == name
        }

    def is_open(self, server: str) -> bool:
        """Return whether a server's group is open; True if its group is unknown."""
        name = self._group_name_by_server.get(server)
        return name is None or not name or self._group_by_name[name].is_open

    def is_group_open(self, name: str) -> bool:
        """Return whether a group accepts requests; True if it is unknown."""
        group = self._group_by_name.get(name)
        return group is None or group.is_open

    def expected_open_at(self, name: str, now: float) -> float:
        """Return when a group will probably accept requests, now if it is open.

        A group opens soon after all of its ranks are reachable again. Until then, and
        if it stays closed nevertheless, it is expected to be closed for as long as it
        usually is.
        """
        group = self._group_by_name.get(name)
        if group is None or group.is_open or group.closed_at is None:
            return now
        formed_at = self.forms_until(name, now)
        if formed_at is not None:
            return formed_at
        usual_at = group.closed_at + group.typical_closed_seconds
        return max(usual_at, now + FORM_SECONDS)

    def forms_until(self, name: str, now: float) -> float | None:
        """Return when a group that is forming will be open.

        :returns: none if the group is open, if ranks are missing, or if it has taken
            longer than a group usually does to form.
        """
        group = self._group_by_name.get(name)
        if group is None or group.is_open or group.complete_at is None:
            return None
        formed_at = max(group.complete_at + FORM_SECONDS, group.backoff_until)
        return formed_at if formed_at > now else None

    def find_pace(self, name: str, now: float) -> GroupPace | None:
        """Return how fast a group produces events, None without recent ones."""
        group = self._group_by_name.get(name)
        if group is None or not group.intervals:
            return None
        if now - group.intervals[-1][0] > INTERVAL_TTL_SECONDS:
            group.intervals.clear()
            return None
        while (
            len(group.intervals) > 1
            and now - group.intervals[0][0] > INTERVAL_WINDOW_SECONDS
        ):
            group.intervals.popleft()
        seconds = sorted(interval for _, interval in group.intervals)
        last = len(seconds) - 1
        return GroupPace(
            seconds[last // 2], seconds[round(last * LONGEST_INTERVAL_QUANTILE)]
        )

    def record_event_interval(self, server: str, seconds: float, now: float) -> None:
        """Add a sample of the time between two events of a stream."""
        name = self._group_name_by_server.get(server)
        group = self._group_by_name.get(name) if name else None
        if group is not None:
            group.intervals.append((now, seconds))

    def record_status(self, server: str, status: RankStatus, now: float) -> bool:
        """Apply a report; return whether it changes the state of the group."""
        self._group_name_by_server[server] = status.group
        self._rank_by_server[server] = status.rank
        if not status.group:
            return False
        was_known = status.group in self._group_by_name
        group = self._group_by_name.setdefault(status.group, _GroupState())
        if was_known and status.epoch < group.epoch:
            return False
        group.rank_count = status.rank_count
        previous_state = (group.is_open, group.epoch)
        if status.epoch > group.epoch:
            group.backoff_until = float("-inf")
            group.backoff_seconds = INITIAL_BACKOFF_SECONDS
            group.intervals.clear()
        group.epoch = status.epoch
        group.is_open = status.is_open and now >= group.backoff_until
        _update_closure(group, now)
        return not was_known or previous_state != (group.is_open, group.epoch)

    def record_refusal(self, server: str, now: float) -> bool:
        """Close the group of a rank that refused a request although it has free slots.

        Return whether the group was open before.
        """
        name = self._group_name_by_server.get(server)
        if not name:
            return False
        group = self._group_by_name[name]
        if not group.is_open:
            return False
        group.is_open = False
        _update_closure(group, now)
        group.backoff_until = now + group.backoff_seconds
        group.backoff_seconds = min(MAX_BACKOFF_SECONDS, group.backoff_seconds * 2.0)
        return True

    def record_response_start(self, server: str) -> None:
        """Reset the back-off of a group, as a rank has begun to answer a request."""
        name = self._group_name_by_server.get(server)
        if name:
            self._group_by_name[name].backoff_seconds = INITIAL_BACKOFF_SECONDS

    def select_servers_to_poll(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers to poll for a report now.

        :param servers: reachable servers of model services.
        """
        selected = []
        members_by_group: dict[str, list[str]] = {}
        for server in servers:
            name = self._group_name_by_server.get(server)
            if name:
                members_by_group.setdefault(name, []).append(server)
            elif name is None and self._may_poll(server, now):
                self._polled_at_by_server[server] = now
                selected.append(server)
        for name, members in members_by_group.items():
            group = self._group_by_name[name]
            if group.is_open or len(members) < group.rank_count:
                group.complete_at = None
            elif group.complete_at is None:
                group.complete_at = now
            if group.is_open or now - group.polled_at < CLOSED_POLL_SECONDS:
                continue
            group.polled_at = now
            group.poll_index += 1
            selected.append(members[group.poll_index % len(members)])
        return selected

    def _may_poll(self, server: str, now: float) -> bool:
        polled_at = self._polled_at_by_server.get(server, float("-inf"))
        return now - polled_at >= UNKNOWN_POLL_SECONDS

    def retain(self, servers: Iterable[str]) -> None:
        """Discard the state of all servers but these."""
        retained = set(servers)
        tables: tuple[dict[str, Any], ...]
        tables = (
            self._group_name_by_server,
            self._polled_at_by_server,
            self._rank_by_server,
        )
        for table in tables:
            for server in [server for server in table if server not in retained]:
                del table[server]

    def discard_server(self, server: str) -> None:
        """Discard the group of a server that has restarted."""
        self._group_name_by_server.pop(server, None)
        self._polled_at_by_server.pop(server, None)


def _update_closure(group: _GroupState, now: float) -> None:
    """Record the beginning or the end of a closure, and learn how long it took."""
    if not group.is_open:
        if group.closed_at is None:
            group.closed_at = now
        return
    if group.closed_at is not None:
        least, most = CLOSED_SECONDS_BOUNDS
        seconds = min(most, max(least, now - group.closed_at))
        group.typical_closed_seconds += CLOSED_SECONDS_SMOOTHING * (
            seconds - group.typical_closed_seconds
        )
    group.closed_at = group.complete_at = None
