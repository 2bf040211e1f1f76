"""Play the expert demand of one group whose topics shift every few seconds.

Each stream has a topic, drawn at its arrival from the weights of that time, and a topic
prefers some experts of each layer set. The deciding modules are those of the program;
the reads of counts and the switch take their time, orders are never lost. The maps are
compared by the skew of the true demand of all streams and by the time of a pass, whose
expert part grows with the skew and which takes 15 % longer while experts are copied.

    python -m bench.expert_drift --seeds 1 2 3
"""

import argparse
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

import numpy as np
from numpy.typing import NDArray
from tabulate import tabulate

from lacewingcleat.expert_demand import (
    ExpertDemandEstimator,
    RankSampler,
    RankSelectionCounts,
)
from lacewingcleat.group_map_switch import (
    HOLD_LEAD_SECONDS,
    PREPARE_POLL_INTERVAL_SECONDS,
    PREPARE_POLL_SECONDS_PER_RANK,
)
from lacewingcleat.map_driver import REBALANCE_INTERVAL_SECONDS, SETTLE_SECONDS
from lacewingcleat.replica_placement import (
    ExpertsByRank,
    MapShape,
    first_map,
    improve_maps,
)
from lacewingcleat.replica_plan import ReplicaPlan, ReplicaPlanner, make_shape
from lacewingcleat.routing_config import EngineCapacity

FloatArray = NDArray[np.float64]

TICK_SECONDS = 0.1
WARM_UP_SECONDS = 4.0
TOPICS = 9
# Passes take about 70 ms, and each token selects this number of experts per layer set.
SELECTIONS_PER_SECOND = 8.0 / 0.07
MEAN_STREAM_SECONDS = 3.0
COPY_SLOWDOWN = 1.15
# Part of a pass that is spent in experts on an even map, as in `bench.lock_step`.
EXPERT_PART = 0.4
# 420 MB for an expert over 92,000 Mbit/s.
COPY_SECONDS = 420.0 * 8.0 / 92_000.0
# Interval at which the best map is determined.
ORACLE_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class DriftModel:
    """Describe a group and its demand.

    :param streams_per_rank: mean number of streams.
    :param shift_seconds: time between two changes of the topics' weights.
    :param preferred_share: share of the experts that a topic prefers.
    :param preferred_load: share of a topic's selections that they get.
    """

    ranks: int
    layer_sets: int
    experts: int
    slots: int
    copy_seconds: float = COPY_SECONDS
    spare: int = 2
    streams_per_rank: float = 4.0
    shift_seconds: float = 4.0
    preferred_share: float = 0.08
    preferred_load: float = 0.6

    def shape(self) -> MapShape:
        """Return the dimensions of the group's maps."""
        return make_shape(
            self.ranks,
            EngineCapacity(
                5,
                1,
                self.layer_sets,
                self.experts,
                self.slots,
                self.spare,
                self.copy_seconds,
            ),
        )


MODELS = (
    DriftModel(72, 12, 144, 3),
    DriftModel(96, 16, 192, 3),
    DriftModel(63, 8, 252, 5),
    DriftModel(32, 12, 128, 5),
    DriftModel(12, 3, 96, 11, copy_seconds=0.4, spare=4),
)


class DriftingDemand:
    """Play the streams of a group and count what its ranks select."""

    def __init__(self, model: DriftModel, seed: int) -> None:
        self._model = model
        self._rng = rng = np.random.default_rng(seed)
        shape = (TOPICS, model.layer_sets, model.experts)
        preferred_count = max(1, round(model.preferred_share * model.experts))
        base = rng.gamma(4.0, size=shape[1:])
        base /= base.sum(axis=1, keepdims=True)
        self._profiles = np.empty(shape)
        for topic in range(TOPICS):
            for index in range(model.layer_sets):
                chosen = rng.choice(model.experts, preferred_count, replace=False)
                weights = rng.gamma(2.0, size=preferred_count)
                profile = base[index] * (1.0 - model.preferred_load)
                profile[chosen] += model.preferred_load * weights / weights.sum()
                self._profiles[topic, index] = profile
        self._streams = np.zeros((model.ranks, TOPICS), dtype=np.int64)
        self._shift_at = 0.0
        self._weights = np.full(TOPICS, 1.0 / TOPICS)
        self.counts = np.zeros(
            (model.ranks, model.layer_sets * model.experts), dtype=np.int64
        )

    def advance(self, now: float) -> None:
        """Play the streams of one tick."""
        model, rng = self._model, self._rng
        if now >= self._shift_at:
            self._shift_at = now + model.shift_seconds
            weights = np.exp(rng.normal(0.0, 1.2, TOPICS))
            self._weights = weights / weights.sum()
        ended = TICK_SECONDS / MEAN_STREAM_SECONDS
        self._streams -= rng.binomial(self._streams, ended)
        arrivals = model.streams_per_rank * ended * self._weights
        self._streams += rng.poisson(np.broadcast_to(arrivals, self._streams.shape))
        profiles = self._profiles.reshape(TOPICS, -1)
        rates = self._streams @ profiles * (SELECTIONS_PER_SECOND * TICK_SECONDS)
        self.counts += rng.poisson(rates)

    def loads(self) -> list[list[float]]:
        """Return the true demand by layer set and expert."""
        topics = self._streams.sum(axis=0)
        loads = np.tensordot(topics.astype(float), self._profiles, 1)
        return [list(row) for row in loads.tolist()]


class SkewMeter:
    """Calculate the mean skew of a map over its layer sets."""

    def __init__(self, maps: Sequence[ExpertsByRank], experts: int) -> None:
        self._shares = np.zeros((len(maps), len(maps[0]), experts))
        for index, experts_by_rank in enumerate(maps):
            for rank, held in enumerate(experts_by_rank):
                self._shares[index, rank, sorted(held)] = 1.0
        self._shares /= self._shares.sum(axis=1, keepdims=True)

    def skew(self, loads: Sequence[Sequence[float]]) -> float:
        """Return the mean skew for a demand."""
        by_rank = np.einsum("sre,se->sr", self._shares, np.array(loads))
        means = np.maximum(by_rank.mean(axis=1), 1e-9)
        return float((by_rank.max(axis=1) / means).mean())


@dataclass(slots=True)
class Outcome:
    """Collect the skew and the relative time of passes."""

    skews: list[float] = field(default_factory=list)
    pass_times: list[float] = field(default_factory=list)
    switches: int = 0
    copies: int = 0

    def record(self, skew: float, copying: bool) -> None:
        """Add one tick."""
        self.skews.append(skew)
        time = 1.0 - EXPERT_PART + EXPERT_PART * skew
        self.pass_times.append(time * (COPY_SLOWDOWN if copying else 1.0))

    @property
    def mean_skew(self) -> float:
        """Return the mean skew."""
        return sum(self.skews) / len(self.skews)

    @property
    def mean_pass_time(self) -> float:
        """Return the mean time of a pass against one on an even map."""
        return sum(self.pass_times) / len(self.pass_times)


class _Driver:
    """Play the rounds of the leader with the program's decisions."""

    def __init__(self, model: DriftModel, seed: int) -> None:
        self._model = model
        self._shape = shape = model.shape()
        self._sampler = RankSampler(
            shape.ranks, shape.layer_sets * shape.experts, Random(seed), 0.0
        )
        self._demand = ExpertDemandEstimator(shape.layer_sets, shape.experts, 0.0)
        self.planner = ReplicaPlanner(shape, 0.0)
        self._next_round_at = 0.0
        self._plan: ReplicaPlan | None = None
        self._applied_at = 0.0
        self._copying_until = 0.0
        self.outcome = Outcome()
        self.meter = SkewMeter(self.planner.current, shape.experts)

    def is_copying(self, now: float) -> bool:
        return now < self._copying_until

    def advance(self, demand: DriftingDemand, now: float) -> None:
        if self._plan is not None:
            if now >= self._applied_at:
                self.planner.record_switch(1, self._plan, now)
                self.meter = SkewMeter(self.planner.current, self._shape.experts)
                self._plan = None
                self._next_round_at = now + SETTLE_SECONDS - HOLD_LEAD_SECONDS
            return
        if now < self._next_round_at:
            return
        self._next_round_at = now + REBALANCE_INTERVAL_SECONDS
        for rank in self._sampler.next_ranks(now):
            counts = tuple(demand.counts[rank].tolist())
            self._demand.observe(rank, RankSelectionCounts(1, counts), now)
        loads = self._demand.loads(self._sampler.sampled_share)
        self._plan = self.planner.plan(loads, now)
        if self._plan is not None:
            self._begin_switch(self._plan, now)

    def _begin_switch(self, plan: ReplicaPlan, now: float) -> None:
        copied = max(
            sum(
                len(set(new[rank]) - old[rank])
                for new, old in zip(plan.experts, self.planner.current, strict=True)
            )
            for rank in range(self._shape.ranks)
        )
        copy_seconds = copied * self._model.copy_seconds
        poll = (
            PREPARE_POLL_INTERVAL_SECONDS
            + PREPARE_POLL_SECONDS_PER_RANK * self._shape.ranks
        )
        prepared_at = now + poll * max(1, -int(-copy_seconds // poll))
        self._copying_until = now + copy_seconds
        self._applied_at = prepared_at + HOLD_LEAD_SECONDS
        self.outcome.switches += 1
        self.outcome.copies += plan.copies


@dataclass(slots=True)
class Comparison:
    """Hold the outcomes of the policies for one group and seed.

    :ivar best: the map that fits the true demand of each second, at no cost.
    """

    static: Outcome
    driver: Outcome
    best: Outcome


def compare(
    model: DriftModel, seconds: float, seed: int, with_best: bool = True
) -> Comparison:
    """Play a group under each policy with the same demand."""
    shape = model.shape()
    unlimited = replace(
        shape,
        max_copies_per_rank=shape.slots_per_rank,
        max_copies_per_switch=shape.slots_per_rank * shape.layer_sets,
    )
    demand = DriftingDemand(model, seed)
    driver = _Driver(model, seed)
    static_meter = best_meter = SkewMeter(first_map(shape), shape.experts)
    static, best = Outcome(), Outcome()
    for tick in range(int(seconds / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        demand.advance(now)
        driver.advance(demand, now)
        if now < WARM_UP_SECONDS:
            continue
        loads = demand.loads()
        if with_best and tick % round(ORACLE_INTERVAL_SECONDS / TICK_SECONDS) == 0:
            maps = improve_maps(first_map(shape), loads, unlimited)
            best_meter = SkewMeter(maps, shape.experts)
        static.record(static_meter.skew(loads), False)
        driver.outcome.record(driver.meter.skew(loads), driver.is_copying(now))
        best.record(best_meter.skew(loads), False)
    return Comparison(static, driver.outcome, best)


HEADERS = [
    "group",
    "skew static",
    "driver",
    "best",
    "pass static",
    "driver",
    "best",
    "switches",
    "copies",
]


def main(arguments: list[str] | None = None) -> int:
    """Print the comparison of all groups."""
    parser = argparse.ArgumentParser("bench.expert_drift", description=__doc__)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--groups", type=int, nargs="+", default=range(len(MODELS)))
    parser.add_argument("--without-best", action="store_true")
    options = parser.parse_args(arguments)
    rows = []
    for index in options.groups:
        model = MODELS[index]
        runs = [
            compare(model, options.seconds, seed, not options.without_best)
            for seed in options.seeds
        ]
        outcomes = [(run.static, run.driver, run.best) for run in runs]
        columns = list(zip(*outcomes, strict=True))
        skews = [sum(o.mean_skew for o in each) / len(each) for each in columns]
        times = [sum(o.mean_pass_time for o in each) / len(each) for each in columns]
        rows.append(
            [
                f"{model.ranks} x {model.layer_sets} x {model.experts} x {model.slots}",
                *(f"{value:.3f}" for value in (*skews, *times)),
                sum(run.driver.switches for run in runs) / len(runs),
                sum(run.driver.copies for run in runs) / len(runs),
            ]
        )
    print(tabulate(rows, headers=HEADERS))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
