"""protocol: decoders of the load report and the state of an engine.

Both come from an external process and may be malformed, so no decoder raises.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

MAX_STEP_SECONDS = 3600.0
# Largest count up to which all integers are exact in the floats of load estimates.
MAX_EXACT_COUNT = 1 << 53


class EngineLoad(msgspec.Struct, frozen=True):
    """Represent the fields of an engine's load report that are used.

    :param incarnation: identifies the engine process.
    :param load_by_expert: rows of layer, expert and number of tokens; unvalidated.
    """

    incarnation: str = ""
    step_seconds: Annotated[float, Meta(ge=0, le=MAX_STEP_SECONDS)] = 0.0
    prefill_tokens_per_second: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    kv_free_share: Annotated[float, Meta(ge=0, le=1)] = 0.0
    adapters: tuple[str, ...] = ()
    load_by_expert: tuple[Any, ...] = ()

    def tokens_by_expert(self, layer: int) -> dict[tuple[int, int], int]:
        """Return a layer's token counts by layer and expert; skip malformed rows."""
        return {
            (row[0], row[1]): row[2]
            for row in self.load_by_expert
            if isinstance(row, list)
            and len(row) == 3
            and all(map(_is_valid_count, row))
            and row[0] == layer
        }


def _is_valid_count(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_EXACT_COUNT


def decode_engine_load(content: bytes) -> Result[EngineLoad, str]:
    """Decode the response to `GET /load`, or return the reason why it is invalid."""
    try:
        return Ok(msgspec.json.decode(content, type=EngineLoad))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(str(error))


def decode_engine_incarnation(content: bytes) -> str | None:
    """Return the incarnation in the response to `GET /state`, `None` if malformed."""
    try:
        state = msgspec.json.decode(content, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError):
        return None
    return str(state.get("incarnation", ""))
