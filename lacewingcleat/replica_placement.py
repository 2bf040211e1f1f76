"""coordination: where to put replicas of the experts in demand.

Each expert keeps the rank that it has in the group's first map; the other places of a
rank hold replicas. A map therefore differs from any other one only in replicas, so a
rank never copies more than its replica places, and a late map is never far from good.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# A replica must lower the hottest rank's load by this share of the mean to be copied.
MIN_GAIN_SHARE = 0.03
# Experts of the hottest rank that are considered, heaviest first.
EXPERTS_TRIED = 3

# Experts by rank, for one set of layers.
RankExperts = list[set[int]]


@dataclass(frozen=True, slots=True)
class MapShape:
    """Describe what maps of a group look like.

    :param sets: sets of layers that share a map.
    :param places: experts that a rank can hold in a set.
    :param spare: experts new to a rank that one order may bring in a set.
    """

    ranks: int
    sets: int
    experts: int
    places: int
    spare: int


def first_map(shape: MapShape) -> list[RankExperts]:
    """Return the map with which a group is formed."""
    return [
        [set(range(rank, shape.experts, shape.ranks)) for rank in range(shape.ranks)]
        for _ in range(shape.sets)
    ]


def rank_loads(held: RankExperts, loads: Sequence[float]) -> list[float]:
    """Return the load of each rank; the ranks of an expert share it evenly."""
    counts = _holder_counts(held, len(loads))
    return [sum(loads[expert] / counts[expert] for expert in rank) for rank in held]


def skew(held: RankExperts, loads: Sequence[float]) -> float:
    """Return the load of the hottest rank over the mean, 1 for an even map."""
    loads_by_rank = rank_loads(held, loads)
    total = sum(loads_by_rank)
    return max(loads_by_rank) * len(loads_by_rank) / total if total > 0.0 else 1.0


def improve_replicas(
    held: RankExperts,
    loads: Sequence[float],
    shape: MapShape,
) -> RankExperts:
    """Return a more even map of one set that needs few copies."""
    current = [set(rank) for rank in held]
    total = sum(loads)
    if total <= 0.0:
        return current
    least_gain = MIN_GAIN_SHARE * total / shape.ranks
    for _ in range(shape.ranks * shape.spare):
        step = _best_step(current, held, loads, shape)
        if step is None or step.gain < least_gain:
            break
        current[step.rank].add(step.expert)
        if step.dropped is not None:
            current[step.rank].discard(step.dropped)
    return current


@dataclass(frozen=True, slots=True)
class _Step:
    gain: float
    rank: int
    expert: int
    dropped: int | None


def _best_step(
    current: RankExperts,
    before: RankExperts,
    loads: Sequence[float],
    shape: MapShape,
) -> _Step | None:
    counts = _holder_counts(current, shape.experts)
    shares = [load / max(1, count) for load, count in zip(loads, counts, strict=True)]
    times = [sum(shares[expert] for expert in rank) for rank in current]
    hot = max(range(shape.ranks), key=times.__getitem__)
    heavy = sorted(current[hot], key=shares.__getitem__, reverse=True)
    dropped_by_rank = [
        _dropped(experts, rank, shares, shape) for rank, experts in enumerate(current)
    ]
    best: _Step | None = None
    for expert in heavy[:EXPERTS_TRIED]:
        smaller = loads[expert] / (counts[expert] + 1)
        for rank in range(shape.ranks):
            if expert in current[rank]:
                continue
            dropped = dropped_by_rank[rank]
            full = len(current[rank]) >= shape.places
            if full and dropped is None:
                continue
            new = current[rank] | {expert}
            if full and dropped is not None:
                new.discard(dropped)
            if len(new - before[rank]) > shape.spare:
                continue
            gone = dropped if full else None
            after = _hottest(current, times, shares, counts, loads, rank, expert, gone)
            gain = times[hot] - max(after, times[rank] + smaller - _of(shares, gone))
            if best is None or gain > best.gain:
                best = _Step(gain, rank, expert, gone)
    return best


def _of(shares: Sequence[float], expert: int | None) -> float:
    return 0.0 if expert is None else shares[expert]


def _hottest(
    current: RankExperts,
    times: Sequence[float],
    shares: Sequence[float],
    counts: Sequence[int],
    loads: Sequence[float],
    target: int,
    expert: int,
    dropped: int | None,
) -> float:
    """Return the hottest load of the other ranks after one step."""
    relief = shares[expert] - loads[expert] / (counts[expert] + 1)
    extra = 0.0
    if dropped is not None and counts[dropped] > 1:
        extra = loads[dropped] / (counts[dropped] - 1) - shares[dropped]
    hottest = 0.0
    for rank, experts in enumerate(current):
        if rank == target:
            continue
        time = times[rank]
        if expert in experts:
            time -= relief
        if dropped is not None and dropped in experts:
            time += extra
        hottest = max(hottest, time)
    return hottest


def _dropped(
    experts: set[int],
    rank: int,
    shares: Sequence[float],
    shape: MapShape,
) -> int | None:
    """Return the replica of a rank that is used least."""
    replicas = [expert for expert in experts if expert % shape.ranks != rank]
    return min(replicas, key=shares.__getitem__, default=None)


def _holder_counts(held: RankExperts, experts: int) -> list[int]:
    counts = [0] * experts
    for rank in held:
        for expert in rank:
            counts[expert] += 1
    return counts
