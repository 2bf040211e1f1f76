"""transport: context shared by all attempts at a request; its headers and problems."""

from dataclasses import dataclass, replace
from typing import Any

from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.entry_answer import ResponseWriter
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.http_client import copy_headers, first_header, set_nonempty_headers
from lacewingcleat.http_headers import Outcome
from lacewingcleat.load_view import Target
from lacewingcleat.problems import (
    Problem,
    not_run_problem,
    ran_problem,
    unknown_problem,
)
from lacewingcleat.retries import (
    ReportNotRun,
    ReportUnknown,
    RequestFacts,
    TicketOrigin,
    report_unsent,
)
from lacewingcleat.routing_choice import RouteRequest

# Headers of callers that are not forwarded, besides the internal headers that
# `copy_headers` drops.
DROPPED_CALLER_HEADERS = frozenset(
    name.lower().encode() for name in (names.AUTHORIZATION, names.TRACEPARENT)
)


@dataclass(slots=True)
class AttemptContext:
    """Represent the context shared by all attempts at one request.

    :param path: path of the caller's request.
    :param idempotency_key: idempotency key of the request, empty for none.
    :param resumable: whether the response is a stream that can be resumed.
    :param failed_targets: targets at which an attempt has failed.
    :param may_have_run: whether an earlier attempt ended with an unknown result.
    :param lost_targets: number of targets that were lost after the request was sent to
        them.
    :param target: target of the latest attempt.
    """

    call: EntryCall
    writer: ResponseWriter
    route: RouteRequest
    path: str
    idempotent: bool
    ticket_origin: TicketOrigin = TicketOrigin.NONE
    service: str = ""
    ticket: str = ""
    idempotency_key: str = ""
    resumable: bool = False
    failed_targets: frozenset[Target] = frozenset()
    may_have_run: bool = False
    lost_targets: int = 0
    target: Target | None = None


def build_agent_headers(
    node: EntryNode,
    context: AttemptContext,
    target: Target,
    cost_seconds: float,
) -> Headers:
    """Return the headers of a request to an agent."""
    call = context.call
    headers = copy_headers(call.request.requestHeaders, DROPPED_CALLER_HEADERS)
    remaining_ms = max(1, int((call.deadline - read_now()) * 1000))
    values = {
        names.REQUEST_ID: f"{call.request_id}-{len(context.failed_targets)}",
        names.ENTRY: node.peer.instance,
        names.ACCOUNT: call.account.name,
        names.FIRM: call.account.firm,
        names.REVISION: str(node.relay.revision),
        names.DIGEST: node.relay.digest,
        names.ROUTING_DIGEST: node.relay.routing_digest,
        names.GROUP: target.group,
        names.SERVICE: context.service,
        names.PRIORITY: str(call.priority),
        names.DEADLINE_MS: str(remaining_ms),
        names.FINGERPRINT: call.fingerprint,
        names.SEGMENTS: ",".join(call.segments),
        names.COST_SECONDS: f"{cost_seconds:.3f}",
        names.RUN_ALONE: "1" if call.run_alone else "",
        names.TICKET: context.ticket,
        names.RESUME_OFFSET: str(call.stream_progress.delivered or ""),
    }
    set_nonempty_headers(headers, values)
    return headers


def exclude_failed_targets(
    route: RouteRequest,
    failed_targets: frozenset[Target],
    run_alone: bool,
) -> RouteRequest:
    """Return the route request with the failed targets excluded."""
    if not failed_targets and route.isolated == run_alone:
        return route
    return replace(route, excluded=failed_targets, isolated=run_alone)


def build_unsent_problem(
    context: AttemptContext, code: str, retry_after: float
) -> Problem:
    """Build the problem for a request that this entry sends to no further target."""
    facts = RequestFacts(
        context.idempotent,
        context.call.deadline,
        context.ticket_origin,
        may_have_run=context.may_have_run,
        delivered=context.call.stream_progress.delivered,
    )
    match report_unsent(facts, code, retry_after):
        case ReportNotRun(_, retry_after_seconds):
            detail = f"no backend server can take the request now: {code}"
            return not_run_problem(503, code, detail, retry_after_seconds)
        case ReportUnknown():
            detail = f"an earlier attempt may have run, and no server is left: {code}"
            return unknown_problem(code, detail, context.ticket)


def build_refusal_problem(response: Any, code: str, ticket: str) -> Problem:
    """Build the problem for a ticket that an agent refused."""
    outcome = first_header(response.headers, names.OUTCOME)
    detail = f"the agent refused the ticket: {code}"
    if outcome == Outcome.NOT_RUN.value:
        return not_run_problem(response.code, code, detail, 1.0, ticket)
    if outcome == Outcome.RAN.value:
        return ran_problem(409, code, detail, ticket)
    return unknown_problem(code, detail, ticket)


def status_for_code(code: str) -> int:
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
