"""Builders of test data for limits, claims and the agent gate."""

from math import inf

from lacewingcleat.account_limits import AccountLimits
from lacewingcleat.actions import Action, Send
from lacewingcleat.agent_gate import AgentGate, GateRequest
from lacewingcleat.identity import Peer
from lacewingcleat.messages import LimitDemands, LimitLeases
from lacewingcleat.sheet import Sheet
from tests.builders import make_peer, make_sheet


class LimitsNetwork:
    """Run entries in memory, with messages delivered at once."""

    def __init__(self, now: float) -> None:
        self.now = now
        self.peer_by_instance: dict[str, Peer] = {}
        self.limits_by_instance: dict[str, AccountLimits] = {}

    def start(self, peer: Peer, sheet: Sheet) -> None:
        """Start an entry, in place of an earlier one of the same name."""
        limits = AccountLimits(peer, self.now)
        limits.apply_sheet(sheet, self.now)
        self.peer_by_instance[peer.instance] = peer
        self.limits_by_instance[peer.instance] = limits

    def observe_all(self) -> None:
        """Let all entries see each other."""
        for limits in self.limits_by_instance.values():
            limits.observe_entries(self.peer_by_instance.values(), self.now)

    def deliver(self, sender: str, actions: list[Action]) -> None:
        """Deliver messages and the answers to them."""
        for action in actions:
            assert isinstance(action, Send)
            assert isinstance(action.message, LimitDemands | LimitLeases)
            receiver = self.limits_by_instance.get(action.instance)
            if receiver is not None:
                peer = self.peer_by_instance[sender]
                answers = receiver.receive(peer, action.message, self.now)
                self.deliver(action.instance, answers)

    def run(self, seconds: float, step: float = 0.25) -> None:
        """Let time pass with regular ticks."""
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for instance, limits in list(self.limits_by_instance.items()):
                self.deliver(instance, limits.tick(self.now))


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


def make_limits_zone(
    sheet: Sheet,
    zone: str = "regina",
    entries: int = 3,
    now: float = 0.0,
) -> LimitsNetwork:
    """Build the entries of one zone that hear each other without delay."""
    network = LimitsNetwork(now)
    for number in range(entries):
        network.start(make_peer(f"{zone}-{number}", f"a{number}", zone), sheet)
    network.observe_all()
    return network
