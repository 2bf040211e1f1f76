"""transport: requests to the next hop over pooled connections.

A connection carries one request at a time and is closed when an answer breaks off, so
an answer can only belong to its own request. Automatic retries of the HTTP client are
switched off: whether to retry is decided by `retries` alone.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from io import BytesIO
from typing import Any

from result import Err, Ok, Result
from twisted.internet import defer, error
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web._newclient import HEADER, STATUS, HTTP11ClientProtocol
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseDone,
    _HTTP11ClientFactory,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 30
MAX_IDLE_CONNECTIONS_PER_HOST = 256
# The HTTP client bounds a line but not the number of lines before the body.
MAX_HEAD_BYTES = 64 << 10
INTERNAL_PREFIX = b"lacewing-"
STATUS_RANGE = range(200, 600)

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    },
)


CONNECTION_DONE = Failure(error.ConnectionDone())


class SendState(Enum):
    """Say how far a failed request has come."""

    NOT_SENT = "not-sent"
    SENT = "sent"


@dataclass(frozen=True, slots=True)
class SendFailure:
    """Describe a request that got no answer."""

    state: SendState
    text: str


class BodyReceiver(Protocol):
    """Pass the body of an answer on as it arrives.

    :param on_data: called with each part.
    :param on_end: called once, with whether the body is complete.
    """

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self._on_data = on_data
        self._on_end = on_end

    def dataReceived(self, data: bytes) -> None:
        """Pass a part on."""
        self._on_data(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Report the end of the body."""
        self._on_end(reason.check(ResponseDone) is not None)

    def abort(self) -> None:
        """Close the connection, which cancels the rest of the answer."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class _BoundedProtocol(HTTP11ClientProtocol):
    """Close a connection on which the head of an answer does not end."""

    head_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        """Count what arrives before the body."""
        super().dataReceived(data)
        parser = self._parser
        if parser is None or parser.state not in (STATUS, HEADER):
            self.head_bytes = 0
            return
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            transport: Any = self.transport
            transport.abortConnection()


class _BoundedProtocolFactory(_HTTP11ClientFactory):
    def buildProtocol(self, addr: Any) -> _BoundedProtocol:
        return _BoundedProtocol(self._quiescentCallback)


class _BoundedPool(HTTPConnectionPool):
    _factory = _BoundedProtocolFactory


class Throttle:
    """Pause the next hop's answer while the receiving connection is full.

    :param on_pause: called with True when reading stops, with False when it goes on.
    """

    __slots__ = ("_on_pause", "_receiver")

    def __init__(
        self,
        receiver: BodyReceiver,
        on_pause: Callable[[bool], None] | None = None,
    ) -> None:
        self._receiver = receiver
        self._on_pause = on_pause

    def pauseProducing(self) -> None:
        """Stop reading from the next hop."""
        transport: Any = self._receiver.transport
        if transport is not None:
            transport.pauseProducing()
        if self._on_pause is not None:
            self._on_pause(True)

    def resumeProducing(self) -> None:
        """Read on."""
        transport: Any = self._receiver.transport
        if transport is not None:
            transport.resumeProducing()
        if self._on_pause is not None:
            self._on_pause(False)

    def stopProducing(self) -> None:
        """Read on when the receiver is gone.

        The call decides whether the answer is cancelled. An answer under a ticket is
        kept, so it must not stay paused.
        """
        self.resumeProducing()


class RelayClient:
    """Send requests to other hops.

    :param reactor: the loop.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor: Any = reactor
        self._pool = _BoundedPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_SECONDS
        self._pool.retryAutomatically = False
        self._agent = Agent(
            reactor,
            connectTimeout=CONNECT_TIMEOUT_SECONDS,
            pool=self._pool,
        )

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout: float,
        on_pending: Callable[["defer.Deferred[IResponse]"], None] | None = None,
    ) -> Result[IResponse, SendFailure]:
        """Send a request and wait for the head of the answer.

        :param timeout: seconds until the head of the answer must have arrived.
        :param on_pending: receives the pending answer, so that a caller's disconnect
            can cancel it.
        """
        producer: Any = FileBodyProducer(BytesIO(body)) if body else None
        try:
            pending = self._agent.request(
                method.encode(),
                f"http://{address}{path}".encode(),
                headers,
                producer,
            )
        except ValueError as reason:
            return Err(SendFailure(SendState.NOT_SENT, _describe_exception(reason)))
        if on_pending is not None:
            on_pending(pending)
        pending.addTimeout(max(0.001, timeout), self._reactor)
        try:
            response = await pending
        except (
            error.ConnectError,
            error.ConnectionRefusedError,
            error.ConnectingCancelledError,
            error.DNSLookupError,
        ) as reason:
            return Err(SendFailure(SendState.NOT_SENT, _describe_exception(reason)))
        except Exception as reason:
            # Everything else may have happened after the request was on the wire.
            return Err(SendFailure(SendState.SENT, _describe_exception(reason)))
        if response.code not in STATUS_RANGE:
            discarded = BodyReceiver(lambda _: None, lambda _: None)
            answer: Any = response
            answer.deliverBody(discarded)
            discarded.abort()
            text = f"the answer has the status {response.code}"
            return Err(SendFailure(SendState.SENT, text))
        return Ok(response)

    async def fetch(
        self,
        method: str,
        address: str,
        path: str,
        headers: Headers,
        body: bytes,
        timeout: float,
        limit: int,
    ) -> Result[tuple[IResponse, bytes], SendFailure]:
        """Send a request and read its whole answer, at most `limit` bytes."""
        sent = await self.send(method, address, path, headers, body, timeout)
        if isinstance(sent, Err):
            return sent
        response = sent.ok_value
        content = await self.read_body(response, limit, timeout)
        if content is None:
            return Err(SendFailure(SendState.SENT, "the answer broke off"))
        return Ok((response, content))

    async def can_connect(self, address: str) -> bool:
        """Return whether a hop accepts connections."""
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(
            self._reactor,
            host,
            int(port),
            CONNECT_TIMEOUT_SECONDS,
        )
        try:
            protocol: Any = await connectProtocol(endpoint, Protocol())
        except error.ConnectError:
            return False
        protocol.transport.abortConnection()
        return True

    async def read_body(
        self,
        response: Any,
        limit: int,
        timeout: float,
    ) -> bytes | None:
        """Return the whole body, or `None` if it broke off or exceeds the limit."""
        parts: list[bytes] = []
        size = 0
        ended: defer.Deferred[bool] = defer.Deferred(lambda _: receiver.abort())

        def receive(data: bytes) -> None:
            nonlocal size
            size += len(data)
            if size > limit:
                receiver.abort()
                return
            parts.append(data)

        def end(complete: bool) -> None:
            if not ended.called:
                ended.callback(complete)

        receiver = BodyReceiver(receive, end)
        response.deliverBody(receiver)
        ended.addTimeout(max(0.001, timeout), self._reactor)
        try:
            complete = await ended
        except (defer.TimeoutError, defer.CancelledError):
            return None
        return b"".join(parts) if complete and size <= limit else None

    def close(self) -> "defer.Deferred[Any]":
        """Close idle connections."""
        closing: defer.Deferred[Any] = self._pool.closeCachedConnections()
        return closing


def _describe_exception(reason: BaseException) -> str:
    return f"{type(reason).__name__}: {reason}"[:200]


def copy_headers(headers: Headers, dropped: frozenset[bytes] = frozenset()) -> Headers:
    """Return the end-to-end headers of a message, without those of this system.

    A caller could pass for another account by them, and a backend server could make
    its answer pass for one of its agent.
    """
    copied = Headers()
    for name, values in headers.getAllRawHeaders():
        lower = name.lower()
        if lower.startswith(INTERNAL_PREFIX):
            continue
        if lower not in HOP_BY_HOP_HEADERS and lower not in dropped:
            copied.setRawHeaders(name, values)
    return copied


def set_headers(headers: Headers, values: Mapping[str, str]) -> None:
    """Set headers, leaving out empty values."""
    for name, value in values.items():
        if value:
            headers.setRawHeaders(name, [value])


def first_header(headers: Headers, name: str) -> str:
    """Return the first value of a header, empty if there is none.

    Bytes that are not UTF-8 are replaced.
    """
    values = headers.getRawHeaders(name.encode())
    return values[0].decode("utf-8", "replace") if values else ""


def has_body(status: int, method: str) -> bool:
    """Return whether an answer can have a body."""
    return method != "HEAD" and status not in http.NO_BODY_CODES
