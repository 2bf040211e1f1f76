"""coordination: admission by priority of the requests to a service short of capacity.

Answers services whose callers ask for more than the servers can serve in time. Each
entry announces the arrival rates of its callers by priority and the rate at which its
requests end. From the sums over all entries, each computes the same shares of requests
to admit: urgent priorities first, with a minimum for each. Without this, the servers'
limits refuse whoever arrives while they are full, whatever the priority.

The rate that can be admitted is the rate at which requests end, corrected by the free
or excess slots over a correction time. An entry that knows too little of its peers
therefore errs by a bounded number of slots, since the servers' own loads are known.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import exp

import msgspec

from lacewingcleat.routing_config import RoutingConfig

# Time constant of the arrival and completion rates. Bursts last some seconds, and with
# a shorter time the rates of an entry with few callers are mostly noise.
RATE_SECONDS = 1.0
# Bounds of the time over which free or excess slots are corrected, which is the usual
# time of a request in between: over a longer one, slots of short work stay free for
# long, and over a shorter one the correction overshoots.
MIN_CORRECTION_SECONDS = 0.05
MAX_CORRECTION_SECONDS = 1.0
# Weight of the newest value in the moving average of the time of a request.
WORK_WEIGHT = 0.2
# The same for the rates of accounts. One entry sees few requests of most accounts.
ACCOUNT_RATE_SECONDS = 10.0
# Maximum number of accounts of a service whose rates are kept; the least recently seen
# one is dropped and counts as new.
MAX_ACCOUNTS = 1_024
# Requests, as a fraction of the slots that may be used, at which the admitted rate
# equals the rate of ends. Servers count as full at 1.1; the rest is kept for urgent
# requests that arrive before the others are refused.
TARGET_RATIO = 1.02
# Occupancy, as a fraction of all slots, below which nothing is refused: callers must
# not be refused while servers are half empty, and counts may be a little late.
FREE_OCCUPANCY = 0.5
# Lower bound of the target, as a fraction of all slots, so that the number of requests
# seldom varies to below half of the slots.
MIN_TARGET_OCCUPANCY = 0.55
# Minimum share of a rank, as a fraction of the mean share of all. Callers of the least
# urgent route also wait for an answer, and bursts of the others last for seconds.
MIN_SHARE_RATIO = 0.5
# The same for all ranks but the most urgent one, once that is served. The least urgent
# callers otherwise get no more than the minimum through all of an overload.
OTHER_MIN_SHARE_RATIO = 0.7
# How much more likely a caller that returns when it was told is to be admitted than a
# new one of its rank.
RETURN_WEIGHT = 2.0
# Largest number of ranks of a service that are accepted from a peer.
MAX_RANKS = 100
# Largest number of services that are accepted from a peer.
MAX_SERVICES = 64
# Largest rate that is accepted from a peer, far above what one entry can serve.
MAX_RATE = 1e6


# Outcomes of decisions, as logs and metrics show them.
ADMITTED = "admitted"
REFUSED = "refused"
EARLY = "early"
WAITED = "waited"
FULL = "full"


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Announce what the callers of one entry ask of a service.

    :param rate_by_rank: arrivals a second by rank, see `Granted.rank`.
    :param ended_rate: requests that end at the servers, a second.
    :param in_flight: requests that the entry has at the servers.
    """

    service: str
    rate_by_rank: dict[int, float]
    ended_rate: float = 0.0
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class Decision:
    """Represent a decision with its inputs.

    :param outcome: admitted, refused, or refused because it was repeated too early.
    :param share: share of the requests of this rank that is admitted.
    :param capacity: requests a second that can be admitted, all ranks.
    :param demand: arrivals a second of all entries, all ranks.
    :param occupancy: requests in flight per slot that may be used.
    :param account_share: share of the requests of its account that is admitted.
    :param age: seconds since the oldest of the peers' announcements that were used.
    """

    outcome: str
    rank: int
    share: float = 1.0
    capacity: float = 0.0
    demand: float = 0.0
    occupancy: float = 0.0
    age: float = 0.0
    account_share: float = 1.0

    @property
    def admitted(self) -> bool:
        """Return whether the request is admitted."""
        return self.outcome == ADMITTED


class RateMeter:
    """Measure a rate of events by an exponential moving average."""

    __slots__ = ("_rate", "_seconds", "_started_at", "_updated_at")

    def __init__(self, now: float, seconds: float = RATE_SECONDS) -> None:
        self._rate = 0.0
        self._seconds = seconds
        self._started_at = now
        self._updated_at = now

    def count(self, now: float, weight: float = 1.0) -> None:
        """Count one event."""
        self._decay(now)
        self._rate += weight / self._seconds

    def recent(self, now: float) -> float:
        """Return the weight of the recent events, by which meters are compared."""
        self._decay(now)
        return self._rate

    def rate(self, now: float) -> float:
        """Return events a second, corrected for the time since the start."""
        self._decay(now)
        known = 1.0 - exp(-(now - self._started_at) / self._seconds)
        return self._rate / max(0.2, known)

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._rate *= exp((self._updated_at - now) / self._seconds)
            self._updated_at = now


@dataclass(slots=True)
class _Service:
    """Hold what is known of one service.

    :ivar slots: all slots of its servers.
    :ivar usable_slots: slots that may be used under the concurrency limits.
    :ivar in_flight: requests that this entry has at its servers.
    :ivar peer_in_flight: the same of the other entries, as they announced them.
    :ivar unannounced: further requests that the servers have reported.
    :ivar rate_by_rank: arrivals a second of all entries.
    :ivar ended_rate: requests that end, a second, of all entries.
    :ivar meter_by_account: arrivals of this entry by rank and account.
    :ivar work_seconds: time that a request takes, from the requests and their ends.
    :ivar oldest_at: time of the oldest announcement in these sums.
    """

    ended: RateMeter
    arrivals_by_rank: dict[int, RateMeter]
    slots: float = 0.0
    usable_slots: float = 0.0
    in_flight: int = 0
    peer_in_flight: int = 0
    unannounced: float = 0.0
    rate_by_rank: dict[int, float] = field(default_factory=dict)
    ended_rate: float = 0.0
    work_seconds: float = MAX_CORRECTION_SECONDS
    oldest_at: float = 0.0
    meter_by_account: OrderedDict[tuple[int, str], RateMeter] = field(
        default_factory=OrderedDict
    )

    @property
    def requests(self) -> float:
        """Return the estimated requests at its servers."""
        return self.in_flight + self.peer_in_flight + self.unannounced


def find_prioritized_services(config: RoutingConfig) -> frozenset[str]:
    """Return the services whose routes differ in priority.

    Accounts that differ in priority change nothing where all routes have the same one:
    such deployments are served in the order of arrival.
    """
    priorities_by_service: dict[str, set[int]] = {}
    for routes in config.routes_by_host.values():
        for route in routes:
            for item in route.weighted_services:
                if item.weight > 0.0:
                    priorities = priorities_by_service.setdefault(item.service, set())
                    priorities.add(route.priority)
    return frozenset(
        name for name, found in priorities_by_service.items() if len(found) > 1
    )


def compute_shares(
    rate_by_rank: Mapping[int, float], capacity: float
) -> dict[int, float]:
    """Return the share of the requests of each rank to admit.

    All get a minimum. After that the most urgent rank is served first, then all others
    up to a higher minimum, then these in the order of urgency.

    :param capacity: requests a second that can be admitted.
    """
    demand = sum(rate_by_rank.values())
    if capacity >= demand:
        return dict.fromkeys(rate_by_rank, 1.0)
    mean = max(0.0, capacity) / demand
    shares = dict.fromkeys(sorted(rate_by_rank), MIN_SHARE_RATIO * mean)
    remaining = max(0.0, capacity) * (1.0 - MIN_SHARE_RATIO)
    first, *others = shares
    remaining = _raise_shares(shares, [first], rate_by_rank, 1.0, remaining)
    level = OTHER_MIN_SHARE_RATIO * mean
    remaining = _raise_shares(shares, others, rate_by_rank, level, remaining)
    for rank in others:
        remaining = _raise_shares(shares, [rank], rate_by_rank, 1.0, remaining)
    return shares


def _raise_shares(
    shares: dict[int, float],
    ranks: Sequence[int],
    rate_by_rank: Mapping[int, float],
    level: float,
    remaining: float,
) -> float:
    """Raise the equal shares of some ranks to a level, as far as the capacity suffices.

    :param remaining: requests a second that can still be admitted.
    :returns: what remains after that.
    """
    if remaining <= 0.0:
        return 0.0
    wanted = sum((level - shares[rank]) * rate_by_rank[rank] for rank in ranks)
    granted = min(1.0, remaining / wanted) if wanted > 0.0 else 1.0
    for rank in ranks:
        shares[rank] += granted * (level - shares[rank])
    return remaining - wanted if granted == 1.0 else 0.0


def compute_account_share(rate: float, rates: Iterable[float], share: float) -> float:
    """Return the share of the requests of one account to admit.

    Accounts below their fair share are admitted entirely, and the others get equal
    parts of what is left, so that all together get the share of their rank.

    :param rate: requests of the account.
    :param rates: requests of all accounts of its rank.
    """
    ordered = sorted(rates)
    remaining = share * sum(ordered)
    for index, other in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if other > level:
            return min(1.0, level / rate) if rate > 0.0 else 1.0
        remaining -= other
    return 1.0


def _is_valid(demand: ServiceDemand) -> bool:
    """Return whether an announcement can be used.

    One negative or infinite figure would change the shares at all entries.
    """
    rates = [demand.ended_rate, *demand.rate_by_rank.values()]
    return (
        len(demand.rate_by_rank) <= MAX_RANKS
        and demand.in_flight >= 0
        and all(0.0 <= rate <= MAX_RATE for rate in rates)
    )


class PriorityAdmission:
    """Admit or refuse requests by priority where a service lacks capacity."""

    __slots__ = ("_active", "_demands_by_peer", "_service_by_name", "peer_ttl")

    def __init__(self) -> None:
        self.peer_ttl = 1.5
        self._active: frozenset[str] = frozenset()
        self._service_by_name: dict[str, _Service] = {}
        self._demands_by_peer: dict[str, tuple[float, dict[str, ServiceDemand]]] = {}

    def set_services(self, services: Collection[str]) -> None:
        """Set the services whose routes differ in priority."""
        if self._active == frozenset(services):
            return
        self._active = frozenset(services)
        # Peers repeat their announcements within some tenths of a second.
        for peer in list(self._demands_by_peer):
            self._remove_peer(peer)
        for name in [name for name in self._service_by_name if name not in services]:
            del self._service_by_name[name]

    @property
    def services(self) -> frozenset[str]:
        """Return the services whose requests are admitted by priority."""
        return self._active

    def is_active(self, service: str) -> bool:
        """Return whether requests of a service are admitted by priority."""
        return service in self._active

    def record_arrival(
        self,
        service: str,
        rank: int,
        now: float,
        is_return: bool = False,
        account: str = "",
    ) -> None:
        """Count the arrival of a request.

        :param is_return: whether its caller was refused and returns when it was told.
            It counts as several requests, as it is as likely to be admitted.
        """
        if service not in self._active:
            return
        meters = self._get(service, now).arrivals_by_rank
        weight = RETURN_WEIGHT if is_return else 1.0
        meters.setdefault(rank, RateMeter(now)).count(now, weight)
        accounts = self._service_by_name[service].meter_by_account
        key = rank, account
        meter = accounts.get(key)
        if meter is None:
            meter = accounts[key] = RateMeter(now, ACCOUNT_RATE_SECONDS)
            if len(accounts) > MAX_ACCOUNTS:
                accounts.popitem(last=False)
        accounts.move_to_end(key)
        meter.count(now)

    def record_begin(self, service: str, now: float) -> None:
        """Count a request that is sent to a server."""
        if service in self._active:
            self._get(service, now).in_flight += 1

    def record_end(self, service: str, has_run: bool, now: float) -> None:
        """Count the end of a request at a server.

        :param has_run: whether the request took a slot of the server.
        """
        if service in self._active:
            state = self._get(service, now)
            if has_run:
                state.ended.count(now)
            state.in_flight = max(0, state.in_flight - 1)

    def record_peer(
        self, peer: str, demands: Collection[ServiceDemand], now: float
    ) -> None:
        """Record the announcement of another entry."""
        known = {
            demand.service: demand
            for demand in list(demands)[:MAX_SERVICES]
            if demand.service in self._active and _is_valid(demand)
        }
        self._remove_peer(peer)
        if known:
            self._demands_by_peer[peer] = (now, known)
            for name, demand in known.items():
                self._get(name, now).peer_in_flight += demand.in_flight

    def _remove_peer(self, peer: str) -> None:
        _, known = self._demands_by_peer.pop(peer, (0.0, {}))
        for name, demand in known.items():
            service = self._service_by_name.get(name)
            if service is not None:
                service.peer_in_flight -= demand.in_flight

    def next_message(self, now: float) -> list[ServiceDemand]:
        """Return the announcement of this entry."""
        return [
            ServiceDemand(
                name,
                {
                    rank: round(meter.rate(now), 2)
                    for rank, meter in service.arrivals_by_rank.items()
                },
                round(service.ended.rate(now), 2),
                service.in_flight,
            )
            for name, service in self._service_by_name.items()
        ]

    def update(
        self,
        service: str,
        slots: float,
        usable_slots: float,
        requests: float,
        now: float,
    ) -> None:
        """Sum up what the entries have announced.

        :param slots: all slots of the servers of the service.
        :param usable_slots: slots that may be used under the concurrency limits.
        :param requests: requests at the servers, estimated from their own reports too.
        """
        if service not in self._active:
            return
        state = self._get(service, now)
        state.slots, state.usable_slots = slots, usable_slots
        rates = {
            rank: meter.rate(now) for rank, meter in state.arrivals_by_rank.items()
        }
        state.ended_rate = state.ended.rate(now)
        state.oldest_at = now
        for peer, (received_at, demands) in list(self._demands_by_peer.items()):
            if now - received_at > self.peer_ttl:
                self._remove_peer(peer)
                continue
            demand = demands.get(service)
            if demand is None:
                continue
            state.oldest_at = min(state.oldest_at, received_at)
            state.ended_rate += demand.ended_rate
            for rank, rate in demand.rate_by_rank.items():
                rates[rank] = rates.get(rank, 0.0) + rate
        state.rate_by_rank = rates
        announced = state.in_flight + state.peer_in_flight
        state.unannounced = max(0.0, requests - announced)
        if announced and state.ended_rate > 0.0:
            newest = announced / state.ended_rate
            state.work_seconds += WORK_WEIGHT * (newest - state.work_seconds)

    def decide(
        self,
        service: str,
        rank: int,
        random_fraction: float,
        now: float,
        is_return: bool = False,
        account: str = "",
    ) -> Decision:
        """Return whether a request is admitted.

        The fair shares of accounts are those among the callers of this entry.

        :param is_return: see `record_arrival`.
        :param random_fraction: random number, uniformly distributed from 0 to 1.
        """
        state = self._service_by_name.get(service)
        # Without an open server the choice of the server names the cause.
        if state is None or state.slots <= 0.0:
            return Decision(ADMITTED, rank)
        if state.requests < FREE_OCCUPANCY * state.slots:
            return Decision(ADMITTED, rank)
        target = max(
            TARGET_RATIO * state.usable_slots, MIN_TARGET_OCCUPANCY * state.slots
        )
        free = target - state.requests
        correction_seconds = min(
            MAX_CORRECTION_SECONDS, max(MIN_CORRECTION_SECONDS, state.work_seconds)
        )
        capacity = max(0.0, state.ended_rate + free / correction_seconds)
        rates = {rank: 0.0} | state.rate_by_rank
        share = compute_shares(rates, capacity)[rank]
        account_share = self._account_share(state, rank, account, share, now)
        weight = RETURN_WEIGHT if is_return else 1.0
        is_admitted = random_fraction < account_share * weight
        return Decision(
            ADMITTED if is_admitted else REFUSED,
            rank,
            share,
            capacity,
            sum(state.rate_by_rank.values()),
            state.requests / max(1.0, state.usable_slots),
            now - state.oldest_at,
            account_share,
        )

    def _account_share(
        self, state: _Service, rank: int, account: str, share: float, now: float
    ) -> float:
        meters = state.meter_by_account
        meter = meters.get((rank, account))
        if share >= 1.0 or meter is None:
            return share
        rates = [other.recent(now) for key, other in meters.items() if key[0] == rank]
        return compute_account_share(meter.recent(now), rates, share)

    def urgency(self, service: str, rank: int) -> tuple[int, int]:
        """Return the position of a rank among those in use, and their number.

        :returns: 0 and 1 for a service whose requests have no ranks.
        """
        state = self._service_by_name.get(service)
        ranks = {rank} | set(state.arrivals_by_rank if state else ())
        return sum(other < rank for other in ranks), len(ranks)

    def free_rate(self, service: str) -> float:
        """Return the slots a second that become free for the requests of one entry."""
        state = self._service_by_name.get(service)
        if state is None:
            return 0.0
        return state.ended_rate / (1.0 + len(self._demands_by_peer))

    def _get(self, name: str, now: float) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = self._service_by_name[name] = _Service(RateMeter(now), {})
        return service
