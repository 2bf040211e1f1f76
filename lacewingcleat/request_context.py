"""coordination: context of one caller request in a direct entry."""

from dataclasses import dataclass, field

from lacewingcleat.priority_admission import Decision
from lacewingcleat.request_access import Granted
from lacewingcleat.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Represent one attempt in the request log.

    :param load: estimated number of requests at the server when it was chosen.
    :param request_sent: whether the request was written to the server.
    """

    server: str
    load: float
    seconds: float
    request_sent: bool
    outcome: str


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """Track one attempt at a server.

    :param load: estimated number of requests at the server when it was chosen.
    :param sent_at: time at which the request was written to the server, if it was.
    :param survived_start: whether the server has survived the start of its answer.
    :param has_alternative: whether another attempt was started as this one is silent.
    :param superseded: whether another attempt has begun to answer the caller.
    :param partial_event_bytes: bytes that are held of an incomplete event.
    """

    record: ServerRecord
    load: float
    started_at: float
    sent_at: float | None = None
    survived_start: bool = False
    has_alternative: bool = False
    superseded: bool = False
    partial_event_bytes: int = 0


@dataclass(slots=True, eq=False)
class RequestContext:
    """Track one request from its arrival to its response.

    :param deadline: time by which the final response must be sent.
    :param caller_deadline: time until which the caller waits.
    :param config_version: version of the configuration that admitted the request.
    :param config_age: age in seconds of the configuration at admission.
    :param shared_segments: identifiers of the prompt segments that other requests may
        share.
    :param fingerprint: hash by which sent copies of the request are recognised.
    :param send_count: number of times the request was written to a server.
    :param lost_attempts: retried attempts that the server did not refuse.
    :param may_have_run: whether an attempt has ended with an unknown result.
    :param failed_servers: names of the servers at which an attempt has failed.
    :param may_crash_servers: whether a server has crashed at the start of its answer
        and another one might.
    :param unusable_servers: number of servers by the reason for which none was chosen,
        empty if one was.
    :param cancelled: whether the caller has disconnected.
    :param admission: decision on the admission, if the service has several priorities.
    :param first_event_at: time at which the first event was forwarded.
    :param longest_event_interval: longest time in seconds between two forwarded events.
    """

    request_id: str
    granted: Granted
    service: str
    arrived_at: float
    deadline: float
    caller_deadline: float
    config_version: int
    config_age: float
    shared_segments: tuple[str, ...] = ()
    fingerprint: str = ""
    send_count: int = 0
    lost_attempts: set[OpenAttempt] = field(default_factory=set)
    may_have_run: bool = False
    failed_servers: frozenset[str] = frozenset()
    attempts: list[AttemptRecord] = field(default_factory=list)
    may_crash_servers: bool = False
    unusable_servers: dict[str, int] = field(default_factory=dict)
    cancelled: bool = False
    admission: Decision | None = None
    first_event_at: float | None = None
    longest_event_interval: float = 0.0

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return what may be the cause if a server crashes on the request."""
        return (*self.shared_segments, self.fingerprint)
