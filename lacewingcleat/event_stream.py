"""protocol: splitting and writing of server-sent events.

A relay passes only whole events on. If a backend server dies in the middle of an event,
the caller has received complete events alone, so that a resumed stream joins exactly.
"""

import msgspec

CONTENT_TYPE = "text/event-stream"
END_OF_EVENT = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Cut a byte stream at event boundaries and count token events."""

    __slots__ = ("_rest", "done", "events")

    def __init__(self) -> None:
        self._rest = b""
        self.events = 0
        self.done = False

    @property
    def has_rest(self) -> bool:
        """Return whether the last event is incomplete."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that are now available.

        :raises ValueError: if one event exceeds `MAX_EVENT_BYTES`.
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
    """Encode one event with a JSON document."""
    return b"data: " + msgspec.json.encode(document) + END_OF_EVENT
