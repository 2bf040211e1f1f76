"""coordination: local copy of a prefix of the store, by one listing and watches.

The view is known to have been complete when the last successful read was sent, because
the response covers everything that the store had acknowledged by then.

A restored store begins a new era. Revisions and responses of an earlier era say nothing
about it, so the view is then read anew by a listing.
"""

from dataclasses import dataclass, field

from lacewingcleat.store_items import (
    UNKNOWN_ERA,
    HistoryCompacted,
    ListPage,
    ListRead,
    ReadFailure,
    StoreItem,
    StoreRead,
    StoreResponse,
    WatchChanges,
    WatchRead,
)

# An open watch does not confirm that the view is complete, so its duration adds to the
# age of the view. Together with the response time it stays below half of the shortest
# time within which a removed key must be refused (5 s).
WATCH_WAIT_SECONDS = 1.4
# Reads of the store are metered, so changes in quick succession, such as the records of
# servers that start together, are batched into one read. The interval adds to the time
# until a configuration is in force, which is 2 s on the strictest site.
MIN_WATCH_INTERVAL_SECONDS = 0.3
RETRY_DELAY_STEP_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 0.4
# Records of servers expire after three missed heartbeats, 3.6 s. An outage of the store
# that is long enough to have caused missed heartbeats lasts longer than this.
MIN_OUTAGE_SECONDS = 1.5
NEVER = float("-inf")
# Time within which its writers write again what a restored store has lost.
REWRITE_SECONDS = 2.0
# Revisions of the store begin above 0.
NO_REVISION = 0


@dataclass(frozen=True, slots=True)
class ViewChange:
    """Represent the keys changed by a read.

    :param after_outage: whether this is the first read after an outage of the store,
        or the first listing since it was restored.
    :param confirmed_at: last time at which the view was known to have been complete
        before this read.
    """

    keys: tuple[str, ...]
    after_outage: bool
    confirmed_at: float = NEVER


@dataclass(frozen=True, slots=True)
class _OpenRead:
    """Represent a read that was sent.

    :param era: era that the view was read from at that time.
    """

    read: StoreRead
    era: int


@dataclass(slots=True)
class _Listing:
    """Collect the pages of one listing.

    The pages are not a consistent snapshot, as each is read at its own store revision.

    :param started_at: time at which the read of the first page was sent.
    :param store_revision: store revision of the first page.
    """

    started_at: float
    store_revision: int | None = None
    after_key: str = ""
    item_by_key: dict[str, StoreItem] = field(default_factory=dict)


class StoreView:
    """Hold the items below one prefix and choose the next read.

    :ivar item_by_key: the items as last read.
    :ivar complete_at: last time at which the view is known to have been complete.
    :ivar recovered_at: end of the last outage of the store, or of the first listing
        after a restore.
    """

    __slots__ = (
        "_awaits_listing",
        "_consecutive_failures",
        "_copied_revision",
        "_era",
        "_failed_since",
        "_listing",
        "_next_read_at",
        "_open_read",
        "_open_refresh",
        "_reports_all",
        "_restored_at",
        "_watch_revision",
        "complete_at",
        "item_by_key",
        "recovered_at",
    )

    def __init__(self) -> None:
        self.item_by_key: dict[str, StoreItem] = {}
        self.complete_at = NEVER
        self.recovered_at = NEVER
        self._watch_revision: int | None = None
        self._listing: _Listing | None = None
        self._consecutive_failures = 0
        self._failed_since: float | None = None
        self._next_read_at = NEVER
        self._era = UNKNOWN_ERA
        # Set from the moment a restore is noticed until the store is listed anew.
        self._awaits_listing = False
        self._reports_all = False
        self._copied_revision = NO_REVISION
        self._restored_at = NEVER
        self._open_read = _OpenRead(ListRead(""), UNKNOWN_ERA)
        self._open_refresh = _OpenRead(WatchRead(0, 0.0), UNKNOWN_ERA)

    def age(self, now: float) -> float:
        """Return the seconds since the view is known to have been complete."""
        return now - self.complete_at

    def may_be_lost(self, key: str, now: float) -> bool:
        """Return whether the store may have lost the newest version of an item.

        The writers of a restored store need some time to write it again.
        """
        if self._awaits_listing:
            return True
        if now - self._restored_at >= REWRITE_SECONDS:
            return False
        item = self.item_by_key.get(key)
        return item is None or self.may_be_copied(item)

    @property
    def rewrites_until(self) -> float:
        """Return when all that a restored store has lost is written again."""
        return self._restored_at + REWRITE_SECONDS

    def may_be_copied(self, item: StoreItem) -> bool:
        """Return whether an item may be as old as the copy of a restored store."""
        return item.revision <= self._copied_revision

    def list_anew(self, now: float) -> None:
        """List the store anew and report all items, as changes have been lost."""
        self._watch_revision = None
        self._listing = None
        self._reports_all = True
        self._next_read_at = now + MAX_RETRY_DELAY_SECONDS
        self.complete_at = NEVER

    def next_read(self, now: float) -> tuple[StoreRead, float]:
        """Return the next read and the seconds to wait before sending it."""
        wait = max(0.0, self._next_read_at - now)
        read = self._choose_read(now + wait)
        self._open_read = _OpenRead(read, self._era)
        return read, wait

    def _choose_read(self, sent_at: float) -> StoreRead:
        if self._watch_revision is not None and self._listing is None:
            return WatchRead(self._watch_revision, WATCH_WAIT_SECONDS)
        if self._listing is None:
            self._listing = _Listing(sent_at)
        return ListRead(self._listing.after_key)

    def refresh_read(self) -> WatchRead | None:
        """Return a read that only confirms the view, none if there is no view yet."""
        if self._watch_revision is None or self._listing is not None:
            return None
        read = WatchRead(self._watch_revision, 0.0)
        self._open_refresh = _OpenRead(read, self._era)
        return read

    def apply_refresh(
        self, response: StoreResponse, sent_at: float, now: float
    ) -> ViewChange:
        """Update the view with the response to a refresh beside the regular reads.

        :param sent_at: time at which the read was sent.
        """
        if not self._belongs_to_view(response, self._open_refresh):
            return ViewChange((), False)
        if isinstance(response, WatchChanges) and self._watch_revision is not None:
            return self._apply_changes(
                response.items, response.store_revision, sent_at, now
            )
        return ViewChange((), False)

    def apply_response(
        self,
        response: StoreResponse,
        sent_at: float,
        now: float,
    ) -> ViewChange:
        """Update the view with the response to the last read.

        :param sent_at: time at which the read was sent.
        """
        if not self._belongs_to_view(response, self._open_read):
            self._next_read_at = now
            return ViewChange((), False)
        match response:
            case ReadFailure():
                self._consecutive_failures += 1
                if self._failed_since is None:
                    self._failed_since = sent_at
                delay = RETRY_DELAY_STEP_SECONDS * self._consecutive_failures
                self._next_read_at = now + min(delay, MAX_RETRY_DELAY_SECONDS)
                self._listing = None
                return ViewChange((), False)
            case HistoryCompacted():
                self._watch_revision = None
                self._listing = None
                self._next_read_at = now
                return ViewChange((), False)
            case ListPage(items, has_more, store_revision):
                return self._apply_page(items, has_more, store_revision, sent_at, now)
            case WatchChanges(items, store_revision):
                return self._apply_changes(items, store_revision, sent_at, now)

    def _belongs_to_view(self, response: StoreResponse, sent: _OpenRead) -> bool:
        """Return whether a response is about the store that the view is read from.

        A response of a later era makes the view start anew. It then belongs to the view
        only if it does not depend on anything read before.
        """
        if isinstance(response, ReadFailure):
            self._enter_era(response.era)
            return True
        if response.era != UNKNOWN_ERA and response.era < self._era:
            return False
        self._enter_era(response.era)
        if sent.read == ListRead("") or isinstance(response, HistoryCompacted):
            return True
        if sent.era != self._era:
            return False
        if isinstance(response, WatchChanges) and isinstance(sent.read, WatchRead):
            if response.store_revision < sent.read.after_revision:
                self._start_anew()
                return False
        return True

    def _enter_era(self, era: int) -> None:
        if era == UNKNOWN_ERA or era <= self._era:
            return
        if self._era != UNKNOWN_ERA:
            self._start_anew()
        self._era = era

    def _start_anew(self) -> None:
        """Discard what was read of the store before it was restored.

        The items stay until the listing is complete.
        """
        self._watch_revision = None
        self._listing = None
        self._awaits_listing = True

    def _apply_page(
        self,
        items: tuple[StoreItem, ...],
        has_more: bool,
        store_revision: int,
        sent_at: float,
        now: float,
    ) -> ViewChange:
        listing = self._listing or _Listing(sent_at)
        self._listing = listing
        if listing.store_revision is None:
            listing.store_revision = store_revision
            listing.started_at = sent_at
        listing.item_by_key.update({item.key: item for item in items})
        if has_more and items:
            listing.after_key = items[-1].key
            return ViewChange((), False)
        # A watch from the revision of the first page returns all changes made while
        # the pages were read.
        previous_items = self.item_by_key
        self.item_by_key = listing.item_by_key
        self._watch_revision = listing.store_revision
        if self._awaits_listing:
            self._copied_revision = listing.store_revision
        self._listing = None
        changed_keys = [
            key
            for key in previous_items.keys() | self.item_by_key.keys()
            if self._reports_all or previous_items.get(key) != self.item_by_key.get(key)
        ]
        self._reports_all = False
        return self._record_success(sorted(changed_keys), listing.started_at, now)

    def _apply_changes(
        self,
        items: tuple[StoreItem, ...],
        store_revision: int,
        sent_at: float,
        now: float,
    ) -> ViewChange:
        changed_keys = []
        known_revision = self._watch_revision or 0
        for item in items:
            if item.revision <= known_revision:
                # A refresh has overtaken this watch and may have removed the item.
                continue
            current = self.item_by_key.get(item.key)
            if current is not None and current.revision >= item.revision:
                continue
            changed_keys.append(item.key)
            if item.value is None:
                self.item_by_key.pop(item.key, None)
            else:
                self.item_by_key[item.key] = item
        self._watch_revision = max(store_revision, self._watch_revision or 0)
        self._next_read_at = now + MIN_WATCH_INTERVAL_SECONDS if items else now
        return self._record_success(changed_keys, sent_at, now)

    def _record_success(
        self, keys: list[str], sent_at: float, now: float
    ) -> ViewChange:
        failed_since = self._failed_since
        is_first_listing = self._awaits_listing and self._watch_revision is not None
        after_outage = is_first_listing or (
            failed_since is not None and now - failed_since > MIN_OUTAGE_SECONDS
        )
        if after_outage:
            self.recovered_at = now
        if is_first_listing:
            self._awaits_listing = False
            self._restored_at = now
        self._failed_since = None
        confirmed_at = self.complete_at
        self.complete_at = max(self.complete_at, sent_at)
        self._consecutive_failures = 0
        return ViewChange(tuple(keys), after_outage, confirmed_at)
