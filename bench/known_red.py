"""Read KNOWN-RED.txt, the list of faults that are known and not yet fixed.

Each entry is one line: `bench: <measure name> | <rest>` or `test: <test id> | <rest>`,
where the rest names the command, the seed, what was seen and the issue.
"""

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
SEPARATOR = " | "


@dataclass(frozen=True, slots=True)
class KnownRed:
    """Hold the names of measures and tests that are expected to fail."""

    measures: frozenset[str]
    tests: frozenset[str]


def read_known_red(path: Path = KNOWN_RED_PATH) -> KnownRed:
    """Return the listed names; a missing file lists none.

    :raises ValueError: for a line of another kind, since a misspelt entry would
        otherwise excuse nothing without anybody noticing.
    """
    names_by_kind: dict[str, set[str]] = {"bench": set(), "test": set()}
    text = path.read_text() if path.exists() else ""
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        kind, colon, rest = line.partition(": ")
        if not colon or kind not in names_by_kind:
            raise ValueError(f"{path.name}:{number}: expected `bench: ` or `test: `")
        names_by_kind[kind].add(rest.partition(SEPARATOR)[0].strip())
    return KnownRed(frozenset(names_by_kind["bench"]), frozenset(names_by_kind["test"]))
