"""state: validate sheets and build `Sheet` objects.

The check that a running process makes (`check_parts`) depends only on the content of
the sheet, not on the time, the current sheet or the process. Otherwise processes would
disagree about which revision is valid. The check before publishing (`check_sheet`)
also reports errors that depend on the release of the time zone data.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from result import Err, Ok, Result

from lacewingcleat.fields import RecordReader
from lacewingcleat.findings import Finding, Findings
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_parts import (
    MAX_PART_BYTES,
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
from lacewingcleat.sheet_records import LocatedRecord, read_record
from lacewingcleat.sheet_tables import SheetTables, build_tables

SHEET_MEMBERS = (*MEMBER_BY_SINGLE_PART.values(), *MEMBER_BY_BUCKETED_KIND.values())
OPTIONAL_MEMBERS = {"services", "claims"}
MAX_CACHED_SHEETS = 2

PartKey = tuple[str, str]


@dataclass(slots=True)
class PartCache:
    """Cache results of earlier checks, so that unchanged parts are not checked again.

    :param records_by_part: records of the last valid sheet by part name and digest.
    :param keys_by_member: part keys of each top-level member of that sheet.
    :param tables: all records of that sheet.
    :param routing_digest: routing digest of that sheet.
    :param sheets: the last valid sheets, each with whether it includes accounts, for
        relays that share the cache.
    """

    records_by_part: dict[PartKey, tuple[LocatedRecord, ...]] = field(
        default_factory=dict
    )
    keys_by_member: dict[str, list[PartKey]] = field(default_factory=dict)
    tables: SheetTables | None = None
    routing_digest: str = ""
    sheets: deque[tuple[Sheet, bool]] = field(
        default_factory=lambda: deque(maxlen=MAX_CACHED_SHEETS)
    )

    def find_sheet(self, digest: str, with_accounts: bool) -> Sheet | None:
        """Return the cached sheet with this manifest digest, or None."""
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
    """Validate the content of a sheet document and build the sheet.

    :param value: content of the document, as returned by `parse_document`.
    :param source: name of the document in findings.
    :param line_of: returns the line of a path, such as `Document.line_of`.
    :param buckets: bucket counts of the manifest, derived from the content by default.
    """
    findings = Findings(source, line_of) if line_of else Findings(source)
    reader = RecordReader(value, "", findings)
    revision = reader.integer("revision", 1, MAX_REVISION)
    records_by_member = {
        member: _read_records(
            member, reader.items(member, member in OPTIONAL_MEMBERS), findings
        )
        for member in SHEET_MEMBERS
    }
    reader.report_unknown_members()
    tables = build_tables(records_by_member)
    _check_references(tables, findings, Findings(source, findings.line_of))
    if not findings.items:
        tables.check_time_zones(findings)
    if findings.items or not isinstance(value, dict):
        return Err(findings.items)
    split = split_sheet(value, buckets)
    for name, part in split.part_by_name.items():
        if len(part) > MAX_PART_BYTES:
            text = f"part {name} exceeds {MAX_PART_BYTES} bytes; use more buckets"
            findings.add(member_of_part(name), text)
    if findings.items:
        return Err(findings.items)
    return Ok(tables.build(revision, split.manifest))


def _check_references(
    tables: SheetTables,
    findings: Findings,
    reference_findings: Findings,
) -> None:
    """Check references between records and add findings for the broken ones.

    A malformed value has been replaced by a placeholder, so a broken reference at a
    path that is already reported is only a consequence and is left out.

    :param findings: findings of the records themselves, to which new ones are added.
    :param reference_findings: empty collection for the findings of this check.
    """
    tables.check_accounts(reference_findings)
    tables.check_routing(reference_findings)
    reported = {finding.path for finding in findings.items}
    for finding in reference_findings.items:
        if finding.path not in reported:
            findings.add(finding.path, finding.text)


def check_parts(
    manifest: Manifest,
    part_by_name: Mapping[str, bytes],
    source: str,
    cache: PartCache | None = None,
    with_accounts: bool = True,
) -> Result[Sheet, list[Finding]]:
    """Validate the parts of a sheet and build it with the digests of the manifest.

    :param source: name of the sheet in findings.
    :param cache: results of earlier checks; updated with those of this sheet if it is
        valid.
    :param with_accounts: whether account parts are required; agents do not have them.
    """
    cache = cache or PartCache()
    cached_sheet = cache.find_sheet(manifest.digest, with_accounts)
    if cached_sheet is not None:
        return Ok(cached_sheet)
    findings = Findings(source)
    keys_by_member: dict[str, list[PartKey]] = {}
    for name in part_names(manifest.buckets):
        if with_accounts or not is_account_part(name):
            key = (name, manifest.digest_by_part.get(name, ""))
            keys_by_member.setdefault(member_of_part(name), []).append(key)
    records_by_part: dict[PartKey, tuple[LocatedRecord, ...]] = {}
    for key in (key for keys in keys_by_member.values() for key in keys):
        records = cache.records_by_part.get(key)
        if records is None:
            part = part_by_name.get(key[0], b"")
            records = _read_part(manifest, key[0], part, findings)
        records_by_part[key] = records
    unchanged = [
        member
        for member, keys in keys_by_member.items()
        if cache.keys_by_member.get(member) == keys
    ]
    records_by_member = {
        member: [record for key in keys for record in records_by_part[key]]
        for member, keys in keys_by_member.items()
        if member not in unchanged or member == "claims"
    }
    tables = build_tables(records_by_member, cache.tables, unchanged)
    if not findings.items:
        tables.check_accounts(findings)
        if cache.routing_digest != manifest.routing_digest:
            tables.check_routing(findings)
    if findings.items:
        return Err(findings.items)
    sheet = tables.build(manifest.revision, manifest)
    cache.records_by_part = records_by_part
    cache.keys_by_member = keys_by_member
    cache.tables = tables
    cache.routing_digest = manifest.routing_digest
    cache.sheets.append((sheet, with_accounts))
    return Ok(sheet)


def _read_part(
    manifest: Manifest,
    name: str,
    part: bytes,
    findings: Findings,
) -> tuple[LocatedRecord, ...]:
    decoded = decode_part(manifest, name, part)
    if isinstance(decoded, Err):
        for finding in decoded.err_value:
            findings.add(f"{name}{finding.path}", finding.text)
        return ()
    items = ((f"{name}[{index}]", row) for index, row in enumerate(decoded.ok_value))
    return _read_records(member_of_part(name), items, findings)


def _read_records(
    member: str,
    items: Iterable[tuple[str, object]],
    findings: Findings,
) -> tuple[LocatedRecord, ...]:
    return tuple(
        LocatedRecord(path, read_record(member, RecordReader(item, path, findings)))
        for path, item in items
    )
