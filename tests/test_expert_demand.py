"""Estimates of the demand for experts from the counts of some ranks."""

from random import Random

from testtools import TestCase

from lacewingcleat.expert_demand import ExpertDemandEstimator, RankSelectionCounts
from lacewingcleat.replica_placement import (
    MapShape,
    first_map,
    improve_maps,
    skew,
)

EXPERTS = 96
SHAPE = MapShape(
    ranks=24,
    layer_sets=1,
    experts=EXPERTS,
    slots_per_rank=5,
    max_copies_per_rank=2,
    max_copies_per_switch=2,
)
RANKS = SHAPE.ranks
SAMPLED_RANKS = 4
SEEDS = 8


def _play_rank(random: Random, prompts: int, skewed: bool) -> list[int]:
    """Return the selections of one rank, whose prompts choose a few experts each."""
    counts = [0] * EXPERTS
    for _ in range(prompts):
        for _ in range(8):
            draw = random.random()
            expert = int(EXPERTS * (draw**3 if skewed else draw))
            counts[expert] += 40
    return counts


def _observe(counts_by_rank: list[list[int]], sampled: int) -> ExpertDemandEstimator:
    estimator = ExpertDemandEstimator(1, EXPERTS, 0.0)
    for rank in range(sampled):
        estimator.observe(rank, RankSelectionCounts(1, (0,) * EXPERTS), 0.0)
        counts = RankSelectionCounts(1, tuple(counts_by_rank[rank]))
        estimator.observe(rank, counts, 0.0)
    return estimator


class ExpertDemandTest(TestCase):
    def _improve(self, skewed: bool, share: float) -> tuple[float, float, int]:
        """Improve maps for the counts of 4 of 24 ranks.

        :return: skew of all ranks' demand before and after, and number of copies.
        """
        before = after = 0.0
        copies = 0
        for seed in range(SEEDS):
            random = Random(seed)
            counts = [_play_rank(random, 3, skewed) for _ in range(RANKS)]
            total = [float(sum(column)) for column in zip(*counts, strict=True)]
            current = first_map(SHAPE)
            loads = _observe(counts, SAMPLED_RANKS).loads(share)
            new = improve_maps(current, loads, SHAPE)
            before += skew(current[0], total) / SEEDS
            after += skew(new[0], total) / SEEDS
            copies += sum(len(n - o) for n, o in zip(new[0], current[0], strict=True))
        return before, after, copies

    def test_a_sample_of_even_demand_causes_few_copies(self) -> None:
        """Guards against maps that fit the prompts of a few ranks.

        Such a map looks much better for the sample and is no better for the group.
        """
        share = SAMPLED_RANKS / RANKS
        before, after, copies = self._improve(False, share)
        _, _, raw_copies = self._improve(False, 1.0)
        self.assertLess(after, before + 0.05)
        self.assertLess(copies, raw_copies * 0.6)

    def test_a_sample_of_skewed_demand_is_followed(self) -> None:
        """Guards against ignoring a demand on which the observed ranks agree."""
        before, after, _ = self._improve(True, SAMPLED_RANKS / RANKS)
        self.assertLess(after, before / 2.0)

    def test_all_ranks_need_no_correction(self) -> None:
        """Guards against moving a known demand towards an even one."""
        counts = [_play_rank(Random(3), 3, skewed=True) for _ in range(RANKS)]
        loads = _observe(counts, RANKS).loads(1.0)[0]
        total = [float(sum(column)) for column in zip(*counts, strict=True)]
        for load, expected in zip(loads, total, strict=True):
            self.assertAlmostEqual(expected, load)

    def test_first_counts_and_restarts_set_a_baseline(self) -> None:
        """Guards against counting the selections before a rank was observed."""
        estimator = ExpertDemandEstimator(1, 2, 0.0)
        self.assertFalse(estimator.observe(0, RankSelectionCounts(1, (5, 5)), 0.0))
        self.assertTrue(estimator.observe(0, RankSelectionCounts(1, (6, 5)), 0.0))
        self.assertFalse(estimator.observe(0, RankSelectionCounts(1, (0, 0)), 0.0))
        self.assertFalse(estimator.observe(0, RankSelectionCounts(2, (9, 9)), 0.0))
        self.assertFalse(estimator.observe(0, RankSelectionCounts(2, (9,)), 0.0))
