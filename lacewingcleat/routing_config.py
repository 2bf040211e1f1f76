"""state: one version of the operator's configuration for direct entries.

A direct entry takes routes, services, client accounts and listener limits from a
published document instead of a sheet. The records say what a request may do; they hold
no names of the document's format.
"""

from dataclasses import dataclass
from enum import Enum


class RequestKind(Enum):
    """Say how often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Give a service its weight in a route's split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests of one host below one path prefix.

    :param timeout_seconds: time after which a final answer is due.
    :param target_latency_seconds: latency objective of the answer or the first event.
    :param event_interval_seconds: longest pause between events that is still on time, 0 if the
        route does not say.
    :param priority: 0 is the most urgent.
    :param weighted_services: the services that serve the route, by weight.
    :param max_attempts: servers to which one request may be sent.
    :param public: whether the route needs no key.
    :param resumable: whether a broken stream may go on at another server.
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
        """Return whether a request that may have run may be sent again."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.NON_IDEMPOTENT:
                return False
            case RequestKind.STREAM:
                return self.resumable


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Hold the speed of a model service's engines.

    :param batch_slots: requests that one engine writes at once.
    :param kv_cache_tokens: tokens that one engine can hold.
    :param layer_sets: sets of layers that share an expert map, 0 without experts.
    :param experts_per_set: experts of a set.
    :param expert_slots: experts that a rank can hold in a set.
    :param max_added_experts: experts new to a rank that one order may bring in a set.
    """

    batch_slots: int
    kv_cache_tokens: int
    layer_sets: int
    experts_per_set: int
    expert_slots: int
    max_added_experts: int


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Describe a service.

    :param engine: figures of model engines, none for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None


@dataclass(frozen=True, slots=True)
class ConfigAccount:
    """Describe a client account.

    :param priority: overrides the route's priority if it is set.
    """

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Bound what callers may send and how long they may take.

    :param header_timeout_seconds: time for the header of a request to arrive.
    :param idle_timeout_seconds: time for which a connection may be idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Hold one version of the configuration, indexed for look-ups.

    :param routes_by_host: routes of each host, the longest prefix first.
    :param requires_keys: whether requests on routes that are not public need a key.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceConfig]
    account_by_key: dict[str, ConfigAccount]
    requires_keys: bool
    limits: ListenerLimits

    def min_event_interval_seconds(self) -> float:
        """Return the shortest pause that a streaming route allows, 0 without one."""
        intervals = [
            route.event_interval_seconds
            for routes in self.routes_by_host.values()
            for route in routes
            if route.event_interval_seconds > 0.0
        ]
        return min(intervals, default=0.0)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: len(route.prefix), reverse=True))
        for host, found in routes_by_host.items()
    }
