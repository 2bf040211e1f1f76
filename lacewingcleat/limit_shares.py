"""coordination: division of an account's limits into zone pools and entry reserves.

The division depends only on the sheet, so that the shares of all zones add up to the
limit even if the zones cannot communicate.
"""

from dataclasses import dataclass
from math import inf

from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import ClientAccount, Sheet

# Fraction of a zone's share that its entries may use without a lease.
RESERVE_SHARE = 0.2
# Tolerance for rounding errors in sums of rates.
EPSILON = 1e-9


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

    def lower(self, other: "Amounts") -> "Amounts":
        """Return the smaller amount of each resource."""
        return Amounts(
            min(self.requests_per_second, other.requests_per_second),
            min(self.concurrency, other.concurrency),
            min(self.tokens_per_second, other.tokens_per_second),
        )

    def higher(self, other: "Amounts") -> "Amounts":
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
            int(self.concurrency * factor + EPSILON),
            self.tokens_per_second * factor,
        )

    def or_keep(self, held: "Amounts") -> "Amounts":
        """Return the needed amounts with hysteresis against the held amounts.

        A held amount is only reduced if less than half of it is needed. Otherwise small
        fluctuations of demand would release amounts that are needed a second later.
        """
        return Amounts(
            _or_keep(self.requests_per_second, held.requests_per_second),
            int(_or_keep(self.concurrency, held.concurrency)),
            _or_keep(self.tokens_per_second, held.tokens_per_second),
        )

    @property
    def empty(self) -> bool:
        """Return whether all amounts are zero."""
        return (
            self.requests_per_second <= EPSILON
            and self.concurrency <= 0
            and self.tokens_per_second <= EPSILON
        )


def _or_keep(needed: float, held: float) -> float:
    return held if held / 2 <= needed < held else needed


NOTHING = Amounts()
EVERYTHING = Amounts(inf, 2**62, inf)


@dataclass(frozen=True, slots=True)
class ZoneShare:
    """Represent a zone's share of an account's limits.

    :param pool: amounts that the zone's home entry grants as leases.
    :param reserve: amounts that each entry of the zone may use without a lease.
    """

    pool: Amounts
    reserve: Amounts


def limit_of(account: ClientAccount) -> Amounts:
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
    own = entries_by_zone.get(zone, 0)
    if own == 0:
        return ZoneShare(NOTHING, NOTHING)
    total = sum(entries_by_zone.values())
    limit = limit_of(account)
    share = limit.scaled(own / total)
    slots_by_zone = {
        name: limit.concurrency * entries // total
        for name, entries in entries_by_zone.items()
    }
    spare = limit.concurrency - sum(slots_by_zone.values())
    favoured = rank_by_rendezvous(account.name, entries_by_zone)[:spare]
    slots = slots_by_zone[zone] + (zone in favoured)
    reserve = Amounts(
        share.requests_per_second * RESERVE_SHARE / own,
        int(slots * RESERVE_SHARE / own + EPSILON),
        share.tokens_per_second * RESERVE_SHARE / own,
    )
    pool = Amounts(
        share.requests_per_second * (1.0 - RESERVE_SHARE),
        slots - reserve.concurrency * own,
        share.tokens_per_second * (1.0 - RESERVE_SHARE),
    )
    return ZoneShare(pool, reserve)
