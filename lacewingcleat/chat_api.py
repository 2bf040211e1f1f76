"""protocol: request bodies and model lists of the model API.

Only the members that routing and limits need are parsed; the body itself is forwarded
unchanged.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec
from result import Err, Ok, Result

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
TICKETS_PATH = "/v1/tickets"
SERVICES_PREFIX = "/services/"

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 512
MAX_TOKENS_LIMIT = 1_000_000
MAX_SEGMENTS = 16


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Represent the members of a request body that routing and limits need.

    :param model: model name without version and adapter.
    :param version: requested version, empty for any.
    :param adapter: requested adapter, empty for none.
    :param prompt_tokens: number of tokens estimated from the length of the prompt.
    :param max_tokens: maximum number of tokens in the response.
    :param prompt_text: text that is hashed for prefix affinity.
    :param session: caller's session name, empty for none.
    :param segments: hashes of the messages that other requests may share.
    """

    model: str
    version: str
    adapter: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    prompt_text: str
    session: str
    segments: tuple[str, ...] = ()


class _RequestBody(msgspec.Struct):
    model: str
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[Any] | None = None
    stream: bool | None = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    user: str | None = None


def parse_completion_request(path: str, body: bytes) -> Result[CompletionRequest, str]:
    """Parse a request body of the model API.

    A model name may carry a version and an adapter as `model@version:adapter`.
    """
    try:
        parsed = msgspec.json.decode(body, type=_RequestBody)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Err(f"the body is not a valid request: {error}")
    text = _prompt_text(path, parsed)
    if text is None:
        required_member = "messages" if path == CHAT_PATH else "prompt"
        return Err(f"the body needs a non-empty '{required_member}' member")
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens or DEFAULT_MAX_TOKENS
    if not 0 < max_tokens <= MAX_TOKENS_LIMIT:
        return Err(f"'max_tokens' must be from 1 to {MAX_TOKENS_LIMIT}")
    name_and_version, _, adapter = parsed.model.partition(":")
    model, _, version = name_and_version.partition("@")
    if not model:
        return Err("the 'model' member is empty")
    return Ok(
        CompletionRequest(
            model,
            version,
            adapter,
            max(1, len(text) // BYTES_PER_TOKEN),
            max_tokens,
            bool(parsed.stream),
            text,
            parsed.user or "",
            _hash_shared_messages(parsed) if path == CHAT_PATH else (),
        ),
    )


def _hash_shared_messages(body: _RequestBody) -> tuple[str, ...]:
    """Return hashes of all messages but the last, which belongs to the request."""
    shared = (body.messages or [])[:-1][:MAX_SEGMENTS]
    hashes = [
        blake2b(_message_text(message).encode(), digest_size=8).hexdigest()
        for message in shared
    ]
    return tuple(dict.fromkeys(hashes))


def _prompt_text(path: str, body: _RequestBody) -> str | None:
    if path == CHAT_PATH:
        if not body.messages:
            return None
        return "\n".join(_message_text(message) for message in body.messages)
    if isinstance(body.prompt, str):
        return body.prompt or None
    if not body.prompt:
        return None
    return "\n".join(str(item) for item in body.prompt)


def _message_text(message: dict[str, Any]) -> str:
    role = message.get("role", "")
    content = message.get("content", "")
    if isinstance(content, str):
        return f"{role}: {content}"
    return f"{role}: {msgspec.json.encode(content).decode()}"


def encode_model_list(names: Iterable[str]) -> bytes:
    """Encode the response to `GET /v1/models`."""
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "lacewingcleat"}
        for name in names
    ]
    return msgspec.json.encode({"object": "list", "data": models})
