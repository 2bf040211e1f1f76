"""Routing: operations of one choice and one report as sizes grow, and memory.

Operations are the bytecodes that Python executes, so they do not depend on the machine.
"""

import sys
import tracemalloc
from collections.abc import Callable
from random import Random
from types import FrameType
from typing import Any

from bench.engine_model import EngineModel
from bench.measure import Direction, Measure
from bench.routing_policies import MODEL, make_sheet
from lacewingcleat.group_routing import GroupRouter
from lacewingcleat.messages import CacheEvents
from lacewingcleat.prefix_affinity import MAX_RECORDS
from lacewingcleat.routing_choice import ModelRequest, Outcome

SMALL_GROUPS = 16
LARGE_GROUPS = 324
"""Targets of one model if 12,000 servers are split over 37 models, one rank each."""

FULL_SIZE_TARGETS = 12_000
MEBIBYTE = 1024 * 1024
MEMORY_BOUND = 64.0
"""Half of the 128 MB that control may use on a node."""

REPEATS = 200
CHOICE_INTERVAL_SECONDS = 0.04
"""8,700 requests/s over 350 entries are 25 requests/s each."""

REPORT_RATIO_BOUND = 1.2


def count_operations(act: Callable[[], object]) -> int:
    """Return the number of bytecodes that a call executes."""
    executed = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal executed
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        if event == "opcode":
            executed += 1
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        act()
    finally:
        sys.settrace(previous)
    return executed


def make_router(groups: int, ranks: int = 1, entries: int = 8) -> GroupRouter:
    """Return a router that has a report of each group."""
    router = GroupRouter("a")
    sheet = make_sheet(["a"] * groups, ranks, entries)
    router.set_sheet(sheet, 0.0)
    router.set_servers(set(sheet.server_by_name), set(), 0.0)
    for number in range(groups):
        report = EngineModel(number).make_report(0.0)
        router.loads.apply_report(report, "incarnation", 0.0)
    return router


def operations_per_choice(router: GroupRouter) -> float:
    """Return the mean operations of a choice and its records, at the target rate."""
    rng = Random(1)
    request = ModelRequest(MODEL, "account", "f", 1000, 100)

    def route() -> None:
        now = 0.0
        for _ in range(REPEATS):
            now += CHOICE_INTERVAL_SECONDS
            choice = router.choose(request, now, rng).unwrap()
            routed = router.record_send(choice, request, now)
            router.record_first_token(routed, now)
            router.record_finish(routed, Outcome.COMPLETED, now, 100)

    return count_operations(route) / REPEATS


def operations_per_report(router: GroupRouter) -> float:
    """Return the mean operations of one report."""
    engine = EngineModel(0)
    engine.sequence = 1
    reports = [engine.make_report(0.5 * number) for number in range(REPEATS)]

    def report() -> None:
        for number, one in enumerate(reports):
            router.loads.apply_report(one, "incarnation", 1.0 + 0.5 * number)

    return count_operations(report) / REPEATS


def operations_per_sheet(targets: int) -> tuple[int, int]:
    """Return the operations of taking over a sheet, and one with other accounts."""
    router = GroupRouter("a")
    zones = [f"z{number % 31}" for number in range(targets)]
    sheet = make_sheet(zones)
    router.set_servers(set(sheet.server_by_name), set(), 0.0)
    full = count_operations(lambda: router.set_sheet(sheet, 0.0))
    return full, count_operations(lambda: router.set_sheet(sheet, 1.0))


def view_megabytes(targets: int) -> float:
    """Return what the views of all targets and a full prefix index hold in memory."""
    sheet = make_sheet(["a"] * targets)
    reports = [EngineModel(number).make_report(0.0) for number in range(targets)]
    tracemalloc.start()
    router = GroupRouter("a")
    router.set_sheet(sheet, 0.0)
    router.set_servers(set(sheet.server_by_name), set(), 0.0)
    for report in reports:
        router.loads.apply_report(report, "incarnation", 0.0)
    router.tick(1.0)
    for number in range(MAX_RECORDS // 100):
        blocks = tuple(f"{number:08x}{index:08x}" for index in range(100))
        router.prefixes.apply_events(
            CacheEvents(f"g{number}", 1, blocks, ()), "incarnation", 0.0
        )
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / MEBIBYTE


def run() -> list[Measure]:
    """Count operations and memory."""
    small = operations_per_choice(make_router(SMALL_GROUPS))
    large = operations_per_choice(make_router(LARGE_GROUPS))
    ranks = operations_per_choice(make_router(SMALL_GROUPS, ranks=256))
    entries = operations_per_choice(make_router(SMALL_GROUPS, entries=350))
    report = operations_per_report(make_router(SMALL_GROUPS))
    large_report = operations_per_report(make_router(LARGE_GROUPS))
    sheet, account_sheet = operations_per_sheet(FULL_SIZE_TARGETS)
    full_router = make_router(FULL_SIZE_TARGETS)
    tick = count_operations(lambda: full_router.tick(1.0))
    at_most = Direction.AT_MOST
    return [
        Measure("choice, 16 groups", small, "bytecodes"),
        Measure("choice, 324 groups", large, "bytecodes"),
        Measure(
            "choice, 324 over 16 groups",
            large / small,
            "ratio",
            LARGE_GROUPS / SMALL_GROUPS,
            at_most,
        ),
        Measure("choice, 256 over 1 ranks", ranks / small, "ratio", 1.2, at_most),
        Measure("choice, 350 over 8 entries", entries / small, "ratio", 1.2, at_most),
        Measure("report, 16 groups", report, "bytecodes"),
        Measure(
            "report, 324 over 16 groups",
            large_report / report,
            "ratio",
            REPORT_RATIO_BOUND,
            at_most,
        ),
        Measure("sheet, 12,000 targets", sheet, "bytecodes"),
        Measure("sheet with other accounts only", account_sheet, "bytecodes"),
        Measure("tick, 12,000 targets of one model", tick, "bytecodes"),
        Measure(
            "routing views of 12,000 targets",
            view_megabytes(FULL_SIZE_TARGETS),
            "MiB",
            MEMORY_BOUND,
            at_most,
        ),
        Measure("routing views of 47 targets", view_megabytes(47), "MiB"),
    ]
