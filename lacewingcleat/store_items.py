"""state: items of the platform's key-value store, requests to read it, responses.

The store is read-only for this project.
"""

from dataclasses import dataclass

# The store counts how often it was restored from an older copy of itself. Revisions of
# different eras cannot be compared: they go back and are given out again.
UNKNOWN_ERA = 0


@dataclass(frozen=True, slots=True)
class StoreItem:
    """Represent one version of an item.

    :param revision: store revision at which the item was written or removed.
    :param value: its content, None if it was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class ListPage:
    """Represent one page of a listing.

    :param has_more: whether further pages follow.
    :param store_revision: store revision at which the page was read.
    :param era: era of the store, see `UNKNOWN_ERA`.
    """

    items: tuple[StoreItem, ...]
    has_more: bool
    store_revision: int
    era: int = UNKNOWN_ERA


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Represent the response to a watch: the changes since its start revision.

    :param store_revision: store revision up to which the changes are complete.
    :param era: era of the store, see `UNKNOWN_ERA`.
    """

    items: tuple[StoreItem, ...]
    store_revision: int
    era: int = UNKNOWN_ERA


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """Represent the response that the start revision of a watch has been compacted.

    The store no longer has all changes since that revision.

    :param era: era of the store, see `UNKNOWN_ERA`.
    """

    era: int = UNKNOWN_ERA


@dataclass(frozen=True, slots=True)
class ReadFailure:
    """Represent a read that failed.

    :param reason: description of the failure, for logs.
    :param era: era of the store, see `UNKNOWN_ERA`; unknown without an answer.
    """

    reason: str
    era: int = UNKNOWN_ERA


StoreResponse = ListPage | WatchChanges | HistoryCompacted | ReadFailure


@dataclass(frozen=True, slots=True)
class ListRead:
    """Request a page of items, in the order of their keys.

    :param after_key: last key of the previous page, empty for the first page.
    """

    after_key: str


@dataclass(frozen=True, slots=True)
class WatchRead:
    """Request the changes after a revision.

    :param after_revision: store revision after which changes are returned.
    :param wait_seconds: time that the store waits for a first change.
    """

    after_revision: int
    wait_seconds: float


StoreRead = ListRead | WatchRead
