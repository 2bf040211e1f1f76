"""Servers in trouble of many kinds, which record what has run at them."""

import socket
import threading
import time
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import dataclass
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
    "leaves": 0.2,
    "pauses": 0.5,
}
# Kinds with which a server answers a request in time.
ANSWERING_KINDS = ("sound", "silent", "leaves")
# Kinds with which a server does not run a request.
REFUSING_KINDS = ("refuses", "pauses")
PAUSE_SECONDS = (1.0, 2.0)
# Time after which a server that leaves starts again, longer than that within which
# entries have to spare it.
RESTART_SECONDS = 3.5
# One server in this number is in the zone that is evacuated at times.
ZONE_SHARE = 4
EVACUATED_ZONE = "y"
# Header that names the server of a response and the number of its run.
SERVED_BY = "X-Served-By"


def encode_event(request_id: str, number: int) -> bytes:
    """Encode an event of the stream of a request."""
    return b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number)


def whole_answer(path: str, request_id: str) -> bytes:
    """Return the body of the whole answer to a request."""
    if path.startswith("/stream/"):
        numbers = range(1, EVENT_COUNT + 1)
        return b"".join(encode_event(request_id, number) for number in numbers)
    return b"answer to " + request_id.encode()


@dataclass(frozen=True, slots=True)
class Arrival:
    """Represent a request that has reached a server."""

    at: float
    server: str
    request_id: str


@dataclass(frozen=True, slots=True)
class PauseRequest:
    """Represent a refusal by which a server asks for a pause.

    :param is_first: whether no other server has got the request before.
    """

    at: float
    until: float
    server: str
    request_id: str
    is_first: bool


def _choose_zone(number: int) -> str:
    return EVACUATED_ZONE if number % ZONE_SHARE == ZONE_SHARE - 1 else "z"


class HostileServers:
    """Answer each request in a way that is chosen at random.

    :ivar run_count_by_id: how often each request has begun to run.
    :ivar last_kind_by_id: how the last server that got a request behaved.
    :ivar arrivals: requests that have reached a server.
    :ivar pause_requests: refusals that ask for a pause.
    :ivar restarts: times at which servers have started again, by server; the first of
        them ends the first run.
    """

    def __init__(self, count: int, random: Random) -> None:
        self._random = random
        self._lock = threading.Lock()
        self.store = FakeStore()
        self.store.put("op/config", make_config_item())
        self.run_count_by_id: Counter[str] = Counter()
        self.last_kind_by_id: dict[str, str] = {}
        self.arrivals: list[Arrival] = []
        self.pause_requests: list[PauseRequest] = []
        self.restarts: defaultdict[str, list[float]] = defaultdict(list)
        self._left_at: dict[str, float] = {}
        self.servers = [
            FakeServer(f"i-{n}", self._serve, zone=_choose_zone(n))
            for n in range(count)
        ]
        for server in self.servers:
            self.store.put(f"servers/{server.name}", server.store_record("s"))

    def restart_left(self) -> None:
        """Start the servers again that have left some time ago."""
        now = time.monotonic()
        for server in self.servers:
            left_at = self._left_at.get(server.name)
            if left_at is None or now - left_at < RESTART_SECONDS:
                continue
            with self._lock:
                del self._left_at[server.name]
                server.born += 1
                self.restarts[server.name].append(now)
            self.store.put(f"servers/{server.name}", server.store_record("s"))

    def _signals(self, kind: str, request: ReceivedRequest) -> tuple[str, ...]:
        """Return the headers of a response by which its server leaves."""
        if kind != "leaves":
            return ()
        name = request.headers["x-expect-instance"]
        run = len(self.restarts[name]) + 1
        return ("Server-Leaving: 1", f"{SERVED_BY}: {name}:{run}")

    def zone_of(self, name: str) -> str:
        """Return the zone of a server."""
        return _choose_zone(int(name.removeprefix("i-")))

    def close(self) -> None:
        """Stop the store and the servers."""
        self.store.close()
        for server in self.servers:
            server.close()

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        request_id = request.headers["x-request-id"]
        name = request.headers["x-expect-instance"]
        now = time.monotonic()
        with self._lock:
            is_first = request_id not in self.last_kind_by_id
            self.arrivals.append(Arrival(now, name, request_id))
            (kind,) = self._random.choices(
                list(WEIGHT_BY_KIND), list(WEIGHT_BY_KIND.values())
            )
            status = self._random.choice(FAILURE_STATUSES)
            self.last_kind_by_id[request_id] = kind
            if name in self._left_at and kind not in REFUSING_KINDS:
                kind = "leaves"
            if kind == "leaves":
                self._left_at.setdefault(name, now)
            pause = self._random.uniform(*PAUSE_SECONDS)
            self.last_kind_by_id[request_id] = kind
            if kind not in REFUSING_KINDS:
                self.run_count_by_id[request_id] += 1
        with suppress(OSError):
            if kind == "pauses":
                return self._ask_for_pause(pause, is_first, request, stream)
            return self._answer(kind, status, request, stream)
        return False

    def _ask_for_pause(
        self,
        seconds: float,
        is_first: bool,
        request: ReceivedRequest,
        stream: socket.socket,
    ) -> bool:
        request_id = request.headers["x-request-id"]
        name = request.headers["x-expect-instance"]
        own_id = f"X-Request-Id: {request_id}"
        retry_after = f"Retry-After: {seconds:.3f}"
        stream.sendall(
            encode_response(503, b"", own_id, "X-Not-Executed: 1", retry_after)
        )
        now = time.monotonic()
        asked = PauseRequest(now, now + seconds, name, request_id, is_first)
        self.pause_requests.append(asked)
        return True

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
            request,
            200,
            whole_answer(request.target, request_id),
            *self._signals(kind, request),
        )
        stream.sendall(answer[:-5] if kind == "breaks off" else answer)
        return kind != "breaks off"

    def _send_stream(
        self, kind: str, request: ReceivedRequest, stream: socket.socket
    ) -> bool:
        request_id = request.headers["x-request-id"]
        head = encode_stream_head(request)
        for line in self._signals(kind, request):
            head = head.removesuffix(b"\r\n") + line.encode() + b"\r\n\r\n"
        stream.sendall(head)
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
