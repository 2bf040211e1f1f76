"""transport: send a request to agents, with retries.

The retry loop only carries out the decisions of the router and of `retries`.
"""

from dataclasses import replace
from typing import Any

from opentelemetry.trace import SpanKind
from result import Err, Ok
from twisted.internet import task

from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.crash_suspects import (
    CRASHES_SERVER,
    CRASHES_SERVER_DETAIL,
    Convicted,
    RunAlone,
)
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_context import (
    AttemptContext,
    build_agent_headers,
    build_unsent_problem,
    exclude_failed_targets,
    status_for_code,
)
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.entry_tickets import MAX_TICKET_RESPONSE_BYTES, TicketClient
from lacewingcleat.http_client import SendState, first_header, set_nonempty_headers
from lacewingcleat.http_headers import Outcome
from lacewingcleat.load_view import Target
from lacewingcleat.messages import CrashReport
from lacewingcleat.problems import not_run_problem, ran_problem, unknown_problem
from lacewingcleat.retries import (
    Attempt,
    ReportNotRun,
    ReportUnknown,
    RequestFacts,
    ResponseKind,
    ResumeAt,
    RetryDecision,
    RetryElsewhere,
    ReturnResult,
    RevokeFirst,
    SendProgress,
    TicketOrigin,
    decide_retry,
)
from lacewingcleat.routing_choice import Choice, NoRoute, NoRouteReason
from lacewingcleat.routing_choice import Outcome as RoutingOutcome
from lacewingcleat.tracing import end_span, format_traceparent

# The response head arrives only after the request has waited in the agent's queue.
# After this time, another backend server is likely to respond sooner.
RESPONSE_HEAD_TIMEOUT_SECONDS = 30.0
# A new sheet reaches this entry within this time after it has reached an agent.
REFUSAL_RETRY_DELAY_SECONDS = 0.05
MAX_ATTEMPTS = 8
# Crash reports are forwarded over two to three hops inside an availability zone.
CRASH_REPORT_WAIT_SECONDS = 0.1
# A server runs crash suspects one at a time, so a suspect may have to wait for another.
MIN_RUN_ALONE_WAIT_SECONDS = 0.2


class RetryLoop:
    """Send requests to agents and retry them until their callers have a response.

    :param node: state and control plane of the entry.
    """

    def __init__(self, node: EntryNode, tickets: TicketClient) -> None:
        self._node = node
        self._tickets = tickets

    async def run(self, context: AttemptContext) -> None:
        """Attempt a request until its caller has a response."""
        node = self._node
        node.retry_budget.count_request(read_now())
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            if context.call.caller_disconnected:
                return
            choice = node.choose(
                exclude_failed_targets(
                    context.route, context.failed_targets, context.call.run_alone
                )
            )
            if isinstance(choice, NoRoute):
                self._report_no_route(context, choice)
                return
            context.target = choice.target
            attempt = await self._run_attempt(context, choice)
            if attempt is None or context.call.caller_disconnected:
                return
            if await self._wait_after_refusal(context, attempt):
                continue
            attempts += 1
            decision = self.decide(context, attempt)
            if isinstance(decision, RevokeFirst):
                revocation = await self._revoke_ticket(context, choice.target)
                if revocation is None:
                    return
                attempt = revocation
                decision = self.decide(context, attempt)
            if not isinstance(decision, RetryElsewhere | ResumeAt):
                self.report_outcome(context, decision)
                return
            if not await self._may_resend(context, attempt):
                return
            await self._record_retry(context, choice.target, attempt, decision)
        context.writer.send_problem(
            build_unsent_problem(context, "attempts-exhausted", 1.0)
        )

    async def _wait_after_refusal(
        self, context: AttemptContext, attempt: Attempt
    ) -> bool:
        """Wait after a temporary refusal; return whether to attempt again.

        A temporary refusal does not count as a failure of the target and spends no
        retry. The request's deadline limits the wait.
        """
        if attempt.response is not ResponseKind.NOT_RUN:
            return False
        match attempt.code:
            case "old-revision":
                # The agent has a newer sheet, which this entry will receive shortly.
                delay_seconds = REFUSAL_RETRY_DELAY_SECONDS
            case "must-run-alone":
                context.call.run_alone = True
                delay_seconds = REFUSAL_RETRY_DELAY_SECONDS
            case "alone-busy":
                delay_seconds = min(
                    max(attempt.retry_after, MIN_RUN_ALONE_WAIT_SECONDS), 1.0
                )
            case _:
                return False
        if read_now() + delay_seconds >= context.call.deadline:
            return False
        await task.deferLater(self._node.reactor, delay_seconds, lambda: None)
        return True

    async def _may_resend(self, context: AttemptContext, attempt: Attempt) -> bool:
        """Return whether a request may be sent again after its target was lost.

        The request may have crashed its server. This method waits for the crash report
        to arrive; without the wait, the request could crash a second server that is
        running other requests.
        """
        if (
            attempt.sent is SendProgress.NOTHING
            or attempt.response is ResponseKind.NOT_RUN
        ):
            return True
        node = self._node
        call = context.call
        self._report_lost_agent(call, attempt)
        await task.deferLater(node.reactor, CRASH_REPORT_WAIT_SECONDS, lambda: None)
        match node.suspects.verdict(call.fingerprint, read_now(), call.segments):
            case Convicted():
                detail = CRASHES_SERVER_DETAIL
                context.writer.send_problem(ran_problem(422, CRASHES_SERVER, detail))
                return False
            case RunAlone():
                call.run_alone = True
        return True

    def _report_lost_agent(self, call: EntryCall, attempt: Attempt) -> None:
        """Report a crash on behalf of an agent that may have died with its server."""
        node = self._node
        no_response = attempt.response in (ResponseKind.NOTHING, ResponseKind.BROKEN)
        incarnation = node.membership.last_incarnation(attempt.target)
        if not call.run_alone or not no_response or call.timed_out or not incarnation:
            return
        report = CrashReport(
            f"{incarnation}:lost",
            attempt.target,
            (call.fingerprint,),
            alone=True,
            segments=call.segments,
        )
        now = read_now()
        neighbours = node.crash_report_neighbours(now)
        node.perform(node.suspects.record_report(report, neighbours, now))

    async def _record_retry(
        self,
        context: AttemptContext,
        target: Target,
        attempt: Attempt,
        decision: RetryElsewhere | ResumeAt,
    ) -> None:
        node = self._node
        node.metrics.retries.labels(attempt.code or attempt.response.name.lower()).inc()
        if isinstance(decision, ResumeAt):
            node.metrics.stream_resumes.inc()
        else:
            context.may_have_run = decision.may_have_run
        context.failed_targets |= {target}
        if attempt.sent is SendProgress.SOME and attempt.response in (
            ResponseKind.NOTHING,
            ResponseKind.BROKEN,
        ):
            context.lost_targets += 1

    async def _run_attempt(
        self, context: AttemptContext, choice: Choice
    ) -> Attempt | None:
        """Run one attempt; return None if the caller has its response."""
        node = self._node
        sheet = node.sheet
        if sheet is None or choice.server not in sheet.server_by_name:
            return Attempt(
                choice.server, SendProgress.NOTHING, ResponseKind.NOTHING, "server-left"
            )
        if context.ticket_origin is TicketOrigin.ENTRY:
            minted = await self._tickets.mint_at_agent(
                context.call, context.service, choice.server, context.idempotency_key
            )
            if minted.failed_attempt is not None:
                return minted.failed_attempt
            if minted.problem is not None:
                context.writer.send_problem(minted.problem)
                return None
            context.ticket = minted.token
        router = node.router
        routed_request = router.record_send(choice, context.route, read_now())
        address = sheet.server_by_name[choice.server].address
        cost_seconds = choice.cost.prefill_seconds + choice.cost.decode_seconds
        call = context.call
        call.on_first_byte = lambda: router.record_first_token(
            routed_request, read_now()
        )
        attempt = await self.send(context, choice.target, address, cost_seconds)
        call.on_first_byte = _do_nothing
        tokens = call.stream_progress.delivered
        outcome = _routing_outcome(call, attempt)
        router.record_finish(routed_request, outcome, read_now(), tokens)
        return attempt

    async def send(
        self,
        context: AttemptContext,
        target: Target,
        address: str,
        cost_seconds: float,
    ) -> Attempt | None:
        """Send a request to an agent and forward its response.

        Return the attempt if it failed, None if the caller has its response.
        """
        node = self._node
        call = context.call
        span = node.tracing.start_span("attempt", SpanKind.CLIENT, parent=call.span)
        headers = build_agent_headers(node, context, target, cost_seconds)
        set_nonempty_headers(headers, {names.TRACEPARENT: format_traceparent(span)})
        uri = call.request.uri.decode("ascii", "replace")
        remaining_seconds = call.deadline - read_now()
        timeout = (
            min(RESPONSE_HEAD_TIMEOUT_SECONDS, remaining_seconds)
            if self._may_move(context)
            else remaining_seconds
        )

        def store_pending(pending: Any) -> None:
            call.pending_response = pending

        incarnation = node.membership.last_incarnation(target.server)
        result = await node.http_client.send(
            call.request.method.decode("ascii", "replace"),
            address,
            uri,
            headers,
            call.request.body.getvalue(),
            timeout,
            store_pending,
        )
        call.pending_response = None
        match result:
            case Err(failure):
                end_span(span, {"lacewing.error": failure.reason}, True)
                not_sent = failure.state is SendState.NOT_SENT
                if not_sent:
                    node.membership.record_unreachable(target.server, read_now())
                send_progress = SendProgress.NOTHING if not_sent else SendProgress.SOME
                return Attempt(target.server, send_progress, ResponseKind.NOTHING)
            case Ok(response):
                node.record_response(target.server, incarnation, response.headers)
                attempt = await self._handle_response(context, target, response)
                end_span(
                    span,
                    {"http.status_code": response.code, "lacewing.group": target.group},
                    attempt is not None,
                )
                return attempt

    async def _handle_response(
        self,
        context: AttemptContext,
        target: Target,
        response: Any,
    ) -> Attempt | None:
        node = self._node
        outcome = first_header(response.headers, names.OUTCOME)
        code = first_header(response.headers, names.OUTCOME_CODE)
        self._compare_revision(target.server, response)
        if outcome == Outcome.RAN.value and not code:
            response_kind = await context.writer.forward(
                response, context.ticket, lambda: self._may_move(context)
            )
            if response_kind is ResponseKind.COMPLETE:
                return None
            return Attempt(target.server, SendProgress.SOME, response_kind)
        retry_after = first_header(response.headers, names.RETRY_AFTER)
        await node.http_client.read_body(response, MAX_TICKET_RESPONSE_BYTES, 1.0)
        if outcome == Outcome.RAN.value:
            context.writer.send_problem(
                ran_problem(
                    409, code, "the request ran; its answer is lost", context.ticket
                ),
            )
            return None
        response_kind = (
            ResponseKind.NOT_RUN
            if outcome == Outcome.NOT_RUN.value
            else ResponseKind.UNKNOWN
        )
        retry_after_seconds = names.parse_seconds(retry_after)
        return Attempt(
            target.server, SendProgress.SOME, response_kind, code, retry_after_seconds
        )

    def _compare_revision(self, server: str, response: Any) -> None:
        revision = names.parse_count(first_header(response.headers, names.REVISION))
        digest = first_header(response.headers, names.DIGEST)
        if revision and digest:
            node = self._node
            node.perform(
                node.relay.compare_revision(server, revision, digest, read_now()),
            )

    def decide(self, context: AttemptContext, attempt: Attempt) -> RetryDecision:
        """Decide how to proceed after an attempt."""
        facts = RequestFacts(
            context.idempotent,
            context.call.deadline,
            context.ticket_origin,
            failed_targets=frozenset(
                target.server for target in context.failed_targets
            ),
            may_have_run=context.may_have_run,
            lost_targets=context.lost_targets,
            has_other_target=self._has_other_target(context),
            delivered=context.call.stream_progress.delivered,
            body_begun=context.call.head_written,
            resumable=context.resumable,
        )
        return decide_retry(attempt, facts, self._node.retry_budget, read_now())

    def _has_other_target(self, context: AttemptContext) -> bool:
        failed_targets = (
            context.failed_targets | {context.target}
            if context.target
            else context.failed_targets
        )
        route = exclude_failed_targets(
            context.route, failed_targets, context.call.run_alone
        )
        return self._node.can_route(route)

    def _may_move(self, context: AttemptContext) -> bool:
        """Return whether another target could go on with a stream or repeat it."""
        may_repeat = (
            context.resumable if context.call.head_written else context.idempotent
        )
        return may_repeat and self._has_other_target(context)

    def report_outcome(self, context: AttemptContext, decision: RetryDecision) -> None:
        """Report the outcome of a request to its caller."""
        match decision:
            case RevokeFirst():
                raise AssertionError("RevokeFirst must be handled by `run`")
            case ReportNotRun(code, retry_after):
                status = status_for_code(code)
                detail = f"the request was not run: {code}"
                problem = not_run_problem(
                    status, code, detail, retry_after or None, context.ticket
                )
                context.writer.send_problem(problem)
            case ReportUnknown(code):
                detail = f"it is unknown whether the request ran: {code}"
                context.writer.send_problem(
                    unknown_problem(code, detail, context.ticket)
                )
            case ReturnResult() | RetryElsewhere() | ResumeAt():
                detail = "the request ran, but its answer was lost"
                context.writer.send_problem(
                    ran_problem(502, "answer-lost", detail, context.ticket)
                )

    async def _revoke_ticket(
        self, context: AttemptContext, target: Target
    ) -> Attempt | None:
        """Request an agent to revoke a ticket.

        Return the attempt at the revocation, None if the caller has its response.
        """
        response = await self._tickets.revoke(context, target.server)
        if response is None:
            return Attempt(
                target.server, SendProgress.SOME, ResponseKind.NOTHING, revocation=True
            )
        attempt = await self._handle_response(context, target, response)
        return attempt and replace(attempt, revocation=True)

    def _report_no_route(self, context: AttemptContext, no_route: NoRoute) -> None:
        match no_route.reason:
            case NoRouteReason.UNKNOWN_POOL:
                problem = not_run_problem(404, "model_not_found", no_route.reason.value)
            case NoRouteReason.NOT_ALLOWED:
                problem = not_run_problem(404, "model_not_found", no_route.reason.value)
            case _:
                problem = build_unsent_problem(
                    context, "no-server", no_route.retry_after or 1.0
                )
        context.writer.send_problem(problem)


def _do_nothing() -> None:
    pass


def _routing_outcome(call: EntryCall, attempt: Attempt | None) -> RoutingOutcome:
    if call.caller_disconnected:
        return RoutingOutcome.CANCELLED
    if attempt is None:
        return RoutingOutcome.COMPLETED
    if attempt.response is ResponseKind.NOT_RUN:
        return RoutingOutcome.REFUSED
    return RoutingOutcome.FAILED
