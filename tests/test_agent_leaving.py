"""Agents that say in their responses that they leave, and entries that act on it."""

import signal
import socket
import threading
import time
from http.client import HTTPConnection
from typing import Any
from unittest import mock

from testtools import TestCase
from twisted.web.http_headers import Headers

from bench.process_fleet import ProcessFleet
from lacewingcleat.entry_node import EntryNode
from tests.platform_fakes import Listener, read_request

ENTRY = "entry-1"
CALL_COUNT = 30


class _Relay:
    """Pass requests on to an agent, and add a header to its responses.

    The heartbeats of the agent go past it and say that it does not leave.

    :ivar count: number of requests.
    :ivar header: the name and value that are added, if any.
    """

    def __init__(self, address: str) -> None:
        self._agent_address = address
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.count = 0
        self.header: tuple[str, str] | None = None

    def _serve(self, stream: socket.socket) -> None:
        while (request := read_request(stream)) is not None:
            self.count += 1
            connection = HTTPConnection(self._agent_address, timeout=5)
            connection.request(
                request.method, request.target, request.body, request.headers
            )
            response = connection.getresponse()
            body = response.read()
            connection.close()
            dropped = ("transfer-encoding", "content-length", "connection")
            lines = [f"HTTP/1.1 {response.status} X", f"Content-Length: {len(body)}"]
            lines += [
                f"{name}: {value}"
                for name, value in response.getheaders()
                if name.lower() not in dropped
            ]
            if self.header is not None:
                lines.append(f"{self.header[0]}: {self.header[1]}")
            stream.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()


class LateResponseTest(TestCase):
    def test_a_response_of_an_earlier_run_does_not_count(self) -> None:
        """Guards against a run that is dropped for what the one before has said."""
        node: Any = mock.Mock()
        node.membership.last_incarnation.return_value = "run-2"
        headers = Headers({"Server-Leaving": ["1"]})
        EntryNode.record_response(node, "orders-1", "run-1", headers)
        node.membership.record_leaving.assert_not_called()
        EntryNode.record_response(node, "orders-1", "run-2", headers)
        node.membership.record_leaving.assert_called_once()


class AgentLeavingTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = ProcessFleet(delay_seconds=0.05)
        self.addCleanup(self.fleet.stop)

    def _call(self, path: str = "proof", method: str = "GET") -> dict[str, str]:
        status, headers, _ = self.fleet.send(ENTRY, method, f"/services/orders/{path}")
        self.assertEqual(200, status)
        return {name.lower(): value for name, value in headers.items()}

    def _start_with_relay(self) -> _Relay:
        """Start the fleet with a relay before the agent of the first service."""
        self.fleet.start()
        (server,) = (
            server
            for server in self.fleet.sheet["backend_servers"]
            if server["name"] == "orders-1"
        )
        relay = _Relay(server["address"])
        self.addCleanup(relay.close)
        server["address"] = relay.address
        self.fleet.publish(9)
        end = time.monotonic() + 10.0
        while not relay.count and time.monotonic() < end:
            self._call()
        self.assertGreater(relay.count, 0)
        return relay

    def test_an_entry_acts_on_the_response_before_its_membership_does(self) -> None:
        """Guards against work for an agent whose heartbeats do not arrive."""
        relay = self._start_with_relay()
        relay.header = ("Server-Leaving", "1")
        count = relay.count
        end = time.monotonic() + 10.0
        while relay.count == count and time.monotonic() < end:
            headers = self._call()
            # Callers are not concerned.
            self.assertNotIn("server-leaving", headers)
        relay.count = 0
        for _ in range(CALL_COUNT):
            self._call()
        self.assertEqual(0, relay.count)

    def test_other_values_say_nothing(self) -> None:
        """Guards against an agent that is dropped without having said so."""
        relay = self._start_with_relay()
        relay.header = ("Server-Leaving", "0")
        relay.count = 0
        end = time.monotonic() + 10.0
        while relay.count < 3 and time.monotonic() < end:
            self._call()
        self.assertGreaterEqual(relay.count, 3)

    def test_a_ticket_that_is_minted_says_so(self) -> None:
        """Guards against orders for an agent that is only asked for tickets."""
        relay = self._start_with_relay()
        relay.header = ("Server-Leaving", "1")
        relay.count = 0
        for number in range(CALL_COUNT):
            self._call(f"order-{number}", "POST")
        # The ticket, and the order that it was issued for.
        self.assertLessEqual(relay.count, 2)

    def test_an_agent_that_leaves_says_so(self) -> None:
        """Guards against an entry that learns it from heartbeats only."""
        self.fleet.delay_seconds = 2.0
        self.fleet.start()
        (address,) = (
            server["address"]
            for server in self.fleet.sheet["backend_servers"]
            if server["name"] == "orders-1"
        )
        values: list[str | None] = []

        def call() -> None:
            connection = HTTPConnection(address, timeout=8)
            connection.request(
                "GET",
                "/services/orders/x",
                None,
                {"Lacewing-Service": "orders", "Lacewing-Revision": "1"},
            )
            values.append(connection.getresponse().getheader("Server-Leaving"))
            connection.close()

        running = threading.Thread(target=call)
        running.start()
        time.sleep(0.5)
        self.fleet.signal("orders-1", signal.SIGTERM)
        time.sleep(0.5)
        # A refusal, and the response of what had begun before.
        call()
        running.join()
        self.assertEqual(["1", "1"], values)
