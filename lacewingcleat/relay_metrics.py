"""coordination: the figures of a sheet relay for metrics and `/status`."""

from dataclasses import dataclass, fields

from lacewingcleat.change_times import STAGES
from lacewingcleat.sheet_relay import SheetRelay

PREFIX = "lacewing_sheet"


@dataclass(frozen=True, slots=True)
class RelayFigure:
    """Hold one figure.

    :param name: metric name; names ending in `_total` only rise.
    :param stage: label of a stage of a change, empty for other figures.
    """

    name: str
    value: float
    stage: str = ""


def relay_figures(relay: SheetRelay, now: float) -> list[RelayFigure]:
    """Return the present figures of a relay."""
    figures = [
        RelayFigure(f"{PREFIX}_revision", float(relay.revision)),
        RelayFigure(f"{PREFIX}_ready", float(relay.ready(now))),
        RelayFigure(f"{PREFIX}_reader", float(relay.is_reader)),
        RelayFigure(f"{PREFIX}_held_parts", float(relay.held_parts)),
    ]
    for item in fields(relay.counts):
        value = float(getattr(relay.counts, item.name))
        figures.append(RelayFigure(f"{PREFIX}_{item.name}_total", value))
    if relay.recent_changes:
        change = relay.recent_changes[-1]
        for stage in STAGES:
            value = float(getattr(change, stage))
            figures.append(RelayFigure(f"{PREFIX}_stage_seconds", value, stage))
    return figures
