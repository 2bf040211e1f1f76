"""Store view: a store that is restored from an older copy of itself."""

from testtools import TestCase

from lacewingcleat.store_items import (
    HistoryCompacted,
    ListPage,
    ListRead,
    WatchChanges,
    WatchRead,
)
from lacewingcleat.store_view import REWRITE_SECONDS, StoreView
from tests.builders_direct import make_item
from tests.store_simulation import ViewSimulation


def _view(revision: int = 7) -> StoreView:
    view = StoreView()
    view.next_read(0.0)
    items = (make_item("a", 3), make_item("b", 5))
    view.apply_response(ListPage(items, False, revision, era=1), 0.0, 0.1)
    return view


class RestoredStoreViewTest(TestCase):
    def test_a_watch_that_the_restored_store_has_overtaken_is_given_up(self) -> None:
        """Guards against changes below the watched revision that are never seen."""
        view = _view()
        view.next_read(1.0)
        overtaken = WatchChanges((make_item("c", 8),), 8, era=2)
        change = view.apply_response(overtaken, 1.0, 2.0)
        self.assertEqual((), change.keys)
        self.assertEqual(2.0, view.age(2.0))
        read, wait = view.next_read(2.0)
        self.assertEqual((ListRead(""), 0.0), (read, wait))
        items = (make_item("a", 3), make_item("c", 8), make_item("d", 6))
        change = view.apply_response(ListPage(items, False, 8, era=2), 2.0, 2.1)
        self.assertEqual(("b", "c", "d"), change.keys)
        self.assertEqual(2.1, view.recovered_at)

    def test_an_item_may_be_lost_until_it_is_written_again(self) -> None:
        """Guards against denials from an old configuration of a restored store."""
        view = _view()
        self.assertFalse(view.may_be_lost("a", 0.2))
        view.next_read(1.0)
        view.apply_response(HistoryCompacted(era=2), 1.0, 1.1)
        self.assertTrue(view.may_be_lost("a", 1.1))
        view.next_read(1.1)
        items = (make_item("a", 3), make_item("b", 5))
        view.apply_response(ListPage(items, False, 6, era=2), 1.1, 1.2)
        view.next_read(1.2)
        view.apply_response(WatchChanges((make_item("b", 7),), 7, 2), 1.2, 1.3)
        self.assertTrue(view.may_be_lost("a", 1.3))
        self.assertFalse(view.may_be_lost("b", 1.3))
        self.assertFalse(view.may_be_lost("a", 1.2 + REWRITE_SECONDS))

    def test_a_refresh_that_meets_the_restored_store_leads_to_a_listing(self) -> None:
        """Guards against a watch in flight that hides the restore again."""
        view = _view()
        view.next_read(1.0)
        view.refresh_read()
        view.apply_refresh(WatchChanges((), 8, era=2), 1.0, 1.1)
        self.assertEqual(1.1, view.age(1.1))
        change = view.apply_response(WatchChanges((make_item("c", 8),), 8, 2), 1.0, 1.2)
        self.assertEqual((), change.keys)
        self.assertEqual(1.2, view.age(1.2))
        self.assertEqual(ListRead(""), view.next_read(1.2)[0])

    def test_a_late_response_of_the_former_era_proves_nothing(self) -> None:
        """Guards against changes that the store has lost."""
        view = _view()
        view.refresh_read()
        view.next_read(1.0)
        view.apply_response(HistoryCompacted(era=2), 1.0, 1.1)
        view.next_read(1.1)
        view.apply_response(ListPage((make_item("a", 3),), False, 4, 2), 1.1, 1.2)
        lost = WatchChanges((make_item("b", 9),), 9, era=1)
        change = view.apply_refresh(lost, 1.15, 1.3)
        self.assertEqual((), change.keys)
        self.assertAlmostEqual(0.2, view.age(1.3))
        self.assertEqual({"a"}, set(view.item_by_key))

    def test_a_refresh_sent_in_the_former_era_confirms_nothing(self) -> None:
        """Guards against a refresh from a revision of the former era."""
        view = _view()
        view.refresh_read()
        view.next_read(1.0)
        view.apply_response(HistoryCompacted(era=2), 1.0, 1.1)
        view.next_read(1.1)
        view.apply_response(ListPage((make_item("a", 3),), False, 4, 2), 1.1, 1.2)
        change = view.apply_refresh(WatchChanges((), 9, era=2), 1.15, 1.3)
        self.assertEqual((), change.keys)
        read, _ = view.next_read(1.3)
        assert isinstance(read, WatchRead)
        self.assertEqual(4, read.after_revision)

    def test_a_listing_over_two_eras_starts_again(self) -> None:
        """Guards against a view of items that never were in one store."""
        view = StoreView()
        view.next_read(0.0)
        view.apply_response(ListPage((make_item("a", 9),), True, 9, era=1), 0.0, 0.1)
        self.assertEqual(ListRead("a"), view.next_read(0.1)[0])
        second = ListPage((make_item("b", 4),), False, 5, era=2)
        self.assertEqual((), view.apply_response(second, 0.1, 0.2).keys)
        self.assertEqual({}, view.item_by_key)
        self.assertEqual(ListRead(""), view.next_read(0.2)[0])

    def test_a_store_behind_its_own_revision_is_listed(self) -> None:
        """Guards against a restored store that does not say so."""
        view = _view()
        view.next_read(1.0)
        change = view.apply_response(WatchChanges((), 6), 1.0, 1.1)
        self.assertEqual((), change.keys)
        self.assertEqual(1.1, view.age(1.1))
        self.assertEqual(ListRead(""), view.next_read(1.1)[0])

    def test_what_a_view_proves_was_in_the_store(self) -> None:
        """Guards against lost changes in any order of reads, writes and restores."""
        for seed in range(300):
            simulation = ViewSimulation(seed)
            for _ in range(40):
                simulation.step()
                self.assertEqual([], simulation.outdated_keys(), seed)
            simulation.settle()
            self.assertEqual(
                {k: e.value for k, e in simulation.contents.item_by_key.items()},
                {k: item.value for k, item in simulation.view.item_by_key.items()},
                seed,
            )
