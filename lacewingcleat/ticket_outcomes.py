"""coordination: the outcomes that a ticket registry returns for a request.

"Not run" is permanent: the request will never run under its ticket. "Unknown" means
only that the request will not run again under its ticket.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum

from lacewingcleat.ticket_token import Ticket


class TicketCode(StrEnum):
    """Enumerate the reasons in outcomes, sent as the `code` of a problem document."""

    REQUIRED = "ticket-required"
    EXPIRED = "ticket-expired"
    REVOKED = "ticket-revoked"
    TOO_MANY = "too-many-tickets"
    RESPONSE_NOT_STORED = "answer-not-kept"
    SERVER_LOST = "server-lost"
    OTHER_INCARNATION = "ticket-of-another-process"
    NOT_RECOGNISED = "ticket-not-recognised"
    OTHER_REQUEST = "ticket-of-another-request"
    KEY_ALREADY_RUN = "key-already-run"
    KEY_IN_USE = "key-in-use"


@dataclass(frozen=True, slots=True)
class Response:
    """Represent a complete response of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return the size of the headers and the body in bytes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields


@dataclass(frozen=True, slots=True)
class RunNow:
    """Admit the request; the agent queues it and then calls `start`."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class Attach:
    """Wait for the response of the copy that is already queued or running."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class Stored:
    """Return the response of the earlier run."""

    ticket_id: str
    response: Response


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report that the request did not run under this ticket and never will."""

    code: str


@dataclass(frozen=True, slots=True)
class Ran:
    """Report that the request ran but its response is not available."""

    code: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Report that the request may have run; it will not run again."""

    code: str


@dataclass(frozen=True, slots=True)
class TicketStarted:
    """Confirm that the request must be sent to the service now."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class Minted:
    """Represent a new ticket with its token."""

    ticket: Ticket
    token: str


PresentOutcome = RunNow | Attach | Stored | NotRun | Ran | Unknown
RevokeOutcome = Attach | Stored | NotRun | Ran | Unknown
StartOutcome = TicketStarted | NotRun | Unknown


class TicketUse(Enum):
    """Enumerate how an entry uses tickets for a request to a plain service."""

    NONE = "send without a ticket; the call is idempotent"
    PRESENT = "present the caller's ticket"
    OBTAIN = "obtain a ticket and run once"
    DEMAND = "answer 428 with a ticket and do not run"
