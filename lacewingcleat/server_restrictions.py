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

from lacewingcleat.retry_after import MAX_WAIT_SHARE, NETWORK_MARGIN_SECONDS
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
# Longest pause that a server is granted at once. One that needs more says so again;
# one whose value is wrong is back after a minute.
MAX_PAUSE_SECONDS = 60.0
# Servers whose pauses end together would get the requests of all entries in the same
# moment. So each entry returns at a random time within this one, or within a time as
# long as a shorter pause.
PAUSE_RETURN_SECONDS = 3.0
# Callers that are refused during a pause are spread over this time after its end. With
# 2 s for both, 3.3 times the ordinary requests arrived in half a second; longer times
# than 3 s lower the peak little (`tests/pause_simulation.py`).
RELEASE_JITTER_SECONDS = 3.0
# Interval between log lines about values that are ignored.
IGNORED_LOG_SECONDS = 10.0


class RestrictionReason(StrEnum):
    """Name why no request may be sent to a server."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    PAUSED = "paused"


class UnusableReason(StrEnum):
    """Name why a server is not used for reasons that are decided elsewhere.

    :cvar LEAVING: its record says that it leaves.
    :cvar UNREGISTERED: its registration has lapsed or may be that of an earlier run.
    :cvar UNREACHABLE: connecting to it has failed.
    :cvar TRIED: an attempt at it or at its group has failed the request.
    :cvar COLD: it is cold and this entry has used its part of what it accepts.
    :cvar FULL: it has as many requests as it may have.
    """

    LEAVING = "leaving"
    UNREGISTERED = "unregistered"
    UNREACHABLE = "unreachable"
    GROUP_CLOSED = "group closed"
    RATE_LIMITED = "rate limited"
    COLD = "cold"
    EJECTED = "ejected"
    TRIED = "tried"
    FULL = "full"


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
class _Pause:
    """Represent the pause that a server has asked for.

    :param ends_at: time at which it ends for the server.
    :param released_at: time at which this entry sends requests again.
    """

    ends_at: float
    released_at: float


@dataclass(slots=True)
class _ReturnTurn:
    """Represent the turn of this entry when the pauses of a service end.

    :param position: from 0, the first entry, to 1.
    :param until: end of the pauses for which it holds.
    """

    position: float
    until: float


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
    """Hold the restrictions of servers and zones that this entry knows.

    :ivar ignored_pauses: number of requests for a pause that could not be read.
    """

    __slots__ = (
        "_evacuation_by_zone",
        "_ignored_logged_at",
        "_leaving_by_run",
        "_pause_by_run",
        "_turn_by_service",
        "_unlogged_ignored",
        "ignored_pauses",
    )

    def __init__(self) -> None:
        self._pause_by_run: dict[str, _Pause] = {}
        self._turn_by_service: dict[str, _ReturnTurn] = {}
        self._ignored_logged_at = NEVER
        self._unlogged_ignored = 0
        self.ignored_pauses = 0
        self._leaving_by_run: dict[str, _LeavingRun] = {}
        self._evacuation_by_zone: dict[str, Evacuation] = {}

    # Queries

    @property
    def has_any(self) -> bool:
        """Return whether any server or zone may be restricted."""
        return bool(
            self._leaving_by_run or self._pause_by_run or self._evacuation_by_zone
        )

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
        return self._find_pause(record, now)

    def is_restricted_run(self, record: ServerRecord, now: float) -> bool:
        """Return whether a server itself has said that it leaves or pauses."""
        return self.is_leaving(record) or self._find_pause(record, now) is not None

    def _find_pause(self, record: ServerRecord, now: float) -> Restriction | None:
        # The usual case, in which no run has to be identified.
        if not self._pause_by_run:
            return None
        run = identify_run(record)
        pause = self._pause_by_run.get(run)
        if pause is None or now >= pause.released_at:
            return None
        return Restriction(RestrictionReason.PAUSED, run, pause.released_at)

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

    # Servers that ask for a pause

    def record_pause(
        self,
        record: ServerRecord,
        seconds: float,
        entry_count: int,
        random: Random,
        now: float,
    ) -> bool:
        """Record that a server asks for a pause; return whether it had none.

        A pause is never shortened, as an older request may be refused later.

        :param seconds: time from now for which the server is to get no requests.
        :param entry_count: number of known entries, this one included.
        """
        seconds = min(seconds, MAX_PAUSE_SECONDS)
        if seconds <= 0.0:
            return False
        run = identify_run(record)
        known = self._pause_by_run.get(run)
        is_new = known is None or now >= known.released_at
        ends_at = now + seconds
        if known is not None:
            ends_at = max(ends_at, known.ends_at)
        position = self._take_turn(record.service, entry_count, random, now, ends_at)
        spread = min(PAUSE_RETURN_SECONDS, seconds)
        released_at = ends_at + spread * position
        if known is not None:
            released_at = max(released_at, known.released_at)
        self._pause_by_run[run] = _Pause(ends_at, released_at)
        return is_new

    def _take_turn(
        self,
        service: str,
        entry_count: int,
        random: Random,
        now: float,
        ends_at: float,
    ) -> float:
        """Return the position of this entry among those that return to a service.

        It is the same for all servers of the service whose pauses overlap. With one
        draw for each server, some of many would be free at once for each entry.
        """
        turn = self._turn_by_service.get(service)
        if turn is None or now >= turn.until:
            position = random.random() * (1.0 - 1.0 / max(1, entry_count))
            turn = self._turn_by_service[service] = _ReturnTurn(position, ends_at)
        turn.until = max(turn.until, ends_at)
        return turn.position

    def record_ignored_pause(self, now: float) -> int:
        """Count a request for a pause that cannot be read.

        :returns: number of these since the last log line if another line is due, else
            0.
        """
        self.ignored_pauses += 1
        self._unlogged_ignored += 1
        if now - self._ignored_logged_at < IGNORED_LOG_SECONDS:
            return 0
        self._ignored_logged_at = now
        count, self._unlogged_ignored = self._unlogged_ignored, 0
        return count

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

    def extend_holds(self, ends_at: float, now: float) -> None:
        """Extend evacuations that end later than now, as the store was restored again.

        :param ends_at: time until which their orders may be written again.
        """
        for evacuation in self._evacuation_by_zone.values():
            if evacuation.ends_at is not None and now < evacuation.ends_at:
                evacuation.ends_at = max(evacuation.ends_at, ends_at)

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
        for run, pause in list(self._pause_by_run.items()):
            if now >= pause.released_at:
                del self._pause_by_run[run]
        for service, turn in list(self._turn_by_service.items()):
            if now >= turn.until:
                del self._turn_by_service[service]
        returned = [
            zone
            for zone in self._evacuation_by_zone
            if self.return_share(zone, now) >= 1.0
        ]
        for zone in returned:
            del self._evacuation_by_zone[zone]
        return returned


def release_wait_seconds(
    release_at: float, deadline: float, random: Random, now: float
) -> float:
    """Return after which time a caller that is refused until a release may retry.

    :param deadline: time until which the caller waits for a response.
    """
    jitter = random.uniform(0.0, RELEASE_JITTER_SECONDS)
    max_wait = (deadline - now) * MAX_WAIT_SHARE - NETWORK_MARGIN_SECONDS
    return max(0.0, min(release_at - now + jitter, max_wait))
