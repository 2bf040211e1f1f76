"""coordination: bounded admission queue in front of a backend server.

The queue serves the most urgent priority first and, within a priority, the accounts in
rotation. It sheds early: a request is queued only if the wait, as expected from the
measured service rate, fits its deadline and the longest useful wait. When the queue is
full, the least urgent request is displaced by a more urgent one.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from enum import Enum
from math import inf

from lacewingcleat.sheet import LEAST_URGENT_PRIORITY

# Callers that wait longer than this for their first token have usually given up; the
# target for the time to first token is 1.1 s at the 95th percentile.
MAX_WAIT_SECONDS = 1.0
# Fraction by which the longest wait is reduced per priority level, so that the least
# urgent work is shed while the queue still accepts the most urgent.
WAIT_SHARE_PER_PRIORITY = 0.08
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 60.0
INITIAL_SERVICE_SECONDS = 0.5
# Weight of the newest service time in the exponential moving average.
SERVICE_TIME_WEIGHT = 0.1
# Window over which arrival rates are measured.
RATE_WINDOW_SECONDS = 1.0
RATE_WEIGHT = 0.5
# Minimum fraction of the service rate that is assumed to be left for retries, whatever
# the arrival rate.
MIN_SPARE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Describe a request in a backend server's queue.

    :param priority: 0 is the most urgent.
    :param deadline: time on the agent's clock after which a response is useless,
        infinite for none.
    """

    request_id: str
    account: str
    firm: str
    priority: int
    deadline: float


class ShedReason(Enum):
    """Represent why the queue shed a request."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """Report that the queue shed a request, which was not run.

    :param retry_after_seconds: expected time after which the request would be queued.
    """

    request: QueuedRequest
    reason: ShedReason
    retry_after_seconds: float


def _zero_counts() -> list[int]:
    return [0] * (LEAST_URGENT_PRIORITY + 1)


class _FirmDemand:
    """Estimate the arrivals and the pending retries of a firm, by priority.

    A pending retry belongs to a caller that was refused with a retry-after time and is
    expected to return.
    """

    __slots__ = (
        "arrival_rates",
        "arrivals",
        "pending_retries",
        "updated_at",
        "window_started_at",
    )

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.window_started_at = now
        self.arrivals = _zero_counts()
        self.arrival_rates = [0.0] * (LEAST_URGENT_PRIORITY + 1)
        self.pending_retries = [0.0] * (LEAST_URGENT_PRIORITY + 1)

    def record_arrival(self, priority: int, now: float) -> None:
        """Count a request towards the arrival rate of its priority."""
        seconds = now - self.window_started_at
        if seconds >= RATE_WINDOW_SECONDS:
            for index, count in enumerate(self.arrivals):
                self.arrival_rates[index] += RATE_WEIGHT * (
                    count / seconds - self.arrival_rates[index]
                )
            self.arrivals = _zero_counts()
            self.window_started_at = now
        self.arrivals[priority] += 1

    def drain_retries(self, rate: float, now: float) -> None:
        """Remove the retries served since the last call, the most urgent first."""
        budget = max(0.0, now - self.updated_at) * rate
        self.updated_at = now
        for priority, pending in enumerate(self.pending_retries):
            remaining = max(0.0, pending - budget)
            budget -= pending - remaining
            self.pending_retries[priority] = remaining


class AdmissionQueue:
    """Queue requests until a slot of one backend server is free.

    :param slots_of: returns the slots that a firm can expect to use while it has
        requests waiting.
    :param max_waiting: maximum number of queued requests.
    :param max_wait_seconds: longest useful wait of the most urgent priority.
    """

    __slots__ = (
        "_demand_by_firm",
        "_max_wait",
        "_max_waiting",
        "_queue_by_account_by_priority",
        "_request_by_id",
        "_service_seconds",
        "_slots_of",
        "_waiting_by_firm",
    )

    def __init__(
        self,
        slots_of: Callable[[str], int],
        max_waiting: int = 1024,
        max_wait_seconds: float = MAX_WAIT_SECONDS,
    ) -> None:
        self._slots_of = slots_of
        self._max_waiting = max_waiting
        self._max_wait = max_wait_seconds
        self._service_seconds = INITIAL_SERVICE_SECONDS
        # For each firm, the number of queued requests by priority.
        self._waiting_by_firm: dict[str, list[int]] = {}
        self._demand_by_firm: dict[str, _FirmDemand] = {}
        self._request_by_id: dict[str, QueuedRequest] = {}
        self._queue_by_account_by_priority: list[
            OrderedDict[str, deque[QueuedRequest]]
        ] = [OrderedDict() for _ in range(LEAST_URGENT_PRIORITY + 1)]

    def __len__(self) -> int:
        return len(self._request_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._request_by_id

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._request_by_id.values()))

    @property
    def service_seconds(self) -> float:
        """Return the moving average of the time that a request occupies a slot."""
        return self._service_seconds

    @property
    def waiting_firms(self) -> Collection[str]:
        """Return the firms that have queued requests."""
        return self._waiting_by_firm.keys()

    def service_rate(self, firm: str) -> float:
        """Return the requests per second that the server completes for a firm.

        The rate applies while the firm has requests waiting.
        """
        return self._slots_of(firm) / self._service_seconds

    def record_service_time(self, seconds: float) -> None:
        """Add the service time of a completed request to the moving average."""
        difference = max(seconds, 1e-3) - self._service_seconds
        self._service_seconds += SERVICE_TIME_WEIGHT * difference

    def expected_wait(self, firm: str, priority: int) -> float:
        """Return the expected time until a new request would start.

        Only requests of the same firm count as ahead of it. Slots are divided by the
        claims of firms, and requests of a firm that borrows slots must not cause
        requests of the firm that holds the claim to be shed.
        """
        return self._seconds_to_serve(firm, self._count_ahead(firm, priority))

    def max_wait(self, priority: int) -> float:
        """Return the expected wait above which requests of a priority are shed."""
        return self._max_wait * (1.0 - WAIT_SHARE_PER_PRIORITY * priority)

    def retry_after(self, firm: str, priority: int, now: float) -> float:
        """Return the seconds after which a retry of a request is likely to be queued.

        This is the time that the server needs for the excess over the longest wait of
        this priority, where earlier refused callers that will retry count as queued.
        Each call adds one such caller, so that the retries of callers refused together
        are spread over the time in which the server can accept them.
        """
        demand = self._demand_by_firm.setdefault(firm, _FirmDemand(now))
        demand.drain_retries(self.service_rate(firm), now)
        ahead = self._count_ahead(firm, priority) + sum(
            demand.pending_retries[: priority + 1]
        )
        demand.pending_retries[priority] += 1.0
        # New arrivals use a part of the service rate, which retries cannot use.
        rate = self.service_rate(firm)
        arrival_rate = min(
            sum(demand.arrival_rates[: priority + 1]), rate * (1.0 - MIN_SPARE_SHARE)
        )
        spare_share = 1.0 - arrival_rate / rate if rate > 0.0 else 1.0
        max_wait = self.max_wait(priority)
        excess = (self._seconds_to_serve(firm, ahead) - max_wait) / spare_share
        seconds = max(
            excess, self._seconds_to_serve(firm, 1.0), MIN_RETRY_AFTER_SECONDS
        )
        return min(seconds, MAX_RETRY_AFTER_SECONDS)

    def offer(self, request: QueuedRequest, now: float) -> list[ShedRequest]:
        """Queue a request, or shed it, or displace a less urgent one.

        :returns: the shed requests; if the request itself is not among them, it was
            queued.
        """
        demand = self._demand_by_firm.setdefault(request.firm, _FirmDemand(now))
        demand.record_arrival(request.priority, now)
        wait = self.expected_wait(request.firm, request.priority)
        if now + wait >= request.deadline:
            return [self._shed(request, ShedReason.DEADLINE, now)]
        if wait > self.max_wait(request.priority):
            return [self._shed(request, ShedReason.OVERLOAD, now)]
        shed: list[ShedRequest] = []
        if len(self) >= self._max_waiting:
            victim = self._find_request_to_displace(request.priority)
            if victim is None:
                return [self._shed(request, ShedReason.OVERLOAD, now)]
            self.remove(victim.request_id)
            shed.append(self._shed(victim, ShedReason.DISPLACED, now))
        queues = self._queue_by_account_by_priority[request.priority]
        queues.setdefault(request.account, deque()).append(request)
        self._request_by_id[request.request_id] = request
        counts = self._waiting_by_firm.setdefault(request.firm, _zero_counts())
        counts[request.priority] += 1
        return shed

    def drop_expired(self, now: float) -> list[ShedRequest]:
        """Remove and shed the requests whose deadline has passed."""
        expired = [
            item for item in self._request_by_id.values() if item.deadline <= now
        ]
        for request in expired:
            self.remove(request.request_id)
        return [self._shed(request, ShedReason.DEADLINE, now) for request in expired]

    def take(self, may_start: Callable[[QueuedRequest], bool]) -> QueuedRequest | None:
        """Remove and return the next request that may start, if any.

        :param may_start: returns whether claims and free slots let a request start.
        """
        for queues in self._queue_by_account_by_priority:
            for account, queue in queues.items():
                if not may_start(queue[0]):
                    continue
                request = queue[0]
                queues.move_to_end(account)
                self.remove(request.request_id)
                return request
        return None

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request, for example a cancelled one; return it if it was queued."""
        request = self._request_by_id.pop(request_id, None)
        if request is None:
            return None
        queues = self._queue_by_account_by_priority[request.priority]
        queue = queues[request.account]
        queue.remove(request)
        if not queue:
            del queues[request.account]
        counts = self._waiting_by_firm[request.firm]
        counts[request.priority] -= 1
        if not any(counts):
            del self._waiting_by_firm[request.firm]
        return request

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all queued requests."""
        waiting = list(self._request_by_id.values())
        for request in waiting:
            self.remove(request.request_id)
        return waiting

    def _count_ahead(self, firm: str, priority: int) -> int:
        return sum(self._waiting_by_firm.get(firm, ())[: priority + 1])

    def _seconds_to_serve(self, firm: str, requests: float) -> float:
        rate = self.service_rate(firm)
        if rate > 0.0:
            return requests / rate
        # Firms with claims occupy every slot, so no request of this firm will start.
        return inf

    def _find_request_to_displace(self, priority: int) -> QueuedRequest | None:
        for queues in reversed(self._queue_by_account_by_priority[priority + 1 :]):
            if queues:
                # Selects the newest request of the account with the longest queue.
                return max(queues.values(), key=len)[-1]
        return None

    def _shed(
        self, request: QueuedRequest, reason: ShedReason, now: float
    ) -> ShedRequest:
        seconds = self.retry_after(request.firm, request.priority, now)
        return ShedRequest(request, reason, seconds)
