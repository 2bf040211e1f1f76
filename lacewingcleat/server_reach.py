"""coordination: back off from servers to which connection attempts have failed."""

from dataclasses import dataclass

# Exponential back-off after failed connection attempts. Each attempt at an unreachable
# server costs a request its whole connect timeout.
FIRST_SECONDS = 0.8
MAX_SECONDS = 3.0


@dataclass(slots=True)
class _Failure:
    until: float
    seconds: float


class ServerReach:
    """Track the back-off of each server with failed connection attempts."""

    __slots__ = ("_failure_by_name",)

    def __init__(self) -> None:
        self._failure_by_name: dict[str, _Failure] = {}

    def record(self, name: str, reached: bool, now: float) -> bool:
        """Record the result of a connection attempt.

        :returns: whether the server has become reachable or unreachable.
        """
        if reached:
            return self._failure_by_name.pop(name, None) is not None
        failure = self._failure_by_name.get(name)
        if failure is not None and now < failure.until:
            # Concurrent attempts that fail together count as one failure.
            return False
        seconds = FIRST_SECONDS
        if failure is not None:
            seconds = min(MAX_SECONDS, failure.seconds * 2.0)
        self._failure_by_name[name] = _Failure(now + seconds, seconds)
        return failure is None

    def is_out(self, name: str, now: float) -> bool:
        """Return whether no connection to a server should be attempted now."""
        failure = self._failure_by_name.get(name)
        return failure is not None and now < failure.until

    def retain(self, names: set[str]) -> None:
        """Remove the state of all other servers."""
        for name in [name for name in self._failure_by_name if name not in names]:
            del self._failure_by_name[name]
