"""transport: an agent with its listeners, as the program and the demo run it."""

from typing import Any

from twisted.internet import defer

from lacewingcleat.admin_server import AdminServer
from lacewingcleat.agent_node import AgentNode
from lacewingcleat.agent_server import AgentServer
from lacewingcleat.program import listen
from lacewingcleat.settings import AgentSettings


class AgentProcess:
    """Run one agent."""

    def __init__(self, reactor: Any, settings: AgentSettings) -> None:
        self._reactor = reactor
        self.settings = settings
        self.node = AgentNode(reactor, settings)
        self.server = AgentServer(self.node)
        self.admin = AdminServer(
            self.node.metrics.registry,
            self.node.ready_reason,
            self.node.status,
            self._refresh,
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
        self.node.log.info(
            f"listening on {settings.request_address} for {settings.server}.",
        )

    def _refresh(self) -> None:
        self.node.refresh_metrics()
        self.node.metrics.open_requests.set(self.server.open_calls)
        self.node.metrics.waiting.set(self.node.gate.waiting)

    async def stop(self) -> None:
        """Refuse new work, finish the requests in flight, then close.

        The listener stays open meanwhile, because callers with tickets may ask for
        stored answers and new requests must be refused as not run.
        """
        node = self.node
        self.server.apply_gate_events(node.gate.drain(node.now()))
        node.set_leaving()
        await node.wait_until_idle(lambda: self.server.open_calls)
        await self.close()

    async def close(self) -> None:
        """Close at once."""
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        await self.node.close()
