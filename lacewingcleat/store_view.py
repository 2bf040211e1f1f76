"""coordination: local copy of a prefix of the store, by one listing and watches.

The view is known to have been complete when the last successful read was sent, because
the response covers everything that the store had acknowledged by then.
"""

from dataclasses import dataclass, field

from lacewingcleat.store_items import (
    Changed,
    HistoryLost,
    Listed,
    ListRead,
    ReadFailed,
    StoreAnswer,
    StoreItem,
    StoreRead,
    WatchRead,
)

# An open watch does not confirm that the view is complete, so its duration adds to the
# age of the view. Together with the response time it stays below half of the shortest
# time within which a removed key must be refused (5 s).
WATCH_SECONDS = 1.4
# Reads of the store are metered, so changes in quick succession, such as the records of
# servers that start together, are batched into one read. The interval adds to the time
# until a configuration is in force, which is 2 s on the strictest site.
MIN_WATCH_GAP_SECONDS = 0.3
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.4
# Records of servers expire after three missed heartbeats, 3.6 s. An outage of the store
# that is long enough to have caused missed heartbeats lasts longer than this.
AWAY_SECONDS = 1.5
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class ViewChange:
    """Represent the keys changed by a read.

    :param was_away: whether this is the first read after an outage of the store.
    """

    keys: tuple[str, ...]
    was_away: bool


@dataclass(slots=True)
class _Listing:
    """Collect the pages of one listing.

    The pages are not a consistent snapshot, as each is read at its own store revision.

    :param started_at: time at which the read of the first page was sent.
    :param at: store revision of the first page.
    """

    started_at: float
    at: int | None = None
    after_key: str = ""
    item_by_key: dict[str, StoreItem] = field(default_factory=dict)


class StoreView:
    """Hold the items below one prefix and choose the next read.

    :ivar item_by_key: the items as last read.
    :ivar proved_at: last time at which the view is known to have been complete.
    :ivar returned_at: end of the last outage of the store.
    """

    __slots__ = (
        "_after",
        "_failed_since",
        "_failures",
        "_listing",
        "_next_at",
        "item_by_key",
        "proved_at",
        "returned_at",
    )

    def __init__(self) -> None:
        self.item_by_key: dict[str, StoreItem] = {}
        self.proved_at = NEVER
        self.returned_at = NEVER
        self._after: int | None = None
        self._listing: _Listing | None = None
        self._failures = 0
        self._failed_since: float | None = None
        self._next_at = NEVER

    def age(self, now: float) -> float:
        """Return the seconds since the view is known to have been complete."""
        return now - self.proved_at

    def next_read(self, now: float) -> tuple[StoreRead, float]:
        """Return the next read and the seconds to wait before sending it."""
        wait = max(0.0, self._next_at - now)
        if self._after is not None and self._listing is None:
            return WatchRead(self._after, WATCH_SECONDS), wait
        if self._listing is None:
            self._listing = _Listing(now + wait)
        return ListRead(self._listing.after_key), wait

    def accept(
        self,
        answer: StoreAnswer,
        sent_at: float,
        now: float,
    ) -> ViewChange:
        """Update the view with the response to the last read.

        :param sent_at: time at which the read was sent.
        """
        match answer:
            case ReadFailed():
                self._failures += 1
                if self._failed_since is None:
                    self._failed_since = sent_at
                delay = FIRST_RETRY_SECONDS * self._failures
                self._next_at = now + min(delay, MAX_RETRY_SECONDS)
                self._listing = None
                return ViewChange((), False)
            case HistoryLost():
                self._after = None
                self._listing = None
                self._next_at = now
                return ViewChange((), False)
            case Listed(items, has_more, at):
                return self._accept_page(items, has_more, at, sent_at, now)
            case Changed(items, at):
                return self._accept_changes(items, at, sent_at, now)

    def _accept_page(
        self,
        items: tuple[StoreItem, ...],
        has_more: bool,
        at: int,
        sent_at: float,
        now: float,
    ) -> ViewChange:
        listing = self._listing or _Listing(sent_at)
        self._listing = listing
        if listing.at is None:
            listing.at = at
            listing.started_at = sent_at
        listing.item_by_key.update({item.key: item for item in items})
        if has_more and items:
            listing.after_key = items[-1].key
            return ViewChange((), False)
        # A watch from the revision of the first page returns all changes made while
        # the pages were read.
        before = self.item_by_key
        self.item_by_key = listing.item_by_key
        self._after = listing.at
        self._listing = None
        changed = [
            key
            for key in before.keys() | self.item_by_key.keys()
            if before.get(key) != self.item_by_key.get(key)
        ]
        return self._prove(sorted(changed), listing.started_at, now)

    def _accept_changes(
        self,
        items: tuple[StoreItem, ...],
        at: int,
        sent_at: float,
        now: float,
    ) -> ViewChange:
        changed = []
        for item in items:
            known = self.item_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            changed.append(item.key)
            if item.value is None:
                self.item_by_key.pop(item.key, None)
            else:
                self.item_by_key[item.key] = item
        self._after = max(at, self._after or 0)
        self._next_at = now + MIN_WATCH_GAP_SECONDS if items else now
        return self._prove(changed, sent_at, now)

    def _prove(self, keys: list[str], sent_at: float, now: float) -> ViewChange:
        since = self._failed_since
        was_away = since is not None and now - since > AWAY_SECONDS
        if was_away:
            self.returned_at = now
        self._failed_since = None
        self.proved_at = max(self.proved_at, sent_at)
        self._failures = 0
        return ViewChange(tuple(keys), was_away)
