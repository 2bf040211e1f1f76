"""Requests that share a segment of their prompt that crashes servers."""

import socket
import time
from collections.abc import Callable

from testtools import TestCase

from tests.crashing_servers import (
    ALLOWED_LATE_REQUESTS,
    CRASHING_SEGMENT,
    KNOWN_AFTER_CRASHES,
    CrashingServers,
    PromptCaller,
)
from tests.entry_process import (
    EntryProcess,
    add_entry,
    make_config_item,
    run_entries,
)
from tests.fleet_simulation import STABILITY_SECONDS
from tests.platform_fakes import (
    FakeServer,
    FakeStore,
    ReceivedRequest,
    closing_all,
    encode_chunk,
    encode_stream_head,
    encode_unframed_stream_head,
)

SHARED_SEGMENT = "aa01"


class CrashingSegmentTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.servers = CrashingServers(4)
        self.addCleanup(self.servers.close)
        self.caller = PromptCaller()

    def _call_bad(self, entry: EntryProcess) -> int:
        return self.caller.call(entry, SHARED_SEGMENT, CRASHING_SEGMENT)

    def _crash_five_servers(self, entries: list[EntryProcess]) -> None:
        for number in range(3 * KNOWN_AFTER_CRASHES):
            if len(set(self.servers.reached)) >= KNOWN_AFTER_CRASHES:
                break
            self._call_bad(entries[number % len(entries)])
            self.caller.call(entries[number % len(entries)], SHARED_SEGMENT)
        time.sleep(STABILITY_SECONDS)

    def _count_late_requests(self, entries: list[EntryProcess]) -> int:
        reached_before = len(self.servers.reached)
        for number in range(4 * len(entries)):
            self._call_bad(entries[number % len(entries)])
        return len(self.servers.reached) - reached_before

    def test_segment_that_crashes_servers_is_refused_by_all_entries(self) -> None:
        """Guards against similar requests that crash one server after the other."""
        with run_entries(self.servers.store, 3) as entries:
            self._crash_five_servers(entries)
            late = self._count_late_requests(entries)
            self.assertLessEqual(late, ALLOWED_LATE_REQUESTS)
            self.assertEqual(503, self._call_bad(entries[0]))

    def test_sound_requests_are_served_beside_a_refused_segment(self) -> None:
        """Guards against refusing the account or the other segments as well."""
        with run_entries(self.servers.store, 2) as entries:
            self._crash_five_servers(entries)
            reached_before = len(self.servers.reached)
            statuses = []
            for number in range(20):
                entry = entries[number % 2]
                self._call_bad(entry)
                statuses.append(self.caller.call(entry, SHARED_SEGMENT))
            self.assertEqual([200] * 20, statuses)
            late = len(self.servers.reached) - reached_before
            self.assertLessEqual(late, ALLOWED_LATE_REQUESTS)

    def test_entries_that_join_or_restart_refuse_the_segment(self) -> None:
        """Guards against a new process that starts without what the others know."""
        with run_entries(self.servers.store, 2) as entries:
            self._crash_five_servers(entries)
            entries.append(add_entry(self.servers.store, entries[0].folder, entries))
            time.sleep(STABILITY_SECONDS)
            late = self._count_late_requests(entries[2:])
            self.assertLessEqual(late, ALLOWED_LATE_REQUESTS)

    def test_order_that_crashes_servers_is_refused_by_all_entries(self) -> None:
        """Guards against copies of one request that crash a server each."""
        with run_entries(self.servers.store, 3) as entries:
            statuses = [
                self.caller.call(
                    entries[number % 3],
                    f"c{number}",
                    CRASHING_SEGMENT,
                    path="/order/x",
                    body=b"same",
                )
                for number in range(9)
            ]
            self.assertEqual([503] * 3, statuses[-3:])
            self.assertLessEqual(len(self.servers.reached), KNOWN_AFTER_CRASHES)


class PlannedExitTest(TestCase):
    def test_request_is_retried_after_the_exit_of_a_leaving_server(self) -> None:
        """Guards against taking a planned exit for a crash by the request."""
        store = FakeStore()
        store.put("op/config", make_config_item())

        def leave(request: ReceivedRequest, stream: socket.socket) -> bool:
            store.put("servers/i-1", leaving.store_record("s", "draining"))
            time.sleep(0.3)
            stream.sendall(encode_stream_head(request))
            leaving.crash()
            return False

        def serve(request: ReceivedRequest, stream: socket.socket) -> bool:
            event = encode_chunk(b"id: 1\ndata: x\n\n")
            stream.sendall(encode_stream_head(request) + event + b"0\r\n\r\n")
            return True

        leaving, other = FakeServer("i-1", leave), FakeServer("i-2", serve)
        caller = PromptCaller()
        with closing_all(store, leaving, other), run_entries(store, 1) as entries:
            for server in (leaving, other):
                store.put(f"servers/{server.name}", server.store_record("s"))
            time.sleep(1.0)
            statuses = [caller.call(entries[0], f"new{number}") for number in range(8)]
        self.assertEqual([200] * 8, statuses)


class UnframedAnswerTest(TestCase):
    def _count_reached(self, write_start: Callable[[ReceivedRequest], bytes]) -> int:
        servers = CrashingServers(4, write_start)
        self.addCleanup(servers.close)
        caller = PromptCaller()
        with run_entries(servers.store, 1) as entries:
            statuses = [
                caller.call(entries[0], SHARED_SEGMENT, CRASHING_SEGMENT)
                for _ in range(10)
            ]
        self.assertNotIn(200, statuses)
        return len(servers.reached)

    def test_end_after_the_head_of_an_unframed_stream_is_no_answer(self) -> None:
        """Guards against an empty success in place of an answer that broke off."""
        reached = self._count_reached(encode_unframed_stream_head)
        self.assertLessEqual(reached, KNOWN_AFTER_CRASHES)

    def test_end_inside_the_first_event_of_an_unframed_stream_is_no_answer(
        self,
    ) -> None:
        """Guards against passing on half an event as a complete stream."""
        reached = self._count_reached(
            lambda request: encode_unframed_stream_head(request) + b"id: 1\ndat"
        )
        self.assertLessEqual(reached, KNOWN_AFTER_CRASHES)
