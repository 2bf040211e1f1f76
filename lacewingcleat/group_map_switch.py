"""coordination: switch all ranks of a group to a new expert map at the same pass.

A switch prepares the map on all ranks, holds a future pass at rank 0, arms all ranks
for that pass and releases it once each rank has confirmed that it is armed. No pass can
start with different maps while the pass is held.

An order without an answer may still be applied seconds later, and a leader may wake up
after another one has taken over. Engines need not check fencing tokens, so each order
carries the number of orders that its rank must have begun before (a compare-and-swap).
Two rules keep the ranks' maps equal:

* A leader takes over a held pass by beginning an order at rank 0 first. From then on
  rank 0 refuses the release of the former leader.
* It then begins an order at each other rank, with the numbers that it read before the
  takeover, and releases the pass only after that. Late orders of the former leader are
  void, and no order of this one can reach a switch that began after its takeover.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Protocol

from lacewingcleat.map_orders import (
    ArmMap,
    ConditionalOrder,
    DisarmMap,
    HoldPass,
    MapOrder,
    OrderAnswer,
    PrepareMap,
    RankMapState,
    ReleasePass,
)

# Experts by layer set and rank.
ExpertMap = tuple[tuple[tuple[int, ...], ...], ...]

# Copying a map's replicas over the links between engines takes about 1 s.
PREPARE_TIMEOUT_SECONDS = 6.0
PREPARE_POLL_INTERVAL_SECONDS = 0.25
# Addition for each rank, so that polling a large group costs no more per second.
PREPARE_POLL_SECONDS_PER_RANK = 0.005
# A rank's reported state can be some hundred milliseconds old.
MAX_STATE_AGE_SECONDS = 0.5
# The held pass is this far ahead, so that orders and their answers arrive before it and
# no pass is delayed. This includes the age of the report that gave the last pass.
HOLD_LEAD_SECONDS = 0.65
# Bounds of the lead in passes. A pass takes 25 to 100 ms; an idle group runs none.
MIN_HOLD_LEAD_STEPS = 8
MAX_HOLD_LEAD_STEPS = 26
# A switch whose ranks are not all armed this long after the hold is rolled back, since
# the group may already be blocked.
ARM_TIMEOUT_SECONDS = 0.8
# A release of unknown outcome is repeated for this time after the hold. Repeating it is
# harmless: rank 0 refuses it once it has been applied or another leader has taken over.
RELEASE_TIMEOUT_SECONDS = 2.0
# Another leader takes over a hold that it has observed for this long.
ORPHAN_AGE_SECONDS = 0.8
# Attempts to roll a switch back in one round; the next round continues.
MAX_ROLLBACK_ATTEMPTS = 6
# Attempts to get an answer to one order.
MAX_ORDER_ATTEMPTS = 4
# Reason returned if a switch has been released and its pass has not started yet.
REASON_ARMED = "armed"
CONFIRMED = frozenset({OrderAnswer.BEGUN, OrderAnswer.ACCEPTED})


class RankClient(Protocol):
    """Interface for sending orders and reads to the ranks of one group."""

    def now(self) -> float:
        """Return the current time."""

    def sleep(self, seconds: float) -> Awaitable[object]:
        """Return an awaitable that completes after a delay."""

    def read(self, ranks: Sequence[int]) -> Awaitable[dict[int, RankMapState]]:
        """Return the states of the ranks that responded."""

    def order(
        self,
        orders: Mapping[int, ConditionalOrder],
    ) -> Awaitable[dict[int, OrderAnswer]]:
        """Send orders to several ranks concurrently and return their answers."""


@dataclass(frozen=True, slots=True)
class SwitchResult:
    """Represent the result of a switch.

    :param switched: whether the held pass was released with all ranks armed.
    :param reason: outcome in words, for the log.
    :param version: version of the new map, 0 for a rollback.
    """

    switched: bool
    reason: str
    version: int = 0


class HoldTracker:
    """Track since when each hold of a group has been observed."""

    __slots__ = ("_first_seen_at_by_hold",)

    def __init__(self) -> None:
        self._first_seen_at_by_hold: dict[tuple[int, int], float] = {}

    def observe(self, step_by_rank: Mapping[int, int], now: float) -> float:
        """Update the set of holds; return for how long the newest has been observed.

        :param step_by_rank: held pass of each rank that holds one.
        """
        self._first_seen_at_by_hold = {
            hold: self._first_seen_at_by_hold.get(hold, now)
            for hold in step_by_rank.items()
        }
        return now - max(self._first_seen_at_by_hold.values(), default=now)


class GroupMapSwitch:
    """Execute and roll back map switches of one group.

    :param size: number of ranks.
    :param current: map that the ranks use.
    :param next_version: returns a map version above a given one that no other leader
        uses.
    :param hold_tracker: holds that were observed in earlier rounds.
    """

    def __init__(
        self,
        client: RankClient,
        size: int,
        current: ExpertMap,
        next_version: Callable[[int], int],
        hold_tracker: HoldTracker,
    ) -> None:
        self._client = client
        self._ranks = tuple(range(size))
        self._current = current
        self._next_version = next_version
        self._hold_tracker = hold_tracker

    async def switch(
        self,
        experts: ExpertMap,
        states: Mapping[int, RankMapState],
        step_seconds: float,
    ) -> SwitchResult:
        """Switch the group to a map.

        :param states: states of all ranks, just read, with no rank armed or held.
        :param step_seconds: duration of a pass, 0 if the group is idle.
        """
        epoch = states[0].epoch
        version = self._next_version(_highest_version(states))
        prepared = await self._prepare(version, experts, states)
        if prepared is None:
            return SwitchResult(False, "not prepared", version)
        sequence_by_rank = {rank: s.sequence for rank, s in prepared.items()}
        hold_step = max(state.step for state in prepared.values()) + _hold_lead_steps(
            step_seconds
        )
        held_at = self._client.now()
        hold = ConditionalOrder(HoldPass(hold_step), epoch, sequence_by_rank[0])
        answers = await self._client.order({0: hold})
        match answers.get(0, OrderAnswer.UNKNOWN):
            case OrderAnswer.BEGUN | OrderAnswer.ACCEPTED as answer:
                sequence_by_rank[0] += answer is OrderAnswer.BEGUN
            case OrderAnswer.UNKNOWN:
                # The hold may have been applied, or may be later.
                return await self._cancel(hold_step, epoch)
            case OrderAnswer.CONFLICT:
                return SwitchResult(False, "hold: conflict", version)
        armed = await self._arm(version, hold_step, epoch, sequence_by_rank, held_at)
        if not armed:
            return await self._cancel(hold_step, epoch)
        return await self._release(
            version, hold_step, epoch, sequence_by_rank[0], held_at
        )

    async def _prepare(
        self,
        version: int,
        experts: ExpertMap,
        states: Mapping[int, RankMapState],
    ) -> dict[int, RankMapState] | None:
        """Prepare a map on all ranks; return their states, None if it failed."""
        epoch = states[0].epoch
        deadline = self._client.now() + PREPARE_TIMEOUT_SECONDS
        poll_interval = (
            PREPARE_POLL_INTERVAL_SECONDS
            + PREPARE_POLL_SECONDS_PER_RANK * len(self._ranks)
        )
        pending = dict(states)
        while self._client.now() < deadline:
            await self._client.order(
                {
                    rank: ConditionalOrder(
                        PrepareMap(version, experts), epoch, state.sequence
                    )
                    for rank, state in sorted(pending.items())
                }
            )
            await self._client.sleep(poll_interval)
            latest = await self._read_states(epoch)
            if latest is None:
                continue
            if any(state.held_step is not None for state in latest.values()):
                return None
            # A rank that is still copying refuses the repeated order as a conflict.
            pending = {
                rank: state
                for rank, state in latest.items()
                if state.prepared_version != version
            }
            if not pending:
                return latest
            prepared_versions = (s.prepared_version or 0 for s in pending.values())
            if max(prepared_versions) > version:
                # Another leader prepares a newer map.
                return None
        return None

    async def _read_states(self, epoch: int) -> dict[int, RankMapState] | None:
        """Return all ranks' states, or None if one is missing or in another epoch."""
        states = await self._client.read(self._ranks)
        if len(states) != len(self._ranks):
            return None
        if any(s.epoch != epoch or not s.is_open for s in states.values()):
            return None
        return states

    async def _arm(
        self,
        version: int,
        hold_step: int,
        epoch: int,
        sequence_by_rank: dict[int, int],
        held_at: float,
    ) -> bool:
        """Arm all ranks; return whether all are known to be armed.

        :param sequence_by_rank: is updated for the ranks that are armed.
        """
        pending = set(self._ranks)
        unconfirmed: set[int] = set()
        while self._client.now() - held_at < ARM_TIMEOUT_SECONDS:
            answers = await self._client.order(
                {
                    rank: ConditionalOrder(
                        ArmMap(version, hold_step), epoch, sequence_by_rank[rank]
                    )
                    for rank in sorted(pending - unconfirmed)
                }
            )
            for rank, answer in answers.items():
                match answer:
                    case OrderAnswer.BEGUN | OrderAnswer.ACCEPTED:
                        sequence_by_rank[rank] += answer is OrderAnswer.BEGUN
                        pending.discard(rank)
                    case OrderAnswer.CONFLICT:
                        # An earlier order without an answer may have armed the rank.
                        unconfirmed.add(rank)
                    case OrderAnswer.UNKNOWN:
                        pass
            if not pending:
                return True
            if pending == unconfirmed:
                await self._client.sleep(PREPARE_POLL_INTERVAL_SECONDS / 2.0)
                states = await self._client.read(sorted(pending))
                for rank, state in states.items():
                    if state.epoch == epoch and state.armed_version == version:
                        sequence_by_rank[rank] = state.sequence
                        pending.discard(rank)
                        unconfirmed.discard(rank)
                if not pending:
                    return True
        return False

    async def _release(
        self,
        version: int,
        hold_step: int,
        epoch: int,
        sequence: int,
        held_at: float,
    ) -> SwitchResult:
        order = ConditionalOrder(ReleasePass(hold_step), epoch, sequence)
        may_be_released = False
        while self._client.now() - held_at < RELEASE_TIMEOUT_SECONDS:
            answers = await self._client.order({0: order})
            match answers.get(0, OrderAnswer.UNKNOWN):
                case OrderAnswer.BEGUN | OrderAnswer.ACCEPTED:
                    return SwitchResult(True, "released", version)
                case OrderAnswer.CONFLICT if may_be_released:
                    return SwitchResult(False, "release: not confirmed", version)
                case OrderAnswer.CONFLICT:
                    return SwitchResult(False, "release: conflict", version)
                case OrderAnswer.UNKNOWN:
                    may_be_released = True
        # The time limit passed, for example since this process was suspended, or no
        # answer arrived.
        return await self._cancel(hold_step, epoch)

    async def _cancel(self, hold_step: int, epoch: int) -> SwitchResult:
        """Roll back a switch of this leader, whatever part of it has been applied."""
        for _ in range(MAX_ROLLBACK_ATTEMPTS):
            # The states read after this delay include all orders that were applied.
            await self._client.sleep(MAX_STATE_AGE_SECONDS)
            states = await self._client.read(self._ranks)
            if any(state.epoch != epoch for state in states.values()):
                return SwitchResult(False, "rollback: another epoch")
            if len(states) != len(self._ranks):
                continue
            if states[0].held_step == hold_step:
                if await self._roll_back(states, hold_step):
                    return SwitchResult(False, "rolled back")
                continue
            if states[0].armed_version is not None:
                return SwitchResult(False, REASON_ARMED)
            # No pass is held now; a late hold is void once this order has begun.
            if await self._void_earlier_orders({0: states[0]}):
                return SwitchResult(False, "rolled back")
        return SwitchResult(False, "rollback: not completed")

    async def _roll_back(
        self, states: Mapping[int, RankMapState], hold_step: int
    ) -> bool:
        """Take over a held pass, disarm all ranks and release the pass.

        :param states: states of all ranks, read before any order of this rollback.
        :return: whether the pass was released; otherwise the states are out of date.
        """
        if not await self._void_earlier_orders({0: states[0]}):
            return False
        others = {rank: state for rank, state in states.items() if rank != 0}
        if not await self._void_earlier_orders(others):
            return False
        order = ConditionalOrder(
            ReleasePass(hold_step), states[0].epoch, states[0].sequence + 1
        )
        answers = await self._send({0: order})
        return answers[0] in CONFIRMED

    async def _void_earlier_orders(self, states: Mapping[int, RankMapState]) -> bool:
        """Make ranks begin an order that leaves them disarmed; return whether all did.

        Earlier orders that have not been applied are void afterwards.
        """
        version = self._next_version(_highest_version(states))
        answers = await self._send(
            {
                rank: ConditionalOrder(
                    self._neutral_order(state, version), state.epoch, state.sequence
                )
                for rank, state in states.items()
            }
        )
        return all(answer is OrderAnswer.BEGUN for answer in answers.values())

    def _neutral_order(self, state: RankMapState, version: int) -> MapOrder:
        """Return an order that begins at a rank and leaves its map unchanged.

        An armed rank refuses to prepare a map, and preparing the map in use copies
        nothing.
        """
        if state.armed_version is not None:
            return DisarmMap(state.armed_version)
        return PrepareMap(version, self._current)

    async def _send(
        self, orders: Mapping[int, ConditionalOrder]
    ) -> dict[int, OrderAnswer]:
        """Send orders, repeating those without an answer; return the last answers."""
        answers = dict.fromkeys(orders, OrderAnswer.UNKNOWN)
        for _ in range(MAX_ORDER_ATTEMPTS):
            pending = _ranks_with(answers, OrderAnswer.UNKNOWN)
            if not pending:
                break
            answers |= await self._client.order(
                {rank: orders[rank] for rank in pending}
            )
        return answers

    async def recover(self, states: Mapping[int, RankMapState]) -> SwitchResult | None:
        """Roll back another leader's unfinished switch; return None if there is none.

        :param states: states of all ranks, just read.
        """
        held_step_by_rank = {
            r: s.held_step for r, s in states.items() if s.held_step is not None
        }
        age = self._hold_tracker.observe(held_step_by_rank, self._client.now())
        if not held_step_by_rank:
            is_armed = is_switch_pending(states)
            return SwitchResult(False, REASON_ARMED) if is_armed else None
        if age < ORPHAN_AGE_SECONDS:
            return SwitchResult(False, "held by another leader")
        if set(held_step_by_rank) != {0}:
            return SwitchResult(False, "held at a rank other than rank 0")
        if await self._roll_back(states, held_step_by_rank[0]):
            return SwitchResult(False, "rolled back")
        return SwitchResult(False, "rollback: not completed")


def is_switch_pending(states: Mapping[int, RankMapState]) -> bool:
    """Return whether a switch has been released and its pass has not started yet."""
    return all(s.held_step is None for s in states.values()) and any(
        s.armed_version is not None for s in states.values()
    )


def _ranks_with(
    answers: Mapping[int, OrderAnswer], answer: OrderAnswer
) -> Iterable[int]:
    return sorted(rank for rank, each in answers.items() if each is answer)


def _highest_version(states: Mapping[int, RankMapState]) -> int:
    return max(
        max(s.map_version, s.prepared_version or 0, s.armed_version or 0)
        for s in states.values()
    )


def _hold_lead_steps(step_seconds: float) -> int:
    """Return how many passes ahead of the last one the held pass is."""
    if step_seconds <= 0.0:
        return MAX_HOLD_LEAD_STEPS
    steps = ceil(HOLD_LEAD_SECONDS / step_seconds)
    return min(MAX_HOLD_LEAD_STEPS, max(MIN_HOLD_LEAD_STEPS, steps))
