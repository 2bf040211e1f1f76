"""state: read and validate the individual records of a sheet.

References between records are checked in `sheet_check`. A relay caches the records of
unchanged parts, so that after a change only the changed parts are read again.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass

from lacewingcleat.claim_hours import is_time_zone_name
from lacewingcleat.fields import RecordReader
from lacewingcleat.sheet import (
    DEFAULT_PRIORITY,
    DEFAULT_TICKET_SECONDS,
    LEAST_URGENT_PRIORITY,
    MOST_URGENT_PRIORITY,
    BackendServer,
    Claim,
    ClientAccount,
    Firm,
    IdempotentRule,
    ModelGroup,
    ServerState,
    Service,
    Zone,
)

DAY_NAMES = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MINUTES_PER_DAY = 24 * 60
SHARED_POOL_FIRM = "shared"
ALLOWED_METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE", "*")
MAX_WEIGHT = 1_000.0
# A stored response occupies the agent's memory for the lifetime of its ticket, so the
# lifetime is limited to one day.
MAX_TICKET_SECONDS = 86_400.0
MAX_RANKS = 4_096

_KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_TIME_PATTERN = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])|24:00")

Record = Firm | Zone | ClientAccount | BackendServer | ModelGroup | Service | Claim


@dataclass(frozen=True, slots=True)
class LocatedRecord:
    """Represent a record together with its path in the document."""

    path: str
    record: Record


def read_record(member: str, reader: RecordReader) -> Record:
    """Read one record of a top-level member of the sheet."""
    record = _READER_BY_MEMBER[member](reader)
    reader.report_unknown_members()
    return record


def _read_firm(reader: RecordReader) -> Firm:
    time_zone = reader.text("time_zone")
    if time_zone and not is_time_zone_name(time_zone):
        reader.report(
            "time_zone", "must be an IANA time zone, such as Pacific/Auckland"
        )
    return Firm(
        name=reader.name("name"),
        time_zone=time_zone,
        skew_weight=reader.number("skew_weight", 0, MAX_WEIGHT),
        rebalance_weight=reader.number("rebalance_weight", 0, MAX_WEIGHT),
    )


def _read_zone(reader: RecordReader) -> Zone:
    return Zone(
        name=reader.name("name"),
        region=reader.name("region"),
        entries=reader.integer("entries", 1, 10_000),
    )


def _read_account(reader: RecordReader) -> ClientAccount:
    key_hash = reader.text("key_sha256")
    if key_hash and not _KEY_HASH_PATTERN.fullmatch(key_hash):
        reader.report("key_sha256", "must be 64 lower-case hexadecimal digits")
    return ClientAccount(
        name=reader.name("name"),
        firm=reader.name("firm"),
        key_sha256=key_hash,
        requests_per_second=reader.number("requests_per_second", 0.001),
        concurrency=reader.integer("concurrency", 1),
        tokens_per_minute=reader.number("tokens_per_minute", 1),
        max_priority=reader.integer(
            "max_priority",
            MOST_URGENT_PRIORITY,
            LEAST_URGENT_PRIORITY,
            DEFAULT_PRIORITY,
        ),
    )


def _read_server(reader: RecordReader) -> BackendServer:
    states = [state.value for state in ServerState]
    return BackendServer(
        name=reader.name("name"),
        zone=reader.name("zone"),
        address=reader.address("address"),
        control_address=reader.address("control_address"),
        state=ServerState(reader.choice("state", states)),
        slots=reader.integer("slots", 1, 100_000),
        checks_fencing=reader.flag("checks_fencing", False),
    )


def _read_group(reader: RecordReader) -> ModelGroup:
    firm = reader.name("firm")
    ranks = reader.names("ranks")
    if not 1 <= len(ranks) <= MAX_RANKS:
        reader.report("ranks", f"must name 1 to {MAX_RANKS} backend servers")
    versions = reader.names("versions")
    if not versions:
        reader.report("versions", "must name at least one version")
    return ModelGroup(
        name=reader.name("name"),
        model=reader.name("model"),
        versions=tuple(versions),
        adapters=tuple(reader.names("adapters", ())),
        ranks=tuple(ranks),
        firm="" if firm == SHARED_POOL_FIRM else firm,
        experts=reader.integer("experts", 1, 65_536),
        layers=reader.integer("layers", 1, 4_096),
        weight=reader.number("weight", 0, MAX_WEIGHT, 1.0),
    )


def _read_service(reader: RecordReader) -> Service:
    servers = reader.names("backend_servers")
    if not servers:
        reader.report("backend_servers", "must name at least one backend server")
    return Service(
        name=reader.name("name"),
        backend_servers=tuple(servers),
        idempotent=tuple(
            _read_idempotent_rule(rule)
            for rule in reader.records("idempotent", optional=True)
        ),
        require_ticket=reader.flag("require_ticket", False),
        ticket_seconds=reader.number(
            "ticket_seconds", 1, MAX_TICKET_SECONDS, DEFAULT_TICKET_SECONDS
        ),
    )


def _read_idempotent_rule(reader: RecordReader) -> IdempotentRule:
    path_prefix = reader.text("path_prefix")
    if path_prefix and not path_prefix.startswith("/"):
        reader.report("path_prefix", "must begin with a slash")
    rule = IdempotentRule(reader.choice("method", ALLOWED_METHODS), path_prefix)
    reader.report_unknown_members()
    return rule


def _read_claim(reader: RecordReader) -> Claim:
    share = reader.number("share", 0, 1)
    days = reader.names("days")
    for index, day in enumerate(days):
        if day not in DAY_NAMES:
            reader.report(f"days[{index}]", f"must be one of {', '.join(DAY_NAMES)}")
    if not days:
        reader.report("days", "must name at least one day")
    return Claim(
        pool=reader.name("pool"),
        firm=reader.name("firm"),
        days=tuple(sorted(DAY_NAMES.index(day) for day in days if day in DAY_NAMES)),
        from_minute=_read_minute(reader, "from") % MINUTES_PER_DAY,
        to_minute=_read_minute(reader, "to"),
        share=share,
    )


def _read_minute(reader: RecordReader, name: str) -> int:
    text = reader.text(name)
    if not _TIME_PATTERN.fullmatch(text):
        if text:
            reader.report(name, "must be a local time from 00:00 to 24:00")
        return 0
    hour, _, minute = text.partition(":")
    return int(hour) * 60 + int(minute)


_READER_BY_MEMBER: dict[str, Callable[[RecordReader], Record]] = {
    "firms": _read_firm,
    "zones": _read_zone,
    "client_accounts": _read_account,
    "backend_servers": _read_server,
    "model_groups": _read_group,
    "services": _read_service,
    "claims": _read_claim,
}
