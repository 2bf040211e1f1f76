"""transport: HTTP server with limits on body size, memory and receive time.

Request bodies are buffered in memory up to a limit, because the instances have no disk.
The connection is aborted if a request is not received within a time limit.
"""

import re
from collections.abc import Callable
from http import HTTPStatus
from io import BytesIO
from typing import Any
from weakref import WeakSet

from twisted.internet import reactor
from twisted.internet.error import ConnectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web import http

from lacewingcleat.http_headers import OUTCOME, OUTCOME_CODE, Outcome
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
# Bytes over the body limit are discarded so that the client can read the 413 response.
# The connection is aborted if a client sends more than this multiple of the limit.
MAX_DISCARD_FACTOR = 4
# Memory for the buffered bodies of one listener, as a multiple of the body limit.
# Without this bound, 2,000 open requests of 8 MiB could occupy 16 GiB.
MAX_BUFFERED_BODIES = 32

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
        self.received_bytes += len(data)
        if self.received_bytes <= self.body_limit_bytes and self._reserve_memory(
            len(data)
        ):
            self.body.write(data)
            return
        if self.received_bytes > MAX_DISCARD_FACTOR * self.body_limit_bytes:
            self.channel.forceAbortClient()

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

    @property
    def too_large(self) -> bool:
        """Return whether the body exceeds the limit."""
        return self.received_bytes > self.body_limit_bytes

    def process(self) -> None:
        """Validate the request and pass it to the factory's handler."""
        self._cancel_receive_timer()
        channel: Any = self.channel
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
        if self.buffer_exhausted and not self.too_large:
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

    request_line_timer: Any = None

    @property
    def is_send_buffer_full(self) -> bool:
        """Return whether the send buffer is full."""
        return bool(self._waitingForTransport)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return not self.requests and not self._buffer

    def dataReceived(self, data: bytes) -> None:
        """Start the timer at the first byte of a request line."""
        super().dataReceived(data)
        if self.requests or not self._buffer:
            self._cancel_request_line_timer()
        elif self.request_line_timer is None:
            self.request_line_timer = _REACTOR.callLater(
                RECEIVE_TIMEOUT_SECONDS,
                self._on_request_line_timeout,
            )

    def _on_request_line_timeout(self) -> None:
        self.request_line_timer = None
        self.forceAbortClient()

    def _cancel_request_line_timer(self) -> None:
        timer, self.request_line_timer = self.request_line_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def connectionLost(self, reason: Any = CONNECTION_DONE) -> None:
        """Cancel the timer when the client disconnects."""
        self._cancel_request_line_timer()
        super().connectionLost(reason)


class BoundedFactory(http.HTTPFactory):
    """Build channels that pass their requests to one handler.

    :param handle: called with each request received.
    :param body_limit_bytes: maximum size of a body in bytes.
    :ivar is_closing: whether each connection ends with its next response.
    """

    def __init__(
        self,
        handle: Callable[[BoundedRequest], None],
        body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
    ) -> None:
        super().__init__(timeout=IDLE_CONNECTION_TIMEOUT_SECONDS)
        self.handle = handle
        self._channels: WeakSet[Any] = WeakSet()
        self.body_limit_bytes = body_limit_bytes
        self.is_closing = False
        self.buffered_bytes = 0
        self.buffer_limit_bytes = MAX_BUFFERED_BODIES * body_limit_bytes

    def buildProtocol(self, addr: Any) -> Any:
        """Build a channel that creates `BoundedRequest` objects."""
        channel: Any = BoundedChannel()
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.requestFactory = BoundedRequest
        channel.bounded_factory = self
        self._channels.add(channel)
        return channel

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
