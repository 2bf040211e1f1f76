"""Placement of replicas of the experts in high demand, and when to switch to it."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.replica_placement import (
    MapShape,
    first_map,
    improve_replicas,
    rank_loads,
    skew,
)
from lacewingcleat.replica_plan import ReplicaPlanner, is_map_change_worthwhile

SHAPE = MapShape(
    ranks=8, layer_sets=1, experts=64, slots_per_rank=11, max_copies_per_rank=4
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
            new = improve_replicas(current, loads, SHAPE)
            self.assertLessEqual(skew(new, loads), skew(current, loads) + 1e-9)
            for rank, (experts, before) in enumerate(zip(new, current, strict=True)):
                self.assertLessEqual(len(experts), SHAPE.slots_per_rank)
                self.assertLessEqual(len(experts - before), SHAPE.max_copies_per_rank)
                self.assertLessEqual(first_map(SHAPE)[0][rank], experts)
            current = new

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

    def test_lightly_loaded_groups_keep_their_map(self) -> None:
        """Guards against switches whose effect no caller notices.

        The group is idle, or its event interval is well below the accepted one.
        """
        self.assertFalse(is_map_change_worthwhile(None, 0.12))
        self.assertFalse(is_map_change_worthwhile(0.05, 0.12))
        self.assertTrue(is_map_change_worthwhile(0.11, 0.12))
