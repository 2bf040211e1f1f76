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
        self._incomplete_event = bytearray()
        self.token_events = 0
        self.done_received = False

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._incomplete_event)

    @property
    def incomplete_bytes(self) -> int:
        """Return the size of the incomplete event in bytes."""
        return len(self._incomplete_event)

    def feed(self, data: bytes) -> bytes:
        """Append data and return the events that are complete, as bytes.

        :raises ValueError: if an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        buffer = self._incomplete_event
        # Only the new data and the byte before it can complete an event, so the cost of
        # a long event that arrives in small parts stays proportional to its length.
        searched = max(0, len(buffer) - 1)
        buffer += data
        end = buffer.rfind(EVENT_TERMINATOR, searched)
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
            return b""
        complete = bytes(buffer[: end + len(EVENT_TERMINATOR)])
        del buffer[: end + len(EVENT_TERMINATOR)]
        if len(buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if complete.endswith(DONE_EVENT):
            self.done_received = True
            self.token_events -= 1
        self.token_events += complete.count(EVENT_TERMINATOR)
        return complete


def encode_event(document: object) -> bytes:
    """Encode a JSON document as one event."""
    return b"data: " + msgspec.json.encode(document) + EVENT_TERMINATOR
