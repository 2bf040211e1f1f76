from testtools import TestCase

from lacewingcleat.load_view import LEADER_SILENCE_SECONDS, LoadView, RequestCost
from tests.builders_routing import make_report, make_target

TARGET = make_target()
COST = RequestCost(0.5, 0.5)


class LoadViewTest(TestCase):
    def test_delayed_and_duplicated_reports_are_dropped(self) -> None:
        """Guards against an old report that replaces a newer one."""
        view = LoadView()
        self.assertTrue(view.apply_report(make_report(sequence=2), "a", 1.0))
        late = make_report(sequence=1, queued_seconds=9.0)
        self.assertFalse(view.apply_report(late, "a", 1.1))
        self.assertFalse(view.apply_report(make_report(sequence=2), "a", 1.2))
        self.assertEqual(0.0, view.estimate(TARGET, 1.2).queued_seconds)

    def test_replaced_incarnation_cannot_report(self) -> None:
        """Guards against a paused agent whose successor already reports."""
        view = LoadView()
        view.apply_report(make_report(sequence=7), "old", 1.0)
        view.apply_report(make_report(sequence=1, queued_seconds=2.0), "new", 1.5)
        self.assertFalse(view.apply_report(make_report(sequence=8), "old", 1.6))
        self.assertEqual(2.0, view.estimate(TARGET, 1.5).queued_seconds)

    def test_earlier_leader_returns_when_its_successor_is_silent(self) -> None:
        """Guards against a view that stays blind after leadership moves back."""
        view = LoadView()
        view.apply_report(make_report(sequence=7), "old", 1.0)
        view.apply_report(make_report(sequence=1), "new", 1.5)
        later = 1.6 + LEADER_SILENCE_SECONDS
        self.assertTrue(view.apply_report(make_report(sequence=8), "old", later))

    def test_sends_since_the_report_are_added(self) -> None:
        """Guards against herding onto the target with the best old report."""
        view = LoadView()
        view.record_send(TARGET, COST, 1.0)
        view.record_send(TARGET, COST, 2.0)
        view.apply_report(make_report(age=0.5, running=3), "a", 2.0)
        load = view.estimate(TARGET, 2.0)
        self.assertEqual(4, load.running)
        self.assertEqual(1.0, load.queued_seconds)

    def test_finish_counts_once(self) -> None:
        """Guards against a doubled end that hides another running request."""
        view = LoadView()
        first = view.record_send(TARGET, COST, 1.0)
        view.record_send(TARGET, COST, 1.0)
        view.record_finish(first, 2.0)
        view.record_finish(first, 2.0)
        self.assertEqual(1, view.estimate(TARGET, 2.0).running)

    def test_pause_discards_reports_but_not_sequences(self) -> None:
        """Guards against decisions from views older than a pause."""
        view = LoadView()
        view.apply_report(make_report(sequence=5, queued_seconds=3.0), "a", 1.0)
        view.discard_reports()
        self.assertFalse(view.estimate(TARGET, 9.0).has_fresh_report)
        self.assertFalse(view.apply_report(make_report(sequence=5), "a", 9.0))
        self.assertTrue(view.apply_report(make_report(sequence=6), "a", 9.0))
