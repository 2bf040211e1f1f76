"""Remove servers, keep them during a grace period, and register them again."""

from testtools import TestCase

from lacewingcleat.server_directory import LAPSED_SECONDS, ServerDirectory
from tests.builders_direct import make_record

NEVER = float("-inf")


class ServerDirectoryTest(TestCase):
    def _directory(self) -> ServerDirectory:
        directory = ServerDirectory()
        directory.put(make_record("i-1"))
        directory.put(make_record("i-2"))
        return directory

    def test_a_removed_server_is_gone_at_once(self) -> None:
        """Guards against requests to a server whose registration was removed."""
        directory = self._directory()
        self.assertTrue(directory.remove("i-1", NEVER, 10.0))
        self.assertFalse(directory.takes_requests("i-1", 10.0))

    def test_a_lapsed_server_stays_until_it_could_be_back(self) -> None:
        """Guards against removing all servers after an outage of the store.

        Heartbeats do not reach the store during the outage, so registrations expire.
        """
        directory = self._directory()
        self.assertFalse(directory.remove("i-1", 10.0, 10.1))
        self.assertTrue(directory.takes_requests("i-1", 11.0))
        self.assertFalse(directory.takes_requests("i-1", 10.0 + LAPSED_SECONDS))
        self.assertEqual(["i-1"], directory.expire(10.0 + LAPSED_SECONDS))

    def test_a_lapsed_server_that_returns_stays(self) -> None:
        """Guards against removing a server that registered again in time."""
        directory = self._directory()
        directory.remove("i-1", 10.0, 10.1)
        directory.put(make_record("i-1"))
        self.assertEqual([], directory.expire(20.0))
        self.assertTrue(directory.takes_requests("i-1", 20.0))

    def test_a_leaving_server_takes_nothing(self) -> None:
        """Guards against new requests to a server that is draining."""
        directory = self._directory()
        directory.put(make_record("i-1", leaving=True))
        self.assertFalse(directory.takes_requests("i-1", 0.0))
        self.assertEqual(["i-2"], [r.name for r in directory.usable("s", 0.0)])
        self.assertTrue(directory.remove("i-1", 10.0, 10.1))
