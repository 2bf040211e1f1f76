"""Fakes of the platform's store and backend servers."""

import base64
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field


@dataclass
class ReceivedRequest:
    """Represent a request that a fake has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def read_request(stream: socket.socket) -> ReceivedRequest | None:
    """Read a request with a content length, none if the connection is closed."""
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
    return ReceivedRequest(method, target, headers, body)


def encode_response(status: int, body: bytes, *headers: str) -> bytes:
    """Encode a response with a content length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """Accept connections and serve each on a thread of its own."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._open_streams: set[socket.socket] = set()
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
        self._open_streams.add(stream)
        with stream, suppress(OSError, ValueError):
            self._serve(stream)
        self._open_streams.discard(stream)

    def close(self) -> None:
        """Stop accepting connections."""
        with suppress(OSError):
            # Closing alone leaves the port open while a thread waits in `accept`.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def end(self) -> None:
        """Close the port and all connections, like a process that crashes."""
        self.close()
        for stream in list(self._open_streams):
            with suppress(OSError):
                stream.shutdown(socket.SHUT_RDWR)


class FakeStore:
    """Serve listings and watches; answers 503 while `down` is set."""

    def __init__(self) -> None:
        self.revision = 1
        self.down = False
        self.compacted_revision = 0
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
        """Drop the history, so that watches fail and clients have to list again."""
        with self._changed:
            self.compacted_revision = self.revision
            self._changed.notify_all()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _serve(self, stream: socket.socket) -> None:
        while (request := read_request(stream)) is not None:
            if self.down:
                stream.sendall(encode_response(503, b"{}"))
                continue
            path, _, query = request.target.partition("?")
            values = dict(part.partition("=")[::2] for part in query.split("&"))
            if path == "/kv-range":
                stream.sendall(encode_response(200, self._list()))
                continue
            status, body = self._watch(
                int(values["after"]), int(values["wait_ms"]) / 1000.0
            )
            stream.sendall(encode_response(status, body))

    def _list(self) -> bytes:
        with self._changed:
            items = [_item(key, at, data) for key, (at, data) in self._items.items()]
            return json.dumps(
                {"items": items, "has_more": False, "at": self.revision}
            ).encode()

    def _watch(self, after: int, wait: float) -> tuple[int, bytes]:
        deadline = time.monotonic() + wait
        with self._changed:
            while True:
                if after < self.compacted_revision:
                    return 410, b"{}"
                events = [event for event in self._events if event[0] > after]
                remaining_seconds = deadline - time.monotonic()
                if events or remaining_seconds <= 0.0 or self.down:
                    break
                self._changed.wait(remaining_seconds)
            if self.down:
                return 503, b"{}"
            items = [_item(key, at, data) for at, key, data in events]
            return 200, json.dumps({"events": items, "at": self.revision}).encode()


def _item(key: str, revision: int, data: bytes | None) -> dict[str, object]:
    if data is None:
        return {"key": key, "revision": revision, "removed": True}
    value = base64.b64encode(data).decode()
    return {"key": key, "revision": revision, "value": value}


RequestHandler = Callable[[ReceivedRequest, socket.socket], bool]


@dataclass
class FakeServer:
    """Serve requests, by default with a signed response.

    :param handler: writes another response; returns whether the connection stays open.
    :param delay: seconds before the default response.
    :param served_requests: requests that got the default response.
    """

    name: str
    handler: RequestHandler | None = None
    delay: float = 0.0
    service: str = "s"
    served_requests: list[ReceivedRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def crash(self) -> None:
        """Close the port and all connections at once."""
        self._listener.end()

    def store_record(self, service: str, state: str = "ready") -> dict[str, object]:
        """Return the record of the server in the store."""
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
                stream.sendall(encode_response(200, b"{}"))
                continue
            if request.headers.get("x-expect-instance") != self.name:
                stream.sendall(encode_response(421, b"", "X-Instance-Id: other"))
                continue
            if self.handler is not None:
                if not self.handler(request, stream):
                    return
                continue
            self.served_requests.append(request)
            time.sleep(self.delay)
            stream.sendall(
                encode_response(
                    200,
                    b"answer of " + self.name.encode(),
                    f"X-Request-Id: {request.headers['x-request-id']}",
                    "X-Response-Signature: sig",
                )
            )


def encode_signed_response(
    request: ReceivedRequest, status: int, body: bytes, *more: str
) -> bytes:
    """Encode a signed response to a request."""
    return encode_response(
        status,
        body,
        f"X-Request-Id: {request.headers['x-request-id']}",
        "X-Response-Signature: sig",
        *more,
    )


def encode_stream_head(request: ReceivedRequest) -> bytes:
    """Encode the head of a stream."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nX-Response-Signature: sig\r\n"
        f"X-Request-Id: {request.headers['x-request-id']}\r\n\r\n"
    ).encode()


def encode_unframed_stream_head(request: ReceivedRequest) -> bytes:
    """Encode the head of a stream that ends with its connection."""
    framing = b"Transfer-Encoding: chunked\r\n"
    return encode_stream_head(request).replace(framing, b"")


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a body with chunked encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@contextmanager
def closing_all(*closables: FakeStore | FakeServer) -> Iterator[None]:
    """Close all fakes at the end."""
    try:
        yield
    finally:
        for closable in closables:
            closable.close()
