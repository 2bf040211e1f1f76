"""Admit requests by priority where a service lacks capacity."""

from itertools import pairwise
from random import Random

from testtools import TestCase

from bench.priority_load import Outcomes, PrioritySimulation
from lacewingcleat.priority_admission import (
    MAX_ACCOUNTS,
    MIN_SHARE_RATIO,
    OTHER_MIN_SHARE_RATIO,
    PriorityAdmission,
    ServiceDemand,
    compute_account_share,
    compute_shares,
    find_prioritized_services,
)
from lacewingcleat.request_access import Granted
from lacewingcleat.retry_after import (
    MAX_REFUSED_REQUESTS,
    MAX_WAIT_SHARE,
    RefusedRequests,
    priority_retry_after_seconds,
)
from lacewingcleat.routing_config import ConfigAccount
from tests.builders_direct import make_config, make_route

SERVICE = "s"
SIMULATED_SECONDS = 25.0
# A less urgent route may be served more often than a more urgent one by this at most.
MAX_INVERSION = 0.05
# Least share of a route, as a fraction of the mean share.
MIN_SERVED_RATIO = 0.25


def _play(entries: int, load: float, seed: int, by_priority: bool) -> Outcomes:
    simulation = PrioritySimulation(entries, load, seed, by_priority)
    return simulation.play(SIMULATED_SECONDS)


class LoadTest(TestCase):
    """Play more load than a group can serve and check what callers get."""

    def _check(self, entries: int, load: float, seed: int) -> None:
        outcomes = _play(entries, load, seed, by_priority=True)
        before = _play(entries, load, seed, by_priority=False)
        served = [got.served_share for got in outcomes.by_priority]
        for urgent, other in pairwise(served):
            self.assertLessEqual(other, urgent + MAX_INVERSION, served)
        callers = sum(got.callers for got in outcomes.by_priority)
        mean = sum(got.in_time + got.late for got in outcomes.by_priority) / callers
        self.assertGreaterEqual(min(served), MIN_SERVED_RATIO * mean, served)
        urgent_before = before.by_priority[0]
        self.assertGreater(served[0], urgent_before.served_share + 0.1)
        self.assertGreater(outcomes.value_share, before.value_share)

    def test_callers_that_repeat_at_once_gain_nothing(self) -> None:
        """Guards against admission that rewards a load of repetitions.

        One run has too few such callers to compare, and their priorities differ by
        chance, so some runs are added up and compared by priority.
        """
        runs = [_play(8, 1.2, seed, by_priority=True) for seed in range(3, 7)]
        gain = 0.0
        for priority in range(3):
            got = [run.by_priority[priority] for run in runs]
            impatient = sum(one.impatient for one in got)
            impatient_served = sum(one.impatient_served for one in got)
            others = sum(one.callers for one in got) - impatient
            served = sum(one.in_time + one.late for one in got)
            others_served = served - impatient_served
            gain += impatient_served - impatient * others_served / others
        self.assertLessEqual(gain, 0.0)

    def test_few_entries(self) -> None:
        """Guards against serving the most urgent route least."""
        self._check(8, 1.2, 3)

    def test_entries_of_a_large_deployment(self) -> None:
        """Guards against entries that disagree, as they learn counts late."""
        self._check(29, 1.2, 3)

    def test_many_entries_with_few_callers_each(self) -> None:
        """Guards against rates too noisy to decide by, and against old counts."""
        self._check(67, 1.4, 3)


FAULT_BEGIN_SECONDS, FAULT_END_SECONDS = 8.0, 16.0


class _PartitionedSimulation(PrioritySimulation):
    """Divide the entries into two halves for some seconds."""

    def _is_connected(self, number: int, other: int, now: float) -> bool:
        in_fault = FAULT_BEGIN_SECONDS <= now < FAULT_END_SECONDS
        return not in_fault or number % 2 == other % 2


class _FrozenSimulation(PrioritySimulation):
    """Let the entry with the most callers be silent for some seconds."""

    def _is_connected(self, number: int, other: int, now: float) -> bool:
        in_fault = FAULT_BEGIN_SECONDS <= now < FAULT_END_SECONDS
        return not in_fault or number != 0


class _RestartedSimulation(PrioritySimulation):
    """Restart half of the entries at once."""

    is_restarted = False

    def _exchange(self, now: float) -> None:
        if now >= FAULT_BEGIN_SECONDS and not self.is_restarted:
            self.is_restarted = True
            for number in range(0, len(self._entries), 2):
                self._restart(number, now)
        super()._exchange(now)


class FaultsTest(TestCase):
    """Play faults of entries and check that urgent callers are still served most."""

    def _check(self, kind: type[PrioritySimulation]) -> None:
        before = _play(29, 1.2, 3, by_priority=False)
        outcomes = kind(29, 1.2, 3, True).play(SIMULATED_SECONDS)
        served = [got.served_share for got in outcomes.by_priority]
        for urgent, other in pairwise(served):
            self.assertLessEqual(other, urgent + MAX_INVERSION, served)
        self.assertGreater(served[0], before.by_priority[0].served_share + 0.1)

    def test_two_halves_that_do_not_hear_each_other(self) -> None:
        """Guards against halves that each admit as if they had all slots."""
        self._check(_PartitionedSimulation)

    def test_a_silent_entry(self) -> None:
        """Guards against shares that depend on one entry."""
        self._check(_FrozenSimulation)

    def test_half_of_the_entries_restart(self) -> None:
        """Guards against restarted entries that admit all or nothing."""
        self._check(_RestartedSimulation)


class ComputeSharesTest(TestCase):
    def test_enough_capacity_admits_all(self) -> None:
        """Guards against refusals while there is capacity."""
        self.assertEqual({0: 1.0, 2: 1.0}, compute_shares({0: 5.0, 2: 5.0}, 10.0))

    def test_urgent_requests_come_first_but_for_a_minimum(self) -> None:
        """Guards against starving a route, and against serving all alike."""
        shares = compute_shares({0: 10.0, 1: 10.0, 2: 10.0}, 15.0)
        self.assertGreater(shares[0], 0.99)
        self.assertAlmostEqual(MIN_SHARE_RATIO * 0.5, shares[2])
        self.assertAlmostEqual(15.0, 10.0 * sum(shares.values()))

    def test_the_least_urgent_rank_gets_more_than_the_minimum(self) -> None:
        """Guards against a route that is kept at the minimum through an overload.

        The most urgent rank is served in full, and the others get 0.7 of the mean
        before the second one gets more than the third.
        """
        rates = {0: 41.0, 1: 54.0, 2: 18.0}
        shares = compute_shares(rates, 80.0)
        mean = 80.0 / 113.0
        self.assertGreater(shares[0], 0.99)
        self.assertGreaterEqual(shares[2] + 1e-9, OTHER_MIN_SHARE_RATIO * mean)
        self.assertAlmostEqual(80.0, sum(rates[rank] * shares[rank] for rank in rates))

    def test_shares_never_rise_with_less_urgency(self) -> None:
        """Guards against a less urgent route that is served more often."""
        random = Random(1)
        for _ in range(500):
            rates = {p: random.uniform(0.0, 50.0) for p in range(4)}
            capacity = random.uniform(0.0, 150.0)
            shares = list(compute_shares(rates, capacity).values())
            self.assertEqual(shares, sorted(shares, reverse=True))
            self.assertTrue(all(-1e-9 <= share <= 1.0 + 1e-9 for share in shares))

    def test_no_demand_and_no_capacity(self) -> None:
        """Guards against a division by zero after a start."""
        self.assertEqual({}, compute_shares({}, 0.0))
        self.assertEqual({1: 0.0}, compute_shares({1: 3.0}, 0.0))


class AccountShareTest(TestCase):
    def test_accounts_over_their_fair_share_are_refused_first(self) -> None:
        """Guards against one account that takes the slots of all others."""
        rates = [1.0, 1.0, 10.0]
        shares = [compute_account_share(rate, rates, 0.5) for rate in rates]
        self.assertEqual([1.0, 1.0], shares[:2])
        self.assertAlmostEqual(0.4, shares[2])

    def test_accounts_together_get_the_share_of_their_priority(self) -> None:
        """Guards against fair shares that admit more or less than is free."""
        random = Random(1)
        for _ in range(200):
            rates = [random.uniform(0.1, 9.0) for _ in range(random.randint(1, 30))]
            share = random.random()
            admitted = sum(
                rate * compute_account_share(rate, rates, share) for rate in rates
            )
            self.assertAlmostEqual(share * sum(rates), admitted)

    def test_a_large_account_yields_to_small_ones(self) -> None:
        """Guards against an admission that ignores the accounts of its requests."""
        admission = PriorityAdmission()
        admission.set_services([SERVICE])
        for number in range(100):
            admission.record_arrival(SERVICE, 2, number / 100.0, account="large")
        admission.record_arrival(SERVICE, 2, 1.0, account="small")
        demand = ServiceDemand(SERVICE, {0: 10.0}, 50.0, 80)
        admission.record_peer("p", [demand], 1.0)
        admission.update(SERVICE, 100.0, 80.0, 80.0, 1.0)
        small = admission.decide(SERVICE, 2, 0.9, 1.0, account="small")
        large = admission.decide(SERVICE, 2, 0.9, 1.0, account="large")
        self.assertEqual((True, False), (small.admitted, large.admitted))

    def test_the_number_of_accounts_is_bounded(self) -> None:
        """Guards against memory that grows with the accounts."""
        admission = PriorityAdmission()
        admission.set_services([SERVICE])
        for number in range(MAX_ACCOUNTS + 10):
            admission.record_arrival(SERVICE, 2, 0.0, account=str(number))
        kept = admission._service_by_name[SERVICE].meter_by_account
        self.assertEqual(MAX_ACCOUNTS, len(kept))


class PriorityAdmissionTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.admission = PriorityAdmission()
        self.admission.set_services([SERVICE])

    def _fill(self, in_flight: int, rates: dict[int, float]) -> None:
        demand = ServiceDemand(SERVICE, rates, 20.0, in_flight)
        self.admission.record_peer("p", [demand], 0.0)
        self.admission.update(SERVICE, 100.0, 80.0, in_flight, 0.0)

    def test_an_entry_yields_to_urgent_callers_of_others(self) -> None:
        """Guards against entries that fill the servers with their own batch work."""
        self.admission.record_arrival(SERVICE, 2, 0.0)
        self._fill(80, {0: 20.0})
        self.assertTrue(self.admission.decide(SERVICE, 0, 0.5, 0.0).admitted)
        self.assertFalse(self.admission.decide(SERVICE, 2, 0.5, 0.0).admitted)

    def test_without_servers_the_choice_of_the_server_decides(self) -> None:
        """Guards against a closed group that is reported as short of capacity."""
        self._fill(10, {0: 500.0, 2: 500.0})
        self.admission.update(SERVICE, 0.0, 0.0, 0.0, 0.0)
        self.assertTrue(self.admission.decide(SERVICE, 2, 0.999, 0.0).admitted)

    def test_nothing_is_refused_while_servers_are_half_empty(self) -> None:
        """Guards against refusals beside free slots."""
        self._fill(49, {0: 500.0, 2: 500.0})
        self.assertTrue(self.admission.decide(SERVICE, 2, 0.999, 0.0).admitted)

    def test_peers_that_are_silent_are_forgotten(self) -> None:
        """Guards against yielding to the callers of entries that are gone."""
        self._fill(80, {0: 500.0})
        self.assertFalse(self.admission.decide(SERVICE, 2, 0.5, 0.0).admitted)
        later = self.admission.peer_ttl + 0.1
        self.admission.record_arrival(SERVICE, 2, later)
        self.admission.update(SERVICE, 100.0, 80.0, 0.0, later)
        self.assertTrue(self.admission.decide(SERVICE, 2, 0.5, 0.0).admitted)

    def test_servers_loads_count_without_peers(self) -> None:
        """Guards against a half of a partition that fills what the other half uses."""
        self.admission.record_arrival(SERVICE, 2, 0.0)
        self.admission.update(SERVICE, 100.0, 80.0, 90.0, 0.0)
        self.assertFalse(self.admission.decide(SERVICE, 2, 0.5, 0.0).admitted)

    def test_impossible_figures_of_peers_are_ignored(self) -> None:
        """Guards against one datagram that changes all decisions."""
        self._fill(80, {0: 30.0, 2: 10.0})
        expected = self.admission.decide(SERVICE, 2, 0.5, 0.0)
        self.assertGreater(expected.capacity, 0.0)
        for rate, in_flight in (
            (float("nan"), 1),
            (float("inf"), 1),
            (-1.0, 1),
            (1.0, -5),
        ):
            bad = ServiceDemand(SERVICE, {0: rate}, 1.0, in_flight)
            self.admission.record_peer("q", [bad], 0.0)
            self._fill(80, {0: 30.0, 2: 10.0})
            decision = self.admission.decide(SERVICE, 2, 0.5, 0.0)
            self.assertEqual(expected, decision)

    def test_counts_survive_a_change_of_the_services(self) -> None:
        """Guards against negative counts after a configuration change."""
        self._fill(80, {0: 500.0})
        self.admission.set_services([])
        self.admission.set_services([SERVICE])
        self._fill(80, {0: 500.0})
        self.assertFalse(self.admission.decide(SERVICE, 2, 0.5, 0.0).admitted)


class ShortWorkTest(TestCase):
    def _served_ratio(self, slots: int, work_seconds: float, seed: int) -> float:
        """Return the share of the slots in use under three times the capacity."""
        random = Random(seed)
        admission = PriorityAdmission()
        admission.set_services([SERVICE])
        running: list[float] = []
        now, next_update, served = 0.0, 0.0, 0
        while now < 12.0:
            now += random.expovariate(3.0 * slots / work_seconds)
            while running and running[0] <= now:
                admission.record_end(SERVICE, True, running[0])
                served += running.pop(0) > 4.0
            if now >= next_update:
                next_update = now + 0.25
                admission.update(SERVICE, slots, slots, len(running), now)
            priority = random.choice([0, 2, 2, 2])
            admission.record_arrival(SERVICE, priority, now)
            decision = admission.decide(SERVICE, priority, random.random(), now)
            if decision.admitted and len(running) < slots:
                admission.record_begin(SERVICE, now)
                running.append(now + work_seconds)
        return served * work_seconds / (8.0 * slots)

    def test_short_work_finds_its_slots(self) -> None:
        """Guards against a correction that leaves the slots of short work free.

        Two programs before a server of 6 slots with 0.15 s of work served 20 requests a
        second, with some hundred refused.
        """
        for slots, work_seconds in ((6, 0.15), (24, 0.07), (100, 2.0)):
            ratios = [self._served_ratio(slots, work_seconds, n) for n in range(4)]
            self.assertGreater(min(ratios), 0.75, (slots, work_seconds))


class FindPrioritizedServicesTest(TestCase):
    def test_equal_priorities_leave_the_decision_as_it_was(self) -> None:
        """Guards against another decision where no priority differs."""
        config = make_config(make_route("a", "/a/"), make_route("b", "/b/"))
        services = find_prioritized_services(config)
        self.assertEqual(frozenset(), services)
        admission = PriorityAdmission()
        admission.set_services(services)
        for _ in range(1_000):
            admission.record_arrival("s", 1, 0.0)
        admission.update("s", 6.0, 6.0, 100.0, 0.0)
        self.assertTrue(admission.decide("s", 1, 0.999, 0.0).admitted)
        self.assertEqual([], admission.next_message(0.0))

    def test_routes_differ(self) -> None:
        """Guards against serving routes of different priorities alike."""
        routes = make_route("a", "/a/"), make_route("b", "/b/", priority=2)
        self.assertEqual({"s"}, find_prioritized_services(make_config(*routes)))
        config = make_config(*routes, keys={"k": ConfigAccount("acme", 3)})
        self.assertEqual({"s"}, find_prioritized_services(config))

    def test_only_accounts_differ(self) -> None:
        """Guards against another service for deployments whose routes are equal."""
        keys = {"k": ConfigAccount("acme", None), "l": ConfigAccount("batch", 4)}
        config = make_config(make_route(), keys=keys)
        self.assertEqual(frozenset(), find_prioritized_services(config))

    def test_rank_follows_the_account_and_then_the_route(self) -> None:
        """Guards against ignoring either priority."""
        urgent, batch = make_route(), make_route("b", "/b/", priority=2)
        accounts = ConfigAccount("acme", 0), ConfigAccount("batch", 1)
        granted = [
            Granted(route, account) for account in accounts for route in (urgent, batch)
        ]
        ranks = [item.rank for item in granted]
        self.assertEqual(ranks, sorted(set(ranks)))
        self.assertLess(Granted(urgent, None).rank, Granted(batch, None).rank)
        extreme = Granted(make_route("c", "/c/", priority=10**9), accounts[0])
        self.assertLess(extreme.rank, granted[2].rank)


class RetryAfterTest(TestCase):
    def test_waits_are_spread_and_longer_for_a_lower_share(self) -> None:
        """Guards against returns that arrive together, or while nothing has changed."""
        random = Random(1)
        means = []
        for share in (1.0, 0.5, 0.0):
            waits = [
                priority_retry_after_seconds(share, 8.0, random, 0.0)
                for _ in range(500)
            ]
            self.assertGreater(max(waits), 1.5 * min(waits))
            means.append(sum(waits) / len(waits))
        self.assertEqual(means, sorted(means))

    def test_waits_stay_spread_below_what_callers_accept(self) -> None:
        """Guards against one wait for all callers with little time left."""
        random = Random(1)
        waits = [
            priority_retry_after_seconds(0.0, 2.0, random, 0.0) for _ in range(100)
        ]
        self.assertLess(max(waits), 2.0 * MAX_WAIT_SHARE)
        self.assertGreater(max(waits), 1.5 * min(waits))
        passed = priority_retry_after_seconds(0.5, 1.0, random, 2.0)
        self.assertEqual(0.0, passed)

    def test_a_request_is_early_until_its_time_and_returns_once(self) -> None:
        """Guards against repeats that gain chances, and against lasting preference."""
        refused = RefusedRequests()
        self.assertFalse(refused.take_return("a", 0.0))
        refused.record("a", 2.0)
        self.assertEqual(1.0, refused.seconds_early("a", 1.0))
        self.assertEqual(0.0, refused.seconds_early("a", 1.96))
        self.assertEqual(0.0, refused.seconds_early("b", 1.0))
        self.assertTrue(refused.take_return("a", 2.1))
        self.assertFalse(refused.take_return("a", 2.1))
        refused.record("a", 2.0)
        self.assertFalse(refused.take_return("a", 9.0))

    def test_the_table_is_bounded(self) -> None:
        """Guards against memory that grows with the number of refusals."""
        refused = RefusedRequests()
        for number in range(MAX_REFUSED_REQUESTS + 1):
            refused.record(str(number), 5.0)
        self.assertEqual(0.0, refused.seconds_early("0", 1.0))
        self.assertEqual(4.0, refused.seconds_early("1", 1.0))
