"""coordination: the part of an expert map switch that runs at each rank's agent.

A rank promises to follow the highest epoch it has seen. Its phase is a function of the
engine's state alone, so an agent that restarts reads it back; what it forgets is its
promise, and messages to its earlier incarnation are ignored.
"""

from dataclasses import dataclass

from result import Ok

from lacewingcleat.actions import Send
from lacewingcleat.messages import (
    Grant,
    OrderKind,
    RankPhase,
    SwitchAbort,
    SwitchCommit,
    SwitchHold,
    SwitchPrepare,
    SwitchQuery,
    SwitchResume,
    SwitchStatus,
)
from lacewingcleat.order_fence import (
    NO_EPOCH,
    EngineState,
    FenceAction,
    FenceNumber,
    Order,
    OrderFence,
)

HOLD_POLL_INTERVAL_SECONDS = 0.01
STATUS_INTERVAL_SECONDS = 1.0

SwitchMessage = (
    SwitchPrepare | SwitchHold | SwitchCommit | SwitchResume | SwitchAbort | SwitchQuery
)


@dataclass(frozen=True, slots=True)
class FetchMap:
    """Ask the agent to get the weights of a map to its server.

    The agent calls `RankSwitch.weights_ready` when they are there.

    :param base_version: map to which the changes apply, 0 for a complete map.
    """

    map_version: int
    map_digest: str
    base_version: int
    encoded_changes: bytes


RankAction = FenceAction | FetchMap | Send


def derive_phase(state: EngineState | None) -> RankPhase:
    """Return how far a rank has come, from its engine's state."""
    if state is None or (state.map_version == 0 and state.next_map_version == 0):
        return RankPhase.DOWN
    if state.held:
        return RankPhase.HELD if state.next_map_version else RankPhase.SWITCHED
    return RankPhase.PREPARED if state.next_map_version else RankPhase.RUNNING


class RankSwitch:
    """Follow the leader of the group at one rank.

    :param fence: the fence in front of the rank's engine.
    """

    def __init__(self, group: str, rank: int, fence: OrderFence) -> None:
        self.group = group
        self.rank = rank
        self.promised = NO_EPOCH
        self._fence = fence
        self._reading = 0
        self._epoch_closed = False
        self._barrier_done = False
        self._barrier_issued = False
        self._leader_instance = ""
        self._status_pending = False
        self._grant = Grant()
        self._fetching_version = 0
        self._ready_version = 0
        self._required_read_id = 0
        self._last_reported: tuple[RankPhase, int] | None = None
        self._last_status_at = float("-inf")
        self._last_poll_at = float("-inf")

    @property
    def phase(self) -> RankPhase:
        """Return how far this rank has come, as last read from the engine."""
        return derive_phase(self._fence.state)

    def receive(
        self,
        sender: str,
        message: SwitchMessage,
        now: float,
    ) -> list[RankAction]:
        """Act on a message of a leader and reply with the rank's status.

        :param sender: instance name of the leader.
        """
        if message.group != self.group:
            return []
        self._leader_instance = sender
        self._status_pending = True
        actions: list[RankAction] = []
        if isinstance(message, SwitchQuery):
            actions = self._promise(message, now)
        if not self._is_current(message):
            return actions + self._reply(now)
        self._grant = message.grant
        return actions + self._handle(message, now) + self._reply(now)

    def engine_state_updated(self, now: float) -> list[RankAction]:
        """Go on after the fence has taken a reading of the engine's state."""
        barrier = self._issue_barrier(now)
        if (
            self.phase is not RankPhase.RUNNING
            and self._current_progress() != self._last_reported
        ):
            self._status_pending = True
        return barrier + self._reply(now)

    def set_leader(self, instance: str) -> None:
        """Take the leader's name from the view of the live ranks."""
        self._leader_instance = instance

    def tick(self, now: float) -> list[RankAction]:
        """Read the engine while it comes to a hold, and report what is unfinished.

        A rank that does not run reports once a second without being asked, because
        the leader reads the ranks only when it has a reason to.
        """
        actions: list[RankAction] = list(self._fence.tick(now))
        state = self._fence.state
        hold_pending = state is not None and state.hold_step >= 0 and not state.held
        period = HOLD_POLL_INTERVAL_SECONDS if hold_pending else STATUS_INTERVAL_SECONDS
        if self._fence.ready and now - self._last_poll_at >= period:
            self._last_poll_at = now
            actions += self._fence.refresh(now)
        if now - self._last_status_at >= STATUS_INTERVAL_SECONDS:
            self._last_status_at = now
            self._status_pending |= self.phase is not RankPhase.RUNNING
        return actions + self._reply(now)

    def weights_ready(self, map_version: int, now: float) -> list[RankAction]:
        """Load a map whose weights have arrived at the server."""
        if map_version != self._fetching_version:
            return []
        self._ready_version = map_version
        return self._submit_order(Order(OrderKind.LOAD_MAP, map_version), now)

    def status(self, now: float) -> SwitchStatus:
        """Return the rank's state with a new grant."""
        state = self._fence.state or EngineState("")
        return SwitchStatus(
            self.group,
            self.rank,
            self.promised,
            derive_phase(state),
            state.map_version,
            state.next_map_version,
            state.step,
            self._reading,
            self._fence.grant(now),
        )

    def _promise(self, query: SwitchQuery, now: float) -> list[RankAction]:
        if not self._fence.is_own_grant(query.grant) or query.epoch < self.promised:
            return []
        if query.epoch != self.promised:
            self.promised = query.epoch
            self._fence.observe_epoch(query.epoch)
            self._reading = 0
            self._epoch_closed = False
            self._fetching_version = 0
            self._ready_version = 0
            self._barrier_done = not self._fence.engine_checks_fencing
            self._barrier_issued = False
        self._reading = max(self._reading, query.reading)
        if not self._fence.ready:
            return []
        actions = self._fence.refresh(now)
        self._required_read_id = self._fence.last_read_id
        return list(actions)

    def _is_current(self, message: SwitchMessage) -> bool:
        return (
            message.epoch == self.promised
            and self._fence.is_own_grant(message.grant)
            and not self._epoch_closed
        )

    def _handle(self, message: SwitchMessage, now: float) -> list[RankAction]:
        if not self._fence.ready or not self._barrier_done:
            return self._issue_barrier(now)
        state = self._fence.state
        if state is None:
            return []
        phase = derive_phase(state)
        match message:
            case SwitchPrepare():
                return self._prepare(message, state, now)
            case SwitchHold(map_version=version, step=step):
                if phase is not RankPhase.PREPARED or state.next_map_version != version:
                    return []
                if state.hold_step == step:
                    return []
                return self._submit_order(Order(OrderKind.HOLD, version, step), now)
            case SwitchCommit(map_version=version):
                if phase is not RankPhase.HELD or state.next_map_version != version:
                    return []
                return self._submit_order(Order(OrderKind.SWITCH_MAP, version), now)
            case SwitchResume(map_version=version):
                if phase is not RankPhase.SWITCHED or state.map_version != version:
                    return []
                return self._submit_and_close(Order(OrderKind.RESUME, version), now)
            case SwitchAbort():
                if phase not in (RankPhase.PREPARED, RankPhase.HELD):
                    return []
                return self._submit_and_close(Order(OrderKind.DROP_MAP), now)
            case SwitchQuery():
                return []

    def _prepare(
        self,
        message: SwitchPrepare,
        state: EngineState,
        now: float,
    ) -> list[RankAction]:
        version = message.map_version
        if version == self._ready_version != state.next_map_version:
            return self.weights_ready(version, now)
        if version in (
            self._fetching_version,
            state.map_version,
            state.next_map_version,
        ):
            return []
        if derive_phase(state) not in (RankPhase.RUNNING, RankPhase.DOWN):
            return []
        self._fetching_version = version
        return [
            FetchMap(
                version,
                message.map_digest,
                message.base_version,
                message.encoded_changes,
            ),
        ]

    def _submit_and_close(self, order: Order, now: float) -> list[RankAction]:
        actions = self._submit_order(order, now)
        self._epoch_closed = bool(actions)
        return actions

    def _submit_order(self, order: Order, now: float) -> list[RankAction]:
        fence = FenceNumber(self.promised, self._fence.next_sequence(self.promised))
        match self._fence.submit(fence, self._grant, order, now):
            case Ok(actions):
                return list(actions)
            case _:
                return []

    def _issue_barrier(self, now: float) -> list[RankAction]:
        if not self._fence.ready or self._barrier_done or self.promised == NO_EPOCH:
            return []
        if self._barrier_issued:
            self._barrier_done = True
            return []
        self._grant = self._fence.grant(now)
        actions = self._submit_order(Order(OrderKind.BARRIER), now)
        self._barrier_issued = bool(actions)
        return actions

    def _reply(self, now: float) -> list[RankAction]:
        if not self._status_pending or not self._leader_instance:
            return []
        if self.promised != NO_EPOCH and not self._is_state_current():
            return []
        self._status_pending = False
        self._last_reported = self._current_progress()
        return [Send(self._leader_instance, self.status(now))]

    def _is_state_current(self) -> bool:
        """Return whether the known state is from after the promise."""
        if not self._fence.ready or not self._barrier_done:
            return False
        return self._fence.recorded_read_id >= self._required_read_id

    def _current_progress(self) -> tuple[RankPhase, int]:
        state = self._fence.state
        return self.phase, state.map_version if state else 0
