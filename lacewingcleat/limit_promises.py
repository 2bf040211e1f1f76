"""coordination: what a home entry has promised and heard of one account."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lacewingcleat.identity import Peer
from lacewingcleat.limit_shares import NOTHING, Amounts


@dataclass(frozen=True, slots=True)
class Promise:
    """Hold what a holder may use until a moment of the own clock."""

    amounts: Amounts
    end: float


@dataclass(frozen=True, slots=True)
class NotedDemand:
    """Hold the newest demand of an entry, while it counts as present."""

    amounts: Amounts
    held: int
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

    lease_by_holder: dict[Peer, list[Promise]] = field(default_factory=dict)
    lent_by_holder: dict[Peer, list[Promise]] = field(default_factory=dict)
    demand_by_holder: dict[Peer, NotedDemand] = field(default_factory=dict)
    loan_by_zone: dict[str, Loan] = field(default_factory=dict)
    asked_at_by_zone: dict[str, float] = field(default_factory=dict)


def outstanding(promises: Mapping[Peer, list[Promise]], but: Peer) -> Amounts:
    """Add up what others than one holder may still use."""
    total = NOTHING
    for holder, held in promises.items():
        if holder != but:
            total += highest(held)
    return total


def highest(promises: Iterable[Promise]) -> Amounts:
    """Return what a holder of several promises may use, which is the largest one."""
    largest = NOTHING
    for promise in promises:
        largest = largest.higher(promise.amounts)
    return largest


def prune(promises: dict[Peer, list[Promise]], now: float) -> None:
    """Drop the promises that have ended."""
    for holder in list(promises):
        promises[holder] = [item for item in promises[holder] if item.end > now]
        if not promises[holder]:
            del promises[holder]


def fair_share(capacity: float, wanted: float, others: Iterable[float]) -> float:
    """Return the max-min fair part of one claimant.

    :param others: what the other claimants want.
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
