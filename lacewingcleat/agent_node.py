"""transport: the control plane of an agent.

It combines the state machines for one backend server: admission, tickets, crash
suspects, load reports and, for an engine, its rank in a model group.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.agent_gate import AgentGate, GateEvent
from lacewingcleat.claim_hours import claimed_shares
from lacewingcleat.clock import read_now, read_wall
from lacewingcleat.crash_suspects import CRASHES_SERVER_DETAIL, Convicted, RunAlone
from lacewingcleat.engine_report import (
    EngineLoad,
    decode_engine_incarnation,
    decode_engine_load,
)
from lacewingcleat.group_leader import GroupQueueState
from lacewingcleat.http_client import HttpClient
from lacewingcleat.identity import Role
from lacewingcleat.messages import CrashReport, Envelope, GroupReport
from lacewingcleat.metrics import AgentMetrics
from lacewingcleat.node import Node
from lacewingcleat.problems import Problem, not_run_problem
from lacewingcleat.rank_agent import RankAgent
from lacewingcleat.response_buffers import make_response_buffers
from lacewingcleat.server_rate_limits import ServerRateLimits
from lacewingcleat.settings import AgentSettings
from lacewingcleat.sheet import ModelGroup, Service, Sheet
from lacewingcleat.tickets import TicketRegistry

TICKET_SECRET_BYTES = 32
CRASH_ID_BYTES = 8
REPORT_INTERVAL_SECONDS = 0.5
BACKEND_READ_TIMEOUT_SECONDS = 1.0
MAX_STATE_BYTES = 1 << 16
DEFAULT_SERVICE_SECONDS = 0.05


@dataclass(slots=True)
class _RunningRequest:
    """Represent a request that is running at the backend server."""

    fingerprint: str
    segments: tuple[str, ...]
    cost_seconds: float


class AgentNode(Node):
    """Run the control plane of one agent."""

    def __init__(self, reactor: Any, settings: AgentSettings) -> None:
        self.metrics = AgentMetrics()
        # The instance name of an agent is the name of its backend server in the sheet.
        super().__init__(
            reactor,
            settings,
            settings.server,
            Role.AGENT,
            "lacewing-agent",
            self.metrics,
        )
        self.settings = settings
        # The backend server does not say to which request an answer belongs, and a late
        # second copy of one would be taken for the next answer on the same connection.
        # Connections to it stay on this machine, so opening them costs little.
        self.backend_client = HttpClient(reactor, persistent=False)
        self.gate = AgentGate(settings.server, settings.queue_limit)
        self.response_buffers = make_response_buffers(settings.memory_mb)
        self.ticket_registry = TicketRegistry(
            self.peer,
            settings.request_address,
            self.random_bytes(TICKET_SECRET_BYTES),
        )
        self.on_gate_events: Callable[[list[GateEvent]], None] = lambda events: None
        self.group: ModelGroup | None = None
        self.service: Service | None = None
        self.rank_agent: RankAgent | None = None
        self._running_by_id: dict[str, _RunningRequest] = {}
        self._backend_incarnation = ""
        self._backend_up = True
        self._engine_load = EngineLoad()
        self._load_malformed = False
        self._report_sequence = 0
        self._next_report_at = 0.0
        self._check_in_progress: defer.Deferred[None] | None = None
        self._fingerprints_at_check: set[str] = set()
        self._segments_at_check: set[str] = set()
        self._run_alone_at_check = False
        self._admitted_seconds = 0.0
        # This agent is the only way to its server, so the whole limit is its own.
        self._rate_limits = ServerRateLimits(self.peer.instance)

    # Sheet, time and messages

    def on_sheet(self, sheet: Sheet, now: float) -> None:
        """Apply a sheet to the gate, the rank agent and the announced capacity."""
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
        self._update_rank_agent(now)
        self.on_gate_events(self.gate.apply_sheet(sheet, now))
        self._update_firm_shares(now)
        server = sheet.server_by_name.get(name)
        self.membership.capacity = server.slots if server else 0
        if self.gate.leaving:
            self.membership.set_leaving(now)

    def _update_rank_agent(self, now: float) -> None:
        group = self.group
        rank_agent = self.rank_agent
        if rank_agent is not None and rank_agent.group != group:
            rank_agent.stop()
            self.rank_agent = None
        if group is None or self.rank_agent is not None or self.sheet is None:
            return
        server = self.sheet.server_by_name[self.settings.server]
        self.rank_agent = RankAgent(self, self.settings, group, server.checks_fencing)

    def _update_firm_shares(self, now: float) -> None:
        if self.sheet is None or self.group is None:
            return
        shares = claimed_shares(self.sheet, self.group.name, read_wall())
        self.on_gate_events(self.gate.set_shares(shares, now))

    def on_pause(self, now: float) -> None:
        """Start no requests until a peer has confirmed the sheet."""
        self.on_gate_events(self.gate.pause(now))

    def on_message(self, envelope: Envelope, now: float) -> None:
        """Pass a control message to the rank agent, if there is one."""
        match envelope.body:
            case _ if self.rank_agent is not None:
                self.rank_agent.receive(envelope, now)

    def on_tick(self, now: float) -> None:
        """Run the timers of the gate, tickets and rank, and send periodic reports."""
        if self.relay.ready(now):
            self.on_gate_events(self.gate.resume(now))
        self._update_firm_shares(now)
        self.on_gate_events(self.gate.tick(now))
        self.ticket_registry.evict_expired(now)
        self.membership.in_flight = self.gate.running
        if self.rank_agent is not None and self.group is not None:
            self.rank_agent.tick(self._live_ranks(self.group, now), now)
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_SECONDS
            defer.ensureDeferred(self._send_report(now))

    async def close(self) -> None:
        """Stop the rank agent, then close the node."""
        if self.rank_agent is not None:
            self.rank_agent.stop()
        await super().close()

    # Requests at the backend server, crash checks

    @property
    def running_request_ids(self) -> set[str]:
        """Return the IDs of the requests that run at the backend server."""
        return set(self._running_by_id)

    def begin_run(
        self,
        request_id: str,
        fingerprint: str,
        segments: tuple[str, ...],
        cost_seconds: float,
    ) -> None:
        """Record that a request starts at the backend server.

        :param cost_seconds: estimated cost in seconds.
        """
        self._running_by_id[request_id] = _RunningRequest(
            fingerprint, segments, cost_seconds
        )
        self._admitted_seconds += cost_seconds

    def end_run(self, request_id: str) -> None:
        """Record that a request has ended at the backend server."""
        self._running_by_id.pop(request_id, None)

    @property
    def backend_up(self) -> bool:
        """Return whether the backend server responded to the last health check."""
        return self._backend_up

    def record_limit(self, value: str | None, sent_at: float) -> None:
        """Record the limit that the backend server names in an answer.

        :param value: value of the header, none if the answer has none.
        :param sent_at: time at which the request was sent.
        """
        limit = names.parse_rate_limit(value)
        server = self.settings.server
        if self._rate_limits.record_answer(server, limit, sent_at, read_now()):
            self.log.info(f"the backend server limits its requests to {limit}/s.")

    def take_rate_limit(self) -> Problem | None:
        """Count a request that is to be sent, or return why it may not be sent now."""
        now = read_now()
        if not self._rate_limits.may_send(self.settings.server, now):
            detail = "the backend server takes fewer requests at present"
            return not_run_problem(503, "rate-limit", detail, 1.0)
        self._rate_limits.take(self.settings.server, now)
        return None

    def check_suspect(
        self, fingerprint: str, segments: tuple[str, ...], run_alone: bool
    ) -> Problem | None:
        """Return a refusal if the request is a crash suspect that may not run now.

        :param run_alone: whether the entry asked for the request to run exclusively.
        """
        if not fingerprint:
            return None
        match self.suspects.verdict(fingerprint, read_now(), segments):
            case Convicted(retry_after):
                detail = CRASHES_SERVER_DETAIL
                return not_run_problem(422, "crashes-server", detail, retry_after)
            case RunAlone() if not run_alone:
                detail = "the request is suspected of a crash and must run alone"
                return not_run_problem(503, "must-run-alone", detail, 0.1)
        return None

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear a crash suspect that completed while it ran exclusively."""
        now = read_now()
        self.perform(
            self.suspects.clear(fingerprint, self.crash_report_neighbours(now), now),
        )

    def record_answer(self, segments: tuple[str, ...]) -> None:
        """Clear the prompt segments of a request that has completed."""
        now = read_now()
        neighbours = self.crash_report_neighbours(now)
        self.perform(self.suspects.record_answer(segments, neighbours, now))

    async def check_backend(
        self,
        fingerprint: str,
        segments: tuple[str, ...] = (),
        run_alone: bool = False,
    ) -> None:
        """Check whether the backend server has crashed and report the crash if so.

        Respond to the entry only after this check. The crash report is then sent before
        the entry can retry the request at another server. Requests that fail together
        share one check.

        :param fingerprint: the request whose response failed, empty if none did.
        :param segments: its prompt segments.
        :param run_alone: whether that request ran exclusively.
        """
        self._fingerprints_at_check |= self._running_fingerprints()
        self._fingerprints_at_check.add(fingerprint)
        self._segments_at_check |= self._running_segments() | set(segments)
        self._run_alone_at_check |= run_alone
        if self._check_in_progress is None:
            self._check_in_progress = defer.ensureDeferred(self._run_check())
        waiter: defer.Deferred[None] = defer.Deferred()
        self._check_in_progress.addBoth(lambda _: waiter.callback(None))
        await waiter

    def _running_fingerprints(self) -> set[str]:
        return {run.fingerprint for run in self._running_by_id.values()}

    def _running_segments(self) -> set[str]:
        return {name for run in self._running_by_id.values() for name in run.segments}

    async def _run_check(self) -> None:
        # Other requests that failed by the same crash join this check before it runs.
        await task.deferLater(self.reactor, 0, lambda: None)
        incarnation = await self._read_incarnation()
        self._check_in_progress = None
        fingerprints, self._fingerprints_at_check = (
            self._fingerprints_at_check - {""},
            set(),
        )
        segments, self._segments_at_check = self._segments_at_check, set()
        run_alone, self._run_alone_at_check = self._run_alone_at_check, False
        self._update_incarnation(incarnation, fingerprints, segments, run_alone)

    def _update_incarnation(
        self,
        incarnation: str | None,
        fingerprints: set[str],
        segments: set[str],
        run_alone: bool,
    ) -> None:
        """Record the backend's incarnation and report a crash if it died or restarted.

        :param incarnation: as returned by `_read_incarnation`.
        :param fingerprints: the requests in flight when the check began.
        :param segments: their prompt segments.
        :param run_alone: whether one of them ran exclusively.
        """
        previous_incarnation = self._backend_incarnation
        was_up, self._backend_up = self._backend_up, incarnation is not None
        if incarnation:
            self._backend_incarnation = incarnation
        restarted = bool(
            incarnation and previous_incarnation and incarnation != previous_incarnation
        )
        if was_up and (incarnation is None or restarted):
            self._report_crash(fingerprints, segments, run_alone)

    async def _read_incarnation(self) -> str | None:
        """Return the engine's incarnation, "" for a live service or None if down."""
        address = self.settings.backend_address
        if self.settings.backend_kind != "engine":
            return "" if await self.http_client.can_connect(address) else None
        fetched = await self.http_client.fetch(
            "GET",
            address,
            "/state",
            Headers(),
            b"",
            BACKEND_READ_TIMEOUT_SECONDS,
            MAX_STATE_BYTES,
        )
        if isinstance(fetched, Err):
            return None
        return decode_engine_incarnation(fetched.ok_value[1])

    def _report_crash(
        self, fingerprints: set[str], segments: set[str], run_alone: bool
    ) -> None:
        now = read_now()
        self.metrics.backend_crashes.inc()
        self.log.error(
            f"the backend server crashed with {len(fingerprints)} requests in flight.",
        )
        for ticket_id in self.ticket_registry.mark_running_lost():
            self.log.warning(
                f"ticket {ticket_id} was lost in the crash; its outcome is unknown."
            )
        if not fingerprints:
            return
        report = CrashReport(
            self.random_bytes(CRASH_ID_BYTES).hex(),
            self.settings.server,
            tuple(sorted(fingerprints)),
            run_alone,
            segments=tuple(self.suspects.unanswered_segments(sorted(segments), now)),
        )
        neighbours = self.crash_report_neighbours(now)
        self.perform(self.suspects.record_report(report, neighbours, now))

    # Reports

    async def _send_report(self, now: float) -> None:
        if self.settings.backend_kind == "engine":
            await self._poll_engine_load()
        elif not self._backend_up:
            await self.check_backend("")
        report = self._build_report(now)
        if report is None or self.stopping:
            return
        admitted = self._admitted_seconds
        report = msgspec.structs.replace(report, admitted_seconds=admitted)
        for instance in self.report_receivers(now):
            self.send(instance, report)

    def report_receivers(self, now: float) -> list[str]:
        """Return the live entries of this zone, which route requests to this server."""
        entries = self.membership.live_entries(self.peer.zone, now)
        return [peer.instance for peer in entries]

    async def _poll_engine_load(self) -> None:
        fetched = await self.http_client.fetch(
            "GET",
            self.settings.backend_address,
            "/load",
            Headers(),
            b"",
            BACKEND_READ_TIMEOUT_SECONDS,
            MAX_STATE_BYTES,
        )
        if isinstance(fetched, Err):
            await self.check_backend("")
            return
        decoded = decode_engine_load(fetched.ok_value[1])
        if isinstance(decoded, Err) and not self._load_malformed:
            text = f"the engine's load report is malformed: {decoded.err_value}"
            self.alarm("engine-load", text)
        self._load_malformed = isinstance(decoded, Err)
        self._engine_load = decoded.unwrap_or(EngineLoad())
        in_flight = self._running_fingerprints()
        self._update_incarnation(
            self._engine_load.incarnation, in_flight, self._running_segments(), False
        )

    def _build_report(self, now: float) -> GroupReport | None:
        if self.service is not None:
            return self._build_service_report(self.service)
        if self.rank_agent is None or self.group is None:
            return None
        load = self._engine_load
        reports = self.rank_agent.report_aggregator
        reports.record_own_load(
            load.step_seconds,
            load.tokens_by_expert(self.rank_agent.layer_to_report),
            self.rank_agent.map_version,
        )
        self.perform(reports.tick(now))
        if self.settings.server != self.group.front_server:
            return None
        front_state = GroupQueueState(
            self._queued_seconds(),
            self.gate.running,
            self._available_slots(),
            load.prefill_tokens_per_second,
            load.adapters,
            self.group.versions,
            load.kv_free_share,
        )
        return reports.group_report(front_state, now)

    def _live_ranks(self, group: ModelGroup, now: float) -> set[str]:
        return {
            name
            for name in group.ranks
            if name == self.settings.server
            or self.membership.may_receive_work(name, now)
        }

    def _available_slots(self) -> int:
        """Return the number of slots, or 0 while the backend server is down."""
        return self.gate.slots if self._backend_up else 0

    def _queued_seconds(self) -> float:
        waiting_seconds = self.gate.waiting * self.gate.queue.service_seconds
        return waiting_seconds / max(1, self.gate.slots)

    def _build_service_report(self, service: Service) -> GroupReport:
        self._report_sequence += 1
        return GroupReport(
            service.name,
            self.settings.server,
            self._queued_seconds(),
            self.gate.running,
            self._available_slots(),
            self.gate.queue.service_seconds or DEFAULT_SERVICE_SECONDS,
            0,
            0.0,
            (),
            (),
            1.0,
            self._report_sequence,
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
            "tickets": len(self.ticket_registry),
            "stored_bytes": self.ticket_registry.stored_bytes,
            "backend_up": self._backend_up,
            "suspects": len(self.suspects),
        }
        if self.rank_agent is not None:
            status["rank"] = self.rank_agent.status()
        return status

    def unready_reason(self) -> str:
        """Return why the agent accepts no requests, or an empty string if it does."""
        if self.gate.leaving:
            return "leaving"
        if not self.relay.ready(read_now()):
            return "no sheet is in force yet"
        if not self._backend_up:
            return "the backend server does not answer"
        return ""
