"""coordination: index of the prompt prefixes that groups have probably cached.

Engines report changes of their KV caches by events, which arrive late or are lost. The
index therefore also records the prefixes of requests that this entry sends, which a
group caches when it processes them, and treats older data of a group as unconfirmed
after a gap in its events. The router weighs the index against load; a cached prefix
never overrides load.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from lacewingcleat.messages import CacheEvents

BLOCK_TOKENS = 128
CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
MAX_BLOCKS = 128
"""Maximum number of blocks per prompt; the rest is assumed not to be cached."""

MAX_RECORDS = 50_000
"""Maximum number of pairs of block and group, which take about 20 MB."""

MAX_GROUPS_PER_BLOCK = 8
"""Maximum number of groups per block; the router needs only a few to choose from."""

UNCONFIRMED_TTL_SECONDS = 60.0
"""Time for which a block that no cache event confirms is assumed to be cached."""

MAX_EVENT_DELAY_SECONDS = 2.0
"""A removal that arrives this soon after a send to the group is older than the send."""


def digest_prompt_blocks(salt: str, prompt: str) -> tuple[str, ...]:
    """Return a digest for each whole block, covering the prompt up to the block's end.

    :param salt: model, version and adapter, on which the KV cache depends as well.
    """
    digests = []
    previous = blake2b(salt.encode(), digest_size=8).digest()
    blocks = min(MAX_BLOCKS, len(prompt) // BLOCK_CHARACTERS)
    for index in range(blocks):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        previous = blake2b(previous + block, digest_size=8).digest()
        digests.append(previous.hex())
    return tuple(digests)


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """Represent a group that has probably cached the first blocks of a prompt."""

    group: str
    blocks: int


@dataclass(slots=True)
class _EventSource:
    """Track the event batches of a group.

    :param unconfirmed_until: time of the last gap or cache miss; data from before it
        counts as unconfirmed.
    :param cache_lost_at: time at which the group lost its cache; data from before it is
        invalid.
    """

    incarnation: str
    sequence: int
    unconfirmed_until: float = float("-inf")
    cache_lost_at: float = float("-inf")


@dataclass(slots=True)
class _CacheRecord:
    """Represent the evidence that a group has cached a block.

    :param updated_at: time of the last event or send.
    :param confirmed: whether a cache event reported the block.
    :param sent_at: time at which this entry last sent the block to the group.
    """

    updated_at: float
    confirmed: bool
    sent_at: float


class PrefixIndex:
    """Index the groups that have cached a block, in bounded memory."""

    __slots__ = (
        "_max_records",
        "_record_by_group_by_block",
        "_record_count",
        "_source_by_group",
    )

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._record_by_group_by_block: OrderedDict[str, dict[str, _CacheRecord]] = (
            OrderedDict()
        )
        self._source_by_group: dict[str, _EventSource] = {}
        self._record_count = 0

    def apply_events(self, events: CacheEvents, incarnation: str, now: float) -> bool:
        """Apply a batch and return whether it was newer than the last one.

        An older batch is dropped, because its additions may have been removed since.
        The gap in the sequence already marked the group's older data as unconfirmed.
        """
        source = self._source_by_group.get(events.group)
        if source is None:
            source = _EventSource(incarnation, events.sequence)
            self._source_by_group[events.group] = source
        elif source.incarnation != incarnation:
            source.incarnation = incarnation
            source.unconfirmed_until = now
        elif events.sequence <= source.sequence:
            return False
        elif events.sequence > source.sequence + 1:
            source.unconfirmed_until = now
        source.sequence = events.sequence
        for block in events.removed:
            self._remove(block, events.group, now - MAX_EVENT_DELAY_SECONDS)
        for block in events.added:
            self._add(block, events.group, now, True)
        return True

    def record_send(self, group: str, blocks: Iterable[str], now: float) -> None:
        """Record that a group will cache the blocks of a request just sent to it."""
        for block in blocks:
            self._add(block, group, now, False)

    def record_miss(self, group: str, now: float) -> None:
        """Mark a group's data as unconfirmed: it had cached less than expected."""
        source = self._source_by_group.setdefault(group, _EventSource("", 0))
        source.unconfirmed_until = now

    def count_cached(self, group: str, blocks: tuple[str, ...], now: float) -> int:
        """Return the number of leading blocks that a group has probably cached."""
        for depth in range(len(blocks), 0, -1):
            record = self._record_by_group_by_block.get(blocks[depth - 1], {}).get(
                group
            )
            if record is not None and self._is_valid(group, record, now):
                return depth
        return 0

    def find_longest_prefixes(
        self,
        blocks: tuple[str, ...],
        now: float,
        limit: int,
    ) -> list[CachedPrefix]:
        """Return the groups with the longest cached prefixes, longest first."""
        prefix_by_group: dict[str, CachedPrefix] = {}
        for depth in range(len(blocks), 0, -1):
            record_by_group = self._record_by_group_by_block.get(blocks[depth - 1])
            if record_by_group is None:
                continue
            for group, record in record_by_group.items():
                if group not in prefix_by_group and self._is_valid(group, record, now):
                    prefix_by_group[group] = CachedPrefix(group, depth)
            if len(prefix_by_group) >= limit:
                break
        return list(prefix_by_group.values())[:limit]

    def invalidate_group(self, group: str, now: float) -> None:
        """Invalidate the data of a group that lost its cache; it is evicted later."""
        source = self._source_by_group.setdefault(group, _EventSource("", 0))
        source.cache_lost_at = now

    def clear(self) -> None:
        """Discard the whole index, because the process was paused."""
        self._record_by_group_by_block.clear()
        self._source_by_group.clear()
        self._record_count = 0

    def __len__(self) -> int:
        """Return the number of pairs of block and group."""
        return self._record_count

    def _is_valid(self, group: str, record: _CacheRecord, now: float) -> bool:
        source = self._source_by_group.get(group)
        unconfirmed = False
        if source is not None:
            if record.updated_at <= source.cache_lost_at:
                return False
            unconfirmed = record.updated_at <= source.unconfirmed_until
        if record.confirmed and not unconfirmed:
            return True
        return now - record.updated_at <= UNCONFIRMED_TTL_SECONDS

    def _add(self, block: str, group: str, now: float, confirmed: bool) -> None:
        record_by_group = self._record_by_group_by_block.get(block)
        if record_by_group is None:
            record_by_group = self._record_by_group_by_block[block] = {}
        else:
            self._record_by_group_by_block.move_to_end(block)
        record = record_by_group.get(group)
        if record is None:
            self._evict_oldest_group(record_by_group)
            record = record_by_group[group] = _CacheRecord(
                now, confirmed, float("-inf")
            )
            self._record_count += 1
        record.updated_at = now
        if confirmed:
            record.confirmed = True
        else:
            record.sent_at = now
        while self._record_count > self._max_records:
            _, evicted = self._record_by_group_by_block.popitem(last=False)
            self._record_count -= len(evicted)

    def _evict_oldest_group(self, record_by_group: dict[str, _CacheRecord]) -> None:
        if len(record_by_group) < MAX_GROUPS_PER_BLOCK:
            return
        oldest = min(record_by_group, key=lambda name: record_by_group[name].updated_at)
        del record_by_group[oldest]
        self._record_count -= 1

    def _remove(self, block: str, group: str, sent_before: float) -> None:
        record_by_group = self._record_by_group_by_block.get(block)
        if record_by_group is None:
            return
        record = record_by_group.get(group)
        if record is None:
            return
        if record.sent_at > sent_before:
            record.confirmed = False
            return
        del record_by_group[group]
        self._record_count -= 1
        if not record_by_group:
            del self._record_by_group_by_block[block]
