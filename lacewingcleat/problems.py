"""protocol: error answers as RFC 9457 problem documents.

The `type` of each problem says exactly one of three things: the request was not run, it
ran and had this outcome, or nobody knows. Callers decide by it whether to send again.
"""

from dataclasses import dataclass

import msgspec

from lacewingcleat.http_headers import Outcome

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "https://lacewingcleat.invalid/problems/"

TITLE_BY_OUTCOME = {
    Outcome.NOT_RUN: "The request was not run",
    Outcome.RAN: "The request ran",
    Outcome.UNKNOWN: "It is unknown whether the request ran",
}


@dataclass(frozen=True, slots=True)
class Problem:
    """Describe why a request has no regular answer.

    :param status: HTTP status.
    :param outcome: whether the request ran.
    :param code: stable name of the reason, for programs.
    :param detail: one sentence for people.
    :param retry_after_seconds: when to send again, if that makes sense.
    :param ticket: ticket under which the request may be sent again.
    """

    status: int
    outcome: Outcome
    code: str
    detail: str
    retry_after_seconds: float | None = None
    ticket: str = ""


def encode_problem(problem: Problem, request_id: str) -> bytes:
    """Encode a problem as JSON.

    The `error` member repeats code and detail in the form that client libraries of
    model APIs read.
    """
    document: dict[str, object] = {
        "type": TYPE_PREFIX + problem.outcome.value,
        "title": TITLE_BY_OUTCOME[problem.outcome],
        "status": problem.status,
        "detail": problem.detail,
        "code": problem.code,
        "request_id": request_id,
        "error": {
            "message": problem.detail,
            "type": problem.outcome.value,
            "code": problem.code,
        },
    }
    if problem.retry_after_seconds is not None:
        document["retry_after_seconds"] = problem.retry_after_seconds
    if problem.ticket:
        document["ticket"] = problem.ticket
    return msgspec.json.encode(document)


def not_run(
    status: int,
    code: str,
    detail: str,
    retry_after_seconds: float | None = None,
    ticket: str = "",
) -> Problem:
    """Build a problem that says the request was not run."""
    return Problem(status, Outcome.NOT_RUN, code, detail, retry_after_seconds, ticket)


def unknown_problem(code: str, detail: str, ticket: str = "") -> Problem:
    """Build a problem that says nobody knows whether the request ran."""
    return Problem(502, Outcome.UNKNOWN, code, detail, None, ticket)


def ran(status: int, code: str, detail: str, ticket: str = "") -> Problem:
    """Build a problem that says the request ran but its answer is not to be had."""
    return Problem(status, Outcome.RAN, code, detail, None, ticket)
