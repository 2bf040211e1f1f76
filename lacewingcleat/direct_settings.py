"""state: settings of a direct entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RuleBounds:
    """Hold the time bounds and budgets that the platform promises its users.

    :param revocation_seconds: time after which a removed key must not run.
    :param apply_seconds: time within which a configuration is in force.
    :param drain_seconds: time for which a leaving server goes on serving.
    :param grace_seconds: time between the signals to stop and to end.
    :param retry_share: repeated sends allowed for each request of a service.
    :param retry_extra: repeated sends allowed beyond the share in each window, over
        all entries.
    :param retry_window_seconds: length of the windows of the retry budget.
    :param fencing_enforced: whether engines refuse orders with an outdated token.
    """

    revocation_seconds: float
    apply_seconds: float
    drain_seconds: float
    grace_seconds: float
    retry_share: float
    retry_extra: float
    retry_window_seconds: float
    fencing_enforced: bool


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Hold the settings of one direct entry.

    :param instance: name of the instance.
    :param request_address: IP and port for callers.
    :param readiness_address: IP and port for the platform's readiness checks.
    :param control_address: IP and port for other entries, empty if there is none.
    :param seed_addresses: control addresses of some entries; may be out of date.
    :param store_address: IP and port of the platform's store.
    """

    instance: str
    zone: str
    request_address: str
    readiness_address: str
    control_address: str
    seed_addresses: tuple[str, ...]
    store_address: str
    bounds: RuleBounds
