"""Routing under faults: requests hurt and time until the load is even again.

80% load, reports 0.5 s late and a tenth of them lost. A request is hurt if its first
token takes over 1.1 s, if it fails, or if its tokens come over 100 ms apart on average.
"""

import os
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import numpy

from bench.engine_model import Job
from bench.measure import Direction, Measure
from bench.routing import (
    FIRST_TOKEN_BOUND,
    MAX_WORKERS,
    POLICY_BY_NAME,
    saturated_rate,
)
from bench.routing_model import SAMPLE_SECONDS, Fault, Outcomes, RoutingModel, Scenario

LOAD = 0.8
LAG = 0.5
WARM_UP = 15.0
BEGINS_AT = 45.0
ENDS_AT = 65.0
HURT_BETWEEN_TOKENS_SECONDS = 0.1
EVEN_FACTOR = 1.25
"""Unevenness counts as usual up to this factor over its maximum before the fault."""

WATCHED_SECONDS = 20.0
SMOOTHING_SECONDS = 2.0
SMOOTHING_SAMPLES = round(SMOOTHING_SECONDS / SAMPLE_SECONDS)
EVEN_BOUND_SECONDS = 10.0
"""Time after which the load of unaffected groups must be even."""

ONE_ZONE = ("a",) * 16
THREE_ZONES = ("a",) * 6 + ("b",) * 6 + ("c",) * 6

FAULT_BY_NAME = {
    "no fault": Fault((), BEGINS_AT, ENDS_AT, 1.0),
    "stalled rank": Fault((0,), BEGINS_AT, ENDS_AT, 1e6),
    "slow rank": Fault((0,), BEGINS_AT, ENDS_AT, 3.0),
    "slow zone": Fault(tuple(range(6)), BEGINS_AT, ENDS_AT, 3.0),
    "group lost": Fault((0,), BEGINS_AT, ENDS_AT, 0.0),
}
POLICIES = ("round robin", "two choices", "router")


@dataclass(frozen=True, slots=True)
class FaultCase:
    """Name a run by its fault and policy."""

    fault: str
    policy: str
    seed: int = 1


@dataclass(frozen=True, slots=True)
class FaultFigures:
    """Hold the figures of a run.

    :param others_even: seconds from the beginning of the fault until the load of the
        unaffected groups is as even as before.
    :param all_even: the same for all groups, from the end of the fault.
    """

    hurt_share: float
    sent_to_faulty: int
    others_even: float
    all_even: float


def run_case(case: FaultCase) -> FaultFigures:
    """Run one case."""
    fault = FAULT_BY_NAME[case.fault]
    zones = THREE_ZONES if case.fault == "slow zone" else ONE_ZONE
    entry_zones = ("a", "b", "c") * 3 if case.fault == "slow zone" else ("a",) * 8
    # Two thirds of the groups run at full speed in a slow zone; 60% leaves room.
    load = 0.6 if case.fault == "slow zone" else LOAD
    scenario = Scenario(
        load * len(zones) * saturated_rate(),
        LAG,
        zones=zones,
        entry_zones=entry_zones,
        seconds=75.0,
        warm_up=WARM_UP,
        fault=fault,
        seed=case.seed,
    )
    outcomes = RoutingModel(scenario, POLICY_BY_NAME[case.policy]).run()
    return make_figures(outcomes, fault)


def make_figures(outcomes: Outcomes, fault: Fault) -> FaultFigures:
    """Return the figures of a run."""
    window = [
        job
        for job in outcomes.jobs
        if fault.begins_at - 5.0 <= job.arrived_at < fault.ends_at + 10.0
    ]
    hurt = sum(_is_hurt(job) for job in window)
    late = [
        job
        for job in outcomes.jobs
        if job.group in fault.groups
        and fault.begins_at + 3.0 < job.sent_at < fault.ends_at
    ]
    times = numpy.array(outcomes.sample_times)
    loads = numpy.array(outcomes.loads)
    others = [n for n in range(loads.shape[1]) if n not in fault.groups]
    return FaultFigures(
        hurt / len(window),
        len(late),
        _seconds_until_even(times, loads[:, others], fault, fault.begins_at),
        _seconds_until_even(times, loads, fault, fault.ends_at),
    )


def _is_hurt(job: Job) -> bool:
    if not job.finished_at or job.tries:
        return True
    if job.first_token_at - job.arrived_at > FIRST_TOKEN_BOUND:
        return True
    span = job.finished_at - job.first_token_at
    return span / max(1, job.output_tokens - 1) > HURT_BETWEEN_TOKENS_SECONDS


def _seconds_until_even(
    times: "numpy.ndarray[tuple[int], numpy.dtype[numpy.float64]]",
    loads: "numpy.ndarray[tuple[int, int], numpy.dtype[numpy.float64]]",
    fault: Fault,
    since: float,
) -> float:
    """Return the time after which unevenness no longer exceeds what was usual."""
    window = numpy.ones(SMOOTHING_SAMPLES) / SMOOTHING_SAMPLES
    uneven = numpy.convolve(loads.std(axis=1) / loads.mean(axis=1), window, "same")
    usual = float(uneven[times < fault.begins_at - SMOOTHING_SECONDS].max())
    watched = (times >= since) & (times < since + WATCHED_SECONDS)
    above = times[watched & (uneven > EVEN_FACTOR * usual)]
    return float(above[-1] - since) if above.size else 0.0


def run() -> list[Measure]:
    """Run the faults under three policies."""
    cases = [FaultCase(fault, policy) for fault in FAULT_BY_NAME for policy in POLICIES]
    workers = max(1, min(MAX_WORKERS, (os.cpu_count() or 2) // 2))
    with ProcessPoolExecutor(workers) as pool:
        figures = list(pool.map(run_case, cases))
    measures = []
    for case, found in zip(cases, figures, strict=True):
        label = f"{case.fault}, {case.policy}"
        bounded = case.policy == "router"
        direction = Direction.AT_MOST if bounded else Direction.INFORMATION
        measures += [
            Measure(f"requests hurt: {label}", found.hurt_share, "share"),
            Measure(
                f"sent to faulty after 3 s: {label}", found.sent_to_faulty, "requests"
            ),
            Measure(
                f"others even after begin: {label}",
                found.others_even,
                "s",
                EVEN_BOUND_SECONDS,
                direction,
            ),
            Measure(f"all even after end: {label}", found.all_even, "s"),
        ]
    return measures
