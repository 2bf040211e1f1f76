"""transport: metrics of entries and agents.

Each process has its own registry, so that several can run in one interpreter. Only
names of low cardinality are labels. Client accounts are not, because 5,600 of them
would make the exposition larger than the budget of a node for control traffic.
"""

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from lacewingcleat.client_metrics import ClientMetrics
from lacewingcleat.latency_buckets import LATENCY_BUCKETS_SECONDS
from lacewingcleat.relay_metrics import RelayMetric


class RelayMetricsCollector(Collector):
    """Export the figures of the sheet relay, read at each collection.

    :param read_figures: returns the current figures.
    """

    def __init__(self, read_figures: Callable[[], Iterable[RelayMetric]]) -> None:
        self._read_figures = read_figures

    def collect(self) -> Iterable[Metric]:
        """Return the current figures as metric families."""
        family_by_name: dict[str, CounterMetricFamily | GaugeMetricFamily] = {}
        for figure in self._read_figures():
            family = family_by_name.get(figure.name)
            if family is None:
                labels = ["stage"] if figure.stage else []
                kind = (
                    CounterMetricFamily
                    if figure.name.endswith("_total")
                    else GaugeMetricFamily
                )
                family = kind(figure.name, "Figure of the sheet relay.", labels=labels)
                family_by_name[figure.name] = family
            family.add_metric([figure.stage] if figure.stage else [], figure.value)
        return family_by_name.values()


class ProcessMetrics:
    """Define the metrics that entries and agents have in common."""

    __slots__ = (
        "alarms",
        "clients",
        "control_bytes",
        "control_dropped",
        "control_messages",
        "crash_suspects",
        "open_requests",
        "pauses",
        "peers",
        "registry",
        "silent_zones",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.alarms = Counter(
            "lacewing_alarms_total",
            "Conditions that operators must see.",
            ["code"],
            registry=self.registry,
        )
        self.control_messages = Gauge(
            "lacewing_control_messages",
            "Control messages since the start.",
            ["direction"],
            registry=self.registry,
        )
        self.control_bytes = Gauge(
            "lacewing_control_bytes",
            "Bytes of control messages since the start.",
            ["direction"],
            registry=self.registry,
        )
        self.control_dropped = Gauge(
            "lacewing_control_dropped",
            "Control messages dropped or malformed since the start.",
            ["reason"],
            registry=self.registry,
        )
        self.open_requests = Gauge(
            "lacewing_open_requests",
            "Requests that are open.",
            registry=self.registry,
        )
        self.peers = Gauge(
            "lacewing_peers",
            "Processes known to this one.",
            ["status"],
            registry=self.registry,
        )
        self.silent_zones = Gauge(
            "lacewing_silent_zones",
            "Zones of the sheet of which no entry is heard.",
            registry=self.registry,
        )
        self.crash_suspects = Gauge(
            "lacewing_crash_suspects",
            "Requests suspected or convicted of crashes.",
            ["state"],
            registry=self.registry,
        )
        self.pauses = Counter(
            "lacewing_pauses_total",
            "Times the process noticed that it had been paused.",
            registry=self.registry,
        )
        self.clients = ClientMetrics(self.registry, "lacewing")


class EntryMetrics(ProcessMetrics):
    """Define the metrics of an entry."""

    __slots__ = (
        "first_byte_seconds",
        "limit_refusals",
        "requests",
        "retries",
        "routing_choices",
        "stream_resumes",
        "tokens",
    )

    def __init__(self) -> None:
        super().__init__()
        self.requests = Counter(
            "lacewing_requests_total",
            "Requests by outcome and code; the code is empty for regular answers.",
            ["outcome", "code"],
            registry=self.registry,
        )
        self.retries = Counter(
            "lacewing_retries_total",
            "Attempts after the first one, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.stream_resumes = Counter(
            "lacewing_stream_resumes_total",
            "Streams that went on at another backend server.",
            registry=self.registry,
        )
        self.limit_refusals = Counter(
            "lacewing_limit_refusals_total",
            "Requests refused by a client account's limit.",
            ["limit"],
            registry=self.registry,
        )
        self.routing_choices = Counter(
            "lacewing_route_rule_total",
            "Routing choices by the rule that decided.",
            ["rule"],
            registry=self.registry,
        )
        self.tokens = Counter(
            "lacewing_tokens_total",
            "Tokens passed to callers.",
            registry=self.registry,
        )
        self.first_byte_seconds = Histogram(
            "lacewing_first_byte_seconds",
            "Time from a request's arrival to the first byte of its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )


class AgentMetrics(ProcessMetrics):
    """Define the metrics of an agent."""

    __slots__ = (
        "backend_crashes",
        "gate_decisions",
        "ticket_outcomes",
        "waiting_requests",
    )

    def __init__(self) -> None:
        super().__init__()
        self.gate_decisions = Counter(
            "lacewing_agent_decisions_total",
            "Decisions of the gate by reason; `started` for admitted work.",
            ["reason"],
            registry=self.registry,
        )
        self.ticket_outcomes = Counter(
            "lacewing_ticket_outcomes_total",
            "Presented tickets by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.backend_crashes = Counter(
            "lacewing_backend_crashes_total",
            "Crashes of the engine or service.",
            registry=self.registry,
        )
        self.waiting_requests = Gauge(
            "lacewing_waiting_requests",
            "Requests waiting for a slot.",
            registry=self.registry,
        )
