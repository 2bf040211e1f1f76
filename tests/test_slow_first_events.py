"""Servers that are noticed by their slow first events."""

from random import Random

from testtools import TestCase

from lacewingcleat.slow_first_events import (
    MAX_AGE_SECONDS,
    MIN_SLOW,
    MIN_TIMES,
    SlowFirstEvents,
)

TYPICAL_SECONDS = 0.2


class SlowFirstEventsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.random = Random(1)
        self.events = SlowFirstEvents()

    def _record_others(self, count: int, seconds: float, now: float) -> int:
        """Record first events of other servers; return how many look cold."""
        return sum(
            self.events.record(
                "s",
                f"i-{self.random.randrange(1, 8)}",
                seconds * self.random.uniform(0.6, 1.6),
                now,
            )
            for _ in range(count)
        )

    def test_a_server_that_turns_cold_is_noticed(self) -> None:
        """Guards against full load on a server that is cold without a new record."""
        self._record_others(60, TYPICAL_SECONDS, 1.0)
        seen = [self.events.record("s", "i-0", 1.0, 2.0) for _ in range(MIN_SLOW + 1)]
        self.assertEqual([False] * (MIN_SLOW - 1) + [True, True], seen)

    def test_a_single_slow_stream_is_no_sign(self) -> None:
        """Guards against limits on a server for one long prompt."""
        self._record_others(60, TYPICAL_SECONDS, 1.0)
        for _ in range(20):
            self.assertFalse(self.events.record("s", "i-0", 1.0, 2.0))
            self.assertFalse(self.events.record("s", "i-0", TYPICAL_SECONDS, 2.0))

    def test_load_that_slows_all_servers_is_no_sign(self) -> None:
        """Guards against limits on all servers when a service is overloaded."""
        self._record_others(60, TYPICAL_SECONDS, 1.0)
        found = self._record_others(200, 5.0 * TYPICAL_SECONDS, 2.0)
        # The first ones are compared with the time before.
        self.assertLess(found, 40)
        self.assertEqual(0, self._record_others(200, 5.0 * TYPICAL_SECONDS, 3.0))

    def test_nothing_follows_from_few_or_old_times(self) -> None:
        """Guards against a comparison with hardly any other server."""
        self._record_others(MIN_TIMES - 1, TYPICAL_SECONDS, 1.0)
        seen = [self.events.record("s", "i-0", 1.0, 2.0) for _ in range(5)]
        self.assertNotIn(True, seen)
        self._record_others(60, TYPICAL_SECONDS, 3.0)
        later = 3.0 + MAX_AGE_SECONDS + 1.0
        seen = [self.events.record("s", "i-0", 1.0, later) for _ in range(5)]
        self.assertNotIn(True, seen)

    def test_a_server_that_is_gone_is_forgotten(self) -> None:
        """Guards against a new server that starts with the count of an old one."""
        self._record_others(60, TYPICAL_SECONDS, 1.0)
        for _ in range(MIN_SLOW - 1):
            self.events.record("s", "i-0", 1.0, 2.0)
        self.events.retain(())
        self.assertFalse(self.events.record("s", "i-0", 1.0, 2.0))
