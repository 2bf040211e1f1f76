"""Groups that close and open."""

from testtools import TestCase

from lacewingcleat.group_tracker import (
    INITIAL_BACKOFF_SECONDS,
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
        """Guards against trying each rank of a closed group in turn."""
        watch = self._make_tracker()
        self.assertTrue(watch.record_refusal("i-1", 1.0))
        self.assertFalse(watch.is_open("i-2"))

    def test_report_of_same_epoch_opens_after_backoff(self) -> None:
        """Guards against a group that reports itself open and refuses everything."""
        watch = self._make_tracker()
        watch.record_refusal("i-1", 1.0)
        watch.record_status("i-2", _status(), 1.1)
        self.assertFalse(watch.is_open("i-1"))
        watch.record_status("i-2", _status(), 1.0 + INITIAL_BACKOFF_SECONDS)
        self.assertTrue(watch.is_open("i-1"))

    def test_a_new_epoch_opens_at_once(self) -> None:
        """Guards against leaving a group idle that was formed anew."""
        watch = self._make_tracker()
        watch.record_refusal("i-1", 1.0)
        watch.record_status("i-2", _status(epoch=2), 1.1)
        self.assertTrue(watch.is_open("i-1"))

    def test_old_epoch_is_ignored(self) -> None:
        """Guards against a late report of a former formation."""
        watch = self._make_tracker()
        watch.record_status("i-1", _status(epoch=3), 1.0)
        watch.record_status("i-2", _status(epoch=2, is_open=False), 1.1)
        self.assertTrue(watch.is_open("i-1"))

    def test_open_groups_are_not_polled(self) -> None:
        """Guards against paying for reports that decide nothing."""
        self.assertEqual(
            [], self._make_tracker().select_servers_to_poll(["i-1", "i-2"], 5.0)
        )

    def test_unknown_servers_are_polled_periodically(self) -> None:
        """Guards against servers whose group is never learned."""
        watch = GroupTracker()
        self.assertEqual(["i-9"], watch.select_servers_to_poll(["i-9"], 5.0))
        self.assertEqual([], watch.select_servers_to_poll(["i-9"], 5.1))
        self.assertEqual(["i-9"], watch.select_servers_to_poll(["i-9"], 6.1))
