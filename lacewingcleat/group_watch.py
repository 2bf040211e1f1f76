"""coordination: track which model groups accept requests, by reports and refusals.

All ranks of a group run each forward pass together, so one rank that is down or
unreachable closes the group at every rank. A refusal that names another rank shows that
the group is closed. Its ranks are polled for reports only while it is closed, to detect
when it opens again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# Poll interval of a closed group, which opens within about a second of the return of
# its last missing rank.
DOUBT_POLL_SECONDS = 0.3
# A rank that is partitioned from the others reports an open group until the group is
# dissolved. Unless the epoch has changed, a group that refused a request is therefore
# retried only after this back-off, which doubles with each further refusal.
FIRST_CLOSED_SECONDS = 1.0
MAX_CLOSED_SECONDS = 3.0
# Poll interval of a server whose group is unknown.
LEARN_SECONDS = 1.0
# Weight of a new sample in the moving average of the interval between stream events.
GAP_WEIGHT = 0.1
# The average is discarded after this time without samples, as the load may have
# changed.
GAP_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class RankStatus:
    """Represent the state of a group as reported by one of its ranks.

    :param group: name of the group, empty for a server that belongs to none.
    :param epoch: formation number of the group; it grows each time the group is formed.
    :param rank: the rank's number in the group.
    :param size: number of ranks of the group.
    :param is_open: whether the group runs forward passes.
    :param pace: factor by which this rank is slower than normal.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    pace: float


@dataclass(slots=True)
class _Group:
    epoch: int = 0
    size: int = 0
    is_open: bool = True
    closed_until: float = float("-inf")
    closed_seconds: float = FIRST_CLOSED_SECONDS
    asked_at: float = float("-inf")
    turn: int = 0
    gap_seconds: float = 0.0
    gap_at: float = float("-inf")


class GroupWatch:
    """Track the state of each group and select the servers to poll for reports."""

    __slots__ = (
        "_asked_at_by_server",
        "_group_by_name",
        "_name_by_server",
        "_rank_by_server",
    )

    def __init__(self) -> None:
        self._group_by_name: dict[str, _Group] = {}
        self._name_by_server: dict[str, str] = {}
        self._asked_at_by_server: dict[str, float] = {}
        self._rank_by_server: dict[str, int] = {}

    def name_of(self, server: str) -> str | None:
        """Return the group of a server, None if it is unknown."""
        return self._name_by_server.get(server)

    def names(self) -> set[str]:
        """Return the names of the known groups."""
        return set(self._group_by_name)

    def size_of(self, name: str) -> int:
        """Return the number of ranks of a group, 0 if the group is unknown."""
        group = self._group_by_name.get(name)
        return group.size if group else 0

    def servers_by_rank(self, name: str) -> dict[int, str]:
        """Return the known servers of a group, indexed by rank."""
        return {
            self._rank_by_server[server]: server
            for server, group in self._name_by_server.items()
            if group == name
        }

    def is_open(self, server: str) -> bool:
        """Return whether a server's group is open; True if its group is unknown."""
        name = self._name_by_server.get(server)
        return name is None or not name or self._group_by_name[name].is_open

    def gap_of(self, name: str, now: float) -> float | None:
        """Return the average interval between stream events, None without samples."""
        group = self._group_by_name.get(name)
        if group is None or now - group.gap_at > GAP_SECONDS:
            return None
        return group.gap_seconds

    def record_gap(self, server: str, seconds: float, now: float) -> None:
        """Add a sample of the time between two events of a stream."""
        name = self._name_by_server.get(server)
        group = self._group_by_name.get(name) if name else None
        if group is None:
            return
        if now - group.gap_at > GAP_SECONDS:
            group.gap_seconds = seconds
        group.gap_seconds += GAP_WEIGHT * (seconds - group.gap_seconds)
        group.gap_at = now

    def record_status(self, server: str, status: RankStatus, now: float) -> bool:
        """Apply a report; return whether it changes the state of the group."""
        self._name_by_server[server] = status.group
        self._rank_by_server[server] = status.rank
        if not status.group:
            return False
        known = status.group in self._group_by_name
        group = self._group_by_name.setdefault(status.group, _Group())
        if known and status.epoch < group.epoch:
            return False
        group.size = status.size
        before = (group.is_open, group.epoch)
        if status.epoch > group.epoch:
            group.closed_until = float("-inf")
            group.closed_seconds = FIRST_CLOSED_SECONDS
        group.epoch = status.epoch
        group.is_open = status.is_open and now >= group.closed_until
        return not known or before != (group.is_open, group.epoch)

    def record_closed(self, server: str, now: float) -> bool:
        """Close the group of a rank that refused a request although it has free slots.

        Return whether the group was open before.
        """
        name = self._name_by_server.get(server)
        if not name:
            return False
        group = self._group_by_name[name]
        if not group.is_open:
            return False
        group.is_open = False
        group.closed_until = now + group.closed_seconds
        group.closed_seconds = min(MAX_CLOSED_SECONDS, group.closed_seconds * 2.0)
        return True

    def record_served(self, server: str) -> None:
        """Reset the back-off of a group, as a rank has begun to answer a request."""
        name = self._name_by_server.get(server)
        if name:
            self._group_by_name[name].closed_seconds = FIRST_CLOSED_SECONDS

    def due(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers to poll for a report now.

        :param servers: reachable servers of model services.
        """
        found = []
        members_by_group: dict[str, list[str]] = {}
        for server in servers:
            name = self._name_by_server.get(server)
            if name:
                members_by_group.setdefault(name, []).append(server)
            elif name is None and self._may_ask(server, now):
                self._asked_at_by_server[server] = now
                found.append(server)
        for name, members in members_by_group.items():
            group = self._group_by_name[name]
            if group.is_open or now - group.asked_at < DOUBT_POLL_SECONDS:
                continue
            group.asked_at = now
            group.turn += 1
            found.append(members[group.turn % len(members)])
        return found

    def _may_ask(self, server: str, now: float) -> bool:
        asked_at = self._asked_at_by_server.get(server, float("-inf"))
        return now - asked_at >= LEARN_SECONDS

    def retain(self, servers: Iterable[str]) -> None:
        """Discard the state of all servers but these."""
        kept = set(servers)
        tables: tuple[dict[str, Any], ...]
        tables = (
            self._name_by_server,
            self._asked_at_by_server,
            self._rank_by_server,
        )
        for table in tables:
            for server in [server for server in table if server not in kept]:
                del table[server]

    def forget(self, server: str) -> None:
        """Discard the group of a server that has restarted."""
        self._name_by_server.pop(server, None)
        self._asked_at_by_server.pop(server, None)
