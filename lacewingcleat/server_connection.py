"""transport: HTTP/1.1 connections to backend servers, and the pool that keeps them.

A connection serves one request at a time. It is kept only after an answer that ended
exactly where its framing says; whatever arrives while no answer is due ends it.
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
# An instance in the fleet answers a connection attempt within a few milliseconds.
CONNECT_SECONDS = 0.35
# Servers close idle connections after a time that they need not state.
IDLE_SECONDS = 4.0
# A stated keep-alive time is used up to this margin, so that a request does not cross
# the server's close.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
MAX_IDLE_PER_SERVER = 8

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class Head:
    """Begin an answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; names are in lower case."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class Piece:
    """Carry a part of the answer's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """End an answer whose whole body has arrived."""


@dataclass(frozen=True, slots=True)
class Broken:
    """End an answer that did not arrive whole."""

    reason: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """Say that nothing arrived in time."""


@dataclass(frozen=True, slots=True)
class Interrupted:
    """Say that the request was cancelled by this process."""

    reason: str


AnswerEvent = Head | Piece | Finished | Broken | TimedOut | Interrupted


class ServerConnection(Protocol):
    """Exchange requests and answers with one backend server."""

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
        """Take the connection into use."""
        self.open = True
        self.transport.setTcpNoDelay(True)

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Write a whole request."""
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
        """Return the next part of the answer, or `TimedOut` after some seconds."""
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
        """Wake up whoever waits for the answer."""
        self._put(Interrupted(reason))

    def dataReceived(self, data: bytes) -> None:
        """Parse what the server sent."""
        if not self._busy:
            # Nothing is due: an answer to nobody, or the rest of an earlier one.
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
                # Interim answers carry nothing that is passed on.
                return

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End an answer that was under way."""
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
        """Return whether the answer ended cleanly; makes the connection idle."""
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
        """Close at once; the server stops working on the request."""
        self.open = False
        if self.transport is not None:
            self.transport.abortConnection()


class ServerPool:
    """Keep idle connections by server and incarnation.

    :param reactor: the reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._idle_by_server: dict[tuple[str, int], list[ServerConnection]] = {}
        self.opened = 0

    def take(self, record: ServerRecord, now: float) -> ServerConnection | None:
        """Return an idle connection, the one used last first."""
        idle = self._idle_by_server.get((record.name, record.started_ms), [])
        while idle:
            connection = idle.pop()
            if connection.open and now - connection.idle_since < connection.idle_limit:
                connection.on_lost = None
                return connection
            connection.abort()
        return None

    async def obtain(self, record: ServerRecord, now: float) -> ServerConnection | str:
        """Return an idle connection or open one; return the reason if that fails."""
        return self.take(record, now) or await self.connect(record)

    async def connect(self, record: ServerRecord) -> ServerConnection | str:
        """Open a connection; return the reason if that fails."""
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
        """Keep a connection after an answer if it can be used again, or close it."""
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
        """Keep an idle connection, unless there are enough of them."""
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
        """Close connections that are idle for too long or whose server is gone."""
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
