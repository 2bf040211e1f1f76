"""protocol: deliver the events of a stream exactly once and in order across servers.

Events carry consecutive identifiers. A stream is resumed after the last delivered
event. Events that the caller has already received are dropped; a missing event is an
error.
"""

from lacewingcleat.event_stream import END_OF_EVENT, EventSplitter

ID_FIELD = b"id:"


class EventOrderError(ValueError):
    """Raised if an event of a stream is missing."""


class ResumableEvents:
    """Track the position in the stream of one caller.

    `delivered` is the number of delivered events.

    :param last_id: identifier of the last event that the caller has received,
        none for a new stream.
    :ivar last_id: identifier of the last delivered event.
    """

    __slots__ = ("_splitter", "delivered", "last_id")

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.delivered = 0
        self._splitter = EventSplitter()

    def begin_attempt(self) -> None:
        """Discard the partial event of the previous attempt."""
        self._splitter = EventSplitter()

    @property
    def incomplete(self) -> bool:
        """Return whether the data received so far ends inside an event."""
        return self._splitter.has_rest

    def feed(self, data: bytes) -> bytes:
        """Parse received data and return the complete events that are new.

        :raises EventOrderError: if an event is missing.
        """
        complete = self._splitter.feed(data)
        if not complete:
            return b""
        kept = []
        for event in complete.split(END_OF_EVENT)[:-1]:
            if self._accept(event):
                kept.append(event + END_OF_EVENT)
        self.delivered += len(kept)
        return b"".join(kept)

    def _accept(self, event: bytes) -> bool:
        found = _event_id(event)
        if found is None:
            return True
        last = self.last_id
        if last is not None and found <= last:
            return False
        if last is not None and found != last + 1:
            raise EventOrderError(f"event {found} follows event {last}")
        self.last_id = found
        return True


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None


def parse_last_id(value: bytes | None) -> int | None:
    """Return the identifier in a `Last-Event-ID` header, none if it is invalid."""
    if value is None or not value.strip().isdigit() or len(value) > 18:
        return None
    return int(value)
