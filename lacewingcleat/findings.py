"""state: findings, which are errors in documents with their location.

A check reports all findings at once, so that operators can fix a document in one pass.
"""

from collections.abc import Callable
from dataclasses import dataclass

# Prevents a hostile document from filling memory and logs. Operators can fix the
# reported findings and check again.
MAX_FINDINGS = 200


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """Represent an error in a document.

    :param source: file name or another name of the document.
    :param line: line number from 1, 0 if unknown.
    :param path: path in the document, such as `client_accounts[2].firm`.
    :param text: description of the error or of the expected value.
    """

    source: str
    line: int
    path: str
    text: str

    def __str__(self) -> str:
        """Format the finding as `source:line: path: text`."""
        return f"{self.source}:{self.line}: {self.path}: {self.text}"


def _unknown_line(path: str) -> int:
    return 0


class Findings:
    """Collect the findings of one document, up to a limit.

    :param source: file name or another name of the document.
    :param line_of: returns the line of a path, 0 if unknown.
    """

    __slots__ = ("_line_of", "_source", "items")

    def __init__(
        self,
        source: str,
        line_of: Callable[[str], int] = _unknown_line,
    ) -> None:
        self._source = source
        self._line_of = line_of
        self.items: list[Finding] = []

    @property
    def line_of(self) -> Callable[[str], int]:
        """Return the function that maps a path to its line."""
        return self._line_of

    def add(self, path: str, text: str) -> None:
        """Record a finding, or drop it if the limit is reached."""
        if len(self.items) < MAX_FINDINGS:
            finding = Finding(self._source, self._line_of(path), path, text)
            self.items.append(finding)
