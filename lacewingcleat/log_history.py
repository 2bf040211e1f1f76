"""state: the history of one request in the log lines of all processes.

Lines are JSON objects. Beside the lines that name the request, the history holds what
the processes that handled it came to believe shortly before.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

# Beliefs that decide about a request are seldom older than the longest request.
CONTEXT_SECONDS = 10.0
REQUEST_EVENTS = frozenset({"request", "denied", "unreadable request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line.

    :param fields: all members but time, instance and event.
    """

    at: datetime
    instance: str
    event: str
    fields: dict[str, object]

    def __str__(self) -> str:
        """Format the line for a reader."""
        shown = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if name != "level"
        )
        time = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{time} {self.instance} {self.event}: {shown}"


def parse_line(text: str) -> LogLine | None:
    """Return a line, none if the text is not one of a process's log."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=dict[str, object])
        at = datetime.strptime(str(fields.pop("time")), "%Y-%m-%dT%H:%M:%S.%f%z")
        instance, event = str(fields.pop("instance")), str(fields.pop("event"))
    except (msgspec.MsgspecError, ValueError, KeyError):
        return None
    return LogLine(at, instance, event, fields)


def find_history(texts: Iterable[str], request: str) -> list[LogLine]:
    """Return the lines that explain a request, in order of time."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    instances = {line.instance for line in own}
    until = max(line.at for line in own)
    since = min(line.at for line in own) - timedelta(seconds=CONTEXT_SECONDS)
    context = [
        line
        for line in lines
        if line.event not in REQUEST_EVENTS
        and line.instance in instances
        and since <= line.at <= until
    ]
    return sorted([*own, *context], key=lambda line: line.at)
