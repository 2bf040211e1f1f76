"""coordination: what entries tell each other about the requests they have in flight.

Each entry knows only its own part of the load of a server. The entries exchange small
datagrams; a lost one is made up for by the next. Peers are found through seeds and
through the addresses that datagrams carry, and forgotten when they fall silent.
"""

from dataclasses import dataclass
from random import Random

import msgspec

# Requests take a few hundred milliseconds to their first event.
SEND_INTERVAL_SECONDS = 0.2
# Datagrams sent at a time, so that the cost of an entry does not grow with the fleet;
# larger fleets take turns.
FANOUT = 16
# A silent peer is asked for this long before it is forgotten.
PEER_TIMEOUT_SECONDS = 10.0
SEED_INTERVAL_SECONDS = 1.0
# Several datagrams may be lost in a row.
READY_TTL_SECONDS = 1.0
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
    last_seen_at: float
    ready: bool = False
    instance: str = ""
    incarnation: int = 0
    sequence: int = -1


class LoadGossip:
    """Keep the known peers and decide whom to tell.

    :param address: control address of this entry.
    :ivar most: the most peers that were known at a time.
    """

    __slots__ = (
        "_address",
        "_incarnation",
        "_instance",
        "_next_index",
        "_peer_by_address",
        "_random",
        "_seeds",
        "_seeds_contacted_at",
        "_sequence",
        "max_peer_count",
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
        self.set_seeds(seeds)
        self._random = random
        self._incarnation = random.getrandbits(53)
        self._sequence = 0
        self._peer_by_address: dict[str, _Peer] = {}
        self._seeds_contacted_at = float("-inf")
        self._next_index = 0
        self.max_peer_count = 0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take over the control addresses at which peers are looked for."""
        self._seeds = [seed for seed in seeds if seed != self._address]

    @property
    def peer_count(self) -> int:
        """Return how many peers are known."""
        return len(self._peer_by_address)

    def record(self, load: PeerLoad, now: float) -> bool:
        """Take in a datagram; return whether it is newer than the last one."""
        if load.address == self._address:
            return False
        peer = self._peer_by_address.get(load.address)
        if peer is None:
            if len(self._peer_by_address) >= MAX_PEERS:
                return False
            peer = self._peer_by_address[load.address] = _Peer(now)
        for address in load.addresses[:MAX_SHARED_ADDRESSES]:
            has_capacity = len(self._peer_by_address) < MAX_PEERS
            if address != self._address and has_capacity:
                self._peer_by_address.setdefault(address, _Peer(now))
        self.max_peer_count = max(self.max_peer_count, len(self._peer_by_address))
        same_process = peer.incarnation == load.incarnation
        if same_process and load.sequence <= peer.sequence:
            return False
        peer.last_seen_at = now
        peer.instance = load.instance
        peer.incarnation = load.incarnation
        peer.sequence = load.sequence
        peer.ready = load.ready
        return True

    def any_ready(self, now: float) -> bool:
        """Return whether a peer said lately that it takes requests."""
        return any(
            peer.ready and now - peer.last_seen_at <= READY_TTL_SECONDS
            for peer in self._peer_by_address.values()
        )

    def ready_entries(self, now: float) -> list[str]:
        """Return the names of the peers that said lately that they take requests."""
        return [
            peer.instance
            for peer in self._peer_by_address.values()
            if peer.ready and now - peer.last_seen_at <= READY_TTL_SECONDS
        ]

    def next_message(self, count_by_server: dict[str, int], ready: bool) -> PeerLoad:
        """Return the datagram to send now."""
        self._sequence += 1
        responsive = [
            address for address, peer in self._peer_by_address.items() if peer.instance
        ]
        shared_count = min(len(responsive), MAX_SHARED_ADDRESSES)
        return PeerLoad(
            self._instance,
            self._incarnation,
            self._sequence,
            self._address,
            count_by_server,
            self._random.sample(responsive, shared_count),
            ready,
        )

    def next_recipients(self, now: float) -> list[str]:
        """Return the addresses to send to now; peers take turns in a large fleet."""
        for address, peer in list(self._peer_by_address.items()):
            if now - peer.last_seen_at > PEER_TIMEOUT_SECONDS:
                del self._peer_by_address[address]
        addresses = sorted(self._peer_by_address)
        recipients = addresses
        if len(addresses) > FANOUT:
            start = self._next_index % len(addresses)
            recipients = (addresses + addresses)[start : start + FANOUT]
            self._next_index = start + FANOUT
        if now - self._seeds_contacted_at >= SEED_INTERVAL_SECONDS:
            self._seeds_contacted_at = now
            recipients = [
                *recipients,
                *(seed for seed in self._seeds if seed not in recipients),
            ]
        return recipients
