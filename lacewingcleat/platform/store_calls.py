"""protocol: read requests to the platform's store and their responses."""

import re
from binascii import a2b_base64
from urllib.parse import quote

import msgspec

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

MS_PER_SECOND = 1000
ERA_HEADER = b"store-era"
STATUS_OK = 200
STATUS_HISTORY_LOST = 410
_DIGITS = re.compile(rb"[0-9]{1,18}")


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    removed: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


def encode_read(prefix: str, read: StoreRead) -> str:
    """Return the path and query of a read of keys with a prefix."""
    match read:
        case ListRead(after_key):
            after = f"&after={quote(after_key, safe='/')}" if after_key else ""
            return f"/kv-range?prefix={quote(prefix, safe='/')}{after}"
        case WatchRead(after, wait_seconds):
            wait_ms = int(wait_seconds * MS_PER_SECOND)
            query = f"prefix={quote(prefix, safe='/')}&after={after}"
            return f"/kv-watch?{query}&wait_ms={wait_ms}"


def decode_era(value: bytes | None) -> int:
    """Decode the header with the era of the store, unknown if it is malformed."""
    if value is None or not _DIGITS.fullmatch(value):
        return UNKNOWN_ERA
    return int(value)


def decode_store_response(
    read: StoreRead, status: int, body: bytes, era: int = UNKNOWN_ERA
) -> StoreResponse:
    """Decode the response to a read.

    :param era: era of the store, from the header of the response.
    """
    if status == STATUS_HISTORY_LOST:
        return HistoryCompacted(era)
    if status != STATUS_OK:
        return ReadFailure(f"status {status}", era)
    try:
        match read:
            case ListRead():
                page = msgspec.json.decode(body, type=_Page)
                items = _convert_items(page.items)
                return ListPage(items, page.has_more, page.at, era)
            case WatchRead():
                changes = msgspec.json.decode(body, type=_Events)
                return WatchChanges(_convert_items(changes.events), changes.at, era)
    except (ValueError, RecursionError) as error:
        return ReadFailure(f"malformed answer: {error}", era)


def _convert_items(items: list[_Item]) -> tuple[StoreItem, ...]:
    return tuple(
        StoreItem(
            item.key,
            item.revision,
            None if item.removed else a2b_base64(item.value),
        )
        for item in items
    )
