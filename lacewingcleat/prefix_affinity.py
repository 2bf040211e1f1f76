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

MAX_ENTRIES = 50_000
"""Maximum number of pairs of block and group, which take about 20 MB."""

MAX_HOLDERS = 8
"""Maximum number of groups per block; the router needs only a few to choose from."""

UNCONFIRMED_SECONDS = 60.0
"""Time for which a block that no cache event confirms is assumed to be cached."""

LATE_EVENT_SECONDS = 2.0
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
class PrefixHolder:
    """Represent a group that has probably cached the first blocks of a prompt."""

    group: str
    blocks: int


@dataclass(slots=True)
class _EventSource:
    """Track the event batches of a group.

    :param doubted_at: time of the last gap or cache miss; data from before it
        counts as unconfirmed.
    :param dropped_at: time at which the group lost its cache; data from before it is
        invalid.
    """

    incarnation: str
    sequence: int
    doubted_at: float = float("-inf")
    dropped_at: float = float("-inf")


@dataclass(slots=True)
class _Entry:
    """Represent the evidence that a group has cached a block.

    :param at: time of the last event or send.
    :param confirmed: whether a cache event reported the block.
    :param sent_at: time at which this entry last sent the block to the group.
    """

    at: float
    confirmed: bool
    sent_at: float


class PrefixIndex:
    """Index the groups that have cached a block, in bounded memory."""

    __slots__ = (
        "_count",
        "_entry_by_group_by_block",
        "_max_entries",
        "_source_by_group",
    )

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entry_by_group_by_block: OrderedDict[str, dict[str, _Entry]] = (
            OrderedDict()
        )
        self._source_by_group: dict[str, _EventSource] = {}
        self._count = 0

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
            source.doubted_at = now
        elif events.sequence <= source.sequence:
            return False
        elif events.sequence > source.sequence + 1:
            source.doubted_at = now
        source.sequence = events.sequence
        for block in events.removed:
            self._remove(block, events.group, now - LATE_EVENT_SECONDS)
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
        source.doubted_at = now

    def count_cached(self, group: str, blocks: tuple[str, ...], now: float) -> int:
        """Return the number of leading blocks that a group has probably cached."""
        for depth in range(len(blocks), 0, -1):
            entry = self._entry_by_group_by_block.get(blocks[depth - 1], {}).get(group)
            if entry is not None and self._is_valid(group, entry, now):
                return depth
        return 0

    def find_holders(
        self,
        blocks: tuple[str, ...],
        now: float,
        limit: int,
    ) -> list[PrefixHolder]:
        """Return the groups with the longest cached prefixes, longest first."""
        holders: dict[str, PrefixHolder] = {}
        for depth in range(len(blocks), 0, -1):
            entry_by_group = self._entry_by_group_by_block.get(blocks[depth - 1])
            if entry_by_group is None:
                continue
            for group, entry in entry_by_group.items():
                if group not in holders and self._is_valid(group, entry, now):
                    holders[group] = PrefixHolder(group, depth)
            if len(holders) >= limit:
                break
        return list(holders.values())[:limit]

    def drop_group(self, group: str, now: float) -> None:
        """Invalidate the data of a group that lost its cache; it is evicted later."""
        source = self._source_by_group.setdefault(group, _EventSource("", 0))
        source.dropped_at = now

    def drop_all(self) -> None:
        """Discard the whole index, because the process was paused."""
        self._entry_by_group_by_block.clear()
        self._source_by_group.clear()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of pairs of block and group."""
        return self._count

    def _is_valid(self, group: str, entry: _Entry, now: float) -> bool:
        source = self._source_by_group.get(group)
        doubted = False
        if source is not None:
            if entry.at <= source.dropped_at:
                return False
            doubted = entry.at <= source.doubted_at
        if entry.confirmed and not doubted:
            return True
        return now - entry.at <= UNCONFIRMED_SECONDS

    def _add(self, block: str, group: str, now: float, confirmed: bool) -> None:
        entry_by_group = self._entry_by_group_by_block.get(block)
        if entry_by_group is None:
            entry_by_group = self._entry_by_group_by_block[block] = {}
        else:
            self._entry_by_group_by_block.move_to_end(block)
        entry = entry_by_group.get(group)
        if entry is None:
            self._make_room(entry_by_group)
            entry = entry_by_group[group] = _Entry(now, confirmed, float("-inf"))
            self._count += 1
        entry.at = now
        if confirmed:
            entry.confirmed = True
        else:
            entry.sent_at = now
        while self._count > self._max_entries:
            _, dropped = self._entry_by_group_by_block.popitem(last=False)
            self._count -= len(dropped)

    def _make_room(self, entry_by_group: dict[str, _Entry]) -> None:
        if len(entry_by_group) < MAX_HOLDERS:
            return
        oldest = min(entry_by_group, key=lambda name: entry_by_group[name].at)
        del entry_by_group[oldest]
        self._count -= 1

    def _remove(self, block: str, group: str, sent_before: float) -> None:
        entry_by_group = self._entry_by_group_by_block.get(block)
        if entry_by_group is None:
            return
        entry = entry_by_group.get(group)
        if entry is None:
            return
        if entry.sent_at > sent_before:
            entry.confirmed = False
            return
        del entry_by_group[group]
        self._count -= 1
        if not entry_by_group:
            del self._entry_by_group_by_block[block]
