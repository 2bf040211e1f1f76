"""coordination: serve the revision in force to peers."""

from lacewingcleat.messages import PartReply, SheetOffer
from lacewingcleat.sheet_offers import make_offer
from lacewingcleat.sheet_parts import Manifest
from lacewingcleat.sheet_store import SheetStore

# Replies stay far below the limit of 1 MiB of a control message.
REPLY_BYTES = 256 * 1024
MAX_REQUESTED_DIGESTS = 64


class SheetSource:
    """Make offers of the revision in force and answer requests for parts."""

    __slots__ = ("_read_seconds", "_relay_seconds", "_since", "_store", "manifest")

    def __init__(self, store: SheetStore) -> None:
        self._store = store
        self._since = 0.0
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
        """Serve a revision from now on.

        :param relay_seconds: see `SheetOffer`, as of now.
        """
        self.manifest = manifest
        self._since = now
        self._read_seconds = read_seconds
        self._relay_seconds = relay_seconds
        self._store.keep(manifest)
        self._store.drop_unused([])

    def offer(self, base_digest: str, now: float, query_id: str = "") -> SheetOffer:
        """Describe the revision in force to a process that holds another one.

        :param base_digest: digest that the receiver holds; the offer is a full one if
            that manifest is no longer known here.
        """
        if self.manifest is None:
            raise RuntimeError("without a sheet there is nothing to offer")
        held = max(now - self._since, 0.0)
        return make_offer(
            self.manifest,
            self._store.manifest(base_digest),
            self._read_seconds,
            self._relay_seconds + held,
            query_id,
        )

    def reply(self, digests: tuple[str, ...]) -> PartReply:
        """Return the requested parts that are held, within the size of a message.

        An empty reply tells the requester to ask elsewhere.
        """
        found: dict[str, bytes] = {}
        size = 0
        for digest in digests[:MAX_REQUESTED_DIGESTS]:
            part = self._store.packed_part(digest)
            if part is None:
                continue
            size += len(part)
            if found and size > REPLY_BYTES:
                break
            found[digest] = part
        return PartReply(found)
