"""coordination: estimate the demand for experts from the counts of a group's ranks."""

from collections.abc import Sequence
from dataclasses import dataclass

# Demand for an expert persists for a few seconds; older counts are decayed.
HALF_LIFE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Represent how often a rank has selected each expert since its start.

    :param counts: selections by layer set, then by expert.
    """

    epoch: int
    counts: tuple[int, ...]


class ExpertDemand:
    """Estimate the load of each expert of one group.

    Requests are spread evenly over the ranks, so the counts of a few ranks suffice.

    :param sets: number of layer sets, that is sets of layers that share a map.
    :param experts: number of experts per layer set.
    """

    __slots__ = ("_at", "_counts_by_server", "_epoch", "_experts", "loads")

    def __init__(self, sets: int, experts: int, now: float) -> None:
        self._experts = experts
        self._at = now
        self._epoch = -1
        self._counts_by_server: dict[str, tuple[int, ...]] = {}
        self.loads: list[list[float]] = [[0.0] * experts for _ in range(sets)]

    def observe(self, server: str, read: RankCounts, now: float) -> bool:
        """Add the selections since the last counts of a server to the estimate.

        Counts are cumulative. The first counts of a server in an epoch and counts that
        have decreased only set its baseline. Counts of the wrong size are ignored.

        :return: whether the estimate has changed.
        """
        size = len(self.loads) * self._experts
        if len(read.counts) != size:
            return False
        if read.epoch != self._epoch:
            self._epoch = read.epoch
            self._counts_by_server.clear()
        before = self._counts_by_server.get(server)
        self._counts_by_server[server] = read.counts
        if before is None:
            return False
        new = [now_ - then for now_, then in zip(read.counts, before, strict=True)]
        if min(new) < 0:
            return False
        self._add(new, now)
        return True

    def _add(self, new: Sequence[int], now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_SECONDS)
        self._at = now
        for index, loads in enumerate(self.loads):
            part = new[index * self._experts : (index + 1) * self._experts]
            for expert, count in enumerate(part):
                loads[expert] = loads[expert] * kept + count
