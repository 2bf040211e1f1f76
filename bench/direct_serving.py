"""Compare ways to choose a server for the streams of many direct entries.

Plays streams at a service whose servers have few slots: each entry knows its own
requests, what other entries told it lately, and the load that servers add to their
answers. The deciding modules are those of the program; time is simulated. Servers are
plain queues here: groups, faults, retries and the cost of passes are left out.

    python -m bench.direct_serving --site grown --load 1.5 --seed 3
"""

import argparse
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random

import numpy as np
from tabulate import tabulate

from lacewingcleat.adaptive_concurrency import MAX_SLOT_SHARE
from lacewingcleat.load_gossip import FANOUT, SEND_INTERVAL_SECONDS
from lacewingcleat.server_choice import ChosenServer, ServerLoads, choose_server
from lacewingcleat.server_record import ServerRecord

# Half a round trip between two zones, as the sites state it.
ONE_WAY_SECONDS = 0.0014
# Callers' objective for the first event.
OBJECTIVE_SECONDS = 0.4
# An engine reads a usual prompt in two passes.
READ_PASSES = 2
WARM_UP_SECONDS = 5.0
DEFAULT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Site:
    """Describe the size and usual load of a site.

    :param streams: streams a second.
    :param events: mean number of events of a stream.
    :param gap_seconds: time between two events.
    """

    entries: int
    servers: int
    zones: int
    slots: int
    streams: float
    events: float
    gap_seconds: float


# Sizes and loads of the users' sites, with the usual time between two events.
SITE_BY_NAME = {
    "small": Site(8, 16, 3, 6, 37.1, 28.0, 0.06),
    "grown": Site(30, 64, 3, 5, 107.0, 23.2, 0.095),
}

Chooser = Callable[
    [Sequence[ServerRecord], ServerLoads, str, Random, float], ServerRecord | None
]


def choose_at_random(
    servers: Sequence[ServerRecord],
    loads: ServerLoads,
    zone: str,
    random: Random,
    now: float,
) -> ServerRecord | None:
    """Choose any server."""
    return random.choice(servers)


def choose_least_known(
    servers: Sequence[ServerRecord],
    loads: ServerLoads,
    zone: str,
    random: Random,
    now: float,
) -> ServerRecord | None:
    """Choose the server of the least known load, the first of equals."""
    return min(servers, key=lambda record: loads.estimate(record.name, now))


def choose_of_two(
    servers: Sequence[ServerRecord],
    loads: ServerLoads,
    zone: str,
    random: Random,
    now: float,
) -> ServerRecord | None:
    """Choose the less loaded of two servers."""
    return choose_least_known(random.sample(servers, 2), loads, zone, random, now)


def _limit(record: ServerRecord) -> float:
    return record.slots * MAX_SLOT_SHARE


def choose_as_entry(
    servers: Sequence[ServerRecord],
    loads: ServerLoads,
    zone: str,
    random: Random,
    now: float,
) -> ServerRecord | None:
    """Choose as the program does; none if it would refuse the request."""
    choice = choose_server(
        servers, loads, lambda record: 1.0, _limit, zone, random, now
    )
    return choice.record if isinstance(choice, ChosenServer) else None


CHOOSER_BY_NAME: dict[str, Chooser] = {
    "random": choose_at_random,
    "least known load": choose_least_known,
    "two choices": choose_of_two,
    "entry": choose_as_entry,
}


@dataclass(slots=True)
class _Stream:
    entry: int
    server: int
    arrived_at: float
    events: int


@dataclass(slots=True)
class _Server:
    running: int = 0
    waiting: deque[_Stream] = field(default_factory=deque)


@dataclass(slots=True)
class Outcome:
    """Collect what callers got.

    :ivar first_seconds: time to the first event of each served stream.
    """

    first_seconds: list[float] = field(default_factory=list)
    refused: int = 0
    longest_queue: int = 0

    def in_time(self) -> float:
        """Return the share of streams whose first event met the objective."""
        count = sum(seconds <= OBJECTIVE_SECONDS for seconds in self.first_seconds)
        return count / max(1, len(self.first_seconds) + self.refused)

    def percentile(self, percent: float) -> float:
        """Return a percentile of the time to the first event."""
        return float(np.percentile(self.first_seconds, percent))


class Simulation:
    """Play one site under one way to choose servers.

    :param load: multiple of the site's usual load.
    """

    def __init__(self, site: Site, choose: Chooser, load: float, seed: int) -> None:
        self._site = site
        self._choose = choose
        self._rate = site.streams * load
        # Arrivals are drawn apart from choices, so that all ways play the same ones.
        self._arrivals = Random(seed)
        self._random = Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._servers = [_Server() for _ in range(site.servers)]
        self._records = [
            ServerRecord(
                f"server-{n}",
                "model",
                "",
                f"zone-{n % site.zones}",
                site.slots,
                False,
                0,
            )
            for n in range(site.servers)
        ]
        self._loads = [ServerLoads() for _ in range(site.entries)]
        self._turns = [0] * site.entries
        self.outcome = Outcome()

    def run(self, seconds: float) -> Outcome:
        """Play some seconds; return what callers got after the warm-up."""
        for entry in range(self._site.entries):
            self._at(self._random.random() * SEND_INTERVAL_SECONDS, self._teller(entry))
        self._at(0.0, self._arrive)
        while self._events and self._events[0][0] < seconds:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.outcome

    def _at(self, moment: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._order), action))

    def _teller(self, entry: int) -> Callable[[float], None]:
        def tell(now: float) -> None:
            self._at(now + SEND_INTERVAL_SECONDS, tell)
            counts = self._loads[entry].in_flight_by_name()
            others = [peer for peer in range(self._site.entries) if peer != entry]
            start = self._turns[entry]
            self._turns[entry] = (start + FANOUT) % len(others)
            for peer in (others + others)[start : start + min(FANOUT, len(others))]:
                hear = partial(self._loads[peer].record_peer_counts, str(entry), counts)
                self._at(now + ONE_WAY_SECONDS, hear)

        return tell

    def _arrive(self, now: float) -> None:
        self._at(now + self._arrivals.expovariate(self._rate), self._arrive)
        entry = self._arrivals.randrange(self._site.entries)
        events = max(1, round(self._arrivals.expovariate(1.0 / self._site.events)))
        zone = f"zone-{entry % self._site.zones}"
        loads = self._loads[entry]
        record = self._choose(self._records, loads, zone, self._random, now)
        if record is None:
            self.outcome.refused += now > WARM_UP_SECONDS
            return
        server = self._records.index(record)
        stream = _Stream(entry, server, now, events)
        loads.begin_request(record.name)
        self._servers[server].waiting.append(stream)
        waiting = len(self._servers[server].waiting)
        self.outcome.longest_queue = max(self.outcome.longest_queue, waiting)
        self._admit(server, now)

    def _admit(self, server: int, now: float) -> None:
        state = self._servers[server]
        while state.waiting and state.running < self._site.slots:
            stream = state.waiting.popleft()
            state.running += 1
            first = now + READ_PASSES * self._site.gap_seconds
            self._at(first, partial(self._begin, stream))

    def _begin(self, stream: _Stream, now: float) -> None:
        if stream.arrived_at > WARM_UP_SECONDS:
            self.outcome.first_seconds.append(now - stream.arrived_at)
        state = self._servers[stream.server]
        name = self._records[stream.server].name
        self._loads[stream.entry].record_report(
            name, state.running + len(state.waiting), now
        )
        end = now + (stream.events - 1) * self._site.gap_seconds
        self._at(end, partial(self._end, stream))

    def _end(self, stream: _Stream, now: float) -> None:
        self._servers[stream.server].running -= 1
        self._loads[stream.entry].end_request(self._records[stream.server].name)
        self._admit(stream.server, now)


def compare(site: Site, load: float, seconds: float, seed: int) -> list[list[str]]:
    """Return a row of figures for each way to choose."""
    rows = []
    for name, choose in CHOOSER_BY_NAME.items():
        outcome = Simulation(site, choose, load, seed).run(seconds)
        rows.append(
            [
                name,
                f"{outcome.in_time():.3f}",
                *(f"{outcome.percentile(p) * 1000.0:.0f}" for p in (50, 95, 99)),
                str(outcome.refused),
                str(outcome.longest_queue),
            ]
        )
    return rows


HEADERS = ["choice", "in time", "p50 ms", "p95 ms", "p99 ms", "refused", "queue"]


def main(arguments: list[str] | None = None) -> int:
    """Print the comparison for one site and load."""
    parser = argparse.ArgumentParser("bench.direct_serving", description=__doc__)
    parser.add_argument("--site", choices=sorted(SITE_BY_NAME), default="grown")
    parser.add_argument("--load", type=float, default=1.0, help="of the usual load")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    site = SITE_BY_NAME[options.site]
    rows = compare(site, options.load, options.seconds, options.seed)
    print(tabulate(rows, headers=HEADERS))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
