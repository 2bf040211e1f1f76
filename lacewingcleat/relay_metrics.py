"""coordination: metrics of a sheet relay."""

from dataclasses import dataclass, fields

from lacewingcleat.change_times import STAGES
from lacewingcleat.sheet_relay import SheetRelay

METRIC_PREFIX = "lacewing_sheet"


@dataclass(frozen=True, slots=True)
class RelayMetric:
    """Represent the value of one metric.

    :param name: metric name; a name ending in `_total` denotes a counter.
    :param stage: value of the `stage` label, empty for metrics without it.
    """

    name: str
    value: float
    stage: str = ""


def collect_relay_metrics(relay: SheetRelay, now: float) -> list[RelayMetric]:
    """Return the current metrics of a relay."""
    metrics = [
        RelayMetric(f"{METRIC_PREFIX}_revision", float(relay.revision)),
        RelayMetric(f"{METRIC_PREFIX}_ready", float(relay.ready(now))),
        RelayMetric(f"{METRIC_PREFIX}_reader", float(relay.is_reader)),
        RelayMetric(f"{METRIC_PREFIX}_held_parts", float(relay.held_parts)),
    ]
    for item in fields(relay.counts):
        value = float(getattr(relay.counts, item.name))
        metrics.append(RelayMetric(f"{METRIC_PREFIX}_{item.name}_total", value))
    if relay.recent_changes:
        change = relay.recent_changes[-1]
        for stage in STAGES:
            value = float(getattr(change, stage))
            metrics.append(RelayMetric(f"{METRIC_PREFIX}_stage_seconds", value, stage))
    return metrics
