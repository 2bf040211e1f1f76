from testtools import TestCase

from lacewingcleat.actions import Send
from lacewingcleat.crash_suspects import (
    MAX_SUSPECTS,
    RETENTION_SECONDS,
    Convicted,
    CrashSuspects,
    RunAlone,
    Unsuspected,
    choose_isolation_server,
)
from lacewingcleat.messages import SuspectCleared
from lacewingcleat.request_fingerprint import fingerprint_request
from tests.builders_safety import make_crash


class CrashSuspectsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspects = CrashSuspects()

    def test_crash_counts_once_and_is_forwarded_once(self) -> None:
        """Guards against a conviction by several copies of one crash report."""
        report = make_crash("c1", "f")
        actions = self.suspects.record_report(report, ["a", "b"], 0.0, sender="b")
        self.assertEqual([Send("a", report)], actions)
        self.assertEqual([], self.suspects.record_report(report, ["a"], 1.0))
        self.assertEqual(RunAlone(), self.suspects.verdict("f", 1.0))

    def test_second_crash_while_alone_convicts_for_15_min(self) -> None:
        """Guards against a request that crashes a third server."""
        self.suspects.record_report(make_crash("c1", "f", "g"), [], 0.0)
        self.suspects.record_report(make_crash("c2", "f", alone=True), [], 10.0)
        self.assertEqual(Convicted(RETENTION_SECONDS), self.suspects.verdict("f", 10.0))
        self.assertEqual(RunAlone(), self.suspects.verdict("g", 10.0))
        later = 10.0 + RETENTION_SECONDS
        self.assertEqual(Unsuspected(), self.suspects.verdict("f", later))

    def test_bystander_is_never_convicted(self) -> None:
        """Guards against refusing requests that were in flight but cause no crash."""
        for number in range(5):
            report = make_crash(f"c{number}", "f", "g")
            self.suspects.record_report(report, [], float(number))
        self.assertEqual(RunAlone(), self.suspects.verdict("g", 5.0))

    def test_single_request_in_flight_counts_as_alone(self) -> None:
        """Guards against a third crash when servers run one request at a time."""
        self.suspects.record_report(make_crash("c1", "f"), [], 0.0)
        self.suspects.record_report(make_crash("c2", "f"), [], 1.0)
        self.assertIsInstance(self.suspects.verdict("f", 1.0), Convicted)

    def test_conviction_does_not_depend_on_report_order(self) -> None:
        """Guards against zones that treat a request differently after a partition."""
        reports = [make_crash("c1", "f"), make_crash("c2", "f", "g")]
        for order in (reports, reports[::-1]):
            suspects = CrashSuspects()
            for report in order:
                suspects.record_report(report, [], 0.0)
            self.assertIsInstance(suspects.verdict("f", 1.0), Convicted)
            self.assertEqual(RunAlone(), suspects.verdict("g", 1.0))

    def test_clearance_covers_only_the_crashes_it_names(self) -> None:
        """Guards against a delayed clearance that hides a newer crash."""
        self.suspects.record_report(make_crash("c1", "f", "g"), [], 0.0)
        self.assertEqual(
            [Send("a", SuspectCleared("f", ("c1",)))],
            self.suspects.clear("f", ["a"], 1.0),
        )
        self.assertEqual(Unsuspected(), self.suspects.verdict("f", 1.0))
        self.suspects.record_report(make_crash("c2", "f", "g"), [], 2.0)
        self.suspects.record_clearance(SuspectCleared("f", ("c1",)), [], 3.0)
        self.assertEqual(RunAlone(), self.suspects.verdict("f", 3.0))

    def test_clearance_may_arrive_before_its_report(self) -> None:
        """Guards against isolating a cleared request because of a delayed report."""
        self.suspects.record_clearance(SuspectCleared("f", ("c1",)), [], 0.0)
        self.suspects.record_report(make_crash("c1", "f", "g"), [], 1.0)
        self.assertEqual(Unsuspected(), self.suspects.verdict("f", 1.0))
        self.assertEqual(RunAlone(), self.suspects.verdict("g", 1.0))

    def test_convicted_request_is_not_cleared(self) -> None:
        """Guards against clearing a request by a copy that completed earlier."""
        self.suspects.record_report(make_crash("c1", "f"), [], 0.0)
        self.suspects.record_report(make_crash("c2", "f", alone=True), [], 1.0)
        self.assertEqual([], self.suspects.clear("f", ["a"], 2.0))
        self.suspects.record_clearance(SuspectCleared("f", ("c1", "c2")), [], 2.0)
        self.assertIsInstance(self.suspects.verdict("f", 2.0), Convicted)

    def test_lost_reports_are_repeated_with_their_age(self) -> None:
        """Guards against a lost report, and a repeat that resets a crash's age."""
        self.suspects.record_report(make_crash("c1", "f"), ["a"], 5.0)
        self.assertEqual([], self.suspects.tick(["a"], 5.5))
        repeated = [Send("a", make_crash("c1", "f", age=1.0))]
        self.assertEqual(repeated, self.suspects.tick(["a"], 6.0))
        self.assertEqual(1, len(self.suspects.tick(["a"], 7.0)))
        self.assertEqual([], self.suspects.tick(["a"], 9.0))

    def test_new_process_receives_recent_crashes(self) -> None:
        """Guards against a restarted process that does not run a suspect alone."""
        self.suspects.record_report(make_crash("c1", "f", "g"), [], 0.0)
        self.suspects.clear("g", [], 1.0)
        new_process = CrashSuspects()
        for action in self.suspects.recent_reports_for("new", 4.0):
            match action:
                case Send(message=SuspectCleared() as cleared):
                    new_process.record_clearance(cleared, [], 4.0)
                case Send(message=report):
                    new_process.record_report(report, [], 4.0)  # type: ignore[arg-type]
        self.assertEqual(RunAlone(), new_process.verdict("f", 4.0))
        self.assertEqual(Unsuspected(), new_process.verdict("g", 4.0))

    def _crash_with_segments(self, number: int, *segments: str) -> None:
        report = make_crash(f"c{number}", f"f{number}", segments=segments)
        self.suspects.record_report(report, [], float(number))

    def test_similar_requests_are_convicted_by_their_segment(self) -> None:
        """Guards against requests that differ in the end and crash server by server."""
        for number in range(3):
            verdict = self.suspects.verdict(f"f{number}", float(number), ("a", "bad"))
            self.assertEqual(Unsuspected(), verdict)
            self._crash_with_segments(number, "bad")
        self.assertIsInstance(
            self.suspects.verdict("new", 3.0, ("a", "bad")), Convicted
        )
        self.assertEqual(Unsuspected(), self.suspects.verdict("new", 3.0, ("a",)))

    def test_answer_clears_segments_at_all_processes(self) -> None:
        """Guards against refusing what was in flight beside the cause."""
        other = CrashSuspects()
        for number in range(3):
            self._crash_with_segments(number, "a")
            report = make_crash(f"c{number}", f"f{number}", segments=("a",))
            other.record_report(report, [], float(number))
        actions = self.suspects.record_answer(("a",), ["b"], 3.0)
        for action in actions:
            if isinstance(action, Send) and isinstance(action.message, SuspectCleared):
                other.record_clearance(action.message, [], 3.0)
        for suspects in (self.suspects, other):
            self.assertEqual(Unsuspected(), suspects.verdict("new", 3.0, ("a",)))

    def test_table_is_bounded_and_keeps_the_convicted(self) -> None:
        """Guards against memory that grows with the number of crashes."""
        self.suspects.record_report(make_crash("c", "bad", alone=True), [], 0.0)
        for number in range(MAX_SUSPECTS + 10):
            report = make_crash(f"c{number}", f"f{number}")
            self.suspects.record_report(report, [], 1.0)
        self.assertEqual(MAX_SUSPECTS, len(self.suspects))
        self.assertIsInstance(self.suspects.verdict("bad", 1.0), Convicted)
        self.assertEqual(Unsuspected(), self.suspects.verdict("f0", 1.0))

    def test_all_entries_isolate_at_one_server(self) -> None:
        """Guards against two copies of a suspect that crash two servers at once."""
        servers = {"a": ["s1", "s2"], "b": ["s3", "s4"], "c": []}
        shuffled = {"c": [], "b": ["s4", "s3"], "a": ["s2", "s1"]}
        for number in range(20):
            chosen = choose_isolation_server(f"f{number}", servers)
            self.assertEqual(chosen, choose_isolation_server(f"f{number}", shuffled))
            self.assertIsNotNone(chosen)
        self.assertIsNone(choose_isolation_server("f", {"c": []}))

    def test_fingerprint_separates_its_parts(self) -> None:
        """Guards against refusing another account's request by an equal hash."""
        self.assertNotEqual(
            fingerprint_request("ab", "c", b""), fingerprint_request("a", "bc", b"")
        )
