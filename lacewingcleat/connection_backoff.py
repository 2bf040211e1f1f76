"""coordination: which servers this entry cannot connect to at present."""

from dataclasses import dataclass

# A server that cannot be reached is left alone for a time that doubles; a connection
# attempt to it costs a request its whole connect timeout.
FIRST_BACKOFF_SECONDS = 0.8
MAX_BACKOFF_SECONDS = 3.0


@dataclass(slots=True)
class _Backoff:
    until: float
    seconds: float


class ConnectionBackoff:
    """Remember failed connection attempts by server."""

    __slots__ = ("_backoff_by_name",)

    def __init__(self) -> None:
        self._backoff_by_name: dict[str, _Backoff] = {}

    def record_attempt(self, name: str, connected: bool, now: float) -> bool:
        """Take in the end of a connection attempt; return whether that is news."""
        if connected:
            return self._backoff_by_name.pop(name, None) is not None
        backoff = self._backoff_by_name.get(name)
        if backoff is not None and now < backoff.until:
            # Attempts that began together count once.
            return False
        seconds = FIRST_BACKOFF_SECONDS
        if backoff is not None:
            seconds = min(MAX_BACKOFF_SECONDS, backoff.seconds * 2.0)
        self._backoff_by_name[name] = _Backoff(now + seconds, seconds)
        return backoff is None

    def is_backing_off(self, name: str, now: float) -> bool:
        """Return whether a server is left alone now."""
        backoff = self._backoff_by_name.get(name)
        return backoff is not None and now < backoff.until

    def retain(self, names: set[str]) -> None:
        """Forget servers that are gone."""
        for name in [name for name in self._backoff_by_name if name not in names]:
            del self._backoff_by_name[name]
