"""transport: from an admitted request to the attempts at it, by kind of request."""

from result import Err

from lacewingcleat.chat_api import ModelRequest
from lacewingcleat.entry_answer import AnswerWriter
from lacewingcleat.entry_attempts import Attempts
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.entry_tickets import TicketClient
from lacewingcleat.entry_context import Work
from lacewingcleat.load_view import Target
from lacewingcleat.prefix_affinity import digest_prompt_blocks
from lacewingcleat.problems import not_run, unknown_problem
from lacewingcleat.retries import TicketOrigin
from lacewingcleat.routing_choice import ModelRequest as RouteModel
from lacewingcleat.routing_choice import ServiceRequest
from lacewingcleat.sheet import Service
from lacewingcleat.ticket_token import decode_ticket
from lacewingcleat.tickets import TicketUse


class Dispatcher:
    """Bring requests to backend servers and their answers back.

    :param node: the entry's state and control plane.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self.tickets = TicketClient(node)
        self._attempts = Attempts(node, self.tickets)

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
            isolated=call.alone,
            fingerprint=call.fingerprint,
        )
        writer = AnswerWriter(self._node.reactor, call)
        path = call.request.path_text()
        work = Work(call, writer, route, path, idempotent=True, stream=model.stream)
        await self._attempts.run(work)

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
            isolated=call.alone,
            fingerprint=call.fingerprint,
        )
        path = call.request.path_text()
        work = Work(call, writer, route, path, use is TicketUse.NONE)
        work.service = service.name
        work.key = key
        match use:
            case TicketUse.NONE:
                await self._attempts.run(work)
            case TicketUse.OBTAIN:
                work.origin = TicketOrigin.ENTRY
                await self._attempts.run(work)
            case TicketUse.PRESENT:
                work.origin = TicketOrigin.CALLER
                work.ticket = ticket
                await self._present(work)
            case TicketUse.DEMAND:
                await self._demand(work, service)

    async def _present(self, work: Work) -> None:
        """Send a request to the one agent that its ticket names."""
        parsed = decode_ticket(work.ticket)
        sheet = self._node.sheet
        if isinstance(parsed, Err) or sheet is None:
            detail = "the ticket is not one of this system"
            work.writer.refuse(
                unknown_problem("ticket-not-recognised", detail, work.ticket)
            )
            return
        server = sheet.server_by_name.get(parsed.ok_value.agent)
        if server is None:
            detail = "the sheet in force here does not name the ticket's server"
            work.writer.refuse(
                unknown_problem("ticket-server-unknown", detail, work.ticket)
            )
            return
        target = Target(work.service, server.name)
        attempt = await self._attempts.send(work, target, server.address, 0.0)
        if attempt is not None:
            self._attempts.report(work, self._attempts.decide(work, attempt))

    async def _demand(self, work: Work, service: Service) -> None:
        """Answer 428 with a ticket; nothing is run."""
        token = await self.tickets.mint(work.call, service, work.key)
        if token.problem is not None:
            work.writer.refuse(token.problem)
            return
        detail = "send the request again with this ticket; nothing was run"
        problem = not_run(428, "ticket-required", detail, None, token.token)
        work.writer.refuse(problem)
