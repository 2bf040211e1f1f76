"""coordination: authorize requests by a view of the configuration and its age.

Since the view was read, keys may have been removed and routes added. An old view
therefore neither admits a request by its key nor denies a request: the request is
reported as not run, and the caller may retry it.
"""

from dataclasses import dataclass

from lacewingcleat.routing_config import ConfigAccount, Route, RoutingConfig

# Views admit keys up to this fraction of the time within which a removed key must stop
# working. Ages count from the moment the read was sent, so the rest covers only clock
# drift.
KEY_ADMISSION_AGE_FRACTION = 0.92
# Views may deny requests up to this fraction of the time within which a configuration
# must be applied.
DENIAL_AGE_FRACTION = 0.9
# Priorities from 0 to this one are distinguished; less urgent ones count as this one.
LEAST_URGENT_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Granted:
    """Permit the request.

    :param account: account of the caller, `None` on public routes.
    """

    route: Route
    account: ConfigAccount | None

    @property
    def priority(self) -> int:
        """Return the priority of the account if it has one, else that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def rank(self) -> int:
        """Return the order of urgency among the requests of a service, 0 first.

        The priority decides, and among requests of the same one that of the route, so
        that routes differ in urgency also for accounts of the same priority.
        """
        levels = LEAST_URGENT_PRIORITY + 1
        return levels * _clamp(self.priority) + _clamp(self.route.priority)


def _clamp(priority: int) -> int:
    return min(LEAST_URGENT_PRIORITY, max(0, priority))


class DenialReason:
    """Define the reason codes of denied requests."""

    NO_CONFIG = "no-config"
    STALE_CONFIG = "stale-config"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"


@dataclass(frozen=True, slots=True)
class Denied:
    """Refuse the request.

    :param status: HTTP status; 503 if the view is too old to decide.
    """

    status: int
    reason: str


def max_key_admission_age(revocation_seconds: float) -> float:
    """Return the maximum age in seconds of a view that may admit keys."""
    return revocation_seconds * KEY_ADMISSION_AGE_FRACTION


def authorize_request(
    config: RoutingConfig | None,
    age: float,
    host: str,
    path: str,
    key: str | None,
    revocation_seconds: float,
    apply_seconds: float,
    may_be_lost: bool = False,
) -> Granted | Denied:
    """Return whether a request is permitted.

    :param age: seconds since the view of the configuration was known to be complete.
    :param key: API key of the caller, `None` if the request has none.
    :param revocation_seconds: time within which a removed key must stop working.
    :param apply_seconds: time within which a new configuration must be applied.
    :param may_be_lost: whether the store may have lost the newest configuration.
    """
    if config is None:
        return Denied(503, DenialReason.NO_CONFIG)
    may_deny = age <= apply_seconds * DENIAL_AGE_FRACTION and not may_be_lost
    route = config.find_route(host, path)
    if route is None:
        return Denied(404, DenialReason.NO_ROUTE) if may_deny else _deny_stale()
    if route.public or not config.requires_keys:
        return Granted(route, None)
    if age > max_key_admission_age(revocation_seconds):
        return _deny_stale()
    account = config.account_by_key.get(key) if key else None
    if account is None:
        return Denied(401, DenialReason.UNKNOWN_KEY) if may_deny else _deny_stale()
    return Granted(route, account)


def choose_service(route: Route, random_fraction: float) -> str:
    """Choose the service for a request at random by the weights of its route.

    :param random_fraction: random number, uniformly distributed from 0 to 1.
    """
    total = sum(item.weight for item in route.weighted_services)
    remaining = random_fraction * total
    for item in route.weighted_services:
        remaining -= item.weight
        if remaining < 0.0 and item.weight > 0.0:
            return item.service
    return next(
        (
            item.service
            for item in reversed(route.weighted_services)
            if item.weight > 0.0
        ),
        route.weighted_services[-1].service,
    )


def _deny_stale() -> Denied:
    return Denied(503, DenialReason.STALE_CONFIG)
