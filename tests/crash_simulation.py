"""Simulated fleet of entries before servers that end under a prompt segment."""

from dataclasses import dataclass, field
from random import Random

from lacewingcleat.crash_evidence import CrashEvidence
from lacewingcleat.evidence_exchange import EvidenceExchange, EvidenceMessage
from lacewingcleat.load_gossip import SEND_INTERVAL_SECONDS, LoadGossip, PeerLoad

BAD_SEGMENT = "bad0"
FIRST_SEGMENT = "aa01"
ZONES = ("a", "b", "c")
STABILITY_SECONDS = 3.0
KNOWN_AFTER_CRASHES = 5
LOSS_RATE = 0.05
STEP_SECONDS = 0.05


@dataclass
class SimulatedEntry:
    """Represent one entry.

    :param in_touch_since: end of the last disruption of the entry.
    """

    name: str
    zone: str
    seeds: tuple[str, ...]
    random: Random
    in_touch_since: float
    next_round_at: float = 0.0
    is_cut: bool = False
    evidence: CrashEvidence = field(default_factory=CrashEvidence)

    def __post_init__(self) -> None:
        self.peers = LoadGossip(
            self.name, self.name, self.seeds, self.random, self.zone
        )
        self.exchange = EvidenceExchange(self.evidence, self.peers)

    def is_in_touch(self, now: float) -> bool:
        """Return whether the entry has been undisturbed for the stability window."""
        return not self.is_cut and now - self.in_touch_since >= STABILITY_SECONDS


class SimulatedFleet:
    """Run entries that lose datagrams, restart, join and are cut off.

    :ivar late_requests: requests with the bad segment that reached a server from an
        entry in touch, later than the stability window after the fifth crash.
    :ivar sound_statuses: whether each sound request was accepted.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.crash_times: list[float] = []
        self.late_requests = 0
        self.sound_accepted: list[bool] = []
        self.entry_by_name: dict[str, SimulatedEntry] = {}
        for number in range(count):
            self.start_entry(f"e{number:03d}:1")

    def start_entry(self, name: str) -> None:
        """Start an entry, or start it again without what it knew."""
        number = int(name[1:4])
        seeds = tuple(f"e{other:03d}:1" for other in range(3))
        zone = ZONES[number % len(ZONES)]
        self.entry_by_name[name] = SimulatedEntry(
            name, zone, seeds, Random(self.random.random()), self.now
        )

    def cut_zone(self, zone: str, is_cut: bool) -> None:
        """Cut a zone off from the others, or connect it again."""
        for entry in self.entry_by_name.values():
            if entry.zone == zone:
                entry.is_cut = is_cut
                entry.in_touch_since = self.now

    def advance(self, seconds: float, requests_per_second: float) -> None:
        """Play requests with and without the bad segment, and the datagrams."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            for entry in list(self.entry_by_name.values()):
                self._send_round(entry)
            if self.random.random() < requests_per_second * STEP_SECONDS:
                entries = list(self.entry_by_name.values())
                self._send_bad(self.random.choice(entries))
                self._send_sound(self.random.choice(entries))

    def _send_round(self, entry: SimulatedEntry) -> None:
        if self.now < entry.next_round_at:
            return
        entry.next_round_at = self.now + SEND_INTERVAL_SECONDS
        recipients = entry.peers.next_recipients(self.now)
        self._send(entry, EvidenceMessage(recipients, []))

    def _send(self, sender: SimulatedEntry, message: EvidenceMessage) -> None:
        load = sender.peers.next_message(
            {}, True, sender.evidence.digest, message.crashes
        )
        for address in message.recipients:
            recipient = self.entry_by_name.get(address)
            is_separated = recipient is None or (
                recipient.zone != sender.zone and (recipient.is_cut or sender.is_cut)
            )
            if not is_separated and self.random.random() >= LOSS_RATE:
                self._receive(self.entry_by_name[address], load)

    def _receive(self, entry: SimulatedEntry, load: PeerLoad) -> None:
        entry.peers.record(load, self.now)
        entry.exchange.merge(load, self.now)
        for reply in entry.exchange.replies(load, self.now):
            self._send(entry, reply)

    def _send_bad(self, entry: SimulatedEntry) -> None:
        suspects = (FIRST_SEGMENT, BAD_SEGMENT, f"r{self.random.random()}")
        if entry.evidence.find_refused(suspects):
            return
        crashes = len(self.crash_times)
        if (
            crashes >= KNOWN_AFTER_CRASHES
            and self.now > self.crash_times[KNOWN_AFTER_CRASHES - 1] + STABILITY_SECONDS
            and entry.is_in_touch(self.now)
        ):
            self.late_requests += 1
        self.crash_times.append(self.now)
        crash_id = f"i-{crashes}:1"
        if entry.evidence.record_crash(crash_id, suspects, self.now):
            self._send(entry, entry.exchange.announce(crash_id, self.now))

    def _send_sound(self, entry: SimulatedEntry) -> None:
        names = (FIRST_SEGMENT, "cc03")
        is_accepted = entry.evidence.find_refused(names) is None
        self.sound_accepted.append(is_accepted)
        if is_accepted:
            entry.evidence.record_sound(names, self.now)
