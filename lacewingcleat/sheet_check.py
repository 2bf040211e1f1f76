"""state: check a sheet and build it.

Whether a process accepts a sheet (`check_parts`) depends on the content alone: not on
the time, the sheet in force or the process. Otherwise processes would disagree about
which revision is valid. The check before publishing (`check_sheet`) also finds what
depends on the release of the time zone data.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err, Ok, Result

from lacewingcleat.fields import RecordReader
from lacewingcleat.findings import Finding, Findings
from lacewingcleat.hours import find_claim_excess, find_claim_overlaps, load_time_zone
from lacewingcleat.sheet import (
    BackendServer,
    Claim,
    ClientAccount,
    Firm,
    ModelGroup,
    Service,
    Sheet,
    Zone,
)
from lacewingcleat.sheet_parts import (
    MAX_REVISION,
    MEMBER_BY_BUCKETED_KIND,
    MEMBER_BY_SINGLE_PART,
    Manifest,
    decode_part,
    is_account_part,
    member_of_part,
    part_names,
    split_sheet,
)
from lacewingcleat.sheet_records import PlacedRecord, Record, read_record

_Record = TypeVar(
    "_Record",
    Firm,
    Zone,
    ClientAccount,
    BackendServer,
    ModelGroup,
    Service,
    Claim,
)
_Named = TypeVar(
    "_Named",
    Firm,
    Zone,
    ClientAccount,
    BackendServer,
    ModelGroup,
    Service,
)

SHEET_MEMBERS = (*MEMBER_BY_SINGLE_PART.values(), *MEMBER_BY_BUCKETED_KIND.values())
OPTIONAL_MEMBERS = {"services", "claims"}
CACHED_SHEETS = 2


@dataclass(slots=True)
class PartCache:
    """Keep what earlier checks found, so that unchanged parts cost nothing.

    :param records_by_part: records of the last checked sheet by part name and digest.
    :param sheets: the last sheets that passed, for relays that share the cache.
    """

    records_by_part: dict[tuple[str, str], tuple[PlacedRecord, ...]] = field(
        default_factory=dict
    )
    sheets: deque[tuple[Sheet, bool]] = field(
        default_factory=lambda: deque(maxlen=CACHED_SHEETS)
    )

    def sheet(self, digest: str, with_accounts: bool) -> Sheet | None:
        """Return a sheet that has passed the check with the same parts."""
        for sheet, has_accounts in self.sheets:
            if sheet.digest == digest and has_accounts == with_accounts:
                return sheet
        return None


def check_sheet(
    value: object,
    source: str,
    line_of: Callable[[str], int] | None = None,
    buckets: Mapping[str, int] | None = None,
) -> Result[Sheet, list[Finding]]:
    """Check the content of a sheet document and build the sheet.

    :param value: content as `parse_document` gives it.
    :param line_of: gives the line of a path, such as `Document.line_of`.
    :param buckets: bucket counts of the manifest, derived from the content by default.
    """
    findings = Findings(source, line_of) if line_of else Findings(source)
    reader = RecordReader(value, "", findings)
    revision = reader.integer("revision", 1, MAX_REVISION)
    placed: list[PlacedRecord] = []
    for member in SHEET_MEMBERS:
        for path, item in reader.items(member, member in OPTIONAL_MEMBERS):
            record = read_record(member, RecordReader(item, path, findings))
            placed.append(PlacedRecord(path, record))
    reader.finish()
    records = _Records(placed)
    if not findings.items:
        records.check(findings)
    if not findings.items:
        records.check_time_zones(findings)
    if findings.items or not isinstance(value, dict):
        return Err(findings.items)
    manifest = split_sheet(value, buckets).manifest
    return Ok(records.build(revision, manifest))


def check_parts(
    manifest: Manifest,
    part_by_name: Mapping[str, bytes],
    source: str,
    cache: PartCache | None = None,
    with_accounts: bool = True,
) -> Result[Sheet, list[Finding]]:
    """Check the parts of a sheet and build it with the digests of the manifest.

    :param cache: records of earlier parts; replaced by those of this sheet if it is
        valid.
    :param with_accounts: whether account parts are needed; agents hold none.
    """
    passed = cache.sheet(manifest.digest, with_accounts) if cache else None
    if passed is not None:
        return Ok(passed)
    findings = Findings(source)
    known = cache.records_by_part if cache else {}
    records_by_part: dict[tuple[str, str], tuple[PlacedRecord, ...]] = {}
    for name in part_names(manifest.buckets):
        if is_account_part(name) and not with_accounts:
            continue
        key = (name, manifest.digest_by_part.get(name, ""))
        records = known.get(key)
        if records is None:
            records = _read_part(manifest, name, part_by_name.get(name, b""), findings)
        records_by_part[key] = records
    collected = _Records(
        placed for records in records_by_part.values() for placed in records
    )
    if not findings.items:
        collected.check(findings)
    if findings.items:
        return Err(findings.items)
    sheet = collected.build(manifest.revision, manifest)
    if cache:
        cache.records_by_part = records_by_part
        cache.sheets.append((sheet, with_accounts))
    return Ok(sheet)


def _read_part(
    manifest: Manifest,
    name: str,
    part: bytes,
    findings: Findings,
) -> tuple[PlacedRecord, ...]:
    decoded = decode_part(manifest, name, part)
    if isinstance(decoded, Err):
        for finding in decoded.err_value:
            findings.add(f"{name}{finding.path}", finding.text)
        return ()
    member = member_of_part(name)
    placed: list[PlacedRecord] = []
    for index, row in enumerate(decoded.ok_value):
        path = f"{name}[{index}]"
        record = read_record(member, RecordReader(row, path, findings))
        placed.append(PlacedRecord(path, record))
    return tuple(placed)


class _Records:
    """Sort the records of one sheet and check how they fit together."""

    def __init__(self, placed: Iterable[PlacedRecord]) -> None:
        items = [(item.path, item.record) for item in placed]
        self._firms = _select(Firm, items)
        self._zones = _select(Zone, items)
        self._accounts = _select(ClientAccount, items)
        self._servers = _select(BackendServer, items)
        self._groups = _select(ModelGroup, items)
        self._services = _select(Service, items)
        self._claims = _select(Claim, items)
        self._firm_by_name = _by_name(self._firms)
        self._server_by_name = _by_name(self._servers)

    def build(self, revision: int, manifest: Manifest) -> Sheet:
        """Build the sheet; call only after a check without findings."""
        claims_by_pool = {
            pool: tuple(claim for _path, claim in placed)
            for pool, placed in self._claims_by_pool().items()
        }
        return Sheet(
            revision=revision,
            digest=manifest.digest,
            routing_digest=manifest.routing_digest,
            firm_by_name=self._firm_by_name,
            zone_by_name=_by_name(self._zones),
            account_by_name=_by_name(self._accounts),
            server_by_name=self._server_by_name,
            group_by_name=_by_name(self._groups),
            service_by_name=_by_name(self._services),
            claims_by_pool=claims_by_pool,
        )

    def check(self, findings: Findings) -> None:
        """Check that names are unique and that references resolve."""
        _check_unique(self._firms, findings)
        _check_unique(self._zones, findings)
        _check_unique(self._accounts, findings)
        _check_unique(self._servers, findings)
        _check_unique(self._groups, findings)
        _check_unique(self._services, findings)
        if not self._firms:
            findings.add("firms", "must not be empty")
        if not self._zones:
            findings.add("zones", "must not be empty")
        self._check_accounts(findings)
        self._check_servers(findings)
        self._check_uses(findings)
        self._check_claims(findings)

    def _check_accounts(self, findings: Findings) -> None:
        firms = self._firm_by_name
        account_by_key: dict[str, str] = {}
        for path, account in self._accounts:
            if account.firm not in firms:
                findings.add(f"{path}.firm", f"no firm is named {account.firm!r}")
            other = account_by_key.setdefault(account.key_sha256, account.name)
            if other != account.name:
                text = f"the key is that of account {other!r}"
                findings.add(f"{path}.key_sha256", text)

    def _check_servers(self, findings: Findings) -> None:
        zones = _by_name(self._zones)
        server_by_address: dict[str, str] = {}
        for path, server in self._servers:
            if server.zone not in zones:
                findings.add(f"{path}.zone", f"no zone is named {server.zone!r}")
            for field_name, address in (
                ("address", server.address),
                ("control_address", server.control_address),
            ):
                place = f"{server.name} {field_name}"
                other = server_by_address.setdefault(address, place)
                if other != place:
                    text = f"{address} is also the address of {other}"
                    findings.add(f"{path}.{field_name}", text)

    def _check_uses(self, findings: Findings) -> None:
        """Check that each server belongs to one group or service at most.

        An agent has one engine or service behind it.
        """
        firms = self._firm_by_name
        use_by_server: dict[str, str] = {}
        for path, group in self._groups:
            if group.firm and group.firm not in firms:
                findings.add(f"{path}.firm", f"no firm is named {group.firm!r}")
            place, use = f"{path}.ranks", f"group {group.name!r}"
            self._check_use(place, use, group.ranks, use_by_server, findings)
        for path, service in self._services:
            place, use = f"{path}.backend_servers", f"service {service.name!r}"
            self._check_use(
                place, use, service.backend_servers, use_by_server, findings
            )

    def _check_use(
        self,
        place: str,
        use: str,
        names: tuple[str, ...],
        use_by_server: dict[str, str],
        findings: Findings,
    ) -> None:
        servers = self._server_by_name
        for index, name in enumerate(names):
            if name not in servers:
                text = f"no backend server is named {name!r}"
                findings.add(f"{place}[{index}]", text)
                continue
            other = use_by_server.setdefault(name, use)
            if other != use:
                findings.add(f"{place}[{index}]", f"{name!r} already serves {other}")

    def _check_claims(self, findings: Findings) -> None:
        groups = _by_name(self._groups)
        for path, claim in self._claims:
            group = groups.get(claim.pool)
            if claim.firm not in self._firm_by_name:
                findings.add(f"{path}.firm", f"no firm is named {claim.firm!r}")
            elif group is None:
                findings.add(f"{path}.pool", f"no group is named {claim.pool!r}")
            elif group.firm:
                text = f"{claim.pool!r} belongs to {group.firm!r}; it is not shared"
                findings.add(f"{path}.pool", text)
        for placed in self._claims_by_pool().values():
            claims = [claim for _path, claim in placed]
            for conflict in find_claim_overlaps(claims):
                findings.add(placed[conflict.index][0], conflict.text)

    def check_time_zones(self, findings: Findings) -> None:
        """Check what depends on the release of the time zone data."""
        for path, firm in self._firms:
            if load_time_zone(firm.time_zone) is None:
                text = f"{firm.time_zone!r} is not an IANA time zone"
                findings.add(f"{path}.time_zone", text)
        for placed in self._claims_by_pool().values():
            claims = [claim for _path, claim in placed]
            for conflict in find_claim_excess(claims, self._firm_by_name):
                findings.add(placed[conflict.index][0], conflict.text)

    def _claims_by_pool(self) -> dict[str, list[tuple[str, Claim]]]:
        placed_by_pool: dict[str, list[tuple[str, Claim]]] = {}
        for path, claim in self._claims:
            placed_by_pool.setdefault(claim.pool, []).append((path, claim))
        return placed_by_pool


def _select(
    kind: type[_Record],
    items: Iterable[tuple[str, Record]],
) -> list[tuple[str, _Record]]:
    return [(path, record) for path, record in items if isinstance(record, kind)]


def _by_name(items: Iterable[tuple[str, _Named]]) -> dict[str, _Named]:
    return {record.name: record for _path, record in items}


def _check_unique(items: Iterable[tuple[str, _Named]], findings: Findings) -> None:
    seen: set[str] = set()
    for path, record in items:
        if record.name in seen:
            findings.add(f"{path}.name", f"{record.name!r} is used twice")
        seen.add(record.name)
