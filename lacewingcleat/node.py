"""transport: what entries and agents have in common.

A node connects the deciding state machines to the sockets: it feeds them messages and
the present time, and performs the actions they return. It decides nothing itself.
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
from lacewingcleat.http_client import RelayClient
from lacewingcleat.identity import Peer, Role
from lacewingcleat.logs import PartLogger
from lacewingcleat.membership import Membership
from lacewingcleat.messages import (
    CrashReport,
    Envelope,
    Message,
    SuspectCleared,
)
from lacewingcleat.metrics import FigureCollector, ProcessMetrics
from lacewingcleat.pause_detector import TICK_SECONDS, PauseWatch
from lacewingcleat.peer_table import PeerStatus
from lacewingcleat.relay_actions import (
    FetchPart,
    InForce,
    RelayAction,
    RelayView,
    WatchManifest,
)
from lacewingcleat.relay_metrics import relay_figures
from lacewingcleat.settings import ProcessSettings
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_relay import SheetRelay
from lacewingcleat.tracing import Tracing

# Names one of at most some thousand starts a day, so 64 bits do not meet twice.
INCARNATION_BYTES = 8
EXPORT_SECONDS = 1.0
LEAVING_NOTICE_SECONDS = 1.0
DRAIN_LIMIT_SECONDS = 600.0
DRAIN_POLL_SECONDS = 0.1


class Node:
    """Run the control plane of one process.

    :param reactor: the loop.
    :param instance: the name under which other processes know this one.
    :param program: service name in traces.
    """

    def __init__(
        self,
        reactor: Any,
        settings: ProcessSettings,
        instance: str,
        role: Role,
        program: str,
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
        self.log = PartLogger(role.value)
        self.base_metrics = metrics
        self.http_client = RelayClient(reactor)
        self.tracing = Tracing(
            instance,
            program,
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
            FigureCollector(lambda: relay_figures(self.relay, read_now())),
        )
        self.suspects = CrashSuspects()
        self.config = (
            ConfigClient(reactor, self.http_client, config_address, self)
            if config_address
            else None
        )
        self.channel = ControlChannel(reactor, settings.control_address, self.deliver)
        self.stopping = False
        self._pause_watch = PauseWatch(now)
        self._tick_loop = task.LoopingCall(self.tick)
        self._tick_loop.clock = reactor
        self._export_loop = task.LoopingCall(
            lambda: defer.ensureDeferred(self.tracing.export()),
        )
        self._export_loop.clock = reactor

    # Clock and state

    def now(self) -> float:
        """Return the present time for decisions."""
        return read_now()

    def random_bytes(self, count: int) -> bytes:
        """Return random bytes for state machines, which hold no random source."""
        return os.urandom(count)

    @property
    def sheet(self) -> Sheet | None:
        """Return the sheet in force."""
        return self.relay.sheet

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 without a sheet."""
        return self.relay.revision

    def observe_clock(self) -> None:
        """Notice a pause before anything is decided by views from before it."""
        now = read_now()
        if not self._pause_watch.observe(now):
            return
        self.base_metrics.pauses.inc()
        self.log.warning("the process was paused; views and leases are dropped.")
        self.membership.drop_views(now)
        self.on_pause(now)
        self.perform(self.relay.wake(now))

    # Hooks of entries and agents

    def on_pause(self, now: float) -> None:
        """Drop what a pause has made unreliable."""

    def on_sheet(self, sheet: Sheet, now: float) -> None:
        """Put a sheet in force."""

    def on_tick(self, now: float) -> None:
        """Run the periodic part of the role."""

    def on_message(self, envelope: Envelope, now: float) -> None:
        """Handle a message that only this role knows."""

    def relay_view(self, now: float) -> RelayView:
        """Return the live peers for the spreading of sheets."""
        zone_entries = self.membership.live_entries(self.peer.zone, now)
        return RelayView(zone_entries=frozenset(peer.instance for peer in zone_entries))

    def crash_neighbours(self, now: float) -> list[str]:
        """Return the processes to which crash reports are passed on."""
        return self.membership.flood_targets(now)

    def ready_reason(self) -> str:
        """Return why the process should get no work, empty if it should."""
        return "" if self.relay.ready(read_now()) else "no sheet is in force yet"

    def status(self) -> dict[str, Any]:
        """Return the status document of the admin port."""
        return self.base_status()

    # Messages and actions

    def deliver(self, envelope: Envelope) -> None:
        """Handle one control message."""
        self.observe_clock()
        now = read_now()
        self.perform(self.membership.hear(envelope, now))
        self.perform(self.relay.receive(envelope, now))
        sender = envelope.sender.instance
        match envelope.body:
            case CrashReport() as report:
                self.perform(
                    self.suspects.record_report(
                        report, self.crash_neighbours(now), now, sender
                    ),
                )
            case SuspectCleared() as cleared:
                self.perform(
                    self.suspects.record_clearance(
                        cleared, self.crash_neighbours(now), now, sender
                    ),
                )
            case _:
                self.on_message(envelope, now)

    def perform(self, actions: Iterable[Action | RelayAction]) -> None:
        """Carry out what a state machine asked for."""
        for action in actions:
            match action:
                case Send(instance, message):
                    self.send(instance, message)
                case Alarm(code, text):
                    self.alarm(code, text)
                case FetchPart(digest) if self.config is not None:
                    self.config.fetch_part(digest)
                case WatchManifest(after) if self.config is not None:
                    self.config.watch_manifest(after)
                case InForce(sheet):
                    self._apply_sheet(sheet)

    def send(self, instance: str, message: Message) -> None:
        """Send a control message, if the peer's address is known."""
        address = self.membership.address(instance)
        if address is None:
            return
        relay = self.relay
        envelope = Envelope(
            self.peer,
            relay.revision,
            relay.digest,
            message,
        )
        self.channel.send(address, envelope)

    def alarm(self, code: str, text: str) -> None:
        """Report a condition that operators must see."""
        self.base_metrics.alarms.labels(code).inc()
        self.log.error(f"{text} [{code}]")

    def _apply_sheet(self, sheet: Sheet) -> None:
        now = read_now()
        self.membership.update_sheet(sheet)
        self.on_sheet(sheet, now)
        self.log.info(f"revision {sheet.revision} is in force.")
        self.relay.applied(sheet.revision, now)

    def tick(self) -> None:
        """Run the periodic part of all state machines."""
        self.observe_clock()
        now = read_now()
        self.perform(self.membership.tick(now))
        self.perform(self.relay.set_view(self.relay_view(now), now))
        self.perform(self.relay.tick(now))
        self.perform(self.suspects.tick(self.crash_neighbours(now), now))
        for instance in self.membership.take_newcomers():
            self.perform(self.suspects.recent_reports_for(instance, now))
        self.on_tick(now)

    # Start and stop

    def start(self) -> None:
        """Start the periodic work."""
        for loop, seconds in (
            (self._tick_loop, TICK_SECONDS),
            (self._export_loop, EXPORT_SECONDS),
        ):
            loop_ended: defer.Deferred[Any] = loop.start(seconds, now=True)
            loop_ended.addErrback(self._loop_failed, loop, seconds)

    def _loop_failed(self, failure: Any, loop: Any, seconds: float) -> None:
        """Restart a loop; one bad message must not end the control plane."""
        self.log.error(f"periodic work failed: {failure.getTraceback()}")
        if not self.stopping:
            self.reactor.callLater(seconds, self._restart, loop, seconds)

    def _restart(self, loop: Any, seconds: float) -> None:
        loop_ended: defer.Deferred[Any] = loop.start(seconds, now=False)
        loop_ended.addErrback(self._loop_failed, loop, seconds)

    def reload(self) -> None:
        """Ask peers and the configuration service for the newest sheet."""
        self.log.info("reloading; peers are asked for the newest sheet.")
        self.perform(self.relay.wake(read_now()))

    def set_leaving(self) -> None:
        """Tell peers that this process takes no new work."""
        self.membership.set_leaving(read_now())
        self.tick()

    async def wait_until_idle(self, open_requests: Callable[[], int]) -> None:
        """Wait until no request is open, at most the drain limit."""
        deadline = read_now() + DRAIN_LIMIT_SECONDS
        while open_requests() and read_now() < deadline:
            await task.deferLater(self.reactor, DRAIN_POLL_SECONDS, lambda: None)

    async def close(self) -> None:
        """Stop the periodic work and close the sockets."""
        self.stopping = True
        for loop in (self._tick_loop, self._export_loop):
            if loop.running:
                loop.stop()
        if self.config is not None:
            self.config.stop()
        await self.tracing.export()
        self.channel.close()
        await self.http_client.close()

    def refresh_metrics(self) -> None:
        """Copy the state of channel, membership and suspects into the metrics."""
        counters = self.channel.counters
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
        metrics.suspects.labels("convicted").set(convicted)
        metrics.suspects.labels("suspect").set(len(self.suspects) - convicted)
        metrics.control_messages.labels("sent").set(counters.sent)
        metrics.control_messages.labels("received").set(counters.received)
        metrics.control_bytes.labels("sent").set(counters.sent_bytes)
        metrics.control_bytes.labels("received").set(counters.received_bytes)
        metrics.control_dropped.labels("full").set(counters.dropped)
        metrics.control_dropped.labels("malformed").set(counters.malformed)
        metrics.control_dropped.labels("failed").set(counters.failed)

    def base_status(self) -> dict[str, Any]:
        """Return the part of the status that all roles share."""
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
