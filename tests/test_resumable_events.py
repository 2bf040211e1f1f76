"""Delivery of stream events exactly once and in order across servers."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.resumable_events import (
    EventOrderError,
    ResumableEvents,
    parse_last_event_id,
)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class ResumableEventsTest(TestCase):
    @given(
        count=st.integers(1, 20),
        cut=st.integers(0, 400),
        overlap=st.integers(0, 5),
        size=st.integers(1, 50),
    )
    def test_resumed_stream_continues_exactly(
        self,
        count: int,
        cut: int,
        overlap: int,
        size: int,
    ) -> None:
        """Guards against missing, duplicate and truncated events after a resume."""
        whole = b"".join(_event(n) for n in range(1, count + 1))
        first = ResumableEvents(None)
        delivered = first.feed(whole[:cut])
        events = first.for_attempt()
        start = max(1, (events.last_event_id or 0) + 1 - overlap)
        resumed_data = b"".join(_event(n) for n in range(start, count + 1))
        for offset in range(0, len(resumed_data), size):
            delivered += events.feed(resumed_data[offset : offset + size])
        self.assertEqual(whole, delivered)
        self.assertFalse(events.has_partial_event)

    def test_missing_event_is_an_error(self) -> None:
        """Guards against a stream that continues after a missing event."""
        events = ResumableEvents(4)
        self.assertRaises(EventOrderError, events.feed, _event(6))

    def test_malformed_last_event_id_is_ignored(self) -> None:
        """Guards against failing a request because of an invalid `Last-Event-ID`."""
        self.assertEqual(12, parse_last_event_id(b" 12 "))
        for value in (None, b"", b"-1", b"x", b"9" * 40):
            self.assertIs(None, parse_last_event_id(value))
