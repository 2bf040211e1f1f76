"""Streams without an end after a freeze of the entry, in which a worker has crashed.

Six model workers and the callers are stand-ins; the entry is real.
"""

import json
import signal
import socket
import sys
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

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
WORKERS = 6
SLOTS = 6
ROUNDS = 3
ROUND_SECONDS = 10.0
STREAMS_PER_ROUND = WORKERS * SLOTS
EVENT_SECONDS = 0.08
# Events of the answers of the worker that crashes, and of the others.
LONG_EVENTS, SHORT_EVENTS = 60, 4
TIMEOUT_SECONDS = 7.0
ANSWER_SLACK_SECONDS = 0.5
DEADLINE_MS = 8051
TARGET_LATENCY_MS = 1500
TARGET_GAP_MS = 120
# Callers leave after a gap of two seconds, four times the objective or eight times the
# pause, whichever is longest.
GAP_SECONDS = max(2.0, 4 * TARGET_LATENCY_MS / 1000, 8 * TARGET_GAP_MS / 1000)
# The entry is frozen and the worker crashes at these times of a round.
FROZEN_AT, FROZEN_SECONDS = 1.0, 1.6
CRASH_AT, BACK_AT = 1.8, 5.0
MIN_UNANSWERED = 8


class Worker:
    """Serve streams; the worker can crash and start again."""

    def __init__(self, number: int, record: Record) -> None:
        self._number = number
        self._record = record
        self._streams: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._run_number = 1
        self.is_down = False
        self.address = Listener(self._serve).address

    @property
    def name(self) -> str:
        """Return the identifier of the present run."""
        return f"i-{self._number}-{self._run_number}"

    def _serve(self, stream: socket.socket) -> None:
        if self.is_down:
            return
        with self._lock:
            self._streams.add(stream)
        try:
            while (request := read_request(stream)) is not None:
                self._answer(stream, request)
        finally:
            with self._lock:
                self._streams.discard(stream)

    def _answer(self, stream: socket.socket, request: Message) -> None:
        if request.target == "/report":
            group = {"name": f"g-{self._number}", "epoch": self._run_number}
            report = {
                "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "group": {**group, "rank": 0, "state": "open"},
                "size": 1,
                "pace": 1.0,
            }
            stream.sendall(encode_response(200, json.dumps(report).encode()))
            return
        if request.headers.get("x-expect-instance") != self.name:
            stream.sendall(encode_response(421, b"", f"X-Instance-Id: {self.name}"))
            return
        request_id = request.headers["x-request-id"]
        last = int(request.headers.get("last-event-id", "0"))
        self._record.write(f"worker {self.name} runs {request_id} from {last + 1}")
        head = encode_stream_head(request)
        # Idle connections are closed after a second.
        head = head.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
        stream.sendall(head)
        count = LONG_EVENTS if self._number == 0 else SHORT_EVENTS
        for number in range(last + 1, count + 1):
            time.sleep(EVENT_SECONDS)
            stream.sendall(encode_chunk(encode_event(number)))
        stream.sendall(b"0\r\n\r\n")

    def crash(self) -> None:
        """Close all connections, like the kernel after a crash of the process."""
        self._record.write(f"worker {self.name} crashes")
        self.is_down = True
        with self._lock:
            for stream in self._streams:
                with suppress(OSError):
                    stream.shutdown(socket.SHUT_RDWR)

    def start_again(self) -> None:
        """Start a new run, with a new identifier."""
        self._run_number += 1
        self.is_down = False
        self._record.write(f"worker {self.name} starts")


@dataclass
class Outcome:
    """Represent what a caller has seen of its request."""

    sent_at: float
    ended_at: float | None = None
    how: str = "none"


class Callers:
    """Send streams and note when each has its final answer."""

    def __init__(self, entry: Entry, record: Record) -> None:
        self._entry = entry
        self._record = record
        self.outcomes: list[Outcome] = []

    def start(self, request_id: str) -> None:
        """Send one stream on a connection of its own."""
        threading.Thread(target=self._call, args=(request_id,), daemon=True).start()

    def _call(self, request_id: str) -> None:
        stream = self._entry.connect()
        outcome = Outcome(time.monotonic())
        self.outcomes.append(outcome)
        stream.sendall(encode_call("POST", "/draft/1", request_id, DEADLINE_MS, b"x"))
        stream.settimeout(GAP_SECONDS)
        try:
            outcome.how = self._read(stream)
            outcome.ended_at = time.monotonic()
        except TimeoutError:
            outcome.how = f"no event for {GAP_SECONDS:.1f} s, the caller leaves"
        seconds = time.monotonic() - outcome.sent_at
        self._record.write(f"{request_id} after {seconds:.3f} s: {outcome.how}")
        stream.close()

    def _read(self, stream: socket.socket) -> str:
        try:
            found = read_head(stream)
            if found is None:
                return "closed"
            message, data = found
            if message.status != 200:
                return f"status {message.status}"
            while not data.endswith(b"0\r\n\r\n"):
                more = stream.recv(65_536)
                if not more:
                    return "cut"
                data += more
        except ConnectionError:
            return "reset"
        return "whole stream"


def play_round(
    number: int, entry: Entry, worker: Worker, store: Store, callers: Callers
) -> None:
    """Play one crash of a worker while the entry is frozen."""
    began = time.monotonic()

    def wait_until(seconds: float) -> None:
        time.sleep(max(0.0, began + seconds - time.monotonic()))

    for index in range(STREAMS_PER_ROUND):
        callers.start(f"r{number}-{index}")
        time.sleep(0.005)
    if has_trouble() and entry.process is not None:
        wait_until(FROZEN_AT)
        entry.process.send_signal(signal.SIGSTOP)
        crashed = worker.name
        wait_until(CRASH_AT)
        worker.crash()
        wait_until(FROZEN_AT + FROZEN_SECONDS)
        entry.process.send_signal(signal.SIGCONT)
        wait_until(BACK_AT)
        store.remove(f"servers/{crashed}")
        worker.start_again()
        item = make_record(SERVICE, worker.address, SLOTS)
        store.put(f"servers/{worker.name}", item)
    wait_until(ROUND_SECONDS)


def count_unanswered(outcomes: list[Outcome]) -> tuple[int, int]:
    """Return the requests without a final answer at the timeout, and 0.5 s later."""
    late = [
        outcome
        for outcome in outcomes
        if outcome.ended_at is None
        or outcome.ended_at - outcome.sent_at > TIMEOUT_SECONDS
    ]
    limit = TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS
    unanswered = [
        outcome
        for outcome in late
        if outcome.ended_at is None or outcome.ended_at - outcome.sent_at > limit
    ]
    return len(late), len(unanswered)


def play_case(record: Record) -> bool:
    """Play the case; return whether the requests had their final answers in time."""
    store = Store()
    route = make_route(
        "draft",
        "streaming",
        SERVICE,
        resumable=True,
        target_gap_ms=TARGET_GAP_MS,
        target_latency_ms=TARGET_LATENCY_MS,
        timeout_ms=int(TIMEOUT_SECONDS * 1000),
    )
    engine = {"slots": SLOTS, "kv_cache_tokens": 186_000}
    service = {"name": SERVICE, "max_connections": 418, "engine": engine}
    store.put("op/config", make_config([route], [service]))
    workers = [Worker(number, record) for number in range(WORKERS)]
    for worker in workers:
        item = make_record(SERVICE, worker.address, SLOTS)
        store.put(f"servers/{worker.name}", item)
    entry = Entry(store, record)
    try:
        entry.start()
        time.sleep(1.0)
        callers = Callers(entry, record)
        for number in range(ROUNDS):
            play_round(number, entry, workers[0], store, callers)
        late, unanswered = count_unanswered(callers.outcomes)
        served = sum(outcome.how == "whole stream" for outcome in callers.outcomes)
        record.write(
            f"{len(callers.outcomes)} streams, {served} whole; {late} without a final "
            f"answer after {TIMEOUT_SECONDS} s, {unanswered} of them also "
            f"{ANSWER_SLACK_SECONDS} s later"
        )
        if served == 0:
            raise NotRunError("no stream was served")
        return unanswered < MIN_UNANSWERED or unanswered <= late / 2
    finally:
        if "--log" in sys.argv:
            sys.stderr.write(entry.read_log())
        entry.close()


if __name__ == "__main__":
    sys.exit(run_case(play_case, FOLDER))
