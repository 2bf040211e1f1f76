"""coordination: usage, lease and demand estimate of one account at an entry."""

from dataclasses import dataclass, field
from math import ceil, inf

from lacewingcleat.lease_bucket import LeaseBucket
from lacewingcleat.limit_shares import EVERYTHING, NOTHING, Amounts

# Maximum wait of a request that exceeds the current lease for the answer to an urgent
# demand. The answer takes one round trip inside the zone.
LEASE_WAIT_SECONDS = 0.25
# Factor by which a demand exceeds the estimate, so that the lease covers an increase in
# load until the next demand.
DEMAND_HEADROOM = 1.25
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
    cap: Amounts = EVERYTHING


@dataclass(slots=True)
class AccountUse:
    """Represent the usage and the lease of one account at an entry.

    :param limit: limits of the account over all zones.
    :param reserve: part of the limits that this entry may use without a lease.
    :param seen_at: time of the last request.
    :param promised_slots: refused requests whose retries are still expected, which
        delay the retries of later ones.
    """

    requests: LeaseBucket
    tokens: LeaseBucket
    limit: Amounts
    reserve: Amounts
    seen_at: float
    running: int = 0
    leased: Amounts = NOTHING
    lease_end: float = -inf
    lease_request_id: int = 0
    urgent_at: float = -inf
    urgent_request_id: int = 0
    offered: int = 0
    offered_tokens: float = 0.0
    refused_slots: int = 0
    peak: int = 0
    request_rate: float = 0.0
    token_rate: float = 0.0
    wanted_slots: int = 0
    service_seconds: float = INITIAL_SERVICE_SECONDS
    promised_slots: float = 0.0
    promised_at: float = 0.0
    sent_by_request_id: dict[int, SentDemand] = field(default_factory=dict)

    def slots(self, now: float) -> int:
        """Return the number of requests that may run concurrently."""
        return self.reserve.concurrency + self.lease(now).concurrency

    def lease(self, now: float) -> Amounts:
        """Return the leased amounts, or zero if the lease has expired."""
        return self.leased if now < self.lease_end else NOTHING

    def set_lease(self, amounts: Amounts, end: float, now: float) -> None:
        """Replace the current lease, or reduce it."""
        self.leased = amounts
        self.lease_end = end
        self.requests.set_lease(amounts.requests_per_second, end, now)
        self.tokens.set_lease(amounts.tokens_per_second, end, now)

    def give_back(self, asked: Amounts, now: float) -> None:
        """Cap the current lease and any lease in flight at the amounts of a new demand.

        The home entry caps its promises by the same rule when the demand arrives, so
        that other entries can use the difference before the lease expires.
        """
        for sent in self.sent_by_request_id.values():
            sent.cap = sent.cap.lower(asked)
        if now < self.lease_end:
            self.set_lease(self.leased.lower(asked), self.lease_end, now)

    @property
    def answered(self) -> bool:
        """Return whether the last urgent demand, or a later one, was answered."""
        return self.lease_request_id >= self.urgent_request_id

    def unanswered(self, now: float) -> bool:
        """Return whether no lease is valid and the last urgent demand timed out."""
        waited = now >= self.urgent_at + LEASE_WAIT_SECONDS
        return now >= self.lease_end and not self.answered and waited

    def in_debt(self, now: float) -> bool:
        """Return whether the level of a bucket is below zero."""
        return self.requests.level(now) < 0.0 or self.tokens.level(now) < 0.0

    def estimate(self, period: float) -> None:
        """Update the demand estimate with the requests of the last interval.

        :param period: length of the interval.
        """
        # Without any request the estimated rates drop to zero at once. This makes the
        # share available to the entry that receives the account's requests now.
        weight = DEMAND_WEIGHT if self.offered else 1.0
        self.request_rate += weight * (self.offered / period - self.request_rate)
        self.token_rate += weight * (self.offered_tokens / period - self.token_rate)
        self.wanted_slots = max(
            self.peak + self.refused_slots,
            int(self.wanted_slots * DEMAND_WEIGHT),
        )
        self.offered = 0
        self.offered_tokens = 0.0
        self.refused_slots = 0
        self.peak = self.running

    def needed(self) -> Amounts:
        """Return the lease to request: estimate plus headroom, minus the reserve."""
        waiting = Amounts(self.offered, self.refused_slots, self.offered_tokens)
        expected = Amounts(
            self.request_rate,
            max(self.wanted_slots, self.running),
            self.token_rate,
        )
        wanted = expected.higher(waiting).lower(self.limit)
        with_headroom = Amounts(
            wanted.requests_per_second * DEMAND_HEADROOM,
            ceil(wanted.concurrency * DEMAND_HEADROOM) + 1,
            wanted.tokens_per_second * DEMAND_HEADROOM,
        )
        return with_headroom - self.reserve
