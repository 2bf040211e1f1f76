"""transport: the control plane of an agent.

It holds the state of one backend server: the gate, the tickets, crash suspects, load
reports and the rank's part in a group.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from lacewingcleat.agent_gate import AgentGate, GateEvent
from lacewingcleat.clock import read_now, read_wall
from lacewingcleat.crash_suspects import Convicted, RunAlone
from lacewingcleat.engine_report import EngineLoad, decode_incarnation, decode_load
from lacewingcleat.group_leader import GroupQueueState
from lacewingcleat.hours import claim_share
from lacewingcleat.identity import Role
from lacewingcleat.messages import CrashReport, Envelope, GroupReport
from lacewingcleat.metrics import AgentMetrics
from lacewingcleat.node import Node
from lacewingcleat.problems import Problem, not_run
from lacewingcleat.rank_agent import RankAgent
from lacewingcleat.settings import AgentSettings
from lacewingcleat.sheet import ModelGroup, Service, Sheet
from lacewingcleat.tickets import TicketRegistry

SECRET_BYTES = 32
CRASH_ID_BYTES = 8
REPORT_SECONDS = 0.5
CHECK_TIMEOUT_SECONDS = 1.0
MAX_STATE_BYTES = 1 << 16
DEFAULT_SERVICE_SECONDS = 0.05


@dataclass(slots=True)
class _Run:
    """Hold a request that is at the backend server."""

    fingerprint: str
    cost_seconds: float


class AgentNode(Node):
    """Run the control plane of one agent."""

    def __init__(self, reactor: Any, settings: AgentSettings) -> None:
        self.metrics = AgentMetrics()
        # Other processes know an agent under its server's name in the sheet.
        super().__init__(
            reactor,
            settings,
            settings.server,
            Role.AGENT,
            "lacewing-agent",
            self.metrics,
        )
        self.settings = settings
        self.gate = AgentGate(settings.server, settings.queue_limit)
        self.book = TicketRegistry(
            self.peer,
            settings.request_address,
            self.random_bytes(SECRET_BYTES),
        )
        self.on_gate_events: Callable[[list[GateEvent]], None] = lambda events: None
        self.group: ModelGroup | None = None
        self.service: Service | None = None
        self.rank_agent: RankAgent | None = None
        self._run_by_id: dict[str, _Run] = {}
        self._backend_incarnation = ""
        self._backend_up = True
        self._load = EngineLoad()
        self._load_malformed = False
        self._sequence = 0
        self._next_report = 0.0
        self._check: defer.Deferred[None] | None = None
        self._in_flight_at_check: set[str] = set()
        self._alone_at_check = False
        self._admitted_seconds = 0.0

    # Sheet, time and messages

    def on_sheet(self, sheet: Sheet, now: float) -> None:
        """Put a sheet in force at the gate."""
        name = self.settings.server
        self.group = next(
            (group for group in sheet.group_by_name.values() if name in group.ranks),
            None,
        )
        self.service = next(
            (
                service
                for service in sheet.service_by_name.values()
                if name in service.backend_servers
            ),
            None,
        )
        self._apply_group(now)
        self.on_gate_events(self.gate.apply_sheet(sheet, now))
        self._apply_shares(now)
        server = sheet.server_by_name.get(name)
        self.membership.capacity = server.slots if server else 0
        if self.gate.leaving:
            self.membership.set_leaving(now)

    def _apply_group(self, now: float) -> None:
        group = self.group
        agent = self.rank_agent
        if agent is not None and agent.group != group:
            agent.stop()
            self.rank_agent = None
        if group is None or self.rank_agent is not None or self.sheet is None:
            return
        server = self.sheet.server_by_name[self.settings.server]
        self.rank_agent = RankAgent(self, group, server.checks_fencing)

    def _apply_shares(self, now: float) -> None:
        if self.sheet is None or self.group is None:
            return
        shares = claim_share(self.sheet, self.group.name, read_wall())
        self.on_gate_events(self.gate.set_shares(shares, now))

    def on_pause(self, now: float) -> None:
        """Start nothing until a peer confirmed the sheet."""
        self.on_gate_events(self.gate.pause(now))

    def on_message(self, envelope: Envelope, now: float) -> None:
        """Handle messages of the group."""
        match envelope.body:
            case _ if self.rank_agent is not None:
                self.rank_agent.receive(envelope, now)

    def on_tick(self, now: float) -> None:
        """Advance the gate and send reports when they are due."""
        if self.relay.ready(now):
            self.on_gate_events(self.gate.resume(now))
        self._apply_shares(now)
        self.on_gate_events(self.gate.tick(now))
        self.book.evict_expired(now)
        self.membership.in_flight = self.gate.running
        if self.rank_agent is not None and self.group is not None:
            self.rank_agent.tick(self._live_ranks(self.group, now), now)
        if now >= self._next_report:
            self._next_report = now + REPORT_SECONDS
            defer.ensureDeferred(self._report(now))

    async def close(self) -> None:
        """Stop the rank's part in its group as well."""
        if self.rank_agent is not None:
            self.rank_agent.stop()
        await super().close()

    # Work at the backend server

    @property
    def running_ids(self) -> set[str]:
        """Return the requests that are at the backend server."""
        return set(self._run_by_id)

    def begin_run(self, request_id: str, fingerprint: str, cost: float) -> None:
        """Note a request that is now at the backend server."""
        self._run_by_id[request_id] = _Run(fingerprint, cost)
        self._admitted_seconds += cost

    def end_run(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._run_by_id.pop(request_id, None)

    @property
    def backend_up(self) -> bool:
        """Return whether the backend server answered the last check."""
        return self._backend_up

    def refuse_suspect(self, fingerprint: str, alone: bool) -> Problem | None:
        """Return a refusal for a request that may not run this way."""
        if not fingerprint:
            return None
        match self.suspects.verdict(fingerprint, read_now()):
            case Convicted(retry_after):
                detail = "the request has crashed two backend servers"
                return not_run(422, "crashes-server", detail, retry_after)
            case RunAlone() if not alone:
                detail = "the request is suspected of a crash and must run alone"
                return not_run(503, "must-run-alone", detail, 0.1)
        return None

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear a suspect that completed alone."""
        now = read_now()
        self.perform(
            self.suspects.clear(fingerprint, self.crash_neighbours(now), now),
        )

    async def check_backend(self, fingerprint: str, alone: bool = False) -> None:
        """Find out whether a broken answer was a crash, and report it if so.

        The caller answers its entry afterwards, so that the report is on its way before
        the entry can send the request to another server. Broken answers that come
        together wait for the same check.

        :param fingerprint: the request whose answer broke, empty if none did.
        """
        self._in_flight_at_check |= self._fingerprints_in_flight()
        self._in_flight_at_check.add(fingerprint)
        self._alone_at_check |= alone
        if self._check is None:
            self._check = defer.ensureDeferred(self._check_backend())
        waiter: defer.Deferred[None] = defer.Deferred()
        self._check.addBoth(lambda _: waiter.callback(None))
        await waiter

    def _fingerprints_in_flight(self) -> set[str]:
        return {run.fingerprint for run in self._run_by_id.values()}

    async def _check_backend(self) -> None:
        # Lets the other broken answers of the same crash join this check.
        await task.deferLater(self.reactor, 0, lambda: None)
        incarnation = await self._read_incarnation()
        self._check = None
        fingerprints, self._in_flight_at_check = self._in_flight_at_check - {""}, set()
        alone, self._alone_at_check = self._alone_at_check, False
        self._note_incarnation(incarnation, fingerprints, alone)

    def _note_incarnation(
        self,
        incarnation: str | None,
        fingerprints: set[str],
        alone: bool,
    ) -> None:
        """Compare the backend's incarnation with the one before."""
        known = self._backend_incarnation
        was_up, self._backend_up = self._backend_up, incarnation is not None
        if incarnation:
            self._backend_incarnation = incarnation
        restarted = bool(incarnation and known and incarnation != known)
        if was_up and (incarnation is None or restarted):
            self._report_crash(fingerprints, alone)

    async def _read_incarnation(self) -> str | None:
        """Return the backend's incarnation, empty for a service, None if it is down."""
        address = self.settings.backend_address
        if self.settings.backend_kind != "engine":
            return "" if await self.http_client.can_connect(address) else None
        fetched = await self.http_client.fetch(
            "GET",
            address,
            "/state",
            Headers(),
            b"",
            CHECK_TIMEOUT_SECONDS,
            MAX_STATE_BYTES,
        )
        if isinstance(fetched, Err):
            return None
        return decode_incarnation(fetched.ok_value[1])

    def _report_crash(self, fingerprints: set[str], alone: bool) -> None:
        now = read_now()
        self.metrics.backend_crashes.inc()
        self.log.error(
            f"the backend server crashed with {len(fingerprints)} requests in flight.",
        )
        for ticket_id in self.book.mark_running_lost():
            self.log.warning(f"the outcome of ticket {ticket_id} is unknown.")
        if not fingerprints:
            return
        report = CrashReport(
            self.random_bytes(CRASH_ID_BYTES).hex(),
            self.settings.server,
            tuple(sorted(fingerprints)),
            alone,
        )
        neighbours = self.crash_neighbours(now)
        self.perform(self.suspects.record_report(report, neighbours, now))

    # Reports

    async def _report(self, now: float) -> None:
        if self.settings.backend_kind == "engine":
            await self._poll_load()
        elif not self._backend_up:
            await self.check_backend("")
        report = self._make_report(now)
        if report is None or self.stopping:
            return
        admitted = self._admitted_seconds
        report = msgspec.structs.replace(report, admitted_seconds=admitted)
        for instance in self.report_receivers(now):
            self.send(instance, report)

    def report_receivers(self, now: float) -> list[str]:
        """Return the entries of the own zone, which route to this server."""
        entries = self.membership.live_entries(self.peer.zone, now)
        return [peer.instance for peer in entries]

    async def _poll_load(self) -> None:
        fetched = await self.http_client.fetch(
            "GET",
            self.settings.backend_address,
            "/load",
            Headers(),
            b"",
            CHECK_TIMEOUT_SECONDS,
            MAX_STATE_BYTES,
        )
        if isinstance(fetched, Err):
            await self.check_backend("")
            return
        decoded = decode_load(fetched.ok_value[1])
        if isinstance(decoded, Err) and not self._load_malformed:
            text = f"the engine's load report is malformed: {decoded.err_value}"
            self.alarm("engine-load", text)
        self._load_malformed = isinstance(decoded, Err)
        self._load = decoded.unwrap_or(EngineLoad())
        in_flight = self._fingerprints_in_flight()
        self._note_incarnation(self._load.incarnation, in_flight, False)

    def _make_report(self, now: float) -> GroupReport | None:
        if self.service is not None:
            return self._service_report(self.service)
        if self.rank_agent is None or self.group is None:
            return None
        load = self._load
        reports = self.rank_agent.report_aggregator
        reports.record_own_load(
            load.step_seconds,
            load.tokens_by_expert(self.rank_agent.layer_to_report),
            self.rank_agent.map_version,
        )
        self.perform(reports.tick(now))
        if self.settings.server != self.group.front_server:
            return None
        front = GroupQueueState(
            self._queued_seconds(),
            self.gate.running,
            self._capacity(),
            load.prefill_tokens_per_second,
            load.adapters,
            self.group.versions,
            load.kv_free_share,
        )
        return reports.group_report(front, now)

    def _live_ranks(self, group: ModelGroup, now: float) -> set[str]:
        return {
            name
            for name in group.ranks
            if name == self.settings.server
            or self.membership.may_receive_work(name, now)
        }

    def _capacity(self) -> int:
        """Return the slots, or 0 while the backend server is down."""
        return self.gate.slots if self._backend_up else 0

    def _queued_seconds(self) -> float:
        waiting = self.gate.waiting * self.gate.queue.service_seconds
        return waiting / max(1, self.gate.slots)

    def _service_report(self, service: Service) -> GroupReport:
        self._sequence += 1
        return GroupReport(
            service.name,
            self.settings.server,
            self._queued_seconds(),
            self.gate.running,
            self._capacity(),
            self.gate.queue.service_seconds or DEFAULT_SERVICE_SECONDS,
            0,
            0.0,
            (),
            (),
            1.0,
            self._sequence,
        )

    def status(self) -> dict[str, Any]:
        """Return the status document of the admin port."""
        status = self.base_status()
        status |= {
            "server": self.settings.server,
            "group": self.group.name if self.group else "",
            "service": self.service.name if self.service else "",
            "running": self.gate.running,
            "waiting": self.gate.waiting,
            "slots": self.gate.slots,
            "leaving": self.gate.leaving,
            "drained": self.gate.drained,
            "tickets": len(self.book),
            "stored_bytes": self.book.stored_bytes,
            "backend_up": self._backend_up,
            "suspects": len(self.suspects),
        }
        if self.rank_agent is not None:
            status["rank"] = self.rank_agent.status()
        return status

    def ready_reason(self) -> str:
        """Return why the agent takes no work, empty if it does."""
        if self.gate.leaving:
            return "leaving"
        if not self.relay.ready(read_now()):
            return "no sheet is in force yet"
        if not self._backend_up:
            return "the backend server does not answer"
        return ""
