"""A crowd of clients on loopback that send what an entry has to withstand."""

import os
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from tests.platform_fakes import encode_chunk

# Size of the pieces in which bodies are sent.
PART = b"x" * 16_384
# A client whose bytes are not read for this time stops sending.
SEND_TIMEOUT_SECONDS = 3.0

Act = Callable[[socket.socket, threading.Event], None]


class ClientCrowd:
    """Run clients on threads and keep their connections open until the end.

    :param act: sends what one client sends, until an event is set.
    """

    def __init__(self, port: int, count: int, act: Act) -> None:
        self._port = port
        self._act = act
        self._stopped = threading.Event()
        self._streams: list[socket.socket] = []
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(count)
        ]

    def __enter__(self) -> "ClientCrowd":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        for stream in self._streams:
            stream.close()

    def wait(self, seconds: float) -> None:
        """Wait until all clients have sent everything, or for some time."""
        deadline = time.monotonic() + seconds
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def _run(self) -> None:
        with suppress(OSError):
            stream = socket.create_connection(("127.0.0.1", self._port), timeout=10)
            stream.settimeout(SEND_TIMEOUT_SECONDS)
            self._streams.append(stream)
            self._act(stream, self._stopped)


def read_peak_memory(pid: int) -> int:
    """Return the largest resident memory of a process since its start, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has ended")


def count_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def make_head(method: str, path: str, *lines: str) -> bytes:
    """Encode the head of a request to the host `h` with a valid key."""
    first = [f"{method} {path} HTTP/1.1", "Host: h", "Authorization: Bearer k"]
    deadline = "X-Deadline-Milliseconds: 20000"
    return "\r\n".join([*first, deadline, *lines, "", ""]).encode()


def stop_one_byte_short(head: bytes, body_bytes: int) -> Act:
    """Send a body without its last byte, and keep the connection open."""

    def act(stream: socket.socket, stopped: threading.Event) -> None:
        stream.sendall(head)
        stream.sendall(b"x" * (body_bytes - 1))
        stopped.wait()

    return act


def send_endless_chunks(head: bytes) -> Act:
    """Send chunks of a body without an end."""
    chunk = encode_chunk(PART)

    def act(stream: socket.socket, stopped: threading.Event) -> None:
        stream.sendall(head)
        while not stopped.is_set():
            stream.sendall(chunk)

    return act


def send_complete(head: bytes, body_bytes: int, count: int = 1) -> Act:
    """Send complete requests one behind the other without reading a response."""

    def act(stream: socket.socket, stopped: threading.Event) -> None:
        for _ in range(count):
            stream.sendall(head)
            stream.sendall(b"x" * body_bytes)
        stopped.wait()

    return act


def send_far_over(announced: bytes, sent: bytes, limit: int, count: int) -> Act:
    """Send four times the limit, by turns with an announced length and in a chunk.

    :param sent: head of a request with a body in chunks.
    :param count: number of clients.
    """
    begun = sent + b"%x\r\n" % (64 * limit)
    numbers = iter(range(count))

    def act(stream: socket.socket, stopped: threading.Event) -> None:
        stream.sendall(announced if next(numbers) % 2 else begun)
        for _ in range(4 * limit // len(PART)):
            stream.sendall(PART)
        stopped.wait()

    return act


def send_tiny_chunks(head: bytes) -> Act:
    """Send chunks of one byte without an end."""
    chunks = b"1\r\nx\r\n" * 10_000

    def act(stream: socket.socket, stopped: threading.Event) -> None:
        stream.sendall(head)
        while not stopped.is_set():
            stream.sendall(chunks)

    return act


def send_nothing_or_slow_headers(target: str, count: int) -> Act:
    """Send nothing, by turns with a head whose bytes come slowly.

    :param count: number of clients.
    """
    numbers = iter(range(count))

    def act(stream: socket.socket, stopped: threading.Event) -> None:
        if next(numbers) % 2:
            stopped.wait()
        stream.sendall(f"GET {target} HTTP/1.1\r\nX: ".encode())
        while not stopped.wait(0.5):
            stream.sendall(b"y")

    return act
