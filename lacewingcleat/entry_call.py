"""transport: state of one caller's request at an entry, from arrival to response."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from opentelemetry.trace import Span
from twisted.internet import defer

from lacewingcleat.account_limits import LimitPermit
from lacewingcleat.http_client import BodyReceiver
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_server import BoundedRequest
from lacewingcleat.sheet import ClientAccount
from lacewingcleat.token_stream import StreamProgress

# The connection of a caller that reads no data for this time is aborted, so that the
# request does not occupy an engine's slot until its deadline.
STALLED_CALLER_TIMEOUT_SECONDS = 15.0


@dataclass(slots=True)
class EntryCall:
    """Represent a caller's request across all its attempts.

    :param deadline: time by which the response must be complete.
    :param fingerprint: hash by which resent copies of the request are recognised.
    :param segments: hashes of the prompt segments that other requests may share.
    :param run_alone: whether the request may run only on an otherwise idle server.
    :param pending_response: awaited response head, so that it can be cancelled.
    :param timed_out: whether this entry aborted the attempt after a timeout.
    :param outcome: outcome reported to the caller, for metrics and the trace.
    :param code: problem code reported to the caller, empty for none.
    """

    request: BoundedRequest
    request_id: str
    account: ClientAccount
    arrived_at: float
    deadline: float
    priority: int
    span: Span
    fingerprint: str = ""
    segments: tuple[str, ...] = ()
    run_alone: bool = False
    limit_permit: LimitPermit | None = None
    pending_response: "defer.Deferred[Any] | None" = None
    body_receiver: BodyReceiver | None = None
    caller_disconnected: bool = False
    timed_out: bool = False
    head_written: bool = False
    stream_progress: StreamProgress = field(default_factory=StreamProgress)
    outcome: Outcome = Outcome.NOT_RUN
    code: str = ""
    used_tokens: int = 0
    first_byte_at: float = 0.0
    on_first_byte: Callable[[], None] = lambda: None

    def time_out(self) -> None:
        """Abort the attempt in progress after a timeout."""
        self.timed_out = True
        if self.body_receiver is not None:
            self.body_receiver.abort()

    def abort_connection(self) -> None:
        """Abort the connection of a caller that does not read."""
        if self.request.is_open:
            self.request.channel.forceAbortClient()

    def cancel(self) -> None:
        """Cancel the attempt in progress after the caller has disconnected."""
        self.caller_disconnected = True
        if self.pending_response is not None:
            self.pending_response.cancel()
        if self.body_receiver is not None:
            self.body_receiver.abort()


class BodyTimeouts:
    """Abort a response that exceeds its idle timeout or its total timeout.

    :param reactor: Twisted reactor that runs the timers.
    :param idle_seconds: maximum time between two parts of the response.
    :param total_seconds: maximum time until the response is complete.
    :param abort: aborts the response.
    :param on_stall: aborts the connection of a caller that has stopped reading.
    :param may_abort_idle: returns whether a silent response is worth aborting. If no
        other server can go on with it, its own server may still do so.
    """

    __slots__ = (
        "_abort",
        "_idle_seconds",
        "_idle_timer",
        "_may_abort_idle",
        "_on_stall",
        "_paused",
        "_reactor",
        "_total_timer",
    )

    def __init__(
        self,
        reactor: Any,
        idle_seconds: float,
        total_seconds: float,
        abort: Callable[[], None],
        on_stall: Callable[[], None] = lambda: None,
        may_abort_idle: Callable[[], bool] = lambda: True,
    ) -> None:
        self._reactor = reactor
        self._may_abort_idle = may_abort_idle
        self._idle_seconds = idle_seconds
        self._abort = abort
        self._on_stall = on_stall
        self._paused = False
        self._idle_timer = reactor.callLater(idle_seconds, self._handle_idle)
        self._total_timer = reactor.callLater(max(0.0, total_seconds), abort)

    def restart_idle(self) -> None:
        """Restart the idle timeout after a part of the response has arrived."""
        if self._idle_timer.active() and not self._paused:
            self._idle_timer.reset(self._idle_seconds)

    def set_paused(self, paused: bool) -> None:
        """Apply the idle timeout to the caller if paused, else to the server."""
        self._paused = paused
        if self._idle_timer.active():
            seconds = STALLED_CALLER_TIMEOUT_SECONDS if paused else self._idle_seconds
            self._idle_timer.reset(seconds)

    def _handle_idle(self) -> None:
        if self._paused:
            self._on_stall()
        elif self._may_abort_idle():
            self._abort()
        else:
            self._idle_timer = self._reactor.callLater(
                self._idle_seconds, self._handle_idle
            )

    def stop(self) -> None:
        """Cancel both timeouts."""
        for timer in (self._idle_timer, self._total_timer):
            if timer.active():
                timer.cancel()
