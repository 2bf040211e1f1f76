from random import Random

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from bench.expert_day import Size
from bench.expert_switch import stall_rank
from lacewingcleat.expert_load import ExpertLoad, RankCondition
from lacewingcleat.expert_placement import (
    apply_changes,
    changes_between,
    decode_changes,
    decode_map,
    encode_changes,
    encode_map,
    improve_placement,
    lower_bound,
    place_experts,
    rank_loads,
)
from lacewingcleat.group_leader import (
    FAN_IN,
    GroupQueueState,
    ReportAggregator,
    tree_parent,
)
from lacewingcleat.messages import RankReport
from lacewingcleat.rebalance import MoveCosts, RebalancePlanner, total_times
from lacewingcleat.weight_loader import STORE, WeightLoader

FRONT = GroupQueueState(0.5, 1, 8, 100.0, (), ("1",), 0.5)


def make_loads(experts: int, seed: int, layers: int = 1) -> np.ndarray:
    loads = np.random.default_rng(seed).gamma(1.5, 1.0, (layers, experts))
    return loads / loads.sum(axis=1, keepdims=True)


class PlacementTest(TestCase):
    @given(st.integers(0, 1000), st.integers(2, 12), st.integers(1, 4))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_every_expert_stays_placed(self, seed: int, ranks: int, slots: int) -> None:
        """Guards against a map without an expert, or with one twice on a rank."""
        experts = max(slots, ranks * slots - 2)
        loads = make_loads(experts, seed)[0]
        speeds = np.ones(ranks)
        placed = place_experts(loads, ranks, slots, speeds)
        drifted = make_loads(experts, seed + 1)[0]
        improved = improve_placement(placed, drifted, speeds, 20)
        for each in (placed, improved):
            self.assertEqual(set(range(experts)), set(each.ravel().tolist()))
        before = rank_loads(placed, drifted, speeds)
        after = rank_loads(improved, drifted, speeds)
        self.assertLessEqual(after.max(), before.max() + 1e-12)
        self.assertAlmostEqual(1.0, float(after.sum()), places=9)
        bound = lower_bound(drifted, ranks * slots, ranks, speeds)
        self.assertGreaterEqual(after.max(), bound - 1e-12)

    def test_few_changes_reach_the_level_of_a_repack(self) -> None:
        """Guards against an improvement that moves as much as a repack."""
        loads = make_loads(256, 1)[0]
        speeds = np.ones(64)
        placed = place_experts(loads, 64, 5, speeds)
        noise = np.random.default_rng(2).normal(0.0, 0.1, 256)
        drifted = loads * np.exp(noise)
        improved = improve_placement(placed, drifted, speeds, 64)
        skew = rank_loads(improved, drifted, speeds).max() * 64 / drifted.sum()
        self.assertLess(skew, 1.02)
        self.assertLess((improved != placed).sum(), 64 * 5 // 4)

    def test_changes_survive_packing(self) -> None:
        """Guards against ranks that build different maps from one message."""
        old = np.zeros((2, 3, 2), dtype=np.int16)
        new = old.copy()
        new[1, 2, 0] = 255
        changes = decode_changes(encode_changes(changes_between(old, new)))
        self.assertTrue((apply_changes(old, changes) == new).all())
        self.assertTrue((decode_map(encode_map(new)) == new).all())


class ExpertLoadTest(TestCase):
    def test_experts_that_are_not_named_keep_an_estimate(self) -> None:
        """Guards against a map that takes unnamed experts for idle ones."""
        estimate = ExpertLoad(1, 4, 2)
        level = np.ones(2)
        full = {(0, expert): 25 for expert in range(4)}
        estimate.observe(RankReport("g", 1, {}, full, 1), level, 0.0)
        cut = {(0, 0): 40, (0, 1): 30}
        for number in range(2, 400):
            estimate.observe(RankReport("g", 1, {}, cut, number), level, float(number))
        self.assertGreater(estimate.loads[0, 2], 0.1)
        self.assertGreater(estimate.loads[0, 0], estimate.loads[0, 2])

    def test_late_report_is_ignored(self) -> None:
        """Guards against an estimate that goes back in time."""
        estimate = ExpertLoad(1, 2, 2)
        level = np.ones(2)
        new = RankReport("g", 1, {}, {(0, 0): 9, (0, 1): 1}, 5)
        estimate.observe(new, level, 0.0)
        old = RankReport("g", 1, {}, {(0, 0): 1, (0, 1): 9}, 4)
        estimate.observe(old, level, 600.0)
        self.assertAlmostEqual(0.9, float(estimate.loads[0, 0]))

    def test_rank_with_much_load_is_not_slow(self) -> None:
        """Guards against draining a rank because its expert is hot."""
        estimate = ExpertLoad(1, 4, 4)
        loads = np.array([3.0, 1.0, 1.0, 1.0])
        seconds = {0: 0.03, 1: 0.01, 2: 0.01, 3: 0.01}
        for number in range(1, 40):
            report = RankReport("g", 1, seconds, {}, number)
            estimate.observe(report, loads, float(number))
        self.assertEqual([], estimate.rank_findings())

    def test_shift_of_demand_is_not_a_slow_rank(self) -> None:
        """Guards against taking a shift, seen layer by layer, for slow ranks."""
        layers = 24
        estimate = ExpertLoad(layers, 4, 4)
        seconds = {0: 0.02, 1: 0.01, 2: 0.01, 3: 0.01}
        for number in range(1, layers):
            load = {
                (number - 1, expert): 40 if expert == 0 else 20 for expert in range(4)
            }
            # Rank `n` holds expert `n` alone.
            by_rank = estimate.loads.sum(axis=0)
            report = RankReport("g", 1, seconds, load, number)
            estimate.observe(report, by_rank, float(number))
            self.assertEqual([], estimate.rank_findings())

    def test_slow_rank_is_relieved_then_drained(self) -> None:
        """Guards against a slow rank that delays the group for good."""
        estimate = ExpertLoad(1, 4, 4)
        seconds = {0: 0.01, 1: 0.02, 2: 0.01, 3: 0.01}
        even = {(0, expert): 25 for expert in range(4)}
        conditions = []
        for number in range(1, 40):
            report = RankReport("g", 1, seconds, even, number)
            estimate.observe(report, np.ones(4), float(number))
            conditions += [each.condition for each in estimate.rank_findings()]
        self.assertEqual(RankCondition.SLOW, conditions[0])
        self.assertEqual(RankCondition.DRAIN, conditions[-1])
        self.assertLess(estimate.speeds()[1], 0.6)
        self.assertEqual(1.0, estimate.speeds()[0])


class StalledRankTest(TestCase):
    def test_a_stalled_rank_is_relieved_by_reports_of_one_layer(self) -> None:
        """Guards against a slow rank that is never found, or never relieved."""
        size = Size(ranks=8, experts=64, slots=10, layers=4, hours=1)
        outcome = stall_rank(size, 2.0)
        self.assertLessEqual(outcome.reports_to_recognise, 2 * size.layers)
        self.assertLess(outcome.step_after, 0.8 * outcome.step_before)


def plan_once(planner: RebalancePlanner, loads: np.ndarray, now: float):
    planner.begin(loads, np.ones(planner.slots.shape[1]), now)
    plan = None
    while planner.working:
        plan = planner.work(now)
    return plan


class RebalanceTest(TestCase):
    def planner(self, skew: float, cost: float, loads: np.ndarray) -> RebalancePlanner:
        placed = [place_experts(row, 8, 5, np.ones(8)) for row in loads]
        return RebalancePlanner(np.stack(placed), skew, cost, MoveCosts())

    def test_drift_is_followed_and_noise_is_not(self) -> None:
        """Guards against moves that cost more than they save."""
        loads = make_loads(32, 3, 4)
        planner = self.planner(1.0, 1.0, loads)
        # The first map is packed from nothing and may itself be worth a change.
        for turn in range(6):
            plan = plan_once(planner, loads, 700.0 * turn)
            if plan is not None:
                planner.committed(plan, 700.0 * turn)
        rng = np.random.default_rng(4)
        for turn in range(10, 20):
            noise = np.exp(rng.normal(0.0, 0.005, loads.shape))
            self.assertIsNone(plan_once(planner, loads * noise, 700.0 * turn))
        drifted = make_loads(32, 5, 4)
        self.assertIsNone(plan_once(planner, drifted, 20_000.0))
        plan = plan_once(planner, drifted, 20_001.0)
        self.assertLess(plan.skew_after, plan.skew_before)
        speeds = np.ones(8)
        times = total_times(plan.slots, drifted, speeds)
        self.assertAlmostEqual(plan.skew_after, float(times.max() / times.mean()))
        planner.committed(plan, 20_002.0)
        for later in range(10, 500, 60):
            self.assertIsNone(plan_once(planner, loads, 20_002.0 + later))

    def test_weights_decide(self) -> None:
        """Guards against a firm's weights that have no effect."""
        loads, drifted = make_loads(32, 3, 4), make_loads(32, 5, 4)
        sizes = []
        for skew, cost in ((3.0, 1.0), (1.0, 3.0), (1.0, 3000.0)):
            planner = self.planner(skew, cost, loads)
            plan_once(planner, drifted, 0.0)
            plan = plan_once(planner, drifted, 1.0)
            sizes.append(len(plan.changes) if plan else 0)
        self.assertGreaterEqual(sizes[0], sizes[1])
        self.assertGreater(sizes[1], 0)
        self.assertEqual(0, sizes[2])


class GroupLeaderTest(TestCase):
    def test_reports_of_256_ranks_reach_the_leader(self) -> None:
        """Guards against a tree that loses ranks or exceeds its fan-in."""
        names = tuple(f"server-{rank}" for rank in range(256))
        leaders = [ReportAggregator("g", rank, names) for rank in range(256)]
        live = tuple(range(3, 256))
        children = [tree_parent(rank, live) for rank in live]
        self.assertLessEqual(max(children.count(rank) for rank in live), FAN_IN)
        for leader in leaders[3:]:
            leader.set_live_instances(names[3:])
            leader.record_own_load(0.01 + leader.rank / 1e6, {(0, 7): 1}, 1)
        for second in range(1, 5):
            for leader in leaders[3:]:
                for action in leader.tick(float(second)):
                    target = leaders[names.index(action.instance)]
                    target.receive(names[leader.rank], action.message, float(second))
        total = leaders[3].aggregate(4.0)
        self.assertEqual(253, len(total.step_seconds_by_rank))
        self.assertEqual({(0, 7): 253}, total.load_by_expert)
        report = leaders[3].group_report(FRONT, 4.0)
        self.assertEqual(255, report.slowest_rank)
        self.assertIsNone(leaders[4].group_report(FRONT, 4.0))

    def test_next_rank_leads_when_the_lowest_dies(self) -> None:
        """Guards against a group without a leader."""
        leader = ReportAggregator("g", 1, ("a", "b", "c"))
        leader.set_live_instances(["a", "b", "c"])
        self.assertFalse(leader.is_leader)
        leader.set_live_instances(["b", "c"])
        self.assertTrue(leader.is_leader)
        self.assertEqual("b", leader.leader_instance)

    def test_reports_of_a_dead_child_expire(self) -> None:
        """Guards against loads that stay after a rank has died."""
        leader = ReportAggregator("g", 0, ("a", "b"))
        leader.record_own_load(0.01, {}, 1)
        leader.receive("b", RankReport("g", 1, {1: 0.02}, {}, 1), 0.0)
        self.assertEqual(2, len(leader.aggregate(1.0).step_seconds_by_rank))
        self.assertEqual(1, len(leader.aggregate(9.0).step_seconds_by_rank))


class WeightLoaderTest(TestCase):
    def test_peers_come_before_the_store_and_refusals_back_off(self) -> None:
        """Guards against agents that ask a refusing store again at once."""
        loader = WeightLoader("server-1", Random(1))
        loader.want("e", ["server-1", "server-2"], 0.0, 0.0)
        self.assertEqual("server-2", loader.tick(0.0)[0].source)
        loader.refused("e", 0.0)
        self.assertEqual(STORE, loader.tick(0.0)[0].source)
        waits = []
        now = 0.0
        for _ in range(5):
            loader.refused("e", now)
            started = now
            while not loader.tick(now):
                now += 0.1
            waits.append(now - started)
        self.assertGreater(waits[0], 0.4)
        self.assertGreater(waits[4], 4 * waits[0] / 3)
        loader.loaded("e")
        self.assertTrue(loader.idle)

    def test_loads_of_many_agents_are_spread(self) -> None:
        """Guards against 256 agents that reach the store at the same moment."""
        starts = []
        for number in range(256):
            loader = WeightLoader(f"server-{number}", Random(number))
            loader.want("e", [], 30.0, 0.0)
            quarter = 0
            while not loader.tick(quarter / 4):
                quarter += 1
            starts.append(quarter // 4)
        self.assertLess(max(starts.count(second) for second in starts), 24)
