"""Messages and round trips of a switch, and a stalled rank, by counts."""

from dataclasses import dataclass, replace

import numpy as np

from bench.expert_day import Size, place_all
from lacewingcleat.actions import Action, Send
from lacewingcleat.expert_load import ExpertLoadEstimator, RankCondition
from lacewingcleat.map_switch import EncodedMap, LeaderPhase, RankSwitch, SwitchLeader
from lacewingcleat.messages import OrderKind, RankReport, SwitchStatus
from lacewingcleat.order_fence import (
    EngineState,
    IssueOrder,
    OrderFence,
    ReadState,
)
from lacewingcleat.rank_switch import FetchMap, RankAction
from lacewingcleat.rebalance import MapChangeCosts, RebalancePlanner, total_times

ONE_WAY_SECONDS = 0.0005
MESSAGE_SECONDS = 42e-6
STEP_SECONDS = 0.02


@dataclass
class SwitchCount:
    """Collect the counts of one switch without faults."""

    messages: int = 0
    rounds_held: int = 0
    messages_held: int = 0

    @property
    def hold_seconds(self) -> float:
        """Return the hold by the stated latency and cost per message at the leader."""
        latency = 2 * self.rounds_held * ONE_WAY_SECONDS
        return latency + self.messages_held * MESSAGE_SECONDS


class PerfectGroup:
    """Deliver messages in rounds; engines carry orders out at once."""

    def __init__(self, ranks: int) -> None:
        self.now = 0.0
        self.names = tuple(f"server-{rank}" for rank in range(ranks))
        self.states = [
            EngineState("engine", map_version=1, held=False) for _ in self.names
        ]
        self.fences = [OrderFence(f"inc-{name}", False, 0.0) for name in self.names]
        self.ranks = [RankSwitch("g", i, fence) for i, fence in enumerate(self.fences)]
        self.leader = SwitchLeader("g", self.names[0], self.names, 0.0)
        self.to_ranks: list[Action] = []
        self.to_leader: list[SwitchStatus] = []
        self.messages = 0

    def carry_out(self, rank: int, actions: list[RankAction]) -> None:
        """Run a rank's orders and readings, and collect its statuses."""
        fence = self.fences[rank]
        for action in actions:
            match action:
                case IssueOrder(number, order):
                    state = self.states[rank]
                    match order.kind:
                        case OrderKind.LOAD_MAP:
                            state = replace(state, next_map_version=order.map_version)
                        case OrderKind.HOLD:
                            state = replace(state, hold_step=order.step)
                        case OrderKind.SWITCH_MAP:
                            version = order.map_version
                            state = replace(
                                state,
                                map_version=version,
                                next_map_version=0,
                            )
                        case OrderKind.DROP_MAP:
                            state = replace(
                                state,
                                held=False,
                                hold_step=-1,
                                next_map_version=0,
                            )
                        case _:
                            state = replace(state, held=False, hold_step=-1)
                    self.states[rank] = state
                    self.carry_out(rank, list(fence.order_answered(number, self.now)))
                case ReadState(read_id):
                    fence.state_read(read_id, self.states[rank], self.now)
                    self.carry_out(
                        rank, self.ranks[rank].engine_state_updated(self.now)
                    )
                case FetchMap(map_version=version):
                    ready = self.ranks[rank].weights_ready(version, self.now)
                    self.carry_out(rank, ready)
                case Send(_, SwitchStatus() as status):
                    self.to_leader.append(status)

    def deliver_round(self) -> None:
        """Deliver to all ranks, then all replies to the leader."""
        sent, self.to_ranks = self.to_ranks, []
        for action in sent:
            if isinstance(action, Send):
                rank = self.names.index(action.instance)
                message = action.message
                replies = self.ranks[rank].receive(self.names[0], message, self.now)  # type: ignore[arg-type]
                self.carry_out(rank, replies)
        statuses, self.to_leader = self.to_leader, []
        self.messages += len(sent) + len(statuses)
        for status in statuses:
            self.to_ranks += self.leader.receive(status, self.now)

    def step(self) -> None:
        """Let all engines complete a step, if none is held."""
        if any(state.held for state in self.states):
            return
        for rank, state in enumerate(self.states):
            step = state.step + 1
            held = 0 <= state.hold_step <= step
            self.states[rank] = replace(state, step=step, held=held)

    def run_until(self, phase: LeaderPhase) -> None:
        """Run ticks of one step until the leader is in a phase."""
        for _ in range(2_000):
            if self.leader.phase is phase and not self.to_ranks:
                return
            self.now += STEP_SECONDS
            self.step()
            for rank, switch in enumerate(self.ranks):
                self.carry_out(rank, switch.tick(self.now))
            self.to_ranks += self.leader.tick(self.now)
            self.deliver_round()
        raise RuntimeError(f"leader did not reach {phase.value}")


def count_switch(ranks: int) -> SwitchCount:
    """Run one switch and count messages, and rounds from hold to resume."""
    group = PerfectGroup(ranks)
    group.to_ranks += group.leader.start_leading(0.0)
    group.run_until(LeaderPhase.IDLE)
    group.leader.propose(EncodedMap(2, "d", 1, b"", b""), group.now)
    group.messages = 0
    count = SwitchCount()
    for _ in range(4_000):
        group.now += STEP_SECONDS / 4
        group.step()
        for rank, switch in enumerate(group.ranks):
            group.carry_out(rank, switch.tick(group.now))
        group.to_ranks += group.leader.tick(group.now)
        held = any(state.held for state in group.states)
        before = group.messages
        group.deliver_round()
        if held:
            count.rounds_held += 1
            count.messages_held += group.messages - before
        if group.leader.finished_switches and group.leader.phase is LeaderPhase.IDLE:
            count.messages = group.messages
            return count
    raise RuntimeError("the switch did not finish")


TOKENS_IN_REPORT = 1_000_000


@dataclass(frozen=True)
class StallOutcome:
    """Say when a slow rank was found and what relieving it gained."""

    reports_to_recognise: int
    reports_to_relieve: int
    step_before: float
    step_after: float


def stall_rank(size: Size, slowdown: float) -> StallOutcome:
    """Slow one rank down under even load and follow the planner."""
    rng = np.random.default_rng(5)
    loads = rng.gamma(2.0, 1.0, (size.layers, size.experts))
    loads /= loads.sum(axis=1, keepdims=True)
    planner = RebalancePlanner(place_all(loads, size), 3.0, 1.0, MapChangeCosts())
    estimate = ExpertLoadEstimator(size.layers, size.experts, size.ranks)
    estimate.loads[:] = loads
    true_speeds = np.ones(size.ranks)
    true_speeds[1] = 1.0 / slowdown
    level = np.ones(size.ranks)
    before = float((total_times(planner.slots, loads, level) / true_speeds).max())
    recognised = 0
    for number in range(1, 120):
        work = total_times(planner.slots, loads, level)
        seconds = work / true_speeds
        by_rank = {rank: float(value) for rank, value in enumerate(seconds)}
        # Reports name one layer at a time, as those of the agents.
        layer = number % size.layers
        tokens = {
            (layer, expert): round(share * TOKENS_IN_REPORT)
            for expert, share in enumerate(loads[layer])
        }
        report = RankReport("g", 1, by_rank, tokens, number)
        estimate.observe(report, work, float(number))
        findings = estimate.slow_ranks()
        if findings and not recognised:
            if findings[0].condition is RankCondition.NORMAL or findings[0].rank != 1:
                raise RuntimeError(f"wrong finding {findings[0]}")
            recognised = number
        planner.start(loads, estimate.speeds(), float(number))
        plan = None
        while planner.is_planning:
            plan = planner.run_slice(float(number))
        if plan is not None:
            level_times = total_times(plan.slots, loads, level)
            after = float((level_times / true_speeds).max())
            return StallOutcome(recognised, number, before, after)
    raise RuntimeError("the slow rank was not relieved")
