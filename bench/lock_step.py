"""Play the streams of one lock-step model group under several concurrency limits.

All ranks run each pass together. A pass lasts as long as the slowest rank's own part
(its streams and the prompts that it reads) plus the part of the rank whose experts are
in the highest demand. Topics drift: now and then the demand moves away from the map,
which catches up some seconds later. Several entries admit streams with late views of
each other. The deciding modules are those of the program; time is simulated, memory
limits, faults and retries are left out.

    python -m bench.lock_step --load 1.1 --seed 3
    python -m bench.lock_step --loads 0.8 0.9 1.0 1.1 1.2 --plot figure.png
"""

import argparse
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from tabulate import tabulate

from lacewingcleat.adaptive_concurrency import (
    MAX_SLOT_SHARE,
    AdaptiveConcurrencyLimit,
)
from lacewingcleat.group_tracker import GroupTracker, RankStatus
from lacewingcleat.load_gossip import SEND_INTERVAL_SECONDS
from lacewingcleat.server_choice import ChosenServer, ServerLoads, choose_server
from lacewingcleat.server_record import ServerRecord

GROUP = "group"
SERVICE = "model"
DEFAULT_SECONDS = 60.0
WARM_UP_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class GroupModel:
    """Describe a group and its usual load, as the users' small deployments state them.

    :param streams: arrivals a second at load 1.
    :param pass_seconds: fixed part of a pass.
    :param stream_seconds: addition for each stream of the rank with the most streams.
    :param expert_seconds: addition for each stream of the group, on an even map.
    :param prompt_seconds: addition for each prompt that a rank reads in a pass.
    :param shift_seconds: time between two moves of the demand.
    :param even_seconds: time after a move until the map follows it.
    :param shifted_skew: load of the hottest rank against the mean until then.
    :param even_skew: the same once the map has followed.
    """

    ranks: int = 12
    slots: int = 6
    entries: int = 9
    streams: float = 23.0
    events: float = 26.0
    pass_seconds: float = 0.029
    stream_seconds: float = 0.0022
    expert_seconds: float = 0.00045
    prompt_seconds: float = 0.012
    shift_seconds: float = 3.4
    even_seconds: float = 2.2
    shifted_skew: float = 2.0
    even_skew: float = 1.2
    max_event_interval: float = 0.12
    first_event_objective: float = 0.4


@dataclass(slots=True)
class Stream:
    """Represent a running stream and what its caller has seen."""

    entry: int
    rank: int
    arrived_at: float
    events_left: int
    last_event_at: float | None = None
    is_late: bool = False


@dataclass(slots=True)
class Outcome:
    """Collect what callers got.

    :ivar in_flight: streams in flight at each pass.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    in_flight: list[int] = field(default_factory=list)
    pass_seconds: list[float] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Return the share of all streams that were served in time."""
        return self.in_time / max(1, self.in_time + self.late + self.refused)


ShareOf = Callable[["_Entry"], float]


class _Entry:
    """Hold the state of one entry: its views of the loads and of the group's pace."""

    def __init__(self) -> None:
        self.loads = ServerLoads()
        self.limit = AdaptiveConcurrencyLimit()
        self.groups = GroupTracker()


def adaptive_share(entry: _Entry) -> float:
    """Return the share of the program's limit."""
    return entry.limit.slot_share(GROUP)


def unlimited_share(entry: _Entry) -> float:
    """Return the share at which a server is full."""
    return MAX_SLOT_SHARE


def fixed_share(share: float) -> ShareOf:
    """Return a limit that never changes."""
    return lambda entry: share


LIMIT_BY_NAME: dict[str, ShareOf] = {
    "none": unlimited_share,
    "fixed 0.6": fixed_share(0.6),
    "fixed 0.8": fixed_share(0.8),
    "adaptive": adaptive_share,
}


class LockStepSimulation:
    """Play one group under one limit.

    :param load: multiple of the usual load.
    :param crowd: streams that arrive at once at the beginning.
    :param announces_at_once: whether entries announce each stream that they admit, not
        only their counts at regular intervals.
    """

    def __init__(
        self,
        model: GroupModel,
        share_of: ShareOf,
        load: float,
        seed: int,
        crowd: int = 0,
        announces_at_once: bool = True,
    ) -> None:
        self._model = model
        self._share_of = share_of
        self._rate = model.streams * load
        # Arrivals are drawn apart from choices, so that all limits play the same ones.
        self._arrivals = Random(seed)
        self._random = Random(seed)
        self._records = [
            ServerRecord(f"rank-{rank}", SERVICE, "", "z", model.slots, False, 0)
            for rank in range(model.ranks)
        ]
        self._entries = [self._make_entry() for _ in range(model.entries)]
        self._streams: list[Stream] = []
        self._announced_at = 0.0
        self._next_arrival = 0.0
        self._crowd = crowd
        self._announces_at_once = announces_at_once
        self.outcome = Outcome()

    def _make_entry(self) -> "_Entry":
        entry = _Entry()
        for rank, record in enumerate(self._records):
            status = RankStatus(GROUP, 1, rank, self._model.ranks, True, 1.0)
            entry.groups.record_status(record.name, status, 0.0)
        return entry

    def run(self, seconds: float) -> Outcome:
        """Play some seconds; return what callers got after the warm-up."""
        now = 0.0
        for _ in range(self._crowd):
            self._admit(now)
        while now < seconds:
            duration = self._pass_duration(now)
            end = now + duration
            self._run_pass(end)
            if now > WARM_UP_SECONDS:
                self.outcome.in_flight.append(len(self._streams))
                self.outcome.pass_seconds.append(duration)
            while self._next_arrival < end:
                self._admit(self._next_arrival)
                self._next_arrival += self._arrivals.expovariate(self._rate)
            now = end
            self._exchange(now)
        return self.outcome

    def _pass_duration(self, now: float) -> float:
        model = self._model
        writing = [0] * model.ranks
        reading = [0] * model.ranks
        for stream in self._streams:
            counts = reading if stream.last_event_at is None else writing
            counts[stream.rank] += 1
        own_part = max(
            writing[rank] * model.stream_seconds + reading[rank] * model.prompt_seconds
            for rank in range(model.ranks)
        )
        has_shifted = now % model.shift_seconds < model.even_seconds
        skew = model.shifted_skew if has_shifted else model.even_skew
        expert_part = len(self._streams) * model.expert_seconds * skew
        return model.pass_seconds + own_part + expert_part

    def _run_pass(self, now: float) -> None:
        model = self._model
        for stream in self._streams:
            entry = self._entries[stream.entry]
            name = self._records[stream.rank].name
            if stream.last_event_at is None:
                waited = now - stream.arrived_at
                stream.is_late |= waited > self._objective(stream)
                self._begin_events(stream, now)
            else:
                interval = now - stream.last_event_at
                stream.is_late |= interval > model.max_event_interval
                entry.groups.record_event_interval(name, interval, now)
            stream.last_event_at = now
            stream.events_left -= 1
            if stream.events_left:
                continue
            entry.loads.end_request(name)
            self._finish(stream)
        self._streams = [stream for stream in self._streams if stream.events_left]

    def _objective(self, stream: Stream) -> float:
        return self._model.first_event_objective

    def _begin_events(self, stream: Stream, now: float) -> None:
        """Note the first event of a stream."""

    def _finish(self, stream: Stream) -> None:
        if stream.arrived_at > WARM_UP_SECONDS:
            self.outcome.late += stream.is_late
            self.outcome.in_time += not stream.is_late

    def _admit(self, now: float) -> None:
        number = self._arrivals.randrange(self._model.entries)
        events = max(1, round(self._arrivals.expovariate(1.0 / self._model.events)))
        entry = self._entries[number]
        limit = self._model.slots * self._share_of(entry)
        choice = choose_server(
            self._records,
            entry.loads,
            lambda record: 1.0,
            lambda record: int(limit + self._random.random()),
            "z",
            self._random,
            now,
        )
        if not isinstance(choice, ChosenServer):
            self.outcome.refused += now > WARM_UP_SECONDS
            return
        entry.loads.begin_request(choice.record.name)
        rank = self._records.index(choice.record)
        self._streams.append(Stream(number, rank, now, events))
        if self._announces_at_once:
            self._announce(number, now)

    def _announce(self, number: int, now: float) -> None:
        counts = self._entries[number].loads.in_flight_by_name()
        for other, entry in enumerate(self._entries):
            if other != number:
                entry.loads.record_peer_counts(str(number), counts, now)

    def _exchange(self, now: float) -> None:
        """Let the entries tell each other their loads and adjust their limits."""
        if now - self._announced_at < SEND_INTERVAL_SECONDS:
            return
        self._announced_at = now
        slots = self._model.slots * self._model.ranks
        for number in range(len(self._entries)):
            self._announce(number, now)
        for entry in self._entries:
            requests = sum(entry.loads.estimate(r.name, now) for r in self._records)
            entry.limit.adjust(
                GROUP,
                1,
                entry.groups.find_pace(GROUP, now),
                requests / slots,
                self._model.max_event_interval,
                now,
            )


def compare(
    loads: Sequence[float], seconds: float, seed: int
) -> list[tuple[str, float, Outcome]]:
    """Return what callers got for each load and limit."""
    return [
        (name, load, LockStepSimulation(GroupModel(), share, load, seed).run(seconds))
        for load in loads
        for name, share in LIMIT_BY_NAME.items()
    ]


def _table_row(name: str, load: float, outcome: Outcome) -> list[str]:
    passes = sorted(outcome.pass_seconds)
    return [
        name,
        f"{load:g}",
        f"{outcome.in_time_share:.3f}",
        str(outcome.late),
        str(outcome.refused),
        f"{sum(outcome.in_flight) / len(outcome.in_flight):.0f}",
        f"{passes[len(passes) // 2] * 1000.0:.0f}",
        f"{passes[int(len(passes) * 0.99)] * 1000.0:.0f}",
    ]


HEADERS = ["limit", "load", "in time", "late", "refused", "in flight", "p50", "p99 ms"]


def _plot(rows: Sequence[tuple[str, float, Outcome]], path: str) -> None:
    from matplotlib import pyplot

    for name in LIMIT_BY_NAME:
        points = [(load, o.in_time_share) for limit, load, o in rows if limit == name]
        pyplot.plot(*zip(*points, strict=True), marker="o", label=name)
    pyplot.xlabel("load")
    pyplot.ylabel("streams in time")
    pyplot.legend()
    pyplot.savefig(path)


def main(arguments: list[str] | None = None) -> int:
    """Print the comparison, and plot it if asked."""
    parser = argparse.ArgumentParser("bench.lock_step", description=__doc__)
    parser.add_argument(
        "--loads", "--load", type=float, nargs="+", default=[0.8, 1.0, 1.2]
    )
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", help="file for a plot of streams in time by load")
    options = parser.parse_args(arguments)
    rows = compare(options.loads, options.seconds, options.seed)
    print(tabulate([_table_row(*row) for row in rows], headers=HEADERS))
    if options.plot:
        _plot(rows, options.plot)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
