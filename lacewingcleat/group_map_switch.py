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
PREPARE_SECONDS = 6.0
PREPARE_POLL_SECONDS = 0.4
# A rank's reported state can be some hundred milliseconds old.
REPORT_LAG_SECONDS = 0.5
# The held pass is this far ahead, so that orders and their answers arrive before it and
# no pass is delayed. This includes the age of the report that gave the last pass.
LEAD_SECONDS = 0.65
# Bounds of the lead in passes. A pass takes 25 to 100 ms; an idle group runs none.
LEAST_LEAD_STEPS = 8
MOST_LEAD_STEPS = 26
# A switch whose ranks are not all armed this long after the hold is rolled back, since
# the group may already be blocked.
ARM_SECONDS = 0.8
# A release is sent only within this time after the hold. Another leader takes over a
# hold that it has observed for `ORPHAN_SECONDS`; its higher token fences off the
# orders of the first leader.
RELEASE_SECONDS = 1.2
ORPHAN_SECONDS = 0.8
# Attempts to roll a switch back in one round; the next round continues.
MAX_TRIES = 12
# A version that no map uses, so that disarming it has no effect.
NO_VERSION = 1
# Reason returned if a switch has been released and its pass has not started yet.
ARMED = "armed"
REFUSALS = frozenset({OrderAnswer.FENCED, OrderAnswer.CONFLICT})


class RankPort(Protocol):
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
class SwitchEnd:
    """Represent the result of a switch.

    :param switched: whether the held pass was released with all ranks armed.
    :param reason: outcome in words, for the log.
    """

    switched: bool
    reason: str


class OrphanedHolds:
    """Track since when each hold of a group has been observed."""

    __slots__ = ("_since_by_hold",)

    def __init__(self) -> None:
        self._since_by_hold: dict[tuple[int, int], float] = {}

    def observe(self, step_by_rank: Mapping[int, int], now: float) -> float:
        """Update the set of holds; return for how long the newest has been observed.

        :param step_by_rank: held pass of each rank that holds one.
        """
        self._since_by_hold = {
            hold: self._since_by_hold.get(hold, now) for hold in step_by_rank.items()
        }
        return now - max(self._since_by_hold.values(), default=now)


class GroupMapSwitch:
    """Execute and roll back map switches of one group.

    :param size: number of ranks.
    :param orphans: holds that were observed in earlier rounds.
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

        :param states: states of all ranks, just read, with no rank armed or held.
        :param token: fencing token above all that this process has used; `token + 1`
            may be used as well.
        :param step_seconds: duration of a pass, 0 if the group is idle.
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
                # The hold may have been applied. No rank is armed, so that it has only
                # to be released.
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
            # A rank that is still copying refuses the repeated order as a conflict.
            missing = set(waiting)
        return None

    async def _read(self, epoch: int) -> dict[int, RankMapState] | None:
        """Return all ranks' states, or None if one is missing or in another epoch."""
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
        """Arm all ranks; return whether all have accepted."""
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
        # The time limit passed, for example since this process was suspended, or no
        # answer arrived: the rank may have applied the release or may still do so.
        return await self._take_over(version, target, epoch, token + 1)

    async def _take_over(
        self,
        version: int,
        target: int,
        epoch: int,
        token: int,
    ) -> SwitchEnd:
        """Roll back a switch that may or may not have been released.

        :param token: above the tokens of all earlier orders of the switch.
        """
        if not await self._fence(0, epoch, token):
            return SwitchEnd(False, "rollback: rank 0 unreachable or refuses")
        # The rank now refuses any earlier release. After this delay its reported state
        # includes a release that it applied before.
        await self._port.sleep(REPORT_LAG_SECONDS)
        states = await self._port.read((0,))
        if 0 not in states or states[0].epoch != epoch:
            return SwitchEnd(False, "rollback: rank 0 unreachable or in another epoch")
        if states[0].held != target:
            return SwitchEnd(False, "rollback: pass is not held")
        return await self._take_back(version, target, epoch, token)

    async def _take_back(
        self,
        version: int,
        target: int,
        epoch: int,
        token: int,
    ) -> SwitchEnd:
        """Disarm all ranks while the pass is held, then release the pass.

        Each rank has to accept the higher token first, so that no late order arms it.
        """
        order = FencedOrder(DisarmMap(version), epoch, token)
        fenced = frozenset({OrderAnswer.FENCED})
        match await self._repeat(self._ranks, order, range(MAX_TRIES), fenced):
            case OrderAnswer.ACCEPTED:
                return await self._release_disarmed(target, epoch, token)
            case OrderAnswer.FENCED:
                return SwitchEnd(False, "rollback: fenced")
            case _:
                return SwitchEnd(False, "rollback: not all ranks disarmed")

    async def _release_disarmed(
        self,
        target: int,
        epoch: int,
        token: int,
    ) -> SwitchEnd:
        order = FencedOrder(ReleasePass(target), epoch, token)
        outcome = await self._repeat((0,), order, range(MAX_TRIES), frozenset())
        if outcome is OrderAnswer.ACCEPTED:
            return SwitchEnd(False, "rolled back")
        return SwitchEnd(False, "rollback: pass not released")

    async def _fence(self, rank: int, epoch: int, token: int) -> bool:
        """Make a rank refuse lower tokens, without a change to its map or hold."""
        order = FencedOrder(DisarmMap(NO_VERSION), epoch, token)
        outcome = await self._repeat((rank,), order, range(MAX_TRIES), REFUSALS)
        return outcome is OrderAnswer.ACCEPTED

    def _rounds(self, held_at: float, seconds: float) -> Iterator[None]:
        """Yield until the given time has passed since the hold."""
        while self._port.now() - held_at < seconds:
            yield

    async def _repeat(
        self,
        ranks: Sequence[int],
        order: FencedOrder,
        rounds: Iterable[object],
        stop_at: frozenset[OrderAnswer],
    ) -> OrderAnswer:
        """Send an order repeatedly until each rank has accepted it.

        Returns the first answer that is in `stop_at`, or `UNKNOWN` if not all
        ranks have accepted after the last round.
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
        """Roll back another leader's unfinished switch; return None if there is none.

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
            return SwitchEnd(False, "held at a rank other than rank 0")
        versions = {s.armed for s in states.values() if s.armed is not None}
        version = max(versions, default=NO_VERSION)
        return await self._take_over(version, step, states[0].epoch, token)


def _accepted(answers: Mapping[int, OrderAnswer]) -> set[int]:
    return {r for r, answer in answers.items() if answer is OrderAnswer.ACCEPTED}


def _lead(step_seconds: float) -> int:
    """Return how many passes ahead of the last one the held pass is."""
    if step_seconds <= 0.0:
        return MOST_LEAD_STEPS
    steps = ceil(LEAD_SECONDS / step_seconds)
    return min(MOST_LEAD_STEPS, max(LEAST_LEAD_STEPS, steps))
