"""Placement of replicas of the experts in high demand, and when to switch to it."""

from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.map_driver import order_concurrency, order_timeout
from lacewingcleat.replica_placement import (
    MapShape,
    first_map,
    improve_maps,
    rank_loads,
    skew,
)
from lacewingcleat.replica_plan import (
    ReplicaPlanner,
    is_map_change_worthwhile,
    make_shape,
)
from lacewingcleat.routing_config import EngineCapacity

SHAPE = MapShape(
    ranks=8,
    layer_sets=1,
    experts=64,
    slots_per_rank=11,
    max_copies_per_rank=4,
    max_copies_per_switch=4,
)


def _random_loads(seed: int) -> list[float]:
    random = Random(seed)
    return [random.paretovariate(1.2) for _ in range(SHAPE.experts)]


class ReplicaPlacementTest(TestCase):
    @settings(deadline=None, max_examples=30)
    @given(seed=st.integers(0, 2**32), next_seed=st.integers(0, 2**32))
    def test_improved_maps_are_valid_and_not_more_skewed(
        self, seed: int, next_seed: int
    ) -> None:
        """Guards against maps that ranks refuse, that lose an expert or raise the skew.

        A rank refuses a map that exceeds its slots or needs too many copies.
        """
        current = first_map(SHAPE)[0]
        for loads in (_random_loads(seed), _random_loads(next_seed)):
            new = improve_maps([current], [loads], SHAPE)[0]
            self.assertLessEqual(skew(new, loads), skew(current, loads) + 1e-9)
            for rank, (experts, before) in enumerate(zip(new, current, strict=True)):
                self.assertLessEqual(len(experts), SHAPE.slots_per_rank)
                self.assertLessEqual(len(experts - before), SHAPE.max_copies_per_rank)
                self.assertLessEqual(first_map(SHAPE)[0][rank], experts)
            current = new

    def test_two_equally_hot_ranks_are_both_relieved(self) -> None:
        """Guards against maps that stay skewed as no single copy lowers the skew."""
        loads = [1.0] * SHAPE.experts
        loads[0] = loads[1] = 40.0
        new = improve_maps(first_map(SHAPE)[:1], [loads], SHAPE)[0]
        self.assertLess(skew(new, loads), 1.5)

    def test_copies_are_limited_over_all_sets(self) -> None:
        """Guards against switches that copy for so long that the demand has moved."""
        shape = replace(SHAPE, layer_sets=6, max_copies_per_switch=2)
        loads = [_random_loads(seed) for seed in range(shape.layer_sets)]
        new = improve_maps(first_map(shape), loads, shape)
        for rank in range(shape.ranks):
            copies = sum(
                len(after[rank] - before[rank])
                for before, after in zip(first_map(shape), new, strict=True)
            )
            self.assertLessEqual(copies, 2)

    def test_copies_of_a_switch_fit_into_a_second(self) -> None:
        """Guards against a limit on copies that ignores how long a copy takes."""
        engine = EngineCapacity(6, 1, 3, 96, 11, 4, 0.4)
        self.assertEqual(2, make_shape(12, engine).max_copies_per_switch)
        fast = replace(engine, expert_copy_seconds=0.0)
        self.assertEqual(12, make_shape(12, fast).max_copies_per_switch)

    def test_orders_of_a_large_group_have_time_to_arrive(self) -> None:
        """Guards against repeating the map of a large group before it has arrived.

        A map of 96 ranks has 20 KB; ranks have links of 3 Mbit/s, entries of 20 Mbit/s.
        """
        size = 20_000
        transfer_seconds = size * 8 / 3e6 + 96 * size * 8 / 20e6
        self.assertGreater(order_timeout([size] * 96), transfer_seconds)
        self.assertLess(order_timeout([100] * 96), 0.25)

    def test_maps_of_a_large_group_leave_room_for_streams(self) -> None:
        """Guards against streams of the leader that are delayed by the orders it sends.

        The map of 72 ranks has 11 KB for each; the entry has a link of 14 Mbit/s, and
        callers accept pauses of 120 ms. Orders without a map all go out at once.
        """
        for size in (11_000, 20_000):
            in_flight = order_concurrency([size] * 72) * size
            self.assertLess(in_flight * 8 / 14e6, 0.12)
            seconds = in_flight * 8 / 3e6 / order_concurrency([size] * 72)
            self.assertGreater(order_timeout([size] * 4), seconds)
        self.assertGreaterEqual(order_concurrency([120] * 350), 350)

    def test_replicas_share_the_load_of_an_expert(self) -> None:
        """Guards against counting the full load of an expert for each replica."""
        experts_by_rank = [{0, 1}, {1}]
        self.assertEqual([5.0, 1.0], rank_loads(experts_by_rank, [4.0, 2.0]))

    def test_plans_require_a_minimum_gain(self) -> None:
        """Guards against switches to maps that barely lower the skew."""
        planner = ReplicaPlanner(SHAPE, 0.0)
        self.assertIs(None, planner.plan([[100.0] * SHAPE.experts], 1.0))
        hot = [100.0] * SHAPE.experts
        hot[0] = 5000.0
        plan = planner.plan([hot], 1.0)
        assert plan is not None
        self.assertLess(plan.skew_after, plan.skew_before)

    def test_plans_save_more_than_the_copies_cost(self) -> None:
        """Guards against switches whose copies delay callers more than they help.

        Passes take 15 % longer while a rank copies experts.
        """
        loads = [100.0] * SHAPE.experts
        loads[0] = 600.0
        fast = replace(SHAPE, copy_seconds=0.1)
        self.assertIsNot(None, ReplicaPlanner(fast, 0.0).plan([loads], 1.0))
        slow = replace(SHAPE, copy_seconds=5.0)
        self.assertIs(None, ReplicaPlanner(slow, 0.0).plan([loads], 1.0))

    def test_lightly_loaded_groups_keep_their_map(self) -> None:
        """Guards against switches whose effect no caller notices.

        The group is idle, or its event interval is well below the accepted one.
        """
        self.assertFalse(is_map_change_worthwhile(None, 0.12))
        self.assertFalse(is_map_change_worthwhile(0.05, 0.12))
        self.assertTrue(is_map_change_worthwhile(0.11, 0.12))
