"""Connections of a direct entry to backend servers, without a network."""

from testtools import TestCase
from twisted.internet.task import Clock

from lacewingcleat.server_connection import (
    MAX_UNREAD_EVENTS,
    BodyChunk,
    ResponseEvent,
    ResponseHead,
)
from tests.builders_direct import connect_in_memory

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
PART = b"x" * 65_536


class UnreadResponseTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.connection, self.transport = connect_in_memory(self.clock)

    def _next_event(self) -> ResponseEvent | None:
        events: list[ResponseEvent] = []
        self.connection.next_event(1.0).addCallback(events.append)
        return events[0] if events else None

    def test_response_that_nobody_reads_does_not_fill_the_memory(self) -> None:
        """Guards against an endless response that is buffered without a limit."""
        self.connection.send(b"GET", b"/", [(b"host", b"h")], b"")
        self.connection.dataReceived(HEAD)
        received = 0
        while self.transport.producerState == "producing" and received < 100:
            self.connection.dataReceived(PART)
            received += 1
        self.assertLess(received, 2 * MAX_UNREAD_EVENTS)
        self.assertIsInstance(self._next_event(), ResponseHead)
        for _ in range(received):
            self.assertEqual(BodyChunk(PART), self._next_event())
            self.clock.advance(0.0)
        self.assertEqual("producing", self.transport.producerState)
