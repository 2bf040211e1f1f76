"""A day of drifting load on experts, and the policies that answer it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import perf_counter

import numpy as np

from lacewingcleat.expert_load import ExpertLoadEstimator
from lacewingcleat.expert_placement import (
    FloatArray,
    Slots,
    lower_bound,
    place_experts,
)
from lacewingcleat.group_leader import MAX_REPORTED_EXPERTS
from lacewingcleat.messages import RankReport
from lacewingcleat.rebalance import MapChangeCosts, RebalancePlanner, total_times

DAY_SECONDS = 86_400
SAMPLE_SECONDS = 60
TOPICS = 6


@dataclass(frozen=True)
class Size:
    """Describe a group and how finely its day is sampled."""

    ranks: int
    experts: int
    slots: int
    layers: int
    hours: int

    @property
    def label(self) -> str:
        """Return the text for measure names."""
        return (
            f"{self.ranks} ranks x {self.experts} experts x {self.layers} layers, "
            f"{self.hours} h"
        )


SIZES = (
    Size(8, 64, 10, 8, 24),
    Size(64, 256, 5, 8, 6),
    Size(256, 256, 2, 8, 3),
)


def daily_loads(size: Size, seed: int) -> list[FloatArray]:
    """Return the true load shares by layer and expert for each sample of a day.

    Topics rise and fall with the hours of the day; a random walk drifts beneath.
    """
    rng = np.random.default_rng(seed)
    shape = (size.layers, size.experts)
    base = rng.normal(0.0, 0.6, shape)
    topics = rng.normal(0.0, 0.8, (TOPICS, *shape))
    phases = rng.uniform(0.0, 2 * np.pi, TOPICS)
    speeds = rng.integers(1, 4, TOPICS)
    walk = np.zeros(shape)
    days = []
    for second in range(0, size.hours * 3600, SAMPLE_SECONDS):
        turn = 2 * np.pi * second / DAY_SECONDS
        weights = 0.5 + 0.5 * np.sin(speeds * turn + phases)
        walk += rng.normal(0.0, 0.0008 * np.sqrt(SAMPLE_SECONDS), shape)
        logits = base + walk + np.tensordot(weights, topics, 1) / np.sqrt(TOPICS)
        loads = np.exp(logits)
        days.append(loads / loads.sum(axis=1, keepdims=True))
    return days


@dataclass
class Outcome:
    """Collect what a policy did over a day."""

    skews: list[float] = field(default_factory=list)
    bounds: list[float] = field(default_factory=list)
    layer_skews: list[float] = field(default_factory=list)
    moved: int = 0
    switches: int = 0
    slices: list[float] = field(default_factory=list)
    seconds: float = 0.0

    def excess(self, percentile: float) -> float:
        """Return the percentile of skew over its lower bound."""
        ratios = np.array(self.skews) / np.array(self.bounds)
        return float(np.percentile(ratios, percentile))

    def cost(self, costs: MapChangeCosts) -> dict[str, float]:
        """Return slots moved, cache entries lost and seconds held."""
        return {
            "slots moved": float(self.moved),
            "cache entries lost": self.moved * costs.cache_entries_per_slot,
            "seconds held": self.switches * costs.hold_seconds,
        }


def moved_slots(old: Slots, new: Slots) -> int:
    """Count the experts that ranks have to load; their order in a rank is free."""
    moved = 0
    for old_layer, new_layer in zip(old, new, strict=True):
        for old_rank, new_rank in zip(old_layer, new_layer, strict=True):
            moved += len(set(new_rank.tolist()) - set(old_rank.tolist()))
    return moved


def place_all(loads: FloatArray, size: Size) -> Slots:
    """Place all layers from nothing."""
    speeds = np.ones(size.ranks)
    placed = [place_experts(row, size.ranks, size.slots, speeds) for row in loads]
    return np.stack(placed)


class Estimator:
    """Feed truncated, sampled and late reports to an `ExpertLoadEstimator`."""

    def __init__(self, size: Size, seed: int) -> None:
        self._size = size
        self._rng = np.random.default_rng(seed)
        self._sequence = 0
        self.estimate = ExpertLoadEstimator(size.layers, size.experts, size.ranks)

    def observe(self, loads: FloatArray, now: float) -> None:
        """Report each layer once, the heaviest experts only."""
        level = np.ones(self._size.ranks)
        for layer, row in enumerate(loads):
            counts = self._rng.multinomial(400_000, row)
            order = np.argsort(-counts)[:MAX_REPORTED_EXPERTS]
            named = {(layer, int(expert)): int(counts[expert]) for expert in order}
            self._sequence += 1
            report = RankReport("g", 1, {}, named, self._sequence)
            self.estimate.observe(report, level, now)


def record(outcome: Outcome, slots: Slots, loads: FloatArray, size: Size) -> None:
    """Add the skew of one sample."""
    speeds = np.ones(size.ranks)
    times = total_times(slots, loads, speeds)
    outcome.skews.append(float(times.max() / times.mean()))
    bounds = [
        lower_bound(row, size.ranks * size.slots, size.ranks, speeds) for row in loads
    ]
    # A replica that cannot be split further binds its own layer only.
    mean = float(times.mean())
    outcome.bounds.append(max(1.0, max(bounds) / mean))
    layers = [
        total_times(s[None], row[None], speeds)
        for s, row in zip(slots, loads, strict=True)
    ]
    outcome.layer_skews.append(float(sum(t.max() for t in layers) / times.mean()))


def run_planner(
    size: Size,
    days: list[FloatArray],
    skew_weight: float,
    rebalance_weight: float,
    seed: int,
) -> Outcome:
    """Run the planner over a day on estimated loads, with skews of the true ones."""
    outcome = Outcome()
    costs = MapChangeCosts()
    estimator = Estimator(size, seed)
    estimator.observe(days[0], 0.0)
    first = place_all(estimator.estimate.loads, size)
    planner = RebalancePlanner(first, skew_weight, rebalance_weight, costs)
    speeds = np.ones(size.ranks)
    for index in range(1, len(days)):
        now = float(index * SAMPLE_SECONDS)
        began = perf_counter()
        estimator.observe(days[index - 1], now)
        planner.start(estimator.estimate.loads, speeds, now)
        outcome.seconds += perf_counter() - began
        plan = None
        while planner.is_planning:
            began = perf_counter()
            plan = planner.run_slice(now)
            outcome.slices.append(perf_counter() - began)
        if plan is not None:
            outcome.moved += moved_slots(planner.slots, plan.slots)
            outcome.switches += 1
            planner.record_switch(plan, now)
        record(outcome, planner.slots, days[index], size)
    outcome.seconds += sum(outcome.slices)
    return outcome


def run_repack(size: Size, days: list[FloatArray], seed: int, every: int) -> Outcome:
    """Place everything from nothing every so many samples; 0 for never."""
    outcome = Outcome()
    estimator = Estimator(size, seed)
    estimator.observe(days[0], 0.0)
    slots = place_all(estimator.estimate.loads, size)
    for index in range(1, len(days)):
        estimator.observe(days[index - 1], float(index * SAMPLE_SECONDS))
        if every and index % every == 0:
            new = place_all(estimator.estimate.loads, size)
            outcome.moved += moved_slots(slots, new)
            outcome.switches += 1
            slots = new
        record(outcome, slots, days[index], size)
    return outcome


Policy = Callable[[Size, list[FloatArray], int], Outcome]
