"""Builders of test data for limits, claims and the agent gate."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from random import Random

from lacewingcleat.account_limits import AccountLimits, LimitPermit
from lacewingcleat.actions import Action, Send
from lacewingcleat.agent_gate import AgentGate, GateRequest
from lacewingcleat.identity import Peer
from lacewingcleat.messages import LimitDemands, LimitLeases
from lacewingcleat.sheet import Sheet
from tests.builders import make_peer, make_sheet


@dataclass
class LimitsProcess:
    """Hold an entry process with its own clock and the requests it runs."""

    peer: Peer
    limits: AccountLimits
    clock_rate: float
    clock_offset: float
    paused: bool = False
    permits: list[LimitPermit] = field(default_factory=list)
    waited_accounts: set[str] = field(default_factory=set)

    def clock(self, now: float) -> float:
        """Return what the process's clock shows."""
        return now * self.clock_rate + self.clock_offset


@dataclass
class MessageInFlight:
    """Hold a message with the moment of its delivery."""

    deliver_at: float
    sender: Peer
    instance: str
    message: LimitDemands | LimitLeases


class LimitsNetwork:
    """Run entries in memory; messages are lost, doubled and delayed as told.

    :param loss: probability that a message is lost; doubling is half as likely.
    :param max_delay: bound of the delay in seconds; 0 delivers at once.
    """

    def __init__(self, now: float, seed: int = 0) -> None:
        self.now = now
        self.random = Random(seed)
        self.loss = 0.0
        self.max_delay = 0.0
        self.process_by_instance: dict[str, LimitsProcess] = {}
        self.partition_by_instance: dict[str, int] = {}
        # Entries whose demands arrive while all answers to them are lost.
        self.receive_blocked: set[str] = set()
        self.in_flight: list[MessageInFlight] = []
        self.starts = 0

    def start(
        self,
        peer: Peer,
        sheet: Sheet,
        clock_rate: float = 1.0,
        clock_offset: float = 0.0,
    ) -> LimitsProcess:
        """Start an entry, in place of an earlier one of the same name."""
        self.starts += 1
        limits = AccountLimits(peer, self.now * clock_rate + clock_offset)
        process = LimitsProcess(peer, limits, clock_rate, clock_offset)
        limits.apply_sheet(sheet, process.clock(self.now))
        self.process_by_instance[peer.instance] = process
        return process

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Return whether no partition separates two entries."""
        partition = self.partition_by_instance
        return partition.get(sender, 0) == partition.get(receiver, 0)

    def set_view(self, instance: str, names: Iterable[str]) -> None:
        """Let an entry see the live entries among the names."""
        process = self.process_by_instance[instance]
        seen = [
            self.process_by_instance[name].peer
            for name in names
            if name in self.process_by_instance
        ]
        process.limits.update_entries(seen, process.clock(self.now))

    def set_all_views(self) -> None:
        """Let all entries see the entries that they reach."""
        for instance in self.process_by_instance:
            reached = [
                n for n in self.process_by_instance if self.can_reach(instance, n)
            ]
            self.set_view(instance, reached)

    def send(self, sender: Peer, actions: Iterable[Action]) -> None:
        """Send messages."""
        for action in actions:
            assert isinstance(action, Send)
            assert isinstance(action.message, LimitDemands | LimitLeases)
            copies = (self.random.random() >= self.loss) + (
                self.random.random() < self.loss / 2
            )
            for _ in range(copies):
                deliver_at = self.now + self.random.random() * self.max_delay
                message = MessageInFlight(
                    deliver_at, sender, action.instance, action.message
                )
                if self.max_delay == 0.0:
                    self._deliver(message)
                else:
                    self.in_flight.append(message)

    def run(self, seconds: float, step: float = 0.25) -> None:
        """Let time pass with regular ticks."""
        end = self.now + seconds - step / 2
        while self.now < end:
            self.now += step
            due = [
                message for message in self.in_flight if message.deliver_at <= self.now
            ]
            self.in_flight = [
                item for item in self.in_flight if item.deliver_at > self.now
            ]
            for message in sorted(due, key=lambda message: message.deliver_at):
                self._deliver(message)
            for process in list(self.process_by_instance.values()):
                if not process.paused:
                    actions = process.limits.tick(process.clock(self.now))
                    self.send(process.peer, actions)

    def _deliver(self, message: MessageInFlight) -> None:
        process = self.process_by_instance.get(message.instance)
        if process is None or message.instance in self.receive_blocked:
            return
        if not self.can_reach(message.sender.instance, message.instance):
            return
        if process.paused:
            # The socket keeps the message until the process runs again.
            message.deliver_at = self.now + 0.25
            self.in_flight.append(message)
            return
        clock = process.clock(self.now)
        answers = process.limits.receive(message.sender, message.message, clock)
        self.send(process.peer, answers)


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
    network.set_all_views()
    return network
