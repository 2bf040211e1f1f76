"""coordination: spread loads of weights over time and sources without a coordinator.

Each agent waits for a random part of a spreading period, which it draws with its own
random source, and loads little at once. A refusal by the store doubles the wait. Peers
that already hold an expert are asked before the store, because the store is shared by
all groups and limits its rate.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lacewingcleat.rendezvous import rank_by_rendezvous

STORE = ""
MAX_AT_ONCE = 2
FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
LOAD_TIMEOUT_SECONDS = 120.0
PEER_ATTEMPTS = 2


@dataclass(frozen=True, slots=True)
class StartLoad:
    """Ask the transport to load weights.

    :param source: instance of a peer, or empty for the weight store.
    """

    name: str
    source: str


@dataclass(slots=True)
class _Load:
    name: str
    sources: list[str]
    not_before: float
    backoff: float = FIRST_BACKOFF_SECONDS
    running_since: float | None = None
    source: str = STORE


class WeightLoader:
    """Load weights for one server.

    :param instance: own name, by which agents choose different peers.
    :param random: seeded source for spreading and backoff.
    """

    def __init__(self, instance: str, random: Random) -> None:
        self._instance = instance
        self._random = random
        self._load_by_name: dict[str, _Load] = {}

    @property
    def idle(self) -> bool:
        """Return whether all wanted weights have arrived."""
        return not self._load_by_name

    def want(
        self,
        name: str,
        holders: Iterable[str],
        spread_seconds: float,
        now: float,
    ) -> None:
        """Ask for weights.

        :param holders: instances that hold these weights already.
        :param spread_seconds: period over which all agents of the group spread.
        """
        if name in self._load_by_name:
            return
        peers = set(holders) - {self._instance}
        ordered = rank_by_rendezvous(f"{self._instance} {name}", peers)
        not_before = now + self._random.uniform(0.0, spread_seconds)
        load = _Load(name, ordered[:PEER_ATTEMPTS], not_before)
        self._load_by_name[name] = load

    def drop(self, name: str) -> None:
        """Forget weights that are no longer wanted."""
        self._load_by_name.pop(name, None)

    def tick(self, now: float) -> list[StartLoad]:
        """Return the loads to start now."""
        loads = list(self._load_by_name.values())
        for load in loads:
            since = load.running_since
            if since is not None and now - since > LOAD_TIMEOUT_SECONDS:
                self._fail(load, now)
        running = sum(load.running_since is not None for load in loads)
        due = [
            load
            for load in loads
            if load.running_since is None and load.not_before <= now
        ]
        due.sort(key=lambda load: load.not_before)
        started = due[: max(0, MAX_AT_ONCE - running)]
        for load in started:
            load.running_since = now
            load.source = load.sources[0] if load.sources else STORE
        return [StartLoad(load.name, load.source) for load in started]

    def loaded(self, name: str) -> None:
        """Note that weights have arrived."""
        self._load_by_name.pop(name, None)

    def refused(self, name: str, now: float, retry_after: float = 0.0) -> None:
        """Note that a source refused or failed; peers first give way to the store.

        :param retry_after: seconds the source asked to wait.
        """
        load = self._load_by_name.get(name)
        if load is not None and load.running_since is not None:
            self._fail(load, now, retry_after)

    def _fail(self, load: _Load, now: float, retry_after: float = 0.0) -> None:
        load.running_since = None
        if load.sources:
            load.sources.pop(0)
            load.not_before = now
            return
        wait = load.backoff * self._random.uniform(0.5, 1.5)
        load.not_before = now + max(retry_after, wait)
        load.backoff = min(2 * load.backoff, MAX_BACKOFF_SECONDS)
