"""coordination: what entries tell each other about the requests they have in flight.

Each entry knows only its own part of the load of a server. The entries exchange small
datagrams; a lost one is made up for by the next. Peers are found through seeds and
through the addresses that datagrams carry, and forgotten when they fall silent.
"""

from dataclasses import dataclass
from random import Random

import msgspec

# Requests take a few hundred milliseconds to their first event.
SEND_SECONDS = 0.2
# Datagrams sent at a time, so that the cost of an entry does not grow with the fleet;
# larger fleets take turns.
FANOUT = 16
# A silent peer is asked for this long before it is forgotten.
FORGET_SECONDS = 10.0
SEED_SECONDS = 1.0
# Several datagrams may be lost in a row.
READY_SECONDS = 1.0
MAX_SHARED_ADDRESSES = 8
MAX_DATAGRAM_BYTES = 8_192
MAX_PEERS = 1_024


class PeerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Tell a peer's requests in flight.

    :param incarnation: random number of the sender's process.
    :param sequence: number of the datagram, so that a delayed one is not news.
    :param address: control address of the sender.
    :param count_by_server: requests in flight by server.
    :param addresses: control addresses of peers that were heard lately.
    :param ready: whether the sender takes requests, and so may lead groups.
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
    """Keep the known peers and decide whom to tell.

    :param address: control address of this entry.
    :ivar most: the most peers that were known at a time.
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
        """Take over the control addresses at which peers are looked for."""
        self._seeds = [seed for seed in seeds if seed != self._address]

    @property
    def count(self) -> int:
        """Return how many peers are known."""
        return len(self._peer_by_address)

    def hear(self, load: PeerLoad, now: float) -> bool:
        """Take in a datagram; return whether it is newer than the last one."""
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
        """Return whether a peer said lately that it takes requests."""
        return any(
            peer.ready and now - peer.heard_at <= READY_SECONDS
            for peer in self._peer_by_address.values()
        )

    def ready_entries(self, now: float) -> list[str]:
        """Return the names of the peers that said lately that they take requests."""
        return [
            peer.instance
            for peer in self._peer_by_address.values()
            if peer.ready and now - peer.heard_at <= READY_SECONDS
        ]

    def next_message(self, count_by_server: dict[str, int], ready: bool) -> PeerLoad:
        """Return the datagram to send now."""
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
        """Return the addresses to send to now; peers take turns in a large fleet."""
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
