"""coordination: when an entry reads the configuration service.

The service allows about 2,000 reads/s for all readers together. Two entries of a zone
watch the manifest; each keeps one watch open and paces its reads of parts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from lacewingcleat.rendezvous import rank_by_rendezvous

READERS_PER_ZONE = 2
# 62 readers of 31 zones must stay below 2,000 reads in any second. Each makes at most
# 30 reads of parts (rate and burst) and one watch, so all make 1,922.
PART_READS_PER_SECOND = 22.0
PART_READ_BURST = 8.0
MAX_OPEN_PART_READS = 8
PART_READ_TIMEOUT_SECONDS = 2.0
# The service answers a watch without news after 25 s.
WATCH_TIMEOUT_SECONDS = 30.0
FIRST_RETRY_SECONDS = 0.5
LAST_RETRY_SECONDS = 8.0
# A single failure is usual during a restart of the service.
FAILURES_BEFORE_ALARM = 3


def choose_readers(zone: str, entries: Iterable[str]) -> list[str]:
    """Return the entries of a zone that read the configuration service."""
    return rank_by_rendezvous(f"config-readers/{zone}", entries)[:READERS_PER_ZONE]


@dataclass(slots=True)
class ConfigReader:
    """Pace the reads of one process.

    :param instance: spreads the retries of different readers.
    :param version: `X-Version` of the last manifest read, empty for none.
    :param failures: failed reads since the last successful one.
    """

    instance: str
    version: str = ""
    failures: int = 0
    _watch_since: float | None = None
    _retry_at: float = 0.0
    _tokens: float = PART_READ_BURST
    _tokens_at: float = 0.0
    _opened_at_by_digest: dict[str, float] = field(default_factory=dict)

    def start_watch(self, now: float) -> bool:
        """Return whether a watch should be opened now, and note that it is."""
        since = self._watch_since
        if since is not None and now - since < WATCH_TIMEOUT_SECONDS:
            return False
        if now < self._retry_at:
            return False
        self._watch_since = now
        return True

    def watch_ended(self, version: str | None = None) -> None:
        """Note an answer to the watch; without news there is no version."""
        self._watch_since = None
        self.failures = 0
        if version is not None:
            self.version = version

    def watch_failed(self, now: float) -> bool:
        """Note a failed watch; the delay doubles with each failure in a row.

        :return: whether it counts as another failure.
        """
        self._watch_since = None
        return self._failed(now)

    def forget_version(self) -> None:
        """Let the next watch return the present manifest at once."""
        self.version = ""

    def forget_open_reads(self) -> None:
        """Forget watches and reads that were open before a pause."""
        self._watch_since = None
        self.forget_version()
        self._opened_at_by_digest.clear()

    def start_part_reads(self, missing: Iterable[str], now: float) -> list[str]:
        """Return the digests of parts to read now, and note that they are."""
        self._refill(now)
        self._opened_at_by_digest = {
            digest: opened
            for digest, opened in self._opened_at_by_digest.items()
            if now - opened < PART_READ_TIMEOUT_SECONDS
        }
        if now < self._retry_at:
            return []
        started: list[str] = []
        for digest in missing:
            if len(self._opened_at_by_digest) >= MAX_OPEN_PART_READS:
                break
            if self._tokens < 1:
                break
            if digest not in self._opened_at_by_digest:
                self._tokens -= 1
                self._opened_at_by_digest[digest] = now
                started.append(digest)
        return started

    def part_ended(self, digest: str) -> None:
        """Note an answer to the read of a part."""
        self._opened_at_by_digest.pop(digest, None)
        self.failures = 0

    def part_failed(self, digest: str, now: float) -> bool:
        """Note a failed read of a part; see `watch_failed`."""
        self._opened_at_by_digest.pop(digest, None)
        return self._failed(now)

    def _failed(self, now: float) -> bool:
        if now < self._retry_at:
            # Reads that were open together fail together; that is one failure.
            return False
        self.failures += 1
        doubled = FIRST_RETRY_SECONDS * 2 ** min(self.failures - 1, 10)
        delay = min(doubled, LAST_RETRY_SECONDS)
        # Readers that failed together must not come back together.
        spread = 0.75 + 0.5 * blake2b(self.instance.encode()).digest()[0] / 255
        self._retry_at = now + delay * spread
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(now - self._tokens_at, 0.0)
        self._tokens_at = max(now, self._tokens_at)
        refilled = self._tokens + elapsed * PART_READS_PER_SECOND
        self._tokens = min(refilled, PART_READ_BURST)
