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
PREPARE_SECONDS = 6.0
PREPARE_POLL_SECONDS = 0.4
# Reports show a rank as it was some hundred milliseconds ago.
REPORT_LAG_SECONDS = 0.5
# The held pass lies this far ahead, so that orders and their answers arrive before it
# and no pass waits; it covers the age of the report that gave the last pass.
LEAD_SECONDS = 0.65
# Bounds of the lead in passes: one takes 25 to 100 ms, and an idle group makes none.
LEAST_LEAD_STEPS = 8
MOST_LEAD_STEPS = 26
# After this time from the hold a switch is taken back, since the group may be waiting.
ARM_SECONDS = 0.8
# A release is sent only within this time of the hold. Another leader takes a hold over
# that it has seen for `ORPHAN_SECONDS`; the higher token keeps the two apart.
RELEASE_SECONDS = 1.2
ORPHAN_SECONDS = 0.8
# Tries to take a switch back before the next round goes on with it.
MAX_TRIES = 12
# A version that no map has, so that disarming it changes nothing.
NO_VERSION = 1
# Reason of a round that found a released switch whose pass has not begun.
ARMED = "armed"
REFUSALS = frozenset({OrderAnswer.FENCED, OrderAnswer.CONFLICT})


class RankPort(Protocol):
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
class SwitchEnd:
    """Say how a switch ended.

    :param switched: whether the group was released with all ranks armed.
    """

    switched: bool
    reason: str


class OrphanedHolds:
    """Remember since when the holds of a group have been seen."""

    __slots__ = ("_since_by_hold",)

    def __init__(self) -> None:
        self._since_by_hold: dict[tuple[int, int], float] = {}

    def observe(self, step_by_rank: Mapping[int, int], now: float) -> float:
        """Take in the present holds; return the age of the youngest one."""
        self._since_by_hold = {
            hold: self._since_by_hold.get(hold, now) for hold in step_by_rank.items()
        }
        return now - max(self._since_by_hold.values(), default=now)


class GroupMapSwitch:
    """Carry out switches of one group.

    :param size: number of ranks.
    :param orphans: the holds that were seen in earlier rounds.
    """

    def __init__(self, port: RankPort, size: int, orphans: OrphanedHolds) -> None:
        self._port = port
        self._ranks = tuple(range(size))
        self._orphans = orphans

    async def switch(
        self,
        version: int,
        experts: tuple[tuple[tuple[int, ...], ...], ...],
        states: Mapping[int, RankMapState],
        token: int,
        step_seconds: float,
    ) -> SwitchEnd:
        """Switch the group to a map.

        :param states: states of all ranks, just read; nothing is armed or held.
        :param token: fencing token above all that this process has used; the next
            one is used as well.
        :param step_seconds: time of a pass, 0 if the group is idle.
        """
        epoch = states[0].epoch
        prepared = await self._prepare(version, experts, epoch, token)
        if prepared is None:
            return SwitchEnd(False, "not prepared")
        target = max(state.step for state in prepared.values()) + _lead(step_seconds)
        held_at = self._port.now()
        hold = FencedOrder(HoldPass(target), epoch, token)
        answers = await self._port.order({0: hold})
        match answers.get(0, OrderAnswer.UNKNOWN):
            case OrderAnswer.ACCEPTED:
                pass
            case OrderAnswer.UNKNOWN:
                # It may be in force; nothing is armed, so it is only released.
                return await self._take_over(version, target, epoch, token + 1)
            case other:
                return SwitchEnd(False, f"hold: {other.value}")
        if not await self._arm(version, target, epoch, token, held_at):
            return await self._take_back(version, target, epoch, token + 1)
        return await self._release(version, target, epoch, token, held_at)

    async def _prepare(
        self,
        version: int,
        experts: tuple[tuple[tuple[int, ...], ...], ...],
        epoch: int,
        token: int,
    ) -> dict[int, RankMapState] | None:
        until = self._port.now() + PREPARE_SECONDS
        missing = set(self._ranks)
        order = FencedOrder(PrepareMap(version, experts), epoch, token)
        while self._port.now() < until:
            answers = await self._port.order(dict.fromkeys(sorted(missing), order))
            if OrderAnswer.FENCED in answers.values():
                return None
            await self._port.sleep(PREPARE_POLL_SECONDS)
            states = await self._read(epoch)
            if states is None:
                continue
            if any(state.held is not None for state in states.values()):
                return None
            waiting = [
                rank for rank, state in states.items() if state.prepared != version
            ]
            if not waiting:
                return states
            # A rank that copies has accepted the order and refuses it again.
            missing = set(waiting)
        return None

    async def _read(self, epoch: int) -> dict[int, RankMapState] | None:
        """Return the states of all ranks, none if one is missing or has moved on."""
        states = await self._port.read(self._ranks)
        if len(states) != len(self._ranks):
            return None
        if any(s.epoch != epoch or not s.is_open for s in states.values()):
            return None
        return states

    async def _arm(
        self,
        version: int,
        target: int,
        epoch: int,
        token: int,
        held_at: float,
    ) -> bool:
        """Arm all ranks; return whether each has accepted."""
        order = FencedOrder(ArmMap(version, target), epoch, token)
        rounds = self._rounds(held_at, ARM_SECONDS)
        outcome = await self._repeat(self._ranks, order, rounds, REFUSALS)
        return outcome is OrderAnswer.ACCEPTED

    async def _release(
        self,
        version: int,
        target: int,
        epoch: int,
        token: int,
        held_at: float,
    ) -> SwitchEnd:
        order = FencedOrder(ReleasePass(target), epoch, token)
        rounds = self._rounds(held_at, RELEASE_SECONDS)
        match await self._repeat((0,), order, rounds, REFUSALS):
            case OrderAnswer.ACCEPTED:
                return SwitchEnd(True, "released")
            case OrderAnswer.FENCED | OrderAnswer.CONFLICT as refusal:
                return SwitchEnd(False, f"release: {refusal.value}")
            case OrderAnswer.UNKNOWN:
                pass
        # This process was frozen, or no answer came: the release may still come about.
        return await self._take_over(version, target, epoch, token + 1)

    async def _take_over(
        self,
        version: int,
        target: int,
        epoch: int,
        token: int,
    ) -> SwitchEnd:
        """Take back a switch of which it is not known whether it was released.

        :param token: above that of the orders that are taken back.
        """
        if not await self._fence(0, epoch, token):
            return SwitchEnd(False, "taking back: holder out of reach")
        # No earlier release can be carried out any more; one that was shows by now.
        await self._port.sleep(REPORT_LAG_SECONDS)
        states = await self._port.read((0,))
        if 0 not in states or states[0].epoch != epoch:
            return SwitchEnd(False, "taking back: holder out of reach")
        if states[0].held != target:
            return SwitchEnd(False, "taken back: not held")
        return await self._take_back(version, target, epoch, token)

    async def _take_back(
        self,
        version: int,
        target: int,
        epoch: int,
        token: int,
    ) -> SwitchEnd:
        """Disarm all ranks behind the hold, then release it.

        Each rank has to accept the higher token, so that no late order arms it.
        """
        order = FencedOrder(DisarmMap(version), epoch, token)
        fenced = frozenset({OrderAnswer.FENCED})
        match await self._repeat(self._ranks, order, range(MAX_TRIES), fenced):
            case OrderAnswer.ACCEPTED:
                return await self._release_disarmed(target, epoch, token)
            case OrderAnswer.FENCED:
                return SwitchEnd(False, "taking back: fenced")
            case _:
                return SwitchEnd(False, "taking back: unfinished")

    async def _release_disarmed(
        self,
        target: int,
        epoch: int,
        token: int,
    ) -> SwitchEnd:
        order = FencedOrder(ReleasePass(target), epoch, token)
        outcome = await self._repeat((0,), order, range(MAX_TRIES), frozenset())
        if outcome is OrderAnswer.ACCEPTED:
            return SwitchEnd(False, "taken back")
        return SwitchEnd(False, "taking back: unfinished")

    async def _fence(self, rank: int, epoch: int, token: int) -> bool:
        """Make a rank refuse orders with lower tokens without changing anything."""
        order = FencedOrder(DisarmMap(NO_VERSION), epoch, token)
        outcome = await self._repeat((rank,), order, range(MAX_TRIES), REFUSALS)
        return outcome is OrderAnswer.ACCEPTED

    def _rounds(self, held_at: float, seconds: float) -> Iterator[None]:
        """Yield until some seconds after the hold have passed."""
        while self._port.now() - held_at < seconds:
            yield

    async def _repeat(
        self,
        ranks: Sequence[int],
        order: FencedOrder,
        rounds: Iterable[object],
        stop_at: frozenset[OrderAnswer],
    ) -> OrderAnswer:
        """Give an order until each rank has accepted it.

        Returns the first answer of `stop_at`, or `UNKNOWN` if the rounds end before.
        """
        missing = set(ranks)
        for _ in rounds:
            answers = await self._port.order(dict.fromkeys(sorted(missing), order))
            for answer in answers.values():
                if answer in stop_at:
                    return answer
            missing -= _accepted(answers)
            if not missing:
                return OrderAnswer.ACCEPTED
        return OrderAnswer.UNKNOWN

    async def settle(
        self,
        states: Mapping[int, RankMapState],
        token: int,
    ) -> SwitchEnd | None:
        """Take back what another leader has left behind; return none if all is well.

        :param states: states of all ranks, just read.
        :param token: fencing token above all that this process has used.
        """
        now = self._port.now()
        held = {r: s.held for r, s in states.items() if s.held is not None}
        age = self._orphans.observe(held, now)
        if not held:
            armed = [rank for rank, s in states.items() if s.armed is not None]
            return SwitchEnd(False, ARMED) if armed else None
        if age < ORPHAN_SECONDS:
            return SwitchEnd(False, "held by another leader")
        rank, step = next(iter(sorted(held.items())))
        if rank != 0 or len(held) > 1:
            return SwitchEnd(False, "held at an unexpected rank")
        versions = {s.armed for s in states.values() if s.armed is not None}
        version = max(versions, default=NO_VERSION)
        return await self._take_over(version, step, states[0].epoch, token)


def _accepted(answers: Mapping[int, OrderAnswer]) -> set[int]:
    return {r for r, answer in answers.items() if answer is OrderAnswer.ACCEPTED}


def _lead(step_seconds: float) -> int:
    """Return how many passes ahead the held one lies."""
    if step_seconds <= 0.0:
        return MOST_LEAD_STEPS
    steps = ceil(LEAD_SECONDS / step_seconds)
    return min(MOST_LEAD_STEPS, max(LEAST_LEAD_STEPS, steps))
