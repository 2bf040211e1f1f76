"""transport: the attempts of an entry at one request.

The loop here only carries out what routing and `retries` decide.
"""

from dataclasses import replace
from typing import Any

from opentelemetry.trace import SpanKind
from result import Err, Ok
from twisted.internet import task

from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.crash_suspects import CRASHES_SERVER, Convicted, RunAlone
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.entry_tickets import MAX_TICKET_ANSWER_BYTES, TicketClient
from lacewingcleat.entry_context import (
    Work,
    exclude_targets,
    hop_headers,
    status_of,
    unsent_problem,
)
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_client import SendState, first_header, set_headers
from lacewingcleat.load_view import Target
from lacewingcleat.messages import CrashReport
from lacewingcleat.problems import not_run, ran, unknown_problem
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
from lacewingcleat.tracing import end_span, traceparent_of

# An answer's head can take as long as the queue at the agent; after this time the work
# is better placed elsewhere.
HEAD_TIMEOUT_SECONDS = 30.0
# Time in which a changed sheet reaches this entry after an agent has it.
SHEET_WAIT_SECONDS = 0.05
MAX_ATTEMPTS = 8
# Crash reports take two to three hops inside a zone.
CRASH_REPORT_WAIT_SECONDS = 0.1
# Suspects of crashes run one after the other on a server.
MIN_ALONE_WAIT_SECONDS = 0.2


class Attempts:
    """Send requests to agents until their callers have an answer.

    :param node: the entry's state and control plane.
    """

    def __init__(self, node: EntryNode, tickets: TicketClient) -> None:
        self._node = node
        self._tickets = tickets

    async def run(self, work: Work) -> None:
        """Attempt a request until its caller has an answer."""
        node = self._node
        node.budget.count_request(read_now())
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            if work.call.caller_gone:
                return
            choice = node.choose(
                exclude_targets(work.route, work.failed, work.call.alone)
            )
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
            decision = self.decide(work, attempt)
            if isinstance(decision, RevokeFirst):
                revoked = await self._revoke(work, choice.target)
                if revoked is None:
                    return
                attempt = revoked
                decision = self.decide(work, attempt)
            if not isinstance(decision, RetryElsewhere | ResumeAt):
                self.report(work, decision)
                return
            if not await self._may_run_again(work, attempt):
                return
            await self._prepare_retry(work, choice.target, attempt, decision)
        work.writer.refuse(unsent_problem(work, "attempts-exhausted", 1.0))

    async def _wait_for_target(self, work: Work, attempt: Attempt) -> bool:
        """Wait if a refusal passes by itself; return whether to try again.

        Such a refusal is no failure of the target and costs no retry. The deadline
        bounds the waiting.
        """
        if attempt.response is not ResponseKind.NOT_RUN:
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

    async def _may_run_again(self, work: Work, attempt: Attempt) -> bool:
        """Return whether a request may be sent again after it was lost.

        Its server may have crashed by it. The crash report needs a moment to get here;
        without the wait, the request would reach the next server beside others.
        """
        if (
            attempt.sent is SendProgress.NOTHING
            or attempt.response is ResponseKind.NOT_RUN
        ):
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
        silent = attempt.response in (ResponseKind.NOTHING, ResponseKind.BROKEN)
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
        node.perform(node.suspects.record_report(report, neighbours, now))

    async def _prepare_retry(
        self,
        work: Work,
        target: Target,
        attempt: Attempt,
        decision: RetryElsewhere | ResumeAt,
    ) -> None:
        node = self._node
        node.metrics.retries.labels(attempt.code or attempt.response.name.lower()).inc()
        if isinstance(decision, ResumeAt):
            node.metrics.stream_resumes.inc()
        else:
            work.may_have_run = decision.may_have_run
        work.failed |= {target}
        if attempt.sent is SendProgress.SOME and attempt.response in (
            ResponseKind.NOTHING,
            ResponseKind.BROKEN,
        ):
            work.lost_targets += 1

    async def _attempt(self, work: Work, choice: Choice) -> Attempt | None:
        """Make one attempt; return None if the caller has its answer."""
        node = self._node
        sheet = node.sheet
        if sheet is None or choice.server not in sheet.server_by_name:
            return Attempt(
                choice.server, SendProgress.NOTHING, ResponseKind.NOTHING, "server-left"
            )
        if work.origin is TicketOrigin.ENTRY:
            minted = await self._tickets.mint_at(
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
        attempt = await self.send(work, choice.target, address, cost)
        call.on_first_byte = _do_nothing
        tokens = call.progress.delivered
        ended = _routing_outcome(call, attempt)
        router.record_finish(routed, ended, read_now(), tokens)
        return attempt

    async def send(
        self,
        work: Work,
        target: Target,
        address: str,
        cost_seconds: float,
    ) -> Attempt | None:
        """Send a request to an agent and pass its answer on."""
        node = self._node
        call = work.call
        span = node.tracing.start_span("attempt", SpanKind.CLIENT, parent=call.span)
        headers = hop_headers(node, work, target, cost_seconds)
        set_headers(headers, {names.TRACEPARENT: traceparent_of(span)})
        uri = call.request.uri.decode("ascii", "replace")
        remaining = call.deadline - read_now()
        timeout = min(HEAD_TIMEOUT_SECONDS, remaining) if work.idempotent else remaining

        def hold(pending: Any) -> None:
            call.pending = pending

        sent = await node.http_client.send(
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
                state = SendProgress.NOTHING if nothing else SendProgress.SOME
                return Attempt(target.server, state, ResponseKind.NOTHING)
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
        work: Work,
        target: Target,
        response: Any,
    ) -> Attempt | None:
        node = self._node
        outcome = first_header(response.headers, names.OUTCOME)
        code = first_header(response.headers, names.OUTCOME_CODE)
        self._observe_revision(target.server, response)
        if outcome == Outcome.RAN.value and not code:
            said = await work.writer.pass_on(response, work.ticket)
            if said is ResponseKind.COMPLETE:
                return None
            return Attempt(target.server, SendProgress.SOME, said)
        retry_after = first_header(response.headers, names.RETRY_AFTER)
        await node.http_client.read_body(response, MAX_TICKET_ANSWER_BYTES, 1.0)
        if outcome == Outcome.RAN.value:
            work.writer.refuse(
                ran(409, code, "the request ran; its answer is lost", work.ticket),
            )
            return None
        said = (
            ResponseKind.NOT_RUN
            if outcome == Outcome.NOT_RUN.value
            else ResponseKind.UNKNOWN
        )
        seconds = names.parse_seconds(retry_after)
        return Attempt(target.server, SendProgress.SOME, said, code, seconds)

    def _observe_revision(self, server: str, response: Any) -> None:
        revision = names.parse_count(first_header(response.headers, names.REVISION))
        digest = first_header(response.headers, names.DIGEST)
        if revision and digest:
            node = self._node
            node.perform(
                node.relay.observe(server, revision, digest, read_now()),
            )

    def decide(self, work: Work, attempt: Attempt) -> RetryDecision:
        """Decide what follows an attempt."""
        facts = RequestFacts(
            work.idempotent,
            work.call.deadline,
            work.origin,
            failed_targets=frozenset(target.server for target in work.failed),
            may_have_run=work.may_have_run,
            lost_targets=work.lost_targets,
            has_other_target=self._has_other_target(work),
            delivered=work.call.progress.delivered,
            body_begun=work.call.head_written,
            resumable=work.stream,
        )
        return decide_retry(attempt, facts, self._node.budget, read_now())

    def _has_other_target(self, work: Work) -> bool:
        failed = work.failed | {work.target} if work.target else work.failed
        route = exclude_targets(work.route, failed, work.call.alone)
        return self._node.can_route(route)

    def report(self, work: Work, decision: RetryDecision) -> None:
        """Tell the caller how its request has ended."""
        match decision:
            case RevokeFirst():
                raise AssertionError("a revocation is handled by the loop")
            case ReportNotRun(code, retry_after):
                status = status_of(code)
                detail = f"the request was not run: {code}"
                problem = not_run(
                    status, code, detail, retry_after or None, work.ticket
                )
                work.writer.refuse(problem)
            case ReportUnknown(code):
                detail = f"it is unknown whether the request ran: {code}"
                work.writer.refuse(unknown_problem(code, detail, work.ticket))
            case ReturnResult() | RetryElsewhere() | ResumeAt():
                detail = "the request ran, but its answer was lost"
                work.writer.refuse(ran(502, "answer-lost", detail, work.ticket))

    async def _revoke(self, work: Work, target: Target) -> Attempt | None:
        """Ask an agent to revoke a ticket; return None if the caller has its answer."""
        response = await self._tickets.revoke(work, target.server)
        if response is None:
            return Attempt(
                target.server, SendProgress.SOME, ResponseKind.NOTHING, revocation=True
            )
        attempt = await self._take_answer(work, target, response)
        return attempt and replace(attempt, revocation=True)

    def _report_no_route(self, work: Work, no_route: NoRoute) -> None:
        match no_route.reason:
            case NoRouteReason.UNKNOWN_POOL:
                problem = not_run(404, "model_not_found", no_route.reason.value)
            case NoRouteReason.NOT_ALLOWED:
                problem = not_run(404, "model_not_found", no_route.reason.value)
            case _:
                problem = unsent_problem(work, "no-server", no_route.retry_after or 1.0)
        work.writer.refuse(problem)


def _do_nothing() -> None:
    pass


def _routing_outcome(call: EntryCall, attempt: Attempt | None) -> RoutingOutcome:
    if call.caller_gone:
        return RoutingOutcome.CANCELLED
    if attempt is None:
        return RoutingOutcome.COMPLETED
    if attempt.response is ResponseKind.NOT_RUN:
        return RoutingOutcome.REFUSED
    return RoutingOutcome.FAILED
