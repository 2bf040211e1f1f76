"""Play streams of three priorities at a lock-step group that lacks capacity.

Many entries with unequal numbers of callers admit streams to one group. Each learns the
counts of the others late, as `LoadGossip` sends them. Refused callers return once after
the time that they were told; some repeat at once instead. Compares the decision without
priorities with the one of `priority_admission`. The deciding modules are those of the
program; time is simulated.

    python -m bench.priority_load --entries 29 --load 1.4 --seed 3
"""

import argparse
import heapq
import itertools
from dataclasses import dataclass, field

from tabulate import tabulate

from bench.lock_step import (
    GROUP,
    SERVICE,
    WARM_UP_SECONDS,
    GroupModel,
    LockStepSimulation,
    Stream,
    adaptive_share,
)
from lacewingcleat.load_gossip import (
    COUNTS_TTL_INTERVALS,
    FANOUT,
    SEND_INTERVAL_SECONDS,
)
from lacewingcleat.priority_admission import PriorityAdmission
from lacewingcleat.retry_after import (
    NotRunCause,
    RefusedRequests,
    priority_retry_after_seconds,
    retry_after_seconds,
)
from lacewingcleat.server_choice import ChosenServer, ServerChoice, choose_server
from lacewingcleat.waiting_requests import FirstEventTimes, Waiting, WaitingRequests

DEFAULT_SECONDS = 30.0
TICK_SECONDS = 0.25
DEADLINE_SECONDS = 8.0
# Share of the callers that repeat at once instead of waiting, how often and how fast.
IMPATIENT_SHARE = 0.1
IMPATIENT_REPEATS = 4
IMPATIENT_SECONDS = 0.03
# Accounts and how much they ask; the first ones are large.
ACCOUNTS = 24
ACCOUNT_WEIGHTS = [12.0] * 3 + [1.0] * (ACCOUNTS - 3)
# Occupancy above the share at which the group is full, see `direct_state`.
MAX_OCCUPANCY_RATIO = 1.1
GROUP_MODEL = GroupModel(
    ranks=32,
    slots=5,
    entries=29,
    events=23.0,
    expert_seconds=0.00025,
)


@dataclass(frozen=True, slots=True)
class Class:
    """Describe the callers of one priority.

    :param rate: arrivals a second at load 1.
    :param value: value of a stream in time, and the share of it if it is late.
    :param burst: factor, beginning and end of a burst, repeated.
    """

    rate: float
    value: float
    late_share: float
    objective: float
    burst: tuple[float, float, float] = (1.0, 0.0, 0.0)


# Half of the rates of the larger deployment, which has two groups.
CLASSES = (
    Class(20.6, 3.0, 0.3, 0.406, (1.8, 14.0, 17.0)),
    Class(27.3, 1.6, 0.41, 0.407),
    Class(9.1, 0.8, 0.3, 0.807, (2.2, 7.0, 12.0)),
)
BURST_PERIOD_SECONDS = 15.0


@dataclass(slots=True)
class Caller:
    """Represent a caller through all its attempts."""

    priority: int
    entry: int
    arrived_at: float
    impatient: bool
    number: int
    account: int
    attempts: int = 0
    called_at: float = 0.0


@dataclass(slots=True)
class ClassOutcome:
    """Collect what the callers of one priority got."""

    callers: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    small: int = 0
    small_served: int = 0
    impatient: int = 0
    impatient_served: int = 0
    longest_wait: float = 0.0

    @property
    def served_share(self) -> float:
        """Return the share of the callers that were served."""
        return (self.in_time + self.late) / max(1, self.callers)

    @property
    def in_time_share(self) -> float:
        """Return the share of the callers that were served in time."""
        return self.in_time / max(1, self.callers)

    def value_share(self, kind: Class) -> float:
        """Return the share of the possible value that was earned."""
        return (self.in_time + kind.late_share * self.late) / max(1, self.callers)


@dataclass(slots=True, eq=False)
class _PriorityStream(Stream):
    caller: Caller | None = None
    begun_at: float = 0.0


@dataclass(slots=True)
class Outcomes:
    """Collect what all callers got."""

    by_priority: list[ClassOutcome] = field(
        default_factory=lambda: [ClassOutcome() for _ in CLASSES]
    )

    @property
    def value_share(self) -> float:
        """Return the share of the possible value that was earned, all priorities."""
        pairs = list(zip(CLASSES, self.by_priority, strict=True))
        earned = sum(
            kind.value * got.value_share(kind) * got.callers for kind, got in pairs
        )
        return earned / max(1.0, sum(kind.value * got.callers for kind, got in pairs))


class PrioritySimulation(LockStepSimulation):
    """Play one group.

    :param by_priority: whether requests are admitted by priority.
    :param waits: whether requests wait in the entry while all servers are full.
    """

    def __init__(
        self,
        entries: int,
        load: float,
        seed: int,
        by_priority: bool,
        waits: bool = True,
    ) -> None:
        model = GROUP_MODEL
        super().__init__(model, adaptive_share, load, seed)
        self._entries = [self._make_entry() for _ in range(entries)]
        self._weights = [1.0 + 5.0 * (n % 5 == 0) + n % 3 for n in range(entries)]
        self._admissions = [PriorityAdmission() for _ in range(entries)]
        for admission, entry in zip(self._admissions, self._entries, strict=True):
            if by_priority:
                admission.set_services([SERVICE])
            rounds = max(1.0, (entries - 1) / FANOUT)
            ttl = COUNTS_TTL_INTERVALS * SEND_INTERVAL_SECONDS * rounds
            entry.loads.peer_count_ttl = admission.peer_ttl = ttl
        self._by_priority = by_priority
        self._waits = by_priority and waits
        self._queues: list[WaitingRequests[Caller]] = [
            WaitingRequests() for _ in range(entries)
        ]
        self._first_times = [FirstEventTimes() for _ in range(entries)]
        self._refused = [RefusedRequests() for _ in range(entries)]
        self._occupancies = [0.0] * entries
        self._turns = [0] * entries
        self._send_at = [self._random.random() * 0.2 for _ in range(entries)]
        self._tick_at = [self._random.random() * 0.25 for _ in range(entries)]
        self._load = load
        self._number = itertools.count()
        self._calls: list[tuple[float, int, Caller]] = []
        self.outcomes = Outcomes()
        for priority in range(len(CLASSES)):
            self._schedule(priority, 0.0)

    def play(self, seconds: float) -> Outcomes:
        """Play some seconds; return what callers got after the warm-up."""
        now = 0.0
        while now < seconds:
            end = now + self._pass_duration(now)
            self._run_pass(end)
            while self._calls[0][0] < end:
                moment, _, caller = heapq.heappop(self._calls)
                self._call(caller, moment)
            now = end
            self._exchange(now)
            self._start_waiting(now)
        return self.outcomes

    def _schedule(self, priority: int, now: float) -> None:
        """Schedule the next new caller of a priority."""
        kind = CLASSES[priority]
        factor, begin, end = kind.burst
        at = now
        while True:
            at += self._arrivals.expovariate(kind.rate * self._load * factor)
            phase = at % BURST_PERIOD_SECONDS if at > BURST_PERIOD_SECONDS else at
            in_burst = begin <= phase < end or begin <= at < end
            if in_burst or self._arrivals.random() < 1.0 / factor:
                break
        entry = self._arrivals.choices(range(len(self._entries)), self._weights)[0]
        impatient = self._arrivals.random() < IMPATIENT_SHARE
        number = next(self._number)
        account = self._random.choices(range(ACCOUNTS), ACCOUNT_WEIGHTS)[0]
        caller = Caller(priority, entry, at, impatient, number, account)
        self._push(at, caller)

    def _push(self, at: float, caller: Caller) -> None:
        heapq.heappush(self._calls, (at, next(self._number), caller))

    def _call(self, caller: Caller, now: float) -> None:
        if caller.attempts == 0:
            self._schedule(caller.priority, now)
            if now > WARM_UP_SECONDS:
                got = self.outcomes.by_priority[caller.priority]
                got.callers += 1
                got.impatient += caller.impatient
                got.small += ACCOUNT_WEIGHTS[caller.account] == 1.0
        caller.attempts += 1
        caller.called_at = now
        choice = self._choose(caller, now)
        if isinstance(choice, ChosenServer):
            self._begin(caller, choice, now)
        elif choice is not None:
            self._refuse(caller, choice, now)

    def _start_waiting(self, now: float) -> None:
        for number, queue in enumerate(self._queues):
            for late in queue.take_late(now):
                self._refuse(late.item, self._wait(late.item, 1.0, now), now)
            while (first := queue.first(SERVICE)) is not None:
                choice = self._choose_server(number, now)
                if not isinstance(choice, ChosenServer):
                    break
                queue.remove(first.item)
                self._begin(first.item, choice, now)

    def _enqueue(self, caller: Caller, now: float) -> bool:
        objective = CLASSES[caller.priority].objective
        first = self._first_times[caller.entry].estimate(SERVICE, objective)
        latest = now + objective - first
        waiting = Waiting(caller, SERVICE, caller.priority, now, latest)
        rate = self._admissions[caller.entry].free_rate(SERVICE)
        return self._queues[caller.entry].add(waiting, rate, now)

    def _choose(self, caller: Caller, now: float) -> ChosenServer | float | None:
        """Return the server, the Retry-After of a refusal, or none to wait."""
        admission = self._admissions[caller.entry]
        share, refused = 1.0, self._refused[caller.entry]
        if self._by_priority:
            fingerprint, priority = str(caller.number), caller.priority
            early = refused.seconds_early(fingerprint, now)
            if early and admission.decide(SERVICE, priority, 1.0, now).share < 1.0:
                return early
            returned = refused.take_return(fingerprint, now)
            account = str(caller.account)
            admission.record_arrival(SERVICE, priority, now, returned, account)
            decision = admission.decide(
                SERVICE, priority, self._random.random(), now, returned, account
            )
            share = decision.share
            if not decision.admitted:
                return self._wait(caller, share, now)
        choice = self._choose_server(caller.entry, now)
        if isinstance(choice, ChosenServer):
            return choice
        if self._waits and self._enqueue(caller, now):
            return None
        return self._wait(caller, share, now)

    def _choose_server(self, number: int, now: float) -> ServerChoice:
        entry = self._entries[number]
        share = entry.limit.slot_share(GROUP)
        is_full = self._occupancies[number] >= MAX_OCCUPANCY_RATIO * share
        limit = self._model.slots * share
        return choose_server(
            self._records,
            entry.loads,
            lambda record: 1.0,
            lambda record: 0.0 if is_full else int(limit + self._random.random()),
            "z",
            self._random,
            now,
        )

    def _wait(self, caller: Caller, share: float, now: float) -> float:
        """Return the Retry-After of a refused caller."""
        deadline = caller.arrived_at + DEADLINE_SECONDS
        if not self._by_priority:
            cause = NotRunCause.LOADED
            return retry_after_seconds(cause, deadline, self._random, now)
        wait = priority_retry_after_seconds(share, deadline, self._random, now)
        self._refused[caller.entry].record(str(caller.number), now + wait)
        return wait

    def _begin(self, caller: Caller, choice: ChosenServer, now: float) -> None:
        events = max(1, round(self._random.expovariate(1.0 / self._model.events)))
        entry = self._entries[caller.entry]
        entry.loads.begin_request(choice.record.name)
        self._admissions[caller.entry].record_begin(SERVICE, now)
        rank = self._records.index(choice.record)
        self._streams.append(
            _PriorityStream(
                caller.entry, rank, caller.called_at, events, None, False, caller, now
            )
        )
        got = self.outcomes.by_priority[caller.priority]
        if caller.arrived_at > WARM_UP_SECONDS:
            got.longest_wait = max(got.longest_wait, now - caller.arrived_at)
            got.impatient_served += caller.impatient
            got.small_served += ACCOUNT_WEIGHTS[caller.account] == 1.0
        zone = caller.entry % 3
        own_zone = [n for n in range(len(self._entries)) if n % 3 == zone]
        self._tell(caller.entry, own_zone, now)

    def _refuse(self, caller: Caller, wait: float, now: float) -> None:
        got = self.outcomes.by_priority[caller.priority]
        is_counted = caller.arrived_at > WARM_UP_SECONDS
        if caller.impatient and caller.attempts < IMPATIENT_REPEATS:
            self._push(now + IMPATIENT_SECONDS, caller)
        elif not caller.impatient and caller.attempts == 1:
            self._push(now + wait, caller)
        elif is_counted:
            got.refused += 1
            got.refused_again += not caller.impatient

    def _begin_events(self, stream: Stream, now: float) -> None:
        assert isinstance(stream, _PriorityStream)
        self._first_times[stream.entry].record(SERVICE, now - stream.begun_at)

    def _finish(self, stream: Stream) -> None:
        assert isinstance(stream, _PriorityStream) and stream.caller is not None
        now = stream.last_event_at or 0.0
        self._admissions[stream.entry].record_end(SERVICE, True, now)
        if stream.caller.arrived_at > WARM_UP_SECONDS:
            got = self.outcomes.by_priority[stream.caller.priority]
            got.late += stream.is_late
            got.in_time += not stream.is_late

    def _objective(self, stream: Stream) -> float:
        assert isinstance(stream, _PriorityStream) and stream.caller is not None
        return CLASSES[stream.caller.priority].objective

    def _is_connected(self, number: int, other: int, now: float) -> bool:
        """Return whether a datagram from one entry to another arrives."""
        return True

    def _restart(self, number: int, now: float) -> None:
        """Let an entry forget everything but its requests in flight."""
        former = self._admissions[number].next_message(now)
        admission = self._admissions[number] = PriorityAdmission()
        admission.set_services([SERVICE])
        admission.peer_ttl = self._entries[number].loads.peer_count_ttl
        for _ in range(sum(demand.in_flight for demand in former)):
            admission.record_begin(SERVICE, now)
        self._refused[number] = RefusedRequests()

    def _tell(self, number: int, others: list[int], now: float) -> None:
        counts = self._entries[number].loads.in_flight_by_name()
        demands = self._admissions[number].next_message(now)
        for other in others:
            if other != number and self._is_connected(number, other, now):
                loads = self._entries[other].loads
                loads.record_peer_counts(str(number), counts, now)
                self._admissions[other].record_peer(str(number), demands, now)

    def _exchange(self, now: float) -> None:
        count = len(self._entries)
        slots = self._model.slots * self._model.ranks
        for number, entry in enumerate(self._entries):
            if now >= self._send_at[number]:
                self._send_at[number] += SEND_INTERVAL_SECONDS
                others = [other for other in range(count) if other != number]
                start = self._turns[number]
                self._turns[number] = (start + FANOUT) % len(others)
                chosen = (others + others)[start : start + min(FANOUT, len(others))]
                self._tell(number, chosen, now)
            if now >= self._tick_at[number]:
                self._tick_at[number] += TICK_SECONDS
                requests = sum(entry.loads.estimate(r.name, now) for r in self._records)
                self._occupancies[number] = requests / slots
                pace = entry.groups.find_pace(GROUP, now)
                interval = self._model.max_event_interval
                entry.limit.adjust(GROUP, 1, pace, requests / slots, interval, now)
                usable = slots * entry.limit.slot_share(GROUP)
                self._admissions[number].update(SERVICE, slots, usable, requests, now)


def _rows(name: str, outcomes: Outcomes) -> list[list[str]]:
    return [
        [
            name,
            str(priority),
            str(got.callers),
            f"{got.served_share:.3f}",
            f"{got.in_time_share:.3f}",
            f"{got.value_share(CLASSES[priority]):.3f}",
            f"{got.refused_again / max(1, got.callers):.3f}",
            f"{got.impatient_served / max(1, got.impatient):.3f}",
            f"{got.small_served / max(1, got.small):.3f}",
            f"{got.longest_wait:.2f}",
            f"{outcomes.value_share:.3f}",
        ]
        for priority, got in enumerate(outcomes.by_priority)
    ]


HEADERS = [
    "decision",
    "priority",
    "callers",
    "served",
    "in time",
    "value",
    "refused again",
    "impatient served",
    "small accounts served",
    "longest wait s",
    "all value",
]


def main(arguments: list[str] | None = None) -> int:
    """Print the comparison for one number of entries and load."""
    parser = argparse.ArgumentParser("bench.priority_load", description=__doc__)
    parser.add_argument("--entries", type=int, default=29)
    parser.add_argument("--load", type=float, default=1.4)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    rows = []
    for name, by_priority in (("any priority", False), ("by priority", True)):
        simulation = PrioritySimulation(
            options.entries, options.load, options.seed, by_priority
        )
        rows += _rows(name, simulation.play(options.seconds))
    print(tabulate(rows, headers=HEADERS))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
