"""protocol: the settings file that the platform writes for each process."""

from typing import Annotated

import msgspec
from result import Err, Ok, Result

from lacewingcleat.direct_settings import (
    DEFAULT_COLD_OVERSHOOT,
    DEFAULT_COLD_SLACK,
    DEFAULT_HEARTBEAT_SECONDS,
    DirectSettings,
    PlatformBounds,
)
from lacewingcleat.platform.json_body import decode_json

SETTINGS_VARIABLE = "LACEWINGCLEAT_SETTINGS"
MS_PER_SECOND = 1000.0
# Part of the rules under which requests carry the keys of client accounts.
ACCOUNT_CONTRACT = "tenants"


class _Bounds(msgspec.Struct):
    revocation_ms: float
    configuration_apply_ms: float
    drain_timeout_ms: float
    grace_period_s: float
    retry_budget_ratio: float
    retry_budget_extra: float
    budget_window_s: float

    cold_overshoot: float = DEFAULT_COLD_OVERSHOOT
    cold_slack: float = DEFAULT_COLD_SLACK


class _Store(msgspec.Struct):
    address: str


class _Listeners(msgspec.Struct):
    front: str
    readiness: str
    control: str = ""


class _Limits(msgspec.Struct):
    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=1e9)] | None = None
    file_descriptors: Annotated[int, msgspec.Meta(gt=0, le=1 << 31)] | None = None


class _File(msgspec.Struct):
    node_name: str
    zone: str
    listen_addresses: _Listeners
    bounds: _Bounds
    platform: _Store
    seeds: list[str] = []
    contracts: list[str] = []
    heartbeat_interval_ms: float = DEFAULT_HEARTBEAT_SECONDS * MS_PER_SECOND
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_settings(data: bytes) -> Result[DirectSettings, str]:
    """Decode the settings of a direct entry, or return an error message."""
    decoded = decode_json(data, _File)
    if isinstance(decoded, Err):
        return decoded
    settings = decoded.ok_value
    bounds = settings.bounds
    return Ok(
        DirectSettings(
            instance=settings.node_name,
            zone=settings.zone,
            request_address=settings.listen_addresses.front,
            readiness_address=settings.listen_addresses.readiness,
            control_address=settings.listen_addresses.control,
            seed_addresses=tuple(settings.seeds),
            store_address=settings.platform.address,
            bounds=PlatformBounds(
                revocation_seconds=bounds.revocation_ms / MS_PER_SECOND,
                config_apply_seconds=bounds.configuration_apply_ms / MS_PER_SECOND,
                drain_seconds=bounds.drain_timeout_ms / MS_PER_SECOND,
                grace_seconds=bounds.grace_period_s,
                retry_ratio=bounds.retry_budget_ratio,
                extra_retries=bounds.retry_budget_extra,
                retry_window_seconds=bounds.budget_window_s,
                heartbeat_seconds=settings.heartbeat_interval_ms / MS_PER_SECOND,
                cold_overshoot=bounds.cold_overshoot,
                cold_slack=bounds.cold_slack,
            ),
            memory_mb=settings.limits.memory_mb,
            file_descriptors=settings.limits.file_descriptors,
            uses_accounts=ACCOUNT_CONTRACT in settings.contracts,
        ),
    )
