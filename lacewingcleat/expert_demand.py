"""coordination: which experts are in demand, from counts of some ranks of a group."""

from collections.abc import Sequence
from dataclasses import dataclass

# Half-life of the counts: demand stays for a few seconds at a time.
HALF_LIFE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Hold how often the requests of a rank have chosen each expert since its start.

    :param counts: by set, then by expert.
    """

    epoch: int
    counts: tuple[int, ...]


class ExpertDemand:
    """Estimate the load of each expert of one group."""

    __slots__ = ("_at", "_counts_by_server", "_epoch", "_experts", "loads")

    def __init__(self, sets: int, experts: int, now: float) -> None:
        self._experts = experts
        self._at = now
        self._epoch = -1
        self._counts_by_server: dict[str, tuple[int, ...]] = {}
        self.loads: list[list[float]] = [[0.0] * experts for _ in range(sets)]

    def observe(self, server: str, read: RankCounts, now: float) -> bool:
        """Take in the counts of a rank; return whether they add to the estimate."""
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
