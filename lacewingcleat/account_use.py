"""coordination: what an entry knows about one account: use, lease and demand."""

from dataclasses import dataclass, field
from math import ceil, inf

from lacewingcleat.lease_bucket import LeaseBucket
from lacewingcleat.limit_shares import EVERYTHING, NOTHING, Amounts

# A request that no lease covers waits this long for the answer to an urgent demand. The
# answer takes one round trip inside the zone.
LEASE_WAIT_SECONDS = 0.25
# Demand is asked for with this headroom, so that a lease covers a rise until the next.
DEMAND_HEADROOM = 1.25
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
    cap: Amounts = EVERYTHING


@dataclass(slots=True)
class AccountUse:
    """Hold what an entry knows about one account.

    :param limit: limits of the account in the whole system.
    :param reserve: part that this entry may use without a lease.
    :param seen_at: moment of the last request.
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
        """Return the requests that may run at once."""
        return self.reserve.concurrency + self.lease(now).concurrency

    def lease(self, now: float) -> Amounts:
        """Return what is leased now."""
        return self.leased if now < self.lease_end else NOTHING

    def set_lease(self, amounts: Amounts, end: float, now: float) -> None:
        """Use a lease, or a part of the present one, until its end."""
        self.leased = amounts
        self.lease_end = end
        self.requests.set_lease(amounts.requests_per_second, end, now)
        self.tokens.set_lease(amounts.tokens_per_second, end, now)

    def give_back(self, asked: Amounts, now: float) -> None:
        """Use no more than a new demand asks for, whatever lease is under way.

        The home entry lowers its promises by the same rule when the demand arrives, so
        the share is free for others at once instead of at the end of the lease.
        """
        for sent in self.sent_by_request_id.values():
            sent.cap = sent.cap.lower(asked)
        if now < self.lease_end:
            self.set_lease(self.leased.lower(asked), self.lease_end, now)

    @property
    def answered(self) -> bool:
        """Return whether a lease has come since the last urgent demand."""
        return self.lease_request_id >= self.urgent_request_id

    def unanswered(self, now: float) -> bool:
        """Return whether there is no lease and the home entry did not answer."""
        waited = now >= self.urgent_at + LEASE_WAIT_SECONDS
        return now >= self.lease_end and not self.answered and waited

    def in_debt(self, now: float) -> bool:
        """Return whether more was admitted than has been refilled."""
        return self.requests.level(now) < 0.0 or self.tokens.level(now) < 0.0

    def estimate(self, period: float) -> None:
        """Take the requests of the last period into the estimate of the demand."""
        # Without any request the demand ends at once, so that the share is free for the
        # entry to which the account has moved.
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
        """Return what the account needs beyond its reserve, with some headroom."""
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
