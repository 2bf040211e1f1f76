"""Items of another writer among the records of the servers."""

import json

# Longest value of an item.
MAX_VALUE_BYTES = 1 << 20
_SOUND = {
    "service": "s",
    "address": "127.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1,
}


def _encode(**changes: object) -> bytes:
    return json.dumps({**_SOUND, **changes}).encode()


def _encode_number(name: str, number: str) -> bytes:
    """Encode a record with a number that Python may not be able to write."""
    return _encode(**{name: "NUMBER"}).replace(b'"NUMBER"', number.encode())


# Each names no server.
ODD_VALUE_BY_KIND: dict[str, bytes] = {
    "empty": b"",
    "no JSON": b"\xff\xfe\x00",
    "a list": b"[]",
    "fields missing": b'{"service": "s"}',
    "nested deeply": b"[" * MAX_VALUE_BYTES,
    "nested deeply in a field": b'{"other":' + b"[" * (MAX_VALUE_BYTES - 9),
    "port of superscript digits": _encode(address="127.0.0.9:808\u00b2"),
    "port of many digits": _encode(address="127.0.0.9:" + "8" * 5_000),
    "port out of range": _encode(address="127.0.0.9:65536"),
    "port 0": _encode(address="127.0.0.9:0"),
    "host with a long label": _encode(address="a" * 5_000 + ":80"),
    "host with an empty label": _encode(address="..:80"),
    "state unknown": _encode(state="odd"),
    "service of another type": _encode(service=None),
    "slots of another type": _encode(slots="six"),
    "slots of 401 digits": _encode_number("slots", "9" * 401),
    "slots of 5,000 digits": _encode_number("slots", "9" * 5_000),
    "slots beyond a float": _encode_number("slots", "1e400"),
    "slots negative": _encode(slots=-1),
    "start of 401 digits": _encode_number("born", "9" * 401),
    "start beyond a float": _encode_number("born", "1e400"),
}
