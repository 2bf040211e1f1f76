"""coordination: estimate the demand for experts from the counts of a group's ranks."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from operator import add

# Demand for an expert persists for as long as the prompts in flight, a few seconds;
# older counts are decayed.
DEMAND_HALF_LIFE_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class RankSelectionCounts:
    """Represent how often a rank has selected each expert since its start.

    :param counts: selections by layer set, then by expert.
    """

    epoch: int
    counts: tuple[int, ...]


class ExpertDemandEstimator:
    """Estimate the load of each expert of one group.

    Requests are spread evenly over the ranks, so the counts of some ranks suffice. They
    are a sample of the prompts in flight, though: a map that fits a small sample is no
    better for the others. The ranks are therefore counted in two halves, and as far as
    the halves disagree, the estimate for the other ranks is moved towards an even
    demand.

    :param layer_sets: number of layer sets, that is sets of layers that share a map.
    :param experts: number of experts per layer set.
    """

    __slots__ = (
        "_counts_by_rank",
        "_epoch",
        "_expert_count",
        "_layer_sets",
        "_loads_by_half",
        "_updated_at",
    )

    def __init__(self, layer_sets: int, experts: int, now: float) -> None:
        self._layer_sets = layer_sets
        self._expert_count = experts
        self._updated_at = now
        self._epoch = -1
        self._counts_by_rank: dict[int, tuple[int, ...]] = {}
        size = layer_sets * experts
        self._loads_by_half = ([0.0] * size, [0.0] * size)

    def observe(self, rank: int, selections: RankSelectionCounts, now: float) -> bool:
        """Add the selections since the last counts of a rank to the estimate.

        Counts are cumulative. The first counts of a rank in an epoch and counts that
        have decreased only set its baseline. Counts of the wrong size are ignored.

        :return: whether the estimate has changed.
        """
        if len(selections.counts) != self._layer_sets * self._expert_count:
            return False
        if selections.epoch != self._epoch:
            self._epoch = selections.epoch
            self._counts_by_rank.clear()
        previous = self._counts_by_rank.get(rank)
        self._counts_by_rank[rank] = selections.counts
        if previous is None:
            return False
        increments = [
            current_count - previous_count
            for current_count, previous_count in zip(
                selections.counts, previous, strict=True
            )
        ]
        if min(increments) < 0:
            return False
        self._add(increments, rank % 2, now)
        return True

    def _add(self, increments: Sequence[int], half: int, now: float) -> None:
        decay = 0.5 ** (max(0.0, now - self._updated_at) / DEMAND_HALF_LIFE_SECONDS)
        self._updated_at = now
        for loads in self._loads_by_half:
            loads[:] = [load * decay for load in loads]
        loads = self._loads_by_half[half]
        loads[:] = map(add, loads, increments)

    def loads(self, sampled_share: float) -> list[list[float]]:
        """Return the estimated load by layer set and expert.

        :param sampled_share: share of the group's ranks whose counts are observed.
        """
        result = []
        for index in range(self._layer_sets):
            part = slice(index * self._expert_count, (index + 1) * self._expert_count)
            halves = [loads[part] for loads in self._loads_by_half]
            total = list(map(add, *halves))
            mean = sum(total) / len(total)
            # The load of the observed ranks is known, that of the others estimated.
            others_share = 1.0 - sampled_share
            weight = sampled_share + others_share * _reliability(*halves)
            result.append([mean + weight * (load - mean) for load in total])
        return result


def _reliability(first: Sequence[float], second: Sequence[float]) -> float:
    """Return how far two halves of a sample agree, 0 to 1, for the whole sample.

    This is the Spearman-Brown formula for the correlation of the halves.
    """
    try:
        correlation = max(0.0, statistics.correlation(first, second))
    except statistics.StatisticsError:
        # A half without selections, or with the same number for all experts.
        return 0.0
    return 2.0 * correlation / (1.0 + correlation)
