"""coordination: detect that the process was paused.

A process that resumes after a pause holds outdated state. The pause shows as a jump of
the process's own clock between two observations; the caller then drops views, leases
and order authority before it makes any decision.
"""

TICK_SECONDS = 0.25
PAUSE_THRESHOLD_SECONDS = 1.0


class PauseDetector:
    """Detect pauses from the time between observations of the clock.

    :param now: seconds of a monotonic clock that counts suspended time.
    """

    __slots__ = ("_last_observed_at", "pause_count")

    def __init__(self, now: float) -> None:
        self._last_observed_at = now
        self.pause_count = 0

    def observe(self, now: float) -> bool:
        """Return whether the process was paused since the last observation.

        Must be called on each tick and before each decision, because after a pause a
        socket event may be handled before the next tick.
        """
        elapsed_seconds = now - self._last_observed_at
        self._last_observed_at = max(now, self._last_observed_at)
        if elapsed_seconds <= PAUSE_THRESHOLD_SECONDS:
            return False
        self.pause_count += 1
        return True
