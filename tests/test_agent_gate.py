from testtools import TestCase

from lacewingcleat.agent_gate import (
    AgentGate,
    Queued,
    RefusalReason,
    Refused,
    Started,
)
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

    def test_suspect_runs_alone(self) -> None:
        """Guards against a suspect that takes other requests down with it."""
        gate = make_gate(make_sheet(servers=[make_server(slots=4)]))
        gate.admit(make_gate_request("a"), 0.0)
        suspect = gate.admit(make_gate_request("s", run_alone=True), 0.0)
        self.assertIsInstance(suspect, Queued)
        self.assertIsInstance(gate.admit(make_gate_request("b"), 0.0), Queued)
        self.assertEqual([Started("s")], gate.finish("a", 0.1))
        self.assertEqual([Started("b")], gate.finish("s", 0.2))
