"""state: the sheet, the operators' configuration of capacity, accounts and servers.

A `Sheet` is built only from content that passed the checks in `sheet_check`, so all
references between its records resolve. It is immutable; each revision is a new object.
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
    """Represent an organisation that shares the backend servers with others.

    :param time_zone: IANA name of the zone in which the firm's claims are interpreted.
    :param skew_weight: weight of step-time skew in the rebalancing decision.
    :param rebalance_weight: weight of the cost of rebalancing in that decision.
    """

    name: str
    time_zone: str
    skew_weight: float
    rebalance_weight: float


@dataclass(frozen=True, slots=True)
class Zone:
    """Represent an availability zone.

    :param entries: intended number of entry instances in the zone.
    """

    name: str
    region: str
    entries: int


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Represent a client account and its limits.

    :param key_sha256: SHA-256 of the bearer key as hex.
    :param max_priority: most urgent priority it may request; 0 is the most urgent.
    """

    name: str
    firm: str
    key_sha256: str
    requests_per_second: float
    concurrency: int
    tokens_per_minute: float
    max_priority: int = DEFAULT_PRIORITY


class ServerState(Enum):
    """Represent whether a backend server accepts new work according to the sheet."""

    SERVING = "serving"
    JOINING = "joining"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Represent a backend server.

    :param address: IP and port of its agent's HTTP listener.
    :param control_address: IP and port of its agent's control socket.
    :param slots: number of requests it runs concurrently.
    :param checks_fencing: whether its engine rejects orders with outdated fencing
        numbers.
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
    """Represent a model group, whose ranks run in lock-step.

    :param ranks: backend server names by rank number; rank 0 receives the requests.
    :param firm: owner, or empty for a pool that firms share through claims.
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
        """Return the name of the backend server that receives the group's requests."""
        return self.ranks[0]


@dataclass(frozen=True, slots=True)
class IdempotentRule:
    """Match the calls of a service that are idempotent and may be retried.

    :param method: HTTP method in capitals, or `*` for any method.
    :param path_prefix: prefix of the path relative to the service.
    """

    method: str
    path_prefix: str


@dataclass(frozen=True, slots=True)
class Service:
    """Represent a service that is not a model group.

    :param idempotent: rules for calls that may be retried; all others are
        non-idempotent.
    :param require_ticket: whether a non-idempotent call that has neither a ticket nor
        an idempotency key is rejected.
    :param ticket_seconds: retention of a ticket and its stored response.
    """

    name: str
    backend_servers: tuple[str, ...]
    idempotent: tuple[IdempotentRule, ...]
    require_ticket: bool = False
    ticket_seconds: float = DEFAULT_TICKET_SECONDS

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be retried.

        :param path: path relative to the service, beginning with a slash.
        """
        return any(
            rule.method in ("*", method) and path.startswith(rule.path_prefix)
            for rule in self.idempotent
        )


@dataclass(frozen=True, slots=True)
class Claim:
    """Represent a firm's claim to a share of a pool during certain local hours.

    :param pool: name of the shared model group.
    :param days: weekdays on which the period begins, 0 for Monday to 6 for Sunday.
    :param from_minute: start of the period, as a minute of the local day.
    :param to_minute: end of the period, as a minute of the local day; it is on the next
        day unless it is after `from_minute`.
    :param share: share of the pool's slots, 0 to 1.
    """

    pool: str
    firm: str
    days: tuple[int, ...]
    from_minute: int
    to_minute: int
    share: float


@dataclass(frozen=True, slots=True)
class Sheet:
    """Represent one valid revision of the sheet, with its records indexed by key.

    :param revision: number that increases with each published sheet.
    :param digest: digest of the manifest.
    :param routing_digest: digest of all parts other than account parts.
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
        """Build the indexes that are derived from other fields."""
        by_key_hash = {
            account.key_sha256: account for account in self.account_by_name.values()
        }
        by_model: dict[str, tuple[ModelGroup, ...]] = {}
        for group in self.group_by_name.values():
            by_model[group.model] = (*by_model.get(group.model, ()), group)
        object.__setattr__(self, "account_by_key_hash", by_key_hash)
        object.__setattr__(self, "groups_by_model", by_model)
