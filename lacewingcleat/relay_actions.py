"""state: inputs, actions and counters of a sheet relay."""

from dataclasses import dataclass

from lacewingcleat.actions import Alarm, Send
from lacewingcleat.sheet import Sheet


@dataclass(frozen=True, slots=True)
class ReadPart:
    """Request to read a part from the configuration service."""

    digest: str


@dataclass(frozen=True, slots=True)
class WatchManifest:
    """Request to watch the manifest, which replaces an open watch.

    :param after_version: version known already, empty to read the manifest at once.
    """

    after_version: str


@dataclass(frozen=True, slots=True)
class ApplySheet:
    """Request to use a sheet from now on and confirm it by `SheetRelay.applied`."""

    sheet: Sheet


RelayAction = Send | Alarm | ReadPart | WatchManifest | ApplySheet


@dataclass(frozen=True, slots=True)
class RelayPeers:
    """Represent the live peers with which the relay exchanges revisions.

    :param zone_entries: live entries of the same zone, with or without this process.
    :param agents: agents that send their heartbeats to this entry.
    :param other_peers: known peers in other zones.
    """

    zone_entries: frozenset[str] = frozenset()
    agents: frozenset[str] = frozenset()
    other_peers: frozenset[str] = frozenset()


@dataclass(slots=True)
class RelayCounts:
    """Count events of the relay; each field is exported as a metric."""

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
