"""coordination: gossip between entries about the requests that they have in flight.

Each entry sees only its own part of the load of a server, so entries exchange their
counts in small datagrams. Each datagram carries all counts, so the next one makes up
for a lost one. Peers are discovered through seeds and through the addresses in
datagrams, and removed when nothing has been received from them for a while.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from lacewingcleat.crash_evidence import CrashRecord
from lacewingcleat.priority_admission import ServiceDemand
from lacewingcleat.server_pace import PaceReport
from lacewingcleat.server_rate_limits import NamedLimit

# Interval between datagrams, short compared with the few hundred milliseconds that a
# request takes to its first event.
SEND_INTERVAL_SECONDS = 0.2
# Delay until a new request is announced, so that requests that arrive together share a
# datagram. Two prompts that one rank reads in the same pass, which takes most of a
# tenth of a second, delay the streams of the whole group.
ANNOUNCE_DELAY_SECONDS = 0.01
# Maximum number of peers that are sent a datagram per interval, so that the cost of an
# entry does not grow with the fleet. In larger fleets the peers are served in rotation.
FANOUT = 16
# Maximum number of peers of the same zone to which a new request is announced at once.
# Requests go to servers of their own zone first, so other zones may learn of it later.
ANNOUNCE_FANOUT = 32
# Silence after which a peer is removed; until then it is still sent datagrams.
PEER_TIMEOUT_SECONDS = 10.0
SEED_INTERVAL_SECONDS = 1.0
# Age above which a ready flag is ignored, in intervals between two datagrams of a
# peer; long enough for several lost ones. If entries disagreed about who is ready,
# several of them would lead the same group.
READY_TTL_INTERVALS = 5.0
# Age above which the announced requests of a peer are ignored, in the same intervals.
COUNTS_TTL_INTERVALS = 7.5
# Interval between two transfers of crash evidence to a peer whose evidence differs; it
# doubles while the evidence stays the same, up to the maximum.
EVIDENCE_INTERVAL_SECONDS = 0.5
MAX_EVIDENCE_INTERVAL_SECONDS = 32.0
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
    :param zone: availability zone of the sender.
    :param evidence_digest: hash of all crash evidence of the sender.
    :param crashes: crash evidence, if the recipient may lack it.
    :param limits: limits that servers have lately named to the sender.
    :param config_version: version of the configuration that the sender has in force, 0
        for none.
    :param config_seconds: time for which the sender has had it in force.
    :param demands: what the sender's callers ask of services with several priorities.
    :param pace: answers of servers of plain services that the sender lately got.
    """

    instance: str
    incarnation: int
    sequence: int
    address: str
    count_by_server: dict[str, int]
    addresses: list[str]
    ready: bool = False
    zone: str = ""
    evidence_digest: int = 0
    crashes: list[CrashRecord] = []
    limits: list[NamedLimit] = []
    config_version: int = 0
    config_seconds: float = 0.0
    demands: list[ServiceDemand] = []
    pace: PaceReport = PaceReport()


@dataclass(slots=True)
class _Peer:
    last_seen_at: float
    ready: bool = False
    zone: str = ""
    instance: str = ""
    incarnation: int = 0
    sequence: int = -1
    evidence_sent_at: float = float("-inf")
    evidence_interval: float = EVIDENCE_INTERVAL_SECONDS
    evidence_digest_sent: int = 0


class LoadGossip:
    """Track peers, build datagrams and select their recipients.

    :param address: control address of this entry.
    :param zone: availability zone of this entry.
    :ivar most: largest number of peers that were tracked at the same time.
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
        "_zone",
        "max_peer_count",
    )

    def __init__(
        self,
        instance: str,
        address: str,
        seeds: tuple[str, ...],
        random: Random,
        zone: str = "",
    ) -> None:
        self._instance = instance
        self._zone = zone
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
        """Set the control addresses used for peer discovery."""
        self._seeds = [seed for seed in seeds if seed != self._address]

    @property
    def own_address(self) -> str:
        """Return the control address of this entry."""
        return self._address

    @property
    def peer_count(self) -> int:
        """Return the number of tracked peers."""
        return len(self._peer_by_address)

    @property
    def has_seeds(self) -> bool:
        """Return whether there are other entries to discover peers from."""
        return bool(self._seeds)

    def is_new_process(self, load: PeerLoad) -> bool:
        """Return whether a datagram is the first one from its process."""
        peer = self._peer_by_address.get(load.address)
        return peer is None or peer.incarnation != load.incarnation

    def record(self, load: PeerLoad, now: float) -> bool:
        """Record a datagram and return whether it is newer than the last one."""
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
        peer.zone = load.zone
        return True

    def receive_interval(self) -> float:
        """Return the seconds between two datagrams of a peer.

        In large fleets an entry sends to its peers in rotation.
        """
        rounds = max(1.0, len(self._peer_by_address) / FANOUT)
        return SEND_INTERVAL_SECONDS * rounds

    def counts_ttl(self) -> float:
        """Return the age above which the announced requests of a peer are ignored."""
        return COUNTS_TTL_INTERVALS * self.receive_interval()

    def any_ready(self, now: float) -> bool:
        """Return whether any peer has recently announced that it accepts requests."""
        ttl = READY_TTL_INTERVALS * self.receive_interval()
        return any(
            peer.ready and now - peer.last_seen_at <= ttl
            for peer in self._peer_by_address.values()
        )

    def ready_entries(self, now: float) -> list[str]:
        """Return the peers that have recently announced that they accept requests."""
        ttl = READY_TTL_INTERVALS * self.receive_interval()
        return [
            peer.instance
            for peer in self._peer_by_address.values()
            if peer.ready and now - peer.last_seen_at <= ttl
        ]

    def addresses(self) -> list[str]:
        """Return the control addresses of all peers."""
        return list(self._peer_by_address)

    def take_evidence_turn(
        self, address: str, peer_digest: int, own_digest: int, now: float
    ) -> bool:
        """Return whether the crash evidence is now to be sent to a peer.

        A peer that lacks evidence is sent all of it; one that has more than this entry
        answers in the same way. Evidence that two peers will never share, such as
        crashes that one of them has discarded, is sent at ever longer intervals.
        """
        peer = self._peer_by_address.get(address)
        if peer is None or peer_digest == own_digest:
            return False
        if peer.evidence_digest_sent != own_digest:
            peer.evidence_interval = EVIDENCE_INTERVAL_SECONDS
        if now - peer.evidence_sent_at < peer.evidence_interval:
            return False
        peer.evidence_sent_at = now
        peer.evidence_digest_sent = own_digest
        peer.evidence_interval = min(
            MAX_EVIDENCE_INTERVAL_SECONDS, 2.0 * peer.evidence_interval
        )
        return True

    def next_message(
        self,
        count_by_server: dict[str, int],
        ready: bool,
        evidence_digest: int = 0,
        crashes: Sequence[CrashRecord] = (),
        limits: Sequence[NamedLimit] = (),
        config_in_force: tuple[int, float] = (0, 0.0),
        demands: Sequence[ServiceDemand] = (),
        pace: PaceReport | None = None,
    ) -> PeerLoad:
        """Build the next datagram.

        :param config_in_force: see `PeerConfigs.in_force`.
        """
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
            self._zone,
            evidence_digest,
            list(crashes),
            list(limits),
            *config_in_force,
            demands=list(demands),
            pace=pace or PaceReport(),
        )

    def announces_to_all(self) -> bool:
        """Return whether new requests are announced to the peers of all zones."""
        return len(self._peer_by_address) <= FANOUT

    def announcement_recipients(self) -> list[str]:
        """Return the addresses to which a new request is announced.

        In small fleets these are all peers, else those of the same zone.
        """
        peers = self._peer_by_address
        if self.announces_to_all():
            return sorted(peers)
        own_zone = [a for a, peer in peers.items() if peer.zone == self._zone]
        if len(own_zone) <= ANNOUNCE_FANOUT:
            return own_zone
        return self._random.sample(own_zone, ANNOUNCE_FANOUT)

    def next_recipients(self, now: float) -> list[str]:
        """Remove silent peers and return the addresses to which to send now."""
        for address, peer in list(self._peer_by_address.items()):
            if now - peer.last_seen_at > PEER_TIMEOUT_SECONDS:
                del self._peer_by_address[address]
        addresses = sorted(self._peer_by_address)
        recipients = addresses
        if len(addresses) > FANOUT:
            start = self._next_index % len(addresses)
            recipients = (addresses + addresses)[start : start + FANOUT]
            self._next_index = start + FANOUT
        is_due = now - self._seeds_contacted_at >= SEED_INTERVAL_SECONDS
        if is_due or not addresses:
            self._seeds_contacted_at = now
            recipients = [
                *recipients,
                *(seed for seed in self._seeds if seed not in recipients),
            ]
        return recipients
