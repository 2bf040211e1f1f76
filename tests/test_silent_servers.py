"""Servers that are silent for a while, in front of `lacewing-direct-entry`.

The first server that gets a request is silent in the middle of its work. The next one
refuses, is silent too, or answers.
"""

import signal
import socket
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection

from testtools import TestCase

from tests.entry_process import EntryProcess, run_entry, wait_for
from tests.platform_fakes import (
    FakeServer,
    ReceivedRequest,
    encode_chunk,
    encode_response,
    encode_signed_response,
    encode_stream_head,
)

EVENT_COUNT = 6
# Longer than the silence after which another server is tried, and shorter than that
# after which callers leave.
SILENT_SECONDS = 1.75
CLOSE_SECONDS = 1.0

Handler = Callable[[ReceivedRequest, socket.socket], bool]


def _encode_event(number: int) -> bytes:
    return b"id: %d\ndata: event %d\n\n" % (number, number)


def _all_events() -> bytes:
    return b"".join(map(_encode_event, range(1, EVENT_COUNT + 1)))


def _send_stream(
    request: ReceivedRequest,
    stream: socket.socket,
    silent_before: int = 0,
    silent_seconds: float = SILENT_SECONDS,
) -> bool:
    """Send a stream that is silent before one of its events."""
    stream.sendall(encode_stream_head(request))
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENT_COUNT + 1):
        if number == silent_before:
            time.sleep(silent_seconds)
        stream.sendall(encode_chunk(_encode_event(number)))
    stream.sendall(b"0\r\n\r\n")
    return True


def _pause_inside(request: ReceivedRequest, stream: socket.socket) -> bool:
    return _send_stream(request, stream, silent_before=3)


def _pause_first(request: ReceivedRequest, stream: socket.socket) -> bool:
    return _send_stream(request, stream, silent_before=1)


def _pause_plain(request: ReceivedRequest, stream: socket.socket) -> bool:
    time.sleep(SILENT_SECONDS)
    stream.sendall(encode_signed_response(request, 200, b"whole"))
    return True


def _refuse(request: ReceivedRequest, stream: socket.socket) -> bool:
    stream.sendall(encode_response(503, b"", "X-Not-Executed: 1"))
    return True


def _fail_plainly(request: ReceivedRequest, stream: socket.socket) -> bool:
    stream.sendall(encode_signed_response(request, 404, b"not here"))
    return True


def _stall(request: ReceivedRequest, stream: socket.socket) -> bool:
    """Send nothing until the caller closes."""
    while stream.recv(65_536):
        pass
    return False


def _stall_with_comments(request: ReceivedRequest, stream: socket.socket) -> bool:
    stream.sendall(encode_stream_head(request))
    while True:
        stream.sendall(encode_chunk(b": ping\n\n"))
        time.sleep(0.05)


class Servers:
    """Two servers; the first one to get a request is silent, the other one follows.

    :ivar open_count: requests that are open at the servers.
    """

    def __init__(self, first: Handler, second: Handler) -> None:
        self._handlers = [first, second]
        self.open_count = 0
        self.request_count = 0
        self.fakes = [FakeServer("i-1", self._serve), FakeServer("i-2", self._serve)]

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        handler = self._handlers[min(self.request_count, 1)]
        self.request_count += 1
        self.open_count += 1
        try:
            return handler(request, stream)
        except OSError:
            return False
        finally:
            self.open_count -= 1


class SilentServerTest(TestCase):
    def _check(
        self,
        path: str,
        first: Handler,
        second: Handler,
        whole: bytes,
        during: Callable[[EntryProcess], None] = lambda entry: None,
    ) -> Servers:
        """Check that the caller gets the whole answer of either server."""
        servers = Servers(first, second)
        answers: list[tuple[int, bytes]] = []

        def call() -> None:
            response, body = entry.call(path)
            answers.append((response.status, body))

        with run_entry(*servers.fakes) as (entry, _):
            caller = threading.Thread(target=call)
            caller.start()
            during(entry)
            caller.join()
            self.assertEqual([(200, whole)], answers)
            self.assertEqual(2, servers.request_count)
            ended = wait_for(lambda: not servers.open_count, CLOSE_SECONDS)
            self.assertTrue(ended)
        return servers

    def test_a_stream_goes_on_when_the_next_server_refuses(self) -> None:
        """Guards against a sound stream that is cut as its server is silent."""
        self._check("/stream/x", _pause_inside, _refuse, _all_events())

    def test_a_stream_begins_late_when_the_next_server_refuses(self) -> None:
        """Guards against a stream given up before its first event."""
        self._check("/stream/x", _pause_first, _refuse, _all_events())

    def test_a_plain_answer_is_delivered_when_the_next_server_refuses(self) -> None:
        """Guards against a request that fails though its server answers in time."""
        self._check("/get/x", _pause_plain, _refuse, b"whole")

    def test_a_stream_goes_on_when_the_next_server_is_silent_too(self) -> None:
        """Guards against waiting for the last server that was tried only."""
        self._check("/stream/x", _pause_inside, _stall, _all_events())

    def test_a_stream_goes_on_when_the_next_server_answers_with_an_error(self) -> None:
        """Guards against an error of the next server that cuts a sound stream."""
        self._check("/stream/x", _pause_inside, _fail_plainly, _all_events())

    def test_a_stopping_entry_waits_for_a_silent_server(self) -> None:
        """Guards against streams of sound servers that a planned stop cuts."""

        def stop(entry: EntryProcess) -> None:
            time.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)

        self._check("/stream/x", _pause_inside, _refuse, _all_events(), stop)

    def test_the_next_server_answers_for_a_stalled_one(self) -> None:
        """Guards against waiting for a server that never answers."""
        for stall in (_stall, _stall_with_comments):
            self._check("/stream/x", stall, _send_stream, _all_events())
        self._check("/get/x", _stall, _pause_none, b"whole")

    def test_all_work_ends_with_its_caller(self) -> None:
        """Guards against servers that work on for a caller that has left."""
        servers = Servers(_stall, _stall)
        with run_entry(*servers.fakes) as (entry, _):
            connection = HTTPConnection("127.0.0.1", entry.port, timeout=10)
            headers = {"Host": "h", "X-Request-Id": "q", "Authorization": "Bearer k"}
            connection.request("GET", "/stream/x", None, headers)
            self.assertTrue(wait_for(lambda: servers.open_count == 2))
            connection.close()
            self.assertTrue(wait_for(lambda: not servers.open_count, CLOSE_SECONDS))


def _pause_none(request: ReceivedRequest, stream: socket.socket) -> bool:
    stream.sendall(encode_signed_response(request, 200, b"whole"))
    return True
