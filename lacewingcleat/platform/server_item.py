"""protocol: format of a backend server's record in the platform's store."""

import re
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from lacewingcleat.addresses import Address
from lacewingcleat.platform.json_body import decode_json
from lacewingcleat.server_record import ServerRecord

SERVER_PREFIX = "servers/"
STATE_READY = "ready"
STATE_DRAINING = "draining"
# Largest numbers of which estimates and identifiers of a run are exact.
MAX_SLOTS = 1_000_000
MAX_UNIX_MS = 1 << 53
MS_PER_SECOND = 1000.0
# Longest time for which a server is taken to be cold, far above that of any deployment.
MAX_COLD_MS = 600_000.0
# Names are sent in a header.
_NAME = re.compile(r"[!-~]{1,200}")


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
    state: str
    born: Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)] = 0
    # Decoded apart, since a value out of range must not cost the service a server.
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b"0")


_ColdMs = Annotated[float, Meta(ge=0.0, le=MAX_COLD_MS)]


def decode_server(key: str, data: bytes) -> Result[ServerRecord, str]:
    """Decode the record of a server, or return an error message."""
    name = key.removeprefix(SERVER_PREFIX)
    if not _NAME.fullmatch(name):
        return Err(f"malformed name {name[:40]!r}")
    decoded = decode_json(data, _Entry)
    if isinstance(decoded, Err):
        return decoded
    entry = decoded.ok_value
    if entry.state not in (STATE_READY, STATE_DRAINING):
        return Err(f"unknown state {entry.state[:40]!r}")
    if Address.parse(entry.address) is None:
        return Err(f"malformed address {entry.address[:60]!r}")
    return Ok(
        ServerRecord(
            name=name,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=max(1, entry.slots),
            leaving=entry.state == STATE_DRAINING,
            started_ms=entry.born,
            cold_seconds=_decode_cold_seconds(entry.cold_remaining_ms),
        ),
    )


def _decode_cold_seconds(data: msgspec.Raw) -> float:
    """Return the time for which a server is cold, 0 if the value is out of range.

    A start is noticed by the time of the start as well.
    """
    decoded = decode_json(bytes(data), _ColdMs)
    return 0.0 if isinstance(decoded, Err) else decoded.ok_value / MS_PER_SECOND
