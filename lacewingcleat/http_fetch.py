"""transport: fetch one document over a connection to a server."""

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
    """Hold an answer that arrived whole; the connection is idle again or closed."""

    status: int
    body: bytes


async def fetch(
    connection: ServerConnection,
    host: str,
    target: bytes,
    seconds: float,
    body: bytes | None = None,
) -> Fetched | str:
    """Return the answer to a request, or why there is none in time.

    :param body: a JSON document to post, none for a GET request.
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
