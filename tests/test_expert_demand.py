"""Estimates of the demand for experts from the counts of some ranks."""

from random import Random

from testtools import TestCase

from lacewingcleat.expert_demand import (
    ExpertDemandEstimator,
    RankSampler,
    RankSelectionCounts,
)
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

    def test_old_selections_count_less(self) -> None:
        """Guards against maps for the demand of the time before the topics shifted.

        Rank 0 was read 4 s ago, rank 1 a moment ago; both have selected as often since.
        """
        estimator = ExpertDemandEstimator(1, 2, 0.0)
        estimator.observe(0, RankSelectionCounts(1, (0, 0)), 0.0)
        estimator.observe(1, RankSelectionCounts(1, (0, 0)), 3.8)
        estimator.observe(0, RankSelectionCounts(1, (100, 0)), 4.0)
        estimator.observe(1, RankSelectionCounts(1, (0, 100)), 4.0)
        old, new = estimator.loads(1.0)[0]
        self.assertLess(old, 0.5 * new)

    def test_counts_after_a_long_time_set_a_baseline(self) -> None:
        """Guards against counting the selections of prompts that ended long ago."""
        estimator = ExpertDemandEstimator(1, 2, 0.0)
        estimator.observe(0, RankSelectionCounts(1, (0, 0)), 0.0)
        changed = estimator.observe(0, RankSelectionCounts(1, (9, 9)), 60.0)
        self.assertFalse(changed)


class RankSamplerTest(TestCase):
    def _reads(self, size: int, counts: int, seconds: float) -> list[tuple[float, int]]:
        """Return the time and the rank of each read."""
        sampler = RankSampler(size, counts, Random(1), 0.0)
        times = [0.7 * index for index in range(int(seconds / 0.7))]
        return [(now, rank) for now in times for rank in sampler.next_ranks(now)]

    def test_each_rank_of_the_sample_is_read_in_turn(self) -> None:
        """Guards against counts that are too old when they are read again."""
        for size, counts in ((72, 1728), (96, 3072), (63, 2016), (32, 1536)):
            read_at_by_rank: dict[int, float] = {}
            for now, rank in self._reads(size, counts, 6.0):
                self.assertLess(now - read_at_by_rank.get(rank, now), 3.0)
                read_at_by_rank[rank] = now
            self.assertGreaterEqual(len(read_at_by_rank), 4)

    def test_a_group_is_not_paused_by_many_reads_at_once(self) -> None:
        """Guards against a pause for all reads that were not made while it was idle."""
        sampler = RankSampler(72, 1728, Random(1), 0.0)
        sampler.next_ranks(0.0)
        self.assertLessEqual(len(sampler.next_ranks(600.0)), 6)

    def test_the_sample_changes(self) -> None:
        """Guards against a sample whose ranks serve unusual prompts for long."""
        ranks = {rank for _, rank in self._reads(72, 1728, 60.0)}
        self.assertGreater(len(ranks), 14)

    def test_groups_with_too_many_counts_are_not_read(self) -> None:
        """Guards against maps for a demand that has passed when it is known."""
        for size, counts in ((72, 1728), (96, 3072), (63, 2016), (12, 288)):
            self.assertTrue(RankSampler(size, counts, Random(1), 0.0).is_representative)
        large = RankSampler(256, 60 * 256, Random(1), 0.0)
        self.assertFalse(large.is_representative)
