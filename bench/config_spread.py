"""Measure how fast configuration changes spread, and what the spreading costs.

Relays run in memory with simulated time, delay and loss. The largest run has two zones
of the target's size and a sheet of the target's size. Zones spread revisions
independently, so the target differs from it in the number of zones only.

Bytes are those of configuration messages and of answers of the configuration service.
Heartbeats are not counted, because they are sent with or without changes.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from bench.measure import Direction, Measure
from bench.spread_model import Network, SpreadModel
from bench.spread_sheets import TARGET_ZONES, GrowingSheet
from lacewingcleat.change_times import STAGES
from lacewingcleat.config_reader import READERS_PER_ZONE
from lacewingcleat.identity import Role
from lacewingcleat.sheet_check import PartCache

TARGET_PROCESSES = 12_350
CHANGE_SECONDS = 2.0
CHANGES = 15
# Time after the last change in which every process has to catch up.
SETTLE_SECONDS = 6.0
MAX_START_SECONDS = 90.0
NETWORK = Network(loss=0.01, slow=0.01, slow_factor=100.0)
DELAY_BOUND_SECONDS = 6.0
READS_BOUND = 2_000.0
BYTES_BOUND = 29_000.0


@dataclass(frozen=True, slots=True)
class Shape:
    """Describe one run.

    :param zones: number of zones.
    :param entries: entries per zone.
    :param agents: agents per zone.
    :param scale: size of the sheet relative to the target.
    """

    zones: int
    entries: int
    agents: int
    scale: float

    @property
    def processes(self) -> int:
        """Return the number of processes of all zones."""
        return self.zones * (self.entries + self.agents)


SHAPES = (
    Shape(1, 1, 1, 2 / TARGET_PROCESSES),
    Shape(1, 2, 18, 20 / TARGET_PROCESSES),
    Shape(2, 3, 97, 200 / TARGET_PROCESSES),
    Shape(2, 11, 387, 1.0),
)


@dataclass(frozen=True, slots=True)
class SpreadResult:
    """Hold the figures of one run.

    :param start_seconds: until all processes had the first revision.
    :param delays: from publication to force, over all processes and changes.
    :param stage_by_name: longest stage seen by a process.
    :param reads_per_second: calls at the configuration service.
    :param bytes_by_role: highest bytes/s of a process, sent and received.
    """

    shape: Shape
    start_seconds: float
    delays: Sequence[float]
    stage_by_name: dict[str, float]
    reads_per_second: float
    bytes_by_role: dict[str, float]
    mean_bytes: float
    repairs: int


def measure_spread(shape: Shape, network: Network = NETWORK) -> SpreadResult:
    """Run one shape and collect its figures."""
    sheet = GrowingSheet(shape.scale)
    zones = [(shape.entries, shape.agents)] * shape.zones
    model = SpreadModel(zones, network, seed=1, shared_cache=PartCache())
    model.publish(sheet.next_revision())
    while set(model.revisions().values()) != {1} and model.now < MAX_START_SECONDS:
        model.run(0.25)
    start_seconds = model.now
    model.run(SETTLE_SECONDS)
    processes = list(model.process_by_name.values())
    for process in processes:
        process.bytes_sent = process.bytes_received = 0
    reads_before, began = model.config.reads, model.now
    for _change in range(CHANGES):
        model.publish(sheet.next_revision())
        model.run(CHANGE_SECONDS)
    duration = model.now - began
    reads = model.config.reads - reads_before
    model.run(SETTLE_SECONDS)
    bytes_by_role: dict[str, float] = {}
    for process in processes:
        role = "agent" if process.peer.role is Role.AGENT else "entry"
        role = "reader" if process.relay.is_reader else role
        rate = (process.bytes_sent + process.bytes_received) / duration
        bytes_by_role[role] = max(bytes_by_role.get(role, 0.0), rate)
    total_bytes = sum(p.bytes_sent + p.bytes_received for p in processes)
    return SpreadResult(
        shape=shape,
        start_seconds=start_seconds,
        delays=_delays(model),
        stage_by_name=_longest_stages(model),
        reads_per_second=reads / duration,
        bytes_by_role=bytes_by_role,
        mean_bytes=total_bytes / duration / len(processes),
        repairs=sum(process.relay.counts.repairs for process in processes),
    )


def run() -> list[Measure]:
    """Measure all shapes and extrapolate to the target."""
    results = [measure_spread(shape) for shape in SHAPES]
    measures = [measure for result in results for measure in _measures_of(result)]
    return [*measures, *_extrapolate(results)]


def _delays(model: SpreadModel) -> list[float]:
    """Return the delay of each change at each process.

    A process that jumps to a later revision has the change from then on.
    """
    delays: list[float] = []
    last = max(model.config.published_by_revision)
    for process in model.process_by_name.values():
        for revision in range(2, last + 1):
            published = model.config.published_by_revision[revision]
            reached = [at for at, held in process.in_force if held >= revision]
            delays.append(reached[0] - published if reached else float("inf"))
    return delays


def _longest_stages(model: SpreadModel) -> dict[str, float]:
    changes = [
        change
        for process in model.process_by_name.values()
        for change in process.relay.recent_changes
    ]
    return {
        stage: max((float(getattr(change, stage)) for change in changes), default=0.0)
        for stage in STAGES
    }


def _measures_of(result: SpreadResult) -> list[Measure]:
    shape = result.shape
    name = f"config {shape.processes} processes"
    at_most = Direction.AT_MOST
    delays = np.array(result.delays)
    bytes_max = max(result.bytes_by_role.values())
    return [
        Measure(f"{name}: start", result.start_seconds, "s"),
        Measure(f"{name}: delay p50", float(np.quantile(delays, 0.5)), "s"),
        Measure(f"{name}: delay p99", float(np.quantile(delays, 0.99)), "s"),
        Measure(
            f"{name}: delay max", float(delays.max()), "s", DELAY_BOUND_SECONDS, at_most
        ),
        *(
            Measure(f"{name}: longest {stage} stage", seconds, "s")
            for stage, seconds in result.stage_by_name.items()
        ),
        Measure(f"{name}: reads", result.reads_per_second, "1/s", READS_BOUND, at_most),
        *(
            Measure(f"{name}: bytes of the busiest {role}", rate, "B/s")
            for role, rate in sorted(result.bytes_by_role.items())
        ),
        Measure(f"{name}: bytes max", bytes_max, "B/s", BYTES_BOUND, at_most),
        Measure(f"{name}: bytes mean", result.mean_bytes, "B/s"),
        Measure(f"{name}: repaired offers", float(result.repairs), "1"),
    ]


def _extrapolate(results: Sequence[SpreadResult]) -> list[Measure]:
    """Fit straight lines over the runs and read them at the target.

    Reads grow with the number of readers. Delays grow with the depth of the tree and
    the number of processes that may lose a message, so with the logarithm of the
    number of processes. Bytes of the busiest process grow with its zone and the sheet,
    which the largest run has in the target's size.
    """
    readers = [
        result.shape.zones * min(READERS_PER_ZONE, result.shape.entries)
        for result in results
    ]
    reads = [result.reads_per_second for result in results]
    reads_slope, reads_base = np.polyfit(readers, reads, 1)
    target_reads = reads_base + reads_slope * TARGET_ZONES * READERS_PER_ZONE
    sizes = [np.log10(result.shape.processes) for result in results]
    delays = [max(result.delays) for result in results]
    delay_slope, delay_base = np.polyfit(sizes, delays, 1)
    target_delay = delay_base + delay_slope * np.log10(TARGET_PROCESSES)
    largest = max(results[-1].bytes_by_role.values())
    at_most = Direction.AT_MOST
    return [
        Measure("config slope: reads per reader", float(reads_slope), "1/s"),
        Measure("config slope: delay max per decade", float(delay_slope), "s"),
        Measure(
            "config target: delay max",
            float(target_delay),
            "s",
            DELAY_BOUND_SECONDS,
            at_most,
        ),
        Measure(
            "config target: reads", float(target_reads), "1/s", READS_BOUND, at_most
        ),
        Measure("config target: bytes max", largest, "B/s", BYTES_BOUND, at_most),
    ]
