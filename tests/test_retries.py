from testtools import TestCase

from lacewingcleat.retries import (
    RETRY_BURST,
    Attempt,
    ReportNotRun,
    ReportUnknown,
    RequestFacts,
    ResponseKind,
    ResumeAt,
    RetryBudget,
    RetryCode,
    RetryDecision,
    RetryElsewhere,
    ReturnResult,
    RevokeFirst,
    SendProgress,
    TicketOrigin,
    decide_retry,
    report_unsent,
)
from tests.builders_safety import make_attempt, make_facts


class DecideRetryTest(TestCase):
    def decide(self, attempt: Attempt, facts: RequestFacts) -> RetryDecision:
        return decide_retry(attempt, facts, RetryBudget(0.0), 0.0)

    def test_complete_and_ran_are_returned(self) -> None:
        """Guards against a second run after a result."""
        for response in (ResponseKind.COMPLETE, ResponseKind.RAN):
            decision = self.decide(make_attempt(response), make_facts(idempotent=True))
            self.assertEqual(ReturnResult(), decision)

    def test_ticket_at_a_silent_agent_is_revoked_first(self) -> None:
        """Guards against a retry while the first attempt may still start."""
        decision = self.decide(make_attempt(), make_facts())
        self.assertEqual(RevokeFirst("server-1"), decision)

    def test_confirmed_revocation_allows_a_retry(self) -> None:
        """Guards against a lost request that provably did not run."""
        revoked = make_attempt(ResponseKind.NOT_RUN, "ticket-revoked", revocation=True)
        decision = self.decide(revoked, make_facts())
        self.assertEqual(RetryElsewhere(frozenset({"server-1"}), False), decision)

    def test_unanswered_revocation_is_unknown(self) -> None:
        """Guards against "not run" when the revocation itself was not sent or heard."""
        for sent in SendProgress:
            lost = make_attempt(sent=sent, revocation=True)
            self.assertIsInstance(self.decide(lost, make_facts()), ReportUnknown)

    def test_non_idempotent_request_that_may_have_run_is_not_retried(self) -> None:
        """Guards against a duplicated material order."""
        for response in (ResponseKind.UNKNOWN, ResponseKind.BROKEN):
            decision = self.decide(make_attempt(response, "x"), make_facts())
            self.assertEqual(ReportUnknown("x"), decision)

    def test_not_run_is_not_reported_after_an_unknown_attempt(self) -> None:
        """Guards against "not run" from the last of several attempts."""
        facts = make_facts(True, may_have_run=True, has_other_target=False)
        decision = self.decide(make_attempt(ResponseKind.NOT_RUN, "overloaded"), facts)
        self.assertEqual(ReportUnknown(RetryCode.NOT_RUN_AFTER_UNKNOWN), decision)

    def test_callers_ticket_is_never_replaced(self) -> None:
        """Guards against a run under a ticket that the caller does not know."""
        facts = make_facts(ticket=TicketOrigin.CALLER)
        refused = self.decide(make_attempt(ResponseKind.NOT_RUN, "overloaded"), facts)
        self.assertEqual(ReportNotRun("overloaded"), refused)
        unsent = self.decide(make_attempt(sent=SendProgress.NOTHING), facts)
        self.assertEqual(ReportUnknown(RetryCode.UNREACHABLE), unsent)

    def test_entry_cannot_report_not_run_for_a_callers_ticket(self) -> None:
        """Guards against "not run" while another entry holds a copy."""
        caller = make_facts(ticket=TicketOrigin.CALLER)
        self.assertEqual(ReportUnknown("limit"), report_unsent(caller, "limit"))
        self.assertEqual(
            ReportNotRun("limit", 2.0), report_unsent(make_facts(), "limit", 2.0)
        )

    def test_no_retry_past_deadline_budget_or_targets(self) -> None:
        """Guards against retries that help nobody."""
        refused = make_attempt(ResponseKind.NOT_RUN, "overloaded")
        for facts in (make_facts(deadline=0.05), make_facts(has_other_target=False)):
            self.assertEqual(
                ReportNotRun("overloaded"), self.decide(refused, facts), facts
            )
        budget = RetryBudget(0.0)
        while budget.try_spend(0.0):
            pass
        self.assertEqual(
            ReportNotRun("overloaded"), decide_retry(refused, make_facts(), budget, 0.0)
        )

    def test_non_retryable_refusal_is_not_retried(self) -> None:
        """Guards against a convicted request that visits every server."""
        refused = make_attempt(ResponseKind.NOT_RUN, "crashes-server")
        self.assertEqual(
            ReportNotRun("crashes-server"), self.decide(refused, make_facts())
        )

    def test_no_retry_on_a_third_server(self) -> None:
        """Guards against a request that kills servers together with their agents."""
        facts = make_facts(True, lost_targets=1)
        self.assertIsInstance(self.decide(make_attempt(), facts), ReportUnknown)

    def test_stream_resumes_after_the_delivered_tokens(self) -> None:
        """Guards against doubled tokens and against a silent restart."""
        broken = make_attempt(ResponseKind.BROKEN)
        stream = make_facts(True, delivered=7, body_begun=True, resumable=True)
        self.assertEqual(
            ResumeAt(7, frozenset({"server-1"})), self.decide(broken, stream)
        )
        opaque = make_facts(True, body_begun=True)
        self.assertEqual(
            ReportUnknown(RetryCode.STREAM_BROKEN), self.decide(broken, opaque)
        )


class RetryBudgetTest(TestCase):
    def test_retries_are_a_tenth_of_requests(self) -> None:
        """Guards against retries that multiply an overload."""
        budget = RetryBudget(0.0)
        spent = 0
        for second in range(100):
            for step in range(200):
                now = second + step / 200
                budget.count_request(now)
                spent += budget.try_spend(now)
        self.assertLessEqual(spent, 0.1 * 20_000 + RETRY_BURST)
        self.assertGreater(spent, 0.09 * 20_000)

    def test_idle_entry_earns_one_retry_a_second(self) -> None:
        """Guards against an entry with few requests that can never retry."""
        budget = RetryBudget(0.0)
        while budget.try_spend(0.0):
            pass
        self.assertFalse(budget.try_spend(0.9))
        self.assertTrue(budget.try_spend(1.0))
        self.assertFalse(budget.try_spend(1.0))
