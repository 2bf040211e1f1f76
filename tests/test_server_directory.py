"""Remove servers, keep them during a grace period, and register them again."""

from testtools import TestCase

from lacewingcleat.direct_settings import DEFAULT_HEARTBEAT_SECONDS
from lacewingcleat.server_directory import (
    EXPIRY_HEARTBEATS,
    MAX_COPY_AGE_SECONDS,
    REGISTRATION_GRACE_SECONDS,
    ServerDirectory,
)
from lacewingcleat.server_record import ServerRecord
from tests.builders_direct import make_record

NEVER = float("-inf")


class ServerDirectoryTest(TestCase):
    def _directory(self) -> ServerDirectory:
        directory = ServerDirectory()
        directory.put(make_record("i-1"))
        directory.put(make_record("i-2"))
        return directory

    def _accepting(self, directory: ServerDirectory, now: float) -> list[ServerRecord]:
        return directory.accepting_servers("s", now)

    def test_an_unregistered_server_is_removed_immediately(self) -> None:
        """Guards against requests to a server whose registration was removed."""
        directory = self._directory()
        self.assertTrue(directory.remove("i-1", NEVER, 10.0))
        self.assertFalse(directory.accepts_requests("i-1", 10.0))

    def test_an_expired_registration_has_a_grace_period(self) -> None:
        """Guards against removing all servers after an outage of the store.

        Heartbeats do not reach the store during the outage, so registrations expire.
        """
        directory = self._directory()
        self.assertFalse(directory.remove("i-1", 10.0, 10.1))
        self.assertTrue(directory.accepts_requests("i-1", 11.0))
        self.assertFalse(
            directory.accepts_requests("i-1", 10.0 + REGISTRATION_GRACE_SECONDS)
        )
        self.assertEqual(["i-1"], directory.expire(10.0 + REGISTRATION_GRACE_SECONDS))

    def test_a_server_that_registers_again_stays(self) -> None:
        """Guards against removing a server that registered again in time."""
        directory = self._directory()
        directory.remove("i-1", 10.0, 10.1)
        directory.put(make_record("i-1"))
        self.assertEqual([], directory.expire(20.0))
        self.assertTrue(directory.accepts_requests("i-1", 20.0))

    def test_a_leaving_server_accepts_no_requests(self) -> None:
        """Guards against new requests to a server that is draining."""
        directory = self._directory()
        directory.put(make_record("i-1", leaving=True))
        self.assertFalse(directory.accepts_requests("i-1", 0.0))
        self.assertEqual(
            ["i-2"], [r.name for r in directory.accepting_servers("s", 0.0)]
        )
        self.assertTrue(directory.remove("i-1", 10.0, 10.1))

    def test_a_copy_of_a_removed_server_waits_for_its_heartbeats(self) -> None:
        """Guards against requests to a server that a restored store still shows."""
        directory = self._directory()
        directory.remove("i-1", NEVER, 10.0)
        directory.put_copied(make_record("i-1"), 12.0)
        expired_at = 12.0 + EXPIRY_HEARTBEATS * DEFAULT_HEARTBEAT_SECONDS
        self.assertFalse(directory.accepts_requests("i-1", expired_at - 0.1))
        self.assertEqual(["i-2"], [r.name for r in self._accepting(directory, 13.0)])
        directory.put_copied(make_record("i-1", slots=7), expired_at - 0.2)
        self.assertFalse(directory.accepts_requests("i-1", expired_at - 0.1))
        self.assertTrue(directory.accepts_requests("i-1", expired_at))

    def test_a_removed_server_that_writes_again_is_used_at_once(self) -> None:
        """Guards against a live server that stays unused after a restore."""
        directory = self._directory()
        directory.remove("i-1", NEVER, 10.0)
        directory.put_copied(make_record("i-1"), 12.0)
        directory.put(make_record("i-1"))
        self.assertTrue(directory.accepts_requests("i-1", 12.1))
        directory.remove("i-2", NEVER, 12.2)
        directory.put_copied(make_record("i-2", started_ms=2), 12.3)
        self.assertTrue(directory.accepts_requests("i-2", 12.3))

    def test_a_copy_does_not_undo_that_a_server_leaves(self) -> None:
        """Guards against requests to a server that is draining or has drained."""
        for was_removed in (False, True):
            directory = self._directory()
            directory.put(make_record("i-1", leaving=True))
            if was_removed:
                directory.remove("i-1", NEVER, 10.0)
            directory.put_copied(make_record("i-1"), 12.0)
            self.assertFalse(directory.accepts_requests("i-1", 100.0))
            directory.put(make_record("i-1", started_ms=2))
            self.assertTrue(directory.accepts_requests("i-1", 100.0))

    def test_a_copy_of_an_earlier_run_is_ignored(self) -> None:
        """Guards against the former address of a server that has started again."""
        directory = self._directory()
        directory.put(make_record("i-1", started_ms=5))
        directory.put_copied(make_record("i-1", leaving=True), 12.0)
        self.assertTrue(directory.accepts_requests("i-1", 12.0))

    def test_removed_servers_are_forgotten(self) -> None:
        """Guards against memory that grows with each server that was ever removed."""
        directory = self._directory()
        directory.remove("i-1", NEVER, 10.0)
        directory.expire(10.0 + MAX_COPY_AGE_SECONDS)
        directory.put_copied(make_record("i-1"), 10.0 + MAX_COPY_AGE_SECONDS)
        self.assertTrue(directory.accepts_requests("i-1", 10.0 + MAX_COPY_AGE_SECONDS))
