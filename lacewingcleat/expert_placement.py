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

FloatArray = npt.NDArray[np.float64]
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


def replica_counts(
    loads: FloatArray, total_slots: int, max_replicas: int
) -> npt.NDArray[np.int64]:
    """Return replica counts per expert that minimise the hottest replica's load.

    :param max_replicas: maximum number of replicas of one expert, at most one per rank.
    """
    counts = np.ones(len(loads), dtype=np.int64)
    heap = [(-float(load), expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    for _ in range(total_slots - len(loads)):
        while heap:
            _, expert = heapq.heappop(heap)
            if counts[expert] < max_replicas:
                break
        else:
            break
        counts[expert] += 1
        heapq.heappush(heap, (-float(loads[expert]) / int(counts[expert]), expert))
    return counts


def rank_times(slots: Slots, loads: FloatArray, speeds: FloatArray) -> FloatArray:
    """Return the processing time of each rank in one layer.

    A rank of speed 1 processes one unit of load per unit of time.
    """
    replica_times = _replica_loads(slots, loads, speeds) / speeds[:, None]
    return np.asarray(replica_times.sum(axis=1))


def place_experts(
    loads: FloatArray, ranks: int, slots_per_rank: int, speeds: FloatArray
) -> Slots:
    """Place one layer from scratch: heaviest replica first, on the least loaded rank.

    :param slots_per_rank: slots of each rank; the slots of all ranks together
        must suffice for one replica of each expert.
    """
    counts = replica_counts(loads, ranks * slots_per_rank, ranks)
    replica_loads = loads / counts
    placed = np.full((ranks, slots_per_rank), -1, dtype=np.int16)
    filled_slots = [0] * ranks
    heap = [(0.0, rank) for rank in range(ranks)]
    for expert in np.argsort(-replica_loads, kind="stable"):
        # Takes the ranks for all replicas at once, so that no rank gets two of them.
        targets = [
            heapq.heappop(heap) for _ in range(min(int(counts[expert]), len(heap)))
        ]
        for time, rank in targets:
            placed[rank, filled_slots[rank]] = expert
            filled_slots[rank] += 1
            if filled_slots[rank] < slots_per_rank:
                new_time = time + float(replica_loads[expert]) / float(speeds[rank])
                heapq.heappush(heap, (new_time, rank))
    placed[placed < 0] = int(np.argmax(loads))
    return placed


def improve_placement(
    slots: Slots,
    loads: FloatArray,
    speeds: FloatArray,
    max_changes: int,
    other_layer_times: FloatArray | None = None,
    min_gain: float = MIN_GAIN_SHARE,
) -> Slots:
    """Return an improved placement of one layer that differs in few slots.

    Each round applies `relieve_rank` to the slowest rank. The search ends when a round
    gains less than `min_gain` of the mean time, or after `max_changes` slots.

    :param other_layer_times: time of each rank in the other layers.
    """
    current = slots
    base_times = (
        np.zeros(len(slots)) if other_layer_times is None else other_layer_times
    )
    changed_slots = 0
    while changed_slots < max_changes:
        times = base_times + rank_times(current, loads, speeds)
        slowest_rank = int(np.argmax(times))
        relief = relieve_rank(current, loads, speeds, times, slowest_rank)
        if (
            relief is None
            or times[slowest_rank] - relief.max_affected_time < min_gain * times.mean()
        ):
            break
        changed_slots += int((relief.slots != current).sum())
        current = relief.slots
    return current


@dataclass(frozen=True, slots=True)
class Relief:
    """Represent a placement of one layer that reduces the time of one rank.

    :param max_affected_time: time of the slowest rank among those whose time
        has changed.
    """

    max_affected_time: float
    slots: Slots


def relieve_rank(
    slots: Slots,
    loads: FloatArray,
    speeds: FloatArray,
    times: FloatArray,
    slowest_rank: int,
) -> Relief | None:
    """Exchange a replica of a rank, or replicate its heaviest expert on another rank.

    :param times: time of each rank over all layers.
    :param slowest_rank: rank to relieve.
    :return: the better of the two changes, or none if neither reduces the time.
    """
    best: Relief | None = None
    candidates = (
        _exchange_replica(slots, loads, speeds, times, slowest_rank),
        _add_replica(slots, loads, times, slowest_rank),
    )
    times_before = rank_times(slots, loads, speeds)
    for candidate in candidates:
        if candidate is None:
            continue
        time_changes = rank_times(candidate, loads, speeds) - times_before
        affected = time_changes != 0
        affected[slowest_rank] = True
        max_affected_time = float((times + time_changes)[affected].max())
        if max_affected_time < times[slowest_rank] and (
            best is None or max_affected_time < best.max_affected_time
        ):
            best = Relief(max_affected_time, candidate)
    return best


def _exchange_replica(
    slots: Slots,
    loads: FloatArray,
    speeds: FloatArray,
    times: FloatArray,
    slowest_rank: int,
) -> Slots | None:
    replica_loads = _replica_loads(slots, loads, speeds)
    # Excludes experts that both ranks hold, as no rank may get two replicas of one.
    on_slowest_rank = np.isin(slots, slots[slowest_rank])
    moved_load = replica_loads[slowest_rank][:, None, None] - replica_loads[None, :, :]
    slowest_after = times[slowest_rank] - moved_load / speeds[slowest_rank]
    other_after = times[None, :, None] + moved_load / speeds[None, :, None]
    max_time = np.maximum(slowest_after, other_after)
    max_time[:, on_slowest_rank] = np.inf
    already_held = (slots[None, :, :] == slots[slowest_rank][:, None, None]).any(axis=2)
    max_time[already_held] = np.inf
    max_time[:, slowest_rank, :] = np.inf
    own_slot, rank, slot = np.unravel_index(int(np.argmin(max_time)), max_time.shape)
    if not max_time[own_slot, rank, slot] < times[slowest_rank]:
        return None
    new = slots.copy()
    new[slowest_rank, own_slot], new[rank, slot] = (
        slots[rank, slot],
        slots[slowest_rank, own_slot],
    )
    return new


def _add_replica(
    slots: Slots,
    loads: FloatArray,
    times: FloatArray,
    slowest_rank: int,
) -> Slots | None:
    counts = np.bincount(slots.ravel(), minlength=len(loads))
    expert = int(max(slots[slowest_rank], key=lambda each: loads[each] / counts[each]))
    if counts[expert] >= len(slots):
        return None
    replica_loads = loads / np.maximum(counts, 1)
    loads_after_removal = np.where(
        counts > 1, loads / np.maximum(counts - 1, 1), np.inf
    )
    # Removing a replica raises the load of the expert's other replicas.
    cost = (
        (loads_after_removal - replica_loads)[slots]
        + times[:, None]
        - replica_loads[slots]
    )
    cost[(slots == expert).any(axis=1)] = np.inf
    rank, slot = np.unravel_index(int(np.argmin(cost)), cost.shape)
    if not np.isfinite(cost[rank, slot]):
        return None
    new = slots.copy()
    new[rank, slot] = expert
    return new


def _replica_loads(slots: Slots, loads: FloatArray, speeds: FloatArray) -> FloatArray:
    replica_speeds = np.broadcast_to(speeds[:, None], slots.shape)
    # Weights each replica by the speed of its rank.
    total_speeds = np.bincount(
        slots.ravel(), replica_speeds.ravel(), minlength=len(loads)
    )
    return np.asarray(loads[slots] * replica_speeds / total_speeds[slots])


def lower_bound(
    loads: FloatArray, total_slots: int, ranks: int, speeds: FloatArray
) -> float:
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
    rows = [
        (change.layer, change.rank, change.slot, change.expert) for change in changes
    ]
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
    for change in changes:
        new[change.layer, change.rank, change.slot] = change.expert
    return new
