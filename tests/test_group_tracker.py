"""Tests of tracking which groups are open."""

from testtools import TestCase

from lacewingcleat.group_tracker import (
    FORM_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    INITIAL_CLOSED_SECONDS,
    GroupTracker,
    RankStatus,
)


def _status(epoch: int = 1, is_open: bool = True, rank: int = 0) -> RankStatus:
    return RankStatus("g", epoch, rank, 2, is_open, 1.0)


class GroupTrackerTest(TestCase):
    def _make_tracker(self) -> GroupTracker:
        watch = GroupTracker()
        watch.record_status("i-1", _status(), 0.0)
        watch.record_status("i-2", _status(rank=1), 0.0)
        return watch

    def test_a_refusal_closes_all_ranks(self) -> None:
        """Guards against sending a request to each rank of a closed group."""
        watch = self._make_tracker()
        self.assertTrue(watch.record_refusal("i-1", 1.0))
        self.assertFalse(watch.is_open("i-2"))

    def test_report_of_same_epoch_opens_after_backoff(self) -> None:
        """Guards against a group that reports itself open but refuses every request."""
        watch = self._make_tracker()
        watch.record_refusal("i-1", 1.0)
        watch.record_status("i-2", _status(), 1.1)
        self.assertFalse(watch.is_open("i-1"))
        watch.record_status("i-2", _status(), 1.0 + INITIAL_BACKOFF_SECONDS)
        self.assertTrue(watch.is_open("i-1"))

    def test_a_new_epoch_opens_at_once(self) -> None:
        """Guards against leaving a newly formed group idle."""
        watch = self._make_tracker()
        watch.record_refusal("i-1", 1.0)
        watch.record_status("i-2", _status(epoch=2), 1.1)
        self.assertTrue(watch.is_open("i-1"))

    def test_old_epoch_is_ignored(self) -> None:
        """Guards against a late report of a previous formation."""
        watch = self._make_tracker()
        watch.record_status("i-1", _status(epoch=3), 1.0)
        watch.record_status("i-2", _status(epoch=2, is_open=False), 1.1)
        self.assertTrue(watch.is_open("i-1"))

    def test_open_groups_are_not_polled(self) -> None:
        """Guards against polling for reports that affect no decision."""
        self.assertEqual(
            [], self._make_tracker().select_servers_to_poll(["i-1", "i-2"], 5.0)
        )

    def test_unknown_servers_are_polled_periodically(self) -> None:
        """Guards against servers whose group is never discovered."""
        watch = GroupTracker()
        self.assertEqual(["i-9"], watch.select_servers_to_poll(["i-9"], 5.0))
        self.assertEqual([], watch.select_servers_to_poll(["i-9"], 5.1))
        self.assertEqual(["i-9"], watch.select_servers_to_poll(["i-9"], 6.1))

    def test_a_closed_group_opens_soon_after_its_last_rank_is_back(self) -> None:
        """Guards against callers who retry long after a group is open, or before."""
        watch = self._make_tracker()
        self.assertEqual(1.0, watch.expected_open_at("g", 1.0))
        watch.record_refusal("i-1", 1.0)
        watch.select_servers_to_poll(["i-2"], 1.2)
        self.assertAlmostEqual(
            1.0 + INITIAL_CLOSED_SECONDS, watch.expected_open_at("g", 1.2)
        )
        watch.select_servers_to_poll(["i-1", "i-2"], 3.0)
        self.assertAlmostEqual(3.0 + FORM_SECONDS, watch.expected_open_at("g", 3.1))
        watch.record_status("i-1", _status(epoch=2), 3.7)
        self.assertEqual(4.0, watch.expected_open_at("g", 4.0))

    def test_a_rank_that_is_lost_again_postpones_the_return(self) -> None:
        """Guards against a time that was derived from ranks that are gone again."""
        watch = self._make_tracker()
        watch.record_refusal("i-1", 1.0)
        watch.select_servers_to_poll(["i-1", "i-2"], 2.0)
        watch.select_servers_to_poll(["i-2"], 2.2)
        self.assertAlmostEqual(
            1.0 + INITIAL_CLOSED_SECONDS, watch.expected_open_at("g", 2.3)
        )

    def test_a_group_forms_only_while_all_ranks_are_there(self) -> None:
        """Guards against callers who are told a time that is only a guess."""
        watch = self._make_tracker()
        self.assertTrue(watch.is_group_open("g"))
        watch.record_refusal("i-1", 1.0)
        watch.select_servers_to_poll(["i-2"], 1.2)
        self.assertFalse(watch.is_group_open("g"))
        self.assertIsNone(watch.forms_until("g", 1.3))
        watch.select_servers_to_poll(["i-1", "i-2"], 3.0)
        formed_at = watch.forms_until("g", 3.1)
        self.assertIsNotNone(formed_at)
        self.assertAlmostEqual(3.0 + FORM_SECONDS, formed_at)
        self.assertIsNone(watch.forms_until("g", 3.0 + FORM_SECONDS))

    def test_usual_closures_are_learned(self) -> None:
        """Guards against telling callers the same time whatever groups need."""
        watch = self._make_tracker()
        now = 0.0
        for epoch in range(2, 14):
            watch.record_refusal("i-1", now)
            now += 8.0
            watch.record_status("i-1", _status(epoch=epoch), now)
            now += 10.0
        watch.record_refusal("i-1", now)
        self.assertAlmostEqual(now + 8.0, watch.expected_open_at("g", now), delta=0.5)
        # A group that is closed for longer than usual is never expected in the past.
        self.assertGreater(watch.expected_open_at("g", now + 60.0), now + 60.0)
