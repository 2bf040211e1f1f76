"""transport: what an agent answers by itself, beside the backend server's answers."""

from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.http_headers import Outcome
from lacewingcleat.http_server import BoundedRequest
from lacewingcleat.problems import Problem, not_run, ran, unknown_problem
from lacewingcleat.tickets import NotRun, Ran, Response, Unknown


class AgentAnswers:
    """Answer requests in the name of an agent.

    :param node: the agent's state and control plane.
    """

    def __init__(self, node: AgentNode) -> None:
        self._node = node

    def refuse(self, request: BoundedRequest, problem: Problem) -> None:
        """Answer with a problem."""
        if not request.is_open:
            return
        self.set_outcome(request, problem.outcome)
        request.setHeader(names.OUTCOME_CODE.encode(), problem.code.encode())
        request.respond_problem(problem, request.header(names.REQUEST_ID) or "")

    def respond_stored(self, request: BoundedRequest, response: Response) -> None:
        """Answer with the stored answer of an earlier run."""
        if not request.is_open:
            return
        headers = Headers()
        for name, value in response.headers:
            headers.addRawHeader(name, value)
        request.responseHeaders = headers
        self.set_outcome(request, Outcome.RAN)
        request.setResponseCode(response.status)
        request.setHeader(b"Content-Length", str(len(response.body)).encode())
        request.write(response.body)
        request.finish()

    def set_outcome(self, request: BoundedRequest, outcome: Outcome) -> None:
        """Set the headers that each answer of an agent carries."""
        request.setHeader(names.OUTCOME.encode(), outcome.value.encode())
        revision = str(self._node.revision).encode()
        request.setHeader(names.REVISION.encode(), revision)
        request.setHeader(names.DIGEST.encode(), self._node.relay.digest.encode())


def ticket_problem(outcome: NotRun | Ran | Unknown, token: str) -> Problem:
    """Build the problem for what the ticket book says."""
    match outcome:
        case NotRun(code):
            detail = f"the request did not run under this ticket: {code}"
            return not_run(409, code, detail)
        case Ran(code):
            detail = f"the request ran, but its answer is not at hand: {code}"
            return ran(409, code, detail, token)
        case Unknown(code):
            return unknown_problem(
                code, f"nobody can tell whether it ran: {code}", token
            )
