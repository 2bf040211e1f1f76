"""transport: fetch one document over an existing connection to a server."""

from dataclasses import dataclass, field

from lacewingcleat.clock import read_now
from lacewingcleat.response_buffers import ResponseBuffers
from lacewingcleat.server_connection import (
    BodyChunk,
    Headers,
    ResponseComplete,
    ResponseFailed,
    ResponseHead,
    ServerConnection,
    find_header,
)

MAX_DOCUMENT_BYTES = 16 << 20
# Limit of a document of a backend server. The counts of 256 experts in 100 layer sets
# take about 300 KB.
MAX_SERVER_DOCUMENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """Represent a complete response; its connection is idle again or closed."""

    status: int
    body: bytes
    headers: Headers = field(default_factory=list)

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; names are in lower case."""
        return find_header(self.headers, name)


async def fetch(
    connection: ServerConnection,
    host: str,
    target: bytes,
    timeout_seconds: float,
    body: bytes | None = None,
    max_bytes: int = MAX_DOCUMENT_BYTES,
    buffers: ResponseBuffers | None = None,
) -> FetchedResponse | str:
    """Send a request and return the response or the reason for the failure.

    The connection is aborted if the response is incomplete, late or too large.

    :param host: value of the `Host` header.
    :param target: path and query of the request.
    :param timeout_seconds: time limit until the response is complete.
    :param body: a JSON document to POST; `None` sends a GET request.
    :param max_bytes: limit of the body of the response.
    :param buffers: bound of all responses that are read at the same time.
    """
    deadline = read_now() + timeout_seconds
    headers = [(b"host", host.encode())]
    if body is None:
        connection.send(b"GET", target, headers, b"")
    else:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", b"%d" % len(body)))
        connection.send(b"POST", target, headers, body)
    buffers = buffers or ResponseBuffers()
    status = 0
    response_headers: Headers = []
    content = bytearray()
    try:
        while True:
            event = await connection.next_event(deadline - read_now())
            match event:
                case ResponseHead(received_status, received_headers):
                    status, response_headers = received_status, received_headers
                case BodyChunk(data):
                    is_too_large = len(content) + len(data) > max_bytes
                    if is_too_large or not buffers.reserve(len(content), len(data)):
                        connection.abort()
                        return "answer too large"
                    content += data
                case ResponseComplete():
                    if not connection.make_idle():
                        connection.abort()
                    return FetchedResponse(status, bytes(content), response_headers)
                case ResponseFailed(reason):
                    connection.abort()
                    return reason
                case _:
                    connection.abort()
                    return "no answer in time"
    finally:
        buffers.release(len(content))
