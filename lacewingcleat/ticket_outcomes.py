"""coordination: what a ticket book says about a request.

"Not run" is a promise that holds for ever, "unknown" promises only that the request
will not run again under its ticket.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum

from lacewingcleat.ticket_token import Ticket


class TicketCode(StrEnum):
    """Name the reasons in outcomes, as in the `code` member of a problem."""

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
    """Hold a complete response of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return the bytes that storing it takes."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields


@dataclass(frozen=True, slots=True)
class RunNow:
    """Admit the request; the caller of the book queues it and then calls `start`."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class Attach:
    """Wait for the response of the copy that is queued or running."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class Stored:
    """Return the response of the earlier run."""

    ticket_id: str
    response: Response


@dataclass(frozen=True, slots=True)
class NotRun:
    """Say that the request did not run under this ticket and never will."""

    code: str


@dataclass(frozen=True, slots=True)
class Ran:
    """Say that the request ran, but that its response is not at hand."""

    code: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """Say that nobody can tell whether the request ran; it will not run again."""

    code: str


@dataclass(frozen=True, slots=True)
class TicketStarted:
    """Confirm that the request may be handed to the service now."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class Minted:
    """Hold a new ticket and its token."""

    ticket: Ticket
    token: str


PresentOutcome = RunNow | Attach | Stored | NotRun | Ran | Unknown
RevokeOutcome = Attach | Stored | NotRun | Ran | Unknown
StartOutcome = TicketStarted | NotRun | Unknown


class TicketUse(Enum):
    """Say how an entry deals with a request to a plain service."""

    NONE = "send without a ticket; the call is idempotent"
    PRESENT = "present the caller's ticket"
    OBTAIN = "obtain a ticket and run once"
    DEMAND = "answer 428 with a ticket and do not run"
