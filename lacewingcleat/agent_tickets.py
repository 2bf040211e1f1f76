"""transport: the HTTP handlers for the ticket registry of an agent."""

import msgspec
from result import Err, Ok
from twisted.internet import defer

from lacewingcleat import http_headers as names
from lacewingcleat.agent_answers import AgentResponder, ticket_problem
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_server import BoundedRequest
from lacewingcleat.problems import Problem, not_run_problem, unknown_problem
from lacewingcleat.sheet import DEFAULT_TICKET_SECONDS
from lacewingcleat.tickets import Attach, NotRun, Ran, RunNow, Stored, Unknown

TICKET_RANDOM_BYTES = 16


class _MintBody(msgspec.Struct):
    service: str
    account: str
    key: str = ""


class _RevokeBody(msgspec.Struct):
    ticket: str
    account: str


class AgentTickets:
    """Mint, check and revoke tickets at the request of entries.

    :param node: the agent's state and control plane.
    :param responder: sends the responses.
    """

    def __init__(self, node: AgentNode, responder: AgentResponder) -> None:
        self._node = node
        self._responder = responder
        self._waiters_by_ticket_id: dict[str, list[defer.Deferred[None]]] = {}

    def mint(self, request: BoundedRequest) -> None:
        """Issue a ticket and respond with its token."""
        now = self._node.now()
        try:
            body = msgspec.json.decode(request.body.getvalue(), type=_MintBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._responder.respond_problem(
                request, not_run_problem(400, "malformed-request", str(error))
            )
            return
        sheet = self._node.sheet
        service = sheet.service_by_name.get(body.service) if sheet else None
        if self._node.gate.leaving or service is None:
            detail = "the backend server takes no new work for this service"
            self._responder.respond_problem(
                request, not_run_problem(503, "leaving", detail, 1.0)
            )
            return
        lifetime_seconds = service.ticket_seconds if service else DEFAULT_TICKET_SECONDS
        mint_result = self._node.ticket_registry.mint(
            body.service,
            body.account,
            self._node.random_bytes(TICKET_RANDOM_BYTES),
            now,
            body.key,
            lifetime_seconds,
        )
        match mint_result:
            case Ok(ticket):
                document = {"ticket": ticket.token, "expires_seconds": lifetime_seconds}
                self._responder.set_outcome_headers(request, Outcome.NOT_RUN)
                request.respond(201, "application/json", msgspec.json.encode(document))
            case Err(refusal):
                self._responder.respond_problem(request, ticket_problem(refusal, ""))

    async def revoke(self, request: BoundedRequest) -> None:
        """Revoke a ticket, or respond with the outcome of its request.

        If the request is running, the response is delayed until it has ended.
        """
        now = self._node.now()
        try:
            body = msgspec.json.decode(request.body.getvalue(), type=_RevokeBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            # The ticket can't be read, so the outcome of its request is unknown.
            problem = Problem(400, Outcome.UNKNOWN, "malformed-request", str(error))
            self._responder.respond_problem(request, problem)
            return
        outcome = self._node.ticket_registry.revoke(body.ticket, body.account, now)
        match outcome:
            case Attach(ticket_id):
                await self._wait_for_run(request, ticket_id, body.ticket, body.account)
            case Stored(_, response):
                self._responder.respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._responder.respond_problem(
                    request, ticket_problem(outcome, body.ticket)
                )

    async def _wait_for_run(
        self,
        request: BoundedRequest,
        ticket_id: str,
        token: str,
        account: str,
    ) -> None:
        """Wait for the running request of a ticket and respond with its outcome."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters_by_ticket_id.setdefault(ticket_id, []).append(waiter)
        await waiter
        outcome = self._node.ticket_registry.revoke(token, account, self._node.now())
        match outcome:
            case Stored(_, response):
                self._responder.respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._responder.respond_problem(request, ticket_problem(outcome, token))
            case Attach():
                detail = "the request is still running"
                self._responder.respond_problem(
                    request, unknown_problem("still-running", detail, token)
                )

    def resume_waiters(self, ticket_id: str) -> None:
        """Resume the handlers that wait for the end of a ticket's request."""
        for waiter in self._waiters_by_ticket_id.pop(ticket_id, []):
            waiter.callback(None)

    async def present(
        self,
        request: BoundedRequest,
        token: str,
        fingerprint: str,
    ) -> str:
        """Check the ticket of a request before the request may run.

        :return: the ticket's ID if the request may run; empty if it has been answered
            with a refusal or the outcome of an earlier copy.
        """
        outcome = self._node.ticket_registry.present(
            token,
            request.header(names.SERVICE) or "",
            request.header(names.ACCOUNT) or "",
            fingerprint,
            self._node.now(),
            request.header(names.IDEMPOTENCY_KEY) or "",
        )
        self._node.metrics.ticket_outcomes.labels(type(outcome).__name__).inc()
        match outcome:
            case RunNow(ticket_id):
                return ticket_id
            case Attach(ticket_id):
                account = request.header(names.ACCOUNT) or ""
                await self._wait_for_run(request, ticket_id, token, account)
            case Stored(_, response):
                self._responder.respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._responder.respond_problem(request, ticket_problem(outcome, token))
        return ""
