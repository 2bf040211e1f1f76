"""coordination: what a direct entry answers by itself."""

from dataclasses import dataclass

from lacewingcleat.retries import ReportNotRun, ReportUnknown, RetryDecision

STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_TIMEOUT = 504


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
    retry_after: float,
) -> OwnAnswer:
    """Return the answer for a request that is not sent again.

    :param timed_out: whether its last attempt ended because time ran out.
    :param retry_after: seconds to wait if the request has not run.
    """
    match decision:
        case ReportNotRun(code, _):
            return OwnAnswer(STATUS_NOT_RUN, code, retry_after)
        case ReportUnknown(code) if timed_out:
            return OwnAnswer(STATUS_TIMEOUT, code)
        case ReportUnknown(code):
            return OwnAnswer(STATUS_UNKNOWN, code)
        case _:
            return OwnAnswer(STATUS_UNKNOWN, type(decision).__name__)
