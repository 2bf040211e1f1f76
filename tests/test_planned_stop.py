"""Planned stops of the program `lacewing-direct-entry`, and their phases."""

import signal
import socket
import threading
import time

from testtools import TestCase

from lacewingcleat.graceful_stop import (
    GRACE_MARGIN_SECONDS,
    STOP_LISTENING_DELAY_SECONDS,
    GracefulStop,
)
from tests.entry_process import (
    BOUNDS,
    EntryProcess,
    make_config_item,
    make_route_item,
    run_entry,
    wait_for,
)
from tests.platform_fakes import FakeServer, FakeStore

GRACE_SECONDS = 8.0
LONG_SECONDS = 20.0
ORDER = (
    b"POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
    b"Authorization: Bearer k\r\nX-Deadline-Milliseconds: %d\r\n"
    b"Content-Length: 4\r\n\r\n"
)


class GracefulStopTest(TestCase):
    def test_what_may_begin_in_each_phase(self) -> None:
        """Guards against a request that begins and cannot end before the process."""
        stop = GracefulStop(GRACE_SECONDS)
        self.assertTrue(stop.may_begin(1e9, 0.0))
        self.assertTrue(stop.start(10.0))
        self.assertFalse(stop.start(11.0))
        self.assertTrue(stop.may_begin(1e9, 12.0))
        late = 10.01 + STOP_LISTENING_DELAY_SECONDS
        end = 10.0 + GRACE_SECONDS - GRACE_MARGIN_SECONDS
        self.assertFalse(stop.accepts_connections(late))
        self.assertTrue(stop.may_begin(end, late))
        self.assertFalse(stop.may_begin(end + 0.1, late))


class PlannedStopTest(TestCase):
    def _allow_long_orders(self, entry: EntryProcess, store: FakeStore) -> None:
        """Give the route of orders a timeout beyond the grace period."""
        config = make_config_item(2)
        timeout_ms = LONG_SECONDS * 1000.0
        route = make_route_item("order", "non_idempotent", timeout_ms=timeout_ms)
        store.put("op/config", {**config, "routes": [route]})
        self.assertTrue(wait_for(lambda: len(entry.log_lines("config")) == 2))

    def _send_order_after_stop(
        self, entry: EntryProcess, deadline_ms: int, last_byte_seconds: float
    ) -> bytes:
        """Send an order whose last byte comes late in a stop; return the answer."""
        caller = socket.create_connection(("127.0.0.1", entry.port), 10)
        caller.settimeout(10.0)
        caller.sendall(ORDER % deadline_ms)
        time.sleep(0.2)
        entry.process.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        for part in (b"b", b"o", b"d"):
            time.sleep(last_byte_seconds / 4.0)
            caller.sendall(part)
        time.sleep(max(0.0, stopped_at + last_byte_seconds - time.monotonic()))
        caller.sendall(b"y")
        data = b""
        while more := caller.recv(65_536):
            data += more
        caller.close()
        return data

    def test_an_order_that_comes_late_in_a_stop_is_refused(self) -> None:
        """Guards against an order that is sent to a server and then cut off."""
        server = FakeServer("i-1", delay=4.0)
        with run_entry(server) as (entry, store):
            self._allow_long_orders(entry, store)
            answer = self._send_order_after_stop(entry, int(LONG_SECONDS * 1e3), 5.0)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
            self.assertIn(b"retry-after: 0.050", answer.lower())
            self.assertEqual([], server.served_requests)
            self.assertEqual(0, entry.process.wait(9.0))

    def test_a_late_order_that_ends_before_the_process_is_served(self) -> None:
        """Guards against refusing what can be served."""
        server = FakeServer("i-1", delay=0.3)
        with run_entry(server) as (entry, _):
            answer = self._send_order_after_stop(entry, 1_000, 4.0)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    def test_an_order_that_outlasts_the_grace_period_gets_an_answer(self) -> None:
        """Guards against a connection that closes without an answer."""
        server = FakeServer("i-1", delay=LONG_SECONDS)
        answers: list[tuple[int, float]] = []
        with run_entry(server) as (entry, store):
            self._allow_long_orders(entry, store)

            def call() -> None:
                deadline = {"X_Deadline_Milliseconds": str(int(LONG_SECONDS * 1e3))}
                response, _ = entry.call("/order/x", "POST", b"x", **deadline)
                answers.append((response.status, time.monotonic()))

            caller = threading.Thread(target=call)
            caller.start()
            self.assertTrue(wait_for(lambda: server.served_requests))
            entry.process.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            caller.join(GRACE_SECONDS)
            ((status, answered_at),) = answers
            self.assertEqual(502, status)
            self.assertLess(answered_at - stopped_at, BOUNDS["grace_period_s"])
            self.assertEqual(0, entry.process.wait(2.0))
