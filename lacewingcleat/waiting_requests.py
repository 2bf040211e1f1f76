"""coordination: requests that wait in an entry for a free slot.

Answers short moments in which all servers are full although the requests of a priority
are to be admitted. A request waits only as long as its first event can still be in
time, so the queue stays short: its length is bounded by the slots that are expected to
become free for this entry meanwhile.
"""

from dataclasses import dataclass
from typing import Generic, TypeVar

# Maximum number of requests that wait in one entry.
MAX_WAITING = 32
# Weight of the newest value in the moving averages.
AVERAGE_WEIGHT = 0.1
# Multiple of the mean deviation that is added to the mean time to a first event.
DEVIATION_FACTOR = 1.5
# Time to the first event until some have been seen, as a fraction of the objective.
INITIAL_FIRST_EVENT_SHARE = 0.5

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True, eq=False)
class Waiting(Generic[Item]):
    """Represent a waiting request.

    :param rank: urgency, see `Granted.rank`.
    :param latest_start: time after which its first event would be late.
    """

    item: Item
    service: str
    rank: int
    arrived_at: float
    latest_start: float


class FirstEventTimes:
    """Estimate by service how long servers take to the first event of a request."""

    __slots__ = ("_mean_and_deviation_by_service",)

    def __init__(self) -> None:
        self._mean_and_deviation_by_service: dict[str, tuple[float, float]] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record the time from the start of an attempt to its first event."""
        known = self._mean_and_deviation_by_service.get(service)
        mean, deviation = known or (seconds, seconds / 2.0)
        deviation += AVERAGE_WEIGHT * (abs(seconds - mean) - deviation)
        mean += AVERAGE_WEIGHT * (seconds - mean)
        self._mean_and_deviation_by_service[service] = mean, deviation

    def estimate(self, service: str, objective: float) -> float:
        """Return the time within which most first events arrive."""
        known = self._mean_and_deviation_by_service.get(service)
        if known is None:
            return INITIAL_FIRST_EVENT_SHARE * objective
        mean, deviation = known
        return mean + DEVIATION_FACTOR * deviation


class WaitingRequests(Generic[Item]):
    """Queue requests by urgency and arrival."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: list[Waiting[Item]] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def add(self, entry: Waiting[Item], free_rate: float, now: float) -> bool:
        """Queue a request; return false if it would wait in vain.

        :param free_rate: slots a second that become free for this entry's requests.
        """
        ahead = sum(
            other.service == entry.service and other.rank <= entry.rank
            for other in self._waiting
        )
        useful_length = 1.0 + free_rate * (entry.latest_start - now)
        is_useless = entry.latest_start <= now or ahead >= useful_length
        if is_useless or len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append(entry)
        self._waiting.sort(key=lambda other: (other.rank, other.arrived_at))
        return True

    def first(self, service: str) -> Waiting[Item] | None:
        """Return the request of a service that is to be started next."""
        return next((e for e in self._waiting if e.service == service), None)

    def services(self) -> set[str]:
        """Return the services that requests wait for."""
        return {entry.service for entry in self._waiting}

    def remove(self, item: Item) -> bool:
        """Remove a request; return whether it was waiting."""
        kept = [entry for entry in self._waiting if entry.item is not item]
        is_removed = len(kept) < len(self._waiting)
        self._waiting = kept
        return is_removed

    def take_late(self, now: float) -> list[Waiting[Item]]:
        """Remove and return the requests that can no longer be in time."""
        late = [entry for entry in self._waiting if entry.latest_start <= now]
        self._waiting = [entry for entry in self._waiting if entry.latest_start > now]
        return late
