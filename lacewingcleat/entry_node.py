"""transport: the control plane of an entry.

It tracks the state that routing and admission depend on: live servers, load estimates,
account limits and crash suspects.
"""

import random
from typing import Any

import msgspec
from result import Err, Ok
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.account_limits import AccountLimits
from lacewingcleat.clock import read_now
from lacewingcleat.group_routing import GroupRouter
from lacewingcleat.http_client import first_header
from lacewingcleat.identity import Peer, Role
from lacewingcleat.load_view import Target
from lacewingcleat.messages import (
    Envelope,
    GroupReport,
    LimitDemands,
    LimitLeases,
    ZoneDigest,
)
from lacewingcleat.metrics import EntryMetrics
from lacewingcleat.node import Node
from lacewingcleat.relay_actions import RelayPeers
from lacewingcleat.response_buffers import make_response_buffers
from lacewingcleat.retries import RetryBudget
from lacewingcleat.routing_choice import Choice, ModelRequest, NoRoute, RouteRequest
from lacewingcleat.settings import EntrySettings
from lacewingcleat.sheet import Sheet
from lacewingcleat.zone_digests import choose_digest_receivers

DIGEST_INTERVAL_SECONDS = 1.0
ROUTER_TICK_INTERVAL_SECONDS = 1.0


class EntryNode(Node):
    """Run the control plane of one entry."""

    def __init__(self, reactor: Any, settings: EntrySettings) -> None:
        self.metrics = EntryMetrics()
        super().__init__(
            reactor,
            settings,
            settings.instance,
            Role.ENTRY,
            "lacewing-entry",
            self.metrics,
            settings.config_address,
        )
        self.settings = settings
        now = read_now()
        # Seeded with the incarnation, so that entries sample different candidates.
        self.rng = random.Random(self.peer.incarnation)
        self.router = GroupRouter(settings.zone)
        self.limits = AccountLimits(self.peer, now)
        self.retry_budget = RetryBudget(now)
        self.response_buffers = make_response_buffers(settings.memory_mb)
        self.lease_waiters: list[Any] = []
        self._next_digest_at = 0.0
        self._digest_index = 0
        self._next_router_tick_at = 0.0

    def on_sheet(self, sheet: Sheet, now: float) -> None:
        """Apply a sheet to routing and limits."""
        self.router.set_sheet(sheet, now)
        self.limits.apply_sheet(sheet, now)
        self._refresh_servers(now)

    def on_pause(self, now: float) -> None:
        """Discard load estimates that date from before the pause."""
        self.router.discard_stale_state(now)

    def on_message(self, envelope: Envelope, now: float) -> None:
        """Handle load reports, zone digests and limit messages."""
        sender = envelope.sender
        match envelope.body:
            case GroupReport() as report:
                reporter = report.incarnation or sender.incarnation
                self.router.loads.apply_report(report, reporter, now)
            case ZoneDigest() as digest:
                self._apply_digest(digest, sender, now)
            case LimitDemands() | LimitLeases() as message:
                self.perform(self.limits.receive(sender, message, now))
                if isinstance(message, LimitLeases):
                    self._wake_lease_waiters()

    def _apply_digest(self, digest: ZoneDigest, sender: Peer, now: float) -> None:
        self.router.loads.apply_digest(digest, sender.incarnation, now)
        if sender.zone == self.peer.zone:
            return
        # Only one entry per zone receives the digest of another zone and forwards it to
        # the other entries of its own zone.
        for peer in self.membership.live_entries(self.peer.zone, now):
            if peer.instance != self.peer.instance:
                self.send(peer.instance, digest)

    def on_tick(self, now: float) -> None:
        """Update membership, limits and routing, and send the periodic messages."""
        if self.config_client is not None and self.relay.is_reader:
            self.config_client.watch_instances()
        self._refresh_servers(now)
        sheet = self.sheet
        if sheet is None:
            return
        entries = [
            peer
            for zone in sheet.zone_by_name
            for peer in self.membership.live_entries(zone, now)
        ]
        self.limits.update_entries(entries, now)
        self.perform(self.limits.tick(now))
        self._tick_router(now)
        if now >= self._next_digest_at:
            self._next_digest_at = now + DIGEST_INTERVAL_SECONDS
            self._send_digest(sheet, now)

    def _tick_router(self, now: float) -> None:
        if now < self._next_router_tick_at:
            return
        self._next_router_tick_at = now + ROUTER_TICK_INTERVAL_SECONDS
        for event in self.router.tick(now):
            self.log.warning(f"{event}.")

    def _send_digest(self, sheet: Sheet, now: float) -> None:
        """Send the load of this zone to other zones, if this entry is a reader."""
        if not self.relay.is_reader:
            return
        self._digest_index += 1
        readers_by_zone = {
            zone: self.membership.zone_readers(zone, now) for zone in sheet.zone_by_name
        }
        receivers = choose_digest_receivers(
            self.peer.instance,
            self.peer.zone,
            sheet.zone_by_name,
            readers_by_zone,
            self._digest_index,
        )
        targets = self._zone_targets(sheet, self.peer.zone)
        digest = self.router.loads.make_digest(self.peer.zone, targets, now)
        for instance in receivers:
            self.send(instance, digest)

    def _zone_targets(self, sheet: Sheet, zone: str) -> list[Target]:
        groups = [
            Target(group.name, group.front_server)
            for group in sheet.group_by_name.values()
            if sheet.server_by_name[group.front_server].zone == zone
        ]
        services = [
            Target(service.name, server)
            for service in sheet.service_by_name.values()
            for server in service.backend_servers
            if sheet.server_by_name[server].zone == zone
        ]
        return groups + services

    def _refresh_servers(self, now: float) -> None:
        sheet = self.sheet
        if sheet is None:
            return
        available = set()
        unavailable = set()
        for name in sheet.server_by_name:
            if self.membership.may_receive_work(name, now):
                available.add(name)
            elif self.membership.is_known_unavailable(name, now):
                unavailable.add(name)
        self.router.set_servers(available, unavailable, now)

    def relay_view(self, now: float) -> RelayPeers:
        """Return the live peers to which sheets are distributed."""
        sheet = self.sheet
        zone_entries = self.membership.live_entries(self.peer.zone, now)
        other_entries = [
            peer.instance
            for zone in (sheet.zone_by_name if sheet else ())
            if zone != self.peer.zone
            for peer in self.membership.live_entries(zone, now)
        ]
        return RelayPeers(
            frozenset(peer.instance for peer in zone_entries),
            frozenset(self.membership.reporting_agents(now)),
            frozenset(other_entries),
        )

    def _wake_lease_waiters(self) -> None:
        waiters, self.lease_waiters = self.lease_waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    # Decisions for requests

    def choose(self, request: RouteRequest) -> Choice | NoRoute:
        """Choose a target according to the current state."""
        match self.router.choose(request, read_now(), self.rng):
            case Ok(choice):
                self.metrics.routing_choices.labels(choice.rule.name.lower()).inc()
                return choice
            case Err(no_route):
                return no_route

    def record_response(self, server: str, incarnation: str, headers: Headers) -> None:
        """Send no new work to an agent whose response says that it leaves.

        :param incarnation: incarnation of the agent that was known when the request was
            sent. A later one does not leave for what the earlier one has said.
        """
        if first_header(headers, names.SERVER_LEAVING) != "1":
            return
        if self.membership.last_incarnation(server) != incarnation:
            return
        now = read_now()
        was_available = self.membership.may_receive_work(server, now)
        self.membership.record_leaving(server, now)
        if was_available:
            self.log.info(f"{server} says in a response that it leaves.")
            self._refresh_servers(now)

    def can_route(self, request: RouteRequest) -> bool:
        """Return whether any target is eligible for a request."""
        verdicts = self.router.explain(request, read_now())
        return any(verdict.exclusion is None for verdict in verdicts)

    def status(self) -> dict[str, Any]:
        """Return the status document of the admin port."""
        now = read_now()
        sheet = self.sheet
        status = self.base_status()
        status["suspects"] = len(self.suspects)
        status["groups"] = []
        status["servers"] = []
        if sheet is None:
            return status
        zones = [*sheet.zone_by_name]
        for zone in zones:
            for target in self._zone_targets(sheet, zone):
                load = self.router.loads.estimate(target, now)
                status["groups"].append(
                    {
                        "group": target.group,
                        "server": target.server,
                        "zone": zone,
                        "queued_seconds": load.queued_seconds,
                        "step_seconds": load.step_seconds,
                        "report_age_seconds": load.report_age,
                    },
                )
        for name, server in sheet.server_by_name.items():
            status["servers"].append(
                {
                    "server": name,
                    "zone": server.zone,
                    "sheet_state": server.state.value,
                    "seen": self.membership.status(name, now).value,
                    "takes_work": self.membership.may_receive_work(name, now),
                },
            )
        return status

    def explain(self, body: bytes) -> dict[str, Any]:
        """Return where a request would be routed and why, without sending it.

        :param body: JSON document that describes the request.
        """
        try:
            query = msgspec.json.decode(body, type=dict[str, Any])
            request = ModelRequest(
                model=str(query.get("model", "")),
                account=str(query.get("account", "")),
                firm=str(query.get("firm", "")),
                prompt_tokens=int(query.get("prompt_tokens", 100)),
                max_tokens=int(query.get("max_tokens", 0)),
                version=str(query.get("version", "")),
                adapter=str(query.get("adapter", "")),
            )
        except (
            msgspec.MsgspecError,
            OverflowError,
            RecursionError,
            TypeError,
            ValueError,
        ) as error:
            return {"error": str(error)}
        match self.router.choose(request, read_now(), self.rng):
            case Ok(choice):
                return {
                    "group": choice.target.group,
                    "server": choice.server,
                    "zone": choice.zone,
                    "rule": choice.rule.value,
                    "spilled": choice.spilled,
                    "pool_size": choice.pool_size,
                    "targets": [
                        {
                            "group": verdict.target.group,
                            "server": verdict.target.server,
                            "excluded": (
                                verdict.exclusion.value if verdict.exclusion else ""
                            ),
                            "seconds": verdict.score.total_seconds,
                        }
                        for verdict in self.router.explain(request, read_now())
                    ],
                }
            case Err(no_route):
                return {
                    "error": no_route.reason.value,
                    "pool_size": no_route.pool_size,
                    "excluded": _count_by_exclusion_value(no_route.count_by_exclusion),
                }

    def unready_reason(self) -> str:
        """Return why the entry is not ready for requests, empty if it is ready."""
        if self.stopping or self.membership.leaving:
            return "stopping"
        if not self.relay.ready(read_now()):
            return "no sheet is in force yet"
        return ""


def _count_by_exclusion_value(count_by_exclusion: Any) -> dict[str, int]:
    return {exclusion.value: count for exclusion, count in count_by_exclusion.items()}
