"""Builders for the tests of request safety and membership."""

from lacewingcleat.identity import Peer
from lacewingcleat.messages import CrashReport, Envelope, Heartbeat, Message
from lacewingcleat.retries import (
    Attempt,
    RequestFacts,
    ResponseKind,
    SendProgress,
    TicketOrigin,
)


def make_attempt(
    report: ResponseKind = ResponseKind.NOTHING,
    code: str = "",
    sent: SendProgress = SendProgress.SOME,
    revocation: bool = False,
) -> Attempt:
    """Build an attempt at server-1, by default one without a response."""
    return Attempt("server-1", sent, report, code, 0.0, revocation)


def make_facts(
    idempotent: bool = False,
    ticket: TicketOrigin = TicketOrigin.ENTRY,
    deadline: float = 10.0,
    **fields: object,
) -> RequestFacts:
    """Build the facts of a request, by default one with an entry's ticket."""
    return RequestFacts(idempotent, deadline, ticket, **fields)  # type: ignore[arg-type]


def make_heartbeat(
    sent_at: float,
    leaving: bool = False,
    view_digest: str = "",
) -> Heartbeat:
    """Build a heartbeat of an agent."""
    return Heartbeat("", "", view_digest, leaving, 0, 8, sent_at)


def make_envelope(sender: Peer, body: Message) -> Envelope:
    """Build an envelope from a sender that has applied revision 1."""
    return Envelope(sender, 1, "digest-1", body)


def make_crash(
    crash_id: str,
    *fingerprints: str,
    alone: bool = False,
    age: float = 0.0,
    segments: tuple[str, ...] = (),
) -> CrashReport:
    """Build the report of a crash of server-1."""
    return CrashReport(crash_id, "server-1", fingerprints, alone, age, segments)
