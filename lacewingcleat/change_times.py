"""state: how long each stage of a configuration change took.

One figure from publication to force does not tell operators whether the configuration
service, the relays or the fetching of parts is slow, so each stage has its own.
"""

from dataclasses import dataclass

STAGES = ("read", "relay", "accept", "apply")


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
