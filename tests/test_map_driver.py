"""Rounds of the leader of a group, before a simulated group."""

from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
from testtools import TestCase
from twisted.internet import defer, task

from lacewingcleat import map_driver
from lacewingcleat.adaptive_concurrency import GroupPace
from lacewingcleat.http_fetch import FetchedResponse
from lacewingcleat.map_driver import HttpRankClient, MapDriver
from lacewingcleat.map_orders import GroupOrder, OrderAnswer, PrepareMap
from lacewingcleat.platform.order_call import COUNTS_TARGET
from lacewingcleat.routing_config import EngineCapacity
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.server_restrictions import ServerRestrictions
from tests.builders_direct import SimulatedGroup, SimulatedRankClient, run_coroutine

# Selections of a rank per second and layer set, and the experts that get half of them.
SELECTIONS_PER_SECOND = 400
HOT_EXPERTS = (3, 5, 11)


class _Client(SimulatedRankClient):
    """Answer reads of a simulated group; some ranks never return their counts."""

    def __init__(self, group: SimulatedGroup, engine: EngineCapacity) -> None:
        super().__init__(group)
        self._engine = engine
        self.order_count = 0
        self.count_reads: list[int] = []
        self.silent_ranks: set[int] = set()

    def record(self, rank: int) -> ServerRecord:
        return ServerRecord(f"s{rank}", "model", "", "z", 5, False, 0)

    async def fetch(self, rank: int, target: bytes, body: object) -> object:
        if target != COUNTS_TARGET or rank in self.silent_ranks:
            return "no answer"
        self.count_reads.append(rank)
        selections = int(self.group.now * SELECTIONS_PER_SECOND)
        experts = self._engine.experts_per_set
        counts = [selections // 2 // experts] * experts
        for expert in HOT_EXPERTS:
            counts[expert] += selections // 2 // len(HOT_EXPERTS)
        document = {"epoch": 1, "counts": counts * self._engine.layer_sets}
        return FetchedResponse(200, msgspec.json.encode(document))


class MapDriverTest(TestCase):
    def _play(
        self,
        ranks: int,
        engine: EngineCapacity,
        silent: set[int],
        rebalances_large_groups: bool = True,
    ) -> _Client:
        """Run the rounds of 8 s and return the client."""
        group = SimulatedGroup(ranks, Random(1), 0.0, 0.0)
        client = _Client(group, engine)
        client.silent_ranks = silent
        names = [f"s{rank}" for rank in range(ranks)]
        groups = SimpleNamespace(
            is_open=lambda server: True,
            servers_by_rank=lambda name: dict(enumerate(names)),
            count_ranks=lambda name: ranks,
            find_pace=lambda name, now: GroupPace(0.14, 0.16),
        )
        state: Any = SimpleNamespace(
            groups=groups,
            random=Random(2),
            max_event_interval_seconds=0.15,
            restrictions=ServerRestrictions(),
        )
        log: Any = SimpleNamespace(belief=lambda *values, **fields: None)
        self.patch(map_driver, "HttpRankClient", lambda *arguments: client)
        self.patch(map_driver, "read_now", client.now)
        self.patch(task, "deferLater", lambda *arguments: defer.succeed(None))
        driver = MapDriver(
            None,
            "e1",
            state,
            None,  # type: ignore[arg-type]
            lambda now: ["e1"],
            log,
            rebalances_large_groups,
        )
        members = {
            name: ServerRecord(name, "model", "", "z", 5, False, 0) for name in names
        }
        group.advance(0.5)
        while group.now < 8.0:
            run_coroutine(driver._run_round("g", members, engine))
            group.advance(0.7)
        return client

    def test_maps_of_large_groups_follow_the_demand(self) -> None:
        """Guards against large groups whose map is never changed.

        The share of the ranks whose counts could be read in one round was too small, so
        nothing was read. Reads accumulate over rounds instead.
        """
        for ranks, sets, experts, slots in (
            (72, 12, 144, 3),
            (96, 16, 192, 3),
            (63, 8, 252, 5),
        ):
            engine = EngineCapacity(5, 1, sets, experts, slots, 2, 0.0365)
            client = self._play(ranks, engine, set())
            versions = {rank.mapping for rank in client.group.ranks}
            self.assertEqual(1, len(versions))
            self.assertNotEqual({0}, versions, f"{ranks} ranks")

    def test_large_groups_are_left_alone_by_default(self) -> None:
        """Guards against maps that were measured to serve callers worse."""
        engine = EngineCapacity(5, 1, 12, 144, 3, 2, 0.0365)
        client = self._play(72, engine, set(), rebalances_large_groups=False)
        self.assertEqual([], client.count_reads)
        self.assertEqual({0}, {rank.mapping for rank in client.group.ranks})
        engine = EngineCapacity(5, 1, 12, 128, 5, 2, 0.0365)
        client = self._play(32, engine, set(), rebalances_large_groups=False)
        self.assertNotEqual({0}, {rank.mapping for rank in client.group.ranks})

    def test_reads_pause_a_group_for_at_most_their_share(self) -> None:
        """Guards against reads that delay the passes of a group.

        A read of 400 counts pauses the group by 0.5 ms.
        """
        for ranks, sets, experts in ((72, 12, 144), (96, 16, 192), (12, 3, 96)):
            engine = EngineCapacity(5, 1, sets, experts, 11, 2, 0.0365)
            client = self._play(ranks, engine, set())
            paused = len(client.count_reads) * sets * experts * 0.0005 / 400
            self.assertLess(paused, 0.012 * (client.group.now + 1.0))

    def test_ranks_that_do_not_answer_are_left_out(self) -> None:
        """Guards against maps that are kept because one rank's counts are missing."""
        engine = EngineCapacity(5, 1, 12, 144, 3, 2, 0.0365)
        client = self._play(72, engine, set(range(0, 72, 3)))
        self.assertNotEqual({0}, {rank.mapping for rank in client.group.ranks})


class OrderTest(TestCase):
    def test_large_orders_are_sent_a_few_at_a_time(self) -> None:
        """Guards against orders that fill the link of the entry, or are left out."""
        pending: list[defer.Deferred[FetchedResponse]] = []
        started: list[int] = []

        class Client(HttpRankClient):
            async def fetch(self, rank: int, *arguments: Any) -> FetchedResponse | str:
                started.append(rank)
                response: defer.Deferred[FetchedResponse] = defer.Deferred()
                pending.append(response)
                return await response

        client = Client(None, None, {})  # type: ignore[arg-type]
        experts = ((tuple(range(100)),) * 40,)
        order = GroupOrder(PrepareMap(5, experts), 1)
        answers: list[dict[int, OrderAnswer]] = []
        running = defer.ensureDeferred(client.order(dict.fromkeys(range(72), order)))
        running.addCallback(answers.append)
        self.assertLess(len(started), 20)
        while pending:
            pending.pop().callback(FetchedResponse(200, b"{}"))
        self.assertEqual(list(range(72)), sorted(started))
        self.assertEqual(dict.fromkeys(range(72), OrderAnswer.ACCEPTED), answers[0])
