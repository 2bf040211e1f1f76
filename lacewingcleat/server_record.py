"""state: what a backend server says of itself in the platform's list."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Describe one backend server.

    :param address: IP and port under which it takes requests.
    :param slots: requests that it runs at once.
    :param leaving: whether it takes no new requests.
    :param started_ms: Unix millisecond of its start, 0 if it does not say; a server
        that starts again under its name has forgotten everything.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    started_ms: int
