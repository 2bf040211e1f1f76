"""transport: the control plane common to entries and agents.

A node connects the state machines to the sockets. It passes them messages and the
current time and carries out the actions they return. All decisions are made by the
state machines.
"""

import os
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet import defer, task

from lacewingcleat.actions import Action, Alarm, Send
from lacewingcleat.clock import read_now
from lacewingcleat.config_client import ConfigClient
from lacewingcleat.control_channel import ControlChannel
from lacewingcleat.crash_suspects import CrashSuspects
from lacewingcleat.http_client import HttpClient
from lacewingcleat.identity import Peer, Role
from lacewingcleat.logs import ComponentLogger
from lacewingcleat.membership import Membership
from lacewingcleat.messages import (
    CrashReport,
    Envelope,
    Message,
    SuspectCleared,
)
from lacewingcleat.metrics import ProcessMetrics, RelayMetricsCollector
from lacewingcleat.pause_detector import TICK_SECONDS, PauseDetector
from lacewingcleat.peer_table import PeerStatus
from lacewingcleat.relay_actions import (
    ApplySheet,
    ReadPart,
    RelayAction,
    RelayPeers,
    WatchManifest,
)
from lacewingcleat.relay_metrics import collect_relay_metrics
from lacewingcleat.settings import ProcessSettings
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_relay import SheetRelay
from lacewingcleat.tracing import Tracing

# Identifies one start of a process. With some thousand starts a day at most, 64 random
# bits make a collision negligible.
INCARNATION_BYTES = 8
TRACE_EXPORT_INTERVAL_SECONDS = 1.0
LEAVING_NOTICE_SECONDS = 1.0
DRAIN_TIMEOUT_SECONDS = 600.0
DRAIN_POLL_INTERVAL_SECONDS = 0.1


class Node:
    """Run the control plane of one process.

    :param reactor: the Twisted reactor.
    :param instance: name by which other processes address this one.
    :param service_name: service name in traces.
    :param config_address: address of the configuration service, empty if this process
        does not read it.
    """

    def __init__(
        self,
        reactor: Any,
        settings: ProcessSettings,
        instance: str,
        role: Role,
        service_name: str,
        metrics: ProcessMetrics,
        config_address: str = "",
    ) -> None:
        self.reactor = reactor
        self.base_settings = settings
        now = read_now()
        self.peer = Peer(
            instance,
            os.urandom(INCARNATION_BYTES).hex(),
            settings.zone,
            role,
        )
        self.log = ComponentLogger(role.value)
        self.base_metrics = metrics
        self.http_client = HttpClient(reactor)
        self.tracing = Tracing(
            instance,
            service_name,
            settings.trace_sampling_ratio,
            settings.trace_export_address,
            self.http_client,
        )
        seeds = {address: address for address in settings.peers}
        seeds.pop(settings.control_address, None)
        self.membership = Membership(
            self.peer,
            settings.control_address,
            settings.request_address,
            seeds,
            now,
        )
        self.relay = SheetRelay(self.peer, now)
        metrics.registry.register(
            RelayMetricsCollector(
                lambda: collect_relay_metrics(self.relay, read_now())
            ),
        )
        self.suspects = CrashSuspects()
        self.config_client = (
            ConfigClient(reactor, self.http_client, config_address, self)
            if config_address
            else None
        )
        self.control_channel = ControlChannel(
            reactor, settings.control_address, self.receive
        )
        self.stopping = False
        self._pause_watch = PauseDetector(now)
        self._tick_loop = task.LoopingCall(self.tick)
        self._tick_loop.clock = reactor
        self._export_loop = task.LoopingCall(
            lambda: defer.ensureDeferred(self.tracing.export_batch()),
        )
        self._export_loop.clock = reactor

    # Clock and state

    def now(self) -> float:
        """Return the current monotonic time in seconds."""
        return read_now()

    def random_bytes(self, count: int) -> bytes:
        """Return cryptographic random bytes; state machines have no random source."""
        return os.urandom(count)

    @property
    def sheet(self) -> Sheet | None:
        """Return the sheet in force."""
        return self.relay.sheet

    @property
    def revision(self) -> int:
        """Return the revision of the sheet in force, 0 without a sheet."""
        return self.relay.revision

    def check_for_pause(self) -> None:
        """Check for a pause of the process and discard state from before it.

        Call it before each decision, so that no decision uses stale state.
        """
        now = read_now()
        if not self._pause_watch.observe(now):
            return
        self.base_metrics.pauses.inc()
        self.log.warning("the process was paused; discarding earlier state.")
        self.membership.drop_views(now)
        self.on_pause(now)
        self.perform(self.relay.revalidate(now))

    # Hooks that entries and agents override

    def on_pause(self, now: float) -> None:
        """Discard state that a pause of the process has made stale."""

    def on_sheet(self, sheet: Sheet, now: float) -> None:
        """Apply a new sheet."""

    def on_tick(self, now: float) -> None:
        """Run the periodic work of the role."""

    def on_message(self, envelope: Envelope, now: float) -> None:
        """Handle a control message that is specific to the role."""

    def relay_view(self, now: float) -> RelayPeers:
        """Return the live peers for the distribution of sheets."""
        zone_entries = self.membership.live_entries(self.peer.zone, now)
        return RelayPeers(
            zone_entries=frozenset(peer.instance for peer in zone_entries)
        )

    def crash_report_neighbours(self, now: float) -> list[str]:
        """Return the peers to which crash reports are forwarded."""
        return self.membership.flood_targets(now)

    def unready_reason(self) -> str:
        """Return why the process is not ready, or an empty string if it is."""
        return "" if self.relay.ready(read_now()) else "no sheet is in force yet"

    def status(self) -> dict[str, Any]:
        """Return the status document of the admin port."""
        return self.base_status()

    # Messages and actions

    def receive(self, envelope: Envelope) -> None:
        """Pass a received control message to the state machines."""
        self.check_for_pause()
        now = read_now()
        self.perform(self.membership.receive(envelope, now))
        self.perform(self.relay.receive(envelope, now))
        sender = envelope.sender.instance
        match envelope.body:
            case CrashReport() as report:
                self.perform(
                    self.suspects.record_report(
                        report, self.crash_report_neighbours(now), now, sender
                    ),
                )
            case SuspectCleared() as cleared:
                self.perform(
                    self.suspects.record_clearance(
                        cleared, self.crash_report_neighbours(now), now, sender
                    ),
                )
            case _:
                self.on_message(envelope, now)

    def perform(self, actions: Iterable[Action | RelayAction]) -> None:
        """Carry out the actions that a state machine returned."""
        for action in actions:
            match action:
                case Send(instance, message):
                    self.send(instance, message)
                case Alarm(code, text):
                    self.alarm(code, text)
                case ReadPart(digest) if self.config_client is not None:
                    self.config_client.read_part(digest)
                case WatchManifest(after) if self.config_client is not None:
                    self.config_client.watch_manifest(after)
                case ApplySheet(sheet):
                    self._apply_sheet(sheet)

    def send(self, instance: str, message: Message) -> None:
        """Send a control message; drop it if the peer's address is unknown."""
        address = self.membership.control_address(instance)
        if address is None:
            return
        relay = self.relay
        envelope = Envelope(
            self.peer,
            relay.revision,
            relay.digest,
            message,
        )
        self.control_channel.send(address, envelope)

    def alarm(self, code: str, text: str) -> None:
        """Count and log an alarm for operators."""
        self.base_metrics.alarms.labels(code).inc()
        self.log.error(f"{text} [{code}]")

    def _apply_sheet(self, sheet: Sheet) -> None:
        now = read_now()
        self.membership.update_sheet(sheet)
        self.on_sheet(sheet, now)
        self.log.info(f"revision {sheet.revision} is in force.")
        self.relay.record_applied(sheet.revision, now)

    def tick(self) -> None:
        """Run the timers of all state machines."""
        self.check_for_pause()
        now = read_now()
        self.perform(self.membership.tick(now))
        self.perform(self.relay.update_peers(self.relay_view(now), now))
        self.perform(self.relay.tick(now))
        self.perform(self.suspects.tick(self.crash_report_neighbours(now), now))
        for instance in self.membership.take_joined_peers():
            self.perform(self.suspects.recent_reports_for(instance, now))
        self.on_tick(now)

    # Start and stop

    def start(self) -> None:
        """Start the periodic tasks."""
        for loop, seconds in (
            (self._tick_loop, TICK_SECONDS),
            (self._export_loop, TRACE_EXPORT_INTERVAL_SECONDS),
        ):
            loop_ended: defer.Deferred[Any] = loop.start(seconds, now=True)
            loop_ended.addErrback(self._handle_loop_failure, loop, seconds)

    def _handle_loop_failure(self, failure: Any, loop: Any, seconds: float) -> None:
        """Log the failure of a periodic task and restart it.

        An exception, such as one raised for a malformed message, must not stop the
        control plane.
        """
        self.log.error(f"periodic work failed: {failure.getTraceback()}")
        if not self.stopping:
            self.reactor.callLater(seconds, self._restart_loop, loop, seconds)

    def _restart_loop(self, loop: Any, seconds: float) -> None:
        loop_ended: defer.Deferred[Any] = loop.start(seconds, now=False)
        loop_ended.addErrback(self._handle_loop_failure, loop, seconds)

    def reload(self) -> None:
        """Request the newest sheet from peers and the configuration service."""
        self.log.info("reloading; requesting the newest sheet.")
        self.perform(self.relay.revalidate(read_now()))

    def announce_leaving(self) -> None:
        """Announce to peers that this process accepts no new requests."""
        self.membership.set_leaving(read_now())
        self.tick()

    async def wait_until_idle(self, open_requests: Callable[[], int]) -> None:
        """Wait until no request is open or the drain times out."""
        deadline = read_now() + DRAIN_TIMEOUT_SECONDS
        while open_requests() and read_now() < deadline:
            await task.deferLater(
                self.reactor, DRAIN_POLL_INTERVAL_SECONDS, lambda: None
            )

    async def close(self) -> None:
        """Stop the periodic tasks, export the last spans and close the sockets."""
        self.stopping = True
        for loop in (self._tick_loop, self._export_loop):
            if loop.running:
                loop.stop()
        if self.config_client is not None:
            self.config_client.stop()
        await self.tracing.export_batch()
        self.control_channel.close()
        await self.http_client.close()

    def refresh_metrics(self) -> None:
        """Update the metrics of control channel, membership and crash suspects."""
        counters = self.control_channel.counters
        metrics = self.base_metrics
        now = read_now()
        count_by_status = Counter(
            self.membership.status(peer.instance, now)
            for peer in self.membership.known_peers()
        )
        for status in PeerStatus:
            metrics.peers.labels(status.value).set(count_by_status[status])
        zones = self.sheet.zone_by_name if self.sheet is not None else {}
        metrics.silent_zones.set(
            sum(not self.membership.live_entries(zone, now) for zone in zones),
        )
        convicted = self.suspects.convicted
        metrics.crash_suspects.labels("convicted").set(convicted)
        metrics.crash_suspects.labels("suspect").set(len(self.suspects) - convicted)
        metrics.control_messages.labels("sent").set(counters.sent)
        metrics.control_messages.labels("received").set(counters.received)
        metrics.control_bytes.labels("sent").set(counters.sent_bytes)
        metrics.control_bytes.labels("received").set(counters.received_bytes)
        metrics.control_dropped.labels("full").set(counters.dropped)
        metrics.control_dropped.labels("malformed").set(counters.malformed)
        metrics.control_dropped.labels("failed").set(counters.failed)

    def base_status(self) -> dict[str, Any]:
        """Return the fields of the status document that all roles share."""
        now = read_now()
        relay = self.relay
        sheet = relay.sheet
        return {
            "instance": self.peer.instance,
            "incarnation": self.peer.incarnation,
            "zone": self.peer.zone,
            "role": self.peer.role.value,
            "revision": relay.revision,
            "digest": relay.digest,
            "ready": relay.ready(now),
            "leaving": self.membership.leaving,
            "reads_config": relay.is_reader,
            "live_entries": {
                zone: [
                    peer.instance for peer in self.membership.live_entries(zone, now)
                ]
                for zone in (sheet.zone_by_name if sheet else {self.peer.zone: None})
            },
        }
