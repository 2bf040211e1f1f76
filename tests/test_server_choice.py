"""Choose servers by estimated load."""

from random import Random

from testtools import TestCase

from lacewingcleat.pace_limit import MOST_SHARE
from lacewingcleat.server_choice import (
    PEER_SECONDS,
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
    return record.slots * MOST_SHARE


def _choose(
    loads: ServerLoads,
    *records: ServerRecord,
    weight: float = 1.0,
) -> ServerChoice:
    return choose_server(records, loads, lambda _: weight, _limit, "z", Random(1), 1.0)


class ServerChoiceTest(TestCase):
    def test_the_load_of_peers_counts(self) -> None:
        """Guards against several entries that each fill the same idle server."""
        loads = ServerLoads()
        loads.hear_peer("p", {"i-1": 4}, 1.0)
        found = _choose(loads, make_record("i-1"), make_record("i-2"))
        assert isinstance(found, ChosenServer)
        self.assertEqual("i-2", found.record.name)

    def test_a_silent_peer_is_forgotten(self) -> None:
        """Guards against counting requests of an entry that no longer exists."""
        loads = ServerLoads()
        loads.hear_peer("p", {"i-1": 4}, 1.0)
        self.assertEqual(0.0, loads.estimate("i-1", 1.1 + PEER_SECONDS))

    def test_a_peer_that_stops_naming_a_server_has_nothing_there(self) -> None:
        """Guards against counts of a peer that are never reset to zero."""
        loads = ServerLoads()
        loads.hear_peer("p", {"i-1": 4}, 1.0)
        loads.hear_peer("p", {}, 1.1)
        self.assertEqual(0.0, loads.estimate("i-1", 1.1))

    def test_full_servers_are_not_chosen(self) -> None:
        """Guards against queueing requests for longer than callers wait."""
        loads = ServerLoads()
        for _ in range(20):
            loads.begin("i-1")
        found = _choose(loads, make_record("i-1"))
        self.assertEqual(ServersFull(20.0), found)

    def test_ejected_servers_are_no_servers(self) -> None:
        """Guards against reporting full servers if all of them are ejected."""
        self.assertEqual(NoServer(), _choose(ServerLoads(), weight=0.0))

    def test_the_own_zone_goes_first_when_loads_are_equal(self) -> None:
        """Guards against traffic between zones that does not balance any load."""
        loads = ServerLoads()
        near = [
            _choose(loads, make_record("i-1", "y"), make_record("i-2"))
            for _ in range(20)
        ]
        names = {c.record.name for c in near if isinstance(c, ChosenServer)}
        self.assertEqual({"i-2"}, names)

    def test_a_report_adds_what_others_have_there(self) -> None:
        """Guards against counting an entry's own requests twice.

        The load that a server reports includes the requests of this entry.
        """
        loads = ServerLoads()
        loads.begin("i-1")
        loads.hear_report("i-1", 5, 1.0)
        self.assertEqual(5.0, loads.estimate("i-1", 1.0))
