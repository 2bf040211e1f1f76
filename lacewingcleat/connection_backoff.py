"""coordination: back off from servers to which connection attempts have failed."""

from dataclasses import dataclass

# Exponential back-off after failed connection attempts. Each attempt at an unreachable
# server costs a request its whole connect timeout.
FIRST_BACKOFF_SECONDS = 0.8
MAX_BACKOFF_SECONDS = 3.0


@dataclass(slots=True)
class _Backoff:
    until: float
    seconds: float


class ConnectionBackoff:
    """Track the back-off of each server with failed connection attempts."""

    __slots__ = ("_backoff_by_name",)

    def __init__(self) -> None:
        self._backoff_by_name: dict[str, _Backoff] = {}

    def record_attempt(self, name: str, connected: bool, now: float) -> bool:
        """Record the result of a connection attempt.

        :returns: whether the server has become reachable or unreachable.
        """
        if connected:
            return self._backoff_by_name.pop(name, None) is not None
        backoff = self._backoff_by_name.get(name)
        if backoff is not None and now < backoff.until:
            # Concurrent attempts that fail together count as one failure.
            return False
        seconds = FIRST_BACKOFF_SECONDS
        if backoff is not None:
            seconds = min(MAX_BACKOFF_SECONDS, backoff.seconds * 2.0)
        self._backoff_by_name[name] = _Backoff(now + seconds, seconds)
        return backoff is None

    def is_backing_off(self, name: str, now: float) -> bool:
        """Return whether no connection to a server should be attempted now."""
        backoff = self._backoff_by_name.get(name)
        return backoff is not None and now < backoff.until

    def retain(self, names: set[str]) -> None:
        """Remove the state of all other servers."""
        for name in [name for name in self._backoff_by_name if name not in names]:
            del self._backoff_by_name[name]
