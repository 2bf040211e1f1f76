"""coordination: place replicas of the experts in high demand.

Each expert stays on the rank that holds it in the group's first map. The remaining
slots of a rank hold replicas. Two maps of a group therefore differ only in replicas: a
rank never copies more experts than it has slots for replicas, and an outdated map is
still close to a good one.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Minimum reduction of the hottest rank's load that justifies copying an expert, as a
# share of the mean load.
MIN_GAIN_SHARE = 0.03
# Number of experts of the hottest rank that are considered, heaviest first.
MAX_CANDIDATE_EXPERTS = 3

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
    """

    ranks: int
    layer_sets: int
    experts: int
    slots_per_rank: int
    max_copies_per_rank: int


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


def improve_replicas(
    experts_by_rank: ExpertsByRank,
    loads: Sequence[float],
    shape: MapShape,
) -> ExpertsByRank:
    """Return a more even map of one layer set that needs few copies of experts."""
    current = [set(rank) for rank in experts_by_rank]
    total = sum(loads)
    if total <= 0.0:
        return current
    min_gain = MIN_GAIN_SHARE * total / shape.ranks
    for _ in range(shape.ranks * shape.max_copies_per_rank):
        step = _best_step(current, experts_by_rank, loads, shape)
        if step is None or step.gain < min_gain:
            break
        current[step.rank].add(step.expert)
        if step.evicted is not None:
            current[step.rank].discard(step.evicted)
    return current


@dataclass(frozen=True, slots=True)
class _Step:
    gain: float
    rank: int
    expert: int
    evicted: int | None


def _best_step(
    current: ExpertsByRank,
    initial: ExpertsByRank,
    loads: Sequence[float],
    shape: MapShape,
) -> _Step | None:
    replica_counts = _replica_counts(current, shape.experts)
    replica_loads = [
        load / max(1, count) for load, count in zip(loads, replica_counts, strict=True)
    ]
    loads_by_rank = [sum(replica_loads[expert] for expert in rank) for rank in current]
    hottest_rank = max(range(shape.ranks), key=loads_by_rank.__getitem__)
    heaviest_experts = sorted(
        current[hottest_rank], key=replica_loads.__getitem__, reverse=True
    )
    least_loaded_replicas = [
        _least_loaded_replica(experts, rank, replica_loads, shape)
        for rank, experts in enumerate(current)
    ]
    best: _Step | None = None
    for expert in heaviest_experts[:MAX_CANDIDATE_EXPERTS]:
        new_replica_load = loads[expert] / (replica_counts[expert] + 1)
        for rank in range(shape.ranks):
            if expert in current[rank]:
                continue
            least_loaded = least_loaded_replicas[rank]
            is_full = len(current[rank]) >= shape.slots_per_rank
            if is_full and least_loaded is None:
                continue
            new_experts = current[rank] | {expert}
            if is_full and least_loaded is not None:
                new_experts.discard(least_loaded)
            if len(new_experts - initial[rank]) > shape.max_copies_per_rank:
                continue
            evicted = least_loaded if is_full else None
            max_other_load = _max_other_load(
                current,
                loads_by_rank,
                replica_loads,
                replica_counts,
                loads,
                rank,
                expert,
                evicted,
            )
            gain = loads_by_rank[hottest_rank] - max(
                max_other_load,
                loads_by_rank[rank]
                + new_replica_load
                - _load_of(replica_loads, evicted),
            )
            if best is None or gain > best.gain:
                best = _Step(gain, rank, expert, evicted)
    return best


def _load_of(replica_loads: Sequence[float], expert: int | None) -> float:
    return 0.0 if expert is None else replica_loads[expert]


def _max_other_load(
    current: ExpertsByRank,
    loads_by_rank: Sequence[float],
    replica_loads: Sequence[float],
    replica_counts: Sequence[int],
    loads: Sequence[float],
    target: int,
    expert: int,
    evicted: int | None,
) -> float:
    """Return the highest load among the ranks other than the target after one step."""
    decrease = replica_loads[expert] - loads[expert] / (replica_counts[expert] + 1)
    increase = 0.0
    if evicted is not None and replica_counts[evicted] > 1:
        increase = (
            loads[evicted] / (replica_counts[evicted] - 1) - replica_loads[evicted]
        )
    max_load = 0.0
    for rank, experts in enumerate(current):
        if rank == target:
            continue
        load = loads_by_rank[rank]
        if expert in experts:
            load -= decrease
        if evicted is not None and evicted in experts:
            load += increase
        max_load = max(max_load, load)
    return max_load


def _least_loaded_replica(
    experts: set[int],
    rank: int,
    replica_loads: Sequence[float],
    shape: MapShape,
) -> int | None:
    """Return the least loaded replica on a rank, none if it has no replicas."""
    replicas = [expert for expert in experts if expert % shape.ranks != rank]
    return min(replicas, key=replica_loads.__getitem__, default=None)


def _replica_counts(experts_by_rank: ExpertsByRank, experts: int) -> list[int]:
    counts = [0] * experts
    for rank in experts_by_rank:
        for expert in rank:
            counts[expert] += 1
    return counts
