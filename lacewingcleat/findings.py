"""state: errors in documents, collected with their place.

A check reports all findings at once, so that operators fix a document in one pass.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """Describe one error in a document.

    :param source: file name or another name of the document.
    :param line: line number from 1, 0 if unknown.
    :param path: place in the document, such as `client_accounts[2].firm`.
    :param text: what is wrong and what is expected.
    """

    source: str
    line: int
    path: str
    text: str

    def __str__(self) -> str:
        """Format the finding as `source:line: path: text`."""
        return f"{self.source}:{self.line}: {self.path}: {self.text}"
