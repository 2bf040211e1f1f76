"""state: duration of each stage of a configuration change.

The total time from publication until the sheet is in force does not show whether the
configuration service, the relays or the fetching of parts is slow, so each stage is
measured separately.
"""

from collections import deque
from dataclasses import dataclass, replace

STAGES = ("read", "relay", "accept", "apply")
MAX_RETAINED_CHANGES = 32


@dataclass(frozen=True, slots=True)
class ChangeTimes:
    """Represent the stage delays of one revision in one process, in seconds.

    :param read: from publication until a reader received it, as the service reports.
    :param relay: from then until this process received the manifest, without the time
        on the network.
    :param accept: from then until all parts were fetched and validated.
    :param apply: from then until the process confirmed that it uses the sheet.
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


class ChangeHistory:
    """Retain the stage delays of the most recent revisions."""

    __slots__ = ("_accepted_at", "_changes")

    def __init__(self) -> None:
        self._changes: deque[ChangeTimes] = deque(maxlen=MAX_RETAINED_CHANGES)
        self._accepted_at = 0.0

    @property
    def recent(self) -> tuple[ChangeTimes, ...]:
        """Return the stage delays, oldest revision first."""
        return tuple(self._changes)

    def record_accepted(self, times: ChangeTimes, now: float) -> None:
        """Record a revision that has passed validation."""
        self._changes.append(times)
        self._accepted_at = now

    def record_applied(self, revision: int, now: float) -> ChangeTimes | None:
        """Record that the process has applied a revision.

        :return: its stage delays, None if it is not the last recorded revision.
        """
        if not self._changes or self._changes[-1].revision != revision:
            return None
        apply = max(now - self._accepted_at, 0.0)
        self._changes[-1] = replace(self._changes[-1], apply=apply)
        return self._changes[-1]
