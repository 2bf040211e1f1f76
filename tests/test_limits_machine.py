"""Faults of all kinds against the bound that docs/limits.md states."""

from collections.abc import Callable, Iterable
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

from lacewingcleat.account_limits import LimitPermit, LimitWait
from lacewingcleat.limit_shares import ZERO_AMOUNTS, account_limit
from lacewingcleat.sheet import Zone
from tests.builders import make_account, make_peer, make_sheet
from tests.builders_limits import LimitsNetwork, LimitsProcess

ENTRIES_BY_ZONE = {"regina": 3, "brandon": 3, "saskatoon": 1}
ENTRY_NAMES = [
    f"{zone}-{n}" for zone, count in ENTRIES_BY_ZONE.items() for n in range(count)
]
# Any two of these clocks differ by less than 10%.
CLOCK_RATES = (0.955, 1.0, 1.045)
FASTEST_CLOCK_RATE = max(CLOCK_RATES)
TOKENS_PER_REQUEST = 70
UNREACHED_RATE = 1e6
SHEET = make_sheet(
    zones=[Zone(zone, "prairie", count) for zone, count in ENTRIES_BY_ZONE.items()],
    accounts=[
        make_account("rate", "coteau", 12.0, 10**6, UNREACHED_RATE),
        make_account("slots", "coteau", UNREACHED_RATE, 9, UNREACHED_RATE),
        make_account("tokens", "coteau", UNREACHED_RATE, 10**6, 60.0 * 400),
    ],
)
WARM_UP_SECONDS = 16.0
entry_names = st.sampled_from(ENTRY_NAMES)


class AdmissionBound:
    """Measure by how much admissions of one resource exceed their rate.

    The excess over all windows that end now is the level of a bucket that drains at the
    rate. It must not exceed one burst and one largest charge per admitting process.
    """

    def __init__(self, rate: float, largest_charge: float) -> None:
        self.rate = rate * FASTEST_CLOCK_RATE
        self.largest_charge = largest_charge
        self.excess = 0.0
        self.updated_at = 0.0
        self.incarnations: set[str] = set()

    def record_admission(self, cost: float, incarnation: str, now: float) -> None:
        self.excess = max(0.0, self.excess - self.rate * (now - self.updated_at))
        if self.excess == 0.0:
            self.incarnations.clear()
        self.updated_at = now
        self.excess += cost
        self.incarnations.add(incarnation)
        slack = self.largest_charge * len(self.incarnations)
        assert self.excess <= self.rate * 1.0 + slack + 1e-6, (
            f"{self.excess} over the rate, {len(self.incarnations)} processes"
        )


class LimitsMachine(RuleBasedStateMachine):
    """Drive entries of two zones that are flooded with requests."""

    @initialize(
        network_seed=st.integers(0, 2**16),
        clocks=st.lists(st.sampled_from(CLOCK_RATES), min_size=7, max_size=7),
    )
    def begin(self, network_seed: int, clocks: list[float]) -> None:
        self.network = LimitsNetwork(100.0, network_seed)
        for number, name in enumerate(ENTRY_NAMES):
            self.start(name, clocks[number])
        self.network.set_all_views()
        self.admission_bound_by_account = {
            "rate": AdmissionBound(12.0, 1.0),
            "tokens": AdmissionBound(400.0, TOKENS_PER_REQUEST),
        }
        self.flooded = set(ENTRY_NAMES)
        # Probability that a request ends in a step.
        self.end_probability = 0.2
        self.run_under_load(WARM_UP_SECONDS)

    def random_bool(self, probability: float) -> bool:
        return self.network.random.random() < probability

    def start(self, name: str, clock_rate: float) -> None:
        incarnation = f"{self.network.random.getrandbits(128):032x}"
        peer = make_peer(name, incarnation, name.partition("-")[0])
        offset = self.network.random.random() * 1000
        self.network.start(peer, SHEET, clock_rate, offset)

    @rule(
        seconds=st.sampled_from([0.5, 1.0, 2.0, 4.0, 9.0, 16.0]),
        loss=st.sampled_from([0.0, 0.0, 0.1, 0.4]),
        max_delay=st.sampled_from([0.0, 0.0, 0.3, 1.5, 5.0]),
    )
    def pass_time(self, seconds: float, loss: float, max_delay: float) -> None:
        self.network.loss = loss
        self.network.max_delay = max_delay
        self.run_under_load(seconds)

    @rule(names=st.sets(entry_names, min_size=1))
    def flood(self, names: set[str]) -> None:
        self.flooded = names

    @rule(name=entry_names)
    def kill(self, name: str) -> None:
        self.network.process_by_instance.pop(name, None)

    @rule(name=entry_names, clock_rate=st.sampled_from(CLOCK_RATES))
    def restart(self, name: str, clock_rate: float) -> None:
        self.network.process_by_instance.pop(name, None)
        self.start(name, clock_rate)

    @rule(name=entry_names)
    def pause(self, name: str) -> None:
        if name in self.network.process_by_instance:
            self.network.process_by_instance[name].paused = True

    @rule()
    def resume_all(self) -> None:
        for process in self.network.process_by_instance.values():
            process.paused = False

    @rule(names=st.sets(entry_names, min_size=1))
    def partition(self, names: set[str]) -> None:
        self.network.partition_by_instance = {name: 1 for name in names}

    @rule()
    def heal(self) -> None:
        self.network.partition_by_instance = {}

    @rule()
    def observe_reachable(self) -> None:
        self.network.set_all_views()

    @rule(name=entry_names, seen=st.sets(entry_names))
    def observe_wrongly(self, name: str, seen: set[str]) -> None:
        """Membership may err in any way, such as a view from before a pause."""
        if name in self.network.process_by_instance:
            self.network.set_view(name, seen)

    @rule(side=st.sets(entry_names, min_size=2), seconds=st.sampled_from([3.5, 8.0]))
    def split_and_observe(self, side: set[str], seconds: float) -> None:
        """Let both sides of a partition choose home entries of their own."""
        self.partition(side)
        self.network.set_all_views()
        self.run_under_load(seconds)

    def run_under_load(self, seconds: float) -> None:
        for step in range(round(seconds / 0.25)):
            if step % 4 == 0:
                # Demand that moves makes the leases grow and shrink.
                active = [
                    name for name in sorted(self.flooded) if self.random_bool(0.7)
                ]
            self.step(0.25, active)

    def step(self, seconds: float, flooded: Iterable[str]) -> None:
        self.network.run(seconds, seconds)
        self.finish_some()
        for name in flooded:
            process = self.network.process_by_instance.get(name)
            if process is not None and not process.paused:
                self.offer_all(process)
        self.check_shares()

    def finish_some(self) -> None:
        for process in self.network.process_by_instance.values():
            if process.paused:
                continue
            for permit in list(process.permits):
                if permit.account != "slots" or self.random_bool(self.end_probability):
                    process.permits.remove(permit)
                    clock = process.clock(self.network.now)
                    process.limits.finish(permit, permit.estimated_tokens, clock)

    def offer_all(self, process: LimitsProcess) -> None:
        """Offer requests of each account until one is refused."""
        clock = process.clock(self.network.now)
        limits = process.limits
        for account in SHEET.account_by_name:
            tokens = TOKENS_PER_REQUEST if account == "tokens" else 1
            waited = account in process.waited_accounts
            process.waited_accounts.discard(account)
            while True:
                slots = limits.current_share(account, clock).concurrency
                running = limits.running_requests(account)
                decision = limits.admit(account, tokens, clock, waited)
                if isinstance(decision, LimitWait):
                    process.waited_accounts.add(account)
                    self.network.send(process.peer, decision.actions)
                if not isinstance(decision, LimitPermit):
                    break
                slots = max(slots, limits.current_share(account, clock).concurrency)
                # One request may run without a slot while the home entry is silent.
                assert running < max(slots, 1)
                process.permits.append(decision)
                if account in self.admission_bound_by_account:
                    cost = 1.0 if account == "rate" else float(TOKENS_PER_REQUEST)
                    incarnation = process.peer.incarnation
                    now = self.network.now
                    self.admission_bound_by_account[account].record_admission(
                        cost, incarnation, now
                    )

    def check_shares(self) -> None:
        """The parts of a limit that all entries may use never exceed the limit."""
        for account, record in SHEET.account_by_name.items():
            total = ZERO_AMOUNTS
            for process in self.network.process_by_instance.values():
                clock = process.clock(self.network.now)
                total += process.limits.current_share(account, clock)
            limit = account_limit(record)
            assert total.requests_per_second <= limit.requests_per_second * (1 + 1e-9)
            assert total.concurrency <= limit.concurrency
            assert total.tokens_per_second <= limit.tokens_per_second * (1 + 1e-9)


def run_machine(examples: int, steps: int, **options: bool) -> None:
    profile = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        # Shrinking replays minutes of simulated time; the seeded case is reproducible.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
        **options,
    )
    run_state_machine_as_test(LimitsMachine, settings=profile)


def test_admission_stays_within_bound_under_faults() -> None:
    """Guards against two home entries that lease the same share, and late promises."""
    run_machine(40, 20, derandomize=True, database=None)


@pytest.mark.soak
@pytest.mark.timeout(3600)
def test_admission_stays_within_bound_in_long_run() -> None:
    """Guards against rare orders of faults that the short run does not reach."""
    seed_value = SystemRandom().getrandbits(32)
    print(f"seed {seed_value}")
    run: Callable[[], None] = seed(seed_value)(
        lambda: run_machine(300, 60, database=None)
    )
    run()
