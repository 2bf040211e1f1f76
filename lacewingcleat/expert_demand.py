"""coordination: estimate the demand for experts from the counts of a group's ranks."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from math import log
from operator import add
from random import Random

# Demand for an expert persists for as long as the prompts in flight, a few seconds;
# older counts are decayed.
DEMAND_HALF_LIFE_SECONDS = 1.2
# A group pauses while a rank's counts are read, at most for this part of the time.
READ_PAUSE_SECONDS_PER_COUNT = 0.0005 / 400
MAX_READ_PAUSE_SHARE = 0.012
# Maximum number of counts read per second from a group whose ranks have few counts.
MAX_READS_PER_SECOND = 8.6
# Time in which each rank of the sample is read once. In a longer cycle the sample has
# more ranks, whose counts are older.
SAMPLE_CYCLE_SECONDS = 2.0
# Cycle of groups of which at least this share can be read in it. With a longer one,
# their maps followed shifts of the demand later.
SHORT_CYCLE_SECONDS = 0.7
MIN_SHORT_CYCLE_SHARE = 0.08
# With fewer ranks, the halves of the sample say too little about its reliability.
MIN_SAMPLED_RANKS = 4
# Longest cycle of a sample that still follows the demand. Nothing is read from groups
# whose ranks have so many counts that a cycle would take longer.
MAX_CYCLE_SECONDS = 3.0
# Number of cycles after which one rank of the sample is replaced. The first counts of a
# rank only set its baseline.
CYCLES_PER_CHANGE = 4
# Counts of a rank that was last read longer ago only set a new baseline: most of the
# selections since then belong to prompts that have ended.
MAX_BASELINE_AGE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class RankSelectionCounts:
    """Represent how often a rank has selected each expert since its start.

    :param counts: selections by layer set, then by expert.
    """

    epoch: int
    counts: tuple[int, ...]


class RankSampler:
    """Choose the ranks of one group whose counts are read in a round.

    The ranks of the sample are read in turn, as often as the pause of a read allows.
    Counts are cumulative, so that a rank's next counts contain all selections since its
    last ones: the sample accumulates over rounds. Every few cycles one rank of the
    sample is replaced, so that a rank with unusual prompts does not stay in it.

    :param size: number of ranks of the group.
    :param counts_per_rank: number of counts that a rank returns.
    :ivar has_short_cycle: whether the sample is read as a whole in each round.
    """

    __slots__ = (
        "_budget",
        "_next",
        "_others",
        "_reads_per_second",
        "_reads_since_change",
        "_updated_at",
        "has_short_cycle",
    )

    def __init__(
        self, size: int, counts_per_rank: int, random: Random, now: float
    ) -> None:
        pause_seconds = counts_per_rank * READ_PAUSE_SECONDS_PER_COUNT
        self._reads_per_second = min(
            MAX_READS_PER_SECOND, MAX_READ_PAUSE_SHARE / pause_seconds
        )
        cycle_reads = int(self._reads_per_second * SHORT_CYCLE_SECONDS)
        self.has_short_cycle = cycle_reads >= MIN_SHORT_CYCLE_SHARE * size
        if not self.has_short_cycle:
            cycle_reads = int(self._reads_per_second * SAMPLE_CYCLE_SECONDS)
        sampled = min(size, max(MIN_SAMPLED_RANKS, cycle_reads))
        ranks = random.sample(range(size), size)
        self._next, self._others = ranks[:sampled], ranks[sampled:]
        self._updated_at = now
        self._budget = 1.0
        self._reads_since_change = 0

    @property
    def is_representative(self) -> bool:
        """Return whether the ranks are read often enough to follow the demand."""
        return len(self._next) <= MAX_CYCLE_SECONDS * self._reads_per_second

    @property
    def sampled_share(self) -> float:
        """Return the share of the group's ranks that the sample contains."""
        return len(self._next) / (len(self._next) + len(self._others))

    def next_ranks(self, now: float) -> list[int]:
        """Return the ranks to read now."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        # A group that was not read for a while is not paused by many reads at once.
        self._budget = min(
            self._reads_per_second, self._budget + elapsed * self._reads_per_second
        )
        count = min(int(self._budget), len(self._next))
        self._budget -= count
        if self._others and self._reads_since_change > CYCLES_PER_CHANGE * len(
            self._next
        ):
            self._reads_since_change = 0
            # The rank that is due was read longest ago.
            self._others.append(self._next.pop(0))
            self._next.insert(0, self._others.pop(0))
        self._reads_since_change += count
        ranks, self._next = self._next[:count], self._next[count:]
        self._next += ranks
        return ranks


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
        "_half_by_rank",
        "_layer_sets",
        "_loads_by_half",
        "_read_at_by_rank",
        "_updated_at",
    )

    def __init__(self, layer_sets: int, experts: int, now: float) -> None:
        self._layer_sets = layer_sets
        self._expert_count = experts
        self._updated_at = now
        self._epoch = -1
        self._counts_by_rank: dict[int, tuple[int, ...]] = {}
        self._read_at_by_rank: dict[int, float] = {}
        self._half_by_rank: dict[int, int] = {}
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
        read_at = self._read_at_by_rank.get(rank, now)
        self._counts_by_rank[rank] = selections.counts
        self._read_at_by_rank[rank] = now
        if previous is None or now - read_at > MAX_BASELINE_AGE_SECONDS:
            return False
        increments = [
            current_count - previous_count
            for current_count, previous_count in zip(
                selections.counts, previous, strict=True
            )
        ]
        if min(increments) < 0:
            return False
        # Ranks are assigned to the halves in turn, since the sample may contain any.
        half = self._half_by_rank.setdefault(rank, len(self._half_by_rank) % 2)
        weight = _age_weight(now - read_at)
        self._add([weight * each for each in increments], half, now)
        return True

    def _add(self, increments: Sequence[float], half: int, now: float) -> None:
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


def _age_weight(seconds: float) -> float:
    """Return the mean weight of selections made evenly during the last seconds."""
    if seconds <= 0.0:
        return 1.0
    half_lives = seconds / DEMAND_HALF_LIFE_SECONDS
    return float((1.0 - 0.5**half_lives) / (half_lives * log(2.0)))


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
