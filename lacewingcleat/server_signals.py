"""transport: what servers say about themselves in the heads of their responses."""

from result import Err

from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_state import DirectState
from lacewingcleat.platform import request_headers as names
from lacewingcleat.request_context import OpenAttempt, RequestContext
from lacewingcleat.server_connection import ResponseHead
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.server_restrictions import MAX_PAUSE_SECONDS

STATUS_UNAVAILABLE = 503


class ServerSignals:
    """Apply the headers by which a server restricts its use."""

    __slots__ = ("_log", "_state")

    def __init__(self, state: DirectState, log: DecisionLog) -> None:
        self._state = state
        self._log = log

    def record(
        self,
        context: RequestContext,
        attempt: OpenAttempt,
        head: ResponseHead,
        request_count: int,
        now: float,
    ) -> bool:
        """Apply a response as soon as its head has arrived.

        It counts also if its body breaks off or its caller leaves meanwhile.

        :param request_count: number of requests sent on the connection.
        :returns: whether the server has asked for a pause and had none before.
        """
        if not is_from_server(context, head, request_count):
            return False
        if names.says_leaving(head.headers):
            self._record_leaving(context, attempt, now)
        if head.status != STATUS_UNAVAILABLE:
            return False
        return self._record_pause(attempt, head, now)

    def _record_leaving(
        self, context: RequestContext, attempt: OpenAttempt, now: float
    ) -> None:
        record = attempt.record
        if self._state.restrictions.record_leaving(record, now):
            self._log.belief(
                "server leaves",
                now,
                server=record.name,
                started_ms=record.started_ms,
                request=context.request_id,
            )

    def _record_pause(
        self, attempt: OpenAttempt, head: ResponseHead, now: float
    ) -> bool:
        record = attempt.record
        parsed = names.parse_retry_after(head.headers)
        if isinstance(parsed, Err):
            self._log_ignored(record, parsed.err_value, now)
            return False
        seconds = parsed.ok_value
        if seconds is None:
            return False
        state = self._state
        entry_count = state.peers.peer_count + 1
        if not state.restrictions.record_pause(
            record, seconds, entry_count, state.random, now
        ):
            return False
        self._log.belief(
            "server pauses",
            now,
            server=record.name,
            started_ms=record.started_ms,
            seconds=min(seconds, MAX_PAUSE_SECONDS),
        )
        return True

    def _log_ignored(self, record: ServerRecord, reason: str, now: float) -> None:
        count = self._state.restrictions.record_ignored_pause(now)
        if count:
            self._log.belief(
                "retry-after ignored",
                now,
                server=record.name,
                reason=reason,
                count=count,
            )


def is_from_server(
    context: RequestContext, head: ResponseHead, request_count: int
) -> bool:
    """Return whether a response comes from the run of the server that was meant.

    Another server responds with 421. On a connection that was used before, a response
    that does not name this request may be a late copy of an earlier one.
    """
    if head.status == names.STATUS_MISDIRECTED:
        return False
    request_id = head.header(names.REQUEST_ID)
    if request_id is None:
        return request_count == 1
    return request_id.decode("latin-1") == context.request_id
