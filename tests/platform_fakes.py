"""Stand-ins for the users' platform: its store, its servers and their faults."""

import base64
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field


@dataclass
class Received:
    """Hold a request as a stand-in has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def read_request(stream: socket.socket) -> Received | None:
    """Read one request with a content length."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = stream.recv(65_536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    while len(body) < int(headers.get("content-length", "0")):
        body += stream.recv(65_536)
    return Received(method, target, headers, body)


def encode_answer(status: int, body: bytes, *headers: str) -> bytes:
    """Write an answer with a content length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """Serve connections on threads until it is closed."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(stream,), daemon=True).start()

    def _run(self, stream: socket.socket) -> None:
        with stream, suppress(OSError, ValueError):
            self._serve(stream)

    def close(self) -> None:
        """Refuse further connections."""
        self._socket.close()


class StandInStore:
    """Answer listings and watches; refuses everything while it is down."""

    def __init__(self) -> None:
        self.revision = 1
        self.down = False
        self.history_from = 0
        self._items: dict[str, tuple[int, bytes]] = {}
        self._events: list[tuple[int, str, bytes | None]] = []
        self._changed = threading.Condition()
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self.revision += 1
            self._items[key] = (self.revision, data)
            self._events.append((self.revision, key, data))
            self._changed.notify_all()

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            self.revision += 1
            self._items.pop(key, None)
            self._events.append((self.revision, key, None))
            self._changed.notify_all()

    def compact(self) -> None:
        """Forget the history, so that watches have to list again."""
        with self._changed:
            self.history_from = self.revision
            self._changed.notify_all()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _serve(self, stream: socket.socket) -> None:
        while (request := read_request(stream)) is not None:
            if self.down:
                stream.sendall(encode_answer(503, b"{}"))
                continue
            path, _, query = request.target.partition("?")
            values = dict(part.partition("=")[::2] for part in query.split("&"))
            if path == "/kv-range":
                stream.sendall(encode_answer(200, self._list()))
                continue
            status, body = self._watch(
                int(values["after"]), int(values["wait_ms"]) / 1000.0
            )
            stream.sendall(encode_answer(status, body))

    def _list(self) -> bytes:
        with self._changed:
            items = [_item(key, at, data) for key, (at, data) in self._items.items()]
            return json.dumps(
                {"items": items, "has_more": False, "at": self.revision}
            ).encode()

    def _watch(self, after: int, wait: float) -> tuple[int, bytes]:
        until = time.monotonic() + wait
        with self._changed:
            while True:
                if after < self.history_from:
                    return 410, b"{}"
                events = [event for event in self._events if event[0] > after]
                left = until - time.monotonic()
                if events or left <= 0.0 or self.down:
                    break
                self._changed.wait(left)
            if self.down:
                return 503, b"{}"
            found = [_item(key, at, data) for at, key, data in events]
            return 200, json.dumps({"events": found, "at": self.revision}).encode()


def _item(key: str, revision: int, data: bytes | None) -> dict[str, object]:
    if data is None:
        return {"key": key, "revision": revision, "removed": True}
    value = base64.b64encode(data).decode()
    return {"key": key, "revision": revision, "value": value}


Reply = Callable[[Received, socket.socket], bool]


@dataclass
class StandInServer:
    """Run requests; `reply` may answer in another way and ends the connection then.

    :param reply: returns whether the connection is kept.
    """

    name: str
    reply: Reply | None = None
    delay: float = 0.0
    ran: list[Received] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def entry(self, service: str, state: str = "ready") -> dict[str, object]:
        """Return the entry of the server in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": 1,
        }

    def _serve(self, stream: socket.socket) -> None:
        while (request := read_request(stream)) is not None:
            if request.target == "/report":
                stream.sendall(encode_answer(200, b"{}"))
                continue
            if request.headers.get("x-expect-instance") != self.name:
                stream.sendall(encode_answer(421, b"", "X-Instance-Id: other"))
                continue
            if self.reply is not None:
                if not self.reply(request, stream):
                    return
                continue
            self.ran.append(request)
            time.sleep(self.delay)
            stream.sendall(
                encode_answer(
                    200,
                    b"answer of " + self.name.encode(),
                    f"X-Request-Id: {request.headers['x-request-id']}",
                    "X-Response-Signature: sig",
                )
            )


def answer_for(request: Received, status: int, body: bytes, *more: str) -> bytes:
    """Write a signed answer to a request."""
    return encode_answer(
        status,
        body,
        f"X-Request-Id: {request.headers['x-request-id']}",
        "X-Response-Signature: sig",
        *more,
    )


def stream_head(request: Received) -> bytes:
    """Write the head of a stream."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nX-Response-Signature: sig\r\n"
        f"X-Request-Id: {request.headers['x-request-id']}\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Write one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@contextmanager
def closing_all(*closables: StandInStore | StandInServer) -> Iterator[None]:
    """Close the stand-ins at the end."""
    try:
        yield
    finally:
        for closable in closables:
            closable.close()
