"""Servers that repeat refusals, fail resumed streams or stop inside a head.

Each test plays what went wrong for operators of similar systems against the program
`lacewing-direct-entry` over loopback.
"""

import socket
from collections.abc import Callable

from testtools import TestCase

from tests.entry_process import run_entry
from tests.platform_fakes import (
    FakeServer,
    ReceivedRequest,
    encode_chunk,
    encode_response,
    encode_signed_response,
    encode_stream_head,
)
from tests.raw_caller import call_raw, looks_complete

NOT_RUN_STATUSES = {408, 421, 429, 503}
LAST_EVENT = 4
METHOD_BY_PATH = {"/get/x": "GET", "/stream/x": "POST", "/order/x": "POST"}


def _encode_event(number: int) -> bytes:
    return b"id: %d\ndata: event %d\n\n" % (number, number)


def _all_events() -> bytes:
    return b"".join(map(_encode_event, range(LAST_EVENT + 1)))


class RepeatedRefusalServer:
    """Refuse the first request of a connection, and repeat that before each answer.

    :param headers: headers of the refusal.
    :param echoes: whether the refusal names its request.
    """

    def __init__(self, status: int, headers: tuple[str, ...], echoes: bool) -> None:
        self._status = status
        self._headers = headers
        self._echoes = echoes
        self._refusal_by_connection: dict[socket.socket, bytes] = {}
        self.run_ids: list[str] = []

    def serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        """Serve one request."""
        request_id = request.headers["x-request-id"]
        refusal = self._refusal_by_connection.get(stream)
        if refusal is None:
            echo = (f"X-Request-Id: {request_id}",) if self._echoes else ()
            refusal = encode_response(self._status, b"", *self._headers, *echo)
            self._refusal_by_connection[stream] = refusal
            stream.sendall(refusal)
            return True
        self.run_ids.append(request_id)
        stream.sendall(refusal + encode_signed_response(request, 200, b"late"))
        return True


class RepeatedRefusalTest(TestCase):
    def _check(self, status: int, *headers: str) -> None:
        for path, method in METHOD_BY_PATH.items():
            for echoes in (True, False):
                server = RepeatedRefusalServer(status, headers, echoes)
                with run_entry(FakeServer("i-1", server.serve)) as (entry, _):
                    for number in range(6):
                        name = f"q{number}"
                        response, _ = entry.call(path, method, b"x", request_id=name)
                        if name in server.run_ids:
                            self.assertNotIn(response.status, NOT_RUN_STATUSES, path)
                self.assertEqual(path != "/order/x", bool(server.run_ids), path)

    def test_a_repeated_refusal_of_a_full_server(self) -> None:
        """Guards against "not run" for a request that a server has run."""
        self._check(503, "X-Not-Executed: 1")

    def test_a_repeated_refusal_with_a_delay(self) -> None:
        """Guards against the same after 429."""
        self._check(429, "X-Not-Executed: 1", "Retry-After: 0.1")

    def test_a_repeated_refusal_of_another_server(self) -> None:
        """Guards against the same after 421."""
        self._check(421)


class FailedResumeTest(TestCase):
    """Streams that break off, and go on at a server that answers with an error."""

    def _play(self, error: Callable[[ReceivedRequest], bytes]) -> None:
        def serve(request: ReceivedRequest, stream: socket.socket) -> bool:
            if "last-event-id" in request.headers:
                stream.sendall(error(request))
                return True
            stream.sendall(encode_stream_head(request))
            stream.sendall(encode_chunk(_encode_event(0)))
            return False

        for version in ("1.1", "1.0"):
            servers = [FakeServer("i-1", serve), FakeServer("i-2", serve)]
            with run_entry(*servers) as (entry, _):
                data, ended_cleanly = call_raw(entry, "/stream/x", version)
            _, _, body = data.partition(b"\r\n\r\n")
            self.assertEqual(1, data.count(b"HTTP/1.1 "))
            self.assertIn(_encode_event(0), body)
            self.assertNotIn(b"error", body)
            self.assertFalse(looks_complete(data, ended_cleanly), data)

    def test_no_error_of_the_next_server_is_in_the_stream(self) -> None:
        """Guards against an error text, or its head, in the middle of a stream."""
        for status in (204, 301, 400, 404, 409, 429, 500, 503):
            body = b"" if status == 204 else b"error"
            self._play(
                lambda request: encode_signed_response(request, status, body)  # noqa: B023
            )

    def test_no_refusal_of_the_next_server_is_in_the_stream(self) -> None:
        """Guards against a refusal in the middle of a stream."""
        for status in (421, 429, 503):
            self._play(
                lambda request: encode_signed_response(
                    request,
                    status,  # noqa: B023
                    b"error",
                    "X-Not-Executed: 1",
                )
            )

    def test_no_plain_answer_of_the_next_server_is_in_the_stream(self) -> None:
        """Guards against a success of another form in the middle of a stream."""
        self._play(lambda request: encode_signed_response(request, 200, b"error"))

    def test_an_empty_answer_of_the_next_server_does_not_end_the_stream(self) -> None:
        """Guards against a stream that ends as if it were complete."""

        def close(request: ReceivedRequest) -> bytes:
            head = encode_stream_head(request)
            return head.replace(b"Transfer-Encoding: chunked", b"Connection: close")

        def serve(request: ReceivedRequest, stream: socket.socket) -> bool:
            if "last-event-id" in request.headers:
                stream.sendall(close(request))
                return False
            stream.sendall(encode_stream_head(request))
            stream.sendall(encode_chunk(_encode_event(0)))
            return False

        with run_entry(FakeServer("i-1", serve), FakeServer("i-2", serve)) as (
            entry,
            _,
        ):
            data = call_raw(entry, "/stream/x", "1.1")
        self.assertFalse(looks_complete(*data), data)


class CutHeadTest(TestCase):
    def test_a_head_that_is_cut_anywhere_is_no_answer(self) -> None:
        """Guards against an empty 200 after a server stopped in its head."""
        for path, method in METHOD_BY_PATH.items():
            cut_at = [0]

            def serve(request: ReceivedRequest, stream: socket.socket) -> bool:
                head = encode_signed_response(request, 200, b"answer")
                if request.target.startswith("/stream"):
                    head = encode_stream_head(request)
                head = head.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
                stream.sendall(head[: cut_at[0]])  # noqa: B023
                return False

            with run_entry(FakeServer("i-1", serve)) as (entry, _):
                for position in range(0, 130, 3):
                    cut_at[0] = position
                    data = call_raw(entry, path, "1.1", method)
                    self.assertFalse(looks_complete(*data), (path, position, data))
                    self.assertIn(data[0][9:12], (b"502", b"503", b"504", b""))
                    if data[0][9:12] == b"503":
                        self.assertEqual(0, position)
