"""coordination: notice servers that may be cold by the first events of their streams.

A server may become cold without a new record in the store. Its streams then begin much
later than those of other servers of its service. A load that slows all servers down
raises the figure that they are compared with, so it makes none of them suspect.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from statistics import median

# Recent first events of a service that are compared, and how old they may be.
MAX_TIMES = 64
MAX_AGE_SECONDS = 30.0
# Fewest first events of other servers from which a typical time follows.
MIN_TIMES = 16
# Multiple of the typical time of other servers from which a first event is slow, and
# number of slow ones in a row. Two long prompts in a row at one server are rare.
SLOW_FACTOR = 3.0
MIN_SLOW = 2


@dataclass(frozen=True, slots=True)
class _FirstEvent:
    server: str
    seconds: float
    at: float


@dataclass(slots=True)
class _Service:
    events: deque[_FirstEvent] = field(default_factory=lambda: deque(maxlen=MAX_TIMES))
    slow_count_by_server: dict[str, int] = field(default_factory=dict)


class SlowFirstEvents:
    """Compare the times to the first event of a service's servers."""

    __slots__ = ("_service_by_name",)

    def __init__(self) -> None:
        self._service_by_name: dict[str, _Service] = {}

    def record(self, service: str, server: str, seconds: float, now: float) -> bool:
        """Record the time to a first event and return whether its server may be cold.

        :param seconds: time from sending the request.
        """
        known = self._service_by_name.setdefault(service, _Service())
        others = [
            event.seconds
            for event in known.events
            if event.server != server and now - event.at <= MAX_AGE_SECONDS
        ]
        known.events.append(_FirstEvent(server, seconds, now))
        is_slow = len(others) >= MIN_TIMES and seconds >= SLOW_FACTOR * median(others)
        if not is_slow:
            known.slow_count_by_server.pop(server, None)
            return False
        count = known.slow_count_by_server.get(server, 0) + 1
        known.slow_count_by_server[server] = count
        return count >= MIN_SLOW

    def retain(self, servers: Collection[str]) -> None:
        """Discard the counts of all servers but these."""
        for known in self._service_by_name.values():
            for server in set(known.slow_count_by_server).difference(servers):
                del known.slow_count_by_server[server]
