"""A late order of a killed leader, and the rollback of the next leader's switch.

A group of eight ranks and the callers of its streams are stand-ins; the entry is real.
"""

import json
import queue
import socket
import sys
import threading
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import (  # noqa: E402
    Entry,
    Listener,
    Message,
    NotRunError,
    Record,
    Store,
    encode_call,
    encode_chunk,
    encode_event,
    encode_response,
    encode_signed,
    encode_stream_head,
    has_trouble,
    make_config,
    make_record,
    make_route,
    read_head,
    read_request,
    run_case,
)

SERVICE = "layout-llm"
RANKS, SETS, EXPERTS, PLACEMENTS, SPARE = 8, 6, 64, 11, 4
SLOTS = 6
# Five steps of 4.55 ms and more, as in the sheet of the fastest deployment.
PASS_SECONDS = 0.025
REPORT_LAG_SECONDS = 0.2
EPOCH = 1
# Of the selections of a pass, those of the experts in demand and of each other one.
HOT_SELECTIONS, OTHER_SELECTIONS = 60, 1
# Late orders are carried out 2 to 12 s after they were sent.
MIN_LATE_SECONDS, MAX_LATE_SECONDS = 2.0, 12.0
# Time of the case without the disruption.
CALM_SECONDS = 25.0
MAX_SECONDS = 90.0
MAX_ATTEMPTS = 8
# Passes that the hold of the first leader is ahead at least; a shorter one is answered.
MIN_LEAD_PASSES = 12
# Time between two callers, after the restart and otherwise.
FEW_SECONDS, MANY_SECONDS = 0.4, 0.1
RESTART_SECONDS = 0.4
# The platform asks for the readiness once a second before callers come again.
INGRESS_SECONDS = 0.8


@dataclass
class Rank:
    """Represent what one rank knows of its maps."""

    mapping: int = 0
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    versions: set[int] = field(default_factory=lambda: {0})
    map_by_version: dict[int, list[list[int]]] = field(default_factory=dict)


@dataclass(eq=False)
class Stream:
    """Represent a running stream, which gets an event from each pass."""

    remaining: int
    connection: socket.socket
    events: "queue.Queue[bool]" = field(default_factory=queue.Queue)

    def is_open(self) -> bool:
        """Return whether the connection of the request is open."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self.connection.recv(1, flags) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False


class Group:
    """Run the passes of a group, and carry out the orders to its ranks."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.lock = threading.RLock()
        self.ranks = [Rank() for _ in range(RANKS)]
        for number, rank in enumerate(self.ranks):
            first = [[e for e in range(EXPERTS) if e % RANKS == number]] * SETS
            rank.map_by_version[0] = first
        self.step = 0
        # Experts in demand are those that map 0 puts on this rank.
        self.hot_rank = 0
        self._counts = [0] * EXPERTS
        self.streams: list[Stream] = []
        self.mixed: list[str] = []
        self._history: deque[tuple[float, int, list[dict[str, object]]]] = deque()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            begun = self._begin_pass()
            time.sleep(PASS_SECONDS if begun else 0.002)
            if begun:
                with self.lock:
                    for stream in self.streams:
                        stream.events.put(True)
                        stream.remaining -= 1
                    self.streams = [s for s in self.streams if s.remaining > 0]

    def _begin_pass(self) -> bool:
        with self.lock:
            self._remember()
            self.streams = [s for s in self.streams if s.is_open()]
            if not self.streams:
                return False
            step = self.step + 1
            if any(rank.held == step for rank in self.ranks):
                return False
            self.step = step
            for expert in range(EXPERTS):
                is_hot = expert % RANKS == self.hot_rank and expert < 4 * RANKS
                self._counts[expert] += HOT_SELECTIONS if is_hot else OTHER_SELECTIONS
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] == step:
                    rank.mapping = rank.armed[0]
                    rank.prepared = rank.armed = None
            maps = [rank.mapping for rank in self.ranks]
            if len(set(maps)) > 1 and not self.mixed:
                self.mixed.append(f"pass {step} begins with the maps {maps}")
                self._record.write(f"MAP: {self.mixed[0]}")
            return True

    def _remember(self) -> None:
        now = time.monotonic()
        states = [
            {
                "mapping": rank.mapping,
                "prepared": rank.prepared,
                "armed": rank.armed[0] if rank.armed else None,
                "held": rank.held,
            }
            for rank in self.ranks
        ]
        self._history.append((now, self.step, states))
        while self._history[0][0] < now - 2 * REPORT_LAG_SECONDS:
            self._history.popleft()

    def report(self, number: int) -> dict[str, object]:
        """Return the report of a rank, as of some hundred milliseconds ago."""
        with self.lock:
            at = time.monotonic() - REPORT_LAG_SECONDS
            old = [entry for entry in self._history if entry[0] <= at]
            _, step, states = old[-1] if old else self._history[0]
            return {
                "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "group": {"name": "g", "epoch": EPOCH, "rank": number, "state": "open"},
                "size": RANKS,
                "pace": 1.0,
                "step": step,
                **states[number],
            }

    def picked(self, number: int, lists: bool) -> dict[str, object]:
        """Return the counts of a rank, or the experts of its map."""
        with self.lock:
            rank = self.ranks[number]
            body: dict[str, object] = {"step": self.step, "epoch": EPOCH}
            if lists:
                experts = rank.map_by_version[rank.mapping]
                body["mapping"] = {"version": rank.mapping, "experts": experts}
                return body
            return {**body, "counts": self._counts * SETS}

    def carry_out(self, number: int, order: dict[str, object]) -> int:
        """Carry out an order at a rank as the protocol says; return the status."""
        with self.lock:
            status = self._apply(self.ranks[number], number, order)
            if status == 202:
                self._remember()
            return status

    def _apply(self, rank: Rank, number: int, order: dict[str, object]) -> int:
        if order.get("epoch", EPOCH) != EPOCH:
            return 409
        version, step = (
            int(str(order.get("version", 0))),
            int(str(order.get("step", 0))),
        )
        match order["operation"]:
            case "prepare":
                if version <= max(rank.versions) or rank.armed is not None:
                    return 409
                rank.versions.add(version)
                rank.prepared = version
                mapping: Any = order["mapping"]
                rank.map_by_version[version] = [ranks[number] for ranks in mapping]
                return 202
            case "arm":
                if rank.armed == (version, step):
                    return 200
                if rank.prepared != version or rank.armed or step <= self.step:
                    return 409
                rank.armed = (version, step)
                return 202
            case "disarm":
                if rank.mapping == version:
                    return 409
                if rank.armed is None or rank.armed[0] != version:
                    return 200
                rank.armed = None
                return 202
            case "hold":
                if rank.held == step:
                    return 200
                if step <= self.step or rank.held is not None:
                    return 409
                rank.held = step
                return 202
            case "go":
                if rank.held != step:
                    return 409
                rank.held = None
                return 202
        return 400


class Play:
    """Decide which orders are late, when the entry is killed and when callers come."""

    def __init__(self, record: Record, group: Group, kill: "threading.Event") -> None:
        self._record = record
        self._group = group
        self._kill = kill
        self.callers_come = threading.Event()
        self.callers_come.set()
        self.are_callers_few = False
        self.next_caller = threading.Event()
        self.is_second_leader = False
        self._late_hold: tuple[int, int, dict[str, object], float] | None = None
        self._late_rank: int | None = None
        self._second_hold: int | None = None
        self.order_count = self.late_count = 0
        self.has_failed = threading.Event()

    def begin_attempt(self) -> None:
        """Let many callers come, and wait for the next switch."""
        with self._group.lock:
            self._late_hold = self._late_rank = self._second_hold = None
            self.is_second_leader = self.are_callers_few = False
            self._group.hot_rank = (self._group.hot_rank + 1) % RANKS
            self._kill.clear()
            self.has_failed.clear()
            self.callers_come.set()

    def receive(self, number: int, order: dict[str, object]) -> int | None:
        """Carry out an order now or late; return its status, none for no answer."""
        with self._group.lock:
            self.order_count += 1
            if has_trouble() and self._is_late(number, order):
                self.late_count += 1
                self._note(number, order, "no answer, carried out late")
                return None
            status = self._group.carry_out(number, order)
            self._note(number, order, str(status))
            self._follow(number, order, status)
            return status

    def _note(self, number: int, order: dict[str, object], outcome: str) -> None:
        shown = {k: v for k, v in order.items() if k not in ("mapping", "epoch")}
        self._record.write(
            f"order to rank {number}, last pass {self._group.step}: {shown}: {outcome}"
        )

    def _is_late(self, number: int, order: dict[str, object]) -> bool:
        step = int(str(order.get("step", 0)))
        is_far = step - self._group.step >= MIN_LEAD_PASSES
        if order["operation"] == "hold" and self._late_hold is None and is_far:
            # The switch of the first leader, which is killed now.
            self._late_hold = number, step, order, time.monotonic()
            self._kill.set()
            return True
        if order["operation"] == "disarm" and number == self._late_rank:
            later = threading.Timer(
                MIN_LATE_SECONDS, self._carry_out_late, (number, order)
            )
            later.daemon = True
            later.start()
            return True
        return False

    def _follow(self, number: int, order: dict[str, object], status: int) -> None:
        if not has_trouble() or status >= 400:
            return
        if not self.is_second_leader:
            if order["operation"] == "go" and number == 0:
                # Other experts are in demand, so that the map changes again.
                self._group.hot_rank = (self._group.hot_rank + 1) % RANKS
            return
        step = int(str(order.get("step", 0)))
        match order["operation"]:
            case "hold" if number:
                # A rollback holds the pass at another rank. Callers come again, and one
                # rank leaves its next orders unanswered.
                self._late_rank = 1 + number % (RANKS - 1)
                self.are_callers_few = False
                self.callers_come.set()
            case "prepare" if number == 0 and self._second_hold is None:
                # A group without work would not be switched.
                self.next_caller.set()
            case "hold" if number == 0:
                self._second_hold = step
                if self._late_hold and step >= self._late_hold[1]:
                    self._record.write("the second switch came later than the first")
                    self.has_failed.set()
            case "go" if number == 0 and step == self._second_hold:
                self.callers_come.clear()
                self._record.write("callers pause")
                self._schedule_hold()

    def _schedule_hold(self) -> None:
        if self._late_hold is None or self.has_failed.is_set():
            return
        number, _, order, sent_at = self._late_hold
        late = max(MIN_LATE_SECONDS, time.monotonic() - sent_at + 0.05)
        if late > MAX_LATE_SECONDS:
            self._record.write("the late order would come too late")
            return
        wait = sent_at + late - time.monotonic()
        threading.Timer(wait, self._carry_out_late, (number, order)).start()

    def _carry_out_late(self, number: int, order: dict[str, object]) -> None:
        with self._group.lock:
            status = self._group.carry_out(number, order)
            self._note(number, order, f"{status}, late")


def serve_rank(number: int, name: str, group: Group, play: Play, record: Record):
    """Return the handler of the connections to a rank."""

    def stream_events(stream: socket.socket, request: Message) -> None:
        request_id = request.headers["x-request-id"]
        count = int(request.target.rpartition("/")[2])
        running = Stream(count, stream)
        record.write(f"rank {number} runs {request_id}")
        stream.sendall(encode_stream_head(request))
        with group.lock:
            group.streams.append(running)
        try:
            for event_number in range(1, count + 1):
                running.events.get(timeout=MAX_SECONDS)
                stream.sendall(encode_chunk(encode_event(event_number)))
        except queue.Empty:
            return
        finally:
            with group.lock:
                if running in group.streams:
                    group.streams.remove(running)
        stream.sendall(b"0\r\n\r\n")

    def serve(stream: socket.socket) -> None:
        while (request := read_request(stream)) is not None:
            match request.target:
                case "/report":
                    body = json.dumps(group.report(number)).encode()
                    stream.sendall(encode_response(200, body))
                case "/picked" | "/picked?lists=1":
                    lists = request.target != "/picked"
                    body = json.dumps(group.picked(number, lists)).encode()
                    stream.sendall(encode_response(200, body))
                case "/order":
                    status = play.receive(number, json.loads(request.body))
                    if status is None:
                        stream.recv(1)
                        return
                    stream.sendall(encode_response(status, b"{}"))
                case _ if request.headers.get("x-expect-instance") != name:
                    answer = encode_response(421, b"", "X-Instance-Id: " + name)
                    stream.sendall(answer)
                case _ if request.method == "GET":
                    stream.sendall(encode_signed(request, 200, b"ok"))
                case _:
                    stream_events(stream, request)

    return serve


class Callers:
    """Send streams to the entry while callers come."""

    def __init__(self, entry: Entry, play: Play, record: Record) -> None:
        self._entry = entry
        self._play = play
        self._record = record
        self._count = self._few_count = 0
        self.served = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            self._play.callers_come.wait()
            few = self._play.are_callers_few
            self._few_count = self._few_count + 1 if few else 0
            self._count += 1
            # Few callers ask for short answers, the others for the usual ones. Without
            # an interval between two events the entry would not look at the group.
            events = (2 if self._few_count == 1 else 1) if few else 28
            call = (f"r{self._count}", events)
            threading.Thread(target=self._call, args=call, daemon=True).start()
            self._play.next_caller.wait(FEW_SECONDS if few else MANY_SECONDS)
            self._play.next_caller.clear()

    def _call(self, request_id: str, events: int) -> None:
        with suppress(OSError):
            with self._entry.connect() as stream:
                stream.settimeout(8.0)
                target = f"/draft/{events}"
                stream.sendall(encode_call("POST", target, request_id, 8000, b"x"))
                found = read_head(stream)
                if found is None:
                    return
                self._record.write(f"{request_id} answered {found[0].status}")
                data = found[1]
                while not data.endswith(b"0\r\n\r\n"):
                    more = stream.recv(65_536)
                    if not more:
                        self._record.write(f"{request_id} cut")
                        return
                    data += more
                self.served += 1


def play_case(record: Record) -> bool:
    """Play the case; return whether no pass began with two maps."""
    store = Store()
    route = make_route("draft", "streaming", SERVICE, resumable=True, target_gap_ms=30)
    engine = {
        "slots": SLOTS,
        "kv_cache_tokens": 186_000,
        "sets": SETS,
        "experts": EXPERTS,
        "placements": PLACEMENTS,
        "spare": SPARE,
        "expert_mb": 580.0,
        "link_mbps": 92_000.0,
    }
    service = {"name": SERVICE, "max_connections": 418, "engine": engine}
    store.put("op/config", make_config([route], [service]))
    group = Group(record)
    kill = threading.Event()
    play = Play(record, group, kill)
    for number in range(RANKS):
        name = f"i-{number}"
        listener = Listener(serve_rank(number, name, group, play, record))
        store.put(f"servers/{name}", make_record(SERVICE, listener.address, SLOTS))
    entry = Entry(store, record)
    try:
        entry.start()
        callers = Callers(entry, play, record)
        ends_at = time.monotonic() + (MAX_SECONDS if has_trouble() else CALM_SECONDS)
        for _ in range(MAX_ATTEMPTS if has_trouble() else 0):
            play.begin_attempt()
            if not kill.wait(ends_at - time.monotonic()):
                break
            entry.kill()
            play.are_callers_few = True
            play.callers_come.clear()
            time.sleep(RESTART_SECONDS)
            play.is_second_leader = True
            entry.start()
            time.sleep(INGRESS_SECONDS)
            play.callers_come.set()
            while not (play.has_failed.is_set() or group.mixed):
                if time.monotonic() > ends_at:
                    break
                time.sleep(0.05)
            if group.mixed:
                break
        while not has_trouble() and time.monotonic() < ends_at:
            time.sleep(0.1)
        record.write(
            f"{play.order_count} orders, {play.late_count} of them late; "
            f"{callers.served} streams served; last pass {group.step}"
        )
        if callers.served == 0:
            raise NotRunError("no stream was served")
        return not group.mixed
    finally:
        if "--log" in sys.argv:
            sys.stderr.write(entry.read_log())
        entry.close()


if __name__ == "__main__":
    sys.exit(run_case(play_case, FOLDER))
