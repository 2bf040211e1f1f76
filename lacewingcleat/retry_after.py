"""coordination: the Retry-After time sent to a caller whose request did not run.

Callers respect a Retry-After of up to a third of their remaining time, and retry once
or twice. A retry that comes too early fails the request, so the time depends on the
cause: a loaded server soon has a free slot, a group that is down needs seconds to
recover.
"""

from collections import OrderedDict
from collections.abc import Container
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
# Addition to that range for each second for which the service has been overloaded, and
# the most seconds that count. An overload that has lasted is likely to last for as long
# again, and a caller that returns meanwhile is refused for good.
LOADED_WAIT_PER_OVERLOADED_SECOND = 0.6
MAX_COUNTED_OVERLOAD_SECONDS = 2.0
# Time without a refusal after which an overload has ended.
OVERLOAD_GAP_SECONDS = 1.0
# Another entry can serve the caller as soon as the caller connects to it.
OTHER_ENTRY_WAIT_SECONDS = 0.05
# Time after the first server of a service is warm over which the callers return that
# were refused while all were cold.
WARM_SPREAD_SECONDS = 0.5
# Time after a group is open again over which the callers return that were refused while
# it formed. Its first map ignores the demand, so it takes fewer streams than usual.
REOPEN_SPREAD_SECONDS = 1.0
# Least part of the longest wait, where that is shorter than the time until then.
MIN_CAPPED_SHARE = 0.6


# Wait for a priority of which some requests are refused, for a share of 1 and of 0. A
# lower share means a larger excess, which lasts longer: bursts take some seconds.
SHORT_WAIT_RANGE_SECONDS = (0.4, 1.0)
LONG_WAIT_RANGE_SECONDS = (1.2, 3.0)
# A caller's clock and the rounding of the header let it return this much early.
EARLY_TOLERANCE_SECONDS = 0.05
# Time after the announced one for which a caller counts as returned.
RETURN_WINDOW_SECONDS = 1.0
# Maximum number of refused requests that are remembered; an entry refuses some dozens a
# second and tells most callers to return within 3 s.
MAX_REFUSED_REQUESTS = 4_096


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
    overloaded_seconds: float = 0.0,
) -> float:
    """Return the seconds after which the caller should retry.

    :param deadline: time until which the caller waits for a response.
    :param warm_at: time from which the first server is warm, if all are cold.
    :param overloaded_seconds: time for which the service has been overloaded.
    """
    max_wait = _max_wait(deadline, now)
    match cause:
        case NotRunCause.OTHER_ENTRY:
            wait = OTHER_ENTRY_WAIT_SECONDS
        case NotRunCause.LOADED:
            wait = _loaded_wait(overloaded_seconds, max_wait, random)
        case NotRunCause.OUTAGE:
            wait = OUTAGE_WAIT_SECONDS
        case NotRunCause.COLD:
            wait = max(0.0, (now if warm_at is None else warm_at) - now)
            wait += random.uniform(0.0, WARM_SPREAD_SECONDS)
            if wait > max_wait:
                wait = max_wait * random.uniform(MIN_CAPPED_SHARE, 1.0)
    return min(wait, max_wait)


def _max_wait(deadline: float, now: float) -> float:
    """Return the longest time that a caller waits before it retries."""
    return max(0.0, (deadline - now) * MAX_WAIT_SHARE - NETWORK_MARGIN_SECONDS)


def _loaded_wait(overloaded_seconds: float, max_wait: float, random: Random) -> float:
    counted = min(overloaded_seconds, MAX_COUNTED_OVERLOAD_SECONDS)
    addition = counted * LOADED_WAIT_PER_OVERLOADED_SECOND
    low, high = (bound + addition for bound in LOADED_WAIT_RANGE_SECONDS)
    if addition and high > max_wait:
        # The range is scaled and not cut off, so that returns stay spread.
        low, high = low * max_wait / high, max_wait
    return random.uniform(low, high)


class OverloadClock:
    """Measure for how long services have been overloaded without a break."""

    __slots__ = ("_period_by_service",)

    def __init__(self) -> None:
        # Begin of the overload and time of the latest refusal.
        self._period_by_service: dict[str, tuple[float, float]] = {}

    def record_refusal(self, service: str, now: float) -> float:
        """Count a refusal for lack of free slots.

        :returns: seconds for which the service has been overloaded.
        """
        begin, latest = self._period_by_service.get(service, (now, now))
        if now - latest > OVERLOAD_GAP_SECONDS:
            begin = now
        self._period_by_service[service] = begin, now
        return now - begin

    def retain(self, services: Container[str]) -> None:
        """Discard the state of all other services."""
        for name in [name for name in self._period_by_service if name not in services]:
            del self._period_by_service[name]


def reopening_wait_seconds(
    opens_at: float,
    urgency: tuple[int, int],
    deadline: float,
    random: Random,
    now: float,
) -> float:
    """Return the seconds after which a caller refused by a forming group should retry.

    Urgent callers return first, each rank over its part of the time, so that the group
    is not filled by all that were refused meanwhile.

    :param opens_at: time at which the group will be open.
    :param urgency: position of the request's rank among those in use, 0 for the most
        urgent, and their number.
    :param deadline: time until which the caller waits for a response.
    """
    max_wait = _max_wait(deadline, now)
    position, count = urgency
    spread = (position + random.random()) / count * REOPEN_SPREAD_SECONDS
    return min(max_wait, max(0.0, opens_at - now) + spread)


def priority_retry_after_seconds(
    share: float, deadline: float, random: Random, now: float
) -> float:
    """Return the seconds after which a caller refused by its priority should retry.

    :param share: share of the requests of its priority that is admitted.
    :param deadline: time until which the caller waits for a response.
    """
    max_wait = _max_wait(deadline, now)
    low, high = (
        share * short + (1.0 - share) * long
        for short, long in zip(
            SHORT_WAIT_RANGE_SECONDS, LONG_WAIT_RANGE_SECONDS, strict=True
        )
    )
    # The range is scaled and not cut off, so that returns stay spread.
    scale = min(1.0, max_wait / high)
    return random.uniform(low, high) * scale


class RefusedRequests:
    """Remember refused requests and the times at which they were told to return.

    A request that is repeated before that time has no further chance of admission, so
    repeating it at once gains nothing. Requests are recognised by their content, as
    each attempt of a caller has another identifier.
    """

    __slots__ = ("_return_at_by_fingerprint",)

    def __init__(self) -> None:
        self._return_at_by_fingerprint: OrderedDict[str, float] = OrderedDict()

    def record(self, fingerprint: str, return_at: float) -> None:
        """Remember a refusal."""
        table = self._return_at_by_fingerprint
        table.pop(fingerprint, None)
        table[fingerprint] = return_at
        if len(table) > MAX_REFUSED_REQUESTS:
            table.popitem(last=False)

    def seconds_early(self, fingerprint: str, now: float) -> float:
        """Return how much too early a request is repeated, 0 if it is not."""
        return_at = self._return_at_by_fingerprint.get(fingerprint, now)
        early = return_at - now
        return early if early > EARLY_TOLERANCE_SECONDS else 0.0

    def take_return(self, fingerprint: str, now: float) -> bool:
        """Return whether a request returns at its announced time, and forget it."""
        return_at = self._return_at_by_fingerprint.pop(fingerprint, None)
        return return_at is not None and now <= return_at + RETURN_WINDOW_SECONDS
