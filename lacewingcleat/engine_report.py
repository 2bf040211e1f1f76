"""protocol: the load report and the state of an engine, which may be malformed."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

MAX_STEP_SECONDS = 3600.0
# Whole numbers up to here are exact in the floats of the load estimates.
MAX_EXACT_COUNT = 1 << 53


class EngineLoad(msgspec.Struct, frozen=True):
    """Hold what routing and balancing use of an engine's load report."""

    incarnation: str = ""
    step_seconds: Annotated[float, Meta(ge=0, le=MAX_STEP_SECONDS)] = 0.0
    prefill_tokens_per_second: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    kv_free_share: Annotated[float, Meta(ge=0, le=1)] = 0.0
    adapters: tuple[str, ...] = ()
    load_by_expert: tuple[Any, ...] = ()

    def tokens_by_expert(self, layer: int) -> dict[tuple[int, int], int]:
        """Return the tokens of one layer by expert; malformed rows are dropped."""
        return {
            (row[0], row[1]): row[2]
            for row in self.load_by_expert
            if isinstance(row, list)
            and len(row) == 3
            and all(map(_is_count, row))
            and row[0] == layer
        }


def _is_count(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_EXACT_COUNT


def decode_load(content: bytes) -> Result[EngineLoad, str]:
    """Decode the answer to `GET /load`, or say what is wrong with it."""
    try:
        return Ok(msgspec.json.decode(content, type=EngineLoad))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(str(error))


def decode_incarnation(content: bytes) -> str | None:
    """Return the incarnation in the answer to `GET /state`, None if malformed."""
    try:
        state = msgspec.json.decode(content, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError):
        return None
    return str(state.get("incarnation", ""))
