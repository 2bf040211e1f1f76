"""coordination: fetch the missing parts of one revision from peers."""

from lacewingcleat.sheet_parts import Manifest

PART_TIMEOUT_SECONDS = 0.4
# Keeps a request and its reply well below the 1 MiB limit of a control message.
DIGESTS_PER_REQUEST = 16
MAX_HOLDERS = 8
# With a timeout of 0.4 s the fetch is abandoned after about 5 s without progress.
MAX_REQUESTS_WITHOUT_PROGRESS = 12


class PartFetch:
    """Request missing parts from one holder at a time, round robin after timeouts.

    :param missing_digests: digests of the parts to fetch.
    :param received_at: time at which this process received the manifest.
    :param read_seconds: see `SheetOffer`.
    :param relay_seconds: see `SheetOffer`.
    """

    __slots__ = (
        "_holder_index",
        "_holders",
        "_requested_at",
        "_requests_without_progress",
        "available_from_config",
        "manifest",
        "missing_digests",
        "read_seconds",
        "received_at",
        "relay_seconds",
    )

    def __init__(
        self,
        manifest: Manifest,
        missing_digests: list[str],
        received_at: float,
        read_seconds: float,
        relay_seconds: float,
    ) -> None:
        self.manifest = manifest
        self.missing_digests = dict.fromkeys(missing_digests)
        self.received_at = received_at
        self.read_seconds = read_seconds
        self.relay_seconds = relay_seconds
        self.available_from_config = False
        self._holders: list[str] = []
        self._holder_index = 0
        self._requests_without_progress = 0
        self._requested_at: float | None = None

    def add_source(self, holder: str | None) -> None:
        """Add a source of the revision.

        :param holder: peer that holds the revision, None for the configuration service.
        """
        if holder is None:
            self.available_from_config = True
        else:
            self.add_holder(holder)

    def add_holder(self, instance: str) -> None:
        """Add a peer that has reported the revision; only the last few are retained."""
        if instance not in self._holders:
            self._holders.append(instance)
            del self._holders[:-MAX_HOLDERS]

    def record_part(self, digest: str) -> None:
        """Record a received part, so that the next request may be sent at once."""
        self.missing_digests.pop(digest, None)
        self._requests_without_progress = 0
        self._requested_at = None

    @property
    def has_holders(self) -> bool:
        """Return whether a peer is known to hold the revision."""
        return bool(self._holders)

    @property
    def is_exhausted(self) -> bool:
        """Return whether too many requests in a row have brought no progress."""
        return self._requests_without_progress >= MAX_REQUESTS_WITHOUT_PROGRESS

    def advance_holder(self) -> None:
        """Advance to the next holder after a reply without parts."""
        self._holder_index += 1
        self._requested_at = None

    def next_request(self, now: float) -> tuple[str, tuple[str, ...]] | None:
        """Return the next request to send.

        :return: holder and digests, None if no request may be sent now.
        """
        if not self._holders or not self.missing_digests or self.is_exhausted:
            return None
        if self._requested_at is not None:
            if now - self._requested_at < PART_TIMEOUT_SECONDS:
                return None
            self._holder_index += 1
        self._requests_without_progress += 1
        self._requested_at = now
        holder = self._holders[self._holder_index % len(self._holders)]
        return holder, self._digests_to_request()

    def _digests_to_request(self) -> tuple[str, ...]:
        # The last ones: reads of the configuration service start with the first.
        return tuple(self.missing_digests)[-DIGESTS_PER_REQUEST:]
