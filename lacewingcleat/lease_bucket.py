"""coordination: a token bucket whose rate is a fixed reserve plus a lease.

The capacity of the bucket is one second's worth of the current rate. A charge may take
the level below zero, because the cost of a request is only an estimate on admission
and may exceed the capacity. No request is admitted until the debt has been refilled,
so the long-run rate never exceeds the limit.
"""

from math import inf

BURST_SECONDS = 1.0


class LeaseBucket:
    """Limit the rate of one resource of one account at one entry.

    :param reserve: rate that is available without a lease, per second.
    :param now: time from which the bucket fills; it starts empty, so that a restart
        does not allow a second burst.
    """

    __slots__ = ("_at", "_lease", "_lease_end", "_level", "_promised", "_reserve")

    def __init__(self, reserve: float, now: float) -> None:
        self._reserve = reserve
        self._lease = 0.0
        self._lease_end = -inf
        self._level = 0.0
        self._promised = 0.0
        self._at = now

    def rate(self, now: float) -> float:
        """Return the current rate per second."""
        return self._reserve + (self._lease if now < self._lease_end else 0.0)

    def level(self, now: float) -> float:
        """Return the current level; a negative level is a debt."""
        self._advance(now)
        return self._level

    def set_reserve(self, reserve: float, now: float) -> None:
        """Set the reserve, a rate per second."""
        self._advance(now)
        self._reserve = reserve
        self._clip(now)

    def set_lease(self, rate: float, end: float, now: float) -> None:
        """Replace the lease.

        :param rate: leased rate per second.
        :param end: time at which the lease expires.
        """
        self._advance(now)
        self._lease = rate
        self._lease_end = end
        self._clip(now)

    def may_charge(self, now: float) -> bool:
        """Return whether a request may be admitted."""
        return self.level(now) >= 0.0 and self.rate(now) > 0.0

    def charge(self, cost: float, now: float) -> None:
        """Subtract the cost of an admitted request; a negative cost is a refund."""
        self._advance(now)
        self._level -= cost
        self._clip(now)

    def retry_after(self, cost: float, now: float) -> float:
        """Return the seconds after which one more request can be admitted.

        Each call adds its cost to the delay of later calls, so that the retries of
        requests that are refused together are spread out at the rate of the bucket.

        :param cost: expected cost of the refused request.
        """
        self._advance(now)
        rate = self.rate(now)
        if rate <= 0.0:
            return inf
        seconds = (max(0.0, -self._level) + self._promised) / rate
        self._promised += cost
        return seconds

    def _advance(self, now: float) -> None:
        if self._at < self._lease_end <= now:
            self._fill(self._lease_end, self._reserve + self._lease)
        self._fill(now, self.rate(now))
        self._clip(now)

    def _fill(self, until: float, rate: float) -> None:
        seconds = until - self._at
        if seconds <= 0.0:
            return
        self._at = until
        self._level = min(self._level + rate * seconds, rate * BURST_SECONDS)
        self._promised = max(0.0, self._promised - rate * seconds)

    def _clip(self, now: float) -> None:
        self._level = min(self._level, self.rate(now) * BURST_SECONDS)
