"""coordination: which processes are alive, leaving or unreachable.

Three sources are joined. The sheet says which servers exist and which are leaving. The
platform's list says the same, but lags. Heartbeats are first-hand. What makes a server
unusable is believed from any source; only a heartbeat proves that a process is alive.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from lacewingcleat.actions import Action, Send
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import (
    Envelope,
    Heartbeat,
    Message,
    PeerAddress,
    PeerList,
    Suspicion,
)
from lacewingcleat.peer_view import NEVER, PeerView
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import BackendServer, ServerState, Sheet

HEARTBEAT_SECONDS = 1.0
# Three heartbeats; also the bound on new work for a leaving server (P5).
PEER_TIMEOUT_SECONDS = 3.0
# An agent needs its entries only to report to them, and learns of a dead one from the
# other. Answering each of its heartbeats would cost an entry more than half of 29 KB/s.
ENTRY_ANSWER_SECONDS = 5.0
AGENT_TIMEOUT_SECONDS = 3 * ENTRY_ANSWER_SECONDS
LIST_ANSWER_SECONDS = 2.0
PEER_LIST_SECONDS = 10.0
MAX_LISTED_PEERS = 32
ENTRIES_PER_AGENT = 2
READERS_PER_ZONE = 2
READER_KEY = "config-readers"
# A peer silent for longer is tried less often, so that a healed partition is noticed.
PROBE_AFTER_SECONDS = 60.0
PROBE_SECONDS = 5.0
FORGET_SECONDS = 900.0
# Notices of leaving servers are repeated, because messages may be lost.
NOTICE_SECONDS = 3.0
SUSPICION_SECONDS = 15.0
SUSPICION_REPEAT_SECONDS = 5.0
MAX_SUSPICIONS_PER_SECOND = 4
# Time for an agent to move its reports after the zone's entries changed.
AGENT_MOVE_SECONDS = 2.0
SETTLE_SECONDS = 2.0
# A list that the platform has not renewed for this long proves no absence.
PLATFORM_LIST_SECONDS = 60.0


class PeerStatus(Enum):
    """Say what is known about a process.

    `UNHEARD` means that it does not report to this process and nothing speaks against
    it.
    """

    LIVE = "live"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    UNHEARD = "unheard"


@dataclass(frozen=True, slots=True)
class PlatformList:
    """Hold the platform's list of instances, which lags behind reality."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(slots=True)
class _Suspect:
    incarnation: str
    until: float


class Membership:
    """Keep one process's view of the others.

    :param me: this process.
    :param control_address: IP and port of its control socket.
    :param request_address: IP and port of its HTTP listener.
    :param seeds: control address by instance of entries named in the settings.
    """

    def __init__(
        self,
        me: Peer,
        control_address: str,
        request_address: str,
        seeds: Mapping[str, str],
        now: float,
    ) -> None:
        self.me = me
        self.leaving = False
        self.in_flight = 0
        self.capacity = 0
        self.views_from = now
        self._control_address = control_address
        self._request_address = request_address
        self._seeds = {name: at for name, at in seeds.items() if name != me.instance}
        self._view_by_instance: dict[str, PeerView] = {}
        self._sheet: Sheet | None = None
        self._platform = PlatformList(frozenset(), frozenset())
        self._platform_at = NEVER
        self._suspect_by_instance: dict[str, _Suspect] = {}
        self._unreachable_until: dict[str, float] = {}
        self._notice_until: dict[str, float] = {}
        self._suspicion_sent_at: dict[str, float] = {}
        self._views_from_by_zone: dict[str, float] = {}
        self._view_changed_at = now
        self._last_digest = ""
        self._next_heartbeat = now
        self._next_list = now
        self._probed_at: dict[str, float] = {}
        self._list_turn = 0
        self._heard_at = NEVER

    # Views

    def status(self, instance: str, now: float) -> PeerStatus:
        """Return what is known about a process."""
        view = self._view_by_instance.get(instance)
        if self._is_leaving(instance, view):
            return PeerStatus.LEAVING
        if self._unreachable_until.get(instance, NEVER) > now:
            return PeerStatus.UNREACHABLE
        if view is not None and view.is_alive(now, self._timeout):
            return PeerStatus.LIVE
        if self._reports_missing(instance, view, now):
            return PeerStatus.UNREACHABLE
        suspect = self._suspect_by_instance.get(instance)
        if suspect is not None and suspect.until > now:
            return PeerStatus.UNREACHABLE
        if self._platform_denies(instance, now):
            return PeerStatus.UNREACHABLE
        return PeerStatus.UNHEARD

    def may_receive_work(self, server: str, now: float) -> bool:
        """Return whether an entry may send new work to a backend server."""
        if self._sheet is None or not self.is_settled(now):
            return False
        record = self._sheet.server_by_name.get(server)
        if record is None or record.state is not ServerState.SERVING:
            return False
        return self.status(server, now) in (PeerStatus.LIVE, PeerStatus.UNHEARD)

    def is_settled(self, now: float) -> bool:
        """Return whether views exist that are younger than the last pause.

        A process without peers must not wait for ever; it goes on after 2 s.
        """
        return self._heard_at >= self.views_from or (
            now - self.views_from >= SETTLE_SECONDS
        )

    def live_entries(self, zone: str, now: float) -> list[Peer]:
        """Return the live entries of a zone in order of name, this one included."""
        peers = [
            view.peer
            for view in self._view_by_instance.values()
            if self._is_live_entry(view, now) and view.peer.zone == zone
        ]
        if self.me.role is Role.ENTRY and self.me.zone == zone and not self.leaving:
            peers.append(self.me)
        return sorted(peers, key=lambda peer: peer.instance)

    def view_digest(self, now: float) -> str:
        """Return the digest of the live entries of this process's own zone."""
        digest = blake2b(digest_size=8)
        for peer in self.live_entries(self.me.zone, now):
            digest.update(f"{peer.instance}\x00{peer.incarnation}\n".encode())
        return digest.hexdigest()

    def agreeing_entries(self, now: float) -> int:
        """Return how many entries of the own zone, this one included, report its view.

        A home entry of account limits needs a majority of the expected entries.
        """
        mine = self.view_digest(now)
        return sum(
            peer == self.me or self._view_by_instance[peer.instance].view_digest == mine
            for peer in self.live_entries(self.me.zone, now)
        )

    def reporting_entries(self, now: float) -> list[str]:
        """Return the two entries to which this agent reports."""
        return self._entries_of_agent(self.me.instance, now)

    def zone_readers(self, zone: str, now: float) -> list[str]:
        """Return the entries of a zone that read the configuration service."""
        names = [peer.instance for peer in self.live_entries(zone, now)]
        return rank_by_rendezvous(READER_KEY, names)[:READERS_PER_ZONE]

    def zone_views_from(self, zone: str) -> float:
        """Return the time before which views about a zone are void.

        That is the last pause of this process, or the last time that the zone was heard
        again after silence.
        """
        return max(self.views_from, self._views_from_by_zone.get(zone, NEVER))

    def address(self, instance: str) -> str | None:
        """Return the control address of an instance, if known."""
        view = self._view_by_instance.get(instance)
        if view is not None and view.control_address:
            return view.control_address
        if self._sheet is not None and instance in self._sheet.server_by_name:
            return self._sheet.server_by_name[instance].control_address
        return self._seeds.get(instance)

    # Inputs

    def update_sheet(self, sheet: Sheet) -> None:
        """Take over the servers and their states from the sheet in force."""
        self._sheet = sheet

    def update_platform(self, platform: PlatformList, now: float) -> None:
        """Take over the platform's list."""
        self._platform = platform
        self._platform_at = now

    def set_leaving(self, now: float) -> None:
        """Announce from now on that this process takes no new work."""
        self.leaving = True
        self._next_heartbeat = now

    def note_leaving(self, instance: str, now: float) -> None:
        """Record that an agent refused work because its server is leaving."""
        view = self._view_by_instance.get(instance)
        if view is None:
            record = self._server(instance)
            if record is None:
                return
            view = PeerView(
                Peer(instance, "", record.zone, Role.AGENT),
                record.control_address,
                record.address,
                now,
            )
            self._view_by_instance[instance] = view
        self._mark_leaving(view, now)

    def note_unreachable(self, instance: str, now: float) -> None:
        """Record that a connection to an instance failed."""
        self._unreachable_until[instance] = now + PEER_TIMEOUT_SECONDS

    def drop_views(self, now: float) -> None:
        """Drop everything believed before a pause.

        That a process is leaving is kept, because it never becomes untrue for the same
        incarnation; forgetting it would send work to a leaving server.
        """
        self.views_from = now
        self._platform_at = NEVER
        self._suspect_by_instance.clear()
        self._unreachable_until.clear()
        self._view_changed_at = now
        for view in self._view_by_instance.values():
            view.drop()

    def hear(self, envelope: Envelope, now: float) -> list[Action]:
        """Take in a message from a peer.

        Bodies that do not concern membership are ignored.
        """
        if envelope.sender.instance == self.me.instance:
            return []
        match envelope.body:
            case Heartbeat() as heartbeat:
                return self._hear_heartbeat(envelope.sender, heartbeat, now)
            case PeerList() as peers:
                return self._hear_list(envelope.sender, peers, now)
            case Suspicion(peer=peer):
                self._hear_suspicion(envelope.sender, peer, now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Return the messages that are due; call it every 0.25 s."""
        self._forget_silent(now)
        digest = self.view_digest(now)
        if digest != self._last_digest:
            self._last_digest = digest
            self._view_changed_at = now
        if now < self._next_heartbeat:
            return []
        self._next_heartbeat = now + HEARTBEAT_SECONDS
        if self.me.role is Role.AGENT:
            return self._heartbeats(self._agent_targets(now), now)
        targets = self._entry_targets(now)
        actions = self._heartbeats(targets, now)
        actions += self._notices(now)
        actions += self._suspicions(now)
        if now >= self._next_list:
            self._next_list = now + PEER_LIST_SECONDS
            actions += self._send_all(targets, self._peer_list(now))
        return actions

    # Messages

    def _hear_heartbeat(
        self,
        sender: Peer,
        heartbeat: Heartbeat,
        now: float,
    ) -> list[Action]:
        view = self._view_by_instance.get(sender.instance)
        is_new = view is None or view.alive_at == NEVER
        if view is None:
            view = PeerView(
                sender, heartbeat.control_address, heartbeat.request_address, now
            )
            self._view_by_instance[sender.instance] = view
        zone_was_silent = self._is_zone_silent(sender.zone, now)
        not_before = self.views_from
        if not view.accept(sender, heartbeat.sent_at, now, self._timeout, not_before):
            return []
        self._heard_at = now
        if zone_was_silent:
            self._drop_zone(sender.zone, now)
        view.control_address = heartbeat.control_address or view.control_address
        view.request_address = heartbeat.request_address or view.request_address
        view.view_digest = heartbeat.view_digest
        self._unreachable_until.pop(sender.instance, None)
        self._suspect_by_instance.pop(sender.instance, None)
        if heartbeat.leaving:
            self._mark_leaving(view, now)
        if self.me.role is Role.AGENT:
            return []
        if sender.role is Role.AGENT:
            return self._answer_agent(view, now)
        if is_new:
            return [Send(sender.instance, self._peer_list(now, reply_wanted=True))]
        return []

    def _answer_agent(self, view: PeerView, now: float) -> list[Action]:
        """Answer an agent rarely, but soon if its view of the entries differs."""
        differs = view.view_digest != self.view_digest(now)
        pause = LIST_ANSWER_SECONDS if differs else ENTRY_ANSWER_SECONDS
        if now - view.answered_at < pause:
            return []
        view.answered_at = now
        instance = view.peer.instance
        actions: list[Action] = [Send(instance, self._heartbeat(now))]
        if differs:
            actions.append(Send(instance, self._peer_list(now)))
        return actions

    def _hear_list(self, sender: Peer, peers: PeerList, now: float) -> list[Action]:
        sent_at = self._list_sent_at(sender, peers, now)
        for record in peers.peers:
            self._learn(record, sender, sent_at, now)
        if self.me.role is Role.AGENT:
            self._drop_unlisted(peers, sent_at)
            return []
        if peers.reply_wanted:
            return [Send(sender.instance, self._peer_list(now))]
        return []

    def _list_sent_at(self, sender: Peer, peers: PeerList, now: float) -> float:
        view = self._view_by_instance.get(sender.instance)
        if view is None or view.peer.incarnation != sender.incarnation:
            return NEVER
        return view.sent_locally(peers.sent_at, now)

    def _learn(
        self,
        record: PeerAddress,
        sender: Peer,
        sent_at: float,
        now: float,
    ) -> None:
        peer = record.peer
        if peer.instance == self.me.instance:
            return
        view = self._view_by_instance.get(peer.instance)
        if view is None:
            view = PeerView(peer, record.control_address, record.request_address, now)
            self._view_by_instance[peer.instance] = view
        if view.peer.incarnation in ("", peer.incarnation) and record.leaving:
            view.peer = peer
            self._mark_leaving(view, now, heard_from=sender)
        if self.me.role is not Role.AGENT or peer.role is not Role.ENTRY:
            return
        # An agent hears only from the entries it reports to, so it believes their
        # lists about the others, as of the time when the list was made.
        alive_at = sent_at - record.age
        if alive_at >= self.views_from and alive_at > view.alive_at:
            view.peer = peer
            view.control_address = record.control_address
            view.alive_at = alive_at

    def _drop_unlisted(self, peers: PeerList, sent_at: float) -> None:
        if len(peers.peers) >= MAX_LISTED_PEERS:
            return
        listed = {record.peer.instance for record in peers.peers}
        for view in self._view_by_instance.values():
            own_zone = view.peer.zone == self.me.zone
            if own_zone and view.peer.instance not in listed:
                if view.alive_at < sent_at:
                    view.alive_at = NEVER

    def _hear_suspicion(self, sender: Peer, suspect: Peer, now: float) -> None:
        view = self._view_by_instance.get(suspect.instance)
        if view is not None and view.is_alive(now, self._timeout):
            return
        if self.status(sender.instance, now) is not PeerStatus.LIVE:
            return
        until = now + SUSPICION_SECONDS
        self._suspect_by_instance[suspect.instance] = _Suspect(
            suspect.incarnation, until
        )

    def _heartbeat(self, now: float) -> Heartbeat:
        # The sheet holds the addresses of agents.
        is_entry = self.me.role is Role.ENTRY
        return Heartbeat(
            self._control_address if is_entry else "",
            self._request_address if is_entry else "",
            self.view_digest(now),
            self.leaving,
            self.in_flight,
            self.capacity,
            now,
        )

    def _heartbeats(self, targets: Iterable[str], now: float) -> list[Action]:
        return self._send_all(targets, self._heartbeat(now))

    def _peer_list(self, now: float, reply_wanted: bool = False) -> PeerList:
        """Return the own zone's live entries and a few of each other zone.

        The list has a fixed bound. If more are known, successive lists take turns.
        """
        own = [self._record(peer, now) for peer in self.live_entries(self.me.zone, now)]
        others = [
            self._record(view.peer, now)
            for view in self._view_by_instance.values()
            if self._is_live_entry(view, now) and view.peer.zone != self.me.zone
        ]
        self._list_turn += 1
        room = max(0, MAX_LISTED_PEERS - 1 - len(own))
        start = (self._list_turn * room) % len(others) if others else 0
        chosen = own + (others[start:] + others[:start])[:room]
        return PeerList(tuple(chosen[:MAX_LISTED_PEERS]), reply_wanted, now)

    def _record(self, peer: Peer, now: float) -> PeerAddress:
        if peer == self.me:
            return PeerAddress(
                peer, self._control_address, self._request_address, self.leaving, 0.0
            )
        view = self._view_by_instance[peer.instance]
        return PeerAddress(
            peer,
            view.control_address,
            view.request_address,
            view.leaving,
            max(0.0, now - view.alive_at),
        )

    def _notices(self, now: float) -> list[Action]:
        due = [name for name, until in self._notice_until.items() if until > now]
        self._notice_until = {name: self._notice_until[name] for name in due}
        if not due:
            return []
        records = tuple(
            self._record(self._view_by_instance[name].peer, now)
            for name in due[:MAX_LISTED_PEERS]
        )
        targets = self._entry_targets(now)
        return self._send_all(targets, PeerList(records, False, now))

    def _suspicions(self, now: float) -> list[Action]:
        peers = []
        for instance, view in self._view_by_instance.items():
            last = self._suspicion_sent_at.get(instance, NEVER)
            if now - last < SUSPICION_REPEAT_SECONDS:
                continue
            if self._reports_missing(instance, view, now):
                peers.append(view.peer)
        actions: list[Action] = []
        targets = [peer.instance for peer in self.live_entries(self.me.zone, now)]
        for peer in peers[:MAX_SUSPICIONS_PER_SECOND]:
            self._suspicion_sent_at[peer.instance] = now
            others = [name for name in targets if name != self.me.instance]
            actions += self._send_all(others, Suspicion(peer))
        return actions

    @staticmethod
    def _send_all(targets: Iterable[str], message: Message) -> list[Action]:
        return [Send(instance, message) for instance in targets]

    # Targets

    def _agent_targets(self, now: float) -> list[str]:
        return self.reporting_entries(now) or sorted(self._seeds)

    def _entry_targets(self, now: float) -> list[str]:
        """Return the zone's entries; a reader adds its counterparts in other zones."""
        targets = {
            instance
            for instance, view in self._view_by_instance.items()
            if view.peer.role is Role.ENTRY and view.peer.zone == self.me.zone
        }
        targets |= set(self._seeds)
        readers = self.zone_readers(self.me.zone, now)
        if self.me.instance in readers:
            turn = readers.index(self.me.instance)
            targets |= self._counterparts(turn, now)
        return sorted(name for name in targets if self._is_due(name, now))

    def _counterparts(self, turn: int, now: float) -> set[str]:
        zones = {
            view.peer.zone
            for view in self._view_by_instance.values()
            if view.peer.role is Role.ENTRY and view.peer.zone != self.me.zone
        }
        found: set[str] = set()
        for zone in zones:
            found |= set(self.zone_readers(zone, now)[turn : turn + 1])
        return found

    def _is_due(self, instance: str, now: float) -> bool:
        view = self._view_by_instance.get(instance)
        if view is not None and now - view.alive_at <= PROBE_AFTER_SECONDS:
            return True
        if now - self._probed_at.get(instance, NEVER) < PROBE_SECONDS:
            return False
        self._probed_at[instance] = now
        return True

    # Judgements

    @property
    def _timeout(self) -> float:
        if self.me.role is Role.AGENT:
            return AGENT_TIMEOUT_SECONDS
        return PEER_TIMEOUT_SECONDS

    def _entries_of_agent(self, agent: str, now: float) -> list[str]:
        names = [peer.instance for peer in self.live_entries(self.me.zone, now)]
        return rank_by_rendezvous(agent, names)[:ENTRIES_PER_AGENT]

    def _is_live_entry(self, view: PeerView, now: float) -> bool:
        return (
            view.peer.role is Role.ENTRY
            and not view.leaving
            and view.is_alive(now, self._timeout)
        )

    def _is_leaving(self, instance: str, view: PeerView | None) -> bool:
        if view is not None and view.leaving:
            return True
        if instance in self._platform.leaving:
            return True
        record = self._server(instance)
        return record is not None and record.state is ServerState.LEAVING

    def _server(self, instance: str) -> BackendServer | None:
        if self._sheet is None:
            return None
        return self._sheet.server_by_name.get(instance)

    def _reports_missing(
        self,
        instance: str,
        view: PeerView | None,
        now: float,
    ) -> bool:
        """Return whether an agent that should report to this entry has gone silent."""
        if view is None or view.alive_at == NEVER or view.peer.role is not Role.AGENT:
            return False
        moved_at = self._view_changed_at + AGENT_MOVE_SECONDS
        if now - max(view.alive_at, moved_at) <= PEER_TIMEOUT_SECONDS:
            return False
        return self.me.instance in self._entries_of_agent(instance, now)

    def _platform_denies(self, instance: str, now: float) -> bool:
        if now - self._platform_at > PLATFORM_LIST_SECONDS:
            return False
        return instance not in self._platform.live

    def _is_zone_silent(self, zone: str, now: float) -> bool:
        if zone == self.me.zone:
            return False
        return not any(
            view.peer.zone == zone and view.is_alive(now, self._timeout)
            for view in self._view_by_instance.values()
        )

    def _drop_zone(self, zone: str, now: float) -> None:
        self._views_from_by_zone[zone] = now
        sheet = self._sheet
        if sheet is None:
            return
        for instance in list(self._suspect_by_instance):
            record = sheet.server_by_name.get(instance)
            if record is not None and record.zone == zone:
                del self._suspect_by_instance[instance]

    def _mark_leaving(
        self,
        view: PeerView,
        now: float,
        heard_from: Peer | None = None,
    ) -> None:
        if view.leaving:
            return
        view.leaving = True
        if self.me.role is Role.AGENT:
            return
        first_hand = heard_from is None or heard_from.zone != self.me.zone
        if first_hand or self.me.instance in self.zone_readers(self.me.zone, now):
            self._notice_until[view.peer.instance] = now + NOTICE_SECONDS
            self._next_heartbeat = now

    def _forget_silent(self, now: float) -> None:
        """Bound the tables by dropping what has been silent for long."""
        silent = [
            instance
            for instance, view in self._view_by_instance.items()
            if now - max(view.known_at, view.alive_at) > FORGET_SECONDS
            and self._server(instance) is None
        ]
        for instance in silent:
            del self._view_by_instance[instance]
            self._probed_at.pop(instance, None)
            self._suspicion_sent_at.pop(instance, None)
        for table in (self._unreachable_until,):
            for instance in [name for name, until in table.items() if until <= now]:
                del table[instance]
