"""The program `lacewing-direct-entry` with a fake store and fake servers."""

import signal
import socket
import threading
import time
from http.client import HTTPConnection
from typing import Any

from testtools import TestCase

from tests.entry_process import (
    EntryProcess,
    make_config_item,
    run_entry,
    wait_for,
)
from tests.platform_fakes import (
    FakeServer,
    ReceivedRequest,
    encode_chunk,
    encode_response,
    encode_signed_response,
    encode_stream_head,
)


def _refuse_request(request: ReceivedRequest, stream: socket.socket) -> bool:
    stream.sendall(encode_response(503, b"", "X-Not-Executed: 1"))
    return True


def _reset_connection(_request: ReceivedRequest, stream: socket.socket) -> bool:
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


class DirectEntryTest(TestCase):
    def test_request_is_forwarded_unchanged(self) -> None:
        """Guards against modified requests, leaked API keys and forged accounts."""
        server = FakeServer("i-1")
        with run_entry(server) as (entry, _):
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
        with run_entry(first, second) as (entry, store):
            response, _ = entry.call("/order/x", "POST", b"x")
            self.assertEqual(503, response.status)
            self.assertIsNot(None, response.getheader("Retry-After"))
            store.put("servers/i-3", third.store_record("s"))
            store.remove("servers/i-2")
            self.assertTrue(wait_for(lambda: len(entry.log_lines("server")) == 3))
            self.assertTrue(wait_for(lambda: entry.log_lines("server missing")))
            attempts: list[int] = []
            while 2 not in attempts and len(attempts) < 50:
                request_id = f"o{len(attempts)}"
                response, _ = entry.call(
                    "/order/x", "POST", b"x", request_id=request_id
                )
                self.assertEqual(200, response.status)
                attempts.append(self._wait_for_attempts(entry, request_id))
            self.assertIn(2, attempts)
        third.close()

    def _wait_for_attempts(self, entry: EntryProcess, request_id: str) -> int:
        """Return the number of attempts that the log names for a request."""
        lines: list[dict[str, Any]] = []

        def find_line() -> bool:
            requests = entry.log_lines("request")
            lines[:] = [line for line in requests if line["request"] == request_id]
            return bool(lines)

        self.assertTrue(wait_for(find_line))
        return len(lines[0]["tries"])

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
        with run_entry(*servers) as (entry, _):
            response, _ = entry.call("/order/x", "POST", b"x")
            self.assertEqual(502, response.status)
            self.assertEqual(1, len(seen))

    def test_idempotent_request_is_retried(self) -> None:
        """Guards against failing an idempotent request after a connection reset."""
        broken, healthy = FakeServer("i-1", _reset_connection), FakeServer("i-2")
        with run_entry(broken, healthy) as (entry, _):
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

        with run_entry(FakeServer("i-1", stale)) as (entry, _):
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
        with run_entry(*servers) as (entry, _):
            response, body = entry.call("/stream/x", "POST", b"")
            whole = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
            self.assertEqual((200, whole), (response.status, body))
            self.assertEqual([None, "2"], resumed)

    def test_removed_key_is_denied(self) -> None:
        """Guards against accepting a key after its removal from the configuration."""
        with run_entry(FakeServer("i-1")) as (entry, store):
            store.put("op/config", make_config_item(2, ("k2",)))
            self.assertTrue(wait_for(lambda: len(entry.log_lines("config")) == 2))
            self.assertEqual(401, entry.call("/get/x")[0].status)
            self.assertEqual(200, entry.call("/get/x", key="k2")[0].status)

    def test_unknown_route_is_denied_at_any_age_of_the_view(self) -> None:
        """Guards against 503 for an unknown route while the store answers.

        The view is up to 2.8 s old between two reads of the store, and views older than
        1.8 s may not deny requests.
        """
        with run_entry(FakeServer("i-1")) as (entry, _):
            statuses = set()
            for _ in range(15):
                statuses.add(entry.call("/unknown/x")[0].status)
                statuses.add(entry.call("/get/x", key="unknown")[0].status)
                time.sleep(0.2)
            self.assertEqual({404, 401}, statuses)

    def test_keys_are_denied_during_store_outage(self) -> None:
        """Guards against accepting a key that was removed during a store outage."""
        server = FakeServer("i-1")
        with run_entry(server) as (entry, store):
            store.down = True
            self.assertTrue(wait_for(lambda: entry.readiness_status() == 503, 8.0))
            response, _ = entry.call("/get/x")
            self.assertEqual(503, response.status)
            self.assertEqual("close", response.getheader("Connection"))
            store.down = False
            self.assertTrue(wait_for(lambda: entry.readiness_status() == 200, 8.0))
            self.assertEqual(200, entry.call("/get/x")[0].status)

    def test_items_are_listed_again_after_lost_history(self) -> None:
        """Guards against missing changes that the store dropped from its history."""
        with run_entry(FakeServer("i-1")) as (entry, store):
            store.put("op/config", make_config_item(3, ("k3",)))
            store.compact()
            self.assertTrue(wait_for(lambda: len(entry.log_lines("config")) == 2))
            self.assertEqual(200, entry.call("/get/x", key="k3")[0].status)

    def test_draining_server_gets_no_new_request(self) -> None:
        """Guards against sending new requests to a draining server."""
        draining, other = FakeServer("i-1"), FakeServer("i-2")
        with run_entry(draining, other) as (entry, store):
            store.put("servers/i-1", draining.store_record("s", "draining"))
            self.assertTrue(wait_for(lambda: len(entry.log_lines("server")) == 3))
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

        with run_entry(FakeServer("i-1", wait)) as (entry, _):
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
        with run_entry(FakeServer("i-1", delay=10.0)) as (entry, _):
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
        with run_entry(server) as (entry, _):
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
        with run_entry(FakeServer("i-1", delay=1.0)) as (entry, _):
            statuses: list[int] = []

            def call() -> None:
                statuses.append(entry.call("/order/x", "POST", b"x")[0].status)

            caller = threading.Thread(target=call)
            caller.start()
            time.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            self.assertTrue(wait_for(lambda: entry.readiness_status() == 503, 1.0))
            response, _ = entry.call("/get/x")
            self.assertEqual(200, response.status)
            self.assertEqual("close", response.getheader("Connection"))
            caller.join(5.0)
            self.assertEqual([200], statuses)
            self.assertEqual(0, entry.process.wait(9.0))

    def test_requests_in_all_stages_complete_during_overlapping_signals(self) -> None:
        """Guards against requests that are cut off because signals overlap.

        One order runs, one has sent half its body, one half its head, and one connects
        after the stop; a reload and a second stop follow the first stop.
        """
        server = FakeServer("i-1", delay=0.8)
        head = (
            b"POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q%d\r\n"
            b"Authorization: Bearer k\r\nContent-Length: 4\r\n\r\n"
        )
        with run_entry(server) as (entry, _):
            callers = [
                socket.create_connection(("127.0.0.1", entry.port), 10)
                for _ in range(3)
            ]
            parts = [head % number + b"body" for number in range(4)]
            cuts = [len(parts[0]), len(parts[1]) - 2, 20]
            for caller, part, cut in zip(callers, parts, cuts, strict=False):
                caller.sendall(part[:cut])
            time.sleep(0.2)
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                entry.process.send_signal(number)
                time.sleep(0.1)
            callers.append(socket.create_connection(("127.0.0.1", entry.port), 10))
            cuts.append(0)
            for caller, part, cut in zip(callers, parts, cuts, strict=True):
                caller.sendall(part[cut:])
            answers = []
            for caller in callers:
                data = b""
                while more := caller.recv(65_536):
                    data += more
                answers.append(data)
                caller.close()
            self.assertEqual(0, entry.process.wait(9.0))
        for answer in answers:
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
            self.assertTrue(answer.endswith(b"answer of i-1"), answer)
        self.assertEqual(4, len(server.served_requests))

    def test_connection_ends_with_its_response_during_shutdown(self) -> None:
        """Guards against accepting a request that the shutdown cuts off.

        The head of a stream was sent before the stop, without `Connection: close`. The
        next request on the connection was passed on seconds later and cut at the end of
        the grace period.
        """
        served = []

        def serve(request: ReceivedRequest, stream: socket.socket) -> bool:
            served.append(request.target)
            if request.target != "/stream/x":
                time.sleep(1.0)
                stream.sendall(encode_signed_response(request, 200, b"late"))
                return True
            stream.sendall(encode_stream_head(request))
            for number in range(4):
                event = b"id: %d\ndata: x\n\n" % number
                stream.sendall(encode_chunk(event))
                time.sleep(0.3)
            stream.sendall(b"0\r\n\r\n")
            return True

        with run_entry(FakeServer("i-1", serve)) as (entry, _):
            caller = socket.create_connection(("127.0.0.1", entry.port), 10)
            head = b"Host: h\r\nX-Request-Id: q\r\nAuthorization: Bearer k\r\n\r\n"
            caller.sendall(b"GET /stream/x HTTP/1.1\r\n" + head)
            time.sleep(0.4)
            entry.process.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            caller.sendall(b"GET /get/x HTTP/1.1\r\n" + head)
            data = b""
            while more := caller.recv(65_536):
                data += more
            caller.close()
        self.assertEqual(1, data.count(b"HTTP/1.1 "))
        self.assertTrue(data.endswith(b"0\r\n\r\n"), data)
        self.assertEqual(["/stream/x"], served)

    def test_metrics_are_served(self) -> None:
        """Guards against missing metrics of requests."""
        with run_entry(FakeServer("i-1")) as (entry, _):
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
        with run_entry(FakeServer("i-1")) as (entry, _):
            entry.process.send_signal(signal.SIGHUP)
            self.assertTrue(wait_for(lambda: entry.log_lines("reload")))
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

        with run_entry(FakeServer("i-1", large)) as (entry, _):
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
