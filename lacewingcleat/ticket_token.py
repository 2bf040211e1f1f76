"""coordination: encode tickets as tokens that only the issuing agent can create.

Callers and entries pass a token on and cannot modify it unnoticed. An entry decodes it
to find the agent that may run the request; only that agent verifies the authentication
tag.
"""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

import msgpack
from result import Err, Ok, Result

TOKEN_VERSION = 1
TAG_BYTES = 16
ID_BYTES = 16
# No valid token is longer, given the sheet's limits on names. The limit bounds the
# work that a malicious token can cause.
MAX_TOKEN_CHARS = 2_048


@dataclass(frozen=True, slots=True)
class Ticket:
    """Represent the permission to run one request at one agent before it expires.

    :param agent: instance name of the agent that minted the ticket.
    :param address: IP and port of that agent's HTTP listener. An entry must not send
        to this address unchecked, because a caller can forge a token with any address;
        it sends only to the address of `agent` in the sheet.
    :param incarnation: the agent process that minted the ticket.
    :param ticket_id: random bits in hexadecimal.
    :param key: idempotency key that the ticket is bound to, empty for none.
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

    :param secret: the agent's key, generated when its process starts.
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
    """Decode a token without verifying its tag, as entries do."""
    return _decode_content(token).and_then(_parse_ticket)


def verify_ticket(token: str, secret: bytes) -> bool:
    """Return whether the token's tag was computed with this secret."""
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
    # Base64 decoders accept several encodings of the same bytes; accept only one.
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
