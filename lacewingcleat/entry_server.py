"""transport: the HTTP server of an entry.

A request is authenticated, checked against the crash suspects and against the limits of
its client account, and then passed to the dispatcher.
"""

from dataclasses import replace
from hashlib import sha256
from typing import Any

import msgspec
from opentelemetry.trace import SpanKind
from result import Err
from twisted.internet import defer, task

from lacewingcleat import chat_api
from lacewingcleat import http_headers as names
from lacewingcleat.account_limits import (
    LimitPermit,
    LimitReason,
    LimitRefusal,
    LimitWait,
)
from lacewingcleat.clock import read_now
from lacewingcleat.crash_suspects import CRASHES_SERVER_DETAIL, Convicted, RunAlone
from lacewingcleat.entry_answer import ResponseWriter
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_dispatch import Dispatcher
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_server import BoundedFactory, BoundedRequest, ClientCutLog
from lacewingcleat.memory_budget import MemoryBudget, derive_limits
from lacewingcleat.problems import Problem, not_run_problem
from lacewingcleat.request_fingerprint import fingerprint_request
from lacewingcleat.sheet import DEFAULT_PRIORITY, ClientAccount, Service
from lacewingcleat.tickets import TicketUse, choose_ticket_use
from lacewingcleat.tracing import end_span

REQUEST_ID_BYTES = 12
STATUS_BY_LIMIT_REASON = {LimitReason.UNKNOWN_ACCOUNT: 401}
DEFAULT_LIMIT_STATUS = 429
# A request that its limit will admit within this time waits instead of being refused,
# so that a small burst does not cost each of its callers a retry after a second.
MAX_LIMIT_WAIT_SECONDS = 0.5


class _TicketBody(msgspec.Struct):
    service: str


class EntryServer:
    """Serve callers' HTTP requests.

    :param node: state and control plane of the entry.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self._dispatcher = Dispatcher(node)
        self._open_count = 0
        settings = node.settings
        self.factory = BoundedFactory(
            self.handle,
            settings.body_limit_bytes,
            MemoryBudget(derive_limits(settings.memory_mb, settings.file_descriptors)),
            ClientCutLog(node.log.warning).record,
            self._count_refused,
        )

    def _count_refused(self, problem: Problem) -> None:
        self._node.metrics.requests.labels(problem.outcome.value, problem.code).inc()

    @property
    def open_calls(self) -> int:
        """Return the number of open requests."""
        return self._open_count

    def handle(self, request: BoundedRequest) -> None:
        """Handle one request."""
        self._node.check_for_pause()
        handling = defer.ensureDeferred(self._handle(request))
        handling.addErrback(self._handle_error, request)

    def _handle_error(self, failure: Any, request: BoundedRequest) -> None:
        """Respond after an internal error; the request may have been sent on."""
        self._node.log.error(f"a request failed: {failure.getTraceback()}")
        if request.is_open:
            detail = "the entry failed while it handled the request"
            problem = Problem(500, Outcome.UNKNOWN, "internal-error", detail)
            request.respond_problem(problem, "")

    async def _handle(self, request: BoundedRequest) -> None:
        problem = self._check_readiness()
        if problem is not None:
            self._refuse_request(request, problem)
            return
        call = self._make_call(request)
        if isinstance(call, Problem):
            self._refuse_request(request, call)
            return
        self._open_count += 1
        disconnected: defer.Deferred[None] = request.notifyFinish()
        disconnected.addErrback(lambda _: call.cancel())
        try:
            await self._dispatch(call)
        finally:
            self._open_count -= 1
            self._record_completion(call)

    def _check_readiness(self) -> Problem | None:
        node = self._node
        if self._open_count >= node.settings.open_request_limit:
            detail = "the entry has too many open requests"
            return not_run_problem(503, "overload", detail, 1.0)
        if not node.relay.ready(read_now()):
            return not_run_problem(503, "no-sheet", "no sheet is in force yet", 1.0)
        return None

    def _make_call(self, request: BoundedRequest) -> EntryCall | Problem:
        node = self._node
        account = self._authenticate(request)
        if isinstance(account, Problem):
            return account
        now = read_now()
        deadline = names.parse_deadline(request.header(names.DEADLINE_MS))
        default_priority = max(DEFAULT_PRIORITY, account.max_priority)
        priority = names.parse_priority(
            request.header(names.PRIORITY), default_priority
        )
        for parsed in (deadline, priority):
            if isinstance(parsed, Err):
                return not_run_problem(400, "malformed-header", parsed.err_value)
        request_id = node.random_bytes(REQUEST_ID_BYTES).hex()
        span = node.tracing.start_span(
            "entry",
            SpanKind.SERVER,
            names.parse_traceparent(request.header(names.TRACEPARENT)),
            attributes={"lacewing.request_id": request_id},
        )
        return EntryCall(
            request,
            request_id,
            account,
            now,
            now + deadline.unwrap(),
            max(priority.unwrap(), account.max_priority),
            span,
        )

    def _authenticate(self, request: BoundedRequest) -> ClientAccount | Problem:
        sheet = self._node.sheet
        key = names.parse_bearer_key(request.header(names.AUTHORIZATION))
        if isinstance(key, Err):
            return not_run_problem(401, "invalid_api_key", key.err_value)
        digest = sha256(key.ok_value.encode()).hexdigest()
        account = sheet.account_by_key_hash.get(digest) if sheet else None
        if account is None:
            return not_run_problem(
                401, "invalid_api_key", "the key belongs to no client account"
            )
        return account

    async def _dispatch(self, call: EntryCall) -> None:
        request = call.request
        path = request.path_text()
        match (request.method, path):
            case (b"GET", chat_api.MODELS_PATH):
                self._list_models(call)
            case (b"POST", chat_api.CHAT_PATH | chat_api.COMPLETIONS_PATH):
                await self._handle_model(call, path)
            case (b"POST", chat_api.TICKETS_PATH):
                await self._handle_ticket(call)
            case _ if path.startswith(chat_api.SERVICES_PREFIX):
                await self._handle_service(call, path)
            case _:
                self._refuse_call(
                    call, not_run_problem(404, "no-such-path", f"no path {path[:80]}")
                )

    def _list_models(self, call: EntryCall) -> None:
        sheet = self._node.sheet
        models = sheet.groups_by_model if sheet else {}
        visible = sorted(
            model
            for model, groups in models.items()
            if any(group.firm in ("", call.account.firm) for group in groups)
        )
        call.outcome = Outcome.RAN
        body = chat_api.encode_model_list(visible)
        call.request.respond(200, "application/json", body)

    async def _handle_model(self, call: EntryCall, path: str) -> None:
        body = call.request.body.getvalue()
        parsed = chat_api.parse_completion_request(path, body)
        if isinstance(parsed, Err):
            self._refuse_call(
                call, not_run_problem(400, "malformed-body", parsed.err_value)
            )
            return
        model = parsed.ok_value
        sheet = self._node.sheet
        if sheet is None or model.model not in sheet.groups_by_model:
            detail = f"the sheet has no model {model.model[:80]!r}"
            self._refuse_call(call, not_run_problem(404, "model_not_found", detail))
            return
        call.segments = model.segments
        if not self._check_crash_suspect(call, model.model, body):
            return
        if await self._admit(call, model.prompt_tokens + model.max_tokens):
            call.used_tokens = 0
            await self._dispatcher.serve_model(call, model)

    async def _handle_service(self, call: EntryCall, path: str) -> None:
        service, service_path = self._find_service(path)
        if service is None:
            self._refuse_call(
                call, not_run_problem(404, "no-such-service", "no such service")
            )
            return
        request = call.request
        key = names.parse_idempotency_key(request.header(names.IDEMPOTENCY_KEY))
        if isinstance(key, Err):
            self._refuse_call(
                call, not_run_problem(400, "malformed-header", key.err_value)
            )
            return
        ticket = request.header(names.TICKET) or ""
        method = request.method.decode("ascii", "replace")
        ticket_use = choose_ticket_use(
            service,
            method,
            service_path,
            bool(ticket),
            bool(key.ok_value),
        )
        target = f"{method} {path}"
        if not self._check_crash_suspect(call, target, request.body.getvalue()):
            return
        if ticket_use is TicketUse.PRESENT or await self._admit(call, 0):
            await self._dispatcher.serve_service(
                call, service, ticket_use, ticket, key.ok_value
            )

    def _find_service(self, path: str) -> tuple[Service | None, str]:
        sheet = self._node.sheet
        name, _, service_path = path.removeprefix(chat_api.SERVICES_PREFIX).partition(
            "/"
        )
        service = sheet.service_by_name.get(name) if sheet else None
        return service, f"/{service_path}"

    async def _handle_ticket(self, call: EntryCall) -> None:
        try:
            body = msgspec.json.decode(call.request.body.getvalue(), type=_TicketBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._refuse_call(call, not_run_problem(400, "malformed-body", str(error)))
            return
        sheet = self._node.sheet
        service = sheet.service_by_name.get(body.service) if sheet else None
        if service is None:
            self._refuse_call(
                call, not_run_problem(404, "no-such-service", "no such service")
            )
            return
        key = names.parse_idempotency_key(call.request.header(names.IDEMPOTENCY_KEY))
        minted = await self._dispatcher.ticket_client.mint(
            call, service, key.unwrap_or("")
        )
        if minted.problem is not None:
            self._refuse_call(call, minted.problem)
            return
        call.outcome = Outcome.RAN
        document = {"ticket": minted.token, "expires_seconds": service.ticket_seconds}
        call.request.respond(201, "application/json", msgspec.json.encode(document))

    def _check_crash_suspect(self, call: EntryCall, target: str, body: bytes) -> bool:
        """Return whether the request may be sent; a suspect is marked to run alone."""
        call.fingerprint = fingerprint_request(call.account.name, target, body)
        match self._node.suspects.verdict(call.fingerprint, read_now(), call.segments):
            case Convicted(retry_after):
                detail = CRASHES_SERVER_DETAIL
                self._refuse_call(
                    call, not_run_problem(422, "crashes-server", detail, retry_after)
                )
                return False
            case RunAlone():
                call.run_alone = True
        return True

    async def _admit(self, call: EntryCall, tokens: int) -> bool:
        """Return whether the account's limits admit the request.

        :param tokens: upper estimate of the tokens that the request uses.
        """
        node = self._node
        name = call.account.name
        decision = node.limits.admit(name, tokens, read_now())
        wait_deadline = read_now() + MAX_LIMIT_WAIT_SECONDS
        while not isinstance(decision, LimitPermit):
            match decision:
                case LimitWait(wait_until, actions):
                    node.perform(actions)
                    await self._wait_for_lease(wait_until)
                case LimitRefusal(_, retry_after_seconds):
                    if read_now() + retry_after_seconds > wait_deadline:
                        break
                    await task.deferLater(
                        node.reactor, retry_after_seconds, lambda: None
                    )
            if call.caller_disconnected:
                return False
            decision = node.limits.admit(name, tokens, read_now(), waited=True)
        if isinstance(decision, LimitPermit):
            call.limit_permit = decision
            return True
        node.metrics.limit_refusals.labels(decision.reason.value).inc()
        status = STATUS_BY_LIMIT_REASON.get(decision.reason, DEFAULT_LIMIT_STATUS)
        detail = f"the client account has reached its limit: {decision.reason.value}"
        problem = not_run_problem(status, decision.reason.value, detail)
        self._refuse_call(
            call,
            Problem(
                problem.status,
                problem.outcome,
                problem.code,
                problem.detail,
                decision.retry_after_seconds,
            ),
        )
        return False

    async def _wait_for_lease(self, wait_until: float) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        waiter.addTimeout(
            max(0.001, wait_until - read_now()),
            self._node.reactor,
            onTimeoutCancel=lambda _result, _timeout: None,
        )
        self._node.lease_waiters.append(waiter)
        await waiter

    def _record_completion(self, call: EntryCall) -> None:
        node = self._node
        now = read_now()
        if call.limit_permit is not None:
            may_have_run = call.outcome is not Outcome.NOT_RUN
            charged_tokens = call.limit_permit.estimated_tokens if may_have_run else 0
            if may_have_run and call.used_tokens:
                charged_tokens = call.used_tokens
            node.limits.finish(call.limit_permit, charged_tokens, now)
        if call.caller_disconnected and call.outcome is Outcome.NOT_RUN:
            call.outcome = Outcome.UNKNOWN
            call.code = "caller-gone"
        node.metrics.requests.labels(call.outcome.value, call.code).inc()
        node.metrics.tokens.inc(call.used_tokens)
        if call.first_byte_at:
            seconds = call.first_byte_at - call.arrived_at
            node.metrics.first_byte_seconds.observe(seconds)
        end_span(
            call.span,
            {"lacewing.outcome": call.outcome.value, "lacewing.code": call.code},
            call.outcome is not Outcome.RAN,
        )

    def _refuse_call(self, call: EntryCall, problem: Problem) -> None:
        reported_problem = adjust_for_ticket(call.request, problem)
        writer = ResponseWriter(self._node.reactor, call, self._node.response_buffers)
        writer.send_problem(reported_problem)

    def _refuse_request(self, request: BoundedRequest, problem: Problem) -> None:
        problem = adjust_for_ticket(request, problem)
        self._node.metrics.requests.labels(problem.outcome.value, problem.code).inc()
        request.setHeader(names.OUTCOME.encode(), problem.outcome.value.encode())
        request.respond_problem(problem, "")


def adjust_for_ticket(request: BoundedRequest, problem: Problem) -> Problem:
    """Return the problem that an entry may report for a request it refuses itself.

    A copy of a request with a ticket may have run through another entry, so only the
    agent that issued the ticket can report that the request was not run.
    """
    ticket = request.header(names.TICKET)
    if not ticket or problem.outcome is not Outcome.NOT_RUN:
        return problem
    return replace(problem, outcome=Outcome.UNKNOWN, ticket=ticket)
