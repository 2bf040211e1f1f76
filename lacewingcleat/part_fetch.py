"""coordination: fetch the missing parts of one revision from peers that hold it."""

from lacewingcleat.sheet_parts import Manifest

PART_TIMEOUT_SECONDS = 0.4
# A request and its reply stay far below the limit of 1 MiB of a control message.
DIGESTS_PER_REQUEST = 16
MAX_HOLDERS = 8
# With a timeout of 0.4 s the fetch gives up after about 5 s without any progress.
MAX_FRUITLESS_REQUESTS = 12


class PartFetch:
    """Ask one holder at a time, and the next one after a timeout.

    :param heard_at: when this process learned of the revision.
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
        """Note who has the revision; None stands for the configuration service."""
        if holder is None:
            self.from_config = True
        else:
            self.add_holder(holder)

    def add_holder(self, instance: str) -> None:
        """Note a peer that says it holds the revision."""
        if instance not in self._holders:
            self._holders.append(instance)
            del self._holders[:-MAX_HOLDERS]

    def received(self, digest: str) -> None:
        """Note that a missing part has arrived, so that the next may be asked for."""
        self.missing.pop(digest, None)
        self._fruitless = 0
        self._asked_at = None

    @property
    def has_holders(self) -> bool:
        """Return whether a peer is known to hold the revision."""
        return bool(self._holders)

    @property
    def exhausted(self) -> bool:
        """Return whether so many requests brought nothing that it is time to stop."""
        return self._fruitless >= MAX_FRUITLESS_REQUESTS

    def holder_has_none(self) -> None:
        """Go on to the next holder at once, because one has none of the parts."""
        self._turn += 1
        self._asked_at = None

    def next_request(self, now: float) -> tuple[str, tuple[str, ...]] | None:
        """Return whom to ask for which parts now, or None while waiting."""
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
        # Reads of the configuration service take the first ones.
        return tuple(self.missing)[-DIGESTS_PER_REQUEST:]
