"""Versions of the configuration that peers have in force."""

from testtools import TestCase

from lacewingcleat.peer_configs import (
    MAX_NEWER_VERSIONS,
    NEVER_OUTDATED,
    PEER_WAIT_SECONDS,
    PeerConfigs,
)


class PeerConfigsTest(TestCase):
    def _informed(self, version: int = 6) -> PeerConfigs:
        configs = PeerConfigs(True, 0.0)
        configs.put_in_force(version, 0.1)
        configs.record("a", version, 0.0, 0.1)
        return configs

    def test_a_new_entry_waits_for_a_peer(self) -> None:
        """Guards against using an old configuration before a peer has answered."""
        configs = PeerConfigs(True, 0.0)
        configs.put_in_force(6, 0.1)
        configs.record("a", 0, 0.0, 0.2)
        self.assertEqual(float("inf"), configs.outdated_seconds(0.3))
        self.assertEqual(NEVER_OUTDATED, configs.outdated_seconds(PEER_WAIT_SECONDS))

    def test_a_new_entry_learns_of_a_newer_version(self) -> None:
        """Guards against an age that begins when the entry starts."""
        configs = PeerConfigs(True, 0.0)
        configs.put_in_force(6, 0.1)
        configs.record("a", 13, 5.0, 0.2)
        self.assertAlmostEqual(5.1, configs.outdated_seconds(0.3))

    def test_the_only_entry_waits_for_nobody(self) -> None:
        """Guards against an entry without peers that starts late."""
        self.assertEqual(NEVER_OUTDATED, PeerConfigs(False, 0.0).outdated_seconds(0.0))

    def test_outdated_since_the_first_newer_version(self) -> None:
        """Guards against an age that falls with each further version of the peers."""
        configs = self._informed()
        configs.record("a", 10, 3.0, 10.0)
        configs.record("a", 13, 0.0, 11.0)
        configs.record("b", 10, 1.0, 11.0)
        self.assertEqual(4.0, configs.outdated_seconds(11.0))
        configs.put_in_force(10, 12.0)
        self.assertEqual(1.0, configs.outdated_seconds(12.0))
        configs.put_in_force(13, 12.0)
        self.assertEqual(NEVER_OUTDATED, configs.outdated_seconds(12.0))
        self.assertEqual((13, 2.0), configs.in_force(14.0))

    def test_older_versions_of_peers_change_nothing(self) -> None:
        """Guards against an entry that is held back by peers that are behind."""
        configs = self._informed(13)
        configs.record("a", 6, 100.0, 1.0)
        self.assertEqual(NEVER_OUTDATED, configs.outdated_seconds(1.0))

    def test_a_version_is_forgotten_with_its_last_peer(self) -> None:
        """Guards against an entry that waits for a version that nobody has."""
        configs = self._informed()
        configs.record("a", 13, 0.0, 1.0)
        configs.record("b", 6, 0.0, 1.0)
        configs.retain(["a", "b"])
        self.assertEqual(1.0, configs.outdated_seconds(2.0))
        configs.retain(["b"])
        self.assertEqual(NEVER_OUTDATED, configs.outdated_seconds(2.0))

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with the versions of others."""
        configs = self._informed()
        for version in range(7, 1_000):
            configs.record("a", version, 0.0, float(version))
        self.assertEqual(6 + MAX_NEWER_VERSIONS, configs.newest_version())
        self.assertEqual(1_000.0 - 7.0, configs.outdated_seconds(1_000.0))
