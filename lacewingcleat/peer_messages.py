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

HEARTBEAT_SECONDS = 1.0
MAX_LISTED_PEERS = 32
FORGET_SECONDS = 900.0
# Notices that an agent is leaving or was replaced are repeated because messages may be
# lost.
NOTICE_REPEATS = 3
# Further repeats at longer intervals, for entries that missed all of the first ones.
LATE_NOTICES = 6
LATE_GREETINGS = 2
MAX_LATE_NOTICES = 8
# For this long, an entry invites agents that should report to it but have not done so.
INVITATION_SECONDS = 10.0
MAX_INVITATIONS_PER_SECOND = 40
SUSPICION_REPEAT_SECONDS = 5.0
# Limits the burst of messages when a whole rack fails. The other failures are detected
# by failed connections.
MAX_SUSPICIONS_PER_SECOND = 4


@dataclass(slots=True)
class Notice:
    """Track the remaining repeats of a notice.

    :param next_at: time of the next early repeat.
    :param left: number of repeats left, one per heartbeat interval.
    :param late: number of late repeats left, sent with the periodic lists.
    """

    next_at: float
    left: int = NOTICE_REPEATS
    late: int = LATE_NOTICES


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
        self._digest = ""
        self._list_turn = 0
        self._notice_by_instance: dict[str, Notice] = {}
        self._suspicion_sent_at: dict[str, float] = {}

    def _heartbeat(self, now: float) -> Heartbeat:
        # The sheet lists the addresses of agents, so only entries announce theirs.
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
        """Return a list of the live entries of this zone and some of other zones.

        The length is limited. Successive lists rotate through the entries of other
        zones.
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

    def _notices(self, now: float) -> list[Action]:
        """Announce agents that are leaving or were replaced to other entries."""
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

    def _late_notices(self, targets: Iterable[str], now: float) -> list[Action]:
        """Repeat a few recent notices, for entries that missed all earlier ones."""
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
        """Invite agents that should report to this entry but have not done so yet."""
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
        """Report agents that stopped reporting to this entry to the zone's entries."""
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
