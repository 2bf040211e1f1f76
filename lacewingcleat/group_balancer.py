"""coordination: balance the experts of one group at its leader.

It joins the load estimate, the planner and the encoding of maps: reports of the ranks
come in, and from time to time a new map comes out that is worth its cost.
"""

from collections.abc import Mapping
from hashlib import blake2b
from math import ceil

import numpy as np

from lacewingcleat.expert_load import ExpertLoad, RankFinding
from lacewingcleat.expert_placement import (
    Loads,
    Slots,
    changes_between,
    encode_changes,
    encode_map,
    place_experts,
    rank_loads,
)
from lacewingcleat.map_switch import EncodedMap
from lacewingcleat.messages import RankReport
from lacewingcleat.rebalance import MoveCosts, Plan, RebalancePlanner
from lacewingcleat.sheet import Firm, ModelGroup

# Slots beyond one for each expert, for replicas of hot ones.
SPARE_SLOT_RATIO = 0.25
PLAN_INTERVAL_SECONDS = 10.0
INITIAL_MAP_VERSION = 1
MAP_DIGEST_BYTES = 16


def slots_per_rank(group: ModelGroup) -> int:
    """Return the expert slots that each rank has in a layer."""
    return ceil(group.experts * (1.0 + SPARE_SLOT_RATIO) / len(group.ranks))


def build_initial_map(group: ModelGroup) -> Slots:
    """Return map 1, which follows from the sheet alone.

    Engines start with it, so that a group serves before its load is known.
    """
    loads = np.full(group.experts, 1.0 / group.experts)
    speeds = np.ones(len(group.ranks))
    layer = place_experts(loads, len(group.ranks), slots_per_rank(group), speeds)
    return np.repeat(layer[np.newaxis], group.layers, axis=0)


def find_balancing_firm(group: ModelGroup, firm_by_name: Mapping[str, Firm]) -> Firm:
    """Return the firm by whose weights a group is balanced.

    A shared pool is balanced by the mean of all firms' weights.
    """
    owner = firm_by_name.get(group.firm)
    if owner is not None:
        return owner
    firms = list(firm_by_name.values())
    return Firm(
        "",
        "UTC",
        sum(firm.skew_weight for firm in firms) / len(firms),
        sum(firm.rebalance_weight for firm in firms) / len(firms),
    )


class GroupBalancer:
    """Propose maps for one group.

    :param firm: gives the weights of skew and of rebalancing cost.
    :param costs: cost of a change in seconds of group time.
    """

    def __init__(self, group: ModelGroup, firm: Firm, costs: MoveCosts) -> None:
        self._slots = build_initial_map(group)
        self._load = ExpertLoad(group.layers, group.experts, len(group.ranks))
        self._planner = RebalancePlanner(
            self._slots,
            firm.skew_weight,
            firm.rebalance_weight,
            costs,
        )
        self._version = INITIAL_MAP_VERSION
        self._proposal: tuple[int, Plan] | None = None
        self._next_plan_at = 0.0
        self._report_count = 0

    @property
    def map_version(self) -> int:
        """Return the map that the group runs, as far as this process knows."""
        return self._version

    @property
    def skew(self) -> float:
        """Return the expected step-time skew of the present map."""
        times = self._expected_rank_times()
        return float(times.max() / times.mean())

    def encode_current_map(self) -> EncodedMap:
        """Return the present map, for a rank that comes back without one."""
        complete = encode_map(self._slots)
        return EncodedMap(self._version, _digest(complete), 0, b"", complete)

    def observe(self, report: RankReport, now: float) -> None:
        """Take the group's aggregated report; reports of other maps are ignored."""
        if report.map_version != self._version or not report.load_by_expert:
            return
        self._report_count += 1
        self._load.observe(report, self._expected_rank_times(), now)

    def rank_findings(self) -> list[RankFinding]:
        """Return the ranks that are slow by themselves."""
        return self._load.rank_findings()

    def tick(self, now: float) -> EncodedMap | None:
        """Run one slice of planning; return a map to switch to if one is worth it."""
        if self._proposal is not None:
            return None
        planner = self._planner
        if not planner.working:
            if now < self._next_plan_at or not self._report_count:
                return None
            self._next_plan_at = now + PLAN_INTERVAL_SECONDS
            planner.begin(self._load.loads, self._load.speeds(), now)
            return None
        plan = planner.work(now)
        if plan is None:
            return None
        version = self._version + 1
        self._proposal = (version, plan)
        complete = encode_map(plan.slots)
        changes = encode_changes(changes_between(self._slots, plan.slots))
        return EncodedMap(version, _digest(complete), self._version, changes, complete)

    def record_switch(self, version: int, now: float) -> None:
        """Take over a map that all ranks use now."""
        if self._proposal is None or self._proposal[0] != version:
            return
        _, plan = self._proposal
        self._proposal = None
        self._planner.committed(plan, now)
        self._slots = plan.slots
        self._version = version

    def adopt_map(self, version: int, slots: Slots) -> None:
        """Go on from a map that an earlier leader has put in force."""
        self._proposal = None
        self._slots = slots
        self._planner.slots = slots
        self._version = version

    def discard_proposal(self) -> None:
        """Drop a proposal that was not taken up or was aborted."""
        self._proposal = None

    def _expected_rank_times(self) -> Loads:
        loads = self._load.loads
        speeds = np.ones(self._slots.shape[1])
        times = np.zeros(self._slots.shape[1])
        for layer_slots, layer_loads in zip(self._slots, loads, strict=True):
            times += rank_loads(layer_slots, layer_loads, speeds)
        return np.asarray(times / times.sum())


def _digest(complete: bytes) -> str:
    return blake2b(complete, digest_size=MAP_DIGEST_BYTES).hexdigest()
