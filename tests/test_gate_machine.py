"""Random orders of events against what the agent gate promises."""

from random import SystemRandom

import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from lacewingcleat.agent_gate import AgentGate, GateEvent, Queued, Refused, Started
from lacewingcleat.sheet import ServerState
from tests.builders import make_server, make_sheet
from tests.builders_limits import make_gate, make_gate_request

FIRMS = ("coteau", "kowhai")
# The longest run of a request in this model. A claim is served at the latest this long
# after the hour, because borrowed work is never cut.
MAX_RUN_SECONDS = 4.0
SHARES = st.fixed_dictionaries(
    {firm: st.sampled_from([0.0, 0.3, 0.5, 1.0]) for firm in FIRMS},
)


# Blocked most of the time, the gate would hardly be tested.
RARELY_TRUE = st.sampled_from([False] * 5 + [True])


class GateMachine(RuleBasedStateMachine):
    """Follow which requests run, by the events that the gate returns."""

    @initialize(slots=st.integers(1, 6), share=SHARES)
    def start_gate(self, slots: int, share: dict[str, float]) -> None:
        self.now = 0.0
        self.revision = 1
        self.request_count = 0
        self.slots = slots
        self.gate: AgentGate = make_gate(self.make_sheet_with(ServerState.SERVING))
        self.state = ServerState.SERVING
        self.draining = False
        self.paused = False
        self.running: dict[str, float] = {}
        self.waiting: dict[str, float] = {}
        self.firm_by_id: dict[str, str] = {}
        self.run_alone_ids: set[str] = set()
        self.owed_since: dict[str, float] = {}
        self.apply_events(self.gate.set_shares(share, self.now))

    def make_sheet_with(self, state: ServerState):
        server = make_server(slots=self.slots, state=state)
        return make_sheet(revision=self.revision, servers=[server])

    @rule(
        firm=st.sampled_from(FIRMS),
        priority=st.integers(0, 9),
        count=st.integers(1, 8),
        wait=st.sampled_from([0.3, 2.0, 1000.0]),
        alone=st.sampled_from([False] * 7 + [True]),
        older=st.sampled_from([0, 0, 0, 1]),
    )
    def arrive(
        self,
        firm: str,
        priority: int,
        count: int,
        wait: float,
        alone: bool,
        older: int,
    ) -> None:
        for _ in range(1 if alone else count):
            self.request_count += 1
            revision = self.revision - older
            request = make_gate_request(
                f"r{self.request_count}",
                f"{firm}-{self.request_count % 3}",
                firm,
                priority,
                revision,
                f"routing-{revision}",
                self.now + wait,
                alone,
            )
            self.firm_by_id[request.request_id] = firm
            if alone:
                self.run_alone_ids.add(request.request_id)
            decision = self.gate.admit(request, self.now)
            if isinstance(decision, Queued):
                self.waiting[request.request_id] = self.now + wait
            else:
                self.apply_events([decision])
            assert isinstance(decision, Refused) or not older
        self.check_gate_state()

    @rule(chosen=st.randoms(use_true_random=False), count=st.integers(1, 4))
    def finish(self, chosen, count: int) -> None:
        for _ in range(min(count, len(self.running))):
            request_id = chosen.choice(sorted(self.running))
            del self.running[request_id]
            self.apply_events(self.gate.finish(request_id, self.now))

    @rule(chosen=st.randoms(use_true_random=False))
    def cancel(self, chosen) -> None:
        open_ids = sorted(self.running.keys() | self.waiting.keys())
        if open_ids:
            request_id = chosen.choice(open_ids)
            self.running.pop(request_id, None)
            self.waiting.pop(request_id, None)
            self.apply_events(self.gate.cancel(request_id, self.now))

    @rule(ticks=st.integers(1, 20))
    def advance_time(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now += 0.25
            for request_id, since in sorted(self.running.items()):
                if self.now - since >= MAX_RUN_SECONDS:
                    del self.running[request_id]
                    self.apply_events(self.gate.finish(request_id, self.now))
            self.apply_events(self.gate.tick(self.now))
            assert all(self.now < deadline for deadline in self.waiting.values())

    @rule(share=SHARES)
    def change_shares(self, share: dict[str, float]) -> None:
        self.owed_since.clear()
        self.apply_events(self.gate.set_shares(share, self.now))

    @rule(
        state=st.sampled_from([*ServerState] + [ServerState.SERVING] * 5),
        slots=st.integers(1, 6),
    )
    def change_sheet(self, state: ServerState, slots: int) -> None:
        self.revision += 1
        self.state = state
        self.slots = slots
        self.owed_since.clear()
        self.apply_events(self.gate.apply_sheet(self.make_sheet_with(state), self.now))

    @rule(on=RARELY_TRUE)
    def drain(self, on: bool) -> None:
        self.draining = on
        apply_change = self.gate.drain if on else self.gate.undrain
        self.apply_events(apply_change(self.now))

    @rule(on=RARELY_TRUE)
    def pause(self, on: bool) -> None:
        self.paused = on
        apply_change = self.gate.pause if on else self.gate.resume
        self.apply_events(apply_change(self.now))

    def apply_events(self, events: list[GateEvent]) -> None:
        for event in events:
            was_waiting = self.waiting.pop(event.request_id, None) is not None
            if isinstance(event, Started):
                self.record_start(event.request_id)
            else:
                # Running work is never refused afterwards.
                assert event.request_id not in self.running
                assert was_waiting or event.retry_after_seconds > 0
        self.check_gate_state()

    def record_start(self, request_id: str) -> None:
        assert not self.draining and self.state is not ServerState.LEAVING
        assert not self.paused
        assert len(self.running) < self.slots
        assert not self.run_alone_ids & self.running.keys()
        assert request_id not in self.run_alone_ids or not self.running
        firm = self.firm_by_id[request_id]
        claim_of = self.gate.claims.claimed_slots
        # The gate is already ahead of this event, so only its claims are asked.
        borrowed = sum(max(0, self.running_of(name) - claim_of(name)) for name in FIRMS)
        unclaimed = self.slots - sum(map(claim_of, FIRMS))
        if self.running_of(firm) >= claim_of(firm) and borrowed >= unclaimed:
            for other in {self.firm_by_id[name] for name in self.waiting} - {firm}:
                assert self.running_of(other) >= claim_of(other), "borrowed too early"
        self.running[request_id] = self.now

    def running_of(self, firm: str) -> int:
        return sum(self.firm_by_id[name] == firm for name in self.running)

    def check_gate_state(self) -> None:
        gate = self.gate
        assert gate.running == len(self.running)
        assert gate.waiting == len(self.waiting) or gate._displaced_events
        assert gate.drained == (gate.leaving and not self.running)
        blocked = (
            self.draining
            or self.paused
            or self.state is ServerState.LEAVING
            or self.run_alone_ids & (self.running.keys() | self.waiting.keys())
        )
        for firm in FIRMS:
            waits = any(self.firm_by_id[name] == firm for name in self.waiting)
            owed = waits and gate.claims.running_requests(
                firm
            ) < gate.claims.claimed_slots(firm)
            if blocked or not owed:
                self.owed_since.pop(firm, None)
                continue
            since = self.owed_since.setdefault(firm, self.now)
            assert self.now - since <= MAX_RUN_SECONDS, "claim not served in time"


def run_machine(examples: int, steps: int, **options: bool) -> None:
    profile = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate],
        **options,
    )
    run_state_machine_as_test(GateMachine, settings=profile)


def test_gate_invariants() -> None:
    """Guards against new work after leaving, cut work and broken claims."""
    run_machine(300, 30, derandomize=True, database=None)


@pytest.mark.soak
@pytest.mark.timeout(3600)
def test_gate_invariants_long() -> None:
    """Guards against rare orders of events that the short run does not reach."""
    seed_number = SystemRandom().getrandbits(32)
    print(f"seed {seed_number}")
    seed(seed_number)(lambda: run_machine(5000, 60, database=None))()
