"""state: the record with which a backend server registers at the platform."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Describe one backend server.

    :param address: IP and port at which it accepts requests.
    :param slots: maximum number of requests that it runs concurrently.
    :param leaving: whether it is shutting down and accepts no new requests.
    :param started_ms: start of its process in Unix milliseconds, 0 if unknown; a server
        that restarts under the same name has lost its state.
    :param cold_seconds: time for which it was still cold when the record was written.
        Records that differ only in it are equal.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    started_ms: int
    cold_seconds: float = field(default=0.0, compare=False)

    @property
    def incarnation(self) -> str:
        """Return what identifies this run of the server's process."""
        return f"{self.name}:{self.started_ms}"
