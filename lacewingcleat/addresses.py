"""state: network addresses as text."""

import ipaddress
from dataclasses import dataclass

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


@dataclass(frozen=True, slots=True)
class Address:
    """Represent an IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str, min_port: int = 1) -> "Address | None":
        """Parse `IP:port`, with an IPv6 address in brackets; none if malformed."""
        host, _, port = text.rpartition(":")
        if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
            return None
        bracketed = host.startswith("[") and host.endswith("]")
        try:
            ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
        except ValueError:
            return None
        if bracketed != (ip.version == 6) or not min_port <= int(port) <= MAX_PORT:
            return None
        return cls(str(ip), int(port))


def is_address(text: str, min_port: int = 1) -> bool:
    """Return whether a text has the form `IP:port`."""
    return Address.parse(text, min_port) is not None


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an `IP:port` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
