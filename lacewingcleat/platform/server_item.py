"""protocol: format of a backend server's record in the platform's store."""

import msgspec
from result import Err, Ok, Result

from lacewingcleat.addresses import Address
from lacewingcleat.platform.json_body import decode_json
from lacewingcleat.server_record import ServerRecord

SERVER_PREFIX = "servers/"
STATE_READY = "ready"
STATE_DRAINING = "draining"


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int = 0


def decode_server(key: str, data: bytes) -> Result[ServerRecord, str]:
    """Decode the record of a server, or return an error message."""
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
            name=key.removeprefix(SERVER_PREFIX),
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=max(1, entry.slots),
            leaving=entry.state == STATE_DRAINING,
            started_ms=entry.born,
        ),
    )
