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
from lacewingcleat.agent_answers import AgentAnswers, ticket_problem
from lacewingcleat.agent_gate import GateEvent, GateRequest, Queued, Refused
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.agent_tickets import AgentTickets
from lacewingcleat.chat_api import SERVICES_PREFIX
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_client import (
    BodyReceiver,
    SendState,
    Throttle,
    copy_headers,
    has_body,
    set_headers,
)
from lacewingcleat.http_server import BoundedFactory, BoundedRequest
from lacewingcleat.problems import Problem, not_run, unknown_problem
from lacewingcleat.sheet import DEFAULT_PRIORITY
from lacewingcleat.tickets import (
    MAX_RESPONSE_BYTES,
    Response,
    TicketCode,
    TicketStarted,
    Unknown,
)
from lacewingcleat.tracing import end_span, traceparent_of

CANCEL_TIMEOUT_SECONDS = 1.0

# The agent passes on a trace context of its own. `copy_headers` drops all headers that
# concern the hop between entry and agent.
REPLACED_HEADERS = frozenset({names.TRACEPARENT.lower().encode()})
STATUS_BY_REFUSAL = {"overload": 503, "displaced": 503, "deadline": 504}


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
        self._answers = AgentAnswers(node)
        self._tickets = AgentTickets(node, self._answers)
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
            self._answers.refuse(request, not_run(413, "body-too-large", detail))
            return
        match (request.method, path):
            case (b"POST", "/lacewing/tickets"):
                self._tickets.mint(request)
            case (b"POST", "/lacewing/tickets/revoke"):
                self._watch(self._tickets.revoke(request), request)
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
        self._answers.refuse(request, unknown_problem("internal-error", detail))

    def apply_gate_events(self, events: list[GateEvent]) -> None:
        """Tell waiting calls that they start or are refused."""
        for event in events:
            call = self._call_by_id.get(event.request_id)
            if call is not None and not call.admitted.called:
                call.admitted.callback(event)

    # Requests

    async def _relay(self, request: BoundedRequest, path: str) -> None:
        self._observe_sender(request)
        call = self._make_call(request)
        token = request.header(names.TICKET) or ""
        if not token and self._needs_ticket(request, path):
            detail = "a non-idempotent call needs a ticket"
            self._end(call, not_run(428, TicketCode.REQUIRED, detail))
            return
        if token:
            # The book comes first: a copy of the request may have run already, and
            # then no other refusal may call it not run.
            call.ticket_id = await self._tickets.present(
                request, token, call.fingerprint
            )
            if not call.ticket_id:
                end_span(call.span, {"lacewing.ticket": "answered"}, False)
                return
        refusal = self._refuse_early(call)
        if refusal is not None:
            self._end_unstarted(call, refusal, token)
            return
        self._call_by_id[call.request_id] = call
        gone: defer.Deferred[None] = request.notifyFinish()
        gone.addErrback(lambda _: self._caller_gone(call))
        try:
            await self._admit_and_run(call, path, token)
        finally:
            del self._call_by_id[call.request_id]
            if call.ticket_id:
                self._tickets.wake(call.ticket_id)

    def _refuse_early(self, call: _Call) -> Problem | None:
        """Return why a request does not even come to the gate."""
        node = self._node
        if call.request_id in self._call_by_id:
            return not_run(409, "duplicate", "a request with this id is running")
        if len(self._call_by_id) >= self._settings.open_request_limit:
            detail = "the agent has too many open requests"
            return not_run(503, "overload", detail, 1.0)
        if not node.backend_up:
            return not_run(503, "backend-down", "the backend server is down", 1.0)
        alone = call.request.header(names.RUN_ALONE) is not None
        return node.refuse_suspect(call.fingerprint, alone)

    def _end_unstarted(self, call: _Call, problem: Problem, token: str) -> None:
        """Refuse a request; its ticket, if any, never starts afterwards."""
        if call.ticket_id:
            outcome = self._node.book.refuse(call.ticket_id, problem.code)
            self._tickets.wake(call.ticket_id)
            if isinstance(outcome, Unknown):
                problem = ticket_problem(outcome, token)
        self._end(call, problem)

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
                self._end(call, ticket_problem(started, token))
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
        detail = f"the backend server refused the request: {code}"
        status = STATUS_BY_REFUSAL.get(code, 503)
        problem = not_run(status, code, detail, refused.retry_after_seconds)
        self._end_unstarted(call, problem, token)

    async def _run(self, call: _Call, path: str, token: str) -> None:
        node = self._node
        request = call.request
        span = node.tracing.start_span("backend", SpanKind.CLIENT, parent=call.span)
        headers = copy_headers(request.requestHeaders, REPLACED_HEADERS)
        own = {names.TRACEPARENT: traceparent_of(span)}
        if self._settings.backend_kind == "engine":
            own[names.REQUEST_ID] = call.request_id
            own[names.PRIORITY] = request.header(names.PRIORITY) or ""
        set_headers(headers, own)
        target = self._backend_path(request, path)
        body = self._backend_body(request)
        sent = await node.http_client.send(
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
            self._node.book.mark_lost(call.ticket_id)
        if call.caller_gone:
            return
        alone = call.request.header(names.RUN_ALONE) is not None
        await self._node.check_backend(call.fingerprint, alone)
        detail = f"the connection to the backend server broke: {text}"
        self._end(call, unknown_problem("backend-lost", detail, token))

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
            self._answers.set_outcome(request, Outcome.RAN)
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
            book.mark_lost(call.ticket_id)
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
        await self._node.http_client.fetch(
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
        self._answers.refuse(call.request, problem)


def _path_below_service(path: str, name: str) -> str:
    below = path.removeprefix(f"{SERVICES_PREFIX}{name}")
    return below or "/"
