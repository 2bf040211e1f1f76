"""Builders of test data for limits, claims and the agent gate."""

from math import inf

from lacewingcleat.agent_gate import AgentGate, GateRequest
from lacewingcleat.sheet import Sheet
from tests.builders import make_sheet


def make_gate_request(
    request_id: str = "request-1",
    account: str = "acme",
    firm: str = "coteau",
    priority: int = 5,
    revision: int = 1,
    routing_digest: str = "routing-1",
    deadline: float = inf,
    run_alone: bool = False,
) -> GateRequest:
    """Build a request of the default account at the present revision."""
    return GateRequest(
        request_id,
        account,
        firm,
        priority,
        revision,
        routing_digest,
        deadline,
        run_alone,
    )


def make_gate(sheet: Sheet | None = None, now: float = 0.0) -> AgentGate:
    """Build the gate of server-1 with a sheet in force."""
    gate = AgentGate("server-1")
    gate.apply_sheet(make_sheet() if sheet is None else sheet, now)
    return gate
