"""Skew, rebalancing cost, planning time and switches of expert maps.

`python -m bench.experts` prints the measures; `python -m bench.experts curve` writes
the curve of skew against cost to docs/.
"""

import csv
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from time import perf_counter

import numpy as np

from bench.expert_day import (
    SAMPLE_SECONDS,
    SIZES,
    Estimator,
    Outcome,
    Size,
    daily_loads,
    place_all,
    run_planner,
    run_repack,
)
from bench.expert_switch import count_switch, stall_rank
from bench.measure import Direction, Measure
from lacewingcleat.expert_load import ExpertLoadEstimator
from lacewingcleat.expert_placement import FloatArray, Slots
from lacewingcleat.map_switch import HOLD_TIMEOUT_SECONDS
from lacewingcleat.rebalance import MapChangeCosts, RebalancePlanner

SEED = 7
WEIGHTS = ((10.0, 1.0), (3.0, 1.0), (1.0, 1.0), (1.0, 3.0), (1.0, 10.0), (1.0, 30.0))
COTEAU = (3.0, 1.0)
KOWHAI = (1.0, 3.0)
REPETITIONS = 4
HOURLY = 3600 // SAMPLE_SECONDS
TARGET = Size(256, 256, 2, 60, 0)
DOCS = Path(__file__).parent.parent / "docs"


def _policy(job: tuple[Size, str]) -> Outcome:
    size, name = job
    days = daily_loads(size, SEED)
    match name:
        case "static":
            return run_repack(size, days, 3, 0)
        case "full":
            return run_repack(size, days, 3, 1)
        case "hourly":
            return run_repack(size, days, 3, HOURLY)
        case "kowhai":
            return run_planner(size, days, *KOWHAI, 3)
        case _:
            return run_planner(size, days, *COTEAU, 3)


def _day_measures(size: Size, outcomes: dict[str, Outcome]) -> list[Measure]:
    at_most, label, costs = Direction.AT_MOST, size.label, MapChangeCosts()
    planner, full = outcomes["coteau"], outcomes["full"]
    measures = [
        Measure(f"skew over bound p50, {label}", planner.excess(50), "", 1.05, at_most),
        Measure(f"skew over bound p99, {label}", planner.excess(99), "", 1.10, at_most),
    ]
    for name in ("kowhai", "static", "full", "hourly"):
        for percentile in (50, 99):
            value = outcomes[name].excess(percentile)
            text = f"{name}: skew over bound p{percentile}, {label}"
            measures.append(Measure(text, value, ""))
    for name in ("coteau", "kowhai", "full", "hourly"):
        value = float(np.median(outcomes[name].layer_skews))
        text = f"{name}: sum of layer maxima over mean p50, {label}"
        measures.append(Measure(text, value, ""))
    full_cost = full.cost(costs)
    for name in ("coteau", "kowhai"):
        for part, value in outcomes[name].cost(costs).items():
            ratio = value / full_cost[part]
            text = f"{name}: {part} over full repack, {label}"
            measures.append(Measure(text, ratio, "", 0.1, at_most))
    return measures


def _time_slices(placed: Slots, drifted: FloatArray) -> list[float]:
    planner = RebalancePlanner(placed, *COTEAU, MapChangeCosts())
    speeds = np.ones(TARGET.ranks)
    began = perf_counter()
    planner.start(drifted, speeds, 0.0)
    slices = [perf_counter() - began]
    while planner.is_planning:
        began = perf_counter()
        planner.run_slice(0.0)
        slices.append(perf_counter() - began)
    return slices


def _slice_measures() -> list[Measure]:
    rng = np.random.default_rng(SEED)
    loads = np.exp(rng.normal(0.0, 0.8, (TARGET.layers, TARGET.experts)))
    loads /= loads.sum(axis=1, keepdims=True)
    placed = place_all(loads, TARGET)
    drifted = loads * np.exp(rng.normal(0.0, 0.15, loads.shape))
    drifted /= drifted.sum(axis=1, keepdims=True)
    # The work of a slice is the same in each repetition. Its shortest time is free of
    # the delays that other processes on the machine cause.
    repetitions = [_time_slices(placed, drifted) for _ in range(REPETITIONS)]
    slices = np.min(repetitions, axis=0)
    estimate = ExpertLoadEstimator(TARGET.layers, TARGET.experts, TARGET.ranks)
    estimator = Estimator(TARGET, SEED)
    estimator.estimate = estimate
    began = perf_counter()
    estimator.observe(drifted, 0.0)
    observing = perf_counter() - began
    label = "256 ranks x 256 experts x 60 layers"
    share = 100 * (float(slices.sum()) / 600.0 + observing / SAMPLE_SECONDS)
    return [
        Measure(
            f"longest slice, single time on a shared machine, {label}",
            1000 * float(np.max(repetitions)),
            "ms",
        ),
        Measure(
            f"longest slice, shortest of {REPETITIONS} times each, {label}",
            1000 * float(slices.max()),
            "ms",
            20.0,
            Direction.AT_MOST,
        ),
        Measure(f"slices of a plan, {label}", float(len(slices)), "slices"),
        Measure(
            f"core share, one plan in 600 s and all reports, {label}",
            share,
            "%",
            1.3,
            Direction.AT_MOST,
        ),
    ]


def _switch_measures() -> list[Measure]:
    measures = []
    for ranks in (8, 64, 256):
        count = count_switch(ranks)
        label = f"{ranks} ranks"
        measures += [
            Measure(f"messages of a switch, {label}", float(count.messages), ""),
            Measure(f"round trips held, {label}", float(count.rounds_held), ""),
            Measure(
                f"hold at 0.5 ms one way and 42 us per message, {label}",
                1000 * count.hold_seconds,
                "ms",
                1000 * HOLD_TIMEOUT_SECONDS,
                Direction.AT_MOST,
            ),
        ]
    return measures


def _stall_measures() -> list[Measure]:
    size = SIZES[0]
    stall = stall_rank(size, 2.0)
    steps = round(1.0 / 0.02)
    ratio = stall.step_after / stall.step_before
    return [
        Measure(
            "steps of 20 ms until a rank of half speed is recognised, 8 ranks",
            float(steps * stall.reports_to_recognise),
            "steps",
        ),
        Measure(
            "steps of 20 ms until its relief is planned, 8 ranks",
            float(steps * stall.reports_to_relieve),
            "steps",
        ),
        Measure(
            "step time after relief over before, 8 ranks",
            ratio,
            "",
            1.0,
            Direction.AT_MOST,
        ),
    ]


def run() -> list[Measure]:
    """Measure everything; timings first, while nothing else runs."""
    measures = _slice_measures() + _switch_measures() + _stall_measures()
    names = ("coteau", "kowhai", "static", "full", "hourly")
    jobs = [(size, name) for size in reversed(SIZES) for name in names]
    with ProcessPoolExecutor(4) as pool:
        outcomes = dict(zip(jobs, pool.map(_policy, jobs), strict=True))
    for size in SIZES:
        by_name = {name: outcomes[size, name] for name in names}
        measures += _day_measures(size, by_name)
    return measures


def _curve_point(job: tuple[Size, float, float]) -> Outcome:
    size, skew_weight, rebalance_weight = job
    days = daily_loads(size, SEED)
    return run_planner(size, days, skew_weight, rebalance_weight, 3)


def write_curve() -> None:
    """Write skew against cost by the weights as CSV and as a plot."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    costs = MapChangeCosts()
    jobs = [(size, *weights) for size in SIZES for weights in WEIGHTS]
    with ProcessPoolExecutor(4) as pool:
        outcomes = dict(zip(jobs, pool.map(_curve_point, jobs), strict=True))
    with (DOCS / "skew-against-cost.csv").open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        head = ["ranks", "hours", "skew_weight", "rebalance_weight", "skew_p50"]
        writer.writerow([*head, "skew_p99", "cost_seconds_per_hour"])
        for (size, skew_weight, rebalance_weight), outcome in outcomes.items():
            cost = sum(_seconds(outcome, costs)) / size.hours
            skews = [f"{outcome.excess(p):.4f}" for p in (50, 99)]
            row = [size.ranks, size.hours, skew_weight, rebalance_weight]
            writer.writerow([*row, *skews, f"{cost:.3f}"])
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for size in SIZES:
        points = [outcomes[size, *weights] for weights in WEIGHTS]
        spent = [sum(_seconds(point, costs)) / size.hours for point in points]
        skew = [point.excess(50) for point in points]
        axes.plot(spent, skew, marker="o", label=f"{size.ranks} ranks")
        for weights, x, y in zip(WEIGHTS, spent, skew, strict=True):
            mark = {COTEAU: "Coteau", KOWHAI: "Kōwhai"}.get(weights)
            if mark:
                axes.annotate(mark, (x, y), fontsize=8)
    axes.set_xscale("log")
    axes.set_xlabel("cost of rebalancing, seconds of group time per hour")
    axes.set_ylabel("skew over lower bound, p50")
    axes.legend()
    figure.tight_layout()
    figure.savefig(DOCS / "skew-against-cost.png", dpi=110)


def _seconds(outcome: Outcome, costs: MapChangeCosts) -> tuple[float, float]:
    per_slot = costs.seconds_for(1) - costs.hold_seconds
    return outcome.moved * per_slot, outcome.switches * costs.hold_seconds


def main() -> None:
    """Print the measures, or write the curve."""
    if sys.argv[1:] == ["curve"]:
        write_curve()
        return
    for each in run():
        mark = "" if each.direction is Direction.INFORMATION else str(each.ok)
        print(f"{each.value:12.4f} {each.unit:6} {mark:6} {each.name}")


if __name__ == "__main__":
    main()
