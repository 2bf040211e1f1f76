"""transport: HTTP client that sends requests to the next hop over pooled connections.

A connection carries one request at a time and is closed when a response is incomplete,
so a response cannot be matched to another request. The automatic retries of the HTTP
library are disabled because only the module `retries` decides whether to retry.
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
from twisted.web._newclient import (
    HEADER,
    STATUS,
    HTTP11ClientProtocol,
    HTTPClientParser,
    ParseError,
)
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    ResponseDone,
    _HTTP11ClientFactory,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from lacewingcleat.http_headers import SERVER_LEAVING
from lacewingcleat.response_grammar import (
    has_one_framing,
    is_field_value,
    is_status_line,
)

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_TIMEOUT_SECONDS = 30
MAX_IDLE_CONNECTIONS_PER_HOST = 256
# The HTTP library limits the length of a header line but not the number of lines.
MAX_RESPONSE_HEAD_BYTES = 64 << 10
INTERNAL_HEADER_PREFIX = b"lacewing-"
VALID_STATUS_CODES = range(200, 600)

# Headers that are not forwarded because they apply to one connection. The HTTP library
# sets those that the next connection needs. Each process says of itself whether it
# leaves.
NON_FORWARDED_HEADERS = frozenset(
    {
        SERVER_LEAVING.lower().encode(),
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
    """Represent whether a failed request may have reached the next hop."""

    NOT_SENT = "not-sent"
    SENT = "sent"


@dataclass(frozen=True, slots=True)
class SendFailure:
    """Describe a request that failed without a complete response."""

    state: SendState
    reason: str


class BodyReceiver(Protocol):
    """Pass the body of a response to callbacks as it arrives.

    :param on_data: called with each chunk.
    :param on_end: called once at the end, with whether the body is complete.
    """

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self._on_data = on_data
        self._on_end = on_end

    def dataReceived(self, data: bytes) -> None:
        """Pass a chunk to the callback."""
        self._on_data(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Report the end of the body and whether it is complete."""
        on_end = self._on_end
        # What these functions refer to would stay in memory until the next garbage
        # collection, as they refer to this receiver as well.
        self._on_data, self._on_end = _ignore_data, _ignore_end
        on_end(reason.check(ResponseDone) is not None)

    def abort(self) -> None:
        """Close the connection, which cancels the rest of the response."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class _StrictParser(HTTPClientParser):
    """Refuse responses whose heads the grammar of HTTP/1.1 does not allow.

    An error closes the connection and fails the request.
    """

    def statusReceived(self, status: bytes) -> None:
        """Check and parse the status line."""
        if not is_status_line(status):
            raise ParseError("malformed status line", status)
        super().statusReceived(status)

    def lineReceived(self, line: bytes) -> None:
        """Check and parse a line of the head."""
        if self.state == HEADER and not is_field_value(line.removesuffix(b"\r")):
            raise ParseError("malformed header", line)
        super().lineReceived(line)

    def allHeadersReceived(self) -> None:
        """Check the framing and go on with the body."""
        names = [
            name.lower()
            for name, values in self.connHeaders.getAllRawHeaders()
            for _ in values
        ]
        if not has_one_framing(names):
            raise ParseError("malformed framing", b"")
        super().allHeadersReceived()


class _BoundedHeadProtocol(HTTP11ClientProtocol):
    """Abort a connection whose response head is malformed or exceeds the limit."""

    head_bytes = 0

    def request(self, request: Any) -> "defer.Deferred[IResponse]":
        """Send a request, whose response is parsed strictly."""
        response: defer.Deferred[IResponse] = super().request(request)
        if self._parser is not None:
            # The library offers no other way to choose the parser.
            self._parser.__class__ = _StrictParser
        return response

    def dataReceived(self, data: bytes) -> None:
        """Count the bytes received before the body and enforce the limit."""
        super().dataReceived(data)
        parser = self._parser
        if parser is None or parser.state not in (STATUS, HEADER):
            self.head_bytes = 0
            return
        self.head_bytes += len(data)
        if self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
            transport: Any = self.transport
            transport.abortConnection()


class _BoundedHeadProtocolFactory(_HTTP11ClientFactory):
    def buildProtocol(self, addr: Any) -> _BoundedHeadProtocol:
        return _BoundedHeadProtocol(self._quiescentCallback)


class _BoundedHeadPool(HTTPConnectionPool):
    _factory = _BoundedHeadProtocolFactory


class BackpressureProducer:
    """Pause reading of a response while the connection to the caller is full.

    :param receiver: receiver of the response body.
    :param on_pause: called with True when reading pauses, False when it resumes.
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
        """Resume reading from the next hop."""
        transport: Any = self._receiver.transport
        if transport is not None:
            transport.resumeProducing()
        if self._on_pause is not None:
            self._on_pause(False)

    def stopProducing(self) -> None:
        """Resume reading when the caller has disconnected.

        The owner of the call decides whether to cancel the response. The response to a
        request with a ticket is stored, so reading must not stay paused.
        """
        self.resumeProducing()


class HttpClient:
    """Send HTTP requests over pooled connections.

    :param reactor: reactor that runs the connections and timers.
    :param persistent: whether connections are used for more than one request.
    """

    def __init__(self, reactor: Any, persistent: bool = True) -> None:
        self._reactor: Any = reactor
        self._pool = _BoundedHeadPool(reactor, persistent=persistent)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_SECONDS
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
        timeout_seconds: float,
        on_pending: Callable[["defer.Deferred[IResponse]"], None] | None = None,
    ) -> Result[IResponse, SendFailure]:
        """Send a request and wait for the head of the response.

        :param address: IP and port of the next hop.
        :param timeout_seconds: time limit in seconds for the head of the response.
        :param on_pending: called with the pending response, so that it can be cancelled
            when the caller disconnects.
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
        pending.addTimeout(max(0.001, timeout_seconds), self._reactor)
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
            # Any other error may have occurred after the request was transmitted.
            return Err(SendFailure(SendState.SENT, _describe_exception(reason)))
        if response.code not in VALID_STATUS_CODES:
            discard_body(response)
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
        timeout_seconds: float,
        max_body_bytes: int,
    ) -> Result[tuple[IResponse, bytes], SendFailure]:
        """Send a request and read the complete response.

        :param timeout_seconds: time limit for the head and again for the body.
        :param max_body_bytes: maximum size of the body in bytes.
        """
        send_result = await self.send(
            method, address, path, headers, body, timeout_seconds
        )
        if isinstance(send_result, Err):
            return send_result
        response = send_result.ok_value
        content = await self.read_body(response, max_body_bytes, timeout_seconds)
        if content is None:
            return Err(SendFailure(SendState.SENT, "the answer broke off"))
        return Ok((response, content))

    async def can_connect(self, address: str) -> bool:
        """Return whether a TCP connection to an address can be opened."""
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
        max_body_bytes: int,
        timeout_seconds: float,
    ) -> bytes | None:
        """Return the body, or `None` if it is incomplete, late or over the limit."""
        content = bytearray()
        body_end: defer.Deferred[bool] = defer.Deferred(lambda _: receiver.abort())

        def receive(data: bytes) -> None:
            if len(content) + len(data) > max_body_bytes:
                receiver.abort()
                return
            content.extend(data)

        def end(complete: bool) -> None:
            if not body_end.called:
                body_end.callback(complete)

        receiver = BodyReceiver(receive, end)
        response.deliverBody(receiver)
        body_end.addTimeout(max(0.001, timeout_seconds), self._reactor)
        try:
            complete = await body_end
        except (defer.TimeoutError, defer.CancelledError):
            return None
        return bytes(content) if complete else None

    def close(self) -> "defer.Deferred[Any]":
        """Close idle connections."""
        closing: defer.Deferred[Any] = self._pool.closeCachedConnections()
        return closing


def discard_body(response: Any) -> None:
    """Close the connection of a response whose body is not wanted."""
    receiver = BodyReceiver(lambda _: None, lambda _: None)
    response.deliverBody(receiver)
    receiver.abort()


def _ignore_data(_data: bytes) -> None:
    pass


def _ignore_end(_complete: bool) -> None:
    pass


def _describe_exception(exception: BaseException) -> str:
    return f"{type(exception).__name__}: {exception}"[:200]


def copy_headers(headers: Headers, excluded: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers of a message that are forwarded to the next hop.

    Hop-by-hop headers and the internal `Lacewing-` headers are removed. With internal
    headers, a caller could impersonate another client account, and a backend server
    could forge a response of its agent.

    :param excluded: further header names to remove, in lower case.
    """
    copied = Headers()
    for name, values in headers.getAllRawHeaders():
        lower = name.lower()
        if lower.startswith(INTERNAL_HEADER_PREFIX):
            continue
        if lower not in NON_FORWARDED_HEADERS and lower not in excluded:
            copied.setRawHeaders(name, values)
    return copied


def set_nonempty_headers(headers: Headers, values: Mapping[str, str]) -> None:
    """Set each header whose value is not empty."""
    for name, value in values.items():
        if value:
            headers.setRawHeaders(name, [value])


def first_header(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string if it is missing.

    Invalid UTF-8 is decoded with replacement characters.
    """
    values = headers.getRawHeaders(name.encode())
    return values[0].decode("utf-8", "replace") if values else ""


def may_have_body(status: int, method: str) -> bool:
    """Return whether a response may have a body, given its status and method."""
    return method != "HEAD" and status not in http.NO_BODY_CODES
