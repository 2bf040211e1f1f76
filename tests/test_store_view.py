"""Store view: completeness, age and detection of outages."""

from testtools import TestCase

from lacewingcleat.store_items import (
    HistoryCompacted,
    ListPage,
    ListRead,
    ReadFailure,
    WatchChanges,
    WatchRead,
)
from lacewingcleat.store_view import MIN_OUTAGE_SECONDS, StoreView
from tests.builders_direct import make_item


class StoreViewTest(TestCase):
    def _view_after_listing(self) -> StoreView:
        view = StoreView()
        view.next_read(0.0)
        view.apply_response(
            ListPage((make_item("a", 3), make_item("b", 5)), False, 7), 0.0, 0.1
        )
        return view

    def test_age_starts_when_the_read_is_sent(self) -> None:
        """Guards against an age that does not include the response time of a read."""
        view = StoreView()
        view.next_read(0.0)
        view.apply_response(ListPage((), False, 1), 1.0, 3.0)
        self.assertEqual(2.0, view.age(3.0))

    def test_a_watch_overtaken_by_a_refresh_restores_nothing(self) -> None:
        """Guards against a server that reappears after it was removed.

        The watch was answered with the item, the refresh then with its removal; the
        response to the refresh arrived first.
        """
        view = self._view_after_listing()
        refresh = view.refresh_read()
        self.assertEqual(WatchRead(7, 0.0), refresh)
        removal = WatchChanges((make_item("c", 8), make_item("c", 9, None)), 9)
        view.apply_refresh(removal, 1.0, 1.1)
        change = view.apply_response(WatchChanges((make_item("c", 8),), 8), 0.5, 1.2)
        self.assertEqual((), change.keys)
        self.assertNotIn("c", view.item_by_key)
        self.assertAlmostEqual(0.2, view.age(1.2))

    def test_no_refresh_before_the_first_listing(self) -> None:
        """Guards against a refresh that counts as proof of an incomplete view."""
        self.assertIs(None, StoreView().refresh_read())

    def test_watch_starts_at_the_revision_of_the_first_page(self) -> None:
        """Guards against missing a change made between two pages of a listing."""
        view = StoreView()
        view.next_read(0.0)
        view.apply_response(ListPage((make_item("a", 3),), True, 7), 0.0, 0.1)
        read, _ = view.next_read(0.1)
        self.assertEqual(ListRead("a"), read)
        view.apply_response(ListPage((make_item("b", 9),), False, 11), 0.1, 0.2)
        read, _ = view.next_read(0.2)
        self.assertIsInstance(read, WatchRead)
        assert isinstance(read, WatchRead)
        self.assertEqual(7, read.after_revision)
        # The page already contains the later change at revision 9.
        view.apply_response(WatchChanges((make_item("b", 8, b"old"),), 11), 0.2, 0.3)
        self.assertEqual(9, view.item_by_key["b"].revision)

    def test_compacted_history_is_listed_again_and_items_stay(self) -> None:
        """Guards against an empty view while the store is listed again.

        The store has compacted the changes since the last watch.
        """
        view = self._view_after_listing()
        view.apply_response(HistoryCompacted(), 1.0, 1.1)
        self.assertEqual({"a", "b"}, set(view.item_by_key))
        read, _ = view.next_read(1.1)
        self.assertIsInstance(read, ListRead)
        change = view.apply_response(ListPage((make_item("a", 3),), False, 9), 1.1, 1.2)
        self.assertEqual(("b",), change.keys)

    def test_watch_without_changes_is_no_outage(self) -> None:
        """Guards against a watch without changes that is mistaken for an outage.

        Servers whose records are removed after an outage get a grace period, so a
        request was sent to a server 2,128 ms after its record had been removed.
        """
        view = self._view_after_listing()
        change = view.apply_response(WatchChanges((), 7), 0.1, 2.9)
        self.assertFalse(change.after_outage)

    def test_failed_reads_are_an_outage(self) -> None:
        """Guards against dropping servers whose records expired in a store outage."""
        view = self._view_after_listing()
        view.apply_response(ReadFailure("reset"), 1.0, 1.1)
        change = view.apply_response(
            WatchChanges((), 7), 1.2 + MIN_OUTAGE_SECONDS, 1.3 + MIN_OUTAGE_SECONDS
        )
        self.assertTrue(change.after_outage)
        self.assertEqual(1.3 + MIN_OUTAGE_SECONDS, view.recovered_at)

    def test_failed_reads_back_off(self) -> None:
        """Guards against retries without backoff that overload a failing store."""
        view = self._view_after_listing()
        for _ in range(20):
            view.apply_response(ReadFailure("reset"), 1.0, 1.0)
        _, wait = view.next_read(1.0)
        self.assertGreater(wait, 0.3)
