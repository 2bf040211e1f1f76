"""coordination: what an entry knows about one account: use, lease and demand."""

from dataclasses import dataclass, field
from math import ceil, inf

from lacewingcleat.lease_bucket import LeaseBucket
from lacewingcleat.limit_shares import UNLIMITED_AMOUNTS, ZERO_AMOUNTS, Amounts

# A request that no lease covers waits this long for the answer to an urgent demand. The
# answer takes one round trip inside the zone.
LEASE_TIMEOUT_SECONDS = 0.25
# Demand is asked for with this headroom, so that a lease covers a rise until the next.
DEMAND_HEADROOM_FACTOR = 1.25
# Weight of the newest period in the demand estimate. A rise beyond it is covered by
# urgent demands.
DEMAND_WEIGHT = 0.5
INITIAL_SERVICE_SECONDS = 1.0


@dataclass(slots=True)
class SentDemand:
    """Remember a demand until its lease would have ended.

    :param cap: what demands sent later have given back.
    """

    sent_at: float
    cap: Amounts = UNLIMITED_AMOUNTS


@dataclass(slots=True)
class AccountUsage:
    """Hold what an entry knows about one account.

    :param limit: limits of the account in the whole system.
    :param reserve: part that this entry may use without a lease.
    :param last_request_at: moment of the last request.
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
        """Return the requests that may run at once."""
        return self.reserve.concurrency + self.current_lease(now).concurrency

    def current_lease(self, now: float) -> Amounts:
        """Return what is leased now."""
        return self.leased_amounts if now < self.lease_end else ZERO_AMOUNTS

    def set_lease(self, amounts: Amounts, end: float, now: float) -> None:
        """Use a lease, or a part of the present one, until its end."""
        self.leased_amounts = amounts
        self.lease_end = end
        self.request_bucket.set_lease(amounts.requests_per_second, end, now)
        self.token_bucket.set_lease(amounts.tokens_per_second, end, now)

    def cap_leases(self, requested: Amounts, now: float) -> None:
        """Use no more than a new demand asks for, whatever lease is under way.

        The home entry lowers its promises by the same rule when the demand arrives, so
        the share is free for others at once instead of at the end of the lease.
        """
        for sent_demand in self.demand_by_request_id.values():
            sent_demand.cap = sent_demand.cap.minimum(requested)
        if now < self.lease_end:
            self.set_lease(self.leased_amounts.minimum(requested), self.lease_end, now)

    @property
    def is_answered(self) -> bool:
        """Return whether a lease has come since the last urgent demand."""
        return self.lease_request_id >= self.urgent_request_id

    def is_home_unresponsive(self, now: float) -> bool:
        """Return whether there is no lease and the home entry did not answer."""
        timed_out = now >= self.urgent_demand_at + LEASE_TIMEOUT_SECONDS
        return now >= self.lease_end and not self.is_answered and timed_out

    def is_in_debt(self, now: float) -> bool:
        """Return whether more was admitted than has been refilled."""
        return (
            self.request_bucket.level(now) < 0.0 or self.token_bucket.level(now) < 0.0
        )

    def update_estimate(self, interval_seconds: float) -> None:
        """Take the requests of the last period into the estimate of the demand."""
        # Without any request the demand ends at once, so that the share is free for the
        # entry to which the account has moved.
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
        """Return what the account needs beyond its reserve, with some headroom."""
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
