"""coordination: gossip between entries about the requests that they have in flight.

Each entry sees only its own part of the load of a server, so entries exchange their
counts in small datagrams. Each datagram carries all counts, so the next one makes up
for a lost one. Peers are discovered through seeds and through the addresses in
datagrams, and removed when nothing has been received from them for a while.
"""

from dataclasses import dataclass
from random import Random

import msgspec

# Interval between datagrams, short compared with the few hundred milliseconds that a
# request takes to its first event.
SEND_SECONDS = 0.2
# Maximum number of peers that are sent a datagram per interval, so that the cost of an
# entry does not grow with the fleet. In larger fleets the peers are served in rotation.
FANOUT = 16
# Silence after which a peer is removed; until then it is still sent datagrams.
FORGET_SECONDS = 10.0
SEED_SECONDS = 1.0
# Age above which a ready flag is ignored, long enough for several lost datagrams.
READY_SECONDS = 1.0
MAX_SHARED_ADDRESSES = 8
MAX_DATAGRAM_BYTES = 8_192
MAX_PEERS = 1_024


class PeerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Announce the requests that the sender has in flight.

    :param incarnation: random number of the sender's process.
    :param sequence: number of the datagram, by which delayed ones are detected.
    :param address: control address of the sender.
    :param count_by_server: requests in flight by server.
    :param addresses: control addresses of peers from which datagrams were received.
    :param ready: whether the sender accepts requests, and so may lead groups.
    """

    instance: str
    incarnation: int
    sequence: int
    address: str
    count_by_server: dict[str, int]
    addresses: list[str]
    ready: bool = False


@dataclass(slots=True)
class _Peer:
    heard_at: float
    ready: bool = False
    instance: str = ""
    incarnation: int = 0
    sequence: int = -1


class PeerLoads:
    """Track peers, build datagrams and select their recipients.

    :param address: control address of this entry.
    :ivar most: largest number of peers that were tracked at the same time.
    """

    __slots__ = (
        "_address",
        "_incarnation",
        "_instance",
        "_peer_by_address",
        "_random",
        "_seeded_at",
        "_seeds",
        "_sequence",
        "_turn",
        "most",
    )

    def __init__(
        self,
        instance: str,
        address: str,
        seeds: tuple[str, ...],
        random: Random,
    ) -> None:
        self._instance = instance
        self._address = address
        self._seeds: list[str] = []
        self.adopt_seeds(seeds)
        self._random = random
        self._incarnation = random.getrandbits(53)
        self._sequence = 0
        self._peer_by_address: dict[str, _Peer] = {}
        self._seeded_at = float("-inf")
        self._turn = 0
        self.most = 0

    def adopt_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the control addresses used for peer discovery."""
        self._seeds = [seed for seed in seeds if seed != self._address]

    @property
    def count(self) -> int:
        """Return the number of tracked peers."""
        return len(self._peer_by_address)

    def hear(self, load: PeerLoad, now: float) -> bool:
        """Record a datagram and return whether it is newer than the last one."""
        if load.address == self._address:
            return False
        peer = self._peer_by_address.get(load.address)
        if peer is None:
            if len(self._peer_by_address) >= MAX_PEERS:
                return False
            peer = self._peer_by_address[load.address] = _Peer(now)
        for address in load.addresses[:MAX_SHARED_ADDRESSES]:
            room = len(self._peer_by_address) < MAX_PEERS
            if address != self._address and room:
                self._peer_by_address.setdefault(address, _Peer(now))
        self.most = max(self.most, len(self._peer_by_address))
        known = peer.incarnation == load.incarnation
        if known and load.sequence <= peer.sequence:
            return False
        peer.heard_at = now
        peer.instance = load.instance
        peer.incarnation = load.incarnation
        peer.sequence = load.sequence
        peer.ready = load.ready
        return True

    def any_ready(self, now: float) -> bool:
        """Return whether any peer has recently announced that it accepts requests."""
        return any(
            peer.ready and now - peer.heard_at <= READY_SECONDS
            for peer in self._peer_by_address.values()
        )

    def ready_entries(self, now: float) -> list[str]:
        """Return the peers that have recently announced that they accept requests."""
        return [
            peer.instance
            for peer in self._peer_by_address.values()
            if peer.ready and now - peer.heard_at <= READY_SECONDS
        ]

    def next_message(self, count_by_server: dict[str, int], ready: bool) -> PeerLoad:
        """Build the next datagram."""
        self._sequence += 1
        heard = [
            address for address, peer in self._peer_by_address.items() if peer.instance
        ]
        shared = min(len(heard), MAX_SHARED_ADDRESSES)
        return PeerLoad(
            self._instance,
            self._incarnation,
            self._sequence,
            self._address,
            count_by_server,
            self._random.sample(heard, shared),
            ready,
        )

    def targets(self, now: float) -> list[str]:
        """Remove silent peers and return the addresses to which to send now."""
        for address, peer in list(self._peer_by_address.items()):
            if now - peer.heard_at > FORGET_SECONDS:
                del self._peer_by_address[address]
        addresses = sorted(self._peer_by_address)
        chosen = addresses
        if len(addresses) > FANOUT:
            start = self._turn % len(addresses)
            chosen = (addresses + addresses)[start : start + FANOUT]
            self._turn = start + FANOUT
        if now - self._seeded_at >= SEED_SECONDS:
            self._seeded_at = now
            chosen = [*chosen, *(seed for seed in self._seeds if seed not in chosen)]
        return chosen
