"""transport: an agent with its listeners, as run by the program and the demo."""

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

    def refresh_metrics(self) -> None:
        """Update the gauges; called before each scrape."""
        super().refresh_metrics()
        self.node.metrics.waiting_requests.set(self.node.gate.waiting)

    async def stop(self) -> None:
        """Refuse new requests, drain the requests in flight, then close.

        The listener stays open during the drain: callers with tickets may query stored
        responses, and new requests must be refused explicitly as not run.
        """
        node = self.node
        self.server.apply_gate_events(node.gate.drain(node.now()))
        node.announce_leaving()
        await super().stop()
