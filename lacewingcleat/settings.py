"""state: settings of entries and agents.

Settings give the identity of a process, its addresses and its local limits. Everything
that may change while the process runs is in the sheet.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from result import Err, Ok, Result

from lacewingcleat.addresses import is_address
from lacewingcleat.documents import parse_document
from lacewingcleat.fields import RecordReader
from lacewingcleat.findings import Finding, Findings

MAX_SETTINGS_BYTES = 64 * 1024
DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
DEFAULT_OPEN_REQUEST_LIMIT = 2_000
DEFAULT_QUEUE_LIMIT = 512
# At 8,700 requests/s, 1% is few enough traces to read and adds little overhead.
DEFAULT_TRACE_SAMPLING_RATIO = 0.01
LOG_FORMATS = ("text", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")
BACKEND_KINDS = ("engine", "service")

_Settings = TypeVar("_Settings")


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Represent the settings that entries and agents have in common.

    :param instance: stable name of the process, unique in the deployment.
    :param zone: availability zone in which the process runs.
    :param request_address: IP and port of the HTTP listener for requests.
    :param control_address: IP and port of the control socket.
    :param admin_address: IP and port of the listener for metrics and health checks.
    :param peers: control addresses of entries to contact first.
    :param body_limit_bytes: maximum size of a request body.
    :param open_request_limit: maximum number of open requests in the process.
    :param queue_limit: maximum number of queued requests in the process.
    :param trace_export_address: IP and port of the OTLP/HTTP receiver, empty for none.
    :param trace_sampling_ratio: share of new traces that are recorded, 0 to 1.
    :param memory_mb: memory of the instance in MB, none for no bound of the process.
    :param file_descriptors: descriptors of the instance, none for no bound.
    """

    instance: str
    zone: str
    request_address: str
    control_address: str
    admin_address: str
    peers: tuple[str, ...]
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    open_request_limit: int = DEFAULT_OPEN_REQUEST_LIMIT
    queue_limit: int = DEFAULT_QUEUE_LIMIT
    log_format: str = "text"
    log_level: str = "info"
    trace_export_address: str = ""
    trace_sampling_ratio: float = DEFAULT_TRACE_SAMPLING_RATIO
    memory_mb: int | None = None
    file_descriptors: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Represent the settings of an entry.

    :param config_address: IP and port of the configuration service.
    """

    config_address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings(ProcessSettings):
    """Represent the settings of an agent.

    :param server: name of its backend server in the sheet.
    :param backend_kind: `engine` or `service`.
    :param backend_address: IP and port of the engine or service behind the agent.
    """

    server: str
    backend_kind: str
    backend_address: str


def load_entry_settings(
    text: str | bytes,
    source: str,
) -> Result[EntrySettings, list[Finding]]:
    """Read the settings of an entry; return all findings at once."""
    return _load_settings(text, source, _read_entry)


def load_agent_settings(
    text: str | bytes,
    source: str,
) -> Result[AgentSettings, list[Finding]]:
    """Read the settings of an agent; return all findings at once."""
    return _load_settings(text, source, _read_agent)


def _load_settings(
    text: str | bytes,
    source: str,
    read_settings: Callable[[RecordReader], _Settings],
) -> Result[_Settings, list[Finding]]:
    parsed = parse_document(text, source, MAX_SETTINGS_BYTES)
    if isinstance(parsed, Err):
        return parsed
    findings = Findings(source, parsed.ok_value.line_of)
    reader = RecordReader(parsed.ok_value.value, "", findings)
    settings = read_settings(reader)
    reader.report_unknown_members()
    if findings.items:
        return Err(findings.items)
    return Ok(settings)


def _read_entry(reader: RecordReader) -> EntrySettings:
    return EntrySettings(
        **_read_common_settings(reader),
        config_address=reader.address("config_address"),
    )


def _read_agent(reader: RecordReader) -> AgentSettings:
    return AgentSettings(
        **_read_common_settings(reader),
        server=reader.name("server"),
        backend_kind=reader.choice("backend_kind", BACKEND_KINDS),
        backend_address=reader.address("backend_address"),
    )


def _read_common_settings(reader: RecordReader) -> dict[str, Any]:
    """Read the common settings, keyed by field of `ProcessSettings`."""
    return {
        "instance": reader.name("instance"),
        "zone": reader.name("zone"),
        "request_address": _read_advertised_address(reader, "request_address"),
        "control_address": _read_advertised_address(reader, "control_address"),
        "admin_address": reader.address("admin_address", allow_port_zero=True),
        "peers": _read_peers(reader),
        "body_limit_bytes": _read_body_limit(reader),
        "open_request_limit": _read_open_request_limit(reader),
        "queue_limit": _read_queue_limit(reader),
        "log_format": reader.choice("log_format", LOG_FORMATS, "text"),
        "log_level": reader.choice("log_level", LOG_LEVELS, "info"),
        "trace_export_address": reader.address("trace_export_address", ""),
        "trace_sampling_ratio": _read_sampling_ratio(reader),
        "memory_mb": _read_optional(reader, "memory_mb", 1_000_000),
        "file_descriptors": _read_optional(reader, "file_descriptors", 10_000_000),
    }


def _read_advertised_address(reader: RecordReader, name: str) -> str:
    """Read a listen address that peers connect to, so it cannot be a wildcard."""
    address = reader.address(name, allow_port_zero=True)
    if address.startswith(("0.0.0.0:", "[::]:")):
        reader.report(
            name, "peers connect to this address, so it must not be a wildcard"
        )
    return address


def _read_peers(reader: RecordReader) -> tuple[str, ...]:
    peers: list[str] = []
    for index, (_path, value) in enumerate(reader.items("peers", optional=True)):
        if isinstance(value, str) and is_address(value):
            peers.append(value)
        else:
            reader.report(f"peers[{index}]", "must be IP:port of an entry")
    return tuple(peers)


def _read_body_limit(reader: RecordReader) -> int:
    return reader.integer(
        "body_limit_bytes", 1_024, 64 * 1024 * 1024, DEFAULT_BODY_LIMIT_BYTES
    )


def _read_open_request_limit(reader: RecordReader) -> int:
    return reader.integer("open_request_limit", 1, 100_000, DEFAULT_OPEN_REQUEST_LIMIT)


def _read_queue_limit(reader: RecordReader) -> int:
    return reader.integer("queue_limit", 0, 100_000, DEFAULT_QUEUE_LIMIT)


def _read_sampling_ratio(reader: RecordReader) -> float:
    return reader.number("trace_sampling_ratio", 0, 1, DEFAULT_TRACE_SAMPLING_RATIO)


def _read_optional(reader: RecordReader, name: str, maximum: int) -> int | None:
    """Read a positive integer; zero and no value mean that there is no bound."""
    return reader.integer(name, 0, maximum, 0) or None
