"""coordination: one request of a caller on its way through a direct entry."""

from dataclasses import dataclass, field

from lacewingcleat.request_access import Granted


@dataclass(frozen=True, slots=True)
class Try:
    """Record one attempt for the log.

    :param load: requests that were believed to be at the server.
    :param sent: whether a byte of the request was written.
    """

    server: str
    load: float
    seconds: float
    sent: bool
    outcome: str


@dataclass(slots=True)
class DirectCall:
    """Follow one request from its arrival to its answer.

    :ivar deadline: moment at which the final answer is due.
    :ivar caller_deadline: moment until which the caller waits.
    :ivar sends: servers to which the request was written.
    :ivar first_event_at: moment at which the first event was passed on.
    :ivar longest_gap: longest time between two events that were passed on.
    :ivar config_version: version of the configuration that admitted it.
    """

    request_id: str
    granted: Granted
    service: str
    arrived_at: float
    deadline: float
    caller_deadline: float
    config_version: int
    config_age: float
    sends: int = 0
    lost: int = 0
    may_have_run: bool = False
    failed_names: frozenset[str] = frozenset()
    tries: list[Try] = field(default_factory=list)
    cancelled: bool = False
    first_event_at: float | None = None
    longest_gap: float = 0.0
