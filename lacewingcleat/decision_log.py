"""transport: one structured line per decision, bounded and never blocking.

Lines go to standard output as JSON through loguru. The output is a non-blocking
descriptor behind a bounded buffer; what does not fit is dropped and counted.
"""

import os
from collections import deque
from typing import Any

import msgspec
from loguru import logger

# Lines a second that one process writes at most; a request needs one or two, and an
# entry at its share of the target takes 25 requests a second.
LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
# A reader of the output that stalls for longer loses lines.
BUFFER_BYTES = 256 << 10


class BoundedOutput:
    """Write lines to a descriptor without waiting for its reader."""

    __slots__ = ("_buffer", "_descriptor", "_size", "dropped")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Queue a line and write as much as the descriptor takes."""
        data = text.encode()
        if self._size + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._size += len(data)
        self.flush()

    def flush(self) -> None:
        """Write what is queued until the descriptor would block."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # Includes a full pipe; the lines stay queued until the next write.
                return
            self._size -= written
            if written == len(data):
                self._buffer.popleft()
            else:
                self._buffer[0] = data[written:]


class DecisionLog:
    """Write structured lines of one process.

    :param instance: name of the instance, part of each line.
    """

    __slots__ = ("_allowance", "_instance", "_last", "_output", "dropped")

    def __init__(self, instance: str, descriptor: int = 1) -> None:
        self._instance = instance
        self._output = BoundedOutput(descriptor)
        self._allowance = BURST_LINES
        self._last = 0.0
        self.dropped = 0
        logger.remove()
        logger.add(self._sink, format="{message}", backtrace=False, diagnose=False)

    def _sink(self, message: Any) -> None:
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
        """Log a start, stop or reload."""
        logger.bind(**fields).info(event)

    def dependency(self, name: str, state: str, **fields: object) -> None:
        """Log a dependency that was lost or regained."""
        logger.bind(dependency=name, state=state, **fields).warning("dependency")

    def belief(self, event: str, now: float, **fields: object) -> None:
        """Log a change of what the process believes."""
        if self._admit(now):
            logger.bind(**fields).info(event)

    def request(self, event: str, now: float, **fields: object) -> None:
        """Log a decision about a request."""
        if self._admit(now):
            logger.bind(**fields).info(event)

    def failure(self, event: str, **fields: object) -> None:
        """Log an error of this program."""
        logger.bind(**fields).error(event)

    def _admit(self, now: float) -> bool:
        elapsed = max(0.0, now - self._last)
        self._last = now
        earned = self._allowance + elapsed * LINES_PER_SECOND
        self._allowance = min(BURST_LINES, earned)
        if self._allowance < 1.0:
            self.dropped += 1
            return False
        self._allowance -= 1.0
        return True

    @property
    def lost_lines(self) -> int:
        """Return the lines that were dropped since the start."""
        return self.dropped + self._output.dropped
