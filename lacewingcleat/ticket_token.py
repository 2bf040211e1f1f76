"""coordination: encode tickets as tokens that only their agent can make.

A caller and the entries carry a token without being able to change it. An entry reads
it to learn which agent may run the request; only that agent checks the tag.
"""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

import msgpack
from result import Err, Ok, Result

TOKEN_VERSION = 1
TAG_BYTES = 16
ID_BYTES = 16
# Longer than any token from names that the sheet allows; bounds work on hostile ones.
MAX_TOKEN_CHARS = 2_048


@dataclass(frozen=True, slots=True)
class Ticket:
    """Name the one place and time where a request may run.

    :param agent: instance name of the agent that minted it.
    :param address: IP and port of that agent's HTTP listener. An entry sends only to
        an address that it knows for `agent` from the sheet, never to this one
        unchecked, because a caller can make up a token with any address.
    :param incarnation: the agent process that minted it.
    :param ticket_id: random bits as hex.
    :param key: idempotency key to which it is bound, empty for none.
    :param expires: seconds on the agent's clock.
    """

    agent: str
    address: str
    incarnation: str
    ticket_id: str
    service: str
    account: str
    key: str
    expires: float


def encode_ticket(ticket: Ticket, secret: bytes) -> str:
    """Encode a ticket with its authentication tag.

    :param secret: the agent's key, made at its start.
    """
    fields = [
        TOKEN_VERSION,
        ticket.agent,
        ticket.address,
        ticket.incarnation,
        bytes.fromhex(ticket.ticket_id),
        ticket.service,
        ticket.account,
        ticket.key,
        ticket.expires,
    ]
    content: bytes = msgpack.packb(fields)
    return urlsafe_b64encode(content + _tag(content, secret)).rstrip(b"=").decode()


def decode_ticket(token: str) -> Result[Ticket, str]:
    """Decode a token without checking its tag, as entries do."""
    return _decode_content(token).and_then(_parse_ticket)


def verify_ticket(token: str, secret: bytes) -> bool:
    """Return whether the token was sealed with this secret."""
    match _split_token(token):
        case Ok((content, tag)):
            return hmac.compare_digest(tag, _tag(content, secret))
    return False


def _tag(content: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, content, "sha256")[:TAG_BYTES]


def _split_token(token: str) -> Result[tuple[bytes, bytes], str]:
    if len(token) > MAX_TOKEN_CHARS:
        return Err("ticket token is too long")
    try:
        raw = urlsafe_b64decode(token + "=" * (-len(token) % 4))
    except ValueError:
        return Err("ticket token is not base64url")
    # Decoders accept several spellings of the same bytes; only one of them counts.
    if urlsafe_b64encode(raw).rstrip(b"=").decode() != token or len(raw) <= TAG_BYTES:
        return Err("ticket token is not in canonical form")
    return Ok((raw[:-TAG_BYTES], raw[-TAG_BYTES:]))


def _decode_content(token: str) -> Result[bytes, str]:
    return _split_token(token).map(lambda parts: parts[0])


def _parse_ticket(content: bytes) -> Result[Ticket, str]:
    try:
        fields = msgpack.unpackb(content)
    except (ValueError, msgpack.exceptions.UnpackException):
        return Err("ticket token is not msgpack")
    match fields:
        case [
            int(version),
            str(agent),
            str(address),
            str(incarnation),
            bytes(ticket_id),
            str(service),
            str(account),
            str(key),
            float(expires),
        ] if version == TOKEN_VERSION:
            return Ok(
                Ticket(
                    agent,
                    address,
                    incarnation,
                    ticket_id.hex(),
                    service,
                    account,
                    key,
                    expires,
                )
            )
    return Err("ticket token has other fields or another version")
