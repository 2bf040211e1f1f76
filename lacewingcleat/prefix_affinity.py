"""coordination: which group probably holds which prompt prefix.

Engines publish cache events late and with gaps. The index adds the prefixes of own
sends, which a group will hold once it has processed them, and doubts old entries of a
group after a gap. The router weighs the index against load; it never overrides it.
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
"""Blocks per prompt that are considered; the rest is taken as not cached."""

MAX_RECORDS = 50_000
"""Pairs of block and group that are kept, about 20 MB."""

MAX_GROUPS_PER_BLOCK = 8
"""Groups remembered per block; a router needs a few to choose from."""

UNCONFIRMED_TTL_SECONDS = 60.0
"""Time after which an entry without a later event is dropped."""

MAX_EVENT_DELAY_SECONDS = 2.0
"""A removal that arrives this soon after an own send is older than the send."""


def digest_prompt_blocks(salt: str, prompt: str) -> tuple[str, ...]:
    """Return a digest per whole block, each covering the prompt up to its end.

    :param salt: what else decides the KV cache: model, version and adapter.
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
    """Name a group that probably holds the first blocks of a prompt."""

    group: str
    blocks: int


@dataclass(slots=True)
class _EventSource:
    """Follow the event batches of a group.

    :param unconfirmed_until: time of the last gap; older entries need a later event.
    :param cache_lost_at: time at which the group lost its cache; older entries are void.
    """

    incarnation: str
    sequence: int
    unconfirmed_until: float = float("-inf")
    cache_lost_at: float = float("-inf")


@dataclass(slots=True)
class _CacheRecord:
    """Say when a group was last known to hold a block and from which source."""

    updated_at: float
    confirmed: bool
    sent_at: float


class PrefixIndex:
    """Remember in bounded memory which groups hold which blocks."""

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
        """Take in a batch and return whether it was news.

        A batch older than the last one is dropped, because its additions may have been
        removed since; the gap that it left has already raised doubt.
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
        """Note that a group will hold the blocks of a request just sent to it."""
        for block in blocks:
            self._add(block, group, now, False)

    def record_miss(self, group: str, now: float) -> None:
        """Doubt a group's entries, because it had cached less than expected."""
        source = self._source_by_group.setdefault(group, _EventSource("", 0))
        source.unconfirmed_until = now

    def count_cached(self, group: str, blocks: tuple[str, ...], now: float) -> int:
        """Return how many leading blocks a group probably holds."""
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
        """Return the groups with the longest prefixes, the longest first."""
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
        """Forget a group that lost its cache; its entries go as they age."""
        source = self._source_by_group.setdefault(group, _EventSource("", 0))
        source.cache_lost_at = now

    def clear(self) -> None:
        """Forget everything, because the process was paused."""
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
