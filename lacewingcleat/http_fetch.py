"""transport: fetch one document over an existing connection to a server."""

from dataclasses import dataclass

from lacewingcleat.clock import read_now
from lacewingcleat.server_connection import (
    Broken,
    Finished,
    Head,
    Piece,
    ServerConnection,
)

MAX_DOCUMENT_BYTES = 16 << 20


@dataclass(frozen=True, slots=True)
class Fetched:
    """Represent a complete response; its connection is idle again or closed."""

    status: int
    body: bytes


async def fetch(
    connection: ServerConnection,
    host: str,
    target: bytes,
    seconds: float,
    body: bytes | None = None,
) -> Fetched | str:
    """Send a request and return the response or the reason for the failure.

    The connection is aborted if the response is incomplete, late or too large.

    :param host: value of the `Host` header.
    :param target: path and query of the request.
    :param seconds: time limit until the response is complete.
    :param body: a JSON document to POST; `None` sends a GET request.
    """
    until = read_now() + seconds
    headers = [(b"host", host.encode())]
    if body is None:
        connection.send(b"GET", target, headers, b"")
    else:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", b"%d" % len(body)))
        connection.send(b"POST", target, headers, body)
    status = 0
    pieces: list[bytes] = []
    size = 0
    while True:
        event = await connection.next_event(until - read_now())
        match event:
            case Head(found, _):
                status = found
            case Piece(data):
                pieces.append(data)
                size += len(data)
                if size > MAX_DOCUMENT_BYTES:
                    connection.abort()
                    return "answer too large"
            case Finished():
                if not connection.reusable():
                    connection.abort()
                return Fetched(status, b"".join(pieces))
            case Broken(reason):
                connection.abort()
                return reason
            case _:
                connection.abort()
                return "no answer in time"
