"""When callers return that were refused."""

from heapq import heappop, heappush
from random import Random

from testtools import TestCase

from lacewingcleat.group_tracker import FORM_SECONDS
from lacewingcleat.retry_after import (
    LOADED_WAIT_RANGE_SECONDS,
    OVERLOAD_GAP_SECONDS,
    REOPEN_SPREAD_SECONDS,
    NotRunCause,
    OverloadClock,
    reopening_wait_seconds,
    retry_after_seconds,
)

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


def _play_overload(seconds: float, waits_longer: bool, seed: int) -> float:
    """Return the share of the callers that are served.

    Callers arrive at twice the rate that the service serves, and at half of it before
    and afterwards. A refused caller returns once.
    """
    random, clock = Random(seed), OverloadClock()
    served_per_second, slots = 50.0, 5.0
    arrivals: list[tuple[float, float, bool]] = []
    now = 0.0
    while now < seconds + 12.0:
        in_overload = 3.0 <= now < 3.0 + seconds
        now += random.expovariate(served_per_second * (2.0 if in_overload else 0.5))
        heappush(arrivals, (now, now + DEADLINE_SECONDS, False))
    count, served, free, updated_at = len(arrivals), 0, slots, 0.0
    while arrivals:
        now, deadline, is_return = heappop(arrivals)
        free = min(slots, free + (now - updated_at) * served_per_second)
        updated_at = now
        if free >= 1.0:
            free -= 1.0
            served += 1
            continue
        overloaded = clock.record_refusal("s", now)
        if not is_return:
            wait = retry_after_seconds(
                NotRunCause.LOADED,
                deadline,
                random,
                now,
                overloaded_seconds=overloaded if waits_longer else 0.0,
            )
            heappush(arrivals, (now + wait, deadline, True))
    return served / count


class OverloadTest(TestCase):
    def test_callers_return_after_an_overload_that_lasts(self) -> None:
        """Guards against callers who return while the service is still overloaded.

        They are refused again and give up.
        """
        for seconds in (2.0, 4.0, 6.0):
            longer, same = (
                sum(_play_overload(seconds, waits_longer, s) for s in range(6)) / 6
                for waits_longer in (True, False)
            )
            self.assertGreater(longer, same, seconds)

    def test_callers_return_soon_after_a_short_overload(self) -> None:
        """Guards against waits that are longer than the overload."""
        clock = OverloadClock()
        self.assertEqual(0.0, clock.record_refusal("s", 1.0))
        clock.record_refusal("s", 1.5)
        later = 1.5 + OVERLOAD_GAP_SECONDS + 0.1
        self.assertEqual(0.0, clock.record_refusal("s", later))
        for seed in range(20):
            wait = retry_after_seconds(
                NotRunCause.LOADED, DEADLINE_SECONDS, Random(seed), 0.0
            )
            self.assertLessEqual(wait, LOADED_WAIT_RANGE_SECONDS[1])

    def test_no_caller_is_told_more_than_it_waits(self) -> None:
        """Guards against callers that ignore a Retry-After which is too long."""
        for deadline in (1.0, 3.0, 8.0):
            waits = [
                retry_after_seconds(
                    NotRunCause.LOADED,
                    deadline,
                    Random(seed),
                    0.0,
                    overloaded_seconds=30.0,
                )
                for seed in range(50)
            ]
            self.assertLessEqual(max(waits), deadline / 3.0)
            self.assertGreater(len({round(wait, 3) for wait in waits}), 30)

    def test_services_that_are_gone_are_forgotten(self) -> None:
        """Guards against a memory leak of services that no longer exist."""
        clock = OverloadClock()
        clock.record_refusal("s", 1.0)
        clock.retain({"other"})
        self.assertEqual(0.0, clock.record_refusal("s", 1.2))
