"""Memberships of a fleet in memory, with every message counted.

Nothing is lost and each message takes one step. Sizes are those of a msgpack array of
the envelope's fields, plus what TCP, IP and the SP framing add to each message.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewingcleat.actions import Action, Send
from lacewingcleat.control_wire import encode
from lacewingcleat.identity import Peer, Role
from lacewingcleat.membership import Membership
from lacewingcleat.messages import Envelope, Message
from lacewingcleat.sheet import BackendServer, ServerState, Sheet

STEP_SECONDS = 0.25
FRAME_BYTES = 60
DIGEST = "0" * 32


@dataclass(frozen=True, slots=True)
class Shape:
    """Give the size of a fleet; `agents` and `entries` are per zone."""

    zones: int
    entries: int
    agents: int


@dataclass(slots=True)
class Traffic:
    """Count what one process sends and receives."""

    messages: int = 0
    octets: int = 0

    def count(self, size: int) -> None:
        """Count one message."""
        self.messages += 1
        self.octets += size


def encoded_size(envelope: Envelope) -> int:
    """Return the bytes that a message takes on the network."""
    return len(encode(envelope)) + FRAME_BYTES


class Fleet:
    """Run the memberships of a fleet.

    :param agents_by_zone: agents of each zone, so that one zone can be given its full
        size without the cost of all others.
    """

    def __init__(self, entries: int, agents_by_zone: dict[str, int]) -> None:
        self.now = 0.0
        self.process_by_name: dict[str, Membership] = {}
        self.traffic_by_name: dict[str, Traffic] = {}
        self._wire: list[tuple[str, Envelope, int]] = []
        zones = list(agents_by_zone)
        sheet = _sheet(agents_by_zone)
        for number, zone in enumerate(zones):
            # Seeds are the first entries of this zone and of the next one.
            near = [zone, zones[(number + 1) % len(zones)]]
            seeds = {
                f"{name}-entry-{i:03}": "10.0.0.1:9001" for name in near for i in (0, 1)
            }
            names = [f"{zone}-entry-{i:03}" for i in range(entries)]
            for name in names:
                self._add(Peer(name, DIGEST, zone, Role.ENTRY), seeds, sheet)
            own = {name: "10.0.0.1:9001" for name in names[:2]}
            for i in range(agents_by_zone[zone]):
                peer = Peer(f"{zone}-server-{i:05}", DIGEST, zone, Role.AGENT)
                self._add(peer, own, sheet)

    def run(self, seconds: float) -> None:
        """Advance the fleet's time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            wire, self._wire = self._wire, []
            for target, envelope, size in wire:
                self.traffic_by_name[target].count(size)
                actions = self.process_by_name[target].receive(envelope, self.now)
                self._post(target, actions)
            for name, process in self.process_by_name.items():
                self._post(name, process.tick(self.now))

    def reset_traffic(self) -> None:
        """Begin to count anew, after the warm-up."""
        for traffic in self.traffic_by_name.values():
            traffic.messages = traffic.octets = 0

    def mean_octets(self, names: Iterable[str], seconds: float) -> float:
        """Return bytes a second sent and received by a process, on average."""
        octets = [self.traffic_by_name[name].octets for name in names]
        return sum(octets) / len(octets) / seconds

    def mean_messages(self, names: Iterable[str], seconds: float) -> float:
        """Return messages a second sent and received by a process, on average."""
        messages = [self.traffic_by_name[name].messages for name in names]
        return sum(messages) / len(messages) / seconds

    def readers(self) -> list[str]:
        """Return the entries that read the configuration service."""
        return [name for name in self._entries() if name in self._own_readers(name)]

    def others(self) -> list[str]:
        """Return the entries that do not read the configuration service."""
        return [name for name in self._entries() if name not in self._own_readers(name)]

    def agents(self) -> list[str]:
        """Return the agents."""
        entries = set(self._entries())
        return [name for name in self.process_by_name if name not in entries]

    def _entries(self) -> list[str]:
        processes = self.process_by_name.items()
        return [name for name, one in processes if one.me.role is Role.ENTRY]

    def _own_readers(self, name: str) -> list[str]:
        process = self.process_by_name[name]
        return process.zone_readers(process.me.zone, self.now)

    def _add(self, peer: Peer, seeds: dict[str, str], sheet: Sheet) -> None:
        address = "10.100.100.100:9001"
        process = Membership(peer, address, address, seeds, self.now)
        process.update_sheet(sheet)
        self.process_by_name[peer.instance] = process
        self.traffic_by_name[peer.instance] = Traffic()

    def _post(self, sender: str, actions: list[Action]) -> None:
        traffic = self.traffic_by_name[sender]
        peer = self.process_by_name[sender].me
        sizes: dict[int, tuple[Message, Envelope, int]] = {}
        for action in actions:
            if not isinstance(action, Send):
                continue
            known = sizes.get(id(action.message))
            if known is None:
                envelope = Envelope(peer, 45_000, DIGEST, action.message)
                known = (action.message, envelope, encoded_size(envelope))
                sizes[id(action.message)] = known
            traffic.count(known[2])
            if action.instance in self.process_by_name:
                self._wire.append((action.instance, known[1], known[2]))


def _sheet(agents_by_zone: dict[str, int]) -> Sheet:
    servers = [
        BackendServer(name, zone, "", "", ServerState.SERVING, 8)
        for zone, agents in agents_by_zone.items()
        for name in (f"{zone}-server-{i:05}" for i in range(agents))
    ]
    return Sheet(
        revision=1,
        digest=DIGEST,
        routing_digest=DIGEST,
        firm_by_name={},
        zone_by_name={},
        account_by_name={},
        server_by_name={server.name: server for server in servers},
        group_by_name={},
        service_by_name={},
        claims_by_pool={},
    )
