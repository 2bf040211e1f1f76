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
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from lacewingcleat.addresses import split_address
from lacewingcleat.server_record import ServerRecord

MAX_HEAD_BYTES = 65_536
# An instance of the fleet accepts a connection within a few milliseconds.
CONNECT_SECONDS = 0.35
# Servers close idle connections after a time that they do not always state.
IDLE_SECONDS = 4.0
# Subtracted from the keep-alive timeout that a server states, so that the server does
# not close the connection while a request is on its way.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
MAX_IDLE_PER_SERVER = 8

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Head:
    """Represent the status and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; names are in lower case."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class Piece:
    """Represent a part of the response body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """Represent the end of a complete response."""


@dataclass(frozen=True, slots=True)
class Broken:
    """Represent the failure of a response before its end."""

    reason: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Represent a timeout while waiting for the next event."""


@dataclass(frozen=True, slots=True)
class Interrupted:
    """Represent the cancellation of the request by this process."""

    reason: str


AnswerEvent = Head | Piece | Finished | Broken | TimedOut | Interrupted


class ServerConnection(Protocol):
    """Send requests to one backend server and parse the responses."""

    transport: Any

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._events: deque[AnswerEvent] = deque()
        self._waiter: defer.Deferred[AnswerEvent] | None = None
        self._busy = False
        self._ended = False
        self.open = False
        self.uses = 0
        self.idle_since = 0.0
        self.idle_limit = IDLE_SECONDS
        self.on_lost: Callable[[ServerConnection], None] | None = None

    def connectionMade(self) -> None:
        """Mark the connection as open."""
        self.open = True
        self.transport.setTcpNoDelay(True)

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Write a complete request."""
        self._busy = True
        self._ended = False
        self.uses += 1
        self._events.clear()
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(head) or b""]
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self.transport.write(b"".join(parts))

    def next_event(self, seconds: float) -> "defer.Deferred[AnswerEvent]":
        """Return the next event of the response.

        :param seconds: timeout after which the event is `TimedOut`.
        """
        if self._events:
            return defer.succeed(self._events.popleft())
        waiter: defer.Deferred[AnswerEvent] = defer.Deferred()
        self._waiter = waiter
        timer = self._reactor.callLater(max(0.0, seconds), self._put, TimedOut())

        def stop_timer(event: AnswerEvent) -> AnswerEvent:
            if timer.active():
                timer.cancel()
            return event

        waiter.addCallback(stop_timer)
        return waiter

    def interrupt(self, reason: str) -> None:
        """End the wait for the next event because the request is cancelled."""
        self._put(Interrupted(reason))

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, or abort the connection if no request is open."""
        if not self._busy:
            # An unsolicited response or the rest of an earlier one.
            self.abort()
            return
        self._http.receive_data(data)
        self._parse()

    def _parse(self) -> None:
        try:
            while not self._ended:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            self._break(f"malformed answer: {error}")
            self.abort()

    def _take(self, event: object) -> None:
        match event:
            case h11.Response():
                headers = [(bytes(key), bytes(value)) for key, value in event.headers]
                self._put(Head(event.status_code, headers))
            case h11.Data():
                self._put(Piece(bytes(event.data)))
            case h11.EndOfMessage():
                self._ended = True
                self._put(Finished())
            case h11.ConnectionClosed():
                self._break("closed before the answer")
            case _:
                # Informational responses are not forwarded.
                return

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End a response in progress with a failure."""
        self.open = False
        if self._busy and not self._ended:
            clean = reason is not None and reason.check(ConnectionDone) is not None
            if clean:
                self._http.receive_data(b"")
                self._parse()
            if not self._ended:
                self._break("closed" if clean else "reset")
        if self.on_lost is not None:
            self.on_lost(self)

    def _break(self, text: str) -> None:
        if not self._ended:
            self._ended = True
            self._put(Broken(text))

    def _put(self, event: AnswerEvent) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(event)
        elif not isinstance(event, TimedOut):
            self._events.append(event)

    def reusable(self) -> bool:
        """Make the connection idle; return false if its response ended uncleanly."""
        if not self.open or not self._busy or self._events:
            return False
        trailing, closed = self._http.trailing_data
        if trailing or closed:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._busy = False
        return True

    def abort(self) -> None:
        """Abort the connection, which cancels the request at the server."""
        self.open = False
        if self.transport is not None:
            self.transport.abortConnection()


class ServerPool:
    """Pool idle connections by server and start time of the server."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._idle_by_server: dict[tuple[str, int], list[ServerConnection]] = {}
        self.opened = 0

    def take(self, record: ServerRecord, now: float) -> ServerConnection | None:
        """Return the most recently used idle connection, none if there is none."""
        idle = self._idle_by_server.get((record.name, record.started_ms), [])
        while idle:
            connection = idle.pop()
            if connection.open and now - connection.idle_since < connection.idle_limit:
                connection.on_lost = None
                return connection
            connection.abort()
        return None

    async def obtain(self, record: ServerRecord, now: float) -> ServerConnection | str:
        """Return an idle or new connection, or why connecting failed."""
        return self.take(record, now) or await self.connect(record)

    async def connect(self, record: ServerRecord) -> ServerConnection | str:
        """Return a new connection, or why connecting failed."""
        host, port = split_address(record.address)
        endpoint = TCP4ClientEndpoint(self._reactor, host, port, CONNECT_SECONDS)
        factory: Any = Factory.forProtocol(lambda: ServerConnection(self._reactor))
        self.opened += 1
        try:
            connection: ServerConnection = await endpoint.connect(factory)
        except Exception as error:
            return type(error).__name__
        return connection

    def give_back(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        keep_alive_seconds: float | None,
        now: float,
    ) -> None:
        """Return a connection to the pool after a response, or abort it.

        :param keep_alive_seconds: keep-alive timeout stated by the server, if any.
        """
        if not connection.reusable():
            connection.abort()
            return
        self.keep(record, connection, keep_alive_seconds, now)

    def keep(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        keep_alive_seconds: float | None,
        now: float,
    ) -> None:
        """Add an idle connection, or abort it if the server has the maximum number."""
        idle = self._idle_by_server.setdefault((record.name, record.started_ms), [])
        if len(idle) >= MAX_IDLE_PER_SERVER or not connection.open:
            connection.abort()
            return
        if keep_alive_seconds is not None:
            connection.idle_limit = keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
        connection.idle_since = now
        connection.on_lost = lambda lost: _forget(idle, lost)
        idle.append(connection)

    def expire(self, names: set[str], now: float) -> None:
        """Close connections that exceed their idle timeout or whose server is removed.

        :param names: names of the servers that remain.
        """
        for key, idle in list(self._idle_by_server.items()):
            for connection in list(idle):
                if key[0] in names and now - connection.idle_since < (
                    connection.idle_limit
                ):
                    continue
                idle.remove(connection)
                connection.on_lost = None
                connection.abort()
            if not idle:
                del self._idle_by_server[key]


def _forget(idle: list[ServerConnection], connection: ServerConnection) -> None:
    if connection in idle:
        idle.remove(connection)
