"""state: JSON documents with comments, and the line of each value.

Plain JSON is parsed by the standard library, which takes a few milliseconds for 1 MB.
Documents that the standard library refuses, and the line numbers of findings, come from
the `json5` module, which needs seconds for 1 MB, so its input has a lower limit.
"""

import json
import math
from collections.abc import Iterator
from json import JSONDecodeError
from typing import NoReturn

from json5.model import (
    BooleanLiteral,
    Float,
    Integer,
    JSONArray,
    JSONObject,
    NullLiteral,
    String,
    UnaryOp,
    Value,
)
from json5.parser import JSONParser
from json5.tokenizer import JSON5Token, tokenize
from json5.utils import JSON5DecodeError
from result import Err, Ok, Result

from lacewingcleat.findings import Finding

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# json5 takes some 300 times as long as the standard library, so seconds for 1 MB.
# Larger documents are generated and need no comments.
MAX_COMMENTED_BYTES = 1024 * 1024
# In a larger plain document, findings have a path but no line, because finding the line
# would take longer than everything else.
MAX_LINED_BYTES = 256 * 1024
MAX_DEPTH = 16


class DocumentError(ValueError):
    """Carry the place of an error inside a document."""

    def __init__(self, text: str, path: str = "", line: int = 0) -> None:
        super().__init__(text)
        self.text = text
        self.path = path
        self.line = line


class Document:
    """Hold a parsed document.

    :param value: dicts, lists, strings, numbers, booleans and None.
    :param text: the source text, from which lines are found when asked for.
    """

    __slots__ = ("_line_by_path", "_text", "value")

    def __init__(
        self,
        value: object,
        text: str,
        line_by_path: dict[str, int] | None = None,
    ) -> None:
        self.value = value
        self._text = text
        self._line_by_path = line_by_path

    def line_of(self, path: str) -> int:
        """Return the line of a path, or of its nearest parent; 0 if unknown."""
        if self._line_by_path is None:
            self._line_by_path = _find_lines(self._text)
        while path and path not in self._line_by_path:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self._line_by_path.get(path, 0)


def member_path(path: str, name: str) -> str:
    """Return the path of a member of the object at a path."""
    return f"{path}.{name}" if path else name


def parse_document(
    text: str | bytes,
    source: str,
    max_bytes: int = MAX_DOCUMENT_BYTES,
) -> Result[Document, list[Finding]]:
    """Parse JSON with comments, refusing duplicate keys and deep nesting.

    :param source: name of the document in findings.
    """
    if len(text) > max_bytes:
        limit = f"the document exceeds {max_bytes} bytes"
        return Err([Finding(source, 0, "", limit)])
    try:
        decoded = text.decode() if isinstance(text, bytes) else text
        return Ok(_parse_text(decoded))
    except UnicodeDecodeError as error:
        return Err([Finding(source, 0, "", f"the document is not UTF-8: {error}")])
    except DocumentError as error:
        return Err([Finding(source, error.line, error.path, error.text)])
    except JSONDecodeError as error:
        line = getattr(error, "lineno", 0)
        return Err([Finding(source, line, "", error.msg.splitlines()[0])])
    except RecursionError:
        return Err([Finding(source, 0, "", _too_deep())])
    except Exception as error:  # json5 lets errors of its lexer and of Python escape
        return Err([Finding(source, 0, "", f"the document cannot be parsed: {error}")])


def load_plain_json(text: str | bytes) -> object:
    """Parse plain JSON with the checks of `parse_document`.

    :raises ValueError: if the text is no valid document.
    """
    try:
        value: object = json.loads(
            text,
            object_pairs_hook=_unique_members,
            parse_constant=_refuse_constant,
            parse_float=_finite_float,
        )
    except RecursionError:
        raise DocumentError(_too_deep()) from None
    _check_depth(value)
    return value


def _parse_text(text: str) -> Document:
    try:
        return Document(load_plain_json(text), text)
    except JSONDecodeError as error:
        if len(text) > MAX_COMMENTED_BYTES:
            raise DocumentError(
                f"{error.msg}; a document of over {MAX_COMMENTED_BYTES} bytes must be"
                " plain JSON without comments",
                line=error.lineno,
            ) from None
    except DocumentError as error:
        # The second parser knows the line of the error.
        if len(text) > MAX_LINED_BYTES:
            raise
        _load_with_lines(text)
        raise error
    value, line_by_path = _load_with_lines(text)
    return Document(value, text, line_by_path)


def _unique_members(pairs: list[tuple[str, object]]) -> dict[str, object]:
    members = dict(pairs)
    if len(members) == len(pairs):
        return members
    seen: set[str] = set()
    for name, _value in pairs:
        if name in seen:
            raise DocumentError(f"duplicate key {name!r}")
        seen.add(name)
    return members


def _refuse_constant(name: str) -> NoReturn:
    raise DocumentError(f"{name} is not a number of JSON")


def _finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise DocumentError(f"the number {text[:40]} is out of range")
    return value


def _too_deep() -> str:
    return f"values are nested more than {MAX_DEPTH} deep"


def _check_depth(value: object) -> None:
    level: list[object] = [value]
    for _depth in range(MAX_DEPTH):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return
    raise DocumentError(_too_deep())


def _children(value: object) -> Iterator[object]:
    if isinstance(value, dict):
        yield from value.values()
    elif isinstance(value, list):
        yield from value


def _find_lines(text: str) -> dict[str, int]:
    if len(text) > MAX_LINED_BYTES:
        return {}
    try:
        return _load_with_lines(text)[1]
    except Exception:  # the value is known to be valid; only its lines are missing
        return {}


def _load_with_lines(text: str) -> tuple[object, dict[str, int]]:
    line_by_path: dict[str, int] = {}
    parser = JSONParser()
    parser.errors = _FirstError()
    model = parser.parse(_bounded_tokens(text))
    value = _load_node(model.value, "", 0, line_by_path)
    return value, line_by_path


class _FirstError(list[JSON5DecodeError]):
    """Raise the first error of the parser.

    The parser would go on and collect errors, each at the cost of a pass over the text;
    40 kB of stray words took a second.
    """

    def append(self, error: JSON5DecodeError) -> None:
        raise error


def _bounded_tokens(text: str) -> Iterator[JSON5Token]:
    """Refuse deep nesting before the parser, which takes quadratic time for it."""
    depth = 0
    for token in tokenize(text):
        if token.type in ("LBRACE", "LBRACKET"):
            depth += 1
        elif token.type in ("RBRACE", "RBRACKET"):
            depth -= 1
        if depth > MAX_DEPTH:
            raise DocumentError(_too_deep(), line=token.lineno)
        yield token


def _load_node(
    node: Value,
    path: str,
    depth: int,
    line_by_path: dict[str, int],
) -> object:
    line = node.lineno or 0
    line_by_path.setdefault(path, line)
    if depth >= MAX_DEPTH:
        raise DocumentError(_too_deep(), path, line)
    match node:
        case JSONObject():
            return _load_object(node, path, depth, line_by_path)
        case JSONArray():
            return [
                _load_node(child, f"{path}[{index}]", depth + 1, line_by_path)
                for index, child in enumerate(node.values)
            ]
        case String():
            return _join_surrogates(str(node.characters))
        case BooleanLiteral():
            return bool(node.value)
        case NullLiteral():
            return None
        case Integer():
            return int(node.value)
        case Float():
            return _finite(float(node.value), path, line)
        case UnaryOp(op=op, value=Integer() | Float() as number):
            sign = -1 if op == "-" else 1
            return sign * _finite(number.value, path, line)
        case _:
            raise DocumentError("a number must be finite", path, line)


def _join_surrogates(text: str) -> str:
    """Join surrogate pairs, which json5 leaves apart in `\\u` escapes."""
    if text.isascii():
        return text
    return text.encode("utf-16", "surrogatepass").decode("utf-16", "surrogatepass")


def _finite(value: int | float, path: str, line: int) -> int | float:
    if isinstance(value, float) and not math.isfinite(value):
        raise DocumentError("a number must be finite", path, line)
    return value


def _load_object(
    node: JSONObject,
    path: str,
    depth: int,
    line_by_path: dict[str, int],
) -> dict[str, object]:
    members: dict[str, object] = {}
    for key, child in node.key_value_pairs:
        text = getattr(key, "characters", None) or getattr(key, "name", "")
        name = _join_surrogates(str(text))
        place = member_path(path, name)
        if name in members:
            raise DocumentError(f"duplicate key {name!r}", place, key.lineno or 0)
        line_by_path[place] = key.lineno or 0
        members[name] = _load_node(child, place, depth + 1, line_by_path)
    return members
