"""transport: log output through loguru.

Each part of a program logs with its own prefix, so that lines of one part can be found
by a plain search.
"""

import sys
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.logger import (
    LogEvent,
    LogLevel,
    formatEvent,
    globalLogPublisher,
)

if TYPE_CHECKING:
    from loguru import Logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {message}"


class PartLogger:
    """Log short sentences with the prefix of one part.

    :param component: name of the part, such as `entry`.
    """

    __slots__ = ("_log", "_prefix")

    def __init__(self, component: str) -> None:
        self._prefix = f"{component}: "
        self._log: Logger = logger.bind(part=component)

    def debug(self, text: str) -> None:
        """Log what helps only in development."""
        self._log.debug("{}", self._prefix + text)

    def info(self, text: str) -> None:
        """Log a change of state."""
        self._log.info("{}", self._prefix + text)

    def warning(self, text: str) -> None:
        """Log a condition that the system handles."""
        self._log.warning("{}", self._prefix + text)

    def error(self, text: str) -> None:
        """Log a condition that an operator must see."""
        self._log.error("{}", self._prefix + text)


def start_logs(log_format: str, level: str) -> None:
    """Send logs to standard error.

    :param log_format: `text` or `json` for JSON lines.
    :param level: least severe level that is written.
    """
    logger.remove()
    as_json = log_format == "json"
    logger.add(
        sys.stderr,
        level=level.upper(),
        format=TEXT_FORMAT,
        serialize=as_json,
        backtrace=False,
        diagnose=False,
    )
    observer: Any = _log_failure
    globalLogPublisher.addObserver(observer)


def _log_failure(event: LogEvent) -> None:
    """Write errors that no callback handled; twisted reports them to its own log."""
    if event.get("log_level") == LogLevel.critical:
        failure = event.get("log_failure")
        text = formatEvent(event)
        if failure is not None:
            text += "\n" + failure.getTraceback()
        logger.error("{}", "reactor: " + text)
