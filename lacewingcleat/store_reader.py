"""transport: read one prefix of the platform's store and keep a view up to date."""

from collections.abc import Callable
from traceback import format_exc
from typing import Any

from twisted.internet import defer, task

from lacewingcleat.clock import read_now
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.http_fetch import fetch
from lacewingcleat.platform.store_calls import (
    ERA_HEADER,
    decode_era,
    decode_store_response,
    encode_read,
)
from lacewingcleat.server_connection import ServerConnection, ServerConnectionPool
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.store_items import (
    UNKNOWN_ERA,
    HistoryCompacted,
    ListPage,
    ReadFailure,
    StoreRead,
    StoreResponse,
    WatchRead,
)
from lacewingcleat.store_view import StoreView, ViewChange

# A slow store responds after a few hundred milliseconds. An unresponsive connection
# must time out early enough for the next one to refresh the view before it is so old
# that API keys are no longer admitted.
RESPONSE_TIMEOUT_SECONDS = 0.9
RESTART_DELAY_SECONDS = 0.5
# Time limit of a read on which a caller waits.
REFRESH_TIMEOUT_SECONDS = 0.25


class StoreReader:
    """Read one prefix of the store continuously, by a listing and then by watches.

    :param address: IP and port of the store.
    :param on_change: called after each successful read, with the changed keys and the
        time of the response.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        prefix: str,
        on_change: Callable[[ViewChange, float], None],
        log: DecisionLog,
    ) -> None:
        self._reactor = reactor
        self._prefix = prefix
        self._on_change = on_change
        self._log = log
        self._pool = ServerConnectionPool(reactor)
        self._store = ServerRecord("store", "", address, "", 1, False, 0)
        self._connection: ServerConnection | None = None
        self._reachable = True
        self._address = address
        self._refreshing: defer.Deferred[None] | None = None
        self.view = StoreView()
        self.call_count = 0
        self.listing_count = 0
        self.era = UNKNOWN_ERA

    def start(self) -> None:
        """Start to read."""
        running = defer.ensureDeferred(self._run())
        running.addErrback(self._restart)

    def _restart(self, failure: Any) -> None:
        """Restart the reads after an unexpected exception.

        Without reads the view becomes too old, and no API key is admitted.
        """
        self._log.failure("store reads ended", traceback=failure.getTraceback())
        self._reactor.callLater(RESTART_DELAY_SECONDS, self.start)

    async def refresh(self) -> None:
        """Bring the view up to date by a read that is sent now.

        Callers that wait at the same time share one read. Without a sound store or a
        listing to start from, this returns at once and the view stays as it is.
        """
        if self._refreshing is None:
            read = self.view.refresh_read()
            if read is None or not self._reachable:
                return
            self._refreshing = defer.ensureDeferred(self._refresh(read))
            self._refreshing.addErrback(
                lambda failure: self._log.failure(
                    "refresh failed", traceback=failure.getTraceback()
                )
            )
            self._refreshing.addBoth(lambda _: setattr(self, "_refreshing", None))
        done: defer.Deferred[None] = defer.Deferred()
        self._refreshing.addBoth(lambda _: done.callback(None))
        await done

    async def _refresh(self, read: WatchRead) -> None:
        sent_at = read_now()
        opened = await self._pool.connect(self._store)
        if isinstance(opened, str):
            return
        response = await self._fetch(opened, read, REFRESH_TIMEOUT_SECONDS)
        opened.abort()
        if isinstance(response, ReadFailure):
            # The watch in progress decides whether the store is reachable.
            return
        now = read_now()
        self._log_progress(read, response, now)
        change = self.view.apply_refresh(response, sent_at, now)
        self._report_change(change, now)

    async def _run(self) -> None:
        while True:
            read, wait = self.view.next_read(read_now())
            if wait > 0.0:
                await task.deferLater(self._reactor, wait, lambda: None)
            sent_at = read_now()
            response = await self._read(read)
            now = read_now()
            self._log_reachability(response, now)
            self._log_progress(read, response, now)
            change = self.view.apply_response(response, sent_at, now)
            if not isinstance(response, ReadFailure):
                self._report_change(change, now)

    def _report_change(self, change: ViewChange, now: float) -> None:
        """Report the changed items; after an error, all items are read again."""
        try:
            self._on_change(change, now)
        except Exception:
            self._log.failure("store change failed", traceback=format_exc())
            self.view.list_anew(now)

    def _log_reachability(self, response: StoreResponse, now: float) -> None:
        match response:
            case ReadFailure(reason):
                if self._reachable:
                    self._reachable = False
                    self._log.dependency(
                        "store", "lost", prefix=self._prefix, reason=reason
                    )
            case _:
                if not self._reachable:
                    self._reachable = True
                    self._log.dependency(
                        "store",
                        "regained",
                        prefix=self._prefix,
                        age=round(self.view.age(now), 3),
                    )

    def _log_progress(
        self, read: StoreRead, response: StoreResponse, now: float
    ) -> None:
        """Log what cannot be told from the changes alone: eras and listings."""
        if response.era not in (UNKNOWN_ERA, self.era):
            self._log.belief(
                "store era", now, era=response.era, previous=self.era, read=str(read)
            )
            self.era = response.era
        match response:
            case HistoryCompacted():
                self._log.belief("store history lost", now, read=str(read))
            case ListPage(items, has_more, store_revision):
                self.listing_count += not has_more
                self._log.belief(
                    "store listed",
                    now,
                    era=response.era,
                    revision=store_revision,
                    items=len(items),
                    has_more=has_more,
                )

    async def _read(self, read: StoreRead) -> StoreResponse:
        connection = self._connection
        self._connection = None
        if connection is None or not connection.open:
            opened = await self._pool.connect(self._store)
            if isinstance(opened, str):
                return ReadFailure(opened)
            connection = opened
        wait = read.wait_seconds if isinstance(read, WatchRead) else 0.0
        response = await self._fetch(connection, read, wait + RESPONSE_TIMEOUT_SECONDS)
        if connection.open:
            self._connection = connection
        return response

    async def _fetch(
        self, connection: ServerConnection, read: StoreRead, timeout_seconds: float
    ) -> StoreResponse:
        self.call_count += 1
        target = encode_read(self._prefix, read).encode()
        fetched = await fetch(connection, self._address, target, timeout_seconds)
        if isinstance(fetched, str):
            return ReadFailure(fetched)
        era = decode_era(fetched.header(ERA_HEADER))
        return decode_store_response(read, fetched.status, fetched.body, era)
