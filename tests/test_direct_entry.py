"""The program `lacewing-direct-entry` with a fake store and fake servers."""

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
    FakeServer,
    FakeStore,
    ReceivedRequest,
    encode_chunk,
    encode_response,
    encode_signed_response,
    encode_stream_head,
)

START_TIMEOUT_SECONDS = 15.0
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


def _route(name: str, kind: str, **fields: object) -> dict[str, object]:
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
        **fields,
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


class EntryProcess:
    """Run the program in a process of its own."""

    def __init__(self, store: FakeStore, folder: Path) -> None:
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

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines with an event name."""
        lines = map(json.loads, self.output.read_text().splitlines())
        return [line for line in lines if line["event"] == event]

    def readiness_status(self) -> int:
        """Return the status of a readiness check, 0 if there is no response."""
        connection = HTTPConnection("127.0.0.1", self.ready_port, timeout=5)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    def wait_until_ready(self, servers: int) -> None:
        """Wait until the entry is ready and has logged a number of servers."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if (
                self.readiness_status() == 200
                and len(self.log_lines("server")) >= servers
            ):
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
        request_headers = {
            "Host": "h",
            "X-Request-Id": request_id,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Milliseconds": "2500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        connection.request(method, path, body, request_headers)
        response = connection.getresponse()
        try:
            data = response.read()
        finally:
            connection.close()
        return response, data


@contextmanager
def _run_entry(*servers: FakeServer) -> Iterator[tuple[EntryProcess, FakeStore]]:
    store = FakeStore()
    store.put("op/config", _config())
    for server in servers:
        store.put(f"servers/{server.name}", server.store_record("s"))
    with tempfile.TemporaryDirectory() as folder:
        entry = EntryProcess(store, Path(folder))
        try:
            entry.wait_until_ready(len(servers))
            yield entry, store
        finally:
            entry.process.kill()
            entry.process.wait()
            for closable in (store, *servers):
                closable.close()


def _refuse_request(request: ReceivedRequest, stream: socket.socket) -> bool:
    stream.sendall(encode_response(503, b"", "X-Not-Executed: 1"))
    return True


def _reset_connection(_request: ReceivedRequest, stream: socket.socket) -> bool:
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


def _wait_for(condition: Any, seconds: float = 5.0) -> bool:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


class DirectEntryTest(TestCase):
    def test_request_is_forwarded_unchanged(self) -> None:
        """Guards against modified requests, leaked API keys and forged accounts."""
        server = FakeServer("i-1")
        with _run_entry(server) as (entry, _):
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
            (request,) = server.served_requests
            self.assertEqual(("POST", "/order/x?y=1"), (request.method, request.target))
            self.assertEqual(b"payload", request.body)
            self.assertEqual("acme", request.headers["x-tenant"])
            self.assertEqual("m", request.headers["x-model"])
            self.assertNotIn("authorization", request.headers)
            remaining_ms = int(request.headers["x-deadline-milliseconds"])
            self.assertTrue(0 < remaining_ms <= 2500, remaining_ms)

    def test_refused_order_is_retried(self) -> None:
        """Guards against failing a non-idempotent request that has not run.

        A refusal states that the server has not run the request, so that it can be
        retried at another server.
        """
        first, second = (
            FakeServer("i-1", _refuse_request),
            FakeServer("i-2", _refuse_request),
        )
        third = FakeServer("i-3")
        with _run_entry(first, second) as (entry, store):
            response, _ = entry.call("/order/x", "POST", b"x")
            self.assertEqual(503, response.status)
            self.assertIsNot(None, response.getheader("Retry-After"))
            store.put("servers/i-3", third.store_record("s"))
            store.remove("servers/i-2")
            self.assertTrue(_wait_for(lambda: len(entry.log_lines("server")) == 3))
            self.assertTrue(_wait_for(lambda: entry.log_lines("server missing")))
            for number in range(5):
                response, _ = entry.call(
                    "/order/x", "POST", b"x", request_id=f"o{number}"
                )
                self.assertEqual(200, response.status)
        third.close()

    def test_order_that_may_have_run_is_not_retried(self) -> None:
        """Guards against running a non-idempotent request twice.

        After a reset the request may have run. The response must not state that it has
        not run either.
        """
        seen: list[ReceivedRequest] = []

        def run_and_reset(request: ReceivedRequest, stream: socket.socket) -> bool:
            seen.append(request)
            return _reset_connection(request, stream)

        servers = [FakeServer(f"i-{n}", run_and_reset) for n in range(3)]
        with _run_entry(*servers) as (entry, _):
            response, _ = entry.call("/order/x", "POST", b"x")
            self.assertEqual(502, response.status)
            self.assertEqual(1, len(seen))

    def test_idempotent_request_is_retried(self) -> None:
        """Guards against failing an idempotent request after a connection reset."""
        broken, healthy = FakeServer("i-1", _reset_connection), FakeServer("i-2")
        with _run_entry(broken, healthy) as (entry, _):
            for number in range(4):
                response, _ = entry.call("/get/x", request_id=f"g{number}")
                self.assertEqual(200, response.status)

    def test_response_to_another_request_is_not_forwarded(self) -> None:
        """Guards against forwarding the response to an earlier request.

        A reused connection may deliver a late response with another request ID.
        """

        def stale(request: ReceivedRequest, stream: socket.socket) -> bool:
            request.headers["x-request-id"] = "other"
            stream.sendall(encode_signed_response(request, 200, b"foreign"))
            return True

        with _run_entry(FakeServer("i-1", stale)) as (entry, _):
            response, body = entry.call("/order/x", "POST", b"x")
            self.assertEqual((502, b""), (response.status, body))

    def test_stream_is_resumed_at_another_server(self) -> None:
        """Guards against lost, duplicate and truncated events after a server crash."""
        resumed: list[str | None] = []

        def stream(request: ReceivedRequest, peer: socket.socket) -> bool:
            last = request.headers.get("last-event-id")
            resumed.append(last)
            start = int(last or 0) + 1
            peer.sendall(encode_stream_head(request))
            for number in range(start, 6):
                event = b"id: %d\ndata: x\n\n" % number
                if last is None and number == 3:
                    peer.sendall(encode_chunk(event[:5]))
                    return _reset_connection(request, peer)
                peer.sendall(encode_chunk(event))
            peer.sendall(b"0\r\n\r\n")
            return True

        servers = [FakeServer(f"i-{n}", stream) for n in range(2)]
        with _run_entry(*servers) as (entry, _):
            response, body = entry.call("/stream/x", "POST", b"")
            whole = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
            self.assertEqual((200, whole), (response.status, body))
            self.assertEqual([None, "2"], resumed)

    def test_removed_key_is_denied(self) -> None:
        """Guards against accepting a key after its removal from the configuration."""
        with _run_entry(FakeServer("i-1")) as (entry, store):
            store.put("op/config", _config(2, ("k2",)))
            self.assertTrue(_wait_for(lambda: len(entry.log_lines("config")) == 2))
            self.assertEqual(401, entry.call("/get/x")[0].status)
            self.assertEqual(200, entry.call("/get/x", key="k2")[0].status)

    def test_keys_are_denied_during_store_outage(self) -> None:
        """Guards against accepting a key that was removed during a store outage."""
        server = FakeServer("i-1")
        with _run_entry(server) as (entry, store):
            store.down = True
            self.assertTrue(_wait_for(lambda: entry.readiness_status() == 503, 8.0))
            response, _ = entry.call("/get/x")
            self.assertEqual(503, response.status)
            self.assertEqual("close", response.getheader("Connection"))
            store.down = False
            self.assertTrue(_wait_for(lambda: entry.readiness_status() == 200, 8.0))
            self.assertEqual(200, entry.call("/get/x")[0].status)

    def test_items_are_listed_again_after_lost_history(self) -> None:
        """Guards against missing changes that the store dropped from its history."""
        with _run_entry(FakeServer("i-1")) as (entry, store):
            store.put("op/config", _config(3, ("k3",)))
            store.compact()
            self.assertTrue(_wait_for(lambda: len(entry.log_lines("config")) == 2))
            self.assertEqual(200, entry.call("/get/x", key="k3")[0].status)

    def test_draining_server_gets_no_new_request(self) -> None:
        """Guards against sending new requests to a draining server."""
        draining, other = FakeServer("i-1"), FakeServer("i-2")
        with _run_entry(draining, other) as (entry, store):
            store.put("servers/i-1", draining.store_record("s", "draining"))
            self.assertTrue(_wait_for(lambda: len(entry.log_lines("server")) == 3))
            for number in range(6):
                entry.call("/get/x", request_id=f"g{number}")
            self.assertEqual(
                ([], 6), (draining.served_requests, len(other.served_requests))
            )

    def test_disconnect_of_caller_cancels_request(self) -> None:
        """Guards against servers that work on requests of disconnected callers."""
        closed = threading.Event()

        def wait(_request: ReceivedRequest, stream: socket.socket) -> bool:
            stream.settimeout(5.0)
            try:
                stream.recv(1)
            except ConnectionResetError:
                pass
            closed.set()
            return False

        with _run_entry(FakeServer("i-1", wait)) as (entry, _):
            caller = socket.create_connection(("127.0.0.1", entry.port))
            caller.sendall(
                b"GET /get/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
                b"Authorization: Bearer k\r\n\r\n"
            )
            time.sleep(0.2)
            caller.close()
            self.assertTrue(closed.wait(0.5))

    def test_slow_server_causes_timeout_response(self) -> None:
        """Guards against a response after the deadline because of a slow server."""
        with _run_entry(FakeServer("i-1", delay=10.0)) as (entry, _):
            started_at = time.monotonic()
            response, _ = entry.call("/order/x", "POST", b"x")
            elapsed = time.monotonic() - started_at
            self.assertEqual(504, response.status)
            self.assertTrue(2.3 < elapsed < 3.4, elapsed)

    def test_request_with_two_framings_is_rejected(self) -> None:
        """Guards against request smuggling.

        Programs differ in which framing they use if a request has both a content length
        and chunked encoding.
        """
        server = FakeServer("i-1")
        with _run_entry(server) as (entry, _):
            caller = socket.create_connection(("127.0.0.1", entry.port), 5)
            caller.sendall(
                b"POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
                b"Authorization: Bearer k\r\nContent-Length: 4\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            )
            self.assertIn(b" 400 ", caller.recv(1000))
            caller.close()
            self.assertEqual([], server.served_requests)

    def test_order_in_flight_completes_during_shutdown(self) -> None:
        """Guards against a shutdown that aborts requests in flight."""
        with _run_entry(FakeServer("i-1", delay=1.0)) as (entry, _):
            statuses: list[int] = []

            def call() -> None:
                statuses.append(entry.call("/order/x", "POST", b"x")[0].status)

            caller = threading.Thread(target=call)
            caller.start()
            time.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            self.assertTrue(_wait_for(lambda: entry.readiness_status() == 503, 1.0))
            response, _ = entry.call("/get/x")
            self.assertEqual(200, response.status)
            self.assertEqual("close", response.getheader("Connection"))
            caller.join(5.0)
            self.assertEqual([200], statuses)
            self.assertEqual(0, entry.process.wait(9.0))

    def test_metrics_are_served(self) -> None:
        """Guards against missing metrics of requests."""
        with _run_entry(FakeServer("i-1")) as (entry, _):
            entry.call("/get/x")
            connection = HTTPConnection("127.0.0.1", entry.ready_port, timeout=5)
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
            connection.close()
            self.assertIn(
                'lacewing_direct_requests_total{reason="",status="200"}', text
            )

    def test_process_continues_after_reload(self) -> None:
        """Guards against a reload that stops the process or its listeners."""
        with _run_entry(FakeServer("i-1")) as (entry, _):
            entry.process.send_signal(signal.SIGHUP)
            self.assertTrue(_wait_for(lambda: entry.log_lines("reload")))
            self.assertEqual(200, entry.call("/get/x")[0].status)

    def test_response_is_written_completely_before_exit(self) -> None:
        """Guards against an exit before the write buffer of a response is empty.

        A stream was truncated because the process exited 6 ms after the server had
        ended it (simulated day with mixed faults, seed 788280648062).
        """
        size = 12 << 20

        def large(request: ReceivedRequest, stream: socket.socket) -> bool:
            stream.sendall(encode_signed_response(request, 200, b"x" * size))
            return True

        with _run_entry(FakeServer("i-1", large)) as (entry, _):
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
