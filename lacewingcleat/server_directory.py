"""coordination: which backend servers exist and which of them take new requests.

Entries of servers may lapse while the store is away, because their heartbeats do not
reach it. Such servers stay in use until the store has been back for as long as a live
server needs to register again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewingcleat.server_record import ServerRecord

# A live server is listed again within about 2 s of the store's return.
REGISTRATION_GRACE_SECONDS = 2.0


@dataclass(slots=True)
class _ListedServer:
    record: ServerRecord
    grace_ends_at: float | None = None


def _is_expired(listed: _ListedServer, now: float) -> bool:
    return listed.grace_ends_at is not None and listed.grace_ends_at <= now


class ServerDirectory:
    """Keep the backend servers by name and by service."""

    __slots__ = ("_listed_by_name", "_names_by_service")

    def __init__(self) -> None:
        self._listed_by_name: dict[str, _ListedServer] = {}
        self._names_by_service: dict[str, list[str]] = {}

    def put(self, record: ServerRecord) -> ServerRecord | None:
        """Take over a record; return the one that it replaces."""
        previous = self._listed_by_name.get(record.name)
        self._listed_by_name[record.name] = _ListedServer(record)
        self._rebuild_index()
        return previous.record if previous else None

    def remove(self, name: str, store_returned_at: float, now: float) -> bool:
        """Drop a server whose entry is missing; return whether it is dropped now.

        :param store_returned_at: when the store was last reached again after a while.
        """
        listed = self._listed_by_name.get(name)
        if listed is None:
            return False
        grace_ends_at = store_returned_at + REGISTRATION_GRACE_SECONDS
        if now < grace_ends_at and not listed.record.leaving:
            listed.grace_ends_at = grace_ends_at
            return False
        del self._listed_by_name[name]
        self._rebuild_index()
        return True

    def expire(self, now: float) -> list[str]:
        """Drop the lapsed servers that were not listed again in time."""
        expired = [
            name
            for name, listed in self._listed_by_name.items()
            if _is_expired(listed, now)
        ]
        for name in expired:
            del self._listed_by_name[name]
        if expired:
            self._rebuild_index()
        return expired

    def accepts_requests(self, name: str, now: float) -> bool:
        """Return whether a server may still be sent new requests."""
        listed = self._listed_by_name.get(name)
        if listed is None or listed.record.leaving:
            return False
        return not _is_expired(listed, now)

    def names(self) -> Iterable[str]:
        """Return the names of all known servers."""
        return self._listed_by_name.keys()

    def accepting_servers(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of a service that take new requests."""
        names = self._names_by_service.get(service, ())
        listed = [self._listed_by_name[name] for name in names]
        return [item.record for item in listed if not _is_expired(item, now)]

    def all_servers(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of a service, those that are leaving included."""
        return [
            listed.record
            for listed in self._listed_by_name.values()
            if listed.record.service == service and not _is_expired(listed, now)
        ]

    def _rebuild_index(self) -> None:
        names_by_service: dict[str, list[str]] = {}
        for name in sorted(self._listed_by_name):
            record = self._listed_by_name[name].record
            if not record.leaving:
                names_by_service.setdefault(record.service, []).append(name)
        self._names_by_service = names_by_service
