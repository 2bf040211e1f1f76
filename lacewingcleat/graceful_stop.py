"""coordination: the phases of a planned stop and which requests may still begin.

The platform routes callers to an instance for some seconds after it has stopped being
ready, and kills the process at the end of the grace period.
"""

# The platform stops routing callers to an instance after two failed readiness checks
# one second apart. Connections are accepted until then.
STOP_LISTENING_DELAY_SECONDS = 2.6
# Open requests are answered this long before the end of the grace period, which leaves
# time to write the answers.
GRACE_MARGIN_SECONDS = 0.4
FLUSH_SECONDS = 0.15


class GracefulStop:
    """Track a planned stop of the process.

    :param grace_seconds: time between the signal to stop and the kill.
    """

    __slots__ = ("_grace_seconds", "_started_at")

    def __init__(self, grace_seconds: float) -> None:
        self._grace_seconds = grace_seconds
        self._started_at: float | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the process is being stopped."""
        return self._started_at is not None

    def start(self, now: float) -> bool:
        """Start the stop; return false if it has started before."""
        if self._started_at is not None:
            return False
        self._started_at = now
        return True

    def accepts_connections(self, now: float) -> bool:
        """Return whether callers may still be routed here."""
        if self._started_at is None:
            return True
        return now - self._started_at < STOP_LISTENING_DELAY_SECONDS

    def may_begin(self, deadline: float, now: float) -> bool:
        """Return whether a request that was read completely may be sent to a server.

        Once callers are no longer routed here, only a request on a connection that was
        open before can come, such as one whose body arrived slowly. It may begin only
        if it ends before the process does; another entry can serve it.

        :param deadline: time by which the request ends.
        """
        if self._started_at is None or self.accepts_connections(now):
            return True
        return deadline <= self._started_at + self.max_seconds

    @property
    def max_seconds(self) -> float:
        """Return the time after which requests that are still open are answered."""
        return self._grace_seconds - GRACE_MARGIN_SECONDS
