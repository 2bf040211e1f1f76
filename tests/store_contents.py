"""Contents of a store that keeps revisions, forgets history and is restored."""

from copy import deepcopy
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """Represent a write of an item; its value is none if the item was removed."""

    revision: int
    key: str
    value: bytes | None


@dataclass
class StoreContents:
    """Hold items under one revision counter.

    :param era: number of times that the contents were restored, plus one.
    :param compacted_revision: revision up to which the history is lost.
    """

    revision: int = 1
    era: int = 1
    compacted_revision: int = 0
    item_by_key: dict[str, StoreEvent] = field(default_factory=dict)
    events: list[StoreEvent] = field(default_factory=list)

    def write(self, key: str, value: bytes | None) -> None:
        """Write an item, or remove it."""
        self.revision += 1
        event = StoreEvent(self.revision, key, value)
        self.events.append(event)
        self.item_by_key.pop(key, None)
        if value is not None:
            self.item_by_key[key] = event

    def compact(self) -> None:
        """Drop the history."""
        self.compacted_revision = self.revision

    def copy(self) -> "StoreContents":
        """Return a copy to restore from."""
        return deepcopy(self)

    def restore(self, copy: "StoreContents") -> None:
        """Lose all writes since the copy, and begin the next era."""
        copied = copy.copy()
        self.revision = copied.revision
        self.compacted_revision = copied.compacted_revision
        self.item_by_key = copied.item_by_key
        self.events = copied.events
        self.era += 1

    def page(self, after_key: str, size: int) -> tuple[list[StoreEvent], bool]:
        """Return a page of items in the order of keys, and whether more follow."""
        keys = sorted(key for key in self.item_by_key if key > after_key)
        return [self.item_by_key[key] for key in keys[:size]], len(keys) > size

    def changes_after(self, revision: int) -> list[StoreEvent] | None:
        """Return the changes after a revision, none if their history is not there."""
        if revision < self.compacted_revision or revision > self.revision:
            return None
        return [event for event in self.events if event.revision > revision]
