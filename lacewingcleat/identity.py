"""state: identify processes.

An instance keeps its name when its process is replaced. The incarnation distinguishes
the processes that run under the same name, so the state of a dead process is never
mistaken for the state of its successor.
"""

from enum import Enum

import msgspec


class Role(Enum):
    """Program that a process runs."""

    ENTRY = "entry"
    AGENT = "agent"


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one running process.

    :param instance: name from the settings, which stays the same across restarts.
    :param incarnation: 128 random bits as hex, new at each start.
    :param zone: availability zone from the settings.
    :param role: program that the process runs.
    """

    instance: str
    incarnation: str
    zone: str
    role: Role
