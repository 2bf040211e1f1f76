from testtools import TestCase

from lacewingcleat.messages import (
    Epoch,
    Grant,
    RankPhase,
    SwitchAbort,
    SwitchCommit,
    SwitchHold,
    SwitchPrepare,
    SwitchQuery,
    SwitchResume,
)
from tests.group_simulation import GROUP, GroupSimulation

FIRST = Epoch(1, "server-0")
SECOND = Epoch(2, "server-1")


class SingleRank:
    """Send messages to the agent of one rank, whose engine responds immediately."""

    def __init__(self, engine_checks_fencing: bool = False) -> None:
        self.group = GroupSimulation(1, engine_checks_fencing)
        self.agent = self.group.agents[0]
        self.group.run(3.0)

    @property
    def engine(self):
        return self.group.engines[0].state

    @property
    def grant(self) -> Grant:
        return self.agent.fence.grant(self.group.now)

    def send(self, message: object, seconds: float = 0.02) -> None:
        now = self.group.now
        actions = self.agent.switch.receive("server-0", message, now)
        self.group.perform(0, self.agent, actions)
        self.group.run(seconds)

    def promise(self, epoch: Epoch) -> None:
        self.send(SwitchQuery(GROUP, epoch, 1, self.grant))

    def prepare(self, epoch: Epoch, version: int = 2) -> None:
        self.send(SwitchPrepare(GROUP, epoch, version, "d", grant=self.grant))

    def hold(self, epoch: Epoch) -> None:
        step = self.engine.step + 2
        self.send(SwitchHold(GROUP, epoch, 2, step, self.grant), 0.1)


class RankSwitchTest(TestCase):
    def test_lower_epoch_is_not_promised(self) -> None:
        """Guards against a replaced leader that regains control of the group."""
        rank = SingleRank()
        rank.promise(SECOND)
        rank.promise(FIRST)
        self.assertEqual(SECOND, rank.agent.switch.promised)

    def test_message_of_lower_epoch_is_ignored(self) -> None:
        """Guards against a delayed Prepare of a replaced leader."""
        rank = SingleRank()
        rank.promise(SECOND)
        rank.prepare(FIRST)
        self.assertEqual(0, rank.engine.next_map_version)

    def test_late_commit_of_a_replaced_leader_is_ignored(self) -> None:
        """Guards against a switch at one rank after the others have aborted."""
        rank = SingleRank()
        rank.promise(FIRST)
        rank.prepare(FIRST)
        rank.hold(FIRST)
        rank.promise(SECOND)
        self.assertEqual(RankPhase.HELD, rank.agent.switch.phase)
        rank.send(SwitchCommit(GROUP, FIRST, 2, rank.grant))
        self.assertEqual(1, rank.engine.map_version)

    def test_messages_to_an_earlier_incarnation_are_ignored(self) -> None:
        """Guards against an agent that promises a lower epoch after a restart.

        It has lost its promise, and a delayed Query of a replaced leader arrives.
        """
        rank = SingleRank()
        old = rank.grant
        rank.promise(SECOND)
        rank.group.start_agent(0)
        rank.agent = rank.group.agents[0]
        rank.group.run(3.0)
        rank.send(SwitchQuery(GROUP, FIRST, 1, old))
        self.assertEqual(Epoch(0, ""), rank.agent.switch.promised)

    def test_rank_that_runs_does_not_switch(self) -> None:
        """Guards against a change of the map while the engine runs a step."""
        rank = SingleRank()
        rank.promise(FIRST)
        rank.prepare(FIRST)
        rank.send(SwitchCommit(GROUP, FIRST, 2, rank.grant))
        self.assertEqual(1, rank.engine.map_version)
        self.assertEqual(RankPhase.PREPARED, rank.agent.switch.phase)

    def test_late_messages_after_an_abort_are_ignored(self) -> None:
        """Guards against a rank that holds while all others run.

        A delayed Prepare and Hold arrive after the Abort of the same epoch.
        """
        rank = SingleRank()
        rank.promise(FIRST)
        rank.prepare(FIRST)
        rank.send(SwitchAbort(GROUP, FIRST, 2, rank.grant))
        self.assertEqual(RankPhase.RUNNING, rank.agent.switch.phase)
        rank.prepare(FIRST)
        rank.hold(FIRST)
        self.assertEqual(RankPhase.RUNNING, rank.agent.switch.phase)

    def test_switched_rank_waits_for_resume(self) -> None:
        """Guards against a rank that runs a step before all have switched."""
        rank = SingleRank()
        rank.promise(FIRST)
        rank.prepare(FIRST)
        rank.hold(FIRST)
        rank.send(SwitchCommit(GROUP, FIRST, 2, rank.grant), 10.0)
        self.assertEqual(RankPhase.SWITCHED, rank.agent.switch.phase)
        rank.send(SwitchAbort(GROUP, FIRST, 2, rank.grant))
        self.assertEqual(RankPhase.SWITCHED, rank.agent.switch.phase)
        rank.send(SwitchResume(GROUP, FIRST, 2, rank.grant))
        self.assertEqual(RankPhase.RUNNING, rank.agent.switch.phase)

    def test_barrier_makes_an_order_inside_the_engine_void(self) -> None:
        """Guards against a dead agent's order that runs after the next agent's read."""
        rank = SingleRank(engine_checks_fencing=True)
        rank.promise(FIRST)
        rank.prepare(FIRST)
        rank.hold(FIRST)
        rank.group.stalled_engines.add(0)
        rank.send(SwitchCommit(GROUP, FIRST, 2, rank.grant))
        late = rank.group.calls[0].popleft()
        rank.group.stalled_engines.clear()
        rank.group.start_agent(0)
        rank.agent = rank.group.agents[0]
        rank.group.run(3.0)
        rank.promise(SECOND)
        rank.group.engines[0].execute(late.number, late.order)
        self.assertEqual(1, rank.engine.map_version)
