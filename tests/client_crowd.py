"""A crowd of clients on loopback that send what an entry has to withstand."""

import os
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

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
