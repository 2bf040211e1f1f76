"""A bare twisted.web relay, the baseline for the cost of the request path.

It does only what any relay must do: receive a request, send it on over a pooled
connection and write the answer back as it arrives.
"""

import sys
from io import BytesIO
from typing import Any

from twisted.internet import defer, protocol, reactor
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

IDLE_CONNECTIONS = 256
HOP_HEADERS = (b"connection", b"content-length", b"host")
REACTOR: Any = reactor


class _Body(protocol.Protocol):
    def __init__(self, request: Any) -> None:
        self._request = request

    def dataReceived(self, data: bytes) -> None:
        self._request.write(data)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:
        self._request.finish()


class _Relay(Resource):
    isLeaf = True

    def __init__(self, target: str, agent: Any) -> None:
        super().__init__()
        self._target = target
        self._agent = agent

    def render(self, request: Any) -> int:
        defer.ensureDeferred(self._send(request))
        return NOT_DONE_YET

    async def _send(self, request: Any) -> None:
        body = request.content.read()
        headers = request.requestHeaders
        for name in HOP_HEADERS:
            headers.removeHeader(name)
        response = await self._agent.request(
            request.method,
            f"http://{self._target}".encode() + request.uri,
            headers,
            FileBodyProducer(BytesIO(body)) if body else None,
        )
        request.setResponseCode(response.code)
        for name, values in response.headers.getAllRawHeaders():
            request.responseHeaders.setRawHeaders(name, values)
        response.deliverBody(_Body(request))


def main() -> None:
    """Relay from the port given first to the address given second."""
    pool = HTTPConnectionPool(REACTOR)
    pool.maxPersistentPerHost = IDLE_CONNECTIONS
    relay = _Relay(sys.argv[2], Agent(REACTOR, pool=pool))
    REACTOR.listenTCP(int(sys.argv[1]), Site(relay), interface="127.0.0.1")
    REACTOR.run()


if __name__ == "__main__":
    main()
