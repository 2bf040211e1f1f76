"""Requests that share a segment of their prompt under which servers end."""

import time

from testtools import TestCase

from tests.crashing_servers import (
    ALLOWED_LATE_REQUESTS,
    CRASHING_SEGMENT,
    KNOWN_AFTER_CRASHES,
    STABILITY_SECONDS,
    CrashingServers,
    PromptCaller,
)
from tests.entry_process import EntryProcess, add_entry, run_entries

SHARED_SEGMENT = "aa01"


class CrashingSegmentTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.servers = CrashingServers(4)
        self.addCleanup(self.servers.close)
        self.caller = PromptCaller()

    def _call_bad(self, entry: EntryProcess) -> int:
        return self.caller.call(entry, SHARED_SEGMENT, CRASHING_SEGMENT)

    def _end_five_servers(self, entries: list[EntryProcess]) -> None:
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

    def test_segment_that_ends_servers_is_refused_by_all_entries(self) -> None:
        """Guards against ending one server after the other by similar requests."""
        with run_entries(self.servers.store, 3) as entries:
            self._end_five_servers(entries)
            late = self._count_late_requests(entries)
            self.assertLessEqual(late, ALLOWED_LATE_REQUESTS)
            self.assertEqual(503, self._call_bad(entries[0]))

    def test_sound_requests_are_served_beside_a_refused_segment(self) -> None:
        """Guards against refusing the account or the other segments as well."""
        with run_entries(self.servers.store, 2) as entries:
            self._end_five_servers(entries)
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
            self._end_five_servers(entries)
            entries.append(add_entry(self.servers.store, entries[0].folder, entries))
            time.sleep(STABILITY_SECONDS)
            late = self._count_late_requests(entries[2:])
            self.assertLessEqual(late, ALLOWED_LATE_REQUESTS)
