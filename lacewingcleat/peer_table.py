"""coordination: derive from all sources which processes are alive and usable.

Three sources are combined: the sheet, which lists the servers and marks the leaving
ones; the platform's list, which has the same content but lags behind; and heartbeats,
which come from the processes themselves. A server is unusable if any source says so.
Only a heartbeat proves that a process is alive.
"""

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from lacewingcleat.config_reader import choose_config_readers
from lacewingcleat.identity import Peer, Role
from lacewingcleat.peer_view import NEVER, PeerView
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import BackendServer, ServerState, Sheet

# Three heartbeat intervals; also the time limit for new work on a leaving server (P5).
PEER_TIMEOUT_SECONDS = 3.0
# An agent uses its entries only to report to them. If one fails, the other one informs
# the agent, and an entry that expects its reports invites it. Replies to all heartbeats
# of agents would use much of an entry's control traffic limit of 29 KB/s.
ENTRY_REPLY_INTERVAL_SECONDS = 10.0
ENTRY_TIMEOUT_ON_AGENT_SECONDS = 3 * ENTRY_REPLY_INTERVAL_SECONDS
# An agent reports less often to its second entry, which is a backup for the first one.
SECONDARY_REPORT_INTERVAL_SECONDS = 3.0
SECONDARY_REPORT_TIMEOUT_SECONDS = 3 * SECONDARY_REPORT_INTERVAL_SECONDS
# Peers in other zones only forward notices; routing decisions do not depend on them.
REMOTE_HEARTBEAT_SECONDS = 5.0
REMOTE_TIMEOUT_SECONDS = 3 * REMOTE_HEARTBEAT_SECONDS
# An entry that is known only from peer lists is taken as dead if no list has confirmed
# it for this long.
UNCONFIRMED_ENTRY_TTL_SECONDS = 15.0
ENTRIES_PER_AGENT = 2
# Time for an agent to report to other entries after the zone's entries have changed.
AGENT_REASSIGNMENT_SECONDS = 2.0
FRESH_VIEWS_TIMEOUT_SECONDS = 2.0
# A platform list older than this is no evidence that an instance is absent.
PLATFORM_LIST_TTL_SECONDS = 60.0
# Longer than the 10 min in which a leaving server finishes its work. If the notice that
# a server was replaced is lost, the server is excluded for at most this long.
LEAVING_NOTICE_TTL_SECONDS = 900.0


class PeerStatus(Enum):
    """Status of a process as derived by this process.

    `UNOBSERVED` means that the process does not report to this one, and that no source
    marks it as leaving or unreachable.
    """

    LIVE = "live"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    UNOBSERVED = "unheard"


@dataclass(frozen=True, slots=True)
class PlatformList:
    """Instances as listed by the platform, which lags behind the actual state."""

    live: frozenset[str]
    leaving: frozenset[str]


class PeerTable:
    """Store what one process knows about its peers and derive their status.

    :param me: this process.
    """

    def __init__(self, me: Peer, now: float) -> None:
        self.me = me
        self.leaving = False
        self.views_valid_from = now
        self._view_by_instance: dict[str, PeerView] = {}
        self._entry_view_by_instance: dict[str, PeerView] = {}
        self._sheet: Sheet | None = None
        self._platform_list = PlatformList(frozenset(), frozenset())
        self._platform_list_at = NEVER
        self._suspect_until: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}
        self._views_valid_from_by_zone: dict[str, float] = {}
        self._expected_since_by_agent: dict[str, float] = {}
        # Cache; cleared only when the zone's entries change, which happens far less
        # often than a change of the sheet.
        self._entries_by_agent: dict[str, list[str]] = {}
        self._last_heartbeat_at = NEVER

    def status(self, instance: str, now: float) -> PeerStatus:
        """Return the status of a process."""
        view = self._view_by_instance.get(instance)
        if self._is_leaving(instance, view, now):
            return PeerStatus.LEAVING
        if self._unreachable_until.get(instance, NEVER) > now:
            return PeerStatus.UNREACHABLE
        if view is not None and self._is_view_alive(view, now):
            return PeerStatus.LIVE
        if self._is_report_missing(instance, now):
            return PeerStatus.UNREACHABLE
        if self._suspect_until.get(instance, NEVER) > now:
            return PeerStatus.UNREACHABLE
        if self._is_absent_from_platform(instance, now):
            return PeerStatus.UNREACHABLE
        return PeerStatus.UNOBSERVED

    def may_receive_work(self, server: str, now: float) -> bool:
        """Return whether an entry may send new work to a backend server."""
        sheet_server = self._sheet_server(server)
        if sheet_server is None or sheet_server.state is not ServerState.SERVING:
            return False
        if not self.has_fresh_views(now):
            return False
        return self.status(server, now) in (PeerStatus.LIVE, PeerStatus.UNOBSERVED)

    def has_fresh_views(self, now: float) -> bool:
        """Return whether the views are newer than the last pause.

        A process without reachable peers continues after 2 s.
        """
        if self._last_heartbeat_at >= self.views_valid_from:
            return True
        return now - self.views_valid_from >= FRESH_VIEWS_TIMEOUT_SECONDS

    def live_entries(self, zone: str, now: float) -> list[Peer]:
        """Return the live entries of a zone, including this one, sorted by name."""
        peers = [
            view.peer
            for view in self._entry_view_by_instance.values()
            if view.peer.zone == zone and self._is_live_entry(view, now)
        ]
        if self.me.role is Role.ENTRY and self.me.zone == zone and not self.leaving:
            peers.append(self.me)
        return sorted(peers, key=lambda peer: peer.instance)

    def view_digest(self, now: float) -> str:
        """Return a digest of the live entries in this process's zone."""
        digest = blake2b(digest_size=8)
        for peer in self.live_entries(self.me.zone, now):
            digest.update(f"{peer.instance}\x00{peer.incarnation}\n".encode())
        return digest.hexdigest()

    def count_agreeing_entries(self, now: float) -> int:
        """Return how many entries of this zone, including this one, share its view.

        A home entry of account limits needs a majority of the expected entries.
        """
        own_digest = self.view_digest(now)
        return sum(
            peer == self.me
            or self._view_by_instance[peer.instance].view_digest == own_digest
            for peer in self.live_entries(self.me.zone, now)
        )

    def assigned_entries(self, now: float) -> list[str]:
        """Return the entries that this agent reports to, the primary one first."""
        return self._select_entries(self.me.instance, now)

    def reporting_agents(self, now: float) -> list[str]:
        """Return the live agents that report to this entry, sorted by name."""
        return sorted(
            name for name in self._expected_since_by_agent if self._is_alive(name, now)
        )

    def last_incarnation(self, instance: str) -> str:
        """Return the last known incarnation of an instance, or an empty string."""
        view = self._view_by_instance.get(instance)
        return view.peer.incarnation if view is not None else ""

    def is_known_unavailable(self, server: str, now: float) -> bool:
        """Return whether a server is leaving, unreachable or not serving."""
        sheet_server = self._sheet_server(server)
        if sheet_server is None or sheet_server.state is not ServerState.SERVING:
            return True
        return self.status(server, now) in (
            PeerStatus.LEAVING,
            PeerStatus.UNREACHABLE,
        )

    def zone_readers(self, zone: str, now: float) -> list[str]:
        """Return the live entries of a zone that read the configuration service."""
        names = [peer.instance for peer in self.live_entries(zone, now)]
        return choose_config_readers(zone, names)

    def zone_views_valid_from(self, zone: str) -> float:
        """Return the time before which information about a zone is invalid.

        This is the last pause of this process, or the last time the zone became
        reachable again after a silence, whichever is later.
        """
        return max(
            self.views_valid_from, self._views_valid_from_by_zone.get(zone, NEVER)
        )

    def known_peers(self) -> list[Peer]:
        """Return all processes in the table, regardless of their status."""
        return [view.peer for view in self._view_by_instance.values()]

    def update_sheet(self, sheet: Sheet) -> None:
        """Apply the servers and their states from the sheet in force."""
        self._sheet = sheet

    def update_platform_list(self, platform_list: PlatformList, now: float) -> None:
        """Replace the platform's list."""
        self._platform_list = platform_list
        self._platform_list_at = now

    def record_unreachable(self, instance: str, now: float) -> None:
        """Record that a connection to an instance failed."""
        self._unreachable_until[instance] = now + PEER_TIMEOUT_SECONDS

    def drop_views(self, now: float) -> None:
        """Drop all information that may have become outdated during a pause.

        Leaving marks are retained: an incarnation that is leaving never returns to
        service, and without the mark a leaving server would receive work.
        """
        self.views_valid_from = now
        self._platform_list_at = NEVER
        self._suspect_until.clear()
        self._unreachable_until.clear()
        self._expected_since_by_agent = dict.fromkeys(
            self._expected_since_by_agent, now
        )
        for view in self._view_by_instance.values():
            view.drop()

    def _own_zone_entries(self) -> set[str]:
        return {
            instance
            for instance, view in self._entry_view_by_instance.items()
            if view.peer.zone == self.me.zone
        }

    def _paired_readers(self, now: float) -> set[str]:
        """Return the readers of other zones that this reader is paired with.

        Readers are paired by their rank in the zone. The result is empty if this
        process is not a reader.
        """
        readers = self.zone_readers(self.me.zone, now)
        if self.me.instance not in readers:
            return set()
        own_index = readers.index(self.me.instance)
        names_by_zone: dict[str, list[str]] = {}
        for instance, view in self._entry_view_by_instance.items():
            if view.peer.zone != self.me.zone and self._may_be_alive(view, now):
                names_by_zone.setdefault(view.peer.zone, []).append(instance)
        paired: set[str] = set()
        for zone, names in names_by_zone.items():
            ranked = choose_config_readers(zone, names)
            paired.add(ranked[min(own_index, len(ranked) - 1)])
        return paired

    def _may_be_alive(self, view: PeerView, now: float) -> bool:
        """Return whether an entry of another zone is alive, or has not been ruled out.

        This process receives heartbeats only from its paired reader in that zone, and
        knows the other entries there from lists.
        """
        if view.leaving:
            return False
        if view.last_seen_at != NEVER:
            return self._is_view_alive(view, now)
        return (
            now - max(view.reported_at, self.views_valid_from)
            <= UNCONFIRMED_ENTRY_TTL_SECONDS
        )

    def _is_alive(self, instance: str, now: float) -> bool:
        view = self._view_by_instance.get(instance)
        return view is not None and self._is_view_alive(view, now)

    def _is_view_alive(self, view: PeerView, now: float) -> bool:
        return view.is_alive(now, self._timeout_for(view.peer))

    def _timeout_for(self, peer: Peer) -> float:
        if self.me.role is Role.AGENT:
            return ENTRY_TIMEOUT_ON_AGENT_SECONDS
        if peer.zone != self.me.zone:
            return REMOTE_TIMEOUT_SECONDS
        if peer.role is Role.AGENT and self._is_secondary_for(peer.instance):
            return SECONDARY_REPORT_TIMEOUT_SECONDS
        return PEER_TIMEOUT_SECONDS

    def _is_secondary_for(self, agent: str) -> bool:
        return self.me.instance in self._entries_by_agent.get(agent, [])[1:]

    def _add_view(
        self,
        peer: Peer,
        control_address: str,
        request_address: str,
        now: float,
    ) -> PeerView:
        view = PeerView(peer, control_address, request_address, now)
        self._view_by_instance[peer.instance] = view
        if peer.role is Role.ENTRY:
            self._entry_view_by_instance[peer.instance] = view
        return view

    def _remove_view(self, instance: str) -> None:
        self._view_by_instance.pop(instance, None)
        self._entry_view_by_instance.pop(instance, None)

    def _update_expected_agents(self, now: float) -> None:
        """Update which agents of this zone should report to this entry."""
        if self._sheet is None or self.me.role is not Role.ENTRY:
            return
        previous = self._expected_since_by_agent
        self._expected_since_by_agent = {
            server.name: previous.get(server.name, now)
            for server in self._sheet.server_by_name.values()
            if server.zone == self.me.zone and self._is_assigned_agent(server.name, now)
        }

    def _is_assigned_agent(self, agent: str, now: float) -> bool:
        if agent not in self._entries_by_agent:
            self._entries_by_agent[agent] = self._select_entries(agent, now)
        return self.me.instance in self._entries_by_agent[agent]

    def _is_report_missing(self, instance: str, now: float) -> bool:
        """Return whether an agent has stopped reporting to this entry or never did."""
        since = self._expected_since_by_agent.get(instance)
        if since is None:
            return False
        view = self._view_by_instance.get(instance)
        last_seen_at = NEVER if view is None else view.last_seen_at
        expected_from = since + AGENT_REASSIGNMENT_SECONDS
        is_secondary = self._is_secondary_for(instance)
        timeout = (
            SECONDARY_REPORT_TIMEOUT_SECONDS if is_secondary else PEER_TIMEOUT_SECONDS
        )
        return now - max(last_seen_at, expected_from) > timeout

    def _select_entries(self, agent: str, now: float) -> list[str]:
        names = [peer.instance for peer in self.live_entries(self.me.zone, now)]
        return rank_by_rendezvous(agent, names)[:ENTRIES_PER_AGENT]

    def _is_live_entry(self, view: PeerView, now: float) -> bool:
        return not view.leaving and self._is_view_alive(view, now)

    def _is_leaving(self, instance: str, view: PeerView | None, now: float) -> bool:
        if view is not None and view.leaving:
            age = now - max(view.last_seen_at, view.reported_at)
            if age <= LEAVING_NOTICE_TTL_SECONDS:
                return True
        if instance in self._platform_list.leaving:
            return True
        sheet_server = self._sheet_server(instance)
        return sheet_server is not None and sheet_server.state is ServerState.LEAVING

    def _sheet_server(self, instance: str) -> BackendServer | None:
        if self._sheet is None:
            return None
        return self._sheet.server_by_name.get(instance)

    def _is_absent_from_platform(self, instance: str, now: float) -> bool:
        if now - self._platform_list_at > PLATFORM_LIST_TTL_SECONDS:
            return False
        return instance not in self._platform_list.live

    def _is_zone_silent(self, zone: str, now: float) -> bool:
        if zone == self.me.zone:
            return False
        return not any(
            view.peer.zone == zone and self._is_view_alive(view, now)
            for view in self._entry_view_by_instance.values()
        )

    def _drop_zone_views(self, zone: str, now: float) -> None:
        """Drop second-hand information about a zone that is reachable again."""
        self._views_valid_from_by_zone[zone] = now
        for instance in list(self._suspect_until):
            sheet_server = self._sheet_server(instance)
            if sheet_server is not None and sheet_server.zone == zone:
                del self._suspect_until[instance]
