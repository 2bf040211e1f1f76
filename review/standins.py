"""Stand-ins of the platform, its store, backend servers and callers for the cases.

They speak what the users' pages say, on loopback addresses. The entries are the
project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
HEARTBEAT_SECONDS = 1.2
HISTORY_SECONDS = 20.0
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_WATCH_SECONDS = 30.0
RESTART_DELAY_SECONDS = 0.5
START_TIMEOUT_SECONDS = 20.0
# The bounds of sites/coteau-lacewing.toml, as the settings of a process show them.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 3000,
    "confirmation_ms": 4000,
    "catch_up_s": 4,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "configuration_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "outer_bound_ms": 5000,
    "strict_revocation": True,
    "revocation_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 92,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "fencing_enforced": True,
}
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
HEALTH_PATH = "/health"
# Slots of a server of either service.
SLOTS = 6
ZONES = ("regina", "saskatoon", "brandon")


def with_trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write what was sent, answered and run to the record of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def line(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def result(self, text: str) -> None:
        """Write a line and print it."""
        self.line(text)
        print(text, flush=True)


@dataclass
class Request:
    """Represent a request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    """Represent a response; the status is 0 if there was none that is complete."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    fault: str = ""


def _parse_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    return lines[0], _parse_headers(lines[1:])


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with a content length, none if the connection ends."""
    try:
        line, headers = await _read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    method, target, _ = line.split(" ")
    return Request(method, target, headers, body)


def encode_response(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Encode a response with a content length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def free_port(host: str) -> int:
    """Return a port of a loopback address on which nobody listens."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class LoopbackNet:
    """Hand out loopback addresses that no other run is likely to use."""

    def __init__(self) -> None:
        chooser = random.Random(os.urandom(8))
        self._prefix = f"127.{chooser.randint(16, 250)}.{chooser.randint(1, 250)}"
        self._next = 1

    def address(self) -> str:
        """Return the next address."""
        self._next += 1
        return f"{self._prefix}.{self._next}"


class Listener:
    """Accept connections for a stand-in."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f"{self.host}:{self.port}"

    async def listen(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self.serve(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def end(self) -> None:
        """Close the port and reset all connections, like a process that ends."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


@dataclass
class StoreEvent:
    """Represent a write; the value is none if the item was removed."""

    key: str
    revision: int
    value: bytes | None
    written_at: float


class Store(Listener):
    """Serve the reads and watches of the platform's store."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self._revision = 1
        self._event_by_key: dict[str, StoreEvent] = {}
        self._history: list[StoreEvent] = []
        self._compacted = 1
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> float:
        """Write an item and return the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._write(key, data)

    def remove(self, key: str) -> float:
        """Remove an item and return the time of the acknowledgement."""
        return self._write(key, None)

    def _write(self, key: str, data: bytes | None) -> float:
        now = time.monotonic()
        self._revision += 1
        event = StoreEvent(key, self._revision, data, now)
        self._history.append(event)
        while self._history[0].written_at < now - HISTORY_SECONDS:
            self._compacted = self._history.pop(0).revision
        if data is None:
            self._event_by_key.pop(key, None)
        else:
            self._event_by_key[key] = event
        self._changed.set()
        self._changed = asyncio.Event()
        return now

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        while (request := await read_request(reader)) is not None:
            url = urlsplit(request.target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            prefix = unquote(query.get("prefix", ""))
            match url.path:
                case "/kv-range":
                    status, body = 200, self._page(prefix, query.get("after", ""))
                case "/kv-watch":
                    status, body = await self._watch(
                        prefix, int(query["after"]), int(query["wait_ms"]) / 1000.0
                    )
                case _:
                    status, body = 404, {}
            data = json.dumps(body).encode()
            json_type = {"Content-Type": "application/json"}
            writer.write(encode_response(status, data, json_type))
            await writer.drain()

    def _page(self, prefix: str, after: str) -> dict[str, object]:
        items: list[dict[str, object]] = []
        size = 0
        keys = [
            key
            for key in sorted(self._event_by_key)
            if key.startswith(prefix) and key > after
        ]
        for key in keys:
            event = self._event_by_key[key]
            size += len(event.value or b"")
            if items and (len(items) >= MAX_PAGE_ITEMS or size > MAX_PAGE_BYTES):
                break
            items.append(_encode_event(event))
        has_more = len(items) < len(keys)
        return {"items": items, "has_more": has_more, "at": self._revision}

    async def _watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> tuple[int, dict[str, object]]:
        deadline = time.monotonic() + min(MAX_WATCH_SECONDS, wait_seconds)
        while True:
            if after < self._compacted:
                return 410, {}
            events = [
                _encode_event(event)
                for event in self._history
                if event.revision > after and event.key.startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0.0:
                return 200, {"events": events, "at": self._revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)


def _encode_event(event: StoreEvent) -> dict[str, object]:
    encoded: dict[str, object] = {"key": event.key, "revision": event.revision}
    if event.value is None:
        return {**encoded, "removed": True}
    value = base64.b64encode(event.value).decode()
    return {**encoded, "value": value, "create_revision": event.revision, "lease": 0}


@dataclass
class Run:
    """Represent a request that a backend server has begun to run."""

    request_id: str
    target: str
    tenant: str
    server: str
    started_at: float
    ended_at: float | None = None


class PlainServer(Listener):
    """Run short requests in its slots, like `jobdesk`.

    :ivar runs: requests that it has begun to run.
    """

    def __init__(
        self, host: str, name: str, service: str, zone: str, work_seconds: float = 0.045
    ) -> None:
        super().__init__(host)
        self.name = name
        self.service = service
        self.zone = zone
        self.work_seconds = work_seconds
        self.slots = asyncio.Semaphore(SLOTS)
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.record: Record | None = None

    def begin_run(self, request: Request, request_id: str) -> Run:
        """Note that a request begins to run."""
        tenant = request.headers.get("x-tenant", "")
        run = Run(request_id, request.target, tenant, self.name, time.monotonic())
        self.runs.append(run)
        if self.record is not None:
            self.record.line(f"{request_id} runs at {self.name}")
        return run

    def store_item(self, state: str = "ready") -> dict[str, object]:
        """Return the entry of the server in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        while (request := await read_request(reader)) is not None:
            if request.target == HEALTH_PATH:
                writer.write(encode_response(200, b"", {"X-Instance-Id": self.name}))
                continue
            request_id = request.headers.get("x-request-id", "")
            if request.headers.get("x-expect-instance", self.name) != self.name:
                writer.write(encode_response(421, b"", {"X-Instance-Id": self.name}))
                continue
            if not request_id:
                writer.write(encode_response(400, b"", {"X-Not-Executed": "1"}))
                continue
            await self.run(request, request_id, writer)

    async def run(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request in a slot; the others wait."""
        async with self.slots:
            await self._work(request, request_id, writer)

    async def _work(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        run = self.begin_run(request, request_id)
        await asyncio.sleep(self.work_seconds)
        run.ended_at = time.monotonic()
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Signature": f"{self.name}.{len(self.runs)}",
            "X-Server-Load": "1,0,6",
        }
        writer.write(encode_response(200, b"answer", headers))
        await writer.drain()


class Entry:
    """Run the entry of the deploy file on one instance, as the platform does it."""

    def __init__(
        self, net: LoopbackNet, store: Store, number: int, memory_mb: int = 300
    ) -> None:
        self._host = net.address()
        zone = ZONES[number % len(ZONES)]
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.port = free_port(self._host)
        self.ready_port = free_port(self._host)
        self.control_address = f"{self._host}:{free_port(self._host)}"
        self.memory_mb = memory_mb
        self.memory_kills = 0
        self._store = store
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._settings = self._folder / "boot.json"
        self.output = self._folder / "output"
        self.process: subprocess.Popen[bytes] | None = None
        self._seeds: list[str] = []

    @property
    def host(self) -> str:
        """Return the IP address of the instance."""
        return self._host

    def write_settings(self, seeds: list[str], bootstrap: bool = True) -> None:
        """Write the settings file of the platform."""
        self._seeds = seeds
        settings = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip_address": self._host,
            "zone": self.zone,
            "region": "prairie",
            "zones": dict.fromkeys(ZONES, "prairie"),
            "listen_addresses": {
                "front": f"{self._host}:{self.port}",
                "readiness": f"{self._host}:{self.ready_port}",
                "control": self.control_address,
            },
            "internal_port_range": [7340, 7355],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "tolerance_member": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": self.memory_mb,
                "file_descriptors": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000),
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self._store.address,
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": int(HISTORY_SECONDS),
                "value_bytes": 1_048_576,
                "min_ttl_ms": 1000,
            },
        }
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["LACEWINGCLEAT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the process answers a readiness check with 200."""
        response = await call(
            self._host, self.ready_port, "GET", "/readiness", {"Host": "x"}, seconds=1.0
        )
        return response.status == 200

    def memory_used_mb(self) -> float:
        """Return the resident memory of the process, 0 if it does not run."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    async def supervise(self, record: Record) -> None:
        """End the process above its memory limit and restart it after it has ended."""
        while True:
            await asyncio.sleep(0.02)
            used = self.memory_used_mb()
            if used > self.memory_mb:
                record.line(f"platform kills {self.name}: memory {used:.0f} MB")
                self.memory_kills += 1
                self.signal(signal.SIGKILL)
            if self.process is not None and self.process.poll() is not None:
                code = self.process.returncode
                record.line(f"{self.name} has ended with {code}")
                await asyncio.sleep(RESTART_DELAY_SECONDS)
                self.write_settings(self._seeds, bootstrap=False)
                self.start()

    def count_log(self, event: str) -> int:
        """Return how many lines with an event the process has logged."""
        text = self.output.read_text(errors="replace")
        return text.count(f'"event":"{event}"')

    def end(self) -> None:
        """End the process."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
        for path in self._folder.iterdir():
            path.unlink()
        self._folder.rmdir()


class Fleet:
    """Run a store, backend servers and entries, and the tasks of a case.

    :ivar servers: the backend servers, which have registered.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.net = LoopbackNet()
        self.store = Store(self.net.address())
        self.servers: list[Any] = []
        self.entries: list[Entry] = []
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(
        self, config: dict[str, object], servers: list[Any], entry_count: int
    ) -> None:
        """Start all processes and wait until the entries are ready."""
        await self.store.listen()
        self.servers = servers
        for server in servers:
            server.record = self._record
            await server.listen()
            self.store.put(f"servers/{server.name}", server.store_item())
        self.store.put("op/config", config)
        self.entries = await start_entries(self.net, self.store, entry_count)

    def run(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run some work until the fleet ends."""
        self._tasks.append(asyncio.create_task(work))

    async def end(self) -> None:
        """End the work and all processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for closable in (*self.entries, self.store, *self.servers):
            closable.end()

    def runs(self) -> list[Run]:
        """Return what the backend servers have begun to run."""
        return [run for server in self.servers for run in server.runs]


def request_headers(
    host: str, request_id: str, key: str, deadline_ms: int
) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": host,
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a request with a content length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response with a length or in chunks."""
    line, headers = await _read_head(reader)
    status = int(line.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Response(status, headers, body)
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return Response(status, headers, body)
        body += chunk[:-2]


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 2.5,
) -> Response:
    """Send one request on a new connection."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(encode_request(method, target, headers, body))
            return await read_response(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Response(0, fault=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


async def wait_until(
    condition: Callable[[], Awaitable[bool]], seconds: float = START_TIMEOUT_SECONDS
) -> bool:
    """Return whether a condition holds within some time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


def make_plain_config(
    version: int, host: str, service: str, keys: list[str]
) -> dict[str, object]:
    """Make a configuration of a plain service with a tenant for each key."""
    route = {
        "host": host,
        "service": service,
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 2,
        "public": False,
    }
    lookup = {"name": "r-lookup", "prefix": "/cufi504/", "kind": "idempotent"}
    order = {"name": "r-order", "prefix": "/puxa403/", "kind": "non_idempotent"}
    return {
        "version": version,
        "routes": [
            {**route, **lookup, "max_attempts": 2},
            {**route, **order, "max_attempts": 1},
        ],
        "services": [make_service(service)],
        "limits": LIMITS,
        "tenants": make_tenants(keys),
    }


def make_service(name: str) -> dict[str, object]:
    """Make the configuration of a plain service."""
    return {
        "name": name,
        "health_check_path": HEALTH_PATH,
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def make_tenants(keys: list[str]) -> list[dict[str, object]]:
    """Make a tenant for each key."""
    return [{"name": f"t-{key}", "api_keys": [key], "priority": 1} for key in keys]


async def start_entries(net: LoopbackNet, store: Store, count: int) -> list[Entry]:
    """Start entries that know three of them as seeds; end all if one fails."""
    entries = [Entry(net, store, number) for number in range(count)]
    seeds = [entry.control_address for entry in entries[:3]]
    for entry in entries:
        entry.write_settings(seeds)
        entry.start()
    for entry in entries:
        if not await wait_until(entry.is_ready):
            for started in entries:
                print(started.output.read_text(errors="replace")[-500:])
                started.end()
            raise RuntimeError(f"{entry.name} is not ready")
    return entries


def play(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit with its result.

    :param case: returns whether the rule has held.
    """
    record = Record(folder)
    record.line(f"trouble: {with_trouble()}")
    try:
        held = asyncio.run(_limit(case(record)))
    except Exception as error:
        record.result(f"cannot run: {error!r}")
        sys.exit(EXIT_CANNOT_RUN)
    record.result("the rule has held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)


async def _limit(case: Awaitable[Any]) -> bool:
    async with asyncio.timeout(115.0):
        return bool(await case)
