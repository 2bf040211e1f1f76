"""A small fleet of real processes on loopback ports, for benchmarks and tests."""

import hashlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from lacewingcleat.demo_fleet import PortPool

ROOT = Path(__file__).parent.parent
START_SECONDS = 60.0
POLL_SECONDS = 0.1
KEY = "demo-shop"
ENTRIES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("draft-1", "draft-2")
SERVICES = ("orders-1", "orders-2")


class ProcessFleet:
    """Run three entries, two engines and two services with their agents.

    :param token_seconds: time of a step of the engines.
    :param delay_seconds: time that a call of a service takes.
    :param trace_ratio: share of traces that are recorded.
    :param more_settings: further settings of all entries and agents.
    """

    def __init__(
        self,
        token_seconds: float = 0.02,
        delay_seconds: float = 0.0,
        trace_ratio: float = 0.01,
        more_settings: dict[str, object] | None = None,
    ) -> None:
        self.more_settings = more_settings or {}
        self.trace_ratio = trace_ratio
        self.ports = PortPool()
        self.directory = tempfile.TemporaryDirectory()
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.token_seconds = token_seconds
        self.delay_seconds = delay_seconds
        self.config_address = self.ports.take()
        self.request_by_entry = {name: self.ports.take() for name in ENTRIES}
        self.control_by_entry = {name: self.ports.take() for name in ENTRIES}
        self.admin_by_name = {
            name: self.ports.take() for name in (*ENTRIES, *ENGINES, *SERVICES)
        }
        self.backend_by_server = {
            name: self.ports.take() for name in (*ENGINES, *SERVICES)
        }
        self.sheet = self._make_sheet()
        self.sheet_path = self._write("sheet", self.sheet)

    def _make_sheet(self) -> dict[str, Any]:
        servers = [
            {
                "name": name,
                "zone": "regina",
                "address": self.ports.take(),
                "control_address": self.ports.take(),
                "state": "serving",
                "slots": 32,
            }
            for name in (*ENGINES, *SERVICES)
        ]
        groups = [
            {
                "name": f"group-{name}",
                "model": "drafting",
                "versions": ["1"],
                "adapters": [],
                "ranks": [name],
                "firm": "coteau",
                "experts": 8,
                "layers": 2,
            }
            for name in ENGINES
        ]
        account = {
            "name": "shop",
            "firm": "coteau",
            "key_sha256": hashlib.sha256(KEY.encode()).hexdigest(),
            "requests_per_second": 600,
            "concurrency": 600,
            "tokens_per_minute": 90_000_000,
            "max_priority": 0,
        }
        small = account | {
            "name": "small",
            "key_sha256": hashlib.sha256(b"demo-small").hexdigest(),
            "requests_per_second": 3,
            "concurrency": 3,
        }
        return {
            "revision": 1,
            "firms": [
                {
                    "name": "coteau",
                    "time_zone": "America/Regina",
                    "skew_weight": 3,
                    "rebalance_weight": 1,
                },
            ],
            "zones": [{"name": "regina", "region": "prairie", "entries": 3}],
            "client_accounts": [account, small],
            "backend_servers": servers,
            "model_groups": groups,
            "services": [
                {
                    "name": "orders",
                    "backend_servers": list(SERVICES),
                    "idempotent": [{"method": "GET", "path_prefix": "/"}],
                },
            ],
            "claims": [],
        }

    def allow_any_rate(self) -> None:
        """Raise the limits of the account beyond what a benchmark sends."""
        account = self.sheet["client_accounts"][0]
        account["requests_per_second"] = 60_000
        account["concurrency"] = 60_000
        account["tokens_per_minute"] = 900_000_000
        self.sheet_path = self._write("sheet", self.sheet)

    def _write(self, name: str, document: object) -> str:
        path = Path(self.directory.name) / f"{name}.json"
        path.write_text(json.dumps(document))
        return str(path)

    def start(self) -> "ProcessFleet":
        """Start all processes and wait until they are ready."""
        self.start_config()
        for server in self.sheet["backend_servers"]:
            self.start_backend(server["name"])
            self.start_agent(server)
        for name in ENTRIES:
            self.start_entry(name)
        self.wait_until_ready((*ENTRIES, *ENGINES, *SERVICES))
        return self

    def start_config(self) -> None:
        """Start the configuration service."""
        self._spawn(
            "config",
            "stand_in_main",
            "config",
            self.config_address,
            "--sheet",
            self.sheet_path,
        )

    def start_backend(self, name: str) -> None:
        """Start the engine or service of a server."""
        kind = "engine" if name in ENGINES else "service"
        self._spawn(
            f"backend-{name}",
            "stand_in_main",
            kind,
            self.backend_by_server[name],
            "--token-seconds",
            str(self.token_seconds),
            "--delay-seconds",
            str(self.delay_seconds),
        )

    def start_agent(self, server: dict[str, Any]) -> None:
        """Start the agent of a server."""
        name = server["name"]
        settings = {
            "instance": f"agent-{name}",
            "zone": "regina",
            "request_address": server["address"],
            "control_address": server["control_address"],
            "admin_address": self.admin_by_name[name],
            "server": name,
            "backend_kind": "engine" if name in ENGINES else "service",
            "backend_address": self.backend_by_server[name],
            "peers": list(self.control_by_entry.values()),
            "trace_sampling_ratio": self.trace_ratio,
            **self.more_settings,
        }
        self._spawn(name, "agent_main", self._write(f"agent-{name}", settings))

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        settings = {
            "instance": name,
            "zone": "regina",
            "request_address": self.request_by_entry[name],
            "control_address": self.control_by_entry[name],
            "admin_address": self.admin_by_name[name],
            "config_address": self.config_address,
            "peers": list(self.control_by_entry.values()),
            "trace_sampling_ratio": self.trace_ratio,
            **self.more_settings,
        }
        self._spawn(name, "entry_main", self._write(name, settings))

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = Path(self.directory.name) / f"{name}.log"
        with log.open("ab") as output:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", f"lacewingcleat.{module}", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (Path(self.directory.name) / f"{name}.log").read_text()

    def wait_until_ready(self, names: Any) -> None:
        """Wait until the named processes answer /readyz with 200."""
        end = time.monotonic() + START_SECONDS
        waiting = set(names)
        while waiting and time.monotonic() < end:
            waiting = {name for name in waiting if not self._is_ready(name)}
            time.sleep(POLL_SECONDS)
        if waiting:
            logs = "\n".join(f"{name}: {self.log(name)[-500:]}" for name in waiting)
            raise AssertionError(f"not ready: {sorted(waiting)}\n{logs}")

    def _is_ready(self, name: str) -> bool:
        try:
            return self.get(self.admin_by_name[name], "/readyz")[0] == 200
        except OSError:
            return False

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this fleet."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def get(self, address: str, path: str) -> tuple[int, bytes]:
        """Read a path from any listener of the fleet."""
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def send(
        self,
        entry: str,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout: float = 20.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a caller's request through an entry."""
        connection = http.client.HTTPConnection(
            self.request_by_entry[entry],
            timeout=timeout,
        )
        sent = {"Authorization": f"Bearer {KEY}"} | (headers or {})
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            connection.request(
                method, path, data if body is not None else None, headers=sent
            )
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()

    def executions(self) -> dict[str, int]:
        """Return how often each call ran over all services that are up."""
        total: dict[str, int] = {}
        for name in SERVICES:
            try:
                _, body = self.get(self.backend_by_server[name], "/executions")
            except OSError:
                continue
            for call, count in json.loads(body).items():
                total[call] = total.get(call, 0) + count
        return total

    def publish(self, revision: int) -> None:
        """Publish the sheet under another revision."""
        self.write_sheet(revision)
        self.signal("config", signal.SIGHUP)

    def write_sheet(self, revision: int) -> None:
        """Write the sheet that the configuration service publishes next."""
        self.sheet["revision"] = revision
        Path(self.sheet_path).write_text(json.dumps(self.sheet))

    def revision(self, name: str) -> int:
        """Return the revision that a process has in force."""
        _, body = self.get(self.admin_by_name[name], "/status")
        revision: int = json.loads(body)["revision"]
        return revision

    def stop(self) -> None:
        """End all processes."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.directory.cleanup()
