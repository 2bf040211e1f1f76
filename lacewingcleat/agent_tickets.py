"""transport: the HTTP side of the ticket book of an agent."""

import msgspec
from result import Err, Ok
from twisted.internet import defer

from lacewingcleat import http_headers as names
from lacewingcleat.agent_answers import AgentAnswers, ticket_problem
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_server import BoundedRequest
from lacewingcleat.problems import Problem, not_run, unknown_problem
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
    """Mint, present and revoke tickets for entries.

    :param node: the agent's state and control plane.
    """

    def __init__(self, node: AgentNode, answers: AgentAnswers) -> None:
        self._node = node
        self._answers = answers
        self._waiters_by_ticket: dict[str, list[defer.Deferred[None]]] = {}

    def mint(self, request: BoundedRequest) -> None:
        """Answer a request for a ticket."""
        now = self._node.now()
        try:
            body = msgspec.json.decode(request.body.getvalue(), type=_MintBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._answers.refuse(request, not_run(400, "malformed-request", str(error)))
            return
        sheet = self._node.sheet
        service = sheet.service_by_name.get(body.service) if sheet else None
        if self._node.gate.leaving or service is None:
            detail = "the backend server takes no new work for this service"
            self._answers.refuse(request, not_run(503, "leaving", detail, 1.0))
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
                self._answers.set_outcome(request, Outcome.NOT_RUN)
                request.respond(201, "application/json", msgspec.json.encode(document))
            case Err(refusal):
                self._answers.refuse(request, ticket_problem(refusal, ""))

    async def revoke(self, request: BoundedRequest) -> None:
        """Revoke a ticket, or answer how far its request has come."""
        now = self._node.now()
        try:
            body = msgspec.json.decode(request.body.getvalue(), type=_RevokeBody)
        except (msgspec.MsgspecError, RecursionError) as error:
            # Nothing is known about the ticket that was meant.
            problem = Problem(400, Outcome.UNKNOWN, "malformed-request", str(error))
            self._answers.refuse(request, problem)
            return
        outcome = self._node.book.revoke(body.ticket, body.account, now)
        match outcome:
            case Attach(ticket_id):
                await self._attach(request, ticket_id, body.ticket, body.account)
            case Stored(_, response):
                self._answers.respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._answers.refuse(request, ticket_problem(outcome, body.ticket))

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
                self._answers.respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._answers.refuse(request, ticket_problem(outcome, token))
            case Attach():
                detail = "the request is still running"
                self._answers.refuse(
                    request, unknown_problem("still-running", detail, token)
                )

    def wake(self, ticket_id: str) -> None:
        """Answer the copies that wait for a run that has ended."""
        for waiter in self._waiters_by_ticket.pop(ticket_id, []):
            waiter.callback(None)

    async def present(
        self,
        request: BoundedRequest,
        token: str,
        fingerprint: str,
    ) -> str:
        """Return the ticket under which a request may run; else answer it."""
        presented = self._node.book.present(
            token,
            request.header(names.SERVICE) or "",
            request.header(names.ACCOUNT) or "",
            fingerprint,
            self._node.now(),
            request.header(names.IDEMPOTENCY_KEY) or "",
        )
        self._node.metrics.tickets.labels(type(presented).__name__).inc()
        match presented:
            case RunNow(ticket_id):
                return ticket_id
            case Attach(ticket_id):
                account = request.header(names.ACCOUNT) or ""
                await self._attach(request, ticket_id, token, account)
            case Stored(_, response):
                self._answers.respond_stored(request, response)
            case NotRun() | Ran() | Unknown():
                self._answers.refuse(request, ticket_problem(presented, token))
        return ""
