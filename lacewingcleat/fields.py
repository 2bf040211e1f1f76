"""state: read typed fields from parsed documents.

A reader does not raise errors. For a missing or invalid field it records a finding and
returns a placeholder, so that one pass reports every error. The caller discards the
result if there are findings.
"""

import re
from collections.abc import Iterable

from lacewingcleat.addresses import is_address
from lacewingcleat.documents import member_path
from lacewingcleat.findings import Findings

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MAX_TEXT_LENGTH = 1_024
DEFAULT_MAXIMUM = 1_000_000_000


class RecordReader:
    """Read the members of one object.

    :param value: value at `path` in the document.
    :param findings: collection to which errors are added.
    """

    __slots__ = ("_findings", "_members", "_path", "_read_names")

    def __init__(self, value: object, path: str, findings: Findings) -> None:
        self._path = path
        self._findings = findings
        self._read_names: set[str] = set()
        self._members: dict[str, object] = {}
        if isinstance(value, dict):
            self._members = value
        else:
            findings.add(path, "must be an object")

    def path_of(self, name: str) -> str:
        """Return the path of a member."""
        return member_path(self._path, name)

    def report(self, name: str, text: str) -> None:
        """Add a finding for a member."""
        self._findings.add(self.path_of(name), text)

    def has(self, name: str) -> bool:
        """Return whether a member is present."""
        return name in self._members

    def name(self, name: str, default: str | None = None) -> str:
        """Read a name: lower case letters, digits, `.`, `_` and `-`."""
        value = self.text(name, default)
        if value != default and not NAME_PATTERN.fullmatch(value):
            self.report(name, "must be 1 to 63 of a-z, 0-9, '.', '_', '-'")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Read a string; without a default, it must be present and not empty."""
        value = self._get_member(name, default)
        if isinstance(value, str) and len(value) <= MAX_TEXT_LENGTH:
            if value.isprintable() and (value or default is not None):
                return value
        if value is not None:
            limit = f"1 to {MAX_TEXT_LENGTH} printable characters"
            self.report(name, f"must be a string of {limit}")
        return default or ""

    def choice(
        self,
        name: str,
        options: Iterable[str],
        default: str | None = None,
    ) -> str:
        """Read a string that must be one of the options."""
        allowed = list(options)
        value = self._get_member(name, default)
        if isinstance(value, str) and value in allowed:
            return value
        if value is not None:
            self.report(name, f"must be one of {', '.join(allowed)}")
        return default or allowed[0]

    def flag(self, name: str, default: bool | None = None) -> bool:
        """Read a boolean."""
        value = self._get_member(name, default)
        if isinstance(value, bool):
            return value
        if value is not None:
            self.report(name, "must be true or false")
        return bool(default)

    def integer(
        self,
        name: str,
        minimum: int,
        maximum: int = DEFAULT_MAXIMUM,
        default: int | None = None,
    ) -> int:
        """Read an integer within bounds."""
        value = self._get_member(name, default)
        if isinstance(value, int) and not isinstance(value, bool):
            if minimum <= value <= maximum:
                return value
        if value is not None:
            self.report(name, f"must be an integer from {minimum} to {maximum}")
        return minimum

    def number(
        self,
        name: str,
        minimum: float,
        maximum: float = float(DEFAULT_MAXIMUM),
        default: float | None = None,
    ) -> float:
        """Read a number within bounds."""
        value = self._get_member(name, default)
        if isinstance(value, int | float) and not isinstance(value, bool):
            if minimum <= value <= maximum:
                return float(value)
        if value is not None:
            self.report(name, f"must be a number from {minimum:g} to {maximum:g}")
        return minimum

    def names(self, name: str, default: tuple[str, ...] | None = None) -> list[str]:
        """Read a list of distinct names."""
        value = self._get_member(name, None if default is None else list(default))
        if not isinstance(value, list):
            if value is not None:
                self.report(name, "must be a list of names")
            return []
        seen: set[str] = set()
        for index, item in enumerate(value):
            if not isinstance(item, str) or not NAME_PATTERN.fullmatch(item):
                self.report(f"{name}[{index}]", "must be a name")
            elif item in seen:
                self.report(f"{name}[{index}]", f"{item!r} is listed twice")
            else:
                seen.add(item)
        return [item for item in value if isinstance(item, str)]

    def items(self, name: str, optional: bool = False) -> list[tuple[str, object]]:
        """Read a list as pairs of path and value.

        :param optional: whether a missing list counts as empty.
        """
        value = self._get_member(name, [] if optional else None)
        if isinstance(value, list):
            path = self.path_of(name)
            return [(f"{path}[{index}]", item) for index, item in enumerate(value)]
        if value is not None:
            self.report(name, "must be a list")
        return []

    def records(self, name: str, optional: bool = False) -> list["RecordReader"]:
        """Read a list of objects.

        :param optional: whether a missing list counts as empty.
        """
        return [
            RecordReader(item, path, self._findings)
            for path, item in self.items(name, optional)
        ]

    def record(self, name: str) -> "RecordReader":
        """Read an object."""
        return RecordReader(
            self._get_member(name, {}), self.path_of(name), self._findings
        )

    def address(
        self,
        name: str,
        default: str | None = None,
        allow_port_zero: bool = False,
    ) -> str:
        """Read an address `IP:port`, with brackets around an IPv6 address.

        :param allow_port_zero: whether port 0, a port chosen by the system, is allowed.
        """
        value = self.text(name, default)
        if value and not is_address(value, 0 if allow_port_zero else 1):
            self.report(name, "must be IP:port, such as 192.0.2.1:8080 or [::1]:8080")
        return value

    def report_unknown_members(self) -> None:
        """Report members that have not been read as unknown."""
        for name in self._members:
            if name not in self._read_names:
                self.report(str(name), "unknown member")

    def _get_member(self, name: str, default: object) -> object:
        """Return the member, or the default; report a missing or null member."""
        self._read_names.add(name)
        if name not in self._members:
            if default is None:
                self.report(name, "is missing")
            return default
        value = self._members[name]
        if value is None:
            self.report(name, "must not be null")
        return value
