"""transport: attempts of one request that are open at the same time.

A server that is silent may still answer, and the next one may refuse. So an attempt at
a silent server goes on beside the next one, until either has something for the caller.
"""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer
from twisted.python.failure import Failure

from lacewingcleat.attempt_result import AttemptResult
from lacewingcleat.request_context import OpenAttempt


@dataclass(frozen=True, slots=True)
class AttemptSilent:
    """Notify that a server has been silent for longer than usual."""

    attempt: OpenAttempt


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Notify that an attempt has ended."""

    attempt: OpenAttempt
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class RaceEnded:
    """Notify that all attempts were ended, as nobody waits for an answer."""


AttemptNotice = AttemptSilent | AttemptEnded | RaceEnded


class NoOpenAttemptError(RuntimeError):
    """Raised instead of a wait for a notice that no attempt can send."""


class AttemptRace:
    """Hold the open attempts of one request and pass on what happens to them.

    A superseded attempt cannot answer the caller. It may stay open until its connection
    is established, and what happens to it is not passed on.

    :param supersede: ends an attempt, as another one answers the caller.
    """

    __slots__ = ("_has_ended", "_notices", "_open", "_supersede")

    def __init__(self, supersede: Callable[[OpenAttempt], None]) -> None:
        self._supersede = supersede
        self._open: list[OpenAttempt] = []
        self._has_ended = False
        self._notices: defer.DeferredQueue[AttemptNotice | Failure] = (
            defer.DeferredQueue()
        )

    @property
    def has_open(self) -> bool:
        """Return whether an attempt is open that may answer the caller."""
        return any(not attempt.superseded for attempt in self._open)

    def start(
        self, attempt: OpenAttempt, running: Coroutine[Any, Any, AttemptResult]
    ) -> None:
        """Run an attempt."""
        self._open.append(attempt)

        def end(result: AttemptResult) -> None:
            self._open.remove(attempt)
            self._notices.put(AttemptEnded(attempt, result))

        def fail(failure: Failure) -> None:
            self._open.remove(attempt)
            self._notices.put(failure)

        defer.ensureDeferred(running).addCallbacks(end, fail)

    def report_silence(self, attempt: OpenAttempt) -> None:
        """Notify that the server of an attempt is silent."""
        self._notices.put(AttemptSilent(attempt))

    def claim(self, attempt: OpenAttempt) -> None:
        """End all other attempts, as this one answers the caller."""
        attempt.has_alternative = False
        if len(self._open) > 1:
            self._end_others(attempt)

    def end(self) -> None:
        """End all attempts."""
        self._has_ended = True
        self._end_others(None)
        self._notices.put(RaceEnded())

    def _end_others(self, kept: OpenAttempt | None) -> None:
        for attempt in list(self._open):
            if attempt is not kept:
                attempt.superseded = True
                self._supersede(attempt)

    async def next_notice(self) -> AttemptNotice:
        """Wait for the next notice; an error of an attempt is raised.

        :raises NoOpenAttemptError: if there is no notice and no attempt for one.
        """
        while not self._has_ended:
            if not self._notices.pending and not self.has_open:
                raise NoOpenAttemptError
            notice = await self._notices.get()
            if isinstance(notice, Failure):
                notice.raiseException()
            assert not isinstance(notice, Failure)
            if self._concerns_caller(notice):
                return notice
        return RaceEnded()

    def _concerns_caller(self, notice: AttemptNotice) -> bool:
        match notice:
            case AttemptSilent(attempt):
                return attempt in self._open and not attempt.superseded
            case AttemptEnded(attempt, _):
                return not attempt.superseded
            case RaceEnded():
                return True
