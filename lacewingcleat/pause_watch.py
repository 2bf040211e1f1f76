"""coordination: detect that the process was paused.

A process that resumes after a pause holds outdated state. The pause shows as a jump of
the process's own clock between two observations; the caller then drops views, leases
and order authority before it makes any decision.
"""

TICK_SECONDS = 0.25
PAUSE_GAP_SECONDS = 1.0


class PauseWatch:
    """Detect pauses from the time between observations of the clock.

    :param now: seconds of a monotonic clock that counts suspended time.
    """

    __slots__ = ("_last", "pauses")

    def __init__(self, now: float) -> None:
        self._last = now
        self.pauses = 0

    def observe(self, now: float) -> bool:
        """Return whether the process was paused since the last observation.

        Must be called on each tick and before each decision, because after a pause a
        socket event may be handled before the next tick.
        """
        gap = now - self._last
        self._last = max(now, self._last)
        if gap <= PAUSE_GAP_SECONDS:
            return False
        self.pauses += 1
        return True
