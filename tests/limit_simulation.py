"""Simulated fleet of entries before servers of which one names a limit."""

from lacewingcleat.load_gossip import LoadGossip, PeerLoad
from lacewingcleat.server_rate_limits import ServerRateLimits
from tests.fleet_simulation import (
    STABILITY_SECONDS,
    SimulatedEntry,
    SimulatedFleet,
)

LIMITED_SERVER = "i-0:1"
SERVER_COUNT = 8
TOLD_SECONDS = 0.5


class LimitFleet(SimulatedFleet):
    """Send requests to random servers that may take them.

    :param per_second: limit that the first server names.
    :ivar counted_arrivals: times of the requests at it that count: from entries in
        touch that had passed on its limit before, from the stability window after it
        was first named.
    :ivar refused: number of requests that no server might take.
    """

    def __init__(self, count: int, seed: int, per_second: float) -> None:
        self.per_second: float | None = per_second
        self.counted_arrivals: list[float] = []
        self.arrivals: list[float] = []
        self.refused = 0
        self._first_named_at: float | None = None
        self._told_at: dict[str, float] = {}
        self._limits_by_name: dict[str, ServerRateLimits] = {}
        super().__init__(count, seed)

    def make_entry(self, name: str, zone: str, peers: LoadGossip) -> SimulatedEntry:
        """Make an entry that knows no limit."""
        self._limits_by_name[name] = ServerRateLimits(name)
        self._told_at.pop(name, None)
        return super().make_entry(name, zone, peers)

    def send_round(self, entry: SimulatedEntry) -> None:
        """Send the regular datagram of an entry."""
        recipients = entry.peers.next_recipients(self.now)
        limits = self._limits_by_name[entry.name]
        limits.set_entries(entry.peers.addresses(), self.now)
        named = limits.next_message(self.now)
        self.transmit(
            entry, recipients, entry.peers.next_message({}, True, 0, (), named)
        )

    def receive(self, entry: SimulatedEntry, load: PeerLoad) -> None:
        """Apply the limits in a datagram."""
        entry.peers.record(load, self.now)
        self._limits_by_name[entry.name].merge(load.limits, self.now)

    def send_request(self, entry: SimulatedEntry) -> None:
        """Send a request to a random server that may take it."""
        limits = self._limits_by_name[entry.name]
        servers = [f"i-{number}:1" for number in range(SERVER_COUNT)]
        allowed = [name for name in servers if limits.may_send(name, self.now)]
        if not allowed:
            self.refused += 1
            return
        server = self.random.choice(allowed)
        limits.take(server, self.now)
        if server == LIMITED_SERVER:
            self._serve(entry, limits)

    def _serve(self, entry: SimulatedEntry, limits: ServerRateLimits) -> None:
        self.arrivals.append(self.now)
        if self._counts(entry):
            self.counted_arrivals.append(self.now)
        if self.per_second is not None:
            self._first_named_at = self._first_named_at or self.now
            self._told_at.setdefault(entry.name, self.now)
        if limits.record_answer(LIMITED_SERVER, self.per_second, self.now, self.now):
            named = limits.named(LIMITED_SERVER, self.now)
            self.transmit(
                entry,
                entry.peers.addresses(),
                entry.peers.next_message({}, True, 0, (), [named]),
            )

    def _counts(self, entry: SimulatedEntry) -> bool:
        if self._first_named_at is None or not entry.is_in_touch(self.now):
            return False
        told_at = self._told_at.get(entry.name, float("inf"))
        is_told = self.now - told_at >= TOLD_SECONDS
        return is_told and self.now - self._first_named_at >= STABILITY_SECONDS
