"""protocol: deliver the events of a stream exactly once and in order across servers.

Events carry consecutive identifiers. A stream is resumed after the last delivered
event. Events that the caller has already received are dropped; a missing event is an
error.
"""

from dataclasses import dataclass

from lacewingcleat.event_stream import EVENT_TERMINATOR, EventSplitter

ID_FIELD = b"id:"


class EventOrderError(ValueError):
    """Raised if an event of a stream is missing."""


@dataclass(slots=True)
class _Position:
    """Represent how far the caller has received a stream."""

    last_event_id: int | None
    delivered_count: int = 0


class ResumableEvents:
    """Track the position in the stream of one caller, and parse one server's events.

    `last_event_id` is the identifier of the last delivered event, and
    `delivered_count` the number of delivered events.

    :param last_event_id: identifier of the last event that the caller has received,
        none for a new stream.
    """

    __slots__ = ("_position", "_splitter")

    def __init__(self, last_event_id: int | None) -> None:
        self._position = _Position(last_event_id)
        self._splitter = EventSplitter()

    def for_attempt(self) -> "ResumableEvents":
        """Return the same position for the events of another server."""
        events = ResumableEvents(None)
        events._position = self._position
        return events

    @property
    def last_event_id(self) -> int | None:
        """Return the identifier of the last delivered event."""
        return self._position.last_event_id

    @property
    def delivered_count(self) -> int:
        """Return the number of delivered events."""
        return self._position.delivered_count

    @property
    def has_partial_event(self) -> bool:
        """Return whether the data received so far ends inside an event."""
        return self._splitter.has_incomplete_event

    @property
    def partial_bytes(self) -> int:
        """Return the size in bytes of the event that is not complete yet."""
        return self._splitter.incomplete_bytes

    def feed(self, data: bytes) -> bytes:
        """Parse received data and return the complete events that are new.

        :raises EventOrderError: if an event is missing.
        """
        complete = self._splitter.feed(data)
        if not complete:
            return b""
        new_events = []
        for event in complete.split(EVENT_TERMINATOR)[:-1]:
            if self._accept_event(event):
                new_events.append(event + EVENT_TERMINATOR)
        self._position.delivered_count += len(new_events)
        return b"".join(new_events)

    def _accept_event(self, event: bytes) -> bool:
        if not _has_fields(event):
            # A comment is no progress of the stream and not forwarded, so that a
            # stalled server cannot keep a stream open with comments.
            return False
        event_id = _parse_event_id(event)
        if event_id is None:
            return True
        last = self._position.last_event_id
        if last is not None and event_id <= last:
            return False
        if last is not None and event_id != last + 1:
            raise EventOrderError(f"event {event_id} follows event {last}")
        self._position.last_event_id = event_id
        return True


def _has_fields(event: bytes) -> bool:
    return any(line and not line.startswith(b":") for line in event.split(b"\n"))


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None


def parse_last_event_id(value: bytes | None) -> int | None:
    """Return the identifier in a `Last-Event-ID` header, none if it is invalid."""
    if value is None or not value.strip().isdigit() or len(value) > 18:
        return None
    return int(value)
