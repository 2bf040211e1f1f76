"""Servers that announce in a response that they leave."""

import socket
import time
from collections.abc import Callable
from http.client import HTTPConnection

from testtools import TestCase

from tests.entry_process import EntryProcess, run_entry, wait_for
from tests.platform_fakes import (
    FakeServer,
    FakeStore,
    ReceivedRequest,
    encode_chunk,
    encode_response,
    encode_signed_response,
    encode_stream_head,
    make_store_record,
)

LEAVING = "Server-Leaving: 1"
CALL_COUNT = 20
AT_ONCE_SECONDS = 0.5

Answer = Callable[[ReceivedRequest], bytes]


def _answer_stream(request: ReceivedRequest, *more: str) -> bytes:
    """Answer a stream, from the event on that the caller lacks."""
    head = encode_stream_head(request)
    for line in more:
        head = head[:-2] + line.encode() + b"\r\n\r\n"
    first = int(request.headers.get("last-event-id", "0")) + 1
    events = (encode_chunk(b"id: %d\ndata: x\n\n" % n) for n in range(first, 4))
    return head + b"".join(events) + b"0\r\n\r\n"


def _answer(request: ReceivedRequest, *more: str) -> bytes:
    if request.target.startswith("/stream/"):
        return _answer_stream(request, *more)
    return encode_signed_response(request, 200, b"x", *more)


def _own_id(request: ReceivedRequest) -> str:
    return f"X-Request-Id: {request.headers['x-request-id']}"


class LeavingServers:
    """Two servers; the first one answers in a given way, the second one always.

    :ivar counts: requests by server.
    :ivar answer: how the first server answers.
    """

    def __init__(self, answer: Answer, born: int = 1) -> None:
        self.answer: Answer = answer
        self.counts = {"i-1": 0, "i-2": 0}
        self.fakes = (
            FakeServer("i-1", self._serve, born=born),
            FakeServer("i-2", self._serve),
        )

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        name = request.headers["x-expect-instance"]
        self.counts[name] += 1
        if name == "i-2":
            stream.sendall(_answer(request))
            return True
        data = self.answer(request)
        stream.sendall(data)
        return not data.endswith(b"cut")


class LeavingServerTest(TestCase):
    def _call(self, entry: EntryProcess, path: str, count: int = CALL_COUNT) -> None:
        for number in range(count):
            entry.call(path, request_id=f"g{number}")

    def _find_first(
        self, entry: EntryProcess, servers: LeavingServers, path: str
    ) -> None:
        """Call until the first server has got a request."""
        found = wait_for(lambda: self._call(entry, path, 1) or servers.counts["i-1"])
        self.assertTrue(found)

    def _check_avoided(
        self, entry: EntryProcess, servers: LeavingServers, path: str = "/get/x"
    ) -> None:
        servers.counts["i-1"] = 0
        self._call(entry, path)
        self.assertEqual(0, servers.counts["i-1"])

    def _check_used(self, entry: EntryProcess, servers: LeavingServers) -> None:
        servers.answer = _answer
        servers.counts["i-1"] = 0
        self._find_first(entry, servers, "/get/x")

    def _check_final(self, answer: Answer, path: str = "/get/x") -> None:
        servers = LeavingServers(answer)
        with run_entry(*servers.fakes) as (entry, _):
            self._find_first(entry, servers, path)
            servers.answer = _answer
            self._check_avoided(entry, servers, path)

    def test_a_successful_response(self) -> None:
        """Guards against requests after a response that announces the end."""
        self._check_final(lambda request: _answer(request, LEAVING))

    def test_a_failure(self) -> None:
        """Guards against the same after a failure and an error of the caller."""
        for status in (404, 500, 503):
            self._check_final(
                lambda request, status=status: encode_response(
                    status, b"", _own_id(request), LEAVING
                )
            )

    def test_a_refusal(self) -> None:
        """Guards against the same after a refusal that names no request."""
        self._check_final(
            lambda _: encode_response(503, b"", "X-Not-Executed: 1", LEAVING)
        )

    def test_the_head_of_a_stream(self) -> None:
        """Guards against the same after the head of a stream."""
        self._check_final(lambda request: _answer_stream(request, LEAVING), "/stream/x")

    def test_the_head_of_a_stream_that_breaks_off(self) -> None:
        """Guards against the same after a stream of which only the head arrives."""
        self._check_final(
            lambda request: (
                _answer_stream(request, LEAVING).partition(b"\r\n\r\n")[0]
                + b"\r\n\r\ncut"
            ),
            "/stream/x",
        )

    def test_a_resumed_stream(self) -> None:
        """Guards against the same after a stream that goes on at another server."""
        servers = LeavingServers(lambda request: _answer_stream(request, LEAVING))

        def break_off(request: ReceivedRequest, stream: socket.socket) -> bool:
            stream.sendall(encode_stream_head(request))
            stream.sendall(encode_chunk(b"id: 1\ndata: x\n\n"))
            time.sleep(0.05)
            return False

        servers.fakes[1].handler = break_off
        with run_entry(*servers.fakes) as (entry, _):
            found = wait_for(
                lambda: self._call(entry, "/stream/x", 1) or servers.counts["i-1"]
            )
            self.assertTrue(found)
            servers.answer = _answer
            servers.fakes[1].handler = servers._serve
            self._check_avoided(entry, servers, "/stream/x")

    def test_a_caller_that_does_not_wait_for_the_response(self) -> None:
        """Guards against an announcement that is lost with the caller."""
        head = b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n%s\r\n" + LEAVING.encode()
        servers = LeavingServers(lambda _: b"")
        with run_entry(*servers.fakes) as (entry, _):
            servers.answer = lambda request: (
                head % _own_id(request).encode()
                + b"\r\nX-Response-Signature: s\r\n\r\n"
            )
            for number in range(CALL_COUNT):
                connection = HTTPConnection("127.0.0.1", entry.port)
                headers = {
                    "Host": "h",
                    "X-Request-Id": f"w{number}",
                    "Authorization": "Bearer k",
                }
                connection.request("GET", "/get/x", None, headers)
                time.sleep(0.1)
                connection.close()
                if servers.counts["i-1"]:
                    break
            time.sleep(0.2)
            servers.answer = _answer
            self._check_avoided(entry, servers)

    def test_a_refused_order_goes_to_another_server(self) -> None:
        """Guards against an order that is lost with its refusal."""
        servers = LeavingServers(
            lambda _: encode_response(503, b"", "X-Not-Executed: 1", LEAVING)
        )
        with run_entry(*servers.fakes) as (entry, _):
            for number in range(CALL_COUNT):
                response, _body = entry.call(
                    "/order/x", "POST", request_id=f"o{number}"
                )
                self.assertEqual(200, response.status)
            self.assertGreaterEqual(1, servers.counts["i-1"])

    def _leave(
        self, entry: EntryProcess, servers: LeavingServers, store: FakeStore
    ) -> None:
        self._find_first(entry, servers, "/get/x")
        self._check_avoided(entry, servers)
        # The record that the store has already says the same.
        store.put("servers/i-1", servers.fakes[0].store_record("s"))

    def test_the_store_says_otherwise_later(self) -> None:
        """Guards against a run that returns when its record is written again."""
        servers = LeavingServers(lambda request: _answer(request, LEAVING))
        with run_entry(*servers.fakes) as (entry, store):
            self._leave(entry, servers, store)
            time.sleep(0.6)
            servers.answer = _answer
            self._check_avoided(entry, servers)
            store.remove("servers/i-1")
            time.sleep(0.6)
            store.put("servers/i-1", servers.fakes[0].store_record("s"))
            time.sleep(0.6)
            self._check_avoided(entry, servers)

    def test_a_restored_store(self) -> None:
        """Guards against a run that returns with a copy of the store."""
        servers = LeavingServers(lambda request: _answer(request, LEAVING))
        with run_entry(*servers.fakes) as (entry, store):
            copy = store.copy()
            self._leave(entry, servers, store)
            with store.restoring(copy):
                pass
            time.sleep(1.0)
            self._check_avoided(entry, servers)

    def test_a_new_run_is_used(self) -> None:
        """Guards against a name that is never used again."""
        servers = LeavingServers(lambda request: _answer(request, LEAVING))
        with run_entry(*servers.fakes) as (entry, store):
            self._leave(entry, servers, store)
            servers.fakes[0].born = 2
            store.put("servers/i-1", servers.fakes[0].store_record("s"))
            time.sleep(0.6)
            self._check_used(entry, servers)

    def test_a_run_without_a_start_ends_with_its_address(self) -> None:
        """Guards against servers without `born` that return or never do."""
        servers = LeavingServers(lambda request: _answer(request, LEAVING), born=0)
        other = FakeServer("i-1", servers._serve)
        self.addCleanup(other.close)
        with run_entry(*servers.fakes) as (entry, store):
            self._leave(entry, servers, store)
            time.sleep(0.6)
            self._check_avoided(entry, servers)
            store.put("servers/i-1", make_store_record(other.address, born=0))
            time.sleep(0.6)
            self._check_used(entry, servers)

    def test_the_last_server_of_a_service(self) -> None:
        """Guards against callers that wait for a server that is not coming back."""
        server = FakeServer("i-1", response_headers=(LEAVING,))
        with run_entry(server) as (entry, _):
            self.assertEqual(200, entry.call("/get/x")[0].status)
            started_at = time.monotonic()
            response, _body = entry.call("/get/x", request_id="q2")
            self.assertLess(time.monotonic() - started_at, AT_ONCE_SECONDS)
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.headers["Retry-After"]), 0.0)
            self.assertEqual(1, len(server.served_requests))

    def test_responses_that_do_not_count(self) -> None:
        """Guards against a server that is dropped for what another one says."""
        answers: list[Answer] = [
            lambda request: encode_response(421, b"", _own_id(request), LEAVING),
            lambda _: encode_response(
                200, b"x", "X-Request-Id: another", "X-Response-Signature: s", LEAVING
            ),
            lambda request: _answer(request, "Server-Leaving: 0"),
            lambda request: _answer(request, "Server-Leaving: "),
        ]
        for answer in answers:
            servers = LeavingServers(answer)
            with run_entry(*servers.fakes) as (entry, _):
                self._find_first(entry, servers, "/get/x")
                self._check_used(entry, servers)

    def test_a_late_copy_of_a_refusal_does_not_count(self) -> None:
        """Guards against a copy of an earlier response on a kept connection."""
        servers = LeavingServers(_answer)
        copy = encode_response(503, b"", "X-Not-Executed: 1", LEAVING)
        with run_entry(*servers.fakes) as (entry, _):
            self._find_first(entry, servers, "/get/x")
            servers.answer = lambda _: copy
            servers.counts["i-1"] = 0
            self._find_first(entry, servers, "/get/x")
            self._check_used(entry, servers)
