"""Overload: goodput, priorities, firms and `Retry-After` at one agent.

A seeded discrete-event model of one backend server behind an `AgentGate`. Run alone
with `python -m bench.overload`.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from bench.measure import Direction, Measure
from lacewingcleat.agent_gate import (
    AgentGate,
    GateDecision,
    GateEvent,
    GateRequest,
    Refused,
    Started,
)
from lacewingcleat.sheet import BackendServer, ServerState, Sheet

SEED = 1
SLOTS = 8
MEAN_SERVICE_SECONDS = 0.4
CAPACITY = SLOTS / MEAN_SERVICE_SECONDS
DEADLINE_SECONDS = 2.0
SECONDS = 120.0
WARM_SECONDS = 20.0
TICK_SECONDS = 0.25
GOODPUT_SHARE = 0.9
MAX_ATTEMPTS = 4


def make_sheet() -> Sheet:
    """Build a sheet with the one server."""
    address = "127.0.0.1:1"
    server = BackendServer("s", "z", address, address, ServerState.SERVING, SLOTS)
    return Sheet(1, "d", "r", {}, {}, {}, {"s": server}, {}, {}, {})


@dataclass(slots=True)
class Call:
    """Follow one caller's request over its attempts."""

    name: str
    firm: str
    priority: int
    arrived: float
    deadline: float
    service: float
    attempts: int = 0
    started: float = -1.0
    finished: float = -1.0
    retry_promise: float = 0.0
    kept_promise: bool | None = None
    refused: bool = False

    @property
    def good(self) -> bool:
        """Return whether the response came in time."""
        return 0.0 <= self.finished <= self.deadline


@dataclass(slots=True)
class Tally:
    """Hold what a run produced."""

    calls: list[Call] = field(default_factory=list)

    def goodput(self, end: float) -> float:
        """Return the good responses per second after the start, to the capacity."""
        good = sum(
            call.good and WARM_SECONDS <= call.finished < end for call in self.calls
        )
        return good / (end - WARM_SECONDS) / CAPACITY

    def good_share(self, calls: Iterable[Call]) -> float:
        """Return the part of calls that were answered in time."""
        chosen = [call for call in calls if call.arrived >= WARM_SECONDS]
        return sum(call.good for call in chosen) / max(1, len(chosen))


class ServerModel:
    """Run calls through a gate, or through an unbounded queue without one."""

    def __init__(self, shedding: bool, share_by_firm: dict[str, float]) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, str, Call | None]] = []
        self.sequence = 0
        self.call_by_id: dict[str, Call] = {}
        self.gate: AgentGate | None = None
        if shedding:
            self.gate = AgentGate("s")
            self.gate.apply_sheet(make_sheet(), 0.0)
            self.gate.set_shares(share_by_firm, 0.0)
        self.waiting: deque[Call] = deque()
        self.running = 0
        self.tally = Tally()
        self.returned_in_time: list[tuple[Call, bool]] = []

    def schedule(self, at: float, kind: str, call: Call | None = None) -> None:
        """Add an event."""
        self.sequence += 1
        heappush(self.events, (at, self.sequence, kind, call))

    def run(self, end: float) -> None:
        """Handle the events up to a moment."""
        if self.gate is not None:
            self.schedule(self.now + TICK_SECONDS, "tick")
        while self.events and self.events[0][0] <= end:
            self.now, _, kind, call = heappop(self.events)
            if kind == "tick" and self.gate is not None:
                self.take(self.gate.tick(self.now))
                self.schedule(self.now + TICK_SECONDS, "tick")
            elif kind == "offer" and call is not None:
                self.offer(call)
            elif kind == "finish" and call is not None:
                self.finish(call)

    def offer(self, call: Call) -> None:
        """Send a call to the server."""
        call.attempts += 1
        if call.attempts == 1:
            self.tally.calls.append(call)
        if self.gate is None:
            self.waiting.append(call)
            self.start_without_gate()
            return
        request_id = f"{call.name}.{call.attempts}"
        self.call_by_id[request_id] = call
        request = GateRequest(
            request_id,
            call.firm,
            call.firm,
            call.priority,
            1,
            "r",
            call.deadline,
        )
        decision: GateDecision = self.gate.admit(request, self.now)
        if call.attempts > 1 and call.kept_promise is None:
            call.kept_promise = not isinstance(decision, Refused)
        if isinstance(decision, Started | Refused):
            self.take([decision])

    def take(self, events: Iterable[GateEvent]) -> None:
        """Act on the gate's events."""
        for event in events:
            call = self.call_by_id[event.request_id]
            if isinstance(event, Started):
                call.started = self.now
                self.schedule(self.now + call.service, "finish", call)
                continue
            call.refused = True
            call.retry_promise = event.retry_after_seconds
            back = self.now + event.retry_after_seconds
            if call.attempts < MAX_ATTEMPTS and back < call.deadline:
                self.schedule(back, "offer", call)

    def finish(self, call: Call) -> None:
        """End a call."""
        call.finished = self.now
        if self.gate is None:
            self.running -= 1
            self.start_without_gate()
            return
        self.take(self.gate.finish(f"{call.name}.{call.attempts}", self.now))

    def start_without_gate(self) -> None:
        """Serve in order of arrival without any limit on the queue."""
        while self.waiting and self.running < SLOTS:
            call = self.waiting.popleft()
            self.running += 1
            call.started = self.now
            self.schedule(self.now + call.service, "finish", call)


def offer_load(
    model: ServerModel,
    rate: float,
    start: float,
    end: float,
    firm: str = "coteau",
    patience: float = DEADLINE_SECONDS,
    seed: int = SEED,
) -> None:
    """Schedule Poisson arrivals of three priorities."""
    random = Random(seed)
    at = start
    number = 0
    while (at := at + random.expovariate(rate)) < end:
        number += 1
        priority = random.choices([0, 5, 9], [1, 6, 3])[0]
        service = random.lognormvariate(0.0, 0.5) * MEAN_SERVICE_SECONDS / 1.1331
        name = f"{firm}-{start}-{number}"
        call = Call(name, firm, priority, at, at + patience, service)
        model.schedule(at, "offer", call)


def goodput_measures() -> list[Measure]:
    """Measure goodput and priorities at 1, 2 and 5 times the capacity."""
    measures = []
    for factor in (1, 2, 5):
        for shedding in (True, False):
            model = ServerModel(shedding, {"coteau": 1.0})
            offer_load(model, CAPACITY * factor, 0.0, SECONDS)
            model.run(SECONDS)
            label = f"overload: goodput at {factor}x" + (
                "" if shedding else " without shedding"
            )
            goodput = model.tally.goodput(SECONDS)
            if shedding and factor > 1:
                direction = Direction.AT_LEAST
                measure = Measure(label, goodput, "share", GOODPUT_SHARE, direction)
            else:
                measure = Measure(label, goodput, "share")
            measures.append(measure)
            if not shedding:
                continue
            for priority in (0, 5, 9):
                calls = [c for c in model.tally.calls if c.priority == priority]
                share = model.tally.good_share(calls)
                name = f"overload: answered in time at {factor}x, priority {priority}"
                measures.append(Measure(name, share, "share"))
    return measures


def firm_measures() -> list[Measure]:
    """Measure lending, claims under load and the return at the hour."""
    share = {"coteau": 0.75, "kowhai": 0.25}
    lent = ServerModel(True, share)
    offer_load(lent, CAPACITY * 2, 0.0, SECONDS, "kowhai")
    lent.run(SECONDS)
    both = ServerModel(True, share)
    for number, firm in enumerate(("coteau", "kowhai")):
        offer_load(both, CAPACITY * 2, 0.0, SECONDS, firm, seed=SEED + number)
    both.run(SECONDS)
    served = [c for c in both.tally.calls if c.good]
    coteau = sum(call.firm == "coteau" for call in served) / len(served)
    late = return_seconds()
    return [
        Measure(
            "overload: goodput of a borrower of idle slots",
            lent.tally.goodput(SECONDS),
            "share",
        ),
        Measure("overload: part of a firm with a claim of 0.75", coteau, "share"),
        Measure("overload: return after the hour, mean", sum(late) / len(late), "s"),
        Measure("overload: return after the hour, longest", max(late), "s"),
    ]


def return_seconds() -> list[float]:
    """Return the times from the hour until the claim is served, over 20 hours."""
    times = []
    for number in range(20):
        model = ServerModel(True, {"kowhai": 1.0})
        offer_load(model, CAPACITY * 2, 0.0, 40.0, "kowhai", seed=SEED + number)
        model.run(20.0)
        assert model.gate is not None
        model.now = 20.0
        model.take(model.gate.set_shares({"coteau": 1.0}, 20.0))
        offer_load(model, CAPACITY * 2, 20.0, 40.0, "coteau", seed=99 + number)
        claims = model.gate.claims
        step = 20.0
        while claims.running_requests("coteau") < SLOTS and step < 40.0:
            step += 0.01
            model.run(step)
        times.append(step - 20.0)
    return times


def retry_measures() -> list[Measure]:
    """Measure whether callers that come back as told are taken."""
    measures = []
    for factor in (1.2, 2, 5):
        model = ServerModel(True, {"coteau": 1.0})
        # A burst of 10 s on top of half the capacity; callers are patient.
        offer_load(model, CAPACITY * 0.5, 0.0, SECONDS, patience=60.0)
        extra = CAPACITY * (factor - 0.5)
        offer_load(model, extra, 30.0, 40.0, "coteau", 60.0, SEED + 1)
        model.run(SECONDS)
        told = [c for c in model.tally.calls if c.kept_promise is not None]
        kept = sum(bool(call.kept_promise) for call in told) / max(1, len(told))
        lost = sum(call.finished < 0 for call in model.tally.calls)
        label = f"overload: burst of {factor}x"
        measures += [
            Measure(f"{label}, told to come back", len(told), "calls"),
            Measure(f"{label}, taken when back as told", kept, "share"),
            Measure(f"{label}, lost", lost / len(model.tally.calls), "share"),
        ]
    return measures


def run() -> list[Measure]:
    """Measure the agent's behaviour under overload."""
    return goodput_measures() + firm_measures() + retry_measures()


if __name__ == "__main__":
    for measure in run():
        print(f"{measure.name}: {measure.value:.4g} {measure.unit} ok={measure.ok}")
