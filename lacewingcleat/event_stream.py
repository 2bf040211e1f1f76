"""protocol: splitting and encoding of server-sent events.

Only complete events are forwarded to the caller. If a backend server fails in the
middle of an event, a stream resumed at another server continues at an event boundary.
"""

import msgspec

CONTENT_TYPE = "text/event-stream"
END_OF_EVENT = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Split a byte stream at event boundaries and count token events.

    `done` is set by the final `[DONE]` event, which is not counted in
    `events`.
    """

    __slots__ = ("_rest", "done", "events")

    def __init__(self) -> None:
        self._rest = b""
        self.events = 0
        self.done = False

    @property
    def has_rest(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Append data and return the events that are complete, as bytes.

        :raises ValueError: if an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        if self._rest:
            data = self._rest + data
        end = data.rfind(END_OF_EVENT) + len(END_OF_EVENT)
        if end < len(END_OF_EVENT):
            end = 0
        complete = data[:end]
        self._rest = data[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if complete.endswith(DONE_EVENT):
            self.done = True
            self.events -= 1
        self.events += complete.count(END_OF_EVENT)
        return complete


def encode_event(document: object) -> bytes:
    """Encode a JSON document as one event."""
    return b"data: " + msgspec.json.encode(document) + END_OF_EVENT
