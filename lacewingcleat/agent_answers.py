"""transport: responses that an agent sends itself, not its backend server."""

from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_server import BoundedRequest
from lacewingcleat.problems import (
    Problem,
    not_run_problem,
    ran_problem,
    unknown_problem,
)
from lacewingcleat.tickets import NotRun, Ran, Response, Unknown


class AgentResponder:
    """Send the responses that an agent generates itself.

    :param node: the agent's state and control plane.
    """

    def __init__(self, node: AgentNode) -> None:
        self._node = node

    def respond_problem(self, request: BoundedRequest, problem: Problem) -> None:
        """Respond with a problem document and the headers for its outcome."""
        if not request.is_open:
            return
        self.set_outcome_headers(request, problem.outcome)
        request.setHeader(names.OUTCOME_CODE.encode(), problem.code.encode())
        request.respond_problem(problem, request.header(names.REQUEST_ID) or "")

    def respond_stored(self, request: BoundedRequest, response: Response) -> None:
        """Respond with the stored response of an earlier run."""
        if not request.is_open:
            return
        headers = Headers()
        for name, value in response.headers:
            headers.addRawHeader(name, value)
        request.responseHeaders = headers
        self.set_outcome_headers(request, Outcome.RAN)
        request.setResponseCode(response.status)
        request.setHeader(b"Content-Length", str(len(response.body)).encode())
        request.write(response.body)
        request.finish()

    def set_outcome_headers(self, request: BoundedRequest, outcome: Outcome) -> None:
        """Set the outcome header and the agent's sheet revision and digest.

        Every response of an agent carries these headers, and while it leaves also the
        one that says so, since its heartbeats may be lost.
        """
        if self._node.gate.leaving:
            request.setHeader(names.SERVER_LEAVING.encode(), b"1")
        request.setHeader(names.OUTCOME.encode(), outcome.value.encode())
        revision = str(self._node.revision).encode()
        request.setHeader(names.REVISION.encode(), revision)
        request.setHeader(names.DIGEST.encode(), self._node.relay.digest.encode())


def ticket_problem(outcome: NotRun | Ran | Unknown, token: str) -> Problem:
    """Return the problem document for an outcome from the ticket registry."""
    match outcome:
        case NotRun(code):
            detail = f"the request did not run under this ticket: {code}"
            return not_run_problem(409, code, detail)
        case Ran(code):
            detail = f"the request ran, but its answer is not at hand: {code}"
            return ran_problem(409, code, detail, token)
        case Unknown(code):
            return unknown_problem(
                code, f"nobody can tell whether it ran: {code}", token
            )
