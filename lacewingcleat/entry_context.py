"""transport: what all attempts at one request share, and its headers and problems."""

from dataclasses import dataclass, replace
from typing import Any

from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.entry_answer import AnswerWriter
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_client import copy_headers, first_header, set_headers
from lacewingcleat.load_view import Target
from lacewingcleat.problems import Problem, not_run, ran, unknown_problem
from lacewingcleat.retries import (
    ReportNotRun,
    ReportUnknown,
    RequestFacts,
    TicketOrigin,
    report_unsent,
)
from lacewingcleat.routing_choice import RouteRequest

# Headers of callers that go no further; `copy_headers` drops the internal ones.
CALLER_HEADERS = frozenset(
    name.lower().encode() for name in (names.AUTHORIZATION, names.TRACEPARENT)
)


@dataclass(slots=True)
class Work:
    """Hold what all attempts at one request share."""

    call: EntryCall
    writer: AnswerWriter
    route: RouteRequest
    path: str
    idempotent: bool
    origin: TicketOrigin = TicketOrigin.NONE
    service: str = ""
    ticket: str = ""
    key: str = ""
    stream: bool = False
    failed: frozenset[Target] = frozenset()
    may_have_run: bool = False
    lost_targets: int = 0
    target: Target | None = None


def hop_headers(
    node: EntryNode,
    work: Work,
    target: Target,
    cost_seconds: float,
) -> Headers:
    """Return the headers of a request to an agent."""
    call = work.call
    headers = copy_headers(call.request.requestHeaders, CALLER_HEADERS)
    remaining_ms = max(1, int((call.deadline - read_now()) * 1000))
    values = {
        names.REQUEST_ID: f"{call.request_id}-{len(work.failed)}",
        names.ENTRY: node.peer.instance,
        names.ACCOUNT: call.account.name,
        names.FIRM: call.account.firm,
        names.REVISION: str(node.relay.revision),
        names.DIGEST: node.relay.digest,
        names.ROUTING_DIGEST: node.relay.routing_digest,
        names.GROUP: target.group,
        names.SERVICE: work.service,
        names.PRIORITY: str(call.priority),
        names.DEADLINE_MS: str(remaining_ms),
        names.FINGERPRINT: call.fingerprint,
        names.COST_SECONDS: f"{cost_seconds:.3f}",
        names.RUN_ALONE: "1" if call.alone else "",
        names.TICKET: work.ticket,
        names.RESUME_OFFSET: str(call.progress.delivered or ""),
    }
    set_headers(headers, values)
    return headers


def exclude_targets(
    route: RouteRequest,
    failed: frozenset[Target],
    alone: bool,
) -> RouteRequest:
    """Return a request that no longer goes to the targets that failed it."""
    if not failed and route.isolated == alone:
        return route
    return replace(route, excluded=failed, isolated=alone)


def unsent_problem(work: Work, code: str, retry_after: float) -> Problem:
    """Build the problem for a request that this entry sends nowhere any more."""
    facts = RequestFacts(
        work.idempotent,
        work.call.deadline,
        work.origin,
        may_have_run=work.may_have_run,
        delivered=work.call.progress.delivered,
    )
    match report_unsent(facts, code, retry_after):
        case ReportNotRun(_, seconds):
            detail = f"no backend server can take the request now: {code}"
            return not_run(503, code, detail, seconds)
        case ReportUnknown():
            detail = f"an earlier attempt may have run, and no server is left: {code}"
            return unknown_problem(code, detail, work.ticket)


def refusal_problem(response: Any, code: str, ticket: str) -> Problem:
    """Build the problem for a ticket that an agent refused."""
    outcome = first_header(response.headers, names.OUTCOME)
    detail = f"the agent refused the ticket: {code}"
    if outcome == Outcome.NOT_RUN.value:
        return not_run(response.code, code, detail, 1.0, ticket)
    if outcome == Outcome.RAN.value:
        return ran(409, code, detail, ticket)
    return unknown_problem(code, detail, ticket)


def status_of(code: str) -> int:
    """Return the HTTP status of a request that was not run."""
    match code:
        case "crashes-server":
            return 422
        case "ticket-expired" | "ticket-revoked" | "key-already-run":
            return 409
        case "ticket-required":
            return 428
        case "deadline" | "deadline-passed":
            return 504
        case _:
            return 503
