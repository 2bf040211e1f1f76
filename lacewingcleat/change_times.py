"""state: how long each stage of a configuration change took.

One figure from publication to force does not tell operators whether the configuration
service, the relays or the fetching of parts is slow, so each stage has its own.
"""

from collections import deque
from dataclasses import dataclass, replace

STAGES = ("read", "relay", "accept", "apply")
KEPT_CHANGES = 32


@dataclass(frozen=True, slots=True)
class ChangeTimes:
    """Hold the delays of one revision at one process, in seconds.

    :param read: from publication until a reader had it, as the service says.
    :param relay: from then until this process heard of it, without network time.
    :param accept: from then until the parts were complete and the check had passed.
    :param apply: from then until the process reported the sheet in force.
    """

    revision: int
    read: float
    relay: float
    accept: float
    apply: float = 0.0

    @property
    def total(self) -> float:
        """Return the time from publication until the sheet was in force."""
        return self.read + self.relay + self.accept + self.apply


class ChangeLog:
    """Keep the delays of the last revisions."""

    __slots__ = ("_accepted_at", "_changes")

    def __init__(self) -> None:
        self._changes: deque[ChangeTimes] = deque(maxlen=KEPT_CHANGES)
        self._accepted_at = 0.0

    @property
    def recent(self) -> tuple[ChangeTimes, ...]:
        """Return the delays, those of the newest revision last."""
        return tuple(self._changes)

    def accepted(self, times: ChangeTimes, now: float) -> None:
        """Record a revision that has passed the check."""
        self._changes.append(times)
        self._accepted_at = now

    def applied(self, revision: int, now: float) -> ChangeTimes | None:
        """Record that the process uses a revision, and return its delays."""
        if not self._changes or self._changes[-1].revision != revision:
            return None
        apply = max(now - self._accepted_at, 0.0)
        self._changes[-1] = replace(self._changes[-1], apply=apply)
        return self._changes[-1]
