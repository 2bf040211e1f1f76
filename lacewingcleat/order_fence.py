"""coordination: prevent outdated orders from reaching an engine.

Every order to an engine passes the fence at the engine's agent. The fence admits one
order at a time, in the order of fencing numbers, and only with a grant that is at most
5 s old and was not issued before a pause of the process. After each order it reads the
engine's state back.

Engines that check fencing numbers refuse orders that are delayed inside the engine. For
engines that ignore the numbers one race remains: an order that is already inside the
engine when the agent dies can take effect after the next agent has read the state. To
make this unlikely, the next agent delays its first read by 2 s. An order that is
delayed inside the engine for longer is not detected.
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
from lacewingcleat.pause_detector import PauseDetector

GRANT_VALIDITY_SECONDS = 5.0
FIRST_READ_DELAY_SECONDS = 2.0
READ_RETRY_SECONDS = 0.5
REISSUE_SECONDS = 1.0
UNCONFIRMED_ALARM_SECONDS = 5.0
MAX_GRANTS = 64
NO_EPOCH = Epoch(0, "")


@dataclass(frozen=True, slots=True, order=True)
class FenceNumber:
    """Define a total order of the orders that all leaders send to an engine."""

    epoch: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class Order:
    """Represent one order to an engine.

    :param map_version: expert map to load, hold for, switch to or resume with.
    :param step: last step to run, for `HOLD`.
    :param name: model, adapter, version or role, for orders without a map.
    """

    kind: OrderKind
    map_version: int = 0
    step: int = 0
    name: str = ""


@dataclass(frozen=True, slots=True)
class EngineState:
    """Represent the state that an engine reports.

    :param incarnation: changes at each start of the engine.
    :param map_version: expert map in use, 0 for none; an engine starts held, without
        a map.
    :param next_map_version: expert map that is loaded but not in use, 0 for none.
    :param hold_step: step after which the engine was ordered to hold, -1 for none.
    :param held: whether the engine is stopped at a step boundary.
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
    """Request that the transport sends an order to the engine."""

    number: FenceNumber
    order: Order


@dataclass(frozen=True, slots=True)
class ReadState:
    """Request that the transport reads the engine's state.

    :param read_id: identifier to pass back with the state.
    """

    read_id: int


FenceAction = IssueOrder | ReadState | Alarm


class Refusal(Enum):
    """Reasons why the fence refuses an order."""

    OLD_EPOCH = "old-epoch"
    UNPROMISED = "unpromised"
    OLD_SEQUENCE = "old-sequence"
    NO_AUTHORITY = "no-authority"
    BUSY = "busy"
    UNREAD = "unread"


@dataclass(slots=True)
class _OutstandingOrder:
    """Hold the order whose effect is not confirmed.

    :ivar engine_incarnation: run of the engine that the order was sent to, none until
        the first state that was read after the order was issued.
    """

    number: FenceNumber
    order: Order
    submitted_at: float
    issued_at: float
    engine_incarnation: str | None = None
    answered: bool = False
    answer_read_id: int = 0
    alarmed: bool = False


class OrderFence:
    """Admit orders to one engine.

    :param incarnation: incarnation of the agent process.
    :param engine_checks_fencing: whether the engine refuses old fencing numbers itself.
    """

    def __init__(
        self, incarnation: str, engine_checks_fencing: bool, now: float
    ) -> None:
        self.state: EngineState | None = None
        self.highest_epoch = NO_EPOCH
        self.engine_checks_fencing = engine_checks_fencing
        self._incarnation = incarnation
        self._pause_watch = PauseDetector(now)
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
        """Return the identifier of the last read that was requested."""
        return self._read_count

    @property
    def ready(self) -> bool:
        """Return whether the state has been read and no order is outstanding."""
        return self._outstanding is None and self.state is not None

    def observe_epoch(self, epoch: Epoch) -> None:
        """Accept orders of this epoch and refuse those of lower epochs from now on.

        This is called only when the rank promises an epoch to a leader that reads all
        ranks. An agent that has just started therefore accepts no orders, since it
        does not know the epoch of the previous leader.
        """
        self.highest_epoch = max(self.highest_epoch, epoch)

    def grant(self, now: float) -> Grant:
        """Issue a new grant, which is valid for 5 s from now.

        The agent measures the age of the grant from when it issued it, so a delayed
        message to or from the leader does not extend the validity.
        """
        self._check_pause(now)
        self._grant_count += 1
        self._issued_at_by_grant[self._grant_count] = now
        self._issued_at_by_grant.pop(self._grant_count - MAX_GRANTS, None)
        return Grant(self._incarnation, self._grant_count)

    def is_own_grant(self, grant: Grant) -> bool:
        """Return whether a grant was issued by this process, valid or not."""
        return grant.incarnation == self._incarnation

    def is_valid_grant(self, grant: Grant, now: float) -> bool:
        """Return whether a grant was issued by this process and is still valid."""
        self._check_pause(now)
        if grant.incarnation != self._incarnation:
            return False
        issued_at = self._issued_at_by_grant.get(grant.number)
        return issued_at is not None and now - issued_at <= GRANT_VALIDITY_SECONDS

    @property
    def last_number(self) -> FenceNumber:
        """Return the fencing number of the last admitted order."""
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
        """Admit an order, or return why it is refused.

        :param grant: grant that the leader's message carries.
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
            # The state already shows the order's effect. If it were issued, it would
            # be taken as applied while it is still inside the engine.
            return Ok([])
        self._min_read_id = self._read_count + 1
        self._outstanding = _OutstandingOrder(
            number,
            order,
            now,
            now,
        )
        actions: list[FenceAction] = [IssueOrder(number, order)]
        if not self.engine_checks_fencing:
            # The known state may be of an earlier run of the engine. If the order were
            # taken as lost with that run, it could still be applied in the present one.
            actions.append(self._request_read(now))
        return Ok(actions)

    def order_answered(self, number: FenceNumber, now: float) -> list[FenceAction]:
        """Record that the engine has answered an order, and read the state back.

        It makes no difference whether the engine accepted or refused the order: the
        state shows whether it was applied.
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
        """Record the engine's state; ignore a read from before the last order."""
        self._check_pause(now)
        if read_id < self._min_read_id:
            return []
        outstanding = self._outstanding
        if outstanding is None:
            self._min_read_id = read_id
            self._record_state(read_id, state)
            return []
        if outstanding.engine_incarnation is None:
            outstanding.engine_incarnation = state.incarnation
        is_after_answer = outstanding.answered and read_id >= outstanding.answer_read_id
        if is_after_answer or (
            not outstanding.answered and self._is_confirmed(outstanding, state)
        ):
            self._outstanding = None
            self._min_read_id = self._read_count
            self._record_state(read_id, state)
        return []

    def tick(self, now: float) -> list[FenceAction]:
        """Read the state if it is unknown or an order is outstanding.

        An unanswered order is sent again only to an engine that checks fencing numbers,
        since such an engine refuses the second copy. With other engines the order stays
        outstanding until the state shows its effect or the engine has restarted.
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
            text = f"order {outstanding.order.kind.value} has no confirmed result"
            actions.append(Alarm("order-unsettled", text))
        return actions

    def _reissue(self, outstanding: _OutstandingOrder, now: float) -> IssueOrder:
        """Send an order again, or a barrier in its place if its leader was replaced."""
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
        # If the order was sent again, the restarted engine may still apply a copy.
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
    """Return whether a state shows that an order has been applied."""
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
    """Actions and reply that result from a leader's order."""

    actions: tuple[FenceAction, ...]
    status: ServerOrderStatus


def receive_order(fence: OrderFence, order: ServerOrder, now: float) -> OrderReceipt:
    """Submit a leader's order to the fence and build the reply.

    A repeated order is not issued again; the reply has the outcome of the first copy.
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
