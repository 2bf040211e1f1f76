"""transport: a small plain service for demos and tests.

It counts how often each body was executed, so that a test can see a call that ran
twice.
"""

from typing import Any

import msgspec
from twisted.internet import defer, task

from lacewingcleat.http_server import BoundedFactory, BoundedRequest

JSON = "application/json"


class ServiceStandIn:
    """Execute calls and count them by body.

    :param reactor: the loop.
    :param delay_seconds: time that a call takes.
    """

    def __init__(
        self,
        reactor: Any,
        name: str = "service",
        delay_seconds: float = 0.0,
    ) -> None:
        self.name = name
        self.delay_seconds = delay_seconds
        self.count_by_call: dict[str, int] = {}
        self._reactor = reactor
        self.factory = BoundedFactory(self.handle)

    def handle(self, request: BoundedRequest) -> None:
        """Execute one call."""
        path = request.path_text()
        if request.method == b"GET" and path == "/executions":
            self._respond(request, self.count_by_call)
            return
        body = request.body.getvalue()
        call = f"{request.method.decode()} {path} {body.decode('utf-8', 'replace')}"
        self.count_by_call[call] = self.count_by_call.get(call, 0) + 1
        answer = {"service": self.name, "path": path, "run": self.count_by_call[call]}
        waiting: defer.Deferred[None] = task.deferLater(
            self._reactor,
            self.delay_seconds,
            lambda: self._respond(request, answer),
        )
        waiting.addErrback(lambda _: None)

    def _respond(self, request: BoundedRequest, document: object) -> None:
        request.respond(200, JSON, msgspec.json.encode(document))
