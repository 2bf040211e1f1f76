"""coordination: bound the memory of responses that are read before they are forwarded.

Responses of plain services are forwarded only when they are complete. Servers in
trouble may send bytes without end, many of them at the same time, so the bytes of all
responses count together.
"""

# Limit of one response.
MAX_RESPONSE_BYTES = 16 << 20
# Limit of all responses that are being read; entries run on instances with 200 MB.
MAX_BUFFERED_BYTES = 64 << 20


class ResponseBuffers:
    """Count the bytes of responses that are being read.

    :ivar buffered_bytes: bytes of all of them.
    """

    __slots__ = ("buffered_bytes",)

    def __init__(self) -> None:
        self.buffered_bytes = 0

    def reserve(self, size: int, added: int) -> bool:
        """Count bytes of a response and return whether it may be read further.

        :param size: bytes of this response so far.
        :param added: bytes to add to it.
        """
        if size + added > MAX_RESPONSE_BYTES:
            return False
        if self.buffered_bytes + added > MAX_BUFFERED_BYTES:
            return False
        self.buffered_bytes += added
        return True

    def release(self, size: int) -> None:
        """Stop counting the bytes of a response that is no longer buffered."""
        self.buffered_bytes -= size
