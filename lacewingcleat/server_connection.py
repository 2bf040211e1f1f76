"""transport: HTTP/1.1 connections to backend servers and the pool of idle ones.

A connection carries one request at a time. It is reused only if the response ended
exactly where its framing says. Data received while no request is open closes it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11
from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from lacewingcleat.addresses import split_address
from lacewingcleat.response_grammar import (
    has_one_framing,
    is_field_value,
    is_status_line,
)
from lacewingcleat.server_record import ServerRecord

MAX_HEAD_BYTES = 65_536
# An instance of the fleet accepts a connection within a few milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.35
# Servers close idle connections after a time that they do not always state.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Subtracted from the keep-alive timeout that a server states, so that the server does
# not close the connection while a request is on its way.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
MAX_IDLE_PER_SERVER = 8
# Parts of a response that are parsed before other connections get their turn. Reading
# goes on afterwards, so a server that sends tiny parts cannot keep the process busy.
MAX_PARTS_PER_TURN = 16
# Events of a response that may wait for their reader. Reading pauses beyond, so that a
# response that nobody reads any more cannot fill the memory.
MAX_UNREAD_EVENTS = 8
# The same for the bytes of their data.
MAX_UNREAD_BYTES = 65_536
# Interim responses accepted before a response; servers send one or two, if any.
MAX_INTERIM_RESPONSES = 8
# A larger body is written in slices of this size as the server reads it. The transport
# copies what it buffers, so each attempt would take the size of the body again.
BODY_SLICE_BYTES = 65_536

# Why connecting to a port fails on which no process listens.
CONNECTION_REFUSED = ConnectionRefusedError.__name__

Headers = list[tuple[bytes, bytes]]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header; names are in lower case."""
    return next((value for key, value in headers if key == name), None)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Represent the status and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; names are in lower case."""
        return find_header(self.headers, name)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body has no length and is not sent in chunks."""
        framing = (b"content-length", b"transfer-encoding")
        return all(self.header(name) is None for name in framing)


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """Represent a part of the response body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ResponseComplete:
    """Represent the end of a complete response."""


@dataclass(frozen=True, slots=True)
class ResponseFailed:
    """Represent the failure of a response before its end."""

    reason: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Represent a timeout while waiting for the next event."""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """Represent the cancellation of the request by this process."""

    reason: str


ResponseEvent = (
    ResponseHead
    | BodyChunk
    | ResponseComplete
    | ResponseFailed
    | TimedOut
    | RequestCancelled
)


class _BodyWriter:
    """Write a body in slices, each once the transport has written the one before.

    :ivar is_pending: whether a part of the body is not handed to the system yet.
    """

    def __init__(self, http: h11.Connection, transport: Any, body: bytes) -> None:
        self._http = http
        self._transport = transport
        self._body = body
        self._written_bytes = 0
        self.is_pending = True

    def start(self) -> None:
        """Write the first slice and those that follow."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next slice; the transport has written all slices before."""
        start = self._written_bytes
        if start == len(self._body):
            self.is_pending = False
            self._transport.unregisterProducer()
            return
        data = self._body[start : start + BODY_SLICE_BYTES]
        self._written_bytes += len(data)
        self._transport.write(self._http.send(h11.Data(data=data)) or b"")
        if self._written_bytes == len(self._body):
            self._transport.write(self._http.send(h11.EndOfMessage()) or b"")

    def stopProducing(self) -> None:
        """Release the body, since the connection is closed."""
        self._body = b""
        self.is_pending = False


class ServerConnection(Protocol):
    """Send requests to one backend server and parse the responses."""

    transport: Any

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._events: deque[ResponseEvent] = deque()
        self._unread_bytes = 0
        self._waiter: defer.Deferred[ResponseEvent] | None = None
        self._request_active = False
        self._response_ended = False
        self._interim_count = 0
        self._awaits_reader = False
        self._body_writer: _BodyWriter | None = None
        self.open = False
        self.request_count = 0
        self.idle_since = 0.0
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS
        self.on_closed: Callable[[ServerConnection], None] | None = None

    def connectionMade(self) -> None:
        """Mark the connection as open."""
        self.open = True
        self.transport.setTcpNoDelay(True)

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Write a complete request."""
        self._request_active = True
        self._response_ended = False
        self._interim_count = 0
        self.request_count += 1
        self._events.clear()
        self._unread_bytes = 0
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(head) or b""]
        if len(body) > BODY_SLICE_BYTES:
            self.transport.write(parts[0])
            self._body_writer = _BodyWriter(self._http, self.transport, body)
            self._body_writer.start()
            return
        self._body_writer = None
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self.transport.write(b"".join(parts))

    @property
    def is_writing(self) -> bool:
        """Return whether a large request is not handed to the system entirely."""
        return self._body_writer is not None and self._body_writer.is_pending

    def next_event(self, timeout_seconds: float) -> "defer.Deferred[ResponseEvent]":
        """Return the next event of the response.

        :param timeout_seconds: timeout after which the event is `TimedOut`.
        """
        if self._events:
            event = self._events.popleft()
            self._unread_bytes -= _data_size(event)
            if self._awaits_reader and not self._has_enough_unread():
                self._awaits_reader = False
                self._reactor.callLater(0, self._continue_parsing)
            return defer.succeed(event)
        waiter: defer.Deferred[ResponseEvent] = defer.Deferred()
        self._waiter = waiter
        timer = self._reactor.callLater(
            max(0.0, timeout_seconds), self._deliver_event, TimedOut()
        )

        def stop_timer(event: ResponseEvent) -> ResponseEvent:
            if timer.active():
                timer.cancel()
            return event

        waiter.addCallback(stop_timer)
        return waiter

    def end_wait(self) -> None:
        """End the wait for the next event because its time has passed."""
        self._deliver_event(TimedOut())

    def cancel_wait(self, reason: str) -> None:
        """End the wait for the next event because the request is cancelled."""
        self._deliver_event(RequestCancelled(reason))

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, or abort the connection if no request is open."""
        if not self._request_active or self._response_ended:
            # An unsolicited response or the rest of an earlier one. The response that
            # precedes it is complete, but the connection is not used again.
            self.abort()
            return
        self._http.receive_data(data)
        self._parse()

    def _parse(self, closed: bool = False) -> None:
        """Parse what has been received.

        :param closed: whether the connection is closed, so that nothing more follows.
        """
        parsed = 0
        try:
            while not self._response_ended:
                if not closed and self._pause_reading(parsed):
                    return
                parsed += 1
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._fail_response(f"malformed answer: {error}")
            self.abort()

    def _pause_reading(self, parsed: int) -> bool:
        """Pause reading for the next turn or until the reader has caught up.

        :param parsed: number of parts that were parsed in this turn.
        """
        self._awaits_reader = self._has_enough_unread()
        if not self._awaits_reader and parsed < MAX_PARTS_PER_TURN:
            return False
        self.transport.pauseProducing()
        if not self._awaits_reader:
            self._reactor.callLater(0, self._continue_parsing)
        return True

    def _has_enough_unread(self) -> bool:
        return (
            len(self._events) >= MAX_UNREAD_EVENTS
            or self._unread_bytes >= MAX_UNREAD_BYTES
        )

    def _continue_parsing(self) -> None:
        if not self.open:
            return
        self.transport.resumeProducing()
        if self._request_active:
            self._parse()

    def _handle_event(self, event: object) -> None:
        match event:
            case h11.Response():
                self._handle_head(event)
            case h11.Data():
                self._deliver_event(BodyChunk(bytes(event.data)))
            case h11.EndOfMessage():
                self._response_ended = True
                self._deliver_event(ResponseComplete())
            case h11.ConnectionClosed():
                self._fail_response("closed before the answer")
            case h11.InformationalResponse():
                # Interim responses are not forwarded.
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    self._fail_response("too many interim responses")
                    self.abort()
            case _:
                return

    def _handle_head(self, event: h11.Response) -> None:
        """Deliver a head, unless the grammar of HTTP/1.1 does not allow it."""
        headers = [(bytes(key), bytes(value)) for key, value in event.headers]
        fault = _find_head_fault(event, headers)
        if fault:
            self._fail_response(f"malformed answer: {fault}")
            self.abort()
            return
        self._deliver_event(ResponseHead(event.status_code, headers))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End a response in progress with a failure."""
        self.open = False
        if self._request_active and not self._response_ended:
            clean = reason is not None and reason.check(ConnectionDone) is not None
            if clean:
                self._http.receive_data(b"")
                self._parse(closed=True)
            if not self._response_ended:
                self._fail_response("closed" if clean else "reset")
        if self.on_closed is not None:
            self.on_closed(self)

    def _fail_response(self, reason: str) -> None:
        if not self._response_ended:
            self._response_ended = True
            self._deliver_event(ResponseFailed(reason))

    def _deliver_event(self, event: ResponseEvent) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(event)
        elif not isinstance(event, TimedOut):
            self._events.append(event)
            self._unread_bytes += _data_size(event)

    @property
    def has_excess_data(self) -> bool:
        """Return whether data has arrived beyond the end of the response."""
        return bool(self._http.trailing_data[0])

    def make_idle(self) -> bool:
        """Make the connection idle; return false if its response ended uncleanly."""
        if not self.open or not self._request_active or self._events:
            return False
        if self.is_writing:
            return False
        trailing, closed = self._http.trailing_data
        if trailing or closed:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._request_active = False
        return True

    def abort(self) -> None:
        """Abort the connection, which cancels the request at the server."""
        self.open = False
        if self.transport is not None:
            self.transport.abortConnection()


def _data_size(event: ResponseEvent) -> int:
    return len(event.data) if isinstance(event, BodyChunk) else 0


def _find_head_fault(event: h11.Response, headers: Headers) -> str:
    """Return what makes a head malformed that h11 accepts, empty if nothing does."""
    version, reason = bytes(event.http_version), bytes(event.reason)
    if not is_status_line(b"HTTP/%s %d %s" % (version, event.status_code, reason)):
        return "status line"
    if not all(is_field_value(value) for _, value in headers):
        return "header value"
    if not has_one_framing(key for key, _ in headers):
        return "framing"
    return ""


class ServerConnectionPool:
    """Pool idle connections by server and start time of the server.

    :param max_idle: bound of all idle connections, none for a bound by server only.
    """

    def __init__(self, reactor: Any, max_idle: int | None = None) -> None:
        self._reactor = reactor
        self._max_idle = max_idle
        self._idle_by_server: dict[tuple[str, int], list[ServerConnection]] = {}
        self.connect_count = 0

    def take_idle(self, record: ServerRecord, now: float) -> ServerConnection | None:
        """Return the most recently used idle connection, none if there is none."""
        idle = self._idle_by_server.get((record.name, record.started_ms), [])
        while idle:
            connection = idle.pop()
            if (
                connection.open
                and now - connection.idle_since < connection.idle_timeout
            ):
                connection.on_closed = None
                return connection
            connection.abort()
        return None

    async def acquire(self, record: ServerRecord, now: float) -> ServerConnection | str:
        """Return an idle or new connection, or why connecting failed."""
        return self.take_idle(record, now) or await self.connect(record)

    async def connect(self, record: ServerRecord) -> ServerConnection | str:
        """Return a new connection, or why connecting failed."""
        host, port = split_address(record.address)
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, CONNECT_TIMEOUT_SECONDS
        )
        factory: Any = Factory.forProtocol(lambda: ServerConnection(self._reactor))
        self.connect_count += 1
        try:
            connection: ServerConnection = await endpoint.connect(factory)
        except Exception as error:
            return type(error).__name__
        return connection

    def release(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        keep_alive_seconds: float | None,
        now: float,
    ) -> None:
        """Return a connection to the pool after a response, or abort it.

        :param keep_alive_seconds: keep-alive timeout stated by the server, if any.
        """
        if not connection.make_idle():
            connection.abort()
            return
        self.add_idle(record, connection, keep_alive_seconds, now)

    def add_idle(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        keep_alive_seconds: float | None,
        now: float,
    ) -> None:
        """Add an idle connection, or abort it if the server has the maximum number."""
        idle = self._idle_by_server.setdefault((record.name, record.started_ms), [])
        is_full = len(idle) >= MAX_IDLE_PER_SERVER or (
            self._max_idle is not None and self._count_idle() >= self._max_idle
        )
        if is_full or not connection.open:
            connection.abort()
            return
        if keep_alive_seconds is not None:
            connection.idle_timeout = keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
        connection.idle_since = now
        connection.on_closed = lambda lost: _remove_idle(idle, lost)
        idle.append(connection)

    def _count_idle(self) -> int:
        return sum(map(len, self._idle_by_server.values()))

    def close_expired(self, names: set[str], now: float) -> None:
        """Close connections that exceed their idle timeout or whose server is removed.

        :param names: names of the servers that remain.
        """
        for key, idle in list(self._idle_by_server.items()):
            for connection in list(idle):
                if key[0] in names and now - connection.idle_since < (
                    connection.idle_timeout
                ):
                    continue
                idle.remove(connection)
                connection.on_closed = None
                connection.abort()
            if not idle:
                del self._idle_by_server[key]


def _remove_idle(idle: list[ServerConnection], connection: ServerConnection) -> None:
    if connection in idle:
        idle.remove(connection)
