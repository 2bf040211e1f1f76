"""coordination: which servers this entry cannot connect to at present."""

from dataclasses import dataclass

# A server that cannot be reached is left alone for a time that doubles; a connection
# attempt to it costs a request its whole connect timeout.
FIRST_SECONDS = 0.8
MAX_SECONDS = 3.0


@dataclass(slots=True)
class _Failure:
    until: float
    seconds: float


class ServerReach:
    """Remember failed connection attempts by server."""

    __slots__ = ("_failure_by_name",)

    def __init__(self) -> None:
        self._failure_by_name: dict[str, _Failure] = {}

    def record(self, name: str, reached: bool, now: float) -> bool:
        """Take in the end of a connection attempt; return whether that is news."""
        if reached:
            return self._failure_by_name.pop(name, None) is not None
        failure = self._failure_by_name.get(name)
        if failure is not None and now < failure.until:
            # Attempts that began together count once.
            return False
        seconds = FIRST_SECONDS
        if failure is not None:
            seconds = min(MAX_SECONDS, failure.seconds * 2.0)
        self._failure_by_name[name] = _Failure(now + seconds, seconds)
        return failure is None

    def is_out(self, name: str, now: float) -> bool:
        """Return whether a server is left alone now."""
        failure = self._failure_by_name.get(name)
        return failure is not None and now < failure.until

    def retain(self, names: set[str]) -> None:
        """Forget servers that are gone."""
        for name in [name for name in self._failure_by_name if name not in names]:
            del self._failure_by_name[name]
