"""coordination: balance the experts of one group; runs at the group's leader.

Combines the load estimate, the planner and the encoding of expert maps. It consumes
the reports of the ranks and proposes a new map when the gain outweighs the cost of the
switch.
"""

from collections.abc import Mapping
from hashlib import blake2b
from math import ceil

import numpy as np

from lacewingcleat.expert_load import ExpertLoadEstimator, SlowRank
from lacewingcleat.expert_placement import (
    FloatArray,
    Slots,
    changes_between,
    encode_changes,
    encode_map,
    place_experts,
    rank_times,
)
from lacewingcleat.map_switch import EncodedMap
from lacewingcleat.messages import RankReport
from lacewingcleat.rebalance import MapChangeCosts, RebalancePlan, RebalancePlanner
from lacewingcleat.sheet import Firm, ModelGroup

# Slots in addition to one per expert, for replicas of hot experts.
SPARE_SLOT_RATIO = 0.25
PLAN_INTERVAL_SECONDS = 10.0
INITIAL_MAP_VERSION = 1
MAP_DIGEST_BYTES = 16


def slots_per_rank(group: ModelGroup) -> int:
    """Return the number of expert slots per rank and layer."""
    return ceil(group.experts * (1.0 + SPARE_SLOT_RATIO) / len(group.ranks))


def build_initial_map(group: ModelGroup) -> Slots:
    """Return the initial map, which depends only on the sheet.

    Engines start with it, so that a group can serve before its load is known.
    """
    loads = np.full(group.experts, 1.0 / group.experts)
    speeds = np.ones(len(group.ranks))
    layer = place_experts(loads, len(group.ranks), slots_per_rank(group), speeds)
    return np.repeat(layer[np.newaxis], group.layers, axis=0)


def find_balancing_firm(group: ModelGroup, firm_by_name: Mapping[str, Firm]) -> Firm:
    """Return the firm whose skew and rebalancing weights apply to a group.

    A group shared by all firms uses the mean of their weights.
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
    """Propose expert maps for one group.

    :param firm: firm whose weights of skew and rebalancing cost apply.
    :param costs: cost of moving experts, in seconds of group time.
    """

    def __init__(self, group: ModelGroup, firm: Firm, costs: MapChangeCosts) -> None:
        self._slots = build_initial_map(group)
        self._load = ExpertLoadEstimator(group.layers, group.experts, len(group.ranks))
        self._planner = RebalancePlanner(
            self._slots,
            firm.skew_weight,
            firm.rebalance_weight,
            costs,
        )
        self._version = INITIAL_MAP_VERSION
        self._proposal: tuple[int, RebalancePlan] | None = None
        self._next_plan_at = 0.0
        self._report_count = 0

    @property
    def map_version(self) -> int:
        """Return the version of the last map known to be in use."""
        return self._version

    @property
    def skew(self) -> float:
        """Return the expected step-time skew (maximum over mean) of the current map."""
        times = self._expected_rank_times()
        return float(times.max() / times.mean())

    def encode_current_map(self) -> EncodedMap:
        """Return the current map, encoded for a rank that rejoins without one."""
        complete = encode_map(self._slots)
        return EncodedMap(self._version, _digest(complete), 0, b"", complete)

    def observe(self, report: RankReport, now: float) -> None:
        """Apply an aggregated report of the group; ignore reports on other maps."""
        if report.map_version != self._version or not report.load_by_expert:
            return
        self._report_count += 1
        self._load.observe(report, self._expected_rank_times(), now)

    def rank_findings(self) -> list[SlowRank]:
        """Return the ranks whose slowness is not explained by their load."""
        return self._load.slow_ranks()

    def tick(self, now: float) -> EncodedMap | None:
        """Run one slice of planning; return a map if the switch is worth its cost."""
        if self._proposal is not None:
            return None
        planner = self._planner
        if not planner.is_planning:
            if now < self._next_plan_at or not self._report_count:
                return None
            self._next_plan_at = now + PLAN_INTERVAL_SECONDS
            planner.start(self._load.loads, self._load.speeds(), now)
            return None
        plan = planner.run_slice(now)
        if plan is None:
            return None
        version = self._version + 1
        self._proposal = (version, plan)
        complete = encode_map(plan.slots)
        changes = encode_changes(changes_between(self._slots, plan.slots))
        return EncodedMap(version, _digest(complete), self._version, changes, complete)

    def record_switch(self, version: int, now: float) -> None:
        """Record that all ranks use the proposed map."""
        if self._proposal is None or self._proposal[0] != version:
            return
        _, plan = self._proposal
        self._proposal = None
        self._planner.record_switch(plan, now)
        self._slots = plan.slots
        self._version = version

    def adopt_map(self, version: int, slots: Slots) -> None:
        """Continue from a map that a previous leader activated."""
        self._proposal = None
        self._slots = slots
        self._planner.slots = slots
        self._version = version

    def discard_proposal(self) -> None:
        """Discard a proposal that was rejected or aborted."""
        self._proposal = None

    def _expected_rank_times(self) -> FloatArray:
        loads = self._load.loads
        speeds = np.ones(self._slots.shape[1])
        times = np.zeros(self._slots.shape[1])
        for layer_slots, layer_loads in zip(self._slots, loads, strict=True):
            times += rank_times(layer_slots, layer_loads, speeds)
        return np.asarray(times / times.sum())


def _digest(complete: bytes) -> str:
    return blake2b(complete, digest_size=MAP_DIGEST_BYTES).hexdigest()
