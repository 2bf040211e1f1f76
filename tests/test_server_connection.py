"""Connections of a direct entry to backend servers, without a network."""

from testtools import TestCase
from twisted.internet.task import Clock

from lacewingcleat.server_connection import (
    BODY_SLICE_BYTES,
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


class LargeBodyTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.connection, self.transport = connect_in_memory(Clock())
        self.body = bytes(range(256)) * 1000

    def _send(self) -> None:
        length = b"%d" % len(self.body)
        headers = [(b"host", b"h"), (b"content-length", length)]
        self.connection.send(b"POST", b"/", headers, self.body)

    def test_a_large_body_is_written_as_the_server_reads_it(self) -> None:
        """Guards against a copy of the body in the transport for each attempt."""
        self._send()
        written = len(self.transport.value())
        self.assertLess(written, BODY_SLICE_BYTES)
        while self.transport.producer is not None:
            self.transport.producer.resumeProducing()
            size = len(self.transport.value())
            self.assertLessEqual(size - written, BODY_SLICE_BYTES)
            written = size
        _, _, body = self.transport.value().partition(b"\r\n\r\n")
        self.assertEqual(self.body, body)
        self.connection.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
        for _ in range(2):
            self.connection.next_event(1.0)
        self.assertTrue(self.connection.make_idle())

    def test_a_response_before_the_end_of_the_body_ends_the_connection(self) -> None:
        """Guards against a connection that is used again inside a request."""
        self._send()
        self.transport.producer.resumeProducing()
        self.connection.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
        for _ in range(2):
            self.connection.next_event(1.0)
        self.assertFalse(self.connection.make_idle())
