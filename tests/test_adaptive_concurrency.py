from testtools import TestCase

from lacewingcleat.adaptive_concurrency import (
    ADJUST_INTERVAL_SECONDS,
    MAX_SLOT_SHARE,
    MIN_SLOT_SHARE,
    AdaptiveConcurrencyLimit,
)

MAX_EVENT_INTERVAL_SECONDS = 0.12
# Seconds of simulated load; streams last about 2.5 s.
SIMULATED_SECONDS = 40.0


def _simulate_group(offered: float, limited: bool) -> float:
    """Return the share of timely gaps of a group that is offered more than it can do.

    A pass takes longer with each stream; a quarter of them ends each half second.
    """
    limit = AdaptiveConcurrencyLimit()
    streams, now, timely, steps = 0.0, 0.0, 0, 0
    while now < SIMULATED_SECONDS:
        event_interval = 0.07 + 0.06 * streams
        share = limit.slot_share("g") if limited else MAX_SLOT_SHARE
        streams = min(1.0, share, 0.75 * streams + offered)
        limit.adjust("g", event_interval, MAX_EVENT_INTERVAL_SECONDS, now)
        steps += now > SIMULATED_SECONDS / 2
        timely += (
            now > SIMULATED_SECONDS / 2 and event_interval <= MAX_EVENT_INTERVAL_SECONDS
        )
        now += ADJUST_INTERVAL_SECONDS
    return timely / steps


class AdaptiveConcurrencyLimitTest(TestCase):
    def test_an_overloaded_group_keeps_its_streams_timely(self) -> None:
        """Guards against full groups whose streams are all a little too late."""
        self.assertEqual(0.0, _simulate_group(1.0, limited=False))
        self.assertGreaterEqual(_simulate_group(1.0, limited=True), 0.95)

    def test_a_timely_group_is_not_limited(self) -> None:
        """Guards against refusals while a group is fast enough."""
        limit = AdaptiveConcurrencyLimit()
        self.assertFalse(limit.adjust("g", 0.06, MAX_EVENT_INTERVAL_SECONDS, 1.0))
        self.assertEqual(MAX_SLOT_SHARE, limit.slot_share("g"))

    def test_a_group_with_a_slow_rank_is_not_limited(self) -> None:
        """Guards against refusals that make no stream timely."""
        limit = AdaptiveConcurrencyLimit()
        limit.adjust("g", 0.118, MAX_EVENT_INTERVAL_SECONDS, 1.0)
        self.assertEqual(1.0, limit.slot_share("g"))
        self.assertTrue(limit.adjust("g", 0.5, MAX_EVENT_INTERVAL_SECONDS, 2.0))
        self.assertEqual(MAX_SLOT_SHARE, limit.slot_share("g"))

    def test_the_share_has_a_floor_and_recovers(self) -> None:
        """Guards against a group that is starved or stays limited for good."""
        limit = AdaptiveConcurrencyLimit()
        for step in range(100):
            limit.adjust("g", 0.119, MAX_EVENT_INTERVAL_SECONDS, float(step))
        self.assertEqual(MIN_SLOT_SHARE, limit.slot_share("g"))
        for step in range(100, 200):
            limit.adjust("g", 0.05, MAX_EVENT_INTERVAL_SECONDS, float(step))
        self.assertEqual(MAX_SLOT_SHARE, limit.slot_share("g"))

    def test_an_idle_or_unknown_group_is_not_limited(self) -> None:
        """Guards against a limit that outlives the load it was set for."""
        limit = AdaptiveConcurrencyLimit()
        limit.adjust("g", 0.118, MAX_EVENT_INTERVAL_SECONDS, 1.0)
        limit.adjust("g", None, MAX_EVENT_INTERVAL_SECONDS, 5.0)
        self.assertEqual(MAX_SLOT_SHARE, limit.slot_share("g"))
        self.assertEqual(MAX_SLOT_SHARE, limit.slot_share(None))

    def test_limits_of_removed_groups_are_dropped(self) -> None:
        """Guards against state that grows with each group that ever was."""
        limit = AdaptiveConcurrencyLimit()
        limit.adjust("g", 0.118, MAX_EVENT_INTERVAL_SECONDS, 1.0)
        limit.retain(set())
        self.assertEqual(MAX_SLOT_SHARE, limit.slot_share("g"))
