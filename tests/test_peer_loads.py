"""Exchange load datagrams between entries and discover peers."""

from random import Random

from testtools import TestCase

from lacewingcleat.peer_loads import FANOUT, FORGET_SECONDS, PeerLoad, PeerLoads


def _load(
    sequence: int,
    address: str = "10.0.0.2:1",
    incarnation: int = 1,
    addresses: list[str] | None = None,
) -> PeerLoad:
    return PeerLoad("p", incarnation, sequence, address, {}, addresses or [], True)


class PeerLoadsTest(TestCase):
    def _peers(self) -> PeerLoads:
        return PeerLoads("me", "10.0.0.1:1", ("10.0.0.1:1", "10.0.0.9:1"), Random(1))

    def test_seeds_are_asked_until_peers_are_known(self) -> None:
        """Guards against an entry without peers because its seeds start later."""
        peers = self._peers()
        self.assertEqual(["10.0.0.9:1"], peers.targets(0.0))
        self.assertEqual(["10.0.0.9:1"], peers.targets(1.0))

    def test_delayed_datagrams_are_no_news(self) -> None:
        """Guards against a delayed datagram replacing the load of a newer one."""
        peers = self._peers()
        self.assertTrue(peers.hear(_load(5), 1.0))
        self.assertFalse(peers.hear(_load(4), 1.1))
        self.assertTrue(peers.hear(_load(1, incarnation=2), 1.2))

    def test_peers_of_peers_are_told(self) -> None:
        """Guards against entries that discover no peers but the seeds."""
        peers = self._peers()
        peers.hear(_load(1, addresses=["10.0.0.3:1", "10.0.0.1:1"]), 1.0)
        found = set(peers.targets(1.1))
        self.assertIn("10.0.0.3:1", found)
        self.assertNotIn("10.0.0.1:1", found)

    def test_silent_peers_are_forgotten(self) -> None:
        """Guards against endless datagrams to instances that no longer exist."""
        peers = self._peers()
        peers.hear(_load(1), 1.0)
        peers.targets(1.1 + FORGET_SECONDS)
        self.assertEqual(0, peers.count)

    def test_a_large_fleet_takes_turns(self) -> None:
        """Guards against datagrams whose number is the square of the fleet size."""
        peers = self._peers()
        for number in range(100):
            peers.hear(_load(1, f"10.1.0.{number}:1"), 1.0)
        peers.targets(1.0)
        first, second = peers.targets(1.1), peers.targets(1.2)
        self.assertEqual(FANOUT, len(first))
        self.assertNotEqual(first, second)
        self.assertEqual(["p"], sorted(set(peers.ready_entries(1.3))))
