"""transport: results of attempts at backend servers."""

from dataclasses import dataclass

from lacewingcleat.connection_headers import HOP_BY_HOP_HEADERS
from lacewingcleat.platform import request_headers as names
from lacewingcleat.retries import Attempt, ResponseKind, SendProgress
from lacewingcleat.server_connection import (
    Headers,
    RequestCancelled,
    ResponseFailed,
    ResponseHead,
    ServerConnection,
    TimedOut,
)
from lacewingcleat.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Represent a server's complete response."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Represent the result of an attempt.

    :param server_response: response of the server, none if missing or already streamed.
    :param streamed: whether the whole stream was forwarded to the caller.
    :param timed_out: whether the attempt ended with a timeout.
    :param server_failed: whether the server or the connection to it failed.
    """

    attempt: Attempt
    reason: str
    server_response: ServerResponse | None = None
    streamed: bool = False
    timed_out: bool = False
    server_failed: bool = False


def is_answer_lost(result: AttemptResult) -> bool:
    """Return whether the connection broke before the end of an answer."""
    return (
        result.server_failed
        and not result.timed_out
        and result.server_response is None
        and result.attempt.sent is SendProgress.SOME
    )


def response_headers(headers: Headers) -> Headers:
    """Return the headers of a server's response that are forwarded to the caller."""
    return [(key, value) for key, value in headers if key not in HOP_BY_HOP_HEADERS]


def classify_response(
    record: ServerRecord, head: ResponseHead, body: bytes
) -> AttemptResult:
    """Return the result of an attempt that ended with a complete response."""
    not_run = head.header(names.NOT_RUN) is not None
    if not_run or head.status == names.STATUS_MISDIRECTED:
        retry_after = _parse_retry_after(head.header(names.RETRY_AFTER))
        attempt = Attempt(
            record.name, SendProgress.SOME, ResponseKind.NOT_RUN, "refused", retry_after
        )
        faulty_server = (head.header(names.FAULTY_SERVER) or b"").decode("latin-1")
        reason = f"refused {head.status} {faulty_server}".rstrip()
        return AttemptResult(attempt, reason)
    response = ServerResponse(head.status, response_headers(head.headers), body)
    claims_not_run = head.status in names.NOT_RUN_STATUSES
    if head.status >= 500 or claims_not_run:
        attempt = Attempt(
            record.name, SendProgress.SOME, ResponseKind.UNKNOWN, "server-error"
        )
        reason = f"status {head.status}"
        # The request may have run, so the caller must not see such a status.
        forwarded = None if claims_not_run else response
        return AttemptResult(attempt, reason, forwarded, server_failed=True)
    attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.COMPLETE)
    return AttemptResult(attempt, f"status {head.status}", response)


def unsent_result(
    record: ServerRecord, reason: str, server_failed: bool = False
) -> AttemptResult:
    """Return the result of an attempt of which nothing was written."""
    attempt = Attempt(record.name, SendProgress.NOTHING, ResponseKind.NOTHING)
    return AttemptResult(attempt, reason, server_failed=server_failed)


def broken_result(record: ServerRecord, reason: str) -> AttemptResult:
    """Return the result of an attempt whose response cannot be trusted."""
    attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.BROKEN)
    return AttemptResult(attempt, reason, server_failed=True)


def internal_error_result(record: ServerRecord) -> AttemptResult:
    """Return the result of an attempt that a fault of this program has ended."""
    attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.NOTHING)
    return AttemptResult(attempt, "internal error")


def no_response_result(
    record: ServerRecord,
    connection: ServerConnection,
    event: object,
) -> AttemptResult:
    """Abort the connection and return the result of an attempt without an answer."""
    connection.abort()
    attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.NOTHING)
    match event:
        case TimedOut():
            return AttemptResult(
                attempt, "no answer in time", timed_out=True, server_failed=True
            )
        case ResponseFailed(reason):
            return AttemptResult(attempt, reason, server_failed=True)
        case RequestCancelled(reason):
            return AttemptResult(attempt, reason)
        case _:
            return AttemptResult(attempt, f"unexpected {type(event).__name__}")


def _parse_retry_after(value: bytes | None) -> float:
    try:
        return max(0.0, float(value)) if value else 0.0
    except ValueError:
        # A date or a malformed value; the default delay applies.
        return 0.0
