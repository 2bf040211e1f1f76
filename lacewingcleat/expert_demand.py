"""coordination: estimate the demand for experts from the counts of a group's ranks."""

from collections.abc import Sequence
from dataclasses import dataclass

# Demand for an expert persists for as long as the prompts in flight, a few seconds;
# older counts are decayed.
DEMAND_HALF_LIFE_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class RankSelectionCounts:
    """Represent how often a rank has selected each expert since its start.

    :param counts: selections by layer set, then by expert.
    """

    epoch: int
    counts: tuple[int, ...]


class ExpertDemandEstimator:
    """Estimate the load of each expert of one group.

    Requests are spread evenly over the ranks, so the counts of some ranks suffice.

    :param layer_sets: number of layer sets, that is sets of layers that share a map.
    :param experts: number of experts per layer set.
    """

    __slots__ = ("_counts_by_server", "_epoch", "_expert_count", "_updated_at", "loads")

    def __init__(self, layer_sets: int, experts: int, now: float) -> None:
        self._expert_count = experts
        self._updated_at = now
        self._epoch = -1
        self._counts_by_server: dict[str, tuple[int, ...]] = {}
        self.loads: list[list[float]] = [[0.0] * experts for _ in range(layer_sets)]

    def observe(self, server: str, selections: RankSelectionCounts, now: float) -> bool:
        """Add the selections since the last counts of a server to the estimate.

        Counts are cumulative. The first counts of a server in an epoch and counts that
        have decreased only set its baseline. Counts of the wrong size are ignored.

        :return: whether the estimate has changed.
        """
        size = len(self.loads) * self._expert_count
        if len(selections.counts) != size:
            return False
        if selections.epoch != self._epoch:
            self._epoch = selections.epoch
            self._counts_by_server.clear()
        previous = self._counts_by_server.get(server)
        self._counts_by_server[server] = selections.counts
        if previous is None:
            return False
        increments = [
            current_count - previous_count
            for current_count, previous_count in zip(
                selections.counts, previous, strict=True
            )
        ]
        if min(increments) < 0:
            return False
        self._add(increments, now)
        return True

    def _add(self, increments: Sequence[int], now: float) -> None:
        decay = 0.5 ** (max(0.0, now - self._updated_at) / DEMAND_HALF_LIFE_SECONDS)
        self._updated_at = now
        for index, loads in enumerate(self.loads):
            set_increments = increments[
                index * self._expert_count : (index + 1) * self._expert_count
            ]
            for expert, count in enumerate(set_increments):
                loads[expert] = loads[expert] * decay + count
