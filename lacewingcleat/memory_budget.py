"""coordination: decide what clients may make a process hold, and which are cut off.

One budget covers the requests of all clients and the responses that they have not read.
A client reserves the size of its request before its body is read. It waits while the
budget is used up, and its connection is not read meanwhile. Waiting clients cause those
that hold much and make no progress to be cut off.

State is proportional to the connections. A check costs time proportional to them and
runs a few times a second, only while clients wait or the budget is exceeded.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# Requests up to this size may use the whole budget, larger ones a part of it.
SMALL_REQUEST_BYTES = 65_536
LARGE_REQUEST_SHARE = 0.75
# Memory that a process needs without clients. A direct entry before two servers takes
# 40 MB; the rest is for servers, peers and metrics of a large deployment.
BASE_BYTES = 64 << 20
# The base may take up all of a small instance; clients then get this share.
MIN_CLIENT_SHARE = 0.25
# Python and the allocator take more than the bytes that are counted: a growing body
# takes up to an eighth more, and is copied once when it is complete.
USABLE_SHARE = 0.8
BYTES_PER_MB = 1_000_000
# Memory of a connection without a body: 3.3 KB measured with a head of 1,000 bytes, and
# up to a head and one read of 16 KB each that are not parsed yet.
CONNECTION_BYTES = 36_864
CONNECTION_SHARE = 0.25
# Descriptors that the platform sets aside for files.
FILE_DESCRIPTOR_RESERVE = 200
# An open request needs a connection of its caller and one to a server. The rest is for
# idle connections to servers, the store, peers, readiness and metrics.
CALLER_DESCRIPTOR_SHARE = 0.4
IDLE_DESCRIPTOR_SHARE = 0.1
MIN_CONNECTIONS = 8
# A client is slow if it moves fewer bytes than this in a second while others wait.
MIN_BYTES_PER_SECOND = 32_768
# Checks in a row after which a slow client may be cut off. Two checks of half a second
# bridge a lost segment that is sent again.
SLOW_CHECKS = 2
CHECK_INTERVAL_SECONDS = 0.5
# Refused connections beyond the bound, which get time to read the refusal.
MAX_REFUSED_CONNECTIONS = 8
# A client that has waited this long is refused, so that it can try another entry.
MAX_WAIT_SECONDS = 5.0


class CutReason(Enum):
    """Name why a client is cut off."""

    SLOW_REQUEST = "slow request"
    UNREAD_RESPONSE = "unread response"
    NO_MEMORY = "no memory"
    IDLE_CONNECTION = "idle connection"
    TOO_MANY_CONNECTIONS = "too many connections"


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Represent the bounds of one process; none of a kind means no bound.

    :param bytes_held: bytes of requests and unread responses.
    :param response_bytes: bytes of responses that are being read from servers.
    :param connections: open connections of clients.
    :param idle_connections: idle connections to servers.
    """

    bytes_held: int | None = None
    response_bytes: int | None = None
    connections: int | None = None
    idle_connections: int | None = None


def derive_limits(
    memory_mb: float | None, file_descriptors: int | None
) -> ProcessLimits:
    """Return the bounds that follow from the memory and descriptors of an instance."""
    bytes_held = response_bytes = idle = None
    bounds = []
    if memory_mb is not None:
        memory = memory_mb * BYTES_PER_MB
        usable = max(memory - BASE_BYTES, memory * MIN_CLIENT_SHARE) * USABLE_SHARE
        bounds.append(int(usable * CONNECTION_SHARE / CONNECTION_BYTES))
        response_bytes = int(usable * CONNECTION_SHARE)
        bytes_held = int(usable) - response_bytes
    if file_descriptors is not None:
        usable_descriptors = max(0, file_descriptors - FILE_DESCRIPTOR_RESERVE)
        bounds.append(int(usable_descriptors * CALLER_DESCRIPTOR_SHARE))
        idle = int(usable_descriptors * IDLE_DESCRIPTOR_SHARE)
    connections = max(MIN_CONNECTIONS, min(bounds)) if bounds else None
    return ProcessLimits(bytes_held, response_bytes, connections, idle)


class Client:
    """Represent one connection of a client.

    :ivar reserved_bytes: bytes reserved for its request.
    :ivar unread_bytes: bytes of responses that it has not read.
    :ivar moved_bytes: bytes received from it or read by it since the last check.
    :ivar is_served: whether its request is complete and has been passed on.
    :ivar is_closing: whether its connection ends once it has read the last response.
    :ivar has_been_served: whether a request of this connection was ever complete.
    :ivar idle_since: when it began to have no complete request.
    """

    __slots__ = (
        "cut",
        "has_been_served",
        "idle_since",
        "is_closing",
        "is_served",
        "moved_bytes",
        "reserved_bytes",
        "resume",
        "slow_checks",
        "unread_bytes",
        "waiting_bytes",
        "waiting_since",
    )

    def __init__(
        self, now: float, resume: Callable[[], None], cut: Callable[[CutReason], None]
    ) -> None:
        self.resume = resume
        self.cut = cut
        self.idle_since = now
        self.reserved_bytes = 0
        self.unread_bytes = 0
        self.waiting_bytes = 0
        self.waiting_since = 0.0
        self.moved_bytes = 0
        self.slow_checks = 0
        self.is_closing = False
        self.is_served = False
        self.has_been_served = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for this client."""
        return self.reserved_bytes + self.unread_bytes

    def forget_connection(self) -> None:
        """Drop the functions of a connection that has ended.

        They refer to the connection, whose buffers would stay in memory until the next
        garbage collection.
        """
        self.resume = _do_nothing
        self.cut = _ignore_reason


class MemoryBudget:
    """Decide about all clients of one process.

    :ivar held_bytes: bytes held for all clients.
    :ivar cut_count_by_reason: clients cut off or refused since the start.
    """

    def __init__(self, limits: ProcessLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.cut_count_by_reason = dict.fromkeys(CutReason, 0)
        self._large_bytes = 0
        self._clients: dict[Client, None] = {}
        self._waiting: deque[Client] = deque()
        # In the order in which their responses were written.
        self._unread: dict[Client, None] = {}
        self._checked_at = 0.0

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._clients)

    @property
    def waiting_count(self) -> int:
        """Return the number of clients whose requests wait to be read."""
        return len(self._waiting)

    def open(self, client: Client) -> bool:
        """Count a connection; return false if it has to be refused.

        The connection that has waited longest without a complete request makes room.
        """
        bound = self.limits.connections
        if bound is not None and len(self._clients) >= bound:
            victim = self._find_idle(bound)
            if victim is not None:
                del self._clients[victim]
                self._cut(victim, CutReason.IDLE_CONNECTION)
        self._clients[client] = None
        if bound is not None and len(self._clients) > bound:
            client.is_closing = True
            self._count(CutReason.TOO_MANY_CONNECTIONS)
            return False
        return True

    def _find_idle(self, bound: int) -> Client | None:
        """Return the connection to close for a new one, none if all are served.

        Refused ones are kept while there is room, so that the refusal can be read.
        Connections without a request that was ever complete go first, then those kept
        for the next request, then those that send a body.
        """
        keeps_refused = len(self._clients) < bound + MAX_REFUSED_CONNECTIONS
        idle = (
            client
            for client in self._clients
            if not client.is_served
            and not client.unread_bytes
            and not (client.is_closing and keeps_refused)
        )
        return min(
            idle,
            key=lambda item: (
                not item.is_closing,
                item.reserved_bytes > 0,
                item.has_been_served,
                item.idle_since,
            ),
            default=None,
        )

    def close(self, client: Client) -> None:
        """Release everything held for a connection that is closed."""
        self._clients.pop(client, None)
        self.set_unread(client, 0)
        self.end_request(client, client.idle_since)

    def reserve(self, client: Client, size: int, now: float) -> bool:
        """Reserve memory for a request, or return false and let the client wait.

        `Client.resume` is called when a waiting client has got its memory.

        :param size: bytes of the whole request, including those reserved before.
        """
        added = size - client.reserved_bytes
        if added <= 0:
            return True
        if self._fits(client, size) and not self._is_behind_others(size):
            self._add(client, added)
            return True
        client.waiting_bytes = size
        client.waiting_since = now
        self._waiting.append(client)
        return False

    def _is_behind_others(self, size: int) -> bool:
        """Return whether clients of the same kind wait already."""
        return any(
            _is_small(size) == _is_small(other.waiting_bytes) for other in self._waiting
        )

    def _fits(self, client: Client, size: int) -> bool:
        limit = self.limits.bytes_held
        if limit is None:
            return True
        fits = self.held_bytes + size - client.reserved_bytes <= limit
        if _is_small(size):
            # Large requests leave a part of the budget to small ones.
            small_bytes = self.held_bytes - self._large_bytes
            reserve = limit * (1.0 - LARGE_REQUEST_SHARE)
            return fits or small_bytes + size - client.reserved_bytes <= reserve
        others = self._large_bytes - _large(client.reserved_bytes)
        # A single large request is served however small the budget is.
        return others == 0 or (fits and others + size <= limit * LARGE_REQUEST_SHARE)

    def _add(self, client: Client, added: int) -> None:
        before = client.reserved_bytes
        client.reserved_bytes += added
        self.held_bytes += added
        self._large_bytes += _large(client.reserved_bytes) - _large(before)

    def complete_request(self, client: Client, size: int) -> None:
        """Note that a request is complete, and release what it does not need.

        :param size: bytes of the complete request.
        """
        self._add(client, min(0, size - client.reserved_bytes))
        client.is_served = True
        client.has_been_served = True
        client.slow_checks = 0
        self._resume_waiting()

    def end_request(self, client: Client, now: float) -> None:
        """Release the memory of a request that has ended or is refused."""
        self._add(client, -client.reserved_bytes)
        client.is_served = False
        client.idle_since = now
        client.slow_checks = 0
        if client.waiting_bytes:
            client.waiting_bytes = 0
            self._waiting.remove(client)
        self._resume_waiting()

    def set_unread(self, client: Client, size: int) -> None:
        """Set the bytes of responses that a client has not read."""
        if size == client.unread_bytes:
            return
        if not client.unread_bytes:
            self._unread[client] = None
        client.moved_bytes += max(0, client.unread_bytes - size)
        is_more = size > client.unread_bytes
        self.held_bytes += size - client.unread_bytes
        client.unread_bytes = size
        if not size:
            del self._unread[client]
        if is_more:
            self._cut_unread(client)
        self._resume_waiting()

    def _cut_unread(self, newest: Client) -> None:
        """Cut off clients that do not read, if the budget is exceeded.

        A response cannot wait as a request can. Those that read slowest at the last
        check go first, then those whose responses are the oldest.

        :param newest: client whose response has just been written; it is kept.
        """
        if not self._is_exceeded():
            return
        for client in sorted(self._unread, key=lambda item: -item.slow_checks):
            if client is newest:
                continue
            self._cut(client, CutReason.UNREAD_RESPONSE)
            self.set_unread(client, 0)
            if not self._is_exceeded():
                return

    def _resume_waiting(self) -> None:
        """Give memory to those that wait, small requests before large ones."""
        if not self._waiting:
            return
        resumed: list[Client] = []
        for is_small in (True, False):
            for client in list(self._waiting):
                size = client.waiting_bytes
                if _is_small(size) != is_small:
                    continue
                if not self._fits(client, size):
                    break
                self._waiting.remove(client)
                client.waiting_bytes = 0
                client.moved_bytes = 0
                client.slow_checks = 0
                self._add(client, size - client.reserved_bytes)
                resumed.append(client)
        for client in resumed:
            client.resume()

    def check(self, now: float) -> None:
        """Cut off slow clients while others wait, and refuse those that wait too long.

        It may be called at any interval; checks are made half a second apart.
        """
        elapsed = now - self._checked_at
        if elapsed < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        if not self._waiting and not self._is_exceeded():
            for client in self._clients:
                client.slow_checks = 0
                client.moved_bytes = 0
            return
        self._rate_clients(min(elapsed, 2 * CHECK_INTERVAL_SECONDS))
        self._cut_slow()
        for client in list(self._waiting):
            if client.waiting_bytes and now - client.waiting_since >= MAX_WAIT_SECONDS:
                self._cut(client, CutReason.NO_MEMORY)

    def _is_exceeded(self) -> bool:
        limit = self.limits.bytes_held
        return limit is not None and self.held_bytes > limit

    def _rate_clients(self, elapsed: float) -> None:
        for client in self._clients:
            moved, client.moved_bytes = client.moved_bytes, 0
            is_waited_for = client.unread_bytes > 0 or (
                client.reserved_bytes > 0 and not client.is_served
            )
            if client.waiting_bytes or not is_waited_for:
                client.slow_checks = 0
                continue
            is_slow = moved < MIN_BYTES_PER_SECOND * elapsed
            client.slow_checks = client.slow_checks + 1 if is_slow else 0

    def _cut_slow(self) -> None:
        """Cut off slow clients, largest first, until the others have enough memory."""
        wanted = sum(client.waiting_bytes for client in self._waiting)
        limit = self.limits.bytes_held or 0
        missing = wanted + max(0, self.held_bytes - limit)
        slow = [item for item in self._clients if item.slow_checks >= SLOW_CHECKS]
        for client in sorted(slow, key=lambda item: item.held_bytes, reverse=True):
            if missing <= 0:
                return
            missing -= client.held_bytes
            reason = CutReason.SLOW_REQUEST
            if client.unread_bytes > client.reserved_bytes or client.is_served:
                reason = CutReason.UNREAD_RESPONSE
            self._cut(client, reason)

    def _cut(self, client: Client, reason: CutReason) -> None:
        self._count(reason)
        client.cut(reason)

    def _count(self, reason: CutReason) -> None:
        self.cut_count_by_reason[reason] += 1


def _is_small(size: int) -> bool:
    return size <= SMALL_REQUEST_BYTES


def _large(size: int) -> int:
    return 0 if _is_small(size) else size


def _do_nothing() -> None:
    pass


def _ignore_reason(_reason: CutReason) -> None:
    pass
