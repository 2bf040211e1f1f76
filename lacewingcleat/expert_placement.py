"""coordination: choose how many replicas each expert has and on which ranks.

Each rank has a fixed number of slots per layer. A placement is an array of expert
numbers by rank and slot for one layer. The load of an expert is divided over its
replicas evenly by rank speed, so a replica on a slow rank takes less.
"""

import heapq
from dataclasses import dataclass

import msgpack
import numpy as np
import numpy.typing as npt

Loads = npt.NDArray[np.float64]
Slots = npt.NDArray[np.int16]

MIN_GAIN_SHARE = 0.002


@dataclass(frozen=True, slots=True)
class SlotChange:
    """Put an expert into a slot of a rank in one layer."""

    layer: int
    rank: int
    slot: int
    expert: int


def replica_counts(loads: Loads, total_slots: int, limit: int) -> npt.NDArray[np.int64]:
    """Return replicas per expert that minimise the hottest replica.

    :param limit: most replicas of one expert, at most one per rank.
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
    """Return the time of each rank in one layer, with 1 unit of load per unit speed."""
    weights = _replica_loads(slots, loads, speeds) / speeds[:, None]
    return np.asarray(weights.sum(axis=1))


def place_experts(loads: Loads, ranks: int, slots: int, speeds: Loads) -> Slots:
    """Place one layer from nothing: heaviest replica first, on the least loaded rank.

    :param slots: slots per rank; `ranks * slots` is at least the number of experts.
    """
    counts = replica_counts(loads, ranks * slots, ranks)
    share = loads / counts
    placed = np.full((ranks, slots), -1, dtype=np.int16)
    filled = [0] * ranks
    heap = [(0.0, rank) for rank in range(ranks)]
    for expert in np.argsort(-share, kind="stable"):
        # All replicas of one expert together, so no rank gets two of them.
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
    """Return a better placement of one layer that differs in few slots.

    Each round relieves the slowest rank by `relieve_rank` and ends when that gains
    less than `min_gain` of the mean time.

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
    """Hold a placement in which one rank has less to do.

    :param worst: time of the slowest rank among those whose replicas changed.
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
    """Exchange a replica of a rank, or replicate its heaviest expert elsewhere.

    :param times: time of each rank over all layers.
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
    # Experts on both ranks would put two replicas of one expert on one rank.
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
    # Removing a replica raises the others of its expert from share to grown.
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
    # Counts each replica by its rank's speed.
    total = np.bincount(slots.ravel(), speed.ravel(), minlength=len(loads))
    return np.asarray(loads[slots] * speed / total[slots])


def lower_bound(loads: Loads, total_slots: int, ranks: int, speeds: Loads) -> float:
    """Return a time below which no placement can bring the slowest rank.

    It is the mean, or the hottest replica when the slots are used best.
    """
    counts = replica_counts(loads, total_slots, ranks)
    hottest = float((loads / counts).max()) / float(speeds.max())
    return max(float(loads.sum() / speeds.sum()), hottest)


def changes_between(old: Slots, new: Slots) -> list[SlotChange]:
    """Return the slots that differ between two maps of all layers."""
    return [
        SlotChange(int(layer), int(rank), int(slot), int(new[layer, rank, slot]))
        for layer, rank, slot in np.argwhere(old != new)
    ]


def encode_changes(changes: list[SlotChange]) -> bytes:
    """Pack changes for `SwitchPrepare`."""
    rows = [(each.layer, each.rank, each.slot, each.expert) for each in changes]
    return bytes(msgpack.packb(rows))


def decode_changes(packed: bytes) -> list[SlotChange]:
    """Unpack what `encode_changes` has packed."""
    return [SlotChange(*row) for row in msgpack.unpackb(packed)]


def encode_map(slots: Slots) -> bytes:
    """Pack the map of all layers, for a rank that has none."""
    return bytes(msgpack.packb((slots.shape, slots.astype("<i2").tobytes())))


def decode_map(packed: bytes) -> Slots:
    """Unpack what `encode_map` has packed."""
    shape, content = msgpack.unpackb(packed)
    return np.frombuffer(content, dtype="<i2").reshape(shape).astype(np.int16)


def apply_changes(slots: Slots, changes: list[SlotChange]) -> Slots:
    """Return the map that results from changes."""
    new = slots.copy()
    for each in changes:
        new[each.layer, each.rank, each.slot] = each.expert
    return new
