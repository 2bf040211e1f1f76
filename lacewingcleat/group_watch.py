"""coordination: which model groups are open, learned from reports and refusals.

All ranks of a group run each pass together, so one rank that is down or cut off closes
the group at every rank. A refusal that names another rank tells that the group is
closed; reports of its ranks, asked for only then, tell when it is open again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# A group opens again within about a second of its last rank's return.
DOUBT_POLL_SECONDS = 0.3
# A rank that is cut off from others reports an open group until the group is dissolved.
# Unless the epoch has changed, a group that refused is tried again after this time,
# which doubles while it goes on refusing.
FIRST_CLOSED_SECONDS = 1.0
MAX_CLOSED_SECONDS = 3.0
# Servers whose group is unknown are asked again after this time.
LEARN_SECONDS = 1.0
# Smoothing of the gap between events of a group's streams.
GAP_WEIGHT = 0.1
# Gaps are those of other load after this time.
GAP_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class RankStatus:
    """Hold what a rank's report says of its group.

    :param group: name of the group, empty for a server that belongs to none.
    :param epoch: number of the group's present formation.
    :param rank: the rank's number in the group.
    :param size: number of ranks of the group.
    :param is_open: whether the group makes passes.
    :param pace: factor by which this rank is slower than usual.
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
    """Keep the state of each group and decide which reports to ask for."""

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
        """Return the group of a server, none if it is not known."""
        return self._name_by_server.get(server)

    def names(self) -> set[str]:
        """Return the names of the known groups."""
        return set(self._group_by_name)

    def size_of(self, name: str) -> int:
        """Return the number of ranks of a group, 0 if it is not known."""
        group = self._group_by_name.get(name)
        return group.size if group else 0

    def servers_by_rank(self, name: str) -> dict[int, str]:
        """Return the known servers of a group."""
        return {
            self._rank_by_server[server]: server
            for server, group in self._name_by_server.items()
            if group == name
        }

    def is_open(self, server: str) -> bool:
        """Return whether a server can be expected to run requests."""
        name = self._name_by_server.get(server)
        return name is None or not name or self._group_by_name[name].is_open

    def gap_of(self, name: str, now: float) -> float | None:
        """Return the usual gap between events of a group's streams, if it is known."""
        group = self._group_by_name.get(name)
        if group is None or now - group.gap_at > GAP_SECONDS:
            return None
        return group.gap_seconds

    def record_gap(self, server: str, seconds: float, now: float) -> None:
        """Take in the time between two events of a stream."""
        name = self._name_by_server.get(server)
        group = self._group_by_name.get(name) if name else None
        if group is None:
            return
        if now - group.gap_at > GAP_SECONDS:
            group.gap_seconds = seconds
        group.gap_seconds += GAP_WEIGHT * (seconds - group.gap_seconds)
        group.gap_at = now

    def record_status(self, server: str, status: RankStatus, now: float) -> bool:
        """Take in a report; return whether it changes what is believed of a group."""
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
        """Take in a refusal of a rank with free slots; return whether it is news."""
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
        """Take in that a rank has begun to answer a request."""
        name = self._name_by_server.get(server)
        if name:
            self._group_by_name[name].closed_seconds = FIRST_CLOSED_SECONDS

    def due(self, servers: Iterable[str], now: float) -> list[str]:
        """Return the servers to ask for a report now.

        :param servers: servers of model services that can be reached.
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
        """Forget servers that are gone."""
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
        """Forget a server's group, because it has started again."""
        self._name_by_server.pop(server, None)
        self._asked_at_by_server.pop(server, None)
