from datetime import UTC, datetime, timedelta
from zoneinfo import ZoneInfo

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.claim_hours import (
    claimed_shares,
    find_claim_excess,
    find_claim_overlaps,
    is_claim_active,
    load_time_zone,
)
from lacewingcleat.sheet import Claim, Firm, ServerState
from lacewingcleat.sheet_diff import diff_sheets
from tests.builders import make_server, make_sheet

DAYS = tuple(range(7))
REGINA = ZoneInfo("America/Regina")
WINNIPEG = ZoneInfo("America/Winnipeg")
AUCKLAND = ZoneInfo("Pacific/Auckland")


def make_claim(
    start: int,
    end: int,
    share: float = 0.5,
    firm: str = "coteau",
    days: tuple[int, ...] = DAYS,
) -> Claim:
    return Claim("group-1", firm, days, start, end, share)


def active_minutes(zone: str, claim: Claim, start: datetime, hours: int) -> int:
    """Return the number of elapsed minutes during which a claim is active."""
    sheet = make_sheet(firms=[Firm("coteau", zone, 1, 1)], claims=[claim])
    return sum(
        "coteau" in claimed_shares(sheet, "group-1", start + timedelta(minutes=minute))
        for minute in range(hours * 60)
    )


class ClaimShareTest(TestCase):
    def test_saskatchewan_has_no_daylight_saving(self) -> None:
        """Guards against applying a clock change in a zone that has none."""
        day = datetime(2026, 3, 8, 6, tzinfo=UTC)  # midnight in Regina
        claim = make_claim(0, 6 * 60)
        self.assertEqual(360, active_minutes("America/Regina", claim, day, 24))

    def test_manitoba_skips_and_repeats_an_hour(self) -> None:
        """Guards against a wrong claim duration on days when the clocks change."""
        claim = make_claim(0, 6 * 60)
        for day, minutes in (((2026, 3, 8), 300), ((2025, 11, 2), 420)):
            start = datetime(*day, tzinfo=WINNIPEG).astimezone(UTC)
            self.assertEqual(
                minutes, active_minutes("America/Winnipeg", claim, start, 20), day
            )

    def test_new_zealand_skips_and_repeats_an_hour(self) -> None:
        """Guards against applying southern-hemisphere clock changes in reverse."""
        claim = make_claim(0, 6 * 60)
        for day, minutes in (((2026, 4, 5), 420), ((2026, 9, 27), 300)):
            start = datetime(*day, tzinfo=AUCKLAND).astimezone(UTC)
            self.assertEqual(
                minutes, active_minutes("Pacific/Auckland", claim, start, 20), day
            )

    def test_period_past_midnight_belongs_to_its_first_day(self) -> None:
        """Guards against a night claim that ends at midnight or starts a day late."""
        claim = make_claim(22 * 60, 2 * 60, days=(4,))
        sheet = make_sheet(claims=[claim])
        friday = datetime(2026, 12, 4, tzinfo=REGINA)
        for hour, active in ((21, 0), (22, 1), (25, 1), (26, 0), (-1, 0), (1, 0)):
            moment = friday + timedelta(hours=hour)
            share = claimed_shares(sheet, "group-1", moment)
            self.assertEqual(active, len(share), hour)

    def test_claims_of_an_unknown_time_zone_are_inactive(self) -> None:
        """Guards against an exception if the time zone data lacks a zone."""
        firm = Firm("coteau", "Mars/Olympus", 1, 1)
        sheet = make_sheet(firms=[firm], claims=[make_claim(0, 1440)])
        moment = datetime(2026, 12, 4, tzinfo=UTC)
        self.assertEqual({}, claimed_shares(sheet, "group-1", moment))

    def test_unknown_time_zones(self) -> None:
        """Guards against zone names that lead to files outside the tzdata package."""
        for name in ("", "Mars/Olympus", "../zone1970.tab", "/etc/passwd", "America"):
            self.assertIsNone(load_time_zone(name), name)


class ClaimConflictTest(TestCase):
    FIRMS = {
        "coteau": Firm("coteau", "America/Regina", 1, 1),
        "kowhai": Firm("kowhai", "Pacific/Auckland", 1, 1),
    }

    def conflicts(self, *claims: Claim) -> int:
        overlaps = find_claim_overlaps(claims)
        return len(overlaps or find_claim_excess(claims, self.FIRMS))

    def test_overlap_of_one_firm(self) -> None:
        """Guards against accepting overlapping claims of one firm on one pool."""
        self.assertEqual(1, self.conflicts(make_claim(0, 60, 0.1), make_claim(59, 90)))
        self.assertEqual(0, self.conflicts(make_claim(0, 60), make_claim(60, 90)))
        night = make_claim(23 * 60, 60, 0.1, days=(6,))
        monday = make_claim(30, 90, 0.1, days=(0,))
        self.assertEqual(1, self.conflicts(night, monday))

    def test_excess_that_occurs_only_in_one_season(self) -> None:
        """Guards against claims that exceed the pool in only one season.

        01:00 in Regina is 19:00 in Auckland in July and 20:00 in December.
        """
        coteau = make_claim(60, 120, 0.6)
        for hour, conflicts in ((18, 0), (19, 1), (20, 1), (21, 0)):
            start, end = hour * 60, (hour + 1) * 60
            kowhai = make_claim(start, end, 0.6, firm="kowhai")
            self.assertEqual(conflicts, self.conflicts(coteau, kowhai), hour)

    def test_excess_after_the_check_is_scaled_down(self) -> None:
        """Guards against granting more slots than the pool has.

        New time zone data can make valid claims exceed the pool after the check.
        """
        claims = [make_claim(0, 1440, 1.0), make_claim(0, 1440, 1.0, firm="kowhai")]
        sheet = make_sheet(firms=self.FIRMS.values(), claims=claims)
        shares = claimed_shares(sheet, "group-1", datetime(2026, 12, 4, tzinfo=UTC))
        self.assertEqual({"coteau": 0.5, "kowhai": 0.5}, shares)

    def test_excess_between_two_clock_changes_of_one_day(self) -> None:
        """Guards against missing a combination of offsets that lasts only two hours.

        On 5 April 2026, Auckland changes its clocks two hours before Sydney.
        """
        firms = {
            "sydney": Firm("sydney", "Australia/Sydney", 1, 1),
            "auckland": Firm("auckland", "Pacific/Auckland", 1, 1),
        }
        claims = [
            make_claim(60, 120, 0.6, firm="sydney"),
            make_claim(120, 180, 0.6, firm="auckland"),
        ]
        self.assertEqual(1, len(find_claim_excess(claims, firms)))

    def test_full_pool_is_no_conflict(self) -> None:
        """Guards against a conflict reported because of a rounding error in the sum."""
        shares = [0.56, 0.32, 0.07, 0.01, 0.04]
        self.assertGreater(sum(shares), 1)
        firms = {f"f{i}": Firm(f"f{i}", "UTC", 1, 1) for i in range(5)}
        claims = [make_claim(0, 60, s, firm=f"f{i}") for i, s in enumerate(shares)]
        self.assertEqual([], find_claim_excess(claims, firms))

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.builds(
                make_claim,
                start=st.integers(0, 23).map(lambda hour: hour * 60),
                end=st.integers(0, 24).map(lambda hour: hour * 60),
                share=st.sampled_from([0.3, 0.6, 1.0]),
                firm=st.sampled_from(["coteau", "kowhai"]),
                days=st.sets(st.integers(0, 6), min_size=1).map(
                    lambda days: tuple(sorted(days))
                ),
            ),
            min_size=1,
            max_size=3,
        ),
        st.integers(0, 2 * 365 * 24 - 1),
    )
    def test_claims_without_conflict_never_exceed_the_pool(
        self, claims: list[Claim], hour: int
    ) -> None:
        """Guards against a point in time that the conflict search does not cover."""
        if find_claim_excess(claims, self.FIRMS):
            return
        sheet = make_sheet(firms=self.FIRMS.values(), claims=claims)
        moment = datetime(2026, 1, 1, tzinfo=UTC) + timedelta(hours=hour)
        shares = claimed_shares(sheet, "group-1", moment)
        self.assertLessEqual(_unscaled_total(claims, self.FIRMS, moment), 1 + 1e-6)
        self.assertLessEqual(sum(shares.values()), 1 + 1e-6)


def _unscaled_total(
    claims: list[Claim], firms: dict[str, Firm], moment: datetime
) -> float:
    return sum(
        claim.share
        for claim in claims
        if is_claim_active(
            claim, moment.astimezone(ZoneInfo(firms[claim.firm].time_zone))
        )
    )


class SheetDiffTest(TestCase):
    def test_differences(self) -> None:
        """Guards against a change that is missing from the operators' diff."""
        before = make_sheet(
            1,
            servers=[make_server(), make_server("server-2"), make_server("server-3")],
            claims=[make_claim(8 * 60, 17 * 60, 0.5)],
        )
        leaving = make_server("server-2", state=ServerState.LEAVING)
        joining = make_server("server-4", state=ServerState.JOINING)
        after = make_sheet(
            2,
            servers=[make_server(), leaving, joining],
            claims=[make_claim(8 * 60, 17 * 60, 0.75)],
        )
        wall = datetime(2026, 12, 4, 5, 30, tzinfo=REGINA)
        diff = diff_sheets(before, after, wall)
        self.assertEqual(("server-4",), diff.joining)
        self.assertEqual(("server-2", "server-3"), diff.leaving)
        self.assertEqual(("server-3",), diff.removed)
        self.assertEqual(
            ["capacity of coteau in group-1, Fri 08:00-Fri 17:00 CST: 4 -> 6 slots"],
            [str(change) for change in diff.capacity],
        )
