"""transport: ask servers of model services for reports when a decision needs them."""

from collections.abc import Callable

from result import Err
from twisted.internet import defer

from lacewingcleat.clock import read_now
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.group_tracker import RankStatus
from lacewingcleat.http_fetch import fetch
from lacewingcleat.platform.report_call import REPORT_TARGET, decode_report
from lacewingcleat.server_connection import ServerPool
from lacewingcleat.server_record import ServerRecord

# Reports need no slot and are answered in a few milliseconds.
REPORT_SECONDS = 0.4


class ReportReader:
    """Fetch reports.

    :param on_status: told each report that was read.
    """

    def __init__(
        self,
        pool: ServerPool,
        on_status: Callable[[ServerRecord, RankStatus, float], None],
        log: DecisionLog,
    ) -> None:
        self._pool = pool
        self._on_status = on_status
        self._log = log
        self._asked: set[str] = set()
        self.calls = 0

    def ask(self, record: ServerRecord) -> None:
        """Ask one server, unless it is being asked."""
        if record.name in self._asked:
            return
        self._asked.add(record.name)
        asking = defer.ensureDeferred(self._ask(record))
        asking.addErrback(
            lambda failure: self._log.failure(
                "report failed", traceback=failure.getTraceback()
            )
        )
        asking.addBoth(lambda _: self._asked.discard(record.name))

    async def _ask(self, record: ServerRecord) -> None:
        connection = await self._pool.obtain(record, read_now())
        if isinstance(connection, str):
            self._note(record, f"connect: {connection}")
            return
        self.calls += 1
        found = await fetch(connection, record.address, REPORT_TARGET, REPORT_SECONDS)
        if isinstance(found, str):
            self._note(record, found)
            return
        self._pool.keep(record, connection, None, read_now())
        if found.status != 200:
            self._note(record, f"status {found.status}")
            return
        decoded = decode_report(found.body)
        if isinstance(decoded, Err):
            self._note(record, decoded.err_value)
            return
        self._on_status(record, decoded.ok_value, read_now())

    def _note(self, record: ServerRecord, reason: str) -> None:
        self._log.belief("no report", read_now(), server=record.name, reason=reason)
