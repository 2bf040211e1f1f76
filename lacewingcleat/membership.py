"""coordination: exchange signs of life, addresses and notices with other processes.

`PeerTable` judges what is known; this class takes in and produces the messages. Every
message has a fixed bound, so that the list of the fleet is never sent whole.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

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
from lacewingcleat.peer_table import (
    ENTRY_ANSWER_SECONDS,
    FAR_HEARTBEAT_SECONDS,
    SECOND_REPORT_SECONDS,
    PeerStatus,
    PeerTable,
    PlatformList,
)
from lacewingcleat.peer_view import NEVER, PeerView
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet

__all__ = ["Membership", "PeerStatus", "PlatformList"]

HEARTBEAT_SECONDS = 1.0
SECOND_REPORT_BEATS = round(SECOND_REPORT_SECONDS / HEARTBEAT_SECONDS)
LIST_ANSWER_SECONDS = 2.0
PEER_LIST_SECONDS = 10.0
MAX_LISTED_PEERS = 32
# A peer silent for longer is tried less often, so that a healed partition is noticed.
PROBE_AFTER_SECONDS = 60.0
PROBE_SECONDS = 5.0
FORGET_SECONDS = 900.0
# Entries that an agent without a view tries at once.
MAX_AGENT_PROBES = 4
# Notices of leaving and returning servers are repeated, because messages may be lost.
NOTICE_REPEATS = 3
# Later repeats, for entries that have lost all of the first ones.
LATE_NOTICES = 6
# Longer than the time of all repeats, so that two entries do not renew each other's
# notices for ever; a third of the time after which a notice is outdated.
RENEW_NOTICE_SECONDS = 300.0
LATE_GREETINGS = 2
MAX_LATE_NOTICES = 8
# An entry calls agents that should report to it and do not know it yet.
INVITATION_SECONDS = 10.0
MAX_INVITATIONS_PER_SECOND = 40
MAX_FAR_LISTS = 3
SUSPICION_SECONDS = 15.0
SUSPICION_REPEAT_SECONDS = 5.0
# Bounds the burst when a whole rack is lost; connection failures cover the rest.
MAX_SUSPICIONS_PER_SECOND = 4


@dataclass(slots=True)
class _Notice:
    next_at: float
    left: int = NOTICE_REPEATS
    late: int = LATE_NOTICES


class Membership(PeerTable):
    """Keep one process's view of the others and tell them about it.

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
        super().__init__(me, now)
        self.in_flight = 0
        self.capacity = 0
        self._control_address = control_address
        self._request_address = request_address
        self._seeds = {name: at for name, at in seeds.items() if name != me.instance}
        self._notice_by_instance: dict[str, _Notice] = {}
        self._suspicion_sent_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._digest = ""
        self._sheet_changed = False
        self._next_heartbeat = now
        self._next_list = now
        self._list_turn = 0
        self._far_turn = 0
        self._beat = 0
        self._newcomers: list[str] = []

    def address(self, instance: str) -> str | None:
        """Return the control address of an instance, if known."""
        view = self._view_by_instance.get(instance)
        if view is not None and view.control_address:
            return view.control_address
        record = self._server(instance)
        if record is not None:
            return record.control_address
        return self._seeds.get(instance)

    def flood_targets(self, now: float) -> list[str]:
        """Return the processes to which this one passes crash reports.

        These are an agent's entries, and an entry's zone, counterparts and agents.
        """
        if self.me.role is Role.AGENT:
            return self.reporting_entries(now)
        targets = self._known_entries() | self._counterparts(now)
        targets |= set(self._reporting_since)
        return sorted(name for name in targets if self._is_alive(name, now))

    def take_newcomers(self) -> list[str]:
        """Return the processes heard for the first time, or again after silence.

        They have missed what was flooded meanwhile; see `CrashSuspects.greet`.
        """
        newcomers = self._newcomers
        self._newcomers = []
        return newcomers

    def set_leaving(self, now: float) -> None:
        """Announce from now on that this process takes no new work."""
        self.leaving = True
        self._next_heartbeat = now

    def note_leaving(self, instance: str, now: float) -> None:
        """Record that an agent refused work because its server is leaving."""
        view = self._view_by_instance.get(instance)
        record = self._server(instance)
        if view is None and record is not None:
            peer = Peer(instance, "", record.zone, Role.AGENT)
            view = self._add(peer, record.control_address, record.address, now)
        if view is not None:
            self._mark_leaving(view, now)

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
        self._update_digest(now)
        actions = self._notices(now)
        if now < self._next_heartbeat:
            return actions
        self._next_heartbeat = now + HEARTBEAT_SECONDS
        if self.me.role is Role.AGENT:
            return self._send_all(self._agent_targets(now), self._heartbeat(now))
        self._forget_silent(now)
        targets = self._entry_targets(now)
        actions += self._send_all(targets, self._heartbeat(now))
        actions += self._suspicions(now)
        actions += self._invitations(now)
        if now >= self._next_list:
            self._next_list = now + PEER_LIST_SECONDS
            actions += self._periodic_lists(targets, now)
            actions += self._late_notices(targets, now)
        return actions

    def update_sheet(self, sheet: Sheet) -> None:
        """Take over the servers and their states from the sheet in force."""
        super().update_sheet(sheet)
        self._sheet_changed = True

    # Messages heard

    def _hear_heartbeat(
        self,
        sender: Peer,
        heartbeat: Heartbeat,
        now: float,
    ) -> list[Action]:
        view = self._view_by_instance.get(sender.instance)
        is_new = view is None or not self._is_view_alive(view, now)
        if view is None:
            view = self._add(sender, "", "", now)
        before = view.peer
        is_new = is_new or before != sender
        was_leaving = view.leaving
        zone_was_silent = self._is_zone_silent(sender.zone, now)
        sent_at = heartbeat.sent_at
        timeout = self._timeout_of(sender)
        if not view.accept(sender, sent_at, now, timeout, self.views_from):
            return []
        self._heard_at = now
        if is_new:
            self._newcomers.append(sender.instance)
        if zone_was_silent:
            self._drop_zone(sender.zone, now)
        view.control_address = heartbeat.control_address or view.control_address
        view.request_address = heartbeat.request_address or view.request_address
        view.view_digest = heartbeat.view_digest
        self._unreachable_until.pop(sender.instance, None)
        self._suspect_until.pop(sender.instance, None)
        if heartbeat.leaving:
            self._mark_leaving(view, now)
        elif was_leaving and before != sender:
            self._notice_by_instance[sender.instance] = _Notice(now)
        elif is_new and sender.role is Role.AGENT:
            # The process that knew the last incarnation to be leaving may be gone.
            self._notice_by_instance[sender.instance] = _Notice(now, 0, LATE_GREETINGS)
        if self.me.role is Role.AGENT:
            if heartbeat.view_digest == self._digest:
                self._confirm_entries(view, now)
            return []
        if sender.role is Role.AGENT:
            return self._answer_agent(view, now)
        if is_new:
            return self._greet(sender.instance, now)
        return []

    def _greet(self, instance: str, now: float) -> list[Action]:
        """Tell an entry that is new or heard again what it has missed."""
        greeting = self._peer_list(now, reply_wanted=True)
        leaving = [
            self._record(view.peer, now)
            for view in self._view_by_instance.values()
            if view.peer.role is Role.AGENT
            and self._is_leaving(view.peer.instance, view, now)
        ]
        return [Send(instance, greeting), *self._send_records([instance], leaving, now)]

    def _confirm_entries(self, view: PeerView, now: float) -> None:
        """Take an entry's equal digest as a sign of life of all entries in it."""
        for other in self._entry_view_by_instance.values():
            if other.peer.zone == self.me.zone and self._is_live_entry(other, now):
                other.alive_at = max(other.alive_at, view.alive_at)

    def _answer_agent(self, view: PeerView, now: float) -> list[Action]:
        """Answer an agent rarely, but soon if its view of the entries differs."""
        differs = view.view_digest != self._digest
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
            if record.peer.instance != self.me.instance:
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
        view = self._view_by_instance.get(peer.instance)
        if view is None:
            view = self._add(peer, record.control_address, record.request_address, now)
        noted_at = sent_at - record.age
        if view.peer.incarnation in ("", peer.incarnation):
            view.peer = peer
        elif noted_at > max(view.alive_at, view.noted_at, self.views_from):
            # A later process under the name, which does not report to this one.
            view.replace(peer)
        else:
            return
        view.noted_at = max(view.noted_at, noted_at)
        if record.leaving:
            self._mark_leaving(view, now, sender)
        # An agent hears only from the entries to which it reports, so it believes their
        # lists about the others, as of the time when the list was made.
        if self.me.role is Role.AGENT and peer.role is Role.ENTRY:
            if noted_at >= self.views_from and view.peer == peer:
                view.control_address = record.control_address
                view.alive_at = max(view.alive_at, noted_at)

    def _drop_unlisted(self, peers: PeerList, sent_at: float) -> None:
        if len(peers.peers) >= MAX_LISTED_PEERS:
            return
        listed = {record.peer.instance for record in peers.peers}
        for instance, view in self._entry_view_by_instance.items():
            if view.peer.zone == self.me.zone and instance not in listed:
                if view.alive_at < sent_at:
                    view.alive_at = NEVER

    def _hear_suspicion(self, sender: Peer, suspect: Peer, now: float) -> None:
        if self._is_alive(suspect.instance, now):
            return
        if self._is_alive(sender.instance, now):
            self._suspect_until[suspect.instance] = now + SUSPICION_SECONDS

    def _mark_leaving(
        self,
        view: PeerView,
        now: float,
        heard_from: Peer | None = None,
    ) -> None:
        # A leaving process that lives on is announced again, before the others take the
        # notice for outdated.
        if view.leaving and now - view.announced_at < RENEW_NOTICE_SECONDS:
            return
        view.leaving = True
        view.announced_at = now
        if heard_from is None or view.noted_at == NEVER:
            view.noted_at = now
        first_in_zone = heard_from is None or heard_from.zone != self.me.zone
        if first_in_zone or self.me.instance in self.zone_readers(self.me.zone, now):
            self._notice_by_instance[view.peer.instance] = _Notice(now)

    # Messages sent

    def _heartbeat(self, now: float) -> Heartbeat:
        # The sheet holds the addresses of agents.
        is_entry = self.me.role is Role.ENTRY
        return Heartbeat(
            self._control_address if is_entry else "",
            self._request_address if is_entry else "",
            self._digest or self.view_digest(now),
            self.leaving,
            self.in_flight,
            self.capacity,
            now,
        )

    def _peer_list(self, now: float, reply_wanted: bool = False) -> PeerList:
        """Return the own zone's live entries and a few of each other zone.

        The list has a fixed bound. If more are known, successive lists take turns.
        """
        own = [self._record(peer, now) for peer in self.live_entries(self.me.zone, now)]
        others = [
            self._record(view.peer, now)
            for view in self._entry_view_by_instance.values()
            if view.peer.zone != self.me.zone and self._is_live_entry(view, now)
        ]
        room = max(0, MAX_LISTED_PEERS - 1 - len(own))
        self._list_turn += 1
        start = (self._list_turn * room) % len(others) if others else 0
        chosen = own + (others[start:] + others[:start])[:room]
        return PeerList(tuple(chosen[:MAX_LISTED_PEERS]), reply_wanted, now)

    def _periodic_lists(self, targets: list[str], now: float) -> list[Action]:
        """Repair views of the own zone that differ, and keep other zones informed."""
        near, far = [], []
        for instance in targets:
            view = self._view_by_instance.get(instance)
            if view is not None and view.peer.zone != self.me.zone:
                far.append(instance)
            elif view is None or view.view_digest != self._digest:
                near.append(instance)
        actions = self._send_all(near, self._peer_list(now)) if near else []
        own = [self._record(peer, now) for peer in self.live_entries(self.me.zone, now)]
        own_list = PeerList(tuple(own[:MAX_LISTED_PEERS]), False, now)
        self._far_turn += MAX_FAR_LISTS
        start = self._far_turn % len(far) if far else 0
        return actions + self._send_all((far[start:] + far)[:MAX_FAR_LISTS], own_list)

    def _record(self, peer: Peer, now: float) -> PeerAddress:
        if peer == self.me:
            return PeerAddress(
                peer, self._control_address, self._request_address, self.leaving, 0.0
            )
        view = self._view_by_instance[peer.instance]
        known_at = max(view.alive_at, view.noted_at, now - FORGET_SECONDS)
        return PeerAddress(
            peer,
            view.control_address,
            view.request_address,
            view.leaving,
            max(0.0, now - known_at),
        )

    def _notices(self, now: float) -> list[Action]:
        """Pass on that agents are leaving or were replaced."""
        records = []
        for instance, notice in list(self._notice_by_instance.items()):
            view = self._view_by_instance.get(instance)
            is_done = notice.left + notice.late <= 0
            if view is None or is_done or self.me.role is Role.AGENT:
                del self._notice_by_instance[instance]
            elif notice.left and now >= notice.next_at:
                notice.next_at = now + HEARTBEAT_SECONDS
                notice.left -= 1
                records.append(self._record(view.peer, now))
        if not records:
            return []
        targets = self._known_entries() | self._counterparts(now)
        live = sorted(name for name in targets if self._is_alive(name, now))
        return self._send_records(live, records, now)

    def _send_records(
        self,
        targets: list[str],
        records: list[PeerAddress],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for start in range(0, len(records), MAX_LISTED_PEERS):
            chunk = tuple(records[start : start + MAX_LISTED_PEERS])
            actions += self._send_all(targets, PeerList(chunk, False, now))
        return actions

    def _late_notices(self, targets: Iterable[str], now: float) -> list[Action]:
        """Repeat a few recent notices, for entries that have lost them all."""
        due = [
            instance
            for instance, notice in self._notice_by_instance.items()
            if notice.left == 0 and instance in self._view_by_instance
        ]
        records = []
        for instance in due[:MAX_LATE_NOTICES]:
            notice = self._notice_by_instance.pop(instance)
            notice.late -= 1
            self._notice_by_instance[instance] = notice
            records.append(self._record(self._view_by_instance[instance].peer, now))
        if not records:
            return []
        return self._send_all(targets, PeerList(tuple(records), False, now))

    def _invitations(self, now: float) -> list[Action]:
        """Call agents that should report here but have not been heard yet."""
        due = [
            instance
            for instance, since in self._reporting_since.items()
            if now - since < INVITATION_SECONDS and not self._is_alive(instance, now)
        ]
        if not due:
            return []
        chosen = due[:MAX_INVITATIONS_PER_SECOND]
        actions = self._send_all(chosen, self._heartbeat(now))
        return actions + self._send_all(chosen, self._peer_list(now))

    def _suspicions(self, now: float) -> list[Action]:
        """Tell the zone's entries of agents that should report here and are silent."""
        due = [
            instance
            for instance in self._reporting_since
            if now - self._suspicion_sent_at.get(instance, NEVER)
            >= SUSPICION_REPEAT_SECONDS
            and self._is_report_missing(instance, now)
        ]
        targets = [
            peer.instance
            for peer in self.live_entries(self.me.zone, now)
            if peer != self.me
        ]
        actions: list[Action] = []
        for instance in due[:MAX_SUSPICIONS_PER_SECOND]:
            self._suspicion_sent_at[instance] = now
            view = self._view_by_instance.get(instance)
            unheard = Peer(instance, "", self.me.zone, Role.AGENT)
            peer = unheard if view is None else view.peer
            actions += self._send_all(targets, Suspicion(peer))
        return actions

    @staticmethod
    def _send_all(targets: Iterable[str], message: Message) -> list[Action]:
        return [Send(instance, message) for instance in targets]

    # Targets

    def _agent_targets(self, now: float) -> list[str]:
        chosen = self.reporting_entries(now)
        if chosen:
            self._beat += 1
            is_second_due = self._beat % SECOND_REPORT_BEATS == 0 or self.leaving
            return chosen if is_second_due else chosen[:1]
        known = self._known_entries() | set(self._seeds)
        return rank_by_rendezvous(self.me.instance, known)[:MAX_AGENT_PROBES]

    def _entry_targets(self, now: float) -> list[str]:
        """Return the zone's entries; a reader adds its counterparts in other zones."""
        targets = self._known_entries() | set(self._seeds) | self._counterparts(now)
        return sorted(name for name in targets if self._is_due(name, now))

    def _is_due(self, instance: str, now: float) -> bool:
        view = self._view_by_instance.get(instance)
        if view is not None and view.peer.zone != self.me.zone:
            if now - self._probed_at.get(instance, NEVER) < FAR_HEARTBEAT_SECONDS:
                return False
            self._probed_at[instance] = now
            return True
        if view is not None:
            last = max(view.alive_at, view.known_at, self.views_from)
            if now - last <= PROBE_AFTER_SECONDS:
                return True
        if now - self._probed_at.get(instance, NEVER) < PROBE_SECONDS:
            return False
        self._probed_at[instance] = now
        return True

    # Upkeep

    def _update_digest(self, now: float) -> None:
        digest = self.view_digest(now)
        if digest != self._digest:
            self._entries_by_agent.clear()
        if digest != self._digest or self._sheet_changed:
            self._digest = digest
            self._sheet_changed = False
            self._update_reporting(now)

    def _forget_silent(self, now: float) -> None:
        """Bound the tables by dropping what has been silent for long."""
        for instance, view in list(self._view_by_instance.items()):
            last = max(view.known_at, view.alive_at)
            if now - last > FORGET_SECONDS and self._server(instance) is None:
                self._remove(instance)
        for times in (self._suspicion_sent_at, self._probed_at):
            for instance in [name for name in times if now - times[name] > 60.0]:
                del times[instance]
        for limits in (self._suspect_until, self._unreachable_until):
            for instance in [name for name in limits if limits[name] <= now]:
                del limits[instance]
