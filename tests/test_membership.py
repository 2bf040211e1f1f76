from testtools import TestCase

from lacewingcleat.actions import Send
from lacewingcleat.identity import Peer, Role
from lacewingcleat.membership import MAX_LISTED_PEERS, Membership, PlatformList
from lacewingcleat.messages import Heartbeat, PeerAddress, PeerList
from lacewingcleat.peer_table import (
    PEER_TIMEOUT_SECONDS,
    PLATFORM_LIST_SECONDS,
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

    def hear(
        self,
        now: float,
        leaving: bool = False,
        sent_at: float | None = None,
        sender: Peer | None = None,
    ) -> None:
        body = make_heartbeat(now if sent_at is None else sent_at, leaving)
        self.entry.hear(make_envelope(sender or self.agent, body), now)

    def test_silent_agent_gets_no_work_after_3_s(self) -> None:
        """Guards against work for a dead server."""
        self.hear(5.0)
        self.assertTrue(self.entry.may_receive_work("server-1", 8.0))
        self.assertEqual(PeerStatus.UNREACHABLE, self.entry.status("server-1", 8.1))
        self.assertFalse(self.entry.may_receive_work("server-1", 8.1))

    def test_leaving_is_not_undone_by_an_older_heartbeat(self) -> None:
        """Guards against work for a leaving server after a reordered message."""
        self.hear(5.0)
        self.hear(6.0, leaving=True)
        self.hear(6.1, sent_at=5.5)
        self.entry.drop_views(7.0)
        self.hear(7.5)
        self.assertFalse(self.entry.may_receive_work("server-1", 9.5))

    def test_leaving_by_any_source_stops_work(self) -> None:
        """Guards against a heartbeat that overrules the platform or the sheet."""
        self.hear(5.0)
        self.entry.update_platform(
            PlatformList(frozenset(), frozenset({"server-1"})), 5.0
        )
        self.assertFalse(self.entry.may_receive_work("server-1", 5.0))
        self.entry.update_platform(PlatformList(frozenset(), frozenset()), 5.0)
        self.assertTrue(self.entry.may_receive_work("server-1", 5.0))
        leaving = make_server("server-1", state=ServerState.LEAVING)
        self.entry.update_sheet(make_sheet(2, servers=[leaving]))
        self.assertFalse(self.entry.may_receive_work("server-1", 5.0))

    def test_stale_platform_list_proves_no_absence(self) -> None:
        """Guards against an empty pool when the platform is cut off."""
        servers = [make_server("server-1"), make_server("far-1", "brandon")]
        self.entry.update_sheet(make_sheet(2, servers=servers))
        self.entry.update_platform(PlatformList(frozenset(), frozenset()), 5.0)
        self.assertFalse(self.entry.may_receive_work("far-1", 6.0))
        later = 6.0 + PLATFORM_LIST_SECONDS
        self.assertTrue(self.entry.may_receive_work("far-1", later))

    def test_resumed_process_uses_no_old_view(self) -> None:
        """Guards against work by what was true before a pause."""
        self.hear(5.0)
        self.entry.drop_views(100.0)
        self.assertFalse(self.entry.may_receive_work("server-1", 100.0))
        self.hear(100.1, sent_at=99.0)
        self.assertFalse(self.entry.may_receive_work("server-1", 100.1))
        self.hear(100.2)
        self.assertTrue(self.entry.may_receive_work("server-1", 100.2))

    def test_refusal_as_leaving_is_passed_on(self) -> None:
        """Guards against other entries that go on sending to a leaving server."""
        other = make_peer("entry-2", "e2")
        self.hear(5.0, sender=other)
        self.entry.note_leaving("server-1", 5.0)
        lists = [
            action.message
            for action in self.entry.tick(5.1)
            if isinstance(action, Send) and isinstance(action.message, PeerList)
        ]
        names = [record.peer.instance for records in lists for record in records.peers]
        self.assertIn("server-1", names)

    def test_replaced_process_is_no_longer_leaving(self) -> None:
        """Guards against a restarted server that gets no work."""
        self.hear(5.0, leaving=True)
        successor = make_peer("server-1", "a2", role=Role.AGENT)
        self.hear(9.0, sent_at=0.1, sender=successor)
        self.assertTrue(self.entry.may_receive_work("server-1", 9.0))

    def test_peer_list_is_bounded(self) -> None:
        """Guards against the list of the fleet in one message."""
        for number in range(350):
            zone = f"zone-{number // 11}"
            self.hear(5.0, sender=make_peer(f"entry-{number:03}", "x", zone))
        seen: set[str] = set()
        for _ in range(20):
            peers = self.entry._peer_list(5.0).peers
            self.assertLessEqual(len(peers), MAX_LISTED_PEERS)
            seen |= {record.peer.instance for record in peers}
        self.assertGreater(len(seen), 300)


class LostNoticeTest(TestCase):
    def test_lost_notice_of_a_replacement_is_repaired(self) -> None:
        """Guards against a restarted server that some entries never use again."""
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
            self.assertIn(status, (PeerStatus.LIVE, PeerStatus.UNHEARD), name)

    def test_notice_of_a_server_that_drains_for_long_is_renewed(self) -> None:
        """Guards against work for a server that has been leaving for over 15 min."""
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
    def test_running_process_is_not_displaced_by_a_delayed_message(self) -> None:
        """Guards against a dead predecessor that replaces a running process."""
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

    def hear_list(self, now: float, *peers: Peer) -> None:
        heartbeat = Heartbeat("c1", "r1", "d", False, 0, 0, now)
        sender = self.entries[0]
        self.agent.hear(make_envelope(sender, heartbeat), now)
        records = tuple(PeerAddress(peer, "c", "r", False, 0.0) for peer in peers)
        self.agent.hear(make_envelope(sender, PeerList(records, False, now)), now)

    def test_agent_reports_to_two_entries_and_drops_an_unlisted_one(self) -> None:
        """Guards against reports to an entry that the zone knows to be dead."""
        self.assertEqual(["entry-1"], [s.instance for s in self.agent.tick(0.0)])
        self.hear_list(1.0, *self.entries)
        chosen = self.agent.reporting_entries(1.0)
        self.assertEqual(2, len(chosen))
        dead = next(name for name in chosen if name != "entry-1")
        left = [peer for peer in self.entries if peer.instance != dead]
        self.hear_list(5.0, *left)
        self.assertNotIn(dead, self.agent.reporting_entries(5.0))
        self.assertEqual(2, len(self.agent.reporting_entries(5.0)))
