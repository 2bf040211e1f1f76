"""Datagrams between entries."""

from random import Random

from testtools import TestCase

from lacewingcleat.load_gossip import FANOUT, PEER_TIMEOUT_SECONDS, LoadGossip, PeerLoad


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
        """Guards against an entry that stays alone when its seeds start late."""
        gossip = self._gossip()
        self.assertEqual(["10.0.0.9:1"], gossip.next_recipients(0.0))
        self.assertEqual(["10.0.0.9:1"], gossip.next_recipients(1.0))

    def test_delayed_datagrams_are_ignored(self) -> None:
        """Guards against a load that was overtaken."""
        gossip = self._gossip()
        self.assertTrue(gossip.record(_load(5), 1.0))
        self.assertFalse(gossip.record(_load(4), 1.1))
        self.assertTrue(gossip.record(_load(1, incarnation=2), 1.2))

    def test_peers_are_discovered_through_peers(self) -> None:
        """Guards against a fleet that knows only the seeds."""
        gossip = self._gossip()
        gossip.record(_load(1, addresses=["10.0.0.3:1", "10.0.0.1:1"]), 1.0)
        recipients = set(gossip.next_recipients(1.1))
        self.assertIn("10.0.0.3:1", recipients)
        self.assertNotIn("10.0.0.1:1", recipients)

    def test_silent_peers_are_removed(self) -> None:
        """Guards against datagrams to instances that are gone."""
        gossip = self._gossip()
        gossip.record(_load(1), 1.0)
        gossip.next_recipients(1.1 + PEER_TIMEOUT_SECONDS)
        self.assertEqual(0, gossip.peer_count)

    def test_recipients_rotate_in_a_large_fleet(self) -> None:
        """Guards against a cost that grows with the square of the fleet."""
        gossip = self._gossip()
        for number in range(100):
            gossip.record(_load(1, f"10.1.0.{number}:1"), 1.0)
        gossip.next_recipients(1.0)
        first, second = gossip.next_recipients(1.1), gossip.next_recipients(1.2)
        self.assertEqual(FANOUT, len(first))
        self.assertNotEqual(first, second)
        self.assertEqual(["p"], sorted(set(gossip.ready_entries(1.3))))
