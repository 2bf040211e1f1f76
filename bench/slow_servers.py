"""Play a small plain service behind many entries while one of its servers is slow.

Each entry sees few answers. The servers are queues with slots; one of them takes a
multiple of the usual time for a while, or fails. The deciding modules are those of the
program; time is simulated, retries and lost datagrams are left out.

    python -m bench.slow_servers --seeds 1 2 3
"""

import argparse
import heapq
import itertools
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from tabulate import tabulate

from lacewingcleat.load_gossip import FANOUT, SEND_INTERVAL_SECONDS
from lacewingcleat.server_choice import (
    ChosenServer,
    ServerChoice,
    ServerLoads,
    choose_avoiding,
    choose_server,
)
from lacewingcleat.server_pace import OpenRequest, ServerPace
from lacewingcleat.server_record import ServerRecord

ZONES = 3
FAULT_AT = 8.0
FAULT_ENDS_AT = 28.0
DEFAULT_SECONDS = 48.0
ONE_WAY_SECONDS = 0.0014


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service, its load and the entries before it.

    :param orders: requests per second that must not run twice, and so are no probes.
    :param lookups: other requests per second.
    :param spread: standard deviation of the work of a request, as a share of its mean.
    """

    entries: int
    servers: int
    orders: float
    lookups: float
    work_seconds: float
    objective_seconds: float
    slots: int = 6
    spread: float = 0.2


SERVICE_BY_NAME = {
    "29 entries": Service(29, 4, 13.4, 3.1, 0.069, 0.335),
    "67 entries": Service(67, 3, 11.2, 4.5, 0.0225, 0.152),
}


@dataclass(slots=True)
class Outcome:
    """Collect what callers got while a server was slow, and the server's requests.

    :ivar slow_sends: times at which requests were sent to the slow server.
    """

    on_time: int = 0
    late: int = 0
    refused: int = 0
    slow_sends: list[float] = field(default_factory=list)
    avoided_at: list[float] = field(default_factory=list)
    used_again_at: list[float] = field(default_factory=list)
    false_avoidances: int = 0

    @property
    def on_time_share(self) -> float:
        """Return the share of the requests that were answered on time."""
        return self.on_time / max(1, self.on_time + self.late + self.refused)


class _Entry:
    def __init__(self, number: int) -> None:
        self.name = f"e{number}"
        self.zone = f"z{number % ZONES}"
        self.loads = ServerLoads()
        self.loads.peer_count_ttl = 7.5
        self.pace = ServerPace(self.name)


class SlowServerSimulation:
    """Play one service.

    :param factor: multiple of the usual time that the first server takes meanwhile.
    :param wrong_share: share of its answers that are wrong meanwhile.
    :param shares_pace: whether entries measure the servers' pace; without it they
        choose by load only.
    """

    def __init__(
        self,
        service: Service,
        factor: float,
        shares_pace: bool,
        seed: int,
        wrong_share: float = 0.0,
    ) -> None:
        self._service = service
        self._factor = factor
        self._wrong_share = wrong_share
        self._shares_pace = shares_pace
        self._random = Random(seed)
        self._arrivals = Random(seed)
        self._entries = [_Entry(number) for number in range(service.entries)]
        self._records = [
            ServerRecord(
                f"s{number}", "s", "", f"z{number % ZONES}", service.slots, False, 0
            )
            for number in range(service.servers)
        ]
        self._names = [record.name for record in self._records]
        self._running = dict.fromkeys(self._names, 0)
        self._queues: dict[str, deque[tuple[float, _Entry, OpenRequest]]] = {
            name: deque() for name in self._names
        }
        self._events: list[tuple[float, int, str, tuple[object, ...]]] = []
        self._order = itertools.count()
        self._send_index = 0
        self.outcome = Outcome()

    def run(self, seconds: float) -> Outcome:
        """Play some seconds."""
        service = self._service
        rate = service.orders + service.lookups
        now = 0.0
        while now < seconds:
            now += self._arrivals.expovariate(rate)
            is_lookup = self._arrivals.random() * rate < service.lookups
            entry = self._arrivals.choice(self._entries)
            self._push(now, "arrive", entry, is_lookup)
        for step in range(int(seconds / SEND_INTERVAL_SECONDS)):
            self._push(step * SEND_INTERVAL_SECONDS, "exchange")
        while self._events:
            now, _, kind, values = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(now, *values)
        return self.outcome

    def _push(self, at: float, kind: str, *values: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, values))

    def _arrive(self, now: float, entry: _Entry, is_lookup: bool) -> None:
        def choose(servers: Sequence[ServerRecord]) -> ServerChoice:
            return choose_server(
                servers,
                entry.loads,
                lambda record: 1.0,
                lambda record: record.slots,
                entry.zone,
                self._random,
                now,
                own_zone_first=self._service.entries > FANOUT,
            )

        choice = choose_avoiding(
            self._records,
            lambda record: entry.pace.avoided_factor(record.name),
            choose,
            is_lookup and entry.pace.draws_probe(self._random),
        )
        in_fault = FAULT_AT <= now < FAULT_ENDS_AT
        if not isinstance(choice, ChosenServer):
            self.outcome.refused += in_fault
            return
        name = choice.record.name
        if name == self._names[0]:
            self.outcome.slow_sends.append(now)
        entry.loads.begin_request(name)
        request = entry.pace.begin(name, choice.load, choice.record.slots, now)
        self._push(now + ONE_WAY_SECONDS, "reach", entry, request)

    def _reach(self, now: float, entry: _Entry, request: OpenRequest) -> None:
        self._queues[request.server].append((now, entry, request))
        self._serve(now, request.server)

    def _serve(self, now: float, name: str) -> None:
        queue = self._queues[name]
        while queue and self._running[name] < self._service.slots:
            _, entry, request = queue.popleft()
            self._running[name] += 1
            work = self._service.work_seconds * max(
                0.2, self._random.gauss(1.0, self._service.spread)
            )
            if name == self._names[0] and FAULT_AT <= now < FAULT_ENDS_AT:
                work *= self._factor
            self._push(now + work, "finish", entry, request)

    def _finish(self, now: float, entry: _Entry, request: OpenRequest) -> None:
        self._running[request.server] -= 1
        self._serve(now, request.server)
        answered_at = now + ONE_WAY_SECONDS
        entry.loads.end_request(request.server)
        in_fault = FAULT_AT <= now < FAULT_ENDS_AT
        wrong = (
            self._wrong_share > 0.0
            and in_fault
            and request.server == self._names[0]
            and self._random.random() < self._wrong_share
        )
        if self._shares_pace:
            entry.pace.end(request, wrong, answered_at)
        if FAULT_AT <= request.sent_at < FAULT_ENDS_AT:
            seconds = answered_at - request.sent_at
            is_on_time = not wrong and seconds <= self._service.objective_seconds
            self.outcome.on_time += is_on_time
            self.outcome.late += not is_on_time

    def _exchange(self, now: float) -> None:
        """Let each entry send a datagram to some peers, and evaluate."""
        count = len(self._entries)
        for number, entry in enumerate(self._entries):
            counts = entry.loads.in_flight_by_name()
            answers = entry.pace.next_message(now)
            for offset in range(min(FANOUT, count - 1)):
                step = 1 + (self._send_index + offset) % (count - 1)
                peer = self._entries[(number + step) % count]
                peer.loads.record_peer_counts(entry.name, counts, now)
                peer.pace.record_peer(entry.name, 1, answers, now)
        self._send_index += FANOUT
        if not self._shares_pace:
            return
        for entry in self._entries:
            entry.pace.begin_evaluation(now)
            for change in entry.pace.evaluate("s", self._names, now):
                if change.server != self._names[0]:
                    self.outcome.false_avoidances += change.reason is not None
                elif change.reason is not None:
                    self.outcome.avoided_at.append(now)
                elif now > FAULT_ENDS_AT:
                    self.outcome.used_again_at.append(now)


def _median_delay(times: Sequence[float], start: float) -> str:
    delays = sorted(at - start for at in times if at >= start)
    if not delays:
        return "-"
    return f"{delays[len(delays) // 2]:.1f}, {delays[-1]:.1f}"


HEADERS = [
    "service",
    "slower",
    "spread",
    "on time before",
    "after",
    "avoided s (p50, last)",
    "used again",
    "sends/s to it",
    "false",
]


def main(arguments: list[str] | None = None) -> int:
    """Print the share of requests on time with and without shared evidence."""
    parser = argparse.ArgumentParser("bench.slow_servers", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--factors", type=float, nargs="+", default=[1.0, 5.0, 12.0])
    parser.add_argument("--spreads", type=float, nargs="+", default=[0.2])
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--wrong-share", type=float, default=0.0)
    options = parser.parse_args(arguments)
    rows = []
    for name, service in SERVICE_BY_NAME.items():
        for factor, spread in itertools.product(options.factors, options.spreads):
            played = Service(
                service.entries,
                service.servers,
                service.orders,
                service.lookups,
                service.work_seconds,
                service.objective_seconds,
                spread=spread,
            )
            before, after = (
                [
                    SlowServerSimulation(
                        played, factor, shares, seed, options.wrong_share
                    ).run(options.seconds)
                    for seed in options.seeds
                ]
                for shares in (False, True)
            )
            runs = len(options.seeds)
            sends = [
                at
                for run in after
                for at in run.slow_sends
                if FAULT_AT + 5.0 <= at < FAULT_ENDS_AT
            ]
            rows.append(
                [
                    name,
                    factor,
                    spread,
                    f"{sum(run.on_time_share for run in before) / runs:.3f}",
                    f"{sum(run.on_time_share for run in after) / runs:.3f}",
                    _median_delay([a for r in after for a in r.avoided_at], FAULT_AT),
                    _median_delay(
                        [a for r in after for a in r.used_again_at], FAULT_ENDS_AT
                    ),
                    f"{len(sends) / runs / (FAULT_ENDS_AT - FAULT_AT - 5.0):.2f}",
                    sum(run.false_avoidances for run in after) / runs,
                ]
            )
    print(tabulate(rows, headers=HEADERS))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
