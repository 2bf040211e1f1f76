"""protocol: format of the configuration in the platform's store."""

import msgspec
from result import Err, Ok, Result

from lacewingcleat.routing_config import (
    ConfigAccount,
    EngineCapacity,
    ListenerLimits,
    RequestKind,
    Route,
    RoutingConfig,
    ServiceConfig,
    WeightedService,
    index_routes,
)

CONFIG_KEY = "op/config"
MS_PER_SECOND = 1000.0
BITS_PER_BYTE = 8
KIND_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    target_gap_ms: float = 0.0
    priority: int = 5
    # A route has either one service or a traffic split between several.
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    slots: int
    kv_cache_tokens: int
    sets: int = 0
    experts: int = 0
    placements: int = 0
    spare: int = 0
    expert_mb: float = 0.0
    # Bandwidth between the engines, not of the machines' own links.
    link_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None
    cold_start_s: float | None = None
    cold_per_s: float | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    # Without this list, requests need no keys.
    tenants: list[_Tenant] | None = None


_DECODER = msgspec.json.Decoder(_Config)


def decode_config(
    data: bytes, uses_accounts: bool = False
) -> Result[RoutingConfig, str]:
    """Decode a version of the configuration, or return an error message.

    :param uses_accounts: whether the platform has client accounts. An empty list of
        them then means that no request has a valid key, and not that none needs one.
    """
    try:
        config = _DECODER.decode(data)
        routes = [_convert_route(route) for route in config.routes]
    except (msgspec.MsgspecError, RecursionError, KeyError) as error:
        return Err(f"{type(error).__name__}: {error}")
    limits = config.limits
    tenants = config.tenants or []
    return Ok(
        RoutingConfig(
            version=config.version,
            routes_by_host=index_routes(routes),
            service_by_name={
                item.name: _convert_service(item) for item in config.services
            },
            account_by_key={
                key: ConfigAccount(tenant.name, tenant.priority)
                for tenant in tenants
                for key in tenant.api_keys
            },
            requires_keys=bool(tenants)
            or (uses_accounts and config.tenants is not None),
            limits=ListenerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / MS_PER_SECOND,
                limits.idle_timeout_ms / MS_PER_SECOND,
            ),
        ),
    )


def _convert_route(route: _Route) -> Route:
    shares = [
        WeightedService(share.service, share.weight) for share in route.traffic_split
    ]
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=KIND_BY_NAME[route.kind],
        timeout_seconds=route.timeout_ms / MS_PER_SECOND,
        target_latency_seconds=route.target_latency_ms / MS_PER_SECOND,
        event_interval_seconds=route.target_gap_ms / MS_PER_SECOND,
        priority=route.priority,
        weighted_services=tuple(shares) or (WeightedService(route.service, 1.0),),
        max_attempts=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
    )


def _convert_service(service: _Service) -> ServiceConfig:
    engine = service.engine
    cold_seconds = max(0.0, service.cold_start_s or 0.0)
    cold_per_second = max(0.0, service.cold_per_s or 0.0)
    if engine is None:
        return ServiceConfig(
            service.name, service.max_connections, None, cold_seconds, cold_per_second
        )
    figures = EngineCapacity(
        batch_slots=engine.slots,
        kv_cache_tokens=engine.kv_cache_tokens,
        layer_sets=engine.sets,
        experts_per_set=engine.experts,
        expert_slots=engine.placements,
        max_added_experts=engine.spare,
        expert_copy_seconds=engine.expert_mb * BITS_PER_BYTE / engine.link_mbps
        if engine.link_mbps > 0.0
        else 0.0,
    )
    return ServiceConfig(
        service.name, service.max_connections, figures, cold_seconds, cold_per_second
    )
