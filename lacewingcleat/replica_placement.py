"""coordination: place replicas of the experts in high demand.

Each expert stays on the rank that holds it in the group's first map. The remaining
slots of a rank hold replicas. Two maps of a group therefore differ only in replicas: a
rank never copies more experts than it has slots for replicas, and an outdated map is
still close to a good one.
"""

from collections.abc import Generator, Sequence
from dataclasses import dataclass
from heapq import nlargest, nsmallest

# Minimum reduction of the hottest rank's load that justifies copying an expert, as a
# share of the mean load.
MIN_GAIN_SHARE = 0.05
# Number of experts of the hottest rank that are considered, heaviest first.
MAX_CANDIDATE_EXPERTS = 3
# Number of ranks that are considered as the place of a replica, least loaded first.
MAX_CANDIDATE_RANKS = 4

# Experts that each rank holds, for one layer set.
ExpertsByRank = list[set[int]]


@dataclass(frozen=True, slots=True)
class MapShape:
    """Describe the dimensions of the maps of a group.

    :param layer_sets: number of layer sets, that is sets of layers that share a map.
    :param experts: number of experts per layer set.
    :param slots_per_rank: maximum number of experts that a rank can hold per layer set.
    :param max_copies_per_rank: maximum number of experts that a rank can copy per
        layer set in one switch.
    :param max_copies_per_switch: maximum number of experts that a rank can copy in one
        switch, over all layer sets.
    :param copy_seconds: time that a rank needs to copy one expert.
    """

    ranks: int
    layer_sets: int
    experts: int
    slots_per_rank: int
    max_copies_per_rank: int
    max_copies_per_switch: int
    copy_seconds: float = 0.0


def first_map(shape: MapShape) -> list[ExpertsByRank]:
    """Return the map that a group starts with: each expert once, dealt round robin."""
    return [
        [set(range(rank, shape.experts, shape.ranks)) for rank in range(shape.ranks)]
        for _ in range(shape.layer_sets)
    ]


def rank_loads(experts_by_rank: ExpertsByRank, loads: Sequence[float]) -> list[float]:
    """Return the load of each rank; replicas share the load of an expert evenly."""
    replica_counts = _replica_counts(experts_by_rank, len(loads))
    return [
        sum(loads[expert] / replica_counts[expert] for expert in rank)
        for rank in experts_by_rank
    ]


def skew(experts_by_rank: ExpertsByRank, loads: Sequence[float]) -> float:
    """Return the ratio of the hottest rank's load to the mean, 1 for an even map."""
    loads_by_rank = rank_loads(experts_by_rank, loads)
    total = sum(loads_by_rank)
    return max(loads_by_rank) * len(loads_by_rank) / total if total > 0.0 else 1.0


def improve_maps(
    maps: Sequence[ExpertsByRank],
    loads_by_set: Sequence[Sequence[float]],
    shape: MapShape,
) -> list[ExpertsByRank]:
    """Return more even maps of all layer sets; see `improve_maps_in_steps`."""
    steps = improve_maps_in_steps(maps, loads_by_set, shape)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            improved: list[ExpertsByRank] = end.value
            return improved


def improve_maps_in_steps(
    maps: Sequence[ExpertsByRank],
    loads_by_set: Sequence[Sequence[float]],
    shape: MapShape,
) -> Generator[None, None, list[ExpertsByRank]]:
    """Return more even maps of all layer sets that need few copies of experts.

    Each step moves a share of the hottest rank's load in one layer set to a rank with
    little load. Steps are taken in the order of their gain, as the copies of a rank are
    limited over all sets. No step makes another rank as hot as the hottest one was, so
    the skew never grows. The generator yields after each step, because all steps for a
    large group take longer than an entry's streams may be delayed.
    """
    copies = [0] * shape.ranks
    placements = [
        _Placement(experts_by_rank, loads, shape, copies)
        for experts_by_rank, loads in zip(maps, loads_by_set, strict=True)
    ]
    steps = [placement.find_step() for placement in placements]
    for _ in range(shape.ranks * shape.max_copies_per_switch):
        gains = [step.gain if step else 0.0 for step in steps]
        index = max(range(len(steps)), key=gains.__getitem__)
        step = steps[index]
        if step is None or step.gain < MIN_GAIN_SHARE:
            break
        placements[index].apply(step)
        for other, other_step in enumerate(steps):
            # The step has used up a copy of its rank.
            if other == index or (other_step and other_step.rank == step.rank):
                steps[other] = placements[other].find_step()
        yield
    return [placement.experts_by_rank for placement in placements]


@dataclass(frozen=True, slots=True)
class _Step:
    """Describe a replica to add.

    :param gain: reduction of the hottest load among the affected ranks, as a share of
        the mean load of a rank.
    :param evicted: replica that makes room for the new one, if any.
    """

    gain: float
    rank: int
    expert: int
    evicted: int | None


class _Placement:
    """Hold the map of one layer set with the loads of its ranks while it changes.

    :param copies: number of experts that each rank has to copy, over all layer sets.
    """

    __slots__ = (
        "_copies",
        "_holders_by_expert",
        "_initial",
        "_loads",
        "_loads_by_rank",
        "_mean_load",
        "_shape",
        "experts_by_rank",
    )

    def __init__(
        self,
        experts_by_rank: ExpertsByRank,
        loads: Sequence[float],
        shape: MapShape,
        copies: list[int],
    ) -> None:
        self._initial = experts_by_rank
        self._copies = copies
        self._mean_load = sum(loads) / shape.ranks
        self._loads = loads
        self._shape = shape
        self.experts_by_rank = [set(rank) for rank in experts_by_rank]
        self._holders_by_expert: list[set[int]] = [set() for _ in range(shape.experts)]
        for rank, experts in enumerate(self.experts_by_rank):
            for expert in experts:
                self._holders_by_expert[expert].add(rank)
        self._loads_by_rank = rank_loads(self.experts_by_rank, loads)

    def find_step(self) -> _Step | None:
        """Return the step with the largest gain, none if no step is possible."""
        if self._mean_load <= 0.0:
            return None
        loads_by_rank = self._loads_by_rank
        hottest = max(range(len(loads_by_rank)), key=loads_by_rank.__getitem__)
        experts = nlargest(
            MAX_CANDIDATE_EXPERTS,
            self.experts_by_rank[hottest],
            key=self._replica_load,
        )
        best: _Step | None = None
        for expert in experts:
            holders = self._holders_by_expert[expert]
            targets = nsmallest(
                MAX_CANDIDATE_RANKS,
                (rank for rank in range(len(loads_by_rank)) if rank not in holders),
                key=loads_by_rank.__getitem__,
            )
            for target in targets:
                step = self._make_step(hottest, expert, target)
                if step is not None and (best is None or step.gain > best.gain):
                    best = step
        return best

    def apply(self, step: _Step) -> None:
        """Add a replica."""
        for rank, load in self._changed_loads(step).items():
            self._loads_by_rank[rank] = load
        self._copies[step.rank] += self._added_copies(step)
        self.experts_by_rank[step.rank].add(step.expert)
        self._holders_by_expert[step.expert].add(step.rank)
        if step.evicted is not None:
            self.experts_by_rank[step.rank].discard(step.evicted)
            self._holders_by_expert[step.evicted].discard(step.rank)

    def _replica_load(self, expert: int) -> float:
        return self._loads[expert] / max(1, len(self._holders_by_expert[expert]))

    def _make_step(self, hottest: int, expert: int, target: int) -> _Step | None:
        evicted: int | None = None
        experts = self.experts_by_rank[target]
        if len(experts) >= self._shape.slots_per_rank:
            # Experts of the group's first map stay on their ranks.
            replicas = [each for each in experts if each % self._shape.ranks != target]
            evicted = min(replicas, key=self._replica_load, default=None)
            if evicted is None:
                return None
        added = (experts | {expert}) - {evicted} - self._initial[target]
        if len(added) > self._shape.max_copies_per_rank:
            return None
        step = _Step(0.0, target, expert, evicted)
        copies = self._copies[target] + self._added_copies(step)
        if copies > self._shape.max_copies_per_switch:
            return None
        hottest_after = max(self._changed_loads(step).values())
        gain = self._loads_by_rank[hottest] - hottest_after
        return _Step(gain / self._mean_load, target, expert, evicted)

    def _added_copies(self, step: _Step) -> int:
        """Return by how many a step changes the experts that its rank has to copy."""
        initial = self._initial[step.rank]
        added = step.expert not in initial
        return added - (step.evicted is not None and step.evicted not in initial)

    def _changed_loads(self, step: _Step) -> dict[int, float]:
        """Return the loads of the ranks that a step affects."""
        loads_by_rank = self._loads_by_rank
        holders = self._holders_by_expert[step.expert]
        load = self._loads[step.expert]
        share_after = load / (len(holders) + 1)
        changed = {
            rank: loads_by_rank[rank] - load / len(holders) + share_after
            for rank in holders
        }
        changed[step.rank] = loads_by_rank[step.rank] + share_after
        if step.evicted is not None:
            evicted_load = self._loads[step.evicted]
            others = self._holders_by_expert[step.evicted] - {step.rank}
            share_before = evicted_load / (len(others) + 1)
            changed[step.rank] -= share_before
            for rank in others:
                changed[rank] = (
                    changed.get(rank, loads_by_rank[rank])
                    - share_before
                    + evicted_load / len(others)
                )
        return changed


def _replica_counts(experts_by_rank: ExpertsByRank, experts: int) -> list[int]:
    counts = [0] * experts
    for rank in experts_by_rank:
        for expert in rank:
            counts[expert] += 1
    return counts
