"""coordination: decide what an entry does after an attempt at a request.

Only idempotent requests and requests that certainly did not run are sent again. The
caller is told "not run" only if no attempt, of this entry or of another one, can have
run the request or can still run it.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum

RETRIES_PER_REQUEST = 0.1
MIN_RETRIES_PER_SECOND = 1.0
# Retries that may be saved up, so that one lost server's requests can move at once.
RETRY_BURST = 10.0
REFILL_INTERVAL_SECONDS = 1.0
# A retry with less time left cannot give a useful response.
MIN_REMAINING_SECONDS = 0.05
# A request that has lost this many servers is not tried on a third one, in case it is
# what kills them and their agents die with them, so that none can report the crash.
MAX_LOST_TARGETS = 2
# Refusals that every server would repeat.
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
    """Name the reasons that the entry itself gives in outcomes."""

    NOT_SENT = "not-sent"
    UNREACHABLE = "agent-unreachable"
    CONNECTION_LOST = "connection-lost"
    STREAM_BROKEN = "stream-broken"
    NOT_RUN_AFTER_UNKNOWN = "earlier-attempt-unknown"


class SendProgress(Enum):
    """Say how much of the request may have left the entry."""

    NOTHING = "nothing"
    SOME = "some"


class ResponseKind(Enum):
    """Say how the agent answered an attempt."""

    NOTHING = "no response"
    COMPLETE = "complete response"
    BROKEN = "response broke off"
    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class TicketOrigin(Enum):
    """Say who obtained the ticket of a request."""

    NONE = "none"
    ENTRY = "entry"
    CALLER = "caller"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Describe one attempt that has ended.

    :param target: backend server, service instance or group.
    :param code: code of the agent's problem document.
    :param retry_after: seconds that the agent asked to wait, 0 for none.
    :param revocation: whether the attempt was an order to revoke the ticket.
    """

    target: str
    sent: SendProgress
    response: ResponseKind
    code: str = ""
    retry_after: float = 0.0
    revocation: bool = False


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Describe a request over all its attempts.

    :param deadline: time by which the response must be there.
    :param failed_targets: targets that have failed this request.
    :param may_have_run: whether an earlier attempt ended without a known result.
    :param lost_targets: targets that were lost after the request was sent to them.
    :param has_other_target: whether a target is left that has not failed.
    :param delivered: tokens that the caller has received.
    :param body_begun: whether the caller has received a part of the response.
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
    """Send the request again, with a new ticket if it needs one.

    :param excluded: targets that must not be chosen.
    :param may_have_run: what to put into the facts of the next attempt.
    """

    excluded: frozenset[str]
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class ResumeAt:
    """Continue a stream on another target after the tokens already delivered."""

    offset: int
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class RevokeFirst:
    """Ask the agent to revoke the ticket, then decide again with its response."""

    target: str


@dataclass(frozen=True, slots=True)
class ReportNotRun:
    """Tell the caller that the request was not run."""

    code: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class ReportUnknown:
    """Tell the caller that nobody knows whether the request ran."""

    code: str


@dataclass(frozen=True, slots=True)
class ReturnResult:
    """Pass the agent's response on to the caller."""


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
    """Hold the figures of a retry budget.

    :param retries_per_request: retries earned by each request.
    :param min_retries_per_second: retries earned however few requests there are.
    :param burst: retries that may be saved up.
    """

    retries_per_request: float = RETRIES_PER_REQUEST
    min_retries_per_second: float = MIN_RETRIES_PER_SECOND
    burst: float = RETRY_BURST


DEFAULT_POLICY = RetryPolicy()


class RetryBudget:
    """Limit retries of one entry to a share of its requests.

    Without it, retries would multiply the load in the moments of least capacity.

    :param policy: the figures of the budget.
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
        """Take over other figures; retries that were saved up stay."""
        if policy != self._policy:
            self._policy = policy
            self._max_available = policy.burst

    @property
    def available(self) -> float:
        """Return the retries that were left when the budget was last used."""
        return self._available

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._refill(now)
        self._request_count += 1

    def has_retry(self, now: float) -> bool:
        """Return whether a retry is left, without using it."""
        self._refill(now)
        return self._available >= 1.0

    def try_spend(self, now: float) -> bool:
        """Use one retry if one is left."""
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
    """Decide what follows an attempt; uses the budget if that is a retry."""
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
    """Report that this entry sends the request nowhere (limits, overload, no route).

    A copy of a request with the caller's own ticket may be on its way through another
    entry, so for such a request only its agent can say that it was not run.
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
    """Report without a retry.

    The caller asks again with its ticket. If the entry ran the request under another
    ticket, the agent would answer about the first one, which did not run.
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
