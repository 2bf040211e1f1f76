"""transport: HTTP/1.1 connections of callers to a direct entry.

Each request is read completely before it is dispatched, and the server receives a
request that this process has framed. This prevents request smuggling.
"""

from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from lacewingcleat.clock import read_now
from lacewingcleat.routing_config import ListenerLimits

# Used until the first configuration has been read.
# Time within which a caller has to read what is buffered for it. A caller that stops
# reading, or reads a byte now and then, would hold the memory of its response for ever.
MAX_UNREAD_SECONDS = 15.0
# Rate at which a caller has to read a large response; its time grows with the size.
MIN_READ_BYTES_PER_SECOND = 32_768
DEFAULT_LIMITS = ListenerLimits(16_384, 4_194_304, 3.0, 15.0)
# Added to the configured idle timeout, so that this process does not close a connection
# while a request is on its way.
IDLE_TIMEOUT_MARGIN_SECONDS = 1.0
# Duration of a lingering close after a rejected request. The rest of the request is
# read and discarded, because closing the connection with unread data would reset it
# before the caller has read the response.
LINGERING_CLOSE_SECONDS = 1.0

Headers = list[tuple[bytes, bytes]]


class CallerRequest:
    """Represent one request and write the response to it.

    :ivar on_disconnect: called if the caller disconnects before the response ends.
    """

    __slots__ = (
        "_connection",
        "arrived_at",
        "body",
        "caller_disconnected",
        "headers",
        "method",
        "on_disconnect",
        "response_ended",
        "response_started",
        "target",
    )

    def __init__(
        self,
        connection: "CallerConnection",
        method: bytes,
        target: bytes,
        headers: Headers,
        arrived_at: float,
    ) -> None:
        self._connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.arrived_at = arrived_at
        self.body = b""
        self.response_started = False
        self.response_ended = False
        self.caller_disconnected = False
        self.on_disconnect: Callable[[], None] | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; names are in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response, or abort if another response has been started."""
        if self.response_started:
            self.abort()
        if self.caller_disconnected or self.response_ended:
            return
        self.response_ended = True
        framed_headers = [*headers, (b"content-length", b"%d" % len(body))]
        self._connection.write_response(status, framed_headers, body)

    def start_response(self, status: int, headers: Headers, data: bytes) -> None:
        """Write the head and the first data of a response of unknown length."""
        if self.caller_disconnected:
            return
        self.response_started = True
        self._connection.start_stream(status, headers, data)

    def send_data(self, data: bytes) -> None:
        """Write a part of the response body."""
        if not self.caller_disconnected and data:
            self._connection.send_stream(data)

    def end_response(self) -> None:
        """End the response body."""
        if self.caller_disconnected or self.response_ended:
            return
        self.response_ended = True
        self._connection.end_stream()

    def abort(self) -> None:
        """Abort the connection, so that the caller detects a truncated response."""
        if self.caller_disconnected or self.response_ended:
            return
        self.response_ended = True
        self._connection.abort()


class CallerConnection(Protocol):
    """Read requests of one caller one at a time and write the responses."""

    transport: Any

    def __init__(self, factory: "CallerFactory") -> None:
        self._factory = factory
        limits = factory.limits
        self._http = h11.Connection(h11.SERVER, limits.max_header_bytes)
        self._limits = limits
        self._request: CallerRequest | None = None
        self._body = bytearray()
        self._request_active = False
        self._lingering = False
        self._timer: Any = None
        self._unread_timer: Any = None
        self._written_bytes = 0
        self.open = False

    def connectionMade(self) -> None:
        """Wait for the first request."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        self._factory.connections.add(self)
        # The transport reports when its buffer is full and when it is empty again.
        self.transport.registerProducer(self, True)
        self._set_timer(
            self._limits.idle_timeout_seconds + IDLE_TIMEOUT_MARGIN_SECONDS,
            self._close_idle,
        )

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, or buffer it while a request is being handled."""
        if self._lingering:
            return
        self._http.receive_data(data)
        if self._request_active:
            buffered_bytes = len(self._http.trailing_data[0])
            if (
                buffered_bytes
                > self._limits.max_header_bytes + self._limits.max_body_bytes
            ):
                self.abort()
            return
        if self._request is None:
            self._set_timer(self._limits.header_timeout_seconds, self._time_out)
        else:
            self._set_timer(self._limits.idle_timeout_seconds, self._time_out)
        self._parse()

    def _parse(self) -> None:
        try:
            while not self._request_active and not self._lingering and self.open:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    if self._http.they_are_waiting_for_100_continue:
                        self._write_event(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    return
                if event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def _handle_event(self, event: object) -> None:
        match event:
            case h11.Request():
                self._start_request(event)
            case h11.Data():
                self._body += event.data
                if len(self._body) > self._limits.max_body_bytes:
                    self._reject(413)
            case h11.EndOfMessage():
                self._dispatch_request()
            case h11.ConnectionClosed():
                self.transport.loseConnection()
            case _:
                return

    def _start_request(self, event: h11.Request) -> None:
        headers = [(bytes(key), bytes(value)) for key, value in event.headers]
        names = [key for key, _ in headers]
        # Programs differ in which of two framings they use (request smuggling).
        if b"transfer-encoding" in names and b"content-length" in names:
            self._reject(400)
            return
        self._body = bytearray()
        self._request = CallerRequest(
            self, bytes(event.method), bytes(event.target), headers, read_now()
        )
        self._set_timer(self._limits.idle_timeout_seconds, self._time_out)

    def _dispatch_request(self) -> None:
        request = self._request
        if request is None:
            return
        self._cancel_timer()
        request.body = bytes(self._body)
        request.arrived_at = read_now()
        self._body = bytearray()
        self._request_active = True
        self._factory.open_requests += 1
        self._factory.handler(request)

    def write_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response and read the next request."""
        head = h11.Response(status_code=status, headers=self._add_close_header(headers))
        parts = [self._http.send(head) or b""]
        method = self._request.method if self._request else b""
        if body and method != b"HEAD":
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self._write(b"".join(parts))
        self._end_request()

    def start_stream(self, status: int, headers: Headers, data: bytes) -> None:
        """Write the head and the first data of a stream."""
        framed_headers = [*headers, (b"transfer-encoding", b"chunked")]
        head = h11.Response(
            status_code=status, headers=self._add_close_header(framed_headers)
        )
        encoded = self._http.send(head) or b""
        if data:
            encoded += self._http.send(h11.Data(data=data)) or b""
        self._write(encoded)

    def send_stream(self, data: bytes) -> None:
        """Write a chunk of a stream."""
        self._write(self._http.send(h11.Data(data=data)) or b"")

    def end_stream(self) -> None:
        """End a stream and read the next request."""
        self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._end_request()

    def _write(self, data: bytes) -> None:
        self._written_bytes = len(data)
        self.transport.write(data)

    def pauseProducing(self) -> None:
        """Limit the time in which the caller reads what is buffered for it."""
        if self._unread_timer is None:
            seconds = MAX_UNREAD_SECONDS
            seconds += self._written_bytes / MIN_READ_BYTES_PER_SECOND
            self._unread_timer = self._factory.reactor.callLater(seconds, self._give_up)

    def resumeProducing(self) -> None:
        """Lift the time limit, since the caller has read everything."""
        self._cancel_unread_timer()

    def stopProducing(self) -> None:
        """Lift the time limit, since the connection is closed."""
        self._cancel_unread_timer()

    def _give_up(self) -> None:
        self._unread_timer = None
        self._factory.on_unread()
        self.abort()

    def _cancel_unread_timer(self) -> None:
        if self._unread_timer is not None and self._unread_timer.active():
            self._unread_timer.cancel()
        self._unread_timer = None

    def _add_close_header(self, headers: Headers) -> Headers:
        if self._factory.should_close():
            return [*headers, (b"connection", b"close")]
        return headers

    def _write_event(self, event: h11.Event) -> None:
        self._write(self._http.send(event) or b"")

    def _end_request(self) -> None:
        self._request_active = False
        self._request = None
        self._factory.open_requests -= 1
        if self._http.our_state is not h11.DONE or (
            self._http.their_state is not h11.DONE
        ):
            self._start_lingering_close()
            return
        if self._factory.is_stopping():
            # The head of this response may have been written before the stop, so the
            # caller does not know yet. A request that crosses the close has not been
            # read, which tells the caller that it may be sent again.
            self._start_lingering_close()
            return
        self._http.start_next_cycle()
        # The next request is subject to the limits of the current configuration.
        self._limits = self._factory.limits
        self._set_timer(
            self._limits.idle_timeout_seconds + IDLE_TIMEOUT_MARGIN_SECONDS,
            self._close_idle,
        )
        if self._http.trailing_data[0]:
            self._factory.reactor.callLater(0, self._parse)

    def _reject(self, status: int) -> None:
        """Reject a request that cannot be read, then close the connection."""
        if not self.open:
            return
        self._cancel_timer()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(
                status_code=status,
                headers=[(b"content-length", b"0"), (b"connection", b"close")],
            )
            self._write_event(head)
            self._write_event(h11.EndOfMessage())
            self._factory.on_rejected(status)
        self._start_lingering_close()

    def _start_lingering_close(self) -> None:
        self._lingering = True
        self.transport.loseWriteConnection()
        self._set_timer(LINGERING_CLOSE_SECONDS, self.transport.loseConnection)

    def _time_out(self) -> None:
        self._reject(408)

    def _close_idle(self) -> None:
        self.transport.loseConnection()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self._request_active and self._request is None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Abort the connection without a lingering close."""
        if self.open:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Notify the handler of an open request that the caller has disconnected."""
        self.open = False
        self._cancel_timer()
        self._cancel_unread_timer()
        self._factory.connections.discard(self)
        if not self._request_active or self._request is None:
            return
        self._request_active = False
        self._factory.open_requests -= 1
        request = self._request
        request.caller_disconnected = True
        if request.on_disconnect is not None:
            request.on_disconnect()

    def _set_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._factory.reactor.callLater(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class CallerFactory(Factory):
    """Accept connections of callers.

    :param handler: called with each complete request.
    :param should_close: returns whether responses carry `Connection: close`.
    :param on_rejected: called with the status of the response to an unreadable request.
    :param on_unread: called when a caller is cut off since it does not read.
    :param is_stopping: returns whether connections end with their next response.
    """

    def __init__(
        self,
        reactor: Any,
        handler: Callable[[CallerRequest], None],
        should_close: Callable[[], bool] = lambda: False,
        on_rejected: Callable[[int], None] = lambda status: None,
        on_unread: Callable[[], None] = lambda: None,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.should_close = should_close
        self.on_rejected = on_rejected
        self.on_unread = on_unread
        self.is_stopping = is_stopping
        self.limits = DEFAULT_LIMITS
        self.connections: set[CallerConnection] = set()
        self.open_requests = 0

    def buildProtocol(self, _address: object) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def close_idle(self) -> None:
        """Close all connections without an open request."""
        for connection in list(self.connections):
            connection.close_if_idle()
