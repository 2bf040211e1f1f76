"""coordination: keep to the limits that servers in need name, over all entries.

A server names the requests per second that it takes from all entries together. A few
entries, which all entries choose alike by rendezvous hashing, share the limit evenly,
and the others send nothing. Each share is a token bucket that starts empty. All buckets
together hold less than the excess that a server accepts. An entry that goes silent
keeps its share until it is forgotten, so a short cut or restart does not make others
take over what its requests still use.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from lacewingcleat.rendezvous import rank_by_rendezvous

# Entries among which a limit is shared, beyond its requests per second. More entries
# use a limit more evenly, but have to wait longer for a whole token.
EXTRA_SHARES = 2
# Least rate at which a server is sent requests. Only its answers tell when its limit
# ends.
MIN_REQUESTS_PER_SECOND = 0.1
# A server accepts this much more than its limit in a few seconds, as requests and in
# seconds of its limit. One request of it is left for entries that know different peers.
EXCESS_REQUESTS = 4.0
EXCESS_SECONDS = 2.0
MAX_BUCKET_REQUESTS = 2.0
# Change of a limit that is announced at once; smaller ones follow with the next
# regular datagram.
ANNOUNCED_CHANGE = 0.1
# Time for which an entry repeats what a server has named to it.
REPEAT_SECONDS = 10.0
MAX_LIMITS_PER_MESSAGE = 4
ROUNDING_ERROR = 1e-9


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """Announce the limit that a server has named.

    :param server: name and start time of the server.
    :param per_second: requests per second, none if the server is not limited any more.
    :param age: seconds since the answer that named it.
    """

    server: str
    per_second: float | None
    age: float


@dataclass(slots=True)
class _Limit:
    per_second: float | None
    named_at: float
    # Time of the last answer to this entry.
    answered_at: float = float("-inf")
    share: float = 0.0
    bucket_size: float = 0.0
    tokens: float = 0.0
    refilled_at: float = 0.0

    @property
    def rate(self) -> float:
        """Return the requests per second of all entries together."""
        return max(MIN_REQUESTS_PER_SECOND, self.per_second or 0.0)


class ServerRateLimits:
    """Track the named limits and this entry's shares of them.

    :param entry: control address of this entry.
    """

    __slots__ = ("_entries", "_entry", "_limit_by_server", "_next_index")

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._entries: frozenset[str] = frozenset((entry,))
        self._limit_by_server: dict[str, _Limit] = {}
        self._next_index = 0

    @property
    def limited_count(self) -> int:
        """Return the number of servers that are limited."""
        limits = self._limit_by_server.values()
        return sum(limit.per_second is not None for limit in limits)

    def record_answer(
        self, server: str, per_second: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the limit in an answer and return whether to announce it at once.

        :param per_second: requests per second, none if the answer names no limit.
        :param sent_at: time at which the request was sent. An answer without a limit
            counts only if its request was sent after the limit had been named.
        """
        limit = self._limit_by_server.get(server)
        if per_second is None and (limit is None or limit.named_at >= sent_at):
            return False
        changed = limit is None or _differs(limit.per_second, per_second)
        self._apply(server, per_second, now, now).answered_at = now
        return changed

    def merge(self, limits: Iterable[NamedLimit], now: float) -> list[NamedLimit]:
        """Apply what another entry was told and return the changes."""
        changes = []
        for named in limits:
            limit = self._limit_by_server.get(named.server)
            named_at = now - max(0.0, named.age)
            if limit is not None and named_at <= limit.named_at:
                continue
            previous = limit.per_second if limit is not None else None
            if _differs(previous, named.per_second):
                changes.append(named)
            self._apply(named.server, named.per_second, named_at, now)
        return changes

    def _apply(
        self, server: str, per_second: float | None, named_at: float, now: float
    ) -> _Limit:
        limit = self._limit_by_server.get(server)
        if limit is None:
            limit = _Limit(None, named_at, refilled_at=now)
            self._limit_by_server[server] = limit
        self._refill(limit, now)
        if limit.per_second is None:
            limit.tokens = 0.0
        if limit.per_second != per_second:
            limit.per_second = per_second
            self._assign_share(server, limit)
        limit.named_at = named_at
        return limit

    def set_entries(self, entries: Iterable[str], now: float) -> None:
        """Set the other entries among which limits are shared."""
        known = frozenset((self._entry, *entries))
        if known == self._entries:
            return
        self._entries = known
        for server, limit in self._limit_by_server.items():
            self._refill(limit, now)
            self._assign_share(server, limit)

    def _assign_share(self, server: str, limit: _Limit) -> None:
        count = min(len(self._entries), math.ceil(limit.rate) + EXTRA_SHARES)
        owners = rank_by_rendezvous(server, self._entries)[:count]
        limit.share = 1.0 / count if self._entry in owners else 0.0
        excess = EXCESS_REQUESTS + EXCESS_SECONDS * (limit.per_second or 0.0)
        limit.bucket_size = min(MAX_BUCKET_REQUESTS, excess / count)

    def _refill(self, limit: _Limit, now: float) -> None:
        elapsed = max(0.0, now - limit.refilled_at)
        limit.refilled_at = now
        if limit.per_second is not None:
            earned = elapsed * limit.rate * limit.share
            limit.tokens = min(limit.bucket_size, limit.tokens + earned)

    def may_send(self, server: str, now: float) -> bool:
        """Return whether this entry may send a request to a server now."""
        limit = self._limit_by_server.get(server)
        if limit is None or limit.per_second is None:
            return True
        self._refill(limit, now)
        return limit.tokens >= 1.0 - ROUNDING_ERROR

    def take(self, server: str, now: float) -> None:
        """Count a request that is sent to a server."""
        limit = self._limit_by_server.get(server)
        if limit is not None and limit.per_second is not None:
            self._refill(limit, now)
            limit.tokens -= 1.0

    def next_message(self, now: float) -> list[NamedLimit]:
        """Return some of the limits that servers have lately named to this entry."""
        recent = [
            server
            for server, limit in self._limit_by_server.items()
            if now - limit.answered_at <= REPEAT_SECONDS
        ]
        start = self._next_index % len(recent) if recent else 0
        chosen = (recent + recent)[start : start + MAX_LIMITS_PER_MESSAGE]
        self._next_index = start + MAX_LIMITS_PER_MESSAGE
        return [self.named(server, now) for server in dict.fromkeys(chosen)]

    def named(self, server: str, now: float) -> NamedLimit:
        """Return the announcement of a server's limit."""
        limit = self._limit_by_server[server]
        return NamedLimit(server, limit.per_second, round(now - limit.named_at, 3))

    def retain(self, servers: Collection[str]) -> None:
        """Discard the limits of all servers but these."""
        for server in set(self._limit_by_server).difference(servers):
            del self._limit_by_server[server]


def _differs(previous: float | None, current: float | None) -> bool:
    if previous is None or current is None:
        return previous is not current
    return abs(current - previous) > ANNOUNCED_CHANGE * max(previous, current)
