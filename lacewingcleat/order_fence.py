"""coordination: keep outdated orders away from an engine.

Every order to an engine passes the fence at the engine's agent. The fence admits one
order at a time, in the order of fencing numbers, and only under authority that is
younger than 5 s and does not date from before a pause. After each order it reads the
state back.

Engines that check fencing numbers refuse whatever is late inside the engine. For
engines that ignore the numbers one window remains: an order that is already inside the
engine when the agent dies can take effect after the next agent has read the state. The
next agent waits `SETTLE_SECONDS` before its first reading to make this unlikely; an
order that stays longer inside the engine is not caught.
"""

from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

from lacewingcleat.actions import Alarm
from lacewingcleat.messages import (
    Epoch,
    Grant,
    OrderKind,
    ServerOrder,
    ServerOrderStatus,
)
from lacewingcleat.pause_watch import PauseWatch

GRANT_VALIDITY_SECONDS = 5.0
FIRST_READ_DELAY_SECONDS = 2.0
READ_RETRY_SECONDS = 0.5
REISSUE_SECONDS = 1.0
UNCONFIRMED_ALARM_SECONDS = 5.0
MAX_GRANTS = 64
NO_EPOCH = Epoch(0, "")


@dataclass(frozen=True, slots=True, order=True)
class FenceNumber:
    """Order the orders to an engine over all leaders."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class Order:
    """Describe one order to an engine.

    :param map_version: expert map for orders about maps.
    :param step: last step to run, for `HOLD`.
    :param name: model, adapter, version or role for other orders.
    """

    kind: OrderKind
    map_version: int = 0
    step: int = 0
    name: str = ""


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold what an engine reports about itself.

    :param incarnation: new at each start of the engine.
    :param map_version: expert map in use, 0 for none; an engine starts held, without
        a map.
    :param next_map_version: expert map that is loaded but not in use, 0 for none.
    :param hold_step: step after which it was asked to hold, -1 for none.
    :param held: whether it stands at a step boundary and starts no step.
    :param step: last completed step.
    """

    incarnation: str
    map_version: int = 0
    next_map_version: int = 0
    hold_step: int = -1
    held: bool = True
    step: int = 0
    loaded: frozenset[str] = field(default_factory=frozenset)
    role: str = ""


@dataclass(frozen=True, slots=True)
class IssueOrder:
    """Ask the transport to send an order to the engine."""

    number: FenceNumber
    order: Order


@dataclass(frozen=True, slots=True)
class ReadState:
    """Ask the transport to read the engine's state.

    :param read_id: to be passed back with the state.
    """

    read_id: int


FenceAction = IssueOrder | ReadState | Alarm


class Refusal(Enum):
    """Say why the fence refused an order."""

    OLD_EPOCH = "old-epoch"
    UNPROMISED = "unpromised"
    OLD_SEQUENCE = "old-sequence"
    NO_AUTHORITY = "no-authority"
    BUSY = "busy"
    UNREAD = "unread"


@dataclass(slots=True)
class _OutstandingOrder:
    number: FenceNumber
    order: Order
    submitted_at: float
    engine_incarnation: str
    issued_at: float
    answered: bool = False
    answer_read_id: int = 0
    alarmed: bool = False


class OrderFence:
    """Admit orders to one engine.

    :param incarnation: of the agent process.
    :param engine_checks_fencing: whether the engine refuses old fencing numbers itself.
    """

    def __init__(
        self, incarnation: str, engine_checks_fencing: bool, now: float
    ) -> None:
        self.state: EngineState | None = None
        self.highest_epoch = NO_EPOCH
        self.engine_checks_fencing = engine_checks_fencing
        self._incarnation = incarnation
        self._pause_watch = PauseWatch(now)
        self._started_at = now
        self._last_number = FenceNumber(NO_EPOCH, 0)
        self._last_order = Order(OrderKind.BARRIER)
        self._outstanding: _OutstandingOrder | None = None
        self._issued_at_by_grant: dict[int, float] = {}
        self._grant_count = 0
        self._read_count = 0
        self._last_read_at = float("-inf")
        self._min_read_id = 1
        self.recorded_read_id = 0

    @property
    def outstanding(self) -> IssueOrder | None:
        """Return the order whose effect is not yet confirmed."""
        if self._outstanding is None:
            return None
        return IssueOrder(self._outstanding.number, self._outstanding.order)

    @property
    def last_read_id(self) -> int:
        """Return the number of the last reading asked for."""
        return self._read_count

    @property
    def ready(self) -> bool:
        """Return whether the state is known and no order is outstanding."""
        return self._outstanding is None and self.state is not None

    def observe_epoch(self, epoch: Epoch) -> None:
        """Accept orders of this epoch and refuse those of lower ones from now on.

        Only a promise to a leader that reads all ranks calls this. An agent that has
        just started therefore obeys nobody, since it cannot know who led before.
        """
        self.highest_epoch = max(self.highest_epoch, epoch)

    def grant(self, now: float) -> Grant:
        """Return a new permission, which lasts 5 s from now.

        The agent counts the age from its own issue of the grant, so a message that was
        late on the way to the leader or back cannot extend it.
        """
        self._check_pause(now)
        self._grant_count += 1
        self._issued_at_by_grant[self._grant_count] = now
        self._issued_at_by_grant.pop(self._grant_count - MAX_GRANTS, None)
        return Grant(self._incarnation, self._grant_count)

    def is_own_grant(self, grant: Grant) -> bool:
        """Return whether a grant was issued by this process, at any time."""
        return grant.incarnation == self._incarnation

    def is_valid_grant(self, grant: Grant, now: float) -> bool:
        """Return whether a grant is this process's own and young enough."""
        self._check_pause(now)
        if grant.incarnation != self._incarnation:
            return False
        issued_at = self._issued_at_by_grant.get(grant.number)
        return issued_at is not None and now - issued_at <= GRANT_VALIDITY_SECONDS

    @property
    def last_number(self) -> FenceNumber:
        """Return the number of the last admitted order."""
        return self._last_number

    def last_outcome(self) -> str:
        """Return `pending`, `applied` or `not-applied` for the last admitted order."""
        if self._outstanding is not None or self.state is None:
            return "pending"
        return "applied" if is_applied(self._last_order, self.state) else "not-applied"

    def next_sequence(self, epoch: Epoch) -> int:
        """Return the lowest sequence number that an order of an epoch may use."""
        return self._last_number.sequence + 1 if self._last_number.epoch == epoch else 1

    def submit(
        self,
        number: FenceNumber,
        grant: Grant,
        order: Order,
        now: float,
    ) -> Result[list[FenceAction], Refusal]:
        """Admit an order, or say why not.

        :param grant: the permission named by the leader's message.
        """
        is_valid = self.is_valid_grant(grant, now)
        if number.epoch < self.highest_epoch:
            return Err(Refusal.OLD_EPOCH)
        if number.epoch > self.highest_epoch:
            return Err(Refusal.UNPROMISED)
        if number <= self._last_number:
            return Err(Refusal.OLD_SEQUENCE)
        if not is_valid:
            return Err(Refusal.NO_AUTHORITY)
        if self._outstanding is not None:
            return Err(Refusal.BUSY)
        if self.state is None:
            return Err(Refusal.UNREAD)
        self._last_number = number
        self._last_order = order
        if is_applied(order, self.state):
            # Its effect could not be told from the present state, so that it would
            # seem to be done while it is still inside the engine.
            return Ok([])
        self._min_read_id = self._read_count + 1
        self._outstanding = _OutstandingOrder(
            number,
            order,
            now,
            self.state.incarnation,
            now,
        )
        return Ok([IssueOrder(number, order)])

    def order_answered(self, number: FenceNumber, now: float) -> list[FenceAction]:
        """Note that the engine has answered an order, and read the state back.

        Accepted and refused orders are treated alike; the state decides.
        """
        self._check_pause(now)
        if self._outstanding is None or self._outstanding.number != number:
            return []
        self._outstanding.answered = True
        read = self._request_read(now)
        self._outstanding.answer_read_id = read.read_id
        return [read]

    def state_read(
        self,
        read_id: int,
        state: EngineState,
        now: float,
    ) -> list[FenceAction]:
        """Take the engine's state; a reading older than the last order is ignored."""
        self._check_pause(now)
        if read_id < self._min_read_id:
            return []
        outstanding = self._outstanding
        if outstanding is None:
            self._min_read_id = read_id
            self._record_state(read_id, state)
            return []
        is_after_answer = outstanding.answered and read_id >= outstanding.answer_read_id
        if is_after_answer or (
            not outstanding.answered and self._is_confirmed(outstanding, state)
        ):
            self._outstanding = None
            self._min_read_id = self._read_count
            self._record_state(read_id, state)
        return []

    def tick(self, now: float) -> list[FenceAction]:
        """Read the state where it is unknown or an order is outstanding.

        An order without an answer is sent again only to an engine that checks fencing
        numbers, since it refuses the second copy. Otherwise the order stays outstanding
        until its effect is seen or the engine restarts.
        """
        self._check_pause(now)
        if self.ready:
            return []
        delays_first_read = not self.engine_checks_fencing and self.state is None
        if delays_first_read and now - self._started_at < FIRST_READ_DELAY_SECONDS:
            return []
        if now - self._last_read_at < READ_RETRY_SECONDS:
            return []
        actions: list[FenceAction] = [self._request_read(now)]
        outstanding = self._outstanding
        if outstanding is None:
            return actions
        if self.engine_checks_fencing and now - outstanding.issued_at > REISSUE_SECONDS:
            actions.append(self._reissue(outstanding, now))
        if outstanding.alarmed:
            return actions
        if now - outstanding.submitted_at > UNCONFIRMED_ALARM_SECONDS:
            outstanding.alarmed = True
            text = f"order {outstanding.order.kind.value} is without result"
            actions.append(Alarm("order-unsettled", text))
        return actions

    def _reissue(self, outstanding: _OutstandingOrder, now: float) -> IssueOrder:
        """Repeat an order, or make it void if its leader was replaced."""
        outstanding.issued_at = now
        if outstanding.number.epoch < self.highest_epoch:
            self._last_number = FenceNumber(
                self.highest_epoch, self.next_sequence(self.highest_epoch)
            )
            self._last_order = Order(OrderKind.BARRIER)
            self._min_read_id = self._read_count + 1
            outstanding.number = self._last_number
            outstanding.order = self._last_order
        return IssueOrder(outstanding.number, outstanding.order)

    def refresh(self, now: float) -> list[FenceAction]:
        """Read the state again, for example after a step."""
        self._check_pause(now)
        return [self._request_read(now)]

    def _is_confirmed(self, outstanding: _OutstandingOrder, state: EngineState) -> bool:
        # A copy may be inside a restarted engine if the order was sent again.
        restarted = state.incarnation != outstanding.engine_incarnation
        if restarted and not self.engine_checks_fencing:
            return True
        return is_applied(outstanding.order, state)

    def _record_state(self, read_id: int, state: EngineState) -> None:
        self.recorded_read_id = read_id
        self.state = state

    def _request_read(self, now: float) -> ReadState:
        self._read_count += 1
        self._last_read_at = now
        return ReadState(self._read_count)

    def _check_pause(self, now: float) -> None:
        if self._pause_watch.observe(now):
            self._issued_at_by_grant.clear()


def is_applied(order: Order, state: EngineState) -> bool:
    """Return whether a state shows the effect of an order."""
    match order.kind:
        case OrderKind.LOAD_MAP:
            return state.next_map_version == order.map_version
        case OrderKind.HOLD:
            return state.hold_step == order.step
        case OrderKind.SWITCH_MAP:
            return state.map_version == order.map_version
        case OrderKind.RESUME:
            return not state.held
        case OrderKind.DROP_MAP:
            return state.next_map_version == 0 and state.hold_step < 0
        case OrderKind.LOAD:
            return order.name in state.loaded
        case OrderKind.UNLOAD:
            return order.name not in state.loaded
        case OrderKind.SET_ROLE:
            return state.role == order.name
        case OrderKind.BARRIER:
            return False


@dataclass(frozen=True, slots=True)
class OrderReceipt:
    """Hold what follows from an order that a leader has sent."""

    actions: tuple[FenceAction, ...]
    status: ServerOrderStatus


def receive_order(fence: OrderFence, order: ServerOrder, now: float) -> OrderReceipt:
    """Pass a leader's order to the fence and build the reply.

    A repeated order is answered from the fence's state and not issued again.
    """
    number = FenceNumber(order.epoch, order.sequence)
    requested = Order(order.kind, name=order.name)
    actions: tuple[FenceAction, ...] = ()
    match fence.submit(number, order.grant, requested, now):
        case Ok(issued):
            actions = tuple(issued)
            outcome = "pending"
        case Err(Refusal.OLD_SEQUENCE) if number == fence.last_number:
            outcome = fence.last_outcome()
        case Err(refusal):
            outcome = refusal.value
    grant = fence.grant(now)
    status = ServerOrderStatus(
        order.group,
        order.epoch,
        order.sequence,
        outcome,
        grant,
    )
    return OrderReceipt(actions, status)
