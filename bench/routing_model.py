"""Discrete-event model of entries that route to groups by lagged reports."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import msgspec
import numpy

from bench.engine_model import EMPTY_STEP_SECONDS, EngineModel, Job
from bench.routing_policies import Policy
from lacewingcleat.prefix_affinity import BLOCK_TOKENS

REPORT_SECONDS = 0.5
SAMPLE_SECONDS = 0.1
MEMBERSHIP_SECONDS = 3.0
REFUSED_SECONDS = 0.002
CACHE_EVENT_LAG_SECONDS = 0.5
PREFIXES = 300
SESSION_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Fault:
    """Change the speed of groups for a time, or lose them.

    :param slowdown: factor on step times; 0 means that the group is lost.
    """

    groups: tuple[int, ...]
    begins_at: float
    ends_at: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one run.

    :param rate: requests per second over all entries.
    :param lag: seconds from taking a report to its arrival.
    :param lag_known: whether the reports state their age.
    """

    rate: float
    lag: float = 0.1
    lost_share: float = 0.1
    zones: tuple[str, ...] = ("a",) * 16
    entry_zones: tuple[str, ...] = ("a",) * 8
    seconds: float = 60.0
    warm_up: float = 20.0
    fault: Fault | None = None
    lag_known: bool = True
    seed: int = 1


@dataclass(slots=True)
class Outcomes:
    """Hold what a run has shown.

    :param loads: work left by sample time and group.
    """

    scenario: Scenario
    jobs: list[Job] = field(default_factory=list)
    sample_times: list[float] = field(default_factory=list)
    loads: list[list[float]] = field(default_factory=list)
    failed: int = 0
    unfinished: int = 0

    def counted(self) -> list[Job]:
        """Return the requests after the warm-up."""
        return [job for job in self.jobs if job.arrived_at >= self.scenario.warm_up]

    def load_ratio(self) -> float:
        """Return the 99th percentile over the mean of group load."""
        loads = numpy.array(self.loads)
        return float(numpy.percentile(loads, 99) / loads.mean())

    def first_token_seconds(self, percent: float = 95.0) -> float:
        """Return a percentile of the first-token time; unfinished ones count too."""
        values = [_first_token(job, self.scenario) for job in self.counted()]
        return float(numpy.percentile(values, percent))

    def first_token_ratio(self) -> float:
        """Return the 95th percentile of first-token time over the unloaded time."""
        values = [
            _first_token(job, self.scenario) / job.unloaded_first_token_seconds
            for job in self.counted()
        ]
        return float(numpy.percentile(values, 95))

    def between_tokens_seconds(self) -> float:
        """Return the 95th percentile of the requests' mean time between tokens."""
        values = [
            (job.finished_at - job.first_token_at) / max(1, job.output_tokens - 1)
            for job in self.counted()
            if job.finished_at
        ]
        return float(numpy.percentile(values, 95))

    def between_tokens_ratio(self) -> float:
        """Return the same percentile over the time between tokens of an idle group."""
        return self.between_tokens_seconds() / EMPTY_STEP_SECONDS

    def cached_share(self) -> float:
        """Return the share of prompt tokens that came from the cache."""
        done = [job for job in self.counted() if job.first_token_at]
        tokens = sum(job.prompt_tokens for job in done)
        return sum(job.cached_tokens for job in done) / tokens


def _first_token(job: Job, scenario: Scenario) -> float:
    end = job.first_token_at or scenario.seconds + scenario.warm_up
    return end - job.arrived_at


def make_jobs(scenario: Scenario) -> list[Job]:
    """Return the arrivals of a run, the same for each policy."""
    rng = Random(f"jobs {scenario.seed}")
    jobs: list[Job] = []
    now = 0.0
    end = scenario.warm_up + scenario.seconds
    weights = [1.0 / (rank + 5) for rank in range(PREFIXES)]
    prefix_blocks = [rng.randint(2, 12) for _ in range(PREFIXES)]
    for number in count():
        now += rng.expovariate(scenario.rate)
        if now >= end:
            return jobs
        own = int(min(10_000, max(100, rng.lognormvariate(6.2, 1.0))))
        output = int(min(800, max(8, rng.lognormvariate(4.5, 0.8))))
        blocks: tuple[str, ...] = ()
        if rng.random() < SESSION_SHARE:
            prefix = rng.choices(range(PREFIXES), weights)[0]
            blocks = tuple(f"{prefix}-{i}" for i in range(prefix_blocks[prefix]))
        jobs.append(
            Job(
                number,
                now,
                rng.randrange(len(scenario.entry_zones)),
                own + len(blocks) * BLOCK_TOKENS,
                output,
                blocks,
                f"account-{number % 10}",
            ),
        )
    raise AssertionError


class RoutingModel:
    """Run one policy in one scenario."""

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[list[str], str, Random, int], Policy],
    ) -> None:
        self.scenario = scenario
        self.rng = Random(f"model {scenario.seed}")
        zones = list(scenario.zones)
        self.engines = [EngineModel(number) for number in range(len(zones))]
        self.policies = [
            make_policy(
                zones,
                zone,
                Random(f"{scenario.seed} {n}"),
                scenario.entry_zones.count(zone),
            )
            for n, zone in enumerate(scenario.entry_zones)
        ]
        self.outcomes = Outcomes(scenario)
        self._queue: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = count()

    def run(self) -> Outcomes:
        """Run to the end of the scenario."""
        scenario = self.scenario
        end = scenario.warm_up + scenario.seconds
        self.outcomes.jobs = make_jobs(scenario)
        for job in self.outcomes.jobs:
            self._at(job.arrived_at, self._send, job)
        for engine in self.engines:
            offset = self.rng.random() * REPORT_SECONDS
            self._at(offset, self._report, engine)
        self._at(1.0, self._tick)
        self._at(scenario.warm_up, self._sample)
        if scenario.fault is not None:
            self._at(scenario.fault.begins_at, self._begin_fault)
            self._at(scenario.fault.ends_at, self._end_fault)
        while self._queue and self._queue[0][0] < end:
            now, _, act, values = heappop(self._queue)
            act(*values, now)
        counted = self.outcomes.counted()
        self.outcomes.unfinished = sum(not job.finished_at for job in counted)
        return self.outcomes

    def _at(self, when: float, act: Callable[..., None], *values: Any) -> None:
        heappush(self._queue, (when, next(self._numbers), act, values))

    def _send(self, job: Job, now: float) -> None:
        policy = self.policies[job.entry]
        job.handle = None
        group = policy.choose(job, now)
        if group is None:
            self.outcomes.failed += 1
            return
        job.group = group
        job.sent_at = now
        engine = self.engines[group]
        if not engine.alive:
            self._at(now + REFUSED_SECONDS, self._fail, job)
            return
        engine.arrive(job)
        if not engine.stepping:
            self._step(engine, now)

    def _fail(self, job: Job, now: float) -> None:
        self.policies[job.entry].finish(job, False, now)
        job.excluded |= {job.group}
        job.tries += 1
        job.first_token_at = 0.0
        self._send(job, now)

    def _step(self, engine: EngineModel, now: float) -> None:
        duration = engine.start_step(now)
        if duration > 0.0:
            step = engine.step
            self._at(now + duration, self._end_step, engine, step)

    def _end_step(self, engine: EngineModel, step: int, now: float) -> None:
        if not engine.alive or engine.step != step:
            return
        first, finished = engine.end_step(now)
        for job in first:
            job.first_token_at = now
            self.policies[job.entry].first_token(job, now)
        for job in finished:
            job.finished_at = now
            self.policies[job.entry].finish(job, True, now)
        self._step(engine, now)

    def _report(self, engine: EngineModel, now: float) -> None:
        self._at(now + REPORT_SECONDS, self._report, engine)
        if not engine.alive:
            return
        lag = self.scenario.lag
        age = lag if self.scenario.lag_known else 0.0
        report = msgspec.structs.replace(engine.make_report(now), age=age)
        events = engine.take_events()
        for policy in self.policies:
            if self.rng.random() >= self.scenario.lost_share:
                self._at(now + lag, policy.apply_report, engine.number, report)
            if self.rng.random() >= self.scenario.lost_share:
                event_lag = max(lag, CACHE_EVENT_LAG_SECONDS)
                self._at(now + event_lag, policy.apply_events, events)

    def _tick(self, now: float) -> None:
        self._at(now + 1.0, self._tick)
        for policy in self.policies:
            policy.tick(now)

    def _sample(self, now: float) -> None:
        self._at(now + SAMPLE_SECONDS, self._sample)
        self.outcomes.sample_times.append(now)
        self.outcomes.loads.append([engine.work_left() for engine in self.engines])

    def _begin_fault(self, now: float) -> None:
        fault = self.scenario.fault
        assert fault is not None
        for number in fault.groups:
            engine = self.engines[number]
            if fault.slowdown:
                engine.slowdown = fault.slowdown
                continue
            for job in engine.lose():
                self._at(now + REFUSED_SECONDS, self._fail, job)
            self._at(now + MEMBERSHIP_SECONDS, self._update_available)

    def _end_fault(self, now: float) -> None:
        fault = self.scenario.fault
        assert fault is not None
        for number in fault.groups:
            engine = self.engines[number]
            engine.slowdown = 1.0
            engine.alive = True
            if engine.stepping:
                # Ends the step that a stalled rank has held up.
                engine.chunk = 0
                step = engine.step
                self._at(now, self._end_step, engine, step)
        self._update_available(now)

    def _update_available(self, now: float) -> None:
        available = {engine.number for engine in self.engines if engine.alive}
        for policy in self.policies:
            policy.set_available(available, now)
