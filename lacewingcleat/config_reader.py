"""coordination: schedule and rate-limit reads of the configuration service.

The service allows about 2,000 reads/s in total over all readers. Two entries per zone
watch the manifest; each keeps one watch open and limits its rate of part reads with a
token bucket.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from lacewingcleat.rendezvous import rank_by_rendezvous

READERS_PER_ZONE = 2
# The 62 readers of 31 zones must stay below 2,000 reads in any second. Each reads at
# most 30 parts (rate plus burst) and starts one watch: 1,922 reads in total.
PART_READS_PER_SECOND = 22.0
PART_READ_BURST = 8.0
MAX_OPEN_PART_READS = 8
PART_READ_TIMEOUT_SECONDS = 2.0
# Longer than the 25 s after which the service responds to a watch without a change.
WATCH_EXPIRY_SECONDS = 30.0
MIN_RETRY_DELAY_SECONDS = 0.5
MAX_RETRY_DELAY_SECONDS = 8.0
# A single failed read is normal while the service restarts.
FAILURES_BEFORE_ALARM = 3


def choose_config_readers(zone: str, entries: Iterable[str]) -> list[str]:
    """Return the entries of a zone that read the configuration service."""
    return rank_by_rendezvous(f"config-readers/{zone}", entries)[:READERS_PER_ZONE]


@dataclass(slots=True)
class ConfigReadScheduler:
    """Schedule the reads of one process: rate limit, timeouts and retry backoff.

    :param instance: name of the process; its hash determines the retry jitter.
    :param version: `X-Version` of the last manifest read, empty for none.
    :param consecutive_failures: failures counted since the last successful read.
    """

    instance: str
    version: str = ""
    consecutive_failures: int = 0
    _watch_opened_at: float | None = None
    _retry_at: float = 0.0
    _tokens: float = PART_READ_BURST
    _refilled_at: float = 0.0
    _opened_at_by_digest: dict[str, float] = field(default_factory=dict)

    def try_start_watch(self, now: float) -> bool:
        """Return whether to open a watch now, and if so record it as open.

        No watch is opened during the retry backoff or while one is open that has not
        timed out.
        """
        opened_at = self._watch_opened_at
        if opened_at is not None and now - opened_at < WATCH_EXPIRY_SECONDS:
            return False
        if now < self._retry_at:
            return False
        self._watch_opened_at = now
        return True

    def record_watch_response(self, version: str | None = None) -> None:
        """Record a response to the watch.

        :param version: version of the manifest read, None if it has not changed.
        """
        self._watch_opened_at = None
        self.consecutive_failures = 0
        if version is not None:
            self.version = version

    def record_watch_failure(self, now: float) -> bool:
        """Record a failed watch and back off exponentially.

        The service may have been restored from a copy meanwhile, and versions given out
        again, so the next watch returns the manifest at once.

        :return: whether it was counted; reads that fail together count as one failure.
        """
        self._watch_opened_at = None
        self.reset_version()
        return self._record_failure(now)

    def reset_version(self) -> None:
        """Reset the version, so that the next watch returns the manifest at once."""
        self.version = ""

    def discard_open_reads(self) -> None:
        """Discard the watch and the reads that were open before a pause."""
        self._watch_opened_at = None
        self.reset_version()
        self._opened_at_by_digest.clear()

    def start_part_reads(self, missing: Iterable[str], now: float) -> list[str]:
        """Return the digests of parts to read now, and record them as open reads.

        :param missing: digests of the parts that are still needed.
        """
        self._refill_tokens(now)
        self._opened_at_by_digest = {
            digest: opened
            for digest, opened in self._opened_at_by_digest.items()
            if now - opened < PART_READ_TIMEOUT_SECONDS
        }
        if now < self._retry_at:
            return []
        digests_to_read: list[str] = []
        for digest in missing:
            if len(self._opened_at_by_digest) >= MAX_OPEN_PART_READS:
                break
            if self._tokens < 1:
                break
            if digest not in self._opened_at_by_digest:
                self._tokens -= 1
                self._opened_at_by_digest[digest] = now
                digests_to_read.append(digest)
        return digests_to_read

    def record_part_response(self, digest: str) -> None:
        """Record a successful read of a part."""
        self._opened_at_by_digest.pop(digest, None)
        self.consecutive_failures = 0

    def record_part_failure(self, digest: str, now: float) -> bool:
        """Record a failed read of a part and back off; see `record_watch_failure`."""
        self._opened_at_by_digest.pop(digest, None)
        return self._record_failure(now)

    def _record_failure(self, now: float) -> bool:
        if now < self._retry_at:
            # Concurrent reads fail together, for example when the service restarts;
            # they count as one failure.
            return False
        self.consecutive_failures += 1
        backoff = MIN_RETRY_DELAY_SECONDS * 2 ** min(self.consecutive_failures - 1, 10)
        delay = min(backoff, MAX_RETRY_DELAY_SECONDS)
        # Jitter: readers that failed at the same time must not retry simultaneously.
        jitter = 0.75 + 0.5 * blake2b(self.instance.encode()).digest()[0] / 255
        self._retry_at = now + delay * jitter
        return True

    def _refill_tokens(self, now: float) -> None:
        elapsed = max(now - self._refilled_at, 0.0)
        self._refilled_at = max(now, self._refilled_at)
        refilled = self._tokens + elapsed * PART_READS_PER_SECOND
        self._tokens = min(refilled, PART_READ_BURST)
