"""transport: log output through loguru.

Each component of a program logs with its own prefix, so that its lines can be found by
a text search.
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


class ComponentLogger:
    """Log messages with the prefix of one component.

    :param component: name of the component, such as `entry`.
    """

    __slots__ = ("_log", "_prefix")

    def __init__(self, component: str) -> None:
        self._prefix = f"{component}: "
        self._log: Logger = logger.bind(part=component)

    def debug(self, text: str) -> None:
        """Log a detail that is useful only for debugging."""
        self._log.debug("{}", self._prefix + text)

    def info(self, text: str) -> None:
        """Log a change of state."""
        self._log.info("{}", self._prefix + text)

    def warning(self, text: str) -> None:
        """Log an abnormal condition that is handled automatically."""
        self._log.warning("{}", self._prefix + text)

    def error(self, text: str) -> None:
        """Log a condition that needs an operator's attention."""
        self._log.error("{}", self._prefix + text)


def configure_logging(log_format: str, level: str) -> None:
    """Write logs, including unhandled errors of Twisted, to standard error.

    :param log_format: `text`, or `json` for JSON lines.
    :param level: minimum severity to write.
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
    observer: Any = _log_unhandled_error
    globalLogPublisher.addObserver(observer)


def _log_unhandled_error(event: LogEvent) -> None:
    """Log an unhandled error, which Twisted publishes to its own log only."""
    if event.get("log_level") == LogLevel.critical:
        failure = event.get("log_failure")
        text = formatEvent(event)
        if failure is not None:
            text += "\n" + failure.getTraceback()
        logger.error("{}", "reactor: " + text)
