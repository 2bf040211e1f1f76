"""State machine tests of entries, agents and services with generated faults.

CI runs them derandomized. `make soak` runs them longer, with a random seed that is
printed.
"""

import os
from itertools import pairwise
from random import Random, SystemRandom

import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lacewingcleat.crash_suspects import Convicted
from lacewingcleat.identity import Role
from lacewingcleat.membership import PeerStatus
from lacewingcleat.peer_table import PEER_TIMEOUT_SECONDS
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.retries import SendProgress
from tests.safety_harness import (
    AGENTS,
    TICKET_SECONDS,
    Call,
    CrashWorld,
    Job,
    MembershipWorld,
    Mode,
    Node,
    Outcome,
    RequestWorld,
)

INDEX = st.integers(0, 1_000)
CI = settings(
    derandomize=True,
    stateful_step_count=50,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate),
)
SOAK = settings(CI, derandomize=False, stateful_step_count=100)
# One step of the harness, 0.25 s, for messages to arrive, and 0.1 s for clock drift.
SLACK_SECONDS = 0.35


class RequestMachine(RuleBasedStateMachine):
    """Check at-most-once runs, true outcomes and responses to the right requests."""

    def __init__(self) -> None:
        super().__init__()
        self.world = RequestWorld()

    # Few requests with many copies each cover more fault sequences than many requests.
    @precondition(lambda self: len(self.world.jobs) < 4)
    @rule(
        mode=st.sampled_from([*Mode, Mode.ENTRY_TICKET, Mode.CALLER_TICKET]),
        agent=st.sampled_from(AGENTS),
        key=st.sampled_from(["", "k", "k"]),
    )
    def submit(self, mode: Mode, agent: str, key: str) -> None:
        self.world.submit(mode, "e1", agent, key)

    def resend_by_other_entry(self, index: int, shed: bool) -> None:
        """Send a caller's request again with its ticket; the entry may refuse it."""
        jobs = self.caller_jobs()
        self.world.send_copy(jobs[index % len(jobs)], "e2", "", shed)

    @precondition(lambda self: self.caller_jobs())
    @rule(index=INDEX)
    def refuse_at_entry(self, index: int) -> None:
        self.resend_by_other_entry(index, True)

    def caller_jobs(self) -> list[Job]:
        jobs = self.world.jobs
        return [job for job in jobs if job.mode is Mode.CALLER_TICKET]

    @rule(number=INDEX, steps=st.sampled_from([2, 8, 30]))
    def run_random_events(self, number: int, steps: int) -> None:
        """Deliver packets and run requests in random order, with minor faults."""
        random = Random(number)
        for _ in range(steps):
            index = random.randrange(1_000)
            agent = random.choice(AGENTS)
            match random.choices("dwclr", (60, 25, 4, 8, 3))[0]:
                case "d" if self.world.wire:
                    self.deliver(index, random.choice([1, 1, 1, 2]))
                case "w":
                    self.process_work(index, agent)
                case "c":
                    self.world.crash_engine(self.world.agents[agent])
                case "l" if self.open_calls():
                    self.lose_connection(index, random.choice(list(SendProgress)))
                case "r" if self.caller_jobs():
                    self.resend_by_other_entry(index, False)

    def deliver(self, index: int, copies: int) -> None:
        packet = self.world.wire[index % len(self.world.wire)]
        if self.world.agents[packet.agent].paused:
            return
        # A connection carries a request once. Copies are delivered only of requests
        # with a ticket, which makes them safe.
        if copies < 2 or packet.call.job.mode is Mode.IDEMPOTENT:
            self.world.wire.remove(packet)
        self.world.deliver(packet)

    def process_work(self, index: int, agent: str) -> None:
        model = self.world.agents[agent]
        if model.paused or not model.work:
            return
        work = model.work[index % len(model.work)]
        if work.running:
            self.world.finish(model, work)
        else:
            self.world.start(model, work)

    @precondition(lambda self: len(self.world.wire) > 3)
    @rule(index=INDEX)
    def drop_packet(self, index: int) -> None:
        self.world.wire.pop(index % len(self.world.wire))

    def lose_connection(self, index: int, sent: SendProgress) -> None:
        calls = self.open_calls()
        self.world.lose_connection(calls[index % len(calls)], sent)

    def open_calls(self) -> list[Call]:
        return [call for call in self.world.calls if call.open]

    @rule(index=INDEX, agent=st.sampled_from(AGENTS))
    def refuse_at_agent(self, index: int, agent: str) -> None:
        model = self.world.agents[agent]
        queued = [work for work in model.work if work.ticket_id and not work.running]
        if queued and not model.paused:
            work = queued[index % len(queued)]
            outcome = model.registry.refuse(work.ticket_id, "overloaded")
            self.world.complete(model, work, outcome)

    @rule(
        agent=st.sampled_from(AGENTS),
        fault=st.sampled_from(["kill", "pause", "resume", "resume", "leave", "stay"]),
    )
    def inject_fault(self, agent: str, fault: str) -> None:
        model = self.world.agents[agent]
        match fault:
            case "kill":
                self.world.kill_agent(model)
            case "pause" | "resume":
                model.paused = fault == "pause"
            case "leave" | "stay":
                model.leaving = fault == "leave"

    @rule(seconds=st.sampled_from([1.0, 1.0, 10.0, 31.0, 100.0]))
    def advance_time(self, seconds: float) -> None:
        self.world.now += seconds

    @invariant()
    def non_idempotent_requests_run_at_most_once(self) -> None:
        for job in self.world.jobs:
            if job.mode is not Mode.IDEMPOTENT:
                assert self.world.runs[job.name] <= 1, job

    @invariant()
    def keys_run_once_while_their_tickets_overlap(self) -> None:
        for jobs in self.world.jobs_run_by_key.values():
            minted_at = sorted(job.minted_at for job in jobs)
            for first, second in pairwise(minted_at):
                assert second - first >= TICKET_SECONDS, jobs

    @invariant()
    def not_run_requests_never_run(self) -> None:
        for job in self.world.jobs:
            if Outcome.NOT_RUN in job.outcomes:
                assert self.world.runs[job.name] == 0, job

    @invariant()
    def responses_belong_to_their_requests(self) -> None:
        for job in self.world.jobs:
            assert set(job.bodies) <= {job.name.encode()}, job


NAMES = st.sampled_from(sorted(MembershipWorld().node_by_name))
ENTRIES = st.sampled_from(["ea1", "ea2", "ea3", "eb1", "eb2", "eb3"])
SERVERS = st.sampled_from(["sa1", "sa2", "sb1", "sb2"])


class MembershipMachine(RuleBasedStateMachine):
    """Check that leaving servers get no work, and views stay fresh and converge."""

    def __init__(self) -> None:
        super().__init__()
        self.world = MembershipWorld()

    def node(self, name: str) -> Node:
        return self.world.node_by_name[name]

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.0, 4.0, 10.0]), number=INDEX)
    def run(self, seconds: float, number: int) -> None:
        self.world.random = Random(number)
        self.world.run(seconds)

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.3, 0.9]),
        delay=st.sampled_from([0.0, 0.0, 0.3]),
        double=st.sampled_from([0.0, 0.3]),
    )
    def change_network(self, loss: float, delay: float, double: float) -> None:
        self.world.loss_rate, self.world.delay_rate, self.world.duplicate_rate = (
            loss,
            delay,
            double,
        )

    @rule()
    def toggle_partition(self) -> None:
        self.world.partitioned = not self.world.partitioned

    @rule(name=NAMES)
    def toggle_pause(self, name: str) -> None:
        self.node(name).paused = not self.node(name).paused

    @rule(name=ENTRIES, seconds=st.sampled_from([1.5, 2.5, 10.0]))
    def pause_for(self, name: str, seconds: float) -> None:
        self.node(name).paused = True
        self.world.run(seconds)
        self.node(name).paused = False

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.world.start_process(name, self.node(name).peer.role)

    @rule(name=SERVERS)
    def leave(self, name: str) -> None:
        node = self.node(name)
        if not node.paused:
            node.membership.set_leaving(self.world.now + node.skew)

    @rule(name=SERVERS)
    def leave_without_faults(self, name: str) -> None:
        """Check that entries send no new work to a server 3 s after it leaves."""
        self.world.end_faults()
        self.world.run(30.0)
        self.leave(name)
        self.world.run(PEER_TIMEOUT_SECONDS)
        for entry in self.entries():
            local_now = self.world.now + entry.skew
            assert not entry.membership.may_receive_work(name, local_now), entry.peer

    def entries(self) -> list[Node]:
        nodes = self.world.node_by_name.values()
        return [n for n in nodes if n.peer.role is Role.ENTRY and not n.paused]

    @invariant()
    def live_views_had_recent_heartbeats(self) -> None:
        world = self.world
        for entry in self.entries():
            entry.detect_pause(world.now)
            local_now = world.now + entry.skew
            for name, view in entry.membership._view_by_instance.items():
                pair = (entry.peer.incarnation, view.peer.incarnation)
                if pair not in world.timely_pairs:
                    continue
                if entry.membership._is_view_alive(view, local_now):
                    timeout = entry.membership._timeout_for(view.peer)
                    oldest = max(world.now - timeout, entry.resumed_at)
                    assert world.last_sent_by_pair[pair] >= oldest - SLACK_SECONDS, name

    def teardown(self) -> None:
        """Check that all views agree after the faults have ended."""
        world = self.world
        world.end_faults()
        world.run(60.0)
        for node in world.node_by_name.values():
            local_now = world.now + node.skew
            zone = node.peer.zone
            names = [f"e{zone}{number}" for number in "123"]
            live = [
                peer.instance for peer in node.membership.live_entries(zone, local_now)
            ]
            assert live == names, (node.peer, live)
            if node.peer.role is Role.AGENT:
                expected = rank_by_rendezvous(node.peer.instance, names)[:2]
                assert node.membership.assigned_entries(local_now) == expected
            for server in (f"s{zone}{number}" for number in "123"):
                is_leaving = self.node(server).membership.leaving
                if node.peer.role is Role.ENTRY and not is_leaving:
                    assert node.membership.status(server, local_now) in (
                        PeerStatus.LIVE,
                        PeerStatus.UNOBSERVED,
                    ), (node.peer, server)


class CrashMachine(RuleBasedStateMachine):
    """Check that a request crashes at most two servers and no other is convicted.

    Zones that are partitioned from each other count their crashes separately. The
    harness fails on the third crash that zones in contact could know of.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = CrashWorld()
        self.names = sorted(self.world.process_by_name)

    @rule(index=INDEX, with_bystander=st.booleans(), number=INDEX)
    def submit_poison(self, index: int, with_bystander: bool, number: int) -> None:
        self.world.random = Random(number)
        bystander = "bystander" if with_bystander else ""
        self.world.submit(self.names[index % 6], "poison", bystander, True)

    @rule(index=INDEX, number=INDEX)
    def submit_bystander(self, index: int, number: int) -> None:
        self.world.random = Random(number)
        self.world.submit(self.names[index % 6], "bystander", "", False)

    @rule()
    def toggle_partition(self) -> None:
        self.world.deliver_repeats()
        if self.world.partitioned:
            self.world.heal_partition()
        else:
            self.world.partitioned = True

    @rule(index=INDEX)
    def restart(self, index: int) -> None:
        self.world.restart(self.names[index % len(self.names)])

    @invariant()
    def bystander_is_not_convicted(self) -> None:
        for process in self.world.process_by_name.values():
            verdict = process.verdict("bystander", self.world.now)
            assert not isinstance(verdict, Convicted)


# An example of the membership machine takes about 20 times as long as the others.
EXAMPLES_BY_MACHINE = {RequestMachine: 600, MembershipMachine: 60, CrashMachine: 100}
MACHINES = list(EXAMPLES_BY_MACHINE)


@pytest.mark.parametrize("machine", MACHINES)
def test_machine(machine: type[RuleBasedStateMachine]) -> None:
    """Guards against violations of the properties in the machine's docstring."""
    profile = settings(CI, max_examples=EXAMPLES_BY_MACHINE[machine])
    run_state_machine_as_test(machine, settings=profile)


@pytest.mark.soak
@pytest.mark.timeout(3_600)
@pytest.mark.parametrize("machine", MACHINES)
def test_machine_long(machine: type[RuleBasedStateMachine]) -> None:
    """Guards against failures that are too rare for the short run."""
    seed_number = int(os.environ.get("SOAK_SEED", SystemRandom().randrange(1 << 32)))
    print(f"SOAK_SEED={seed_number}")
    examples = 20 * EXAMPLES_BY_MACHINE[machine]
    profile = settings(SOAK, max_examples=examples)
    run_state_machine_as_test(seed(seed_number)(machine), settings=profile)
