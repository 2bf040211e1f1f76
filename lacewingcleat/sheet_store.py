"""coordination: manifests and parts held by a process.

Peers may still request parts of a revision that has just been replaced, so the last few
manifests are retained. Parts not referenced by a retained manifest are evicted, which
bounds memory.
"""

from collections.abc import Iterable

from lacewingcleat.sheet_parts import Manifest, digest_part, is_account_part, pack_part

MAX_RETAINED_MANIFESTS = 8


class SheetStore:
    """Store the most recent manifests that were in force, and their parts.

    :param with_accounts: whether account parts are stored; agents store none.
    """

    __slots__ = (
        "_manifests",
        "_packed_by_digest",
        "_part_by_digest",
        "_with_accounts",
    )

    def __init__(self, with_accounts: bool) -> None:
        self._with_accounts = with_accounts
        self._manifests: list[Manifest] = []
        self._part_by_digest: dict[str, bytes] = {}
        self._packed_by_digest: dict[str, bytes] = {}

    @property
    def part_count(self) -> int:
        """Return the number of parts held."""
        return len(self._part_by_digest)

    def find_manifest(self, digest: str) -> Manifest | None:
        """Return the retained manifest with a digest."""
        for manifest in reversed(self._manifests):
            if manifest.digest == digest:
                return manifest
        return None

    def needed_digests(self, manifest: Manifest) -> dict[str, str]:
        """Return the digests of the parts that this process needs, by part name."""
        return {
            name: digest
            for name, digest in manifest.digest_by_part.items()
            if self._with_accounts or not is_account_part(name)
        }

    def missing_digests(self, manifest: Manifest) -> list[str]:
        """Return the digests of needed parts that are not held, without duplicates."""
        needed = self.needed_digests(manifest).values()
        held = self._part_by_digest
        return [digest for digest in dict.fromkeys(needed) if digest not in held]

    def packed_part(self, digest: str) -> bytes | None:
        """Return a part compressed for sending; it is compressed only once."""
        packed = self._packed_by_digest.get(digest)
        part = self._part_by_digest.get(digest)
        if packed is None and part is not None:
            packed = self._packed_by_digest[digest] = pack_part(part)
        return packed

    def held_parts_by_name(self, manifest: Manifest) -> dict[str, bytes]:
        """Return the needed parts of a manifest that are held, by part name."""
        held = self._part_by_digest
        return {
            name: held[digest]
            for name, digest in self.needed_digests(manifest).items()
            if digest in held
        }

    def add_part(self, digest: str, part: bytes) -> bool:
        """Store a part if it matches its digest.

        :return: whether it matches.
        """
        if digest_part(part) != digest:
            return False
        self._part_by_digest[digest] = part
        return True

    def retain_manifest(self, manifest: Manifest) -> None:
        """Retain a manifest that has been put in force, and drop the oldest one."""
        self._manifests.append(manifest)
        del self._manifests[:-MAX_RETAINED_MANIFESTS]

    def evict_unreferenced_parts(self, pending: Iterable[Manifest]) -> None:
        """Evict parts that no retained or pending manifest references.

        :param pending: manifests whose parts are being fetched.
        """
        referenced_digests: set[str] = set()
        for manifest in (*self._manifests, *pending):
            referenced_digests.update(manifest.digest_by_part.values())
        for digest in self._part_by_digest.keys() - referenced_digests:
            del self._part_by_digest[digest]
            self._packed_by_digest.pop(digest, None)
