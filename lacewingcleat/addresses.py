"""state: network addresses as text."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an `IP:port` address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
