"""Decisions about the memory and connections of clients."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.memory_budget import (
    BASE_BYTES,
    BYTES_PER_MB,
    CHECK_INTERVAL_SECONDS,
    FILE_DESCRIPTOR_RESERVE,
    LARGE_REQUEST_SHARE,
    MAX_REFUSED_CONNECTIONS,
    MAX_WAIT_SECONDS,
    MIN_BYTES_PER_SECOND,
    SLOW_CHECKS,
    SMALL_REQUEST_BYTES,
    Client,
    CutReason,
    MemoryBudget,
    ProcessLimits,
    derive_limits,
)
from lacewingcleat.platform.settings_file import decode_settings
from lacewingcleat.settings import load_entry_settings
from tests.entry_process import BOUNDS

MEGABYTE = 1 << 20
LIMITS = {"memory_mb": 152.5, "file_descriptors": 1535}
LIMIT = 8 * MEGABYTE


class _Clients:
    """Make clients of a budget and record what happens to them."""

    def __init__(self, limits: ProcessLimits) -> None:
        self.budget = MemoryBudget(limits)
        self.resumed: list[Client] = []
        self.cuts: list[tuple[Client, CutReason]] = []

    def make(self, now: float = 0.0) -> Client:
        """Make a client with an open connection."""
        client = Client(
            now,
            lambda: self.resumed.append(client),
            lambda reason: self._cut(client, reason),
        )
        self.budget.open(client)
        return client

    def _cut(self, client: Client, reason: CutReason) -> None:
        self.cuts.append((client, reason))
        self.budget.close(client)


class MemoryBudgetTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clients = _Clients(ProcessLimits(bytes_held=LIMIT))
        self.budget = self.clients.budget

    def _reserve(self, size: int, now: float = 0.0) -> tuple[Client, bool]:
        client = self.clients.make(now)
        return client, self.budget.reserve(client, size, now)

    def _check_for(self, start: float, seconds: float) -> float:
        now = start
        while now < start + seconds:
            now += CHECK_INTERVAL_SECONDS
            self.budget.check(now)
        return now

    def test_large_requests_wait_within_their_part_of_the_budget(self) -> None:
        """Guards against large bodies that together exceed the budget."""
        admitted = [self._reserve(2 * MEGABYTE)[1] for _ in range(6)]
        self.assertEqual([True] * 3 + [False] * 3, admitted)
        self.assertLessEqual(self.budget.held_bytes, LIMIT * LARGE_REQUEST_SHARE)

    def test_small_requests_pass_large_ones(self) -> None:
        """Guards against an ordinary request that waits behind large bodies."""
        for _ in range(6):
            self._reserve(2 * MEGABYTE)
        count = int(LIMIT * (1 - LARGE_REQUEST_SHARE)) // SMALL_REQUEST_BYTES
        for _ in range(count):
            self.assertTrue(self._reserve(SMALL_REQUEST_BYTES)[1])
        self.assertFalse(self._reserve(SMALL_REQUEST_BYTES)[1])

    def test_a_single_request_beyond_the_budget_is_served(self) -> None:
        """Guards against a configured body limit that the budget never allows."""
        client, admitted = self._reserve(4 * LIMIT)
        self.assertTrue(admitted)
        self.assertFalse(self._reserve(2 * MEGABYTE)[1])
        self.assertTrue(self._reserve(1000)[1])
        self.budget.close(client)
        self.assertEqual(1, len(self.clients.resumed))

    def test_no_bound_without_limits(self) -> None:
        """Guards against deployments that are bounded without asking for it."""
        self.clients = _Clients(derive_limits(None, None))
        self.budget = self.clients.budget
        self.assertTrue(all(self._reserve(64 * MEGABYTE)[1] for _ in range(2000)))
        self._check_for(0.0, 60.0)
        self.assertEqual([], self.clients.cuts)

    def test_released_memory_goes_to_those_that_wait(self) -> None:
        """Guards against requests that wait though memory is free."""
        first, _ = self._reserve(6 * MEGABYTE)
        second, _ = self._reserve(3 * MEGABYTE)
        third, _ = self._reserve(3 * MEGABYTE)
        self.budget.complete_request(first, 3 * MEGABYTE)
        self.assertEqual([second], self.clients.resumed)
        self.budget.end_request(first, 1.0)
        self.assertEqual([second, third], self.clients.resumed)

    def test_a_client_that_stops_sending_makes_room(self) -> None:
        """Guards against bodies one byte short that keep all others from memory."""
        stalled = [self._reserve(2 * MEGABYTE)[0] for _ in range(3)]
        waiting, _ = self._reserve(2 * MEGABYTE)
        now = self._check_for(0.0, CHECK_INTERVAL_SECONDS * SLOW_CHECKS)
        ((cut, reason),) = self.clients.cuts
        self.assertIn(cut, stalled)
        self.assertEqual(CutReason.SLOW_REQUEST, reason)
        self.assertEqual([waiting], self.clients.resumed)
        self._check_for(now, CHECK_INTERVAL_SECONDS)
        self.assertEqual(1, len(self.clients.cuts))

    def test_the_largest_slow_client_is_cut_off_first(self) -> None:
        """Guards against cutting many small clients where one large one suffices."""
        small, _ = self._reserve(MEGABYTE)
        large, _ = self._reserve(4 * MEGABYTE)
        self._reserve(2 * MEGABYTE)
        self._check_for(0.0, CHECK_INTERVAL_SECONDS * SLOW_CHECKS)
        self.assertEqual([large], [client for client, _ in self.clients.cuts])
        self.assertEqual(MEGABYTE, small.reserved_bytes)

    def test_a_client_that_sends_steadily_is_kept(self) -> None:
        """Guards against cutting off clients that make progress."""
        steady = [self._reserve(2 * MEGABYTE)[0] for _ in range(3)]
        self._reserve(2 * MEGABYTE)
        now = 0.0
        while now < MAX_WAIT_SECONDS - CHECK_INTERVAL_SECONDS:
            now += CHECK_INTERVAL_SECONDS
            for client in steady:
                client.moved_bytes += MIN_BYTES_PER_SECOND
            self.budget.check(now)
        self.assertEqual([], self.clients.cuts)

    def test_slow_clients_are_kept_while_memory_is_free(self) -> None:
        """Guards against cutting off slow clients that harm nobody."""
        self._reserve(2 * MEGABYTE)
        self._check_for(0.0, 60.0)
        self.assertEqual([], self.clients.cuts)

    def test_a_request_at_a_server_is_not_slow(self) -> None:
        """Guards against cutting off callers that wait for a slow server."""
        served = [self._reserve(2 * MEGABYTE)[0] for _ in range(3)]
        for client in served:
            self.budget.complete_request(client, 2 * MEGABYTE)
        waiting, _ = self._reserve(2 * MEGABYTE)
        self._check_for(0.0, MAX_WAIT_SECONDS)
        self.assertEqual([(waiting, CutReason.NO_MEMORY)], self.clients.cuts)

    def test_unread_responses_beyond_the_budget_are_cut_off(self) -> None:
        """Guards against responses of any size that are kept for callers."""
        reading, stalled = self.clients.make(), self.clients.make()
        self.budget.set_unread(stalled, LIMIT - MEGABYTE)
        unread = MEGABYTE
        self.budget.set_unread(reading, unread)
        for step in range(1, SLOW_CHECKS + 1):
            unread -= MIN_BYTES_PER_SECOND
            self.budget.set_unread(reading, unread)
            self.budget.check(step * CHECK_INTERVAL_SECONDS)
        self.budget.reserve(self.clients.make(), MEGABYTE, 1.0)
        for step in range(SLOW_CHECKS + 1, 2 * SLOW_CHECKS + 1):
            unread -= MIN_BYTES_PER_SECOND
            self.budget.set_unread(reading, unread)
            self.budget.check(step * CHECK_INTERVAL_SECONDS)
        self.assertEqual([(stalled, CutReason.UNREAD_RESPONSE)], self.clients.cuts)
        self.assertEqual(unread + MEGABYTE, self.budget.held_bytes)

    def test_a_burst_of_responses_stays_within_the_budget(self) -> None:
        """Guards against responses that arrive faster than the checks."""
        for _ in range(40):
            self.budget.set_unread(self.clients.make(), MEGABYTE)
            self.assertLessEqual(self.budget.held_bytes, LIMIT)
        self.assertEqual(40 - LIMIT // MEGABYTE, len(self.clients.cuts))

    def test_a_single_response_beyond_the_budget_is_kept(self) -> None:
        """Guards against a response that could never be delivered."""
        client = self.clients.make()
        self.budget.set_unread(client, 2 * LIMIT)
        self.assertEqual([], self.clients.cuts)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["reserve", "complete", "end", "close", "check"]),
                st.integers(0, 5),
                st.integers(0, 4 * MEGABYTE),
            ),
            max_size=60,
        )
    )
    def test_any_order_of_events(self, steps: list[tuple[str, int, int]]) -> None:
        """Guards against sums that drift and clients that wait for free memory."""
        self.clients = clients = _Clients(ProcessLimits(bytes_held=LIMIT))
        self.budget = budget = clients.budget
        slots = [clients.make() for _ in range(6)]
        for number, (action, index, size) in enumerate(steps):
            now = number * 0.3
            client = slots[index]
            if any(cut is client for cut, _ in clients.cuts):
                client = slots[index] = clients.make(now)
            match action:
                case "reserve" if not client.waiting_bytes and not client.is_served:
                    budget.reserve(client, size, now)
                case "complete" if not client.waiting_bytes:
                    budget.complete_request(client, min(size, client.reserved_bytes))
                case "end":
                    budget.end_request(client, now)
                case "close":
                    budget.close(client)
                    slots[index] = clients.make(now)
                case "check":
                    budget.check(now)
            self.assertLessEqual(budget.held_bytes, LIMIT)
        for client in slots:
            budget.close(client)
        self.assertEqual((0, 0), (budget.held_bytes, budget.waiting_count))


class ConnectionsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clients = _Clients(ProcessLimits(connections=3))
        self.budget = self.clients.budget

    def test_connections_never_served_make_room_first(self) -> None:
        """Guards against idle connections that keep callers out."""
        kept = self.clients.make(0.0)
        self.budget.complete_request(kept, 0)
        self.budget.end_request(kept, 1.0)
        uploading = self.clients.make(0.0)
        self.budget.reserve(uploading, 1000, 0.0)
        silent = self.clients.make(5.0)
        for expected in (silent, kept, uploading):
            self.budget.complete_request(self.clients.make(6.0), 0)
            self.assertEqual(expected, self.clients.cuts[-1][0])
        self.assertEqual(3, self.budget.connection_count)

    def test_a_connection_is_closing_while_all_are_served(self) -> None:
        """Guards against cutting off requests in progress for new connections."""
        for _ in range(3):
            self.budget.complete_request(self.clients.make(), 0)
        refused = [self.clients.make() for _ in range(100)]
        self.assertTrue(all(client.is_closing for client in refused))
        self.assertLessEqual(
            self.budget.connection_count, 3 + MAX_REFUSED_CONNECTIONS + 1
        )


class DeriveLimitsTest(TestCase):
    def test_bounds_stay_within_the_instance(self) -> None:
        """Guards against bounds that exceed the memory or the descriptors."""
        for memory_mb in (100, 152, 200, 552, 4000):
            limits = derive_limits(memory_mb, None)
            held = (limits.bytes_held or 0) + (limits.response_bytes or 0)
            free = memory_mb * BYTES_PER_MB - BASE_BYTES
            self.assertLess(held, max(free, memory_mb * BYTES_PER_MB / 4))
        for descriptors in (300, 1535, 4100, 8192):
            limits = derive_limits(None, descriptors)
            usable = descriptors - FILE_DESCRIPTOR_RESERVE
            # One connection of each caller to a server, and idle ones.
            taken = 2 * (limits.connections or 0) + (limits.idle_connections or 0)
            self.assertLess(taken, usable)

    def test_nothing_is_bounded_without_settings(self) -> None:
        """Guards against other bounds in deployments without these settings."""
        self.assertEqual(ProcessLimits(), derive_limits(None, None))


class SettingsTest(TestCase):
    def test_a_direct_entry_reads_the_limits_of_its_instance(self) -> None:
        """Guards against limits of the platform that have no effect."""
        decoded = decode_settings(self._direct_file(limits=LIMITS)).unwrap()
        self.assertEqual((152.5, 1535), (decoded.memory_mb, decoded.file_descriptors))

    def test_missing_limits_bound_nothing(self) -> None:
        """Guards against a start that fails without limits or bounds without them."""
        for more in ({}, {"limits": {}}, {"limits": {"cpu_cores": 2}}):
            decoded = decode_settings(self._direct_file(**more)).unwrap()
            limits = derive_limits(decoded.memory_mb, decoded.file_descriptors)
            self.assertEqual(ProcessLimits(), limits)

    def test_senseless_limits_end_the_start(self) -> None:
        """Guards against a budget that is computed from nonsense."""
        for value in (0, -1, "152", True, 1e300):
            data = self._direct_file(limits={"memory_mb": value})
            self.assertTrue(decode_settings(data).is_err(), value)

    def _direct_file(self, **more: object) -> bytes:
        settings = {
            "node_name": "front-1",
            "zone": "z",
            "listen_addresses": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
            "bounds": BOUNDS,
            "platform": {"address": "127.0.0.1:3"},
            **more,
        }
        return json.dumps(settings).encode()

    def test_own_processes_read_the_limits_of_their_instance(self) -> None:
        """Guards against settings of entries and agents that have no effect."""
        settings = {
            "instance": "entry-1",
            "zone": "z",
            "request_address": "127.0.0.1:1",
            "control_address": "127.0.0.1:2",
            "admin_address": "127.0.0.1:3",
            "config_address": "127.0.0.1:4",
        }
        for more, expected in ((LIMITS, (152, 1535)), ({}, (None, None))):
            whole = {**settings, **more}
            if more:
                whole["memory_mb"] = 152
            read = load_entry_settings(json.dumps(whole), "x").unwrap()
            self.assertEqual(expected, (read.memory_mb, read.file_descriptors))
