"""state: what a sheet relay takes in and asks for, and its counters."""

from dataclasses import dataclass

from lacewingcleat.actions import Alarm, Send
from lacewingcleat.sheet import Sheet


@dataclass(frozen=True, slots=True)
class FetchPart:
    """Read a part from the configuration service."""

    digest: str


@dataclass(frozen=True, slots=True)
class WatchManifest:
    """Watch the manifest; replaces an open watch.

    :param after: version that the watch should pass, empty to read at once.
    """

    after: str


@dataclass(frozen=True, slots=True)
class InForce:
    """Use a sheet from now on, and report it by `SheetRelay.applied`."""

    sheet: Sheet


RelayAction = Send | Alarm | FetchPart | WatchManifest | InForce


@dataclass(frozen=True, slots=True)
class RelayView:
    """Hold the live peers that the relay needs to know.

    :param zone_entries: live entries of the own zone; the process itself may be absent.
    :param agents: agents that send their heartbeats to this entry.
    :param other_peers: known peers of other zones.
    """

    zone_entries: frozenset[str] = frozenset()
    agents: frozenset[str] = frozenset()
    other_peers: frozenset[str] = frozenset()


@dataclass(slots=True)
class RelayCounts:
    """Count what the relay did, for metrics."""

    watches: int = 0
    part_reads: int = 0
    offers_sent: int = 0
    offers_received: int = 0
    parts_sent: int = 0
    parts_received: int = 0
    bad_parts: int = 0
    refused_offers: int = 0
    repairs: int = 0
    fetches_given_up: int = 0
