"""coordination: a rate limit that is the sum of a fixed reserve and a lease.

The bucket holds at most what the present rate yields in one second. A charge may take
it below zero, because the cost of a request is known only roughly when it is admitted
and may exceed the content of any bucket; nothing more is admitted until the debt has
been refilled, so the long-run rate is exact.
"""

from math import inf

CAPACITY_SECONDS = 1.0


class LeaseBucket:
    """Count one resource of one account at one entry.

    :param reserve: rate that needs no lease, per second.
    :param now: moment from which the bucket fills; it starts empty, so that a restart
        gives no second burst.
    """

    __slots__ = (
        "_lease_end",
        "_leased_rate",
        "_level",
        "_pending_retry_cost",
        "_reserved_rate",
        "_updated_at",
    )

    def __init__(self, reserve: float, now: float) -> None:
        self._reserved_rate = reserve
        self._leased_rate = 0.0
        self._lease_end = -inf
        self._level = 0.0
        self._pending_retry_cost = 0.0
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the present rate, per second."""
        return self._reserved_rate + (
            self._leased_rate if now < self._lease_end else 0.0
        )

    def level(self, now: float) -> float:
        """Return the present content, negative for a debt."""
        self._advance(now)
        return self._level

    def set_reserve(self, reserve: float, now: float) -> None:
        """Change the reserve."""
        self._advance(now)
        self._reserved_rate = reserve
        self._cap_level(now)

    def set_lease(self, rate: float, end: float, now: float) -> None:
        """Replace the lease.

        :param end: moment at which it lapses.
        """
        self._advance(now)
        self._leased_rate = rate
        self._lease_end = end
        self._cap_level(now)

    def may_charge(self, now: float) -> bool:
        """Return whether a request may be admitted."""
        return self.level(now) >= 0.0 and self.rate(now) > 0.0

    def charge(self, cost: float, now: float) -> None:
        """Take the cost of an admitted request; a negative cost gives back."""
        self._advance(now)
        self._level -= cost
        self._cap_level(now)

    def retry_after(self, cost: float, now: float) -> float:
        """Return when the bucket can admit one more request.

        Each call is taken as a promise to one caller, so that callers refused together
        are spread over the time in which the bucket can serve them.
        """
        self._advance(now)
        rate = self.rate(now)
        if rate <= 0.0:
            return inf
        seconds = (max(0.0, -self._level) + self._pending_retry_cost) / rate
        self._pending_retry_cost += cost
        return seconds

    def _advance(self, now: float) -> None:
        if self._updated_at < self._lease_end <= now:
            self._refill(self._lease_end, self._reserved_rate + self._leased_rate)
        self._refill(now, self.rate(now))
        self._cap_level(now)

    def _refill(self, until: float, rate: float) -> None:
        seconds = until - self._updated_at
        if seconds <= 0.0:
            return
        self._updated_at = until
        self._level = min(self._level + rate * seconds, rate * CAPACITY_SECONDS)
        self._pending_retry_cost = max(0.0, self._pending_retry_cost - rate * seconds)

    def _cap_level(self, now: float) -> None:
        self._level = min(self._level, self.rate(now) * CAPACITY_SECONDS)
