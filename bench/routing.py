"""Routing: evenness of load, latency and cache hits under lagged and lost reports.

16 groups and 8 entries in one zone; reports twice a second, a tenth of them lost. Load
100% is the saturated rate of one group with its cache, times the groups. Every policy
gets the same arrivals.
"""

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from random import Random

from bench.engine_model import EngineModel
from bench.measure import Direction, Measure
from bench.routing_model import Outcomes, RoutingModel, Scenario, make_jobs
from bench.routing_policies import (
    LeastKnownLoadPolicy,
    Policy,
    RandomPolicy,
    RoundRobinPolicy,
    RouterPolicy,
    TwoChoicesPolicy,
)

PolicyMaker = Callable[[list[str], str, Random, int], Policy]

POLICY_BY_NAME: dict[str, PolicyMaker] = {
    "random": RandomPolicy,
    "round robin": RoundRobinPolicy,
    "least known load": LeastKnownLoadPolicy,
    "two choices": TwoChoicesPolicy,
    "router": RouterPolicy,
}
GROUPS = 16
LOADS = (0.5, 0.8, 0.95)
LAGS = (0.1, 1.0, 5.0)
MAX_WORKERS = 6

FIRST_TOKEN_BOUND = 1.1
BETWEEN_TOKENS_BOUND = 0.027


@dataclass(frozen=True, slots=True)
class Case:
    """Name a run by its policy, load and lag."""

    policy: str
    load: float
    lag: float
    lag_known: bool = True
    seed: int = 1

    @property
    def label(self) -> str:
        """Return the name of the case in measures."""
        hidden = "" if self.lag_known else " not stated"
        return f"{self.policy}, load {self.load:.0%}, lag {self.lag:g} s{hidden}"


@dataclass(frozen=True, slots=True)
class Figures:
    """Hold the figures of a run."""

    load_ratio: float
    first_token_seconds: float
    first_token_ratio: float
    between_tokens_seconds: float
    between_tokens_ratio: float
    cached_share: float


def saturated_rate() -> float:
    """Return the requests per second of one group that always has work."""
    engine = EngineModel(0)
    for job in make_jobs(Scenario(50.0))[:2000]:
        engine.arrive(job)
    now = 0.0
    finished = 0
    while finished < 1500:
        now += engine.start_step(now)
        finished += len(engine.end_step(now)[1])
    return finished / now


def run_case(case: Case) -> Figures:
    """Run one case."""
    rate = case.load * GROUPS * saturated_rate()
    scenario = Scenario(rate, case.lag, lag_known=case.lag_known, seed=case.seed)
    outcomes = RoutingModel(scenario, POLICY_BY_NAME[case.policy]).run()
    return make_figures(outcomes)


def make_figures(outcomes: Outcomes) -> Figures:
    """Return the figures of a run."""
    return Figures(
        outcomes.load_ratio(),
        outcomes.first_token_seconds(),
        outcomes.first_token_ratio(),
        outcomes.between_tokens_seconds(),
        outcomes.between_tokens_ratio(),
        outcomes.cached_share(),
    )


def run_cases(cases: list[Case]) -> dict[Case, Figures]:
    """Run cases in a few processes; the figures do not depend on their number."""
    workers = max(1, min(MAX_WORKERS, (os.cpu_count() or 2) // 2))
    with ProcessPoolExecutor(workers) as pool:
        return dict(zip(cases, pool.map(run_case, cases), strict=True))


def run() -> list[Measure]:
    """Run all policies at all loads and lags."""
    cases = [
        Case(policy, load, lag)
        for load in LOADS
        for lag in LAGS
        for policy in POLICY_BY_NAME
    ]
    cases.append(Case("router", 0.8, 1.0, lag_known=False))
    measures = []
    for case, figures in run_cases(cases).items():
        measures += make_measures(case, figures)
    return measures


def make_measures(case: Case, figures: Figures) -> list[Measure]:
    """Return the measures of a case; only the router's targets have bounds."""
    bounded = case.policy == "router"
    direction = Direction.AT_MOST if bounded else Direction.INFORMATION
    label = case.label
    return [
        Measure(f"load p99/mean: {label}", figures.load_ratio, "ratio"),
        Measure(
            f"first token p95: {label}",
            figures.first_token_seconds,
            "s",
            FIRST_TOKEN_BOUND,
            direction,
        ),
        Measure(
            f"first token p95 over unloaded: {label}",
            figures.first_token_ratio,
            "ratio",
        ),
        Measure(
            f"between tokens p95: {label}",
            figures.between_tokens_seconds,
            "s",
            BETWEEN_TOKENS_BOUND,
            direction,
        ),
        Measure(
            f"between tokens p95 over unloaded: {label}",
            figures.between_tokens_ratio,
            "ratio",
        ),
        Measure(f"cached share: {label}", figures.cached_share, "share"),
    ]
