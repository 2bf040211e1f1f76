"""transport: one attempt of a direct entry at a backend server."""

from dataclasses import dataclass

from lacewingcleat.caller_connection import CallerRequest
from lacewingcleat.clock import read_now
from lacewingcleat.connection_headers import HOP_BY_HOP
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.request_context import DirectCall
from lacewingcleat.direct_state import DirectState
from lacewingcleat.platform import request_headers as names
from lacewingcleat.resumable_events import ResumableEvents
from lacewingcleat.retries import Attempt, ResponseKind, SendProgress
from lacewingcleat.routing_config import RequestKind
from lacewingcleat.server_connection import (
    AnswerEvent,
    Broken,
    Finished,
    Head,
    Headers,
    Interrupted,
    Piece,
    ServerConnection,
    ServerPool,
    TimedOut,
)
from lacewingcleat.server_record import ServerRecord

# Longest wait for the first event of a stream that may be resumed elsewhere; callers
# leave after 2 s without an event.
FIRST_EVENT_SECONDS = 1.4
# A slow attempt that could not be moved is looked at again after this time.
RECONSIDER_SECONDS = 0.25
# Longest pause inside a stream that may be resumed elsewhere.
EVENT_GAP_SECONDS = 1.2
# Longest wait for the answer of an idempotent request, as a multiple of its objective,
# before another server is asked.
PATIENCE_OBJECTIVES = 3.0
MAX_ANSWER_BYTES = 16 << 20
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Hold a server's answer that arrived whole."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Say how an attempt ended.

    :param answer: the server's answer, none if it was passed on already or is missing.
    :param streamed: whether the whole stream was passed on to the caller.
    :param timed_out: whether the attempt ended because time ran out.
    """

    attempt: Attempt
    reason: str
    answer: WholeAnswer | None = None
    streamed: bool = False
    timed_out: bool = False
    server_failed: bool = False


class AttemptRunner:
    """Send requests to backend servers and read the answers."""

    def __init__(
        self,
        state: DirectState,
        pool: ServerPool,
        log: DecisionLog,
    ) -> None:
        self._log = log
        self._state = state
        self._pool = pool

    async def run(
        self,
        call: DirectCall,
        request: CallerRequest,
        record: ServerRecord,
        events: ResumableEvents,
    ) -> AttemptEnd:
        """Run one attempt."""
        loads = self._state.loads
        loads.begin_request(record.name)
        try:
            return await self._run(call, request, record, events)
        finally:
            loads.end_request(record.name)

    async def _run(
        self,
        call: DirectCall,
        request: CallerRequest,
        record: ServerRecord,
        events: ResumableEvents,
    ) -> AttemptEnd:
        route = call.granted.route
        # A kept connection may be closed by the server as the request goes out, which
        # leaves open whether it ran; what may run only once gets a new connection.
        connection = self._pool.take(record, read_now()) if route.retryable else None
        if connection is None:
            opened = await self._pool.connect(record)
            reached = not isinstance(opened, str)
            self._state.reach.record_attempt(record.name, reached, read_now())
            if isinstance(opened, str):
                return _unsent(record, f"connect: {opened}", failed=True)
            connection = opened
        if call.cancelled or request.gone:
            connection.abort()
            return _unsent(record, "caller gone")
        now = read_now()
        if not self._state.directory.accepts_requests(record.name, now):
            connection.abort()
            return _unsent(record, "server leaving")
        if now >= call.deadline:
            connection.abort()
            return _unsent(record, "deadline passed")
        request.on_gone = lambda: _cancel(call, connection)
        call.sends += 1
        headers = build_headers(call, request, record, events, now)
        connection.send(request.method, request.target, headers, request.body)
        if route.kind is RequestKind.STREAM:
            return await self._read_stream(call, request, record, connection, events)
        return await self._read_whole(call, record, connection)

    async def _read_whole(
        self,
        call: DirectCall,
        record: ServerRecord,
        connection: ServerConnection,
    ) -> AttemptEnd:
        route = call.granted.route
        until = call.deadline
        if route.retryable and call.sends < route.max_attempts:
            patience = route.target_latency_seconds * PATIENCE_OBJECTIVES
            until = min(until, read_now() + patience)
        head = await self._next(call, record, connection, until)
        if not isinstance(head, Head):
            return _no_answer(record, connection, head)
        self._note_load(record, head)
        return await self._read_body(call, record, connection, head, until)

    async def _next(
        self,
        call: DirectCall,
        record: ServerRecord,
        connection: ServerConnection,
        until: float,
    ) -> AnswerEvent:
        """Wait for the answer until the deadline while no other server could help.

        :param until: moment from which another server is asked if there is one.
        """
        while True:
            event = await connection.next_event(until - read_now())
            now = read_now()
            if not isinstance(event, TimedOut) or now >= call.deadline:
                return event
            if self._state.alternative_exists(call, record.name, now):
                return event
            until = min(call.deadline, now + RECONSIDER_SECONDS)

    async def _read_body(
        self,
        call: DirectCall,
        record: ServerRecord,
        connection: ServerConnection,
        head: Head,
        until: float,
    ) -> AttemptEnd:
        fault = find_fault(call, head)
        if fault:
            connection.abort()
            return _broken(record, fault)
        body: list[bytes] = []
        size = 0
        while True:
            event = await connection.next_event(until - read_now())
            match event:
                case Piece(data):
                    body.append(data)
                    size += len(data)
                    if size > MAX_ANSWER_BYTES:
                        connection.abort()
                        return _broken(record, "answer too large")
                case Finished():
                    break
                case _:
                    return _no_answer(record, connection, event)
        self._finish(record, connection, head)
        end = _classify(record, head, b"".join(body))
        if end.attempt.response is ResponseKind.NOT_RUN:
            self._note_refusal(record, head)
        return end

    def _note_refusal(self, record: ServerRecord, head: Head) -> None:
        """Learn from a refusal in spite of free slots that a group is closed."""
        now = read_now()
        load = names.parse_load(head.header(names.SERVER_LOAD))
        if load is not None:
            full = load.running + load.waiting >= load.slots
        else:
            full = self._state.loads.estimate(record.name, now) > record.slots
        if full or head.status != STATUS_UNAVAILABLE:
            return
        if self._state.groups.record_refusal(record.name, now):
            group = self._state.groups.find_group_name(record.name)
            self._log.belief("group refuses", now, group=group, server=record.name)

    def _note_load(self, record: ServerRecord, head: Head) -> None:
        load = names.parse_load(head.header(names.SERVER_LOAD))
        if load is not None:
            requests = load.running + load.waiting
            self._state.loads.record_report(record.name, requests, read_now())

    def _finish(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        head: Head,
    ) -> None:
        self._note_load(record, head)
        seconds = _keep_alive_seconds(head.header(b"keep-alive"))
        self._pool.give_back(record, connection, seconds, read_now())

    async def _read_stream(
        self,
        call: DirectCall,
        request: CallerRequest,
        record: ServerRecord,
        connection: ServerConnection,
        events: ResumableEvents,
    ) -> AttemptEnd:
        may_move = call.granted.route.resumable and (
            call.sends < call.granted.route.max_attempts
        )
        until = call.deadline
        if may_move:
            until = min(until, read_now() + FIRST_EVENT_SECONDS)
        head = await self._next(call, record, connection, until)
        if not isinstance(head, Head):
            return _no_answer(record, connection, head)
        if head.status != 200 or head.header(names.NOT_RUN) is not None:
            return await self._read_body(call, record, connection, head, call.deadline)
        fault = find_fault(call, head)
        if fault:
            connection.abort()
            return _broken(record, fault)
        self._note_load(record, head)
        self._state.groups.record_response_start(record.name)
        events.begin_attempt()
        last_event_at: float | None = None
        while True:
            event = await self._next(call, record, connection, until)
            match event:
                case Piece(data):
                    try:
                        whole = events.feed(data)
                    except ValueError as error:
                        connection.abort()
                        return _broken(record, str(error))
                    if not whole:
                        continue
                    _pass_on(request, head, events, whole)
                    now = read_now()
                    if call.first_event_at is None:
                        call.first_event_at = now
                    if last_event_at is not None:
                        gap = now - last_event_at
                        call.longest_gap = max(call.longest_gap, gap)
                        self._state.groups.record_event_interval(record.name, gap, now)
                    last_event_at = now
                    until = call.deadline
                    if may_move:
                        until = min(until, now + EVENT_GAP_SECONDS)
                case Finished():
                    if events.incomplete:
                        connection.abort()
                        return _broken(record, "stream ended inside an event")
                    break
                case _:
                    return _no_answer(record, connection, event)
        self._finish(record, connection, head)
        if not events.delivered:
            return _classify(record, head, b"")
        request.finish()
        attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.COMPLETE)
        return AttemptEnd(attempt, "streamed", streamed=True)


def build_headers(
    call: DirectCall,
    request: CallerRequest,
    record: ServerRecord,
    events: ResumableEvents,
    now: float,
) -> Headers:
    """Return the headers for the server."""
    resumed = events.delivered > 0
    left_out = names.OWN_HEADERS | HOP_BY_HOP
    headers = [
        (key, value)
        for key, value in request.headers
        if key not in left_out and not (resumed and key == names.LAST_EVENT_ID)
    ]
    left_ms = int((min(call.deadline, call.caller_deadline) - now) * 1000.0)
    headers.append((names.DEADLINE_MS, b"%d" % max(1, left_ms)))
    headers.append((names.EXPECTED_SERVER, record.name.encode()))
    if call.granted.account is not None:
        headers.append((names.ACCOUNT, call.granted.account.name.encode()))
    if resumed and events.last_id is not None:
        headers.append((names.LAST_EVENT_ID, b"%d" % events.last_id))
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    return headers


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a server's answer that are passed on."""
    return [(key, value) for key, value in headers if key not in HOP_BY_HOP]


def find_fault(call: DirectCall, head: Head) -> str:
    """Return why an answer is not the answer to this request, empty if it is."""
    request_id = head.header(names.REQUEST_ID)
    not_run = head.header(names.NOT_RUN) is not None
    if request_id is not None and request_id.decode("latin-1") != call.request_id:
        return "answer to another request"
    if head.status == names.STATUS_MISDIRECTED or not_run:
        return ""
    if request_id is None:
        return "answer without a request identifier"
    if head.status < 300 and head.header(names.SIGNATURE) is None:
        return "answer without a signature"
    if head.header(b"content-encoding") is not None:
        return "answer with a content encoding"
    return ""


def _pass_on(
    request: CallerRequest,
    head: Head,
    events: ResumableEvents,
    whole: bytes,
) -> None:
    count = whole.count(b"\n\n")
    if events.delivered == count:
        request.begin(head.status, answer_headers(head.headers), whole)
        return
    request.send(whole)


def _classify(record: ServerRecord, head: Head, body: bytes) -> AttemptEnd:
    not_run = head.header(names.NOT_RUN) is not None
    if not_run or head.status == names.STATUS_MISDIRECTED:
        wait = _seconds(head.header(names.RETRY_AFTER))
        attempt = Attempt(
            record.name, SendProgress.SOME, ResponseKind.NOT_RUN, "refused", wait
        )
        faulty = (head.header(names.FAULTY_SERVER) or b"").decode("latin-1")
        reason = f"refused {head.status} {faulty}".rstrip()
        return AttemptEnd(attempt, reason)
    answer = WholeAnswer(head.status, answer_headers(head.headers), body)
    if head.status >= 500:
        attempt = Attempt(
            record.name, SendProgress.SOME, ResponseKind.UNKNOWN, "server-error"
        )
        reason = f"status {head.status}"
        return AttemptEnd(attempt, reason, answer, server_failed=True)
    attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.COMPLETE)
    return AttemptEnd(attempt, f"status {head.status}", answer)


def _unsent(record: ServerRecord, reason: str, failed: bool = False) -> AttemptEnd:
    attempt = Attempt(record.name, SendProgress.NOTHING, ResponseKind.NOTHING)
    return AttemptEnd(attempt, reason, server_failed=failed)


def _broken(record: ServerRecord, reason: str) -> AttemptEnd:
    attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.BROKEN)
    return AttemptEnd(attempt, reason, server_failed=True)


def _no_answer(
    record: ServerRecord,
    connection: ServerConnection,
    event: object,
) -> AttemptEnd:
    connection.abort()
    attempt = Attempt(record.name, SendProgress.SOME, ResponseKind.NOTHING)
    match event:
        case TimedOut():
            return AttemptEnd(
                attempt, "no answer in time", timed_out=True, server_failed=True
            )
        case Broken(reason):
            return AttemptEnd(attempt, reason, server_failed=True)
        case Interrupted(reason):
            return AttemptEnd(attempt, reason)
        case _:
            return AttemptEnd(attempt, f"unexpected {type(event).__name__}")


def _cancel(call: DirectCall, connection: ServerConnection) -> None:
    call.cancelled = True
    connection.abort()
    connection.interrupt("caller gone")


def _seconds(value: bytes | None) -> float:
    try:
        return max(0.0, float(value)) if value else 0.0
    except ValueError:
        # A date or a malformed value: the caller's own delay applies.
        return 0.0


def _keep_alive_seconds(value: bytes | None) -> float | None:
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
