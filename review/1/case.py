"""Send orders while one server fails some orders after it has run them.

An order that is answered with 429, 503, 408 or 421 must not have run.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    ZONES,
    Entry,
    Fleet,
    PlainServer,
    Record,
    Request,
    call,
    encode_response,
    make_plain_config,
    play,
    request_headers,
    with_trouble,
)

ENTRIES = 4
CLIENTS = 8
ORDER_INTERVAL_SECONDS = 0.4
TROUBLE_AT_SECONDS = 4.0
# Largest dose of `srv_grey` on the site: share 0.14 (one server of eight here), x 0.45.
SERVERS = 8
TROUBLE_SECONDS = 6.5
FAILED_SHARE = 0.45
PLAY_SECONDS = 16.0
# Both are used beside `X-Not-Executed` only to say that nothing has run.
FAILURE_STATUSES = (429, 503)
PROMISES = (408, 421, 429, 503)
DEADLINE_MS = 2533
SERVICE = "jobdesk"
HOST = "ficu95.example"
KEY = "key0"


class FailingServer(PlainServer):
    """Run all requests, and answer some with a failure while it is in trouble.

    :ivar in_trouble: whether it fails a share of the requests.
    """

    in_trouble = False

    async def run(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request; a failure has no `X-Not-Executed`."""
        if not self.in_trouble or random.random() >= FAILED_SHARE:
            await super().run(request, request_id, writer)
            return
        run = self.begin_run(request, request_id)
        await asyncio.sleep(self.work_seconds)
        run.ended_at = time.monotonic()
        headers = {"X-Request-Id": request_id, "X-Server-Load": "1,0,6"}
        status = random.choice(FAILURE_STATUSES)
        writer.write(encode_response(status, b"failed after the run", headers))
        await writer.drain()


@dataclass
class Attempt:
    """Represent a client attempt: its order and the status of the answer."""

    order: str
    status: int


async def send_orders(
    client: int,
    entries: list[Entry],
    attempt_by_id: dict[str, Attempt],
    record: Record,
) -> None:
    """Send orders; repeat an order once, at another entry, after a promise."""
    number = 0
    while True:
        number += 1
        order = f"order-{client}-{number}"
        first = random.randrange(len(entries))
        for attempt in range(2):
            entry = entries[(first + attempt) % len(entries)]
            request_id = f"{order}-{attempt}"
            headers = request_headers(HOST, request_id, KEY, DEADLINE_MS)
            record.line(f"{request_id} sent to {entry.name}")
            response = await call(
                entry.host, entry.port, "POST", "/puxa403/2f", headers, order.encode()
            )
            attempt_by_id[request_id] = Attempt(order, response.status)
            record.line(f"{request_id} answered {response.status} by {entry.name}")
            if response.status not in PROMISES:
                break
            await asyncio.sleep(float(response.headers.get("retry-after", "0")))
        await asyncio.sleep(ORDER_INTERVAL_SECONDS)


async def play_case(record: Record) -> bool:
    """Play the case and return whether the rule has held."""
    fleet = Fleet(record)
    servers = [
        FailingServer(
            fleet.net.address(), f"i-{number}", SERVICE, ZONES[number % len(ZONES)]
        )
        for number in range(SERVERS)
    ]
    attempt_by_id: dict[str, Attempt] = {}
    try:
        config = make_plain_config(7, HOST, SERVICE, [KEY])
        await fleet.start(config, servers, ENTRIES)
        for client in range(CLIENTS):
            fleet.run(send_orders(client, fleet.entries, attempt_by_id, record))
        await asyncio.sleep(TROUBLE_AT_SECONDS)
        servers[0].in_trouble = with_trouble()
        record.line(f"{servers[0].name} fails orders: {servers[0].in_trouble}")
        await asyncio.sleep(TROUBLE_SECONDS)
        servers[0].in_trouble = False
        record.line(f"{servers[0].name} is sound again")
        await asyncio.sleep(PLAY_SECONDS - TROUBLE_AT_SECONDS - TROUBLE_SECONDS)
    finally:
        await fleet.end()
    broken: Counter[int] = Counter()
    run_count_by_order: dict[str, int] = {}
    for run in fleet.runs():
        attempt = attempt_by_id.get(run.request_id)
        if attempt is None:
            continue
        run_count_by_order.setdefault(attempt.order, 0)
        run_count_by_order[attempt.order] += 1
        if attempt.status in PROMISES:
            broken[attempt.status] += 1
            record.line(
                f"{run.request_id} ran at {run.server}, answered {attempt.status}"
            )
    doubled = sum(count > 1 for count in run_count_by_order.values())
    record.result(f"client attempts: {len(attempt_by_id)}")
    record.result(f"orders that ran at more than one attempt: {doubled}")
    record.result(
        f"attempts that ran, by the status that says they have not: {dict(broken)}"
    )
    return not broken


if __name__ == "__main__":
    play(FOLDER, play_case)
