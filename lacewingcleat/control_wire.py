"""protocol: encoding of control messages as msgpack.

A frame is an array: format version, message type, sender, revision, digest, routing
digest, and the message's fields in their declared order. Field names are left out
because heartbeats are the most frequent messages and names would double their size.
"""

import math
from dataclasses import fields
from typing import Any, get_args

import msgspec
from result import Err, Ok, Result

from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import Envelope, Message

WIRE_VERSION = 1
MAX_FRAME_BYTES = 1 << 20
HEADER_ITEMS = 7

MESSAGE_TYPES: dict[str, type[Any]] = {
    message_type.__name__: message_type for message_type in get_args(Message)
}


FIELD_NAMES: dict[type[Any], tuple[str, ...]] = {
    message_type: tuple(item.name for item in fields(message_type))
    for message_type in MESSAGE_TYPES.values()
}


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as one frame."""
    body = envelope.body
    sender = envelope.sender
    frame = [
        WIRE_VERSION,
        type(body).__name__,
        [sender.instance, sender.incarnation, sender.zone, sender.role.value],
        envelope.revision,
        envelope.digest,
        envelope.routing_digest,
        [getattr(body, name) for name in FIELD_NAMES[type(body)]],
    ]
    return msgspec.msgpack.encode(frame)


def decode(data: bytes) -> Result[Envelope, str]:
    """Decode a frame, or say why it is not one.

    Frames come from the network, so each field's type is checked and numbers must be
    finite; no input raises.
    """
    if len(data) > MAX_FRAME_BYTES:
        return Err(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        frame = msgspec.msgpack.decode(data)
        return _build(frame)
    except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as error:
        return Err(f"malformed frame: {error}")


def _build(frame: Any) -> Result[Envelope, str]:
    if not isinstance(frame, list) or len(frame) != HEADER_ITEMS:
        return Err(f"frame is not an array of {HEADER_ITEMS} items")
    version, type_name, sender, revision, digest, routing_digest, values = frame
    if version != WIRE_VERSION:
        return Err(f"unknown wire version {version!r:.20}")
    message_type = MESSAGE_TYPES.get(type_name) if isinstance(type_name, str) else None
    if message_type is None:
        return Err(f"unknown message type {type_name!r:.40}")
    names = FIELD_NAMES[message_type]
    if not isinstance(values, list) or len(values) != len(names):
        return Err(f"{type_name} needs {len(names)} fields")
    if not _all_finite(values):
        return Err(f"{type_name} holds a number that is not finite")
    body = msgspec.convert(dict(zip(names, values, strict=True)), message_type)
    instance, incarnation, zone, role = msgspec.convert(
        sender,
        tuple[str, str, str, Role],
    )
    return Ok(
        Envelope(
            Peer(instance, incarnation, zone, role),
            msgspec.convert(revision, int),
            msgspec.convert(digest, str),
            body,
            msgspec.convert(routing_digest, str),
        ),
    )


def _all_finite(value: Any) -> bool:
    match value:
        case float():
            return math.isfinite(value)
        case list() | tuple():
            return all(_all_finite(item) for item in value)
        case dict():
            return all(_all_finite(item) for item in value.values())
        case _:
            return True
