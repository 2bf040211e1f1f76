"""coordination: the Retry-After time sent to a caller whose request did not run.

Callers respect a Retry-After of up to a third of their remaining time, and retry once
or twice. A retry that comes too early fails the request, so the time depends on the
cause: a loaded server soon has a free slot, a group that is down needs seconds to
recover.
"""

from enum import Enum
from random import Random

# Maximum fraction of its remaining time that a caller waits before it retries.
MAX_WAIT_SHARE = 1.0 / 3.0
# Subtracted from the maximum wait for the network latency to the caller.
NETWORK_MARGIN_SECONDS = 0.05
# A group or zone that is down recovers after several seconds, which is longer than most
# callers wait, so the maximum wait usually applies instead.
OUTAGE_WAIT_SECONDS = 3.0
# Range of the random wait for a loaded service, whose requests take about a second.
# Randomness spreads the retries of callers that are refused together over this time.
LOADED_WAIT_RANGE_SECONDS = (0.5, 1.6)
# Another entry can serve the caller as soon as the caller connects to it.
OTHER_ENTRY_WAIT_SECONDS = 0.05
# Time after the first server of a service is warm over which the callers return that
# were refused while all were cold.
WARM_SPREAD_SECONDS = 0.5
# Least part of the longest wait, where that is shorter than the time until then.
MIN_CAPPED_SHARE = 0.6


class NotRunCause(Enum):
    """Name the causes for which a request did not run."""

    LOADED = "busy"
    OUTAGE = "outage"
    OTHER_ENTRY = "elsewhere"
    COLD = "cold"


def retry_after_seconds(
    cause: NotRunCause,
    deadline: float,
    random: Random,
    now: float,
    warm_at: float | None = None,
) -> float:
    """Return the seconds after which the caller should retry.

    :param deadline: time until which the caller waits for a response.
    :param warm_at: time from which the first server is warm, if all are cold.
    """
    max_wait = max(0.0, (deadline - now) * MAX_WAIT_SHARE - NETWORK_MARGIN_SECONDS)
    match cause:
        case NotRunCause.OTHER_ENTRY:
            wait = OTHER_ENTRY_WAIT_SECONDS
        case NotRunCause.LOADED:
            wait = random.uniform(*LOADED_WAIT_RANGE_SECONDS)
        case NotRunCause.OUTAGE:
            wait = OUTAGE_WAIT_SECONDS
        case NotRunCause.COLD:
            wait = max(0.0, (now if warm_at is None else warm_at) - now)
            wait += random.uniform(0.0, WARM_SPREAD_SECONDS)
            if wait > max_wait:
                wait = max_wait * random.uniform(MIN_CAPPED_SHARE, 1.0)
    return min(wait, max_wait)
