"""Servers in trouble of many kinds, which record what has run at them."""

import socket
import threading
import time
from collections import Counter
from contextlib import suppress
from random import Random

from tests.entry_process import make_config_item
from tests.platform_fakes import (
    FakeServer,
    FakeStore,
    ReceivedRequest,
    encode_chunk,
    encode_response,
    encode_signed_response,
    encode_stream_head,
)

EVENT_COUNT = 5
EVENT_SECONDS = 0.03
# Longer than the silence after which entries try another server, and shorter than that
# after which callers leave.
SILENT_SECONDS = 1.5
UNREADABLE_LOAD = "X-Server-Load: " + "9" * 5_000 + ",0,6"
# Statuses that a server may fail with after it has run a request.
FAILURE_STATUSES = (408, 429, 500, 503, 504)
# How often a server shows each kind of behaviour.
WEIGHT_BY_KIND = {
    "sound": 70,
    "silent": 6,
    "refuses": 8,
    "fails": 8,
    "endless": 3,
    "breaks off": 5,
}
# Kinds with which a server answers a request in time.
ANSWERING_KINDS = ("sound", "silent")


def encode_event(request_id: str, number: int) -> bytes:
    """Encode an event of the stream of a request."""
    return b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number)


def whole_answer(path: str, request_id: str) -> bytes:
    """Return the body of the whole answer to a request."""
    if path.startswith("/stream/"):
        numbers = range(1, EVENT_COUNT + 1)
        return b"".join(encode_event(request_id, number) for number in numbers)
    return b"answer to " + request_id.encode()


class HostileServers:
    """Answer each request in a way that is chosen at random.

    :ivar run_count_by_id: how often each request has begun to run.
    :ivar last_kind_by_id: how the last server that got a request behaved.
    """

    def __init__(self, count: int, random: Random) -> None:
        self._random = random
        self._lock = threading.Lock()
        self.store = FakeStore()
        self.store.put("op/config", make_config_item())
        self.run_count_by_id: Counter[str] = Counter()
        self.last_kind_by_id: dict[str, str] = {}
        self.servers = [FakeServer(f"i-{n}", self._serve) for n in range(count)]
        for server in self.servers:
            self.store.put(f"servers/{server.name}", server.store_record("s"))

    def close(self) -> None:
        """Stop the store and the servers."""
        self.store.close()
        for server in self.servers:
            server.close()

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        request_id = request.headers["x-request-id"]
        with self._lock:
            (kind,) = self._random.choices(
                list(WEIGHT_BY_KIND), list(WEIGHT_BY_KIND.values())
            )
            status = self._random.choice(FAILURE_STATUSES)
            self.last_kind_by_id[request_id] = kind
            if kind != "refuses":
                self.run_count_by_id[request_id] += 1
        with suppress(OSError):
            return self._answer(kind, status, request, stream)
        return False

    def _answer(
        self, kind: str, status: int, request: ReceivedRequest, stream: socket.socket
    ) -> bool:
        request_id = request.headers["x-request-id"]
        own_id = f"X-Request-Id: {request_id}"
        match kind:
            case "refuses":
                refusal = encode_response(503, b"", own_id, "X-Not-Executed: 1")
                stream.sendall(refusal)
                return True
            case "fails":
                stream.sendall(encode_response(status, b"failed", own_id))
                return True
            case "endless":
                head = f"HTTP/1.1 200 OK\r\n{own_id}\r\n{UNREADABLE_LOAD}\r\n\r\n"
                stream.sendall(head.encode())
                while True:
                    stream.sendall(b"x" * 8_192)
                    time.sleep(0.01)
        if request.target.startswith("/stream/"):
            return self._send_stream(kind, request, stream)
        if kind == "silent":
            time.sleep(SILENT_SECONDS)
        answer = encode_signed_response(
            request, 200, whole_answer(request.target, request_id)
        )
        stream.sendall(answer[:-5] if kind == "breaks off" else answer)
        return kind != "breaks off"

    def _send_stream(
        self, kind: str, request: ReceivedRequest, stream: socket.socket
    ) -> bool:
        request_id = request.headers["x-request-id"]
        stream.sendall(encode_stream_head(request))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENT_COUNT + 1):
            if number == 3 and kind == "breaks off":
                return False
            if number == 3 and kind == "silent":
                time.sleep(SILENT_SECONDS)
            stream.sendall(encode_chunk(encode_event(request_id, number)))
            time.sleep(EVENT_SECONDS)
        stream.sendall(b"0\r\n\r\n")
        return True
