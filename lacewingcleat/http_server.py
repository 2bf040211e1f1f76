"""transport: HTTP server with limits on body size, memory and receive time.

Request bodies are buffered in memory up to a limit, because the instances have no disk.
The connection is aborted if a request is not received within a time limit. A request
that cannot be read is refused while it arrives, and its rest is discarded.
"""

import re
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from io import BytesIO
from typing import Any
from weakref import WeakSet

from twisted.internet import reactor
from twisted.internet.error import ConnectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web import http

from lacewingcleat.caller_connection import (
    HEADER_COST_BYTES,
    LIMITED_READ_BYTES,
    LINGERING_CLOSE_SECONDS,
    MAX_LINGERING_SECONDS,
    unsent_bytes,
)
from lacewingcleat.clock import read_now
from lacewingcleat.http_headers import OUTCOME, OUTCOME_CODE, TICKET, Outcome
from lacewingcleat.memory_budget import (
    CHECK_INTERVAL_SECONDS,
    SMALL_REQUEST_BYTES,
    Client,
    CutReason,
    MemoryBudget,
    ProcessLimits,
)
from lacewingcleat.parse_turns import ParseTurns
from lacewingcleat.problems import (
    CONTENT_TYPE,
    Problem,
    encode_problem,
    not_run_problem,
)

DEFAULT_BODY_LIMIT_BYTES = 8 << 20
RECEIVE_TIMEOUT_SECONDS = 30.0
# Longer than the clients' idle timeout, so that a client does not send a request on a
# connection that the server is closing.
IDLE_CONNECTION_TIMEOUT_SECONDS = 120
# Memory for the buffered bodies of one listener, as a multiple of the body limit.
# Without this bound, 2,000 open requests of 8 MiB could occupy 16 GiB.
MAX_BUFFERED_BODIES = 32
# Received data is parsed in slices until this many parts were read in a turn of the
# reactor. A chunk takes about 6 us, so that other connections wait for some
# milliseconds.
SLICE_BYTES = 1024
MAX_PARTS_PER_TURN = 256
# A crowd of clients is cut off faster than lines can be read.
CUT_LOG_INTERVAL_SECONDS = 1.0
# Connections with more to parse that get a turn before others are read again.
MAX_CONNECTIONS_PER_TURN = 8

_METHOD_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32}")
# The target is appended to the address of the next hop to form a URL. Without a leading
# slash it could change the host.
_TARGET_PATTERN = re.compile(rb"/[\x21-\x7e]*")
_LOG = Logger()
CONNECTION_DONE = Failure(ConnectionDone())

_REACTOR: Any = reactor


class BoundedRequest(http.Request):
    """Represent a request whose buffered body is limited by its factory."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        channel: Any = self.channel
        self.received_bytes = 0
        self.body_limit_bytes = DEFAULT_BODY_LIMIT_BYTES
        factory = getattr(channel, "bounded_factory", None)
        if factory is not None:
            self.body_limit_bytes = factory.body_limit_bytes
        self._bounded_factory = factory
        self.buffered_bytes = 0
        self.buffer_exhausted = False
        self.receive_timer: Any = _REACTOR.callLater(
            RECEIVE_TIMEOUT_SECONDS,
            self._on_receive_timeout,
        )

    def _on_receive_timeout(self) -> None:
        self.receive_timer = None
        self.channel.forceAbortClient()

    def _cancel_receive_timer(self) -> None:
        timer, self.receive_timer = self.receive_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def gotLength(self, length: int | None) -> None:
        """Buffer the body in memory; the base class writes large bodies to disk."""
        self.body = BytesIO()
        self.content = self.body

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a chunk of the body, or discard it if a limit is exceeded."""
        channel: Any = self.channel
        channel.part_count += 1
        if channel.is_refused:
            return
        self.received_bytes += len(data)
        if self.received_bytes > self.body_limit_bytes:
            channel.refuse(_body_too_large(self.body_limit_bytes))
            return
        if self._reserve_memory(len(data)):
            self.body.write(data)
        channel.grow_request(self.received_bytes)

    def _reserve_memory(self, size: int) -> bool:
        """Reserve memory of the listener for a chunk; return whether it succeeded."""
        channel: Any = self.channel
        factory = channel.bounded_factory
        if (
            self.buffer_exhausted
            or factory.buffered_bytes + size > factory.buffer_limit_bytes
        ):
            self.buffer_exhausted = True
            self._release_memory()
            return False
        factory.buffered_bytes += size
        self.buffered_bytes += size
        return True

    def _release_memory(self) -> None:
        if self._bounded_factory is not None:
            self._bounded_factory.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0

    def discard_body(self) -> None:
        """Release the memory of a request that is refused."""
        self._cancel_receive_timer()
        self._release_memory()
        self.body = BytesIO()
        self.content = self.body

    def process(self) -> None:
        """Validate the request and pass it to the factory's handler."""
        self._cancel_receive_timer()
        channel: Any = self.channel
        if channel.is_refused:
            return
        channel.complete_request(self.received_bytes)
        problem = self._validate()
        if problem is not None:
            self._respond_problem_with_outcome(problem)
            return
        try:
            channel.bounded_factory.handle(self)
        except Exception:
            _LOG.failure("a request failed")
            detail = "the process failed while it handled the request"
            self._respond_problem_with_outcome(
                Problem(500, Outcome.UNKNOWN, "internal-error", detail)
            )

    def _validate(self) -> Problem | None:
        if self.buffer_exhausted:
            detail = "the bodies of open requests fill the memory set aside for them"
            return not_run_problem(503, "overload", detail, 1.0)
        if not _METHOD_PATTERN.fullmatch(self.method):
            return not_run_problem(
                400, "malformed-request", "the method is not a token"
            )
        if not _TARGET_PATTERN.fullmatch(self.uri):
            detail = "the target must be a path of printable ASCII characters"
            return not_run_problem(400, "malformed-request", detail)
        return None

    def _respond_problem_with_outcome(self, problem: Problem) -> None:
        self.setHeader(OUTCOME.encode(), problem.outcome.value.encode())
        self.setHeader(OUTCOME_CODE.encode(), problem.code.encode())
        self.respond_problem(problem, "")

    def write(self, data: bytes) -> None:
        """Write a part of the response; the head tells whether the connection ends."""
        if not self.startedWriting and self._ends_connection():
            self.setHeader(b"Connection", b"close")
        super().write(data)

    def finish(self) -> None:
        """End the response and release the memory of the body."""
        self._release_memory()
        if self._ends_connection():
            # The head may have been written before the process began to stop.
            channel: Any = self.channel
            channel.persistent = False
        bounded_channel: Any = self.channel
        if bounded_channel is not None:
            bounded_channel.end_request()
        super().finish()

    def _ends_connection(self) -> bool:
        return self._bounded_factory is not None and self._bounded_factory.is_closing

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Register a producer, paused if the send buffer is already full."""
        super().registerProducer(producer, streaming)
        channel: Any = self.channel
        if streaming and channel is not None and channel.is_send_buffer_full:
            producer.pauseProducing()

    def connectionLost(self, reason: Any) -> None:
        """Release the timer and memory when the client disconnects."""
        self._cancel_receive_timer()
        self._release_memory()
        super().connectionLost(reason)

    def header(self, name: str) -> str | None:
        """Return a header's value, with replacement characters for invalid UTF-8."""
        value: bytes | None = self.getHeader(name.encode())
        return None if value is None else value.decode("utf-8", "replace")

    def path_text(self) -> str:
        """Return the path of the request target without the query."""
        return self.path.decode("ascii", "replace")

    def set_status(self, status: int) -> None:
        """Set the status code with its standard reason phrase."""
        try:
            phrase = HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b""
        self.setResponseCode(status, phrase or None)

    def respond(self, status: int, content_type: str, body: bytes) -> None:
        """Send a complete response unless the request has ended."""
        if self._disconnected or self.finished:
            return
        self.set_status(status)
        self.setHeader(b"Content-Type", content_type.encode())
        self.setHeader(b"Content-Length", str(len(body)).encode())
        self.write(body)
        self.finish()

    def respond_problem(self, problem: Problem, request_id: str) -> None:
        """Send a problem document as the response."""
        if problem.retry_after_seconds is not None:
            seconds = max(1, round(problem.retry_after_seconds + 0.5))
            self.setHeader(b"Retry-After", str(seconds).encode())
        self.respond(problem.status, CONTENT_TYPE, encode_problem(problem, request_id))

    @property
    def is_open(self) -> bool:
        """Return whether response data can still be written."""
        return not self._disconnected and not self.finished


class BoundedChannel(http.HTTPChannel):
    """Abort a connection if its request line does not arrive in time.

    The idle timeout is not sufficient because each received byte restarts it.
    """

    bounded_factory: "BoundedFactory"
    transport: Any
    request_line_timer: Any = None

    def __init__(self, factory: "BoundedFactory") -> None:
        super().__init__()
        self.bounded_factory = factory
        self.client = Client(read_now(), self._resume, self._cut)
        self.part_count = 0
        self.is_refused = False
        self._reads_plain_body = False
        self._head_cost = 0
        self._pending = b""
        self._awaits_memory = False
        self._awaits_turn = False
        self._linger_timer: Any = None
        self._linger_until = 0.0

    @property
    def is_send_buffer_full(self) -> bool:
        """Return whether the send buffer is full."""
        return bool(self._waitingForTransport)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return not self.requests and not self._buffer and not self._pending

    def connectionMade(self) -> None:
        """Count the connection; refuse it if there are too many."""
        super().connectionMade()
        budget = self.bounded_factory.budget
        if budget.limits.bytes_held is not None:
            self.transport.bufferSize = LIMITED_READ_BYTES
        if not budget.open(self.client):
            self.bounded_factory.on_cut(CutReason.TOO_MANY_CONNECTIONS)
            detail = "the process has too many connections"
            self.refuse(not_run_problem(503, "overload", detail, 1.0))
        self.bounded_factory.schedule_check()

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, or keep it while the connection waits."""
        if self.is_refused:
            self._linger()
            return
        self.client.moved_bytes += len(data)
        if self._awaits_turn or self._awaits_memory:
            self._pending += data
            self.transport.pauseProducing()
            return
        self._feed(data)

    def parse(self) -> None:
        """Parse what has been received before, in the turn of this connection."""
        self._awaits_turn = False
        if self._awaits_memory or self.is_refused or not self.connected:
            return
        data, self._pending = self._pending, b""
        self._feed(data)
        if self._awaits_turn or self._awaits_memory:
            return
        buffered = sum(map(len, self._dataBuffer))
        if not self._handlingRequest or buffered <= self._optimisticEagerReadSize:
            self.transport.resumeProducing()

    def _feed(self, data: bytes) -> None:
        """Parse data up to a number of parts, and the rest in a later turn."""
        start = parts = 0
        while start < len(data) and parts < MAX_PARTS_PER_TURN:
            # The parts of a body of known length do not grow with its bytes.
            end = len(data) if self._reads_plain_body else start + SLICE_BYTES
            parts_before = self.part_count
            super().dataReceived(data[start:end])
            start = end
            parts += 1 + self.part_count - parts_before
            if self.is_refused or not self.connected:
                return
            if self._awaits_memory:
                break
        self._update_request_line_timer()
        self._pending = data[start:]
        if self._pending and not self._awaits_memory:
            self._awaits_turn = True
            self.transport.pauseProducing()
            self.bounded_factory.parse_turns.add(self)

    def _update_request_line_timer(self) -> None:
        """Start the timer at the first byte of a request line."""
        if self.requests or not self._buffer:
            self._cancel_request_line_timer()
        elif self.request_line_timer is None:
            self.request_line_timer = _REACTOR.callLater(
                RECEIVE_TIMEOUT_SECONDS,
                self._on_request_line_timeout,
            )

    def allHeadersReceived(self) -> None:
        """Refuse a length over the limit, and reserve memory for the request."""
        request: Any = self.requests[-1]
        limit = self.bounded_factory.body_limit_bytes
        if self.length is not None and self.length > limit:
            request.gotLength(self.length)
            self.refuse(_body_too_large(limit))
            return
        self._head_cost = sum(
            len(name) + len(value) + HEADER_COST_BYTES
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        )
        self._reads_plain_body = bool(self.length)
        body_bytes = self.length
        if body_bytes is None:
            body_bytes = min(SMALL_REQUEST_BYTES // 2, limit)
        self._reserve(self._head_cost + body_bytes)
        super().allHeadersReceived()

    def grow_request(self, body_bytes: int) -> None:
        """Reserve the rest of a request of unknown length."""
        if self._head_cost + body_bytes > self.client.reserved_bytes:
            self._reserve(self._head_cost + self.bounded_factory.body_limit_bytes)

    def _reserve(self, size: int) -> None:
        """Reserve memory for the whole request, or wait for it without reading."""
        if self._awaits_memory:
            return
        if not self.bounded_factory.budget.reserve(self.client, size, read_now()):
            self._awaits_memory = True
            self.transport.pauseProducing()

    def complete_request(self, body_bytes: int) -> None:
        """Release what a complete request does not need."""
        self._reads_plain_body = False
        size = self._head_cost + body_bytes
        self.bounded_factory.budget.complete_request(self.client, size)

    def end_request(self) -> None:
        """Release the memory of a request that is answered."""
        self.bounded_factory.budget.end_request(self.client, read_now())

    def _resume(self) -> None:
        self._awaits_memory = False
        self._awaits_turn = True
        self.bounded_factory.parse_turns.add(self)

    def _cut(self, reason: CutReason) -> None:
        """End the connection, with a response if a request is being read."""
        self.bounded_factory.on_cut(reason)
        match reason:
            case CutReason.SLOW_REQUEST:
                detail = "the request was sent too slowly while others waited"
                self.refuse(not_run_problem(408, "slow-request", detail, 1.0))
            case CutReason.NO_MEMORY:
                detail = "the bodies of open requests fill the memory set aside"
                self.refuse(not_run_problem(503, "overload", detail, 1.0))
            case _:
                self.forceAbortClient()

    def count_unread(self) -> None:
        """Count the bytes that the client has not read yet."""
        size = unsent_bytes(self.transport) if self._waitingForTransport else 0
        self.bounded_factory.budget.set_unread(self.client, size)

    def refuse(self, problem: Problem) -> None:
        """Write a refusal, discard what still arrives and close the connection."""
        if self.is_refused:
            return
        for request in self.requests:
            ticket = request.header(TICKET)
            if ticket:
                # A copy may have run through another process.
                problem = replace(problem, outcome=Outcome.UNKNOWN, ticket=ticket)
            request.discard_body()
        self.is_refused = True
        self.client.is_closing = True
        self._pending = b""
        self.bounded_factory.budget.end_request(self.client, read_now())
        self._cancel_request_line_timer()
        self.bounded_factory.on_refused(problem)
        self.transport.write(_encode_refusal(problem))
        self.transport.loseWriteConnection()
        self.transport.resumeProducing()
        self._linger_until = _REACTOR.seconds() + MAX_LINGERING_SECONDS
        self._linger()

    def _linger(self) -> None:
        """Close the connection once the client has stopped sending."""
        self._cancel_linger_timer()
        remaining = self._linger_until - _REACTOR.seconds()
        seconds = max(0.0, min(LINGERING_CLOSE_SECONDS, remaining))
        self._linger_timer = _REACTOR.callLater(seconds, self.forceAbortClient)

    def _cancel_linger_timer(self) -> None:
        timer, self._linger_timer = self._linger_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _on_request_line_timeout(self) -> None:
        self.request_line_timer = None
        self.forceAbortClient()

    def _cancel_request_line_timer(self) -> None:
        timer, self.request_line_timer = self.request_line_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def connectionLost(self, reason: Any = CONNECTION_DONE) -> None:
        """Cancel the timers and release what is held for the client."""
        self._cancel_request_line_timer()
        self._cancel_linger_timer()
        self.connected = 0
        self.bounded_factory.budget.close(self.client)
        super().connectionLost(reason)


class ClientCutLog:
    """Log clients that are cut off, at most once in an interval.

    :param warn: writes a line.
    """

    def __init__(self, warn: Callable[[str], None]) -> None:
        self._warn = warn
        self._logged_at = float("-inf")
        self._unlogged_count = 0

    def record(self, reason: CutReason) -> None:
        """Log or count a client that is refused or cut off."""
        now = read_now()
        if now - self._logged_at < CUT_LOG_INTERVAL_SECONDS:
            self._unlogged_count += 1
            return
        more, self._unlogged_count = self._unlogged_count, 0
        self._logged_at = now
        self._warn(f"client cut off: {reason.value} ({more} more since the last line)")


class BoundedFactory(http.HTTPFactory):
    """Build channels that pass their requests to one handler.

    :param handle: called with each request received.
    :param body_limit_bytes: maximum size of a body in bytes.
    :param budget: bounds what the clients make the process hold; none by default.
    :param on_cut: called with the reason for which a client is refused or cut off.
    :param on_refused: called with the reason for which a request is refused before it
        is complete.
    :ivar is_closing: whether each connection ends with its next response.
    """

    def __init__(
        self,
        handle: Callable[[BoundedRequest], None],
        body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
        budget: MemoryBudget | None = None,
        on_cut: Callable[[CutReason], None] = lambda reason: None,
        on_refused: Callable[[Problem], None] = lambda problem: None,
    ) -> None:
        super().__init__(timeout=IDLE_CONNECTION_TIMEOUT_SECONDS)
        self.handle = handle
        self.budget = budget or MemoryBudget(ProcessLimits())
        self.on_cut = on_cut
        self.on_refused = on_refused
        self.parse_turns = ParseTurns(_REACTOR.callLater, MAX_CONNECTIONS_PER_TURN)
        self._check_timer: Any = None
        self._channels: WeakSet[Any] = WeakSet()
        self.body_limit_bytes = body_limit_bytes
        self.is_closing = False
        self.buffered_bytes = 0
        self.buffer_limit_bytes = MAX_BUFFERED_BODIES * body_limit_bytes

    def buildProtocol(self, addr: Any) -> Any:
        """Build a channel that creates `BoundedRequest` objects."""
        channel: Any = BoundedChannel(self)
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.requestFactory = BoundedRequest
        self._channels.add(channel)
        return channel

    def schedule_check(self) -> None:
        """Check the budget regularly while there are connections."""
        if self._check_timer is None and self.budget.limits.bytes_held is not None:
            self._check_timer = _REACTOR.callLater(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        self._check_timer = None
        for channel in list(self._channels):
            if channel.transport is not None and channel.connected:
                channel.count_unread()
        self.budget.check(read_now())
        if self.budget.connection_count:
            self.schedule_check()

    def close_idle(self) -> None:
        """Close all connections on which no request is being read or answered."""
        for channel in list(self._channels):
            if channel.transport is not None and channel.is_idle:
                channel.loseConnection()

    def abort_connections(self) -> None:
        """Abort all connections, as if the process had ended."""
        for channel in list(self._channels):
            if channel.transport is not None:
                channel.forceAbortClient()

    def log(self, request: http.Request) -> None:
        """Write no access log, because metrics and traces cover it."""


def _body_too_large(limit: int) -> Problem:
    return not_run_problem(413, "body-too-large", f"the body exceeds {limit} bytes")


def _encode_refusal(problem: Problem) -> bytes:
    """Encode a response to a request that is still arriving."""
    body = encode_problem(problem, "")
    status = HTTPStatus(problem.status)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"Content-Type: {CONTENT_TYPE}",
        f"Content-Length: {len(body)}",
        f"{OUTCOME}: {problem.outcome.value}",
        f"{OUTCOME_CODE}: {problem.code}",
        "Connection: close",
    ]
    if problem.retry_after_seconds is not None:
        lines.append(f"Retry-After: {max(1, round(problem.retry_after_seconds))}")
    return "\r\n".join([*lines, "", ""]).encode() + body
