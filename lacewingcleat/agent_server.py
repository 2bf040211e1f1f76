"""transport: the HTTP server of an agent.

Every request to the backend server passes through it. The ticket registry decides
whether a non-idempotent request may run, and the gate decides when. The response is
streamed back to the entry.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec
from opentelemetry.trace import Span, SpanKind
from result import Err, Ok
from twisted.internet import defer
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.agent_answers import AgentResponder, ticket_problem
from lacewingcleat.agent_gate import GateEvent, GateRequest, Queued, Refused
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.agent_tickets import AgentTickets
from lacewingcleat.chat_api import SERVICES_PREFIX
from lacewingcleat.http_client import (
    BackpressureProducer,
    BodyReceiver,
    SendState,
    copy_headers,
    may_have_body,
    set_nonempty_headers,
)
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_server import BoundedFactory, BoundedRequest, ClientCutLog
from lacewingcleat.memory_budget import MemoryBudget, derive_limits
from lacewingcleat.problems import Problem, not_run_problem, unknown_problem
from lacewingcleat.sheet import DEFAULT_PRIORITY
from lacewingcleat.tickets import (
    MAX_RESPONSE_BYTES,
    Response,
    TicketCode,
    TicketStarted,
    Unknown,
)
from lacewingcleat.tracing import end_span, format_traceparent

CANCEL_TIMEOUT_SECONDS = 1.0

# The agent sends the context of its own span. `copy_headers` drops the hop-by-hop and
# internal headers.
REPLACED_HEADERS = frozenset({names.TRACEPARENT.lower().encode()})
STATUS_BY_REFUSAL = {"overload": 503, "displaced": 503, "deadline": 504}


@dataclass(slots=True)
class _Call:
    """Represent one request from its arrival to its end.

    :param deadline: on the agent's clock.
    :param segments: hashes of the prompt segments that other requests may share.
    :param cost_seconds: cost estimated by the entry.
    :param ticket_id: empty for a request without a ticket.
    :param admitted: fires with the gate's decision if the request was queued.
    :param pending: the pending response head; cancelled if the caller disconnects.
    :param body_receiver: the receiver of the response body while it is streamed.
    """

    request: BoundedRequest
    request_id: str
    span: Span
    deadline: float
    fingerprint: str
    segments: tuple[str, ...]
    cost_seconds: float
    ticket_id: str = ""
    caller_disconnected: bool = False
    admitted: "defer.Deferred[GateEvent]" = field(default_factory=defer.Deferred)
    pending: Any = None
    body_receiver: BodyReceiver | None = None


class AgentServer:
    """Serve the requests that entries send to one backend server.

    :param node: the agent's state and control plane.
    """

    def __init__(self, node: AgentNode) -> None:
        self._node = node
        self._call_by_id: dict[str, _Call] = {}
        self._responder = AgentResponder(node)
        self._tickets = AgentTickets(node, self._responder)
        self._settings = node.settings
        self.factory = BoundedFactory(
            self.handle,
            node.settings.body_limit_bytes,
            MemoryBudget(
                derive_limits(self._settings.memory_mb, self._settings.file_descriptors)
            ),
            ClientCutLog(node.log.warning).record,
        )
        node.on_gate_events = self.apply_gate_events

    @property
    def open_calls(self) -> int:
        """Return the number of open requests."""
        return len(self._call_by_id)

    def handle(self, request: BoundedRequest) -> None:
        """Dispatch a request by its method and path."""
        self._node.check_for_pause()
        path = request.path_text()
        match (request.method, path):
            case (b"POST", "/lacewing/tickets"):
                self._tickets.mint(request)
            case (b"POST", "/lacewing/tickets/revoke"):
                self._run_handler(self._tickets.revoke(request), request)
            case (b"POST", "/lacewing/cancel"):
                self._cancel_by_id(request)
            case _:
                self._run_handler(self._relay_request(request, path), request)

    def _run_handler(self, handler: Any, request: BoundedRequest) -> None:
        """Run a handler and respond with an error if it raises.

        The request may have been sent to the backend by then: its outcome is unknown.
        """
        handled: defer.Deferred[None] = defer.ensureDeferred(handler)
        handled.addErrback(self._respond_internal_error, request)

    def _respond_internal_error(self, failure: Any, request: BoundedRequest) -> None:
        self._node.log.error(f"a request failed: {failure.getTraceback()}")
        detail = "the agent failed while it handled the request"
        self._responder.respond_problem(
            request, unknown_problem("internal-error", detail)
        )

    def apply_gate_events(self, events: list[GateEvent]) -> None:
        """Resume queued requests that the gate has started or refused."""
        for event in events:
            call = self._call_by_id.get(event.request_id)
            if call is not None and not call.admitted.called:
                call.admitted.callback(event)

    # Requests

    async def _relay_request(self, request: BoundedRequest, path: str) -> None:
        self._compare_sheet_revisions(request)
        call = self._make_call(request)
        token = request.header(names.TICKET) or ""
        if not token and self._needs_ticket(request, path):
            detail = "a non-idempotent call needs a ticket"
            self._respond_problem(
                call, not_run_problem(428, TicketCode.REQUIRED, detail)
            )
            return
        if token:
            # The ticket is checked before any other reason to refuse. A copy of the
            # request may have run already, and then it must not be reported as not run.
            call.ticket_id = await self._tickets.present(
                request, token, call.fingerprint
            )
            if not call.ticket_id:
                end_span(call.span, {"lacewing.ticket": "answered"}, False)
                return
        refusal = self._refusal_before_gate(call)
        if refusal is not None:
            self._refuse_unstarted(call, refusal, token)
            return
        self._call_by_id[call.request_id] = call
        request_ended: defer.Deferred[None] = request.notifyFinish()
        request_ended.addErrback(lambda _: self._abandon_call(call))
        try:
            await self._admit_and_run(call, path, token)
        finally:
            del self._call_by_id[call.request_id]
            if call.ticket_id:
                self._tickets.resume_waiters(call.ticket_id)

    def _refusal_before_gate(self, call: _Call) -> Problem | None:
        """Return a refusal that needs no decision of the gate, if there is one."""
        node = self._node
        if call.request_id in self._call_by_id:
            return not_run_problem(
                409, "duplicate", "a request with this id is running"
            )
        if len(self._call_by_id) >= self._settings.open_request_limit:
            detail = "the agent has too many open requests"
            return not_run_problem(503, "overload", detail, 1.0)
        if not node.backend_up:
            return not_run_problem(
                503, "backend-down", "the backend server is down", 1.0
            )
        run_alone = call.request.header(names.RUN_ALONE) is not None
        return (
            node.check_suspect(call.fingerprint, call.segments, run_alone)
            or node.take_rate_limit()
        )

    def _refuse_unstarted(self, call: _Call, problem: Problem, token: str) -> None:
        """Refuse a request that has not started and block its ticket permanently."""
        if call.ticket_id:
            outcome = self._node.ticket_registry.refuse(call.ticket_id, problem.code)
            self._tickets.resume_waiters(call.ticket_id)
            if isinstance(outcome, Unknown):
                problem = ticket_problem(outcome, token)
        self._respond_problem(call, problem)

    def _compare_sheet_revisions(self, request: BoundedRequest) -> None:
        """Compare sheet revisions with the entry; offer or request the newer sheet."""
        entry = request.header(names.ENTRY)
        revision = names.parse_count(request.header(names.REVISION) or "")
        digest = request.header(names.DIGEST) or ""
        if entry and revision and digest:
            node = self._node
            node.perform(
                node.relay.compare_revision(entry, revision, digest, node.now())
            )

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
            names.parse_segments(request.header(names.SEGMENTS)),
            names.parse_seconds(request.header(names.COST_SECONDS)),
        )

    def _needs_ticket(self, request: BoundedRequest, path: str) -> bool:
        """Return whether a ticket is required by the agent's own sheet.

        The entry may have another revision of the sheet, so the agent checks again.
        """
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
            self._respond_refused(call, decision, token)
            return
        node.metrics.gate_decisions.labels("started").inc()
        if call.ticket_id:
            started = node.ticket_registry.start(call.ticket_id, node.now())
            if not isinstance(started, TicketStarted):
                self.apply_gate_events(node.gate.cancel(call.request_id, node.now()))
                self._respond_problem(call, ticket_problem(started, token))
                return
        node.begin_run(
            call.request_id, call.fingerprint, call.segments, call.cost_seconds
        )
        try:
            await self._send_to_backend(call, path, token)
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

    def _respond_refused(self, call: _Call, refused: Refused, token: str) -> None:
        code = refused.reason.value
        self._node.metrics.gate_decisions.labels(code).inc()
        detail = f"the backend server refused the request: {code}"
        status = STATUS_BY_REFUSAL.get(code, 503)
        problem = not_run_problem(status, code, detail, refused.retry_after_seconds)
        self._refuse_unstarted(call, problem, token)

    async def _send_to_backend(self, call: _Call, path: str, token: str) -> None:
        node = self._node
        request = call.request
        span = node.tracing.start_span("backend", SpanKind.CLIENT, parent=call.span)
        headers = copy_headers(request.requestHeaders, REPLACED_HEADERS)
        added_headers = {names.TRACEPARENT: format_traceparent(span)}
        if self._settings.backend_kind == "engine":
            added_headers[names.REQUEST_ID] = call.request_id
            added_headers[names.PRIORITY] = request.header(names.PRIORITY) or ""
        set_nonempty_headers(headers, added_headers)
        target = self._backend_path(request, path)
        body = self._backend_body(request)
        sent_at = node.now()
        send_result = await node.backend_client.send(
            request.method.decode("ascii", "replace"),
            self._settings.backend_address,
            target,
            headers,
            body,
            call.deadline - node.now(),
            lambda pending: setattr(call, "pending", pending),
        )
        call.pending = None
        match send_result:
            case Ok(response):
                limits = response.headers.getRawHeaders(names.RATE_LIMIT, [None])
                node.record_limit(limits[0], sent_at)
                complete = await self._stream_response(call, response)
                await self._handle_response_end(call, complete)
                end_span(span, {"http.status_code": response.code}, not complete)
                end_span(call.span, {"lacewing.complete": complete}, not complete)
            case Err(failure) if failure.state is SendState.NOT_SENT:
                end_span(span, {"lacewing.error": failure.reason}, True)
                if call.ticket_id:
                    node.ticket_registry.refuse_unsent(
                        call.ticket_id, "backend-unreachable"
                    )
                await node.check_backend("")
                detail = "the backend server does not accept connections"
                self._respond_problem(
                    call, not_run_problem(503, "backend-unreachable", detail, 1.0)
                )
            case Err(failure):
                end_span(span, {"lacewing.error": failure.reason}, True)
                await self._respond_backend_lost(call, token, failure.reason)

    async def _handle_response_end(self, call: _Call, complete: bool) -> None:
        run_alone = call.request.header(names.RUN_ALONE) is not None
        if complete:
            self._node.record_answer(call.segments)
        if complete and run_alone:
            self._node.clear_suspect(call.fingerprint)
        if not complete and not call.caller_disconnected:
            await self._node.check_backend(call.fingerprint, call.segments, run_alone)
            # Aborting the chunked body signals to the entry that it is incomplete.
            if call.request.is_open:
                call.request.channel.forceAbortClient()

    async def _respond_backend_lost(
        self, call: _Call, token: str, error_text: str
    ) -> None:
        if call.ticket_id:
            self._node.ticket_registry.mark_lost(call.ticket_id)
        if call.caller_disconnected:
            return
        run_alone = call.request.header(names.RUN_ALONE) is not None
        await self._node.check_backend(call.fingerprint, call.segments, run_alone)
        detail = f"the connection to the backend server broke: {error_text}"
        self._respond_problem(call, unknown_problem("backend-lost", detail, token))

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

    async def _stream_response(self, call: _Call, response: Any) -> bool:
        """Stream a response to the entry.

        :return: whether the response arrived completely.
        """
        node = self._node
        request = call.request
        if request.is_open:
            request.setResponseCode(response.code)
            request.responseHeaders = copy_headers(response.headers)
            self._responder.set_outcome_headers(request, Outcome.RAN)
            if isinstance(response.length, int):
                request.setHeader(b"Content-Length", str(response.length).encode())
        buffered = bytearray() if call.ticket_id else None
        body_ended: defer.Deferred[bool] = defer.Deferred()

        def receive(data: bytes) -> None:
            nonlocal buffered
            if buffered is not None:
                if self._has_room(len(buffered), len(data)):
                    buffered += data
                else:
                    node.response_buffers.release(len(buffered))
                    buffered = None
            if request.is_open:
                request.write(data)

        receiver = BodyReceiver(receive, body_ended.callback)
        call.body_receiver = receiver
        deadline_timer = node.reactor.callLater(
            max(0.0, call.deadline - node.now()),
            receiver.abort,
        )
        response.deliverBody(receiver)
        if request.is_open and may_have_body(response.code, request.method.decode()):
            request.registerProducer(BackpressureProducer(receiver), True)
        complete = await body_ended
        if deadline_timer.active():
            deadline_timer.cancel()
        call.body_receiver = None
        self._store_response(call, response, buffered, complete)
        node.response_buffers.release(len(buffered or b""))
        if request.is_open:
            if request.producer is not None:
                request.unregisterProducer()
            if complete:
                request.finish()
        return complete

    def _has_room(self, buffered_bytes: int, added_bytes: int) -> bool:
        """Count a part of a response for a ticket; return false without room."""
        if buffered_bytes + added_bytes > MAX_RESPONSE_BYTES:
            return False
        return self._node.response_buffers.reserve(buffered_bytes, added_bytes)

    def _store_response(
        self,
        call: _Call,
        response: Any,
        buffered: bytearray | None,
        complete: bool,
    ) -> None:
        if not call.ticket_id:
            return
        registry = self._node.ticket_registry
        if not complete:
            registry.mark_lost(call.ticket_id)
        elif buffered is None:
            registry.finish_without_response(call.ticket_id)
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
                bytes(buffered),
            )
            registry.finish(call.ticket_id, stored, self._node.now())

    def _abandon_call(self, call: _Call) -> None:
        """Cancel a request whose caller has disconnected, unless it has a ticket.

        A request with a ticket continues, because its caller may query the stored
        response; cancelling it would make the outcome unknown.
        """
        call.caller_disconnected = True
        if call.ticket_id:
            return
        node = self._node
        if call.request_id not in node.running_request_ids and not call.admitted.called:
            events = node.gate.cancel(call.request_id, node.now())
            self.apply_gate_events(events)
            call.admitted.cancel()
        if call.pending is not None:
            call.pending.cancel()
        if call.body_receiver is not None:
            call.body_receiver.abort()
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
            self._abandon_call(call)
        request.respond(200, "application/json", b"{}")

    # Error responses

    def _respond_problem(self, call: _Call, problem: Problem) -> None:
        end_span(call.span, {"lacewing.code": problem.code}, True)
        self._responder.respond_problem(call.request, problem)


def _path_below_service(path: str, name: str) -> str:
    rest = path.removeprefix(f"{SERVICES_PREFIX}{name}")
    return rest or "/"
