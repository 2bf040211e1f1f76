"""transport: dispatch caller requests to backend servers over HTTP."""

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet import defer

from lacewingcleat.attempt_race import (
    AttemptEnded,
    AttemptRace,
    AttemptSilent,
    RaceEnded,
)
from lacewingcleat.attempt_result import AttemptResult
from lacewingcleat.caller_connection import CallerRequest
from lacewingcleat.clock import read_now
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_attempt import SUPERSEDED, AttemptRunner
from lacewingcleat.direct_metrics import DirectMetrics
from lacewingcleat.direct_settings import DirectSettings
from lacewingcleat.direct_state import DirectState
from lacewingcleat.load_view import Target
from lacewingcleat.local_reply import LocalReply, make_local_reply
from lacewingcleat.platform import request_headers as names
from lacewingcleat.priority_admission import EARLY
from lacewingcleat.request_access import (
    DenialReason,
    Denied,
    authorize_request,
    choose_service,
)
from lacewingcleat.request_admission import RequestAdmission
from lacewingcleat.request_context import AttemptRecord, OpenAttempt, RequestContext
from lacewingcleat.request_fingerprint import fingerprint_request
from lacewingcleat.resumable_events import ResumableEvents, parse_last_event_id
from lacewingcleat.retries import (
    Attempt,
    RequestFacts,
    ResponseKind,
    ResumeAt,
    RetryDecision,
    RetryElsewhere,
    ReturnResult,
    SendProgress,
    decide_retry,
    report_unsent,
)
from lacewingcleat.retry_after import (
    NotRunCause,
    priority_retry_after_seconds,
    reopening_wait_seconds,
    retry_after_seconds,
)
from lacewingcleat.routing_config import RequestKind
from lacewingcleat.server_choice import (
    ChosenServer,
    NoServer,
    ServerChoice,
    ServersFull,
)
from lacewingcleat.server_pace import OpenRequest
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.server_restrictions import release_wait_seconds

# Maximum number of attempts that end before the request is written, such as failed
# connection attempts.
MAX_UNSENT_ATTEMPTS = 4
# Used for callers that send no deadline.
DEFAULT_CALLER_TIMEOUT_SECONDS = 2.0
CRASHES_SERVER = "crashes-server"
STOPPING = "stopping"


class DirectDispatcher:
    """Dispatch complete caller requests and answer each of them.

    :param config_age: returns the age in seconds of the configuration at a given time.
    :param refresh_config: tries to bring the configuration up to date.
    :param config_may_be_lost: returns whether the store may have lost the newest
        configuration at a given time.
    :param may_begin: returns whether a request with a deadline may be sent to a server
        at a given time.
    :param call_later: calls a function after some seconds; without it no request waits
        for a free slot.
    """

    def __init__(
        self,
        settings: DirectSettings,
        state: DirectState,
        runner: AttemptRunner,
        log: DecisionLog,
        metrics: DirectMetrics,
        config_age: Callable[[float], float],
        refresh_config: Callable[[], Awaitable[None]],
        config_may_be_lost: Callable[[float], bool] = lambda _now: False,
        may_begin: Callable[[float, float], bool] = lambda _deadline, _now: True,
        call_later: Callable[[float, Callable[[], None]], object] | None = None,
    ) -> None:
        self._settings = settings
        self._state = state
        self._runner = runner
        self._log = log
        self._metrics = metrics
        self._config_age = config_age
        self._refresh_config = refresh_config
        self._config_may_be_lost = config_may_be_lost
        self._may_begin = may_begin
        self._admission = RequestAdmission(state, log, metrics, call_later)
        self._open_requests: set[CallerRequest] = set()

    def handle(self, request: CallerRequest) -> None:
        """Answer one request."""
        self._open_requests.add(request)
        handling = defer.ensureDeferred(self._handle(request))
        handling.addErrback(self._handle_error, request)
        handling.addBoth(lambda _: self._open_requests.discard(request))

    def end_open_requests(self) -> None:
        """Answer all requests whose responses have not begun, as the process ends."""
        for request in list(self._open_requests):
            if request.response_started or request.response_ended:
                continue
            cancel = request.on_disconnect
            reply = LocalReply(503 if cancel is None else 502, STOPPING)
            self._metrics.count_request(reply.status, reply.reason)
            self._log.request(
                "answered at the end of a stop",
                read_now(),
                request=(request.header(names.REQUEST_ID) or b"").decode("latin-1"),
                status=reply.status,
            )
            self._write_local_reply(request, reply)
            if cancel is not None:
                cancel()

    def _handle_error(self, failure: Any, request: CallerRequest) -> None:
        """Answer 502 after an internal error, as the request may have been sent."""
        self._log.failure("request failed", traceback=failure.getTraceback())
        self._write_local_reply(request, LocalReply(502, "internal-error"))
        request.abort()

    async def _handle(self, request: CallerRequest) -> None:
        admission = self._admit(request, read_now())
        if (
            isinstance(admission, LocalReply)
            and admission.reason == DenialReason.STALE_CONFIG
        ):
            # The key or route may have been added since the configuration was read.
            await self._refresh_config()
            if request.caller_disconnected or request.response_ended:
                return
            admission = self._admit(request, read_now())
        now = read_now()
        if isinstance(admission, LocalReply):
            self._metrics.count_request(admission.status, admission.reason)
            self._write_local_reply(request, admission)
            return
        self._state.retry_budget(admission.service, now).count_request(now)
        events = ResumableEvents(
            parse_last_event_id(request.header(names.LAST_EVENT_ID))
        )
        status, reason = await self._serve(admission, request, events)
        self._record_completion(admission, status, reason, events)

    def _admit(self, request: CallerRequest, now: float) -> RequestContext | LocalReply:
        request_id = request.header(names.REQUEST_ID)
        target = request.target
        if request_id is None or not target.startswith(b"/"):
            return LocalReply(400, "malformed-request")
        request_id_text = request_id.decode("latin-1")
        config = self._state.config
        age = self._config_age(now)
        access = authorize_request(
            config,
            age,
            _parse_host(request.header(b"host")),
            target.partition(b"?")[0].decode("latin-1"),
            _parse_bearer_key(request.header(names.AUTHORIZATION)),
            self._settings.bounds.revocation_seconds,
            self._settings.bounds.config_apply_seconds,
            self._config_may_be_lost(now),
        )
        version = config.version if config else 0
        caller_timeout = names.parse_deadline_seconds(request.header(names.DEADLINE_MS))
        if isinstance(access, Denied):
            self._log.request(
                "denied",
                now,
                request=request_id_text,
                status=access.status,
                reason=access.reason,
                config_version=version,
                config_age=round(age, 3),
            )
            retry_after = None
            if access.status == 503:
                # A peer that can reach the store can serve the caller at once.
                has_ready_peer = self._state.has_ready_peer(now)
                cause = (
                    NotRunCause.OTHER_ENTRY if has_ready_peer else NotRunCause.OUTAGE
                )
                retry_deadline = request.arrived_at + (
                    caller_timeout or DEFAULT_CALLER_TIMEOUT_SECONDS
                )
                retry_after = retry_after_seconds(
                    cause, retry_deadline, self._state.random, now
                )
            return LocalReply(access.status, access.reason, retry_after)
        timeout = access.route.timeout_seconds
        route_deadline = request.arrived_at + timeout
        caller_deadline = (
            request.arrived_at + caller_timeout
            if caller_timeout is not None
            else route_deadline
        )
        deadline = min(route_deadline, caller_deadline)
        if not self._may_begin(deadline, now):
            self._log.request(
                "denied", now, request=request_id_text, status=503, reason=STOPPING
            )
            retry_after = retry_after_seconds(
                NotRunCause.OTHER_ENTRY, caller_deadline, self._state.random, now
            )
            return LocalReply(503, STOPPING, retry_after)
        return RequestContext(
            request_id_text,
            access,
            choose_service(access.route, self._state.random.random()),
            request.arrived_at,
            deadline,
            caller_deadline,
            version,
            age,
            names.parse_shared_segments(request.header(names.PROMPT_SEGMENTS)),
            fingerprint_request(
                access.account.name if access.account else "",
                f"{request.method!r} {target!r}",
                request.body,
            ),
        )

    async def _serve(
        self,
        context: RequestContext,
        request: CallerRequest,
        events: ResumableEvents,
    ) -> tuple[int, str]:
        """Answer a request by one or more attempts; return the status and the reason.

        An attempt at a silent server goes on while another server is tried, since the
        server may still answer and the other one may refuse.
        """
        race = AttemptRace(lambda attempt: self._runner.cancel(attempt, SUPERSEDED))
        request.on_disconnect = lambda: self._abandon(context, race)
        try:
            answer = self._refuse_by_priority(context, request, events)
            if answer is None:
                choice = await self._admission.wait_for_server(context)
                if context.cancelled:
                    return 0, "caller gone"
                answer = self._start_attempt(context, request, events, race, choice)
            while answer is None:
                match await race.next_notice():
                    case AttemptSilent(attempt):
                        self._start_alternative(context, request, attempt, events, race)
                    case AttemptEnded(attempt, result):
                        answer = self._handle_end(
                            context, request, attempt, result, events, race
                        )
                    case RaceEnded():
                        answer = 0, "caller gone"
            return answer
        finally:
            race.end()

    def _refuse_by_priority(
        self, context: RequestContext, request: CallerRequest, events: ResumableEvents
    ) -> tuple[int, str] | None:
        """Answer a request that is not admitted."""
        is_resumed = events.last_event_id is not None
        refusal = self._admission.find_refusal(context, is_resumed)
        if refusal is None:
            return None
        reason = f"{refusal.outcome}-priority"
        return self._respond_unsent(
            context, request, reason, NotRunCause.LOADED, events
        )

    def handle_peer_counts(self) -> None:
        """Start the waiting requests that fit after peers announced other counts."""
        self._admission.handle_peer_counts()

    def wake_waiting(self) -> None:
        """Start the waiting requests that fit, and refuse those that are too late."""
        self._admission.wake_waiting()

    def _abandon(self, context: RequestContext, race: AttemptRace) -> None:
        """End all work on a request whose caller has disconnected."""
        context.cancelled = True
        race.end()
        self._admission.drop(context)

    def _start_attempt(
        self,
        context: RequestContext,
        request: CallerRequest,
        events: ResumableEvents,
        race: AttemptRace,
        choice: ServerChoice | None = None,
    ) -> tuple[int, str] | None:
        """Start an attempt, or answer the caller if there is no server for it.

        While another attempt is open it decides the answer.

        :param choice: server for the attempt, if it has been chosen already.
        """
        now = read_now()
        if self._crashes_servers(context, now):
            unsent = CRASHES_SERVER, NotRunCause.OUTAGE
        else:
            if choice is None:
                choice = self._state.choose_server(
                    context.service,
                    context.failed_servers,
                    now,
                    self._state.may_use_cold_server(context, now),
                    context.granted.route.retryable and not context.attempts,
                )
            match choice:
                case ChosenServer(record, load):
                    self._state.rate_limits.take(record.incarnation, now)
                    self._state.cold_servers.take(record.name, now)
                    attempt = OpenAttempt(record, load, now)
                    running = self._attempt(context, request, attempt, events, race)
                    race.start(attempt, running)
                    return None
                case ServersFull():
                    unsent = "servers-full", NotRunCause.LOADED
                    if self._state.all_warm_from(context.service, now) is not None:
                        unsent = "servers-cold", NotRunCause.COLD
                case NoServer():
                    unsent = "no-server", NotRunCause.OUTAGE
        if race.has_open:
            return None
        if unsent[0] != CRASHES_SERVER:
            context.unusable_servers = self._state.explain_refusal(
                context.service, context.failed_servers, now
            )
        return self._respond_unsent(context, request, *unsent, events)

    def _start_alternative(
        self,
        context: RequestContext,
        request: CallerRequest,
        silent: OpenAttempt,
        events: ResumableEvents,
        race: AttemptRace,
    ) -> None:
        """Start another attempt beside one whose server is silent, if it may help."""
        now = read_now()
        name = silent.record.name
        if silent.has_alternative or not self._state.has_alternative_server(
            context, name, now
        ):
            return
        no_answer = Attempt(name, SendProgress.SOME, ResponseKind.NOTHING)
        decision = self._decide_retry(silent, no_answer, context, events, now)
        if not self._prepare_retry(context, silent, no_answer, decision, "silent"):
            return
        silent.has_alternative = True
        result = AttemptResult(no_answer, "silent", timed_out=True, server_failed=True)
        self._record_health(silent, result)
        self._start_attempt(context, request, events, race)

    def _decide_retry(
        self,
        attempt: OpenAttempt,
        end: Attempt,
        context: RequestContext,
        events: ResumableEvents,
        now: float,
    ) -> RetryDecision:
        facts = self._retry_facts(context, events, attempt)
        budget = self._state.retry_budget(context.service, now)
        return decide_retry(end, facts, budget, now)

    def _prepare_retry(
        self,
        context: RequestContext,
        attempt: OpenAttempt,
        end: Attempt,
        decision: RetryDecision,
        reason: str,
    ) -> bool:
        """Return whether another attempt is to be made, and note why."""
        match decision:
            case RetryElsewhere(excluded, may_have_run):
                context.failed_servers = excluded
                context.may_have_run = may_have_run
                if end.response is not ResponseKind.NOT_RUN:
                    context.lost_attempts.add(attempt)
                self._metrics.retries.labels(reason[:40]).inc()
                return True
            case ResumeAt(_, excluded):
                context.failed_servers = excluded
                context.lost_attempts.add(attempt)
                self._metrics.resumes.inc()
                return True
            case _:
                return False

    def _handle_end(
        self,
        context: RequestContext,
        request: CallerRequest,
        attempt: OpenAttempt,
        result: AttemptResult,
        events: ResumableEvents,
        race: AttemptRace,
    ) -> tuple[int, str] | None:
        """Answer the caller after an attempt, or go on with another one."""
        if context.cancelled or request.caller_disconnected:
            return 0, "caller gone"
        if result.streamed:
            return 200, "streamed"
        end = result.attempt
        was_retried = attempt in context.lost_attempts and race.has_open
        if was_retried and end.response is not ResponseKind.COMPLETE:
            return None
        now = read_now()
        decision = self._decide_retry(attempt, end, context, events, now)
        if self._prepare_retry(context, attempt, end, decision, result.reason):
            return self._start_attempt(context, request, events, race)
        # A complete response cannot continue a stream that has begun elsewhere.
        answers_caller = isinstance(decision, ReturnResult) and not (
            race.has_open and events.delivered_count
        )
        if answers_caller:
            return self._forward_response(request, result)
        if race.has_open:
            return None
        if result.server_response is not None and not events.delivered_count:
            return self._forward_response(request, result)
        if events.delivered_count:
            request.abort()
            return 0, f"stream broken: {result.reason}"
        # The attempt was refused or not sent. Full servers are not chosen, so the
        # server or its group is unavailable.
        retry_after = self._retry_after(context, NotRunCause.OUTAGE, now)
        reply = make_local_reply(decision, result.timed_out, retry_after)
        self._write_local_reply(request, reply)
        return reply.status, reply.reason

    def _retry_facts(
        self,
        context: RequestContext,
        events: ResumableEvents,
        attempt: OpenAttempt | None = None,
    ) -> RequestFacts:
        """Return what a decision on a retry depends on.

        :param attempt: attempt after which it is decided, which counts apart.
        """
        route = context.granted.route
        unsent_attempts = sum(not item.request_sent for item in context.attempts)
        return RequestFacts(
            idempotent=route.retryable,
            deadline=context.deadline,
            failed_targets=context.failed_servers,
            may_have_run=context.may_have_run,
            lost_targets=len(context.lost_attempts - {attempt}),
            has_other_target=context.send_count < route.max_attempts
            and unsent_attempts < MAX_UNSENT_ATTEMPTS
            and not context.may_crash_servers,
            delivered=events.delivered_count,
            body_begun=events.delivered_count > 0,
            resumable=route.resumable,
        )

    async def _attempt(
        self,
        context: RequestContext,
        request: CallerRequest,
        attempt: OpenAttempt,
        events: ResumableEvents,
        race: AttemptRace,
    ) -> AttemptResult:
        measured = self._state.begin_pace(attempt, read_now())
        result = await self._runner.run(
            context, request, attempt, events.for_attempt(), race
        )
        self._record_first_event(context, attempt, result)
        self.wake_waiting()
        if measured is not None:
            self._record_pace(measured, context, attempt, result)
        context.attempts.append(
            AttemptRecord(
                attempt.record.name,
                attempt.load,
                read_now() - attempt.started_at,
                attempt.sent_at is not None,
                result.reason,
            )
        )
        # A silent server was counted when another one was tried.
        is_counted = attempt.has_alternative or attempt.superseded
        if not is_counted and not context.cancelled:
            self._record_health(attempt, result)
        return result

    def _record_first_event(
        self, context: RequestContext, attempt: OpenAttempt, result: AttemptResult
    ) -> None:
        """Record how long a server took to the first event or to the response."""
        service = context.service
        if not self._state.admission.is_active(service):
            return
        first_event_at = context.first_event_at
        if context.granted.route.kind is not RequestKind.STREAM and (
            result.attempt.response is ResponseKind.COMPLETE
        ):
            first_event_at = read_now()
        if first_event_at is not None and first_event_at >= attempt.started_at:
            seconds = first_event_at - attempt.started_at
            self._state.first_event_times.record(service, seconds)

    def _record_health(self, attempt: OpenAttempt, result: AttemptResult) -> None:
        """Count the result of an attempt towards the ejection of its server."""
        record = attempt.record
        if self._counts_towards_ejection(record, result):
            self._state.outliers.record_result(
                Target(record.service, record.name),
                not result.server_failed,
                attempt.started_at,
                read_now(),
            )

    def _record_pace(
        self,
        measured: OpenRequest,
        context: RequestContext,
        attempt: OpenAttempt,
        result: AttemptResult,
    ) -> None:
        """Record how long a server took, unless its answer says nothing about that."""
        was_ended = context.cancelled or attempt.superseded or attempt.sent_at is None
        if was_ended or result.attempt.response is ResponseKind.NOT_RUN:
            self._state.pace.discard(measured)
            return
        wrong = result.server_failed and not result.timed_out
        self._state.pace.end(measured, wrong, read_now())

    def _counts_towards_ejection(
        self, record: ServerRecord, result: AttemptResult
    ) -> bool:
        """Return whether the result of an attempt counts towards outlier ejection.

        All ranks of a group pause together, so a timeout there is no sign of a fault of
        the rank that served the request. A refusal is no fault either.
        """
        if result.timed_out and self._state.groups.find_group_name(record.name):
            return False
        return (
            result.server_failed or result.attempt.response is not ResponseKind.NOT_RUN
        )

    def _crashes_servers(self, context: RequestContext, now: float) -> bool:
        """Return whether servers have crashed on requests like this one."""
        suspect = self._state.crash_evidence.find_refused(context.suspects)
        if suspect is None:
            return False
        self._log.request(
            "crash suspect refused", now, request=context.request_id, suspect=suspect
        )
        return True

    def _respond_unsent(
        self,
        context: RequestContext,
        request: CallerRequest,
        reason: str,
        cause: NotRunCause,
        events: ResumableEvents,
    ) -> tuple[int, str]:
        if events.delivered_count:
            request.abort()
            return 0, f"stream broken: {reason}"
        retry_after = self._retry_after(context, cause, read_now())
        report = report_unsent(self._retry_facts(context, events), reason, retry_after)
        reply = make_local_reply(report, False, retry_after)
        self._write_local_reply(request, reply)
        return reply.status, reply.reason

    def _retry_after(
        self, context: RequestContext, cause: NotRunCause, now: float
    ) -> float:
        random, deadline = self._state.random, context.caller_deadline
        if cause is NotRunCause.OUTAGE:
            release_at = self._state.first_release(context.service, now)
            if release_at is not None:
                return release_wait_seconds(release_at, deadline, random, now)
            opens_at = self._state.forms_until(context.service, now)
            if opens_at is not None:
                urgency = self._state.admission.urgency(
                    context.service, context.granted.rank
                )
                return reopening_wait_seconds(opens_at, urgency, deadline, random, now)
        if cause is NotRunCause.COLD:
            warm_at = self._state.all_warm_from(context.service, now)
            return retry_after_seconds(cause, deadline, random, now, warm_at)
        if cause is not NotRunCause.LOADED:
            return retry_after_seconds(cause, deadline, random, now)
        overloaded = self._state.overload.record_refusal(context.service, now)
        decision = context.admission
        if decision is None:
            return retry_after_seconds(
                cause, deadline, random, now, overloaded_seconds=overloaded
            )
        refused = self._state.refused_requests
        early = refused.seconds_early(context.fingerprint, now)
        if early and decision.outcome == EARLY:
            return early
        wait = priority_retry_after_seconds(decision.share, deadline, random, now)
        if not context.may_have_run:
            # Otherwise the caller is told no time, as the outcome is unknown.
            refused.record(context.fingerprint, now + wait)
        return wait

    def _forward_response(
        self,
        request: CallerRequest,
        result: AttemptResult,
    ) -> tuple[int, str]:
        response = result.server_response
        if response is None:
            self._write_local_reply(request, LocalReply(502, result.reason))
            return 502, result.reason
        request.respond(response.status, response.headers, response.body)
        return response.status, result.reason

    def _write_local_reply(self, request: CallerRequest, reply: LocalReply) -> None:
        headers = []
        request_id = request.header(names.REQUEST_ID)
        if request_id is not None:
            headers.append((names.REQUEST_ID, request_id))
        if reply.retry_after is not None:
            headers.append((names.RETRY_AFTER, b"%.3f" % reply.retry_after))
        request.respond(reply.status, headers, b"")

    def _record_completion(
        self,
        context: RequestContext,
        status: int,
        reason: str,
        events: ResumableEvents,
    ) -> None:
        now = read_now()
        seconds = now - context.arrived_at
        self._metrics.count_request(status, "" if status == 200 else reason)
        self._metrics.request_seconds.observe(seconds)
        account = context.granted.account
        self._log.request(
            "request",
            now,
            request=context.request_id,
            route=context.granted.route.name,
            service=context.service,
            account=account.name if account else "",
            status=status,
            reason=reason,
            ms=round(seconds * 1000.0, 1),
            allowed_ms=_elapsed_ms(context.deadline, context.arrived_at),
            events=events.delivered_count,
            first_ms=_elapsed_ms(context.first_event_at, context.arrived_at),
            gap_ms=round(context.longest_event_interval * 1000.0, 1),
            retries_left=round(
                self._state.retry_budget(context.service, now).available, 1
            ),
            config_version=context.config_version,
            config_age=round(context.config_age, 3),
            tries=[
                f"{item.server} load={item.load:g} ms={item.seconds * 1000.0:.0f} "
                f"sent={item.request_sent} {item.outcome}"
                for item in context.attempts
            ],
            **_unusable_fields(context),
        )


def _unusable_fields(context: RequestContext) -> dict[str, dict[str, int]]:
    """Return the log field with the reasons for which no server was chosen."""
    counts = context.unusable_servers
    return {"unusable": counts} if counts else {}


def _elapsed_ms(moment: float | None, since: float) -> float | None:
    return None if moment is None else round((moment - since) * 1000.0, 1)


def _parse_host(value: bytes | None) -> str:
    text = (value or b"").decode("latin-1").strip().lower()
    host, colon, port = text.rpartition(":")
    return host if colon and port.isdigit() else text


def _parse_bearer_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").decode("latin-1").strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None
