"""coordination: the registered backend servers and which of them accept new requests.

Registrations may expire during an outage of the store, because heartbeats of servers do
not reach it. Such servers stay in use for a grace period after the store has returned,
so that live servers have time to register again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewingcleat.server_record import ServerRecord

# A live server registers again within about 2 s of the store's return.
LAPSED_SECONDS = 2.0


@dataclass(slots=True)
class _Known:
    record: ServerRecord
    lapsed_until: float | None = None


def _is_gone(known: _Known, now: float) -> bool:
    return known.lapsed_until is not None and known.lapsed_until <= now


class ServerDirectory:
    """Index the backend servers by name and by service."""

    __slots__ = ("_known_by_name", "_names_by_service")

    def __init__(self) -> None:
        self._known_by_name: dict[str, _Known] = {}
        self._names_by_service: dict[str, list[str]] = {}

    def put(self, record: ServerRecord) -> ServerRecord | None:
        """Add or replace the record of a server and return the previous one."""
        known = self._known_by_name.get(record.name)
        self._known_by_name[record.name] = _Known(record)
        self._index()
        return known.record if known else None

    def remove(self, name: str, store_returned_at: float, now: float) -> bool:
        """Remove an unregistered server, or start its grace period after an outage.

        :param store_returned_at: when the store last became reachable after an outage.
        :returns: whether the server was removed immediately.
        """
        known = self._known_by_name.get(name)
        if known is None:
            return False
        until = store_returned_at + LAPSED_SECONDS
        if now < until and not known.record.leaving:
            known.lapsed_until = until
            return False
        del self._known_by_name[name]
        self._index()
        return True

    def expire(self, now: float) -> list[str]:
        """Remove and return the servers whose grace period has ended."""
        gone = [
            name for name, known in self._known_by_name.items() if _is_gone(known, now)
        ]
        for name in gone:
            del self._known_by_name[name]
        if gone:
            self._index()
        return gone

    def takes_requests(self, name: str, now: float) -> bool:
        """Return whether a server accepts new requests."""
        known = self._known_by_name.get(name)
        if known is None or known.record.leaving:
            return False
        return not _is_gone(known, now)

    def names(self) -> Iterable[str]:
        """Return the names of all servers in the directory."""
        return self._known_by_name.keys()

    def usable(self, service: str, now: float) -> list[ServerRecord]:
        """Return the servers of a service that accept new requests."""
        names = self._names_by_service.get(service, ())
        known = [self._known_by_name[name] for name in names]
        return [item.record for item in known if not _is_gone(item, now)]

    def known(self, service: str, now: float) -> list[ServerRecord]:
        """Return all servers of a service, including those that are leaving."""
        return [
            known.record
            for known in self._known_by_name.values()
            if known.record.service == service and not _is_gone(known, now)
        ]

    def _index(self) -> None:
        names_by_service: dict[str, list[str]] = {}
        for name in sorted(self._known_by_name):
            record = self._known_by_name[name].record
            if not record.leaving:
                names_by_service.setdefault(record.service, []).append(name)
        self._names_by_service = names_by_service
