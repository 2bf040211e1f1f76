"""Account limits: use of the limit, its bound in partitions, and control traffic.

Run alone with `python -m bench.limits`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import numpy as np

from bench.limits_model import (
    STEP_SECONDS,
    LimitsModel,
    make_account,
    make_sheet,
    message_size,
)
from bench.measure import Direction, Measure
from lacewingcleat.account_limits import LimitPermit, LimitRefusal
from lacewingcleat.home_limits import LOAN_DEMANDS_PER_SECOND
from lacewingcleat.messages import LimitDemand, LimitDemands, LimitLease, LimitLeases

SEED = 1
LIMIT = 120.0
SETTLED_SECONDS = 16.0
MEASURED_SECONDS = 40.0
ZONES = {"regina": 8, "saskatoon": 8, "brandon": 8}
OVERLOAD = 1.5

# The target in two years.
TARGET_ACCOUNTS = 5600
TARGET_ENTRIES = 350
TARGET_ZONES = 31
TARGET_REQUESTS_PER_SECOND = 8700
MAX_BYTES_PER_SECOND = 29_000
MAX_MESSAGES_PER_SECOND = 300


def admitted_share(weight_of: Callable[[str, float], float]) -> tuple[float, float]:
    """Return the parts of the limit used with leases and with a static split.

    :param weight_of: relative demand by entry name and time.
    """
    model = LimitsModel(make_sheet([make_account("a", LIMIT)], ZONES))
    names = list(model.entry_by_name)
    model.run(SETTLED_SECONDS)
    random = Random(SEED)
    start = model.now
    admitted = 0
    static = 0.0
    level_by_name = dict.fromkeys(names, 0.0)
    rate = LIMIT / len(names)
    while model.now < start + 10.0 + MEASURED_SECONDS:
        model.step()
        weights = [weight_of(name, model.now - start) for name in names]
        offered = round(LIMIT * OVERLOAD * STEP_SECONDS)
        measured = model.now >= start + 10.0
        for name in names:
            level_by_name[name] = min(level_by_name[name] + rate * STEP_SECONDS, rate)
        for name in random.choices(names, weights, k=offered):
            permit = model.admit(name, "a")
            if permit is not None:
                model.entry_by_name[name].limits.finish(permit, 1, model.now)
                admitted += measured
            if level_by_name[name] >= 0.0:
                level_by_name[name] -= 1.0
                static += measured
    whole = LIMIT * MEASURED_SECONDS
    return admitted / whole, static / whole


def use_of_the_limit() -> list[Measure]:
    """Measure what is left unused at 1.5 times the limit of demand."""
    patterns: dict[str, Callable[[str, float], float]] = {
        "even": lambda name, at: 1.0,
        "one zone": lambda name, at: float(name.startswith("regina")),
        "one entry": lambda name, at: float(name == "regina-0"),
        "80% in one zone": lambda name, at: 8.0 if name.startswith("regina") else 1.0,
        "entry changes every 10 s": lambda name, at: float(
            name == f"regina-{int(at / 10) % 8}",
        ),
    }
    measures = []
    for pattern, weight_of in patterns.items():
        leased, static = admitted_share(weight_of)
        label = f"limits: unused, {pattern}"
        measures += [
            Measure(label, max(0.0, 1 - leased), "share"),
            Measure(f"{label}, static split", max(0.0, 1 - static), "share"),
        ]
    return measures


def bound_in_partitions() -> list[Measure]:
    """Measure the largest excess over the rate against its bound, under partitions."""
    model = LimitsModel(make_sheet([make_account("a", LIMIT)], ZONES))
    names = list(model.entry_by_name)
    random = Random(SEED)
    model.run(SETTLED_SECONDS)
    excess = largest = 0.0
    for _ in range(40):
        model.side_by_name = {name: random.randrange(3) for name in names}
        if random.random() < 0.3:
            model.side_by_name = {}
        model.observe()
        flooded = random.sample(names, random.choice([1, 4, 24]))
        for _ in range(random.choice([8, 20, 60])):
            model.step()
            excess = max(0.0, excess - LIMIT * STEP_SECONDS)
            for name in flooded:
                while (permit := model.admit(name, "a")) is not None:
                    model.entry_by_name[name].limits.finish(permit, 1, model.now)
                    excess += 1.0
            largest = max(largest, excess)
    bound = LIMIT * 1.0 + len(names)
    return [
        Measure(
            "limits: excess in partitions",
            largest,
            "requests",
            bound,
            Direction.AT_MOST,
        ),
    ]


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold the traffic per process at one size."""

    entries: int
    rate: float
    messages: float
    size: float


def traffic_at(entries: int, accounts: int, rate: float, zones: int = 3) -> Sample:
    """Measure one zone with the demand of its share of the accounts.

    :param rate: requests a second at each entry.
    """
    records = [make_account(f"account-{n:04d}", 10.0) for n in range(accounts)]
    zone_entries = {f"z{n}": entries if n == 0 else 0 for n in range(zones)}
    model = LimitsModel(make_sheet(records, zone_entries))
    model.run(SETTLED_SECONDS)
    for entry in model.entry_by_name.values():
        entry.traffic.received = entry.traffic.sent = 0
        entry.traffic.received_bytes = entry.traffic.sent_bytes = 0
    random = Random(SEED)
    # A few accounts are large: weights fall with the rank.
    weights = [1.0 / (n + 1) for n in range(accounts)]
    seconds = 20.0
    for _ in range(round(seconds / STEP_SECONDS)):
        model.step()
        count = round(rate * STEP_SECONDS)
        for name, entry in model.entry_by_name.items():
            for record in random.choices(records, weights, k=count):
                permit = model.admit(name, record.name)
                if permit is not None:
                    entry.limits.finish(permit, 1, model.now)
    traffic = [entry.traffic for entry in model.entry_by_name.values()]
    process_seconds = len(traffic) * seconds
    return Sample(
        entries,
        rate,
        sum(item.received for item in traffic) / process_seconds,
        sum(item.received_bytes + item.sent_bytes for item in traffic)
        / process_seconds,
    )


def loan_traffic(zones: int) -> tuple[float, float]:
    """Return messages received and bytes per second of a process, for loans alone.

    All accounts are busy in one zone only, beyond the zone's share.
    """
    accounts = [make_account(f"account-{n:04d}", 6.0) for n in range(24)]

    def measure(skewed: bool) -> tuple[float, float]:
        model = LimitsModel(make_sheet(accounts, {f"z{n}": 3 for n in range(zones)}))
        names = [name for name in model.entry_by_name if name.startswith("z0-")]
        model.run(SETTLED_SECONDS)
        for _ in range(80):
            model.step()
            for name in names:
                for account in accounts:
                    offers = 2 if skewed else 0
                    for _ in range(offers):
                        permit = model.admit(name, account.name)
                        if permit is not None:
                            limits = model.entry_by_name[name].limits
                            limits.finish(permit, 1, model.now)
        traffic = [model.entry_by_name[name].traffic for name in names]
        seconds = model.now * len(names)
        return (
            sum(item.received for item in traffic) / seconds,
            sum(item.received_bytes + item.sent_bytes for item in traffic) / seconds,
        )

    busy = measure(True)
    idle = measure(False)
    return busy[0] - idle[0], busy[1] - idle[1]


def control_traffic() -> list[Measure]:
    """Fit the traffic per process over sizes and extrapolate it to the target."""
    sizes = [(3, 60, 6.0), (6, 240, 12.0), (9, 960, 18.0), (12, 1920, 24.0)]
    sizes += [(3, 1920, 24.0), (12, 60, 6.0), (6, 960, 24.0)]
    samples = [traffic_at(*size) for size in sizes]
    matrix = np.array([[1.0, item.entries, item.rate] for item in samples])
    columns = [[item.messages for item in samples], [item.size for item in samples]]
    target = np.array(
        [
            1.0,
            TARGET_ENTRIES / TARGET_ZONES,
            TARGET_REQUESTS_PER_SECOND / TARGET_ENTRIES,
        ],
    )
    messages_fit, bytes_fit = (
        np.linalg.lstsq(matrix, np.array(column), rcond=None)[0] for column in columns
    )
    measures = [
        Measure("limits: messages per entry of the zone", messages_fit[1], "1/s"),
        Measure("limits: messages per request/s", messages_fit[2], "1/s"),
        Measure("limits: bytes per entry of the zone", bytes_fit[1], "B/s"),
        Measure("limits: bytes per request/s", bytes_fit[2], "B/s"),
    ]
    for zones in (2, 4, 8):
        loan_messages, loan_bytes = loan_traffic(zones)
        label = f"limits: skewed over idle demand, {zones} zones"
        measures += [
            Measure(f"{label}, messages", loan_messages, "1/s"),
            Measure(f"{label}, bytes", loan_bytes, "B/s"),
        ]
    messages = float(messages_fit @ target)
    size = float(bytes_fit @ target)
    # As borrower and as lender, each demand for a loan has one answer.
    loans = 2 * LOAN_DEMANDS_PER_SECOND
    demand = LimitDemand("account-0000", 2**60, 1.5, 3, 100.5, True, 2)
    lease = LimitLease("account-0000", 2**60, 1.5, 3, 100.5, 6.0, True)
    loan_size = message_size(LimitDemands((demand,))) + message_size(
        LimitLeases((lease,)),
    )
    whole = traffic_at(11, TARGET_ACCOUNTS, float(target[2]), TARGET_ZONES)
    return [
        *measures,
        Measure(
            "limits: messages received at the target, extrapolated",
            messages,
            "1/s",
            MAX_MESSAGES_PER_SECOND,
            Direction.AT_MOST,
        ),
        Measure(
            "limits: bytes at the target, extrapolated",
            size,
            "B/s",
            MAX_BYTES_PER_SECOND,
            Direction.AT_MOST,
        ),
        Measure(
            "limits: messages received at the target with all loans",
            messages + loans,
            "1/s",
            MAX_MESSAGES_PER_SECOND,
            Direction.AT_MOST,
        ),
        Measure(
            "limits: bytes at the target with all loans",
            size + loans * loan_size,
            "B/s",
            MAX_BYTES_PER_SECOND,
            Direction.AT_MOST,
        ),
        Measure("limits: messages in one zone of the target", whole.messages, "1/s"),
        Measure("limits: bytes in one zone of the target", whole.size, "B/s"),
    ]


def retry_accuracy() -> list[Measure]:
    """Measure whether refused callers are admitted when they come back as told.

    One entry gets a burst of 1.5 or 3 times the limit for 10 s, then half of the limit.
    """
    measures = []
    for factor in (1.5, 3.0):
        model = LimitsModel(make_sheet([make_account("a", LIMIT)], ZONES))
        model.run(SETTLED_SECONDS)
        name = "regina-0"
        limits = model.entry_by_name[name].limits
        start = model.now
        back: list[float] = []
        told = kept = 0
        while model.now < start + 70.0:
            model.step()
            returning = [at for at in back if at <= model.now]
            back = [at for at in back if at > model.now]
            rate = LIMIT * (factor if model.now < start + 10.0 else 0.5)
            for index in range(len(returning) + round(rate * STEP_SECONDS)):
                # The refused caller repeats until it is admitted.
                decision = model.decide(name, "a")
                if isinstance(decision, LimitPermit):
                    limits.finish(decision, 1, model.now)
                    kept += index < len(returning)
                elif isinstance(decision, LimitRefusal):
                    back.append(model.now + decision.retry_after_seconds)
            told += len(returning)
        label = f"limits: burst of {factor}x"
        measures += [
            Measure(f"{label}, told to come back", told, "calls"),
            Measure(f"{label}, admitted when back as told", kept / told, "share"),
        ]
    return measures


def run() -> list[Measure]:
    """Measure the account limits."""
    return [
        *use_of_the_limit(),
        *bound_in_partitions(),
        *retry_accuracy(),
        *control_traffic(),
    ]


if __name__ == "__main__":
    for measure in run():
        print(f"{measure.name}: {measure.value:.4g} {measure.unit} ok={measure.ok}")
