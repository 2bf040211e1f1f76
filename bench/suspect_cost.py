"""Messages, bytes and memory that crash reports and tickets cost each process.

Each crash is flooded with its repeats. The cost of one crash is counted at several
sizes, fitted and extrapolated to the target; with 190 failures a day and a lost rack
of 40 servers, it gives the mean and the burst.
"""

import tracemalloc

import numpy as np

from bench.fleet import Shape, encoded_size
from bench.measure import Direction, Measure
from lacewingcleat.actions import Action, Send
from lacewingcleat.crash_suspects import MAX_SUSPECTS, CrashSuspects
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import CrashReport, Envelope
from lacewingcleat.tickets import (
    MAX_STORED_BYTES,
    MAX_TICKETS,
    Response,
    TicketRegistry,
)

DIGEST = "0" * 32
IN_FLIGHT = 16
REPORT_ROUNDS = 3
CRASHES_PER_DAY = 190
DAY_SECONDS = 86_400.0
RACK_SERVERS = 40
# Time in which the reports of a lost rack are sent with their repeats.
BURST_SECONDS = 3.0
BOUND_BYTES_PER_SECOND = 29_000.0
BOUND_MEMORY_BYTES = 128e6
TARGET = Shape(31, 11, 387)
SHAPES = (Shape(2, 3, 12), Shape(3, 5, 40), Shape(4, 4, 64), Shape(8, 8, 128))


class Flood:
    """Spread crash reports over the neighbours that membership would give."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.octets_by_name: dict[str, int] = {}
        self.messages_by_name: dict[str, int] = {}
        self.process_by_name: dict[str, CrashSuspects] = {}
        for zone in range(shape.zones):
            for kind, count in (("e", shape.entries), ("s", shape.agents)):
                for number in range(count):
                    self.process_by_name[f"{kind}-{zone}-{number}"] = CrashSuspects()
        for name in self.process_by_name:
            self.octets_by_name[name] = self.messages_by_name[name] = 0
        self.neighbours_by_name = {n: self._neighbours(n) for n in self.process_by_name}

    def crash(self, number: int) -> None:
        """Report a crash at an agent and spread it with its repeats."""
        fingerprints = tuple(f"{number:016x}{i:016x}" for i in range(IN_FLIGHT))
        name = "s-0-0"
        report = CrashReport(f"{DIGEST}:{number}", name, fingerprints, False)
        near = self.neighbours_by_name[name]
        wire = self._post(
            name, self.process_by_name[name].record_report(report, near, 0)
        )
        for second in range(REPORT_ROUNDS):
            while wire:
                target, body, sender = wire.pop()
                near = self.neighbours_by_name[target]
                process = self.process_by_name[target]
                heard = process.record_report(body, near, float(second), sender)
                wire += self._post(target, heard)
            for name, process in self.process_by_name.items():
                near = self.neighbours_by_name[name]
                wire += self._post(name, process.tick(near, second + 1.0))

    def _neighbours(self, name: str) -> list[str]:
        kind, zone, number = name.split("-")
        shape = self.shape
        index = int(number)
        if kind == "s":
            return [f"e-{zone}-{(index + i) % shape.entries}" for i in (0, 1)]
        near = [f"e-{zone}-{i}" for i in range(shape.entries) if i != index]
        for server in range(shape.agents):
            if index in (server % shape.entries, (server + 1) % shape.entries):
                near.append(f"s-{zone}-{server}")
        if index < 2:
            zones = (other for other in range(shape.zones) if other != int(zone))
            near += [f"e-{other}-{index}" for other in zones]
        return near

    def _post(
        self,
        sender: str,
        actions: list[Action],
    ) -> list[tuple[str, CrashReport, str]]:
        posted = []
        peer = Peer(sender, DIGEST, "zone-00", Role.ENTRY)
        size = 0
        for action in actions:
            if not isinstance(action, Send):
                continue
            body = action.message
            if not isinstance(body, CrashReport):
                continue
            if not size:
                size = encoded_size(Envelope(peer, 45_000, DIGEST, body))
            for name in (sender, action.instance):
                self.octets_by_name[name] += size
                self.messages_by_name[name] += 1
            posted.append((action.instance, body, sender))
        return posted


def run() -> list[Measure]:
    """Count one crash at all sizes and return the extrapolated cost."""
    measures: list[Measure] = []
    octets: list[float] = []
    for shape in SHAPES:
        flood = Flood(shape)
        flood.crash(0)
        # The first entry of a zone reads the configuration service, which costs most.
        octets.append(float(max(flood.octets_by_name.values())))
        name = f"suspects/{shape.zones}x{shape.entries}+{shape.agents}"
        messages = max(flood.messages_by_name.values())
        measures.append(Measure(f"{name}/messages-per-crash", messages, "messages"))
        measures.append(Measure(f"{name}/bytes-per-crash", octets[-1], "B"))
        entries = max(len(process) for process in flood.process_by_name.values())
        measures.append(Measure(f"{name}/table-entries", entries, "entries"))
    matrix = np.array([_terms(shape) for shape in SHAPES])
    slopes = np.linalg.lstsq(matrix, np.array(octets), rcond=None)[0]
    for term, slope in zip(("agent", "entry", "zone"), slopes, strict=True):
        measures.append(Measure(f"suspects/slope/{term}", float(slope), "B"))
    per_crash = float(slopes @ np.array(_terms(TARGET)))
    mean = per_crash * CRASHES_PER_DAY / DAY_SECONDS
    burst = per_crash * RACK_SERVERS / BURST_SECONDS
    measures += [
        Measure("suspects/target/bytes-per-crash", per_crash, "B"),
        _bounded("suspects/target/mean", mean, BOUND_BYTES_PER_SECOND, "B/s"),
        Measure("suspects/target/rack-burst", burst, "B/s"),
        _bounded("suspects/full-table", _table_memory(), BOUND_MEMORY_BYTES, "B"),
        _bounded("tickets/full-book", _book_memory(), BOUND_MEMORY_BYTES, "B"),
    ]
    return measures


def _terms(shape: Shape) -> list[float]:
    return [2 * shape.agents / shape.entries, shape.entries - 1, shape.zones - 1]


def _table_memory() -> float:
    """Return the memory that a full table takes."""
    tracemalloc.start()
    suspects = CrashSuspects()
    for number in range(MAX_SUSPECTS // IN_FLIGHT + 1):
        fingerprints = tuple(f"{number:016x}{i:016x}" for i in range(IN_FLIGHT))
        suspects.record_report(
            CrashReport(f"{number}", "s", fingerprints, False), [], 0
        )
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(used)


def _book_memory() -> float:
    """Return the memory of a full ticket book with all stored responses."""
    book = TicketRegistry(
        Peer("agent", DIGEST, "zone-00", Role.AGENT), "address", b"key"
    )
    tracemalloc.start()
    size = MAX_STORED_BYTES // MAX_TICKETS
    for number in range(MAX_TICKETS):
        random_bytes = number.to_bytes(16, "big")
        minted = book.mint("orders", "account", random_bytes, 0.0).unwrap()
        fingerprint = f"{number:032x}"
        book.present(minted.token, "orders", "account", fingerprint, 0.0)
        book.start(minted.ticket.ticket_id, 0.0)
        book.finish(minted.ticket.ticket_id, Response(200, (), bytes(size)), 0.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(used)


def _bounded(name: str, value: float, bound: float, unit: str) -> Measure:
    return Measure(name, value, unit, bound, Direction.AT_MOST)


if __name__ == "__main__":
    for measure in run():
        print(f"{measure.name:44} {measure.value:14.1f} {measure.unit} {measure.ok}")
