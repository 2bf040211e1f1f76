"""transport: what servers say about themselves in the heads of their responses."""

from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_state import DirectState
from lacewingcleat.platform import request_headers as names
from lacewingcleat.request_context import OpenAttempt, RequestContext
from lacewingcleat.server_connection import ResponseHead


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
    ) -> None:
        """Apply a response as soon as its head has arrived.

        It counts also if its body breaks off or its caller leaves meanwhile.

        :param request_count: number of requests sent on the connection.
        """
        if not is_from_server(context, head, request_count):
            return
        if names.says_leaving(head.headers):
            self._record_leaving(context, attempt, now)

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
