"""coordination: the registered backend servers and which of them accept new requests.

Registrations may expire during an outage of the store, because heartbeats of servers do
not reach it. Such servers stay in use for a grace period after the store has returned,
so that live servers have time to register again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewingcleat.server_record import ServerRecord

# A live server registers again within about 2 s of the store's return.
REGISTRATION_GRACE_SECONDS = 2.0


@dataclass(slots=True)
class _ListedServer:
    record: ServerRecord
    grace_ends_at: float | None = None


def _is_expired(listed: _ListedServer, now: float) -> bool:
    return listed.grace_ends_at is not None and listed.grace_ends_at <= now


class ServerDirectory:
    """Index the backend servers by name and by service."""

    __slots__ = ("_listed_by_name", "_names_by_service")

    def __init__(self) -> None:
        self._listed_by_name: dict[str, _ListedServer] = {}
        self._names_by_service: dict[str, list[str]] = {}

    def put(self, record: ServerRecord) -> ServerRecord | None:
        """Add or replace the record of a server and return the previous one."""
        previous = self._listed_by_name.get(record.name)
        self._listed_by_name[record.name] = _ListedServer(record)
        self._rebuild_index()
        return previous.record if previous else None

    def remove(self, name: str, store_returned_at: float, now: float) -> bool:
        """Remove an unregistered server, or start its grace period after an outage.

        :param store_returned_at: when the store last became reachable after an outage.
        :returns: whether the server was removed immediately.
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
        """Remove and return the servers whose grace period has ended."""
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
        """Return whether a server accepts new requests."""
        listed = self._listed_by_name.get(name)
        if listed is None or listed.record.leaving:
            return False
        return not _is_expired(listed, now)

    def names(self) -> Iterable[str]:
        """Return the names of all servers in the directory."""
        return self._listed_by_name.keys()

    def incarnations(self) -> set[str]:
        """Return the runs of all servers in the directory."""
        return {listed.record.incarnation for listed in self._listed_by_name.values()}

    def accepting_servers(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of a service that accept new requests."""
        names = self._names_by_service.get(service, ())
        listed = [self._listed_by_name[name] for name in names]
        return [item.record for item in listed if not _is_expired(item, now)]

    def all_servers(self, service: str, now: float) -> list[ServerRecord]:
        """Return all servers of a service, including those that are leaving."""
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
