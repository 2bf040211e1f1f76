"""transport: poll reports of the servers of model services."""

from collections.abc import Callable

from result import Err
from twisted.internet import defer

from lacewingcleat.clock import read_now
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.group_tracker import RankStatus
from lacewingcleat.http_fetch import MAX_SERVER_DOCUMENT_BYTES, fetch
from lacewingcleat.platform.report_call import REPORT_TARGET, decode_report
from lacewingcleat.response_buffers import ResponseBuffers
from lacewingcleat.server_connection import ServerConnectionPool
from lacewingcleat.server_record import ServerRecord

# Servers need no slot for a report and answer within a few milliseconds.
REPORT_TIMEOUT_SECONDS = 0.4


class ReportPoller:
    """Fetch reports from servers.

    :param on_status: called with the server, its status and the time of each report.
    :param buffers: bound of all responses that are read at the same time.
    """

    def __init__(
        self,
        pool: ServerConnectionPool,
        on_status: Callable[[ServerRecord, RankStatus, float], None],
        log: DecisionLog,
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self._buffers = buffers
        self._pool = pool
        self._on_status = on_status
        self._log = log
        self._pending_servers: set[str] = set()
        self.poll_count = 0

    def poll(self, record: ServerRecord) -> None:
        """Request the report of a server, unless a request to it is pending."""
        if record.name in self._pending_servers:
            return
        self._pending_servers.add(record.name)
        polling = defer.ensureDeferred(self._poll(record))
        polling.addErrback(
            lambda failure: self._log.failure(
                "report failed", traceback=failure.getTraceback()
            )
        )
        polling.addBoth(lambda _: self._pending_servers.discard(record.name))

    async def _poll(self, record: ServerRecord) -> None:
        connection = await self._pool.acquire(record, read_now())
        if isinstance(connection, str):
            self._log_failure(record, f"connect: {connection}")
            return
        self.poll_count += 1
        response = await fetch(
            connection,
            record.address,
            REPORT_TARGET,
            REPORT_TIMEOUT_SECONDS,
            max_bytes=MAX_SERVER_DOCUMENT_BYTES,
            buffers=self._buffers,
        )
        if isinstance(response, str):
            self._log_failure(record, response)
            return
        self._pool.add_idle(record, connection, None, read_now())
        if response.status != 200:
            self._log_failure(record, f"status {response.status}")
            return
        decoded = decode_report(response.body)
        if isinstance(decoded, Err):
            self._log_failure(record, decoded.err_value)
            return
        self._on_status(record, decoded.ok_value, read_now())

    def _log_failure(self, record: ServerRecord, reason: str) -> None:
        self._log.belief("no report", read_now(), server=record.name, reason=reason)
