"""Stop an entry while a server preempts the streams that it runs.

Around the stop of an entry, no request that was passed on to a server may end without a
complete answer before its deadline, unless the server broke it off. The silence of a
server is no reason to end an answer sooner.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    LIMITS,
    SLOTS,
    ZONES,
    Entry,
    Fleet,
    PlainServer,
    Record,
    Request,
    call,
    encode_response,
    make_service,
    make_tenants,
    play,
    request_headers,
    with_trouble,
)

ENTRIES = 3
STREAMS = 3
EVENTS = 28
EVENT_SECONDS = 0.05
QUEUE = 2
# Callers leave after 2 s without an event.
PREEMPTED_AFTER_EVENT = 8
PREEMPTED_SECONDS = 1.7
STOP_DELAY_SECONDS = 0.3
DEADLINE_MS = 8051
SERVICE = "layout-llm"
HOST = "ficu95.example"
KEY = "key0"


class StreamServer(PlainServer):
    """Run streams in slots, queue a few more and reject what is beyond.

    :ivar preempts: whether it preempts each stream once, as its memory is full.
    """

    def __init__(self, host: str, name: str, zone: str, preempts: bool) -> None:
        super().__init__(host, name, SERVICE, zone)
        self.preempts = preempts
        self.open_count = 0

    async def run(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run a stream, or reject it if the queue is full."""
        waiting = max(0, self.open_count - SLOTS)
        load = f"{self.open_count - waiting},{waiting},{SLOTS}"
        headers = {"X-Request-Id": request_id, "X-Server-Load": load}
        if waiting >= QUEUE:
            headers["X-Not-Executed"] = "1"
            writer.write(encode_response(503, b"", headers))
            await writer.drain()
            return
        self.open_count += 1
        try:
            async with self.slots:
                await self._write_stream(request, request_id, load, writer)
        finally:
            self.open_count -= 1

    async def _write_stream(
        self, request: Request, request_id: str, load: str, writer: asyncio.StreamWriter
    ) -> None:
        run = self.begin_run(request, request_id)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\nX-Request-Id: {request_id}\r\n"
            f"X-Response-Signature: {self.name}.{len(self.runs)}\r\n"
            f"X-Server-Load: {load}\r\n\r\n"
        )
        writer.write(head.encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            preempted = self.preempts and number == PREEMPTED_AFTER_EVENT
            await asyncio.sleep(PREEMPTED_SECONDS if preempted else EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.ended_at = time.monotonic()


def make_config() -> dict[str, object]:
    """Make a configuration with one route for resumable streams."""
    route = {
        "name": "r-draft",
        "host": HOST,
        "prefix": "/lohu930/",
        "kind": "streaming",
        "timeout_ms": 8000,
        "target_latency_ms": 402,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky_sessions": True,
        "resumable": True,
        "target_gap_ms": 120,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [make_service(SERVICE)],
        "limits": LIMITS,
        "tenants": make_tenants([KEY]),
    }


async def send_stream(entry: Entry, number: int, record: Record) -> bool:
    """Send a stream and return whether its answer was complete."""
    request_id = f"stream-{number}"
    headers = request_headers(HOST, request_id, KEY, DEADLINE_MS) | {
        "X-Model": "m",
        "X-Token-Count": "674,140",
        "X-Prompt-Prefix": f"5c1e07a2:40,{number:08x}:634",
    }
    record.line(f"{request_id} sent to {entry.name}")
    response = await call(
        entry.host,
        entry.port,
        "POST",
        "/lohu930/2f",
        headers,
        b"x" * 600,
        seconds=DEADLINE_MS / 1000.0,
    )
    events = response.body.count(b"\n\n")
    record.line(
        f"{request_id} answered {response.status} {response.fault}, {events} events"
    )
    return response.status == 200 and events == EVENTS


async def call_directly(server: StreamServer, number: int) -> None:
    """Send streams to a server without the entries until cancelled."""
    count = 0
    while True:
        count += 1
        headers = {"Host": HOST, "X-Request-Id": f"direct-{number}-{count}"}
        headers["X-Expect-Instance"] = server.name
        await call(
            server.host, server.port, "POST", "/lohu930/2f", headers, seconds=10.0
        )


async def play_case(record: Record) -> bool:
    """Play the case and return whether the rule has held."""
    fleet = Fleet(record)
    runner = StreamServer(fleet.net.address(), "i-1", ZONES[0], preempts=with_trouble())
    other = StreamServer(fleet.net.address(), "i-2", ZONES[1], preempts=False)
    try:
        await fleet.start(make_config(), [runner, other], ENTRIES)
        entry = fleet.entries[0]
        for number in range(SLOTS + QUEUE):
            fleet.run(call_directly(other, number))
        # In touch: no disruption for `stability_window_ms`.
        await asyncio.sleep(4.0)
        streams = [
            asyncio.create_task(send_stream(entry, number, record))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(STOP_DELAY_SECONDS)
        entry.signal(signal.SIGTERM)
        record.line(f"SIGTERM to {entry.name}")
        complete = await asyncio.gather(*streams)
    finally:
        await fleet.end()
    cut = complete.count(False)
    record.result(f"streams: {STREAMS}, without a complete answer: {cut}")
    return not cut


if __name__ == "__main__":
    play(FOLDER, play_case)
