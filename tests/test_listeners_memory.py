"""Test listeners, HTTP client and control channel with in-memory transports."""

import json
from typing import Any
from unittest.mock import patch

import pynng
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers, http_server
from lacewingcleat.control_channel import ControlChannel
from lacewingcleat.control_wire import encode
from lacewingcleat.engine_report import (
    EngineLoad,
    decode_engine_incarnation,
    decode_engine_load,
)
from lacewingcleat.entry_call import STALLED_CALLER_TIMEOUT_SECONDS, BodyTimeouts
from lacewingcleat.http_client import (
    MAX_RESPONSE_HEAD_BYTES,
    HttpClient,
    copy_headers,
    first_header,
)
from lacewingcleat.http_server import (
    RECEIVE_TIMEOUT_SECONDS,
    BoundedFactory,
    BoundedRequest,
)
from lacewingcleat.messages import Envelope, Heartbeat
from tests.builders import make_peer

BODY_LIMIT = 1000


class _Connection:
    """Connect to a listener with an in-memory transport."""

    def __init__(self, factory: BoundedFactory) -> None:
        self.transport: Any = StringTransport()
        self.aborted = False
        self.transport.abortConnection = self._abort
        self.channel = factory.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def _abort(self) -> None:
        self.aborted = True

    def feed(self, data: bytes) -> bytes:
        """Deliver bytes to the listener and return the bytes it writes."""
        self.transport.clear()
        self.channel.dataReceived(data)
        written: bytes = self.transport.value()
        return written


def _respond_ok(request: BoundedRequest) -> None:
    request.respond(200, "text/plain", b"ok")


def _raise_error(request: BoundedRequest) -> None:
    raise OverflowError("a number is too large")


class ListenerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        patching = patch.object(http_server, "_REACTOR", self.clock)
        patching.start()
        self.addCleanup(patching.stop)
        self.factory = BoundedFactory(_respond_ok, BODY_LIMIT)

    def test_request_line_that_arrives_byte_by_byte(self) -> None:
        """Guards against slow senders that reset the receive timeout with each byte."""
        connection = _Connection(self.factory)
        for _ in range(4):
            connection.feed(b"G")
            self.assertFalse(connection.aborted)
            self.clock.advance(RECEIVE_TIMEOUT_SECONDS / 4)
        self.assertTrue(connection.aborted)

    def test_incomplete_head_and_body_time_out(self) -> None:
        """Guards against incomplete requests that never time out."""
        head = b"POST / HTTP/1.1\r\nContent-Length: 9\r\n"
        for data in (head, head + b"\r\nx"):
            connection = _Connection(self.factory)
            connection.feed(data)
            self.clock.advance(RECEIVE_TIMEOUT_SECONDS)
            self.assertTrue(connection.aborted)

    def test_idle_connection_between_requests_is_kept(self) -> None:
        """Guards against a receive timeout that is not stopped after the request."""
        connection = _Connection(self.factory)
        connection.feed(b"GET / HT")
        self.assertIn(b" 200 ", connection.feed(b"TP/1.1\r\n\r\n"))
        self.clock.advance(RECEIVE_TIMEOUT_SECONDS * 2)
        self.assertFalse(connection.aborted)

    def test_bodies_of_all_requests_are_bounded(self) -> None:
        """Guards against many bodies below the limit that together exhaust memory."""
        head = f"POST / HTTP/1.1\r\nContent-Length: {BODY_LIMIT}\r\n\r\n".encode()
        connections = [
            _Connection(self.factory)
            for _ in range(http_server.MAX_BUFFERED_BODIES + 4)
        ]
        for connection in connections:
            connection.feed(head + b"x" * (BODY_LIMIT - 1))
        self.assertLessEqual(
            self.factory.buffered_bytes, self.factory.buffer_limit_bytes
        )
        statuses = [connection.feed(b"x")[9:12] for connection in connections]
        self.assertEqual({b"200", b"503"}, set(statuses))
        self.assertEqual(0, self.factory.buffered_bytes)
        self.assertIn(b" 200 ", _Connection(self.factory).feed(head + b"x" * 1000))

    def test_a_lost_connection_releases_its_body(self) -> None:
        """Guards against bodies of closed connections that still count as held."""
        connection = _Connection(self.factory)
        connection.feed(b"POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + b"x" * 500)
        self.assertEqual(500, self.factory.buffered_bytes)
        connection.channel.connectionLost(http_server.CONNECTION_DONE)
        self.assertEqual(0, self.factory.buffered_bytes)

    def test_an_error_of_the_handler_is_answered(self) -> None:
        """Guards against a handler that raises and leaves the caller waiting."""
        connection = _Connection(BoundedFactory(_raise_error, BODY_LIMIT))
        answer = connection.feed(b"GET / HTTP/1.1\r\n\r\n")
        self.assertIn(b" 500 ", answer)
        self.assertIn(b"internal-error", answer)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=200), st.integers(1, 50))
    def test_arbitrary_bytes_do_not_raise(self, data: bytes, size: int) -> None:
        """Guards against input for which the listener raises."""
        for prefix in (b"", b"POST / HTTP/1.1\r\n", b"GET / HTTP/1.1\r\n\r\n"):
            connection = _Connection(self.factory)
            whole = prefix + data
            for start in range(0, len(whole), size):
                connection.feed(whole[start : start + size])


class HeaderTest(TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.text(max_size=30) | st.text("0123456789.²٣", max_size=30))
    def test_arbitrary_numbers_do_not_raise(self, value: str) -> None:
        """Guards against non-ASCII digits and very long numbers that raise."""
        self.assertLess(http_headers.parse_count(value), 10**18)
        self.assertLess(http_headers.parse_seconds(value), 10**9)

    def test_valid_numbers(self) -> None:
        """Guards against parsers that reject valid values."""
        self.assertEqual(42, http_headers.parse_count("42"))
        self.assertEqual(0.25, http_headers.parse_seconds("0.25"))
        self.assertEqual(0, http_headers.parse_count("9" * 9000))

    def test_internal_headers_are_not_copied(self) -> None:
        """Guards against internal headers that are forwarded from outside."""
        names = ["Lacewing-Account", "lacewing-outcome", "LACEWING-X", "X-Own"]
        headers = Headers({name: ["1", "2"] for name in names})
        copied = copy_headers(headers)
        self.assertEqual([(b"X-Own", [b"1", b"2"])], list(copied.getAllRawHeaders()))

    def test_header_that_is_not_utf8(self) -> None:
        """Guards against a response header that raises a decoding error."""
        headers = Headers({b"Content-Type": [b"\xff"]})
        self.assertEqual("\ufffd", first_header(headers, "Content-Type"))


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=6,
)


class EngineReportTest(TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(EngineLoad.__struct_fields__),
            json_values,
            max_size=6,
        ),
    )
    def test_arbitrary_load_reports_do_not_raise(
        self, report: dict[str, object]
    ) -> None:
        """Guards against an engine report that raises and stops the agent's reports."""
        decoded = decode_engine_load(json.dumps(report).encode())
        if isinstance(decoded, Ok):
            load = decoded.ok_value
            self.assertTrue(0 <= load.kv_free_share <= 1)
            for key, tokens in load.tokens_by_expert(0).items():
                self.assertTrue(all(0 <= item <= 1 << 53 for item in (*key, tokens)))

    def test_deep_nesting_is_refused(self) -> None:
        """Guards against nested JSON from an engine that exhausts the stack."""
        nested = b'{"x":' + b"[" * 100_000
        self.assertIsInstance(decode_engine_load(nested), Err)
        self.assertIsNone(decode_engine_incarnation(nested))

    def test_a_valid_report_is_decoded(self) -> None:
        """Guards against validation that rejects valid engine reports."""
        report = {"step_seconds": 0.02, "load_by_expert": [[0, 1, 5], [0, "x", 1]]}
        load = decode_engine_load(json.dumps(report).encode()).unwrap()
        self.assertEqual(0.02, load.step_seconds)
        self.assertEqual({(0, 1): 5}, load.tokens_by_expert(0))


class BodyWatchTest(TestCase):
    def test_a_slow_caller_is_not_a_slow_server(self) -> None:
        """Guards against a server time-out that is caused by a caller that stalls.

        The stream would then be resumed at another server without need.
        """
        clock = Clock()
        events: list[str] = []
        watch = BodyTimeouts(
            clock,
            10.0,
            100.0,
            lambda: events.append("abort"),
            lambda: events.append("stall"),
        )
        watch.set_paused(True)
        clock.advance(STALLED_CALLER_TIMEOUT_SECONDS - 0.1)
        self.assertEqual([], events)
        watch.set_paused(False)
        clock.advance(9.9)
        watch.restart_idle()
        clock.advance(9.9)
        self.assertEqual([], events)
        watch.set_paused(True)
        watch.restart_idle()
        clock.advance(STALLED_CALLER_TIMEOUT_SECONDS)
        self.assertEqual(["stall"], events)

    def test_a_silent_server_times_out(self) -> None:
        """Guards against a watch that never times out a silent server."""
        clock = Clock()
        events: list[str] = []
        BodyTimeouts(clock, 10.0, 100.0, lambda: events.append("abort"))
        clock.advance(10.0)
        self.assertEqual(["abort"], events)

    def test_a_silent_server_is_kept_while_no_other_can_go_on(self) -> None:
        """Guards against streams that are cut for nothing, or kept for ever."""
        clock = Clock()
        events: list[str] = []
        others = [False]
        BodyTimeouts(
            clock,
            10.0,
            35.0,
            lambda: events.append("abort"),
            may_abort_idle=lambda: others[0],
        )
        clock.pump([5.0] * 5)
        self.assertEqual([], events)
        others[0] = True
        clock.advance(5.0)
        self.assertEqual(["abort"], events)
        others[0] = False
        clock.advance(5.0)
        self.assertEqual(["abort", "abort"], events)


class ClientTest(TestCase):
    def test_an_endless_head_closes_the_connection(self) -> None:
        """Guards against a response head that is buffered without a limit."""
        client = HttpClient(Clock())
        protocol = client._pool._factory(lambda _: None, "").buildProtocol(None)
        transport: Any = StringTransport()
        aborted: list[bool] = []
        transport.abortConnection = lambda: aborted.append(True)
        protocol.makeConnection(transport)
        request: Any = _request()
        protocol.request(request).addErrback(lambda _: None)
        protocol.dataReceived(b"HTTP/1.1 200 OK\r\n")
        for _ in range(MAX_RESPONSE_HEAD_BYTES // 600):
            protocol.dataReceived(b"X: y\r\n" * 100)
        self.assertEqual([], aborted)
        protocol.dataReceived(b"X: y\r\n" * 200)
        self.assertEqual([True], aborted)


def _request() -> object:
    from twisted.web._newclient import Request

    return Request(b"GET", b"/", Headers({b"Host": [b"x"]}), None)


class _StubReactor:
    def addReader(self, reader: Any) -> None:
        pass

    def removeReader(self, reader: Any) -> None:
        pass

    def callLater(self, delay: float, callable: Any, *args: object) -> None:
        pass


class _StubPullSocket:
    """Replace a Pull socket; items that are exceptions are raised by `recv`."""

    def __init__(self, frames: list[bytes | Exception]) -> None:
        self.frames = frames

    def recv(self, block: bool) -> bytes:
        if not self.frames:
            raise pynng.TryAgain("no frame", 8)
        frame = self.frames.pop(0)
        if isinstance(frame, Exception):
            raise frame
        return frame

    def close(self) -> None:
        pass


class ControlChannelTest(TestCase):
    def test_errors_do_not_reach_the_reactor(self) -> None:
        """Guards against exceptions after which the reactor drops the control socket.

        pynng raises RuntimeError for an empty frame, and a state machine may raise for
        an unexpected number.
        """
        received: list[Envelope] = []

        def deliver(envelope: Envelope) -> None:
            received.append(envelope)
            if len(received) == 1:
                raise OverflowError("a number is too large")

        channel = ControlChannel(_StubReactor(), "127.0.0.1:0", deliver)
        self.addCleanup(channel.close)
        channel._pull_socket.close()
        body = Heartbeat("127.0.0.1:1", "127.0.0.1:2", "ab", False, 1, 8)
        frame = encode(Envelope(make_peer(), 1, "d", body))
        channel._pull_socket = _StubPullSocket(
            [RuntimeError("NULL"), frame, b"\xc1", frame]
        )
        channel.doRead()
        self.assertEqual(2, len(received))
        self.assertEqual(1, channel.counters.failed)
        self.assertEqual(2, channel.counters.malformed)
