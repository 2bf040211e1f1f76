"""Items of another writer among the servers, read by `lacewing-direct-entry`."""

import time

from testtools import TestCase

from tests.entry_process import make_config_item, run_entries, run_entry, wait_for
from tests.odd_store_items import ODD_VALUE_BY_KIND
from tests.platform_fakes import FakeServer, FakeStore, closing_all

APPLY_SECONDS = 2.0


class OddStoreItemsTest(TestCase):
    def test_a_removed_key_is_refused_beside_odd_items(self) -> None:
        """Guards against a removal that is lost with an odd item of the same read.

        The key went on working until a later version was read in full.
        """
        server = FakeServer("i-1")
        with run_entry(server) as (entry, store):
            for version, odd in enumerate(ODD_VALUE_BY_KIND.values(), start=2):
                store.put("servers/a", odd)
                store.put("op/config", make_config_item(version, (f"k{version}",)))
                removed = "k" if version == 2 else f"k{version - 1}"
                time.sleep(0.05)
                store.put("servers/a", odd + b" ")
                applied = wait_for(
                    lambda key=removed: entry.call("/get/x", key=key)[0].status == 401,
                    APPLY_SECONDS,
                )
                self.assertTrue(applied, odd[:40])
            self.assertEqual([], entry.log_lines("store reads ended"))

    def test_an_entry_that_starts_beside_odd_items_serves(self) -> None:
        """Guards against an entry that learns of no server listed after an odd item."""
        store, server = FakeStore(), FakeServer("i-1")
        store.put("op/config", make_config_item())
        for number, odd in enumerate(ODD_VALUE_BY_KIND.values()):
            store.put(f"servers/a-{number}", odd)
        store.put("servers/i-1", server.store_record("s"))
        with closing_all(store, server), run_entries(store, 1) as entries:
            (entry,) = entries
            self.assertTrue(wait_for(lambda: entry.log_lines("server")))
            response, body = entry.call("/get/x")
            self.assertEqual((200, b"answer of i-1"), (response.status, body))

    def test_requests_are_served_beside_odd_items(self) -> None:
        """Guards against an odd item that makes each choice of a server fail."""
        server = FakeServer("i-1")
        with run_entry(server) as (entry, store):
            for number, odd in enumerate(ODD_VALUE_BY_KIND.values()):
                store.put(f"servers/a-{number}", odd)
            expected = len(ODD_VALUE_BY_KIND)
            self.assertTrue(
                wait_for(lambda: len(entry.log_lines("malformed server")) == expected)
            )
            for number in range(10):
                response, _ = entry.call("/get/x", request_id=f"q{number}")
                self.assertEqual(200, response.status)

    def test_a_server_that_leaves_beside_an_odd_item_gets_no_more_requests(
        self,
    ) -> None:
        """Guards against a leaving server that is missed with an odd item."""
        servers = [FakeServer("i-1"), FakeServer("i-2")]
        with run_entry(*servers) as (entry, store):
            for odd in ODD_VALUE_BY_KIND.values():
                store.put("servers/a", odd)
            store.put("servers/i-1", servers[0].store_record("s", "draining"))
            time.sleep(APPLY_SECONDS)
            before = len(servers[0].served_requests)
            for number in range(20):
                entry.call("/get/x", request_id=f"q{number}")
            self.assertEqual(before, len(servers[0].served_requests))
