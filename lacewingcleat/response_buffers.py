"""coordination: bound the memory of responses that are read before they are forwarded.

Responses of plain services are forwarded only when they are complete, events of streams
likewise, and reports of servers are decoded as a whole. Servers in trouble may send
bytes without end, many of them at the same time, so the bytes of all responses count
together.
"""

from lacewingcleat.memory_budget import derive_limits

# Limit of one response.
MAX_RESPONSE_BYTES = 16 << 20
# Limit of all responses that are being read; entries run on instances with 200 MB.
MAX_BUFFERED_BYTES = 64 << 20


# Responses up to this size have a part of the limit that larger ones cannot use.
SMALL_RESPONSE_BYTES = 65_536
LARGE_RESPONSE_SHARE = 0.75


class ResponseBuffers:
    """Count the bytes of responses that are being read.

    :param limit_bytes: limit of all responses. A single large response is read even if
        it exceeds the limit, since it could never be delivered otherwise.
    :ivar buffered_bytes: bytes of all of them.
    """

    __slots__ = ("_large_bytes", "_limit_bytes", "buffered_bytes")

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._large_bytes = 0
        self.buffered_bytes = 0

    def reserve(self, size: int, added: int) -> bool:
        """Count bytes of a response and return whether it may be read further.

        :param size: bytes of this response so far.
        :param added: bytes to add to it.
        """
        total = size + added
        if total > MAX_RESPONSE_BYTES or not self._fits(size, added):
            return False
        self.buffered_bytes += added
        self._large_bytes += _large(total) - _large(size)
        return True

    def _fits(self, size: int, added: int) -> bool:
        if self.buffered_bytes + added <= self._limit_bytes:
            return True
        if size + added > SMALL_RESPONSE_BYTES:
            return self._large_bytes == _large(size)
        small_bytes = self.buffered_bytes - self._large_bytes
        reserve = self._limit_bytes * (1.0 - LARGE_RESPONSE_SHARE)
        return small_bytes + added <= reserve

    def resize(self, size: int, new_size: int) -> bool:
        """Count a response whose buffered part has grown or shrunk.

        :param size: bytes that are counted for it.
        :param new_size: bytes of it that are buffered now.
        :return: whether it may be read further, else `size` is counted still.
        """
        if new_size >= size:
            return self.reserve(size, new_size - size)
        self.buffered_bytes -= size - new_size
        self._large_bytes -= _large(size) - _large(new_size)
        return True

    def release(self, size: int) -> None:
        """Stop counting the bytes of a response that is no longer buffered."""
        self.buffered_bytes -= size
        self._large_bytes -= _large(size)


def _large(size: int) -> int:
    return size if size > SMALL_RESPONSE_BYTES else 0


def make_response_buffers(memory_mb: float | None) -> ResponseBuffers:
    """Return the bound that follows from the memory of a process.

    :param memory_mb: memory in MB, none for the default bound.
    """
    limits = derive_limits(memory_mb, None)
    return ResponseBuffers(limits.response_bytes or MAX_BUFFERED_BYTES)
