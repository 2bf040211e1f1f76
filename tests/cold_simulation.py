"""Simulated fleet of entries before servers that are cold after a start."""

from dataclasses import dataclass, field

from lacewingcleat.cold_servers import ColdServers
from lacewingcleat.load_gossip import SEND_INTERVAL_SECONDS, LoadGossip, PeerLoad
from tests.fleet_simulation import STEP_SECONDS, SimulatedEntry, SimulatedFleet

TICK_SECONDS = 0.25
# A settled entry has run for this long, with updates in this interval.
SETTLED_SECONDS = 90
UPDATE_SECONDS = 3
RUN_IN_SECONDS = 0.5
# Records arrive at entries within this time of each other.
RECORD_SPREAD_SECONDS = 0.4


@dataclass
class ColdTrial:
    """Represent one cold server.

    :param arrivals: times of the requests at it.
    """

    server: str
    warm_at: float
    arrivals: list[float] = field(default_factory=list)


class ColdFleet(SimulatedFleet):
    """Send requests of callers to cold servers as far as their entries may.

    :ivar refused: number of requests that no server might take.
    :ivar waits: seconds from the first try of each caller to its success; callers try
        again at another entry.
    """

    def __init__(self, count: int, seed: int, per_second: float = 26.0) -> None:
        self.per_second = per_second
        self.trials: list[ColdTrial] = []
        self.refused = 0
        self.waits: list[float] = []
        self._waiting: list[float] = []
        self._cold_by_name: dict[str, ColdServers] = {}
        self._next_tick_by_name: dict[str, float] = {}
        self._frozen_until: dict[str, float] = {}
        self._dead: set[str] = set()
        self._pending: list[tuple[float, str, ColdTrial]] = []
        self._side: dict[str, int] = {}
        super().__init__(count, seed)

    def settle(self) -> None:
        """Let all entries know each other, as a fleet that has run for minutes."""
        entries = list(self.entry_by_name.values())
        for sender in entries:
            load = sender.peers.next_message({}, True)
            for entry in entries:
                entry.peers.record(load, self.now)
        for name, cold in self._cold_by_name.items():
            others = set(self._cold_by_name) - {name}
            for second in range(-SETTLED_SECONDS, 1, UPDATE_SECONDS):
                cold.set_entries(others, float(second))
        self.advance(RUN_IN_SECONDS, 0.0)

    def make_entry(self, name: str, zone: str, peers: LoadGossip) -> SimulatedEntry:
        """Make an entry that knows no cold server."""
        self._cold_by_name[name] = ColdServers(name, expects_peers=peers.has_seeds)
        self._dead.discard(name)
        self._next_tick_by_name[name] = self.now + self.random.random() * TICK_SECONDS
        entry = super().make_entry(name, zone, peers)
        entry.next_round_at = self.now + self.random.random() * SEND_INTERVAL_SECONDS
        # It reads the store when it starts.
        for trial in self.trials:
            if self.now < trial.warm_at:
                delay = self.random.uniform(0.1, RECORD_SPREAD_SECONDS)
                self._pending.append((self.now + delay, name, trial))
        return entry

    def add_cold_server(self, seconds: float, late: float = 0.0) -> ColdTrial:
        """Start a server of which the entries learn within some tenths of a second.

        :param late: seconds by which a fifth of the entries learn later.
        """
        trial = ColdTrial(f"i-{len(self.trials)}", self.now + seconds)
        self.trials.append(trial)
        for name in self.entry_by_name:
            delay = self.random.uniform(0.05, RECORD_SPREAD_SECONDS)
            if self.random.random() < 0.2:
                delay += late
            self._pending.append((self.now + delay, name, trial))
        return trial

    def names(self) -> list[str]:
        """Return the names of the entries that run."""
        return [name for name in self.entry_by_name if name not in self._dead]

    def kill(self, names: list[str]) -> None:
        """End entries."""
        self._dead.update(names)

    def freeze(self, names: list[str], seconds: float) -> None:
        """Suspend entries for some seconds."""
        for name in names:
            self._frozen_until[name] = self.now + seconds

    def divide(self, is_divided: bool) -> None:
        """Divide the entries into two halves, or connect them again."""
        self._side = {}
        if is_divided:
            for index, name in enumerate(self.entry_by_name):
                self._side[name] = index % 2

    def isolate(self) -> None:
        """Cut all entries off from each other."""
        self._side = {name: index for index, name in enumerate(self.entry_by_name)}

    def _runs(self, name: str) -> bool:
        return name not in self._dead and self._frozen_until.get(name, 0.0) <= self.now

    def advance(self, seconds: float, requests_per_second: float) -> None:
        """Play requests of callers, the datagrams and the entries' regular updates."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now += STEP_SECONDS
            self._deliver_records()
            for name, entry in list(self.entry_by_name.items()):
                if not self._runs(name):
                    continue
                if self.now >= entry.next_round_at:
                    entry.next_round_at = self.now + SEND_INTERVAL_SECONDS
                    self.send_round(entry)
                if self.now >= self._next_tick_by_name[name]:
                    self._next_tick_by_name[name] = self.now + TICK_SECONDS
                    cold = self._cold_by_name[name]
                    cold.set_entries(entry.peers.addresses(), self.now)
            running = [
                entry for name, entry in self.entry_by_name.items() if self._runs(name)
            ]
            due = requests_per_second * STEP_SECONDS
            count = int(due) + (self.random.random() < due % 1.0)
            callers = [*self._waiting, *[self.now] * count]
            self._waiting = []
            for called_at in callers:
                entry = self.random.choice(running)
                if self._serve(entry):
                    self.waits.append(self.now - called_at)
                elif self.now - called_at < 5.0:
                    self._waiting.append(called_at)

    def _deliver_records(self) -> None:
        due = [item for item in self._pending if item[0] <= self.now]
        self._pending = [item for item in self._pending if item[0] > self.now]
        for _, name, trial in due:
            if name in self._dead:
                continue
            if not self._runs(name):
                self._pending.append((self._frozen_until[name] + 0.1, name, trial))
                continue
            remaining = trial.warm_at - self.now
            cold = self._cold_by_name[name]
            cold.record(trial.server, remaining, self.per_second, self.now)

    def _serve(self, entry: SimulatedEntry) -> bool:
        cold = self._cold_by_name[entry.name]
        # An entry that has not heard of a new server does not know its address either.
        allowed = [
            trial
            for trial in self.trials
            if cold.is_cold(trial.server, self.now)
            and self.now < trial.warm_at
            and cold.may_send(trial.server, self.now)
        ]
        if not allowed:
            self.refused += 1
            return False
        trial = self.random.choice(allowed)
        cold.take(trial.server, self.now)
        trial.arrivals.append(self.now + self.random.uniform(0.0, STEP_SECONDS))
        return True

    def send_round(self, entry: SimulatedEntry) -> None:
        """Send the regular datagram of an entry."""
        recipients = entry.peers.next_recipients(self.now)
        self.transmit(entry, recipients, entry.peers.next_message({}, True))

    def receive(self, entry: SimulatedEntry, load: PeerLoad) -> None:
        """Record a datagram, and answer the first one of a process at once."""
        if not self._runs(entry.name):
            return
        if self._side.get(entry.name) != self._side.get(load.address):
            return
        is_new_process = entry.peers.is_new_process(load)
        if entry.peers.record(load, self.now) and is_new_process:
            message = entry.peers.next_message({}, True)
            self.transmit(entry, [load.address], message)
