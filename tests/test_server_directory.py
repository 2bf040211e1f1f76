"""Servers that leave, vanish and come back."""

from testtools import TestCase

from lacewingcleat.server_directory import REGISTRATION_GRACE_SECONDS, ServerDirectory
from tests.builders_direct import make_record

NEVER = float("-inf")


class ServerDirectoryTest(TestCase):
    def _directory(self) -> ServerDirectory:
        directory = ServerDirectory()
        directory.put(make_record("i-1"))
        directory.put(make_record("i-2"))
        return directory

    def test_an_unregistered_server_is_removed_immediately(self) -> None:
        """Guards against requests to a server that leaves without notice."""
        directory = self._directory()
        self.assertTrue(directory.remove("i-1", NEVER, 10.0))
        self.assertFalse(directory.accepts_requests("i-1", 10.0))

    def test_an_expired_registration_has_a_grace_period(self) -> None:
        """Guards against an empty list after an outage of the store."""
        directory = self._directory()
        self.assertFalse(directory.remove("i-1", 10.0, 10.1))
        self.assertTrue(directory.accepts_requests("i-1", 11.0))
        self.assertFalse(
            directory.accepts_requests("i-1", 10.0 + REGISTRATION_GRACE_SECONDS)
        )
        self.assertEqual(["i-1"], directory.expire(10.0 + REGISTRATION_GRACE_SECONDS))

    def test_a_server_that_registers_again_stays(self) -> None:
        """Guards against dropping a server that has registered again."""
        directory = self._directory()
        directory.remove("i-1", 10.0, 10.1)
        directory.put(make_record("i-1"))
        self.assertEqual([], directory.expire(20.0))
        self.assertTrue(directory.accepts_requests("i-1", 20.0))

    def test_a_leaving_server_accepts_no_requests(self) -> None:
        """Guards against new requests to a server that drains."""
        directory = self._directory()
        directory.put(make_record("i-1", leaving=True))
        self.assertFalse(directory.accepts_requests("i-1", 0.0))
        self.assertEqual(
            ["i-2"], [r.name for r in directory.accepting_servers("s", 0.0)]
        )
        self.assertTrue(directory.remove("i-1", 10.0, 10.1))
