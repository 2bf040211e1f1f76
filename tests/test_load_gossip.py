"""Exchange load datagrams between entries and discover peers."""

from random import Random

import msgspec
from msgspec.structs import replace
from testtools import TestCase

from lacewingcleat.load_gossip import (
    FANOUT,
    PEER_TIMEOUT_SECONDS,
    SEND_INTERVAL_SECONDS,
    LoadGossip,
    PeerLoad,
)
from lacewingcleat.priority_admission import ServiceDemand
from lacewingcleat.server_pace import PaceReport


def _load(
    sequence: int,
    address: str = "10.0.0.2:1",
    incarnation: int = 1,
    addresses: list[str] | None = None,
) -> PeerLoad:
    return PeerLoad("p", incarnation, sequence, address, {}, addresses or [], True)


class LoadGossipTest(TestCase):
    def _gossip(self) -> LoadGossip:
        return LoadGossip("me", "10.0.0.1:1", ("10.0.0.1:1", "10.0.0.9:1"), Random(1))

    def test_seeds_are_contacted_until_peers_are_known(self) -> None:
        """Guards against an entry without peers because its seeds start later."""
        gossip = self._gossip()
        self.assertEqual(["10.0.0.9:1"], gossip.next_recipients(0.0))
        self.assertEqual(["10.0.0.9:1"], gossip.next_recipients(1.0))

    def test_delayed_datagrams_are_ignored(self) -> None:
        """Guards against a delayed datagram replacing the load of a newer one."""
        gossip = self._gossip()
        self.assertTrue(gossip.record(_load(5), 1.0))
        self.assertFalse(gossip.record(_load(4), 1.1))
        self.assertTrue(gossip.record(_load(1, incarnation=2), 1.2))

    def test_peers_are_discovered_through_peers(self) -> None:
        """Guards against entries that discover no peers but the seeds."""
        gossip = self._gossip()
        gossip.record(_load(1, addresses=["10.0.0.3:1", "10.0.0.1:1"]), 1.0)
        recipients = set(gossip.next_recipients(1.1))
        self.assertIn("10.0.0.3:1", recipients)
        self.assertNotIn("10.0.0.1:1", recipients)

    def test_silent_peers_are_removed(self) -> None:
        """Guards against endless datagrams to instances that no longer exist."""
        gossip = self._gossip()
        gossip.record(_load(1), 1.0)
        gossip.next_recipients(1.1 + PEER_TIMEOUT_SECONDS)
        self.assertEqual(0, gossip.peer_count)

    def test_recipients_rotate_in_a_large_fleet(self) -> None:
        """Guards against datagrams whose number is the square of the fleet size."""
        gossip = self._gossip()
        for number in range(100):
            gossip.record(_load(1, f"10.1.0.{number}:1"), 1.0)
        gossip.next_recipients(1.0)
        first, second = gossip.next_recipients(1.1), gossip.next_recipients(1.2)
        self.assertEqual(FANOUT, len(first))
        self.assertNotEqual(first, second)
        self.assertEqual(["p"], sorted(set(gossip.ready_entries(1.3))))

    def test_many_entries_agree_on_who_is_ready(self) -> None:
        """Guards against several leaders of one group in a large fleet.

        Each entry sends to its peers in rotation, so that datagrams of a peer arrive
        less often in a larger fleet. Datagrams are lost now and then.
        """
        count = 98
        addresses = [f"10.0.0.{number}:1" for number in range(count)]
        random = Random(2)
        fleet = {
            address: LoadGossip(address, address, tuple(addresses[:3]), Random(number))
            for number, address in enumerate(addresses)
        }
        now = 0.0
        for step in range(150):
            now = step * SEND_INTERVAL_SECONDS
            for gossip in fleet.values():
                message = gossip.next_message({}, True)
                for address in gossip.next_recipients(now):
                    if address in fleet and random.random() > 0.03:
                        fleet[address].record(message, now)
            if step >= 100:
                sizes = {len(gossip.ready_entries(now)) for gossip in fleet.values()}
                self.assertEqual({count - 1}, sizes)

    def test_requests_are_announced_to_the_own_zone_in_large_fleets(self) -> None:
        """Guards against a cost of announcements that grows with the fleet."""
        gossip = LoadGossip("me", "10.0.0.1:1", (), Random(1), "a")
        for number in range(2, 90):
            load = _load(1, f"10.0.0.{number}:1")
            zone = "a" if number < 12 else "b"
            gossip.record(replace(load, zone=zone), 1.0)
        self.assertEqual(10, len(gossip.announcement_recipients()))


class PeerLoadTest(TestCase):
    def test_datagrams_of_other_releases_can_be_read(self) -> None:
        """Guards against entries of two releases that ignore each other."""
        load = _load_of_this_release()
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(load))
        # The last fields are the demands and the answers of servers.
        older = msgspec.msgpack.encode(fields[:-2])
        newer = msgspec.msgpack.encode([*fields, {"more": 1}])
        decoder = msgspec.msgpack.Decoder(PeerLoad)
        self.assertEqual([], decoder.decode(older).demands)
        self.assertEqual(PaceReport(), decoder.decode(older).pace)
        self.assertEqual(load, decoder.decode(newer))


def _load_of_this_release() -> PeerLoad:
    demand = ServiceDemand("s", {0: 1.5, 2: 0.25}, 3.0, 4)
    gossip = LoadGossip("me", "10.0.0.1:1", (), Random(1))
    return gossip.next_message({"i-1": 2}, True, demands=[demand])
