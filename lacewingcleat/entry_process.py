"""transport: an entry with its listeners, run by `lacewing-entry` and the demo."""

from typing import Any

from twisted.internet import task

from lacewingcleat.entry_node import EntryNode
from lacewingcleat.entry_server import EntryServer
from lacewingcleat.node_process import NodeProcess
from lacewingcleat.settings import EntrySettings

# The platform's load balancer polls /readyz and needs this time to stop sending.
STOP_LISTENING_DELAY_SECONDS = 1.0


class EntryProcess(NodeProcess):
    """Run one entry with its listeners."""

    def __init__(self, reactor: Any, settings: EntrySettings) -> None:
        self.settings = settings
        self.node = EntryNode(reactor, settings)
        self.server = EntryServer(self.node)
        super().__init__(reactor, self.node, self.server, self.node.explain)

    async def stop(self) -> None:
        """Drain the requests in flight, then close.

        Connections end with their next response, as callers that keep them busy would
        keep the entry from stopping.
        """
        self.node.announce_leaving()
        self.server.factory.is_closing = True
        seconds = STOP_LISTENING_DELAY_SECONDS
        await task.deferLater(self._reactor, seconds, lambda: None)
        await self.stop_accepting()
        self.server.factory.close_idle()
        await super().stop()
