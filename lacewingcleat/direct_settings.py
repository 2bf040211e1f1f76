"""state: settings of a direct entry."""

from dataclasses import dataclass

# Used if the settings do not say how often servers renew their registration.
DEFAULT_HEARTBEAT_SECONDS = 1.2
# What a cold server accepts in a second, as a multiple of its rate and as requests
# beyond that, if the settings do not say so.
DEFAULT_COLD_OVERSHOOT = 1.5
DEFAULT_COLD_SLACK = 5.0


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Represent the time limits and retry budgets that the platform guarantees.

    :param revocation_seconds: time after which requests with a removed key are denied.
    :param config_apply_seconds: time within which a configuration is applied.
    :param drain_seconds: time for which a draining server continues to serve.
    :param grace_seconds: time between the signal to stop and the forced termination.
    :param retry_ratio: retries allowed per request of a service.
    :param extra_retries: additional retries allowed in each window, over all entries.
    :param retry_window_seconds: length of the windows of the retry budget.
    :param heartbeat_seconds: interval in which servers renew their registration.
    :param cold_overshoot: requests that a cold server accepts in a second from all
        entries together, as a multiple of its rate.
    :param cold_slack: requests that it accepts in a second beyond that.
    """

    revocation_seconds: float
    config_apply_seconds: float
    drain_seconds: float
    grace_seconds: float
    retry_ratio: float
    extra_retries: float
    retry_window_seconds: float
    heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS

    cold_overshoot: float = DEFAULT_COLD_OVERSHOOT
    cold_slack: float = DEFAULT_COLD_SLACK


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Represent the settings of one direct entry.

    :param instance: name of the instance.
    :param request_address: IP address and port for callers.
    :param readiness_address: IP address and port for the platform's readiness checks.
    :param control_address: IP address and port for peers, empty if there is none.
    :param seed_addresses: control addresses of some entries; may be out of date.
    :param store_address: IP address and port of the platform's store.
    :param memory_mb: memory of the instance in MB, none if unknown.
    :param file_descriptors: descriptors of the instance, none if unknown.
    :param uses_accounts: whether the platform has client accounts with keys.
    """

    instance: str
    zone: str
    request_address: str
    readiness_address: str
    control_address: str
    seed_addresses: tuple[str, ...]
    store_address: str
    bounds: PlatformBounds

    # Memory and descriptors of the instance
    memory_mb: float | None = None
    file_descriptors: int | None = None
    uses_accounts: bool = False
