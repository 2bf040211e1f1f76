"""coordination: requests per second that servers in need take from all entries."""

from collections.abc import Collection


class ServerRateLimits:
    """Track the limits that servers name in their answers."""

    __slots__ = ("_limit_by_server",)

    def __init__(self) -> None:
        self._limit_by_server: dict[str, float] = {}

    def record_answer(self, server: str, limit: float | None) -> bool:
        """Record the limit named in an answer and return whether it has changed."""
        previous = self._limit_by_server.get(server)
        if limit is None:
            self._limit_by_server.pop(server, None)
        else:
            self._limit_by_server[server] = limit
        return previous != limit

    def retain(self, servers: Collection[str]) -> None:
        """Discard the limits of all servers but these."""
        for server in set(self._limit_by_server).difference(servers):
            del self._limit_by_server[server]
