"""state: what deciding state machines ask the transport to do.

A state machine returns a list of these instead of acting, so that tests and external
benches can drive it without sockets.
"""

from dataclasses import dataclass

from lacewingcleat.messages import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a control message to one process, by instance name."""

    instance: str
    message: Message


@dataclass(frozen=True, slots=True)
class Alarm:
    """Report a condition that operators must see.

    :param code: stable name, used as a metric label.
    :param text: one short sentence.
    """

    code: str
    text: str


Action = Send | Alarm
