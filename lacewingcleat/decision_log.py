"""transport: structured log of decisions with rate limit and non-blocking output.

Lines are written to standard output as JSON through loguru. The file descriptor is
non-blocking and has a bounded buffer; lines that do not fit are dropped and counted.
"""

import os
from collections import deque
from typing import Any

import msgspec
from loguru import logger

# Rate limit of one process. A request takes one or two lines, and an entry at its share
# of the target load receives 25 requests per second.
MAX_LINES_PER_SECOND = 200.0
MAX_BURST_LINES = 400.0
# Maximum size of the buffer for lines that the reader of the output has not yet read.
MAX_BUFFER_BYTES = 256 << 10


class BoundedOutput:
    """Write lines to a file descriptor without blocking."""

    __slots__ = ("_buffer", "_buffered_bytes", "_descriptor", "dropped_lines")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Buffer a line and flush the buffer; drop the line if the buffer is full."""
        data = text.encode()
        if self._buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self.dropped_lines += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the file descriptor would block."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # Also raised for a full pipe; lines stay buffered until the next write.
                return
            self._buffered_bytes -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]


class DecisionLog:
    """Write the structured log of one process.

    :param instance: name of the instance, which is part of each line.
    :param descriptor: file descriptor of the output.
    :ivar failure_count: number of internal errors that were logged.
    """

    __slots__ = (
        "_available_lines",
        "_instance",
        "_output",
        "_refilled_at",
        "failure_count",
        "rate_limited_lines",
    )

    def __init__(self, instance: str, descriptor: int = 1) -> None:
        self._instance = instance
        self._output = BoundedOutput(descriptor)
        self._available_lines = MAX_BURST_LINES
        self._refilled_at = 0.0
        self.rate_limited_lines = 0
        self.failure_count = 0
        logger.remove()
        logger.add(
            self._write_record, format="{message}", backtrace=False, diagnose=False
        )

    def _write_record(self, message: Any) -> None:
        record = message.record
        fields = {
            "time": record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z"),
            "level": record["level"].name,
            "instance": self._instance,
            "event": record["message"],
            **record["extra"],
        }
        self._output.write(msgspec.json.encode(fields).decode() + "\n")

    def lifecycle(self, event: str, **fields: object) -> None:
        """Log a change of the process, such as its start, readiness or reload."""
        logger.bind(**fields).info(event)

    def dependency(self, name: str, state: str, **fields: object) -> None:
        """Log the loss or recovery of a dependency."""
        logger.bind(dependency=name, state=state, **fields).warning("dependency")

    def belief(self, event: str, now: float, **fields: object) -> None:
        """Log a change of the known servers, groups, maps or configuration."""
        if self._acquire_line(now):
            logger.bind(**fields).info(event)

    def request(self, event: str, now: float, **fields: object) -> None:
        """Log a decision about a request."""
        if self._acquire_line(now):
            logger.bind(**fields).info(event)

    def failure(self, event: str, **fields: object) -> None:
        """Log an internal error."""
        self.failure_count += 1
        logger.bind(**fields).error(event)

    def _acquire_line(self, now: float) -> bool:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refilled = self._available_lines + elapsed * MAX_LINES_PER_SECOND
        self._available_lines = min(MAX_BURST_LINES, refilled)
        if self._available_lines < 1.0:
            self.rate_limited_lines += 1
            return False
        self._available_lines -= 1.0
        return True

    @property
    def dropped_lines(self) -> int:
        """Return the number of lines dropped since the start."""
        return self.rate_limited_lines + self._output.dropped_lines
