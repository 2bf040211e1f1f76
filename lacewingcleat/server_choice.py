"""coordination: choose the backend server that takes a request.

The load of a server is what this entry has in flight there, what other entries say they
have in flight there, and, for what they do not say, the load that the server added to
its latest answer.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from lacewingcleat.server_record import ServerRecord

# A load in an answer describes the past; requests last about a second.
SERVER_REPORT_TTL_SECONDS = 1.0
# Other entries tell their requests in flight several times a second.
PEER_COUNT_TTL_SECONDS = 1.5
# Part of a slot by which a server in another zone counts as more loaded: the way there
# and back costs about a millisecond and priced bytes, a busier engine costs more.
CROSS_ZONE_PENALTY_SLOTS = 0.4
# Servers that are compared for a request. Entries learn of each other's requests some
# tenths of a second late and would all choose the same idle server; a few servers drawn
# at random keep them apart (`python -m bench.direct_serving`).
SAMPLE_SIZE = 5


@dataclass(frozen=True, slots=True)
class ChosenServer:
    """Name the chosen server and the load that was believed of it."""

    record: ServerRecord
    load: float


@dataclass(frozen=True, slots=True)
class ServersFull:
    """Say that each usable server has as much work as it should be given."""

    least_load: float


@dataclass(frozen=True, slots=True)
class NoServer:
    """Say that the service has no usable server."""


ServerChoice = ChosenServer | ServersFull | NoServer


@dataclass(slots=True)
class _ServerLoad:
    in_flight: int = 0
    reported: int = 0
    in_flight_at_report: int = 0
    reported_at: float = float("-inf")


class ServerLoads:
    """Estimate the requests at each server."""

    __slots__ = ("_load_by_name", "_peer_counts_by_name")

    def __init__(self) -> None:
        self._load_by_name: dict[str, _ServerLoad] = {}
        # By server: what each peer has in flight there, and when it said so.
        self._peer_counts_by_name: dict[str, dict[str, tuple[int, float]]] = {}

    def begin_request(self, name: str) -> None:
        """Count a request that is sent to a server."""
        self._get(name).in_flight += 1

    def end_request(self, name: str) -> None:
        """Count the end of a request at a server."""
        load = self._get(name)
        load.in_flight = max(0, load.in_flight - 1)

    def in_flight_by_name(self) -> dict[str, int]:
        """Return this entry's requests in flight, for other entries."""
        return {
            name: load.in_flight
            for name, load in self._load_by_name.items()
            if load.in_flight
        }

    def record_report(self, name: str, requests: int, now: float) -> None:
        """Take over the load that a server added to an answer."""
        load = self._get(name)
        load.reported = requests
        load.in_flight_at_report = load.in_flight
        load.reported_at = now

    def record_peer_counts(
        self, peer: str, count_by_name: dict[str, int], now: float
    ) -> None:
        """Take over what another entry has in flight."""
        for name in self._peer_counts_by_name.keys() | count_by_name.keys():
            counts = self._peer_counts_by_name.setdefault(name, {})
            count = count_by_name.get(name, 0)
            if count:
                counts[peer] = (count, now)
            else:
                counts.pop(peer, None)

    def retain(self, names: Iterable[str]) -> None:
        """Forget servers that are gone and have nothing in flight."""
        retained = set(names)
        for name in [name for name in self._load_by_name if name not in retained]:
            if not self._load_by_name[name].in_flight:
                del self._load_by_name[name]
        for name in [
            name for name in self._peer_counts_by_name if name not in retained
        ]:
            del self._peer_counts_by_name[name]

    def estimate(self, name: str, now: float) -> float:
        """Return the requests that are probably at a server."""
        load = self._load_by_name.get(name)
        own_requests = load.in_flight if load else 0
        peers = self._peer_counts_by_name.get(name, {})
        other_requests = sum(
            count
            for count, received_at in peers.values()
            if now - received_at <= PEER_COUNT_TTL_SECONDS
        )
        if load is not None:
            age = now - load.reported_at
            if age < SERVER_REPORT_TTL_SECONDS:
                report_weight = 1.0 - age / SERVER_REPORT_TTL_SECONDS
                others_at_report = max(0, load.reported - load.in_flight_at_report)
                other_requests = max(
                    other_requests, round(others_at_report * report_weight)
                )
        return float(own_requests + other_requests)

    def _get(self, name: str) -> _ServerLoad:
        return self._load_by_name.setdefault(name, _ServerLoad())


def choose_server(
    servers: Sequence[ServerRecord],
    loads: ServerLoads,
    weight_of: Callable[[ServerRecord], float],
    limit_of: Callable[[ServerRecord], float],
    zone: str,
    random: Random,
    now: float,
) -> ServerChoice:
    """Choose the server with the most free slots of a few that are drawn at random.

    All are compared if none of the few can be chosen.

    :param servers: servers that may take the request.
    :param weight_of: share of its slots that a server should be given, 0 to 1.
    :param limit_of: requests from which on a server is full.
    """
    if len(servers) > SAMPLE_SIZE:
        sample = random.sample(servers, SAMPLE_SIZE)
        choice = choose_server(sample, loads, weight_of, limit_of, zone, random, now)
        if isinstance(choice, ChosenServer):
            return choice
    best: ChosenServer | None = None
    best_score = float("inf")
    least_load = float("inf")
    for record in servers:
        weight = weight_of(record)
        if weight <= 0.0:
            continue
        load = loads.estimate(record.name, now)
        least_load = min(least_load, load)
        if load >= limit_of(record):
            continue
        zone_penalty = 0.0 if record.zone == zone else CROSS_ZONE_PENALTY_SLOTS
        # A small random part keeps entries with equal views from choosing alike.
        score = (load + zone_penalty + random.random() * 0.5) / (record.slots * weight)
        if score < best_score:
            best, best_score = ChosenServer(record, load), score
    if best is not None:
        return best
    return ServersFull(least_load) if least_load < float("inf") else NoServer()
