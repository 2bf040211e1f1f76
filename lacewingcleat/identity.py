"""state: names of processes.

An instance keeps its name when it is replaced; the incarnation tells one process from
the next one under the same name, so that state of a dead process is never mistaken for
state of its successor.
"""

from enum import Enum

import msgspec


class Role(Enum):
    """Say which program a process runs."""

    ENTRY = "entry"
    AGENT = "agent"


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """Identify one running process.

    :param instance: stable name from the settings.
    :param incarnation: 128 random bits as hex, new at each start.
    :param zone: availability zone from the settings.
    :param role: the program it runs.
    """

    instance: str
    incarnation: str
    zone: str
    role: Role
