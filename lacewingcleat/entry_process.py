"""transport: an entry with its listeners, as the program and the demo run it."""

from typing import Any

from twisted.internet import defer, task

from lacewingcleat.admin_server import AdminServer
from lacewingcleat.entry_node import EntryNode
from lacewingcleat.entry_server import EntryServer
from lacewingcleat.program import listen
from lacewingcleat.settings import EntrySettings

# The platform's balancer reads /readyz; it needs this time to stop sending.
STOP_LISTENING_AFTER_SECONDS = 1.0


class EntryProcess:
    """Run one entry."""

    def __init__(self, reactor: Any, settings: EntrySettings) -> None:
        self._reactor = reactor
        self.settings = settings
        self.node = EntryNode(reactor, settings)
        self.server = EntryServer(self.node)
        self.admin = AdminServer(
            self.node.metrics.registry,
            self.node.ready_reason,
            self.node.status,
            self._refresh,
            self.node.explain,
        )
        self._ports: list[Any] = []

    def start(self) -> None:
        """Open the listeners and start the control plane."""
        settings = self.settings
        self._ports = [
            listen(self._reactor, settings.request_address, self.server.factory),
            listen(self._reactor, settings.admin_address, self.admin.factory),
        ]
        self.node.start()
        self.node.log.info(f"listening on {settings.request_address}.")

    def _refresh(self) -> None:
        self.node.refresh_metrics()
        self.node.metrics.open_requests.set(self.server.open_calls)

    async def stop(self) -> None:
        """Finish the requests in flight, then close."""
        self.node.set_leaving()
        await task.deferLater(
            self._reactor,
            STOP_LISTENING_AFTER_SECONDS,
            lambda: None,
        )
        await defer.maybeDeferred(self._ports[0].stopListening)
        await self.node.wait_until_idle(lambda: self.server.open_calls)
        await self.close()

    async def close(self) -> None:
        """Close at once."""
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        await self.node.close()
