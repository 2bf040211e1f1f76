"""protocol: encoding of control messages as msgpack.

A frame is an array of the format version and the envelope. Each record is encoded as an
array of its fields in declaration order.
"""

import msgspec
from result import Err, Ok, Result

from lacewingcleat.messages import Envelope

WIRE_VERSION = 1
MAX_FRAME_BYTES = 1 << 20


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    version: int
    envelope: Envelope


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Frame)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as one frame."""
    return _ENCODER.encode(_Frame(WIRE_VERSION, envelope))


def decode(data: bytes) -> Result[Envelope, str]:
    """Decode a frame, or return the reason why it is malformed.

    Frames come from the network, so the type of each field is checked, and no input
    raises an exception.
    """
    if len(data) > MAX_FRAME_BYTES:
        return Err(f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    try:
        frame = _DECODER.decode(data)
    except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as error:
        return Err(f"malformed frame: {error}")
    if frame.version != WIRE_VERSION:
        return Err(f"unsupported wire version {frame.version}")
    return Ok(frame.envelope)
