"""transport: a node with its listeners, and the main function that runs it."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

from pynng.exceptions import AddressInUse
from result import Err, Result
from twisted.internet import defer, reactor

from lacewingcleat.admin_server import AdminServer
from lacewingcleat.allocator import return_large_blocks
from lacewingcleat.findings import Finding
from lacewingcleat.http_server import BoundedFactory
from lacewingcleat.logs import ComponentLogger, configure_logging
from lacewingcleat.node import Node
from lacewingcleat.program import (
    EXIT_CANNOT_LISTEN,
    EXIT_FINDINGS,
    EXIT_USAGE,
    listen,
    make_parser,
    print_findings,
    read_text,
    run_until_stopped,
)
from lacewingcleat.settings import ProcessSettings

Settings = TypeVar("Settings", bound=ProcessSettings)


class RequestServer(Protocol):
    """The HTTP server of a node for requests from callers or entries."""

    factory: BoundedFactory

    @property
    def open_calls(self) -> int:
        """Return the number of open requests."""


class NodeProcess:
    """Run a node with its listeners for requests and administration.

    :param reactor: the Twisted reactor.
    :param server: handles the requests.
    :param explain: explains the routing of a request; None if the node does not route.
    """

    def __init__(
        self,
        reactor: Any,
        node: Node,
        server: RequestServer,
        explain: Callable[[bytes], dict[str, Any]] | None = None,
    ) -> None:
        self._reactor = reactor
        self._base_node = node
        self._base_server = server
        self.admin = AdminServer(
            node.base_metrics.registry,
            node.unready_reason,
            node.status,
            self.refresh_metrics,
            explain,
        )
        self._listeners: list[Any] = []

    def start(self) -> None:
        """Open the listeners and start the control plane."""
        settings = self._base_node.base_settings
        if settings.memory_mb is not None:
            return_large_blocks()
        self._listeners = [
            listen(self._reactor, settings.request_address, self._base_server.factory),
            listen(self._reactor, settings.admin_address, self.admin.factory),
        ]
        self._base_node.start()
        self._base_node.log.info(f"listening on {settings.request_address}.")

    def refresh_metrics(self) -> None:
        """Update the gauges; called before each scrape."""
        self._base_node.refresh_metrics()
        self._base_node.base_metrics.clients.set(self._base_server.factory.budget)
        open_calls = self._base_server.open_calls
        self._base_node.base_metrics.open_requests.set(open_calls)

    def reload(self) -> None:
        """Request the newest sheet."""
        self._base_node.reload()

    async def stop(self) -> None:
        """Drain the requests in flight, then close."""
        await self._base_node.wait_until_idle(lambda: self._base_server.open_calls)
        await self.close()

    async def stop_accepting(self) -> None:
        """Close the listener for requests."""
        await defer.maybeDeferred(self._listeners[0].stopListening)

    async def close(self) -> None:
        """Close the listeners and the node without a drain."""
        for listener in self._listeners:
            await defer.maybeDeferred(listener.stopListening)
        await self._base_node.close()


def run_node(
    program: str,
    description: str,
    load_settings: Callable[[str, str], Result[Settings, list[Finding]]],
    make_process: Callable[[Any, Settings], NodeProcess],
    arguments: Sequence[str] | None,
) -> int:
    """Run a node as a program and return its exit code.

    :param load_settings: decodes settings from a text and the path for its findings.
    :param make_process: creates the process from its settings.
    """
    parser = make_parser(program, description)
    parser.add_argument("settings", metavar="FILE", help="settings, JSON with comments")
    options = parser.parse_args(arguments)
    text = read_text(options.settings)
    if text is None:
        return EXIT_USAGE
    settings_result = load_settings(text, options.settings)
    if isinstance(settings_result, Err):
        print_findings(settings_result.err_value)
        return EXIT_FINDINGS
    settings = settings_result.ok_value
    configure_logging(settings.log_format, settings.log_level)
    try:
        process = make_process(reactor, settings)
    except AddressInUse:
        ComponentLogger(program).error(f"cannot listen on {settings.control_address}.")
        return EXIT_CANNOT_LISTEN
    return run_until_stopped(
        reactor,
        process.start,
        process.stop,
        process.reload,
        ComponentLogger(program),
    )
