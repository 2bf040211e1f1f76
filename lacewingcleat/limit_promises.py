"""coordination: leases, loans and demands of one account at its home entry."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lacewingcleat.identity import Peer
from lacewingcleat.limit_shares import NOTHING, Amounts


@dataclass(frozen=True, slots=True)
class Promise:
    """Represent amounts that a holder may use until `end` on the local clock."""

    amounts: Amounts
    end: float


@dataclass(frozen=True, slots=True)
class NotedDemand:
    """Represent the latest demand of an entry.

    :param held: slots in use at the entry beyond its reserve.
    :param end: time at which the demand expires.
    """

    amounts: Amounts
    held: int
    request_id: int
    end: float


@dataclass(frozen=True, slots=True)
class Loan:
    """Represent amounts that another zone has lent to this one."""

    amounts: Amounts
    request_id: int
    end: float


@dataclass(slots=True)
class HomeAccount:
    """Represent the promises and demands of one account at its home entry.

    :param lease_by_holder: leases granted to entries of the zone.
    :param lent_by_holder: loans granted to home entries of other zones.
    :param demand_by_holder: latest demand of each entry of the zone.
    :param loan_by_zone: loans received from other zones.
    :param asked_at_by_zone: time of the last request for a loan to each zone.
    """

    lease_by_holder: dict[Peer, list[Promise]] = field(default_factory=dict)
    lent_by_holder: dict[Peer, list[Promise]] = field(default_factory=dict)
    demand_by_holder: dict[Peer, NotedDemand] = field(default_factory=dict)
    loan_by_zone: dict[str, Loan] = field(default_factory=dict)
    asked_at_by_zone: dict[str, float] = field(default_factory=dict)


def outstanding(promises: Mapping[Peer, list[Promise]], but: Peer) -> Amounts:
    """Return the total that may still be in use by all holders except one."""
    total = NOTHING
    for holder, held in promises.items():
        if holder != but:
            total += highest(held)
    return total


def highest(promises: Iterable[Promise]) -> Amounts:
    """Return the largest amount of each resource over a holder's promises.

    A holder uses one promise at a time, but the promiser cannot tell which of them.
    """
    largest = NOTHING
    for promise in promises:
        largest = largest.higher(promise.amounts)
    return largest


def prune(promises: dict[Peer, list[Promise]], now: float) -> None:
    """Remove expired promises."""
    for holder in list(promises):
        promises[holder] = [item for item in promises[holder] if item.end > now]
        if not promises[holder]:
            del promises[holder]


def fair_share(capacity: float, wanted: float, others: Iterable[float]) -> float:
    """Return the max-min fair share of one claimant.

    :param wanted: demand of the claimant.
    :param others: demands of the other claimants.
    """
    smaller_first = sorted([wanted, *others])
    left = capacity
    for index, amount in enumerate(smaller_first):
        level = left / (len(smaller_first) - index)
        if amount >= level:
            return min(wanted, level)
        left -= amount
        if amount == wanted:
            return wanted
    return wanted
