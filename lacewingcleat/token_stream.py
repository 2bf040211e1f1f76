"""coordination: deliver each token of a stream exactly once and in order.

A stream may be resumed on another server. Each chunk carries the token offset at which
it begins. Tokens that the caller has already received are skipped; missing tokens end
the stream with an error.
"""

from dataclasses import dataclass
from enum import StrEnum


class StreamCode(StrEnum):
    """Enumerate the reasons for which a stream ends before its last token."""

    GAP = "stream-gap"
    SHORT = "stream-short"
    BROKEN = "stream-broken"


@dataclass(frozen=True, slots=True)
class Deliver:
    """Forward a chunk to the caller, without its first `skip` tokens.

    :param skip: number of leading tokens that the caller has already received.
    :param count: number of tokens to forward.
    """

    skip: int
    count: int


@dataclass(frozen=True, slots=True)
class Ignore:
    """Drop a chunk that has no new tokens or belongs to an abandoned attempt."""


@dataclass(frozen=True, slots=True)
class Complete:
    """End the stream normally."""


@dataclass(frozen=True, slots=True)
class Fail:
    """End the stream with an error event."""

    code: str


class StreamProgress:
    """Track the tokens delivered to one caller across all attempts."""

    __slots__ = ("_attempt", "_ended", "delivered")

    def __init__(self) -> None:
        self.delivered = 0
        self._attempt = 0
        self._ended = False

    def begin_attempt(self) -> int:
        """Begin an attempt that resumes at offset `delivered` and return its number.

        Chunks of earlier attempts are ignored from now on.
        """
        self._attempt += 1
        return self._attempt

    def accept(self, attempt: int, offset: int, count: int) -> Deliver | Ignore | Fail:
        """Return what to do with a chunk.

        :param offset: number of tokens of the whole response before the chunk.
        :param count: number of tokens in the chunk.
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
        """Return how to end the stream when an attempt's stream has ended.

        :param total: number of tokens of the whole response, if the engine reports it.
        """
        if self._ended or attempt != self._attempt:
            return Ignore()
        if total is not None and total != self.delivered:
            return self.fail(StreamCode.SHORT)
        self._ended = True
        return Complete()

    def fail(self, code: str = StreamCode.BROKEN) -> Fail:
        """End the stream with an error; nothing is delivered afterwards."""
        self._ended = True
        return Fail(code)
