"""transport: an agent with its listeners, as the program and the demo run it."""

from typing import Any

from lacewingcleat.agent_node import AgentNode
from lacewingcleat.agent_server import AgentServer
from lacewingcleat.node_process import NodeProcess
from lacewingcleat.settings import AgentSettings


class AgentProcess(NodeProcess):
    """Run one agent."""

    def __init__(self, reactor: Any, settings: AgentSettings) -> None:
        self.settings = settings
        self.node = AgentNode(reactor, settings)
        self.server = AgentServer(self.node)
        super().__init__(reactor, self.node, self.server)

    def refresh(self) -> None:
        """Copy state into the metrics before they are read."""
        super().refresh()
        self.node.metrics.waiting.set(self.node.gate.waiting)

    async def stop(self) -> None:
        """Refuse new work, finish the requests in flight, then close.

        The listener stays open meanwhile, because callers with tickets may ask for
        stored answers and new requests must be refused as not run.
        """
        node = self.node
        self.server.apply_gate_events(node.gate.drain(node.now()))
        node.set_leaving()
        await super().stop()
