"""transport: the HTTP listener with bounded bodies and bounded waiting.

Bodies are kept in memory up to a limit, because the instances have no disk. A request
that is not received within a time limit loses its connection.
"""

from collections.abc import Callable
from http import HTTPStatus
from io import BytesIO
from typing import Any
from weakref import WeakSet

from twisted.internet import reactor
from twisted.web import http

from lacewingcleat.problems import CONTENT_TYPE, Problem, encode_problem

DEFAULT_BODY_LIMIT_BYTES = 8 << 20
RECEIVE_TIMEOUT_SECONDS = 30.0
# Longer than the time for which clients keep idle connections, so that a client does
# not send on a connection that the server is closing.
IDLE_TIMEOUT_SECONDS = 120
# Bytes beyond the limit are discarded so that the client can read the 413; a client
# that sends this many times the limit loses its connection instead.
DISCARD_FACTOR = 4

_REACTOR: Any = reactor


class BoundedRequest(http.Request):
    """Hold one request whose body stays below the factory's limit."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        channel: Any = self.channel
        self.received_bytes = 0
        self.body_limit = DEFAULT_BODY_LIMIT_BYTES
        factory = getattr(channel, "bounded_factory", None)
        if factory is not None:
            self.body_limit = factory.body_limit
        self.receive_timer: Any = _REACTOR.callLater(
            RECEIVE_TIMEOUT_SECONDS,
            self._receive_timed_out,
        )

    def _receive_timed_out(self) -> None:
        self.receive_timer = None
        self.channel.forceAbortClient()

    def _stop_receive_timer(self) -> None:
        timer, self.receive_timer = self.receive_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def gotLength(self, length: int | None) -> None:
        """Keep the body in memory whatever its length."""
        self.body = BytesIO()
        self.content = self.body

    def handleContentChunk(self, data: bytes) -> None:
        """Store a part of the body, or discard it beyond the limit."""
        self.received_bytes += len(data)
        if self.received_bytes <= self.body_limit:
            self.body.write(data)
            return
        if self.received_bytes > DISCARD_FACTOR * self.body_limit:
            self.channel.forceAbortClient()

    @property
    def too_large(self) -> bool:
        """Return whether the body exceeded the limit."""
        return self.received_bytes > self.body_limit

    def process(self) -> None:
        """Hand the request to the factory's handler."""
        self._stop_receive_timer()
        channel: Any = self.channel
        channel.bounded_factory.handle(self)

    def connectionLost(self, reason: Any) -> None:
        """Stop the timer when the client goes away."""
        self._stop_receive_timer()
        super().connectionLost(reason)

    def header(self, name: str) -> str | None:
        """Return a header's value as text."""
        value: str | None = self.getHeader(name)
        return value

    def path_text(self) -> str:
        """Return the path without the query."""
        return self.path.decode("ascii", "replace")

    def set_status(self, status: int) -> None:
        """Set the status with its standard phrase."""
        try:
            phrase = HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b""
        self.setResponseCode(status, phrase or None)

    def respond(self, status: int, content_type: str, body: bytes) -> None:
        """Send a complete answer."""
        if self._disconnected or self.finished:
            return
        self.set_status(status)
        self.setHeader(b"Content-Type", content_type.encode())
        self.setHeader(b"Content-Length", str(len(body)).encode())
        self.write(body)
        self.finish()

    def respond_problem(self, problem: Problem, request_id: str) -> None:
        """Send a problem document."""
        if problem.retry_after_seconds is not None:
            seconds = max(1, round(problem.retry_after_seconds + 0.5))
            self.setHeader(b"Retry-After", str(seconds).encode())
        self.respond(problem.status, CONTENT_TYPE, encode_problem(problem, request_id))

    @property
    def is_open(self) -> bool:
        """Return whether an answer can still be written."""
        return not self._disconnected and not self.finished


class BoundedFactory(http.HTTPFactory):
    """Build channels whose requests go to one handler.

    :param handle: called with each received request.
    :param body_limit: bytes of a body that are kept.
    """

    def __init__(
        self,
        handle: Callable[[BoundedRequest], None],
        body_limit: int = DEFAULT_BODY_LIMIT_BYTES,
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_SECONDS)
        self.handle = handle
        self._channels: WeakSet[Any] = WeakSet()
        self.body_limit = body_limit

    def buildProtocol(self, addr: Any) -> Any:
        """Build a channel that creates bounded requests."""
        channel: Any = http.HTTPChannel()
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.requestFactory = BoundedRequest
        channel.bounded_factory = self
        self._channels.add(channel)
        return channel

    def abort_connections(self) -> None:
        """Break off all connections, as the end of a process would."""
        for channel in list(self._channels):
            if channel.transport is not None:
                channel.forceAbortClient()

    def log(self, request: http.Request) -> None:
        """Write no access log; metrics and traces carry that information."""
