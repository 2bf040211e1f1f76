"""Choose servers by estimated load."""

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
        """Guards against several entries that each fill the same idle server."""
        loads = ServerLoads()
        loads.record_peer_counts("p", {"i-1": 4}, 1.0)
        choice = _choose(loads, make_record("i-1"), make_record("i-2"))
        assert isinstance(choice, ChosenServer)
        self.assertEqual("i-2", choice.record.name)

    def test_counts_of_a_silent_peer_expire(self) -> None:
        """Guards against counting requests of an entry that no longer exists."""
        loads = ServerLoads()
        loads.record_peer_counts("p", {"i-1": 4}, 1.0)
        self.assertEqual(0.0, loads.estimate("i-1", 1.1 + PEER_COUNT_TTL_SECONDS))

    def test_servers_missing_from_a_peers_counts_are_reset(self) -> None:
        """Guards against counts of a peer that are never reset to zero."""
        loads = ServerLoads()
        loads.record_peer_counts("p", {"i-1": 4}, 1.0)
        loads.record_peer_counts("p", {}, 1.1)
        self.assertEqual(0.0, loads.estimate("i-1", 1.1))

    def test_full_servers_are_not_chosen(self) -> None:
        """Guards against queueing requests for longer than callers wait."""
        loads = ServerLoads()
        for _ in range(20):
            loads.begin_request("i-1")
        choice = _choose(loads, make_record("i-1"))
        self.assertEqual(ServersFull(20.0), choice)

    def test_ejected_servers_do_not_count_as_full(self) -> None:
        """Guards against reporting full servers if all of them are ejected."""
        self.assertEqual(NoServer(), _choose(ServerLoads(), weight=0.0))

    def test_own_zone_is_preferred_at_equal_load(self) -> None:
        """Guards against traffic between zones that does not balance any load."""
        loads = ServerLoads()
        choices = [
            _choose(loads, make_record("i-1", "y"), make_record("i-2"))
            for _ in range(20)
        ]
        names = {c.record.name for c in choices if isinstance(c, ChosenServer)}
        self.assertEqual({"i-2"}, names)

    def test_a_report_adds_the_requests_of_other_entries(self) -> None:
        """Guards against counting an entry's own requests twice.

        The load that a server reports includes the requests of this entry.
        """
        loads = ServerLoads()
        loads.begin_request("i-1")
        loads.record_report("i-1", 5, 1.0)
        self.assertEqual(5.0, loads.estimate("i-1", 1.0))

    def test_own_zone_first_still_relieves_a_loaded_zone(self) -> None:
        """Guards against requests that queue in a loaded zone beside idle servers."""
        loads = ServerLoads()
        own = [make_record(f"own-{number}") for number in range(8)]
        others = [make_record(f"other-{number}", "y") for number in range(8)]
        for record in own:
            for _ in range(4):
                loads.begin_request(record.name)
        choices = [
            choose_server(
                [*own, *others], loads, lambda _: 1.0, _limit, "z", Random(n), 1.0, True
            )
            for n in range(20)
        ]
        zones = {c.record.zone for c in choices if isinstance(c, ChosenServer)}
        self.assertEqual({"y"}, zones)
