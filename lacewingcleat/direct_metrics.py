"""transport: metrics of a direct entry."""

from collections.abc import Mapping, Sequence

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from lacewingcleat.client_metrics import ClientMetrics
from lacewingcleat.cold_servers import ColdShare
from lacewingcleat.latency_buckets import LATENCY_BUCKETS_SECONDS
from lacewingcleat.memory_budget import MemoryBudget


class DirectMetrics:
    """Define the metrics of one process in its own registry."""

    __slots__ = (
        "admissions",
        "avoided_servers",
        "clients",
        "cold_allowance",
        "cold_requests",
        "cold_sent",
        "cold_servers",
        "config_age",
        "crashes",
        "evacuated_seconds",
        "ignored_pauses",
        "internal_errors",
        "limited_servers",
        "lost_datagrams",
        "lost_log_lines",
        "map_orders",
        "map_rounds",
        "map_skew",
        "open_requests",
        "peers",
        "refused_suspects",
        "registry",
        "reports",
        "request_seconds",
        "requests",
        "resumes",
        "retries",
        "server_connections",
        "store_calls",
        "store_era",
        "store_listings",
        "unusable_servers",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "lacewing_direct_requests_total",
            "Requests by status and reason; the reason is empty for served ones.",
            ["status", "reason"],
            registry=self.registry,
        )
        self.admissions = Counter(
            "lacewing_direct_admissions_total",
            "Requests to services with several priorities, by rank and decision.",
            ["rank", "decision"],
            registry=self.registry,
        )
        self.retries = Counter(
            "lacewing_direct_retries_total",
            "Attempts after the first one, by the end of the one before.",
            ["reason"],
            registry=self.registry,
        )
        self.resumes = Counter(
            "lacewing_direct_stream_resumes_total",
            "Streams that went on at another backend server.",
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "lacewing_direct_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self.config_age = Gauge(
            "lacewing_direct_config_age_seconds",
            "Age of the view of the configuration.",
            registry=self.registry,
        )
        self.open_requests = Gauge(
            "lacewing_direct_open_requests",
            "Requests that are open.",
            registry=self.registry,
        )
        self.store_calls = Gauge(
            "lacewing_direct_store_calls",
            "Calls to the platform's store since the start.",
            registry=self.registry,
        )
        self.store_listings = Gauge(
            "lacewing_direct_store_listings",
            "Complete listings of the platform's store since the start.",
            registry=self.registry,
        )
        self.store_era = Gauge(
            "lacewing_direct_store_era",
            "Era of the platform's store, which rises when it is restored.",
            registry=self.registry,
        )
        self.server_connections = Gauge(
            "lacewing_direct_server_connections",
            "Connections opened to backend servers since the start.",
            registry=self.registry,
        )
        self.reports = Gauge(
            "lacewing_direct_reports",
            "Reports asked of backend servers since the start.",
            registry=self.registry,
        )
        self.map_rounds = Gauge(
            "lacewing_direct_map_rounds",
            "Rounds of led groups that read the demand for experts, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.map_skew = Gauge(
            "lacewing_direct_map_skew",
            "Estimated mean skew before and after the last planned map switch.",
            ["when"],
            registry=self.registry,
        )
        self.avoided_servers = Gauge(
            "lacewing_direct_avoided_servers",
            "Servers of plain services that are slow or answer wrongly.",
            ["service"],
            registry=self.registry,
        )
        self.map_orders = Gauge(
            "lacewing_direct_map_orders",
            "Orders given to ranks since the start.",
            registry=self.registry,
        )
        self.peers = Gauge(
            "lacewing_direct_peers",
            "Entries that are known.",
            registry=self.registry,
        )
        self.crashes = Gauge(
            "lacewing_direct_server_crashes",
            "Known crashes of backend servers at the start of an answer.",
            registry=self.registry,
        )
        self.refused_suspects = Gauge(
            "lacewing_direct_refused_suspects",
            "Prompt segments and requests in enough crashes to be refused.",
            registry=self.registry,
        )
        self.limited_servers = Gauge(
            "lacewing_direct_limited_servers",
            "Backend servers that name a limit in their answers.",
            registry=self.registry,
        )
        self.unusable_servers = Gauge(
            "lacewing_direct_unusable_servers",
            "Backend servers that get no requests, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.evacuated_seconds = Gauge(
            "lacewing_direct_evacuated_seconds",
            "Time since a zone was evacuated, for zones that are.",
            ["zone"],
            registry=self.registry,
        )
        self.ignored_pauses = Gauge(
            "lacewing_direct_ignored_pauses",
            "Values of Retry-After that could not be read since the start.",
            registry=self.registry,
        )
        self.cold_servers = Gauge(
            "lacewing_direct_cold_servers",
            "Backend servers that are known to be cold.",
            registry=self.registry,
        )
        self.cold_requests = Gauge(
            "lacewing_direct_cold_requests",
            "Requests sent to cold backend servers since the start.",
            registry=self.registry,
        )
        self.cold_allowance = Gauge(
            "lacewing_direct_cold_allowance",
            "Requests per second that this entry may send to a cold backend server.",
            ["server"],
            registry=self.registry,
        )
        self.cold_sent = Gauge(
            "lacewing_direct_cold_sent",
            "Requests that this entry has sent to a backend server since it is cold.",
            ["server"],
            registry=self.registry,
        )
        self.lost_datagrams = Gauge(
            "lacewing_direct_lost_datagrams",
            "Datagrams that could not be read or sent since the start.",
            ["reason"],
            registry=self.registry,
        )
        self.internal_errors = Gauge(
            "lacewing_direct_internal_errors",
            "Internal errors since the start, each with a line in the log.",
            registry=self.registry,
        )
        self.lost_log_lines = Gauge(
            "lacewing_direct_lost_log_lines",
            "Log lines dropped since the start.",
            registry=self.registry,
        )
        self.clients = ClientMetrics(self.registry, "lacewing_direct")

    def set_clients(self, budget: MemoryBudget, response_bytes: int) -> None:
        """Set the metrics of the memory and connections of callers.

        :param response_bytes: bytes of responses that are being read from servers.
        """
        self.clients.set(budget)
        self.clients.bytes_held.labels("responses").set(response_bytes)
        limit = budget.limits.response_bytes
        if limit is not None:
            self.clients.bytes_held.labels("responses limit").set(limit)

    def show_restrictions(
        self,
        unusable_by_reason: Mapping[str, int],
        seconds_by_zone: Mapping[str, float],
    ) -> None:
        """Show the present restrictions only."""
        self.unusable_servers.clear()
        for reason, count in unusable_by_reason.items():
            self.unusable_servers.labels(reason).set(count)
        self.evacuated_seconds.clear()
        for zone, seconds in seconds_by_zone.items():
            self.evacuated_seconds.labels(zone).set(seconds)

    def count_admission(self, rank: int, decision: str) -> None:
        """Count a decision on admission."""
        self.admissions.labels(str(rank), decision).inc()

    def set_cold_servers(self, shares: Sequence[ColdShare]) -> None:
        """Show the servers that are cold now, and no others."""
        self.cold_servers.set(len(shares))
        self.cold_allowance.clear()
        self.cold_sent.clear()
        for share in shares:
            self.cold_allowance.labels(share.server).set(share.per_second)
            self.cold_sent.labels(share.server).set(share.sent)

    def count_request(self, status: int, reason: str) -> None:
        """Count a completed request.

        :param reason: empty for a request that was served.
        """
        self.requests.labels(str(status), reason[:40]).inc()
