"""coordination: decide from the configuration whether a request may be served.

A configuration view has an age. A key may have been removed and a route added since, so
an old view neither lets a request with a key through nor denies it: the caller is told
that the request did not run and may be sent again.
"""

from dataclasses import dataclass

from lacewingcleat.routing_config import ConfigAccount, Route, RoutingConfig

# Share of the bound on removed keys up to which a view admits keys. The age counts from
# the moment at which the read was sent, so what is left covers only clock drift.
KEY_ADMISSION_AGE_FRACTION = 0.92
# Share of the bound on applying a configuration up to which a view may deny a request.
DENIAL_AGE_FRACTION = 0.9


@dataclass(frozen=True, slots=True)
class Granted:
    """Serve the request.

    :param account: none on public routes.
    """

    route: Route
    account: ConfigAccount | None

    @property
    def priority(self) -> int:
        """Return the priority of the account, else of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class DenialReason:
    """Name the reasons for which a request is not served."""

    NO_CONFIG = "no-config"
    STALE_CONFIG = "stale-config"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"


@dataclass(frozen=True, slots=True)
class Denied:
    """Refuse the request.

    :param status: HTTP status; 503 if the view is too old to tell.
    """

    status: int
    reason: str


def max_key_admission_age(revocation_seconds: float) -> float:
    """Return the age of a view beyond which it admits no key."""
    return revocation_seconds * KEY_ADMISSION_AGE_FRACTION


def authorize_request(
    config: RoutingConfig | None,
    age: float,
    host: str,
    path: str,
    key: str | None,
    revocation_seconds: float,
    apply_seconds: float,
) -> Granted | Denied:
    """Decide whether a request may be served.

    :param age: seconds since the view of the configuration was surely complete.
    :param key: key of the caller, none if there is none.
    """
    if config is None:
        return Denied(503, DenialReason.NO_CONFIG)
    may_deny = age <= apply_seconds * DENIAL_AGE_FRACTION
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
    """Return the service for a request by the weights of its route.

    :param random_fraction: uniformly distributed from 0 to 1.
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
