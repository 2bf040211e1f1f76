"""coordination: estimate the load of experts and find slow ranks.

Reports arrive late and name only the heaviest experts. The load of an unnamed expert is
at most that of the lightest named one, so its estimate decays towards the lower of its
own value and that limit instead of to zero.
"""

from dataclasses import dataclass
from enum import Enum

import numpy as np
import numpy.typing as npt

from lacewingcleat.messages import RankReport

FloatArray = npt.NDArray[np.float64]

LOAD_TIME_CONSTANT_SECONDS = 60.0
# Ratios of the step time of a rank to the step time expected for its load.
SLOW_RATIO = 1.25
NORMAL_RATIO = 1.10
# Reports that confirm that a rank is slow, or that it has recovered.
CONFIRMING_REPORTS = 3
# Reports of slow steps after which a rank has to be drained.
DRAIN_REPORTS = 30
SLOWNESS_SMOOTHING_FACTOR = 0.5


class RankCondition(Enum):
    """Classify the speed of a rank relative to its load."""

    NORMAL = "normal"
    SLOW = "slow"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class SlowRank:
    """Describe a rank that is slower than its load explains.

    :param slowness: ratio of its step time to the step time expected for its load.
    """

    rank: int
    condition: RankCondition
    slowness: float


class ExpertLoadEstimator:
    """Estimate the load share of experts by layer and the slowness of ranks."""

    def __init__(self, layers: int, experts: int, ranks: int) -> None:
        self.loads: FloatArray = np.full((layers, experts), 1.0 / experts)
        self.slowness: FloatArray = np.ones(ranks)
        self._updated_at = np.full(layers, np.nan)
        self._sequence = 0
        self._slow_reports = np.zeros(ranks, dtype=np.int64)
        self._normal_reports = np.zeros(ranks, dtype=np.int64)
        self._slow_since = np.full(ranks, np.nan)

    def observe(
        self, report: RankReport, loads_by_rank: FloatArray, now: float
    ) -> None:
        """Update the estimates from the group's aggregated report.

        Reports that are out of order are ignored.

        :param loads_by_rank: share of the load that each rank had under the map of the
            report, so that a heavily loaded rank is not classified as slow.
        """
        if report.sequence <= self._sequence:
            return
        self._sequence = report.sequence
        self._observe_experts(report, now)
        self._observe_ranks(report, loads_by_rank, now)

    def slow_ranks(self) -> list[SlowRank]:
        """Return the ranks that are slower than their load explains.

        A slow rank first gets less load through `speeds`. A rank that stays slow has to
        be drained and reported.
        """
        found = []
        is_slow = self._slow_rank_mask()
        for rank, count in enumerate(self._slow_reports):
            if not is_slow[rank]:
                continue
            drain = count >= DRAIN_REPORTS
            condition = RankCondition.DRAIN if drain else RankCondition.SLOW
            found.append(SlowRank(rank, condition, float(self.slowness[rank])))
        return found

    def speeds(self) -> FloatArray:
        """Return the relative speed of each rank, 1 for ranks that are not slow."""
        return np.where(
            self._slow_rank_mask(), 1.0 / np.maximum(self.slowness, 1.0), 1.0
        )

    def _slow_rank_mask(self) -> npt.NDArray[np.bool_]:
        """Return a mask of the ranks that are slower than their load explains.

        A report covers one layer, but step times cover all layers. After a shift of
        demand, ranks therefore appear slow until the load of each layer has been
        updated. A rank counts as slow only after that.
        """
        loads_updated = self._slow_since <= np.min(self._updated_at)
        slow = self._slow_reports >= CONFIRMING_REPORTS
        return np.asarray(slow & loads_updated)

    def _observe_experts(self, report: RankReport, now: float) -> None:
        if not report.load_by_expert:
            return
        keys = np.array(list(report.load_by_expert), dtype=np.int64)
        values = np.array(list(report.load_by_expert.values()), dtype=np.float64)
        for layer in np.unique(keys[:, 0]):
            if 0 <= layer < len(self.loads):
                in_layer = keys[:, 0] == layer
                smoothing_factor = self._smoothing_factor(int(layer), now)
                self._observe_layer(
                    layer, keys[in_layer, 1], values[in_layer], smoothing_factor
                )

    def _smoothing_factor(self, layer: int, now: float) -> float:
        elapsed = now - self._updated_at[layer]
        self._updated_at[layer] = now
        if np.isnan(elapsed):
            return 1.0
        return float(1.0 - np.exp(-max(0.0, elapsed) / LOAD_TIME_CONSTANT_SECONDS))

    def _observe_layer(
        self,
        layer: int,
        experts: npt.NDArray[np.int64],
        values: FloatArray,
        smoothing_factor: float,
    ) -> None:
        estimate = self.loads[layer]
        named = np.zeros(len(estimate), dtype=bool)
        named[experts] = True
        observed = np.zeros(len(estimate))
        observed[experts] = values
        # Scales the old estimate to the units of the report, using the named experts.
        estimate_of_named = estimate[named].sum()
        scale = values.sum() / estimate_of_named if estimate_of_named > 0 else 1.0
        observed[~named] = np.minimum(estimate[~named] * scale, values.min())
        total = observed.sum()
        if total > 0:
            estimate += smoothing_factor * (observed / total - estimate)

    def _observe_ranks(
        self,
        report: RankReport,
        loads_by_rank: FloatArray,
        now: float,
    ) -> None:
        ranks = np.array(sorted(report.step_seconds_by_rank), dtype=np.int64)
        ranks = ranks[(ranks >= 0) & (ranks < len(self.slowness))]
        if len(ranks) < 2:
            return
        seconds = np.array([report.step_seconds_by_rank[int(r)] for r in ranks])
        expected = np.maximum(loads_by_rank[ranks], 1e-12)
        ratio = seconds / expected
        ratio /= max(float(np.median(ratio)), 1e-12)
        estimate = self.slowness[ranks]
        estimate += SLOWNESS_SMOOTHING_FACTOR * (ratio - estimate)
        self.slowness[ranks] = estimate
        slow = np.zeros(len(self.slowness), dtype=bool)
        normal = slow.copy()
        slow[ranks] = ratio > SLOW_RATIO
        normal[ranks] = ratio < NORMAL_RATIO
        self._slow_since[slow & (self._slow_reports == 0)] = now
        self._slow_reports[slow] += 1
        self._normal_reports[slow] = 0
        self._normal_reports[normal] += 1
        recovered = self._normal_reports >= CONFIRMING_REPORTS
        self._slow_reports[recovered] = 0
