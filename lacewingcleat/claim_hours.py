"""state: the shares of pools that firms claim at a point in time.

Claims are in the local time of the firm. A point in time is converted to each firm's
local time and local times are never converted back, so an hour that a clock change
skips has no effect, and an hour that it repeats is claimed both times.
"""

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from functools import lru_cache
from importlib.resources import files
from zoneinfo import ZoneInfo

from lacewingcleat.sheet import Claim, Firm, Sheet

MINUTES_PER_DAY = 24 * 60
MINUTES_PER_WEEK = 7 * MINUTES_PER_DAY
# Sums of decimal fractions such as 0.1 are inexact in floating point.
SHARE_TOLERANCE = 1e-9
# The UTC offsets that occur in this period determine whether claims exceed a pool. The
# period is fixed, because the result must not depend on the day of the check.
FIRST_REFERENCE_DAY = datetime(2026, 1, 1, tzinfo=UTC)
REFERENCE_DAYS = 2 * 366
OFFSET_SAMPLING_INTERVAL = timedelta(minutes=15)

_TIME_ZONE_NAME = re.compile(r"[A-Za-z0-9_+-]+(/[A-Za-z0-9_+-]+){0,2}")


@dataclass(frozen=True, slots=True)
class ClaimConflict:
    """Represent a conflict between claims on one pool.

    :param index: index of the claim that conflicts with earlier ones.
    :param text: description of the conflict.
    """

    index: int
    text: str


@lru_cache(maxsize=256)
def load_time_zone(name: str) -> ZoneInfo | None:
    """Load a time zone from the tzdata package; return None if it does not exist.

    The time zone files of the operating system are not used, because their releases may
    differ between instances, which would then disagree about the same sheet.
    """
    if not is_time_zone_name(name):
        return None
    try:
        path = files("tzdata.zoneinfo").joinpath(*name.split("/"))
        with path.open("rb") as data:
            return ZoneInfo.from_file(data, key=name)
    except (OSError, ValueError):
        return None


def is_time_zone_name(name: str) -> bool:
    """Return whether a text has the form of an IANA time zone name."""
    return _TIME_ZONE_NAME.fullmatch(name) is not None


def claimed_shares(sheet: Sheet, pool: str, wall_time: datetime) -> dict[str, float]:
    """Return the share of a pool that each firm claims at a point in time.

    Firms without an active claim are omitted. The unclaimed rest of the pool is open to
    every firm. If the shares add up to more than 1, they are scaled down; this happens
    only if a country's clock rules changed after the sheet was checked.

    :param wall_time: the point in time, as an aware datetime.
    """
    shares: dict[str, float] = {}
    for claim in sheet.claims_by_pool.get(pool, ()):
        zone = load_time_zone(sheet.firm_by_name[claim.firm].time_zone)
        if zone is not None and is_claim_active(claim, wall_time.astimezone(zone)):
            shares[claim.firm] = shares.get(claim.firm, 0.0) + claim.share
    total = sum(shares.values())
    if total > 1 + SHARE_TOLERANCE:
        return {firm: share / total for firm, share in shares.items()}
    return shares


def is_claim_active(claim: Claim, local: datetime) -> bool:
    """Return whether a claim covers a time in its firm's local time."""
    minute = local.hour * 60 + local.minute
    return _covers_minute(claim, local.weekday(), minute)


def find_claim_overlaps(claims: Sequence[Claim]) -> list[ClaimConflict]:
    """Return the overlaps between claims of the same firm.

    Claims of one firm have the same local time, so the time zone does not matter.

    :param claims: all claims on one pool.
    """
    conflicts: list[ClaimConflict] = []
    for index, claim in enumerate(claims):
        for earlier_index, earlier in enumerate(claims[:index]):
            if claim.firm == earlier.firm and _claims_overlap(claim, earlier):
                text = f"overlaps claim {earlier_index + 1} of the same firm and pool"
                conflicts.append(ClaimConflict(index, text))
    return conflicts


def find_claim_excess(
    claims: Sequence[Claim],
    firm_by_name: Mapping[str, Firm],
) -> list[ClaimConflict]:
    """Return the first conflict in which the shares of a pool add up to more than 1.

    The result depends on the release of the time zone data, so it is used only in the
    check before publishing. A running process must not reject a sheet because of it.

    :param claims: all claims on one pool.
    """
    zones = sorted({firm_by_name[claim.firm].time_zone for claim in claims})
    for offsets in _offset_combinations(tuple(zones)):
        offset_by_zone = dict(zip(zones, offsets, strict=True))
        offset_by_claim = [
            offset_by_zone[firm_by_name[claim.firm].time_zone] for claim in claims
        ]
        conflict = _find_excess_in_week(claims, offset_by_claim)
        if conflict is not None:
            return [conflict]
    return []


def _covers_minute(claim: Claim, weekday: int, minute: int) -> bool:
    started_today = weekday in claim.days
    if claim.from_minute < claim.to_minute:
        return started_today and claim.from_minute <= minute < claim.to_minute
    started_yesterday = (weekday - 1) % 7 in claim.days
    return (started_today and minute >= claim.from_minute) or (
        started_yesterday and minute < claim.to_minute
    )


def _weekly_periods(claim: Claim) -> list[tuple[int, int]]:
    """Return the start and length of a claim's periods in minutes of the local week."""
    length = claim.to_minute - claim.from_minute
    if length <= 0:
        length += MINUTES_PER_DAY
    return [(day * MINUTES_PER_DAY + claim.from_minute, length) for day in claim.days]


def _claims_overlap(claim: Claim, other: Claim) -> bool:
    return any(
        (start - other_start) % MINUTES_PER_WEEK < other_length
        or (other_start - start) % MINUTES_PER_WEEK < length
        for start, length in _weekly_periods(claim)
        for other_start, other_length in _weekly_periods(other)
    )


def _find_excess_in_week(
    claims: Sequence[Claim],
    offset_by_claim: Sequence[int],
) -> ClaimConflict | None:
    """Check the total at each period start, the only points where it can increase."""
    periods = [
        ((start - offset) % MINUTES_PER_WEEK, length, index)
        for index, (claim, offset) in enumerate(
            zip(claims, offset_by_claim, strict=True)
        )
        for start, length in _weekly_periods(claim)
    ]
    for moment, _length, _index in periods:
        active = {
            index
            for start, length, index in periods
            if (moment - start) % MINUTES_PER_WEEK < length
        }
        total = sum(claims[index].share for index in active)
        if total > 1 + SHARE_TOLERANCE:
            day, minute = divmod(moment, MINUTES_PER_DAY)
            name = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")[day]
            return ClaimConflict(
                max(active),
                f"claims on the pool add up to {total:.0%}"
                f" on {name} {minute // 60:02d}:{minute % 60:02d} UTC",
            )
    return None


@lru_cache(maxsize=256)
def _offset_combinations(names: tuple[str, ...]) -> frozenset[tuple[int, ...]]:
    """Return the combinations of UTC offsets, in minutes, in the reference period."""
    zones = [load_time_zone(name) for name in names]
    days = [FIRST_REFERENCE_DAY + timedelta(days=day) for day in range(REFERENCE_DAYS)]
    offsets_by_day = [_offsets_at(zones, day) for day in days]
    combinations = set(offsets_by_day)
    for day, before, after in zip(
        days, offsets_by_day, offsets_by_day[1:], strict=False
    ):
        if before != after:
            # Zones may change their clocks at different times of the same day.
            combinations |= {
                _offsets_at(zones, day + step * OFFSET_SAMPLING_INTERVAL)
                for step in range(96)
            }
    return frozenset(combinations)


def _offsets_at(
    zones: Iterable[ZoneInfo | None],
    moment: datetime,
) -> tuple[int, ...]:
    offsets = [moment.astimezone(zone).utcoffset() for zone in zones]
    return tuple(
        int((offset or timedelta()).total_seconds() // 60) for offset in offsets
    )
