"""protocol: grammar of the heads of HTTP/1.1 responses.

HTTP libraries are lenient: they accept statuses, versions and bytes that a backend
server in trouble sends and that no caller must get. Source: RFC 9110 sections 5.5 and
15, RFC 9112 sections 2.3, 4 and 6.1. As is common, the space before an empty reason may
be missing.
"""

import re
from collections.abc import Iterable

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: " + _TEXT + rb")?")
_FIELD_VALUE = re.compile(_TEXT)
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


def is_status_line(line: bytes) -> bool:
    """Return whether a line without its end begins a response of HTTP/1.x."""
    return _STATUS_LINE.fullmatch(line) is not None


def is_field_value(value: bytes) -> bool:
    """Return whether a value, which may be empty, has no control characters."""
    return _FIELD_VALUE.fullmatch(value) is not None


def has_one_framing(names: Iterable[bytes]) -> bool:
    """Return whether the headers agree on where the body ends.

    A length beside a transfer coding, or two codings, leave open where the next
    response begins. Equal lengths that are repeated do not.

    :param names: names of the headers of one response, in lower case.
    """
    framing = [n for n in names if n in (CONTENT_LENGTH, TRANSFER_ENCODING)]
    return TRANSFER_ENCODING not in framing or len(framing) == 1
