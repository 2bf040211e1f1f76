"""state: the sheet, which says who gets what capacity, when and from which servers.

A `Sheet` is built only from content that passed `sheet_check`, so its references
resolve. It is immutable; a new revision is a new object.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

MOST_URGENT_PRIORITY = 0
LEAST_URGENT_PRIORITY = 9
DEFAULT_PRIORITY = 5
DEFAULT_TICKET_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class Firm:
    """Describe one of the organisations that share backend servers.

    :param time_zone: IANA name; the firm's claims are in this local time.
    :param skew_weight: weight of step-time skew against rebalancing cost.
    :param rebalance_weight: weight of the cost of rebalancing.
    """

    name: str
    time_zone: str
    skew_weight: float
    rebalance_weight: float


@dataclass(frozen=True, slots=True)
class Zone:
    """Describe an availability zone.

    :param entries: number of entry instances that the zone should have.
    """

    name: str
    region: str
    entries: int


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Describe a client account and its limits.

    :param key_sha256: SHA-256 of the bearer key as hex.
    :param max_priority: the most urgent priority it may ask for, 0 being highest.
    """

    name: str
    firm: str
    key_sha256: str
    requests_per_second: float
    concurrency: int
    tokens_per_minute: float
    max_priority: int = DEFAULT_PRIORITY


class ServerState(Enum):
    """Say whether a backend server takes new work by the sheet."""

    SERVING = "serving"
    JOINING = "joining"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe a backend server.

    :param address: IP and port of its agent's HTTP listener.
    :param control_address: IP and port of its agent's control socket.
    :param slots: requests it runs at once.
    :param checks_fencing: whether its engine refuses orders with old fencing numbers.
    """

    name: str
    zone: str
    address: str
    control_address: str
    state: ServerState
    slots: int
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class ModelGroup:
    """Describe a group of ranks that run in lock-step.

    :param ranks: backend server names by rank number; rank 0 takes the requests.
    :param firm: owner, or empty for a pool shared by claims.
    :param weight: share of new work relative to other groups of the model.
    """

    name: str
    model: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    ranks: tuple[str, ...]
    firm: str
    experts: int
    layers: int
    weight: float = 1.0

    @property
    def front_server(self) -> str:
        """Return the backend server that takes the group's requests."""
        return self.ranks[0]


@dataclass(frozen=True, slots=True)
class IdempotentRule:
    """Name calls of a service that may be repeated.

    :param method: HTTP method in capitals, or `*`.
    :param path_prefix: beginning of the path below the service.
    """

    method: str
    path_prefix: str


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a plain service.

    :param idempotent: calls that may be repeated; all others are non-idempotent.
    :param require_ticket: whether a non-idempotent call without ticket and key is
        refused.
    :param ticket_seconds: how long a ticket and its stored answer are kept.
    """

    name: str
    backend_servers: tuple[str, ...]
    idempotent: tuple[IdempotentRule, ...]
    require_ticket: bool = False
    ticket_seconds: float = DEFAULT_TICKET_SECONDS

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be repeated.

        :param path: path below the service, beginning with a slash.
        """
        return any(
            rule.method in ("*", method) and path.startswith(rule.path_prefix)
            for rule in self.idempotent
        )


@dataclass(frozen=True, slots=True)
class Claim:
    """Give a firm a share of a pool during local hours.

    :param pool: model group name.
    :param days: 0 for Monday to 6 for Sunday, the days on which the period begins.
    :param from_minute: minute of the local day.
    :param to_minute: minute of the local day, past midnight if not after
        `from_minute`.
    :param share: 0 to 1.
    """

    pool: str
    firm: str
    days: tuple[int, ...]
    from_minute: int
    to_minute: int
    share: float


@dataclass(frozen=True, slots=True)
class Sheet:
    """Hold one accepted revision, with its records by key.

    :param revision: rises with each published sheet.
    :param digest: digest of the manifest.
    :param routing_digest: digest over all parts other than accounts.
    """

    revision: int
    digest: str
    routing_digest: str
    firm_by_name: Mapping[str, Firm]
    zone_by_name: Mapping[str, Zone]
    account_by_name: Mapping[str, ClientAccount]
    server_by_name: Mapping[str, BackendServer]
    group_by_name: Mapping[str, ModelGroup]
    service_by_name: Mapping[str, Service]
    claims_by_pool: Mapping[str, tuple[Claim, ...]]
    account_by_key_hash: Mapping[str, ClientAccount] = field(init=False)
    groups_by_model: Mapping[str, tuple[ModelGroup, ...]] = field(init=False)

    def __post_init__(self) -> None:
        """Derive the collections that follow from others."""
        by_key_hash = {
            account.key_sha256: account for account in self.account_by_name.values()
        }
        by_model: dict[str, tuple[ModelGroup, ...]] = {}
        for group in self.group_by_name.values():
            by_model[group.model] = (*by_model.get(group.model, ()), group)
        object.__setattr__(self, "account_by_key_hash", by_key_hash)
        object.__setattr__(self, "groups_by_model", by_model)
