"""Decoders of control frames, headers, bodies and events."""

import math
from typing import get_args

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from lacewingcleat import chat_api, control_wire, http_headers
from lacewingcleat.event_stream import DONE_EVENT, EventSplitter, encode_event
from lacewingcleat.messages import (
    Envelope,
    GroupReport,
    Heartbeat,
    LimitDemand,
    LimitDemands,
    Message,
    RankReport,
    ZoneDigest,
)
from tests.builders import make_peer

EXAMPLE_REPORT = GroupReport(
    "g",
    "server-1",
    0.5,
    2,
    8,
    0.02,
    3,
    9000.0,
    ("a",),
    ("1",),
    0.5,
    7,
)
EXAMPLE_MESSAGES = [
    Heartbeat("127.0.0.1:1", "127.0.0.1:2", "ab", False, 1, 8),
    RankReport("g", 3, {0: 0.02, 1: 0.03}, {(0, 5): 900, (1, 2): 3}, 9),
    ZoneDigest("regina", (EXAMPLE_REPORT,)),
    LimitDemands((LimitDemand("acme", 4, 2.5, 3, 100.0, True),), "ab", 7),
]


class ControlWireTest(TestCase):
    def test_frames_survive_the_round_trip(self) -> None:
        """Guards against fields that change between two processes."""
        for body in EXAMPLE_MESSAGES:
            envelope = Envelope(make_peer(), 5, "d", body)
            self.assertEqual(
                Ok(envelope),
                control_wire.decode(control_wire.encode(envelope)),
            )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=400))
    def test_any_bytes_give_a_result(self, data: bytes) -> None:
        """Guards against a frame that ends the process."""
        self.assertIsInstance(control_wire.decode(data), Ok | Err)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.sampled_from(sorted(item.__name__ for item in get_args(Message))),
        st.recursive(
            st.none()
            | st.integers(-(2**63), 2**63)
            | st.text(max_size=5)
            | st.floats(),
            lambda inner: (
                st.lists(inner, max_size=8)
                | st.dictionaries(st.text(max_size=3), inner, max_size=3)
            ),
        ),
    )
    def test_any_fields_give_a_result(self, name: str, value: object) -> None:
        """Guards against wrong types that reach the deciding code."""
        fields = value if isinstance(value, list) else [value]
        frame = [1, [["i", "c", "z", "entry"], 1, "d", [name, *fields]]]
        decoded = control_wire.decode(msgspec.msgpack.encode(frame))
        if isinstance(decoded, Ok):
            self.assertEqual(name, type(decoded.ok_value.body).__name__)

    def test_numbers_that_are_not_finite_are_refused(self) -> None:
        """Guards against a NaN that makes every comparison of loads false."""
        report = msgspec.structs.replace(EXAMPLE_REPORT, queued_seconds=math.nan)
        for body in (report, ZoneDigest("regina", (report,))):
            frame = control_wire.encode(Envelope(make_peer(), 1, "d", body))
            self.assertIsInstance(control_wire.decode(frame), Err)

    def test_oversized_frames_are_refused(self) -> None:
        """Guards against memory use chosen by the sender."""
        data = b"\x00" * (control_wire.MAX_FRAME_BYTES + 1)
        self.assertIsInstance(control_wire.decode(data), Err)


class HeadersTest(TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.text(max_size=40))
    def test_any_header_value_gives_a_result(self, value: str) -> None:
        """Guards against header values that raise."""
        for result in (
            http_headers.parse_bearer(value),
            http_headers.parse_deadline(value),
            http_headers.parse_priority(value, 5),
            http_headers.parse_idempotency_key(value),
        ):
            self.assertIsInstance(result, Ok | Err)
        self.assertIn(http_headers.parse_traceparent(value), ("", value))

    def test_deadline_units(self) -> None:
        """Guards against milliseconds that are read as seconds."""
        self.assertEqual(Ok(1.5), http_headers.parse_deadline("1500"))
        self.assertIsInstance(http_headers.parse_deadline("0"), Err)


class ChatApiTest(TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_body_gives_a_result(self, body: bytes) -> None:
        """Guards against a request body that raises."""
        result = chat_api.parse_model_request(chat_api.CHAT_PATH, body)
        self.assertIsInstance(result, Ok | Err)

    def test_model_name_carries_version_and_adapter(self) -> None:
        """Guards against an adapter that is taken for part of the model name."""
        body = (
            b'{"model":"drafting@2:names","messages":[{"role":"user","content":"x"}]}'
        )
        request = chat_api.parse_model_request(chat_api.CHAT_PATH, body).unwrap()
        self.assertEqual(
            ("drafting", "2", "names"),
            (request.model, request.version, request.adapter),
        )

    def test_deeply_nested_body_is_refused(self) -> None:
        """Guards against a body that exhausts the stack."""
        body = b'{"model":"m","messages":' + b"[" * 100_000
        result = chat_api.parse_model_request(chat_api.CHAT_PATH, body)
        self.assertIsInstance(result, Err)


class EventSplitterTest(TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.integers(0, 99), max_size=8), st.data())
    def test_only_whole_events_pass(
        self, tokens: list[int], data: st.DataObject
    ) -> None:
        """Guards against half an event before a resumed stream."""
        stream = b"".join(encode_event({"t": token}) for token in tokens) + DONE_EVENT
        cut = data.draw(st.integers(0, len(stream)))
        splitter = EventSplitter()
        first = splitter.feed(stream[:cut])
        self.assertTrue(first == b"" or first.endswith(b"\n\n"))
        self.assertEqual(stream, first + splitter.feed(stream[cut:]))
        self.assertEqual((len(tokens), True), (splitter.events, splitter.done))

    def test_an_event_without_end_is_bounded(self) -> None:
        """Guards against memory use chosen by a backend server."""
        splitter = EventSplitter()
        self.assertRaises(ValueError, splitter.feed, b"x" * ((1 << 20) + 1))
