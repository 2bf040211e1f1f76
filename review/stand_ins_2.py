"""Stand-ins of the platform for the scripts of the second review.

They use only the standard library: the read-only store, backend servers over raw
sockets, callers, and the start of a direct entry with the command of the deploy file.
"""

import base64
import json
import os
import shlex
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parent.parent
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Port of the metrics in the deploy file, on the host of the readiness address.
METRICS_PORT = 9464
READY_SECONDS = 20.0
API_KEY = "k1"
HOST = "h.example"
RECEIVE_BYTES = 65_536

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


class NotRunError(Exception):
    """Raised if a case cannot be played."""


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} s  {text}\n")
            self._file.flush()


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


# Messages


@dataclass
class Message:
    """Represent a received request or response, with header names in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


def read_head(stream: socket.socket) -> tuple[Message, bytes] | None:
    """Read a head; return it with the bytes that follow, none at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = stream.recv(RECEIVE_BYTES)
        if not more:
            return None
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers), rest


def read_request(stream: socket.socket) -> Message | None:
    """Read a request with a content length or no body."""
    found = read_head(stream)
    if found is None:
        return None
    message, body = found
    length = int(message.headers.get("content-length", "0"))
    while len(body) < length:
        more = stream.recv(RECEIVE_BYTES)
        if not more:
            return None
        body += more
    message.body = body
    return message


def encode_response(status: int, body: bytes, *headers: str) -> bytes:
    """Encode a response with a content length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_signed(request: Message, status: int, body: bytes, *headers: str) -> bytes:
    """Encode the response of a worker to a request."""
    return encode_response(
        status,
        body,
        f"X-Request-Id: {request.headers['x-request-id']}",
        "X-Response-Signature: 3e1b.07.5a2",
        *headers,
    )


def encode_stream_head(request: Message) -> bytes:
    """Encode the head of a worker's stream in chunks."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nX-Response-Signature: 3e1b.07.5a2\r\n"
        f"X-Request-Id: {request.headers['x-request-id']}\r\n\r\n"
    ).encode()


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_event(number: int) -> bytes:
    """Encode an event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


# Servers


class Listener:
    """Accept connections on a loopback address and serve each on a thread."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self._socket.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(stream,), daemon=True).start()

    def _run(self, stream: socket.socket) -> None:
        with stream, suppress(OSError, ValueError, KeyError):
            self._serve(stream)


class Store:
    """Serve listings and watches of a few items; it can be restored from a copy."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._revision = 1
        self._era = 1
        # The history of a restored store begins with the revision of its copy.
        self._first_revision = 0
        self._is_away = False
        self._events: list[dict[str, object]] = []
        self._item_by_key: dict[str, dict[str, object]] = {}
        self._streams: set[socket.socket] = set()
        self.address = Listener(self._serve).address

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._revision += 1
            item = {"key": key, "value": text, "revision": self._revision}
            self._item_by_key[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            self._revision += 1
            self._item_by_key.pop(key, None)
            event = {"key": key, "revision": self._revision, "removed": True}
            self._events.append(event)
            self._changed.notify_all()

    def copy(self) -> tuple[int, dict[str, dict[str, object]]]:
        """Return a copy to restore from."""
        with self._changed:
            return self._revision, dict(self._item_by_key)

    def go_away(self) -> None:
        """Cut all connections and serve none."""
        with self._changed:
            self._is_away = True
            self._changed.notify_all()
            for stream in self._streams:
                with suppress(OSError):
                    stream.shutdown(socket.SHUT_RDWR)

    def come_back(self, copy: tuple[int, dict[str, dict[str, object]]]) -> None:
        """Serve again, with the items of a copy and without its history."""
        with self._changed:
            self._revision, items = copy
            self._item_by_key = dict(items)
            self._events = []
            self._first_revision = self._revision
            self._era += 1
            self._is_away = False

    def _serve(self, stream: socket.socket) -> None:
        with self._changed:
            if self._is_away:
                return
            self._streams.add(stream)
        try:
            while (request := read_request(stream)) is not None:
                stream.sendall(self._answer(request))
        finally:
            with self._changed:
                self._streams.discard(stream)

    def _answer(self, request: Message) -> bytes:
        path, _, query = request.target.partition("?")
        values = dict(part.partition("=")[::2] for part in query.split("&"))
        body = self._list() if path == "/kv-range" else self._watch(values)
        status = 503 if self._is_away else 410 if body is None else 200
        era = f"Store-Era: {self._era}"
        return encode_response(status, json.dumps(body or {}).encode(), era)

    def _list(self) -> dict[str, object]:
        with self._changed:
            items = [self._item_by_key[key] for key in sorted(self._item_by_key)]
            return {"items": items, "has_more": False, "at": self._revision}

    def _watch(self, values: dict[str, str]) -> dict[str, object] | None:
        after = int(values["after"])
        deadline = time.monotonic() + int(values["wait_ms"]) / 1000.0
        with self._changed:
            while True:
                if not self._first_revision <= after <= self._revision:
                    return None
                events = [e for e in self._events if int(str(e["revision"])) > after]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0.0 or self._is_away:
                    return {"events": events, "at": self._revision}
                self._changed.wait(remaining)


def make_record(
    service: str, address: str, slots: int, zone: str = "regina"
) -> dict[str, object]:
    """Make the record with which a worker registers."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 4,
        "born": 1_700_000_000_000,
    }


def make_route(
    name: str, kind: str, service: str, **fields: object
) -> dict[str, object]:
    """Make a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 402,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def make_config(
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
    idle_timeout_ms: int = 15_000,
    version: int = 7,
    keys: tuple[str, ...] = (API_KEY,),
) -> dict[str, object]:
    """Make a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": idle_timeout_ms,
        },
        "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}],
    }


# The entry


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def _free_host(random: Random) -> str:
    """Return a loopback address on which the port of the metrics is free."""
    for _ in range(100):
        host = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}.1"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, METRICS_PORT))
            return host
    raise NotRunError("no loopback address with a free port for metrics")


@dataclass
class Entry:
    """Run a direct entry with the command of the deploy file."""

    store: Store
    record: Record
    name: str = "front-regina-1"
    seeds: tuple[str, ...] = ()
    folder: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )

    def __post_init__(self) -> None:
        self.host = _free_host(Random())
        ports: set[int] = set()
        while len(ports) < 3:
            ports.add(_free_port(self.host))
        self.port, self._ready_port, control_port = ports
        self.control_address = f"{self.host}:{control_port}"
        settings = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip_address": self.host,
            "zone": "regina",
            "region": "prairie",
            "zones": {"regina": "prairie"},
            "listen_addresses": {
                "front": f"{self.host}:{self.port}",
                "readiness": f"{self.host}:{self._ready_port}",
                "control": self.control_address,
            },
            "internal_port_range": [7340, 7355],
            "seeds": [self.control_address, *self.seeds],
            "bootstrap": True,
            "tolerance_member": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "retry", "recover", "engine"]
            + ["stream", "tenants", "platform", "experts"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.address,
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1_048_576,
                "min_ttl_ms": 1000,
            },
        }
        self._settings_path = Path(self.folder.name) / "boot.json"
        self._settings_path.write_text(json.dumps(settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.begin_start()
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process is None or self.process.poll() is not None:
                raise NotRunError(f"the entry ended: {self.read_log()[-2000:]}")
            if self.readiness() == 200:
                self.record.write(f"{self.name} is ready")
                return
            time.sleep(0.02)
        raise NotRunError("the entry is not ready")

    def begin_start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LACEWINGCLEAT_SETTINGS": str(self._settings_path),
        }
        log = (Path(self.folder.name) / "log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.write(f"{self.name} started: {' '.join(command)}")

    def readiness(self) -> int:
        """Return the status of a readiness check, 0 without an answer."""
        with suppress(OSError):
            with socket.create_connection((self.host, self._ready_port), 1.0) as stream:
                stream.sendall(b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                found = read_head(stream)
                return found[0].status if found else 0
        return 0

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.record.write(f"{self.name} killed")

    def read_log(self) -> str:
        """Return the output of all processes of this entry."""
        return (Path(self.folder.name) / "log").read_text(errors="replace")

    def connect(self) -> socket.socket:
        """Open a connection of a caller."""
        return socket.create_connection((self.host, self.port), 1.0)

    def close(self) -> None:
        """End the process and remove its files."""
        self.kill()
        self.folder.cleanup()


def encode_call(
    method: str,
    target: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    key: str = API_KEY,
) -> bytes:
    """Encode a request of a caller."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Milliseconds: {deadline_ms}",
        f"Authorization: Bearer {key}",
        "X-Model: m",
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run_case(play: Callable[[Record], bool], folder: Path) -> int:
    """Play a case; return the exit code.

    :param play: returns whether the rule held.
    """
    record = Record(folder)
    record.write(f"TROUBLE={int(has_trouble())}")
    try:
        held = play(record)
    except Exception as error:
        # A fault of the script is no broken rule.
        record.write(f"could not run: {error!r}")
        return EXIT_NOT_RUN
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    return EXIT_HELD if held else EXIT_BROKEN
