"""coordination: the Retry-After time sent to a caller whose request did not run.

Callers respect a Retry-After of up to a third of their remaining time, and retry once
or twice. A retry that comes too early fails the request, so the time depends on the
cause: a loaded server soon has a free slot, a group that is down needs seconds to
recover.
"""

from enum import Enum
from random import Random

# Maximum fraction of its remaining time that a caller waits before it retries.
WAIT_SHARE = 1.0 / 3.0
# Subtracted from the maximum wait for the network latency to the caller.
MARGIN_SECONDS = 0.05
# A group or zone that is down recovers after several seconds, which is longer than most
# callers wait, so the maximum wait usually applies instead.
OUTAGE_SECONDS = 3.0
# Range of the random wait for a loaded service, whose requests take about a second.
# Randomness spreads the retries of callers that are refused together over this time.
BUSY_SECONDS = (0.5, 1.6)
# Another entry can serve the caller as soon as the caller connects to it.
ELSEWHERE_SECONDS = 0.05


class WaitCause(Enum):
    """Name the causes for which a request did not run."""

    BUSY = "busy"
    OUTAGE = "outage"
    ELSEWHERE = "elsewhere"


def retry_after_seconds(
    cause: WaitCause,
    deadline: float,
    random: Random,
    now: float,
) -> float:
    """Return the seconds after which the caller should retry.

    :param deadline: time until which the caller waits for a response.
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
