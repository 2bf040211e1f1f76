"""coordination: choose the backend server for a request by estimated load.

The estimate adds the requests that this entry has in flight at the server to those of
other entries. The latter are the larger of two figures: the counts that the entries
announce to each other, and the load that the server reported with its latest response.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from lacewingcleat.server_record import ServerRecord

# Age at which a load reported with a response no longer counts; its weight falls
# linearly until then. Requests last about a second, so that older loads are obsolete.
SERVER_REPORT_TTL_SECONDS = 1.0
# Age above which the counts of another entry are ignored, in a fleet whose entries all
# announce their requests to each other several times a second.
PEER_COUNT_TTL_SECONDS = 1.5
# Penalty, in slots, that is added to the load of a server in another zone. A round trip
# between zones takes about a millisecond and its traffic is billed, but a more heavily
# loaded engine costs more than that.
CROSS_ZONE_PENALTY_SLOTS = 0.4
# Number of randomly sampled servers that are compared for a request. Entries receive
# each other's counts some tenths of a second late, so without sampling they would all
# choose the same idle server (`python -m bench.direct_serving`).
SAMPLE_SIZE = 5
# Numbers for the own zone and the others in fleets whose entries announce new requests
# only within their zone, as the servers of the own zone are best known there.
OWN_ZONE_SAMPLE_SIZE = 4
OTHER_ZONE_SAMPLE_SIZE = 2


@dataclass(frozen=True, slots=True)
class ChosenServer:
    """Represent the chosen server and its estimated load."""

    record: ServerRecord
    load: float


@dataclass(frozen=True, slots=True)
class ServersFull:
    """Report that every usable server has reached its request limit."""

    least_load: float


@dataclass(frozen=True, slots=True)
class NoServer:
    """Report that the service has no usable server."""


ServerChoice = ChosenServer | ServersFull | NoServer


@dataclass(slots=True)
class _ServerLoad:
    in_flight: int = 0
    reported: int = 0
    in_flight_at_report: int = 0
    reported_at: float = float("-inf")


class ServerLoads:
    """Estimate the number of requests at each server.

    :ivar peer_count_ttl: age in seconds above which counts of peers are ignored.
    """

    __slots__ = ("_load_by_name", "_peer_counts_by_name", "peer_count_ttl")

    def __init__(self) -> None:
        self.peer_count_ttl = PEER_COUNT_TTL_SECONDS
        self._load_by_name: dict[str, _ServerLoad] = {}
        # For each server, the requests that each peer has in flight there and the time
        # at which the peer announced them.
        self._peer_counts_by_name: dict[str, dict[str, tuple[int, float]]] = {}

    def begin_request(self, name: str) -> None:
        """Count a request that is sent to a server as in flight."""
        self._get(name).in_flight += 1

    def end_request(self, name: str) -> None:
        """Remove an ended request from the count of a server."""
        load = self._get(name)
        load.in_flight = max(0, load.in_flight - 1)

    def in_flight_by_name(self) -> dict[str, int]:
        """Return this entry's requests in flight by server, to announce to peers."""
        return {
            name: load.in_flight
            for name, load in self._load_by_name.items()
            if load.in_flight
        }

    def record_report(self, name: str, requests: int, now: float) -> None:
        """Record the load that a server reported with a response."""
        load = self._get(name)
        load.reported = requests
        load.in_flight_at_report = load.in_flight
        load.reported_at = now

    def record_peer_counts(
        self, peer: str, count_by_name: dict[str, int], now: float
    ) -> None:
        """Record the requests that another entry has in flight, by server."""
        for name in self._peer_counts_by_name.keys() | count_by_name.keys():
            counts = self._peer_counts_by_name.setdefault(name, {})
            count = count_by_name.get(name, 0)
            if count:
                counts[peer] = (count, now)
            else:
                counts.pop(peer, None)

    def retain(self, names: Iterable[str]) -> None:
        """Remove the state of other servers, unless they have requests in flight."""
        retained = set(names)
        for name in [name for name in self._load_by_name if name not in retained]:
            if not self._load_by_name[name].in_flight:
                del self._load_by_name[name]
        for name in [
            name for name in self._peer_counts_by_name if name not in retained
        ]:
            del self._peer_counts_by_name[name]

    def estimate(self, name: str, now: float) -> float:
        """Return the estimated number of requests at a server."""
        load = self._load_by_name.get(name)
        own_requests = load.in_flight if load else 0
        peers = self._peer_counts_by_name.get(name, {})
        other_requests = sum(
            count
            for count, received_at in peers.values()
            if now - received_at <= self.peer_count_ttl
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
    own_zone_first: bool = False,
) -> ServerChoice:
    """Choose the server with the lowest load per slot of a random sample.

    All servers are compared if none of the sample can be chosen.

    :param servers: servers that may take the request.
    :param weight_of: returns the weight of a server's slots, 0 to 1; a server with
        weight 0 is never chosen.
    :param limit_of: returns the number of requests at which a server is full.
    :param own_zone_first: whether the sample prefers servers of the own zone.
    """
    sample = _sample_servers(servers, zone if own_zone_first else None, random)
    if len(sample) < len(servers):
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
        # Random jitter prevents entries with equal estimates from choosing alike.
        score = (load + zone_penalty + random.random() * 0.5) / (record.slots * weight)
        if score < best_score:
            best, best_score = ChosenServer(record, load), score
    if best is not None:
        return best
    return ServersFull(least_load) if least_load < float("inf") else NoServer()


def choose_avoiding(
    servers: Sequence[ServerRecord],
    factor_of: Callable[[ServerRecord], float | None],
    choose: Callable[[Sequence[ServerRecord]], ServerChoice],
    probes: bool,
) -> ServerChoice:
    """Choose a server that is not avoided, unless an avoided one answers earlier.

    A request that would have to wait at the others may be answered earlier there.

    :param factor_of: returns the time of an avoided server's answers as a multiple of
        the others', None if the server is not avoided.
    :param choose: chooses one of some servers.
    :param probes: whether to choose an avoided server if there is one.
    """
    factor_by_name = {
        record.name: factor
        for record in servers
        if (factor := factor_of(record)) is not None
    }
    avoided = [record for record in servers if record.name in factor_by_name]
    if not avoided:
        return choose(servers)
    if probes:
        choice = choose(avoided)
        if isinstance(choice, ChosenServer):
            return choice
    usual = choose([record for record in servers if record.name not in factor_by_name])
    if isinstance(usual, ChosenServer) and usual.load < usual.record.slots:
        return usual
    other = choose(avoided)
    if not isinstance(usual, ChosenServer):
        return usual if isinstance(other, NoServer) else other
    if not isinstance(other, ChosenServer):
        return usual
    factor = factor_by_name[other.record.name]
    return other if factor * _relative_wait(other) < _relative_wait(usual) else usual


def _relative_wait(choice: ChosenServer) -> float:
    """Return the expected time until an answer as a multiple of the work."""
    return max(1.0, (choice.load + 1.0) / max(1, choice.record.slots))


def _sample_servers(
    servers: Sequence[ServerRecord], zone: str | None, random: Random
) -> Sequence[ServerRecord]:
    """Return a random sample, which is all servers if there are few.

    :param zone: preferred zone, if any.
    """
    if zone is None:
        return random.sample(servers, min(len(servers), SAMPLE_SIZE))
    own_zone = [record for record in servers if record.zone == zone]
    others = [record for record in servers if record.zone != zone]
    own_count = min(len(own_zone), OWN_ZONE_SAMPLE_SIZE)
    other_count = min(
        len(others), OTHER_ZONE_SAMPLE_SIZE + OWN_ZONE_SAMPLE_SIZE - own_count
    )
    return [*random.sample(own_zone, own_count), *random.sample(others, other_count)]
