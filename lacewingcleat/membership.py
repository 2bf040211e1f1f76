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
    HEARTBEAT_INTERVAL_SECONDS,
    LATE_JOIN_REPEATS,
    MAX_LISTED_PEERS,
    PEER_RETENTION_SECONDS,
    Notice,
    PeerMessages,
)
from lacewingcleat.peer_table import (
    ENTRY_REPLY_INTERVAL_SECONDS,
    REMOTE_HEARTBEAT_SECONDS,
    SECONDARY_REPORT_INTERVAL_SECONDS,
    PeerStatus,
    PlatformList,
)
from lacewingcleat.peer_view import NEVER, PeerView
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet

__all__ = ["MAX_LISTED_PEERS", "Membership", "PeerStatus", "PlatformList"]

SECONDARY_REPORT_HEARTBEATS = round(
    SECONDARY_REPORT_INTERVAL_SECONDS / HEARTBEAT_INTERVAL_SECONDS
)
LIST_REPLY_INTERVAL_SECONDS = 2.0
PEER_LIST_INTERVAL_SECONDS = 10.0
# A peer that has been silent for longer gets heartbeats at a lower rate. They continue
# so that the end of a network partition is detected.
SLOW_PROBE_AFTER_SECONDS = 60.0
SLOW_PROBE_INTERVAL_SECONDS = 5.0
# Number of entries that an agent contacts at once while it knows no live entry.
MAX_AGENT_PROBES = 4
# Longer than all repeats of a notice take together, so that two entries do not renew
# each other's notices endlessly; a third of the time after which a notice expires.
NOTICE_RENEWAL_SECONDS = 300.0
MAX_REMOTE_LISTS = 3
SUSPICION_TTL_SECONDS = 15.0


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
        self._last_probe_at: dict[str, float] = {}
        self._sheet_changed = False
        self._next_heartbeat_at = now
        self._next_list_at = now
        self._remote_list_index = 0
        self._heartbeat_count = 0
        self._joined_peers: list[str] = []

    def control_address(self, instance: str) -> str | None:
        """Return the control address of an instance, or None if it is not known."""
        view = self._view_by_instance.get(instance)
        if view is not None and view.control_address:
            return view.control_address
        server = self._sheet_server(instance)
        if server is not None:
            return server.control_address
        return self._seeds.get(instance)

    def flood_targets(self, now: float) -> list[str]:
        """Return the processes to which this one forwards crash reports.

        An agent forwards to the entries that it reports to. An entry forwards to the
        entries of its zone, its paired readers in other zones, and its agents.
        """
        if self.me.role is Role.AGENT:
            return self.assigned_entries(now)
        targets = self._own_zone_entries() | self._paired_readers(now)
        targets |= set(self._expected_since_by_agent)
        return sorted(name for name in targets if self._is_alive(name, now))

    def take_joined_peers(self) -> list[str]:
        """Return and clear the processes that joined, or came back after a silence.

        They have missed earlier crash reports, see `CrashSuspects.greet`.
        """
        joined_peers = self._joined_peers
        self._joined_peers = []
        return joined_peers

    def set_leaving(self, now: float) -> None:
        """Announce in all further heartbeats that this process accepts no new work."""
        self.leaving = True
        self._next_heartbeat_at = now

    def record_leaving(self, instance: str, now: float) -> None:
        """Record that an agent refused a request because its server is leaving."""
        view = self._view_by_instance.get(instance)
        server = self._sheet_server(instance)
        if view is None and server is not None:
            peer = Peer(instance, "", server.zone, Role.AGENT)
            view = self._add_view(peer, server.control_address, server.address, now)
        if view is not None:
            self._mark_leaving(view, now)

    def receive(self, envelope: Envelope, now: float) -> list[Action]:
        """Process a message from a peer and return the replies.

        Message types that do not belong to membership are ignored.
        """
        if envelope.sender.instance == self.me.instance:
            return []
        match envelope.body:
            case Heartbeat() as heartbeat:
                return self._receive_heartbeat(envelope.sender, heartbeat, now)
            case PeerList() as peers:
                return self._receive_list(envelope.sender, peers, now)
            case Suspicion(peer=peer):
                self._receive_suspicion(envelope.sender, peer, now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Return the periodic messages to send now. Must be called every 0.25 s."""
        self._update_digest(now)
        actions = self._early_notices(now)
        if now < self._next_heartbeat_at:
            return actions
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
        if self.me.role is Role.AGENT:
            return self._send_all(self._agent_targets(now), self._heartbeat(now))
        self._evict_silent_peers(now)
        targets = self._entry_targets(now)
        actions += self._send_all(targets, self._heartbeat(now))
        actions += self._suspicions(now)
        actions += self._invitations(now)
        if now >= self._next_list_at:
            self._next_list_at = now + PEER_LIST_INTERVAL_SECONDS
            actions += self._periodic_lists(targets, now)
            actions += self._late_notices(targets, now)
        return actions

    def update_sheet(self, sheet: Sheet) -> None:
        """Apply the servers and their states from the sheet in force."""
        super().update_sheet(sheet)
        self._sheet_changed = True

    # Received messages

    def _receive_heartbeat(
        self,
        sender: Peer,
        heartbeat: Heartbeat,
        now: float,
    ) -> list[Action]:
        view = self._view_by_instance.get(sender.instance)
        has_joined = view is None or not self._is_view_alive(view, now)
        if view is None:
            view = self._add_view(sender, "", "", now)
        previous_peer = view.peer
        has_joined = has_joined or previous_peer != sender
        was_leaving = view.leaving
        zone_was_silent = self._is_zone_silent(sender.zone, now)
        sent_at = heartbeat.sent_at
        timeout = self._timeout_for(sender)
        if not view.accept(sender, sent_at, now, timeout, self.views_valid_from):
            return []
        self._last_heartbeat_at = now
        if has_joined:
            self._joined_peers.append(sender.instance)
        if zone_was_silent:
            self._drop_zone_views(sender.zone, now)
        view.control_address = heartbeat.control_address or view.control_address
        view.request_address = heartbeat.request_address or view.request_address
        view.view_digest = heartbeat.view_digest
        self._unreachable_until.pop(sender.instance, None)
        self._suspect_until.pop(sender.instance, None)
        if heartbeat.leaving:
            self._mark_leaving(view, now)
        elif was_leaving and previous_peer != sender:
            self._notice_by_instance[sender.instance] = Notice(now)
        elif has_joined and sender.role is Role.AGENT:
            # Other processes may still hold a leaving notice of the previous
            # incarnation, and the one that sent it may have exited.
            self._notice_by_instance[sender.instance] = Notice(
                now, 0, LATE_JOIN_REPEATS
            )
        if self.me.role is Role.AGENT:
            if heartbeat.view_digest == self._last_view_digest:
                self._refresh_entries(view, now)
            return []
        if sender.role is Role.AGENT:
            return self._reply_to_agent(view, now)
        if has_joined:
            return self._send_initial_state(sender.instance, now)
        return []

    def _send_initial_state(self, instance: str, now: float) -> list[Action]:
        """Send the peer list and all leaving agents to an entry that has (re)joined."""
        peer_list = self._peer_list(now, reply_wanted=True)
        leaving_agents = [
            self._create_record(view.peer, now)
            for view in self._view_by_instance.values()
            if view.peer.role is Role.AGENT
            and self._is_leaving(view.peer.instance, view, now)
        ]
        return [
            Send(instance, peer_list),
            *self._send_records([instance], leaving_agents, now),
        ]

    def _refresh_entries(self, view: PeerView, now: float) -> None:
        """Count an entry's equal view digest as a sign of life of all entries in it."""
        for other in self._entry_view_by_instance.values():
            if other.peer.zone == self.me.zone and self._is_live_entry(other, now):
                other.last_seen_at = max(other.last_seen_at, view.last_seen_at)

    def _reply_to_agent(self, view: PeerView, now: float) -> list[Action]:
        """Reply to an agent's heartbeat, sooner if its view of the entries differs."""
        differs = view.view_digest != self._last_view_digest
        min_interval = (
            LIST_REPLY_INTERVAL_SECONDS if differs else ENTRY_REPLY_INTERVAL_SECONDS
        )
        if now - view.replied_at < min_interval:
            return []
        view.replied_at = now
        instance = view.peer.instance
        actions: list[Action] = [Send(instance, self._heartbeat(now))]
        if differs:
            actions.append(Send(instance, self._peer_list(now)))
        return actions

    def _receive_list(self, sender: Peer, peers: PeerList, now: float) -> list[Action]:
        sent_at = self._list_sent_at(sender, peers, now)
        for record in peers.peers:
            if record.peer.instance != self.me.instance:
                self._apply_record(record, sender, sent_at, now)
        if self.me.role is Role.AGENT:
            self._expire_unlisted_entries(peers, sent_at)
            return []
        if peers.reply_wanted:
            return [Send(sender.instance, self._peer_list(now))]
        return []

    def _list_sent_at(self, sender: Peer, peers: PeerList, now: float) -> float:
        view = self._view_by_instance.get(sender.instance)
        if view is None or view.peer.incarnation != sender.incarnation:
            return NEVER
        return view.to_local_time(peers.sent_at, now)

    def _apply_record(
        self,
        record: PeerAddress,
        sender: Peer,
        sent_at: float,
        now: float,
    ) -> None:
        peer = record.peer
        view = self._view_by_instance.get(peer.instance)
        if view is None:
            view = self._add_view(
                peer, record.control_address, record.request_address, now
            )
        reported_at = sent_at - record.age
        if view.peer.incarnation in ("", peer.incarnation):
            view.peer = peer
        elif reported_at > max(
            view.last_seen_at, view.reported_at, self.views_valid_from
        ):
            # A newer incarnation, which does not send heartbeats to this process.
            view.replace(peer)
        else:
            return
        view.reported_at = max(view.reported_at, reported_at)
        if record.leaving:
            self._mark_leaving(view, now, sender)
        # An agent receives heartbeats only from the entries that it reports to. It
        # relies on their lists for all other entries, as of the time a list was made.
        if self.me.role is Role.AGENT and peer.role is Role.ENTRY:
            if reported_at >= self.views_valid_from and view.peer == peer:
                view.control_address = record.control_address
                view.last_seen_at = max(view.last_seen_at, reported_at)

    def _expire_unlisted_entries(self, peers: PeerList, sent_at: float) -> None:
        if len(peers.peers) >= MAX_LISTED_PEERS:
            return
        listed = {record.peer.instance for record in peers.peers}
        for instance, view in self._entry_view_by_instance.items():
            if view.peer.zone == self.me.zone and instance not in listed:
                if view.last_seen_at < sent_at:
                    view.last_seen_at = NEVER

    def _receive_suspicion(self, sender: Peer, suspect: Peer, now: float) -> None:
        if self._is_alive(suspect.instance, now):
            return
        if self._is_alive(sender.instance, now):
            self._suspect_until[suspect.instance] = now + SUSPICION_TTL_SECONDS

    def _mark_leaving(
        self,
        view: PeerView,
        now: float,
        reported_by: Peer | None = None,
    ) -> None:
        # The notice of a process that is still leaving is renewed before it expires on
        # other processes.
        if view.leaving and now - view.leaving_announced_at < NOTICE_RENEWAL_SECONDS:
            return
        view.leaving = True
        view.leaving_announced_at = now
        if reported_by is None or view.reported_at == NEVER:
            view.reported_at = now
        is_first_in_zone = reported_by is None or reported_by.zone != self.me.zone
        if is_first_in_zone or self.me.instance in self.zone_readers(self.me.zone, now):
            self._notice_by_instance[view.peer.instance] = Notice(now)

    def _periodic_lists(self, targets: list[str], now: float) -> list[Action]:
        """Send lists to entries of this zone with another view, and to other zones."""
        differing_entries, remote_entries = [], []
        for instance in targets:
            view = self._view_by_instance.get(instance)
            if view is not None and view.peer.zone != self.me.zone:
                remote_entries.append(instance)
            elif view is None or view.view_digest != self._last_view_digest:
                differing_entries.append(instance)
        actions = (
            self._send_all(differing_entries, self._peer_list(now))
            if differing_entries
            else []
        )
        own_zone_records = [
            self._create_record(peer, now)
            for peer in self.live_entries(self.me.zone, now)
        ]
        own_list = PeerList(tuple(own_zone_records[:MAX_LISTED_PEERS]), False, now)
        self._remote_list_index += MAX_REMOTE_LISTS
        start = self._remote_list_index % len(remote_entries) if remote_entries else 0
        return actions + self._send_all(
            (remote_entries[start:] + remote_entries)[:MAX_REMOTE_LISTS], own_list
        )

    # Targets

    def _agent_targets(self, now: float) -> list[str]:
        entries = self.assigned_entries(now)
        if entries:
            self._heartbeat_count += 1
            is_secondary_due = (
                self._heartbeat_count % SECONDARY_REPORT_HEARTBEATS == 0 or self.leaving
            )
            return entries if is_secondary_due else entries[:1]
        known_entries = self._own_zone_entries() | set(self._seeds)
        return rank_by_rendezvous(self.me.instance, known_entries)[:MAX_AGENT_PROBES]

    def _entry_targets(self, now: float) -> list[str]:
        """Return the entries to send a heartbeat to now.

        These are the entries of this zone and, for a reader, its paired readers in
        other zones.
        """
        targets = (
            self._own_zone_entries() | set(self._seeds) | self._paired_readers(now)
        )
        return sorted(name for name in targets if self._is_heartbeat_due(name, now))

    def _is_heartbeat_due(self, instance: str, now: float) -> bool:
        view = self._view_by_instance.get(instance)
        if view is not None and view.peer.zone != self.me.zone:
            if (
                now - self._last_probe_at.get(instance, NEVER)
                < REMOTE_HEARTBEAT_SECONDS
            ):
                return False
            self._last_probe_at[instance] = now
            return True
        if view is not None:
            last_contact_at = max(
                view.last_seen_at, view.added_at, self.views_valid_from
            )
            if now - last_contact_at <= SLOW_PROBE_AFTER_SECONDS:
                return True
        if now - self._last_probe_at.get(instance, NEVER) < SLOW_PROBE_INTERVAL_SECONDS:
            return False
        self._last_probe_at[instance] = now
        return True

    # Maintenance

    def _update_digest(self, now: float) -> None:
        digest = self.view_digest(now)
        if digest != self._last_view_digest:
            self._entries_by_agent.clear()
        if digest != self._last_view_digest or self._sheet_changed:
            self._last_view_digest = digest
            self._sheet_changed = False
            self._update_expected_agents(now)

    def _evict_silent_peers(self, now: float) -> None:
        """Evict peers that have been silent for long, which bounds memory use."""
        for instance, view in list(self._view_by_instance.items()):
            last_update_at = max(view.added_at, view.last_seen_at)
            if (
                now - last_update_at > PEER_RETENTION_SECONDS
                and self._sheet_server(instance) is None
            ):
                self._remove_view(instance)
        for times in (self._suspicion_sent_at, self._last_probe_at):
            for instance in [name for name in times if now - times[name] > 60.0]:
                del times[instance]
        for expiry_times in (self._suspect_until, self._unreachable_until):
            for instance in [
                name for name in expiry_times if expiry_times[name] <= now
            ]:
                del expiry_times[instance]
