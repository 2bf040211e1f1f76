"""coordination: compute each target's share of the next work by water-filling.

All entries see nearly the same load reports, so if each chose the least loaded target,
that target would be overloaded. Instead, the work expected from all entries until newer
reports arrive is distributed by water-filling: the least loaded targets are filled
first, up to a common level. With fresh reports and little traffic this evens out the
load; with stale reports or heavy traffic the shares become nearly equal. A stale report
also has less weight, because the requests that it counted have ended.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

MIN_REPORT_LIFETIME_SECONDS = 0.5
HORIZON_SECONDS = 1.5
"""Future work included in the distribution. With a shorter horizon (0.5 s), entries
herd on the same targets when reports are older than their stated age."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Represent the load of one target, in requests.

    :param weighted_capacity: maximum number of concurrent requests, times the
        target's weight.
    :param reported_requests: running and queued requests at the time of the report.
    :param request_delta: this entry's requests sent less those ended since the report.
    :param report_age: age of the report in seconds, infinite without one.
    """

    weighted_capacity: float
    reported_requests: float
    request_delta: float
    report_age: float


def compute_shares(
    loads: Sequence[TargetLoad],
    requests_per_second: float,
) -> list[float]:
    """Return each target's share of the next work; the shares add up to one.

    :param requests_per_second: total request rate of all entries.
    """
    if not loads:
        return []
    reported_loads = [load for load in loads if load.report_age != float("inf")]
    size = sum(load.weighted_capacity for load in reported_loads)
    mean = (
        sum(load.reported_requests for load in reported_loads) / size
        if size > 0.0
        else 0.0
    )
    report_lifetime = MIN_REPORT_LIFETIME_SECONDS
    if requests_per_second > 0.0:
        report_lifetime = max(
            report_lifetime,
            sum(load.reported_requests for load in reported_loads)
            / requests_per_second,
        )
    levels = []
    for load in loads:
        report_weight = exp(-load.report_age / report_lifetime)
        expected = mean + report_weight * (
            load.reported_requests / max(load.weighted_capacity, 1e-9) - mean
        )
        levels.append(expected + load.request_delta / max(load.weighted_capacity, 1e-9))
    ages = [load.report_age for load in reported_loads]
    age = sum(ages) / len(ages) if ages else 0.0
    amount = max(1.0, requests_per_second * (age + HORIZON_SECONDS))
    sizes = [load.weighted_capacity for load in loads]
    level = find_water_level(levels, sizes, amount)
    amounts = [
        size * max(0.0, level - own) for own, size in zip(levels, sizes, strict=True)
    ]
    total = sum(amounts)
    if total <= 0.0:
        return [1.0 / len(loads)] * len(loads)
    return [part / total for part in amounts]


def find_water_level(
    levels: Sequence[float],
    sizes: Sequence[float],
    amount: float,
) -> float:
    """Return the common level after water-filling targets with an amount of work.

    :param levels: initial level of each target.
    :param sizes: amount that raises the level of each target by one.
    """
    order = sorted(range(len(levels)), key=levels.__getitem__)
    total_size = 0.0
    volume = 0.0
    level = 0.0
    for position, index in enumerate(order):
        total_size += sizes[index]
        volume += sizes[index] * levels[index]
        if total_size <= 0.0:
            continue
        level = (amount + volume) / total_size
        if position + 1 == len(order) or level <= levels[order[position + 1]]:
            return level
    return level
