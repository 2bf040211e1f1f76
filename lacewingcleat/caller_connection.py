"""transport: HTTP/1.1 connections of callers to a direct entry.

Each request is read completely before it is dispatched, and the server receives a
request that this process has framed. This prevents request smuggling.
"""

from collections.abc import Callable
from typing import Any

import h11
from twisted.internet import defer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from lacewingcleat.clock import read_now
from lacewingcleat.memory_budget import (
    SMALL_REQUEST_BYTES,
    Client,
    CutReason,
    MemoryBudget,
    ProcessLimits,
)
from lacewingcleat.parse_turns import ParseTurns
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
# Longest lingering close of a caller that goes on sending: 8 MB at 14 Mbit/s.
MAX_LINGERING_SECONDS = 5.0
# Parts of a request that are parsed before other connections get their turn. Reading
# pauses meanwhile, so that tiny chunks cannot keep the process busy.
MAX_PARTS_PER_TURN = 16
# Parts of all connections that are parsed in a turn of the reactor. A part takes about
# 20 us, so that other connections wait for some milliseconds.
MAX_PARTS_OF_ALL_PER_TURN = 128
# Bytes read at once where the memory is bounded; the transport's default is 64 KB.
LIMITED_READ_BYTES = 16_384
# A parsed header takes about 200 bytes more than its text.
HEADER_COST_BYTES = 200
# Shortest mean size of headers. A head of 16 KB may have 512 headers; with headers of
# five bytes it would take 0.7 MB.
MIN_MEAN_HEADER_BYTES = 32
# Time after which a client that is refused for want of memory may try again.
RETRY_AFTER_SECONDS = b"1"

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

    def wait_until_read(self, seconds: float) -> "defer.Deferred[bool] | None":
        """Return none if the caller reads as fast as the response is written.

        :return: else whether the caller has read on or left, within some seconds.
        """
        if self.caller_disconnected:
            return None
        return self._connection.wait_until_read(seconds)

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
        self._reading_waiter: defer.Deferred[bool] | None = None
        self._is_closing = False
        self._written_bytes = 0
        self._client = Client(read_now(), self._resume, self._cut)
        self._head_cost = 0
        self._awaits_memory = False
        self._awaits_turn = False
        self._in_head = False
        self._is_reading = True
        self._pipelined_bytes = 0
        self._linger_until = 0.0
        self.open = False

    def connectionMade(self) -> None:
        """Wait for the first request."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        self._factory.connections.add(self)
        # The transport reports when its buffer is full and when it is empty again.
        self.transport.registerProducer(self, True)
        if self._factory.budget.limits.bytes_held is not None:
            self.transport.bufferSize = LIMITED_READ_BYTES
        if not self._factory.budget.open(self._client):
            self._factory.on_cut(CutReason.TOO_MANY_CONNECTIONS)
            self._reject(503)
            return
        self._await_next_request()

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, or buffer it while a request is being handled."""
        if self._lingering:
            self._linger()
            return
        self._client.moved_bytes += len(data)
        self._http.receive_data(data)
        if self._request_active:
            self._pipelined_bytes += len(data)
            self._update_reading()
            return
        if self._request is not None:
            self._set_timer(self._limits.idle_timeout_seconds, self._time_out)
        elif not self._in_head:
            # The time covers the whole head: a caller that sends a byte now and then
            # would keep its connection for ever.
            self._in_head = True
            self._set_timer(self._limits.header_timeout_seconds, self._time_out)
        if not self._awaits_turn and not self._awaits_memory:
            self.parse()

    def parse(self) -> None:
        """Parse some parts of what has been received, and the rest in later turns."""
        self._awaits_turn = False
        try:
            for _ in range(MAX_PARTS_PER_TURN):
                if not self._may_parse():
                    break
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    if self._http.they_are_waiting_for_100_continue:
                        self._write_event(
                            h11.InformationalResponse(status_code=100, headers=[])
                        )
                    break
                if event is h11.PAUSED:
                    break
                self._handle_event(event)
            else:
                self._awaits_turn = self._may_parse()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
        if self._awaits_turn:
            self._factory.parse_turns.add(self)
        self._update_reading()

    def _may_parse(self) -> bool:
        is_closing = self._lingering or not self.open
        return not (self._request_active or is_closing or self._awaits_memory)

    def _update_reading(self) -> None:
        """Stop reading while received data cannot be parsed."""
        is_full = (
            self._request_active
            and self._pipelined_bytes > self._limits.max_header_bytes
        )
        is_held_back = self._awaits_memory or self._awaits_turn or is_full
        reads = self._lingering or not is_held_back
        if reads == self._is_reading or not self.open:
            return
        self._is_reading = reads
        if reads:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def _resume(self) -> None:
        """Read on, since the memory for the request is reserved."""
        self._awaits_memory = False
        self._set_timer(self._limits.idle_timeout_seconds, self._time_out)
        self._factory.reactor.callLater(0, self._continue)

    def _continue(self) -> None:
        if self.open and not self._awaits_turn:
            self.parse()

    def _reserve(self, size: int) -> None:
        """Reserve memory for the whole request, or wait for it without reading."""
        if not self._factory.budget.reserve(self._client, size, read_now()):
            self._awaits_memory = True
            self._cancel_timer()

    def _cut(self, reason: CutReason) -> None:
        """End the connection, with a response if a request is being read."""
        self._factory.on_cut(reason)
        match reason:
            case CutReason.SLOW_REQUEST:
                self._reject(408)
            case CutReason.NO_MEMORY:
                self._reject(503)
            case _:
                self.abort()

    def _handle_event(self, event: object) -> None:
        match event:
            case h11.Request():
                self._start_request(event)
            case h11.Data():
                self._add_body(event.data)
            case h11.EndOfMessage():
                self._dispatch_request()
            case h11.ConnectionClosed():
                self._close()
            case _:
                return

    def _start_request(self, event: h11.Request) -> None:
        headers = [(bytes(key), bytes(value)) for key, value in event.headers]
        self._in_head = False
        names = [key for key, _ in headers]
        if len(headers) > self._limits.max_header_bytes // MIN_MEAN_HEADER_BYTES:
            self._reject(431)
            return
        # Programs differ in which of two framings they use (request smuggling).
        if b"transfer-encoding" in names and b"content-length" in names:
            self._reject(400)
            return
        length = _announced_length(headers)
        if length is not None and length > self._limits.max_body_bytes:
            self._reject(413)
            return
        self._body = bytearray()
        self._request = CallerRequest(
            self, bytes(event.method), bytes(event.target), headers, read_now()
        )
        self._set_timer(self._limits.idle_timeout_seconds, self._time_out)
        self._head_cost = len(event.target) + sum(
            len(key) + len(value) + HEADER_COST_BYTES for key, value in headers
        )
        body_bytes = length or 0
        if b"transfer-encoding" in names:
            body_bytes = min(SMALL_REQUEST_BYTES // 2, self._limits.max_body_bytes)
        self._reserve(self._head_cost + body_bytes)

    def _add_body(self, data: bytes) -> None:
        """Add a part of the body, and reserve the rest of one of unknown length."""
        size = len(self._body) + len(data)
        if size > self._limits.max_body_bytes:
            self._reject(413)
            return
        self._body += data
        if self._head_cost + size > self._client.reserved_bytes:
            self._reserve(self._head_cost + self._limits.max_body_bytes)

    def _dispatch_request(self) -> None:
        request = self._request
        if request is None:
            return
        self._cancel_timer()
        request.body = bytes(self._body)
        request.arrived_at = read_now()
        self._body = bytearray()
        self._request_active = True
        self._pipelined_bytes = 0
        size = self._head_cost + len(request.body)
        self._factory.budget.complete_request(self._client, size)
        self._factory.open_requests += 1
        self._factory.handler(request)

    def write_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response and read the next request."""
        head = h11.Response(status_code=status, headers=self._add_close_header(headers))
        # The parts are not joined, since a copy of a large response takes its size.
        parts = [self._http.send(head) or b""]
        method = self._request.method if self._request else b""
        if body and method != b"HEAD":
            parts += self._http.send_with_data_passthrough(h11.Data(data=body)) or []
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self._write(*parts)
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

    def _write(self, *parts: bytes) -> None:
        self._written_bytes = sum(map(len, parts))
        self.transport.writeSequence(parts)
        if self._unread_timer is not None:
            self.count_unread()

    def count_unread(self) -> None:
        """Count the bytes that the caller has not read yet."""
        size = 0
        if self._unread_timer is not None:
            size = unsent_bytes(self.transport)
        self._factory.budget.set_unread(self._client, size)

    def pauseProducing(self) -> None:
        """Limit the time in which the caller reads what is buffered for it."""
        if self._unread_timer is None:
            seconds = MAX_UNREAD_SECONDS
            seconds += self._written_bytes / MIN_READ_BYTES_PER_SECOND
            self._unread_timer = self._factory.reactor.callLater(seconds, self._give_up)

    def wait_until_read(self, seconds: float) -> "defer.Deferred[bool] | None":
        """Return none if the buffer has room.

        :return: else whether the caller has read everything, or the connection has
            ended, within some seconds.
        """
        if self._unread_timer is None or not self.open:
            return None
        waiter: defer.Deferred[bool] = defer.Deferred()
        self._reading_waiter = waiter
        timer = self._factory.reactor.callLater(
            max(0.0, seconds), self._end_wait, False
        )

        def stop_timer(has_read: bool) -> bool:
            if timer.active():
                timer.cancel()
            return has_read

        waiter.addCallback(stop_timer)
        return waiter

    def _end_wait(self, has_read: bool) -> None:
        waiter, self._reading_waiter = self._reading_waiter, None
        if waiter is not None:
            waiter.callback(has_read)

    def resumeProducing(self) -> None:
        """Lift the time limit, since the caller has read everything."""
        self._cancel_unread_timer()
        self.count_unread()
        self._end_wait(True)
        if self._is_idle():
            self._await_next_request()

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
        self._factory.budget.end_request(self._client, read_now())
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
        self._await_next_request()
        self._update_reading()
        if self._http.trailing_data[0]:
            self._factory.reactor.callLater(0, self._continue)

    def _reject(self, status: int) -> None:
        """Reject a request that cannot be read, then close the connection."""
        if not self.open:
            return
        self._cancel_timer()
        self._body = bytearray()
        self._request = None
        self._awaits_memory = False
        self._factory.budget.end_request(self._client, read_now())
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            if status == 503:
                headers.append((b"retry-after", RETRY_AFTER_SECONDS))
            self._write_event(h11.Response(status_code=status, headers=headers))
            self._write_event(h11.EndOfMessage())
            self._factory.on_rejected(status)
        self._start_lingering_close()

    def _start_lingering_close(self) -> None:
        self._lingering = True
        self._client.is_closing = True
        self._linger_until = self._factory.reactor.seconds() + MAX_LINGERING_SECONDS
        self._finish_writing()
        self.transport.loseWriteConnection()
        self._update_reading()
        self._linger()

    def _linger(self) -> None:
        """Close the connection once the caller has stopped sending."""
        remaining = self._linger_until - self._factory.reactor.seconds()
        seconds = max(0.0, min(LINGERING_CLOSE_SECONDS, remaining))
        self._set_timer(seconds, self._close)

    def _time_out(self) -> None:
        self._reject(408)

    def _is_idle(self) -> bool:
        """Return whether the connection waits for the first byte of a request."""
        is_busy = self._request_active or self._request is not None or self._in_head
        return self.open and not (is_busy or self._is_closing)

    def _await_next_request(self) -> None:
        """Limit the time to the next request, which begins when all has been read."""
        seconds = self._limits.idle_timeout_seconds + IDLE_TIMEOUT_MARGIN_SECONDS
        self._set_timer(seconds, self._close_idle)

    def _close_idle(self) -> None:
        if self._unread_timer is None:
            self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self._request_active and self._request is None:
            self._close()

    def _close(self) -> None:
        """Close the connection once the caller has read what is buffered."""
        self._finish_writing()
        self.transport.loseConnection()

    def _finish_writing(self) -> None:
        """Let the transport end the connection when its buffer is empty.

        With a producer that it has paused, it would wait for more data instead. The
        caller still has to read everything within a time limit.
        """
        if self._is_closing:
            return
        self._is_closing = True
        self.pauseProducing()
        self.transport.unregisterProducer()

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
        self._factory.budget.close(self._client)
        self._client.forget_connection()
        request, self._request = self._request, None
        if self._request_active and request is not None:
            self._request_active = False
            self._factory.open_requests -= 1
            request.caller_disconnected = True
            if request.on_disconnect is not None:
                request.on_disconnect()
        self._end_wait(True)

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
    :param budget: bounds what the callers make the process hold; none by default.
    :param on_cut: called with the reason for which a caller is refused or cut off.
    """

    def __init__(
        self,
        reactor: Any,
        handler: Callable[[CallerRequest], None],
        should_close: Callable[[], bool] = lambda: False,
        on_rejected: Callable[[int], None] = lambda status: None,
        on_unread: Callable[[], None] = lambda: None,
        is_stopping: Callable[[], bool] = lambda: False,
        budget: MemoryBudget | None = None,
        on_cut: Callable[[CutReason], None] = lambda reason: None,
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
        self.budget = budget or MemoryBudget(ProcessLimits())
        self.on_cut = on_cut
        self.parse_turns = ParseTurns(
            reactor.callLater, MAX_PARTS_OF_ALL_PER_TURN // MAX_PARTS_PER_TURN
        )

    def buildProtocol(self, _address: object) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def close_idle(self) -> None:
        """Close all connections without an open request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def check_budget(self, now: float) -> None:
        """Cut off callers that hold memory which others wait for."""
        for connection in list(self.connections):
            connection.count_unread()
        self.budget.check(now)


def _announced_length(headers: Headers) -> int | None:
    """Return the length of the body that a request announces, if any."""
    values = [value for key, value in headers if key == b"content-length"]
    return int(values[0]) if values else None


def unsent_bytes(transport: Any) -> int:
    """Return the bytes in the write buffer of a transport of Twisted."""
    buffered = len(transport.dataBuffer) - transport.offset
    # What the last writes added is in no public attribute.
    return int(buffered + transport._tempDataLen)  # noqa: SLF001
