"""Evidence on what crashes servers, and its exchange between entries."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.crash_evidence import (
    ANSWER_MEMORY_SECONDS,
    ANSWERED_BEFORE_CRASH_SECONDS,
    MAX_CRASHES,
    MAX_MESSAGE_BYTES,
    MIN_CRASHES,
    RETENTION_SECONDS,
    CrashEvidence,
    CrashRecord,
    split_into_messages,
)
from tests.crash_simulation import CrashFleet

NAMES = st.lists(st.sampled_from("abcd"), max_size=3)
RECORDS = st.lists(
    st.builds(CrashRecord, st.sampled_from(("1", "2", "3", "4")), st.just(0.0), NAMES),
    max_size=8,
)
ALLOWED_LATE_REQUESTS = 3


class CrashEvidenceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evidence = CrashEvidence()

    def _crash(self, number: int, *suspects: str, now: float = 0.0) -> None:
        self.evidence.record_crash(f"i-{number}:1", suspects, now)

    def test_segment_in_three_crashes_is_refused(self) -> None:
        """Guards against crashing server after server, and refusing after one crash."""
        for number in range(MIN_CRASHES):
            self.assertIsNone(self.evidence.find_refused(("a", "bad")))
            self._crash(number, f"a{number}", "bad", f"r{number}")
        self.assertEqual("bad", self.evidence.find_refused(("a", "bad")))
        self.assertIsNone(self.evidence.find_refused(("a1", "r1")))

    def test_crash_counts_once_however_many_requests_it_broke(self) -> None:
        """Guards against refusing a segment because one server crashed."""
        for _ in range(MIN_CRASHES):
            self._crash(1, "a")
        self.assertIsNone(self.evidence.find_refused(("a",)))

    def test_answered_segment_is_not_refused(self) -> None:
        """Guards against refusing requests that were in flight beside the cause."""
        for number in range(2 * MIN_CRASHES):
            self._crash(number, "a", now=20.0 * number)
            self.evidence.record_answered(("a",), 20.0 * number + 1.0)
        self.assertIsNone(self.evidence.find_refused(("a",)))

    def test_segment_answered_shortly_before_is_no_suspect(self) -> None:
        """Guards against suspecting what is in most requests."""
        self.evidence.record_answered(("a",), 0.0)
        for number in range(MIN_CRASHES):
            self._crash(number, "a", "bad", now=ANSWERED_BEFORE_CRASH_SECONDS)
        self.assertIsNone(self.evidence.find_refused(("a",)))
        self.assertEqual("bad", self.evidence.find_refused(("a", "bad")))

    def test_segment_that_turns_bad_is_refused(self) -> None:
        """Guards against trusting for ever what was once answered."""
        self.evidence.record_answered(("a",), 0.0)
        for number in range(2 * MIN_CRASHES + 1):
            self._crash(number, "a", now=ANSWERED_BEFORE_CRASH_SECONDS + number)
        self.assertEqual("a", self.evidence.find_refused(("a",)))

    def test_segment_explained_by_another_is_not_refused(self) -> None:
        """Guards against refusing the segments that come with the cause."""
        for number in range(MIN_CRASHES):
            self._crash(number, "a", "bad")
        self.assertIsNone(self.evidence.find_refused(("a",)))
        self.assertIsNone(self.evidence.find_refused(("bad",)))
        self.assertIsNotNone(self.evidence.find_refused(("a", "bad")))
        self._crash(MIN_CRASHES, "other", "bad")
        self.assertIsNone(self.evidence.find_refused(("a",)))
        self.assertEqual("bad", self.evidence.find_refused(("bad",)))

    def test_only_answered_segments_are_sent_to_a_second_server(self) -> None:
        """Guards against crashing a server of a second group by the retry."""
        self.assertTrue(self.evidence.may_send_again((), 0.0))
        self.assertFalse(self.evidence.may_send_again(("a",), 0.0))
        self.evidence.record_answered(("a",), 0.0)
        self.assertTrue(self.evidence.may_send_again(("a",), ANSWER_MEMORY_SECONDS))
        self.assertFalse(self.evidence.may_send_again(("a", "b"), 0.0))

    def test_evidence_expires(self) -> None:
        """Guards against refusing a segment for ever."""
        for number in range(MIN_CRASHES):
            self._crash(number, "bad")
        self.evidence.expire(RETENTION_SECONDS)
        self.assertIsNone(self.evidence.find_refused(("bad",)))
        self.assertEqual(0, self.evidence.digest)

    def test_evidence_is_bounded_and_fits_into_datagrams(self) -> None:
        """Guards against memory and messages that grow with the crashes."""
        for number in range(2 * MAX_CRASHES):
            self._crash(number, *(f"s{part}" for part in range(200)))
        records = self.evidence.records(0.0)
        self.assertEqual(MAX_CRASHES, len(records))
        for message in split_into_messages(records):
            self.assertTrue(
                len(message) == 1
                or sum(record.size() for record in message) <= MAX_MESSAGE_BYTES
            )

    @given(RECORDS, st.randoms(use_true_random=False), st.data())
    def test_order_of_evidence_does_not_matter(
        self, records: list[CrashRecord], random: object, data: st.DataObject
    ) -> None:
        """Guards against entries that decide differently on the same evidence."""
        first, second = CrashEvidence(), CrashEvidence()
        first.merge(records, 0.0)
        for record in data.draw(st.permutations(records)):
            second.merge([record], 0.0)
            second.merge([record], 0.0)
        self.assertEqual(first.digest, second.digest)
        for name in "abcd":
            self.assertEqual(first.find_refused((name,)), second.find_refused((name,)))


class FleetEvidenceTest(TestCase):
    def test_fleets_refuse_a_segment_over_restarts_cuts_and_joins(self) -> None:
        """Guards against entries that send what has crashed five servers."""
        for count in (8, 35, 98):
            for seed in (1, 2, 3):
                fleet = CrashFleet(count, seed)
                fleet.play_disturbed_day(requests_per_second=4.0)
                self.assertLessEqual(
                    fleet.late_requests, ALLOWED_LATE_REQUESTS, (count, seed)
                )
                self.assertTrue(all(fleet.sound_accepted), (count, seed))
