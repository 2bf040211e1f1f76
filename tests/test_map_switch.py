from testtools import TestCase

from lacewingcleat.map_switch import HOLD_TIMEOUT_SECONDS, LeaderPhase
from lacewingcleat.messages import RankPhase
from tests.group_simulation import GroupSimulation


class MapSwitchTest(TestCase):
    def test_group_switches_without_faults(self) -> None:
        """Guards against a switch that never ends, or holds longer than its bound."""
        for checks in (True, False):
            group = GroupSimulation(3, checks)
            group.lead(0)
            group.run(4.0)
            self.assertEqual(LeaderPhase.IDLE, group.agents[0].leader.phase)
            group.propose(0)
            group.run(5.0)
            maps = [engine.state.map_version for engine in group.engines]
            self.assertEqual([2] * 3, maps)
            phases = [agent.switch.phase for agent in group.agents]
            self.assertEqual([RankPhase.RUNNING] * 3, phases)
            self.assertEqual(1, group.agents[0].leader.finished_switches)
            self.assertLess(group.longest_hold, HOLD_TIMEOUT_SECONDS)

    def test_hold_times_out_when_a_rank_is_disconnected(self) -> None:
        """Guards against a group that stands still until the rank is back."""
        group = GroupSimulation(3, False)
        group.lead(0)
        group.run(4.0)
        group.propose(0)
        leader = group.agents[0].leader
        while leader.phase is not LeaderPhase.HOLDING:
            group.run(0.01)
        group.disconnected.add(2)
        started = group.now
        while leader.phase is LeaderPhase.HOLDING:
            group.run(0.01)
            self.assertLess(group.now - started, HOLD_TIMEOUT_SECONDS + 0.05)
        group.run(0.2)
        held = [engine.state.held for engine in group.engines[:2]]
        self.assertEqual([False, False], held)
        self.assertEqual([1] * 3, [each.state.map_version for each in group.engines])

    def test_restart_between_promise_and_read_starts_a_new_epoch(self) -> None:
        """Guards against a decision on the word of an agent that has forgotten it."""
        group = GroupSimulation(2, False)
        leader = group.agents[0].leader
        group.lead(0)
        for _ in range(400):
            group.run(0.01)
            if leader.phase in (LeaderPhase.CONFIRMING, LeaderPhase.IDLE):
                break
        self.assertEqual(LeaderPhase.CONFIRMING, leader.phase)
        term = leader.epoch.term
        group.start_agent(1)
        group.agents[1].switch.set_leader(group.names[0])
        for _ in range(400):
            group.run(0.01)
            if leader.phase is LeaderPhase.IDLE:
                break
        self.assertEqual(LeaderPhase.IDLE, leader.phase)
        self.assertGreater(leader.epoch.term, term)

    def test_messages_do_not_multiply(self) -> None:
        """Guards against a leader that answers each status with one message per rank.

        Statuses and answers then multiplied until the group was flooded.
        """
        group = GroupSimulation(8, True)
        group.lead(0)
        group.run(4.0)
        group.message_count = 0
        group.propose(0)
        group.run(4.0)
        self.assertEqual(1, group.agents[0].leader.finished_switches)
        self.assertLess(group.message_count, 8 * 40)

    def test_no_rank_resumes_before_all_have_switched(self) -> None:
        """Guards against a step with two maps when a Commit is late."""
        group = GroupSimulation(3, False)
        leader = group.agents[0].leader
        group.lead(0)
        group.run(4.0)
        group.propose(0)
        while leader.phase is not LeaderPhase.SETTLING:
            group.run(0.01)
        group.disconnected.add(2)
        group.run(1.0)
        states = [engine.state for engine in group.engines]
        self.assertEqual([2, 2, 1], [state.map_version for state in states])
        self.assertEqual([True] * 3, [state.held for state in states])
        group.disconnected.clear()
        group.run(8.0)
        states = [engine.state for engine in group.engines]
        self.assertEqual([2] * 3, [state.map_version for state in states])
        self.assertEqual([False] * 3, [state.held for state in states])
