"""coordination: switch all ranks of a group to a new expert map at the same pass.

A switch prepares the map on all ranks, holds a future pass, arms all ranks for that
pass and releases it once each rank has confirmed that it is armed. No pass can start
with different maps while the pass is held. The hold is therefore released only when all
ranks are armed, or when none is armed and no late order can arm one.

An order without an answer may still be applied seconds later. Each step that rolls a
switch back therefore uses a higher fencing token than the orders before it: a rank that
has accepted the higher token refuses the late order.
"""

from collections.abc import Awaitable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Protocol

from lacewingcleat.map_orders import (
    ArmMap,
    DisarmMap,
    FencedOrder,
    HoldPass,
    OrderAnswer,
    PrepareMap,
    RankMapState,
    ReleasePass,
)

# Copying a map's replicas over the links between engines takes about 1 s.
PREPARE_TIMEOUT_SECONDS = 6.0
PREPARE_POLL_INTERVAL_SECONDS = 0.4
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
# A release is sent only within this time after the hold. Another leader takes over a
# hold that it has observed for `ORPHAN_AGE_SECONDS`; its higher token fences off the
# orders of the first leader.
RELEASE_TIMEOUT_SECONDS = 1.2
ORPHAN_AGE_SECONDS = 0.8
# Attempts to roll a switch back in one round; the next round continues.
MAX_ROLLBACK_ATTEMPTS = 12
# A version that no map uses, so that disarming it has no effect.
UNUSED_VERSION = 1
# Reason returned if a switch has been released and its pass has not started yet.
REASON_ARMED = "armed"
REFUSALS = frozenset({OrderAnswer.FENCED, OrderAnswer.CONFLICT})


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
        orders: Mapping[int, FencedOrder],
    ) -> Awaitable[dict[int, OrderAnswer]]:
        """Send orders to several ranks concurrently and return their answers."""


@dataclass(frozen=True, slots=True)
class SwitchResult:
    """Represent the result of a switch.

    :param switched: whether the held pass was released with all ranks armed.
    :param reason: outcome in words, for the log.
    """

    switched: bool
    reason: str


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
    :param hold_tracker: holds that were observed in earlier rounds.
    """

    def __init__(
        self, client: RankClient, size: int, hold_tracker: HoldTracker
    ) -> None:
        self._client = client
        self._ranks = tuple(range(size))
        self._hold_tracker = hold_tracker

    async def switch(
        self,
        version: int,
        experts: tuple[tuple[tuple[int, ...], ...], ...],
        states: Mapping[int, RankMapState],
        token: int,
        step_seconds: float,
    ) -> SwitchResult:
        """Switch the group to a map.

        :param states: states of all ranks, just read, with no rank armed or held.
        :param token: fencing token above all that this process has used; `token + 1`
            may be used as well.
        :param step_seconds: duration of a pass, 0 if the group is idle.
        """
        epoch = states[0].epoch
        prepared = await self._prepare(version, experts, epoch, token)
        if prepared is None:
            return SwitchResult(False, "not prepared")
        hold_step = max(state.step for state in prepared.values()) + _hold_lead_steps(
            step_seconds
        )
        held_at = self._client.now()
        hold = FencedOrder(HoldPass(hold_step), epoch, token)
        answers = await self._client.order({0: hold})
        match answers.get(0, OrderAnswer.UNKNOWN):
            case OrderAnswer.ACCEPTED:
                pass
            case OrderAnswer.UNKNOWN:
                # The hold may have been applied. No rank is armed, so that it has only
                # to be released.
                return await self._resolve_hold(version, hold_step, epoch, token + 1)
            case refusal:
                return SwitchResult(False, f"hold: {refusal.value}")
        if not await self._arm(version, hold_step, epoch, token, held_at):
            return await self._roll_back(version, hold_step, epoch, token + 1)
        return await self._release(version, hold_step, epoch, token, held_at)

    async def _prepare(
        self,
        version: int,
        experts: tuple[tuple[tuple[int, ...], ...], ...],
        epoch: int,
        token: int,
    ) -> dict[int, RankMapState] | None:
        deadline = self._client.now() + PREPARE_TIMEOUT_SECONDS
        pending_ranks = set(self._ranks)
        order = FencedOrder(PrepareMap(version, experts), epoch, token)
        while self._client.now() < deadline:
            answers = await self._client.order(
                dict.fromkeys(sorted(pending_ranks), order)
            )
            if OrderAnswer.FENCED in answers.values():
                return None
            await self._client.sleep(PREPARE_POLL_INTERVAL_SECONDS)
            states = await self._read_states(epoch)
            if states is None:
                continue
            if any(state.held_step is not None for state in states.values()):
                return None
            unprepared_ranks = [
                rank
                for rank, state in states.items()
                if state.prepared_version != version
            ]
            if not unprepared_ranks:
                return states
            # A rank that is still copying refuses the repeated order as a conflict.
            pending_ranks = set(unprepared_ranks)
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
        token: int,
        held_at: float,
    ) -> bool:
        """Arm all ranks; return whether all have accepted."""
        order = FencedOrder(ArmMap(version, hold_step), epoch, token)
        attempts = self._attempts_until(held_at, ARM_TIMEOUT_SECONDS)
        outcome = await self._send_until_accepted(
            self._ranks, order, attempts, REFUSALS
        )
        return outcome is OrderAnswer.ACCEPTED

    async def _release(
        self,
        version: int,
        hold_step: int,
        epoch: int,
        token: int,
        held_at: float,
    ) -> SwitchResult:
        order = FencedOrder(ReleasePass(hold_step), epoch, token)
        attempts = self._attempts_until(held_at, RELEASE_TIMEOUT_SECONDS)
        match await self._send_until_accepted((0,), order, attempts, REFUSALS):
            case OrderAnswer.ACCEPTED:
                return SwitchResult(True, "released")
            case OrderAnswer.FENCED | OrderAnswer.CONFLICT as refusal:
                return SwitchResult(False, f"release: {refusal.value}")
            case OrderAnswer.UNKNOWN:
                pass
        # The time limit passed, for example since this process was suspended, or no
        # answer arrived: the rank may have applied the release or may still do so.
        return await self._resolve_hold(version, hold_step, epoch, token + 1)

    async def _resolve_hold(
        self,
        version: int,
        hold_step: int,
        epoch: int,
        token: int,
    ) -> SwitchResult:
        """Roll back a switch that may or may not have been released.

        :param token: above the tokens of all earlier orders of the switch.
        """
        if not await self._raise_token(0, epoch, token):
            return SwitchResult(False, "rollback: rank 0 unreachable or refuses")
        # The rank now refuses any earlier release. After this delay its reported state
        # includes a release that it applied before.
        await self._client.sleep(MAX_STATE_AGE_SECONDS)
        states = await self._client.read((0,))
        if 0 not in states or states[0].epoch != epoch:
            return SwitchResult(
                False, "rollback: rank 0 unreachable or in another epoch"
            )
        if states[0].held_step != hold_step:
            return SwitchResult(False, "rollback: pass is not held")
        return await self._roll_back(version, hold_step, epoch, token)

    async def _roll_back(
        self,
        version: int,
        hold_step: int,
        epoch: int,
        token: int,
    ) -> SwitchResult:
        """Disarm all ranks while the pass is held, then release the pass.

        Each rank has to accept the higher token first, so that no late order arms it.
        """
        order = FencedOrder(DisarmMap(version), epoch, token)
        fenced = frozenset({OrderAnswer.FENCED})
        match await self._send_until_accepted(
            self._ranks, order, range(MAX_ROLLBACK_ATTEMPTS), fenced
        ):
            case OrderAnswer.ACCEPTED:
                return await self._release_disarmed(hold_step, epoch, token)
            case OrderAnswer.FENCED:
                return SwitchResult(False, "rollback: fenced")
            case _:
                return SwitchResult(False, "rollback: not all ranks disarmed")

    async def _release_disarmed(
        self,
        hold_step: int,
        epoch: int,
        token: int,
    ) -> SwitchResult:
        order = FencedOrder(ReleasePass(hold_step), epoch, token)
        outcome = await self._send_until_accepted(
            (0,), order, range(MAX_ROLLBACK_ATTEMPTS), frozenset()
        )
        if outcome is OrderAnswer.ACCEPTED:
            return SwitchResult(False, "rolled back")
        return SwitchResult(False, "rollback: pass not released")

    async def _raise_token(self, rank: int, epoch: int, token: int) -> bool:
        """Make a rank refuse lower tokens, without a change to its map or hold."""
        order = FencedOrder(DisarmMap(UNUSED_VERSION), epoch, token)
        outcome = await self._send_until_accepted(
            (rank,), order, range(MAX_ROLLBACK_ATTEMPTS), REFUSALS
        )
        return outcome is OrderAnswer.ACCEPTED

    def _attempts_until(self, held_at: float, timeout_seconds: float) -> Iterator[None]:
        """Yield until the given time has passed since the hold."""
        while self._client.now() - held_at < timeout_seconds:
            yield

    async def _send_until_accepted(
        self,
        ranks: Sequence[int],
        order: FencedOrder,
        attempts: Iterable[object],
        stop_answers: frozenset[OrderAnswer],
    ) -> OrderAnswer:
        """Send an order repeatedly until each rank has accepted it.

        Returns the first answer that is in `stop_answers`, or `UNKNOWN` if not all
        ranks have accepted after the last round.
        """
        pending_ranks = set(ranks)
        for _ in attempts:
            answers = await self._client.order(
                dict.fromkeys(sorted(pending_ranks), order)
            )
            for answer in answers.values():
                if answer in stop_answers:
                    return answer
            pending_ranks -= _accepting_ranks(answers)
            if not pending_ranks:
                return OrderAnswer.ACCEPTED
        return OrderAnswer.UNKNOWN

    async def recover(
        self,
        states: Mapping[int, RankMapState],
        token: int,
    ) -> SwitchResult | None:
        """Roll back another leader's unfinished switch; return None if there is none.

        :param states: states of all ranks, just read.
        :param token: fencing token above all that this process has used.
        """
        now = self._client.now()
        held_step_by_rank = {
            r: s.held_step for r, s in states.items() if s.held_step is not None
        }
        age = self._hold_tracker.observe(held_step_by_rank, now)
        if not held_step_by_rank:
            armed_ranks = [
                rank for rank, s in states.items() if s.armed_version is not None
            ]
            return SwitchResult(False, REASON_ARMED) if armed_ranks else None
        if age < ORPHAN_AGE_SECONDS:
            return SwitchResult(False, "held by another leader")
        rank, step = next(iter(sorted(held_step_by_rank.items())))
        if rank != 0 or len(held_step_by_rank) > 1:
            return SwitchResult(False, "held at a rank other than rank 0")
        versions = {
            s.armed_version for s in states.values() if s.armed_version is not None
        }
        version = max(versions, default=UNUSED_VERSION)
        return await self._resolve_hold(version, step, states[0].epoch, token)


def _accepting_ranks(answers: Mapping[int, OrderAnswer]) -> set[int]:
    return {r for r, answer in answers.items() if answer is OrderAnswer.ACCEPTED}


def _hold_lead_steps(step_seconds: float) -> int:
    """Return how many passes ahead of the last one the held pass is."""
    if step_seconds <= 0.0:
        return MAX_HOLD_LEAD_STEPS
    steps = ceil(HOLD_LEAD_SECONDS / step_seconds)
    return min(MAX_HOLD_LEAD_STEPS, max(MIN_HOLD_LEAD_STEPS, steps))
