"""coordination: which model groups are open, learned from reports and refusals.

All ranks of a group run each pass together, so one rank that is down or cut off closes
the group at every rank. A refusal that names another rank tells that the group is
closed; reports of its ranks, asked for only then, tell when it is open again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# A group opens again within about a second of its last rank's return.
CLOSED_POLL_SECONDS = 0.3
# A rank that is cut off from others reports an open group until the group is dissolved.
# Unless the epoch has changed, a group that refused is tried again after this time,
# which doubles while it goes on refusing.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 3.0
# Servers whose group is unknown are asked again after this time.
UNKNOWN_POLL_SECONDS = 1.0
# Smoothing of the gap between events of a group's streams.
INTERVAL_SMOOTHING = 0.1
# Gaps are those of other load after this time.
INTERVAL_TTL_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class RankStatus:
    """Hold what a rank's report says of its group.

    :param group: name of the group, empty for a server that belongs to none.
    :param epoch: number of the group's present formation.
    :param rank: the rank's number in the group.
    :param rank_count: number of ranks of the group.
    :param is_open: whether the group makes passes.
    :param slowdown_factor: factor by which this rank is slower than usual.
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
    event_interval_seconds: float = 0.0
    interval_updated_at: float = float("-inf")


class GroupTracker:
    """Keep the state of each group and decide which reports to ask for."""

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
        """Return the group of a server, none if it is not known."""
        return self._group_name_by_server.get(server)

    def group_names(self) -> set[str]:
        """Return the names of the known groups."""
        return set(self._group_by_name)

    def count_ranks(self, name: str) -> int:
        """Return the number of ranks of a group, 0 if it is not known."""
        group = self._group_by_name.get(name)
        return group.rank_count if group else 0

    def servers_by_rank(self, name: str) -> dict[int, str]:
        """Return the known servers of a group."""
        return {
            self._rank_by_server[server]: server
            for server, group in self._group_name_by_server.items()
            if group == name
        }

    def is_open(self, server: str) -> bool:
        """Return whether a server can be expected to run requests."""
        name = self._group_name_by_server.get(server)
        return name is None or not name or self._group_by_name[name].is_open

    def find_event_interval(self, name: str, now: float) -> float | None:
        """Return the usual gap between events of a group's streams, if it is known."""
        group = self._group_by_name.get(name)
        if group is None or now - group.interval_updated_at > INTERVAL_TTL_SECONDS:
            return None
        return group.event_interval_seconds

    def record_event_interval(self, server: str, seconds: float, now: float) -> None:
        """Take in the time between two events of a stream."""
        name = self._group_name_by_server.get(server)
        group = self._group_by_name.get(name) if name else None
        if group is None:
            return
        if now - group.interval_updated_at > INTERVAL_TTL_SECONDS:
            group.event_interval_seconds = seconds
        group.event_interval_seconds += INTERVAL_SMOOTHING * (
            seconds - group.event_interval_seconds
        )
        group.interval_updated_at = now

    def record_status(self, server: str, status: RankStatus, now: float) -> bool:
        """Take in a report; return whether it changes what is believed of a group."""
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
        group.epoch = status.epoch
        group.is_open = status.is_open and now >= group.backoff_until
        return not was_known or previous_state != (group.is_open, group.epoch)

    def record_refusal(self, server: str, now: float) -> bool:
        """Take in a refusal of a rank with free slots; return whether it is news."""
        name = self._group_name_by_server.get(server)
        if not name:
            return False
        group = self._group_by_name[name]
        if not group.is_open:
            return False
        group.is_open = False
        group.backoff_until = now + group.backoff_seconds
        group.backoff_seconds = min(MAX_BACKOFF_SECONDS, group.backoff_seconds * 2.0)
        return True

    def record_response_start(self, server: str) -> None:
        """Take in that a rank has begun to answer a request."""
        name = self._group_name_by_server.get(server)
        if name:
            self._group_by_name[name].backoff_seconds = INITIAL_BACKOFF_SECONDS

    def select_servers_to_poll(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers to ask for a report now.

        :param servers: servers of model services that can be reached.
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
        """Forget servers that are gone."""
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
        """Forget a server's group, because it has started again."""
        self._group_name_by_server.pop(server, None)
        self._polled_at_by_server.pop(server, None)
