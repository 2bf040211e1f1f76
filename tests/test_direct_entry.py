"""The program `lacewing-direct-entry` between stand-ins of the platform."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPResponse
from pathlib import Path
from typing import Any

from testtools import TestCase

from tests.platform_fakes import (
    Received,
    StandInServer,
    StandInStore,
    answer_for,
    chunk,
    encode_answer,
    stream_head,
)

START_SECONDS = 15.0
BOUNDS = {
    "revocation_ms": 5000,
    "configuration_apply_ms": 2000,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 92,
    "budget_window_s": 10,
    "fencing_enforced": True,
}


def _route(name: str, kind: str, **more: object) -> dict[str, object]:
    return {
        "name": name,
        "host": "h",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "s",
        "max_attempts": 2,
        "public": False,
        **more,
    }


def _config(version: int = 1, keys: tuple[str, ...] = ("k",)) -> dict[str, object]:
    return {
        "version": version,
        "routes": [
            _route("get", "idempotent"),
            _route("order", "non_idempotent"),
            _route("stream", "streaming", resumable=True),
        ],
        "services": [{"name": "s", "max_connections": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": "acme", "api_keys": list(keys)}],
    }


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Entry:
    """Run one entry between a store and some servers."""

    def __init__(self, store: StandInStore, folder: Path) -> None:
        self.port = _free_port()
        self.ready_port = _free_port()
        settings = {
            "node_name": "front-1",
            "zone": "z",
            "listen_addresses": {
                "front": f"127.0.0.1:{self.port}",
                "readiness": f"127.0.0.1:{self.ready_port}",
                "control": f"127.0.0.1:{_free_port()}",
            },
            "seeds": [],
            "bounds": BOUNDS,
            "platform": {"address": store.address},
        }
        path = folder / "settings.json"
        path.write_text(json.dumps(settings))
        self.output = folder / "output"
        command = [sys.executable, "-m", "lacewingcleat.direct_main"]
        command += ["--settings", str(path), "--metrics-port", "0"]
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                command, stdout=output, env={**os.environ, "PYTHONUNBUFFERED": "1"}
            )

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of one kind."""
        lines = map(json.loads, self.output.read_text().splitlines())
        return [line for line in lines if line["event"] == event]

    def readiness(self) -> int:
        """Ask the readiness listener."""
        connection = HTTPConnection("127.0.0.1", self.ready_port, timeout=5)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    def wait_until_ready(self, servers: int) -> None:
        """Wait for the configuration and the servers."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if self.readiness() == 200 and len(self.lines("server")) >= servers:
                return
            time.sleep(0.05)
        raise AssertionError(self.output.read_text())

    def call(
        self,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        key: str = "k",
        request_id: str = "q1",
        **headers: str,
    ) -> tuple[HTTPResponse, bytes]:
        """Send one request on a new connection."""
        connection = HTTPConnection("127.0.0.1", self.port, timeout=10)
        sent = {
            "Host": "h",
            "X-Request-Id": request_id,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Milliseconds": "2500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        try:
            data = response.read()
        finally:
            connection.close()
        return response, data


@contextmanager
def _fleet(*servers: StandInServer) -> Iterator[tuple[Entry, StandInStore]]:
    store = StandInStore()
    store.put("op/config", _config())
    for server in servers:
        store.put(f"servers/{server.name}", server.entry("s"))
    with tempfile.TemporaryDirectory() as folder:
        entry = Entry(store, Path(folder))
        try:
            entry.wait_until_ready(len(servers))
            yield entry, store
        finally:
            entry.process.kill()
            entry.process.wait()
            for closable in (store, *servers):
                closable.close()


def _refuse(request: Received, stream: socket.socket) -> bool:
    stream.sendall(encode_answer(503, b"", "X-Not-Executed: 1"))
    return True


def _reset(_request: Received, stream: socket.socket) -> bool:
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


def _wait_for(condition: Any, seconds: float = 5.0) -> bool:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.05)
    return False


class DirectEntryTest(TestCase):
    def test_a_request_arrives_unchanged(self) -> None:
        """Guards against changed requests, leaked keys and forged accounts."""
        server = StandInServer("i-1")
        with _fleet(server) as (entry, _):
            response, body = entry.call(
                "/order/x?y=1",
                "POST",
                b"payload",
                X_Tenant="forged",
                X_Model="m",
                Connection="X-Model",
            )
            self.assertEqual((200, b"answer of i-1"), (response.status, body))
            self.assertEqual("sig", response.getheader("X-Response-Signature"))
            (request,) = server.ran
            self.assertEqual(("POST", "/order/x?y=1"), (request.method, request.target))
            self.assertEqual(b"payload", request.body)
            self.assertEqual("acme", request.headers["x-tenant"])
            self.assertEqual("m", request.headers["x-model"])
            self.assertNotIn("authorization", request.headers)
            left = int(request.headers["x-deadline-milliseconds"])
            self.assertTrue(0 < left <= 2500, left)

    def test_a_refused_order_is_sent_on(self) -> None:
        """Guards against failing an order that certainly did not run."""
        first, second = StandInServer("i-1", _refuse), StandInServer("i-2", _refuse)
        third = StandInServer("i-3")
        with _fleet(first, second) as (entry, store):
            response, _ = entry.call("/order/x", "POST", b"x")
            self.assertEqual(503, response.status)
            self.assertIsNot(None, response.getheader("Retry-After"))
            store.put("servers/i-3", third.entry("s"))
            store.remove("servers/i-2")
            self.assertTrue(_wait_for(lambda: len(entry.lines("server")) == 3))
            self.assertTrue(_wait_for(lambda: entry.lines("server missing")))
            for number in range(5):
                response, _ = entry.call(
                    "/order/x", "POST", b"x", request_id=f"o{number}"
                )
                self.assertEqual(200, response.status)
        third.close()

    def test_an_order_that_may_have_run_is_not_repeated(self) -> None:
        """Guards against a doubled order and against a false promise."""
        seen: list[Received] = []

        def run_and_reset(request: Received, stream: socket.socket) -> bool:
            seen.append(request)
            return _reset(request, stream)

        servers = [StandInServer(f"i-{n}", run_and_reset) for n in range(3)]
        with _fleet(*servers) as (entry, _):
            response, _ = entry.call("/order/x", "POST", b"x")
            self.assertEqual(502, response.status)
            self.assertEqual(1, len(seen))

    def test_an_idempotent_request_is_repeated(self) -> None:
        """Guards against failing a request that may run again."""
        broken, sound = StandInServer("i-1", _reset), StandInServer("i-2")
        with _fleet(broken, sound) as (entry, _):
            for number in range(4):
                response, _ = entry.call("/get/x", request_id=f"g{number}")
                self.assertEqual(200, response.status)

    def test_an_answer_to_another_request_is_not_passed_on(self) -> None:
        """Guards against a late answer on a kept connection."""

        def stale(request: Received, stream: socket.socket) -> bool:
            request.headers["x-request-id"] = "other"
            stream.sendall(answer_for(request, 200, b"foreign"))
            return True

        with _fleet(StandInServer("i-1", stale)) as (entry, _):
            response, body = entry.call("/order/x", "POST", b"x")
            self.assertEqual((502, b""), (response.status, body))

    def test_a_stream_goes_on_at_another_server(self) -> None:
        """Guards against lost, doubled and broken events after a crash."""
        resumed: list[str | None] = []

        def stream(request: Received, peer: socket.socket) -> bool:
            last = request.headers.get("last-event-id")
            resumed.append(last)
            start = int(last or 0) + 1
            peer.sendall(stream_head(request))
            for number in range(start, 6):
                event = b"id: %d\ndata: x\n\n" % number
                if last is None and number == 3:
                    peer.sendall(chunk(event[:5]))
                    return _reset(request, peer)
                peer.sendall(chunk(event))
            peer.sendall(b"0\r\n\r\n")
            return True

        servers = [StandInServer(f"i-{n}", stream) for n in range(2)]
        with _fleet(*servers) as (entry, _):
            response, body = entry.call("/stream/x", "POST", b"")
            whole = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
            self.assertEqual((200, whole), (response.status, body))
            self.assertEqual([None, "2"], resumed)

    def test_a_removed_key_is_refused(self) -> None:
        """Guards against a key that goes on working after its removal."""
        with _fleet(StandInServer("i-1")) as (entry, store):
            store.put("op/config", _config(2, ("k2",)))
            self.assertTrue(_wait_for(lambda: len(entry.lines("config")) == 2))
            self.assertEqual(401, entry.call("/get/x")[0].status)
            self.assertEqual(200, entry.call("/get/x", key="k2")[0].status)

    def test_keys_are_not_admitted_without_the_store(self) -> None:
        """Guards against a key that was removed while the store was out of reach."""
        server = StandInServer("i-1")
        with _fleet(server) as (entry, store):
            store.down = True
            self.assertTrue(_wait_for(lambda: entry.readiness() == 503, 8.0))
            response, _ = entry.call("/get/x")
            self.assertEqual(503, response.status)
            self.assertEqual("close", response.getheader("Connection"))
            store.down = False
            self.assertTrue(_wait_for(lambda: entry.readiness() == 200, 8.0))
            self.assertEqual(200, entry.call("/get/x")[0].status)

    def test_lost_history_is_listed_again(self) -> None:
        """Guards against missing what changed while the history was dropped."""
        with _fleet(StandInServer("i-1")) as (entry, store):
            store.put("op/config", _config(3, ("k3",)))
            store.compact()
            self.assertTrue(_wait_for(lambda: len(entry.lines("config")) == 2))
            self.assertEqual(200, entry.call("/get/x", key="k3")[0].status)

    def test_a_leaving_server_gets_nothing_new(self) -> None:
        """Guards against requests to a server that drains."""
        leaving, other = StandInServer("i-1"), StandInServer("i-2")
        with _fleet(leaving, other) as (entry, store):
            store.put("servers/i-1", leaving.entry("s", "draining"))
            self.assertTrue(_wait_for(lambda: len(entry.lines("server")) == 3))
            for number in range(6):
                entry.call("/get/x", request_id=f"g{number}")
            self.assertEqual(([], 6), (leaving.ran, len(other.ran)))

    def test_a_callers_departure_ends_the_work(self) -> None:
        """Guards against servers that work for nobody."""
        closed = threading.Event()

        def wait(_request: Received, stream: socket.socket) -> bool:
            stream.settimeout(5.0)
            try:
                stream.recv(1)
            except ConnectionResetError:
                pass
            closed.set()
            return False

        with _fleet(StandInServer("i-1", wait)) as (entry, _):
            caller = socket.create_connection(("127.0.0.1", entry.port))
            caller.sendall(
                b"GET /get/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
                b"Authorization: Bearer k\r\n\r\n"
            )
            time.sleep(0.2)
            caller.close()
            self.assertTrue(closed.wait(0.5))

    def test_a_slow_server_is_answered_for_in_time(self) -> None:
        """Guards against a request that is held past its route's timeout."""
        with _fleet(StandInServer("i-1", delay=10.0)) as (entry, _):
            began = time.monotonic()
            response, _ = entry.call("/order/x", "POST", b"x")
            elapsed = time.monotonic() - began
            self.assertEqual(504, response.status)
            self.assertTrue(2.3 < elapsed < 3.4, elapsed)

    def test_two_framings_are_refused(self) -> None:
        """Guards against a request that is smuggled inside another one."""
        server = StandInServer("i-1")
        with _fleet(server) as (entry, _):
            caller = socket.create_connection(("127.0.0.1", entry.port), 5)
            caller.sendall(
                b"POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
                b"Authorization: Bearer k\r\nContent-Length: 4\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            )
            self.assertIn(b" 400 ", caller.recv(1000))
            caller.close()
            self.assertEqual([], server.ran)

    def test_an_order_in_flight_survives_the_signal_to_stop(self) -> None:
        """Guards against a shutdown that cuts requests off."""
        with _fleet(StandInServer("i-1", delay=1.0)) as (entry, _):
            found: list[int] = []

            def call() -> None:
                found.append(entry.call("/order/x", "POST", b"x")[0].status)

            caller = threading.Thread(target=call)
            caller.start()
            time.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            self.assertTrue(_wait_for(lambda: entry.readiness() == 503, 1.0))
            response, _ = entry.call("/get/x")
            self.assertEqual(200, response.status)
            self.assertEqual("close", response.getheader("Connection"))
            caller.join(5.0)
            self.assertEqual([200], found)
            self.assertEqual(0, entry.process.wait(9.0))

    def test_metrics_are_served(self) -> None:
        """Guards against a process whose failures can only be read from its logs."""
        with _fleet(StandInServer("i-1")) as (entry, _):
            entry.call("/get/x")
            connection = HTTPConnection("127.0.0.1", entry.ready_port, timeout=5)
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
            connection.close()
            self.assertIn(
                'lacewing_direct_requests_total{reason="",status="200"}', text
            )

    def test_the_process_goes_on_after_a_reload(self) -> None:
        """Guards against a signal that ends the process or its listeners."""
        with _fleet(StandInServer("i-1")) as (entry, _):
            entry.process.send_signal(signal.SIGHUP)
            self.assertTrue(_wait_for(lambda: entry.lines("reload")))
            self.assertEqual(200, entry.call("/get/x")[0].status)

    def test_an_answer_under_way_survives_the_end_of_the_process(self) -> None:
        """Guards against an exit before the last bytes of an answer are written.

        Seen as a stream cut off 6 ms after its server had ended it (a day of mixed
        troubles, seed 788280648062).
        """
        size = 12 << 20

        def large(request: Received, stream: socket.socket) -> bool:
            stream.sendall(answer_for(request, 200, b"x" * size))
            return True

        with _fleet(StandInServer("i-1", large)) as (entry, _):
            caller = socket.create_connection(("127.0.0.1", entry.port), 10)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            caller.sendall(
                b"GET /get/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
                b"Authorization: Bearer k\r\n\r\n"
            )
            time.sleep(0.5)
            entry.process.send_signal(signal.SIGTERM)
            time.sleep(3.5)
            received = 0
            while data := caller.recv(1 << 20):
                received += len(data)
            caller.close()
            self.assertGreater(received, size)
            self.assertEqual(0, entry.process.wait(9.0))
