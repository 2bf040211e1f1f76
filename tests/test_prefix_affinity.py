from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.messages import CacheEvents
from lacewingcleat.prefix_affinity import (
    BLOCK_CHARACTERS,
    MAX_EVENT_DELAY_SECONDS,
    UNCONFIRMED_TTL_SECONDS,
    CachedPrefix,
    PrefixIndex,
    digest_prompt_blocks,
)

BLOCKS = ("a", "b", "c")


def _added(sequence: int, *blocks: str, group: str = "g1") -> CacheEvents:
    return CacheEvents(group, sequence, blocks, ())


def _removed(sequence: int, *blocks: str, group: str = "g1") -> CacheEvents:
    return CacheEvents(group, sequence, (), blocks)


class DigestTest(TestCase):
    def test_prefix_is_shared_and_salt_separates(self) -> None:
        """Guards against a hit across models, and a miss for a common prefix."""
        first = digest_prompt_blocks("m", "x" * BLOCK_CHARACTERS + "y" * 600)
        second = digest_prompt_blocks("m", "x" * BLOCK_CHARACTERS + "z" * 600)
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])
        other = digest_prompt_blocks("n", "x" * BLOCK_CHARACTERS)
        self.assertNotEqual(first[0], other[0])
        self.assertEqual((), digest_prompt_blocks("m", "short"))


class PrefixIndexTest(TestCase):
    def test_longest_prefix_comes_first(self) -> None:
        """Guards against a choice of the group with the shorter cached prefix."""
        index = PrefixIndex()
        index.apply_events(_added(1, "a", group="g2"), "i", 1.0)
        index.apply_events(_added(1, "a", "b"), "i", 1.0)
        self.assertEqual(
            [CachedPrefix("g1", 2), CachedPrefix("g2", 1)],
            index.find_longest_prefixes(BLOCKS, 1.0, 2),
        )

    def test_duplicated_and_delayed_batches_are_dropped(self) -> None:
        """Guards against an old addition that undoes a later removal."""
        index = PrefixIndex()
        index.apply_events(_added(1, "a"), "i", 1.0)
        index.apply_events(_removed(3, "a"), "i", 2.0)
        self.assertFalse(index.apply_events(_added(2, "a"), "i", 2.1))
        self.assertEqual(0, index.count_cached("g1", BLOCKS, 2.1))

    def test_gap_and_new_incarnation_expire_old_records(self) -> None:
        """Guards against trust in blocks whose removal was lost."""
        for sequence, incarnation in ((3, "i"), (1, "other")):
            index = PrefixIndex()
            index.apply_events(_added(1, "a"), "i", 1.0)
            index.apply_events(_added(sequence, "z"), incarnation, 2.0)
            later = 2.0 + UNCONFIRMED_TTL_SECONDS
            self.assertEqual(0, index.count_cached("g1", BLOCKS, later))
            self.assertEqual(1, index.count_cached("g1", ("z",), later))

    def test_sent_blocks_are_indexed_immediately_and_expire(self) -> None:
        """Guards against affinity that waits for late events, or never ends."""
        index = PrefixIndex()
        index.record_send("g1", BLOCKS, 1.0)
        self.assertEqual(3, index.count_cached("g1", BLOCKS, 1.0))
        later = 1.1 + UNCONFIRMED_TTL_SECONDS
        self.assertEqual(0, index.count_cached("g1", BLOCKS, later))

    def test_removal_older_than_a_send_is_ignored(self) -> None:
        """Guards against a late removal that hides what was just sent."""
        index = PrefixIndex()
        index.apply_events(_added(1, "a"), "i", 1.0)
        index.record_send("g1", ("a",), 5.0)
        index.apply_events(_removed(2, "a"), "i", 5.5)
        self.assertEqual(1, index.count_cached("g1", ("a",), 5.5))
        index.apply_events(_removed(3, "a"), "i", 5.1 + MAX_EVENT_DELAY_SECONDS)
        self.assertEqual(0, index.count_cached("g1", ("a",), 8.0))

    def test_group_that_lost_its_cache_is_invalidated(self) -> None:
        """Guards against affinity to an engine that was replaced."""
        index = PrefixIndex()
        index.apply_events(_added(1, "a"), "i", 1.0)
        index.invalidate_group("g1", 2.0)
        self.assertEqual([], index.find_longest_prefixes(BLOCKS, 2.0, 2))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["add", "remove", "send"]),
                st.integers(0, 11),
                st.integers(0, 30),
                st.integers(0, 20),
            ),
            max_size=120,
        ),
    )
    def test_memory_stays_bounded(self, steps: list[tuple[str, int, int, int]]) -> None:
        """Guards against growth, or a wrong count, under any order of events."""
        index = PrefixIndex(max_records=20)
        for now, (step, group, block, sequence) in enumerate(steps):
            name = f"g{group}"
            match step:
                case "add":
                    events = _added(sequence, str(block), group=name)
                    index.apply_events(events, "i", now)
                case "remove":
                    events = _removed(sequence, str(block), group=name)
                    index.apply_events(events, "i", now)
                case "send":
                    index.record_send(name, (str(block),), now)
            self.assertLessEqual(len(index), 20)
        entries = index._record_by_group_by_block.values()
        self.assertEqual(len(index), sum(len(entry) for entry in entries))
