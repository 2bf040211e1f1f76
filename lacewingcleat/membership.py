"""coordination: exchange heartbeats, peer addresses and leaving notices with peers.

`PeerTable` derives the status of each process; `Membership` receives and sends the
messages. Every message has a fixed size limit, so no message lists the whole fleet.
"""

from collections.abc import Mapping

from lacewingcleat.actions import Action, Send
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import (
    Envelope,
    Heartbeat,
    PeerAddress,
    PeerList,
    Suspicion,
)
from lacewingcleat.peer_messages import (
    FORGET_SECONDS,
    HEARTBEAT_SECONDS,
    LATE_GREETINGS,
    MAX_LISTED_PEERS,
    Notice,
    PeerMessages,
)
from lacewingcleat.peer_table import (
    ENTRY_ANSWER_SECONDS,
    FAR_HEARTBEAT_SECONDS,
    SECOND_REPORT_SECONDS,
    PeerStatus,
    PlatformList,
)
from lacewingcleat.peer_view import NEVER, PeerView
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet

__all__ = ["MAX_LISTED_PEERS", "Membership", "PeerStatus", "PlatformList"]

SECOND_REPORT_BEATS = round(SECOND_REPORT_SECONDS / HEARTBEAT_SECONDS)
LIST_ANSWER_SECONDS = 2.0
PEER_LIST_SECONDS = 10.0
# A peer that has been silent for longer gets heartbeats at a lower rate. They continue
# so that the end of a network partition is detected.
PROBE_AFTER_SECONDS = 60.0
PROBE_SECONDS = 5.0
# Number of entries that an agent contacts at once while it knows no live entry.
MAX_AGENT_PROBES = 4
# Longer than all repeats of a notice take together, so that two entries do not renew
# each other's notices endlessly; a third of the time after which a notice expires.
RENEW_NOTICE_SECONDS = 300.0
MAX_FAR_LISTS = 3
SUSPICION_SECONDS = 15.0


class Membership(PeerMessages):
    """Maintain one process's membership view and exchange it with other processes.

    :param me: this process.
    :param control_address: IP and port of its control socket.
    :param request_address: IP and port of its HTTP listener.
    :param seeds: control addresses of the entries named in the settings, by instance.
    """

    def __init__(
        self,
        me: Peer,
        control_address: str,
        request_address: str,
        seeds: Mapping[str, str],
        now: float,
    ) -> None:
        super().__init__(me, control_address, request_address, now)
        self._seeds = {name: at for name, at in seeds.items() if name != me.instance}
        self._probed_at: dict[str, float] = {}
        self._sheet_changed = False
        self._next_heartbeat = now
        self._next_list = now
        self._far_turn = 0
        self._beat = 0
        self._newcomers: list[str] = []

    def address(self, instance: str) -> str | None:
        """Return the control address of an instance, or None if it is not known."""
        view = self._view_by_instance.get(instance)
        if view is not None and view.control_address:
            return view.control_address
        record = self._server(instance)
        if record is not None:
            return record.control_address
        return self._seeds.get(instance)

    def flood_targets(self, now: float) -> list[str]:
        """Return the processes to which this one forwards crash reports.

        An agent forwards to the entries that it reports to. An entry forwards to the
        entries of its zone, its paired readers in other zones, and its agents.
        """
        if self.me.role is Role.AGENT:
            return self.reporting_entries(now)
        targets = self._known_entries() | self._counterparts(now)
        targets |= set(self._reporting_since)
        return sorted(name for name in targets if self._is_alive(name, now))

    def take_newcomers(self) -> list[str]:
        """Return and clear the processes that joined, or came back after a silence.

        They have missed earlier crash reports, see `CrashSuspects.greet`.
        """
        newcomers = self._newcomers
        self._newcomers = []
        return newcomers

    def set_leaving(self, now: float) -> None:
        """Announce in all further heartbeats that this process accepts no new work."""
        self.leaving = True
        self._next_heartbeat = now

    def note_leaving(self, instance: str, now: float) -> None:
        """Record that an agent refused a request because its server is leaving."""
        view = self._view_by_instance.get(instance)
        record = self._server(instance)
        if view is None and record is not None:
            peer = Peer(instance, "", record.zone, Role.AGENT)
            view = self._add(peer, record.control_address, record.address, now)
        if view is not None:
            self._mark_leaving(view, now)

    def hear(self, envelope: Envelope, now: float) -> list[Action]:
        """Process a message from a peer and return the replies.

        Message types that do not belong to membership are ignored.
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
        """Return the periodic messages to send now. Must be called every 0.25 s."""
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
        """Apply the servers and their states from the sheet in force."""
        super().update_sheet(sheet)
        self._sheet_changed = True

    # Received messages

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
            self._notice_by_instance[sender.instance] = Notice(now)
        elif is_new and sender.role is Role.AGENT:
            # Other processes may still hold a leaving notice of the previous
            # incarnation, and the one that sent it may have exited.
            self._notice_by_instance[sender.instance] = Notice(now, 0, LATE_GREETINGS)
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
        """Send the peer list and all leaving agents to an entry that has (re)joined."""
        greeting = self._peer_list(now, reply_wanted=True)
        leaving = [
            self._record(view.peer, now)
            for view in self._view_by_instance.values()
            if view.peer.role is Role.AGENT
            and self._is_leaving(view.peer.instance, view, now)
        ]
        return [Send(instance, greeting), *self._send_records([instance], leaving, now)]

    def _confirm_entries(self, view: PeerView, now: float) -> None:
        """Count an entry's equal view digest as a sign of life of all entries in it."""
        for other in self._entry_view_by_instance.values():
            if other.peer.zone == self.me.zone and self._is_live_entry(other, now):
                other.alive_at = max(other.alive_at, view.alive_at)

    def _answer_agent(self, view: PeerView, now: float) -> list[Action]:
        """Reply to an agent's heartbeat, sooner if its view of the entries differs."""
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
            # A newer incarnation, which does not send heartbeats to this process.
            view.replace(peer)
        else:
            return
        view.noted_at = max(view.noted_at, noted_at)
        if record.leaving:
            self._mark_leaving(view, now, sender)
        # An agent receives heartbeats only from the entries that it reports to. It
        # relies on their lists for all other entries, as of the time a list was made.
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
        # The notice of a process that is still leaving is renewed before it expires on
        # other processes.
        if view.leaving and now - view.announced_at < RENEW_NOTICE_SECONDS:
            return
        view.leaving = True
        view.announced_at = now
        if heard_from is None or view.noted_at == NEVER:
            view.noted_at = now
        first_in_zone = heard_from is None or heard_from.zone != self.me.zone
        if first_in_zone or self.me.instance in self.zone_readers(self.me.zone, now):
            self._notice_by_instance[view.peer.instance] = Notice(now)

    def _periodic_lists(self, targets: list[str], now: float) -> list[Action]:
        """Send lists to entries of this zone with another view, and to other zones."""
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
        """Return the entries to send a heartbeat to now.

        These are the entries of this zone and, for a reader, its paired readers in
        other zones.
        """
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

    # Maintenance

    def _update_digest(self, now: float) -> None:
        digest = self.view_digest(now)
        if digest != self._digest:
            self._entries_by_agent.clear()
        if digest != self._digest or self._sheet_changed:
            self._digest = digest
            self._sheet_changed = False
            self._update_reporting(now)

    def _forget_silent(self, now: float) -> None:
        """Evict peers that have been silent for long, which bounds memory use."""
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
