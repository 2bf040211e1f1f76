"""Choice of a server by estimated load."""

from random import Random

from testtools import TestCase

from lacewingcleat.adaptive_concurrency import MAX_SLOT_SHARE
from lacewingcleat.server_choice import (
    PEER_COUNT_TTL_SECONDS,
    ChosenServer,
    NoServer,
    ServerChoice,
    ServerLoads,
    ServersFull,
    choose_server,
)
from lacewingcleat.server_record import ServerRecord
from tests.builders_direct import make_record


def _limit(record: ServerRecord) -> float:
    return record.slots * MAX_SLOT_SHARE


def _choose(
    loads: ServerLoads,
    *records: ServerRecord,
    weight: float = 1.0,
) -> ServerChoice:
    return choose_server(records, loads, lambda _: weight, _limit, "z", Random(1), 1.0)


class ServerChoiceTest(TestCase):
    def test_load_announced_by_peers_counts(self) -> None:
        """Guards against eight entries that each fill the same server."""
        loads = ServerLoads()
        loads.record_peer_counts("p", {"i-1": 4}, 1.0)
        choice = _choose(loads, make_record("i-1"), make_record("i-2"))
        assert isinstance(choice, ChosenServer)
        self.assertEqual("i-2", choice.record.name)

    def test_counts_of_a_silent_peer_expire(self) -> None:
        """Guards against load of an entry that is gone."""
        loads = ServerLoads()
        loads.record_peer_counts("p", {"i-1": 4}, 1.0)
        self.assertEqual(0.0, loads.estimate("i-1", 1.1 + PEER_COUNT_TTL_SECONDS))

    def test_servers_missing_from_a_peers_counts_are_reset(self) -> None:
        """Guards against counts that only ever grow."""
        loads = ServerLoads()
        loads.record_peer_counts("p", {"i-1": 4}, 1.0)
        loads.record_peer_counts("p", {}, 1.1)
        self.assertEqual(0.0, loads.estimate("i-1", 1.1))

    def test_full_servers_are_not_chosen(self) -> None:
        """Guards against queues that no caller waits for."""
        loads = ServerLoads()
        for _ in range(20):
            loads.begin_request("i-1")
        choice = _choose(loads, make_record("i-1"))
        self.assertEqual(ServersFull(20.0), choice)

    def test_ejected_servers_do_not_count_as_full(self) -> None:
        """Guards against an answer that the service is busy when it is out."""
        self.assertEqual(NoServer(), _choose(ServerLoads(), weight=0.0))

    def test_own_zone_is_preferred_at_equal_load(self) -> None:
        """Guards against traffic between zones for nothing."""
        loads = ServerLoads()
        choices = [
            _choose(loads, make_record("i-1", "y"), make_record("i-2"))
            for _ in range(20)
        ]
        names = {c.record.name for c in choices if isinstance(c, ChosenServer)}
        self.assertEqual({"i-2"}, names)

    def test_a_report_adds_the_requests_of_other_entries(self) -> None:
        """Guards against counting this entry's own requests twice."""
        loads = ServerLoads()
        loads.begin_request("i-1")
        loads.record_report("i-1", 5, 1.0)
        self.assertEqual(5.0, loads.estimate("i-1", 1.0))
