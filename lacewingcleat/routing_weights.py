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

MIN_LIFE_SECONDS = 0.5
HORIZON_SECONDS = 1.5
"""Work sent in this time from now on is shared out as well. Shorter horizons (0.5 s)
let entries herd when reports are older than they say."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Hold what is known of one target, in requests.

    :param size: requests it can run at once, times its weight.
    :param reported: requests that it had when its report was taken.
    :param sent: own requests sent less those ended since the report.
    :param age: age of the report, infinite if there is none.
    """

    size: float
    reported: float
    sent: float
    age: float


def share_out(
    loads: Sequence[TargetLoad],
    requests_per_second: float,
) -> list[float]:
    """Return each target's share of the next work; the shares add up to one.

    :param requests_per_second: rate of all entries.
    """
    if not loads:
        return []
    known = [load for load in loads if load.age != float("inf")]
    size = sum(load.size for load in known)
    mean = sum(load.reported for load in known) / size if size > 0.0 else 0.0
    life = MIN_LIFE_SECONDS
    if requests_per_second > 0.0:
        life = max(life, sum(load.reported for load in known) / requests_per_second)
    levels = []
    for load in loads:
        trust = exp(-load.age / life)
        expected = mean + trust * (load.reported / max(load.size, 1e-9) - mean)
        levels.append(expected + load.sent / max(load.size, 1e-9))
    ages = [load.age for load in known]
    age = sum(ages) / len(ages) if ages else 0.0
    amount = max(1.0, requests_per_second * (age + HORIZON_SECONDS))
    sizes = [load.size for load in loads]
    level = find_level(levels, sizes, amount)
    parts = [
        size * max(0.0, level - own) for own, size in zip(levels, sizes, strict=True)
    ]
    total = sum(parts)
    if total <= 0.0:
        return [1.0 / len(loads)] * len(loads)
    return [part / total for part in parts]


def find_level(
    levels: Sequence[float],
    sizes: Sequence[float],
    amount: float,
) -> float:
    """Return the common level after pouring an amount over vessels.

    :param levels: present levels.
    :param sizes: amount that raises a level by one.
    """
    order = sorted(range(len(levels)), key=levels.__getitem__)
    filled = 0.0
    volume = 0.0
    level = 0.0
    for position, index in enumerate(order):
        filled += sizes[index]
        volume += sizes[index] * levels[index]
        if filled <= 0.0:
            continue
        level = (amount + volume) / filled
        if position + 1 == len(order) or level <= levels[order[position + 1]]:
            return level
    return level
