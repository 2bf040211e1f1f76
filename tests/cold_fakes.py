"""Backend servers that are cold after a start and record the arrivals."""

import socket
import threading
import time
from bisect import bisect_right
from contextlib import suppress

from tests.entry_process import make_config_item
from tests.platform_fakes import (
    FakeServer,
    FakeStore,
    Listener,
    ReceivedRequest,
    encode_chunk,
    encode_signed_response,
    encode_stream_head,
)

COLD_PER_SECOND = 4.0
# The optional fields of the settings file's bounds, and their defaults.
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
WINDOW_SECONDS = 1.0
CALLER_DEADLINE_SECONDS = 2.5
# Times to the first event of a stream at a warm server and a cold one.
FIRST_EVENT_SECONDS = 0.02
SLOW_SECONDS = 0.25


def allowed_arrivals(per_second: float = COLD_PER_SECOND) -> float:
    """Return the requests that a cold server may get in any one second."""
    return per_second * COLD_OVERSHOOT + COLD_SLACK


def busiest_second(arrivals: list[float]) -> int:
    """Return the largest number of arrivals in any one second."""
    times = sorted(arrivals)
    return max(
        (
            bisect_right(times, start + WINDOW_SECONDS) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


def make_cold_config(
    cold_per_second: float = COLD_PER_SECOND, cold_seconds: float = 4.0
) -> dict[str, object]:
    """Make a configuration whose service `s` has servers that may be cold."""
    config = make_config_item()
    config["services"] = [
        {
            "name": "s",
            "max_connections": 100,
            "cold_start_s": cold_seconds,
            "cold_per_s": cold_per_second,
        },
        {"name": "t", "max_connections": 100},
    ]
    return config


class RestartingServer(FakeServer):
    """Serve at the same address after a restart."""

    def restart(self) -> None:
        """Listen again after a crash."""
        port = int(self.address.rpartition(":")[2])
        self._listener = _PortListener(self._serve, port)


class _PortListener(Listener):
    def __init__(self, serve: object, port: int) -> None:
        self._serve = serve  # type: ignore[assignment]
        self._open_streams = set()
        self._socket = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{port}"
        threading.Thread(target=self._accept, daemon=True).start()


class RecordedServers:
    """Run servers of the service `s` and record the arrivals at each.

    :ivar arrivals_by_name: times of the requests at each server.
    :ivar slow_names: servers whose streams begin late.
    """

    def __init__(self, config: dict[str, object]) -> None:
        self.store = FakeStore()
        self.store.put("op/config", config)
        self.arrivals_by_name: dict[str, list[float]] = {}
        self.slow_names: set[str] = set()
        self._servers: list[FakeServer] = []

    def add(self, name: str, born: int = 1, cold_ms: object = 0) -> RestartingServer:
        """Start a server and register it."""
        server = RestartingServer(name, self._serve)
        self._servers.append(server)
        self.arrivals_by_name[name] = []
        self.register(server, born, cold_ms)
        return server

    def register(self, server: FakeServer, born: int, cold_ms: object) -> None:
        """Write the record of a server."""
        record = server.store_record("s")
        record |= {"born": born, "cold_remaining_ms": cold_ms}
        self.store.put(f"servers/{server.name}", record)

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        name = request.headers["x-expect-instance"]
        self.arrivals_by_name[name].append(time.monotonic())
        if not request.target.startswith("/stream/"):
            stream.sendall(encode_signed_response(request, 200, b"x"))
            return True
        stream.sendall(encode_stream_head(request))
        time.sleep(SLOW_SECONDS if name in self.slow_names else FIRST_EVENT_SECONDS)
        stream.sendall(encode_chunk(b"id: 1\ndata: x\n\n") + encode_chunk(b""))
        return True

    def close(self) -> None:
        """Stop the store and all servers."""
        for closable in (self.store, *self._servers):
            with suppress(OSError):
                closable.close()
