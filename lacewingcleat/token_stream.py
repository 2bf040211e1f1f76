"""coordination: deliver each token of a stream once and in order.

A stream may be resumed on another server. Each chunk says at which token offset it
begins; what the caller already has is cut off, and a gap ends the stream with an error.
"""

from dataclasses import dataclass
from enum import StrEnum


class StreamCode(StrEnum):
    """Name the reasons why a stream ends without its last token."""

    GAP = "stream-gap"
    SHORT = "stream-short"
    BROKEN = "stream-broken"


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass on a chunk without its first tokens.

    :param skip: tokens at the front that the caller already has.
    :param count: tokens to pass on.
    """

    skip: int
    count: int


@dataclass(frozen=True, slots=True)
class Ignore:
    """Drop a chunk that adds nothing or comes from an attempt that was given up."""


@dataclass(frozen=True, slots=True)
class Complete:
    """End the stream normally."""


@dataclass(frozen=True, slots=True)
class Fail:
    """End the stream with an error event."""

    code: str


class StreamProgress:
    """Follow one caller's stream over all attempts."""

    __slots__ = ("_attempt", "_ended", "delivered")

    def __init__(self) -> None:
        self.delivered = 0
        self._attempt = 0
        self._ended = False

    def begin_attempt(self) -> int:
        """Begin an attempt that resumes at `delivered`, and return its number.

        Chunks of earlier attempts are ignored from now on.
        """
        self._attempt += 1
        return self._attempt

    def accept(self, attempt: int, offset: int, count: int) -> Deliver | Ignore | Fail:
        """Decide about a chunk.

        :param offset: tokens of the whole response before the chunk.
        :param count: tokens in the chunk.
        """
        if self._ended or attempt != self._attempt:
            return Ignore()
        if offset > self.delivered:
            return self.fail(StreamCode.GAP)
        skip = min(count, self.delivered - offset)
        if skip == count:
            return Ignore()
        self.delivered += count - skip
        return Deliver(skip, count - skip)

    def finish(
        self,
        attempt: int,
        total: int | None = None,
    ) -> Complete | Ignore | Fail:
        """Decide about the end of an attempt's stream.

        :param total: tokens of the whole response, if the engine states them.
        """
        if self._ended or attempt != self._attempt:
            return Ignore()
        if total is not None and total != self.delivered:
            return self.fail(StreamCode.SHORT)
        self._ended = True
        return Complete()

    def fail(self, code: str = StreamCode.BROKEN) -> Fail:
        """End the stream; nothing is delivered afterwards."""
        self._ended = True
        return Fail(code)
