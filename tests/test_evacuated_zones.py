"""Zones that the operator evacuates, in front of `lacewing-direct-entry`."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from urllib.request import urlopen

from testtools import TestCase

from lacewingcleat.store_view import REWRITE_SECONDS
from tests.entry_process import EntryProcess, make_config_item, run_entries, run_entry
from tests.platform_fakes import (
    FakeServer,
    FakeStore,
    ReceivedRequest,
    closing_all,
    encode_chunk,
    encode_stream_head,
)

ORDER = "op/evacuate/z"
# Well below the 5 s within which an order has to be in force.
APPLY_SECONDS = 1.5
# Time within which callers that are refused get their response.
AT_ONCE_SECONDS = 0.5
RETURN_SECONDS = 15.0
CALL_COUNT = 20


def _make_servers() -> tuple[FakeServer, FakeServer]:
    """Make a server in the entry's own zone and one elsewhere."""
    return FakeServer("i-1"), FakeServer("i-2", zone="y")


class EvacuatedZoneTest(TestCase):
    def _call(self, entry: EntryProcess, count: int = CALL_COUNT) -> set[int]:
        return {
            entry.call("/get/x", request_id=f"g{number}")[0].status
            for number in range(count)
        }

    def _check_avoided(
        self, entry: EntryProcess, inside: FakeServer, outside: FakeServer
    ) -> None:
        inside.served_requests.clear()
        outside.served_requests.clear()
        self.assertEqual({200}, self._call(entry))
        self.assertEqual(0, len(inside.served_requests))
        self.assertEqual(CALL_COUNT, len(outside.served_requests))

    def _check_returned(self, entry: EntryProcess, inside: FakeServer) -> None:
        inside.served_requests.clear()
        until = time.monotonic() + RETURN_SECONDS
        while time.monotonic() < until and not inside.served_requests:
            self.assertEqual({200}, self._call(entry, 2))
        self.assertNotEqual([], inside.served_requests)

    def test_an_order_that_is_watched(self) -> None:
        """Guards against requests to a zone that is evacuated, and after it returns."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            self._check_returned(entry, inside)
            store.put(ORDER, {})
            time.sleep(APPLY_SECONDS)
            self._check_avoided(entry, inside, outside)
            store.remove(ORDER)
            self._check_returned(entry, inside)

    def test_the_value_of_an_order_is_not_read(self) -> None:
        """Guards against an order that is overlooked because of its value."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            store.put(ORDER, b"\xff[")
            time.sleep(APPLY_SECONDS)
            self._check_avoided(entry, inside, outside)

    def test_an_order_that_is_listed(self) -> None:
        """Guards against an entry that starts and does not know of an order."""
        inside, outside = _make_servers()
        store = FakeStore()
        store.put("op/config", make_config_item())
        store.put(ORDER, {})
        for server in (inside, outside):
            store.put(f"servers/{server.name}", server.store_record("s"))
        with closing_all(store, inside, outside), run_entries(store, 1) as entries:
            self._check_avoided(entries[0], inside, outside)

    def test_an_order_found_by_a_later_listing(self) -> None:
        """Guards against an order that was written while no change could be read."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            store.down = True
            time.sleep(2.0)
            store.put(ORDER, {})
            store.compact()
            store.down = False
            time.sleep(APPLY_SECONDS)
            self._check_avoided(entry, inside, outside)

    def test_an_order_written_and_removed_while_the_store_is_away(self) -> None:
        """Guards against orders that an outage of the store starts or ends."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            store.down = True
            time.sleep(0.5)
            store.put(ORDER, {})
            time.sleep(1.0)
            store.down = False
            time.sleep(APPLY_SECONDS)
            self._check_avoided(entry, inside, outside)
            store.down = True
            time.sleep(0.5)
            store.remove(ORDER)
            time.sleep(1.0)
            self._check_avoided(entry, inside, outside)
            store.down = False
            self._check_returned(entry, inside)

    def test_an_order_that_a_restored_store_lacks_for_a_moment(self) -> None:
        """Guards against the end of an evacuation by a copy that is too old."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            copy = store.copy()
            store.put(ORDER, {})
            time.sleep(APPLY_SECONDS)
            with store.restoring(copy):
                pass
            restored_at = time.monotonic()
            inside.served_requests.clear()
            while time.monotonic() < restored_at + REWRITE_SECONDS * 0.8:
                self.assertEqual({200}, self._call(entry, 2))
            store.put(ORDER, {})
            while time.monotonic() < restored_at + REWRITE_SECONDS + 1.5:
                self.assertEqual({200}, self._call(entry, 2))
            self.assertEqual([], inside.served_requests)

    def test_an_order_that_a_restored_store_has_lost(self) -> None:
        """Guards against an evacuation that never ends."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            copy = store.copy()
            store.put(ORDER, {})
            time.sleep(APPLY_SECONDS)
            self._check_avoided(entry, inside, outside)
            with store.restoring(copy):
                pass
            self._check_returned(entry, inside)

    def test_an_order_that_is_removed_and_written_again(self) -> None:
        """Guards against an order that is lost between two reads of the store."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            store.put(ORDER, {})
            time.sleep(APPLY_SECONDS)
            for pause in (0.0, 0.05, 0.4):
                store.remove(ORDER)
                time.sleep(pause)
                store.put(ORDER, {})
                time.sleep(APPLY_SECONDS)
                self._check_avoided(entry, inside, outside)

    def test_all_zones_are_evacuated(self) -> None:
        """Guards against callers that wait for a zone that is not coming back."""
        inside, outside = _make_servers()
        with run_entry(inside, outside) as (entry, store):
            store.put(ORDER, {})
            store.put("op/evacuate/y", {})
            time.sleep(APPLY_SECONDS)
            started_at = time.monotonic()
            response, _ = entry.call("/get/x")
            self.assertLess(time.monotonic() - started_at, AT_ONCE_SECONDS)
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.headers["Retry-After"]), 0.0)
            self.assertEqual([], inside.served_requests + outside.served_requests)
            store.remove("op/evacuate/y")
            time.sleep(APPLY_SECONDS)
            self._check_avoided(entry, inside, outside)

    def test_a_zone_without_servers(self) -> None:
        """Guards against an order that affects any other zone."""
        with run_entry(FakeServer("i-1")) as (entry, store):
            for key in ("op/evacuate/x", "op/evacuate/", "op/evacuate"):
                store.put(key, {})
            time.sleep(APPLY_SECONDS)
            self.assertEqual({200}, self._call(entry))


class ExplanationTest(TestCase):
    def test_a_refusal_names_its_reasons(self) -> None:
        """Guards against callers that are refused without a reason in the log."""
        inside, outside = _make_servers()
        outside.response_headers = ("Server-Leaving: 1",)
        with run_entry(inside, outside) as (entry, store):
            store.put(ORDER, {})
            time.sleep(APPLY_SECONDS)
            self.assertEqual(200, entry.call("/get/x")[0].status)
            self.assertEqual(503, entry.call("/get/x", request_id="q2")[0].status)
            served, refused = entry.log_lines("request")
            self.assertNotIn("unusable", served)
            self.assertEqual({"evacuated": 1, "leaving": 1}, refused["unusable"])
            address = f"http://127.0.0.1:{entry.ready_port}/metrics"
            metrics = urlopen(address).read().decode()
            for reason in ("evacuated", "leaving"):
                name = "lacewing_direct_unusable_servers"
                self.assertIn(f'{name}{{reason="{reason}"}} 1.0', metrics)
            self.assertIn('lacewing_direct_evacuated_seconds{zone="z"}', metrics)
            store.remove(ORDER)
            time.sleep(APPLY_SECONDS)
            metrics = urlopen(address).read().decode()
            self.assertNotIn('lacewing_direct_evacuated_seconds{zone="z"}', metrics)


class _StreamServers:
    """Servers whose first stream waits after its first event until told to go on.

    :ivar served: names of the servers in the order of their requests.
    """

    def __init__(self, breaks_off: bool) -> None:
        self._breaks_off = breaks_off
        self.may_go_on = threading.Event()
        self.served: list[str] = []
        self.fakes = (
            FakeServer("i-1", self._serve),
            FakeServer("i-2", self._serve, zone="y"),
            FakeServer("i-3", self._serve),
            FakeServer("i-4", self._serve),
        )

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        self.served.append(request.headers["x-expect-instance"])
        stream.sendall(encode_stream_head(request))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, 4):
            if number == 2 and len(self.served) == 1:
                self.may_go_on.wait(5.0)
                if self._breaks_off:
                    return False
            stream.sendall(encode_chunk(b"id: %d\ndata: x\n\n" % number))
        stream.sendall(b"0\r\n\r\n")
        return True


class StreamInEvacuatedZoneTest(TestCase):
    @contextmanager
    def _evacuating(self, breaks_off: bool) -> Iterator[_StreamServers]:
        """Evacuate the zone of a stream that has begun, and check its end."""
        servers = _StreamServers(breaks_off)
        bodies: list[bytes] = []
        with run_entry(*servers.fakes) as (entry, store):
            store.put("op/evacuate/y", {})
            time.sleep(APPLY_SECONDS)
            caller = threading.Thread(
                target=lambda: bodies.append(entry.call("/stream/x")[1])
            )
            caller.start()
            time.sleep(0.3)
            store.remove("op/evacuate/y")
            store.put(ORDER, {})
            time.sleep(0.7)
            servers.may_go_on.set()
            caller.join()
            yield servers
        expected = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 4))
        self.assertEqual([expected], bodies)

    def test_a_stream_goes_on(self) -> None:
        """Guards against an order that cuts off what is running."""
        with self._evacuating(False) as servers:
            self.assertEqual(1, len(servers.served))

    def test_a_stream_that_breaks_off_is_resumed_elsewhere(self) -> None:
        """Guards against a resumption in the zone that is evacuated."""
        with self._evacuating(True) as servers:
            self.assertEqual("i-2", servers.served[1])
            self.assertNotEqual("i-2", servers.served[0])
