"""transport: one caller's request at an entry, from arrival to answer."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from opentelemetry.trace import Span
from twisted.internet import defer

from lacewingcleat.account_limits import LimitPermit
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_client import BodyReceiver
from lacewingcleat.http_server import BoundedRequest
from lacewingcleat.sheet import ClientAccount
from lacewingcleat.token_stream import StreamProgress

# A caller that takes no data for this time loses its connection, so that it does not
# hold a slot of an engine until its deadline.
STALLED_CALLER_SECONDS = 15.0


@dataclass(slots=True)
class EntryCall:
    """Hold the state of a request over all its attempts.

    :param deadline: time by which the caller wants the answer.
    :param fingerprint: identifies the request when it is sent again.
    :param gave_up: whether this entry ended the attempt because it took too long.
    :param pending: answer head that is awaited, so that it can be cancelled.
    :param outcome: what the caller was told, for metrics and the trace.
    """

    request: BoundedRequest
    request_id: str
    account: ClientAccount
    arrived: float
    deadline: float
    priority: int
    span: Span
    fingerprint: str = ""
    alone: bool = False
    permit: LimitPermit | None = None
    pending: "defer.Deferred[Any] | None" = None
    receiver: BodyReceiver | None = None
    caller_gone: bool = False
    gave_up: bool = False
    head_written: bool = False
    progress: StreamProgress = field(default_factory=StreamProgress)
    outcome: Outcome = Outcome.NOT_RUN
    code: str = ""
    used_tokens: int = 0
    first_byte_at: float = 0.0
    on_first_byte: Callable[[], None] = lambda: None

    def give_up(self) -> None:
        """End the attempt that is running, because it takes too long."""
        self.gave_up = True
        if self.receiver is not None:
            self.receiver.abort()

    def drop_caller(self) -> None:
        """Break off the connection of a caller that does not read."""
        if self.request.is_open:
            self.request.channel.forceAbortClient()

    def cancel(self) -> None:
        """Give up the attempt that is running, because the caller has gone."""
        self.caller_gone = True
        if self.pending is not None:
            self.pending.cancel()
        if self.receiver is not None:
            self.receiver.abort()


class BodyWatch:
    """Break off an answer that takes too long.

    :param reactor: the loop.
    :param idle_seconds: longest time between two parts of the answer.
    :param abort: ends the answer.
    :param on_stall: ends the connection of a caller that has stopped reading.
    """

    __slots__ = (
        "_abort",
        "_idle_seconds",
        "_idle_timer",
        "_on_stall",
        "_paused",
        "_total_timer",
    )

    def __init__(
        self,
        reactor: Any,
        idle_seconds: float,
        total_seconds: float,
        abort: Callable[[], None],
        on_stall: Callable[[], None] = lambda: None,
    ) -> None:
        self._idle_seconds = idle_seconds
        self._abort = abort
        self._on_stall = on_stall
        self._paused = False
        self._idle_timer = reactor.callLater(idle_seconds, self._idle)
        self._total_timer = reactor.callLater(max(0.0, total_seconds), abort)

    def touch(self) -> None:
        """Note that a part has arrived."""
        if self._idle_timer.active() and not self._paused:
            self._idle_timer.reset(self._idle_seconds)

    def set_paused(self, paused: bool) -> None:
        """Wait for the caller instead of the backend server, or the reverse."""
        self._paused = paused
        if self._idle_timer.active():
            seconds = STALLED_CALLER_SECONDS if paused else self._idle_seconds
            self._idle_timer.reset(seconds)

    def _idle(self) -> None:
        if self._paused:
            self._on_stall()
        else:
            self._abort()

    def stop(self) -> None:
        """Stop watching."""
        for timer in (self._idle_timer, self._total_timer):
            if timer.active():
                timer.cancel()
