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
    Loads,
    SlotChange,
    Slots,
    changes_between,
    rank_loads,
    relieve_rank,
)

HYSTERESIS = 1.3
# A step takes about 5 ms at 256 ranks. Two steps per slice come too close to the limit
# of 20 ms per slice.
STEPS_PER_SLICE = 1
LAYERS_PER_STEP = 3
TARGET_SKEW = 1.01
# Consecutive plans that must be worth their cost before one is proposed.
CONFIRMATIONS = 2
# Each switch holds the group. The loads of the layers are updated once a minute, so
# this limits the holds to a tenth of those of a repack on each update.
MIN_CHANGE_SECONDS = 600.0
MIN_LIFE_SECONDS = 300.0
MAX_LIFE_SECONDS = 7200.0
INITIAL_LIFE_SECONDS = 1200.0


@dataclass(frozen=True, slots=True)
class MoveCosts:
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

    def of(self, slots: int) -> float:
        """Return the cost in seconds of a change of the given number of slots."""
        if slots == 0:
            return 0.0
        caches = self.cache_entries_per_slot * self.seconds_per_cache_entry
        return slots * (self.seconds_per_slot + caches) + self.hold_seconds


@dataclass(frozen=True, slots=True)
class Plan:
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
class _Work:
    loads: Loads
    speeds: Loads
    slots: Slots
    times: Loads
    hottest: float
    changed_slots: set[tuple[int, int, int]]
    best_value: float = 0.0
    best_steps: int = 0
    best_slots: Slots | None = None
    best_hottest: float = 0.0
    best_changed: int = 0
    steps: int = 0


class RebalancePlanner:
    """Plan changes of one group's map in time slices.

    :param slots: current map: expert numbers by layer, rank and slot.
    """

    def __init__(
        self,
        slots: Slots,
        skew_weight: float,
        rebalance_weight: float,
        costs: MoveCosts,
    ) -> None:
        self.slots = slots
        self.life_seconds = INITIAL_LIFE_SECONDS
        self._skew_weight = skew_weight
        self._rebalance_weight = rebalance_weight
        self._costs = costs
        self._work: _Work | None = None
        self._confirmed = 0
        self._changed_at: float | None = None

    @property
    def working(self) -> bool:
        """Return whether a plan is in progress."""
        return self._work is not None

    def begin(self, loads: Loads, speeds: Loads, now: float) -> bool:
        """Start planning for a load estimate.

        :param loads: share of load by layer and expert.
        :param speeds: relative speed by rank.
        :return: whether planning has started; it has not if the last switch is too
            recent or the current map is even enough.
        """
        if self._changed_at is not None and now - self._changed_at < MIN_CHANGE_SECONDS:
            return False
        times = total_times(self.slots, loads, speeds)
        ideal = float(loads.sum() / speeds.sum())
        if times.max() <= TARGET_SKEW * ideal:
            self._work = None
            self._confirmed = 0
            return False
        hottest = float(times.max())
        slots = self.slots.copy()
        self._work = _Work(loads.copy(), speeds, slots, times, hottest, set())
        self._work.best_hottest = hottest
        return True

    def work(self, now: float) -> Plan | None:
        """Run one slice; return a plan once it is complete and justifies its cost."""
        work = self._work
        if work is None:
            return None
        for _ in range(STEPS_PER_SLICE):
            if not self._improve(work):
                self._work = None
                return self._decide(work)
        return None

    def committed(self, plan: Plan, now: float) -> None:
        """Record a completed switch, and update the expected lifetime of a map."""
        if self._changed_at is not None:
            lasted = min(
                max(now - self._changed_at, MIN_LIFE_SECONDS), MAX_LIFE_SECONDS
            )
            self.life_seconds += 0.3 * (lasted - self.life_seconds)
        self._changed_at = now
        self.slots = plan.slots
        self._work = None
        self._confirmed = 0

    def _improve(self, work: _Work) -> bool:
        ideal = float(work.loads.sum() / work.speeds.sum())
        hot = int(np.argmax(work.times))
        if work.times[hot] <= TARGET_SKEW * ideal:
            return False
        best_layer = -1
        best_worst = float(work.times[hot])
        best: Slots | None = None
        for layer in self._candidate_layers(work, hot):
            relief = relieve_rank(
                work.slots[layer],
                work.loads[layer],
                work.speeds,
                work.times,
                hot,
            )
            if relief is not None and relief.worst < best_worst:
                best_layer, best_worst, best = layer, relief.worst, relief.slots
        if best is None:
            return False
        self._apply(work, best_layer, best)
        return True

    def _candidate_layers(self, work: _Work, hot: int) -> list[int]:
        layers = len(work.slots)
        weights = work.loads[np.arange(layers)[:, None], work.slots[:, hot]].max(axis=1)
        order = np.argsort(-weights, kind="stable")
        # Rotates the candidates, so that layers without an improvement do not block
        # the others.
        first = work.steps % max(1, layers // LAYERS_PER_STEP) * LAYERS_PER_STEP
        return [int(layer) for layer in np.roll(order, -first)[:LAYERS_PER_STEP]]

    def _apply(self, work: _Work, layer: int, new: Slots) -> None:
        old = work.slots[layer]
        loads = work.loads[layer]
        work.times = work.times + rank_loads(new, loads, work.speeds)
        work.times -= rank_loads(old, loads, work.speeds)
        for rank, slot in np.argwhere(new != old):
            place = (layer, int(rank), int(slot))
            if new[rank, slot] == self.slots[place]:
                work.changed_slots.discard(place)
            else:
                work.changed_slots.add(place)
        work.slots[layer] = new
        work.steps += 1
        hottest = float(work.times.max())
        changed = len(work.changed_slots)
        value = self._gain(work, hottest) - self._cost(changed)
        if value > work.best_value:
            work.best_value = value
            work.best_hottest = hottest
            work.best_changed = changed
            work.best_slots = work.slots.copy()

    def _gain(self, work: _Work, hottest: float) -> float:
        saved_share = (work.hottest - hottest) / work.hottest
        return self._skew_weight * saved_share * self.life_seconds

    def _cost(self, changed: int) -> float:
        return self._rebalance_weight * self._costs.of(changed)

    def _decide(self, work: _Work) -> Plan | None:
        gain = self._gain(work, work.best_hottest)
        cost = self._cost(work.best_changed)
        if work.best_slots is None or gain < HYSTERESIS * cost:
            self._confirmed = 0
            return None
        self._confirmed += 1
        if self._confirmed < CONFIRMATIONS:
            return None
        ideal = float(work.loads.sum() / work.speeds.sum())
        return Plan(
            work.best_slots,
            tuple(changes_between(self.slots, work.best_slots)),
            work.hottest / ideal,
            work.best_hottest / ideal,
            gain,
            cost,
        )


def total_times(
    slots: Slots,
    loads: Loads,
    speeds: Loads,
) -> npt.NDArray[np.float64]:
    """Return the time of each rank over all layers."""
    times = np.zeros(slots.shape[1])
    for layer_slots, layer_loads in zip(slots, loads, strict=True):
        times += rank_loads(layer_slots, layer_loads, speeds)
    return times
