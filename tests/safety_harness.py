"""In-memory simulations of entries, agents and services, driven by state machines.

A packet stays on the wire until the state machine delivers, drops or duplicates it, so
that every delay and order of packets can occur.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from result import Ok

from lacewingcleat.actions import Action, Send
from lacewingcleat.crash_suspects import (
    Convicted,
    CrashSuspects,
    RunAlone,
    choose_isolation_server,
)
from lacewingcleat.identity import Peer, Role
from lacewingcleat.membership import Membership
from lacewingcleat.messages import (
    CrashReport,
    Heartbeat,
    Message,
    PeerList,
    SuspectCleared,
)
from lacewingcleat.pause_detector import PauseWatch
from lacewingcleat.retries import (
    Attempt,
    ReportNotRun,
    RequestFacts,
    ResponseKind,
    RetryBudget,
    RetryElsewhere,
    ReturnResult,
    RevokeFirst,
    SendProgress,
    TicketOrigin,
    decide_retry,
    report_unsent,
)
from lacewingcleat.sheet import Sheet, Zone
from lacewingcleat.ticket_token import decode_ticket
from lacewingcleat.tickets import (
    Attach,
    NotRun,
    Ran,
    Response,
    RunNow,
    Stored,
    TicketRegistry,
    TicketStarted,
    Unknown,
)
from tests.builders import make_server, make_sheet
from tests.builders_safety import make_envelope

TICKET_SECONDS = 30.0


class Mode(Enum):
    IDEMPOTENT = "idempotent"
    ENTRY_TICKET = "the entry obtains a ticket"
    CALLER_TICKET = "the caller holds a ticket"


class Outcome(Enum):
    RESULT = "result"
    NOT_RUN = "not-run"
    OTHER = "ran or unknown"


@dataclass(slots=True)
class Job:
    """Track one request of a caller and the outcomes of all its copies."""

    name: str
    mode: Mode
    token: str = ""
    key: str = ""
    minted_at: float = 0.0
    outcomes: list[Outcome] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Call:
    """Track one copy of a request at an entry.

    :param step: the exchange that it waits for: mint, run or revoke.
    :param exchange: number of the exchange, which has its own connection. Replies to
        earlier exchanges are ignored.
    """

    job: Job
    entry: str
    facts: RequestFacts
    target: str = ""
    step: str = ""
    exchange: int = 0
    token: str = ""
    open: bool = True
    arrived: set[int] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Packet:
    agent: str
    call: Call
    step: str
    exchange: int
    token: str = ""
    reply: Attempt | None = None
    body: bytes = b""


@dataclass(slots=True)
class Work:
    job: Job
    packets: list[Packet]
    ticket_id: str
    running: bool = False


class AgentModel:
    def __init__(self, name: str, epoch: int, skew: float) -> None:
        self.name = name
        self.epoch = epoch
        self.skew = skew
        self.leaving = False
        self.paused = False
        me = Peer(name, f"{name}-{epoch}", "a", Role.AGENT)
        self.registry = TicketRegistry(me, name, me.incarnation.encode())
        self.work: list[Work] = []


class RequestWorld:
    """Simulate requests over entries and agents, and count the runs of each."""

    def __init__(self) -> None:
        self.now = 0.0
        self.minted_count = 0
        self.entries = ["e1", "e2"]
        self.agents = {name: AgentModel(name, 0, 1e3 * len(name)) for name in AGENTS}
        self.budget = RetryBudget(0.0)
        self.wire: list[Packet] = []
        self.calls: list[Call] = []
        self.jobs: list[Job] = []
        self.runs: Counter[str] = Counter()
        self.jobs_run_by_key: dict[tuple[str, int, str], list[Job]] = {}

    def submit(self, mode: Mode, entry: str, agent: str, key: str) -> None:
        job = Job(f"job-{len(self.jobs)}", mode)
        if mode is Mode.CALLER_TICKET:
            minted = self.mint(self.agents[agent], key)
            if minted is None:
                return
            job.token, job.key, job.minted_at = minted, key, self.now
        self.jobs.append(job)
        self.send_copy(job, entry, agent)

    def send_copy(self, job: Job, entry: str, agent: str, shed: bool = False) -> None:
        origin = {
            Mode.IDEMPOTENT: TicketOrigin.NONE,
            Mode.ENTRY_TICKET: TicketOrigin.ENTRY,
            Mode.CALLER_TICKET: TicketOrigin.CALLER,
        }[job.mode]
        idempotent = job.mode is Mode.IDEMPOTENT
        call = Call(job, entry, RequestFacts(idempotent, self.now + 60.0, origin))
        self.calls.append(call)
        if shed:
            report = report_unsent(call.facts, "limit")
            is_not_run = isinstance(report, ReportNotRun)
            self.close(call, Outcome.NOT_RUN if is_not_run else Outcome.OTHER)
            return
        if job.mode is Mode.CALLER_TICKET:
            agent = decode_ticket(job.token).unwrap().agent
        self.start_attempt(call, agent)

    def start_attempt(self, call: Call, agent: str) -> None:
        call.target = agent
        call.token = call.job.token
        # A retry at another agent needs a ticket of that agent in any case.
        is_retry = bool(call.facts.failed_targets)
        needs_ticket = call.job.mode is Mode.ENTRY_TICKET or (
            call.job.mode is Mode.CALLER_TICKET and is_retry
        )
        call.step = "mint" if needs_ticket else "run"
        self.send_packet(call)

    def send_packet(self, call: Call) -> None:
        call.exchange += 1
        packet = Packet(call.target, call, call.step, call.exchange, call.token)
        self.wire.append(packet)

    def mint(self, agent: AgentModel, key: str = "") -> str | None:
        self.minted_count += 1
        result = agent.registry.mint(
            "orders",
            "acme",
            self.minted_count.to_bytes(16, "big"),
            self.now + agent.skew,
            key,
            TICKET_SECONDS,
        )
        return result.unwrap().token if isinstance(result, Ok) else None

    def deliver(self, packet: Packet) -> None:
        if packet.reply is not None:
            if packet.call.open and packet.call.exchange == packet.exchange:
                self.receive_reply(packet.call, packet)
            return
        packet.call.arrived.add(packet.exchange)
        agent = self.agents[packet.agent]
        match packet.step:
            case "mint":
                token = self.mint(agent)
                report = ResponseKind.COMPLETE if token else ResponseKind.NOT_RUN
                self.send_reply(packet, report, token=token or "")
            case "run":
                self.run_packet(agent, packet)
            case "revoke":
                now = self.now + agent.skew
                outcome = agent.registry.revoke(packet.token, "acme", now)
                self.reply_outcome(packet, outcome)

    def run_packet(self, agent: AgentModel, packet: Packet) -> None:
        job = packet.call.job
        if job.mode is Mode.IDEMPOTENT and agent.leaving:
            self.reply_outcome(packet, NotRun("leaving"))
            return
        if job.mode is Mode.IDEMPOTENT:
            agent.work.append(Work(job, [packet], ""))
            return
        outcome = agent.registry.present(
            packet.token, "orders", "acme", job.name, self.now + agent.skew, job.key
        )
        match outcome:
            case RunNow(ticket_id=ticket_id) if agent.leaving:
                refused = agent.registry.refuse(ticket_id, "leaving")
                self.reply_outcome(packet, refused)
            case RunNow(ticket_id=ticket_id):
                agent.work.append(Work(job, [packet], ticket_id))
            case Attach(ticket_id=ticket_id):
                for work in agent.work:
                    if work.ticket_id == ticket_id:
                        work.packets.append(packet)
            case other:
                self.reply_outcome(packet, other)

    def reply_outcome(self, packet: Packet, outcome: object) -> None:
        match outcome:
            case Stored(response=response):
                self.send_reply(packet, ResponseKind.COMPLETE, body=response.body)
            case NotRun(code=code):
                self.send_reply(packet, ResponseKind.NOT_RUN, code)
            case Ran(code=code):
                self.send_reply(packet, ResponseKind.RAN, code)
            case Unknown(code=code):
                self.send_reply(packet, ResponseKind.UNKNOWN, code)
            case Attach():
                self.send_reply(packet, ResponseKind.UNKNOWN, "running")

    def send_reply(
        self,
        packet: Packet,
        report: ResponseKind,
        code: str = "",
        token: str = "",
        body: bytes = b"",
    ) -> None:
        is_revocation = packet.step == "revoke"
        attempt = Attempt(
            packet.agent, SendProgress.SOME, report, code, 0.0, is_revocation
        )
        self.wire.append(replace(packet, token=token, reply=attempt, body=body))

    def start(self, agent: AgentModel, work: Work) -> None:
        if work.ticket_id:
            outcome = agent.registry.start(work.ticket_id, self.now + agent.skew)
            if not isinstance(outcome, TicketStarted):
                self.complete(agent, work, outcome)
                return
        work.running = True
        self.runs[work.job.name] += 1
        if work.job.key:
            key_scope = (agent.name, agent.epoch, work.job.key)
            self.jobs_run_by_key.setdefault(key_scope, []).append(work.job)

    def finish(self, agent: AgentModel, work: Work) -> None:
        response = Response(200, (), work.job.name.encode())
        if work.ticket_id:
            agent.registry.finish(work.ticket_id, response, self.now + agent.skew)
        self.complete(agent, work, Stored(work.ticket_id, response))

    def complete(self, agent: AgentModel, work: Work, outcome: object) -> None:
        agent.work.remove(work)
        for packet in work.packets:
            self.reply_outcome(packet, outcome)

    def crash_engine(self, agent: AgentModel) -> None:
        agent.registry.mark_running_lost()
        for work in [work for work in agent.work if work.running]:
            self.complete(agent, work, Unknown("server-lost"))

    def kill_agent(self, agent: AgentModel) -> None:
        epoch = agent.epoch + 1
        self.agents[agent.name] = AgentModel(agent.name, epoch, agent.skew)

    def receive_reply(self, call: Call, packet: Packet) -> None:
        assert packet.reply is not None
        if packet.step == "mint" and packet.reply.response is ResponseKind.COMPLETE:
            call.step, call.token = "run", packet.token
            self.send_packet(call)
            return
        # If minting failed, the request itself was never sent.
        reply = packet.reply
        if packet.step == "mint":
            reply = replace(reply, sent=SendProgress.NOTHING)
        self.apply_retry_decision(call, reply, packet.body)

    def lose_connection(self, call: Call, sent: SendProgress) -> None:
        if sent is SendProgress.NOTHING:
            if call.exchange in call.arrived:
                return
            self.wire = [packet for packet in self.wire if packet.call is not call]
        if call.step == "mint":
            sent = SendProgress.NOTHING
        attempt = Attempt(call.target, sent, ResponseKind.NOTHING, "", 0.0)
        self.apply_retry_decision(
            call, replace(attempt, revocation=call.step == "revoke"), b""
        )

    def apply_retry_decision(self, call: Call, attempt: Attempt, body: bytes) -> None:
        call.step = ""
        untried = set(AGENTS) - call.facts.failed_targets - {attempt.target}
        call.facts = replace(call.facts, has_other_target=bool(untried))
        match decide_retry(attempt, call.facts, self.budget, self.now):
            case RetryElsewhere(excluded=excluded, may_have_run=may_have_run):
                call.facts = replace(
                    call.facts, failed_targets=excluded, may_have_run=may_have_run
                )
                self.start_attempt(call, min(untried))
            case RevokeFirst(target=target):
                call.step, call.target = "revoke", target
                self.send_packet(call)
            case ReturnResult() if attempt.response is ResponseKind.COMPLETE:
                call.job.bodies.append(body)
                self.close(call, Outcome.RESULT)
            case ReportNotRun():
                self.close(call, Outcome.NOT_RUN)
            case _:
                self.close(call, Outcome.OTHER)

    @staticmethod
    def close(call: Call, outcome: Outcome) -> None:
        call.open = False
        call.job.outcomes.append(outcome)


AGENTS = ("s1", "s22")


class Node:
    """Represent one process of a `MembershipWorld`, with its own clock."""

    def __init__(self, peer: Peer, skew: float, sheet: Sheet, now: float) -> None:
        self.peer = peer
        self.skew = skew
        self.paused = False
        self.resumed_at = now
        self.sheet = sheet
        seeds = {name: name for name in ("ea1", "eb1")}
        name = peer.instance
        self.pause_watch = PauseWatch(now + skew)
        self.membership = Membership(peer, name, name, seeds, now + skew)
        self.membership.update_sheet(sheet)

    def detect_pause(self, now: float) -> None:
        if self.pause_watch.observe(now + self.skew):
            self.membership.drop_views(now + self.skew)
            self.resumed_at = now


class MembershipWorld:
    """Simulate the membership of two zones over a network with random faults."""

    STEP = 0.25

    def __init__(self) -> None:
        self.now = 0.0
        self.random = Random(0)
        self.loss_rate = self.delay_rate = self.duplicate_rate = 0.0
        self.partitioned = self.drop_peer_lists = False
        servers = [make_server(f"s{zone}{i}", zone) for zone in "ab" for i in "123"]
        self.sheet = make_sheet(
            zones=[Zone("a", "r", 3), Zone("b", "r", 3)], servers=servers
        )
        self.wire: list[tuple[float, float, str, Peer, Message]] = []
        self.timely_pairs: set[tuple[str, str]] = set()
        self.last_sent_by_pair: dict[tuple[str, str], float] = {}
        self.node_by_name: dict[str, Node] = {}
        for zone in "ab":
            for number in "123":
                self.start_process(f"e{zone}{number}", Role.ENTRY)
                self.start_process(f"s{zone}{number}", Role.AGENT)

    def end_faults(self) -> None:
        self.partitioned, self.loss_rate, self.delay_rate = False, 0.0, 0.0
        for node in self.node_by_name.values():
            node.paused = False

    def start_process(self, name: str, role: Role) -> None:
        incarnation = f"{name}-{self.random.random()}"
        peer = Peer(name, incarnation, name[1], role)
        skew = self.random.uniform(1.0, 1e5)
        self.node_by_name[name] = Node(peer, skew, self.sheet, self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += self.STEP
            self.deliver_due()
            for node in self.node_by_name.values():
                if not node.paused:
                    node.detect_pause(self.now)
                    self.post(node, node.membership.tick(self.now + node.skew))

    def post(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, Send)
            if self.drop_peer_lists and isinstance(action.message, PeerList):
                continue
            copies = 1 + (self.random.random() < self.duplicate_rate)
            for _ in range(copies):
                if self.random.random() < self.loss_rate:
                    continue
                is_late = self.random.random() < self.delay_rate
                delay = self.random.uniform(1.0, 20.0) if is_late else 0.01
                packet = (self.now + delay, self.now, action.instance, node.peer)
                self.wire.append((*packet, action.message))

    def deliver_due(self) -> None:
        """Deliver messages at their time; partitions and pauses delay them."""
        packets, self.wire = sorted(self.wire, key=lambda packet: packet[0]), []
        for packet in packets:
            deliver_at, sent_at, target, sender, message = packet
            node = self.node_by_name.get(target)
            if node is None:
                continue
            is_partitioned = self.partitioned and node.peer.zone != sender.zone
            if deliver_at > self.now or node.paused or is_partitioned:
                self.wire.append(packet)
                continue
            node.detect_pause(self.now)
            if isinstance(message, Heartbeat):
                self.record_heartbeat(node, sender, sent_at)
            envelope = make_envelope(sender, message)
            self.post(node, node.membership.hear(envelope, self.now + node.skew))

    def record_heartbeat(self, node: Node, sender: Peer, sent_at: float) -> None:
        pair = (node.peer.incarnation, sender.incarnation)
        if self.now - sent_at <= self.STEP:
            self.timely_pairs.add(pair)
        self.last_sent_by_pair[pair] = max(
            self.last_sent_by_pair.get(pair, 0.0), sent_at
        )


class CrashWorld:
    """Simulate a poison request and a bystander in two zones with lossy floods.

    The poison request crashes each server that runs it. The bystander crashes none,
    but may be in flight at the crash.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.random = Random(0)
        self.partitioned = False
        self.crashes = 0
        # Crashes in a zone and in the zones with which it could communicate.
        self.crashes_by_zone = {"a": 0, "b": 0}
        self.process_by_name = {
            f"{kind}{zone}{number}": CrashSuspects()
            for kind in "es"
            for zone in "ab"
            for number in "123"
        }

    def neighbours(self, name: str) -> list[str]:
        """Return the processes that a process can reach.

        Entries reach all entries and the agents of their zone; agents reach the entries
        of their zone. A partition separates the zones.
        """
        reachable = [other for other in self.process_by_name if other != name]
        if name[0] == "s":
            reachable = [other for other in reachable if other[0] == "e"]
        return [
            other
            for other in reachable
            if other[1] == name[1]
            or (not self.partitioned and other[0] == name[0] == "e")
        ]

    def post(self, sender: str, actions: list[Action], loss: float) -> None:
        """Deliver messages immediately in random order and drop a fraction."""
        self.random.shuffle(actions)
        for action in actions:
            assert isinstance(action, Send)
            name = action.instance
            if self.random.random() < loss or name not in self.neighbours(sender):
                continue
            process, neighbours = self.process_by_name[name], self.neighbours(name)
            forwarded: list[Action] = []
            if isinstance(action.message, CrashReport):
                forwarded = process.record_report(
                    action.message, neighbours, self.now, sender
                )
            elif isinstance(action.message, SuspectCleared):
                forwarded = process.record_clearance(
                    action.message, neighbours, self.now, sender
                )
            self.post(name, forwarded, loss)

    def deliver_repeats(self) -> None:
        """Send the repeats of recent reports; the second round loses no message."""
        for loss in (0.5, 0.0):
            self.now += 1.0
            for name, process in self.process_by_name.items():
                self.post(name, process.tick(self.neighbours(name), self.now), loss)

    def restart(self, name: str) -> None:
        self.process_by_name[name] = CrashSuspects()
        for other in self.neighbours(name):
            self.send_recent_reports(other, name)

    def heal_partition(self) -> None:
        self.partitioned = False
        for a, b in (("ea1", "eb1"), ("ea2", "eb2")):
            self.send_recent_reports(a, b)
            self.send_recent_reports(b, a)

    def send_recent_reports(self, sender: str, name: str) -> None:
        actions = self.process_by_name[sender].recent_reports_for(name, self.now)
        self.post(sender, actions, 0.0)

    def submit(self, entry: str, request: str, bystander: str, is_poison: bool) -> str:
        """Send a request through an entry and return its outcome."""
        verdict = self.process_by_name[entry].verdict(request, self.now)
        zones = [entry[1]] if self.partitioned else ["a", "b"]
        names = {zone: [f"s{zone}{number}" for number in "123"] for zone in zones}
        server: str | None = self.random.choice(names[entry[1]])
        if isinstance(verdict, Convicted):
            return "refused"
        if isinstance(verdict, RunAlone):
            server = choose_isolation_server(request, names)
        assert server is not None
        run_alone = isinstance(verdict, RunAlone)
        agent = self.process_by_name[server]
        agent_verdict = agent.verdict(request, self.now)
        if isinstance(agent_verdict, Convicted) or (
            isinstance(agent_verdict, RunAlone) and not run_alone
        ):
            return "refused"
        neighbours = self.neighbours(server)
        if not is_poison:
            if run_alone:
                self.post(server, agent.clear(request, neighbours, self.now), 0.5)
            return "done"
        self.crashes += 1
        crash_id = f"crash-{self.crashes}"
        in_flight = (request,) if run_alone or not bystander else (request, bystander)
        report = CrashReport(crash_id, server, in_flight, run_alone)
        self.post(server, agent.record_report(report, neighbours, self.now), 0.5)
        earlier_crashes = max(self.crashes_by_zone[zone] for zone in zones)
        assert earlier_crashes <= 1, "the request crashed a third server"
        for zone in zones:
            self.crashes_by_zone[zone] = earlier_crashes + 1
        # A caller retries only after its attempt failed, when the flood has ended.
        self.deliver_repeats()
        return "crashed"
