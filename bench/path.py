"""Cost of the request path against a bare relay with the same two hops.

CPU time of the two hops is read from the kernel's accounting after the same requests
went through both. Two shapes of load, many short streams and few long ones, separate
the cost of a request from that of a token chunk.
"""

import json
import os
import selectors
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from bench.measure import Direction, Measure
from bench.process_fleet import KEY, ProcessFleet

TOKEN_SECONDS = 0.004
LONG_STREAMS = 24
LONG_TOKENS = 400
SHORT_STREAMS = 24
SHORT_TOKENS = 4
SHORT_ROUNDS = 60
IDLE_SECONDS = 5.0
WARM_UP_SECONDS = 9.0
READ_TIMEOUT_SECONDS = 60.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20
# 2.2 million tokens a second over 350 entries.
ENTRY_TOKENS_PER_SECOND = 6_300
MEMORY_LIMIT_MIB = 128.0
RATIO_SAMPLED_OUT = 1.5
RATIO_TRACED = 2.0
OPEN_STREAMS = 1_000


@dataclass(frozen=True, slots=True)
class _Cost:
    """Hold CPU seconds of the hops."""

    long_seconds: float
    short_seconds: float

    @property
    def chunk_seconds(self) -> float:
        """Return the cost of one token chunk."""
        long_requests = LONG_STREAMS
        short_requests = SHORT_STREAMS * SHORT_ROUNDS
        long_chunks = LONG_STREAMS * LONG_TOKENS
        short_chunks = short_requests * SHORT_TOKENS
        weight = long_requests / short_requests
        seconds = self.long_seconds - weight * self.short_seconds
        return seconds / (long_chunks - weight * short_chunks)

    @property
    def request_seconds(self) -> float:
        """Return the cost of one request without its chunks."""
        requests = SHORT_STREAMS * SHORT_ROUNDS
        chunks = requests * SHORT_TOKENS
        return (self.short_seconds - chunks * self.chunk_seconds) / requests


def cpu_seconds(pids: list[int]) -> float:
    """Return the CPU time that processes have used."""
    total = 0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / CLOCK_TICKS


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / MEBIBYTE


def _request(tokens: int, number: int) -> bytes:
    body = json.dumps(
        {
            "model": "drafting",
            "messages": [{"role": "user", "content": f"prompt {number}"}],
            "max_tokens": tokens,
            "stream": True,
        },
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {KEY}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _open(address: str, tokens: int, number: int) -> socket.socket:
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=10)
    connection.sendall(_request(tokens, number))
    connection.setblocking(False)
    return connection


def _read_all(connections: list[socket.socket]) -> int:
    """Read all answers to their end; return how many were whole."""
    whole = 0
    tail_by_connection = dict.fromkeys(connections, b"")
    with selectors.DefaultSelector() as selector:
        for opened in connections:
            selector.register(opened, selectors.EVENT_READ)
        end = time.monotonic() + READ_TIMEOUT_SECONDS
        while selector.get_map() and time.monotonic() < end:
            for key, _ in selector.select(1.0):
                assert isinstance(key.fileobj, socket.socket)
                connection = key.fileobj
                data = connection.recv(1 << 16)
                if data:
                    tail = tail_by_connection[connection] + data
                    tail_by_connection[connection] = tail[-64:]
                    continue
                whole += b"[DONE]" in tail_by_connection[connection]
                selector.unregister(connection)
                connection.close()
    return whole


def _stream(address: str, streams: int, tokens: int) -> None:
    opened: list[socket.socket] = []
    for number in range(streams):
        opened.append(_open(address, tokens, number))
    whole = _read_all(opened)
    if whole != streams:
        raise RuntimeError(f"{streams - whole} of {streams} streams were not whole")


def _measure(address: str, pids: list[int]) -> _Cost:
    """Measure the path without what the processes use when they are idle.

    That is the cost of control, which bench/control_cost measures.
    """
    _stream(address, SHORT_STREAMS, SHORT_TOKENS)
    before = cpu_seconds(pids)
    time.sleep(IDLE_SECONDS)
    idle = (cpu_seconds(pids) - before) / IDLE_SECONDS

    def cost(rounds: int, streams: int, tokens: int) -> float:
        begin, begin_cpu = time.monotonic(), cpu_seconds(pids)
        for _ in range(rounds):
            _stream(address, streams, tokens)
        elapsed = time.monotonic() - begin
        return cpu_seconds(pids) - begin_cpu - idle * elapsed

    long_seconds = cost(1, LONG_STREAMS, LONG_TOKENS)
    return _Cost(long_seconds, cost(SHORT_ROUNDS, SHORT_STREAMS, SHORT_TOKENS))


def _measure_bare(fleet: ProcessFleet) -> _Cost:
    """Measure two bare relays before the fleet's first engine."""
    first, second = fleet.ports.take(), fleet.ports.take()
    engine = fleet.backend_by_server["draft-1"]
    relays = [
        subprocess.Popen(
            [sys.executable, "-m", "bench.relay_program", port, target],
        )
        for port, target in (
            (first.rpartition(":")[2], second),
            (second.rpartition(":")[2], engine),
        )
    ]
    try:
        time.sleep(2.0)
        return _measure(first, [relay.pid for relay in relays])
    finally:
        for relay in relays:
            relay.kill()
            relay.wait()


def _one_path(fleet: ProcessFleet) -> list[int]:
    """Leave one engine's agent, and return the process ids of the path.

    The other entries stay, because account limits need a majority of them.
    """
    for name in ("draft-2", "orders-1", "orders-2"):
        fleet.kill(name)
    time.sleep(WARM_UP_SECONDS)
    return [fleet.process_by_name[name].pid for name in ("entry-1", "draft-1")]


def _measure_fleet(trace_ratio: float) -> tuple[_Cost, _Cost, list[Measure]]:
    """Measure the fleet and, in the same run, the bare relays."""
    fleet = ProcessFleet(TOKEN_SECONDS, trace_ratio=trace_ratio)
    try:
        fleet.allow_any_rate()
        fleet.start()
        pids = _one_path(fleet)
        idle = [resident_mib(pid) for pid in pids]
        address = fleet.request_by_entry["entry-1"]
        cost = _measure(address, pids)
        bare = _measure_bare(fleet)
        memory = _measure_memory(fleet, pids, idle) if not trace_ratio else []
        return cost, bare, memory
    finally:
        fleet.stop()


def _measure_memory(
    fleet: ProcessFleet,
    pids: list[int],
    idle: list[float],
) -> list[Measure]:
    """Measure resident memory when idle and with open streams."""
    measures = [
        Measure(f"path: resident MiB, idle {role}", value, "MiB")
        for role, value in zip(("entry", "agent"), idle, strict=True)
    ]
    address = fleet.request_by_entry["entry-1"]
    for count in (10, OPEN_STREAMS):
        opened = [_open(address, 2_000, number) for number in range(count)]
        time.sleep(2.0)
        for role, pid in zip(("entry", "agent"), pids, strict=True):
            measures.append(
                Measure(
                    f"path: resident MiB, {role}, {count} open streams",
                    resident_mib(pid),
                    "MiB",
                    MEMORY_LIMIT_MIB,
                    Direction.AT_MOST,
                ),
            )
        for connection in opened:
            connection.close()
        time.sleep(1.0)
    return measures


def run() -> list[Measure]:
    """Measure the path with tracing sampled out and with all traces recorded."""
    measures: list[Measure] = []
    for label, ratio, bound in (
        ("tracing sampled out", 0.0, RATIO_SAMPLED_OUT),
        ("tracing on", 1.0, RATIO_TRACED),
    ):
        cost, bare, memory = _measure_fleet(ratio)
        chunk_ratio = cost.chunk_seconds / bare.chunk_seconds
        request_ratio = cost.request_seconds / bare.request_seconds
        measures += [
            Measure(
                f"path: CPU of a chunk against a bare relay, {label}",
                chunk_ratio,
                "ratio",
                bound,
                Direction.AT_MOST,
            ),
            Measure(
                f"path: CPU of a request against a bare relay, {label}",
                request_ratio,
                "ratio",
                bound,
                Direction.AT_MOST,
            ),
            Measure(
                f"path: core share of an entry at the target's tokens, {label}",
                cost.chunk_seconds / 2 * ENTRY_TOKENS_PER_SECOND,
                "cores",
            ),
        ]
        measures += memory
    return measures


if __name__ == "__main__":
    for measure in run():
        print(
            f"{measure.name}: {measure.value:.3f} {measure.unit} "
            f"{'' if measure.ok else 'MISSED'}",
        )
