"""coordination: fetch the missing parts of one revision from peers."""

from lacewingcleat.sheet_parts import Manifest

PART_TIMEOUT_SECONDS = 0.4
# Keeps a request and its reply well below the 1 MiB limit of a control message.
DIGESTS_PER_REQUEST = 16
MAX_HOLDERS = 8
# With a timeout of 0.4 s the fetch is abandoned after about 5 s without progress.
MAX_FRUITLESS_REQUESTS = 12


class PartFetch:
    """Request missing parts from one holder at a time, round robin after timeouts.

    :param missing: digests of the parts to fetch.
    :param heard_at: time at which this process received the manifest.
    :param read_seconds: see `SheetOffer`.
    :param relay_seconds: see `SheetOffer`.
    """

    __slots__ = (
        "_asked_at",
        "_fruitless",
        "_holders",
        "_turn",
        "from_config",
        "heard_at",
        "manifest",
        "missing",
        "read_seconds",
        "relay_seconds",
    )

    def __init__(
        self,
        manifest: Manifest,
        missing: list[str],
        heard_at: float,
        read_seconds: float,
        relay_seconds: float,
    ) -> None:
        self.manifest = manifest
        self.missing = dict.fromkeys(missing)
        self.heard_at = heard_at
        self.read_seconds = read_seconds
        self.relay_seconds = relay_seconds
        self.from_config = False
        self._holders: list[str] = []
        self._turn = 0
        self._fruitless = 0
        self._asked_at: float | None = None

    def add_source(self, holder: str | None) -> None:
        """Add a source of the revision.

        :param holder: peer that holds the revision, None for the configuration service.
        """
        if holder is None:
            self.from_config = True
        else:
            self.add_holder(holder)

    def add_holder(self, instance: str) -> None:
        """Add a peer that has reported the revision; only the last few are retained."""
        if instance not in self._holders:
            self._holders.append(instance)
            del self._holders[:-MAX_HOLDERS]

    def received(self, digest: str) -> None:
        """Record a received part, so that the next request may be sent at once."""
        self.missing.pop(digest, None)
        self._fruitless = 0
        self._asked_at = None

    @property
    def has_holders(self) -> bool:
        """Return whether a peer is known to hold the revision."""
        return bool(self._holders)

    @property
    def exhausted(self) -> bool:
        """Return whether too many requests in a row have brought no progress."""
        return self._fruitless >= MAX_FRUITLESS_REQUESTS

    def holder_has_none(self) -> None:
        """Advance to the next holder after a reply without parts."""
        self._turn += 1
        self._asked_at = None

    def next_request(self, now: float) -> tuple[str, tuple[str, ...]] | None:
        """Return the next request to send.

        :return: holder and digests, None if no request may be sent now.
        """
        if not self._holders or not self.missing or self.exhausted:
            return None
        if self._asked_at is not None:
            if now - self._asked_at < PART_TIMEOUT_SECONDS:
                return None
            self._turn += 1
        self._fruitless += 1
        self._asked_at = now
        holder = self._holders[self._turn % len(self._holders)]
        return holder, self._wanted()

    def _wanted(self) -> tuple[str, ...]:
        # The last ones: reads of the configuration service start with the first.
        return tuple(self.missing)[-DIGESTS_PER_REQUEST:]
