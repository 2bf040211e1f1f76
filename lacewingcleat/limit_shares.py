"""coordination: how an account's limits divide over zones, home entries and reserves.

The division follows from the sheet alone, so that zones which cannot communicate still
add up to the limit.
"""

from dataclasses import dataclass
from math import inf

from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import ClientAccount, Sheet

# Part of a zone's share that its entries may use without a lease.
RESERVE_FRACTION = 0.2
# Tolerance for sums of rates.
ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Amounts:
    """Hold one amount of each limited resource of an account."""

    requests_per_second: float = 0.0
    concurrency: int = 0
    tokens_per_second: float = 0.0

    def __add__(self, other: "Amounts") -> "Amounts":
        """Add amounts resource by resource."""
        return Amounts(
            self.requests_per_second + other.requests_per_second,
            self.concurrency + other.concurrency,
            self.tokens_per_second + other.tokens_per_second,
        )

    def __sub__(self, other: "Amounts") -> "Amounts":
        """Subtract amounts resource by resource, but not below zero."""
        return Amounts(
            max(0.0, self.requests_per_second - other.requests_per_second),
            max(0, self.concurrency - other.concurrency),
            max(0.0, self.tokens_per_second - other.tokens_per_second),
        )

    def minimum(self, other: "Amounts") -> "Amounts":
        """Return the smaller amount of each resource."""
        return Amounts(
            min(self.requests_per_second, other.requests_per_second),
            min(self.concurrency, other.concurrency),
            min(self.tokens_per_second, other.tokens_per_second),
        )

    def maximum(self, other: "Amounts") -> "Amounts":
        """Return the larger amount of each resource."""
        return Amounts(
            max(self.requests_per_second, other.requests_per_second),
            max(self.concurrency, other.concurrency),
            max(self.tokens_per_second, other.tokens_per_second),
        )

    def scaled(self, factor: float) -> "Amounts":
        """Multiply each resource, rounding slots down."""
        return Amounts(
            self.requests_per_second * factor,
            int(self.concurrency * factor + ROUNDING_TOLERANCE),
            self.tokens_per_second * factor,
        )

    def with_hysteresis(self, held: "Amounts") -> "Amounts":
        """Return the needed amounts, but keep what is held unless half is enough.

        Small changes of demand would otherwise give back what the next second needs.
        """
        return Amounts(
            _with_hysteresis(self.requests_per_second, held.requests_per_second),
            int(_with_hysteresis(self.concurrency, held.concurrency)),
            _with_hysteresis(self.tokens_per_second, held.tokens_per_second),
        )

    @property
    def is_zero(self) -> bool:
        """Return whether no resource is left."""
        return (
            self.requests_per_second <= ROUNDING_TOLERANCE
            and self.concurrency <= 0
            and self.tokens_per_second <= ROUNDING_TOLERANCE
        )


def _with_hysteresis(needed: float, held: float) -> float:
    return held if held / 2 <= needed < held else needed


ZERO_AMOUNTS = Amounts()
UNLIMITED_AMOUNTS = Amounts(inf, 2**62, inf)


@dataclass(frozen=True, slots=True)
class ZoneShare:
    """Hold a zone's part of an account's limits.

    :param pool: what the zone's home entry leases out.
    :param reserve: what each entry of the zone may use without a lease.
    """

    pool: Amounts
    reserve: Amounts


def account_limit(account: ClientAccount) -> Amounts:
    """Return the limits of an account, tokens by the second."""
    return Amounts(
        account.requests_per_second,
        account.concurrency,
        account.tokens_per_minute / 60.0,
    )


def zone_share(sheet: Sheet, account: ClientAccount, zone: str) -> ZoneShare:
    """Return a zone's share, in proportion to its expected entries.

    Slots are whole: the remainder goes to zones in rendezvous order of the account, and
    what cannot be split evenly over the reserves stays in the pool.
    """
    entries_by_zone = {
        record.name: record.entries
        for record in sheet.zone_by_name.values()
        if record.entries > 0
    }
    own_entries = entries_by_zone.get(zone, 0)
    if own_entries == 0:
        return ZoneShare(ZERO_AMOUNTS, ZERO_AMOUNTS)
    total_entries = sum(entries_by_zone.values())
    limit = account_limit(account)
    share = limit.scaled(own_entries / total_entries)
    slots_by_zone = {
        name: limit.concurrency * entries // total_entries
        for name, entries in entries_by_zone.items()
    }
    remainder = limit.concurrency - sum(slots_by_zone.values())
    remainder_zones = rank_by_rendezvous(account.name, entries_by_zone)[:remainder]
    slots = slots_by_zone[zone] + (zone in remainder_zones)
    reserve = Amounts(
        share.requests_per_second * RESERVE_FRACTION / own_entries,
        int(slots * RESERVE_FRACTION / own_entries + ROUNDING_TOLERANCE),
        share.tokens_per_second * RESERVE_FRACTION / own_entries,
    )
    pool = Amounts(
        share.requests_per_second * (1.0 - RESERVE_FRACTION),
        slots - reserve.concurrency * own_entries,
        share.tokens_per_second * (1.0 - RESERVE_FRACTION),
    )
    return ZoneShare(pool, reserve)
