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

MAX_ENTRIES = 50_000
"""Pairs of block and group that are kept, about 20 MB."""

MAX_HOLDERS = 8
"""Groups remembered per block; a router needs a few to choose from."""

UNCONFIRMED_SECONDS = 60.0
"""Time after which an entry without a later event is dropped."""

LATE_EVENT_SECONDS = 2.0
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
class PrefixHolder:
    """Name a group that probably holds the first blocks of a prompt."""

    group: str
    blocks: int


@dataclass(slots=True)
class _EventSource:
    """Follow the event batches of a group.

    :param doubted_at: time of the last gap; older entries need a later event.
    :param dropped_at: time at which the group lost its cache; older entries are void.
    """

    incarnation: str
    sequence: int
    doubted_at: float = float("-inf")
    dropped_at: float = float("-inf")


@dataclass(slots=True)
class _Entry:
    """Say when a group was last known to hold a block and from which source."""

    at: float
    confirmed: bool
    sent_at: float


class PrefixIndex:
    """Remember in bounded memory which groups hold which blocks."""

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
        """Note that a group will hold the blocks of a request just sent to it."""
        for block in blocks:
            self._add(block, group, now, False)

    def record_miss(self, group: str, now: float) -> None:
        """Doubt a group's entries, because it had cached less than expected."""
        source = self._source_by_group.setdefault(group, _EventSource("", 0))
        source.doubted_at = now

    def count_cached(self, group: str, blocks: tuple[str, ...], now: float) -> int:
        """Return how many leading blocks a group probably holds."""
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
        """Return the groups with the longest prefixes, the longest first."""
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
        """Forget a group that lost its cache; its entries go as they age."""
        source = self._source_by_group.setdefault(group, _EventSource("", 0))
        source.dropped_at = now

    def drop_all(self) -> None:
        """Forget everything, because the process was paused."""
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
