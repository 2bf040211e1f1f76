"""protocol: JSON documents of the platform, which are untrusted input."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")


def decode_json(data: bytes, type_: type[T]) -> Result[T, str]:
    """Decode a document, or return an error message."""
    try:
        return Ok(msgspec.json.decode(data, type=type_))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Err(str(error))
