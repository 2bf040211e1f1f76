"""Connections of callers that do not read what is sent to them."""

from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from lacewingcleat.caller_connection import (
    MAX_UNREAD_SECONDS,
    MIN_READ_BYTES_PER_SECOND,
    CallerConnection,
    CallerFactory,
    CallerRequest,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class CallerConnectionTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.requests: list[CallerRequest] = []
        self.unread = 0
        factory = CallerFactory(
            self.clock, self.requests.append, on_unread=self._count_unread
        )
        self.connection: CallerConnection = factory.buildProtocol(None)
        self.transport = StringTransport()
        self.transport.setTcpNoDelay = lambda enabled: None
        self.aborted = False
        self.transport.abortConnection = self._record_abort
        self.connection.makeConnection(self.transport)
        self.connection.dataReceived(REQUEST)

    def _record_abort(self) -> None:
        self.aborted = True

    def _count_unread(self) -> None:
        self.unread += 1

    def test_a_caller_that_does_not_read_is_cut_off(self) -> None:
        """Guards against responses that stay in memory for ever.

        Closing the connection would wait until the caller has read everything.
        """
        self.requests[0].respond(200, [], b"x" * 1000)
        self.connection.pauseProducing()
        self.clock.advance(MAX_UNREAD_SECONDS + 1.0)
        self.assertTrue(self.aborted)
        self.assertEqual(1, self.unread)

    def test_a_caller_that_reads_a_stream_slowly_is_not_cut_off(self) -> None:
        """Guards against cutting callers that read everything, though late."""
        self.requests[0].start_response(200, [], b"x")
        for _ in range(10):
            self.connection.pauseProducing()
            self.clock.advance(MAX_UNREAD_SECONDS - 1.0)
            self.connection.resumeProducing()
        self.assertFalse(self.aborted)

    def test_the_time_grows_with_the_size_of_a_response(self) -> None:
        """Guards against cutting a caller that reads a large response steadily."""
        self.requests[0].respond(200, [], b"x" * (100 * MIN_READ_BYTES_PER_SECOND))
        self.connection.pauseProducing()
        self.clock.advance(100.0)
        self.assertFalse(self.aborted)
        self.clock.advance(MAX_UNREAD_SECONDS + 1.0)
        self.assertTrue(self.aborted)

    def test_parts_of_a_stream_do_not_extend_the_time(self) -> None:
        """Guards against a stalled caller that is kept by the events of its stream."""
        self.requests[0].start_response(200, [], b"x")
        self.connection.pauseProducing()
        for _ in range(int(MAX_UNREAD_SECONDS) + 1):
            self.connection.pauseProducing()
            self.clock.advance(1.0)
        self.assertTrue(self.aborted)
