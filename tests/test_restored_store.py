"""The program `lacewing-direct-entry` before a store restored from an older copy."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

from testtools import TestCase

from lacewingcleat.store_view import REWRITE_SECONDS
from tests.entry_process import (
    EntryProcess,
    make_config_item,
    make_route_item,
    run_entries,
    run_entry,
    wait_for,
)
from tests.platform_fakes import FakeServer, FakeStore, closing_all

# Seconds within which a configuration has to be in force, and after which a server that
# the restored store does not have counts as gone.
APPLY_SECONDS = 2.0
GRACE_SECONDS = 2.0
REVOCATION_SECONDS = 5.0


def _versions(entry: EntryProcess) -> list[int]:
    return [line["version"] for line in entry.log_lines("config")]


@contextmanager
def _fleet_before(
    *servers: FakeServer,
) -> Iterator[tuple[FakeStore, list[EntryProcess]]]:
    store = FakeStore()
    store.put("op/config", make_config_item())
    for server in servers:
        store.put(f"servers/{server.name}", server.store_record(server.service))
    with closing_all(store, *servers), run_entries(store, 1) as entries:
        yield store, entries


class RestoredStoreTest(TestCase):
    def _call_until_served(
        self, entry: EntryProcess, path: str, key: str, seconds: float
    ) -> bool:
        return wait_for(
            lambda: entry.call(path, key=key)[0].status == 200, seconds=seconds
        )

    def test_a_config_below_the_watched_revision_is_put_in_force(self) -> None:
        """Guards against a watch that goes on in a store that has overtaken it."""
        with run_entry(FakeServer("i-1")) as (entry, store):
            copy = store.copy()
            store.put("unrelated", "lost")
            self.assertTrue(wait_for(lambda: entry.readiness_status() == 200))
            time.sleep(0.5)
            with store.restoring(copy):
                store.put("op/config", make_config_item(2, ("k2",)))
                store.put("unrelated", "new")
            served = self._call_until_served(entry, "/get/x", "k2", APPLY_SECONDS)
            self.assertTrue(served, entry.output.read_text())
            self.assertNotEqual(200, entry.call("/get/x", key="k")[0].status)
            denied = wait_for(
                lambda: entry.call("/get/x", key="k")[0].status == 401,
                REWRITE_SECONDS + 1.0,
            )
            self.assertTrue(denied, entry.output.read_text())

    def test_a_server_that_was_lost_with_the_store_is_dropped(self) -> None:
        """Guards against requests to a server that the restored store lacks."""
        lost = FakeServer("i-2", service="t")
        with run_entry(FakeServer("i-1")) as (entry, store):
            copy = store.copy()
            store.put("servers/i-2", lost.store_record("t"))
            self.assertTrue(wait_for(lambda: len(entry.log_lines("server")) == 2))
            self.assertEqual(200, entry.call("/other/x")[0].status)
            with store.restoring(copy):
                store.put("unrelated", "new")
                store.put("unrelated", "newer")
            gone = wait_for(lambda: entry.log_lines("server gone"), GRACE_SECONDS + 1.0)
            self.assertTrue(gone, entry.output.read_text())
            self.assertEqual(503, entry.call("/other/x")[0].status)
            lost.close()

    def test_a_server_that_registers_again_is_used_meanwhile(self) -> None:
        """Guards against refusals after an outage too short to be noticed otherwise."""
        server = FakeServer("i-2", service="t")
        with run_entry(FakeServer("i-1")) as (entry, store):
            copy = store.copy()
            store.put("servers/i-2", server.store_record("t"))
            self.assertTrue(wait_for(lambda: len(entry.log_lines("server")) == 2))
            with store.restoring(copy):
                pass
            statuses = set()
            register_at = time.monotonic() + GRACE_SECONDS / 2.0
            end = time.monotonic() + 1.5 * GRACE_SECONDS
            while time.monotonic() < end:
                if register_at is not None and time.monotonic() >= register_at:
                    store.put("servers/i-2", server.store_record("t"))
                    register_at = None
                statuses.add(entry.call("/other/x")[0].status)
                time.sleep(0.05)
            self.assertEqual({200}, statuses)
            server.close()

    def _check_that_the_copy_revives_nobody(self, state: str) -> None:
        leaving, other = FakeServer("i-1"), FakeServer("i-2")
        with run_entry(leaving, other) as (entry, store):
            copy = store.copy()
            if state == "draining":
                store.put("servers/i-1", leaving.store_record("s", state))
            else:
                store.remove("servers/i-1")
            event = "server" if state == "draining" else "server missing"
            expected = 3 if state == "draining" else 1
            self.assertTrue(wait_for(lambda: len(entry.log_lines(event)) == expected))
            with store.restoring(copy):
                pass
            for number in range(30):
                entry.call("/get/x", request_id=f"g{number}")
                time.sleep(0.05)
            self.assertEqual([], leaving.served_requests)
            self.assertEqual(30, len(other.served_requests))

    def test_the_copy_revives_no_draining_server(self) -> None:
        """Guards against requests to a server that is draining."""
        self._check_that_the_copy_revives_nobody("draining")

    def test_the_copy_revives_no_removed_server(self) -> None:
        """Guards against requests to a server that was removed before the restore."""
        self._check_that_the_copy_revives_nobody("removed")

    def test_an_entry_that_starts_meanwhile_admits_no_removed_key(self) -> None:
        """Guards against an older configuration that a new entry takes for current."""
        server = FakeServer("i-1")
        with _fleet_before(server) as (store, entries):
            copy = store.copy()
            store.put("op/config", make_config_item(2, ("k2",)))
            self.assertTrue(wait_for(lambda: _versions(entries[0]) == [1, 2]))
            time.sleep(REVOCATION_SECONDS)
            with store.restoring(copy):
                pass
            entry = EntryProcess(
                store, entries[0].folder, "front-2", (entries[0].control_address,)
            )
            entries.append(entry)
            self.assertTrue(wait_for(lambda: _versions(entry) == [1], 10.0))
            statuses = {entry.call("/get/x")[0].status for _ in range(20)}
            self.assertEqual({503}, statuses)
            self.assertEqual([], server.served_requests)
            store.put("op/config", make_config_item(2, ("k2",)))
            served = self._call_until_served(entry, "/get/x", "k2", APPLY_SECONDS)
            self.assertTrue(served, entry.output.read_text())
            self.assertEqual(401, entry.call("/get/x")[0].status)

    def test_an_added_route_is_not_denied_before_it_is_written_again(self) -> None:
        """Guards against 404 for a route whose configuration the store has lost.

        The entry was cut off from the store while the route was added.
        """
        with run_entry(FakeServer("i-1")) as (entry, store):
            copy = store.copy()
            with store.restoring(copy):
                pass
            # What the entry finds when it lists the restored store may be a copy.
            self.assertTrue(wait_for(lambda: entry.log_lines("store listed")[1:]))
            statuses = {entry.call("/added/x")[0].status for _ in range(10)}
            self.assertEqual({503}, statuses)
            config = make_config_item(2)
            config["routes"] = [make_route_item("added", "idempotent")]
            store.put("op/config", config)
            served = self._call_until_served(entry, "/added/x", "k", APPLY_SECONDS)
            self.assertTrue(served, entry.output.read_text())
            self.assertEqual(404, entry.call("/get/x")[0].status)

    def test_a_removal_that_no_entry_has_read_holds_after_an_outage(self) -> None:
        """Guards against a key whose removal was confirmed and then lost."""
        server = FakeServer("i-1")
        with run_entry(server) as (entry, store):
            copy = store.copy()
            store.down = True
            store.put("op/config", make_config_item(2, ("k2",)))
            removed_at = time.monotonic()
            with store.restoring(copy):
                time.sleep(REVOCATION_SECONDS)
            statuses = set()
            while time.monotonic() < removed_at + REVOCATION_SECONDS + 1.5:
                statuses.add(entry.call("/get/x")[0].status)
                time.sleep(0.05)
            self.assertEqual({503}, statuses)
            self.assertEqual([], server.served_requests)
            store.put("op/config", make_config_item(2, ("k2",)))
            served = self._call_until_served(entry, "/get/x", "k2", APPLY_SECONDS)
            self.assertTrue(served, entry.output.read_text())

    def test_a_second_restore_is_noticed(self) -> None:
        """Guards against an entry that follows only the first restore."""
        with run_entry(FakeServer("i-1")) as (entry, store):
            copy = store.copy()
            for version in (2, 3):
                store.put("unrelated", "lost")
                time.sleep(0.5)
                with store.restoring(copy):
                    store.put("op/config", make_config_item(version, (f"k{version}",)))
                    store.put("unrelated", "new")
                key = f"k{version}"
                served = self._call_until_served(entry, "/get/x", key, APPLY_SECONDS)
                self.assertTrue(served, entry.output.read_text())
