"""coordination: decide whether to change a group's replicas to match the demand."""

from collections.abc import Generator
from dataclasses import dataclass
from enum import Enum

from lacewingcleat.replica_placement import (
    ExpertsByRank,
    MapShape,
    first_map,
    improve_maps_in_steps,
    skew,
)
from lacewingcleat.routing_config import EngineCapacity

# Minimum reduction of the mean skew over the layer sets.
MIN_SKEW_GAIN = 0.2
# Part of the time of a pass that is spent in experts on an even map; this part grows
# with the skew.
EXPERT_PART = 0.4
# Time for which a new map is expected to fit the demand: topics shift every four
# seconds or so, and the demand is known and the map in use about 1.5 s later.
EXPECTED_MAP_SECONDS = 2.5
# Passes take this much longer while a rank copies experts.
COPY_SLOWDOWN = 0.15
# Time that the orders of a switch cost a group, for passes that start late.
ORDER_COST_SECONDS = 0.02
# With fewer expert selections than this, the estimate is mostly sampling noise.
MIN_SELECTIONS = 400.0
# Maps change only for groups whose event interval exceeds this share of the interval
# that callers accept. Callers of a lightly loaded group would not notice a better map.
MIN_EVENT_INTERVAL_SHARE = 0.58
# Minimum time from a switch to the next plan.
SWITCH_COOLDOWN_SECONDS = 1.0
# Maximum time that a rank copies experts for one switch. Passes take 15 % longer while
# a rank copies, and the demand moves on until the map is in use.
MAX_COPY_SECONDS = 1.0
# Initial and maximum backoff after a failed switch; it doubles with each failure.
BACKOFF_BOUNDS_SECONDS = (2.0, 20.0)


def is_map_change_worthwhile(
    event_interval_seconds: float | None, target_interval_seconds: float
) -> bool:
    """Return whether a group is loaded enough for its callers to notice a better map.

    :param event_interval_seconds: typical interval between events of its streams,
        none without streams.
    :param target_interval_seconds: interval that callers accept, 0 if not specified.
    """
    if event_interval_seconds is None:
        return False
    return event_interval_seconds >= MIN_EVENT_INTERVAL_SHARE * target_interval_seconds


def make_shape(ranks: int, engine: EngineCapacity) -> MapShape:
    """Return the dimensions of the maps of a group of engines."""
    copies = engine.layer_sets * engine.max_added_experts
    if engine.expert_copy_seconds > 0.0:
        copies = min(copies, int(MAX_COPY_SECONDS / engine.expert_copy_seconds))
    return MapShape(
        ranks,
        engine.layer_sets,
        engine.experts_per_set,
        engine.expert_slots,
        engine.max_added_experts,
        max(1, copies),
        engine.expert_copy_seconds,
    )


@dataclass(frozen=True, slots=True)
class ReplicaPlan:
    """Represent a proposed map.

    :param experts: experts by layer set and rank.
    :param skew_before: mean skew of the layer sets under the current map.
    :param skew_after: mean skew of the layer sets under the proposed map.
    :param copies: number of experts that ranks have to copy.
    :param max_copies: largest number of experts that one rank has to copy.
    """

    experts: tuple[tuple[tuple[int, ...], ...], ...]
    skew_before: float
    skew_after: float
    copies: int
    max_copies: int


class NoPlan(Enum):
    """Name the reason for which the map is kept."""

    PAUSED = "recent switch or failure"
    FEW_COUNTS = "too few selections observed"
    NO_GAIN = "no gain"


class ReplicaPlanner:
    """Track the current map of a group and propose better ones.

    :param shape: dimensions of the group's maps.
    """

    __slots__ = ("_backoff_seconds", "_next_plan_at", "_shape", "current", "version")

    def __init__(self, shape: MapShape, now: float) -> None:
        self._shape = shape
        self._next_plan_at = now
        self._backoff_seconds = BACKOFF_BOUNDS_SECONDS[0]
        self.version = 0
        self.current: list[ExpertsByRank] = first_map(shape)

    def adopt(self, version: int, experts: list[ExpertsByRank]) -> None:
        """Set the current map to the one that the ranks use."""
        self.version = version
        self.current = experts

    def current_map(self) -> tuple[tuple[tuple[int, ...], ...], ...]:
        """Return the map in use as experts by layer set and rank."""
        return _freeze(self.current)

    def plan(self, loads: list[list[float]], now: float) -> ReplicaPlan | None:
        """Return a map that justifies a switch, none if there is no such map.

        :param loads: load estimates by layer set and expert.
        """
        steps = self.plan_in_steps(loads, now)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value if isinstance(end.value, ReplicaPlan) else None

    def plan_in_steps(
        self, loads: list[list[float]], now: float
    ) -> Generator[None, None, ReplicaPlan | NoPlan]:
        """Return a map that justifies a switch, or why there is none.

        The generator yields after each step of the calculation.
        """
        if now < self._next_plan_at:
            return NoPlan.PAUSED
        if sum(loads[0]) < MIN_SELECTIONS:
            return NoPlan.FEW_COUNTS
        proposed = yield from improve_maps_in_steps(self.current, loads, self._shape)
        added = [
            [len(new - old) for new, old in zip(new_ranks, old_ranks, strict=True)]
            for new_ranks, old_ranks in zip(proposed, self.current, strict=True)
        ]
        copies_by_rank = [sum(column) for column in zip(*added, strict=True)]
        plan = ReplicaPlan(
            _freeze(proposed),
            _mean_skew(self.current, loads),
            _mean_skew(proposed, loads),
            sum(copies_by_rank),
            max(copies_by_rank),
        )
        return plan if self._is_worth_its_cost(plan) else NoPlan.NO_GAIN

    def _is_worth_its_cost(self, plan: ReplicaPlan) -> bool:
        """Return whether a map saves more time of passes than the switch costs."""
        skew_gain = plan.skew_before - plan.skew_after
        if skew_gain < MIN_SKEW_GAIN:
            return False
        pass_time = 1.0 - EXPERT_PART + EXPERT_PART * plan.skew_before
        saved_seconds = EXPECTED_MAP_SECONDS * EXPERT_PART * skew_gain / pass_time
        copy_seconds = plan.max_copies * self._shape.copy_seconds
        return saved_seconds > COPY_SLOWDOWN * copy_seconds + ORDER_COST_SECONDS

    def record_switch(self, version: int, plan: ReplicaPlan, now: float) -> None:
        """Record that the group has switched to a proposed map."""
        self.adopt(
            version,
            [
                [set(rank) for rank in experts_by_rank]
                for experts_by_rank in plan.experts
            ],
        )
        self._next_plan_at = now + SWITCH_COOLDOWN_SECONDS
        self._backoff_seconds = BACKOFF_BOUNDS_SECONDS[0]

    def record_failure(self, now: float) -> None:
        """Record that a switch has failed, and back off."""
        self._next_plan_at = now + self._backoff_seconds
        self._backoff_seconds = min(
            BACKOFF_BOUNDS_SECONDS[1], self._backoff_seconds * 2.0
        )


def _freeze(maps: list[ExpertsByRank]) -> tuple[tuple[tuple[int, ...], ...], ...]:
    return tuple(
        tuple(tuple(sorted(rank)) for rank in experts_by_rank)
        for experts_by_rank in maps
    )


def _mean_skew(maps: list[ExpertsByRank], loads: list[list[float]]) -> float:
    skews = [
        skew(experts_by_rank, load)
        for experts_by_rank, load in zip(maps, loads, strict=True)
    ]
    return sum(skews) / len(skews)
