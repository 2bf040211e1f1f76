"""transport: metrics of what clients make a process hold."""

from prometheus_client import CollectorRegistry, Gauge

from lacewingcleat.memory_budget import MemoryBudget


class ClientMetrics:
    """Define the metrics of a memory budget.

    :param prefix: beginning of the names of the metrics.
    """

    __slots__ = ("bytes_held", "connections", "cuts", "waiting")

    def __init__(self, registry: CollectorRegistry, prefix: str) -> None:
        self.bytes_held = Gauge(
            f"{prefix}_client_bytes",
            "Bytes held for requests, unread responses and responses being read, and "
            "the limits of these; no value for a limit that is not set.",
            ["kind"],
            registry=registry,
        )
        self.connections = Gauge(
            f"{prefix}_client_connections",
            "Open connections of clients and their limit, if one is set.",
            ["kind"],
            registry=registry,
        )
        self.waiting = Gauge(
            f"{prefix}_clients_waiting",
            "Requests that are not read further until memory is free.",
            registry=registry,
        )
        self.cuts = Gauge(
            f"{prefix}_client_cuts",
            "Clients refused or cut off since the start, by reason.",
            ["reason"],
            registry=registry,
        )

    def set(self, budget: MemoryBudget) -> None:
        """Set the metrics of the memory and connections of clients."""
        limits = budget.limits
        self.bytes_held.labels("held").set(budget.held_bytes)
        if limits.bytes_held is not None:
            self.bytes_held.labels("held limit").set(limits.bytes_held)
        self.connections.labels("open").set(budget.connection_count)
        if limits.connections is not None:
            self.connections.labels("limit").set(limits.connections)
        self.waiting.set(budget.waiting_count)
        for reason, count in budget.cut_count_by_reason.items():
            self.cuts.labels(reason.value).set(count)
