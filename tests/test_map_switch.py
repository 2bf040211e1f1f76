from testtools import TestCase

from lacewingcleat.actions import Send
from lacewingcleat.map_switch import EncodedMap, LeaderPhase, RankSwitch, SwitchLeader
from lacewingcleat.messages import RankPhase, SwitchStatus
from lacewingcleat.order_fence import IssueOrder, OrderFence, ReadState
from lacewingcleat.rank_switch import FetchMap, RankAction
from tests.builders_experts import StandInEngine


class PlainGroup:
    """Deliver every message at once and run all engines in lock-step."""

    def __init__(self, ranks: int, checks: bool) -> None:
        self.now = 0.0
        self.names = tuple(f"server-{rank}" for rank in range(ranks))
        self.engines = [StandInEngine(checks) for _ in self.names]
        self.fences = [OrderFence(f"inc-{name}", checks, 0.0) for name in self.names]
        self.ranks = [
            RankSwitch("group-1", rank, fence) for rank, fence in enumerate(self.fences)
        ]
        self.leader = SwitchLeader("group-1", self.names[0], self.names, 0.0)

    def carry_out(self, rank: int, actions: list[RankAction]) -> None:
        fence, switch = self.fences[rank], self.ranks[rank]
        for action in actions:
            match action:
                case IssueOrder(number, order):
                    self.engines[rank].run(number, order)
                    self.carry_out(rank, list(fence.order_answered(number, self.now)))
                case ReadState(read_id):
                    fence.state_read(read_id, self.engines[rank].state, self.now)
                    self.carry_out(rank, switch.engine_read(self.now))
                case FetchMap(map_version=version):
                    self.carry_out(rank, switch.weights_ready(version, self.now))
                case Send(_, SwitchStatus() as status):
                    self.deliver(self.leader.receive(status, self.now))

    def deliver(self, actions: list) -> None:
        for action in actions:
            rank = self.names.index(action.instance)
            replies = self.ranks[rank].receive(
                self.names[0],
                action.message,
                self.now,
            )
            self.carry_out(rank, replies)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.01)):
            self.now += 0.01
            if not any(engine.state.held for engine in self.engines):
                for engine in self.engines:
                    engine.complete_step()
            for rank, fence in enumerate(self.fences):
                self.carry_out(rank, list(fence.refresh(self.now)))
                self.carry_out(rank, list(fence.tick(self.now)))
            self.deliver(self.leader.tick(self.now))


class MapSwitchTest(TestCase):
    def test_group_switches_without_faults(self) -> None:
        """Guards against a switch that never ends or ends on two maps."""
        for checks in (True, False):
            group = PlainGroup(3, checks)
            group.deliver(group.leader.lead(0.0))
            group.run(3.0)
            self.assertEqual(LeaderPhase.IDLE, group.leader.phase)
            self.assertTrue(
                group.leader.propose(EncodedMap(2, "d", 1, b"", b""), group.now),
            )
            group.run(10.0)
            self.assertEqual(
                [2] * 3,
                [engine.state.map_version for engine in group.engines],
            )
            self.assertEqual(
                [RankPhase.RUNNING] * 3,
                [rank.phase for rank in group.ranks],
            )
            self.assertEqual(1, group.leader.finished)
