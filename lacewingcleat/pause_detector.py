"""coordination: notice that the process was paused.

A paused process wakes up believing what was true before. The watch sees the gap in the
process's own clock; the caller then drops views, leases and order authority before it
decides anything.
"""

TICK_SECONDS = 0.25
PAUSE_GAP_SECONDS = 1.0


class PauseWatch:
    """Detect gaps between observations of the clock.

    :param now: seconds of a monotonic clock that counts suspended time.
    """

    __slots__ = ("_last", "pauses")

    def __init__(self, now: float) -> None:
        self._last = now
        self.pauses = 0

    def observe(self, now: float) -> bool:
        """Return whether the process was paused since the last observation.

        Call it on each tick and before each decision, because after a pause a socket
        event may be handled before the next tick.
        """
        gap = now - self._last
        self._last = max(now, self._last)
        if gap <= PAUSE_GAP_SECONDS:
            return False
        self.pauses += 1
        return True
