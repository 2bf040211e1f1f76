"""Evidence about slow and failing servers that entries share."""

from random import Random

import msgspec
from testtools import TestCase

from bench.slow_servers import FAULT_ENDS_AT, SERVICE_BY_NAME, SlowServerSimulation
from lacewingcleat.load_gossip import MAX_DATAGRAM_BYTES, PeerLoad
from lacewingcleat.server_pace import (
    EVIDENCE_TTL_SECONDS,
    MAX_SAMPLES_PER_MESSAGE,
    AvoidanceReason,
    PaceReport,
    ServerAnswer,
    ServerPace,
)

SERVERS = ("a-1", "b-1", "c-1")
STEP_SECONDS = 0.2


class ServerPaceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.pace = ServerPace("me")
        self.pace.begin_evaluation(self.now)
        self.reasons: list[tuple[str, AvoidanceReason | None]] = []

    def _answer(
        self, server: str, seconds: float, wrong: bool = False, load: float = 0.0
    ) -> None:
        request = self.pace.begin(server, load, 6, self.now - seconds)
        self.pace.end(request, wrong, self.now)

    def _step(self, seconds: float = STEP_SECONDS) -> None:
        self.now += seconds
        self.pace.begin_evaluation(self.now)
        self.reasons += [
            (change.server, change.reason)
            for change in self.pace.evaluate("s", SERVERS, self.now)
        ]

    def _play(self, seconds_by_server: dict[str, float], rounds: int) -> None:
        for _ in range(rounds):
            for server, seconds in seconds_by_server.items():
                self._answer(server, seconds)
            self._step()

    def test_a_slow_server_is_avoided_and_used_again(self) -> None:
        """Guards against a slow server that is left late, or never used again."""
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        self.assertEqual([], self.reasons)
        self._play({"a-1": 0.1, "b-1": 0.02, "c-1": 0.02}, 3)
        self.assertEqual([("a-1", AvoidanceReason.SLOW)], self.reasons)
        self.assertTrue(self.pace.is_avoided("a-1"))
        self._play(dict.fromkeys(SERVERS, 0.02), 2)
        self.assertFalse(self.pace.is_avoided("a-1"))

    def test_a_good_probe_is_followed_by_more(self) -> None:
        """Guards against a server that has recovered and is used again late.

        At 29 entries it was not used again within 20 s.
        """
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        self.assertFalse(self.pace.draws_probe(Random(1)))
        self._play({"a-1": 0.3, "b-1": 0.02, "c-1": 0.02}, 3)
        random = Random(1)
        before = sum(self.pace.draws_probe(random) for _ in range(1000))
        self._play({"a-1": 0.02, "b-1": 0.02}, 1)
        self.assertTrue(self.pace.is_avoided("a-1"))
        after = sum(self.pace.draws_probe(random) for _ in range(1000))
        self.assertGreater(after, 3 * before)
        self._play({"a-1": 0.3, "b-1": 0.02}, 1)
        again = sum(self.pace.draws_probe(random) for _ in range(1000))
        self.assertLess(again, 2 * before)

    def test_an_overdue_request_counts_before_its_end(self) -> None:
        """Guards against a server that is used until its first slow answer arrives."""
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        for _ in range(2):
            self.pace.begin("a-1", 0.0, 6, self.now)
        self._step()
        self.assertTrue(self.pace.is_avoided("a-1"))

    def test_never_all_servers_are_avoided(self) -> None:
        """Guards against a service without servers while all of them are slow or fail.

        All servers become slow one after the other, then all answers are wrong.
        """
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        slow: dict[str, float] = dict.fromkeys(SERVERS, 0.02)
        for server in SERVERS:
            slow[server] = 0.4
            self._play(slow, 10)
            avoided = self.pace.avoided_count(SERVERS)
            self.assertLess(avoided, len(SERVERS))
        for _ in range(20):
            for server in SERVERS:
                self._answer(server, 0.02, wrong=True)
            self._step()
            self.assertLess(self.pace.avoided_count(SERVERS), len(SERVERS))

    def test_a_server_with_wrong_answers_is_avoided(self) -> None:
        """Guards against a server that answers fast and wrong a part of the time."""
        for round_ in range(12):
            for server in SERVERS:
                self._answer(server, 0.02, server == "b-1" and round_ % 3 == 0)
            self._step()
        self.assertEqual([("b-1", AvoidanceReason.WRONG)], self.reasons[:1])

    def test_waiting_says_nothing_about_the_pace(self) -> None:
        """Guards against avoiding a server because many requests wait there."""
        for _ in range(10):
            self._answer("a-1", 0.08, load=23.0)
            self._answer("b-1", 0.02)
            self._answer("c-1", 0.02)
            self._step()
        self.assertEqual([], self.reasons)

    def test_one_peer_convinces_no_other_entry(self) -> None:
        """Guards against an entry with a slow link that makes all avoid a server."""
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        answers = [ServerAnswer(n, "a-1", 0.5, False, 0.1) for n in range(1, 9)]
        self.pace.record_peer("p1", 1, PaceReport(answers), self.now)
        self._step()
        self.assertFalse(self.pace.is_avoided("a-1"))
        answers = [ServerAnswer(n, "a-1", 0.5, False, 0.0) for n in range(1, 9)]
        self.pace.record_peer("p2", 1, PaceReport(answers), self.now)
        self._step()
        self.assertTrue(self.pace.is_avoided("a-1"))

    def test_repeated_answers_count_once(self) -> None:
        """Guards against evidence that grows with the number of datagrams."""
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        report = PaceReport([ServerAnswer(1, "a-1", 0.5, False, 0.0)])
        for peer in ("p1", "p2"):
            for _ in range(1 + 9 * (peer == "p1")):
                self.pace.record_peer(peer, 1, report, self.now)
        self._step()
        self.assertEqual(7, len(self.pace._server_by_name["a-1"].samples))

    def test_a_paused_entry_blames_no_server(self) -> None:
        """Guards against evidence that only the pause of this process has caused."""
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        requests = [self.pace.begin("a-1", 0.0, 6, self.now) for _ in range(4)]
        self.now += 5.0
        self.pace.end(requests[0], False, self.now)
        self._step(0.0)
        self.assertEqual([], self.reasons)
        self.assertEqual(5, len(self.pace._server_by_name["a-1"].samples))

    def test_old_evidence_expires(self) -> None:
        """Guards against a server that is avoided for good as nothing probes it."""
        self._play(dict.fromkeys(SERVERS, 0.02), 5)
        self._play({"a-1": 0.3, "b-1": 0.02, "c-1": 0.02}, 3)
        self.assertTrue(self.pace.is_avoided("a-1"))
        self._play({"b-1": 0.02}, int(EVIDENCE_TTL_SECONDS / STEP_SECONDS) + 2)
        self.assertFalse(self.pace.is_avoided("a-1"))

    def test_messages_are_bounded(self) -> None:
        """Guards against datagrams that grow with the load, and old releases."""
        for _ in range(50):
            self._answer("a-server-with-a-long-name-1797000000000", 0.0312)
        report = self.pace.next_message(self.now)
        self.assertEqual(MAX_SAMPLES_PER_MESSAGE, len(report.answers))
        self.assertLess(len(msgspec.msgpack.encode(report)), MAX_DATAGRAM_BYTES // 8)
        former = msgspec.msgpack.encode(["p", 1, 1, "10.0.0.1:1", {}, []])
        decoded = msgspec.msgpack.decode(former, type=PeerLoad)
        self.assertEqual(PaceReport(), decoded.pace)

    def test_requests_differ_without_blame(self) -> None:
        """Guards against avoiding equal servers whose requests differ widely.

        The times are exponentially distributed.
        """
        random = Random(1)
        for _ in range(150):
            for server in SERVERS:
                self._answer(server, random.expovariate(50.0))
            self._step()
        blamed = [change for change in self.reasons if change[1] is not None]
        self.assertLess(len(blamed), 8)


class SlowServerTest(TestCase):
    def test_few_requests_reach_a_slow_server(self) -> None:
        """Guards against entries that each have to find out that a server is slow.

        One of three or four servers becomes 12 times slower. A share of 0.05 may be
        late, for the time until it is known and to notice that it has recovered. It is
        used again at the latest when its last answer is no evidence any more.
        """
        for service in SERVICE_BY_NAME.values():
            before = SlowServerSimulation(service, 12.0, False, 1).run(34.0)
            seconds = FAULT_ENDS_AT + EVIDENCE_TTL_SECONDS + 4.0
            after = SlowServerSimulation(service, 12.0, True, 1).run(seconds)
            late_before = 1.0 - before.on_time_share
            late_after = 1.0 - after.on_time_share
            self.assertLess(late_after, 0.05)
            self.assertLess(late_after, late_before / 2.0)
            self.assertEqual(0, after.false_avoidances)
            used = [at for at in after.slow_sends if at > FAULT_ENDS_AT + 1.0]
            self.assertNotEqual([], used)

    def test_few_requests_reach_a_server_with_wrong_answers(self) -> None:
        """Guards against entries that each have to find out that a server fails.

        Half of its answers are wrong; an entry alone sees one answer in 13 s.
        """
        service = SERVICE_BY_NAME["67 entries"]
        before = SlowServerSimulation(service, 1.0, False, 1, 0.5).run(30.0)
        after = SlowServerSimulation(service, 1.0, True, 1, 0.5).run(30.0)
        self.assertLess(1.0 - after.on_time_share, (1.0 - before.on_time_share) / 3.0)
        self.assertEqual(0, after.false_avoidances)
