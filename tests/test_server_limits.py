"""Servers that name the requests per second that they take from all entries."""

import time

from testtools import TestCase

from tests.entry_process import EntryProcess, add_entry, run_entries
from tests.fleet_simulation import STABILITY_SECONDS
from tests.limited_servers import (
    LIMIT_PER_SECOND,
    WINDOW_SECONDS,
    LimitedServers,
    allowed_arrivals,
    busiest_window,
)
from tests.steady_callers import SteadyCallers

REQUESTS_PER_SECOND = 6.0


class ServerLimitTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.servers = LimitedServers(4)
        self.addCleanup(self.servers.close)

    def _call(self, entries: list[EntryProcess], seconds: float) -> None:
        callers = SteadyCallers(entries, REQUESTS_PER_SECOND)
        time.sleep(seconds)
        callers.stop()
        self.assertEqual({200}, callers.statuses)

    def _arrivals_after(self, moment: float) -> list[float]:
        return [at for at in self.servers.arrivals if at >= moment]

    def test_entries_together_keep_to_the_limit_of_a_server(self) -> None:
        """Guards against a server in need that gets its limit from each entry."""
        with run_entries(self.servers.store, 3) as entries:
            self._call(entries, STABILITY_SECONDS)
            named_at = time.monotonic()
            self._call(entries, 2.0 * WINDOW_SECONDS)
            most = busiest_window(self._arrivals_after(named_at))
            self.assertLessEqual(most, allowed_arrivals(LIMIT_PER_SECOND))
            self.assertGreater(len(self._arrivals_after(named_at)), 0)

    def test_entries_that_join_keep_to_the_limit(self) -> None:
        """Guards against an excess by entries that have not had an answer yet."""
        with run_entries(self.servers.store, 2) as entries:
            self._call(entries, STABILITY_SECONDS)
            for _ in range(2):
                store, folder = self.servers.store, entries[0].folder
                entries.append(add_entry(store, folder, entries))
            named_at = time.monotonic()
            self._call(entries, 2.0 * WINDOW_SECONDS)
            most = busiest_window(self._arrivals_after(named_at))
            self.assertLessEqual(most, allowed_arrivals(LIMIT_PER_SECOND))

    def test_server_is_used_again_after_its_need(self) -> None:
        """Guards against sparing a server that names no limit any more."""
        with run_entries(self.servers.store, 3) as entries:
            self._call(entries, STABILITY_SECONDS)
            self.servers.is_limited = False
            self._call(entries, STABILITY_SECONDS)
            ended_at = time.monotonic()
            self._call(entries, WINDOW_SECONDS)
            arrivals = len(self._arrivals_after(ended_at))
            self.assertGreater(arrivals, 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS)
