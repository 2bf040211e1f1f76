"""coordination: what a direct entry answers by itself."""

from dataclasses import dataclass

from lacewingcleat.retries import ReportNotRun, ReportUnknown, RetryDecision

STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_TIMEOUT = 504
# Delay for callers when the servers are full: about the time in which a busy engine
# finishes one of its requests, so that a slot is free when they return.
FULL_RETRY_SECONDS = 0.35
# Delay when this entry cannot judge requests; another entry probably can.
STALE_RETRY_SECONDS = 0.05
# Delay when no server of the service is known.
NO_SERVER_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """Describe an answer of the entry itself.

    :param retry_after: seconds after which the caller may come back, none if the
        request may have run.
    """

    status: int
    reason: str
    retry_after: float | None = None


def answer_decision(
    decision: RetryDecision,
    timed_out: bool,
    default_retry_seconds: float,
) -> OwnAnswer:
    """Return the answer for a request that is not sent again.

    :param timed_out: whether its last attempt ended because time ran out.
    """
    match decision:
        case ReportNotRun(code, retry_after):
            wait = retry_after or default_retry_seconds
            return OwnAnswer(STATUS_NOT_RUN, code, wait)
        case ReportUnknown(code) if timed_out:
            return OwnAnswer(STATUS_TIMEOUT, code)
        case ReportUnknown(code):
            return OwnAnswer(STATUS_UNKNOWN, code)
        case _:
            return OwnAnswer(STATUS_UNKNOWN, type(decision).__name__)
