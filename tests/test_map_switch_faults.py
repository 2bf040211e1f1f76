"""Test that all ranks run each step with the same expert map under faults."""

import os

import pytest
from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from lacewingcleat.map_switch import LeaderPhase
from lacewingcleat.messages import RankPhase
from tests.builders_experts import hypothesis_phases
from tests.group_simulation import GroupSimulation

RANKS = st.integers(0, 2)
RECOVERY_TIMEOUT_SECONDS = 90.0


class SwitchMachine(RuleBasedStateMachine):
    """Drop, delay, duplicate, reorder messages; kill, pause, disconnect processes."""

    engine_checks_fencing = True

    @initialize(leader=RANKS)
    def begin(self, leader: int) -> None:
        self.group = GroupSimulation(3, self.engine_checks_fencing)
        self.group.lead(leader)
        self.group.run(3.5, 0.05)
        self.group.propose(leader)

    @rule(rank=RANKS)
    def lead(self, rank: int) -> None:
        self.group.lead(rank)

    @rule(rank=RANKS)
    def stop_leading(self, rank: int) -> None:
        agent = self.group.agents[rank]
        if agent is not None:
            agent.leader.stop_leading()

    @rule(rank=RANKS)
    def propose(self, rank: int) -> None:
        self.group.propose(rank)

    @rule(rounds=st.integers(1, 12), keep=st.booleans(), lost=st.integers(0, 5))
    def progress(self, rounds: int, keep: bool, lost: int) -> None:
        """Advance the time; record messages for late delivery and drop some."""
        for number in range(rounds):
            if keep:
                self.group.delayed_packets = (
                    self.group.delayed_packets + self.group.packets
                )[-40:]
            if lost and number % 3 == 0:
                del self.group.packets[lost - 1 : lost]
            self.group.run(0.01)

    @rule(
        phase=st.sampled_from(
            [LeaderPhase.PREPARING, LeaderPhase.HOLDING, LeaderPhase.SETTLING],
        ),
        rank=RANKS,
        slow=st.sets(RANKS, max_size=2),
        deaf=st.sets(RANKS, max_size=2),
    )
    def progress_until(
        self,
        phase: LeaderPhase,
        rank: int,
        slow: set[int],
        deaf: set[int],
    ) -> None:
        """Run to a phase that random events rarely reach, then make some ranks fail."""
        self.group.propose(rank)
        for _ in range(150):
            leaders = [agent.leader for agent in self.group.agents if agent]
            if any(leader.phase is phase and leader.has_proposal for leader in leaders):
                break
            self.group.delayed_packets = (
                self.group.delayed_packets + self.group.packets
            )[-40:]
            self.group.run(0.02)
        self.group.stalled_engines |= slow
        self.group.not_receiving |= deaf

    @rule(rank=RANKS)
    def replace_leader(self, rank: int) -> None:
        """Make another agent lead; the former leader may not be notified."""
        self.group.lead(rank)
        self.group.stalled_engines.clear()
        self.group.not_receiving.clear()
        self.group.run(0.5, 0.02)

    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        late = self.group.delayed_packets
        if late:
            index = data.draw(st.integers(0, len(late) - 1))
            self.group.deliver(late[index])

    @rule()
    def delay_all(self) -> None:
        self.group.delayed_packets = (self.group.delayed_packets + self.group.packets)[
            -40:
        ]
        self.group.packets.clear()

    @rule()
    def reorder(self) -> None:
        self.group.packets.reverse()

    @rule(rank=RANKS)
    def slow_or_quick_engine(self, rank: int) -> None:
        self.group.stalled_engines ^= {rank}

    @rule(rank=RANKS)
    def deafen_or_hear(self, rank: int) -> None:
        self.group.not_receiving ^= {rank}

    @rule(rank=RANKS, answer=st.booleans())
    def run_order(self, rank: int, answer: bool) -> None:
        self.group.run_call(rank, answer)

    @rule(rank=RANKS)
    def kill_agent(self, rank: int) -> None:
        self.group.kill_agent(rank)

    @rule(rank=RANKS)
    def restart_agent(self, rank: int) -> None:
        self.group.start_agent(rank)

    @rule(rank=RANKS)
    def kill_engine(self, rank: int) -> None:
        self.group.kill_engine(rank)

    @rule(rank=RANKS, paused=st.booleans())
    def pause(self, rank: int, paused: bool) -> None:
        agent = self.group.agents[rank]
        if agent is not None:
            agent.paused = paused

    @rule(rank=RANKS)
    def cut_off_or_join(self, rank: int) -> None:
        self.group.disconnected ^= {rank}

    @rule(seconds=st.sampled_from([0.01, 0.06, 0.4, 1.1, 2.1, 6.0]))
    def wait(self, seconds: float) -> None:
        self.group.now += seconds
        for rank in range(3):
            self.group.tick(rank)

    @rule(order=st.permutations([0, 1, 2]), finish=st.booleans())
    def step(self, order: list[int], finish: bool) -> None:
        for rank in order[: 3 if finish else 2]:
            self.group.start_step(rank)
        self.group.finish_step()

    @invariant()
    def one_map_per_step(self) -> None:
        if hasattr(self, "group"):
            self.group.check_maps()

    def is_stable(self) -> bool:
        leader = self.group.agents[0].leader
        phases = {agent.switch.phase for agent in self.group.agents}
        resting = phases in ({RankPhase.RUNNING}, {RankPhase.DOWN})
        return resting and leader.phase is LeaderPhase.IDLE and not leader.has_proposal

    def teardown(self) -> None:
        """Check that the switch finishes or is aborted once the faults have ended."""
        if not hasattr(self, "group"):
            return
        group = self.group
        group.heal()
        for _ in range(round(2 * RECOVERY_TIMEOUT_SECONDS)):
            group.run(0.5, 0.02)
            if self.is_stable():
                break
        leader = group.agents[0].leader
        maps = {engine.state.map_version for engine in group.engines}
        assert len(maps) == 1, f"maps {maps} after the faults ended"
        phases = {agent.switch.phase for agent in group.agents}
        if maps == {0}:
            assert phases == {RankPhase.DOWN}
            return
        assert phases == {RankPhase.RUNNING}, f"phases {phases}"
        assert leader.phase is LeaderPhase.IDLE, leader.phase
        assert not leader.has_proposal, (
            "a proposed switch was neither finished nor dropped"
        )


class NonFencingSwitchMachine(SwitchMachine):
    """Run the same rules with engines that ignore fencing numbers."""

    engine_checks_fencing = False


def run_machine(machine: type[SwitchMachine], examples: int, steps: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            phases=hypothesis_phases(),
            suppress_health_check=list(HealthCheck),
        ),
    )


class SwitchFaultsTest(TestCase):
    def test_one_map_per_step_with_engines_that_check(self) -> None:
        """Guards against steps with two maps, and against switches that never end."""
        run_machine(SwitchMachine, 150, 40)

    def test_one_map_per_step_with_engines_that_ignore(self) -> None:
        """Guards against the same faults if only the agent refuses old orders."""
        run_machine(NonFencingSwitchMachine, 150, 40)


@pytest.mark.soak
@pytest.mark.timeout(3600)
@pytest.mark.parametrize("machine", [SwitchMachine, NonFencingSwitchMachine])
def test_one_map_per_step_soak(machine: type[SwitchMachine]) -> None:
    """Guards against rare sequences of events that the short runs do not reach."""
    number = int(os.environ.get("SOAK_SEED", "0")) or int.from_bytes(os.urandom(4))
    print(f"SOAK_SEED={number}")
    examples = int(os.environ.get("SOAK_EXAMPLES", "2000"))
    run_state_machine_as_test(
        seed(number)(machine),
        settings=settings(
            max_examples=examples,
            stateful_step_count=80,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
