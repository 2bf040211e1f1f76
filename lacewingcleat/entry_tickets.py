"""transport: client by which an entry mints and revokes tickets at agents."""

from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_context import AttemptContext, build_refusal_problem
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.http_client import first_header
from lacewingcleat.http_headers import Outcome
from lacewingcleat.problems import Problem, not_run_problem
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.retries import Attempt, ResponseKind, SendProgress
from lacewingcleat.sheet import Service

TICKET_TIMEOUT_SECONDS = 2.0
MAX_TICKET_RESPONSE_BYTES = 1 << 14
# A revocation gets at least this time even near the deadline, because it can turn the
# outcome "unknown" into a definite one.
MIN_REVOKE_TIMEOUT_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class MintResult:
    """Represent the result of minting a ticket.

    :param token: the ticket, empty if there is a problem.
    :param problem: reason why there is no ticket.
    :param failed_attempt: failed attempt, if the ticket can be minted at another agent.
    """

    token: str
    problem: Problem | None = None
    failed_attempt: Attempt | None = None


class TicketClient:
    """Mint and revoke tickets at agents.

    :param node: state and control plane of the entry.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    async def mint(
        self, call: EntryCall, service: Service, idempotency_key: str
    ) -> MintResult:
        """Mint a ticket at an agent of a service.

        The agent is chosen by rendezvous hashing of the key, so that a repeated key
        usually reaches the agent that has a record of it.

        :param idempotency_key: idempotency key of the request, empty for none.
        """
        now = read_now()
        membership = self._node.membership
        live_servers = [
            name
            for name in service.backend_servers
            if membership.may_receive_work(name, now)
        ]
        detail = "no backend server of the service takes new work"
        problem = not_run_problem(503, "no-server", detail, 1.0)
        ranked_servers = rank_by_rendezvous(
            f"{call.account.name}\x00{idempotency_key or call.request_id}",
            live_servers,
        )
        for server in ranked_servers[:2]:
            minted = await self.mint_at_agent(
                call, service.name, server, idempotency_key
            )
            if minted.problem is None:
                return minted
            problem = minted.problem
            if minted.failed_attempt is None:
                break
        return MintResult("", problem)

    async def mint_at_agent(
        self,
        call: EntryCall,
        service: str,
        server: str,
        idempotency_key: str,
    ) -> MintResult:
        """Mint a ticket at a given agent."""
        sheet = self._node.sheet
        if sheet is None or server not in sheet.server_by_name:
            return MintResult(
                "", not_run_problem(503, "no-server", "the server has left", 1.0)
            )
        document = {
            "service": service,
            "account": call.account.name,
            "key": idempotency_key,
        }
        incarnation = self._node.membership.last_incarnation(server)
        result = await self._node.http_client.fetch(
            "POST",
            sheet.server_by_name[server].address,
            "/lacewing/tickets",
            Headers({"Content-Type": ["application/json"]}),
            msgspec.json.encode(document),
            min(TICKET_TIMEOUT_SECONDS, call.deadline - read_now()),
            MAX_TICKET_RESPONSE_BYTES,
        )
        if isinstance(result, Ok):
            response, _ = result.ok_value
            self._node.record_response(server, incarnation, response.headers)
        match result:
            case Err(failure):
                self._node.membership.record_unreachable(server, read_now())
                problem = not_run_problem(503, "agent-unreachable", failure.reason, 1.0)
                return MintResult(
                    "",
                    problem,
                    Attempt(server, SendProgress.NOTHING, ResponseKind.NOTHING),
                )
            case Ok((response, content)) if response.code == 201:
                return MintResult(str(msgspec.json.decode(content)["ticket"]))
            case Ok((response, content)):
                code = first_header(response.headers, names.OUTCOME_CODE)
                problem = build_refusal_problem(response, code or "refused", "")
                if problem.outcome is Outcome.NOT_RUN:
                    attempt = Attempt(
                        server, SendProgress.NOTHING, ResponseKind.NOT_RUN, code
                    )
                    return MintResult("", problem, attempt)
                return MintResult("", problem)

    async def revoke(self, context: AttemptContext, server: str) -> Any:
        """Request an agent to revoke a ticket; return its response, None for none."""
        sheet = self._node.sheet
        server_record = sheet.server_by_name.get(server) if sheet else None
        if server_record is None:
            return None
        document = {"ticket": context.ticket, "account": context.call.account.name}
        incarnation = self._node.membership.last_incarnation(server)
        result = await self._node.http_client.send(
            "POST",
            server_record.address,
            "/lacewing/tickets/revoke",
            Headers({"Content-Type": ["application/json"]}),
            msgspec.json.encode(document),
            max(MIN_REVOKE_TIMEOUT_SECONDS, context.call.deadline - read_now()),
        )
        if isinstance(result, Err):
            return None
        response = result.ok_value
        self._node.record_response(server, incarnation, response.headers)
        return response
