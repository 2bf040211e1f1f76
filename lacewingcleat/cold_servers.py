"""coordination: keep to what servers accept while they are cold, over all entries.

A server that has just started accepts few requests per second from all entries
together and crashes well above that. Entries share no state, so each decides alone how
much of the rate it may use. A few owners, which all entries choose alike by rendezvous
hashing over the entries that they know, send at an even rate; others send nothing.

The bound holds for requests in any one second, although entries may disagree about who
exists. Entries that know each other use at most two thirds of the bound. An entry that
knows fewer entries than it knew within the last hours uses the part of the bound that
corresponds to those it knows, so the parts of a divided fleet add up to the bound.
An entry that has started or was suspended lately has no such memory. It sends nothing
until it has found its peers, and then uses at most half of the bound for a while.

A share is a token bucket of one request, so that the number of requests in a second
follows from the number of owners and their rate alone, whenever callers arrive.

Load: 350 entries, 12,000 servers. Owners are computed when a cold server is considered
for a request, once for each change of the known entries, at one hash per known entry.
Nothing is done for warm servers.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lacewingcleat.direct_settings import DEFAULT_COLD_OVERSHOOT, DEFAULT_COLD_SLACK
from lacewingcleat.rendezvous import rank_by_rendezvous

# Part of the bound that entries use if they know each other. The rest is for those that
# see each other late, for instance when a part of the fleet is replaced.
FULL_PART = 2.0 / 3.0
# Part for entries that have started lately: both halves of a divided fleet may have.
STARTED_PART = 0.5
STARTED_SECONDS = 60.0
# Time after a start within which an entry finds its peers, and the time for which their
# number must not have risen by more than the given share.
DISCOVERY_SECONDS = 2.0
STABLE_SECONDS = 1.0
STABLE_GROWTH = 1.1
# An entry that has not updated its peers for this long was suspended. It is below the
# 10 s after which others remove a silent entry and take over its share.
SUSPENDED_SECONDS = 5.0
# The largest number of known entries is remembered for one to two such periods, because
# regions may lose each other for an hour.
MEMORY_SECONDS = 3600.0
# The bound is kept in windows of this length. Connecting and the network delay requests
# differently, so that two of them may arrive closer together than they were sent.
WINDOW_SECONDS = 1.1
BUCKET_REQUESTS = 1.0
# Largest part of the rate that may be lost to have more owners. More owners mean fewer
# entries that cannot use a server at all.
MIN_RATE_SHARE = 0.9
ROUNDING_ERROR = 1e-9


@dataclass(frozen=True, slots=True)
class ColdShare:
    """Describe a cold server and the share of this entry.

    :param per_second: requests per second that this entry may send.
    :param sent: requests that it has sent since the server became cold.
    """

    server: str
    warm_at: float
    per_second: float
    sent: int


@dataclass(slots=True)
class _ColdServer:
    """Represent a server that is cold, or may be.

    :param warm_at: time until which it is known to be cold.
    :param suspected_until: time until which it may be cold without a sign of it.
    :param view: number of the view of entries from which the share follows.
    :param is_new: whether it has had no share yet.
    """

    per_second: float
    warm_at: float = float("-inf")
    suspected_until: float = float("-inf")
    view: int = -1
    is_new: bool = True
    share: float = 0.0
    tokens: float = 0.0
    refilled_at: float = 0.0
    sent: int = 0

    def is_limited(self, now: float) -> bool:
        """Return whether it is, or may be, cold."""
        return now < self.warm_at or now < self.suspected_until


class ColdServers:
    """Track cold servers and this entry's shares of what they accept.

    Servers are identified by their names, as a server that restarts is reached at the
    same address by entries that have not heard of the restart.

    :param entry: control address of this entry.
    :param overshoot: multiple of its rate that a server accepts in a second.
    :param slack: requests that it accepts in a second beyond that.
    :param expects_peers: whether this entry is to find other entries after its start.
    """

    __slots__ = (
        "_cold_by_name",
        "_entries",
        "_entry",
        "_expects_peers",
        "_max_count",
        "_max_since",
        "_overshoot",
        "_part",
        "_previous_max_count",
        "_sent_count",
        "_slack",
        "_stable_count",
        "_stable_since",
        "_started_at",
        "_updated_at",
        "_view",
    )

    def __init__(
        self,
        entry: str,
        overshoot: float = DEFAULT_COLD_OVERSHOOT,
        slack: float = DEFAULT_COLD_SLACK,
        expects_peers: bool = True,
    ) -> None:
        self._entry = entry
        self._overshoot = overshoot
        self._slack = slack
        self._expects_peers = expects_peers
        self._entries: frozenset[str] = frozenset((entry,))
        self._cold_by_name: dict[str, _ColdServer] = {}
        self._sent_count = 0
        self._started_at: float | None = None
        self._updated_at = 0.0
        self._stable_count = 1
        self._stable_since = 0.0
        self._max_count = 1
        self._previous_max_count = 1
        self._max_since = 0.0
        self._part = 0.0
        self._view = 0

    @property
    def sent_count(self) -> int:
        """Return the requests sent to servers while they were known to be cold."""
        return self._sent_count

    def record(
        self, server: str, remaining_seconds: float, per_second: float, now: float
    ) -> bool:
        """Record that a server is cold and return whether it was believed to be warm.

        A later record of the same server only extends the time, as it may be older than
        what was recorded.

        :param remaining_seconds: time until the server is warm.
        :param per_second: requests per second that it accepts until then from all
            entries together, 0 if there is no limit.
        """
        if remaining_seconds <= 0.0 or per_second <= 0.0:
            return False
        cold = self._limit(server, per_second, now)
        self._update(server, cold, now)
        was_warm = now >= cold.warm_at
        cold.warm_at = max(cold.warm_at, now + remaining_seconds)
        if was_warm:
            cold.sent = 0
        return was_warm

    def suspect(
        self, server: str, seconds: float, per_second: float, now: float
    ) -> bool:
        """Keep to the shares at a server that may be cold.

        Such a server is probably warm, so it is not avoided otherwise.

        :returns: whether it was not limited before.

        :param seconds: time for which it may be cold.
        :param per_second: see `record`.
        """
        if seconds <= 0.0 or per_second <= 0.0:
            return False
        cold = self._limit(server, per_second, now)
        was_limited = cold.is_limited(now)
        cold.suspected_until = max(cold.suspected_until, now + seconds)
        return not was_limited

    def _limit(self, server: str, per_second: float, now: float) -> _ColdServer:
        cold = self._cold_by_name.get(server)
        if cold is None:
            cold = _ColdServer(per_second, refilled_at=now)
            self._cold_by_name[server] = cold
        elif cold.per_second != per_second:
            self._update(server, cold, now)
            cold.per_second = per_second
            cold.view = -1
        return cold

    def set_entries(self, entries: Iterable[str], now: float) -> None:
        """Set the other entries that are known; called several times a second."""
        known = frozenset((self._entry, *entries))
        if self._started_at is None or now - self._updated_at > SUSPENDED_SECONDS:
            self._started_at = now
            self._stable_count = len(known)
            self._stable_since = now
        self._updated_at = now
        self._remember_count(len(known), now)
        part = self._find_part(len(known), now)
        if known == self._entries and part == self._part:
            return
        self._entries = known
        self._part = part
        self._view += 1

    def _remember_count(self, count: int, now: float) -> None:
        if count > self._stable_count * STABLE_GROWTH:
            self._stable_count = count
            self._stable_since = now
        if now - self._max_since > MEMORY_SECONDS:
            self._previous_max_count = self._max_count
            self._max_count = count
            self._max_since = now
        self._max_count = max(self._max_count, count)

    def _find_part(self, count: int, now: float) -> float:
        """Return the part of the bound that the known entries may use together."""
        running_seconds = now - (now if self._started_at is None else self._started_at)
        known_part = count / max(self._max_count, self._previous_max_count)
        if running_seconds >= STARTED_SECONDS:
            return min(FULL_PART, known_part)
        if count == 1 and not self._expects_peers:
            return min(FULL_PART, known_part)
        is_alone = count == 1 and max(self._max_count, self._previous_max_count) == 1
        is_stable = now - self._stable_since >= STABLE_SECONDS
        if running_seconds < DISCOVERY_SECONDS or not is_stable or is_alone:
            return 0.0
        return min(STARTED_PART, known_part)

    def _update(self, server: str, cold: _ColdServer, now: float) -> None:
        """Refill the bucket of a server and follow changes of the known entries.

        The share from before such a change applies to the time since the last update.
        """
        elapsed = max(0.0, now - cold.refilled_at)
        cold.refilled_at = now
        cold.tokens = min(BUCKET_REQUESTS, cold.tokens + elapsed * cold.share)
        if cold.view != self._view:
            cold.view = self._view
            self._assign_share(server, cold)

    def has_part(self, per_second: float) -> bool:
        """Return whether the known entries may send anything to a cold server."""
        return self._find_bound(per_second) >= 1.0

    def _find_bound(self, per_second: float) -> float:
        """Return the requests in any second that the known entries may send."""
        return (per_second * self._overshoot + self._slack) * self._part

    def _assign_share(self, server: str, cold: _ColdServer) -> None:
        bound = self._find_bound(cold.per_second)
        rate = min(cold.per_second, cold.per_second * self._overshoot * self._part)
        count, share = _divide(rate, bound, len(self._entries))
        owners = rank_by_rendezvous(server, self._entries)[:count]
        is_owner = self._entry in owners
        if cold.is_new and is_owner:
            # Owners begin one after the other, not together one interval later.
            cold.tokens = owners.index(self._entry) / count
        elif not is_owner or not cold.share:
            cold.tokens = min(0.0, cold.tokens)
        cold.is_new = False
        cold.share = share if is_owner else 0.0

    def is_cold(self, server: str, now: float) -> bool:
        """Return whether a server is known to be cold."""
        cold = self._cold_by_name.get(server)
        return cold is not None and now < cold.warm_at

    def may_send(self, server: str, now: float) -> bool:
        """Return whether this entry may send a request to a server now."""
        cold = self._cold_by_name.get(server)
        if cold is None or not cold.is_limited(now):
            return True
        if now - self._updated_at > SUSPENDED_SECONDS:
            return False
        self._update(server, cold, now)
        return cold.share > 0.0 and cold.tokens >= BUCKET_REQUESTS - ROUNDING_ERROR

    def take(self, server: str, now: float) -> None:
        """Count a request that is sent to a server."""
        cold = self._cold_by_name.get(server)
        if cold is None or not cold.is_limited(now):
            return
        self._update(server, cold, now)
        cold.tokens -= BUCKET_REQUESTS
        if now < cold.warm_at:
            cold.sent += 1
            self._sent_count += 1

    def warm_at(self, server: str, now: float) -> float:
        """Return the time from which a server is warm, now if it already is."""
        cold = self._cold_by_name.get(server)
        return now if cold is None else max(now, cold.warm_at)

    def shares(self, now: float) -> list[ColdShare]:
        """Return the servers known to be cold and what this entry may send them."""
        shares = []
        for server, cold in self._cold_by_name.items():
            if now < cold.warm_at:
                self._update(server, cold, now)
                shares.append(ColdShare(server, cold.warm_at, cold.share, cold.sent))
        return shares

    def expire(self, now: float) -> list[ColdShare]:
        """Discard the servers that are warm, and return those that were known cold."""
        warm = []
        for server, cold in list(self._cold_by_name.items()):
            if cold.is_limited(now):
                continue
            del self._cold_by_name[server]
            if math.isfinite(cold.warm_at):
                warm.append(ColdShare(server, cold.warm_at, cold.share, cold.sent))
        return warm

    def retain(self, servers: Collection[str]) -> None:
        """Discard what is known of all servers but these."""
        for server in set(self._cold_by_name).difference(servers):
            del self._cold_by_name[server]


def _divide(rate: float, bound: float, entry_count: int) -> tuple[int, float]:
    """Return the number of owners and the requests per second of each.

    An owner with a rate of `share` sends at most `1 + share * WINDOW_SECONDS` requests
    in a window, rounded down. That number, over all owners, stays within the bound.

    :param rate: requests per second of all owners together.
    :param bound: requests in any window of all owners together.
    """
    options = []
    for count in range(1, min(entry_count, math.floor(bound)) + 1):
        most = math.floor(bound / count)
        # Just below the rate at which one request more would fit into a window.
        highest_share = (most - ROUNDING_ERROR) / WINDOW_SECONDS
        options.append((count, min(rate / count, highest_share)))
    best = max((count * share for count, share in options), default=0.0)
    for count, share in reversed(options):
        if count * share >= MIN_RATE_SHARE * best:
            return count, share
    return 0, 0.0
