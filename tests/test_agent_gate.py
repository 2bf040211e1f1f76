from math import inf

from testtools import TestCase

from lacewingcleat.agent_gate import (
    AgentGate,
    Queued,
    RefusalReason,
    Refused,
    Started,
)
from lacewingcleat.firm_claims import apportion_slots
from lacewingcleat.load_shedding import AdmissionQueue, QueuedRequest, ShedReason
from tests.builders import make_server, make_sheet
from tests.builders_limits import make_gate, make_gate_request


class AgentGateTest(TestCase):
    def test_without_sheet_everything_is_refused(self) -> None:
        """Guards against work on a server whose state is unknown."""
        decision = AgentGate("server-1").admit(make_gate_request(), 0.0)
        self.assertEqual(RefusalReason.NO_SHEET, decision.reason)

    def test_older_revision_is_refused_only_for_other_routing(self) -> None:
        """Guards against refusals while an account change spreads."""
        gate = make_gate(make_sheet(revision=7))
        old = make_gate_request("a", revision=6, routing_digest="routing-6")
        self.assertEqual(RefusalReason.OLD_REVISION, gate.admit(old, 0.0).reason)
        same = make_gate_request("b", revision=6, routing_digest="routing-7")
        self.assertEqual(Started("b"), gate.admit(same, 0.0))

    def test_finish_starts_the_next_request(self) -> None:
        """Guards against a queue that waits for a tick while a slot is free."""
        gate = make_gate(make_sheet(servers=[make_server(slots=1)]))
        self.assertIsInstance(gate.admit(make_gate_request("a"), 0.0), Started)
        self.assertIsInstance(gate.admit(make_gate_request("b"), 0.0), Queued)
        self.assertEqual([Started("b")], gate.finish("a", 0.1))

    def test_drain_refuses_the_queue_and_keeps_running_work(self) -> None:
        """Guards against new starts, or cut work, on a server that is leaving."""
        gate = make_gate(make_sheet(servers=[make_server(slots=1)]))
        gate.admit(make_gate_request("a"), 0.0)
        gate.admit(make_gate_request("b"), 0.0)
        events = gate.drain(0.1)
        self.assertEqual(["b"], [e.request_id for e in events])
        self.assertIsInstance(events[0], Refused)
        self.assertFalse(gate.drained)
        gate.finish("a", 0.2)
        self.assertTrue(gate.drained)

    def test_paused_gate_starts_nothing_until_it_resumes(self) -> None:
        """Guards against starts by a sheet from before a pause."""
        gate = make_gate(make_sheet(servers=[make_server(slots=1)]))
        gate.admit(make_gate_request("a"), 0.0)
        gate.admit(make_gate_request("b"), 0.0)
        gate.pause(5.0)
        self.assertEqual([], gate.finish("a", 5.1))
        refused = gate.admit(make_gate_request("c"), 5.1)
        self.assertEqual(RefusalReason.PAUSED, refused.reason)
        self.assertEqual([Started("b")], gate.resume(5.2))

    def test_suspect_runs_alone(self) -> None:
        """Guards against a suspect that takes other requests down with it."""
        gate = make_gate(make_sheet(servers=[make_server(slots=4)]))
        gate.admit(make_gate_request("a"), 0.0)
        suspect = gate.admit(make_gate_request("s", run_alone=True), 0.0)
        self.assertIsInstance(suspect, Queued)
        self.assertIsInstance(gate.admit(make_gate_request("b"), 0.0), Queued)
        self.assertEqual([Started("s")], gate.finish("a", 0.1))
        self.assertEqual([Started("b")], gate.finish("s", 0.2))

    def test_claim_holders_that_both_wait_do_not_deadlock(self) -> None:
        """Guards against two firms within their claims that wait for each other."""
        gate = make_gate(make_sheet(servers=[make_server(slots=2)]))
        gate.set_shares({"coteau": 0.5, "kowhai": 0.5}, 0.0)
        gate.admit(make_gate_request("s", run_alone=True), 0.0)
        gate.admit(make_gate_request("a", firm="coteau"), 0.0)
        gate.admit(make_gate_request("b", firm="kowhai"), 0.0)
        self.assertEqual({Started("a"), Started("b")}, set(gate.finish("s", 0.1)))


class FirmClaimsTest(TestCase):
    def test_claims_never_exceed_the_slots(self) -> None:
        """Guards against shares that round up to more slots than there are."""
        for slots in range(12):
            for shares in ([0.5, 0.5], [0.9, 0.9], [0.34, 0.33, 0.33], [0.01, 0.99]):
                share_by_firm = {f"firm-{n}": share for n, share in enumerate(shares)}
                claims = apportion_slots(slots, share_by_firm)
                self.assertLessEqual(sum(claims.values()), slots)
        self.assertEqual({"a": 3, "b": 1}, apportion_slots(4, {"a": 0.75, "b": 0.25}))

    def test_a_small_share_gets_a_slot(self) -> None:
        """Guards against a claim that is rounded down to nothing."""
        self.assertEqual({"a": 1, "b": 7}, apportion_slots(8, {"a": 0.05, "b": 0.95}))


class AdmissionQueueTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue = AdmissionQueue(lambda firm: 1, max_waiting=3, max_wait_seconds=9.0)

    def offer(self, name: str, priority: int = 5, account: str = "a") -> list[str]:
        request = QueuedRequest(name, account, "coteau", priority, inf)
        return [shed.request.request_id for shed in self.queue.offer(request, 0.0)]

    def take(self) -> str:
        request = self.queue.take(lambda request: True)
        return request.request_id if request else ""

    def test_accounts_of_a_priority_are_served_round_robin(self) -> None:
        """Guards against one account that fills the queue for all others."""
        for name, account in (("a1", "a"), ("a2", "a"), ("b1", "b")):
            self.assertEqual([], self.offer(name, account=account))
        self.assertEqual(["a1", "b1", "a2"], [self.take() for _ in range(3)])

    def test_full_queue_sheds_the_least_urgent(self) -> None:
        """Guards against urgent work that is refused behind work that can wait."""
        for name, priority in (("x", 5), ("y", 7), ("z", 7)):
            self.offer(name, priority)
        self.assertEqual(["z"], self.offer("urgent", 0))
        self.assertEqual("urgent", self.take())

    def test_least_urgent_is_shed_first_and_early(self) -> None:
        """Guards against a queue that fills with work nobody waits for."""
        queue = AdmissionQueue(lambda firm: 1, max_waiting=100, max_wait_seconds=1.0)
        queue.record_service_time(0.5)
        for number in range(2):
            request = QueuedRequest(f"r{number}", "a", "coteau", 0, inf)
            self.assertEqual([], queue.offer(request, 0.0))
        for priority, sheds in ((9, 1), (0, 0)):
            request = QueuedRequest(f"p{priority}", "a", "coteau", priority, inf)
            self.assertEqual(sheds, len(queue.offer(request, 0.0)))

    def test_retry_after_spreads_callers(self) -> None:
        """Guards against callers that are all told to come back at one moment."""
        retry_times = [self.queue.retry_after("coteau", 5, 0.0) for _ in range(30)]
        self.assertEqual(sorted(retry_times), retry_times)
        self.assertAlmostEqual(0.5, retry_times[29] - retry_times[28])

    def test_work_that_cannot_meet_its_deadline_is_shed(self) -> None:
        """Guards against service spent on a response that nobody waits for."""
        self.offer("a")
        self.offer("b")
        late = QueuedRequest("late", "a", "coteau", 5, 0.9)
        sheds = self.queue.offer(late, 0.0)
        self.assertEqual([ShedReason.DEADLINE], [shed.reason for shed in sheds])
