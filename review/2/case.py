"""Take keys away shortly after another writer has written unreadable items.

Requests with a key must not run if they were sent later than `revocation_ms` after the
configuration without that key was acknowledged.
"""

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BOUNDS,
    ZONES,
    Entry,
    Fleet,
    PlainServer,
    Record,
    Store,
    call,
    make_plain_config,
    play,
    request_headers,
    with_trouble,
)

ENTRIES = 4
OTHER_ITEMS = 2
OTHER_ITEM_GAP_SECONDS = 0.2
REVOCATIONS = 3
FIRST_REVOCATION_SECONDS = 6.0
REVOCATION_GAP_SECONDS = 9.0
REQUEST_INTERVAL_SECONDS = 0.25
REVOCATION_SECONDS = float(BOUNDS["revocation_ms"]) / 1000.0
# The port is text of digits for Unicode, but no decimal number.
UNREADABLE_ADDRESS = "127.0.0.9:808\u00b2"
DEADLINE_MS = 2524
SERVICE = "jobdesk"
HOST = "ficu95.example"


@dataclass
class Sent:
    """Represent a request with a key that is taken away during the case."""

    entry: str
    key: str
    sent_at: float
    status: int = 0


async def write_other_items(store: Store, record: Record, beat: int) -> None:
    """Write the items of another writer, one shortly after the other."""
    for number in range(OTHER_ITEMS):
        item = {
            "service": SERVICE,
            "address": UNREADABLE_ADDRESS,
            "zone": ZONES[0],
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": beat,
            "born": 1,
        }
        store.put(f"servers/a-{number:08x}", item)
        record.line(f"another writer has written servers/a-{number:08x}")
        await asyncio.sleep(OTHER_ITEM_GAP_SECONDS)


async def send_requests(
    entry: Entry, key: str, sent_by_id: dict[str, Sent], record: Record
) -> None:
    """Send requests with a key to one entry until cancelled."""
    number = 0
    while True:
        number += 1
        request_id = f"{entry.name}-{key}-{number}"
        sent = Sent(entry.name, key, time.monotonic())
        sent_by_id[request_id] = sent
        headers = request_headers(HOST, request_id, key, DEADLINE_MS)
        record.line(f"{request_id} sent")
        response = await call(
            entry.host, entry.port, "GET", "/cufi504/fi50/2f", headers
        )
        sent.status = response.status
        record.line(f"{request_id} answered {response.status}")
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)


async def play_case(record: Record) -> bool:
    """Play the case and return whether the rule has held."""
    fleet = Fleet(record)
    servers = [
        PlainServer(fleet.net.address(), f"i-{zone}", SERVICE, zone) for zone in ZONES
    ]
    keys = [f"key{number}" for number in range(10)]
    revoked = keys[:REVOCATIONS]
    version = 7
    sent_by_id: dict[str, Sent] = {}
    acknowledged_at_by_key: dict[str, float] = {}
    failures = 0
    try:
        config = make_plain_config(version, HOST, SERVICE, keys)
        await fleet.start(config, servers, ENTRIES)
        for entry in fleet.entries:
            for key in (*revoked, keys[-1]):
                fleet.run(send_requests(entry, key, sent_by_id, record))
        await asyncio.sleep(FIRST_REVOCATION_SECONDS)
        for key in revoked:
            if with_trouble():
                await write_other_items(fleet.store, record, version)
            keys.remove(key)
            version += 3
            config = make_plain_config(version, HOST, SERVICE, keys)
            acknowledged_at_by_key[key] = fleet.store.put("op/config", config)
            record.line(f"version {version} without {key} acknowledged")
            await asyncio.sleep(REVOCATION_GAP_SECONDS)
        failures = sum(entry.count_log("store reads ended") for entry in fleet.entries)
    finally:
        await fleet.end()
    ran_late = []
    for run in fleet.runs():
        sent = sent_by_id[run.request_id]
        removed_at = acknowledged_at_by_key.get(sent.key)
        if removed_at is None:
            continue
        late = sent.sent_at - removed_at
        if late > REVOCATION_SECONDS:
            ran_late.append((run.request_id, run.server, late))
            record.line(
                f"{run.server} ran {run.request_id}, sent {late:.3f} s after its key "
                "was taken away"
            )
    kept = [sent for sent in sent_by_id.values() if sent.key == keys[-1]]
    served = sum(sent.status == 200 for sent in kept)
    record.result(f"requests with a key that stays: {served} of {len(kept)} served")
    record.result(f"log lines 'store reads ended': {failures}")
    record.result(f"requests that ran with a key taken away: {len(ran_late)}")
    return not ran_late


if __name__ == "__main__":
    play(FOLDER, play_case)
