"""coordination: bounded queue in front of a backend server.

The queue serves the most urgent priority first and, within a priority, the accounts in
turn. It refuses early: work is queued only if the wait expected from the measured
service rate fits its deadline and the longest useful wait. When the queue is full, the
least urgent work makes room for more urgent work.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from enum import Enum
from math import inf

from lacewingcleat.sheet import LEAST_URGENT_PRIORITY

# A caller that waits longer than this for its first token has usually given up: the
# target for the first token is 1.1 s at the 95th percentile.
MAX_WAIT_SECONDS = 1.0
# Each step of priority gives up this share of the longest wait, so that the least
# urgent work is shed while there is still room for the most urgent.
WAIT_SHARE_PER_PRIORITY = 0.08
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 60.0
INITIAL_SERVICE_SECONDS = 0.5
# Weight of the newest service time in the moving average.
SERVICE_TIME_WEIGHT = 0.1
# The arrival rates are measured over periods of this length.
RATE_WINDOW_SECONDS = 1.0
RATE_WEIGHT = 0.5
# Part of the service that is taken to be left over however much arrives.
MIN_SPARE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """Describe a request to a backend server's queue.

    :param priority: 0 is the most urgent.
    :param deadline: latest useful moment on the agent's clock, infinite for none.
    """

    request_id: str
    account: str
    firm: str
    priority: int
    deadline: float


class ShedReason(Enum):
    """Say why the queue did not keep a request."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    DISPLACED = "displaced"


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """Name a request that the queue gave up, as not run.

    :param retry_after_seconds: expected time until the same request would be queued.
    """

    request: QueuedRequest
    reason: ShedReason
    retry_after_seconds: float


def _zero_counts() -> list[int]:
    return [0] * (LEAST_URGENT_PRIORITY + 1)


class _FirmDemand:
    """Count the callers of a firm that were told when to come back, by priority."""

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
        """Count a request towards the rate of its priority."""
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
        """Forget as many callers as were served since, most urgent first."""
        budget = max(0.0, now - self.updated_at) * rate
        self.updated_at = now
        for priority, pending in enumerate(self.pending_retries):
            remaining = max(0.0, pending - budget)
            budget -= pending - remaining
            self.pending_retries[priority] = remaining


class AdmissionQueue:
    """Keep the requests that wait for a slot of one backend server.

    :param slots_of: slots that a firm can expect to use while it has work waiting.
    :param max_waiting: bound on the requests waiting.
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
        # Requests that wait, and callers that were told when to come back, by firm.
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
        """Return the measured mean time that a request holds a slot."""
        return self._service_seconds

    @property
    def waiting_firms(self) -> Collection[str]:
        """Return the firms that have work waiting."""
        return self._waiting_by_firm.keys()

    def service_rate(self, firm: str) -> float:
        """Return the requests a second that the server finishes for a busy firm."""
        return self._slots_of(firm) / self._service_seconds

    def record_service_time(self, seconds: float) -> None:
        """Measure the service time of a request that ran to its end."""
        difference = max(seconds, 1e-3) - self._service_seconds
        self._service_seconds += SERVICE_TIME_WEIGHT * difference

    def expected_wait(self, firm: str, priority: int) -> float:
        """Return the time until a new request would start.

        Only work of the same firm is ahead of it: the claims share out the slots, and
        the work of a borrower must not shed the work of a holder.
        """
        return self._seconds_to_serve(firm, self._count_ahead(firm, priority))

    def max_wait(self, priority: int) -> float:
        """Return the wait beyond which work of a priority is shed."""
        return self._max_wait * (1.0 - WAIT_SHARE_PER_PRIORITY * priority)

    def retry_after(self, firm: str, priority: int, now: float) -> float:
        """Return when a request can expect to be queued.

        It is the time in which the server works off what is queued beyond the longest
        wait of this priority, together with the callers that were told to come back
        before. Each call counts as such a caller, so that callers refused together are
        spread over the time in which the server can take them.
        """
        demand = self._demand_by_firm.setdefault(firm, _FirmDemand(now))
        demand.drain_retries(self.service_rate(firm), now)
        ahead = self._count_ahead(firm, priority) + sum(
            demand.pending_retries[: priority + 1]
        )
        demand.pending_retries[priority] += 1.0
        # What keeps arriving takes service from those that come back.
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
        """Queue a request, or shed it or a less urgent one.

        :returns: what was shed; the request itself is queued if it is not in the list.
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
        """Drop the requests that can no longer meet their deadline."""
        expired = [
            item for item in self._request_by_id.values() if item.deadline <= now
        ]
        for request in expired:
            self.remove(request.request_id)
        return [self._shed(request, ShedReason.DEADLINE, now) for request in expired]

    def take(self, may_start: Callable[[QueuedRequest], bool]) -> QueuedRequest | None:
        """Remove and return the next request that may start.

        :param may_start: whether a request may start now, by claims and slots.
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
        """Remove a request that was cancelled; return it if it was waiting."""
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
        """Remove and return all requests."""
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
        # The holders of the claims use every slot; nothing of this firm will start.
        return inf

    def _find_request_to_displace(self, priority: int) -> QueuedRequest | None:
        for queues in reversed(self._queue_by_account_by_priority[priority + 1 :]):
            if queues:
                # The account with the most waiting gives way, its newest work first.
                return max(queues.values(), key=len)[-1]
        return None

    def _shed(
        self, request: QueuedRequest, reason: ShedReason, now: float
    ) -> ShedRequest:
        seconds = self.retry_after(request.firm, request.priority, now)
        return ShedRequest(request, reason, seconds)
