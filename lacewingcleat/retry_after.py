"""coordination: when a caller whose request did not run is asked to come back.

Callers wait as told up to a third of the time they have left and come back once or
twice. A moment too early costs them the request, so the answer depends on the cause: a
busy server has a free slot soon, a group that is down needs seconds to return.
"""

from enum import Enum
from random import Random

# Share of a caller's remaining time that it waits at most.
MAX_WAIT_SHARE = 1.0 / 3.0
# Left of that share, for the way to the caller.
NETWORK_MARGIN_SECONDS = 0.05
# A group or zone that is down returns after several seconds, later than most callers
# wait, so they are told the latest moment that they accept.
OUTAGE_WAIT_SECONDS = 3.0
# Bounds of the wait for a busy service: its requests take about a second. The callers
# refused together are spread over this time.
LOADED_WAIT_RANGE_SECONDS = (0.5, 1.6)
# Another entry answers as soon as the caller has connected to it.
OTHER_ENTRY_WAIT_SECONDS = 0.05


class NotRunCause(Enum):
    """Say why a request did not run."""

    LOADED = "busy"
    OUTAGE = "outage"
    OTHER_ENTRY = "elsewhere"


def retry_after_seconds(
    cause: NotRunCause,
    deadline: float,
    random: Random,
    now: float,
) -> float:
    """Return the seconds after which the caller should come back.

    :param deadline: moment until which the caller waits.
    """
    max_wait = max(0.0, (deadline - now) * MAX_WAIT_SHARE - NETWORK_MARGIN_SECONDS)
    match cause:
        case NotRunCause.OTHER_ENTRY:
            wait = OTHER_ENTRY_WAIT_SECONDS
        case NotRunCause.LOADED:
            wait = random.uniform(*LOADED_WAIT_RANGE_SECONDS)
        case NotRunCause.OUTAGE:
            wait = OUTAGE_WAIT_SECONDS
    return min(wait, max_wait)
