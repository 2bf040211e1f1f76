"""transport: tickets that an entry gets from agents and gives back."""

from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.entry_call import EntryCall
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.entry_context import Work, refusal_problem
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_client import first_header
from lacewingcleat.problems import Problem, not_run
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.retries import Attempt, ResponseKind, SendProgress
from lacewingcleat.sheet import Service

TICKET_TIMEOUT_SECONDS = 2.0
MAX_TICKET_ANSWER_BYTES = 1 << 14
# A revocation is worth a short wait even when the deadline is near, because it can
# turn "unknown" into a certain answer.
MIN_REVOKE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Minted:
    """Hold a ticket from an agent, or the problem instead of it."""

    token: str
    problem: Problem | None = None
    attempt: Attempt | None = None


class TicketClient:
    """Get tickets from agents and revoke them.

    :param node: the entry's state and control plane.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    async def mint(self, call: EntryCall, service: Service, key: str) -> Minted:
        """Get a ticket from an agent of a service.

        The agent follows from the key, so that a repeated key usually meets the agent
        that remembers it.
        """
        now = read_now()
        membership = self._node.membership
        names_alive = [
            name
            for name in service.backend_servers
            if membership.may_receive_work(name, now)
        ]
        detail = "no backend server of the service takes new work"
        problem = not_run(503, "no-server", detail, 1.0)
        ranked = rank_by_rendezvous(
            f"{call.account.name}\x00{key or call.request_id}",
            names_alive,
        )
        for server in ranked[:2]:
            minted = await self.mint_at(call, service.name, server, key)
            if minted.problem is None:
                return minted
            problem = minted.problem
            if minted.attempt is None:
                break
        return Minted("", problem)

    async def mint_at(
        self,
        call: EntryCall,
        service: str,
        server: str,
        key: str,
    ) -> Minted:
        """Get a ticket from one agent."""
        sheet = self._node.sheet
        if sheet is None or server not in sheet.server_by_name:
            return Minted("", not_run(503, "no-server", "the server has left", 1.0))
        document = {"service": service, "account": call.account.name, "key": key}
        fetched = await self._node.http_client.fetch(
            "POST",
            sheet.server_by_name[server].address,
            "/lacewing/tickets",
            Headers({"Content-Type": ["application/json"]}),
            msgspec.json.encode(document),
            min(TICKET_TIMEOUT_SECONDS, call.deadline - read_now()),
            MAX_TICKET_ANSWER_BYTES,
        )
        match fetched:
            case Err(failure):
                self._node.membership.note_unreachable(server, read_now())
                problem = not_run(503, "agent-unreachable", failure.text, 1.0)
                return Minted(
                    "",
                    problem,
                    Attempt(server, SendProgress.NOTHING, ResponseKind.NOTHING),
                )
            case Ok((response, content)) if response.code == 201:
                return Minted(str(msgspec.json.decode(content)["ticket"]))
            case Ok((response, content)):
                code = first_header(response.headers, names.OUTCOME_CODE)
                problem = refusal_problem(response, code or "refused", "")
                if problem.outcome is Outcome.NOT_RUN:
                    attempt = Attempt(
                        server, SendProgress.NOTHING, ResponseKind.NOT_RUN, code
                    )
                    return Minted("", problem, attempt)
                return Minted("", problem)

    async def revoke(self, work: Work, server: str) -> Any:
        """Ask an agent to revoke a ticket; return its answer, None for silence."""
        sheet = self._node.sheet
        record = sheet.server_by_name.get(server) if sheet else None
        if record is None:
            return None
        document = {"ticket": work.ticket, "account": work.call.account.name}
        sent = await self._node.http_client.send(
            "POST",
            record.address,
            "/lacewing/tickets/revoke",
            Headers({"Content-Type": ["application/json"]}),
            msgspec.json.encode(document),
            max(MIN_REVOKE_SECONDS, work.call.deadline - read_now()),
        )
        return None if isinstance(sent, Err) else sent.ok_value
