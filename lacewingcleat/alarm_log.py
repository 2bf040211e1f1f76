"""coordination: raise each alarm once, although its cause is seen again and again."""

from collections import deque

from lacewingcleat.actions import Alarm

KEPT_ALARMS = 64


class AlarmLog:
    """Remember the last alarms."""

    __slots__ = ("_texts",)

    def __init__(self) -> None:
        self._texts: deque[str] = deque(maxlen=KEPT_ALARMS)

    def once(self, code: str, text: str) -> list[Alarm]:
        """Return the alarm, or nothing if it has been raised already."""
        if text in self._texts:
            return []
        self._texts.append(text)
        return [Alarm(code, text)]
