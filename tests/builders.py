"""Builders of test data with working defaults."""

from collections.abc import Iterable

from lacewingcleat.identity import Peer, Role
from lacewingcleat.sheet import (
    BackendServer,
    Claim,
    ClientAccount,
    Firm,
    ModelGroup,
    ServerState,
    Service,
    Sheet,
    Zone,
)


def make_peer(
    instance: str = "entry-1",
    incarnation: str = "aa",
    zone: str = "regina",
    role: Role = Role.ENTRY,
) -> Peer:
    """Build the identity of a process."""
    return Peer(instance, incarnation, zone, role)


def make_account(
    name: str = "acme",
    firm: str = "coteau",
    requests_per_second: float = 10.0,
    concurrency: int = 10,
    tokens_per_minute: float = 60_000.0,
    max_priority: int = 0,
) -> ClientAccount:
    """Build a client account whose key hash is derived from its name."""
    return ClientAccount(
        name,
        firm,
        f"{name:0>64}",
        requests_per_second,
        concurrency,
        tokens_per_minute,
        max_priority,
    )


def make_server(
    name: str = "server-1",
    zone: str = "regina",
    state: ServerState = ServerState.SERVING,
    slots: int = 8,
    checks_fencing: bool = False,
) -> BackendServer:
    """Build a backend server on a loopback address."""
    return BackendServer(
        name,
        zone,
        "127.0.0.1:9001",
        "127.0.0.1:9002",
        state,
        slots,
        checks_fencing,
    )


def make_group(
    name: str = "group-1",
    model: str = "drafting",
    ranks: Iterable[str] = ("server-1",),
    firm: str = "",
    experts: int = 8,
    layers: int = 2,
) -> ModelGroup:
    """Build a model group in the shared pool."""
    return ModelGroup(name, model, ("1",), (), tuple(ranks), firm, experts, layers)


def make_sheet(
    revision: int = 1,
    firms: Iterable[Firm] = (
        Firm("coteau", "America/Regina", 3.0, 1.0),
        Firm("kowhai", "Pacific/Auckland", 1.0, 3.0),
    ),
    zones: Iterable[Zone] = (Zone("regina", "prairie", 3),),
    accounts: Iterable[ClientAccount] | None = None,
    servers: Iterable[BackendServer] | None = None,
    groups: Iterable[ModelGroup] | None = None,
    services: Iterable[Service] = (),
    claims: Iterable[Claim] = (),
) -> Sheet:
    """Build a sheet with one account, one server and one group by default."""
    chosen_accounts = [make_account()] if accounts is None else accounts
    chosen_servers = [make_server()] if servers is None else servers
    chosen_groups = [make_group()] if groups is None else groups
    claims_by_pool: dict[str, tuple[Claim, ...]] = {}
    for claim in claims:
        claims_by_pool[claim.pool] = (*claims_by_pool.get(claim.pool, ()), claim)
    return Sheet(
        revision=revision,
        digest=f"digest-{revision}",
        routing_digest=f"routing-{revision}",
        firm_by_name={firm.name: firm for firm in firms},
        zone_by_name={zone.name: zone for zone in zones},
        account_by_name={account.name: account for account in chosen_accounts},
        server_by_name={server.name: server for server in chosen_servers},
        group_by_name={group.name: group for group in chosen_groups},
        service_by_name={service.name: service for service in services},
        claims_by_pool=claims_by_pool,
    )
