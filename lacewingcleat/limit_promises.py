"""coordination: what a home entry has promised and heard of one account."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lacewingcleat.identity import Peer
from lacewingcleat.limit_shares import ZERO_AMOUNTS, Amounts


@dataclass(frozen=True, slots=True)
class Promise:
    """Hold what a holder may use until a moment of the own clock."""

    amounts: Amounts
    end: float


@dataclass(frozen=True, slots=True)
class RecordedDemand:
    """Hold the newest demand of an entry, while it counts as present."""

    amounts: Amounts
    slots_in_use: int
    request_id: int
    end: float


@dataclass(frozen=True, slots=True)
class Loan:
    """Hold what another zone has lent."""

    amounts: Amounts
    request_id: int
    end: float


@dataclass(slots=True)
class HomeAccount:
    """Hold the promises and demands of one account at its home entry."""

    leases_by_entry: dict[Peer, list[Promise]] = field(default_factory=dict)
    loans_by_borrower: dict[Peer, list[Promise]] = field(default_factory=dict)
    demand_by_entry: dict[Peer, RecordedDemand] = field(default_factory=dict)
    borrowed_by_zone: dict[str, Loan] = field(default_factory=dict)
    loan_requested_at_by_zone: dict[str, float] = field(default_factory=dict)


def total_promised(
    promises_by_holder: Mapping[Peer, list[Promise]], excluded_holder: Peer
) -> Amounts:
    """Add up what others than one holder may still use."""
    total = ZERO_AMOUNTS
    for holder, promises in promises_by_holder.items():
        if holder != excluded_holder:
            total += largest_promised(promises)
    return total


def largest_promised(promises: Iterable[Promise]) -> Amounts:
    """Return what a holder of several promises may use, which is the largest one."""
    largest = ZERO_AMOUNTS
    for promise in promises:
        largest = largest.maximum(promise.amounts)
    return largest


def remove_expired(promises_by_holder: dict[Peer, list[Promise]], now: float) -> None:
    """Drop the promises that have ended."""
    for holder in list(promises_by_holder):
        promises_by_holder[holder] = [
            item for item in promises_by_holder[holder] if item.end > now
        ]
        if not promises_by_holder[holder]:
            del promises_by_holder[holder]


def fair_share(capacity: float, demand: float, other_demands: Iterable[float]) -> float:
    """Return the max-min fair part of one claimant.

    :param other_demands: what the other claimants want.
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
