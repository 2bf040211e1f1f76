"""coordination: when a caller whose request did not run is asked to come back.

Callers wait as told up to a third of the time they have left and come back once or
twice. A moment too early costs them the request, so the answer depends on the cause: a
busy server has a free slot soon, a group that is down needs seconds to return.
"""

from enum import Enum
from random import Random

# Share of a caller's remaining time that it waits at most.
WAIT_SHARE = 1.0 / 3.0
# Left of that share, for the way to the caller.
MARGIN_SECONDS = 0.05
# A group or zone that is down returns after several seconds, later than most callers
# wait, so they are told the latest moment that they accept.
OUTAGE_SECONDS = 3.0
# Bounds of the wait for a busy service: its requests take about a second. The callers
# refused together are spread over this time.
BUSY_SECONDS = (0.5, 1.6)
# Another entry answers as soon as the caller has connected to it.
ELSEWHERE_SECONDS = 0.05


class WaitCause(Enum):
    """Say why a request did not run."""

    BUSY = "busy"
    OUTAGE = "outage"
    ELSEWHERE = "elsewhere"


def retry_after_seconds(
    cause: WaitCause,
    deadline: float,
    random: Random,
    now: float,
) -> float:
    """Return the seconds after which the caller should come back.

    :param deadline: moment until which the caller waits.
    """
    longest = max(0.0, (deadline - now) * WAIT_SHARE - MARGIN_SECONDS)
    match cause:
        case WaitCause.ELSEWHERE:
            wanted = ELSEWHERE_SECONDS
        case WaitCause.BUSY:
            wanted = random.uniform(*BUSY_SECONDS)
        case WaitCause.OUTAGE:
            wanted = OUTAGE_SECONDS
    return min(wanted, longest)
