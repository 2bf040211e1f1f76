"""coordination: build the heartbeats, peer lists and suspicions sent to peers.

Every message has a fixed size limit, so no message lists the whole fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lacewingcleat.actions import Action, Send
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import Heartbeat, Message, PeerAddress, PeerList, Suspicion
from lacewingcleat.peer_table import PeerTable
from lacewingcleat.peer_view import NEVER

HEARTBEAT_INTERVAL_SECONDS = 1.0
MAX_LISTED_PEERS = 32
PEER_RETENTION_SECONDS = 900.0
# Notices that an agent is leaving or was replaced are repeated because messages may be
# lost.
NOTICE_REPEATS = 3
# Further repeats at longer intervals, for entries that missed all of the first ones.
LATE_NOTICE_REPEATS = 6
LATE_JOIN_REPEATS = 2
MAX_LATE_NOTICES_PER_ROUND = 8
# For this long, an entry invites agents that should report to it but have not done so.
INVITATION_WINDOW_SECONDS = 10.0
MAX_INVITATIONS_PER_SECOND = 40
SUSPICION_INTERVAL_SECONDS = 5.0
# Limits the burst of messages when a whole rack fails. The other failures are detected
# by failed connections.
MAX_SUSPICIONS_PER_SECOND = 4


@dataclass(slots=True)
class Notice:
    """Track the remaining repeats of a notice.

    :param next_repeat_at: time of the next early repeat.
    :param repeats_left: number of repeats left, one per heartbeat interval.
    :param late_repeats_left: number of late repeats left, sent with the periodic lists.
    """

    next_repeat_at: float
    repeats_left: int = NOTICE_REPEATS
    late_repeats_left: int = LATE_NOTICE_REPEATS


class PeerMessages(PeerTable):
    """Extend the peer table with the messages that announce its contents.

    :param control_address: IP and port of this process's control socket.
    :param request_address: IP and port of its HTTP listener.
    """

    def __init__(
        self,
        me: Peer,
        control_address: str,
        request_address: str,
        now: float,
    ) -> None:
        super().__init__(me, now)
        self.in_flight = 0
        self.capacity = 0
        self._control_address = control_address
        self._request_address = request_address
        self._last_view_digest = ""
        self._list_rotation = 0
        self._notice_by_instance: dict[str, Notice] = {}
        self._suspicion_sent_at: dict[str, float] = {}

    def _heartbeat(self, now: float) -> Heartbeat:
        # The sheet lists the addresses of agents, so only entries announce theirs.
        is_entry = self.me.role is Role.ENTRY
        return Heartbeat(
            self._control_address if is_entry else "",
            self._request_address if is_entry else "",
            self._last_view_digest or self.view_digest(now),
            self.leaving,
            self.in_flight,
            self.capacity,
            now,
        )

    def _peer_list(self, now: float, reply_wanted: bool = False) -> PeerList:
        """Return a list of the live entries of this zone and some of other zones.

        The length is limited. Successive lists rotate through the entries of other
        zones.
        """
        own_zone = [
            self._create_record(peer, now)
            for peer in self.live_entries(self.me.zone, now)
        ]
        other_zones = [
            self._create_record(view.peer, now)
            for view in self._entry_view_by_instance.values()
            if view.peer.zone != self.me.zone and self._is_live_entry(view, now)
        ]
        free_slots = max(0, MAX_LISTED_PEERS - 1 - len(own_zone))
        self._list_rotation += 1
        start = (
            (self._list_rotation * free_slots) % len(other_zones) if other_zones else 0
        )
        records = own_zone + (other_zones[start:] + other_zones[:start])[:free_slots]
        return PeerList(tuple(records[:MAX_LISTED_PEERS]), reply_wanted, now)

    def _create_record(self, peer: Peer, now: float) -> PeerAddress:
        if peer == self.me:
            return PeerAddress(
                peer, self._control_address, self._request_address, self.leaving, 0.0
            )
        view = self._view_by_instance[peer.instance]
        confirmed_at = max(
            view.last_seen_at, view.reported_at, now - PEER_RETENTION_SECONDS
        )
        return PeerAddress(
            peer,
            view.control_address,
            view.request_address,
            view.leaving,
            max(0.0, now - confirmed_at),
        )

    @staticmethod
    def _send_all(targets: Iterable[str], message: Message) -> list[Action]:
        return [Send(instance, message) for instance in targets]

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

    def _early_notices(self, now: float) -> list[Action]:
        """Announce agents that are leaving or were replaced to other entries."""
        records = []
        for instance, notice in list(self._notice_by_instance.items()):
            view = self._view_by_instance.get(instance)
            is_done = notice.repeats_left + notice.late_repeats_left <= 0
            if view is None or is_done or self.me.role is Role.AGENT:
                del self._notice_by_instance[instance]
            elif notice.repeats_left and now >= notice.next_repeat_at:
                notice.next_repeat_at = now + HEARTBEAT_INTERVAL_SECONDS
                notice.repeats_left -= 1
                records.append(self._create_record(view.peer, now))
        if not records:
            return []
        targets = self._own_zone_entries() | self._paired_readers(now)
        live_targets = sorted(name for name in targets if self._is_alive(name, now))
        return self._send_records(live_targets, records, now)

    def _late_notices(self, targets: Iterable[str], now: float) -> list[Action]:
        """Repeat a few recent notices, for entries that missed all earlier ones."""
        pending = [
            instance
            for instance, notice in self._notice_by_instance.items()
            if notice.repeats_left == 0 and instance in self._view_by_instance
        ]
        records = []
        for instance in pending[:MAX_LATE_NOTICES_PER_ROUND]:
            notice = self._notice_by_instance.pop(instance)
            notice.late_repeats_left -= 1
            self._notice_by_instance[instance] = notice
            records.append(
                self._create_record(self._view_by_instance[instance].peer, now)
            )
        if not records:
            return []
        return self._send_all(targets, PeerList(tuple(records), False, now))

    def _invitations(self, now: float) -> list[Action]:
        """Invite agents that should report to this entry but have not done so yet."""
        silent_agents = [
            instance
            for instance, since in self._expected_since_by_agent.items()
            if now - since < INVITATION_WINDOW_SECONDS
            and not self._is_alive(instance, now)
        ]
        if not silent_agents:
            return []
        targets = silent_agents[:MAX_INVITATIONS_PER_SECOND]
        actions = self._send_all(targets, self._heartbeat(now))
        return actions + self._send_all(targets, self._peer_list(now))

    def _suspicions(self, now: float) -> list[Action]:
        """Report agents that stopped reporting to this entry to the zone's entries."""
        silent_agents = [
            instance
            for instance in self._expected_since_by_agent
            if now - self._suspicion_sent_at.get(instance, NEVER)
            >= SUSPICION_INTERVAL_SECONDS
            and self._is_report_missing(instance, now)
        ]
        targets = [
            peer.instance
            for peer in self.live_entries(self.me.zone, now)
            if peer != self.me
        ]
        actions: list[Action] = []
        for instance in silent_agents[:MAX_SUSPICIONS_PER_SECOND]:
            self._suspicion_sent_at[instance] = now
            view = self._view_by_instance.get(instance)
            unknown_peer = Peer(instance, "", self.me.zone, Role.AGENT)
            peer = unknown_peer if view is None else view.peer
            actions += self._send_all(targets, Suspicion(peer))
        return actions
