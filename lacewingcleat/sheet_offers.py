"""state: offers of a revision, as the difference from one the receiver may hold."""

from result import Err, Ok, Result

from lacewingcleat.messages import SheetOffer
from lacewingcleat.sheet_parts import (
    MAX_REVISION,
    MEMBER_BY_BUCKETED_KIND,
    Manifest,
    is_bucket_count,
    is_digest,
    part_names,
)


def make_offer(
    manifest: Manifest,
    base: Manifest | None,
    read_seconds: float = 0.0,
    relay_seconds: float = 0.0,
    query_id: str = "",
) -> SheetOffer:
    """Describe a manifest by its difference from a base, or in full without one."""
    base_digest_by_part = base.digest_by_part if base else {}
    digest_by_part = manifest.digest_by_part
    changed = {
        name: digest
        for name, digest in digest_by_part.items()
        if base_digest_by_part.get(name) != digest
    }
    removed = {name: "" for name in base_digest_by_part if name not in digest_by_part}
    return SheetOffer(
        base_revision=base.revision if base else 0,
        base_digest=base.digest if base else "",
        revision=manifest.revision,
        digest=manifest.digest,
        digest_by_part={**changed, **removed},
        buckets=dict(sorted(manifest.buckets.items())),
        read_seconds=read_seconds,
        relay_seconds=relay_seconds,
        query_id=query_id,
    )


def apply_offer(offer: SheetOffer, base: Manifest | None) -> Result[Manifest, str]:
    """Rebuild the manifest that a peer offers.

    The offer is checked in full, because a peer may run another version.

    :param base: the manifest with the offer's base digest, None for a full offer.
    """
    if not 1 <= offer.revision <= MAX_REVISION:
        return Err("the revision is out of range")
    if set(offer.buckets) != set(MEMBER_BY_BUCKETED_KIND):
        return Err("the bucket counts do not name each kind of part")
    if not all(is_bucket_count(count) for count in offer.buckets.values()):
        return Err("a bucket count is out of range")
    digest_by_part = dict(base.digest_by_part) if base else {}
    digest_by_part.update(offer.digest_by_part)
    names = part_names(offer.buckets)
    if not all(is_digest(digest_by_part.get(name)) for name in names):
        return Err("a part has no digest")
    parts = {name: digest_by_part[name] for name in names}
    manifest = Manifest(offer.revision, parts, dict(offer.buckets))
    if manifest.digest != offer.digest:
        return Err("the manifest does not match its digest")
    return Ok(manifest)
