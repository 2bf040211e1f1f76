from testtools import TestCase

from lacewingcleat.actions import Send
from lacewingcleat.identity import Peer, Role
from lacewingcleat.membership import MAX_LISTED_PEERS, Membership, PlatformList
from lacewingcleat.messages import Heartbeat, PeerAddress, PeerList
from lacewingcleat.peer_table import (
    PEER_TIMEOUT_SECONDS,
    PLATFORM_LIST_TTL_SECONDS,
    PeerStatus,
)
from lacewingcleat.peer_view import PeerView
from lacewingcleat.sheet import ServerState
from tests.builders import make_peer, make_server, make_sheet
from tests.builders_safety import make_envelope, make_heartbeat
from tests.safety_harness import MembershipWorld


class EntryMembershipTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.entry = Membership(make_peer("entry-1"), "c", "r", {}, 0.0)
        self.entry.update_sheet(make_sheet(servers=[make_server("server-1")]))
        self.entry.tick(0.0)
        self.agent = make_peer("server-1", "a1", role=Role.AGENT)

    def receive(
        self,
        now: float,
        leaving: bool = False,
        sent_at: float | None = None,
        sender: Peer | None = None,
    ) -> None:
        body = make_heartbeat(now if sent_at is None else sent_at, leaving)
        self.entry.receive(make_envelope(sender or self.agent, body), now)

    def test_silent_agent_receives_no_work_after_3_s(self) -> None:
        """Guards against requests being sent to a server that has died."""
        self.receive(5.0)
        self.assertTrue(self.entry.may_receive_work("server-1", 8.0))
        self.assertEqual(PeerStatus.UNREACHABLE, self.entry.status("server-1", 8.1))
        self.assertFalse(self.entry.may_receive_work("server-1", 8.1))

    def test_older_heartbeat_does_not_clear_leaving(self) -> None:
        """Guards against new work for a leaving server.

        An older heartbeat without the leaving mark arrives late, and a pause follows.
        """
        self.receive(5.0)
        self.receive(6.0, leaving=True)
        self.receive(6.1, sent_at=5.5)
        self.entry.drop_views(7.0)
        self.receive(7.5)
        self.assertFalse(self.entry.may_receive_work("server-1", 9.5))

    def test_leaving_in_any_source_stops_work(self) -> None:
        """Guards against a heartbeat overriding the platform or the sheet.

        The agent still sends heartbeats while one of the two marks it as leaving.
        """
        self.receive(5.0)
        self.entry.update_platform_list(
            PlatformList(frozenset(), frozenset({"server-1"})), 5.0
        )
        self.assertFalse(self.entry.may_receive_work("server-1", 5.0))
        self.entry.update_platform_list(PlatformList(frozenset(), frozenset()), 5.0)
        self.assertTrue(self.entry.may_receive_work("server-1", 5.0))
        leaving_server = make_server("server-1", state=ServerState.LEAVING)
        self.entry.update_sheet(make_sheet(2, servers=[leaving_server]))
        self.assertFalse(self.entry.may_receive_work("server-1", 5.0))

    def test_stale_platform_list_is_ignored(self) -> None:
        """Guards against an empty pool while the platform is unreachable.

        The last list that the platform delivered must expire.
        """
        servers = [make_server("server-1"), make_server("far-1", "brandon")]
        self.entry.update_sheet(make_sheet(2, servers=servers))
        self.entry.update_platform_list(PlatformList(frozenset(), frozenset()), 5.0)
        self.assertFalse(self.entry.may_receive_work("far-1", 6.0))
        expired_at = 6.0 + PLATFORM_LIST_TTL_SECONDS
        self.assertTrue(self.entry.may_receive_work("far-1", expired_at))

    def test_resumed_process_ignores_outdated_views(self) -> None:
        """Guards against decisions based on information from before a pause."""
        self.receive(5.0)
        self.entry.drop_views(100.0)
        self.assertFalse(self.entry.may_receive_work("server-1", 100.0))
        self.receive(100.1, sent_at=99.0)
        self.assertFalse(self.entry.may_receive_work("server-1", 100.1))
        self.receive(100.2)
        self.assertTrue(self.entry.may_receive_work("server-1", 100.2))

    def test_refusal_as_leaving_is_announced(self) -> None:
        """Guards against other entries still sending requests to a leaving server.

        Only one entry knows that the server is leaving, from a refused request.
        """
        other = make_peer("entry-2", "e2")
        self.receive(5.0, sender=other)
        self.entry.record_leaving("server-1", 5.0)
        lists = [
            action.message
            for action in self.entry.tick(5.1)
            if isinstance(action, Send) and isinstance(action.message, PeerList)
        ]
        names = [record.peer.instance for records in lists for record in records.peers]
        self.assertIn("server-1", names)

    def test_successor_of_leaving_server_receives_work(self) -> None:
        """Guards against a restarted server receiving no work.

        Its previous incarnation was leaving.
        """
        self.receive(5.0, leaving=True)
        successor = make_peer("server-1", "a2", role=Role.AGENT)
        self.receive(9.0, sent_at=0.1, sender=successor)
        self.assertTrue(self.entry.may_receive_work("server-1", 9.0))

    def test_peer_list_is_bounded(self) -> None:
        """Guards against a message that lists the whole fleet.

        Successive lists must still cover most of the entries.
        """
        for number in range(350):
            zone = f"zone-{number // 11}"
            self.receive(5.0, sender=make_peer(f"entry-{number:03}", "x", zone))
        seen: set[str] = set()
        for _ in range(20):
            peers = self.entry._peer_list(5.0).peers
            self.assertLessEqual(len(peers), MAX_LISTED_PEERS)
            seen |= {record.peer.instance for record in peers}
        self.assertGreater(len(seen), 300)


class LostNoticeTest(TestCase):
    def test_lost_notice_of_a_replacement_is_repaired(self) -> None:
        """Guards against a restarted server that some entries never use again.

        All lists with the notice of its replacement are lost for 10 s.
        """
        world = MembershipWorld()
        world.run(10.0)
        leaving = world.node_by_name["sa1"]
        leaving.membership.set_leaving(world.now + leaving.skew)
        world.run(3.0)
        world.start_process("sa1", Role.AGENT)
        world.drop_peer_lists = True
        world.run(10.0)
        world.drop_peer_lists = False
        world.run(25.0)
        for name in ("ea1", "ea2", "ea3", "eb1", "eb2", "eb3"):
            entry = world.node_by_name[name]
            status = entry.membership.status("sa1", world.now + entry.skew)
            self.assertIn(status, (PeerStatus.LIVE, PeerStatus.UNOBSERVED), name)

    def test_leaving_notice_is_renewed(self) -> None:
        """Guards against new work for a server that has been leaving for over 15 min.

        Leaving notices expire after that time unless they are renewed.
        """
        world = MembershipWorld()
        world.run(10.0)
        leaving = world.node_by_name["sa1"]
        leaving.membership.set_leaving(world.now + leaving.skew)
        world.run(1_000.0)
        for name in ("ea1", "ea2", "ea3", "eb1", "eb2", "eb3"):
            entry = world.node_by_name[name]
            local = world.now + entry.skew
            self.assertFalse(entry.membership.may_receive_work("sa1", local), name)


class PeerViewTest(TestCase):
    def test_delayed_message_does_not_displace_running_process(self) -> None:
        """Guards against a dead predecessor displacing a running process.

        Delayed messages of the predecessor arrive between those of its successor.
        """
        old, new = make_peer(incarnation="old"), make_peer(incarnation="new")
        view = PeerView(new, "", "", 0.0)
        self.assertTrue(view.accept(new, 50.0, 1.0, PEER_TIMEOUT_SECONDS, 0.0))
        self.assertFalse(view.accept(old, 7.0, 1.1, PEER_TIMEOUT_SECONDS, 0.0))
        self.assertTrue(view.accept(new, 51.0, 2.0, PEER_TIMEOUT_SECONDS, 0.0))
        self.assertFalse(view.accept(old, 8.0, 2.1, PEER_TIMEOUT_SECONDS, 0.0))
        self.assertEqual(new, view.peer)
        self.assertTrue(view.accept(old, 9.0, 3.0, PEER_TIMEOUT_SECONDS, 0.0))


class AgentMembershipTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        me = make_peer("server-1", "a1", role=Role.AGENT)
        self.agent = Membership(me, "c", "r", {"entry-1": "c1"}, 0.0)
        self.entries = [make_peer(f"entry-{number}", "e") for number in (1, 2, 3)]

    def receive_list(self, now: float, *peers: Peer) -> None:
        heartbeat = Heartbeat("c1", "r1", "d", False, 0, 0, now)
        sender = self.entries[0]
        self.agent.receive(make_envelope(sender, heartbeat), now)
        records = tuple(PeerAddress(peer, "c", "r", False, 0.0) for peer in peers)
        self.agent.receive(make_envelope(sender, PeerList(records, False, now)), now)

    def test_agent_reports_to_two_entries_and_drops_unlisted_one(self) -> None:
        """Guards against reports to an entry that the other entries know is dead.

        The agent receives a list without that entry.
        """
        self.assertEqual(["entry-1"], [s.instance for s in self.agent.tick(0.0)])
        self.receive_list(1.0, *self.entries)
        assigned = self.agent.assigned_entries(1.0)
        self.assertEqual(2, len(assigned))
        dead = next(name for name in assigned if name != "entry-1")
        remaining = [peer for peer in self.entries if peer.instance != dead]
        self.receive_list(5.0, *remaining)
        self.assertNotIn(dead, self.agent.assigned_entries(5.0))
        self.assertEqual(2, len(self.agent.assigned_entries(5.0)))
