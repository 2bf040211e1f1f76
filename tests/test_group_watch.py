"""Tests of tracking which groups are open."""

from testtools import TestCase

from lacewingcleat.group_watch import FIRST_CLOSED_SECONDS, GroupWatch, RankStatus


def _status(epoch: int = 1, is_open: bool = True, rank: int = 0) -> RankStatus:
    return RankStatus("g", epoch, rank, 2, is_open, 1.0)


class GroupWatchTest(TestCase):
    def _watch(self) -> GroupWatch:
        watch = GroupWatch()
        watch.record_status("i-1", _status(), 0.0)
        watch.record_status("i-2", _status(rank=1), 0.0)
        return watch

    def test_a_refusal_closes_all_ranks(self) -> None:
        """Guards against sending a request to each rank of a closed group."""
        watch = self._watch()
        self.assertTrue(watch.record_closed("i-1", 1.0))
        self.assertFalse(watch.is_open("i-2"))

    def test_a_report_of_the_same_epoch_opens_late(self) -> None:
        """Guards against a group that reports itself open but refuses every request."""
        watch = self._watch()
        watch.record_closed("i-1", 1.0)
        watch.record_status("i-2", _status(), 1.1)
        self.assertFalse(watch.is_open("i-1"))
        watch.record_status("i-2", _status(), 1.0 + FIRST_CLOSED_SECONDS)
        self.assertTrue(watch.is_open("i-1"))

    def test_a_new_epoch_opens_at_once(self) -> None:
        """Guards against leaving a newly formed group idle."""
        watch = self._watch()
        watch.record_closed("i-1", 1.0)
        watch.record_status("i-2", _status(epoch=2), 1.1)
        self.assertTrue(watch.is_open("i-1"))

    def test_an_old_epoch_is_no_news(self) -> None:
        """Guards against a late report of a previous formation."""
        watch = self._watch()
        watch.record_status("i-1", _status(epoch=3), 1.0)
        watch.record_status("i-2", _status(epoch=2, is_open=False), 1.1)
        self.assertTrue(watch.is_open("i-1"))

    def test_open_groups_are_not_asked(self) -> None:
        """Guards against polling for reports that affect no decision."""
        self.assertEqual([], self._watch().due(["i-1", "i-2"], 5.0))

    def test_unknown_servers_are_asked_now_and_then(self) -> None:
        """Guards against servers whose group is never discovered."""
        watch = GroupWatch()
        self.assertEqual(["i-9"], watch.due(["i-9"], 5.0))
        self.assertEqual([], watch.due(["i-9"], 5.1))
        self.assertEqual(["i-9"], watch.due(["i-9"], 6.1))
