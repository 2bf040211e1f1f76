"""transport: dispatch of admitted requests by kind of request and ticket."""

from result import Err

from lacewingcleat.chat_api import CompletionRequest
from lacewingcleat.entry_answer import ResponseWriter
from lacewingcleat.entry_attempts import RetryLoop
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_context import AttemptContext
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.entry_tickets import TicketClient
from lacewingcleat.load_view import Target
from lacewingcleat.prefix_affinity import digest_prompt_blocks
from lacewingcleat.problems import not_run_problem, unknown_problem
from lacewingcleat.retries import TicketOrigin
from lacewingcleat.routing_choice import ModelRequest as ModelRouteRequest
from lacewingcleat.routing_choice import ServiceRequest
from lacewingcleat.sheet import Service
from lacewingcleat.ticket_token import decode_ticket
from lacewingcleat.tickets import TicketUse


class Dispatcher:
    """Route admitted requests to backend servers and respond to their callers.

    :param node: state and control plane of the entry.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self.ticket_client = TicketClient(node)
        self._retry_loop = RetryLoop(node, self.ticket_client)

    # Model requests

    async def serve_model(self, call: EntryCall, model: CompletionRequest) -> None:
        """Serve a request to a model group; such requests are idempotent."""
        route = ModelRouteRequest(
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
            isolated=call.run_alone,
            fingerprint=call.fingerprint,
        )
        writer = ResponseWriter(self._node.reactor, call, self._node.response_buffers)
        path = call.request.path_text()
        context = AttemptContext(
            call, writer, route, path, idempotent=True, resumable=model.stream
        )
        await self._retry_loop.run(context)

    # Requests to services that are not model groups

    async def serve_service(
        self,
        call: EntryCall,
        service: Service,
        ticket_use: TicketUse,
        ticket: str,
        idempotency_key: str,
    ) -> None:
        """Serve a request to a service according to its use of tickets.

        :param ticket_use: whether the request needs a ticket and who obtains it.
        :param ticket: ticket that the caller presented, empty for none.
        :param idempotency_key: idempotency key of the request, empty for none.
        """
        writer = ResponseWriter(self._node.reactor, call, self._node.response_buffers)
        route = ServiceRequest(
            service.name,
            call.account.name,
            idempotent=ticket_use is TicketUse.NONE,
            isolated=call.run_alone,
            fingerprint=call.fingerprint,
        )
        path = call.request.path_text()
        context = AttemptContext(
            call, writer, route, path, ticket_use is TicketUse.NONE
        )
        context.service = service.name
        context.idempotency_key = idempotency_key
        match ticket_use:
            case TicketUse.NONE:
                await self._retry_loop.run(context)
            case TicketUse.OBTAIN:
                context.ticket_origin = TicketOrigin.ENTRY
                await self._retry_loop.run(context)
            case TicketUse.PRESENT:
                context.ticket_origin = TicketOrigin.CALLER
                context.ticket = ticket
                await self._send_with_ticket(context)
            case TicketUse.DEMAND:
                await self._require_ticket(context, service)

    async def _send_with_ticket(self, context: AttemptContext) -> None:
        """Send a request to the agent that issued its ticket."""
        decoded = decode_ticket(context.ticket)
        sheet = self._node.sheet
        if isinstance(decoded, Err) or sheet is None:
            detail = "the ticket is not one of this system"
            context.writer.send_problem(
                unknown_problem("ticket-not-recognised", detail, context.ticket)
            )
            return
        server = sheet.server_by_name.get(decoded.ok_value.agent)
        if server is None:
            detail = "the sheet in force here does not name the ticket's server"
            context.writer.send_problem(
                unknown_problem("ticket-server-unknown", detail, context.ticket)
            )
            return
        target = Target(context.service, server.name)
        attempt = await self._retry_loop.send(context, target, server.address, 0.0)
        if attempt is not None:
            self._retry_loop.report_outcome(
                context, self._retry_loop.decide(context, attempt)
            )

    async def _require_ticket(self, context: AttemptContext, service: Service) -> None:
        """Respond with status 428 and a ticket, without running the request."""
        minted = await self.ticket_client.mint(
            context.call, service, context.idempotency_key
        )
        if minted.problem is not None:
            context.writer.send_problem(minted.problem)
            return
        detail = "send the request again with this ticket; nothing was run"
        problem = not_run_problem(428, "ticket-required", detail, None, minted.token)
        context.writer.send_problem(problem)
