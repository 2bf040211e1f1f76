"""coordination: load weights, spread over time and sources without a coordinator.

Each agent waits for a random part of a spreading period, drawn from its own random
source, and runs few loads at a time. Each failure of the store doubles the backoff.
Peers that already hold an expert are asked before the store, because the store is
shared by all groups and limits its request rate.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lacewingcleat.rendezvous import rank_by_rendezvous

WEIGHT_STORE = ""
MAX_CONCURRENT_LOADS = 2
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
LOAD_TIMEOUT_SECONDS = 120.0
MAX_PEER_ATTEMPTS = 2


@dataclass(frozen=True, slots=True)
class StartLoad:
    """Instruct the transport to load weights.

    :param name: name of the weights.
    :param source: instance of a peer, or empty for the weight store.
    """

    name: str
    source: str


@dataclass(slots=True)
class _Load:
    name: str
    sources: list[str]
    not_before: float
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS
    started_at: float | None = None
    source: str = WEIGHT_STORE


class WeightLoader:
    """Schedule the loads of weights for one server.

    :param instance: instance of this agent; determines its order of peers, so that
        agents prefer different ones.
    :param random: seeded random source for spreading and backoff jitter.
    """

    def __init__(self, instance: str, random: Random) -> None:
        self._instance = instance
        self._random = random
        self._load_by_name: dict[str, _Load] = {}

    @property
    def idle(self) -> bool:
        """Return whether no requested load is pending or running."""
        return not self._load_by_name

    def request(
        self,
        name: str,
        holders: Iterable[str],
        spread_seconds: float,
        now: float,
    ) -> None:
        """Request weights, unless they are already requested.

        :param holders: instances that already hold these weights.
        :param spread_seconds: period over which the agents of the group spread their
            loads.
        """
        if name in self._load_by_name:
            return
        peers = set(holders) - {self._instance}
        ordered_peers = rank_by_rendezvous(f"{self._instance} {name}", peers)
        not_before = now + self._random.uniform(0.0, spread_seconds)
        load = _Load(name, ordered_peers[:MAX_PEER_ATTEMPTS], not_before)
        self._load_by_name[name] = load

    def cancel(self, name: str) -> None:
        """Cancel the request for weights that are no longer needed."""
        self._load_by_name.pop(name, None)

    def tick(self, now: float) -> list[StartLoad]:
        """Fail the loads that have timed out, and return the loads to start now."""
        loads = list(self._load_by_name.values())
        for load in loads:
            started_at = load.started_at
            if started_at is not None and now - started_at > LOAD_TIMEOUT_SECONDS:
                self._fail(load, now)
        running_count = sum(load.started_at is not None for load in loads)
        ready = [
            load for load in loads if load.started_at is None and load.not_before <= now
        ]
        ready.sort(key=lambda load: load.not_before)
        started = ready[: max(0, MAX_CONCURRENT_LOADS - running_count)]
        for load in started:
            load.started_at = now
            load.source = load.sources[0] if load.sources else WEIGHT_STORE
        return [StartLoad(load.name, load.source) for load in started]

    def record_loaded(self, name: str) -> None:
        """Record that weights have been loaded."""
        self._load_by_name.pop(name, None)

    def record_failure(
        self, name: str, now: float, retry_after_seconds: float = 0.0
    ) -> None:
        """Record that a source has refused or failed, and schedule a retry.

        After a failed peer, the next peer or the store is tried without delay. Failures
        of the store back off.

        :param retry_after_seconds: minimum wait that the source has asked for.
        """
        load = self._load_by_name.get(name)
        if load is not None and load.started_at is not None:
            self._fail(load, now, retry_after_seconds)

    def _fail(self, load: _Load, now: float, retry_after_seconds: float = 0.0) -> None:
        load.started_at = None
        if load.sources:
            load.sources.pop(0)
            load.not_before = now
            return
        wait_seconds = load.backoff_seconds * self._random.uniform(0.5, 1.5)
        load.not_before = now + max(retry_after_seconds, wait_seconds)
        load.backoff_seconds = min(2 * load.backoff_seconds, MAX_BACKOFF_SECONDS)
