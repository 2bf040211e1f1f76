"""Test that late, duplicate and replaced leaders' orders have no effect."""

from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok
from testtools import TestCase

from lacewingcleat.messages import Epoch, Grant, OrderKind, ServerOrder
from lacewingcleat.order_fence import (
    FIRST_READ_DELAY_SECONDS,
    GRANT_VALIDITY_SECONDS,
    EngineState,
    FenceNumber,
    IssueOrder,
    Order,
    OrderFence,
    ReadState,
    Refusal,
    receive_order,
)
from lacewingcleat.pause_detector import PAUSE_THRESHOLD_SECONDS
from tests.builders_experts import StandInEngine, hypothesis_phases

FIRST = Epoch(1, "server-0")
SECOND = Epoch(2, "server-1")
LOAD = Order(OrderKind.LOAD, name="adapter")


class OrderMachine(RuleBasedStateMachine):
    """Send orders of several leaders through agents that pause, die and restart."""

    engine_checks_fencing = True

    @initialize()
    def begin(self) -> None:
        self.now = 100.0
        self.engine = StandInEngine(self.engine_checks_fencing)
        self.queued_calls: list[tuple[OrderFence, IssueOrder]] = []
        self.effects: list[FenceNumber] = []
        self.sent_orders: list[ServerOrder] = []
        self.granted_at: dict[Grant, float] = {}
        self.term = 0
        self.start_count = 0
        self.paused_at = 0.0
        self.start_agent()
        self.new_leader()

    def start_agent(self) -> None:
        self.start_count += 1
        self.fence = OrderFence(
            f"start-{self.start_count}", self.engine_checks_fencing, self.now
        )
        self.started_at = self.now
        self.promised = Epoch(0, "")

    def perform(self, actions: list) -> None:
        for action in actions:
            match action:
                case IssueOrder(fence, _):
                    # An engine that checks fencing numbers refuses queued copies once
                    # it has run a higher number, so several may be outstanding.
                    unanswered = {
                        call.number
                        for by, call in self.queued_calls
                        if by is self.fence
                    }
                    once = unanswered <= {fence}
                    assert self.engine_checks_fencing or once, (
                        "two orders are outstanding"
                    )
                    assert fence.epoch == self.promised, "order of a replaced leader"
                    self.queued_calls.append((self.fence, action))
                case ReadState(read_id):
                    self.run_orphaned_orders()
                    state = self.engine.state
                    self.perform(self.fence.state_read(read_id, state, self.now))

    def run_orphaned_orders(self) -> None:
        """Run a dead agent's orders before the first read by the next agent.

        An engine that ignores fencing numbers is assumed to complete its orders within
        the time by which an agent delays its first read.
        """
        if (
            self.engine_checks_fencing
            or self.now - self.started_at < FIRST_READ_DELAY_SECONDS
        ):
            return
        for entry in [each for each in self.queued_calls if each[0] is not self.fence]:
            self.queued_calls.remove(entry)
            self.run(entry[1])

    def run(self, call: IssueOrder) -> None:
        if self.engine.execute(call.number, call.order):
            self.effects.append(call.number)

    def send_order(self, order: ServerOrder) -> None:
        receipt = receive_order(self.fence, order, self.now)
        self.granted_at[receipt.status.grant] = self.now
        if any(isinstance(action, IssueOrder) for action in receipt.actions):
            issued_at = self.granted_at[order.grant]
            assert self.now - issued_at <= GRANT_VALIDITY_SECONDS, (
                "the grant has expired"
            )
            assert issued_at >= self.paused_at, "the grant is from before a pause"
        self.perform(list(receipt.actions))

    @rule()
    def new_leader(self) -> None:
        self.term += 1
        self.sequence = 0
        self.promised = Epoch(self.term, f"server-{self.term % 3}")
        self.fence.observe_epoch(self.promised)

    @rule(fresh=st.booleans(), name=st.sampled_from("ab"), load=st.booleans())
    def order(self, fresh: bool, name: str, load: bool) -> None:
        self.sequence += 1
        kind = OrderKind.LOAD if load else OrderKind.UNLOAD
        epoch = Epoch(self.term, f"server-{self.term % 3}")
        grants = list(self.granted_at)
        if fresh or not grants:
            grant = self.fence.grant(self.now)
            self.granted_at[grant] = self.now
        else:
            grant = grants[-1]
        message = ServerOrder("group-1", epoch, self.sequence, kind, name, grant)
        self.sent_orders.append(message)
        self.send_order(message)

    @rule(data=st.data())
    def order_again_or_late(self, data: st.DataObject) -> None:
        if self.sent_orders:
            self.send_order(data.draw(st.sampled_from(self.sent_orders[-8:])))

    @rule(answer=st.booleans(), last=st.booleans())
    def engine_runs(self, answer: bool, last: bool) -> None:
        if not self.queued_calls:
            return
        by, call = self.queued_calls.pop(
            -1 if last and self.engine_checks_fencing else 0
        )
        self.run(call)
        if answer and by is self.fence:
            self.perform(self.fence.order_answered(call.number, self.now))

    @rule(seconds=st.sampled_from([0.25, 0.25, 0.5, 0.9]), times=st.integers(1, 8))
    def wait(self, seconds: float, times: int) -> None:
        for _ in range(times):
            self.now += seconds
            self.perform(self.fence.tick(self.now))

    @rule(seconds=st.sampled_from([1.5, 4.0]))
    def pause(self, seconds: float) -> None:
        assert seconds > PAUSE_THRESHOLD_SECONDS
        self.now += seconds
        self.paused_at = self.now

    @rule()
    def restart_agent(self) -> None:
        self.start_agent()

    @rule()
    def restart_engine(self) -> None:
        self.queued_calls.clear()
        self.effects.clear()
        self.engine.restart(0)

    @invariant()
    def each_order_takes_effect_once_and_in_order(self) -> None:
        if not hasattr(self, "effects"):
            return
        duplicates = [
            fence for fence, count in Counter(self.effects).items() if count > 1
        ]
        assert not duplicates, f"orders took effect twice: {duplicates}"
        assert self.effects == sorted(self.effects), "an old order took effect late"


class NonFencingOrderMachine(OrderMachine):
    """Run the same rules with an engine that ignores fencing numbers."""

    engine_checks_fencing = False


def run_machine(machine: type[OrderMachine]) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=250,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
            phases=hypothesis_phases(),
            suppress_health_check=list(HealthCheck),
        ),
    )


def make_fence(engine_checks_fencing: bool) -> OrderFence:
    fence = OrderFence("aa", engine_checks_fencing, 0.0)
    fence.tick(0.5)
    fence.tick(1.0)
    fence.tick(1.5)
    fence.tick(2.0)
    fence.state_read(fence.last_read_id, EngineState("engine"), 2.0)
    fence.observe_epoch(FIRST)
    return fence


class OrderFenceTest(TestCase):
    def test_orders_with_an_engine_that_checks(self) -> None:
        """Guards against late, duplicate or replaced leaders' orders taking effect."""
        run_machine(OrderMachine)

    def test_orders_with_an_engine_that_ignores(self) -> None:
        """Guards against the same faults if only the agent refuses orders."""
        run_machine(NonFencingOrderMachine)

    def test_an_order_after_an_unnoticed_restart_stays_outstanding(self) -> None:
        """Guards against an order taken as lost in a restart that came before it.

        It would still be in the engine while the next order is admitted.
        """
        fence = make_fence(False)
        number = FenceNumber(FIRST, 1)
        fence.submit(number, fence.grant(2.0), LOAD, 2.0)
        fence.tick(2.6)
        fence.state_read(fence.last_read_id, EngineState("restarted"), 2.7)
        second = FenceNumber(FIRST, 2)
        refused = fence.submit(second, fence.grant(2.8), LOAD, 2.8)
        self.assertEqual(Err(Refusal.BUSY), refused)
        fence.tick(3.2)
        fence.state_read(fence.last_read_id, EngineState("once more"), 3.3)
        self.assertTrue(fence.ready)

    def test_generated_steps_with_two_orders_after_a_restart(self) -> None:
        """Guards against the steps by which generated tests found that fault."""
        machine = NonFencingOrderMachine()
        machine.begin()
        for _ in range(2):
            machine.restart_engine()
        machine.wait(0.5, 4)
        for _ in range(2):
            machine.restart_engine()
        machine.order(False, True, "a")
        machine.wait(0.25, 2)
        machine.order(False, True, "a")
        machine.each_order_takes_effect_once_and_in_order()

    def test_order_of_a_replaced_leader_is_refused(self) -> None:
        """Guards against orders of a leader that is unaware of its replacement."""
        fence = make_fence(False)
        fence.observe_epoch(SECOND)
        number = FenceNumber(FIRST, 1)
        refused = fence.submit(number, fence.grant(2.0), LOAD, 2.0)
        self.assertEqual(Err(Refusal.OLD_EPOCH), refused)

    def test_repeated_order_is_refused_after_it_was_applied(self) -> None:
        """Guards against an order that takes effect twice."""
        fence = make_fence(False)
        number = FenceNumber(FIRST, 1)
        self.assertIsInstance(fence.submit(number, fence.grant(2.0), LOAD, 2.0), Ok)
        read = fence.order_answered(number, 2.1)[0]
        loaded = EngineState("engine", loaded=frozenset({"adapter"}))
        fence.state_read(read.read_id, loaded, 2.2)
        refused = fence.submit(number, fence.grant(2.3), LOAD, 2.3)
        self.assertEqual(Err(Refusal.OLD_SEQUENCE), refused)

    def test_grant_expires_after_5_seconds(self) -> None:
        """Guards against an order that was delayed for a long time."""
        fence = make_fence(False)
        grant = fence.grant(2.0)
        for quarter in range(1, 22):
            fence.tick(2.0 + quarter / 4)
        refused = fence.submit(FenceNumber(FIRST, 1), grant, LOAD, 7.3)
        self.assertEqual(Err(Refusal.NO_AUTHORITY), refused)

    def test_grant_expires_at_a_pause(self) -> None:
        """Guards against orders buffered in a socket while the agent was paused."""
        fence = make_fence(False)
        grant = fence.grant(2.0)
        refused = fence.submit(FenceNumber(FIRST, 1), grant, LOAD, 3.2)
        self.assertEqual(Err(Refusal.NO_AUTHORITY), refused)

    def test_unanswered_order_is_not_sent_again_to_an_engine_that_ignores(self) -> None:
        """Guards against an order that takes effect twice after a late answer."""
        for checks in (True, False):
            fence = make_fence(checks)
            number = FenceNumber(FIRST, 1)
            fence.submit(number, fence.grant(2.0), LOAD, 2.0)
            later = [a for n in range(9) for a in fence.tick(2.25 + n / 4)]
            again = [each for each in later if isinstance(each, IssueOrder)]
            self.assertEqual(checks, bool(again))

    def test_agent_waits_before_its_first_read(self) -> None:
        """Guards against a read that a dead agent's order makes out of date."""
        fence = OrderFence("aa", False, 0.0)
        self.assertEqual([], fence.tick(FIRST_READ_DELAY_SECONDS - 0.1))
        self.assertEqual([ReadState(1)], fence.tick(FIRST_READ_DELAY_SECONDS))

    def test_order_without_known_state_is_refused(self) -> None:
        """Guards against an order while one of a dead agent may be outstanding."""
        fence = OrderFence("aa", True, 0.0)
        fence.observe_epoch(FIRST)
        refused = fence.submit(FenceNumber(FIRST, 1), fence.grant(0.0), LOAD, 0.0)
        self.assertEqual(Err(Refusal.UNREAD), refused)

    def test_order_without_visible_effect_is_not_issued(self) -> None:
        """Guards against an order counted as applied while still inside the engine."""
        fence = make_fence(False)
        unload = Order(OrderKind.UNLOAD, name="adapter")
        number = FenceNumber(FIRST, 1)
        self.assertEqual(Ok([]), fence.submit(number, fence.grant(2.0), unload, 2.0))

    def test_next_order_waits_for_the_reading_after_the_answer(self) -> None:
        """Guards against decisions based on a state from before the last order."""
        fence = make_fence(False)
        number = FenceNumber(FIRST, 1)
        fence.submit(number, fence.grant(2.0), LOAD, 2.0)
        early = fence.refresh(2.05)[0]
        read = fence.order_answered(number, 2.1)[0]
        second = FenceNumber(FIRST, 2)
        unload = Order(OrderKind.UNLOAD, name="adapter")
        self.assertFalse(fence.ready)
        refused = fence.submit(second, fence.grant(2.1), unload, 2.1)
        self.assertEqual(Err(Refusal.BUSY), refused)
        fence.state_read(early.read_id, EngineState("engine"), 2.2)
        self.assertFalse(fence.ready)
        loaded = EngineState("engine", loaded=frozenset({"adapter"}))
        fence.state_read(read.read_id, loaded, 2.3)
        self.assertTrue(fence.ready)
        self.assertEqual("applied", fence.last_outcome())
