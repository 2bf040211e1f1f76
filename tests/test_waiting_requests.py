"""Queue requests while all servers are full."""

from testtools import TestCase

from lacewingcleat.waiting_requests import (
    MAX_WAITING,
    FirstEventTimes,
    Waiting,
    WaitingRequests,
)


def _waiting(
    item: str, priority: int = 1, latest_start: float = 1.0, service: str = "s"
) -> Waiting[str]:
    return Waiting(item, service, priority, 0.0, latest_start)


class WaitingRequestsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue: WaitingRequests[str] = WaitingRequests()

    def _first(self, service: str = "s") -> str | None:
        first = self.queue.first(service)
        return first.item if first else None

    def test_urgent_requests_come_first(self) -> None:
        """Guards against urgent requests behind less urgent ones."""
        for item, priority in (("a", 3), ("b", 1), ("c", 1)):
            self.assertTrue(self.queue.add(_waiting(item, priority), 9.0, 0.0))
        self.assertEqual("b", self._first())
        self.assertTrue(self.queue.remove("b"))
        self.assertEqual("c", self._first())

    def test_services_do_not_block_each_other(self) -> None:
        """Guards against a full service that holds up another one."""
        self.queue.add(_waiting("a", 0), 1.0, 0.0)
        self.queue.add(_waiting("b", 5, service="t"), 1.0, 0.0)
        self.assertEqual("b", self._first("t"))
        self.assertEqual({"s", "t"}, self.queue.services())

    def test_a_request_is_not_queued_in_vain(self) -> None:
        """Guards against a wait behind more requests than get slots meanwhile."""
        self.assertFalse(self.queue.add(_waiting("late", latest_start=0.0), 9.0, 0.0))
        self.assertTrue(self.queue.add(_waiting("a"), 1.0, 0.0))
        self.assertTrue(self.queue.add(_waiting("b"), 1.0, 0.0))
        self.assertFalse(self.queue.add(_waiting("c"), 1.0, 0.0))
        self.assertTrue(self.queue.add(_waiting("urgent", 0), 1.0, 0.0))

    def test_the_queue_is_bounded(self) -> None:
        """Guards against memory that grows with the load."""
        for number in range(MAX_WAITING):
            self.assertTrue(self.queue.add(_waiting(str(number)), 1e6, 0.0))
        self.assertFalse(self.queue.add(_waiting("x", 0), 1e6, 0.0))

    def test_late_requests_are_taken_once(self) -> None:
        """Guards against requests that start too late, or are answered twice."""
        self.queue.add(_waiting("a", latest_start=1.0), 9.0, 0.0)
        self.queue.add(_waiting("b", latest_start=2.0), 9.0, 0.0)
        self.assertEqual([], self.queue.take_late(0.9))
        self.assertEqual(["a"], [late.item for late in self.queue.take_late(1.0)])
        self.assertEqual([], self.queue.take_late(1.0))
        self.assertFalse(self.queue.remove("a"))
        self.assertEqual("b", self._first())


class FirstEventTimesTest(TestCase):
    def test_estimate_follows_recent_times(self) -> None:
        """Guards against waits that leave a server too little time."""
        times = FirstEventTimes()
        self.assertLess(times.estimate("s", 0.4), 0.4)
        for _ in range(100):
            times.record("s", 0.3)
        self.assertAlmostEqual(0.3, times.estimate("s", 0.4), places=2)
        for _ in range(50):
            times.record("s", 0.1)
            times.record("s", 0.5)
        self.assertGreater(times.estimate("s", 0.4), 0.4)
