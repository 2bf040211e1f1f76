"""transport: attempts of an entry at the backend servers.

The loop here only carries out what routing and `retries` decide.
"""

from dataclasses import dataclass, replace
from typing import Any

import msgspec
from opentelemetry.trace import SpanKind
from result import Err, Ok
from twisted.internet import task
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.chat_api import ModelRequest
from lacewingcleat.clock import read_now
from lacewingcleat.crash_suspects import CRASHES_SERVER, Convicted, RunAlone
from lacewingcleat.entry_answer import AnswerWriter
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_relay import (
    SendState,
    copy_headers,
    first_header,
    set_headers,
)
from lacewingcleat.load_view import Target
from lacewingcleat.messages import CrashReport
from lacewingcleat.prefix_affinity import digest_prompt_blocks
from lacewingcleat.problems import Problem, not_run, ran, unknown
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.retries import (
    Attempt,
    ReportNotRun,
    ReportUnknown,
    RequestFacts,
    ResumeAt,
    RetryDecision,
    RetryElsewhere,
    ReturnResult,
    RevokeFirst,
    Said,
    Sent,
    TicketOrigin,
    decide_retry,
    report_unsent,
)
from lacewingcleat.routing_choice import (
    Choice,
    NoRoute,
    NoRouteReason,
    RouteRequest,
    ServiceRequest,
)
from lacewingcleat.routing_choice import ModelRequest as RouteModel
from lacewingcleat.routing_choice import Outcome as RoutingOutcome
from lacewingcleat.sheet import Service
from lacewingcleat.ticket_token import read_ticket
from lacewingcleat.tickets import TicketUse
from lacewingcleat.tracing import end_span, traceparent_of

# An answer's head can take as long as the queue at the agent; after this time the work
# is better placed elsewhere.
HEAD_TIMEOUT_SECONDS = 30.0
TICKET_TIMEOUT_SECONDS = 2.0
MAX_TICKET_ANSWER_BYTES = 1 << 14
# Time in which a changed sheet reaches this entry after an agent has it.
SHEET_WAIT_SECONDS = 0.05
MAX_ATTEMPTS = 8
# Crash reports take two to three hops inside a zone.
CRASH_REPORT_WAIT_SECONDS = 0.1
# Suspects of crashes run one after the other on a server.
MIN_ALONE_WAIT_SECONDS = 0.2
# A revocation is worth a short wait even when the deadline is near, because it can
# turn "unknown" into a certain answer.
MIN_REVOKE_SECONDS = 0.1

CALLER_HEADERS = frozenset(
    name.lower().encode()
    for name in (
        names.AUTHORIZATION,
        names.DEADLINE_MS,
        names.PRIORITY,
        names.TRACEPARENT,
        names.TICKET,
        names.REQUEST_ID,
        names.ACCOUNT,
        names.FIRM,
        names.REVISION,
        names.DIGEST,
        names.ROUTING_DIGEST,
        names.GROUP,
        names.SERVICE,
        names.RUN_ALONE,
        names.FINGERPRINT,
        names.COST_SECONDS,
        names.RESUME_OFFSET,
    )
)


@dataclass(slots=True)
class _Work:
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


@dataclass(frozen=True, slots=True)
class _Minted:
    """Hold a ticket from an agent, or the problem instead of it."""

    token: str
    problem: Problem | None = None
    attempt: Attempt | None = None


class Dispatcher:
    """Bring requests to backend servers and their answers back.

    :param node: the entry's state and control plane.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    # Model requests

    async def run_model(self, call: EntryCall, model: ModelRequest) -> None:
        """Answer a request to a model group; such requests are idempotent."""
        route = RouteModel(
            model=model.model,
            account=call.account.name,
            firm=call.account.firm,
            prompt_tokens=model.prompt_tokens,
            max_tokens=model.max_tokens,
            version=model.version,
            adapter=model.adapter,
            prefix_blocks=digest_prompt_blocks(
                f"{model.model}@{model.version}:{model.adapter}",
                model.prompt_text,
            ),
            alone=call.alone,
            fingerprint=call.fingerprint,
        )
        writer = AnswerWriter(self._node.reactor, call)
        path = call.request.path_text()
        work = _Work(call, writer, route, path, idempotent=True, stream=model.stream)
        await self._attempts(work)

    # Calls of plain services

    async def run_service(
        self,
        call: EntryCall,
        service: Service,
        use: TicketUse,
        ticket: str,
        key: str,
    ) -> None:
        """Answer a call of a plain service by the rule for its ticket."""
        writer = AnswerWriter(self._node.reactor, call)
        route = ServiceRequest(
            service.name,
            call.account.name,
            idempotent=use is TicketUse.NONE,
            alone=call.alone,
            fingerprint=call.fingerprint,
        )
        path = call.request.path_text()
        work = _Work(call, writer, route, path, use is TicketUse.NONE)
        work.service = service.name
        work.key = key
        match use:
            case TicketUse.NONE:
                await self._attempts(work)
            case TicketUse.OBTAIN:
                work.origin = TicketOrigin.ENTRY
                await self._attempts(work)
            case TicketUse.PRESENT:
                work.origin = TicketOrigin.CALLER
                work.ticket = ticket
                await self._present(work)
            case TicketUse.DEMAND:
                await self._demand(work, service)

    async def _present(self, work: _Work) -> None:
        """Send a request to the one agent that its ticket names."""
        parsed = read_ticket(work.ticket)
        sheet = self._node.sheet
        if isinstance(parsed, Err) or sheet is None:
            detail = "the ticket is not one of this system"
            work.writer.refuse(unknown("ticket-not-recognised", detail, work.ticket))
            return
        server = sheet.server_by_name.get(parsed.ok_value.agent)
        if server is None:
            detail = "the sheet in force here does not name the ticket's server"
            work.writer.refuse(unknown("ticket-server-unknown", detail, work.ticket))
            return
        target = Target(work.service, server.name)
        attempt = await self._send(work, target, server.address, 0.0)
        if attempt is not None:
            self._report(work, self._decide(work, attempt))

    async def _demand(self, work: _Work, service: Service) -> None:
        """Answer 428 with a ticket; nothing is run."""
        token = await self.mint(work.call, service, work.key)
        if token.problem is not None:
            work.writer.refuse(token.problem)
            return
        detail = "send the request again with this ticket; nothing was run"
        problem = not_run(428, "ticket-required", detail, None, token.token)
        work.writer.refuse(problem)

    async def mint(self, call: EntryCall, service: Service, key: str) -> _Minted:
        """Get a ticket from an agent of a service.

        The agent follows from the key, so that a repeated key usually meets the agent
        that remembers it.
        """
        now = read_now()
        membership = self._node.membership
        names_alive = [
            name
            for name in service.backend_servers
            if membership.may_receive_work(name, now)
        ]
        detail = "no backend server of the service takes new work"
        problem = not_run(503, "no-server", detail, 1.0)
        ranked = rank_by_rendezvous(
            f"{call.account.name}\x00{key or call.request_id}",
            names_alive,
        )
        for server in ranked[:2]:
            minted = await self._mint_at(call, service.name, server, key)
            if minted.problem is None:
                return minted
            problem = minted.problem
            if minted.attempt is None:
                break
        return _Minted("", problem)

    async def _mint_at(
        self,
        call: EntryCall,
        service: str,
        server: str,
        key: str,
    ) -> _Minted:
        sheet = self._node.sheet
        if sheet is None or server not in sheet.server_by_name:
            return _Minted("", not_run(503, "no-server", "the server has left", 1.0))
        document = {"service": service, "account": call.account.name, "key": key}
        fetched = await self._node.client.fetch(
            "POST",
            sheet.server_by_name[server].address,
            "/lacewing/tickets",
            Headers({"Content-Type": ["application/json"]}),
            msgspec.json.encode(document),
            min(TICKET_TIMEOUT_SECONDS, call.deadline - read_now()),
            MAX_TICKET_ANSWER_BYTES,
        )
        match fetched:
            case Err(failure):
                self._node.membership.note_unreachable(server, read_now())
                problem = not_run(503, "agent-unreachable", failure.text, 1.0)
                return _Minted("", problem, Attempt(server, Sent.NOTHING, Said.NOTHING))
            case Ok((response, content)) if response.code == 201:
                return _Minted(str(msgspec.json.decode(content)["ticket"]))
            case Ok((response, content)):
                code = first_header(response.headers, names.OUTCOME_CODE)
                problem = _problem_of(response, code or "refused", "")
                if problem.outcome is Outcome.NOT_RUN:
                    attempt = Attempt(server, Sent.NOTHING, Said.NOT_RUN, code)
                    return _Minted("", problem, attempt)
                return _Minted("", problem)

    # The loop

    async def _attempts(self, work: _Work) -> None:
        node = self._node
        node.budget.count_request(read_now())
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            if work.call.caller_gone:
                return
            choice = node.choose(_excluding(work.route, work.failed, work.call.alone))
            if isinstance(choice, NoRoute):
                self._report_no_route(work, choice)
                return
            work.target = choice.target
            attempt = await self._attempt(work, choice)
            if attempt is None or work.call.caller_gone:
                return
            if await self._wait_for_target(work, attempt):
                continue
            attempts += 1
            decision = self._decide(work, attempt)
            if isinstance(decision, RevokeFirst):
                revoked = await self._revoke(work, choice.target)
                if revoked is None:
                    return
                attempt = revoked
                decision = self._decide(work, attempt)
            if not isinstance(decision, RetryElsewhere | ResumeAt):
                self._report(work, decision)
                return
            if not await self._may_run_again(work, attempt):
                return
            await self._prepare_retry(work, choice.target, attempt, decision)
        work.writer.refuse(_unsent(work, "attempts-exhausted", 1.0))

    async def _wait_for_target(self, work: _Work, attempt: Attempt) -> bool:
        """Wait if a refusal passes by itself; return whether to try again.

        Such a refusal is no failure of the target and costs no retry. The deadline
        bounds the waiting.
        """
        if attempt.said is not Said.NOT_RUN:
            return False
        match attempt.code:
            case "old-revision":
                # This entry is about to get the sheet that the agent has.
                seconds = SHEET_WAIT_SECONDS
            case "must-run-alone":
                work.call.alone = True
                seconds = SHEET_WAIT_SECONDS
            case "alone-busy":
                seconds = min(max(attempt.retry_after, MIN_ALONE_WAIT_SECONDS), 1.0)
            case _:
                return False
        if read_now() + seconds >= work.call.deadline:
            return False
        await task.deferLater(self._node.reactor, seconds, lambda: None)
        return True

    async def _may_run_again(self, work: _Work, attempt: Attempt) -> bool:
        """Return whether a request may be sent again after it was lost.

        Its server may have crashed by it. The crash report needs a moment to get here;
        without the wait, the request would reach the next server beside others.
        """
        if attempt.sent is Sent.NOTHING or attempt.said is Said.NOT_RUN:
            return True
        node = self._node
        call = work.call
        self._report_lost_agent(call, attempt)
        await task.deferLater(node.reactor, CRASH_REPORT_WAIT_SECONDS, lambda: None)
        match node.suspects.verdict(call.fingerprint, read_now()):
            case Convicted():
                detail = "the request has crashed two backend servers"
                work.writer.refuse(ran(422, CRASHES_SERVER, detail))
                return False
            case RunAlone():
                call.alone = True
        return True

    def _report_lost_agent(self, call: EntryCall, attempt: Attempt) -> None:
        """Report a crash in place of an agent that may have died with its server."""
        node = self._node
        silent = attempt.said in (Said.NOTHING, Said.BROKEN)
        incarnation = node.membership.incarnation_of(attempt.target)
        if not call.alone or not silent or call.gave_up or not incarnation:
            return
        report = CrashReport(
            f"{incarnation}:lost",
            attempt.target,
            (call.fingerprint,),
            alone=True,
        )
        now = read_now()
        neighbours = node.crash_neighbours(now)
        node.perform(node.suspects.hear_report(report, neighbours, now))

    async def _prepare_retry(
        self,
        work: _Work,
        target: Target,
        attempt: Attempt,
        decision: RetryElsewhere | ResumeAt,
    ) -> None:
        node = self._node
        node.metrics.retries.labels(attempt.code or attempt.said.name.lower()).inc()
        if isinstance(decision, ResumeAt):
            node.metrics.stream_resumes.inc()
        else:
            work.may_have_run = decision.may_have_run
        work.failed |= {target}
        if attempt.sent is Sent.SOME and attempt.said in (Said.NOTHING, Said.BROKEN):
            work.lost_targets += 1

    async def _attempt(self, work: _Work, choice: Choice) -> Attempt | None:
        """Make one attempt; return None if the caller has its answer."""
        node = self._node
        sheet = node.sheet
        if sheet is None or choice.server not in sheet.server_by_name:
            return Attempt(choice.server, Sent.NOTHING, Said.NOTHING, "server-left")
        if work.origin is TicketOrigin.ENTRY:
            minted = await self._mint_at(
                work.call, work.service, choice.server, work.key
            )
            if minted.attempt is not None:
                return minted.attempt
            if minted.problem is not None:
                work.writer.refuse(minted.problem)
                return None
            work.ticket = minted.token
        router = node.router
        routed = router.record_send(choice, work.route, read_now())
        address = sheet.server_by_name[choice.server].address
        cost = choice.cost.prefill_seconds + choice.cost.decode_seconds
        call = work.call
        call.on_first_byte = lambda: router.record_first_token(routed, read_now())
        attempt = await self._send(work, choice.target, address, cost)
        call.on_first_byte = _do_nothing
        tokens = call.progress.delivered
        ended = _routing_outcome(call, attempt)
        router.record_finish(routed, ended, read_now(), tokens)
        return attempt

    async def _send(
        self,
        work: _Work,
        target: Target,
        address: str,
        cost_seconds: float,
    ) -> Attempt | None:
        """Send a request to an agent and pass its answer on."""
        node = self._node
        call = work.call
        span = node.tracing.start_span("attempt", SpanKind.CLIENT, parent=call.span)
        headers = self._headers(work, target, cost_seconds)
        set_headers(headers, {names.TRACEPARENT: traceparent_of(span)})
        uri = call.request.uri.decode("ascii", "replace")
        remaining = call.deadline - read_now()
        timeout = min(HEAD_TIMEOUT_SECONDS, remaining) if work.idempotent else remaining

        def hold(pending: Any) -> None:
            call.pending = pending

        sent = await node.client.send(
            call.request.method.decode("ascii", "replace"),
            address,
            uri,
            headers,
            call.request.body.getvalue(),
            timeout,
            hold,
        )
        call.pending = None
        match sent:
            case Err(failure):
                end_span(span, {"lacewing.error": failure.text}, True)
                nothing = failure.state is SendState.NOT_SENT
                if nothing:
                    node.membership.note_unreachable(target.server, read_now())
                state = Sent.NOTHING if nothing else Sent.SOME
                return Attempt(target.server, state, Said.NOTHING)
            case Ok(response):
                attempt = await self._take_answer(work, target, response)
                end_span(
                    span,
                    {"http.status_code": response.code, "lacewing.group": target.group},
                    attempt is not None,
                )
                return attempt

    async def _take_answer(
        self,
        work: _Work,
        target: Target,
        response: Any,
    ) -> Attempt | None:
        node = self._node
        outcome = first_header(response.headers, names.OUTCOME)
        code = first_header(response.headers, names.OUTCOME_CODE)
        self._observe_revision(target.server, response)
        if outcome == Outcome.RAN.value and not code:
            said = await work.writer.pass_on(response, work.ticket)
            if said is Said.COMPLETE:
                return None
            return Attempt(target.server, Sent.SOME, said)
        retry_after = first_header(response.headers, names.RETRY_AFTER)
        await node.client.read_body(response, MAX_TICKET_ANSWER_BYTES, 1.0)
        if outcome == Outcome.RAN.value:
            work.writer.refuse(
                ran(409, code, "the request ran; its answer is lost", work.ticket),
            )
            return None
        said = Said.NOT_RUN if outcome == Outcome.NOT_RUN.value else Said.UNKNOWN
        seconds = names.parse_seconds(retry_after)
        return Attempt(target.server, Sent.SOME, said, code, seconds)

    def _observe_revision(self, server: str, response: Any) -> None:
        revision = names.parse_count(first_header(response.headers, names.REVISION))
        digest = first_header(response.headers, names.DIGEST)
        if revision and digest:
            node = self._node
            node.perform(
                node.relay.observe(server, revision, digest, read_now()),
            )

    def _headers(self, work: _Work, target: Target, cost_seconds: float) -> Headers:
        node = self._node
        call = work.call
        headers = copy_headers(call.request.requestHeaders, CALLER_HEADERS)
        remaining_ms = max(1, int((call.deadline - read_now()) * 1000))
        values = {
            names.REQUEST_ID: f"{call.request_id}-{len(work.failed)}",
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

    # Decisions and reports

    def _decide(self, work: _Work, attempt: Attempt) -> RetryDecision:
        facts = RequestFacts(
            work.idempotent,
            work.call.deadline,
            work.origin,
            failed_targets=frozenset(target.server for target in work.failed),
            may_have_run=work.may_have_run,
            lost_targets=work.lost_targets,
            has_other_target=self._has_other_target(work, attempt),
            delivered=work.call.progress.delivered,
            body_begun=work.call.head_written,
            resumable=work.stream,
        )
        return decide_retry(attempt, facts, self._node.budget, read_now())

    def _has_other_target(self, work: _Work, attempt: Attempt) -> bool:
        failed = work.failed | {work.target} if work.target else work.failed
        route = _excluding(work.route, failed, work.call.alone)
        return self._node.can_route(route)

    def _report(self, work: _Work, decision: RetryDecision) -> None:
        match decision:
            case RevokeFirst():
                raise AssertionError("a revocation is handled by the loop")
            case ReportNotRun(code, retry_after):
                status = _status_of(code)
                detail = f"the request was not run: {code}"
                problem = not_run(
                    status, code, detail, retry_after or None, work.ticket
                )
                work.writer.refuse(problem)
            case ReportUnknown(code):
                detail = f"it is unknown whether the request ran: {code}"
                work.writer.refuse(unknown(code, detail, work.ticket))
            case ReturnResult() | RetryElsewhere() | ResumeAt():
                detail = "the request ran, but its answer was lost"
                work.writer.refuse(ran(502, "answer-lost", detail, work.ticket))

    async def _revoke(self, work: _Work, target: Target) -> Attempt | None:
        """Ask an agent to revoke a ticket; return None if the caller has its answer."""
        sheet = self._node.sheet
        server = target.server
        record = sheet.server_by_name.get(server) if sheet else None
        silent = Attempt(server, Sent.SOME, Said.NOTHING, revocation=True)
        if record is None:
            return silent
        document = {"ticket": work.ticket, "account": work.call.account.name}
        sent = await self._node.client.send(
            "POST",
            record.address,
            "/lacewing/tickets/revoke",
            Headers({"Content-Type": ["application/json"]}),
            msgspec.json.encode(document),
            max(MIN_REVOKE_SECONDS, work.call.deadline - read_now()),
        )
        if isinstance(sent, Err):
            return silent
        attempt = await self._take_answer(work, target, sent.ok_value)
        return attempt and replace(attempt, revocation=True)

    def _report_no_route(self, work: _Work, no_route: NoRoute) -> None:
        match no_route.reason:
            case NoRouteReason.UNKNOWN_POOL:
                problem = not_run(404, "model_not_found", no_route.reason.value)
            case NoRouteReason.NOT_ALLOWED:
                problem = not_run(404, "model_not_found", no_route.reason.value)
            case _:
                problem = _unsent(work, "no-server", no_route.retry_after or 1.0)
        work.writer.refuse(problem)


def _excluding(
    route: RouteRequest,
    failed: frozenset[Target],
    alone: bool,
) -> RouteRequest:
    if not failed and route.alone == alone:
        return route
    return replace(route, excluded=failed, alone=alone)


def _unsent(work: _Work, code: str, retry_after: float) -> Problem:
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
            return unknown(code, detail, work.ticket)


def _problem_of(response: Any, code: str, ticket: str) -> Problem:
    outcome = first_header(response.headers, names.OUTCOME)
    detail = f"the agent refused the ticket: {code}"
    if outcome == Outcome.NOT_RUN.value:
        return not_run(response.code, code, detail, 1.0, ticket)
    if outcome == Outcome.RAN.value:
        return ran(409, code, detail, ticket)
    return unknown(code, detail, ticket)


def _status_of(code: str) -> int:
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


def _do_nothing() -> None:
    pass


def _routing_outcome(call: EntryCall, attempt: Attempt | None) -> RoutingOutcome:
    if call.caller_gone:
        return RoutingOutcome.CANCELLED
    if attempt is None:
        return RoutingOutcome.COMPLETED
    if attempt.said is Said.NOT_RUN:
        return RoutingOutcome.REFUSED
    return RoutingOutcome.FAILED
