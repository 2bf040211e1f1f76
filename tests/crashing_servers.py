"""Backend servers that crash when they start to answer a given prompt segment."""

import socket
import threading
from collections.abc import Callable
from contextlib import suppress

from tests.entry_process import EntryProcess, make_config_item
from tests.platform_fakes import (
    FakeServer,
    FakeStore,
    ReceivedRequest,
    encode_chunk,
    encode_stream_head,
)

CRASHING_SEGMENT = "bad0"
# Crashes after which entries have to know the segment, and requests with it that may
# reach servers afterwards.
KNOWN_AFTER_CRASHES = 5
ALLOWED_LATE_REQUESTS = 3
# Time for which a server that has crashed stays registered.
LAPSE_SECONDS = 1.0


class CrashingServers:
    """Register servers and replace each one that crashes.

    :param count: number of servers that run at a time.
    :param write_start: writes what a server sends before it crashes.
    :ivar reached: names of the servers that got a request with the segment.
    """

    def __init__(
        self,
        count: int,
        write_start: Callable[[ReceivedRequest], bytes] = encode_stream_head,
    ) -> None:
        self._write_start = write_start
        self.store = FakeStore()
        self.store.put("op/config", make_config_item())
        self.reached: list[str] = []
        self._lock = threading.Lock()
        self._number = 0
        self._servers: list[FakeServer] = []
        for _ in range(count):
            self._add()

    def _add(self) -> None:
        with self._lock:
            self._number += 1
            server = FakeServer(f"i-{self._number}", self._serve)
            self._servers.append(server)
        self.store.put(f"servers/{server.name}", server.store_record("s"))

    def _serve(self, request: ReceivedRequest, stream: socket.socket) -> bool:
        name = request.headers["x-expect-instance"]
        segments = request.headers.get("x-prompt-prefix", "").split(",")
        if any(part.startswith(f"{CRASHING_SEGMENT}:") for part in segments):
            self.reached.append(name)
            stream.sendall(self._write_start(request))
            self._replace(name)
            return False
        stream.sendall(encode_stream_head(request))
        for number in range(1, 4):
            stream.sendall(encode_chunk(b"id: %d\ndata: x\n\n" % number))
        stream.sendall(b"0\r\n\r\n")
        return True

    def _replace(self, name: str) -> None:
        with self._lock:
            ended = next(server for server in self._servers if server.name == name)
            self._servers.remove(ended)
        ended.crash()
        self._add()
        remove = self.store.remove
        lapse = threading.Timer(LAPSE_SECONDS, remove, (f"servers/{name}",))
        lapse.daemon = True
        lapse.start()

    def close(self) -> None:
        """Stop the store and all servers."""
        for closable in (self.store, *self._servers):
            with suppress(OSError):
                closable.close()


class PromptCaller:
    """Send requests whose prompts share segments and differ in the last one."""

    def __init__(self) -> None:
        self._number = 0

    def call(
        self,
        entry: EntryProcess,
        *segments: str,
        path: str = "/stream/x",
        body: bytes | None = None,
    ) -> int:
        """Send a request and return its status.

        :param body: body of the request, by default another one each time.
        """
        self._number += 1
        parts = [f"{segment}:40" for segment in (*segments, f"e{self._number:x}")]
        response, _ = entry.call(
            path,
            "POST",
            b"%d" % self._number if body is None else body,
            request_id=f"p{self._number}",
            X_Prompt_Prefix=",".join(parts),
        )
        return response.status
