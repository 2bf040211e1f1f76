"""coordination: decide whether a change of the expert map is worth its cost.

A plan is a sequence of small steps, each of which moves load off the slowest rank. The
value of a prefix of the sequence is its gain less its cost. The gain is the step time
saved over the expected lifetime of the load, multiplied by the skew weight. The cost is
the time for weight transfers, lost cache entries and the hold during the switch,
multiplied by the rebalance weight. The prefix of the highest value is proposed if its
gain exceeds its cost by a margin.
"""

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from lacewingcleat.expert_placement import (
    FloatArray,
    SlotChange,
    Slots,
    changes_between,
    rank_times,
    relieve_rank,
)

MIN_GAIN_COST_RATIO = 1.3
# A step takes about 5 ms at 256 ranks. Two steps per slice come too close to the limit
# of 20 ms per slice.
STEPS_PER_SLICE = 1
CANDIDATE_LAYERS_PER_STEP = 3
TARGET_SKEW = 1.01
# Consecutive plans that must be worth their cost before one is proposed.
REQUIRED_CONFIRMATIONS = 2
# Each switch holds the group. The loads of the layers are updated once a minute, so
# this limits the holds to a tenth of those of a repack on each update.
MIN_CHANGE_INTERVAL_SECONDS = 600.0
MIN_LIFETIME_SECONDS = 300.0
MAX_LIFETIME_SECONDS = 7200.0
INITIAL_LIFETIME_SECONDS = 1200.0


@dataclass(frozen=True, slots=True)
class MapChangeCosts:
    """Represent the cost of a map change, in seconds of group time.

    :param seconds_per_slot: time to load one expert through the weight store.
    :param cache_entries_per_slot: prompt prefixes evicted to free memory for one load.
    :param seconds_per_cache_entry: time to recompute an evicted prefix.
    :param hold_seconds: time for which a switch holds the group.
    """

    seconds_per_slot: float = 0.05
    cache_entries_per_slot: float = 2.0
    seconds_per_cache_entry: float = 0.01
    hold_seconds: float = 0.15

    def seconds_for(self, slots: int) -> float:
        """Return the cost in seconds of a change of the given number of slots."""
        if slots == 0:
            return 0.0
        cache_seconds = self.cache_entries_per_slot * self.seconds_per_cache_entry
        return slots * (self.seconds_per_slot + cache_seconds) + self.hold_seconds


@dataclass(frozen=True, slots=True)
class RebalancePlan:
    """Represent a proposed change of the map.

    :param slots: proposed map, by layer, rank and slot.
    :param gain_seconds: group time saved over the expected lifetime of the load,
        multiplied by the skew weight.
    :param cost_seconds: group time that the change costs, multiplied by the rebalance
        weight.
    """

    slots: Slots
    changes: tuple[SlotChange, ...]
    skew_before: float
    skew_after: float
    gain_seconds: float
    cost_seconds: float


@dataclass(slots=True)
class _Search:
    loads: FloatArray
    speeds: FloatArray
    slots: Slots
    times: FloatArray
    initial_max_time: float
    changed_slots: set[tuple[int, int, int]]
    best_value: float = 0.0
    best_steps: int = 0
    best_slots: Slots | None = None
    best_max_time: float = 0.0
    best_change_count: int = 0
    step_count: int = 0


class RebalancePlanner:
    """Plan changes of one group's map in time slices.

    :param slots: current map: expert numbers by layer, rank and slot.
    """

    def __init__(
        self,
        slots: Slots,
        skew_weight: float,
        rebalance_weight: float,
        costs: MapChangeCosts,
    ) -> None:
        self.slots = slots
        self.lifetime_seconds = INITIAL_LIFETIME_SECONDS
        self._skew_weight = skew_weight
        self._rebalance_weight = rebalance_weight
        self._costs = costs
        self._search: _Search | None = None
        self._confirmations = 0
        self._switched_at: float | None = None

    @property
    def is_planning(self) -> bool:
        """Return whether a plan is in progress."""
        return self._search is not None

    def start(self, loads: FloatArray, speeds: FloatArray, now: float) -> bool:
        """Start planning for a load estimate.

        :param loads: share of load by layer and expert.
        :param speeds: relative speed by rank.
        :return: whether planning has started; it has not if the last switch is too
            recent or the current map is even enough.
        """
        if (
            self._switched_at is not None
            and now - self._switched_at < MIN_CHANGE_INTERVAL_SECONDS
        ):
            return False
        times = total_times(self.slots, loads, speeds)
        ideal_time = float(loads.sum() / speeds.sum())
        if times.max() <= TARGET_SKEW * ideal_time:
            self._search = None
            self._confirmations = 0
            return False
        max_time = float(times.max())
        slots = self.slots.copy()
        self._search = _Search(loads.copy(), speeds, slots, times, max_time, set())
        self._search.best_max_time = max_time
        return True

    def run_slice(self, now: float) -> RebalancePlan | None:
        """Run one slice; return a plan once it is complete and justifies its cost."""
        search = self._search
        if search is None:
            return None
        for _ in range(STEPS_PER_SLICE):
            if not self._run_step(search):
                self._search = None
                return self._evaluate(search)
        return None

    def record_switch(self, plan: RebalancePlan, now: float) -> None:
        """Record a completed switch, and update the expected lifetime of a map."""
        if self._switched_at is not None:
            lifetime = min(
                max(now - self._switched_at, MIN_LIFETIME_SECONDS), MAX_LIFETIME_SECONDS
            )
            self.lifetime_seconds += 0.3 * (lifetime - self.lifetime_seconds)
        self._switched_at = now
        self.slots = plan.slots
        self._search = None
        self._confirmations = 0

    def _run_step(self, search: _Search) -> bool:
        ideal_time = float(search.loads.sum() / search.speeds.sum())
        slowest_rank = int(np.argmax(search.times))
        if search.times[slowest_rank] <= TARGET_SKEW * ideal_time:
            return False
        best_layer = -1
        best_time = float(search.times[slowest_rank])
        best_slots: Slots | None = None
        for layer in self._candidate_layers(search, slowest_rank):
            relief = relieve_rank(
                search.slots[layer],
                search.loads[layer],
                search.speeds,
                search.times,
                slowest_rank,
            )
            if relief is not None and relief.max_affected_time < best_time:
                best_layer, best_time, best_slots = (
                    layer,
                    relief.max_affected_time,
                    relief.slots,
                )
        if best_slots is None:
            return False
        self._apply_step(search, best_layer, best_slots)
        return True

    def _candidate_layers(self, search: _Search, slowest_rank: int) -> list[int]:
        layers = len(search.slots)
        max_loads = search.loads[
            np.arange(layers)[:, None], search.slots[:, slowest_rank]
        ].max(axis=1)
        order = np.argsort(-max_loads, kind="stable")
        # Rotates the candidates, so that layers without an improvement do not block
        # the others.
        offset = (
            search.step_count
            % max(1, layers // CANDIDATE_LAYERS_PER_STEP)
            * CANDIDATE_LAYERS_PER_STEP
        )
        return [
            int(layer) for layer in np.roll(order, -offset)[:CANDIDATE_LAYERS_PER_STEP]
        ]

    def _apply_step(self, search: _Search, layer: int, new: Slots) -> None:
        old = search.slots[layer]
        loads = search.loads[layer]
        search.times = search.times + rank_times(new, loads, search.speeds)
        search.times -= rank_times(old, loads, search.speeds)
        for rank, slot in np.argwhere(new != old):
            position = (layer, int(rank), int(slot))
            if new[rank, slot] == self.slots[position]:
                search.changed_slots.discard(position)
            else:
                search.changed_slots.add(position)
        search.slots[layer] = new
        search.step_count += 1
        max_time = float(search.times.max())
        change_count = len(search.changed_slots)
        value = self._gain(search, max_time) - self._cost(change_count)
        if value > search.best_value:
            search.best_value = value
            search.best_max_time = max_time
            search.best_change_count = change_count
            search.best_slots = search.slots.copy()

    def _gain(self, search: _Search, max_time: float) -> float:
        saved_share = (search.initial_max_time - max_time) / search.initial_max_time
        return self._skew_weight * saved_share * self.lifetime_seconds

    def _cost(self, change_count: int) -> float:
        return self._rebalance_weight * self._costs.seconds_for(change_count)

    def _evaluate(self, search: _Search) -> RebalancePlan | None:
        gain = self._gain(search, search.best_max_time)
        cost = self._cost(search.best_change_count)
        if search.best_slots is None or gain < MIN_GAIN_COST_RATIO * cost:
            self._confirmations = 0
            return None
        self._confirmations += 1
        if self._confirmations < REQUIRED_CONFIRMATIONS:
            return None
        ideal_time = float(search.loads.sum() / search.speeds.sum())
        return RebalancePlan(
            search.best_slots,
            tuple(changes_between(self.slots, search.best_slots)),
            search.initial_max_time / ideal_time,
            search.best_max_time / ideal_time,
            gain,
            cost,
        )


def total_times(
    slots: Slots,
    loads: FloatArray,
    speeds: FloatArray,
) -> npt.NDArray[np.float64]:
    """Return the time of each rank over all layers."""
    times = np.zeros(slots.shape[1])
    for layer_slots, layer_loads in zip(slots, loads, strict=True):
        times += rank_times(layer_slots, layer_loads, speeds)
    return times
