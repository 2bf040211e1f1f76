from testtools import TestCase

from lacewingcleat.pace_limit import (
    ADJUST_SECONDS,
    LEAST_SHARE,
    MOST_SHARE,
    PaceLimit,
)

ACCEPTED = 0.12
# Seconds of simulated load; streams last about 2.5 s.
PLAYED_SECONDS = 40.0


def _play(offered: float, limited: bool) -> float:
    """Simulate an overloaded group and return the fraction of timely event intervals.

    A pass takes longer with each stream; a quarter of the streams ends per half second.

    :param offered: new streams per half second, per slot.
    :param limited: whether the concurrency limit is applied.
    """
    limit = PaceLimit()
    streams, now, timely, steps = 0.0, 0.0, 0, 0
    while now < PLAYED_SECONDS:
        gap = 0.07 + 0.06 * streams
        share = limit.share("g") if limited else MOST_SHARE
        streams = min(1.0, share, 0.75 * streams + offered)
        limit.adjust("g", gap, ACCEPTED, now)
        steps += now > PLAYED_SECONDS / 2
        timely += now > PLAYED_SECONDS / 2 and gap <= ACCEPTED
        now += ADJUST_SECONDS
    return timely / steps


class PaceLimitTest(TestCase):
    def test_an_overloaded_group_keeps_its_streams_timely(self) -> None:
        """Guards against full groups in which all streams are slightly late."""
        self.assertEqual(0.0, _play(1.0, limited=False))
        self.assertGreaterEqual(_play(1.0, limited=True), 0.95)

    def test_a_timely_group_is_not_limited(self) -> None:
        """Guards against refusing requests while a group is fast enough."""
        limit = PaceLimit()
        self.assertFalse(limit.adjust("g", 0.06, ACCEPTED, 1.0))
        self.assertEqual(MOST_SHARE, limit.share("g"))

    def test_a_group_with_a_slow_rank_is_not_limited(self) -> None:
        """Guards against a limit that would make no stream timely."""
        limit = PaceLimit()
        limit.adjust("g", 0.118, ACCEPTED, 1.0)
        self.assertEqual(1.0, limit.share("g"))
        self.assertTrue(limit.adjust("g", 0.5, ACCEPTED, 2.0))
        self.assertEqual(MOST_SHARE, limit.share("g"))

    def test_the_share_has_a_floor_and_recovers(self) -> None:
        """Guards against a limit that falls to zero, or that is never lifted."""
        limit = PaceLimit()
        for step in range(100):
            limit.adjust("g", 0.119, ACCEPTED, float(step))
        self.assertEqual(LEAST_SHARE, limit.share("g"))
        for step in range(100, 200):
            limit.adjust("g", 0.05, ACCEPTED, float(step))
        self.assertEqual(MOST_SHARE, limit.share("g"))

    def test_an_idle_or_unknown_group_is_not_limited(self) -> None:
        """Guards against a limit that continues after the load has ended."""
        limit = PaceLimit()
        limit.adjust("g", 0.118, ACCEPTED, 1.0)
        limit.adjust("g", None, ACCEPTED, 5.0)
        self.assertEqual(MOST_SHARE, limit.share("g"))
        self.assertEqual(MOST_SHARE, limit.share(None))

    def test_groups_that_are_gone_are_forgotten(self) -> None:
        """Guards against a memory leak of limits of groups that no longer exist."""
        limit = PaceLimit()
        limit.adjust("g", 0.118, ACCEPTED, 1.0)
        limit.retain(set())
        self.assertEqual(MOST_SHARE, limit.share("g"))
