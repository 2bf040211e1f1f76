"""Shares of what cold servers accept, alone and in fleets that are disturbed."""

import math
from collections.abc import Sequence

from testtools import TestCase

from lacewingcleat.cold_servers import (
    DISCOVERY_SECONDS,
    MEMORY_SECONDS,
    STARTED_SECONDS,
    SUSPENDED_SECONDS,
    WINDOW_SECONDS,
    ColdServers,
    _divide,
)
from tests.cold_fakes import allowed_arrivals, busiest_second
from tests.cold_simulation import ColdFleet, ColdTrial

PER_SECOND = 26.0
# Callers per second of all entries; many more than a cold server accepts.
FLOOD = 150.0
SEEDS = (1, 2)


def _run(cold: ColdServers, others: Sequence[str], start: float, end: float) -> None:
    """Update the known entries as often as a running entry does."""
    for step in range(math.ceil((end - start) * 4) + 1):
        cold.set_entries(others, start + step / 4.0)


class ColdServersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cold = ColdServers("e1", expects_peers=False)
        _run(self.cold, (), 0.0, 1.0)

    def _send_all(self, start: float, seconds: float) -> list[float]:
        """Send whenever it is allowed and return the times."""
        sent = []
        for step in range(int(seconds * 100)):
            now = start + step / 100.0
            if step % 25 == 0:
                self.cold.set_entries((), now)
            if self.cold.may_send("i", now):
                self.cold.take("i", now)
                sent.append(now)
        return sent

    def test_a_server_is_cold_for_its_time(self) -> None:
        """Guards against a server that is spared for ever, or not at all."""
        self.assertTrue(self.cold.may_send("i", 1.0))
        self.assertTrue(self.cold.record("i", 3.0, PER_SECOND, 1.0))
        self.assertTrue(self.cold.is_cold("i", 3.9))
        self.assertFalse(self.cold.may_send("i", 1.0))
        self.assertEqual(4.0, self.cold.warm_at("i", 1.5))
        self.assertFalse(self.cold.is_cold("i", 4.0))
        self.assertTrue(self.cold.may_send("i", 4.0))
        self.assertEqual(5.0, self.cold.warm_at("i", 5.0))

    def test_a_lone_entry_uses_the_rate(self) -> None:
        """Guards against sparing a cold server more than it needs."""
        self.cold.record("i", 3.0, PER_SECOND, 1.0)
        sent = self._send_all(1.0, 3.0)
        self.assertLessEqual(busiest_second(sent), allowed_arrivals(PER_SECOND))
        self.assertGreaterEqual(len(sent), 0.85 * 3.0 * PER_SECOND)

    def test_no_rate_and_no_time_limit_nothing(self) -> None:
        """Guards against servers that are spared without `cold_per_s`."""
        self.assertFalse(self.cold.record("i", 3.0, 0.0, 1.0))
        self.assertFalse(self.cold.record("i", 0.0, PER_SECOND, 1.0))
        self.cold.suspect("i", 3.0, 0.0, 1.0)
        self.assertTrue(self.cold.may_send("i", 1.0))
        self.assertEqual([], self.cold.shares(1.0))

    def test_a_later_record_only_extends_the_time(self) -> None:
        """Guards against a record of before a restart that ends the cold time."""
        self.cold.record("i", 3.0, PER_SECOND, 1.0)
        self.assertFalse(self.cold.record("i", 0.5, PER_SECOND, 1.5))
        self.assertEqual(4.0, self.cold.warm_at("i", 1.5))
        self.assertFalse(self.cold.record("i", 3.0, PER_SECOND, 2.0))
        self.assertEqual(5.0, self.cold.warm_at("i", 2.0))

    def test_a_server_that_restarts_again_gets_no_new_allowance(self) -> None:
        """Guards against a full share after each of several restarts in a second."""
        sent = []
        for step in range(300):
            now = 1.0 + step / 100.0
            if step % 10 == 0:
                self.cold.record("i", 3.0, PER_SECOND, now)
            sent += [now] * self.cold.may_send("i", now)
            if sent and sent[-1] == now:
                self.cold.take("i", now)
        self.assertLessEqual(busiest_second(sent), allowed_arrivals(PER_SECOND))

    def test_a_suspected_server_is_limited_and_not_avoided(self) -> None:
        """Guards against a store outage that makes all servers second choice."""
        self.cold.suspect("i", 3.0, PER_SECOND, 1.0)
        self.assertFalse(self.cold.is_cold("i", 1.0))
        sent = self._send_all(1.0, 2.9)
        self.assertLessEqual(busiest_second(sent), allowed_arrivals(PER_SECOND))
        self.assertEqual([], self.cold.expire(9.0))

    def test_warm_servers_are_told_once(self) -> None:
        """Guards against memory and log lines of servers that have long been warm."""
        self.cold.record("i", 3.0, PER_SECOND, 1.0)
        self.assertEqual([], self.cold.expire(3.9))
        self.assertEqual(["i"], [share.server for share in self.cold.expire(4.0)])
        self.assertEqual([], self.cold.expire(4.1))
        self.cold.record("i", 3.0, PER_SECOND, 5.0)
        self.cold.retain(())
        self.assertEqual([], self.cold.shares(5.0))

    def test_owners_and_rates_keep_the_bound(self) -> None:
        """Guards against rates at which one request more fits into a second."""
        for bound in (0.4, 1.0, 5.0, 22.0, 29.33, 44.0):
            for entries in (1, 2, 3, 8, 13, 20, 25, 29, 67, 350):
                for rate in (0.5, 4.0, 19.5, PER_SECOND):
                    count, share = _divide(rate, bound, entries)
                    most = count * math.floor(1.0 + share * WINDOW_SECONDS)
                    self.assertLessEqual(most, bound, (bound, entries, rate))
                    self.assertLessEqual(count * share, rate + 1e-6)
                    self.assertLessEqual(count, entries)


class KnownEntriesTest(TestCase):
    def _share(self, cold: ColdServers, now: float) -> float:
        return sum(share.per_second for share in cold.shares(now))

    def _start(self, others: Sequence[str], seconds: float) -> ColdServers:
        cold = ColdServers("e0")
        _run(cold, others, 0.0, seconds)
        cold.record("i", 9999.0, PER_SECOND, seconds)
        return cold

    def test_an_entry_that_starts_first_finds_its_peers(self) -> None:
        """Guards against entries that restart together and each think to be alone."""
        cold = self._start(("e1",), DISCOVERY_SECONDS - 0.5)
        self.assertEqual(0.0, self._share(cold, 1.5))
        _run(cold, ("e1",), 1.75, DISCOVERY_SECONDS + 0.25)
        self.assertGreater(self._share(cold, DISCOVERY_SECONDS + 0.25), 0.0)

    def test_an_entry_that_still_finds_peers_waits(self) -> None:
        """Guards against owners chosen from a part of a large fleet."""
        cold = self._start(("e1",), DISCOVERY_SECONDS + 0.5)
        cold.set_entries([f"e{number}" for number in range(8)], 2.75)
        self.assertEqual(0.0, self._share(cold, 2.75))

    def test_an_entry_that_has_found_no_peer_sends_nothing(self) -> None:
        """Guards against a fleet whose entries never hear each other."""
        cold = self._start((), 10.0)
        self.assertEqual(0.0, self._share(cold, 10.0))
        self.assertFalse(cold.may_send("i", 10.0))

    def test_shares_grow_after_the_first_minute(self) -> None:
        """Guards against entries that never use the whole rate."""
        cold = self._start(("e1",), STARTED_SECONDS - 1.0)
        before = self._share(cold, STARTED_SECONDS - 1.0)
        _run(cold, ("e1",), STARTED_SECONDS - 0.75, STARTED_SECONDS + 1.0)
        self.assertGreater(self._share(cold, STARTED_SECONDS + 1.0), before)

    def test_lost_peers_reduce_the_share_for_an_hour(self) -> None:
        """Guards against both halves of a fleet taking over the whole rate."""
        peers = [f"e{number}" for number in range(1, 8)]
        cold = self._start(peers, 100.0)
        _run(cold, peers[:1], 100.25, 110.0)
        reduced = self._share(cold, 110.0)
        self.assertLessEqual(reduced, PER_SECOND * 1.5 * 2.0 / 8.0)
        _run(cold, peers[:1], 110.0, 2.2 * MEMORY_SECONDS)
        self.assertGreater(self._share(cold, 2.2 * MEMORY_SECONDS), reduced)

    def test_a_suspended_entry_counts_as_started(self) -> None:
        """Guards against an entry that wakes up and uses a share taken over since."""
        cold = self._start(("e1",), 100.0)
        self.assertTrue(cold.may_send("i", 102.0))
        woken_at = 100.0 + SUSPENDED_SECONDS + 1.0
        self.assertFalse(cold.may_send("i", woken_at))
        _run(cold, ("e1",), woken_at, woken_at + DISCOVERY_SECONDS - 0.5)
        self.assertEqual(0.0, self._share(cold, woken_at + 1.5))
        _run(cold, ("e1",), woken_at + 1.75, woken_at + DISCOVERY_SECONDS + 0.5)
        self.assertGreater(self._share(cold, woken_at + 3.0), 0.0)


class ColdFleetTest(TestCase):
    def _start_fleet(self, count: int, seed: int) -> ColdFleet:
        fleet = ColdFleet(count, seed, PER_SECOND)
        fleet.settle()
        return fleet

    def _check(
        self, fleet: ColdFleet, case: object, seconds: float = 3.0, late: float = 0.0
    ) -> ColdTrial:
        """Play a cold server and check the bound."""
        trial = fleet.add_cold_server(seconds, late)
        fleet.advance(seconds, FLOOD)
        most = busiest_second(trial.arrivals)
        self.assertLessEqual(most, allowed_arrivals(PER_SECOND), case)
        return trial

    def _check_all(self, fleet: ColdFleet) -> None:
        for number, trial in enumerate(fleet.trials):
            most = busiest_second(trial.arrivals)
            self.assertLessEqual(most, allowed_arrivals(PER_SECOND), number)

    def test_calm_fleets_use_the_allowance(self) -> None:
        """Guards against cold servers that get hardly any requests.

        A cold time of 3 s includes the spread of its record over the entries and the
        time until the first request of each owner.
        """
        for count in (8, 29, 67, 98):
            fleet = self._start_fleet(count, 1)
            trial = self._check(fleet, count, 6.0)
            started_at = trial.warm_at - 6.0
            by_second = [
                sum(math.floor(at - started_at) == second for at in trial.arrivals)
                for second in range(6)
            ]
            self.assertGreater(by_second[0], 0.3 * PER_SECOND, (count, by_second))
            # The full share is in use from the second second on.
            used = sum(by_second[1:]) / (5.0 * PER_SECOND)
            self.assertGreater(used, 0.8, (count, by_second))

    def test_callers_get_through_at_half_of_the_allowance(self) -> None:
        """Guards against callers that find no entry with a share while some are free.

        The only servers of a service are cold; a refused caller tries another entry
        every 50 ms.
        """
        for count in (8, 29, 67, 98):
            fleet = self._start_fleet(count, 1)
            for _ in range(3):
                fleet.add_cold_server(8.0)
            fleet.advance(2.0, 0.0)
            fleet.advance(5.0, 0.5 * 3 * PER_SECOND)
            waits = sorted(fleet.waits)
            self.assertGreater(len(waits), 0.9 * 5.0 * 0.5 * 3 * PER_SECOND, count)
            self.assertLess(waits[len(waits) // 2], 0.25, count)
            self.assertLess(waits[int(len(waits) * 0.95)], 1.0, count)

    def test_records_that_arrive_late(self) -> None:
        """Guards against an excess by entries that hear of a start 2 s late."""
        for count in (8, 29, 67, 98):
            for seed in SEEDS:
                fleet = self._start_fleet(count, seed)
                self._check(fleet, (count, seed), late=2.0)

    def _play_halves(self, *counts: int) -> None:
        for count in counts:
            for seed in SEEDS:
                fleet = self._start_fleet(count, seed)
                fleet.divide(True)
                self._check(fleet, (count, seed, "cut"))
                fleet.advance(8.0, 0.0)
                self._check(fleet, (count, seed, "peers removed"), 4.0)
                # What half of the fleet restarts into.
                for number in range(0, count, 2):
                    fleet.start_entry(number)
                self._check(fleet, (count, seed, "restarted"), 6.0)
                fleet.divide(False)
                trial = self._check(fleet, (count, seed, "connected"), 6.0)
                self.assertGreater(len(trial.arrivals), 0.5 * 6.0 * PER_SECOND)

    def test_two_halves(self) -> None:
        """Guards against halves of a fleet that each use the whole allowance."""
        self._play_halves(8, 29, 67)

    def test_two_halves_of_98_entries(self) -> None:
        """Guards against the same in a larger fleet."""
        self._play_halves(98)

    def test_restart_of_most_entries(self) -> None:
        """Guards against entries that start together and know nobody."""
        for count in (8, 29, 67, 98):
            for seed in SEEDS:
                fleet = self._start_fleet(count, seed)
                for number in range(int(0.6 * count)):
                    fleet.start_entry(number)
                trial = self._check(fleet, (count, seed), 6.0)
                late_arrivals = [at for at in trial.arrivals if at > trial.warm_at - 2]
                self.assertGreater(len(late_arrivals), 0.6 * 2.0 * PER_SECOND)

    def test_first_start_of_all_entries(self) -> None:
        """Guards against a fleet that starts together with its servers."""
        for count in (8, 29, 67, 98):
            for seed in SEEDS:
                fleet = ColdFleet(count, seed, PER_SECOND)
                trial = self._check(fleet, (count, seed), 6.0)
                late_arrivals = [at for at in trial.arrivals if at > trial.warm_at - 2]
                self.assertGreater(len(late_arrivals), 0.6 * 2.0 * PER_SECOND)

    def test_entries_that_freeze_and_wake(self) -> None:
        """Guards against what entries send that wake up and know an old fleet."""
        for count in (8, 29, 67, 98):
            for seed in SEEDS:
                fleet = self._start_fleet(count, seed)
                names = fleet.names()[::3]
                self._check(fleet, (count, seed, "before"), 1.0)
                fleet.add_cold_server(4.0)
                fleet.advance(1.0, FLOOD)
                fleet.freeze(names, 2.0)
                fleet.advance(3.0, FLOOD)
                fleet.freeze(names, 14.0)
                fleet.advance(12.0, 0.0)
                self._check(fleet, (count, seed, "wake"), 5.0)
                self._check_all(fleet)

    def _play_stops_and_joins(self, *counts: int) -> None:
        for count in counts:
            for seed in SEEDS:
                fleet = self._start_fleet(count, seed)
                fleet.kill(fleet.names()[::2])
                self._check(fleet, (count, seed, "stopped"))
                for number in range(count, count + count // 2):
                    fleet.start_entry(number)
                self._check(fleet, (count, seed, "joined"))
                # Stopped entries keep their shares until they are removed, after 10 s
                # at those that knew them and 10 s later at those that heard of them.
                fleet.advance(15.0, 0.0)
                trial = self._check(fleet, (count, seed, "removed"))
                self.assertGreater(len(trial.arrivals), 0.6 * 3.0 * PER_SECOND)

    def test_entries_that_stop_and_join(self) -> None:
        """Guards against shares of entries that some know and others do not."""
        self._play_stops_and_joins(8, 29, 67)

    def test_entries_that_stop_and_join_among_98(self) -> None:
        """Guards against the same in a larger fleet."""
        self._play_stops_and_joins(98)

    def test_entries_that_are_all_cut_off_from_each_other(self) -> None:
        """Guards against a share for each entry when no datagram arrives."""
        for count in (8, 29, 67, 98):
            fleet = self._start_fleet(count, 1)
            fleet.isolate()
            fleet.advance(12.0, 0.0)
            self._check(fleet, (count, "cut off"))
            for number in range(count):
                fleet.start_entry(number)
            self._check(fleet, (count, "restarted"), 4.0)


class LargeColdFleetTest(TestCase):
    """The same with the 350 entries of the target, in one run each."""

    def _check(self, fleet: ColdFleet, seconds: float) -> ColdTrial:
        trial = fleet.add_cold_server(seconds)
        fleet.advance(seconds, FLOOD)
        self.assertLessEqual(
            busiest_second(trial.arrivals), allowed_arrivals(PER_SECOND)
        )
        return trial

    def test_calm_and_restarted(self) -> None:
        """Guards against an excess of 350 entries, and a server that gets nothing."""
        fleet = ColdFleet(350, 1, PER_SECOND)
        fleet.settle()
        trial = self._check(fleet, 3.0)
        self.assertGreater(len(trial.arrivals), 0.6 * 3.0 * PER_SECOND)
        for number in range(210):
            fleet.start_entry(number)
        self._check(fleet, 5.0)

    def test_halves_and_sleepers(self) -> None:
        """Guards against halves of 350 entries, of which some have been suspended."""
        fleet = ColdFleet(350, 2, PER_SECOND)
        fleet.settle()
        fleet.divide(True)
        fleet.freeze(fleet.names()[::5], 11.5)
        fleet.advance(11.0, 0.0)
        self._check(fleet, 3.0)
        fleet.divide(False)
        self._check(fleet, 3.0)
