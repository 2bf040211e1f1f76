"""Messages, bytes and table entries that membership costs each process.

The cost is counted at several sizes, fitted by least squares and extrapolated to 350
entries and 12,000 agents in 31 zones. One zone of the target's size among 30 zones of
entries alone is counted as well, as a check on the fit.
"""

import numpy as np

from bench.fleet import Fleet, Shape
from bench.measure import Direction, Measure

WARM_UP_SECONDS = 20.0
COUNTED_SECONDS = 30.0
BOUND_BYTES_PER_SECOND = 29_000.0
TARGET = Shape(31, 11, 387)
SHAPES = (
    Shape(2, 3, 12),
    Shape(3, 5, 40),
    Shape(4, 4, 64),
    Shape(6, 6, 60),
    Shape(8, 8, 128),
    Shape(5, 11, 160),
)


def _counted(entries: int, agents_by_zone: dict[str, int]) -> Fleet:
    fleet = Fleet(entries, agents_by_zone)
    fleet.run(WARM_UP_SECONDS)
    fleet.reset_traffic()
    fleet.run(COUNTED_SECONDS)
    return fleet


def _terms(shape: Shape) -> list[float]:
    """Return what the cost of an entry depends on: agents, zone's entries, zones."""
    return [1.0, 2 * shape.agents / shape.entries, shape.entries - 1, shape.zones - 1]


def _extrapolate(costs: list[float]) -> tuple[list[float], float]:
    matrix = np.array([_terms(shape) for shape in SHAPES])
    slopes = np.linalg.lstsq(matrix, np.array(costs), rcond=None)[0]
    return [float(slope) for slope in slopes], float(slopes @ np.array(_terms(TARGET)))


def run() -> list[Measure]:
    """Count at all sizes and return the extrapolated cost."""
    reader_costs, other_costs, agent_costs, message_costs = [], [], [], []
    measures = []
    for shape in SHAPES:
        zones = {f"zone-{number:02}": shape.agents for number in range(shape.zones)}
        fleet = _counted(shape.entries, zones)
        readers, agents = fleet.readers(), fleet.agents()
        reader_costs.append(fleet.mean_octets(readers, COUNTED_SECONDS))
        # In a zone with two entries both would read; all shapes have more.
        other_costs.append(fleet.mean_octets(fleet.others(), COUNTED_SECONDS))
        agent_costs.append(fleet.mean_octets(agents, COUNTED_SECONDS))
        message_costs.append(fleet.mean_messages(readers, COUNTED_SECONDS))
        name = f"membership/{shape.zones}x{shape.entries}+{shape.agents}"
        measures.append(Measure(f"{name}/reader", reader_costs[-1], "B/s"))
        measures.append(Measure(f"{name}/entry", other_costs[-1], "B/s"))
        measures.append(Measure(f"{name}/agent", agent_costs[-1], "B/s"))
    for role, costs in (("reader", reader_costs), ("entry", other_costs)):
        slopes, cost = _extrapolate(costs)
        for term, slope in zip(("base", "agent", "entry", "zone"), slopes, strict=True):
            name = f"membership/slope/{role}/{term}"
            measures.append(Measure(name, slope, "B/s"))
        measures.append(_bounded(f"membership/target/{role}", cost))
    measures.append(_bounded("membership/target/agent", max(agent_costs)))
    messages = _extrapolate(message_costs)[1]
    measures.append(Measure("membership/target/reader-messages", messages, "1/s"))
    return measures + _target_zone()


def _target_zone() -> list[Measure]:
    zones = {f"zone-{number:02}": 0 for number in range(TARGET.zones)}
    zones["zone-00"] = TARGET.agents
    fleet = _counted(TARGET.entries, zones)
    own = [name for name in fleet.readers() if name.startswith("zone-00")]
    others = [name for name in fleet.others() if name.startswith("zone-00")]
    known = max(len(fleet.process_by_name[name].known_peers()) for name in own + others)
    return [
        _bounded("membership/zone/reader", fleet.mean_octets(own, COUNTED_SECONDS)),
        _bounded("membership/zone/entry", fleet.mean_octets(others, COUNTED_SECONDS)),
        _bounded(
            "membership/zone/agent", fleet.mean_octets(fleet.agents(), COUNTED_SECONDS)
        ),
        Measure("membership/zone/known-peers", known, "peers"),
    ]


def _bounded(name: str, value: float) -> Measure:
    return Measure(name, value, "B/s", BOUND_BYTES_PER_SECOND, Direction.AT_MOST)


if __name__ == "__main__":
    for measure in run():
        print(f"{measure.name:40} {measure.value:12.1f} {measure.unit} {measure.ok}")
