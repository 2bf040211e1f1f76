"""coordination: reasons for which a server or a zone must not be sent requests now.

The operator evacuates zones, and a server says in its responses that it leaves or that
it asks for a pause. Each restriction has a source and an end. One that a server has
caused is bound to the run of its process and does not affect the next run.

Handles 12,000 servers: a look-up is independent of the number of servers, and only
restricted servers take memory.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from lacewingcleat.server_record import ServerRecord

NEVER = float("-inf")
# Time over which requests return to the servers of a zone after its evacuation. Their
# connections are closed and their caches are cold.
ZONE_RETURN_SECONDS = 8.0
# Share of the requests that may be sent to such a zone at first.
MIN_RETURN_SHARE = 0.1
# Share of its slots that a server of such a zone takes at first. With less, callers
# would be refused while under half of the slots are taken.
MIN_SLOT_SHARE = 0.5
# Time for which a run that leaves is remembered after its record is gone. A store may
# be restored from a copy that holds the record again.
LEAVING_MEMORY_SECONDS = 86_400.0
# The same for a run without a known start, whose name and address the next run may
# have as well; copies from which a store is restored are some seconds old.
UNKNOWN_START_MEMORY_SECONDS = 120.0


class RestrictionReason(StrEnum):
    """Name why no request may be sent to a server."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    PAUSED = "paused"


@dataclass(frozen=True, slots=True)
class Restriction:
    """Describe why no request may be sent to a server.

    :param source: the zone or the run of the server that has caused it.
    :param ends_at: time at which it ends, none if that is unknown.
    """

    reason: RestrictionReason
    source: str
    ends_at: float | None


def identify_run(record: ServerRecord) -> str:
    """Return what identifies the run of a server's process.

    The address stands for the start of the process where that is unknown.
    """
    if record.started_ms:
        return record.incarnation
    return f"{record.incarnation} {record.address}"


@dataclass(slots=True)
class _LeavingRun:
    """Represent a run that leaves.

    :param listed_at: last time at which its record was known.
    """

    record: ServerRecord
    listed_at: float

    @property
    def memory_seconds(self) -> float:
        """Return for how long it is remembered after its record is gone."""
        if self.record.started_ms:
            return LEAVING_MEMORY_SECONDS
        return UNKNOWN_START_MEMORY_SECONDS


@dataclass(slots=True)
class Evacuation:
    """Represent the evacuation of a zone.

    :param since: time at which the order was first read.
    :param ends_at: time at which it ends or has ended, none while the order stands.
    """

    since: float
    ends_at: float | None = None

    def is_in_force(self, now: float) -> bool:
        """Return whether no request may be sent to the zone."""
        return self.ends_at is None or now < self.ends_at


class ServerRestrictions:
    """Hold the restrictions of servers and zones that this entry knows."""

    __slots__ = ("_evacuation_by_zone", "_leaving_by_run")

    def __init__(self) -> None:
        self._leaving_by_run: dict[str, _LeavingRun] = {}
        self._evacuation_by_zone: dict[str, Evacuation] = {}

    # Queries

    def find(self, record: ServerRecord, now: float) -> Restriction | None:
        """Return why no request may be sent to a server, none if one may be.

        Of several restrictions, the one that lasts longest is returned: a run that
        leaves never returns, and the end of an evacuation is unknown.
        """
        if self.is_leaving(record):
            return Restriction(RestrictionReason.LEAVING, identify_run(record), None)
        evacuation = self._evacuation_by_zone.get(record.zone)
        if evacuation is not None and evacuation.is_in_force(now):
            return Restriction(
                RestrictionReason.EVACUATED, record.zone, evacuation.ends_at
            )
        return None

    def next_release(self, records: Iterable[ServerRecord], now: float) -> float | None:
        """Return when the first of some restricted servers may be sent requests.

        :returns: none if no server is restricted until a known time.
        """
        restrictions = (self.find(record, now) for record in records)
        return min(
            (
                restriction.ends_at
                for restriction in restrictions
                if restriction is not None and restriction.ends_at is not None
            ),
            default=None,
        )

    # Servers that leave

    def record_leaving(self, record: ServerRecord, now: float) -> bool:
        """Record that the run of a server leaves; return whether that is new."""
        run = identify_run(record)
        if run in self._leaving_by_run:
            return False
        self._leaving_by_run[run] = _LeavingRun(record, now)
        return True

    def is_leaving(self, record: ServerRecord) -> bool:
        """Return whether the run of a server has said that it leaves."""
        # The usual case, in which no run has to be identified.
        if not self._leaving_by_run:
            return False
        return identify_run(record) in self._leaving_by_run

    # Evacuated zones

    def order_evacuation(self, zone: str, now: float) -> bool:
        """Apply an order to evacuate a zone and return whether it is new."""
        known = self._evacuation_by_zone.get(zone)
        if known is not None and known.ends_at is None:
            return False
        if known is not None and known.is_in_force(now):
            # The operator has written the order again after a restore of the store.
            known.ends_at = None
            return True
        self._evacuation_by_zone[zone] = Evacuation(now)
        return True

    def end_evacuation(self, zone: str, ends_at: float) -> bool:
        """End the evacuation of a zone whose order is gone; return whether it stood.

        :param ends_at: the present, or the time until which the order may be written
            again.
        """
        known = self._evacuation_by_zone.get(zone)
        if known is None or known.ends_at is not None:
            return False
        known.ends_at = ends_at
        return True

    def ordered_zones(self) -> list[str]:
        """Return the zones whose evacuation is ordered."""
        return [
            zone
            for zone, evacuation in self._evacuation_by_zone.items()
            if evacuation.ends_at is None
        ]

    def evacuated_since(self, now: float) -> dict[str, float]:
        """Return since when each evacuated zone is evacuated."""
        return {
            zone: evacuation.since
            for zone, evacuation in self._evacuation_by_zone.items()
            if evacuation.is_in_force(now)
        }

    def return_share(self, zone: str, now: float) -> float:
        """Return the share of the requests that may be sent to a zone.

        It is below 1 for some time after an evacuation.
        """
        evacuation = self._evacuation_by_zone.get(zone)
        if evacuation is None:
            return 1.0
        if evacuation.ends_at is None or now < evacuation.ends_at:
            return 0.0
        progress = (now - evacuation.ends_at) / ZONE_RETURN_SECONDS
        return min(1.0, MIN_RETURN_SHARE + (1.0 - MIN_RETURN_SHARE) * progress)

    def slot_share(self, zone: str, now: float) -> float:
        """Return the share of its slots that a server of a zone takes."""
        return max(MIN_SLOT_SHARE, self.return_share(zone, now))

    def returning_zones(self, now: float) -> list[str]:
        """Return the zones to which requests are returning after an evacuation."""
        return [
            zone
            for zone in self._evacuation_by_zone
            if 0.0 < self.return_share(zone, now) < 1.0
        ]

    def spared_zones(self, random: Random, now: float) -> frozenset[str]:
        """Draw the returning zones that one request is not to be sent to.

        One draw decides for all servers of a zone, so that its share of the requests
        does not depend on the number of its servers.
        """
        return frozenset(
            zone
            for zone in self.returning_zones(now)
            if random.random() >= self.return_share(zone, now)
        )

    # Maintenance

    def expire(
        self, find_record: Callable[[str], ServerRecord | None], now: float
    ) -> list[str]:
        """Remove what no longer applies; return the zones in full use again.

        :param find_record: returns the record of a server, none if it is not listed.
        """
        for run, leaving in list(self._leaving_by_run.items()):
            record = find_record(leaving.record.name)
            if record is not None and identify_run(record) == run:
                leaving.listed_at = now
            elif now - leaving.listed_at > leaving.memory_seconds:
                del self._leaving_by_run[run]
        returned = [
            zone
            for zone in self._evacuation_by_zone
            if self.return_share(zone, now) >= 1.0
        ]
        for zone in returned:
            del self._evacuation_by_zone[zone]
        return returned
