"""Randomised troubles of servers beside planned stops, kills and odd store items.

Servers also leave and ask for pauses, and a zone is evacuated and returns.
"""

import signal
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from itertools import cycle
from random import Random

import pytest
from testtools import TestCase

from tests.entry_process import EntryProcess, add_entry, run_entries
from tests.hostile_servers import (
    ANSWERING_KINDS,
    EVACUATED_ZONE,
    SERVED_BY,
    HostileServers,
    whole_answer,
)
from tests.odd_store_items import ODD_VALUE_BY_KIND
from tests.platform_fakes import FakeStore
from tests.test_entry_soaks import play_seeds

SERVER_COUNT = 8
ENTRY_COUNT = 3
MAX_ENTRIES = 14
CALLER_COUNT = 12
PLAY_SECONDS = 14.0
STEP_SECONDS = 0.5
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Memory of the smallest entry instances, in kB.
INSTANCE_MEMORY_KB = 200 * 1024
# Time of the play from which and until which a zone is evacuated.
EVACUATION_SECONDS = (2.0, 10.0)
# Times within which entries keep to what servers and the operator say.
EVACUATION_BOUND_SECONDS = 5.0
LEAVING_BOUND_SECONDS = 2.0
PAUSE_BOUND_SECONDS = 0.5
MAX_PAUSE_ARRIVALS = 2
FOREVER = float("inf")
ORDER = "/order/x"
PATHS = (ORDER, "/get/x", "/stream/x")


@dataclass
class Sent:
    """Represent a request and its answer; the status is 0 without a whole answer.

    :ivar left_by: the server and the number of the run that says in the answer that it
        leaves, if one does.
    """

    path: str
    entry: EntryProcess
    status: int = 0
    body: bytes = b""
    sent_at: float = 0.0
    answered_at: float = 0.0
    left_by: str | None = None


@dataclass
class Fleet:
    """Hold the entries that callers use.

    :ivar killed: entries that were killed; what they had in flight may be lost.
    """

    entries: list[EntryProcess]
    running: list[EntryProcess]
    killed: set[EntryProcess] = field(default_factory=set)
    stopped: set[EntryProcess] = field(default_factory=set)


class Caller(threading.Thread):
    """Send requests on connections that are kept until the entry closes them."""

    def __init__(self, number: int, fleet: Fleet, seed: int, until: float) -> None:
        super().__init__(daemon=True)
        self._number = number
        self._fleet = fleet
        self._random = Random(f"{seed}-{number}")
        self._until = until
        self._connection: HTTPConnection | None = None
        self._entry = fleet.running[0]
        self.sent_by_id: dict[str, Sent] = {}

    def run(self) -> None:
        """Send one request after the other."""
        count = 0
        while time.monotonic() < self._until:
            count += 1
            self._send(f"c{self._number}-{count}")
            time.sleep(self._random.uniform(0.0, 0.1))

    def _send(self, request_id: str) -> None:
        if self._connection is None:
            self._entry = self._random.choice(self._fleet.running)
            self._connection = HTTPConnection("127.0.0.1", self._entry.port, timeout=8)
        path = self._random.choice(PATHS)
        sent = self.sent_by_id[request_id] = Sent(
            path, self._entry, sent_at=time.monotonic()
        )
        headers = {
            "Host": "h",
            "X-Request-Id": request_id,
            "Authorization": "Bearer k",
            "X-Deadline-Milliseconds": "2900",
        }
        method = "POST" if path == ORDER else "GET"
        try:
            self._connection.request(method, path, None, headers)
            response = self._connection.getresponse()
            if response.getheader("Server-Leaving") == "1":
                sent.left_by = response.getheader(SERVED_BY)
                sent.answered_at = time.monotonic()
            sent.body = response.read()
            sent.status = response.status
        except (OSError, HTTPException):
            self._connection.close()
            self._connection = None
            return
        if response.will_close:
            self._connection.close()
            self._connection = None


@dataclass
class Evacuation:
    """Evacuate a zone from one time to another.

    :ivar ordered_at: time after which the order is in the store.
    :ivar removed_at: time at which its removal begins.
    """

    begin: float
    end: float
    ordered_at: float | None = None
    removed_at: float = FOREVER

    def play(self, store: FakeStore) -> None:
        """Write or remove the order if it is due."""
        key = f"op/evacuate/{EVACUATED_ZONE}"
        now = time.monotonic()
        if self.ordered_at is None and now >= self.begin:
            store.put(key, {})
            self.ordered_at = time.monotonic()
        if self.removed_at == FOREVER and now >= self.end:
            self.removed_at = now
            store.remove(key)

    def find_late_arrivals(self, servers: HostileServers) -> list[str]:
        """Return the requests that have reached the zone while it was evacuated."""
        assert self.ordered_at is not None
        begin = self.ordered_at + EVACUATION_BOUND_SECONDS
        return [
            f"{arrival.request_id} reached the evacuated {arrival.server}"
            for arrival in servers.arrivals
            if begin <= arrival.at < self.removed_at
            and servers.zone_of(arrival.server) == EVACUATED_ZONE
        ]


def find_late_arrivals(
    servers: HostileServers, sent_by_id: dict[str, Sent]
) -> list[str]:
    """Return the requests that have reached servers which had announced not to run any.

    An announcement counts for the entry that has passed it on, until the next run of
    the server.
    """
    arrivals_by_target = defaultdict(list)
    for arrival in servers.arrivals:
        sent = sent_by_id.get(arrival.request_id)
        if sent is not None:
            arrivals_by_target[sent.entry, arrival.server].append(arrival)
    faults = []
    for sent in sent_by_id.values():
        if sent.left_by is None:
            continue
        name, _, run = sent.left_by.partition(":")
        restarts = servers.restarts[name]
        until = restarts[int(run) - 1] if len(restarts) >= int(run) else FOREVER
        begin = sent.answered_at + LEAVING_BOUND_SECONDS
        faults += [
            f"{arrival.request_id} reached {arrival.server}, which had left"
            for arrival in arrivals_by_target[sent.entry, name]
            if begin <= arrival.at < until
            and sent_by_id[arrival.request_id].sent_at >= sent.answered_at
        ]
    for pause in servers.pause_requests:
        # A refusal beside another attempt may not have been read.
        if not pause.is_first:
            continue
        until = min(pause.until, _next_restart(servers, pause.server, pause.at))
        entry = sent_by_id[pause.request_id].entry
        late = [
            arrival.request_id
            for arrival in arrivals_by_target[entry, pause.server]
            if pause.at + PAUSE_BOUND_SECONDS <= arrival.at < until
        ]
        if len(late) > MAX_PAUSE_ARRIVALS:
            faults.append(f"{late} reached {pause.server} in a pause")
    return faults


def _next_restart(servers: HostileServers, name: str, since: float) -> float:
    restarts = servers.restarts[name]
    return min((at for at in restarts if at > since), default=FOREVER)


class HostileServersSoak(TestCase):
    def _disturb(self, fleet: Fleet, servers: HostileServers, random: Random) -> None:
        """Stop, reload or kill an entry, or write an odd item."""
        match random.choice(("stop", "stop", "reload", "kill", "odd", "odd", "none")):
            case "stop" if len(fleet.entries) < MAX_ENTRIES:
                entry = self._replace(fleet, servers, random)
                fleet.stopped.add(entry)
                entry.process.send_signal(signal.SIGTERM)
                if random.random() < 0.5:
                    entry.process.send_signal(signal.SIGHUP)
                    entry.process.send_signal(signal.SIGTERM)
            case "kill" if len(fleet.entries) < MAX_ENTRIES:
                entry = self._replace(fleet, servers, random)
                fleet.killed.add(entry)
                entry.process.kill()
            case "reload":
                random.choice(fleet.running).process.send_signal(signal.SIGHUP)
            case "odd":
                key = f"servers/a-{random.randrange(5)}"
                servers.store.put(key, next(self.odd_values))

    def _replace(
        self, fleet: Fleet, servers: HostileServers, random: Random
    ) -> EntryProcess:
        """Add an entry and return one that callers do not choose any more."""
        added = add_entry(
            servers.store,
            fleet.entries[0].folder,
            fleet.running,
            len(fleet.entries) + 1,
        )
        entry = random.choice(fleet.running)
        fleet.running = [*(e for e in fleet.running if e is not entry), added]
        fleet.entries.append(added)
        return entry

    def _play(self, seed: int) -> None:
        random = Random(seed)
        servers = HostileServers(SERVER_COUNT, Random(f"{seed}-servers"))
        self.addCleanup(servers.close)
        self.odd_values = cycle(ODD_VALUE_BY_KIND.values())
        faults: list[str] = []
        with run_entries(servers.store, ENTRY_COUNT) as entries:
            fleet = Fleet(entries, list(entries))
            started_at = time.monotonic()
            until = started_at + PLAY_SECONDS
            evacuation = self._plan_evacuation(started_at)
            callers = [Caller(n, fleet, seed, until) for n in range(CALLER_COUNT)]
            for caller in callers:
                caller.start()
            while time.monotonic() < until:
                time.sleep(STEP_SECONDS)
                servers.restart_left()
                evacuation.play(servers.store)
                self._disturb(fleet, servers, random)
            for caller in callers:
                caller.join()
            for entry in entries:
                faults += self._check_process(fleet, entry)
        sent_by_id = {k: v for caller in callers for k, v in caller.sent_by_id.items()}
        for request_id, sent in sent_by_id.items():
            faults += self._check_request(fleet, servers, request_id, sent)
        faults += find_late_arrivals(servers, sent_by_id)
        faults += evacuation.find_late_arrivals(servers)
        statuses = [sent.status for sent in sent_by_id.values()]
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        print(f"{len(statuses)} requests: {counts}, {len(fleet.entries)} entries")
        self.assertEqual([], faults, seed)
        self.assertLess(len(statuses) / 2, counts.get(200, 0), seed)

    def _plan_evacuation(self, started_at: float) -> "Evacuation":
        begin, end = EVACUATION_SECONDS
        return Evacuation(started_at + begin, started_at + end)

    def _check_process(self, fleet: Fleet, entry: EntryProcess) -> list[str]:
        code = entry.process.poll()
        if entry in fleet.killed or (entry in fleet.stopped and code in (0, None)):
            return []
        if code is not None:
            return [f"an entry has ended by itself with {code}"]
        with open(f"/proc/{entry.process.pid}/status") as status:
            peak = next(line for line in status if line.startswith("VmHWM:"))
        if int(peak.split()[1]) > INSTANCE_MEMORY_KB:
            return [f"an entry has used {peak.split()[1]} kB"]
        return []

    def _check_request(
        self, fleet: Fleet, servers: HostileServers, request_id: str, sent: Sent
    ) -> list[str]:
        runs = servers.run_count_by_id[request_id]
        faults = []
        if sent.path == ORDER and runs > 1:
            faults.append(f"{request_id} ran {runs} times")
        if sent.path == ORDER and runs and sent.status in PROMISES:
            faults.append(f"{request_id} ran and was answered {sent.status}")
        is_whole = sent.body == whole_answer(sent.path, request_id)
        if sent.status == 200 and not is_whole:
            faults.append(f"{request_id} got {sent.body[:60]!r}")
        is_lost = not sent.status and sent.entry not in fleet.killed
        kind = servers.last_kind_by_id.get(request_id)
        if is_lost and kind in ANSWERING_KINDS:
            faults.append(f"{request_id} {sent.path} got no answer, {kind}")
        return faults

    def test_callers_before_hostile_servers_get_whole_and_true_answers(self) -> None:
        """Guards against wrong, lost and doubled work beside stops and odd items."""
        self._play(1)

    @pytest.mark.soak
    @pytest.mark.timeout(3600)
    def test_callers_before_hostile_servers_with_fresh_seeds(self) -> None:
        """Guards against the same in rarer orders of events."""
        play_seeds(self._play)
