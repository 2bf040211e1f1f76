"""coordination: provide peers with the revision in force: its manifest and parts."""

from lacewingcleat.messages import PartReply, SheetOffer
from lacewingcleat.sheet_offers import make_offer
from lacewingcleat.sheet_parts import Manifest
from lacewingcleat.sheet_store import SheetStore

# Keeps replies well below the 1 MiB limit of a control message.
MAX_REPLY_BYTES = 256 * 1024
MAX_REQUESTED_DIGESTS = 64


class SheetProvider:
    """Build offers of the revision in force and reply to requests for parts."""

    __slots__ = (
        "_in_force_at",
        "_read_seconds",
        "_relay_seconds",
        "_store",
        "manifest",
    )

    def __init__(self, store: SheetStore) -> None:
        self._store = store
        self._in_force_at = 0.0
        self._read_seconds = 0.0
        self._relay_seconds = 0.0
        self.manifest: Manifest | None = None

    def put_in_force(
        self,
        manifest: Manifest,
        now: float,
        read_seconds: float,
        relay_seconds: float,
    ) -> None:
        """Set the revision to offer from now on.

        :param read_seconds: see `SheetOffer`.
        :param relay_seconds: see `SheetOffer`; the value at `now`.
        """
        self.manifest = manifest
        self._in_force_at = now
        self._read_seconds = read_seconds
        self._relay_seconds = relay_seconds
        self._store.retain_manifest(manifest)
        self._store.evict_unreferenced_parts([])

    def build_offer(
        self, base_digest: str, now: float, query_id: str = ""
    ) -> SheetOffer:
        """Build an offer of the revision in force, as a difference from a base.

        :param base_digest: digest of the manifest that the receiver holds; the offer
            contains the full manifest if that one is not retained here.
        """
        if self.manifest is None:
            raise RuntimeError("cannot build an offer: no sheet is in force")
        seconds_in_force = max(now - self._in_force_at, 0.0)
        return make_offer(
            self.manifest,
            self._store.find_manifest(base_digest),
            self._read_seconds,
            self._relay_seconds + seconds_in_force,
            query_id,
        )

    def build_reply(self, digests: tuple[str, ...]) -> PartReply:
        """Return the requested parts that are held, up to the size of one reply.

        An empty reply makes the requester continue with another peer.
        """
        packed_by_digest: dict[str, bytes] = {}
        reply_bytes = 0
        for digest in digests[:MAX_REQUESTED_DIGESTS]:
            part = self._store.packed_part(digest)
            if part is None:
                continue
            reply_bytes += len(part)
            if packed_by_digest and reply_bytes > MAX_REPLY_BYTES:
                break
            packed_by_digest[digest] = part
        return PartReply(packed_by_digest)
