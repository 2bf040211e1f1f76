"""Servers that ask for a pause by 503 with `Retry-After`."""

import socket
import threading
import time
from contextlib import suppress

from testtools import TestCase

from lacewingcleat.server_restrictions import RELEASE_JITTER_SECONDS
from tests.entry_process import (
    EntryProcess,
    make_config_item,
    run_entry,
    wait_for,
)
from tests.platform_fakes import (
    FakeServer,
    Listener,
    ReceivedRequest,
    encode_response,
    encode_signed_response,
    make_store_record,
)

PAUSE_SECONDS = 3.0
# Time after the response from which a pause counts, and what may still arrive then.
GRACE_SECONDS = 0.5
MAX_ARRIVALS = 2
AT_ONCE_SECONDS = 0.5
# Pauses end for an entry after this much more at the latest.
RETURN_SECONDS = 4.0
# Fewer than the slots of one server.
CALLER_COUNT = 3
# Leaves a free slot at the server, and is more than it may get.
UPLOAD_COUNT = 3
# More than the system takes from the entry at once.
UPLOAD_BYTES = 12 << 20
INVALID_VALUES = (
    ("Retry-After: ",),
    ("Retry-After: -1",),
    ("Retry-After: Fri, 31 Dec 1999 23:59:59 GMT",),
    ("Retry-After: " + "9" * 5_000,),
    ("Retry-After: 1e400",),
    ("Retry-After: nan",),
    ("Retry-After: 3", "Retry-After: 3"),
    ("Retry-After: 3, 3",),
)


class PausingServers:
    """Servers of which the first ones ask for a pause while told to.

    :ivar arrivals: time and server of each request.
    :ivar headers: headers of the refusals.
    :ivar pausing: names of the servers that refuse.
    """

    def __init__(self, count: int, *headers: str, delay: float = 0.0) -> None:
        self.headers = headers
        self.delay = delay
        self.marked = True
        self.arrivals: list[tuple[float, str]] = []
        self.pausing = {"i-1"}
        self.refused_at: list[float] = []
        self.fakes = [FakeServer(f"i-{n + 1}", self._serve) for n in range(count)]

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        name = request.headers["x-expect-instance"]
        self.arrivals.append((time.monotonic(), name))
        is_refused = name in self.pausing
        time.sleep(self.delay)
        if not is_refused:
            stream.sendall(encode_signed_response(request, 200, b"x"))
            return True
        mark = ("X-Not-Executed: 1",) if self.marked else ()
        own_id = f"X-Request-Id: {request.headers['x-request-id']}"
        stream.sendall(encode_response(503, b"", own_id, *mark, *self.headers))
        self.refused_at.append(time.monotonic())
        return True

    def count_between(self, name: str, start: float, end: float) -> int:
        """Return how many requests a server has got in some time."""
        return sum(at == name and start <= when < end for when, at in self.arrivals)


class _StalledUploads:
    """A server that reads the bodies of requests late, and refuses one without a body.

    :ivar complete: bodies that it has read as a whole.
    :ivar refused: requests without a body.
    """

    def __init__(self) -> None:
        self.complete = 0
        self.begun = 0
        self.refused = 0
        self._may_read = threading.Event()
        self._listener = Listener(self._serve, receive_bytes=4_096)
        self.address = self._listener.address

    def _serve(self, stream: socket.socket) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += stream.recv(1)
        if b"POST" not in head:
            self.refused += 1
            stream.sendall(
                encode_response(503, b"", "X-Not-Executed: 1", "Retry-After: 3")
            )
            return
        self.begun += 1
        self._may_read.wait(10.0)
        left = UPLOAD_BYTES
        while left > 0:
            data = stream.recv(min(left, 1 << 20))
            if not data:
                return
            left -= len(data)
        self.complete += 1

    def read_on(self) -> None:
        """Read the bodies of all requests."""
        self._may_read.set()

    def close(self) -> None:
        """Stop listening."""
        self._may_read.set()
        self._listener.end()


class UploadTest(TestCase):
    def test_requests_that_are_still_being_written(self) -> None:
        """Guards against large requests that arrive long after the response."""
        stalled = _StalledUploads()
        self.addCleanup(stalled.close)
        config = make_config_item(2)
        config["limits"] = {
            "max_header_bytes": 16384,
            "max_body_bytes": UPLOAD_BYTES,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        }
        with run_entry() as (entry, store):
            store.put("op/config", config)
            # With more slots than uploads the small request is never refused as full.
            record = {**make_store_record(stalled.address), "slots": 8}
            store.put("servers/i-1", record)
            wait_for(lambda: len(entry.log_lines("config")) == 2)
            wait_for(lambda: entry.log_lines("server"))

            def upload(number: int) -> None:
                body = b"x" * UPLOAD_BYTES
                with suppress(OSError):
                    entry.call("/get/x", "POST", body, request_id=f"u{number}")

            uploads = [
                threading.Thread(target=upload, args=(n,)) for n in range(UPLOAD_COUNT)
            ]
            for thread in uploads:
                thread.start()
            self.assertTrue(wait_for(lambda: stalled.begun == len(uploads)))
            entry.call("/get/x", request_id="small")
            self.assertEqual(1, stalled.refused)
            time.sleep(GRACE_SECONDS)
            stalled.read_on()
            for thread in uploads:
                thread.join()
        self.assertLessEqual(stalled.complete, MAX_ARRIVALS)


class PausedServerTest(TestCase):
    def _call(self, entry: EntryProcess, until: float) -> list[int]:
        """Send requests in parallel until a time; return their statuses."""
        statuses: list[int] = []

        def run(number: int) -> None:
            count = 0
            while time.monotonic() < until:
                count += 1
                response, _ = entry.call("/get/x", request_id=f"c{number}-{count}")
                statuses.append(response.status)
                time.sleep(0.03)

        threads = [threading.Thread(target=run, args=(n,)) for n in range(CALLER_COUNT)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def _call_until_paused(self, entry: EntryProcess, servers: PausingServers) -> float:
        """Call until the first server has refused, and return when."""
        self.assertTrue(wait_for(lambda: (entry.call("/get/x"), servers.refused_at)[1]))
        return servers.refused_at[0]

    def _check_pause(self, servers: PausingServers, *, seconds: float) -> None:
        with run_entry(*servers.fakes) as (entry, _):
            paused_at = self._call_until_paused(entry, servers)
            statuses = self._call(entry, paused_at + seconds)
            self.assertEqual({200}, set(statuses))
            servers.pausing = set()
            count = servers.count_between(
                "i-1", paused_at + GRACE_SECONDS, paused_at + seconds
            )
            self.assertLessEqual(count, MAX_ARRIVALS)
            returned_at = paused_at + seconds + RETURN_SECONDS
            self._call(entry, returned_at)
            count = servers.count_between("i-1", paused_at + seconds, returned_at + 1.0)
            self.assertGreater(count, MAX_ARRIVALS)

    def test_a_refusal(self) -> None:
        """Guards against requests to a server that has asked for a pause."""
        self._check_pause(PausingServers(2, "Retry-After: 3"), seconds=PAUSE_SECONDS)

    def test_a_decimal_value(self) -> None:
        """Guards against a value that is cut or overlooked."""
        self._check_pause(PausingServers(2, "Retry-After: 2.5"), seconds=2.5)

    def test_a_failure_without_a_mark(self) -> None:
        """Guards against the same after a 503 that is not marked as a refusal."""
        servers = PausingServers(2, "Retry-After: 3")
        servers.marked = False
        self._check_pause(servers, seconds=PAUSE_SECONDS)

    def test_requests_that_began_before_the_response(self) -> None:
        """Guards against arrivals of attempts that had been chosen before."""
        servers = PausingServers(2, "Retry-After: 3", delay=0.1)
        self._check_pause(servers, seconds=PAUSE_SECONDS)

    def test_a_new_run_ends_the_pause(self) -> None:
        """Guards against a server that is spared after it has started again."""
        servers = PausingServers(2, "Retry-After: 30")
        with run_entry(*servers.fakes) as (entry, store):
            self._call_until_paused(entry, servers)
            servers.pausing = set()
            servers.fakes[0].born = 2
            store.put("servers/i-1", servers.fakes[0].store_record("s"))
            time.sleep(1.0)
            started_at = time.monotonic()
            self._call(entry, started_at + 1.0)
            count = servers.count_between("i-1", started_at, started_at + 2.0)
            self.assertGreater(count, MAX_ARRIVALS)

    def test_all_servers_are_paused(self) -> None:
        """Guards against callers that wait, and that are told no time to return."""
        servers = PausingServers(2, "Retry-After: 2")
        servers.pausing = {"i-1", "i-2"}
        with run_entry(*servers.fakes) as (entry, _):
            for number in range(4):
                entry.call("/get/x", request_id=f"a{number}")
            arrived = len(servers.arrivals)
            values = set()
            for number in range(10):
                started_at = time.monotonic()
                response, _body = entry.call(
                    "/get/x",
                    request_id=f"b{number}",
                    X_Deadline_Milliseconds="30000",
                )
                self.assertLess(time.monotonic() - started_at, AT_ONCE_SECONDS)
                self.assertEqual(503, response.status)
                values.add(float(response.headers["Retry-After"]))
            self.assertEqual(arrived, len(servers.arrivals))
            self.assertGreater(min(values), 1.0)
            self.assertLess(max(values), 2.0 + RELEASE_JITTER_SECONDS)
            self.assertGreater(len(values), 1)
            servers.pausing = set()
            self.assertTrue(
                wait_for(lambda: entry.call("/get/x")[0].status == 200, 6.0)
            )

    def test_a_later_refusal_extends_the_pause_from_its_arrival(self) -> None:
        """Guards against a pause that an older request makes too long or short."""
        servers = PausingServers(2, "Retry-After: 2", delay=0.7)
        with run_entry(*servers.fakes) as (entry, _):
            callers = [
                threading.Thread(
                    target=entry.call,
                    args=("/get/x",),
                    kwargs={"request_id": f"d{number}"},
                )
                for number in range(8)
            ]
            for caller in callers:
                caller.start()
                time.sleep(0.08)
            for caller in callers:
                caller.join()
            last = servers.refused_at[-1]
            self.assertGreater(last, servers.refused_at[0])
            servers.pausing = set()
            self._call(entry, last + 2.0)
            count = servers.count_between("i-1", last + GRACE_SECONDS, last + 2.0)
            self.assertLessEqual(count, MAX_ARRIVALS)
            self._call(entry, last + 2.0 + RETURN_SECONDS)
            self.assertLess(0, servers.count_between("i-1", last + 2.0, last + 9.0))

    def test_invalid_values_are_ignored_and_counted(self) -> None:
        """Guards against a pause that no server has asked for."""
        for headers in INVALID_VALUES:
            servers = PausingServers(2, *headers)
            with run_entry(*servers.fakes) as (entry, _):
                paused_at = self._call_until_paused(entry, servers)
                servers.pausing = set()
                self._call(entry, paused_at + 1.0)
                count = servers.count_between("i-1", paused_at, paused_at + 2.0)
                self.assertGreater(count, MAX_ARRIVALS, headers[0][:40])
                lines = entry.log_lines("retry-after ignored")
                self.assertEqual([1], [line["count"] for line in lines][:1])
