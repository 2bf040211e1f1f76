"""coordination: the registered backend servers and which of them accept new requests.

Registrations may expire during an outage of the store, because heartbeats of servers do
not reach it. Such servers stay in use for a grace period after the store has returned,
so that live servers have time to register again.

A store that was restored from a copy shows servers as they were some seconds ago. What
was learnt of them since then stays in force: a server that had announced to leave still
does, and one that had been removed is used only once its registration has outlived the
time after which that of a dead server expires.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lacewingcleat.direct_settings import DEFAULT_HEARTBEAT_SECONDS
from lacewingcleat.server_record import ServerRecord

# A live server registers again within about 2 s of the store's return.
REGISTRATION_GRACE_SECONDS = 2.0
# A registration expires after three heartbeat intervals of silence; the fourth is for
# the time between the restore of the store and the first read.
EXPIRY_HEARTBEATS = 4.0
# Copies from which a store is restored are some seconds old.
MAX_COPY_AGE_SECONDS = 120.0


@dataclass(slots=True)
class _ListedServer:
    """Represent a registered server.

    :param accepts_from: time until which it gets no requests, because its registration
        may be that of a server that has been removed.
    :param grace_ends_at: time at which it is removed unless it registers again.
    """

    record: ServerRecord
    accepts_from: float = float("-inf")
    grace_ends_at: float | None = None

    def is_expired(self, now: float) -> bool:
        """Return whether its grace period has ended."""
        return self.grace_ends_at is not None and self.grace_ends_at <= now

    def accepts_requests(self, now: float) -> bool:
        """Return whether it accepts new requests."""
        return now >= self.accepts_from and not (
            self.record.leaving or self.is_expired(now)
        )


@dataclass(frozen=True, slots=True)
class _RemovedServer:
    record: ServerRecord
    removed_at: float


class ServerDirectory:
    """Index the backend servers by name and by service.

    :param heartbeat_seconds: interval in which servers renew their registration.
    """

    __slots__ = (
        "_expiry_seconds",
        "_listed_by_name",
        "_names_by_service",
        "_removed_by_name",
    )

    def __init__(self, heartbeat_seconds: float = DEFAULT_HEARTBEAT_SECONDS) -> None:
        self._expiry_seconds = EXPIRY_HEARTBEATS * heartbeat_seconds
        self._listed_by_name: dict[str, _ListedServer] = {}
        self._names_by_service: dict[str, list[str]] = {}
        self._removed_by_name: dict[str, _RemovedServer] = {}

    def put(self, record: ServerRecord) -> ServerRecord | None:
        """Add or replace the record of a server and return the previous one.

        A server that has announced to leave does not return before it starts again.
        """
        previous = self._listed_by_name.get(record.name)
        if previous and previous.record.leaving:
            record = _keep_leaving(record, previous.record)
        self._put_listed(_ListedServer(record))
        return previous.record if previous else None

    def put_copied(self, record: ServerRecord, now: float) -> ServerRecord | None:
        """Add a record that may be older than what is known of its server.

        :returns: the previous record.
        """
        previous = self._listed_by_name.get(record.name)
        if previous and previous.record.started_ms > record.started_ms:
            return previous.record
        removed = self._removed_by_name.get(record.name)
        if removed is None or removed.record.started_ms < record.started_ms:
            accepts_from = previous.accepts_from if previous else float("-inf")
            self.put(record)
            self._listed_by_name[record.name].accepts_from = accepts_from
            return previous.record if previous else None
        record = _keep_leaving(record, removed.record)
        self._put_listed(_ListedServer(record, now + self._expiry_seconds))
        return None

    def _put_listed(self, listed: _ListedServer) -> None:
        self._listed_by_name[listed.record.name] = listed
        self._removed_by_name.pop(listed.record.name, None)
        self._rebuild_index()

    def find(self, name: str) -> ServerRecord | None:
        """Return the record of a server, none if it is not registered."""
        listed = self._listed_by_name.get(name)
        return listed.record if listed else None

    def has_known_run(self, record: ServerRecord) -> bool:
        """Return whether a run of a server is registered or was until lately."""
        known = self._listed_by_name.get(record.name) or self._removed_by_name.get(
            record.name
        )
        return known is not None and known.record.started_ms == record.started_ms

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
        self._drop([name], now)
        return True

    def _drop(self, names: Iterable[str], now: float) -> None:
        for name in names:
            record = self._listed_by_name.pop(name).record
            self._removed_by_name[name] = _RemovedServer(record, now)
        self._rebuild_index()

    def expire(self, now: float) -> list[str]:
        """Remove and return the servers whose grace period has ended."""
        expired = [
            name
            for name, listed in self._listed_by_name.items()
            if listed.is_expired(now)
        ]
        if expired:
            self._drop(expired, now)
        self._removed_by_name = {
            name: removed
            for name, removed in self._removed_by_name.items()
            if now - removed.removed_at < MAX_COPY_AGE_SECONDS
        }
        return expired

    def accepts_requests(self, name: str, now: float) -> bool:
        """Return whether a server accepts new requests."""
        listed = self._listed_by_name.get(name)
        return listed is not None and listed.accepts_requests(now)

    def records(self) -> Iterable[ServerRecord]:
        """Return the records of all servers in the directory."""
        return [listed.record for listed in self._listed_by_name.values()]

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
        return [item.record for item in listed if item.accepts_requests(now)]

    def all_servers(self, service: str, now: float) -> list[ServerRecord]:
        """Return all servers of a service, including those that are leaving."""
        return [
            listed.record
            for listed in self._listed_by_name.values()
            if listed.record.service == service and not listed.is_expired(now)
        ]

    def _rebuild_index(self) -> None:
        names_by_service: dict[str, list[str]] = {}
        for name in sorted(self._listed_by_name):
            record = self._listed_by_name[name].record
            if not record.leaving:
                names_by_service.setdefault(record.service, []).append(name)
        self._names_by_service = names_by_service


def _keep_leaving(record: ServerRecord, known: ServerRecord) -> ServerRecord:
    """Return a record that says that the server leaves if its run is known to."""
    is_same_run = record.incarnation == known.incarnation
    return replace(record, leaving=record.leaving or (is_same_run and known.leaving))
