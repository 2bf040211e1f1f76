"""Clients outside our control before the product's own entry and agent.

Each test runs the programs with lowered limits in their settings, starts a crowd of
clients and checks that the process lives, that its memory and descriptors stay within
the settings, and that an ordinary request is answered meanwhile.
"""

import http.client
import socket
from typing import ClassVar

from testtools import TestCase

from bench.process_fleet import ENTRIES, KEY, ProcessFleet
from tests.client_crowd import (
    Act,
    ClientCrowd,
    count_descriptors,
    read_peak_memory,
    send_complete,
    send_endless_chunks,
    send_far_over,
    send_nothing_or_slow_headers,
    send_tiny_chunks,
    stop_one_byte_short,
)

MEMORY_MB = 120
FILE_DESCRIPTORS = 400
# Descriptors that are set aside for files.
FILE_RESERVE = 200
MAX_BODY_BYTES = 2 << 20
CROWD = 60
CHUNK_CROWD = 40
CONNECTIONS = 450
SLOW_SECONDS = 8.0
AGENT = "draft-1"
SETTINGS: dict[str, object] = {
    "memory_mb": MEMORY_MB,
    "file_descriptors": FILE_DESCRIPTORS,
    "body_limit_bytes": MAX_BODY_BYTES,
}


def make_head(*lines: str) -> bytes:
    """Encode the head of an idempotent request to a slow service."""
    first = ["GET /services/orders/x HTTP/1.1", "Host: h"]
    key = f"Authorization: Bearer {KEY}"
    return "\r\n".join([*first, key, *lines, "", ""]).encode()


class _OwnLimits:
    """Hold the tests of one listener; the processes start anew for each."""

    fleet: ProcessFleet
    process: ClassVar[str]

    def setUp(self) -> None:
        super().setUp()  # type: ignore[misc]
        self.fleet = ProcessFleet(
            token_seconds=0.005, delay_seconds=SLOW_SECONDS, more_settings=SETTINGS
        )
        self.addCleanup(self.fleet.stop)  # type: ignore[attr-defined]
        self.fleet.start()

    def _address(self) -> str:
        raise NotImplementedError

    def _send_ordinary(self) -> int:
        raise NotImplementedError

    def _check_crowd(self, act: Act, count: int = CROWD, seconds: float = 6.0) -> None:
        port = int(self._address().rpartition(":")[2])
        with ClientCrowd(port, count, act) as crowd:
            crowd.wait(seconds)
            self._check_process()
            self.assertEqual(200, self._send_ordinary())  # type: ignore[attr-defined]
            self._check_process()
        self.assertEqual(200, self._send_ordinary())  # type: ignore[attr-defined]
        self._check_process()

    def _check_process(self) -> None:
        process = self.fleet.process_by_name[self.process]
        test = self
        test.assertIsNone(process.poll())  # type: ignore[attr-defined]
        admin = self.fleet.admin_by_name[self.process]
        test.assertEqual(200, self.fleet.get(admin, "/readyz")[0])  # type: ignore[attr-defined]
        peak = read_peak_memory(process.pid) >> 20
        test.assertLessEqual(peak, MEMORY_MB)  # type: ignore[attr-defined]
        descriptors = count_descriptors(process.pid)
        bound = FILE_DESCRIPTORS - FILE_RESERVE
        test.assertLessEqual(descriptors, bound)  # type: ignore[attr-defined]

    def test_bodies_that_stop_one_byte_short(self) -> None:
        """Guards against incomplete bodies that are kept without a common bound."""
        head = make_head(f"Content-Length: {MAX_BODY_BYTES}")
        self._check_crowd(stop_one_byte_short(head, MAX_BODY_BYTES))

    def test_endless_chunked_bodies(self) -> None:
        """Guards against bodies of unknown length that fill the memory."""
        head = make_head("Transfer-Encoding: chunked")
        self._check_crowd(send_endless_chunks(head))

    def test_complete_bodies_before_a_slow_server(self) -> None:
        """Guards against bodies that are kept for servers without a common bound."""
        head = make_head(f"Content-Length: {MAX_BODY_BYTES}")
        self._check_crowd(send_complete(head, MAX_BODY_BYTES))

    def test_bodies_far_over_the_limit(self) -> None:
        """Guards against bodies over the limit that are kept, announced or sent."""
        announced = make_head(f"Content-Length: {64 * MAX_BODY_BYTES}")
        sent = make_head("Transfer-Encoding: chunked")
        self._check_crowd(send_far_over(announced, sent, MAX_BODY_BYTES, CROWD))

    def test_requests_pipelined_behind_an_open_one(self) -> None:
        """Guards against requests that are kept behind the current one."""
        head = make_head(f"Content-Length: {MAX_BODY_BYTES}")
        self._check_crowd(send_complete(head, MAX_BODY_BYTES, 3))

    def test_chunks_of_one_byte(self) -> None:
        """Guards against chunks whose parsing leaves no time for other requests."""
        head = make_head("Transfer-Encoding: chunked")
        self._check_crowd(send_tiny_chunks(head), CHUNK_CROWD)

    def test_connections_that_send_nothing_or_slow_headers(self) -> None:
        """Guards against connections that use up the descriptors."""
        act = send_nothing_or_slow_headers("/services/orders/x", CONNECTIONS)
        self._check_crowd(act, CONNECTIONS, 4.0)

    def test_a_client_that_is_still_sending_reads_the_refusal(self) -> None:
        """Guards against a refusal that is lost in a reset of the connection."""
        host, _, port = self._address().rpartition(":")
        length = 8 * MAX_BODY_BYTES
        with socket.create_connection((host, int(port)), timeout=10) as stream:
            stream.sendall(make_head(f"Content-Length: {length}"))
            stream.sendall(b"x" * length)
            answer = stream.recv(65_536).lower()
        test = self
        test.assertTrue(answer.startswith(b"http/1.1 413 "), answer)  # type: ignore[attr-defined]
        test.assertIn(b"connection: close", answer)  # type: ignore[attr-defined]
        self._check_process()


class EntryLimitsTest(_OwnLimits, TestCase):
    process = ENTRIES[0]

    def _address(self) -> str:
        return self.fleet.request_by_entry[self.process]

    def _send_ordinary(self) -> int:
        body = {"model": "drafting", "prompt": "hello", "max_tokens": 2}
        status, _, _ = self.fleet.send(self.process, "POST", "/v1/completions", body)
        return status

    def test_a_single_body_of_the_largest_size_is_served(self) -> None:
        """Guards against a memory limit that refuses what the settings allow."""
        for _ in range(2):
            status, _, _ = self.fleet.send(
                self.process, "GET", "/services/orders/x", b"x" * MAX_BODY_BYTES
            )
            self.assertEqual(200, status)
        self._check_process()


class AgentLimitsTest(_OwnLimits, TestCase):
    process = AGENT

    def _address(self) -> str:
        servers = self.fleet.sheet["backend_servers"]
        server = next(item for item in servers if item["name"] == self.process)
        return str(server["address"])

    def _send_ordinary(self) -> int:
        connection = http.client.HTTPConnection(self._address(), timeout=10)
        try:
            connection.request("GET", "/state", headers={"Lacewing-Revision": "1"})
            return connection.getresponse().status
        finally:
            connection.close()
