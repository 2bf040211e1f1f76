"""coordination: choose the number of replicas of each expert and their ranks.

Each rank has a fixed number of slots per layer. A placement is an array of expert
numbers by rank and slot for one layer. The load of an expert is divided over its
replicas in proportion to the speed of their ranks.
"""

import heapq
from dataclasses import dataclass

import msgpack
import numpy as np
import numpy.typing as npt

Loads = npt.NDArray[np.float64]
Slots = npt.NDArray[np.int16]

# Minimum reduction of the slowest rank's time per round, as a share of the mean time.
MIN_GAIN_SHARE = 0.002


@dataclass(frozen=True, slots=True)
class SlotChange:
    """Represent the assignment of an expert to a slot of a rank in one layer."""

    layer: int
    rank: int
    slot: int
    expert: int


def replica_counts(loads: Loads, total_slots: int, limit: int) -> npt.NDArray[np.int64]:
    """Return replica counts per expert that minimise the hottest replica's load.

    :param limit: maximum number of replicas of one expert, at most one per rank.
    """
    counts = np.ones(len(loads), dtype=np.int64)
    heap = [(-float(load), expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    for _ in range(total_slots - len(loads)):
        while heap:
            _, expert = heapq.heappop(heap)
            if counts[expert] < limit:
                break
        else:
            break
        counts[expert] += 1
        heapq.heappush(heap, (-float(loads[expert]) / int(counts[expert]), expert))
    return counts


def rank_loads(slots: Slots, loads: Loads, speeds: Loads) -> Loads:
    """Return the processing time of each rank in one layer.

    A rank of speed 1 processes one unit of load per unit of time.
    """
    weights = _replica_loads(slots, loads, speeds) / speeds[:, None]
    return np.asarray(weights.sum(axis=1))


def place_experts(loads: Loads, ranks: int, slots: int, speeds: Loads) -> Slots:
    """Place one layer from scratch: heaviest replica first, on the least loaded rank.

    :param slots: slots of each rank; the slots of all ranks together
        must suffice for one replica of each expert.
    """
    counts = replica_counts(loads, ranks * slots, ranks)
    share = loads / counts
    placed = np.full((ranks, slots), -1, dtype=np.int16)
    filled = [0] * ranks
    heap = [(0.0, rank) for rank in range(ranks)]
    for expert in np.argsort(-share, kind="stable"):
        # Takes the ranks for all replicas at once, so that no rank gets two of them.
        chosen = [
            heapq.heappop(heap) for _ in range(min(int(counts[expert]), len(heap)))
        ]
        for time, rank in chosen:
            placed[rank, filled[rank]] = expert
            filled[rank] += 1
            if filled[rank] < slots:
                later = time + float(share[expert]) / float(speeds[rank])
                heapq.heappush(heap, (later, rank))
    placed[placed < 0] = int(np.argmax(loads))
    return placed


def improve_placement(
    slots: Slots,
    loads: Loads,
    speeds: Loads,
    max_changes: int,
    base: Loads | None = None,
    min_gain: float = MIN_GAIN_SHARE,
) -> Slots:
    """Return an improved placement of one layer that differs in few slots.

    Each round applies `relieve_rank` to the slowest rank. The search ends when a round
    gains less than `min_gain` of the mean time, or after `max_changes` slots.

    :param base: time of each rank in the other layers.
    """
    current = slots
    rest = np.zeros(len(slots)) if base is None else base
    changed = 0
    while changed < max_changes:
        times = rest + rank_loads(current, loads, speeds)
        hot = int(np.argmax(times))
        relief = relieve_rank(current, loads, speeds, times, hot)
        if relief is None or times[hot] - relief.worst < min_gain * times.mean():
            break
        changed += int((relief.slots != current).sum())
        current = relief.slots
    return current


@dataclass(frozen=True, slots=True)
class Relief:
    """Represent a placement of one layer that reduces the time of one rank.

    :param worst: time of the slowest rank among those whose time
        has changed.
    """

    worst: float
    slots: Slots


def relieve_rank(
    slots: Slots,
    loads: Loads,
    speeds: Loads,
    times: Loads,
    hot: int,
) -> Relief | None:
    """Exchange a replica of a rank, or replicate its heaviest expert on another rank.

    :param times: time of each rank over all layers.
    :param hot: rank to relieve.
    :return: the better of the two changes, or none if neither reduces the time.
    """
    best: Relief | None = None
    steps = (
        _exchange(slots, loads, speeds, times, hot),
        _replicate(slots, loads, times, hot),
    )
    old = rank_loads(slots, loads, speeds)
    for step in steps:
        if step is None:
            continue
        moved = rank_loads(step, loads, speeds) - old
        touched = moved != 0
        touched[hot] = True
        worst = float((times + moved)[touched].max())
        if worst < times[hot] and (best is None or worst < best.worst):
            best = Relief(worst, step)
    return best


def _exchange(
    slots: Slots,
    loads: Loads,
    speeds: Loads,
    times: Loads,
    hot: int,
) -> Slots | None:
    weights = _replica_loads(slots, loads, speeds)
    # Excludes experts that both ranks hold, as no rank may get two replicas of one.
    on_hot = np.isin(slots, slots[hot])
    gone = weights[hot][:, None, None] - weights[None, :, :]
    hot_after = times[hot] - gone / speeds[hot]
    other_after = times[None, :, None] + gone / speeds[None, :, None]
    worst = np.maximum(hot_after, other_after)
    worst[:, on_hot] = np.inf
    present = (slots[None, :, :] == slots[hot][:, None, None]).any(axis=2)
    worst[present] = np.inf
    worst[:, hot, :] = np.inf
    mine, rank, slot = np.unravel_index(int(np.argmin(worst)), worst.shape)
    if not worst[mine, rank, slot] < times[hot]:
        return None
    new = slots.copy()
    new[hot, mine], new[rank, slot] = slots[rank, slot], slots[hot, mine]
    return new


def _replicate(
    slots: Slots,
    loads: Loads,
    times: Loads,
    hot: int,
) -> Slots | None:
    counts = np.bincount(slots.ravel(), minlength=len(loads))
    expert = int(max(slots[hot], key=lambda each: loads[each] / counts[each]))
    if counts[expert] >= len(slots):
        return None
    share = loads / np.maximum(counts, 1)
    grown = np.where(counts > 1, loads / np.maximum(counts - 1, 1), np.inf)
    # Removing a replica raises the load of the expert's other replicas.
    cost = (grown - share)[slots] + times[:, None] - share[slots]
    cost[(slots == expert).any(axis=1)] = np.inf
    rank, slot = np.unravel_index(int(np.argmin(cost)), cost.shape)
    if not np.isfinite(cost[rank, slot]):
        return None
    new = slots.copy()
    new[rank, slot] = expert
    return new


def _replica_loads(slots: Slots, loads: Loads, speeds: Loads) -> Loads:
    speed = np.broadcast_to(speeds[:, None], slots.shape)
    # Weights each replica by the speed of its rank.
    total = np.bincount(slots.ravel(), speed.ravel(), minlength=len(loads))
    return np.asarray(loads[slots] * speed / total[slots])


def lower_bound(loads: Loads, total_slots: int, ranks: int, speeds: Loads) -> float:
    """Return a lower bound of the slowest rank's time over all placements.

    The bound is the mean time, or the time of the hottest replica on the fastest rank
    with optimal replica counts if that is longer.
    """
    counts = replica_counts(loads, total_slots, ranks)
    hottest = float((loads / counts).max()) / float(speeds.max())
    return max(float(loads.sum() / speeds.sum()), hottest)


def changes_between(old: Slots, new: Slots) -> list[SlotChange]:
    """Return the slot changes between two maps of all layers."""
    return [
        SlotChange(int(layer), int(rank), int(slot), int(new[layer, rank, slot]))
        for layer, rank, slot in np.argwhere(old != new)
    ]


def encode_changes(changes: list[SlotChange]) -> bytes:
    """Encode slot changes for `SwitchPrepare`."""
    rows = [(each.layer, each.rank, each.slot, each.expert) for each in changes]
    return bytes(msgpack.packb(rows))


def decode_changes(packed: bytes) -> list[SlotChange]:
    """Decode the slot changes that `encode_changes` has encoded."""
    return [SlotChange(*row) for row in msgpack.unpackb(packed)]


def encode_map(slots: Slots) -> bytes:
    """Encode the map of all layers, for a rank without a map."""
    return bytes(msgpack.packb((slots.shape, slots.astype("<i2").tobytes())))


def decode_map(packed: bytes) -> Slots:
    """Decode the map that `encode_map` has encoded."""
    shape, content = msgpack.unpackb(packed)
    return np.frombuffer(content, dtype="<i2").reshape(shape).astype(np.int16)


def apply_changes(slots: Slots, changes: list[SlotChange]) -> Slots:
    """Return a copy of a map with slot changes applied."""
    new = slots.copy()
    for each in changes:
        new[each.layer, each.rank, each.slot] = each.expert
    return new
