"""Drive sheet relays in memory, with delay, loss, pauses, restarts and partitions.

The model replaces sockets, the configuration service and the membership of the real
programs. Time is simulated, so a run gives the same counts each time.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from lacewingcleat.actions import Alarm, Send
from lacewingcleat.control_wire import encode
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import (
    Envelope,
    Heartbeat,
    Message,
    PartReply,
    PartRequest,
    SheetOffer,
    SheetQuery,
)
from lacewingcleat.relay_actions import (
    ApplySheet,
    ReadPart,
    RelayAction,
    RelayPeers,
    WatchManifest,
)
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet_check import PartCache
from lacewingcleat.sheet_parts import SplitSheet, encode_manifest
from lacewingcleat.sheet_relay import SheetRelay

TICK_SECONDS = 0.25
HEARTBEAT_SECONDS = 1.0
DEAD_SECONDS = 3.0
WATCH_SECONDS = 25.0
SERVICE_SECONDS = 0.003
ENTRIES_PER_AGENT = 2
# IP and TCP headers and the length prefix of a message.
PACKET_BYTES = 60
SPREAD_MESSAGES = (SheetOffer, SheetQuery, PartRequest, PartReply)


@dataclass(frozen=True, slots=True)
class Network:
    """Describe delays and losses.

    :param loss: probability that a message is lost.
    :param slow: probability that a message takes `slow_factor` times as long.
    """

    zone_seconds: float = 0.0005
    far_seconds: float = 0.0015
    loss: float = 0.0
    slow: float = 0.0
    slow_factor: float = 20.0


@dataclass(slots=True)
class Process:
    """Hold one process of the model.

    :param side: processes reach each other only on the same side of a partition.
    :param in_force: time and revision of each sheet put in force by any incarnation.
    """

    relay: SheetRelay
    peer: Peer
    side: int = 0
    paused: bool = False
    heard_until: float = 0.0
    started: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)
    watch: str | None = None
    watch_number: int = 0
    in_force: list[tuple[float, int]] = field(default_factory=list)
    alarms: list[Alarm] = field(default_factory=list)
    bytes_sent: int = 0
    bytes_received: int = 0


class ConfigService:
    """Stand in for the configuration service; it counts the calls."""

    def __init__(self) -> None:
        self.up = True
        self.version = 0
        self.published_at = 0.0
        self.manifest = b""
        self.part_by_digest: dict[str, bytes] = {}
        self.reads = 0
        self.published_by_revision: dict[int, float] = {}

    def publish(self, split: SplitSheet, now: float) -> None:
        """Put a revision into the service, keeping earlier parts."""
        self.part_by_digest.update(split.part_by_digest)
        self.manifest = encode_manifest(split.manifest)
        self.version += 1
        self.published_at = now
        self.published_by_revision.setdefault(split.manifest.revision, now)

    def copy(self) -> "ConfigCopy":
        """Return a copy to restore from."""
        return ConfigCopy(self.version, self.manifest, dict(self.part_by_digest))

    def restore(self, copy: "ConfigCopy") -> None:
        """Lose all that was published since the copy; versions are given out again."""
        self.version, self.manifest = copy.version, copy.manifest
        self.part_by_digest = dict(copy.part_by_digest)

    def has_changed(self, after: str) -> bool:
        """Return whether a watch from a version is answered with the manifest."""
        return bool(self.manifest) and self.version > int(after or 0)


@dataclass(frozen=True, slots=True)
class ConfigCopy:
    """Hold an older copy of the configuration service."""

    version: int
    manifest: bytes
    part_by_digest: dict[str, bytes]


class SpreadModel:
    """Run relays, a network and a configuration service.

    :param shape: numbers of entries and agents by zone.
    """

    def __init__(
        self,
        shape: Iterable[tuple[int, int]],
        network: Network,
        seed: int = 1,
        shared_cache: PartCache | None = None,
    ) -> None:
        self.now = 0.0
        self.network = network
        self.config = ConfigService()
        self.process_by_name: dict[str, Process] = {}
        self._random = Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._cache = shared_cache
        for number, (entries, agents) in enumerate(shape):
            zone = f"zone-{number:02d}"
            for index in range(entries):
                self._start(f"{zone}-entry-{index:02d}", zone, Role.ENTRY)
            for index in range(agents):
                self._start(f"{zone}-agent-{index:03d}", zone, Role.AGENT)
        self._update_views()
        self._at(HEARTBEAT_SECONDS, self._update_views_regularly)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _number, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def publish(self, split: SplitSheet) -> None:
        """Publish a revision and answer the open watches."""
        self.config.publish(split, self.now)
        for name, process in self.process_by_name.items():
            if process.watch is not None:
                self._serve_watch(name, process.watch_number)

    def restore_config(self, copy: ConfigCopy) -> None:
        """Restore the configuration service, which cuts the open watches."""
        was_up, self.config.up = self.config.up, False
        for name, process in self.process_by_name.items():
            if process.watch is not None:
                self._serve_watch(name, process.watch_number)
        self.config.restore(copy)
        self.config.up = was_up

    def pause(self, name: str) -> None:
        """Stop a process without telling it; its messages wait."""
        self.process_by_name[name].paused = True

    def resume(self, name: str) -> None:
        """Let a paused process go on; it notices the pause first."""
        process = self.process_by_name[name]
        if not process.paused:
            return
        process.paused = False
        self._act(name, process.relay.revalidate(self.now))
        waiting, process.waiting = process.waiting, []
        for call in waiting:
            call()

    def restart(self, name: str) -> None:
        """Replace a process by a new incarnation that knows nothing."""
        old = self.process_by_name[name]
        self._start(name, old.peer.zone, old.peer.role, old)
        self._update_views()

    def split(self, sides: dict[str, int]) -> None:
        """Partition the processes; those not named are on side 0, with the service."""
        for name, process in self.process_by_name.items():
            process.side = sides.get(name, 0)

    def revisions(self) -> dict[str, int]:
        """Return the revision in force by process."""
        return {name: p.relay.revision for name, p in self.process_by_name.items()}

    def _start(
        self,
        name: str,
        zone: str,
        role: Role,
        old: Process | None = None,
    ) -> None:
        started = old.started + 1 if old else 1
        peer = Peer(name, f"{name}#{started}", zone, role)
        relay = SheetRelay(peer, self.now, self._cache)
        process = Process(relay, peer, started=started)
        if old:
            process.side, process.watch_number = old.side, old.watch_number + 1
        self.process_by_name[name] = process
        offset = self._random.random()
        self._at(offset * TICK_SECONDS, lambda: self._tick(process))
        self._at(offset * HEARTBEAT_SECONDS, lambda: self._heartbeat(process))

    def _at(self, delay: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._queue, (self.now + delay, self._number, call))

    def _is_current(self, process: Process) -> bool:
        return self.process_by_name[process.peer.instance] is process

    def _tick(self, process: Process) -> None:
        if not self._is_current(process):
            return
        self._at(TICK_SECONDS, lambda: self._tick(process))
        if not process.paused:
            self._act(process.peer.instance, process.relay.tick(self.now))

    def _heartbeat(self, process: Process) -> None:
        if not self._is_current(process):
            return
        self._at(HEARTBEAT_SECONDS, lambda: self._heartbeat(process))
        if process.paused:
            return
        process.heard_until = self.now + DEAD_SECONDS
        body = Heartbeat("", "", "", False, 0, 0)
        for name in self._heartbeat_targets(process):
            self._send(process, name, body)

    def _heartbeat_targets(self, process: Process) -> list[str]:
        zone = process.peer.zone
        entries = self._entries(process, zone)
        if process.peer.role is Role.AGENT:
            ranked = rank_by_rendezvous(process.peer.instance, entries)
            return ranked[:ENTRIES_PER_AGENT]
        targets = [name for name in entries if name != process.peer.instance]
        if process.relay.is_reader:
            targets += self._other_readers(process)
        return targets

    def _entries(self, viewer: Process, zone: str) -> list[str]:
        """Return the entries of a zone that a process believes to be alive."""
        return [
            name
            for name, process in self._entries_by_zone.get(zone, {}).items()
            if process is viewer
            or (process.heard_until >= self.now and process.side == viewer.side)
        ]

    def _other_readers(self, viewer: Process) -> list[str]:
        return [
            name
            for zone, processes in self._entries_by_zone.items()
            if zone != viewer.peer.zone
            for name, process in processes.items()
            if process.relay.is_reader and process.side == viewer.side
        ]

    def _update_views_regularly(self) -> None:
        self._update_views()
        self._at(HEARTBEAT_SECONDS, self._update_views_regularly)

    def _update_views(self) -> None:
        self._entries_by_zone: dict[str, dict[str, Process]] = {}
        agents: list[Process] = []
        for name, process in self.process_by_name.items():
            if process.peer.role is Role.ENTRY:
                by_name = self._entries_by_zone.setdefault(process.peer.zone, {})
                by_name[name] = process
            else:
                agents.append(process)
        if self.now == 0:
            for process in self.process_by_name.values():
                process.heard_until = DEAD_SECONDS
        reporting: dict[str, set[str]] = {}
        for agent in agents:
            for entry in self._heartbeat_targets(agent):
                reporting.setdefault(entry, set()).add(agent.peer.instance)
        for name, process in self.process_by_name.items():
            if process.paused:
                continue
            zone = process.peer.zone
            is_entry = process.peer.role is Role.ENTRY
            view = RelayPeers(
                frozenset(self._entries(process, zone)),
                frozenset(reporting.get(name, ())),
                frozenset(self._other_readers(process)) if is_entry else frozenset(),
            )
            self._act(name, process.relay.update_peers(view, self.now))

    def _act(self, name: str, actions: Iterable[RelayAction]) -> None:
        process = self.process_by_name[name]
        for action in actions:
            match action:
                case Send(instance=target, message=message):
                    self._send(process, target, message)
                case WatchManifest(after_version=after):
                    self._open_watch(process, after)
                case ReadPart(digest=digest):
                    self._read_part(process, digest)
                case ApplySheet(sheet=sheet):
                    process.in_force.append((self.now, sheet.revision))
                    process.relay.record_applied(sheet.revision, self.now)
                case Alarm():
                    process.alarms.append(action)

    def _send(self, process: Process, target: str, message: Message) -> None:
        relay = process.relay
        envelope = Envelope(
            process.peer,
            relay.revision,
            relay.digest,
            message,
        )
        if isinstance(message, SPREAD_MESSAGES):
            process.bytes_sent += message_bytes(envelope)
        receiver = self.process_by_name.get(target)
        if receiver is None or receiver.side != process.side:
            return
        if self._random.random() < self.network.loss:
            return
        near = receiver.peer.zone == process.peer.zone
        self._at(self._delay(near), lambda: self._deliver(target, envelope))

    def _delay(self, near: bool) -> float:
        network = self.network
        base = network.zone_seconds if near else network.far_seconds
        if self._random.random() < network.slow:
            base *= network.slow_factor
        return base * (0.75 + 0.5 * self._random.random())

    def _deliver(self, target: str, envelope: Envelope) -> None:
        process = self.process_by_name[target]
        if isinstance(envelope.body, SPREAD_MESSAGES):
            process.bytes_received += message_bytes(envelope)

        def handle() -> None:
            if self._is_current(process):
                self._act(target, process.relay.receive(envelope, self.now))

        self._run_or_wait(process, handle)

    def _run_or_wait(self, process: Process, call: Callable[[], None]) -> None:
        if process.paused:
            process.waiting.append(call)
        else:
            call()

    def _open_watch(self, process: Process, after: str) -> None:
        name = process.peer.instance
        self.config.reads += 1
        process.watch = after
        process.watch_number += 1
        number = process.watch_number
        if self.config.has_changed(after):
            self._at(0.0, lambda: self._serve_watch(name, number))
        elif not self._service_reachable(process):
            self._at(SERVICE_SECONDS, lambda: self._serve_watch(name, number))
        self._at(WATCH_SECONDS, lambda: self._serve_watch(name, number))

    def _service_reachable(self, process: Process) -> bool:
        return self.config.up and process.side == 0

    def _serve_watch(self, name: str, number: int) -> None:
        process = self.process_by_name[name]
        if process.watch is None or process.watch_number != number:
            return
        after, process.watch = process.watch, None
        config = self.config
        version, data = str(config.version), config.manifest
        changed = config.has_changed(after)
        reachable = self._service_reachable(process)
        delay = SERVICE_SECONDS + self._delay(near=True)

        def handle() -> None:
            if not self._is_current(process):
                return
            relay = process.relay
            if not reachable:
                self._act(name, relay.handle_manifest_failure(self.now))
            elif not changed:
                self._act(name, relay.handle_manifest_unchanged(self.now))
            else:
                process.bytes_received += len(data) + PACKET_BYTES
                age = self.now - config.published_at
                self._act(name, relay.handle_manifest(data, version, self.now, age))

        self._at(delay, lambda: self._run_or_wait(process, handle))

    def _read_part(self, process: Process, digest: str) -> None:
        self.config.reads += 1
        name = process.peer.instance
        data = self.config.part_by_digest.get(digest)
        reachable = self._service_reachable(process)
        delay = SERVICE_SECONDS + self._delay(near=True)

        def handle() -> None:
            if not self._is_current(process):
                return
            relay = process.relay
            if data is None or not reachable:
                self._act(name, relay.handle_part_failure(digest, self.now))
            else:
                process.bytes_received += len(data) + PACKET_BYTES
                self._act(name, relay.handle_part(digest, data, self.now))

        self._at(delay, lambda: self._run_or_wait(process, handle))


def message_bytes(envelope: Envelope) -> int:
    """Return the size of a message on the wire."""
    return len(encode(envelope)) + PACKET_BYTES
