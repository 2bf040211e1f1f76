"""coordination: usage, lease and demand estimate of one account at an entry."""

from dataclasses import dataclass, field
from math import ceil, inf

from lacewingcleat.lease_bucket import LeaseBucket
from lacewingcleat.limit_shares import UNLIMITED_AMOUNTS, ZERO_AMOUNTS, Amounts

# Maximum wait of a request that exceeds the current lease for the answer to an urgent
# demand. The answer takes one round trip inside the zone.
LEASE_TIMEOUT_SECONDS = 0.25
# Factor by which a demand exceeds the estimate, so that the lease covers an increase in
# load until the next demand.
DEMAND_HEADROOM_FACTOR = 1.25
# Weight of the latest interval in the moving average of the demand. Urgent demands
# cover increases that the average follows too slowly.
DEMAND_WEIGHT = 0.5
INITIAL_SERVICE_SECONDS = 1.0


@dataclass(slots=True)
class SentDemand:
    """Record a sent demand for as long as a lease that answers it could be valid.

    :param cap: upper bound on that lease: the smallest amounts of any later demand.
    """

    sent_at: float
    cap: Amounts = UNLIMITED_AMOUNTS


@dataclass(slots=True)
class AccountUsage:
    """Represent the usage and the lease of one account at an entry.

    :param limit: limits of the account over all zones.
    :param reserve: part of the limits that this entry may use without a lease.
    :param last_request_at: time of the last request.
    :param pending_retries: refused requests whose retries are still expected, which
        delay the retries of later ones.
    """

    request_bucket: LeaseBucket
    token_bucket: LeaseBucket
    limit: Amounts
    reserve: Amounts
    last_request_at: float
    running: int = 0
    leased_amounts: Amounts = ZERO_AMOUNTS
    lease_end: float = -inf
    lease_request_id: int = 0
    urgent_demand_at: float = -inf
    urgent_request_id: int = 0
    offered_requests: int = 0
    offered_tokens: float = 0.0
    concurrency_refusals: int = 0
    peak_running: int = 0
    request_rate_estimate: float = 0.0
    token_rate_estimate: float = 0.0
    slot_estimate: int = 0
    mean_service_seconds: float = INITIAL_SERVICE_SECONDS
    pending_retries: float = 0.0
    pending_retries_at: float = 0.0
    demand_by_request_id: dict[int, SentDemand] = field(default_factory=dict)

    def slot_limit(self, now: float) -> int:
        """Return the number of requests that may run concurrently."""
        return self.reserve.concurrency + self.current_lease(now).concurrency

    def current_lease(self, now: float) -> Amounts:
        """Return the leased amounts, or zero if the lease has expired."""
        return self.leased_amounts if now < self.lease_end else ZERO_AMOUNTS

    def set_lease(self, amounts: Amounts, end: float, now: float) -> None:
        """Replace the current lease, or reduce it."""
        self.leased_amounts = amounts
        self.lease_end = end
        self.request_bucket.set_lease(amounts.requests_per_second, end, now)
        self.token_bucket.set_lease(amounts.tokens_per_second, end, now)

    def cap_leases(self, requested: Amounts, now: float) -> None:
        """Cap the current lease and any lease in flight at the amounts of a new demand.

        The home entry caps its promises by the same rule when the demand arrives, so
        that other entries can use the difference before the lease expires.
        """
        for sent_demand in self.demand_by_request_id.values():
            sent_demand.cap = sent_demand.cap.minimum(requested)
        if now < self.lease_end:
            self.set_lease(self.leased_amounts.minimum(requested), self.lease_end, now)

    @property
    def is_answered(self) -> bool:
        """Return whether the last urgent demand, or a later one, was answered."""
        return self.lease_request_id >= self.urgent_request_id

    def is_home_unresponsive(self, now: float) -> bool:
        """Return whether no lease is valid and the last urgent demand timed out."""
        timed_out = now >= self.urgent_demand_at + LEASE_TIMEOUT_SECONDS
        return now >= self.lease_end and not self.is_answered and timed_out

    def is_in_debt(self, now: float) -> bool:
        """Return whether the level of a bucket is below zero."""
        return (
            self.request_bucket.level(now) < 0.0 or self.token_bucket.level(now) < 0.0
        )

    def update_estimate(self, interval_seconds: float) -> None:
        """Update the demand estimate with the requests of the last interval.

        :param interval_seconds: length of the interval.
        """
        # Without any request the estimated rates drop to zero at once. This makes the
        # share available to the entry that receives the account's requests now.
        weight = DEMAND_WEIGHT if self.offered_requests else 1.0
        self.request_rate_estimate += weight * (
            self.offered_requests / interval_seconds - self.request_rate_estimate
        )
        self.token_rate_estimate += weight * (
            self.offered_tokens / interval_seconds - self.token_rate_estimate
        )
        self.slot_estimate = max(
            self.peak_running + self.concurrency_refusals,
            int(self.slot_estimate * DEMAND_WEIGHT),
        )
        self.offered_requests = 0
        self.offered_tokens = 0.0
        self.concurrency_refusals = 0
        self.peak_running = self.running

    def needed_lease(self) -> Amounts:
        """Return the lease to request: estimate plus headroom, minus the reserve."""
        current_interval = Amounts(
            self.offered_requests, self.concurrency_refusals, self.offered_tokens
        )
        estimate = Amounts(
            self.request_rate_estimate,
            max(self.slot_estimate, self.running),
            self.token_rate_estimate,
        )
        demand = estimate.maximum(current_interval).minimum(self.limit)
        with_headroom = Amounts(
            demand.requests_per_second * DEMAND_HEADROOM_FACTOR,
            ceil(demand.concurrency * DEMAND_HEADROOM_FACTOR) + 1,
            demand.tokens_per_second * DEMAND_HEADROOM_FACTOR,
        )
        return with_headroom - self.reserve
