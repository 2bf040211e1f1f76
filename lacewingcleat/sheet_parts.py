"""state: the parts in which a sheet is distributed, and the manifest that lists them.

Firms, zones, claims and services are one part each. Groups, servers and accounts are
divided into buckets by a hash of the record's name, so that a change of one record
changes only one small part. A part is a list of records as canonical JSON and is
addressed by its digest.
"""

import json
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b

from result import Err, Ok, Result

from lacewingcleat.documents import DocumentError, load_plain_json
from lacewingcleat.fields import RecordReader
from lacewingcleat.findings import Finding, Findings

MAX_REVISION = 2**53
MAX_BUCKETS = 1_024
DIGEST_BYTES = 16
# A part must fit into one value of the configuration service (1 MB) and, with its
# envelope, into one control message (1 MiB).
MAX_PART_BYTES = 900_000
MEMBER_BY_SINGLE_PART = {
    "firms": "firms",
    "zones": "zones",
    "claims": "claims",
    "services": "services",
}
MEMBER_BY_BUCKETED_KIND = {
    "groups": "model_groups",
    "servers": "backend_servers",
    "accounts": "client_accounts",
}
ACCOUNTS_KIND = "accounts"
# Most changes concern one account, so account parts are the smallest: about 6 KB. A
# group of 256 ranks alone takes 4 KB.
RECORDS_PER_BUCKET = {"groups": 2, "servers": 96, "accounts": 24}


@dataclass(frozen=True, slots=True)
class Manifest:
    """List the digests of the parts of one revision.

    :param digest_by_part: digest of each part, such as `zones` or `accounts-03`.
    :param buckets: number of parts by bucketed kind.
    :param digest: digest of all fields above; derived.
    :param routing_digest: digest of all parts other than account parts; derived.
    """

    revision: int
    digest_by_part: Mapping[str, str]
    buckets: Mapping[str, int]
    digest: str = field(init=False)
    routing_digest: str = field(init=False)

    def __post_init__(self) -> None:
        """Compute the derived digests."""
        parts = dict(self.digest_by_part)
        content = [self.revision, parts, dict(self.buckets)]
        routing_parts = {
            name: parts[name] for name in parts if not is_account_part(name)
        }
        object.__setattr__(self, "digest", digest_part(encode_canonical(content)))
        routing_digest = digest_part(encode_canonical(routing_parts))
        object.__setattr__(self, "routing_digest", routing_digest)


@dataclass(frozen=True, slots=True)
class SplitSheet:
    """Represent a sheet as a manifest and parts encoded as canonical JSON."""

    manifest: Manifest
    part_by_name: Mapping[str, bytes]

    @property
    def part_by_digest(self) -> dict[str, bytes]:
        """Return the parts by digest, the key under which they are stored."""
        digests = self.manifest.digest_by_part
        return {digests[name]: part for name, part in self.part_by_name.items()}


def encode_canonical(value: object) -> bytes:
    """Encode a value as JSON so that equal values give equal bytes."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def digest_part(part: bytes) -> str:
    """Return the BLAKE2b-128 digest of a part as hex."""
    return blake2b(part, digest_size=DIGEST_BYTES).hexdigest()


def pack_part(part: bytes) -> bytes:
    """Compress a part for a control message; server parts shrink to a tenth."""
    return zlib.compress(part)


def unpack_part(packed: bytes) -> bytes | None:
    """Decompress a part of a control message; return None if damaged or too large."""
    decompressor = zlib.decompressobj()
    try:
        part = decompressor.decompress(packed, MAX_PART_BYTES)
    except zlib.error:
        return None
    return part if decompressor.eof else None


def is_account_part(name: str) -> bool:
    """Return whether a part contains accounts, which agents do not need."""
    return name.startswith("accounts-")


def part_names(buckets: Mapping[str, int]) -> list[str]:
    """Return the names of all parts of a sheet with these bucket counts."""
    names = list(MEMBER_BY_SINGLE_PART)
    for kind in MEMBER_BY_BUCKETED_KIND:
        names += _bucket_names(kind, buckets[kind])
    return names


def choose_bucket_counts(record_counts: Mapping[str, int]) -> dict[str, int]:
    """Return the bucket count of each kind, a power of two, for its record count."""
    return {
        kind: min(
            _round_up_to_power_of_two(-(-record_counts[kind] // per_bucket)),
            MAX_BUCKETS,
        )
        for kind, per_bucket in RECORDS_PER_BUCKET.items()
    }


def split_sheet(
    value: Mapping[str, object],
    buckets: Mapping[str, int] | None = None,
) -> SplitSheet:
    """Split a valid sheet into parts.

    :param value: content of a sheet that has passed `check_sheet`.
    :param buckets: bucket counts, derived from the content by default; an exporter
        that reuses the previous counts avoids a full transfer when the number of
        records crosses a power of two.
    """
    records_by_kind = {
        kind: _get_records(value, kind) for kind in MEMBER_BY_BUCKETED_KIND
    }
    if buckets is None:
        buckets = choose_bucket_counts(
            {kind: len(rows) for kind, rows in records_by_kind.items()}
        )
    rows_by_part: dict[str, list[object]] = {name: [] for name in part_names(buckets)}
    for part, member in MEMBER_BY_SINGLE_PART.items():
        rows_by_part[part] = _get_rows(value, member)
    for kind, rows in records_by_kind.items():
        names = _bucket_names(kind, buckets[kind])
        for row in rows:
            rows_by_part[names[bucket_of(row["name"], buckets[kind])]].append(row)
    parts = {name: _encode_rows(rows) for name, rows in rows_by_part.items()}
    digests = {name: digest_part(part) for name, part in parts.items()}
    revision = value["revision"]
    if not isinstance(revision, int):
        raise TypeError("split_sheet needs the content of a checked sheet")
    return SplitSheet(Manifest(revision, digests, dict(buckets)), parts)


def join_parts(
    manifest: Manifest,
    part_by_name: Mapping[str, bytes],
) -> Result[dict[str, object], list[Finding]]:
    """Join parts into the content of a sheet; the inverse of `split_sheet`."""
    value: dict[str, object] = {"revision": manifest.revision}
    findings: list[Finding] = []
    rows_by_member: dict[str, list[object]] = {}
    for name in part_names(manifest.buckets):
        decoded = decode_part(manifest, name, part_by_name.get(name, b""))
        if isinstance(decoded, Err):
            findings += decoded.err_value
            continue
        rows = rows_by_member.setdefault(member_of_part(name), [])
        rows += decoded.ok_value
    value.update(rows_by_member)
    return Err(findings) if findings else Ok(value)


def decode_part(
    manifest: Manifest,
    name: str,
    part: bytes,
) -> Result[list[object], list[Finding]]:
    """Decode a part after checking its size, digest and the buckets of its records."""
    if len(part) > MAX_PART_BYTES:
        return Err([Finding(name, 0, "", f"the part exceeds {MAX_PART_BYTES} bytes")])
    if digest_part(part) != manifest.digest_by_part.get(name):
        return Err([Finding(name, 0, "", "the part does not match its digest")])
    try:
        rows = load_plain_json(part)
    except DocumentError as error:
        return Err([Finding(name, 0, error.path, error.text)])
    except ValueError as error:
        return Err([Finding(name, 0, "", f"not JSON: {error}")])
    if not isinstance(rows, list):
        return Err([Finding(name, 0, "", "must be a list of records")])
    kind, _, bucket = name.partition("-")
    if not bucket:
        return Ok(rows)
    findings = Findings(name)
    count = manifest.buckets[kind]
    for index, row in enumerate(rows):
        row_name = row.get("name") if isinstance(row, dict) else None
        if not isinstance(row_name, str):
            findings.add(f"[{index}]", "must be an object with a name")
        elif bucket_of(row_name, count) != int(bucket):
            findings.add(f"[{index}].name", f"{row_name!r} belongs to another bucket")
    return Err(findings.items) if findings.items else Ok(rows)


def member_of_part(name: str) -> str:
    """Return the top-level member of the sheet that a part belongs to."""
    kind = name.partition("-")[0]
    return MEMBER_BY_SINGLE_PART.get(kind) or MEMBER_BY_BUCKETED_KIND[kind]


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest for storage in the configuration service.

    Bucketed kinds are lists of digests in bucket order, which is a third shorter than
    an object with the name of each part.
    """
    digests = manifest.digest_by_part
    parts: dict[str, object] = {name: digests[name] for name in MEMBER_BY_SINGLE_PART}
    for kind in MEMBER_BY_BUCKETED_KIND:
        names = _bucket_names(kind, manifest.buckets[kind])
        parts[kind] = [digests[name] for name in names]
    return encode_canonical({"revision": manifest.revision, "parts": parts})


def decode_manifest(text: str | bytes, source: str) -> Result[Manifest, list[Finding]]:
    """Decode a manifest from the configuration service."""
    try:
        value = load_plain_json(text)
    except ValueError as error:
        return Err([Finding(source, 0, "", f"not a manifest: {error}")])
    findings = Findings(source)
    reader = RecordReader(value, "", findings)
    revision = reader.integer("revision", 1, MAX_REVISION)
    parts = reader.record("parts")
    reader.report_unknown_members()
    digest_by_part = {
        name: _read_digest(parts, name, parts.text(name))
        for name in MEMBER_BY_SINGLE_PART
    }
    buckets: dict[str, int] = {}
    for kind in MEMBER_BY_BUCKETED_KIND:
        digests = [value for _path, value in parts.items(kind)]
        buckets[kind] = len(digests)
        if not is_bucket_count(len(digests)):
            parts.report(kind, f"must be a list of 1 to {MAX_BUCKETS} digests")
            continue
        names = _bucket_names(kind, len(digests))
        for name, digest in zip(names, digests, strict=True):
            digest_by_part[name] = _read_digest(parts, kind, digest)
    parts.report_unknown_members()
    if findings.items:
        return Err(findings.items)
    return Ok(Manifest(revision, digest_by_part, buckets))


def is_digest(value: object) -> bool:
    """Return whether a value has the form of a part's digest."""
    return (
        isinstance(value, str)
        and len(value) == 2 * DIGEST_BYTES
        and set(value) <= set("0123456789abcdef")
    )


def is_bucket_count(value: object) -> bool:
    """Return whether a value is a valid bucket count."""
    return isinstance(value, int) and 1 <= value <= MAX_BUCKETS


def bucket_of(name: str, count: int) -> int:
    """Return the bucket of a record.

    The result must be the same in every process and every version of the package.
    """
    digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=4).digest()
    return int.from_bytes(digest) % count


def _read_digest(reader: RecordReader, name: str, value: object) -> str:
    if is_digest(value):
        return str(value)
    reader.report(name, f"must be {2 * DIGEST_BYTES} hexadecimal digits")
    return ""


@lru_cache(maxsize=64)
def _bucket_names(kind: str, count: int) -> tuple[str, ...]:
    return tuple(f"{kind}-{index:02d}" for index in range(count))


def _round_up_to_power_of_two(count: int) -> int:
    return 1 << max(count - 1, 0).bit_length()


def _encode_rows(rows: Iterable[object]) -> bytes:
    return b"[" + b",".join(sorted(encode_canonical(row) for row in rows)) + b"]"


def _get_rows(value: Mapping[str, object], member: str) -> list[object]:
    rows = value.get(member, [])
    return rows if isinstance(rows, list) else []


def _get_records(value: Mapping[str, object], kind: str) -> list[dict[str, str]]:
    rows = _get_rows(value, MEMBER_BY_BUCKETED_KIND[kind])
    return [row for row in rows if isinstance(row, dict)]
