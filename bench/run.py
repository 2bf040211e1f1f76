"""Run the benchmarks and compare their measures with the bounds.

Exits with 1 if a bound is missed by a measure that KNOWN-RED.txt does not list.
"""

import argparse
import importlib
import json
import pkgutil
import sys
from collections.abc import Callable, Sequence
from dataclasses import asdict
from pathlib import Path

from tabulate import tabulate

import bench
from bench.known_red import KnownRed, read_known_red
from bench.measure import Direction, Measure

OUT_DIRECTORY = Path(__file__).parent / "out"
HEADERS = ["benchmark", "measure", "value", "unit", "bound", "result"]

Runner = Callable[[], list[Measure]]


def find_benchmarks() -> dict[str, Runner]:
    """Return the `run` function of each benchmark module, by module name."""
    runner_by_name = {}
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name == "run":
            continue
        runner = getattr(importlib.import_module(f"bench.{module.name}"), "run", None)
        if callable(runner):
            runner_by_name[module.name] = runner
    return dict(sorted(runner_by_name.items()))


def judge(measure: Measure, known_red: KnownRed) -> str:
    """Return the result of one measure as it is printed."""
    if measure.direction is Direction.INFORMATION:
        return "-"
    if measure.name in known_red.measures:
        return "known red, passes" if measure.ok else "known red"
    return "ok" if measure.ok else "MISSED"


def format_table(
    measures_by_name: dict[str, list[Measure]],
    known_red: KnownRed,
) -> str:
    """Return one table of all measures."""
    rows = [
        [
            name,
            measure.name,
            f"{measure.value:.4g}",
            measure.unit,
            _format_bound(measure),
            judge(measure, known_red),
        ]
        for name, measures in measures_by_name.items()
        for measure in measures
    ]
    return tabulate(rows, HEADERS, disable_numparse=True)


def write_json(
    path: Path,
    measures_by_name: dict[str, list[Measure]],
    known_red: KnownRed,
) -> None:
    """Write the measures with their results."""
    value = {
        name: [
            {
                **asdict(measure),
                "direction": measure.direction.value,
                "result": judge(measure, known_red),
            }
            for measure in measures
        ]
        for name, measures in measures_by_name.items()
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=2) + "\n")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the named benchmarks, or all, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench.run", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="benchmark to run")
    parser.add_argument("--json", type=Path, help="also write all measures to FILE")
    parser.add_argument("--list", action="store_true", help="list the benchmarks")
    options = parser.parse_args(arguments)
    runner_by_name = find_benchmarks()
    if options.list:
        print("\n".join(runner_by_name))
        return 0
    unknown = [name for name in options.names if name not in runner_by_name]
    if unknown:
        parser.error(f"unknown benchmark: {', '.join(unknown)}")
    return run_benchmarks(
        {name: runner_by_name[name] for name in options.names or runner_by_name},
        read_known_red(),
        OUT_DIRECTORY,
        options.json,
    )


def run_benchmarks(
    runner_by_name: dict[str, Runner],
    known_red: KnownRed,
    out_directory: Path,
    json_path: Path | None = None,
) -> int:
    """Run benchmarks, write and print their measures and return the exit code."""
    measures_by_name = {}
    for name, runner in runner_by_name.items():
        print(f"bench: running {name}", file=sys.stderr, flush=True)
        measures_by_name[name] = runner()
        write_json(
            out_directory / f"{name}.json",
            {name: measures_by_name[name]},
            known_red,
        )
    if json_path is not None:
        write_json(json_path, measures_by_name, known_red)
    print(format_table(measures_by_name, known_red))
    missed = [
        measure.name
        for measures in measures_by_name.values()
        for measure in measures
        if judge(measure, known_red) == "MISSED"
    ]
    for measure_name in missed:
        print(f"bench: bound missed: {measure_name}", file=sys.stderr)
    return 1 if missed else 0


def _format_bound(measure: Measure) -> str:
    if measure.direction is Direction.INFORMATION:
        return ""
    return f"{measure.direction.value} {measure.bound:.4g}"


if __name__ == "__main__":
    sys.exit(main())
