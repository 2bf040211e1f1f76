"""protocol: splitting and encoding of server-sent events.

Only complete events are forwarded to the caller. If a backend server fails in the
middle of an event, a stream resumed at another server continues at an event boundary.
"""

import msgspec

CONTENT_TYPE = "text/event-stream"
EVENT_TERMINATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Split a byte stream at event boundaries and count token events.

    `done_received` is set by the final `[DONE]` event, which is not counted in
    `token_events`.
    """

    __slots__ = ("_incomplete_event", "done_received", "token_events")

    def __init__(self) -> None:
        self._incomplete_event = b""
        self.token_events = 0
        self.done_received = False

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._incomplete_event)

    def feed(self, data: bytes) -> bytes:
        """Append data and return the events that are complete, as bytes.

        :raises ValueError: if an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        if self._incomplete_event:
            data = self._incomplete_event + data
        complete_length = data.rfind(EVENT_TERMINATOR) + len(EVENT_TERMINATOR)
        if complete_length < len(EVENT_TERMINATOR):
            complete_length = 0
        complete = data[:complete_length]
        self._incomplete_event = data[complete_length:]
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if complete.endswith(DONE_EVENT):
            self.done_received = True
            self.token_events -= 1
        self.token_events += complete.count(EVENT_TERMINATOR)
        return complete


def encode_event(document: object) -> bytes:
    """Encode a JSON document as one event."""
    return b"data: " + msgspec.json.encode(document) + EVENT_TERMINATOR
