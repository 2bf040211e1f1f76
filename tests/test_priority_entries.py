"""Admission by priority in two programs `lacewing-direct-entry` before one server."""

import itertools
import threading
import time
from collections import Counter

from testtools import TestCase

from tests.entry_process import (
    EntryProcess,
    make_config_item,
    make_route_item,
    run_entries,
    wait_for,
)
from tests.platform_fakes import FakeServer, FakeStore, closing_all

URGENT_PRIORITY, BATCH_PRIORITY = 0, 3
LOAD_SECONDS = 4.0
SERVER_SECONDS = 0.15


class PriorityEntriesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.numbers = itertools.count()
        self.counts: Counter[tuple[str, int]] = Counter()

    def _call_repeatedly(
        self, entry: EntryProcess, route: str, pause: float, until: float
    ) -> None:
        while time.monotonic() < until:
            number = next(self.numbers)
            response, _ = entry.call(f"/{route}/{number}", request_id=f"q{number}")
            self.counts[route, response.status] += 1
            time.sleep(pause)

    def test_urgent_callers_of_another_entry_are_served_first(self) -> None:
        """Guards against an entry that fills the servers with its own batch work.

        The batch callers of one entry ask for several times what the server can do, the
        urgent ones of the other entry for less.
        """
        config = make_config_item()
        config["routes"] = [
            make_route_item("get", "idempotent", priority=BATCH_PRIORITY),
            make_route_item("order", "non_idempotent", priority=URGENT_PRIORITY),
        ]
        store, server = FakeStore(), FakeServer("i-1", delay=SERVER_SECONDS)
        store.put("op/config", config)
        store.put("servers/i-1", server.store_record("s"))
        with closing_all(store, server), run_entries(store, 2) as entries:
            for entry in entries:
                self.assertTrue(wait_for(lambda e=entry: e.log_lines("server")))
            until = time.monotonic() + LOAD_SECONDS
            threads = [
                threading.Thread(
                    target=self._call_repeatedly, args=(entries[number], *call, until)
                )
                for number, call, count in (
                    (0, ("get", 0.1), 24),
                    (1, ("order", 0.4), 5),
                )
                for _ in range(count)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            line = entries[0].log_lines("refused by priority")[0]
        self.assertEqual({200, 503}, {status for _, status in self.counts})
        shares = {
            route: self.counts[route, 200]
            / (self.counts[route, 200] + self.counts[route, 503])
            for route in ("get", "order")
        }
        self.assertGreater(shares["order"], shares["get"], self.counts)
        self.assertEqual(11 * BATCH_PRIORITY, line["rank"])
        for name in ("share", "capacity", "demand", "occupancy", "age"):
            self.assertIn(name, line)
        sent = {
            (request.target.split("/")[1], request.headers["x-request-priority"])
            for request in server.served_requests
        }
        self.assertEqual({("get", "3"), ("order", "0")}, sent)
