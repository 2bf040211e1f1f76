"""coordination: how much of the next work each target should get.

Every entry sees about the same reports, so choosing the least loaded target overloads
it. Instead the work that all entries will probably send while the reports age is poured
over the targets like water: the least loaded fill up first, to a common level. With
fresh reports and little traffic this evens out the load; with old reports or much
traffic it tends to equal shares. An old report is also trusted less, because the
requests that it counted have ended.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

MIN_REPORT_LIFETIME_SECONDS = 0.5
HORIZON_SECONDS = 1.5
"""Work sent in this time from now on is shared out as well. Shorter horizons (0.5 s)
let entries herd when reports are older than they say."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Hold what is known of one target, in requests.

    :param weighted_capacity: requests it can run at once, times its weight.
    :param reported_requests: requests that it had when its report was taken.
    :param request_delta: own requests sent less those ended since the report.
    :param report_age: age of the report, infinite if there is none.
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

    :param requests_per_second: rate of all entries.
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
    """Return the common level after pouring an amount over vessels.

    :param levels: present levels.
    :param sizes: amount that raises a level by one.
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
