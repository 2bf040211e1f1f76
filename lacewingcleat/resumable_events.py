"""protocol: pass on the events of a stream once and in order, over several servers.

Events carry increasing identifiers. A stream that is resumed begins after the last one
that was delivered; what the caller already has is left out, and a gap is an error.
"""

from lacewingcleat.event_stream import END_OF_EVENT, EventSplitter

ID_FIELD = b"id:"


class EventOrderError(ValueError):
    """Say that a stream's events do not follow each other."""


class ResumableEvents:
    """Keep the place of one caller's stream.

    :param last_id: identifier after which the caller asked to go on, none if it begins.
    :ivar last_id: identifier of the last event that was delivered.
    :ivar delivered: number of events that were delivered.
    """

    __slots__ = ("_splitter", "delivered", "last_id")

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.delivered = 0
        self._splitter = EventSplitter()

    def begin_attempt(self) -> None:
        """Drop the incomplete event of a stream that broke off."""
        self._splitter = EventSplitter()

    @property
    def incomplete(self) -> bool:
        """Return whether the stream stands in the middle of an event."""
        return self._splitter.has_rest

    def feed(self, data: bytes) -> bytes:
        """Return the new whole events.

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
    """Return the identifier after which a caller asks to go on."""
    if value is None or not value.strip().isdigit() or len(value) > 18:
        return None
    return int(value)
