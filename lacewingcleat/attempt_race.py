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


AttemptNotice = AttemptSilent | AttemptEnded


class AttemptRace:
    """Hold the open attempts of one request and pass on what happens to them.

    :param supersede: ends an attempt, as another one answers the caller.
    """

    __slots__ = ("_notices", "_open", "_supersede")

    def __init__(self, supersede: Callable[[OpenAttempt], None]) -> None:
        self._supersede = supersede
        self._open: list[OpenAttempt] = []
        self._notices: defer.DeferredQueue[AttemptNotice | Failure] = (
            defer.DeferredQueue()
        )

    @property
    def has_open(self) -> bool:
        """Return whether an attempt is open."""
        return bool(self._open)

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
        self._end_others(None)

    def _end_others(self, kept: OpenAttempt | None) -> None:
        for attempt in list(self._open):
            if attempt is not kept:
                attempt.superseded = True
                self._supersede(attempt)

    async def next_notice(self) -> AttemptNotice:
        """Wait for the next notice; an error of an attempt is raised."""
        notice = await self._notices.get()
        if isinstance(notice, Failure):
            notice.raiseException()
        assert not isinstance(notice, Failure)
        return notice
