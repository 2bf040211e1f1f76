"""coordination: division of an account's limits into zone pools and entry reserves.

The division depends only on the sheet, so that the shares of all zones add up to the
limit even if the zones cannot communicate.
"""

from dataclasses import dataclass
from math import inf

from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import ClientAccount, Sheet

# Fraction of a zone's share that its entries may use without a lease.
RESERVE_FRACTION = 0.2
# Tolerance for rounding errors in sums of rates.
ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Amounts:
    """Represent one amount for each limited resource of an account."""

    requests_per_second: float = 0.0
    concurrency: int = 0
    tokens_per_second: float = 0.0

    def __add__(self, other: "Amounts") -> "Amounts":
        """Return the sum for each resource."""
        return Amounts(
            self.requests_per_second + other.requests_per_second,
            self.concurrency + other.concurrency,
            self.tokens_per_second + other.tokens_per_second,
        )

    def __sub__(self, other: "Amounts") -> "Amounts":
        """Return the difference for each resource, at least zero."""
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
        """Return each amount times a factor, with slots rounded down."""
        return Amounts(
            self.requests_per_second * factor,
            int(self.concurrency * factor + ROUNDING_TOLERANCE),
            self.tokens_per_second * factor,
        )

    def with_hysteresis(self, held: "Amounts") -> "Amounts":
        """Return the needed amounts with hysteresis against the held amounts.

        A held amount is only reduced if less than half of it is needed. Otherwise small
        fluctuations of demand would release amounts that are needed a second later.
        """
        return Amounts(
            _with_hysteresis(self.requests_per_second, held.requests_per_second),
            int(_with_hysteresis(self.concurrency, held.concurrency)),
            _with_hysteresis(self.tokens_per_second, held.tokens_per_second),
        )

    @property
    def is_zero(self) -> bool:
        """Return whether all amounts are zero."""
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
    """Represent a zone's share of an account's limits.

    :param pool: amounts that the zone's home entry grants as leases.
    :param reserve: amounts that each entry of the zone may use without a lease.
    """

    pool: Amounts
    reserve: Amounts


def account_limit(account: ClientAccount) -> Amounts:
    """Return the limits of an account, with tokens per second."""
    return Amounts(
        account.requests_per_second,
        account.concurrency,
        account.tokens_per_minute / 60.0,
    )


def zone_share(sheet: Sheet, account: ClientAccount, zone: str) -> ZoneShare:
    """Return a zone's share, in proportion to its configured number of entries.

    Slots are whole numbers. The remainder of the division between zones goes to zones
    in rendezvous order of the account; slots that cannot be divided evenly among the
    reserves stay in the pool.
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
