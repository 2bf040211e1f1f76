"""Simulate a group's ranks, agents and network in memory, with injected faults."""

from collections import deque
from dataclasses import dataclass, field

from lacewingcleat.actions import Send
from lacewingcleat.map_switch import EncodedMap, RankSwitch, SwitchLeader
from lacewingcleat.messages import SwitchStatus
from lacewingcleat.order_fence import (
    FIRST_READ_DELAY_SECONDS,
    FenceNumber,
    IssueOrder,
    Order,
    OrderFence,
    ReadState,
)
from lacewingcleat.rank_switch import FetchMap
from tests.builders_experts import StandInEngine

GROUP = "group-1"


@dataclass
class Agent:
    fence: OrderFence
    switch: RankSwitch
    leader: SwitchLeader
    started_at: float
    paused: bool = False


@dataclass
class Packet:
    source: int
    target: int
    message: object


@dataclass
class EngineCall:
    agent: Agent
    number: FenceNumber
    order: Order


@dataclass
class GroupSimulation:
    """Simulate a group; the tests call one method per event.

    :param disconnected: ranks whose agents are disconnected from the network.
    :param not_receiving: ranks whose agents receive no messages from others.
    :param stalled_engines: ranks whose engines run no orders unless told to.
    :param delayed_packets: copies of messages for late delivery.
    """

    size: int
    engine_checks_fencing: bool
    now: float = 0.0
    start_count: int = 0
    version: int = 1
    packets: list[Packet] = field(default_factory=list)
    calls: list[deque[EngineCall]] = field(default_factory=list)
    disconnected: set[int] = field(default_factory=set)
    not_receiving: set[int] = field(default_factory=set)
    stalled_engines: set[int] = field(default_factory=set)
    delayed_packets: list[Packet] = field(default_factory=list)
    longest_hold: float = 0.0
    held_since: float | None = None
    message_count: int = 0

    def __post_init__(self) -> None:
        self.names = tuple(f"server-{rank}" for rank in range(self.size))
        self.engines = [StandInEngine(self.engine_checks_fencing) for _ in self.names]
        self.calls = [deque() for _ in self.names]
        self.agents: list[Agent | None] = [None for _ in self.names]
        for rank in range(self.size):
            self.start_agent(rank)

    def start_agent(self, rank: int) -> None:
        self.start_count += 1
        fence = OrderFence(
            f"start-{self.start_count}", self.engine_checks_fencing, self.now
        )
        switch = RankSwitch(GROUP, rank, fence)
        leader = SwitchLeader(GROUP, self.names[rank], self.names, self.now)
        for version in range(1, self.version + 1):
            leader.store_map(make_map(version))
        self.agents[rank] = Agent(fence, switch, leader, self.now)

    def kill_agent(self, rank: int) -> None:
        self.agents[rank] = None

    def kill_engine(self, rank: int) -> None:
        self.calls[rank].clear()
        self.engines[rank].restart(max(e.state.step for e in self.engines))
        for engine in self.engines:
            engine.cancel_step()

    def propose(self, rank: int) -> None:
        agent = self.agents[rank]
        if agent is None or agent.paused:
            return
        self.version += 1
        new_map = make_map(self.version)
        agent.leader.propose(new_map, self.now)
        for other in self.agents:
            if other is not None:
                other.leader.store_map(new_map)

    def lead(self, rank: int) -> None:
        agent = self.agents[rank]
        if agent is not None and not agent.paused:
            self.perform(rank, agent, agent.leader.start_leading(self.now))

    def tick(self, rank: int) -> None:
        agent = self.agents[rank]
        if agent is None or agent.paused:
            return
        self.perform(rank, agent, agent.switch.tick(self.now))
        self.perform(rank, agent, agent.leader.tick(self.now))

    def deliver(self, packet: Packet) -> None:
        if packet.source in self.disconnected or packet.target in self.disconnected:
            if packet.source != packet.target:
                return
        if packet.target in self.not_receiving and packet.source != packet.target:
            return
        agent = self.agents[packet.target]
        if agent is None:
            return
        if agent.paused:
            self.packets.append(packet)
            return
        if isinstance(packet.message, SwitchStatus):
            actions = agent.leader.receive(packet.message, self.now)
        else:
            sender = self.names[packet.source]
            actions = agent.switch.receive(sender, packet.message, self.now)
        self.perform(packet.target, agent, actions)

    def perform(self, rank: int, agent: Agent, actions: list) -> None:
        for action in actions:
            match action:
                case Send(instance, message):
                    self.message_count += 1
                    target = self.names.index(instance)
                    self.packets.append(Packet(rank, target, message))
                case IssueOrder(fence, order):
                    self.calls[rank].append(EngineCall(agent, fence, order))
                case ReadState(read_id):
                    self.read(rank, agent, read_id)
                case FetchMap(map_version=version):
                    ready = agent.switch.weights_ready(version, self.now)
                    self.perform(rank, agent, ready)

    def read(self, rank: int, agent: Agent, read_id: int) -> None:
        if not self.engine_checks_fencing:
            self.run_orphaned_calls(rank, agent)
        state = self.engines[rank].state
        self.perform(rank, agent, agent.fence.state_read(read_id, state, self.now))
        self.perform(rank, agent, agent.switch.engine_state_updated(self.now))

    def run_orphaned_calls(self, rank: int, agent: Agent) -> None:
        """Run the orders that a dead agent left inside the engine.

        An engine that ignores fencing numbers is assumed to complete its orders within
        the time that the next agent waits before its first read.
        """
        if agent.started_at and self.now - agent.started_at < FIRST_READ_DELAY_SECONDS:
            return
        waiting = self.calls[rank]
        while waiting and waiting[0].agent is not agent:
            call = waiting.popleft()
            self.engines[rank].execute(call.number, call.order)

    def run_call(self, rank: int, answer: bool) -> None:
        """Make the engine run its oldest order; the answer may be lost."""
        if not self.calls[rank]:
            return
        call = self.calls[rank].popleft()
        self.engines[rank].execute(call.number, call.order)
        agent = call.agent
        if answer and self.agents[rank] is agent and not agent.paused:
            self.perform(rank, agent, agent.fence.order_answered(call.number, self.now))

    def start_step(self, rank: int) -> None:
        engine = self.engines[rank]
        if not engine.state.held and not engine.step_map_version:
            maps = {each.state.map_version for each in self.engines} - {0}
            assert len(maps) <= 1, f"rank {rank} starts a step with maps {sorted(maps)}"
        engine.start_step()
        self.check_maps()

    def finish_step(self) -> None:
        if all(engine.step_map_version for engine in self.engines):
            for engine in self.engines:
                engine.complete_step()

    def check_maps(self) -> None:
        """Fail if two ranks run the same step with different maps."""
        maps = {
            engine.step_map_version
            for engine in self.engines
            if engine.step_map_version
        }
        steps = {
            engine.state.step for engine in self.engines if engine.step_map_version
        }
        assert len(maps) <= 1, f"step runs with maps {sorted(maps)}"
        assert len(steps) <= 1, f"ranks are at steps {sorted(steps)}"

    def run(self, seconds: float, period: float = 0.01) -> None:
        """Advance the time with the current faults."""
        end = self.now + seconds
        while self.now < end:
            self.now += period
            for rank in range(self.size):
                self.start_step(rank)
            self.finish_step()
            for rank in range(self.size):
                while self.calls[rank] and rank not in self.stalled_engines:
                    self.run_call(rank, True)
                self.tick(rank)
            packets, self.packets = self.packets, []
            for packet in packets:
                self.deliver(packet)
            self._measure_hold()

    def heal(self) -> None:
        """Remove all faults; the lowest rank leads from now on."""
        self.disconnected.clear()
        self.not_receiving.clear()
        self.stalled_engines.clear()
        for rank, agent in enumerate(self.agents):
            if agent is None:
                self.start_agent(rank)
            elif agent.paused:
                agent.paused = False
        for rank, agent in enumerate(self.agents):
            if agent is not None:
                agent.switch.set_leader(self.names[0])
                if rank:
                    agent.leader.stop_leading()
        self.lead(0)

    def _measure_hold(self) -> None:
        if not any(engine.state.held for engine in self.engines):
            self.held_since = None
            return
        if self.held_since is None:
            self.held_since = self.now
        self.longest_hold = max(self.longest_hold, self.now - self.held_since)


def make_map(version: int) -> EncodedMap:
    """Build a map with placeholder content."""
    return EncodedMap(version, f"digest-{version}", version - 1, b"", b"complete")
