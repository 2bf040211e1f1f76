"""protocol: names and values of the HTTP headers used between the processes.

Values come from callers and are untrusted, so no parser raises. Parsers of headers that
can be rejected return a `Result`; the others fall back to a default value.
"""

import re
from enum import Enum

from result import Err, Ok, Result

from lacewingcleat.sheet import LEAST_URGENT_PRIORITY, MOST_URGENT_PRIORITY

AUTHORIZATION = "Authorization"
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"
TRACEPARENT = "traceparent"
TICKET = "Lacewing-Ticket"
DEADLINE_MS = "Lacewing-Deadline-Ms"
PRIORITY = "Lacewing-Priority"
REQUEST_ID = "Lacewing-Request-Id"
ENTRY = "Lacewing-Entry"
ACCOUNT = "Lacewing-Account"
FIRM = "Lacewing-Firm"
REVISION = "Lacewing-Revision"
DIGEST = "Lacewing-Digest"
ROUTING_DIGEST = "Lacewing-Routing-Digest"
GROUP = "Lacewing-Group"
SERVICE = "Lacewing-Service"
RUN_ALONE = "Lacewing-Run-Alone"
RESUME_OFFSET = "Lacewing-Resume-Offset"
FINGERPRINT = "Lacewing-Fingerprint"
# Hashes of the prompt segments that other requests may share, separated by commas.
SEGMENTS = "Lacewing-Segments"
COST_SECONDS = "Lacewing-Cost-Seconds"
# Requests per second that a backend server takes, in its answers while it is in need.
RATE_LIMIT = "Lacewing-Rate-Limit"
# Set to 1 in the responses of an agent that accepts no new work in this run.
SERVER_LEAVING = "Server-Leaving"
OUTCOME = "Lacewing-Outcome"
OUTCOME_CODE = "Lacewing-Outcome-Code"

DEFAULT_DEADLINE_SECONDS = 120.0
MAX_DEADLINE_SECONDS = 3600.0
MAX_IDEMPOTENCY_KEY_LENGTH = 255

_TRACEPARENT_PATTERN = re.compile(r"00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_SEGMENTS_PATTERN = re.compile(r"[0-9a-f]{16}(,[0-9a-f]{16}){0,15}")
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_PRINTABLE_PATTERN = re.compile(r"[\x21-\x7e]+")


class Outcome(Enum):
    """Represent whether a request was executed by a backend server."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


def parse_bearer_key(value: str | None) -> Result[str, str]:
    """Return the API key from the value of an `Authorization: Bearer` header."""
    if value is None:
        return Err("the Authorization header is missing")
    scheme, _, key = value.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return Err("the Authorization header must be 'Bearer KEY'")
    return Ok(key.strip())


def parse_deadline(value: str | None) -> Result[float, str]:
    """Parse the deadline header; return the time limit in seconds."""
    if value is None:
        return Ok(DEFAULT_DEADLINE_SECONDS)
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        return Err(f"{DEADLINE_MS} must be a whole number of milliseconds")
    seconds = int(value) / 1000.0
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        return Err(f"{DEADLINE_MS} must be from 1 to {MAX_DEADLINE_SECONDS * 1000:.0f}")
    return Ok(seconds)


def parse_priority(value: str | None, default: int) -> Result[int, str]:
    """Parse the priority header, where 0 is the most urgent.

    :param default: priority of requests without the header.
    """
    if value is None:
        return Ok(default)
    if len(value) == 1 and value.isascii() and value.isdigit():
        return Ok(int(value))
    return Err(
        f"{PRIORITY} must be from {MOST_URGENT_PRIORITY} to {LEAST_URGENT_PRIORITY}",
    )


def parse_idempotency_key(value: str | None) -> Result[str, str]:
    """Validate the idempotency key; return an empty string if there is none."""
    if value is None:
        return Ok("")
    if len(value) > MAX_IDEMPOTENCY_KEY_LENGTH or not _PRINTABLE_PATTERN.fullmatch(
        value,
    ):
        return Err(
            f"{IDEMPOTENCY_KEY} must be 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} "
            "printable ASCII characters",
        )
    return Ok(value)


def parse_count(value: str | None) -> int:
    """Parse a whole number of at most 18 digits; return 0 for anything else."""
    if value is None or not value.isascii() or not value.isdigit() or len(value) > 18:
        return 0
    return int(value)


def parse_seconds(value: str | None) -> float:
    """Parse a decimal number of seconds; return 0.0 for anything else."""
    if value is None or not _DECIMAL_PATTERN.fullmatch(value):
        return 0.0
    return float(value)


def parse_rate_limit(value: str | None) -> float | None:
    """Return the requests per second that a server takes, none if not limited."""
    if value is None or not _DECIMAL_PATTERN.fullmatch(value):
        return None
    return float(value)


def parse_traceparent(value: str | None) -> str:
    """Return the traceparent, or an empty string if it is missing or malformed.

    A malformed value does not fail the request, as the W3C Trace Context recommendation
    requires.
    """
    if value is None or not _TRACEPARENT_PATTERN.fullmatch(value):
        return ""
    return value


def parse_segments(value: str | None) -> tuple[str, ...]:
    """Return the hashes of the shared prompt segments, none if malformed."""
    if value is None or not _SEGMENTS_PATTERN.fullmatch(value):
        return ()
    return tuple(dict.fromkeys(value.split(",")))
