"""A caller that sees the bytes of a response and the end of its connection."""

import socket

from tests.entry_process import EntryProcess


def call_raw(
    entry: EntryProcess, path: str, version: str, method: str = "GET"
) -> tuple[bytes, bool]:
    """Return the bytes of a response and whether the connection ended cleanly."""
    length = "" if method == "GET" else "Content-Length: 0\r\n"
    with socket.create_connection(("127.0.0.1", entry.port), 10) as caller:
        caller.sendall(
            f"{method} {path} HTTP/{version}\r\nHost: h\r\nX-Request-Id: q\r\n"
            "Authorization: Bearer k\r\nX-Deadline-Milliseconds: 1500\r\n"
            f"{length}Connection: close\r\n\r\n".encode()
        )
        data = b""
        try:
            while more := caller.recv(65_536):
                data += more
        except ConnectionResetError:
            return data, False
    return data, True


def looks_complete(data: bytes, ended_cleanly: bool) -> bool:
    """Return whether a caller would take a response for a complete success."""
    head, _, body = data.partition(b"\r\n\r\n")
    if b" 200 " not in head.partition(b"\r\n")[0]:
        return False
    if b"chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return ended_cleanly
