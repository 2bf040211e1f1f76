"""protocol: HTTP headers between callers, entries and backend servers."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

AUTHORIZATION = b"authorization"
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-milliseconds"
LAST_EVENT_ID = b"last-event-id"
# Signature by the server that generated the response.
RESPONSE_SIGNATURE = b"x-response-signature"
ACCOUNT = b"x-tenant"
# Name of the server to which the request is addressed; other servers refuse it.
EXPECTED_SERVER = b"x-expect-instance"
EXPECTED_VERSION = b"x-expect-version"
REQUEST_PRIORITY = b"x-request-priority"
# All segments of the prompt in order, not only a prefix, as ID:TOKENS separated by
# commas. The last segment belongs to the request itself or to its session.
PROMPT_SEGMENTS = b"x-prompt-prefix"
# Set on the response to a request that the server refused and has not run.
NOT_RUN = b"x-not-executed"
# Numbers of running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = b"x-server-load"
# Requests per second that a server in need takes from all entries together, named in
# each of its answers for as long as the limit holds.
SERVER_LIMIT = b"server-limit"
# Name of the faulty server if a server refuses because of another rank of its group.
FAULTY_SERVER = b"at-server"
RETRY_AFTER = b"retry-after"
# Set to 1 in the responses of a server that accepts no new requests in this run.
SERVER_LEAVING = b"server-leaving"
STATUS_MISDIRECTED = 421
# Statuses by which callers learn that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, STATUS_MISDIRECTED, 429, 503})
MAX_DEADLINE_MS = 3_600_000
MAX_SHARED_SEGMENTS = 16
MAX_SEGMENT_ID_BYTES = 64
# Headers of callers that are not forwarded: the key must not reach a server, and the
# other headers may only be set by the entry.
DROPPED_HEADERS = frozenset(
    {AUTHORIZATION, ACCOUNT, EXPECTED_SERVER, EXPECTED_VERSION, DEADLINE_MS}
    | {REQUEST_PRIORITY},
)
_DIGITS = re.compile(rb"[0-9]{1,9}")
# Longer numbers than any time are no times.
_RETRY_AFTER = re.compile(rb"[0-9]{1,18}(\.[0-9]{1,18})?")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
# Three counts of up to 9 digits, which load estimates can hold exactly.
_LOAD = re.compile(rb"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Represent the load that a server reports in its responses."""

    running: int
    waiting: int
    slots: int


def parse_server_load(value: bytes | None) -> ReportedLoad | None:
    """Return the reported load, none if it is missing or malformed."""
    found = _LOAD.fullmatch(value or b"")
    if found is None:
        return None
    running, waiting, slots = map(int, found.groups())
    return ReportedLoad(running, waiting, slots)


def parse_deadline_seconds(value: bytes | None) -> float | None:
    """Return how long the caller waits, none if it is not stated or malformed."""
    if value is None or not _DIGITS.fullmatch(value.strip()):
        return None
    return min(int(value), MAX_DEADLINE_MS) / 1000.0


def parse_shared_segments(value: bytes | None) -> tuple[str, ...]:
    """Return the identifiers of the prompt segments that other requests may share.

    Segments with an overlong identifier are left out.
    """
    parts = value.split(b",")[:-1] if value else []
    identifiers = [part.partition(b":")[0].strip().lower() for part in parts]
    return tuple(
        identifier.decode("latin-1")
        for identifier in dict.fromkeys(identifiers[:MAX_SHARED_SEGMENTS])
        if 0 < len(identifier) <= MAX_SEGMENT_ID_BYTES
    )


def says_leaving(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the headers of a response say that its server leaves."""
    return any(
        name == SERVER_LEAVING and value.strip() == b"1" for name, value in headers
    )


def parse_retry_after(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[float | None, str]:
    """Return the seconds after which a server may be asked again, none if not stated.

    Dates are not accepted, as the clocks of servers are not known to be right.
    """
    values = [value.strip() for name, value in headers if name == RETRY_AFTER]
    if not values:
        return Ok(None)
    if len(values) > 1:
        return Err("repeated")
    if not _RETRY_AFTER.fullmatch(values[0]):
        return Err("malformed")
    return Ok(float(values[0]))


def parse_server_limit(value: bytes | None) -> float | None:
    """Return the requests per second that a server takes, none if not limited."""
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    return float(value)
