from unittest.mock import patch

from result import Err
from testtools import TestCase

from lacewingcleat.identity import Role
from lacewingcleat.ticket_token import MAX_TOKEN_CHARS, decode_ticket, verify_ticket
from lacewingcleat.tickets import (
    EXPIRED_RETENTION_SECONDS,
    MAX_RESPONSE_BYTES,
    Attach,
    Minted,
    NotRun,
    PresentOutcome,
    Ran,
    Response,
    RunNow,
    Stored,
    TicketCode,
    TicketRegistry,
    TicketStarted,
    Unknown,
)
from tests.builders import make_peer

OK = Response(200, (), b"done")


class TicketRegistryTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.minted_count = 0
        self.registry = self.make_registry("aa")

    def make_registry(self, incarnation: str) -> TicketRegistry:
        me = make_peer("agent-1", incarnation, role=Role.AGENT)
        return TicketRegistry(me, "127.0.0.1:9001", incarnation.encode() * 16)

    def mint(self, key: str = "", now: float = 0.0) -> Minted:
        self.minted_count += 1
        random_bytes = self.minted_count.to_bytes(16, "big")
        return self.registry.mint("orders", "acme", random_bytes, now, key).unwrap()

    def present(
        self,
        token: str,
        now: float = 1.0,
        fingerprint: str = "f",
        key: str = "",
        account: str = "acme",
    ) -> PresentOutcome:
        return self.registry.present(token, "orders", account, fingerprint, now, key)

    def run_once(self, minted: Minted, response: Response = OK) -> None:
        ticket_id = minted.ticket.ticket_id
        self.assertEqual(RunNow(ticket_id), self.present(minted.token))
        self.assertEqual(TicketStarted(ticket_id), self.registry.start(ticket_id, 1.0))
        self.registry.finish(ticket_id, response, 2.0)

    def test_second_copy_attaches_and_then_gets_the_response(self) -> None:
        """Guards against a resent request that runs twice."""
        minted = self.mint()
        ticket_id = minted.ticket.ticket_id
        self.assertEqual(RunNow(ticket_id), self.present(minted.token))
        self.assertEqual(Attach(ticket_id), self.present(minted.token))
        self.registry.start(ticket_id, 1.0)
        self.assertEqual(Attach(ticket_id), self.present(minted.token))
        self.registry.finish(ticket_id, OK, 2.0)
        self.assertEqual(Stored(ticket_id, OK), self.present(minted.token))
        self.assertIsInstance(self.registry.start(ticket_id, 3.0), Unknown)

    def test_refused_request_never_runs_later(self) -> None:
        """Guards against a delayed copy that runs after "not run" was reported."""
        minted = self.mint()
        self.present(minted.token)
        refused = self.registry.refuse(minted.ticket.ticket_id, "overloaded")
        self.assertEqual(NotRun("overloaded"), refused)
        self.assertEqual(NotRun("overloaded"), self.present(minted.token))
        self.assertEqual(
            NotRun("overloaded"), self.registry.start(minted.ticket.ticket_id, 2.0)
        )

    def test_revocation_leaves_a_tombstone(self) -> None:
        """Guards against a delayed request that runs after its revocation."""
        minted = self.mint()
        revoked = self.registry.revoke(minted.token, "acme", 1.0)
        self.assertEqual(NotRun(TicketCode.REVOKED), revoked)
        self.assertEqual(NotRun(TicketCode.REVOKED), self.present(minted.token))

    def test_running_request_is_not_revoked(self) -> None:
        """Guards against "not run" about a request that is running."""
        minted = self.mint()
        self.present(minted.token)
        self.registry.start(minted.ticket.ticket_id, 1.0)
        revoked = self.registry.revoke(minted.token, "acme", 1.0)
        self.assertEqual(Attach(minted.ticket.ticket_id), revoked)

    def test_lost_run_stays_unknown(self) -> None:
        """Guards against a second run after the engine died in the first."""
        minted, queued = self.mint(), self.mint()
        self.present(minted.token)
        self.present(queued.token)
        self.registry.start(minted.ticket.ticket_id, 1.0)
        self.assertEqual([minted.ticket.ticket_id], self.registry.mark_running_lost())
        self.registry.finish(minted.ticket.ticket_id, OK, 2.0)
        self.assertEqual(Unknown(TicketCode.SERVER_LOST), self.present(minted.token))
        self.assertIsInstance(
            self.registry.start(queued.ticket.ticket_id, 2.0), TicketStarted
        )

    def test_expired_ticket_never_starts(self) -> None:
        """Guards against a run after a pause that outlasted the ticket."""
        queued, idle, done = self.mint(), self.mint(), self.mint()
        self.present(queued.token)
        self.run_once(done)
        late = queued.ticket.expires
        self.assertEqual(
            NotRun(TicketCode.EXPIRED),
            self.registry.start(queued.ticket.ticket_id, late),
        )
        self.assertEqual(NotRun(TicketCode.EXPIRED), self.present(idle.token, late))
        self.assertEqual(Unknown(TicketCode.EXPIRED), self.present(done.token, late))
        much_later = late + EXPIRED_RETENTION_SECONDS
        self.assertEqual(
            Unknown(TicketCode.EXPIRED), self.present(idle.token, much_later)
        )
        self.assertEqual(0, len(self.registry))

    def test_ticket_of_another_process_is_unknown(self) -> None:
        """Guards against a restarted agent that runs its predecessor's requests."""
        minted = self.mint()
        self.registry = self.make_registry("bb")
        self.assertEqual(
            Unknown(TicketCode.OTHER_INCARNATION), self.present(minted.token)
        )

    def test_forged_or_damaged_token_is_unknown(self) -> None:
        """Guards against a caller that makes up tickets."""
        minted = self.mint()
        forged = self.make_registry("aa")
        forged._secret = b"guess"
        other = forged.mint("orders", "acme", bytes(16), 0.0).unwrap().token
        invalid = [other, minted.token[:-2], minted.token + "A", "", "é", "A" * 9_999]
        for token in invalid:
            self.assertEqual(Unknown(TicketCode.NOT_RECOGNISED), self.present(token))
        self.assertLess(len(minted.token), MAX_TOKEN_CHARS / 4)

    def test_ticket_is_valid_for_one_request_only(self) -> None:
        """Guards against a response that reaches another request or account."""
        minted = self.mint()
        self.run_once(minted)
        other = Unknown(TicketCode.OTHER_REQUEST)
        self.assertEqual(other, self.present(minted.token, fingerprint="g"))
        self.assertEqual(other, self.present(minted.token, account="mallory"))
        self.assertEqual(
            other, self.registry.present(minted.token, "billing", "acme", "f", 2.0)
        )

    def test_key_runs_under_one_ticket(self) -> None:
        """Guards against a key that runs once for each of its tickets."""
        first, second = self.mint("k"), self.mint("k", now=500.0)
        self.run_once(first)
        self.assertEqual(Ran(TicketCode.KEY_ALREADY_RUN), self.present(second.token))
        self.assertEqual(
            Err(Ran(TicketCode.KEY_ALREADY_RUN)),
            self.registry.mint("orders", "acme", bytes(16), 3.0, "k"),
        )
        # The first ticket is forgotten before the second expires.
        self.assertIsInstance(self.present(second.token, now=1_000.0), Unknown)

    def test_key_of_a_refused_request_may_run_under_another_ticket(self) -> None:
        """Guards against a key that is blocked by a request that did not run."""
        first, second = self.mint("k"), self.mint("k")
        self.present(first.token)
        self.assertEqual(Unknown(TicketCode.KEY_IN_USE), self.present(second.token))
        self.registry.refuse(first.ticket.ticket_id, "overloaded")
        self.assertIsInstance(self.present(second.token), RunNow)
        self.assertEqual(NotRun("overloaded"), self.present(first.token))

    def test_stored_responses_are_bounded(self) -> None:
        """Guards against memory that grows with responses."""
        big = Response(200, (), bytes(MAX_RESPONSE_BYTES))
        tickets = [self.mint() for _ in range(65)]
        for minted in tickets:
            self.run_once(minted, big)
        self.assertLessEqual(self.registry.stored_bytes, 64 << 20)
        # Each takes some bytes beside its content, so that 63 of 65 fit.
        self.assertEqual(
            Ran(TicketCode.RESPONSE_NOT_STORED), self.present(tickets[1].token)
        )
        self.assertIsInstance(self.present(tickets[2].token), Stored)
        oversized = self.mint()
        self.run_once(oversized, Response(200, (), bytes(MAX_RESPONSE_BYTES + 1)))
        self.assertEqual(
            Ran(TicketCode.RESPONSE_NOT_STORED), self.present(oversized.token)
        )

    def test_full_registry_mints_no_ticket(self) -> None:
        """Guards against memory that grows with tickets."""
        with patch("lacewingcleat.tickets.MAX_TICKETS", 1):
            self.mint()
            refused = self.registry.mint("orders", "acme", bytes(16), 1.0)
            self.assertEqual(Err(NotRun(TicketCode.TOO_MANY)), refused)

    def test_entry_decodes_the_agent_of_a_ticket(self) -> None:
        """Guards against a token that names no agent to its entry."""
        minted = self.mint("k")
        self.assertEqual(minted.ticket, decode_ticket(minted.token).unwrap())
        self.assertFalse(verify_ticket(minted.token, b"other"))
