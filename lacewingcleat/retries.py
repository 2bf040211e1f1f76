"""coordination: decide whether an entry retries, revokes or reports after an attempt.

Only idempotent requests and requests that certainly did not run are retried. The entry
reports "not run" to the caller only if no attempt, by this entry or another one, can
have run the request or can still run it.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum

RETRIES_PER_REQUEST = 0.1
MIN_RETRIES_PER_SECOND = 1.0
# Retries that can accumulate, so that all requests of a failed server can move at once.
RETRY_BURST = 10.0
REFILL_INTERVAL_SECONDS = 1.0
# A retry with less time left before the deadline cannot return a useful response.
MIN_REMAINING_SECONDS = 0.05
# Maximum number of servers that may be lost while they handle a request; there is no
# retry after that. The request may have crashed them together with their agents, in
# which case no agent is left to report the crash.
MAX_LOST_TARGETS = 2
# Codes of refusals that every other server would repeat.
NON_RETRYABLE_CODES = frozenset(
    {
        "crashes-server",
        "deadline-passed",
        "key-already-run",
        "ticket-expired",
        "ticket-required",
    }
)


class RetryCode(StrEnum):
    """Define the outcome codes that the entry itself sets."""

    NOT_SENT = "not-sent"
    UNREACHABLE = "agent-unreachable"
    CONNECTION_LOST = "connection-lost"
    STREAM_BROKEN = "stream-broken"
    NOT_RUN_AFTER_UNKNOWN = "earlier-attempt-unknown"


class SendProgress(Enum):
    """Represent how much of a request may have left the entry."""

    NOTHING = "nothing"
    SOME = "some"


class ResponseKind(Enum):
    """Represent how the agent responded to an attempt."""

    NOTHING = "no response"
    COMPLETE = "complete response"
    BROKEN = "response broke off"
    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class TicketOrigin(Enum):
    """Represent who obtained the ticket of a request."""

    NONE = "none"
    ENTRY = "entry"
    CALLER = "caller"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one attempt that has ended.

    :param target: backend server, service instance or group.
    :param code: code in the agent's problem document.
    :param retry_after: seconds to wait before a retry as requested by the agent, 0 for
        none.
    :param revocation: whether the attempt was a request to revoke the ticket.
    """

    target: str
    sent: SendProgress
    response: ResponseKind
    code: str = ""
    retry_after: float = 0.0
    revocation: bool = False


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Describe a request across all its attempts.

    :param deadline: time by which the response must be complete.
    :param failed_targets: targets at which an attempt has failed.
    :param may_have_run: whether an earlier attempt ended with an unknown result.
    :param lost_targets: number of targets that were lost after the request was sent to
        them.
    :param has_other_target: whether a target remains that has not failed.
    :param delivered: number of tokens that the caller has received.
    :param body_begun: whether the caller has received a part of the response body.
    :param resumable: whether the response is a stream with known token offsets.
    """

    idempotent: bool
    deadline: float
    ticket: TicketOrigin = TicketOrigin.NONE
    failed_targets: frozenset[str] = frozenset()
    may_have_run: bool = False
    lost_targets: int = 0
    has_other_target: bool = True
    delivered: int = 0
    body_begun: bool = False
    resumable: bool = False


@dataclass(frozen=True, slots=True)
class RetryElsewhere:
    """Retry the request on another target, with a new ticket if it needs one.

    :param excluded: targets that must not be chosen.
    :param may_have_run: value of `RequestFacts.may_have_run` for the next attempt.
    """

    excluded: frozenset[str]
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Resume a stream on another target after the tokens already delivered."""

    offset: int
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class RevokeFirst:
    """Request the agent to revoke the ticket, then decide again by its response."""

    target: str


@dataclass(frozen=True, slots=True)
class ReportNotRun:
    """Report to the caller that the request was not run."""

    code: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class ReportUnknown:
    """Report to the caller that the request may or may not have run."""

    code: str


@dataclass(frozen=True, slots=True)
class ReturnResult:
    """Forward the agent's response to the caller."""


RetryDecision = (
    RetryElsewhere
    | ResumeAt
    | RevokeFirst
    | ReportNotRun
    | ReportUnknown
    | ReturnResult
)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Define the parameters of a retry budget.

    :param retries_per_request: retries added to the budget per request.
    :param min_retries_per_second: minimum number of retries added per second, however
        few requests there are.
    :param burst: maximum number of retries that accumulate.
    """

    retries_per_request: float = RETRIES_PER_REQUEST
    min_retries_per_second: float = MIN_RETRIES_PER_SECOND
    burst: float = RETRY_BURST


DEFAULT_POLICY = RetryPolicy()


class RetryBudget:
    """Limit the retries of one entry to a fraction of its requests.

    Without a limit, retries would multiply the load when capacity is lowest.

    :param policy: parameters of the budget.
    """

    __slots__ = (
        "_available",
        "_max_available",
        "_policy",
        "_refilled_at",
        "_request_count",
    )

    def __init__(self, now: float, policy: RetryPolicy = DEFAULT_POLICY) -> None:
        self._policy = policy
        self._available = policy.burst
        self._max_available = policy.burst
        self._refilled_at = now
        self._request_count = 0

    def set_policy(self, policy: RetryPolicy) -> None:
        """Replace the parameters; retries that have accumulated are retained."""
        if policy != self._policy:
            self._policy = policy
            self._max_available = policy.burst

    @property
    def available(self) -> float:
        """Return the number of retries available when the budget was last used."""
        return self._available

    def count_request(self, now: float) -> None:
        """Count a caller's request towards the budget."""
        self._refill(now)
        self._request_count += 1

    def has_retry(self, now: float) -> bool:
        """Return whether a retry is available, without spending it."""
        self._refill(now)
        return self._available >= 1.0

    def try_spend(self, now: float) -> bool:
        """Spend a retry and return whether one was available."""
        if not self.has_retry(now):
            return False
        self._available -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed = now - self._refilled_at
        if elapsed < REFILL_INTERVAL_SECONDS:
            return
        policy = self._policy
        earned = max(
            self._request_count * policy.retries_per_request,
            elapsed * policy.min_retries_per_second,
        )
        self._max_available = max(
            policy.burst, self._request_count * policy.retries_per_request / elapsed
        )
        self._available = min(self._max_available, self._available + earned)
        self._refilled_at = now
        self._request_count = 0


def decide_retry(
    attempt: Attempt,
    facts: RequestFacts,
    budget: RetryBudget,
    now: float,
) -> RetryDecision:
    """Decide how to proceed after an attempt; a retry is spent from the budget."""
    if attempt.response in (ResponseKind.COMPLETE, ResponseKind.RAN):
        return ReturnResult()
    certain = _certainly_not_run(attempt)
    if facts.ticket is TicketOrigin.CALLER:
        return _report_for_callers_ticket(attempt)
    if not certain and not facts.idempotent:
        return _decide_non_idempotent(attempt, facts)
    may_have_run = facts.may_have_run or not certain or facts.delivered > 0
    if _may_retry(attempt, facts, now) and budget.try_spend(now):
        excluded = facts.failed_targets | {attempt.target}
        if facts.delivered:
            return ResumeAt(facts.delivered, excluded)
        return RetryElsewhere(excluded, may_have_run)
    if not may_have_run:
        return ReportNotRun(attempt.code or RetryCode.NOT_SENT, attempt.retry_after)
    if certain:
        return ReportUnknown(RetryCode.NOT_RUN_AFTER_UNKNOWN)
    return ReportUnknown(_unknown_code(attempt))


def report_unsent(
    facts: RequestFacts,
    code: str,
    retry_after: float = 0.0,
) -> ReportNotRun | ReportUnknown:
    """Report that this entry does not send the request (limits, overload, no route).

    Another entry may be forwarding a copy of a request that has the caller's own
    ticket, so for such a request only the agent can confirm that it was not run.
    """
    if facts.ticket is TicketOrigin.CALLER or facts.may_have_run or facts.delivered:
        return ReportUnknown(code)
    return ReportNotRun(code, retry_after)


def _certainly_not_run(attempt: Attempt) -> bool:
    if attempt.revocation:
        return attempt.response is ResponseKind.NOT_RUN
    return (
        attempt.sent is SendProgress.NOTHING or attempt.response is ResponseKind.NOT_RUN
    )


def _report_for_callers_ticket(attempt: Attempt) -> ReportNotRun | ReportUnknown:
    """Report the result of a request with the caller's own ticket, without a retry.

    The caller queries the result with its ticket. If the entry retried the request with
    another ticket, the agent would still report that the caller's ticket did not run.
    """
    if attempt.response is ResponseKind.NOT_RUN:
        return ReportNotRun(attempt.code, attempt.retry_after)
    if attempt.sent is SendProgress.NOTHING:
        return ReportUnknown(RetryCode.UNREACHABLE)
    return ReportUnknown(_unknown_code(attempt))


def _decide_non_idempotent(
    attempt: Attempt,
    facts: RequestFacts,
) -> RevokeFirst | ReportUnknown:
    silent = attempt.response is ResponseKind.NOTHING and not attempt.revocation
    if silent and facts.ticket is TicketOrigin.ENTRY:
        return RevokeFirst(attempt.target)
    return ReportUnknown(_unknown_code(attempt))


def _may_retry(attempt: Attempt, facts: RequestFacts, now: float) -> bool:
    if attempt.response is ResponseKind.NOT_RUN and attempt.code in NON_RETRYABLE_CODES:
        return False
    lost = facts.lost_targets + (not _certainly_not_run(attempt))
    if lost >= MAX_LOST_TARGETS:
        return False
    if (facts.body_begun or facts.delivered) and not facts.resumable:
        return False
    return facts.has_other_target and now + MIN_REMAINING_SECONDS < facts.deadline


def _unknown_code(attempt: Attempt) -> str:
    if attempt.response is ResponseKind.BROKEN:
        return attempt.code or RetryCode.STREAM_BROKEN
    return attempt.code or RetryCode.CONNECTION_LOST
