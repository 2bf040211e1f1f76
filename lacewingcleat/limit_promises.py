"""coordination: leases, loans and demands of one account at its home entry."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lacewingcleat.identity import Peer
from lacewingcleat.limit_shares import ZERO_AMOUNTS, Amounts


@dataclass(frozen=True, slots=True)
class Promise:
    """Represent amounts that a holder may use until `end` on the local clock."""

    amounts: Amounts
    end: float


@dataclass(frozen=True, slots=True)
class RecordedDemand:
    """Represent the latest demand of an entry.

    :param slots_in_use: slots in use at the entry beyond its reserve.
    :param end: time at which the demand expires.
    """

    amounts: Amounts
    slots_in_use: int
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

    :param leases_by_entry: leases granted to entries of the zone.
    :param loans_by_borrower: loans granted to home entries of other zones.
    :param demand_by_entry: latest demand of each entry of the zone.
    :param borrowed_by_zone: loans received from other zones.
    :param loan_requested_at_by_zone: time of the last request for a loan to each zone.
    """

    leases_by_entry: dict[Peer, list[Promise]] = field(default_factory=dict)
    loans_by_borrower: dict[Peer, list[Promise]] = field(default_factory=dict)
    demand_by_entry: dict[Peer, RecordedDemand] = field(default_factory=dict)
    borrowed_by_zone: dict[str, Loan] = field(default_factory=dict)
    loan_requested_at_by_zone: dict[str, float] = field(default_factory=dict)


def total_promised(
    promises_by_holder: Mapping[Peer, list[Promise]], excluded_holder: Peer
) -> Amounts:
    """Return the total that may still be in use by all holders except one."""
    total = ZERO_AMOUNTS
    for holder, promises in promises_by_holder.items():
        if holder != excluded_holder:
            total += largest_promised(promises)
    return total


def largest_promised(promises: Iterable[Promise]) -> Amounts:
    """Return the largest amount of each resource over a holder's promises.

    A holder uses one promise at a time, but the promiser cannot tell which of them.
    """
    largest = ZERO_AMOUNTS
    for promise in promises:
        largest = largest.maximum(promise.amounts)
    return largest


def remove_expired(promises_by_holder: dict[Peer, list[Promise]], now: float) -> None:
    """Remove expired promises."""
    for holder in list(promises_by_holder):
        promises_by_holder[holder] = [
            item for item in promises_by_holder[holder] if item.end > now
        ]
        if not promises_by_holder[holder]:
            del promises_by_holder[holder]


def fair_share(capacity: float, demand: float, other_demands: Iterable[float]) -> float:
    """Return the max-min fair share of one claimant.

    :param demand: demand of the claimant.
    :param other_demands: demands of the other claimants.
    """
    ascending_demands = sorted([demand, *other_demands])
    remaining = capacity
    for index, amount in enumerate(ascending_demands):
        equal_share = remaining / (len(ascending_demands) - index)
        if amount >= equal_share:
            return min(demand, equal_share)
        remaining -= amount
        if amount == demand:
            return demand
    return demand
