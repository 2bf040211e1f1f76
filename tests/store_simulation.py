"""A simulated store that is written, compacted and restored, and a view of it."""

from random import Random

from lacewingcleat.store_items import (
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
from lacewingcleat.store_view import StoreView
from tests.store_contents import StoreContents, StoreEvent

KEYS = [f"k{number}" for number in range(8)]
PAGE_ITEMS = 3
MAX_LATENCY_SECONDS = 0.6

PendingRead = tuple[StoreRead, float, StoreResponse | None]


def _item(event: StoreEvent) -> StoreItem:
    return StoreItem(event.key, event.revision, event.value)


def answer_read(contents: StoreContents, read: StoreRead) -> StoreResponse:
    """Return the response of a store to a read."""
    match read:
        case ListRead(after_key):
            page, has_more = contents.page(after_key, PAGE_ITEMS)
            items = tuple(map(_item, page))
            return ListPage(items, has_more, contents.revision, contents.era)
        case WatchRead(after_revision):
            changes = contents.changes_after(after_revision)
            if changes is None:
                return HistoryCompacted(contents.era)
            items = tuple(map(_item, changes))
            return WatchChanges(items, contents.revision, contents.era)


class ViewSimulation:
    """Drive a view by reads that overlap with writes, restores and refreshes."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.now = 0.0
        self.contents = StoreContents()
        self.copies = [self.contents.copy()]
        self.view = StoreView()
        self.history: list[tuple[float, dict[str, bytes | None]]] = []
        self._record()

    def _record(self) -> None:
        values = {key: None for key in KEYS} | {
            key: event.value for key, event in self.contents.item_by_key.items()
        }
        self.history.append((self.now, values))

    def disturb(self) -> None:
        """Write, compact, copy or restore the store."""
        for _ in range(self._random.randint(0, 3)):
            match self._random.randrange(12):
                case 0:
                    self.contents.compact()
                case 1:
                    self.copies = [*self.copies[-2:], self.contents.copy()]
                case 2:
                    self.contents.restore(self._random.choice(self.copies))
                case number:
                    value = None if number == 3 else f"{self.now}".encode()
                    self.contents.write(self._random.choice(KEYS), value)
            self._record()

    def _wait(self) -> None:
        self.now += self._random.uniform(0.001, MAX_LATENCY_SECONDS / 2.0)
        self._record()

    def step(self) -> None:
        """Send a read and perhaps a refresh; their responses may change places."""
        read, wait = self.view.next_read(self.now)
        self.now += wait
        reads = [(read, False)]
        if (refresh := self.view.refresh_read()) and self._random.random() < 0.5:
            reads.append((refresh, True))
            self._random.shuffle(reads)
        sent_at = self.now
        responses = []
        for sent, is_refresh in reads:
            self._wait()
            self.disturb()
            lost = self._random.random() < 0.1
            response = ReadFailure("lost") if lost else answer_read(self.contents, sent)
            responses.append((response, is_refresh))
        self._random.shuffle(responses)
        for response, is_refresh in responses:
            self._wait()
            self.disturb()
            if not is_refresh:
                self.view.apply_response(response, sent_at, self.now)
            elif not isinstance(response, ReadFailure):
                self.view.apply_refresh(response, sent_at, self.now)

    def settle(self) -> None:
        """Read until the view has had the time to follow the store."""
        for _ in range(12):
            read, wait = self.view.next_read(self.now)
            self.now += wait + 0.01
            self.view.apply_response(
                answer_read(self.contents, read), self.now, self.now
            )

    def outdated_keys(self) -> list[str]:
        """Return keys whose values the store had at no time since the view's proof."""
        proven_at = self.view.complete_at
        since = [values for at, values in self.history if at >= proven_at]
        before = [values for at, values in self.history if at < proven_at][-1:]
        seen = self.view.item_by_key
        return [
            key
            for key in KEYS
            if all(
                values[key] != (seen[key].value if key in seen else None)
                for values in [*before, *since]
            )
        ]
