"""When callers return that were refused."""

from random import Random

from testtools import TestCase

from lacewingcleat.group_tracker import FORM_SECONDS
from lacewingcleat.retry_after import REOPEN_SPREAD_SECONDS, reopening_wait_seconds

CALLERS_PER_RANK = 30
RANKS = 3
DEADLINE_SECONDS = 8.0


class ReopeningTest(TestCase):
    """Play the callers that arrive within the time in which a group forms."""

    def setUp(self) -> None:
        super().setUp()
        random = Random(1)
        self.returns_by_rank: dict[int, list[float]] = {}
        for rank in range(RANKS):
            arrivals = [
                FORM_SECONDS * index / CALLERS_PER_RANK
                for index in range(CALLERS_PER_RANK)
            ]
            self.returns_by_rank[rank] = [
                now
                + reopening_wait_seconds(
                    FORM_SECONDS, (rank, RANKS), now + DEADLINE_SECONDS, random, now
                )
                for now in arrivals
            ]

    def test_no_caller_returns_before_the_group_is_open(self) -> None:
        """Guards against callers that are refused once more and then give up."""
        for returns in self.returns_by_rank.values():
            self.assertGreaterEqual(min(returns), FORM_SECONDS)

    def test_urgent_callers_return_first(self) -> None:
        """Guards against urgent callers who find the group full of others."""
        for rank in range(1, RANKS):
            self.assertLess(
                max(self.returns_by_rank[rank - 1]), min(self.returns_by_rank[rank])
            )

    def test_returns_are_spread(self) -> None:
        """Guards against a group that is filled by all callers at one moment."""
        returns = [time for each in self.returns_by_rank.values() for time in each]
        for begin in (FORM_SECONDS + 0.1 * index for index in range(10)):
            share = sum(begin <= time < begin + 0.1 for time in returns) / len(returns)
            self.assertLess(share, 2 * 0.1 / REOPEN_SPREAD_SECONDS)

    def test_a_caller_with_little_time_is_not_told_more_than_it_waits(self) -> None:
        """Guards against callers that ignore a Retry-After which is too long."""
        wait = reopening_wait_seconds(5.0, (0, 1), 3.0, Random(1), 0.0)
        self.assertLessEqual(wait, 1.0)
