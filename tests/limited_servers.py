"""Backend servers that name a limit in their answers and record the arrivals."""

import socket
import time
from bisect import bisect_right
from contextlib import suppress

from tests.entry_process import make_config_item
from tests.platform_fakes import (
    FakeServer,
    FakeStore,
    ReceivedRequest,
    encode_signed_response,
)

LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0


def allowed_arrivals(limit: float) -> float:
    """Return the requests that a server may get in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5.0


def busiest_window(arrivals: list[float]) -> int:
    """Return the largest number of arrivals in a window."""
    times = sorted(arrivals)
    return max(
        (
            bisect_right(times, start + WINDOW_SECONDS) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


class LimitedServers:
    """Register a server with a limit and others without one.

    :ivar is_limited: whether the first server names its limit.
    """

    def __init__(self, count: int) -> None:
        self.is_limited = True
        self.store = FakeStore()
        self.store.put("op/config", make_config_item())
        self.arrivals: list[float] = []
        self._servers = [
            FakeServer(f"i-{number}", self._serve) for number in range(count)
        ]
        for server in self._servers:
            self.store.put(f"servers/{server.name}", server.store_record("s"))

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        headers = []
        if request.headers["x-expect-instance"] == "i-0":
            self.arrivals.append(time.monotonic())
            if self.is_limited:
                headers.append(f"Server-Limit: {LIMIT_PER_SECOND}")
        stream.sendall(encode_signed_response(request, 200, b"x", *headers))
        return True

    def close(self) -> None:
        """Stop the store and all servers."""
        for closable in (self.store, *self._servers):
            with suppress(OSError):
                closable.close()
