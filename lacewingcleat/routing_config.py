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
class ServiceShare:
    """Represent the weight of a service in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Represent a route: the requests to one host below one path prefix.

    :param timeout_seconds: time limit for the complete response.
    :param target_seconds: latency objective of the response or of the first
        stream event.
    :param gap_seconds: objective for the interval between stream events,
        0 if the route sets none.
    :param priority: 0 is the highest priority.
    :param shares: services that serve the route and their weights.
    :param max_attempts: maximum number of servers to which a request is sent.
    :param public: whether requests need no API key.
    :param resumable: whether an interrupted stream may resume at another server.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_seconds: float
    target_seconds: float
    gap_seconds: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may already have run may be retried."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.NON_IDEMPOTENT:
                return False
            case RequestKind.STREAM:
                return self.resumable


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """Represent the capacity of a model service's engines.

    :param slots: maximum batch size of one engine, in requests.
    :param memory_tokens: KV-cache capacity of one engine, in tokens.
    :param sets: number of layer sets that each share an expert map,
        0 without experts.
    :param experts: number of experts per layer set.
    :param placements: expert slots per rank and layer set.
    :param spare: maximum number of experts that one order may add to a
        rank, per layer set.
    """

    slots: int
    memory_tokens: int
    sets: int
    experts: int
    placements: int
    spare: int


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Represent the configuration of a service.

    :param engine: capacity of the model engines, None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineFigures | None


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

    :param header_seconds: time-out for receiving a request header.
    :param idle_seconds: time-out of an idle connection.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Represent one version of the configuration, indexed for look-ups.

    :param routes_by_host: routes of each host, longest prefix first.
    :param needs_keys: whether requests on non-public routes need an API key.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceConfig]
    account_by_key: dict[str, ConfigAccount]
    needs_keys: bool
    limits: ListenerLimits

    def least_gap_seconds(self) -> float:
        """Return the lowest event-interval objective of any route, 0 without one."""
        gaps = [
            route.gap_seconds
            for routes in self.routes_by_host.values()
            for route in routes
            if route.gap_seconds > 0.0
        ]
        return min(gaps, default=0.0)

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
