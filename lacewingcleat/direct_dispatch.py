"""transport: serve callers' requests at backend servers that are called directly."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from lacewingcleat.caller_connection import CallerRequest
from lacewingcleat.clock import read_now
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_attempt import AttemptEnd, AttemptRunner
from lacewingcleat.request_context import DirectCall, Try
from lacewingcleat.direct_metrics import DirectMetrics
from lacewingcleat.local_reply import OwnAnswer, answer_decision
from lacewingcleat.direct_settings import DirectSettings
from lacewingcleat.direct_state import DirectState
from lacewingcleat.load_view import Target
from lacewingcleat.platform import request_headers as names
from lacewingcleat.request_access import Denied, authorize_request, choose_service
from lacewingcleat.resumable_events import ResumableEvents, parse_last_id
from lacewingcleat.retries import (
    RequestFacts,
    ResponseKind,
    ResumeAt,
    RetryElsewhere,
    ReturnResult,
    decide_retry,
    report_unsent,
)
from lacewingcleat.retry_after import NotRunCause, retry_after_seconds
from lacewingcleat.server_choice import ChosenServer, NoServer, ServersFull
from lacewingcleat.server_record import ServerRecord

# Connections that fail before a byte is sent are tried at this many servers at most.
MAX_UNSENT_TRIES = 4
# Assumed of callers that do not say how long they wait.
DEFAULT_WAIT_SECONDS = 2.0


class DirectDispatcher:
    """Take requests that were read whole and answer each of them.

    :param config_age: returns the age of the view of the configuration.
    """

    def __init__(
        self,
        settings: DirectSettings,
        state: DirectState,
        runner: AttemptRunner,
        log: DecisionLog,
        metrics: DirectMetrics,
        config_age: Callable[[float], float],
    ) -> None:
        self._settings = settings
        self._state = state
        self._runner = runner
        self._log = log
        self._metrics = metrics
        self._config_age = config_age

    def handle(self, request: CallerRequest) -> None:
        """Answer one request."""
        handling = defer.ensureDeferred(self._handle(request))
        handling.addErrback(self._fail, request)

    def _fail(self, failure: Any, request: CallerRequest) -> None:
        """Answer after an error of this program; the request may have been sent."""
        self._log.failure("request failed", traceback=failure.getTraceback())
        self._write(request, OwnAnswer(502, "internal-error"))
        request.abort()

    async def _handle(self, request: CallerRequest) -> None:
        now = read_now()
        call = self._admit(request, now)
        if isinstance(call, OwnAnswer):
            self._metrics.count(call.status, call.reason)
            self._write(request, call)
            return
        self._state.budget(call.service, now).count_request(now)
        events = ResumableEvents(parse_last_id(request.header(names.LAST_EVENT_ID)))
        status, reason = await self._serve(call, request, events)
        self._log_end(call, status, reason, events)

    def _admit(self, request: CallerRequest, now: float) -> DirectCall | OwnAnswer:
        request_id = request.header(names.REQUEST_ID)
        target = request.target
        if request_id is None or not target.startswith(b"/"):
            return OwnAnswer(400, "malformed-request")
        identifier = request_id.decode("latin-1")
        config = self._state.config
        age = self._config_age(now)
        access = authorize_request(
            config,
            age,
            _host(request.header(b"host")),
            target.partition(b"?")[0].decode("latin-1"),
            _bearer(request.header(names.AUTHORIZATION)),
            self._settings.bounds.revocation_seconds,
            self._settings.bounds.apply_seconds,
        )
        version = config.version if config else 0
        wait = names.parse_deadline_seconds(request.header(names.DEADLINE_MS))
        if isinstance(access, Denied):
            self._log.request(
                "denied",
                now,
                request=identifier,
                status=access.status,
                reason=access.reason,
                config_version=version,
                config_age=round(age, 3),
            )
            retry = None
            if access.status == 503:
                # Entries that can reach the store serve the caller at once.
                elsewhere = self._state.peers_are_ready(now)
                cause = NotRunCause.OTHER_ENTRY if elsewhere else NotRunCause.OUTAGE
                until = request.arrived_at + (wait or DEFAULT_WAIT_SECONDS)
                retry = retry_after_seconds(cause, until, self._state.random, now)
            return OwnAnswer(access.status, access.reason, retry)
        timeout = access.route.timeout_seconds
        limit = request.arrived_at + timeout
        caller_deadline = request.arrived_at + wait if wait is not None else limit
        return DirectCall(
            identifier,
            access,
            choose_service(access.route, self._state.random.random()),
            request.arrived_at,
            min(limit, caller_deadline),
            caller_deadline,
            version,
            age,
        )

    async def _serve(
        self,
        call: DirectCall,
        request: CallerRequest,
        events: ResumableEvents,
    ) -> tuple[int, str]:
        while True:
            now = read_now()
            choice = self._state.choose(call.service, call.failed_names, now)
            match choice:
                case ChosenServer(record, load):
                    end = await self._attempt(call, request, record, load, events)
                case ServersFull() | NoServer():
                    return self._give_up(call, request, choice, events)
            if call.cancelled or request.gone:
                return 0, "caller gone"
            if end.streamed:
                return 200, "streamed"
            now = read_now()
            facts = self._facts(call, events)
            budget = self._state.budget(call.service, now)
            decision = decide_retry(end.attempt, facts, budget, now)
            match decision:
                case RetryElsewhere(excluded, may_have_run):
                    call.failed_names = excluded
                    call.may_have_run = may_have_run
                    call.lost += end.attempt.response is not ResponseKind.NOT_RUN
                    self._metrics.retries.labels(end.reason[:40]).inc()
                    continue
                case ResumeAt(_, excluded):
                    call.failed_names = excluded
                    call.lost += 1
                    self._metrics.resumes.inc()
                    continue
                case ReturnResult():
                    return self._pass_answer(request, end)
                case _:
                    if end.answer is not None and not events.delivered:
                        return self._pass_answer(request, end)
                    if events.delivered:
                        request.abort()
                        return 0, f"stream broken: {end.reason}"
                    # The attempt was refused or never sent: the server or its
                    # group is out of order, since full ones are not chosen.
                    wait = self._retry_after(call, NotRunCause.OUTAGE, now)
                    own = answer_decision(decision, end.timed_out, wait)
                    self._write(request, own)
                    return own.status, own.reason

    def _facts(self, call: DirectCall, events: ResumableEvents) -> RequestFacts:
        route = call.granted.route
        unsent = len(call.tries) - call.sends
        return RequestFacts(
            idempotent=route.retryable,
            deadline=call.deadline,
            failed_targets=call.failed_names,
            may_have_run=call.may_have_run,
            lost_targets=call.lost,
            has_other_target=call.sends < route.max_attempts
            and unsent < MAX_UNSENT_TRIES,
            delivered=events.delivered,
            body_begun=events.delivered > 0,
            resumable=route.resumable,
        )

    async def _attempt(
        self,
        call: DirectCall,
        request: CallerRequest,
        record: ServerRecord,
        load: float,
        events: ResumableEvents,
    ) -> AttemptEnd:
        began = read_now()
        sends = call.sends
        end = await self._runner.run(call, request, record, events)
        now = read_now()
        sent = call.sends > sends
        call.tries.append(Try(record.name, load, now - began, sent, end.reason))
        if not call.cancelled and self._tells_of_server(record, end):
            target = Target(record.service, record.name)
            outliers = self._state.outliers
            outliers.record_result(target, not end.server_failed, began, now)
        return end

    def _tells_of_server(self, record: ServerRecord, end: AttemptEnd) -> bool:
        """Return whether the end of an attempt says something of this one server.

        The ranks of a group pause together, so a late answer blames none of them.
        """
        if end.timed_out and self._state.groups.find_group_name(record.name):
            return False
        return end.server_failed or end.attempt.response is not ResponseKind.NOT_RUN

    def _give_up(
        self,
        call: DirectCall,
        request: CallerRequest,
        choice: ServersFull | NoServer,
        events: ResumableEvents,
    ) -> tuple[int, str]:
        match choice:
            case ServersFull():
                reason, cause = "servers-full", NotRunCause.LOADED
            case NoServer():
                reason, cause = "no-server", NotRunCause.OUTAGE
        if events.delivered:
            request.abort()
            return 0, f"stream broken: {reason}"
        wait = self._retry_after(call, cause, read_now())
        report = report_unsent(self._facts(call, events), reason, wait)
        own = answer_decision(report, False, wait)
        self._write(request, own)
        return own.status, own.reason

    def _retry_after(self, call: DirectCall, cause: NotRunCause, now: float) -> float:
        random = self._state.random
        return retry_after_seconds(cause, call.caller_deadline, random, now)

    def _pass_answer(
        self,
        request: CallerRequest,
        end: AttemptEnd,
    ) -> tuple[int, str]:
        answer = end.answer
        if answer is None:
            self._write(request, OwnAnswer(502, end.reason))
            return 502, end.reason
        request.respond(answer.status, answer.headers, answer.body)
        return answer.status, end.reason

    def _write(self, request: CallerRequest, own: OwnAnswer) -> None:
        headers = []
        request_id = request.header(names.REQUEST_ID)
        if request_id is not None:
            headers.append((names.REQUEST_ID, request_id))
        if own.retry_after is not None:
            headers.append((names.RETRY_AFTER, b"%.3f" % own.retry_after))
        request.respond(own.status, headers, b"")

    def _log_end(
        self,
        call: DirectCall,
        status: int,
        reason: str,
        events: ResumableEvents,
    ) -> None:
        now = read_now()
        seconds = now - call.arrived_at
        self._metrics.count(status, "" if status == 200 else reason)
        self._metrics.seconds.observe(seconds)
        account = call.granted.account
        self._log.request(
            "request",
            now,
            request=call.request_id,
            route=call.granted.route.name,
            service=call.service,
            account=account.name if account else "",
            status=status,
            reason=reason,
            ms=round(seconds * 1000.0, 1),
            allowed_ms=_ms(call.deadline, call.arrived_at),
            events=events.delivered,
            first_ms=_ms(call.first_event_at, call.arrived_at),
            gap_ms=round(call.longest_gap * 1000.0, 1),
            retries_left=round(self._state.budget(call.service, now).available, 1),
            config_version=call.config_version,
            config_age=round(call.config_age, 3),
            tries=[
                f"{item.server} load={item.load:g} ms={item.seconds * 1000.0:.0f} "
                f"sent={item.sent} {item.outcome}"
                for item in call.tries
            ],
        )


def _ms(moment: float | None, since: float) -> float | None:
    return None if moment is None else round((moment - since) * 1000.0, 1)


def _host(value: bytes | None) -> str:
    text = (value or b"").decode("latin-1").strip().lower()
    host, colon, port = text.rpartition(":")
    return host if colon and port.isdigit() else text


def _bearer(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").decode("latin-1").strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None
