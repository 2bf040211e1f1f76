from testtools import TestCase

from lacewingcleat.identity import Role
from lacewingcleat.membership import Membership, PeerStatus
from lacewingcleat.messages import Envelope, Heartbeat
from tests.builders import make_peer, make_server, make_sheet


class MembershipTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.me = make_peer("entry-1")
        self.entry = Membership(self.me, "127.0.0.1:1", "127.0.0.1:2", {}, 0.0)
        self.entry.update_sheet(make_sheet(servers=[make_server("server-1")]))
        self.entry.tick(0.0)
        self.agent = make_peer("server-1", "a1", role=Role.AGENT)

    def hear(self, now: float, leaving: bool = False, sent_at: float = -1.0) -> None:
        sent = now if sent_at < 0 else sent_at
        body = Heartbeat("", "", "", leaving, 0, 8, sent)
        self.entry.hear(Envelope(self.agent, 1, "", body), now)

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
