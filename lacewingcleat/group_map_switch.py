"""coordination: switch all ranks of a group to a new expert map at the same pass.

A switch prepares the map on all ranks, holds a coming pass, arms all ranks for it and
releases it once each rank has been seen to be armed. While the pass is held nothing can
begin with different maps, so the hold is released only when all ranks are armed or none
is and none can be any more.

An order without an answer may be carried out seconds later. Each step that takes
something back therefore uses a higher fencing token than the orders before it: a rank
that has accepted the higher token refuses the late order.
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

# Copying the replicas of a map takes about a second over the engines' links.
PREPARE_TIMEOUT_SECONDS = 6.0
PREPARE_POLL_INTERVAL_SECONDS = 0.4
# Reports show a rank as it was some hundred milliseconds ago.
MAX_STATE_AGE_SECONDS = 0.5
# The held pass lies this far ahead, so that orders and their answers arrive before it
# and no pass waits; it covers the age of the report that gave the last pass.
HOLD_LEAD_SECONDS = 0.65
# Bounds of the lead in passes: one takes 25 to 100 ms, and an idle group makes none.
MIN_HOLD_LEAD_STEPS = 8
MAX_HOLD_LEAD_STEPS = 26
# After this time from the hold a switch is taken back, since the group may be waiting.
ARM_TIMEOUT_SECONDS = 0.8
# A release is sent only within this time of the hold. Another leader takes a hold over
# that it has seen for `ORPHAN_AGE_SECONDS`; the higher token keeps the two apart.
RELEASE_TIMEOUT_SECONDS = 1.2
ORPHAN_AGE_SECONDS = 0.8
# Tries to take a switch back before the next round goes on with it.
MAX_ROLLBACK_ATTEMPTS = 12
# A version that no map has, so that disarming it changes nothing.
UNUSED_VERSION = 1
# Reason of a round that found a released switch whose pass has not begun.
REASON_ARMED = "armed"
REFUSALS = frozenset({OrderAnswer.FENCED, OrderAnswer.CONFLICT})


class RankClient(Protocol):
    """Reach the ranks of one group."""

    def now(self) -> float:
        """Return the present time."""

    def sleep(self, seconds: float) -> Awaitable[object]:
        """Wait."""

    def read(self, ranks: Sequence[int]) -> Awaitable[dict[int, RankMapState]]:
        """Return the states of the ranks that answered."""

    def order(
        self,
        orders: Mapping[int, FencedOrder],
    ) -> Awaitable[dict[int, OrderAnswer]]:
        """Give one order to each of some ranks at the same time."""


@dataclass(frozen=True, slots=True)
class SwitchResult:
    """Say how a switch ended.

    :param switched: whether the group was released with all ranks armed.
    """

    switched: bool
    reason: str


class HoldTracker:
    """Remember since when the holds of a group have been seen."""

    __slots__ = ("_first_seen_at_by_hold",)

    def __init__(self) -> None:
        self._first_seen_at_by_hold: dict[tuple[int, int], float] = {}

    def observe(self, step_by_rank: Mapping[int, int], now: float) -> float:
        """Take in the present holds; return the age of the youngest one."""
        self._first_seen_at_by_hold = {
            hold: self._first_seen_at_by_hold.get(hold, now)
            for hold in step_by_rank.items()
        }
        return now - max(self._first_seen_at_by_hold.values(), default=now)


class GroupMapSwitch:
    """Carry out switches of one group.

    :param size: number of ranks.
    :param hold_tracker: the holds that were seen in earlier rounds.
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

        :param states: states of all ranks, just read; nothing is armed or held.
        :param token: fencing token above all that this process has used; the next
            one is used as well.
        :param step_seconds: time of a pass, 0 if the group is idle.
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
                # It may be in force; nothing is armed, so it is only released.
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
            # A rank that copies has accepted the order and refuses it again.
            pending_ranks = set(unprepared_ranks)
        return None

    async def _read_states(self, epoch: int) -> dict[int, RankMapState] | None:
        """Return the states of all ranks, none if one is missing or has moved on."""
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
        """Arm all ranks; return whether each has accepted."""
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
        # This process was frozen, or no answer came: the release may still come about.
        return await self._resolve_hold(version, hold_step, epoch, token + 1)

    async def _resolve_hold(
        self,
        version: int,
        hold_step: int,
        epoch: int,
        token: int,
    ) -> SwitchResult:
        """Take back a switch of which it is not known whether it was released.

        :param token: above that of the orders that are taken back.
        """
        if not await self._raise_token(0, epoch, token):
            return SwitchResult(False, "taking back: holder out of reach")
        # No earlier release can be carried out any more; one that was shows by now.
        await self._client.sleep(MAX_STATE_AGE_SECONDS)
        states = await self._client.read((0,))
        if 0 not in states or states[0].epoch != epoch:
            return SwitchResult(False, "taking back: holder out of reach")
        if states[0].held_step != hold_step:
            return SwitchResult(False, "taken back: not held")
        return await self._roll_back(version, hold_step, epoch, token)

    async def _roll_back(
        self,
        version: int,
        hold_step: int,
        epoch: int,
        token: int,
    ) -> SwitchResult:
        """Disarm all ranks behind the hold, then release it.

        Each rank has to accept the higher token, so that no late order arms it.
        """
        order = FencedOrder(DisarmMap(version), epoch, token)
        fenced = frozenset({OrderAnswer.FENCED})
        match await self._send_until_accepted(
            self._ranks, order, range(MAX_ROLLBACK_ATTEMPTS), fenced
        ):
            case OrderAnswer.ACCEPTED:
                return await self._release_disarmed(hold_step, epoch, token)
            case OrderAnswer.FENCED:
                return SwitchResult(False, "taking back: fenced")
            case _:
                return SwitchResult(False, "taking back: unfinished")

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
            return SwitchResult(False, "taken back")
        return SwitchResult(False, "taking back: unfinished")

    async def _raise_token(self, rank: int, epoch: int, token: int) -> bool:
        """Make a rank refuse orders with lower tokens without changing anything."""
        order = FencedOrder(DisarmMap(UNUSED_VERSION), epoch, token)
        outcome = await self._send_until_accepted(
            (rank,), order, range(MAX_ROLLBACK_ATTEMPTS), REFUSALS
        )
        return outcome is OrderAnswer.ACCEPTED

    def _attempts_until(self, held_at: float, timeout_seconds: float) -> Iterator[None]:
        """Yield until some seconds after the hold have passed."""
        while self._client.now() - held_at < timeout_seconds:
            yield

    async def _send_until_accepted(
        self,
        ranks: Sequence[int],
        order: FencedOrder,
        attempts: Iterable[object],
        stop_answers: frozenset[OrderAnswer],
    ) -> OrderAnswer:
        """Give an order until each rank has accepted it.

        Returns the first answer of `stop_answers`, or `UNKNOWN` if the rounds end before.
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
        """Take back what another leader has left behind; return none if all is well.

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
            return SwitchResult(False, "held at an unexpected rank")
        versions = {
            s.armed_version for s in states.values() if s.armed_version is not None
        }
        version = max(versions, default=UNUSED_VERSION)
        return await self._resolve_hold(version, step, states[0].epoch, token)


def _accepting_ranks(answers: Mapping[int, OrderAnswer]) -> set[int]:
    return {r for r, answer in answers.items() if answer is OrderAnswer.ACCEPTED}


def _hold_lead_steps(step_seconds: float) -> int:
    """Return how many passes ahead the held one lies."""
    if step_seconds <= 0.0:
        return MAX_HOLD_LEAD_STEPS
    steps = ceil(HOLD_LEAD_SECONDS / step_seconds)
    return min(MAX_HOLD_LEAD_STEPS, max(MIN_HOLD_LEAD_STEPS, steps))
