"""Simulated fleet of entries that exchange datagrams and are disturbed."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lacewingcleat.load_gossip import SEND_INTERVAL_SECONDS, LoadGossip, PeerLoad

ZONES = ("a", "b", "c")
# The deployments' `stability_window_ms`.
STABILITY_SECONDS = 3.0
LOSS_RATE = 0.05
STEP_SECONDS = 0.05


@dataclass
class SimulatedEntry:
    """Represent one entry.

    :param in_touch_since: end of the last disruption of the entry.
    """

    name: str
    zone: str
    peers: LoadGossip
    in_touch_since: float
    next_round_at: float = 0.0
    is_cut: bool = False

    def is_in_touch(self, now: float) -> bool:
        """Return whether the entry has been undisturbed for the stability window."""
        return not self.is_cut and now - self.in_touch_since >= STABILITY_SECONDS


class SimulatedFleet:
    """Run entries that lose datagrams, restart, join and are cut off."""

    def __init__(self, count: int, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.entry_by_name: dict[str, SimulatedEntry] = {}
        for number in range(count):
            self.start_entry(number)

    def start_entry(self, number: int) -> None:
        """Start an entry, or start it again without what it knew."""
        name = f"e{number:03d}:1"
        seeds = tuple(f"e{other:03d}:1" for other in range(3))
        zone = ZONES[number % len(ZONES)]
        random = Random(self.random.random())
        peers = LoadGossip(name, name, seeds, random, zone)
        self.entry_by_name[name] = self.make_entry(name, zone, peers)

    def make_entry(self, name: str, zone: str, peers: LoadGossip) -> SimulatedEntry:
        """Make an entry that has just started."""
        return SimulatedEntry(name, zone, peers, self.now)

    def cut_zone(self, zone: str, is_cut: bool) -> None:
        """Cut a zone off from the others, or connect it again."""
        for entry in self.entry_by_name.values():
            if entry.zone == zone:
                entry.is_cut = is_cut
                entry.in_touch_since = self.now

    def advance(self, seconds: float, requests_per_second: float) -> None:
        """Play requests at random entries, and the datagrams."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            entries = list(self.entry_by_name.values())
            for entry in entries:
                if self.now >= entry.next_round_at:
                    entry.next_round_at = self.now + SEND_INTERVAL_SECONDS
                    self.send_round(entry)
            due = requests_per_second * STEP_SECONDS
            for _ in range(int(due) + (self.random.random() < due % 1.0)):
                self.send_request(self.random.choice(entries))

    def play_disturbed_day(self, requests_per_second: float) -> None:
        """Play a zone that is cut off, restarts of half the entries and three joins."""
        count = len(self.entry_by_name)
        self.advance(4.0, 0.0)
        self.advance(6.0, requests_per_second)
        self.cut_zone("b", True)
        self.advance(5.0, requests_per_second)
        self.cut_zone("b", False)
        for number in range(count // 2):
            self.start_entry(number)
            self.advance(0.5, requests_per_second)
        for number in range(count, count + 3):
            self.start_entry(number)
        self.advance(8.0, requests_per_second)

    def send_round(self, entry: SimulatedEntry) -> None:
        """Send the regular datagram of an entry."""
        raise NotImplementedError

    def send_request(self, entry: SimulatedEntry) -> None:
        """Let an entry decide on the requests of callers."""
        raise NotImplementedError

    def receive(self, entry: SimulatedEntry, load: PeerLoad) -> None:
        """Let an entry apply a datagram."""
        raise NotImplementedError

    def transmit(
        self, sender: SimulatedEntry, recipients: Iterable[str], load: PeerLoad
    ) -> None:
        """Deliver a datagram to the recipients that it reaches."""
        for address in recipients:
            recipient = self.entry_by_name.get(address)
            if recipient is None or self.random.random() < LOSS_RATE:
                continue
            is_separated = recipient.is_cut or sender.is_cut
            if recipient.zone == sender.zone or not is_separated:
                self.receive(recipient, load)
