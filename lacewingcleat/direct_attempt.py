"""transport: one attempt of a direct entry at a backend server."""

import re
import traceback
from collections import Counter
from collections.abc import Callable, Collection

from lacewingcleat.attempt_race import AttemptRace
from lacewingcleat.attempt_result import (
    AttemptResult,
    broken_result,
    classify_response,
    internal_error_result,
    is_answer_lost,
    no_response_result,
    response_headers,
    unsent_result,
)
from lacewingcleat.caller_connection import CallerRequest
from lacewingcleat.clock import read_now
from lacewingcleat.connection_headers import HOP_BY_HOP_HEADERS
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_state import DirectState
from lacewingcleat.platform import request_headers as names
from lacewingcleat.request_context import OpenAttempt, RequestContext
from lacewingcleat.response_buffers import ResponseBuffers
from lacewingcleat.resumable_events import ResumableEvents
from lacewingcleat.retries import Attempt, ResponseKind, SendProgress
from lacewingcleat.routing_config import RequestKind
from lacewingcleat.server_connection import (
    CONNECTION_REFUSED,
    BodyChunk,
    Headers,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ServerConnection,
    ServerConnectionPool,
    TimedOut,
)
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.server_restrictions import RestrictionReason
from lacewingcleat.server_signals import STATUS_UNAVAILABLE, ServerSignals

# Silence before the first event after which a stream that may be resumed is also sent
# to another server; callers disconnect after 2 s without an event.
FIRST_EVENT_TIMEOUT_SECONDS = 1.4
# Interval at which a silent attempt is reported again while no other server is free.
RECHECK_INTERVAL_SECONDS = 0.25
# The same between two events.
NEXT_EVENT_TIMEOUT_SECONDS = 1.2
# Silence after which an idempotent request is also sent to another server, as a
# multiple of the latency objective of its route.
RETRY_TIMEOUT_FACTOR = 3.0
# A server that has written a stream for this long has survived its start.
ANSWER_START_SECONDS = 0.5
MAX_ERROR_LENGTH = 200
# Requests that may still reach a server that pauses, of those that are being written.
MAX_WRITES_IN_PAUSE = 2
# Restrictions that also end requests of which the server has got a part only.
WITHDRAWING_REASONS = (RestrictionReason.PAUSED, RestrictionReason.EVACUATED)
# Why an attempt ends when another one answers the caller.
SUPERSEDED = "superseded"
_SECONDS = re.compile(rb"[0-9]{1,6}")
# Beginning of each response on a connection.
HTTP_VERSION_PREFIX = b"HTTP/1."


class AttemptRunner:
    """Send requests to backend servers and read the responses.

    :param on_begin: called when a server has been chosen for an attempt.
    :param on_evidence: called with the identifiers of the crashes of which something
        new has been recorded.
    :param on_limit: called with the incarnation of a server that has named another
        limit.
    """

    def __init__(
        self,
        state: DirectState,
        pool: ServerConnectionPool,
        log: DecisionLog,
        on_begin: Callable[[], None],
        on_evidence: Callable[[Collection[str]], None],
        on_limit: Callable[[str], None],
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self._on_begin = on_begin
        self._on_evidence = on_evidence
        self._on_limit = on_limit
        self._connection_by_attempt: dict[OpenAttempt, ServerConnection] = {}
        self._context_by_attempt: dict[OpenAttempt, RequestContext] = {}
        self._log = log
        self._state = state
        self._pool = pool
        self._buffers = buffers or ResponseBuffers()
        self._signals = ServerSignals(state, log)

    async def run(
        self,
        context: RequestContext,
        request: CallerRequest,
        attempt: OpenAttempt,
        events: ResumableEvents,
        race: AttemptRace,
    ) -> AttemptResult:
        """Run one attempt at a server and count it in the load of the server.

        :param events: position in the stream, for the events of this attempt.
        :param race: all attempts of the request.
        """
        loads, admission = self._state.loads, self._state.admission
        loads.begin_request(attempt.record.name)
        admission.record_begin(attempt.record.service, read_now())
        self._on_begin()
        has_run = False
        try:
            result = await self._run_attempt(context, request, attempt, events, race)
            has_run = result.attempt.response is not ResponseKind.NOT_RUN
        finally:
            loads.end_request(attempt.record.name)
            admission.record_end(attempt.record.service, has_run, read_now())
        if attempt.sent_at is None or context.cancelled or attempt.superseded:
            return result
        if is_answer_lost(result):
            self._state.record_lost_answer(attempt.record, read_now())
        if is_answer_lost(result) and not attempt.survived_start:
            await self._examine_loss(context, attempt.record, result)
        return result

    def cancel(self, attempt: OpenAttempt, reason: str) -> None:
        """Cancel an attempt, which ends its work at the server."""
        connection = self._connection_by_attempt.get(attempt)
        if connection is not None:
            connection.abort()
            connection.cancel_wait(reason)

    def end_overdue(self, now: float) -> None:
        """End the attempts whose requests are past their deadline.

        Timers do not count the time for which the machine was suspended.
        """
        for attempt, connection in list(self._connection_by_attempt.items()):
            if now >= self._context_by_attempt[attempt].deadline:
                connection.end_wait()

    def withdraw_refused(self) -> None:
        """Cancel attempts whose requests have turned out to crash servers."""
        evidence = self._state.crash_evidence
        for attempt, context in list(self._context_by_attempt.items()):
            if not attempt.survived_start and evidence.find_refused(context.suspects):
                self.cancel(attempt, "crash suspect")

    def withdraw_restricted(self, now: float) -> None:
        """Cancel requests that are being written to servers that get none any more.

        A few that cannot be sent again are written to a server that pauses.
        """
        kept_by_run: Counter[str] = Counter()
        for attempt, connection in list(self._connection_by_attempt.items()):
            if not connection.is_writing:
                continue
            restriction = self._state.find_restriction(attempt.record, now)
            if restriction is None or restriction.reason not in WITHDRAWING_REASONS:
                continue
            run = attempt.record.incarnation
            route = self._context_by_attempt[attempt].granted.route
            if not route.retryable and (
                restriction.reason is RestrictionReason.EVACUATED
                or kept_by_run[run] < MAX_WRITES_IN_PAUSE
            ):
                kept_by_run[run] += 1
                continue
            self.cancel(attempt, f"server {restriction.reason}")

    async def _examine_loss(
        self, context: RequestContext, record: ServerRecord, result: AttemptResult
    ) -> None:
        """Record a crash if the server has exited at the start of its answer.

        The port of a process that has exited refuses connections at once. The exit of a
        server that has announced to leave is no crash.
        """
        connection = await self._pool.connect(record)
        now = read_now()
        if isinstance(connection, ServerConnection):
            self._pool.add_idle(record, connection, None, now)
        has_exited = connection == CONNECTION_REFUSED
        has_crashed = (
            has_exited
            and self._state.directory.accepts_requests(record.name, now)
            and not self._state.restrictions.is_leaving(record)
        )
        evidence = self._state.crash_evidence
        if has_crashed:
            context.may_crash_servers = not evidence.may_send_again(
                context.shared_segments, now
            )
            crash_id = record.incarnation
            if evidence.record_crash(crash_id, context.suspects, now):
                self._on_evidence((crash_id,))
        self._log.request(
            "answer lost",
            now,
            request=context.request_id,
            server=record.name,
            started_ms=record.started_ms,
            exited=has_exited,
            crashed=has_crashed,
            may_send_again=not context.may_crash_servers,
            segments=list(context.shared_segments),
            reason=result.reason,
        )

    def _record_survival(
        self, context: RequestContext, attempt: OpenAttempt, now: float
    ) -> None:
        """Record that the server has survived the start of its answer."""
        if attempt.survived_start:
            return
        attempt.survived_start = True
        evidence = self._state.crash_evidence
        cleared = evidence.record_answered(context.shared_segments, now)
        if evidence.is_suspect(context.fingerprint):
            cleared |= evidence.record_answered((context.fingerprint,), now)
        if cleared:
            self._on_evidence(set().union(*cleared.values()))
            self._log.request(
                "crash suspect cleared",
                now,
                request=context.request_id,
                suspects=list(cleared),
            )

    async def _run_attempt(
        self,
        context: RequestContext,
        request: CallerRequest,
        attempt: OpenAttempt,
        events: ResumableEvents,
        race: AttemptRace,
    ) -> AttemptResult:
        record = attempt.record
        connection = await self._open_connection(context, record)
        if isinstance(connection, str):
            return unsent_result(record, f"connect: {connection}", server_failed=True)
        now = read_now()
        reason = self._find_obstacle(context, request, attempt, now)
        if reason:
            connection.abort()
            return unsent_result(record, reason)
        context.send_count += 1
        attempt.sent_at = now
        sends_priority = self._state.admission.is_active(record.service)
        headers = make_request_headers(
            context, request, record, events, now, sends_priority
        )
        self._connection_by_attempt[attempt] = connection
        self._context_by_attempt[attempt] = context
        try:
            connection.send(request.method, request.target, headers, request.body)
            if context.granted.route.kind is RequestKind.STREAM:
                return await self._read_stream(
                    context, request, attempt, connection, events, race
                )
            return await self._read_response(context, attempt, connection, race)
        except Exception as error:
            # A fault of this program. The server goes on sending until it is cut off.
            self._log.failure(
                "attempt failed",
                request=context.request_id,
                server=record.name,
                error=repr(error)[:MAX_ERROR_LENGTH],
                traceback=traceback.format_exc(),
            )
            connection.abort()
            return internal_error_result(record)
        finally:
            self._count_partial_event(attempt, 0)
            del self._connection_by_attempt[attempt]
            del self._context_by_attempt[attempt]

    async def _open_connection(
        self, context: RequestContext, record: ServerRecord
    ) -> ServerConnection | str:
        """Return a connection for a request, or why connecting failed.

        The server may close an idle connection while the request is being sent, which
        leaves unknown whether the request ran. Requests that must not run twice
        therefore use a new connection.
        """
        if context.granted.route.retryable:
            idle = self._pool.take_idle(record, read_now())
            if idle is not None:
                return idle
        opened = await self._pool.connect(record)
        connected = not isinstance(opened, str)
        now = read_now()
        if self._state.record_connection(record, connected, now):
            seconds = self._state.cold_servers.warm_at(record.name, now) - now
            self._log.belief(
                "server cold",
                now,
                server=record.name,
                seconds=round(seconds, 3),
                source="reached again",
            )
        return opened

    def _find_obstacle(
        self,
        context: RequestContext,
        request: CallerRequest,
        attempt: OpenAttempt,
        now: float,
    ) -> str:
        """Return why a request must not be written now, empty if it may be."""
        if context.cancelled or request.caller_disconnected:
            return "caller gone"
        if attempt.superseded:
            return SUPERSEDED
        if not self._state.directory.accepts_requests(attempt.record.name, now):
            return "server leaving"
        restriction = self._state.find_restriction(attempt.record, now)
        if restriction is not None:
            return f"server {restriction.reason}"
        if now >= context.deadline:
            return "deadline passed"
        if self._state.crash_evidence.find_refused(context.suspects):
            return "crash suspect"
        return ""

    async def _read_response(
        self,
        context: RequestContext,
        attempt: OpenAttempt,
        connection: ServerConnection,
        race: AttemptRace,
    ) -> AttemptResult:
        route = context.granted.route
        silent_at = context.deadline
        if route.retryable and context.send_count < route.max_attempts:
            retry_timeout = route.target_latency_seconds * RETRY_TIMEOUT_FACTOR
            silent_at = min(silent_at, read_now() + retry_timeout)
        reader = _EventReader(context, attempt, connection, race)
        head = await reader.next_event(silent_at)
        if not isinstance(head, ResponseHead):
            return no_response_result(attempt.record, connection, head)
        self._record_signals(context, attempt, head, connection)
        self._record_load(attempt.record, head)
        return await self._read_body(context, attempt, connection, head, reader)

    async def _read_body(
        self,
        context: RequestContext,
        attempt: OpenAttempt,
        connection: ServerConnection,
        head: ResponseHead,
        reader: "_EventReader",
    ) -> AttemptResult:
        record = attempt.record
        fault = find_response_fault(context, head, connection.request_count)
        if fault:
            connection.abort()
            return broken_result(record, fault)
        self._record_limit(attempt, head)
        body = bytearray()
        try:
            while True:
                event = await reader.next_event()
                match event:
                    case BodyChunk(data):
                        if not self._buffers.reserve(len(body), len(data)):
                            connection.abort()
                            return broken_result(record, "answer too large")
                        body += data
                    case ResponseComplete():
                        break
                    case _:
                        return no_response_result(record, connection, event)
        finally:
            self._buffers.release(len(body))
        if contains_other_response(connection, body):
            connection.abort()
            return broken_result(record, "answer inside an answer")
        self._release_connection(record, connection, head)
        result = classify_response(record, head, bytes(body))
        if result.attempt.response is ResponseKind.NOT_RUN:
            self._record_refusal(record, head)
        else:
            self._record_survival(context, attempt, read_now())
        return result

    def _record_refusal(self, record: ServerRecord, head: ResponseHead) -> None:
        """Record a group as closed if a rank with free slots refuses a request.

        A rank that leaves or asks for a pause does not speak for its group.
        """
        now = read_now()
        faulty = head.header(names.FAULTY_SERVER)
        names_other = faulty is not None and faulty != record.name.encode()
        if not names_other and self._state.restrictions.is_restricted_run(record, now):
            return
        load = names.parse_server_load(head.header(names.SERVER_LOAD))
        if load is not None:
            is_full = load.running + load.waiting >= load.slots
        else:
            is_full = self._state.loads.estimate(record.name, now) > record.slots
        if is_full or head.status != STATUS_UNAVAILABLE:
            return
        if self._state.groups.record_refusal(record.name, now):
            group = self._state.groups.find_group_name(record.name)
            self._log.belief("group refuses", now, group=group, server=record.name)

    def _record_signals(
        self,
        context: RequestContext,
        attempt: OpenAttempt,
        head: ResponseHead,
        connection: ServerConnection,
    ) -> None:
        now = read_now()
        if self._signals.record(context, attempt, head, connection.request_count, now):
            self.withdraw_restricted(now)

    def _count_partial_event(self, attempt: OpenAttempt, size: int) -> bool:
        """Count the incomplete event of a stream; return whether there is room."""
        if not self._buffers.resize(attempt.partial_event_bytes, size):
            return False
        attempt.partial_event_bytes = size
        return True

    def _record_first_event(self, attempt: OpenAttempt, now: float) -> None:
        record = attempt.record
        seconds = now - (attempt.sent_at or now)
        if self._state.record_first_event(record, seconds, now):
            self._log.belief(
                "server may be cold",
                now,
                server=record.name,
                first_ms=round(seconds * 1000.0, 1),
            )

    def _record_limit(self, attempt: OpenAttempt, head: ResponseHead) -> None:
        limit = names.parse_server_limit(head.header(names.SERVER_LIMIT))
        is_signed = head.header(names.RESPONSE_SIGNATURE) is not None
        if head.status == names.STATUS_MISDIRECTED or (limit is None and not is_signed):
            return
        now = read_now()
        server = attempt.record.incarnation
        sent_at = attempt.sent_at or now
        if self._state.rate_limits.record_answer(server, limit, sent_at, now):
            self._on_limit(server)

    def _record_load(self, record: ServerRecord, head: ResponseHead) -> None:
        load = names.parse_server_load(head.header(names.SERVER_LOAD))
        if load is not None:
            requests = load.running + load.waiting
            self._state.loads.record_report(record.name, requests, read_now())

    def _release_connection(
        self,
        record: ServerRecord,
        connection: ServerConnection,
        head: ResponseHead,
    ) -> None:
        self._record_load(record, head)
        keep_alive_seconds = _parse_keep_alive(head.header(b"keep-alive"))
        self._pool.release(record, connection, keep_alive_seconds, read_now())

    async def _read_stream(
        self,
        context: RequestContext,
        request: CallerRequest,
        attempt: OpenAttempt,
        connection: ServerConnection,
        events: ResumableEvents,
        race: AttemptRace,
    ) -> AttemptResult:
        record = attempt.record
        may_resume = context.granted.route.resumable and (
            context.send_count < context.granted.route.max_attempts
        )
        reader = _EventReader(context, attempt, connection, race)
        silent_at = context.deadline
        if may_resume:
            silent_at = min(silent_at, read_now() + FIRST_EVENT_TIMEOUT_SECONDS)
        head = await reader.next_event(silent_at)
        if not isinstance(head, ResponseHead):
            return no_response_result(record, connection, head)
        self._record_signals(context, attempt, head, connection)
        if head.status != 200 or head.header(names.NOT_RUN) is not None:
            reader.silent_at = context.deadline
            return await self._read_body(context, attempt, connection, head, reader)
        fault = find_response_fault(context, head, connection.request_count)
        if fault:
            connection.abort()
            return broken_result(record, fault)
        self._record_limit(attempt, head)
        self._record_load(record, head)
        self._state.groups.record_response_start(record.name)
        started_at = last_event_at = None
        while True:
            event = await reader.next_event()
            match event:
                case BodyChunk(data):
                    try:
                        new_events = events.feed(data)
                    except ValueError as error:
                        connection.abort()
                        return broken_result(record, str(error))
                    if not self._count_partial_event(attempt, events.partial_bytes):
                        connection.abort()
                        return broken_result(record, "event too large")
                    if not new_events:
                        continue
                    race.claim(attempt)
                    # It may have counted as lost while its server was silent.
                    context.lost_attempts.discard(attempt)
                    now = read_now()
                    _forward_events(request, head, events, new_events)
                    if context.first_event_at is None:
                        context.first_event_at = now
                    if started_at is None:
                        started_at = now
                        self._record_first_event(attempt, now)
                    elif now - started_at >= ANSWER_START_SECONDS:
                        self._record_survival(context, attempt, now)
                    if last_event_at is not None:
                        event_interval = now - last_event_at
                        context.longest_event_interval = max(
                            context.longest_event_interval, event_interval
                        )
                        self._state.groups.record_event_interval(
                            record.name, event_interval, now
                        )
                    reading = request.wait_until_read(context.deadline - now)
                    if reading is not None and not await reading:
                        return no_response_result(record, connection, TimedOut())
                    last_event_at = read_now()
                    reader.silent_at = context.deadline
                    if may_resume:
                        reader.silent_at = min(
                            context.deadline, last_event_at + NEXT_EVENT_TIMEOUT_SECONDS
                        )
                case ResponseComplete():
                    if events.has_partial_event:
                        connection.abort()
                        return broken_result(record, "stream ended inside an event")
                    if started_at is None and head.ends_with_connection:
                        return broken_result(record, "stream ended before an event")
                    break
                case _:
                    return no_response_result(record, connection, event)
        self._release_connection(record, connection, head)
        self._record_survival(context, attempt, read_now())
        if not events.delivered_count:
            return classify_response(record, head, b"")
        request.end_response()
        outcome = Attempt(record.name, SendProgress.SOME, ResponseKind.COMPLETE)
        return AttemptResult(outcome, "streamed", streamed=True)


class _EventReader:
    """Read the events of one response, and report if the server is silent.

    :ivar silent_at: time from which the server counts as silent.
    """

    __slots__ = ("_attempt", "_connection", "_context", "_race", "silent_at")

    def __init__(
        self,
        context: RequestContext,
        attempt: OpenAttempt,
        connection: ServerConnection,
        race: AttemptRace,
    ) -> None:
        self._context = context
        self._attempt = attempt
        self._connection = connection
        self._race = race
        self.silent_at = context.deadline

    async def next_event(self, silent_at: float | None = None) -> ResponseEvent:
        """Return the next event, or a timeout at the deadline of the request."""
        if silent_at is not None:
            self.silent_at = silent_at
        deadline = self._context.deadline
        while True:
            has_alternative = self._attempt.has_alternative
            waits_until = deadline if has_alternative else self.silent_at
            event = await self._connection.next_event(waits_until - read_now())
            now = read_now()
            if not isinstance(event, TimedOut) or now >= deadline:
                return event
            self.silent_at = min(deadline, now + RECHECK_INTERVAL_SECONDS)
            self._race.report_silence(self._attempt)


def make_request_headers(
    context: RequestContext,
    request: CallerRequest,
    record: ServerRecord,
    events: ResumableEvents,
    now: float,
    sends_priority: bool = False,
) -> Headers:
    """Return the headers of the request to the server.

    :param sends_priority: whether requests to the service differ in priority.
    """
    resumed = events.delivered_count > 0
    dropped_names = names.DROPPED_HEADERS | HOP_BY_HOP_HEADERS
    headers = [
        (key, value)
        for key, value in request.headers
        if key not in dropped_names and not (resumed and key == names.LAST_EVENT_ID)
    ]
    remaining_ms = int((min(context.deadline, context.caller_deadline) - now) * 1000.0)
    headers.append((names.DEADLINE_MS, b"%d" % max(1, remaining_ms)))
    headers.append((names.EXPECTED_SERVER, record.name.encode()))
    if context.granted.account is not None:
        headers.append((names.ACCOUNT, context.granted.account.name.encode()))
    if sends_priority:
        headers.append((names.REQUEST_PRIORITY, b"%d" % context.granted.priority))
    if resumed and events.last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, b"%d" % events.last_event_id))
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    return headers


def contains_other_response(connection: ServerConnection, body: bytearray) -> bool:
    """Return whether a body begins with the response to an earlier request.

    A late copy of that response between the head and the body of the next one takes the
    place of the body, and the body follows as excess data unless it has no length.
    """
    return (
        connection.request_count > 1
        and body.startswith(HTTP_VERSION_PREFIX)
        and (connection.has_excess_data or not connection.open)
    )


def find_response_fault(
    context: RequestContext, head: ResponseHead, request_count: int
) -> str:
    """Return why a response does not belong to this request, empty if it does.

    A refusal that names no request can only be trusted on a new connection. On one that
    was used before it may be a late copy of an earlier refusal.

    :param request_count: number of requests sent on the connection.
    """
    request_id = head.header(names.REQUEST_ID)
    not_run = head.header(names.NOT_RUN) is not None
    if request_id is not None and request_id.decode("latin-1") != context.request_id:
        return "answer to another request"
    if head.status == names.STATUS_MISDIRECTED or not_run:
        is_unnamed = request_id is None and request_count > 1
        return "refusal without a request identifier" if is_unnamed else ""
    if request_id is None:
        return "answer without a request identifier"
    if head.status < 300 and head.header(names.RESPONSE_SIGNATURE) is None:
        return "answer without a signature"
    if head.header(b"content-encoding") is not None:
        return "answer with a content encoding"
    return ""


def _forward_events(
    request: CallerRequest,
    head: ResponseHead,
    events: ResumableEvents,
    new_events: bytes,
) -> None:
    event_count = new_events.count(b"\n\n")
    if events.delivered_count == event_count:
        request.start_response(head.status, response_headers(head.headers), new_events)
        return
    request.send_data(new_events)


def _parse_keep_alive(value: bytes | None) -> float | None:
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and _SECONDS.fullmatch(number.strip()):
            return float(number)
    return None
