"""Simulated fleet of entries before servers that a prompt segment crashes."""

from lacewingcleat.crash_evidence import CrashEvidence
from lacewingcleat.evidence_exchange import EvidenceExchange, EvidenceMessage
from lacewingcleat.load_gossip import LoadGossip, PeerLoad
from tests.fleet_simulation import (
    STABILITY_SECONDS,
    SimulatedEntry,
    SimulatedFleet,
)

BAD_SEGMENT = "bad0"
FIRST_SEGMENT = "aa01"
KNOWN_AFTER_CRASHES = 5


class CrashFleet(SimulatedFleet):
    """Send requests with and without a segment that crashes servers.

    :ivar late_requests: requests with the segment that reached a server from an entry
        in touch, later than the stability window after the fifth crash.
    :ivar sound_accepted: whether each sound request was accepted.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.crash_times: list[float] = []
        self.late_requests = 0
        self.sound_accepted: list[bool] = []
        self._evidence_by_name: dict[str, CrashEvidence] = {}
        self._exchange_by_name: dict[str, EvidenceExchange] = {}
        super().__init__(count, seed)

    def make_entry(self, name: str, zone: str, peers: LoadGossip) -> SimulatedEntry:
        """Make an entry without evidence."""
        evidence = self._evidence_by_name[name] = CrashEvidence()
        self._exchange_by_name[name] = EvidenceExchange(evidence, peers)
        return super().make_entry(name, zone, peers)

    def send_round(self, entry: SimulatedEntry) -> None:
        """Send the regular datagram of an entry."""
        recipients = entry.peers.next_recipients(self.now)
        self._send(entry, EvidenceMessage(recipients, []))

    def _send(self, sender: SimulatedEntry, message: EvidenceMessage) -> None:
        digest = self._evidence_by_name[sender.name].digest
        load = sender.peers.next_message({}, True, digest, message.crashes)
        self.transmit(sender, message.recipients, load)

    def receive(self, entry: SimulatedEntry, load: PeerLoad) -> None:
        """Merge the evidence in a datagram and answer it."""
        entry.peers.record(load, self.now)
        exchange = self._exchange_by_name[entry.name]
        exchange.merge(load, self.now)
        for reply in exchange.replies(load, self.now):
            self._send(entry, reply)

    def send_request(self, entry: SimulatedEntry) -> None:
        """Send a request with the segment and a sound one."""
        self._send_bad(entry)
        self._send_sound(self.random.choice(list(self.entry_by_name.values())))

    def _send_bad(self, entry: SimulatedEntry) -> None:
        evidence = self._evidence_by_name[entry.name]
        suspects = (FIRST_SEGMENT, BAD_SEGMENT, f"r{self.random.random()}")
        if evidence.find_refused(suspects):
            return
        crashes = len(self.crash_times)
        if crashes >= KNOWN_AFTER_CRASHES and entry.is_in_touch(self.now):
            known_at = self.crash_times[KNOWN_AFTER_CRASHES - 1]
            self.late_requests += self.now > known_at + STABILITY_SECONDS
        self.crash_times.append(self.now)
        crash_id = f"i-{crashes}:1"
        if evidence.record_crash(crash_id, suspects, self.now):
            self._announce(entry, {crash_id})

    def _announce(self, entry: SimulatedEntry, crash_ids: set[str]) -> None:
        exchange = self._exchange_by_name[entry.name]
        for message in exchange.announce(crash_ids, self.now):
            self._send(entry, message)

    def _send_sound(self, entry: SimulatedEntry) -> None:
        evidence = self._evidence_by_name[entry.name]
        names = (FIRST_SEGMENT, "cc03")
        is_accepted = evidence.find_refused(names) is None
        self.sound_accepted.append(is_accepted)
        if is_accepted:
            cleared = evidence.record_answered(names, self.now)
            if cleared:
                self._announce(entry, set().union(*cleared.values()))
