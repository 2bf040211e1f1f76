"""transport: the HTTP side of an agent.

Every request to the backend server passes through here: the ticket book decides whether
a non-idempotent call may run, the gate when, and the answer goes back as it arrives.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec
from opentelemetry.trace import Span, SpanKind
from result import Err, Ok
from twisted.internet import defer
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.agent_gate import GateEvent, GateRequest, Queued, Refused
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.chat_api import SERVICES_PREFIX
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_relay import (
    BodyReceiver,
    SendState,
    Throttle,
    copy_headers,
    has_body,
    set_headers,
)
from lacewingcleat.http_server import BoundedFactory, BoundedRequest
from lacewingcleat.problems import Problem, not_run, ran, unknown
from lacewingcleat.sheet import DEFAULT_PRIORITY, DEFAULT_TICKET_SECONDS
from lacewingcleat.tickets import (
    MAX_RESPONSE_BYTES,
    Attach,
    NotRun,
    Ran,
    Response,
    RunNow,
    Stored,
    TicketCode,
    Unknown,
)
from lacewingcleat.tickets import Started as TicketStarted
from lacewingcleat.tracing import end_span, traceparent_of

MINT_PATH = "/lacewing/tickets"
REVOKE_PATH = "/lacewing/tickets/revoke"
CANCEL_PATH = "/lacewing/cancel"
CANCEL_TIMEOUT_SECONDS = 1.0
TICKET_RANDOM_BYTES = 16

# Headers that concern the hop between entry and agent and not the backend server.
HOP_HEADERS = frozenset(
    name.lower().encode()
    for name in (
        names.ENTRY,
        names.ACCOUNT,
        names.FIRM,
        names.REVISION,
        names.DIGEST,
        names.ROUTING_DIGEST,
        names.GROUP,
        names.SERVICE,
        names.RUN_ALONE,
        names.TICKET,
        names.FINGERPRINT,
        names.COST_SECONDS,
        names.RESUME_OFFSET,
        names.TRACEPARENT,
    )
)
STATUS_BY_REFUSAL = {"overload": 503, "displaced": 503, "deadline": 504}


class _MintBody(msgspec.Struct):
    service: str
    account: str
    key: str = ""


class _RevokeBody(msgspec.Struct):
    ticket: str
    account: str


@dataclass(slots=True)
class _Call:
    """Hold one request on its way to the backend server."""

    request: BoundedRequest
    request_id: str
    span: Span
    deadline: float
    fingerprint: str
    cost_seconds: float
    ticket_id: str = ""
    caller_gone: bool = False
    admitted: "defer.Deferred[GateEvent]" = field(default_factory=defer.Deferred)
    pending: Any = None
    receiver: BodyReceiver | None = None


class AgentServer:
    """Serve entries on behalf of one backend server.

    :param node: the agent's state and control plane.
    """

    def __init__(self, node: AgentNode) -> None:
        self._node = node
        self._call_by_id: dict[str, _Call] = {}
        self._waiters_by_ticket: dict[str, list[defer.Deferred[None]]] = {}
        self._settings = node.settings
        self.factory = BoundedFactory(self.handle, node.settings.body_limit_bytes)
        node.on_gate_events = self.apply_gate_events

    @property
    def open_calls(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._call_by_id)

    def handle(self, request: BoundedRequest) -> None:
        """Dispatch one request."""
        self._node.observe_clock()
        path = request.path_text()
        if request.too_large:
            detail = f"the body exceeds {self._settings.body_limit_bytes} bytes"
            self._refuse(request, not_run(413, "body-too-large", detail))
            return
        match (request.method, path):
            case (b"POST", "/lacewing/tickets"):
                self._mint(request)
            case (b"POST", "/lacewing/tickets/revoke"):
                self._watch(self._revoke(request), request)
            case (b"POST", "/lacewing/cancel"):
                self._cancel_by_id(request)
            case _:
                self._watch(self._relay(request, path), request)

    def _watch(self, handling: Any, request: BoundedRequest) -> None:
        """Answer a request whose handling fails; it may have been sent."""
        done: defer.Deferred[None] = defer.ensureDeferred(handling)
        done.addErrback(self._fail, request)

    def _fail(self, failure: Any, request: BoundedRequest) -> None:
        self._node.log.error(f"a request failed: {failure.getTraceback()}")
        detail = "the agent failed while it handled the request"
        self._refuse(request, unknown("internal-error", detail))

    def apply_gate_events(self, events: list[GateEvent]) -> None:
        """Tell waiting calls that they start or are refused."""
        for event in events:
            call = self._call_by_id.get(event.request_id)
            if call is not None and not call.admitted.called:
                call.admitted.callback(event)

    # Tickets

    def _mint(self, request: BoundedRequest) -> None:
        now = self._node.now()
        try:
            body = msgspec.json.decode(request.body.getvalue(), type=_MintBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._refuse(request, not_run(400, "malformed-request", str(error)))
            return
        sheet = self._node.sheet
        service = sheet.service_by_name.get(body.service) if sheet else None
        if self._node.gate.leaving or service is None:
            detail = "the backend server takes no new work for this service"
            self._refuse(request, not_run(503, "leaving", detail, 1.0))
            return
        seconds = service.ticket_seconds if service else DEFAULT_TICKET_SECONDS
        minted = self._node.book.mint(
            body.service,
            body.account,
            self._node.random_bytes(TICKET_RANDOM_BYTES),
            now,
            body.key,
            seconds,
        )
        match minted:
            case Ok(ticket):
                document = {"ticket": ticket.token, "expires_seconds": seconds}
                self._set_outcome(request, Outcome.NOT_RUN)
                request.respond(201, "application/json", msgspec.json.encode(document))
            case Err(refusal):
                self._refuse(request, _ticket_problem(refusal, ""))

    async def _revoke(self, request: BoundedRequest) -> None:
        now = self._node.now()
        try:
            body = msgspec.json.decode(request.body.getvalue(), type=_RevokeBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._refuse(request, not_run(400, "malformed-request", str(error)))
            return
        outcome = self._node.book.revoke(body.ticket, body.account, now)
        match outcome:
            case Attach(ticket_id):
                await self._attach(request, ticket_id, body.ticket, body.account)
            case Stored(_, response):
                self._respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._refuse(request, _ticket_problem(outcome, body.ticket))

    async def _attach(
        self,
        request: BoundedRequest,
        ticket_id: str,
        token: str,
        account: str,
    ) -> None:
        """Wait for the running copy and answer with its outcome."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters_by_ticket.setdefault(ticket_id, []).append(waiter)
        await waiter
        outcome = self._node.book.revoke(token, account, self._node.now())
        match outcome:
            case Stored(_, response):
                self._respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._refuse(request, _ticket_problem(outcome, token))
            case Attach():
                detail = "the request is still running"
                self._refuse(request, unknown("still-running", detail, token))

    def _wake_attached(self, ticket_id: str) -> None:
        for waiter in self._waiters_by_ticket.pop(ticket_id, []):
            waiter.callback(None)

    # Requests

    async def _relay(self, request: BoundedRequest, path: str) -> None:
        node = self._node
        self._observe_sender(request)
        call = self._make_call(request)
        if call.request_id in self._call_by_id:
            detail = "a request with this id is running"
            self._end(call, not_run(409, "duplicate", detail))
            return
        if len(self._call_by_id) >= self._settings.open_request_limit:
            detail = "the agent has too many open requests"
            self._end(call, not_run(503, "overload", detail, 1.0))
            return
        if not node.backend_up:
            detail = "the backend server is down"
            self._end(call, not_run(503, "backend-down", detail, 1.0))
            return
        refusal = node.refuse_suspect(
            call.fingerprint, request.header(names.RUN_ALONE) is not None
        )
        if refusal is not None:
            self._end(call, refusal)
            return
        token = request.header(names.TICKET) or ""
        if not token and self._needs_ticket(request, path):
            detail = "a non-idempotent call needs a ticket"
            self._end(call, not_run(428, TicketCode.REQUIRED, detail))
            return
        if token and not await self._present_ticket(call, token):
            return
        self._call_by_id[call.request_id] = call
        gone: defer.Deferred[None] = request.notifyFinish()
        gone.addErrback(lambda _: self._caller_gone(call))
        try:
            await self._admit_and_run(call, path, token)
        finally:
            del self._call_by_id[call.request_id]
            if call.ticket_id:
                self._wake_attached(call.ticket_id)

    def _observe_sender(self, request: BoundedRequest) -> None:
        """Hand over a newer sheet to the entry, or ask it for its own."""
        entry = request.header(names.ENTRY)
        revision = names.parse_count(request.header(names.REVISION) or "")
        digest = request.header(names.DIGEST) or ""
        if entry and revision and digest:
            node = self._node
            node.perform(node.relay.observe(entry, revision, digest, node.now()))

    def _make_call(self, request: BoundedRequest) -> _Call:
        node = self._node
        request_id = request.header(names.REQUEST_ID) or node.random_bytes(8).hex()
        deadline = names.parse_deadline(request.header(names.DEADLINE_MS))
        span = node.tracing.start_span(
            "agent",
            SpanKind.SERVER,
            names.parse_traceparent(request.header(names.TRACEPARENT)),
            attributes={"lacewing.request_id": request_id},
        )
        return _Call(
            request,
            request_id,
            span,
            node.now() + deadline.unwrap_or(names.DEFAULT_DEADLINE_SECONDS),
            request.header(names.FINGERPRINT) or "",
            names.parse_seconds(request.header(names.COST_SECONDS)),
        )

    def _needs_ticket(self, request: BoundedRequest, path: str) -> bool:
        """Return whether the sheet calls for a ticket, whatever the entry believes."""
        name = request.header(names.SERVICE)
        sheet = self._node.sheet
        if not name or sheet is None or self._settings.backend_kind == "engine":
            return False
        service = sheet.service_by_name.get(name)
        method = request.method.decode("ascii", "replace")
        return service is None or not service.is_idempotent(
            method,
            _path_below_service(path, name),
        )

    async def _present_ticket(self, call: _Call, token: str) -> bool:
        """Return whether the request may run under its ticket; else answer it."""
        request = call.request
        presented = self._node.book.present(
            token,
            request.header(names.SERVICE) or "",
            request.header(names.ACCOUNT) or "",
            call.fingerprint,
            self._node.now(),
            request.header(names.IDEMPOTENCY_KEY) or "",
        )
        self._node.metrics.tickets.labels(type(presented).__name__).inc()
        match presented:
            case RunNow(ticket_id):
                call.ticket_id = ticket_id
                return True
            case Attach(ticket_id):
                account = request.header(names.ACCOUNT) or ""
                await self._attach(request, ticket_id, token, account)
            case Stored(_, response):
                self._respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._refuse(request, _ticket_problem(presented, token))
        end_span(call.span, {"lacewing.ticket": type(presented).__name__}, False)
        return False

    async def _admit_and_run(self, call: _Call, path: str, token: str) -> None:
        node = self._node
        decision = node.gate.admit(self._gate_request(call), node.now())
        if isinstance(decision, Queued):
            try:
                decision = await call.admitted
            except defer.CancelledError:
                end_span(call.span, {"lacewing.code": "cancelled"}, True)
                return
        if isinstance(decision, Refused):
            self._end_refused(call, decision, token)
            return
        node.metrics.decisions.labels("started").inc()
        if call.ticket_id:
            started = node.book.start(call.ticket_id, node.now())
            if not isinstance(started, TicketStarted):
                self.apply_gate_events(node.gate.cancel(call.request_id, node.now()))
                self._end(call, _ticket_problem(started, token))
                return
        node.begin_run(call.request_id, call.fingerprint, call.cost_seconds)
        try:
            await self._run(call, path, token)
        finally:
            node.end_run(call.request_id)
            self.apply_gate_events(node.gate.finish(call.request_id, node.now()))

    def _gate_request(self, call: _Call) -> GateRequest:
        request = call.request
        priority = names.parse_priority(
            request.header(names.PRIORITY),
            DEFAULT_PRIORITY,
        )
        return GateRequest(
            call.request_id,
            request.header(names.ACCOUNT) or "",
            request.header(names.FIRM) or "",
            priority.unwrap_or(DEFAULT_PRIORITY),
            names.parse_count(request.header(names.REVISION)),
            request.header(names.ROUTING_DIGEST) or "",
            call.deadline,
            request.header(names.RUN_ALONE) is not None,
        )

    def _end_refused(self, call: _Call, refused: Refused, token: str) -> None:
        code = refused.reason.value
        self._node.metrics.decisions.labels(code).inc()
        if call.ticket_id:
            outcome = self._node.book.refuse(call.ticket_id, code)
            if isinstance(outcome, Unknown):
                self._end(call, _ticket_problem(outcome, token))
                return
        detail = f"the backend server refused the request: {code}"
        status = STATUS_BY_REFUSAL.get(code, 503)
        self._end(call, not_run(status, code, detail, refused.retry_after_seconds))

    async def _run(self, call: _Call, path: str, token: str) -> None:
        node = self._node
        request = call.request
        span = node.tracing.start_span("backend", SpanKind.CLIENT, parent=call.span)
        headers = copy_headers(request.requestHeaders, HOP_HEADERS)
        own = {names.TRACEPARENT: traceparent_of(span)}
        if self._settings.backend_kind == "engine":
            own[names.REQUEST_ID] = call.request_id
            own[names.PRIORITY] = request.header(names.PRIORITY) or ""
        set_headers(headers, own)
        target = self._backend_path(request, path)
        body = self._backend_body(request)
        sent = await node.client.send(
            request.method.decode("ascii", "replace"),
            self._settings.backend_address,
            target,
            headers,
            body,
            call.deadline - node.now(),
            lambda pending: setattr(call, "pending", pending),
        )
        call.pending = None
        match sent:
            case Ok(response):
                complete = await self._pass_on(call, response)
                await self._judge_end(call, complete)
                end_span(span, {"http.status_code": response.code}, not complete)
                end_span(call.span, {"lacewing.complete": complete}, not complete)
            case Err(failure) if failure.state is SendState.NOT_SENT:
                end_span(span, {"lacewing.error": failure.text}, True)
                if call.ticket_id:
                    node.book.refuse_unsent(call.ticket_id, "backend-unreachable")
                await node.check_backend("")
                detail = "the backend server does not accept connections"
                self._end(call, not_run(503, "backend-unreachable", detail, 1.0))
            case Err(failure):
                end_span(span, {"lacewing.error": failure.text}, True)
                await self._end_lost(call, token, failure.text)

    async def _judge_end(self, call: _Call, complete: bool) -> None:
        alone = call.request.header(names.RUN_ALONE) is not None
        if complete and alone:
            self._node.clear_suspect(call.fingerprint)
        if not complete and not call.caller_gone:
            await self._node.check_backend(call.fingerprint, alone)
            # A broken chunked body tells the entry that the answer is not whole.
            if call.request.is_open:
                call.request.channel.forceAbortClient()

    async def _end_lost(self, call: _Call, token: str, text: str) -> None:
        if call.ticket_id:
            self._node.book.lose(call.ticket_id)
        if call.caller_gone:
            return
        alone = call.request.header(names.RUN_ALONE) is not None
        await self._node.check_backend(call.fingerprint, alone)
        detail = f"the connection to the backend server broke: {text}"
        self._end(call, unknown("backend-lost", detail, token))

    def _backend_path(self, request: BoundedRequest, path: str) -> str:
        name = request.header(names.SERVICE)
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        if name:
            path = _path_below_service(path, name)
        return f"{path}?{query}" if query else path

    def _backend_body(self, request: BoundedRequest) -> bytes:
        body = request.body.getvalue()
        offset = names.parse_count(request.header(names.RESUME_OFFSET))
        if not offset:
            return body
        document = msgspec.json.decode(body)
        document["lacewing_resume_offset"] = offset
        return msgspec.json.encode(document)

    async def _pass_on(self, call: _Call, response: Any) -> bool:
        """Pass an answer on to the entry; return whether it was complete."""
        node = self._node
        request = call.request
        if request.is_open:
            request.setResponseCode(response.code)
            request.responseHeaders = copy_headers(response.headers)
            self._set_outcome(request, Outcome.RAN)
            if isinstance(response.length, int):
                request.setHeader(b"Content-Length", str(response.length).encode())
        kept: list[bytes] | None = [] if call.ticket_id else None
        kept_bytes = 0
        ended: defer.Deferred[bool] = defer.Deferred()

        def receive(data: bytes) -> None:
            nonlocal kept, kept_bytes
            if kept is not None:
                kept_bytes += len(data)
                kept.append(data)
                if kept_bytes > MAX_RESPONSE_BYTES:
                    kept = None
            if request.is_open:
                request.write(data)

        receiver = BodyReceiver(receive, ended.callback)
        call.receiver = receiver
        limit = node.reactor.callLater(
            max(0.0, call.deadline - node.now()),
            receiver.abort,
        )
        response.deliverBody(receiver)
        if request.is_open and has_body(response.code, request.method.decode()):
            request.registerProducer(Throttle(receiver), True)
        complete = await ended
        if limit.active():
            limit.cancel()
        call.receiver = None
        self._store(call, response, kept, complete)
        if request.is_open:
            if request.producer is not None:
                request.unregisterProducer()
            if complete:
                request.finish()
        return complete

    def _store(
        self,
        call: _Call,
        response: Any,
        kept: list[bytes] | None,
        complete: bool,
    ) -> None:
        if not call.ticket_id:
            return
        book = self._node.book
        if not complete:
            book.lose(call.ticket_id)
        elif kept is None:
            book.finish_without_response(call.ticket_id)
        else:
            stored = Response(
                response.code,
                tuple(
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, values in copy_headers(
                        response.headers
                    ).getAllRawHeaders()
                    for value in values
                ),
                b"".join(kept),
            )
            book.finish(call.ticket_id, stored, self._node.now())

    def _caller_gone(self, call: _Call) -> None:
        """Cancel work that nobody waits for, unless it must not be cut off.

        A request under a ticket runs on, because its caller may ask for the stored
        answer; cutting it off would make the outcome unknown.
        """
        call.caller_gone = True
        if call.ticket_id:
            return
        node = self._node
        if call.request_id not in node.running_ids and not call.admitted.called:
            events = node.gate.cancel(call.request_id, node.now())
            self.apply_gate_events(events)
            call.admitted.cancel()
        if call.pending is not None:
            call.pending.cancel()
        if call.receiver is not None:
            call.receiver.abort()
        if self._settings.backend_kind == "engine":
            defer.ensureDeferred(self._cancel_at_engine(call.request_id))

    async def _cancel_at_engine(self, request_id: str) -> None:
        headers = Headers({names.REQUEST_ID: [request_id]})
        await self._node.client.fetch(
            "POST",
            self._settings.backend_address,
            "/cancel",
            headers,
            b"",
            CANCEL_TIMEOUT_SECONDS,
            1 << 16,
        )

    def _cancel_by_id(self, request: BoundedRequest) -> None:
        call = self._call_by_id.get(request.header(names.REQUEST_ID) or "")
        if call is not None:
            self._caller_gone(call)
        request.respond(200, "application/json", b"{}")

    # Answers

    def _end(self, call: _Call, problem: Problem) -> None:
        end_span(call.span, {"lacewing.code": problem.code}, True)
        self._refuse(call.request, problem)

    def _refuse(self, request: BoundedRequest, problem: Problem) -> None:
        if not request.is_open:
            return
        self._set_outcome(request, problem.outcome)
        request.setHeader(names.OUTCOME_CODE.encode(), problem.code.encode())
        request.respond_problem(problem, request.header(names.REQUEST_ID) or "")

    def _respond_stored(self, request: BoundedRequest, response: Response) -> None:
        if not request.is_open:
            return
        headers = Headers()
        for name, value in response.headers:
            headers.addRawHeader(name, value)
        request.responseHeaders = headers
        self._set_outcome(request, Outcome.RAN)
        request.setResponseCode(response.status)
        request.setHeader(b"Content-Length", str(len(response.body)).encode())
        request.write(response.body)
        request.finish()

    def _set_outcome(self, request: BoundedRequest, outcome: Outcome) -> None:
        request.setHeader(names.OUTCOME.encode(), outcome.value.encode())
        revision = str(self._node.revision).encode()
        request.setHeader(names.REVISION.encode(), revision)
        request.setHeader(names.DIGEST.encode(), self._node.relay.digest.encode())


def _path_below_service(path: str, name: str) -> str:
    below = path.removeprefix(f"{SERVICES_PREFIX}{name}")
    return below or "/"


def _ticket_problem(outcome: NotRun | Ran | Unknown, token: str) -> Problem:
    match outcome:
        case NotRun(code):
            detail = f"the request did not run under this ticket: {code}"
            return not_run(409, code, detail)
        case Ran(code):
            detail = f"the request ran, but its answer is not at hand: {code}"
            return ran(409, code, detail, token)
        case Unknown(code):
            return unknown(code, f"nobody can tell whether it ran: {code}", token)
