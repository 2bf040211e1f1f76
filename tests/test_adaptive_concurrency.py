"""Limit the concurrency of model groups by their longest passes."""

from testtools import TestCase

from bench.lock_step import (
    GroupModel,
    LockStepSimulation,
    Outcome,
    ShareOf,
    adaptive_share,
    unlimited_share,
)
from lacewingcleat.adaptive_concurrency import (
    ADJUST_INTERVAL_SECONDS,
    INITIAL_SLOT_SHARE,
    MAX_SLOT_SHARE,
    MIN_SLOT_SHARE,
    AdaptiveConcurrencyLimit,
    GroupPace,
)

MAX_EVENT_INTERVAL_SECONDS = 0.12
SIMULATED_SECONDS = 45.0
FAST = GroupPace(0.05, 0.06)
LATE = GroupPace(0.1, 0.14)
SLOW_RANK = GroupPace(0.5, 0.6)


def _play(share_of: ShareOf, load: float, **options: int | bool) -> Outcome:
    simulation = LockStepSimulation(GroupModel(), share_of, load, 1, **options)
    return simulation.run(SIMULATED_SECONDS)


class LoadTest(TestCase):
    """Play the load of a lock-step group and check what callers get."""

    def test_a_group_under_its_usual_load_serves_in_time(self) -> None:
        """Guards against groups that stay too full, and against needless refusals."""
        limited = _play(adaptive_share, 0.8)
        self.assertGreaterEqual(limited.in_time_share, 0.95)

    def test_an_overloaded_group_keeps_its_streams_timely(self) -> None:
        """Guards against full groups in which all streams are late."""
        limited, unlimited = _play(adaptive_share, 1.4), _play(unlimited_share, 1.4)
        self.assertGreater(limited.in_time_share, 4 * unlimited.in_time_share)
        self.assertGreaterEqual(
            limited.in_time / (limited.in_time + limited.late), 0.95
        )

    def test_a_crowd_does_not_leave_the_group_slow(self) -> None:
        """Guards against the second stable state of a group.

        Under the same load a group is fast, or so full that its streams last longer and
        keep it full.
        """
        crowded = _play(adaptive_share, 1.0, crowd=80)
        self.assertGreaterEqual(
            crowded.in_time_share, _play(adaptive_share, 1.0).in_time_share - 0.05
        )

    def test_new_streams_are_announced_at_once(self) -> None:
        """Guards against entries that send prompts to the same rank in one pass."""
        at_once = _play(adaptive_share, 1.2, announces_at_once=True)
        at_intervals = _play(adaptive_share, 1.2, announces_at_once=False)
        self.assertGreater(at_once.in_time_share, at_intervals.in_time_share + 0.1)


class AdaptiveConcurrencyLimitTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limit = AdaptiveConcurrencyLimit()
        self.now = 0.0

    def _adjust(
        self, pace: GroupPace | None, occupancy: float = 1.0, epoch: int = 1
    ) -> float:
        self.now += ADJUST_INTERVAL_SECONDS
        self.limit.adjust(
            "g", epoch, pace, occupancy, MAX_EVENT_INTERVAL_SECONDS, self.now
        )
        return self.limit.slot_share("g")

    def test_a_timely_group_is_not_limited(self) -> None:
        """Guards against refusing requests while a group is fast enough."""
        for _ in range(6):
            share = self._adjust(FAST, occupancy=MAX_SLOT_SHARE)
        self.assertEqual(MAX_SLOT_SHARE, share)

    def test_one_long_pass_counts(self) -> None:
        """Guards against a limit that follows the typical pass."""
        pace = GroupPace(0.06, 0.125)
        self.assertLess(self._adjust(pace, occupancy=0.7), INITIAL_SLOT_SHARE)

    def test_a_decrease_starts_from_the_slots_in_use(self) -> None:
        """Guards against a limit far above the load that made the passes long."""
        self.assertLessEqual(self._adjust(LATE, occupancy=0.65), 0.65)

    def test_running_streams_do_not_lower_the_share_again(self) -> None:
        """Guards against a collapse while streams admitted earlier still run."""
        first = self._adjust(LATE, occupancy=0.7)
        self.assertEqual(first, self._adjust(LATE, occupancy=0.7))

    def test_an_idle_share_does_not_grow(self) -> None:
        """Guards against a limit that a later burst exceeds at once."""
        self.assertEqual(INITIAL_SLOT_SHARE, self._adjust(FAST, occupancy=0.2))

    def test_a_group_with_a_slow_rank_is_not_limited(self) -> None:
        """Guards against a limit that would make no stream timely."""
        self.assertLess(self._adjust(LATE, 0.6), INITIAL_SLOT_SHARE)
        self.assertEqual(MAX_SLOT_SHARE, self._adjust(SLOW_RANK))

    def test_the_share_has_a_floor_and_recovers(self) -> None:
        """Guards against a limit that falls to zero, or that is never lifted."""
        for _ in range(50):
            share = self._adjust(LATE, occupancy=0.1)
        self.assertEqual(MIN_SLOT_SHARE, share)
        for _ in range(50):
            share = self._adjust(FAST, occupancy=MAX_SLOT_SHARE)
        self.assertEqual(MAX_SLOT_SHARE, share)

    def test_a_group_that_forms_again_starts_afresh(self) -> None:
        """Guards against a crowd at a group whose first map ignores the demand."""
        for _ in range(6):
            self._adjust(FAST, occupancy=MAX_SLOT_SHARE)
        self.assertEqual(INITIAL_SLOT_SHARE, self._adjust(None, epoch=2))

    def test_an_unknown_group_starts_with_a_moderate_share(self) -> None:
        """Guards against a crowd at a new group, and against limits without a group."""
        self.assertEqual(INITIAL_SLOT_SHARE, self.limit.slot_share("g"))
        self.assertEqual(MAX_SLOT_SHARE, self.limit.slot_share(None))

    def test_limits_of_removed_groups_are_dropped(self) -> None:
        """Guards against a memory leak of limits of groups that no longer exist."""
        self._adjust(LATE, 0.1)
        self.limit.retain(set())
        self.assertEqual(INITIAL_SLOT_SHARE, self.limit.slot_share("g"))
