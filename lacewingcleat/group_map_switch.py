"""coordination: switch all ranks of a group to a new expert map at the same pass.

A switch prepares the map on all ranks, holds a future pass at rank 0, arms all ranks
for that pass and releases it once each rank has confirmed that it is armed. No pass can
start with different maps while the pass is held.

An order without an answer may still be applied seconds later, and a leader may wake up
after another one has taken over. Engines need not check fencing tokens and do not count
these orders, so a switch is rolled back by three rules of the engines:

* Each rank has a hold of its own, and a pass begins only when no rank holds it. A
  leader that rolls a switch back first holds the same pass at another rank. A late
  release of the former leader then releases rank 0 only.
* A rank arms only the version that it has prepared, and never prepares a version that
  it has had. Once it is disarmed and has prepared another version, late orders to arm
  it are void. Preparing the map in use copies nothing.
* A pass that has begun can neither be held nor armed. Late orders of a switch are
  therefore void as soon as its pass has begun.

Ranks do not report for which pass they are armed, and it may be an earlier one than the
held pass: a late order may hold any pass. A rank is therefore disarmed only if its pass
cannot begin meanwhile: this leader has armed it for the held pass or a later one, or
the pass before the held one has begun. Otherwise the rollback waits.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import Protocol

from lacewingcleat.map_orders import (
    ArmMap,
    DisarmMap,
    GroupOrder,
    HoldPass,
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
# Share of the ranks whose answer to the order to prepare may be missing. While orders
# get lost or are applied late, a pass would be held for seconds.
MAX_UNANSWERED_SHARE = 0.05
# A rank's reported state can be some hundred milliseconds old.
MAX_STATE_AGE_SECONDS = 0.5
# The held pass is this far ahead, so that orders and their answers arrive before it and
# no pass is delayed. This includes the age of the report that gave the last pass.
HOLD_LEAD_SECONDS = 0.65
# Bounds of the lead in passes. A pass takes 25 to 100 ms.
MIN_HOLD_LEAD_STEPS = 8
MAX_HOLD_LEAD_STEPS = 26
# A switch whose ranks are not all armed this long after the hold is rolled back, since
# the group may already be blocked.
ARM_TIMEOUT_SECONDS = 0.8
# A release of unknown outcome is repeated for this time after the hold. Repeating it is
# harmless, since all ranks are armed or a leader that disarms them holds another rank.
RELEASE_TIMEOUT_SECONDS = 2.0
# Another leader takes over a hold that it has observed for this long.
ORPHAN_AGE_SECONDS = 0.8
# Attempts to roll a switch back in one round; the next round continues.
MAX_ROLLBACK_ATTEMPTS = 6
# Attempts to get an answer to one order.
MAX_ORDER_ATTEMPTS = 4
# Reason returned if a switch has been released and its pass has not started yet.
REASON_ARMED = "armed"
REASON_ROLLED_BACK = "rolled back"
REASON_NOT_ROLLED_BACK = "rollback: not completed"
# Reason returned while ranks may be armed for a pass before the held one.
REASON_NOT_BLOCKED = "armed pass may begin before the held one"


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
        orders: Mapping[int, GroupOrder],
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
    """Track the passes of a group that were held, and since when they are.

    Late orders may still release a pass that was held, so that it is not held again. In
    a new formation of the group they are refused, and its passes may count from 0.
    """

    __slots__ = (
        "_armed_step",
        "_armed_version",
        "_epoch",
        "_first_seen_at_by_hold",
        "_newest_step",
    )

    def __init__(self) -> None:
        self._first_seen_at_by_hold: dict[tuple[int, int], float] = {}
        self._epoch: int | None = None
        self._newest_step = 0
        self._armed_version = 0
        self._armed_step = 0

    def observe_step(self, epoch: int, step: int) -> None:
        """Take note of the last pass that a formation of the group has begun.

        Former leaders may have held any pass up to `MAX_HOLD_LEAD_STEPS` ahead of it.
        """
        if self._epoch is None:
            self._epoch = epoch
            self._newest_step = step + MAX_HOLD_LEAD_STEPS

    def record_arming(self, version: int, step: int) -> None:
        """Remember the pass for which this leader arms ranks."""
        self._armed_version = version
        self._armed_step = step

    def is_armed_from(self, version: int, step: int) -> bool:
        """Return whether this leader armed a version for a pass or a later one."""
        return version == self._armed_version and step <= self._armed_step

    def reserve_step(self, epoch: int, step: int) -> int:
        """Return the first pass from a given one on that was not held before.

        The pass counts as held from now on.
        """
        newest_step = self._newest_step if epoch == self._epoch else -1
        self._epoch = epoch
        self._newest_step = max(step, newest_step + 1)
        return self._newest_step

    def observe(self, epoch: int, step_by_rank: Mapping[int, int], now: float) -> float:
        """Update the set of holds; return for how long the newest has been observed.

        :param step_by_rank: held pass of each rank that holds one.
        """
        if step_by_rank:
            newest_step = self._newest_step if epoch == self._epoch else -1
            self._epoch = epoch
            self._newest_step = max(newest_step, *step_by_rank.values())
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
    :param random: chooses the rank at which a rollback holds the pass.
    """

    def __init__(
        self,
        client: RankClient,
        size: int,
        current: ExpertMap,
        next_version: Callable[[int], int],
        hold_tracker: HoldTracker,
        random: Random,
    ) -> None:
        self._random = random
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
        step = max(state.step for state in prepared.values())
        if step <= max(state.step for state in states.values()):
            # Without passes a released pass may not begin for long, and late orders for
            # it would stay valid.
            return SwitchResult(False, "group is idle", version)
        hold_step = self._hold_tracker.reserve_step(
            epoch, step + _hold_lead_steps(step_seconds)
        )
        held_at = self._client.now()
        self._hold_tracker.record_arming(version, hold_step)
        answers = await self._client.order({0: GroupOrder(HoldPass(hold_step), epoch)})
        match answers.get(0, OrderAnswer.UNKNOWN):
            case OrderAnswer.ACCEPTED:
                pass
            case OrderAnswer.UNKNOWN:
                # The hold may have been applied, or may be later.
                return await self._cancel(hold_step, epoch)
            case OrderAnswer.CONFLICT:
                return SwitchResult(False, "hold: conflict", version)
        if not await self._arm(version, hold_step, epoch, held_at):
            return await self._cancel(hold_step, epoch)
        return await self._release(version, hold_step, epoch, held_at)

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
            order = GroupOrder(PrepareMap(version, experts), epoch)
            answers = await self._client.order(dict.fromkeys(sorted(pending), order))
            unanswered = len(_ranks_with(answers, OrderAnswer.UNKNOWN))
            if unanswered > MAX_UNANSWERED_SHARE * len(self._ranks):
                return None
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
        self, version: int, hold_step: int, epoch: int, held_at: float
    ) -> bool:
        """Arm all ranks; return whether all have confirmed it."""
        order = GroupOrder(ArmMap(version, hold_step), epoch)
        pending = set(self._ranks)
        while self._client.now() - held_at < ARM_TIMEOUT_SECONDS:
            answers = await self._client.order(dict.fromkeys(sorted(pending), order))
            if OrderAnswer.CONFLICT in answers.values():
                return False
            pending -= _ranks_with(answers, OrderAnswer.ACCEPTED)
            if not pending:
                return True
        return False

    async def _release(
        self, version: int, hold_step: int, epoch: int, held_at: float
    ) -> SwitchResult:
        order = GroupOrder(ReleasePass(hold_step), epoch)
        while self._client.now() - held_at < RELEASE_TIMEOUT_SECONDS:
            answers = await self._client.order({0: order})
            match answers.get(0, OrderAnswer.UNKNOWN):
                case OrderAnswer.ACCEPTED:
                    return SwitchResult(True, "released", version)
                case OrderAnswer.CONFLICT:
                    return SwitchResult(False, "release: conflict", version)
                case OrderAnswer.UNKNOWN:
                    pass
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
            if hold_step not in {state.held_step for state in states.values()}:
                return SwitchResult(False, "rollback: pass is not held")
            result = await self._roll_back(states, hold_step)
            if result.reason == REASON_ROLLED_BACK:
                return result
        return SwitchResult(False, REASON_NOT_ROLLED_BACK)

    async def _roll_back(
        self, states: Mapping[int, RankMapState], hold_step: int
    ) -> SwitchResult:
        """Void the maps that ranks have prepared or armed, and release a pass.

        :param hold_step: the first pass that is held.
        """
        epoch = states[0].epoch
        disarmed_versions = self._find_disarmable_versions(states, hold_step)
        armed_versions = {s.armed_version for s in states.values() if s.armed_version}
        if not armed_versions <= disarmed_versions:
            return SwitchResult(False, REASON_NOT_BLOCKED)
        held_ranks = {r for r, s in states.items() if s.held_step == hold_step}
        if disarmed_versions:
            # Another leader that rolls the switch back may hold the same rank. It
            # releases the pass only after all ranks are disarmed, as this one does.
            guard = self._random.choice(self._ranks[1:])
            hold = GroupOrder(HoldPass(hold_step), epoch)
            if (await self._send({guard: hold}))[guard] is not OrderAnswer.ACCEPTED:
                return SwitchResult(False, REASON_NOT_ROLLED_BACK)
            held_ranks |= {0, guard}
        if not await self._void_prepared_maps(states, sorted(disarmed_versions)):
            return SwitchResult(False, REASON_NOT_ROLLED_BACK)
        release = GroupOrder(ReleasePass(hold_step), epoch)
        answers = await self._send(dict.fromkeys(sorted(held_ranks), release))
        # A conflict means that the rank does not hold the pass any more.
        if OrderAnswer.UNKNOWN in answers.values():
            return SwitchResult(False, REASON_NOT_ROLLED_BACK)
        return SwitchResult(False, REASON_ROLLED_BACK)

    def _find_disarmable_versions(
        self, states: Mapping[int, RankMapState], hold_step: int
    ) -> set[int]:
        """Return the map versions whose passes cannot begin while a pass is held."""
        versions = {s.armed_version for s in states.values()}
        versions |= {s.prepared_version for s in states.values()}
        known_versions = {version for version in versions if version}
        if max(state.step for state in states.values()) >= hold_step - 1:
            # A rank that was armed for an earlier pass has changed its map by now.
            return known_versions
        is_armed_from = self._hold_tracker.is_armed_from
        return {v for v in known_versions if is_armed_from(v, hold_step)}

    async def _void_prepared_maps(
        self, states: Mapping[int, RankMapState], disarmed_versions: Sequence[int]
    ) -> bool:
        """Void earlier orders to arm the ranks.

        :param disarmed_versions: versions for which the ranks are disarmed before.
        :return: whether all ranks have confirmed it. None of them is armed then.
        """
        epoch = states[0].epoch
        version = self._next_version(_highest_version(states))
        # An armed rank refuses to prepare a map, so that a rank which prepares the map
        # in use is not armed and cannot be armed for the former version any more.
        prepare = GroupOrder(PrepareMap(version, self._current), epoch)
        pending = set(self._ranks)
        for _ in range(MAX_ORDER_ATTEMPTS):
            for former in disarmed_versions:
                disarm = GroupOrder(DisarmMap(former), epoch)
                await self._send(dict.fromkeys(sorted(pending), disarm))
            answers = await self._client.order(dict.fromkeys(sorted(pending), prepare))
            pending -= _ranks_with(answers, OrderAnswer.ACCEPTED)
            if not pending:
                return True
            # A rank that applied the order without an answer refuses it from now on.
            version = self._next_version(version)
            prepare = GroupOrder(PrepareMap(version, self._current), epoch)
        return False

    async def _send(self, orders: Mapping[int, GroupOrder]) -> dict[int, OrderAnswer]:
        """Send orders, repeating those without an answer; return the last answers."""
        answers = dict.fromkeys(orders, OrderAnswer.UNKNOWN)
        for _ in range(MAX_ORDER_ATTEMPTS):
            pending = _ranks_with(answers, OrderAnswer.UNKNOWN)
            if not pending:
                break
            retries = {rank: orders[rank] for rank in sorted(pending)}
            answers |= await self._client.order(retries)
        return answers

    async def recover(self, states: Mapping[int, RankMapState]) -> SwitchResult | None:
        """Roll back another leader's unfinished switch; return None if there is none.

        :param states: states of all ranks, just read.
        """
        held_step_by_rank = {
            r: s.held_step for r, s in states.items() if s.held_step is not None
        }
        epoch = next(iter(states.values())).epoch
        self._hold_tracker.observe_step(epoch, max(s.step for s in states.values()))
        now = self._client.now()
        age = self._hold_tracker.observe(epoch, held_step_by_rank, now)
        if not held_step_by_rank:
            is_armed = is_switch_pending(states)
            return SwitchResult(False, REASON_ARMED) if is_armed else None
        if age < ORPHAN_AGE_SECONDS:
            return SwitchResult(False, "held by another leader")
        return await self._roll_back(states, min(held_step_by_rank.values()))


def is_switch_pending(states: Mapping[int, RankMapState]) -> bool:
    """Return whether a switch has been released and its pass has not started yet."""
    return all(s.held_step is None for s in states.values()) and any(
        s.armed_version is not None for s in states.values()
    )


def _ranks_with(answers: Mapping[int, OrderAnswer], answer: OrderAnswer) -> set[int]:
    return {rank for rank, each in answers.items() if each is answer}


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
