"""transport: HTTP server of the admin port for metrics, health checks and status."""

from collections.abc import Callable
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from lacewingcleat.http_server import BoundedFactory, BoundedRequest

ADMIN_BODY_LIMIT_BYTES = 64 << 10
JSON_CONTENT_TYPE = "application/json"


class AdminServer:
    """Serve requests of operators and of the platform's health checks.

    :param registry: metrics to expose.
    :param not_ready_reason: returns the reason why the process is not ready, empty if
        it is.
    :param status: returns the status document.
    :param refresh_metrics: called to update the metrics before they are exposed.
    :param explain_route: returns the response to `POST /explain`; `None` for
        processes that do not route requests.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        not_ready_reason: Callable[[], str],
        status: Callable[[], dict[str, Any]],
        refresh_metrics: Callable[[], None],
        explain_route: Callable[[bytes], dict[str, Any]] | None = None,
    ) -> None:
        self._registry = registry
        self._not_ready_reason = not_ready_reason
        self._status = status
        self._refresh_metrics = refresh_metrics
        self._explain_route = explain_route
        self.factory = BoundedFactory(self.handle, ADMIN_BODY_LIMIT_BYTES)

    def handle(self, request: BoundedRequest) -> None:
        """Respond to one request."""
        path = request.path_text()
        if request.method == b"POST" and path == "/explain" and self._explain_route:
            document = self._explain_route(request.body.getvalue())
            request.respond(200, JSON_CONTENT_TYPE, msgspec.json.encode(document))
            return
        if request.method not in (b"GET", b"HEAD"):
            request.respond(405, "text/plain", b"method not allowed\n")
            return
        match path:
            case "/metrics":
                self._refresh_metrics()
                exposition = generate_latest(self._registry)
                request.respond(200, CONTENT_TYPE_LATEST, exposition)
            case "/healthz":
                request.respond(200, "text/plain", b"ok\n")
            case "/readyz":
                reason = self._not_ready_reason()
                status = 503 if reason else 200
                text = f"{reason or 'ready'}\n".encode()
                request.respond(status, "text/plain", text)
            case "/status":
                self._refresh_metrics()
                body = msgspec.json.encode(self._status())
                request.respond(200, JSON_CONTENT_TYPE, body)
            case _:
                request.respond(404, "text/plain", b"not found\n")
