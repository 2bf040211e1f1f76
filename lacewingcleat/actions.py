"""state: the actions that state machines request from the transport.

State machines do no I/O. They return lists of actions, so tests and benchmarks can
drive them without sockets.
"""

from dataclasses import dataclass

from lacewingcleat.messages import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a control message to the process with an instance name."""

    instance: str
    message: Message


@dataclass(frozen=True, slots=True)
class Alarm:
    """Raise an alarm for operators.

    :param code: stable name, used as a metric label.
    :param text: description in one short sentence.
    """

    code: str
    text: str


Action = Send | Alarm
