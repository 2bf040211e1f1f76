"""state: one version of the operator's configuration for direct entries.

A direct entry takes routes, services, client accounts and listener limits from a
published document instead of a sheet. The records here are independent of the field
names of that document's format.
"""

from dataclasses import dataclass
from enum import Enum


class RequestKind(Enum):
    """Represent the repeatability of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Represent the weight of a service in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Represent a route: the requests to one host below one path prefix.

    :param timeout_seconds: time limit for the complete response.
    :param target_latency_seconds: latency objective of the response or of the first
        stream event.
    :param event_interval_seconds: objective for the interval between stream events,
        0 if the route sets none.
    :param priority: 0 is the highest priority.
    :param weighted_services: services that serve the route and their weights.
    :param max_attempts: maximum number of servers to which a request is sent.
    :param public: whether requests need no API key.
    :param resumable: whether an interrupted stream may resume at another server.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_seconds: float
    target_latency_seconds: float
    event_interval_seconds: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def retryable(self) -> bool:
        """Return whether a request that may already have run may be retried."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.NON_IDEMPOTENT:
                return False
            case RequestKind.STREAM:
                return self.resumable


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Represent the capacity of a model service's engines.

    :param batch_slots: maximum batch size of one engine, in requests.
    :param kv_cache_tokens: KV-cache capacity of one engine, in tokens.
    :param layer_sets: number of layer sets that each share an expert map,
        0 without experts.
    :param experts_per_set: number of experts per layer set.
    :param expert_slots: expert slots per rank and layer set.
    :param max_added_experts: maximum number of experts that one order may add to a
        rank, per layer set.
    :param expert_copy_seconds: time that a rank needs to copy one expert.
    """

    batch_slots: int
    kv_cache_tokens: int
    layer_sets: int
    experts_per_set: int
    expert_slots: int
    max_added_experts: int
    expert_copy_seconds: float


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Represent the configuration of a service.

    :param engine: capacity of the model engines, None for a plain service.
    :param cold_seconds: time for which a server is cold after its start.
    :param cold_per_second: requests per second that a cold server accepts from all
        entries together, 0 if they are not limited.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class ConfigAccount:
    """Represent the configuration of a client account.

    :param priority: overrides the route's priority unless None.
    """

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Represent the size limits and time-outs of a listener.

    :param header_timeout_seconds: time-out for receiving a request header.
    :param idle_timeout_seconds: time-out of an idle connection.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Represent one version of the configuration, indexed for look-ups.

    :param routes_by_host: routes of each host, longest prefix first.
    :param requires_keys: whether requests on non-public routes need an API key.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceConfig]
    account_by_key: dict[str, ConfigAccount]
    requires_keys: bool
    limits: ListenerLimits

    def min_event_interval_seconds(self) -> float:
        """Return the lowest event-interval objective of any route, 0 without one."""
        intervals = [
            route.event_interval_seconds
            for routes in self.routes_by_host.values()
            for route in routes
            if route.event_interval_seconds > 0.0
        ]
        return min(intervals, default=0.0)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: len(route.prefix), reverse=True))
        for host, found in routes_by_host.items()
    }
