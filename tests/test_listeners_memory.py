"""Listeners, the client and the control channel with input in memory."""

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
    decode_incarnation,
    decode_load,
)
from lacewingcleat.entry_call import STALLED_CALLER_SECONDS, BodyWatch
from lacewingcleat.http_client import (
    MAX_HEAD_BYTES,
    RelayClient,
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
    """Hold one connection of a listener in memory."""

    def __init__(self, factory: BoundedFactory) -> None:
        self.transport: Any = StringTransport()
        self.aborted = False
        self.transport.abortConnection = self._abort
        self.channel = factory.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def _abort(self) -> None:
        self.aborted = True

    def feed(self, data: bytes) -> bytes:
        """Deliver bytes and return what the listener has written since."""
        self.transport.clear()
        self.channel.dataReceived(data)
        written: bytes = self.transport.value()
        return written


def _answer(request: BoundedRequest) -> None:
    request.respond(200, "text/plain", b"ok")


def _fail(request: BoundedRequest) -> None:
    raise OverflowError("a number is too large")


class ListenerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        patching = patch.object(http_server, "_REACTOR", self.clock)
        patching.start()
        self.addCleanup(patching.stop)
        self.factory = BoundedFactory(_answer, BODY_LIMIT)

    def test_request_line_that_arrives_byte_by_byte(self) -> None:
        """Guards against connections that are held open by a byte now and then."""
        connection = _Connection(self.factory)
        for _ in range(4):
            connection.feed(b"G")
            self.assertFalse(connection.aborted)
            self.clock.advance(RECEIVE_TIMEOUT_SECONDS / 4)
        self.assertTrue(connection.aborted)

    def test_head_and_body_that_stop(self) -> None:
        """Guards against requests that are never received and never given up."""
        head = b"POST / HTTP/1.1\r\nContent-Length: 9\r\n"
        for data in (head, head + b"\r\nx"):
            connection = _Connection(self.factory)
            connection.feed(data)
            self.clock.advance(RECEIVE_TIMEOUT_SECONDS)
            self.assertTrue(connection.aborted)

    def test_idle_connection_between_requests_is_kept(self) -> None:
        """Guards against a timer that outlives the request line."""
        connection = _Connection(self.factory)
        connection.feed(b"GET / HT")
        self.assertIn(b" 200 ", connection.feed(b"TP/1.1\r\n\r\n"))
        self.clock.advance(RECEIVE_TIMEOUT_SECONDS * 2)
        self.assertFalse(connection.aborted)

    def test_bodies_of_all_requests_are_bounded(self) -> None:
        """Guards against many bodies below the limit that fill the memory."""
        head = f"POST / HTTP/1.1\r\nContent-Length: {BODY_LIMIT}\r\n\r\n".encode()
        held = [_Connection(self.factory) for _ in range(http_server.HELD_BODIES + 4)]
        for connection in held:
            connection.feed(head + b"x" * (BODY_LIMIT - 1))
        self.assertLessEqual(self.factory.held_bytes, self.factory.held_limit)
        statuses = [connection.feed(b"x")[9:12] for connection in held]
        self.assertEqual({b"200", b"503"}, set(statuses))
        self.assertEqual(0, self.factory.held_bytes)
        self.assertIn(b" 200 ", _Connection(self.factory).feed(head + b"x" * 1000))

    def test_a_lost_connection_gives_its_memory_back(self) -> None:
        """Guards against a bound that is reached by requests that have gone."""
        connection = _Connection(self.factory)
        connection.feed(b"POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + b"x" * 500)
        self.assertEqual(500, self.factory.held_bytes)
        connection.channel.connectionLost(http_server.CONNECTION_DONE)
        self.assertEqual(0, self.factory.held_bytes)

    def test_an_error_of_the_handler_is_answered(self) -> None:
        """Guards against a caller that waits for an answer after an error."""
        connection = _Connection(BoundedFactory(_fail, BODY_LIMIT))
        answer = connection.feed(b"GET / HTTP/1.1\r\n\r\n")
        self.assertIn(b" 500 ", answer)
        self.assertIn(b"internal-error", answer)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=200), st.integers(1, 50))
    def test_any_bytes_are_survived(self, data: bytes, size: int) -> None:
        """Guards against input that raises out of the listener."""
        for prefix in (b"", b"POST / HTTP/1.1\r\n", b"GET / HTTP/1.1\r\n\r\n"):
            connection = _Connection(self.factory)
            whole = prefix + data
            for start in range(0, len(whole), size):
                connection.feed(whole[start : start + size])


class HeaderTest(TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.text(max_size=30) | st.text("0123456789.²٣", max_size=30))
    def test_any_number_gives_a_value(self, value: str) -> None:
        """Guards against digits of other scripts and numbers without end."""
        self.assertLess(http_headers.parse_count(value), 10**18)
        self.assertLess(http_headers.parse_seconds(value), 10**9)

    def test_values_of_numbers(self) -> None:
        """Guards against parsers that refuse regular values."""
        self.assertEqual(42, http_headers.parse_count("42"))
        self.assertEqual(0.25, http_headers.parse_seconds("0.25"))
        self.assertEqual(0, http_headers.parse_count("9" * 9000))

    def test_internal_headers_are_not_copied(self) -> None:
        """Guards against headers of this system that come from outside."""
        names = ["Lacewing-Account", "lacewing-outcome", "LACEWING-X", "X-Own"]
        headers = Headers({name: ["1", "2"] for name in names})
        copied = copy_headers(headers)
        self.assertEqual([(b"X-Own", [b"1", b"2"])], list(copied.getAllRawHeaders()))

    def test_header_that_is_not_utf8(self) -> None:
        """Guards against an answer whose header raises at the entry."""
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
    def test_any_load_report_gives_a_result(self, report: dict[str, object]) -> None:
        """Guards against an engine's report that stops the reports of its agent."""
        decoded = decode_load(json.dumps(report).encode())
        if isinstance(decoded, Ok):
            load = decoded.ok_value
            self.assertTrue(0 <= load.kv_free_share <= 1)
            for key, tokens in load.tokens_by_expert(0).items():
                self.assertTrue(all(0 <= item <= 1 << 53 for item in (*key, tokens)))

    def test_deep_nesting_is_refused(self) -> None:
        """Guards against an engine's answer that exhausts the stack."""
        nested = b'{"x":' + b"[" * 100_000
        self.assertIsInstance(decode_load(nested), Err)
        self.assertIsNone(decode_incarnation(nested))

    def test_a_regular_report_is_taken(self) -> None:
        """Guards against bounds that refuse what engines report."""
        report = {"step_seconds": 0.02, "load_by_expert": [[0, 1, 5], [0, "x", 1]]}
        load = decode_load(json.dumps(report).encode()).unwrap()
        self.assertEqual(0.02, load.step_seconds)
        self.assertEqual({(0, 1): 5}, load.tokens_by_expert(0))


class BodyWatchTest(TestCase):
    def test_a_slow_caller_is_not_a_slow_server(self) -> None:
        """Guards against a stream that is sent again because its caller stalls."""
        clock = Clock()
        events: list[str] = []
        watch = BodyWatch(
            clock,
            10.0,
            100.0,
            lambda: events.append("abort"),
            lambda: events.append("stall"),
        )
        watch.set_paused(True)
        clock.advance(STALLED_CALLER_SECONDS - 0.1)
        self.assertEqual([], events)
        watch.set_paused(False)
        clock.advance(9.9)
        watch.touch()
        clock.advance(9.9)
        self.assertEqual([], events)
        watch.set_paused(True)
        watch.touch()
        clock.advance(STALLED_CALLER_SECONDS)
        self.assertEqual(["stall"], events)

    def test_a_silent_server_is_given_up(self) -> None:
        """Guards against a watch that never ends a stream."""
        clock = Clock()
        events: list[str] = []
        BodyWatch(clock, 10.0, 100.0, lambda: events.append("abort"))
        clock.advance(10.0)
        self.assertEqual(["abort"], events)


class ClientTest(TestCase):
    def test_a_head_without_end_closes_the_connection(self) -> None:
        """Guards against memory use chosen by a backend server."""
        client = RelayClient(Clock())
        protocol = client._pool._factory(lambda _: None, "").buildProtocol(None)
        transport: Any = StringTransport()
        aborted: list[bool] = []
        transport.abortConnection = lambda: aborted.append(True)
        protocol.makeConnection(transport)
        request: Any = _request()
        protocol.request(request).addErrback(lambda _: None)
        protocol.dataReceived(b"HTTP/1.1 200 OK\r\n")
        for _ in range(MAX_HEAD_BYTES // 600):
            protocol.dataReceived(b"X: y\r\n" * 100)
        self.assertEqual([], aborted)
        protocol.dataReceived(b"X: y\r\n" * 200)
        self.assertEqual([True], aborted)


def _request() -> object:
    from twisted.web._newclient import Request

    return Request(b"GET", b"/", Headers({b"Host": [b"x"]}), None)


class _Reader:
    def addReader(self, reader: Any) -> None:
        pass

    def removeReader(self, reader: Any) -> None:
        pass

    def callLater(self, delay: float, callable: Any, *args: object) -> None:
        pass


class _Frames:
    """Stand in for a Pull socket whose frames may raise."""

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
        """Guards against a reactor that stops watching the control socket.

        pynng raises RuntimeError for a frame without bytes, and a state machine may
        raise for a number that it does not expect.
        """
        heard: list[Envelope] = []

        def deliver(envelope: Envelope) -> None:
            heard.append(envelope)
            if len(heard) == 1:
                raise OverflowError("a number is too large")

        channel = ControlChannel(_Reader(), "127.0.0.1:0", deliver)
        self.addCleanup(channel.close)
        channel._pull.close()
        body = Heartbeat("127.0.0.1:1", "127.0.0.1:2", "ab", False, 1, 8)
        frame = encode(Envelope(make_peer(), 1, "d", body))
        channel._pull = _Frames([RuntimeError("NULL"), frame, b"\xc1", frame])
        channel.doRead()
        self.assertEqual(2, len(heard))
        self.assertEqual(1, channel.counters.failed)
        self.assertEqual(2, channel.counters.malformed)
