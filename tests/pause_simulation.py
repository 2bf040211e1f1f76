"""Simulated fleet of entries before servers that all ask for a pause with one end."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush

from lacewingcleat.load_gossip import LoadGossip, PeerLoad
from lacewingcleat.server_restrictions import ServerRestrictions, release_wait_seconds
from tests.builders_direct import make_record
from tests.fleet_simulation import SimulatedEntry, SimulatedFleet

SERVER_COUNT = 16
MAX_ATTEMPTS = 2
CALLER_SECONDS = 8.0


@dataclass(order=True)
class _Retry:
    """Represent a caller that comes back to an entry after a refusal."""

    at: float
    entry: str
    deadline: float


class PauseFleet(SimulatedFleet):
    """Send requests to random servers that are not restricted.

    Callers honour the time that they are told and come back once.

    :ivar pause_until: while the time is before, servers refuse with the rest of it.
    :ivar arrivals: times of the requests at all servers.
    :ivar late_counts: requests at a server from an entry that it had told to pause half
        a second before, in one pause.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.pause_until = float("-inf")
        self.arrivals: list[float] = []
        self.late_counts: Counter[tuple[str, str]] = Counter()
        self.refused = 0
        self._told_at: dict[tuple[str, str], float] = {}
        self._retries: list[_Retry] = []
        self._restrictions_by_name: dict[str, ServerRestrictions] = {}
        self._records = [make_record(f"i-{n}") for n in range(SERVER_COUNT)]
        super().__init__(count, seed)

    def make_entry(self, name: str, zone: str, peers: LoadGossip) -> SimulatedEntry:
        """Make an entry that knows no pause."""
        self._restrictions_by_name[name] = ServerRestrictions()
        for key in [key for key in self._told_at if key[0] == name]:
            del self._told_at[key]
        return super().make_entry(name, zone, peers)

    def send_round(self, entry: SimulatedEntry) -> None:
        """Send the regular datagram of an entry, and let callers come back."""
        recipients = entry.peers.next_recipients(self.now)
        self.transmit(entry, recipients, entry.peers.next_message({}, True))
        while self._retries and self._retries[0].at <= self.now:
            retry = heappop(self._retries)
            self._send(self.entry_by_name[retry.entry], retry.deadline, True)

    def receive(self, entry: SimulatedEntry, load: PeerLoad) -> None:
        """Record that a peer lives."""
        entry.peers.record(load, self.now)

    def send_request(self, entry: SimulatedEntry) -> None:
        """Send a new request."""
        self._send(entry, self.now + CALLER_SECONDS, False)

    def _send(self, entry: SimulatedEntry, deadline: float, is_retry: bool) -> None:
        restrictions = self._restrictions_by_name[entry.name]
        for _ in range(MAX_ATTEMPTS):
            allowed = [
                record
                for record in self._records
                if restrictions.find(record, self.now) is None
            ]
            if not allowed:
                break
            record = self.random.choice(allowed)
            if self._serve(entry, record.name):
                return
            restrictions.record_pause(
                record,
                self.pause_until - self.now,
                entry.peers.peer_count + 1,
                self.random,
                self.now,
            )
        self.refused += 1
        release_at = restrictions.next_release(self._records, self.now)
        if is_retry or release_at is None:
            return
        wait = release_wait_seconds(release_at, deadline, self.random, self.now)
        heappush(self._retries, _Retry(self.now + wait, entry.name, deadline))

    def _serve(self, entry: SimulatedEntry, server: str) -> bool:
        self.arrivals.append(self.now)
        if self.now >= self.pause_until:
            return True
        told_at = self._told_at.setdefault((entry.name, server), self.now)
        if self.now - told_at >= 0.5:
            self.late_counts[entry.name, server] += 1
        return False

    def busiest_window(self, start: float, end: float, seconds: float) -> int:
        """Return the most arrivals in a window of some seconds between two times."""
        times = sorted(self.arrivals)
        first, last = bisect_left(times, start), bisect_left(times, end)
        return max(
            (
                bisect_left(times, times[index] + seconds) - index
                for index in range(first, last)
            ),
            default=0,
        )


def play_pause(
    count: int, seed: int, pause_seconds: float, requests_per_second: float
) -> PauseFleet:
    """Play pauses of all servers that end together, and the time after them."""
    fleet = PauseFleet(count, seed)
    fleet.advance(4.0, requests_per_second)
    fleet.pause_until = fleet.now + pause_seconds
    fleet.advance(pause_seconds + 8.0, requests_per_second)
    return fleet
