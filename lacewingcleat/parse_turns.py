"""transport: turns in which connections parse what they have received.

Parsing tiny parts takes long, so each connection parses some parts and waits for its
next turn, and only some connections have one in each iteration of the event loop.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol


class Parser(Protocol):
    """Represent a connection with received data to parse."""

    def parse(self) -> None:
        """Parse some of what has been received."""


class ParseTurns:
    """Give connections their turns, in the order in which they asked for one.

    :param call_later: calls a function after some seconds.
    :param max_per_iteration: connections that have a turn in one iteration.
    """

    __slots__ = ("_call_later", "_max_per_iteration", "_waiting")

    def __init__(
        self,
        call_later: Callable[[float, Callable[[], None]], object],
        max_per_iteration: int,
    ) -> None:
        self._call_later = call_later
        self._max_per_iteration = max_per_iteration
        self._waiting: deque[Parser] = deque()

    def add(self, connection: Parser) -> None:
        """Let a connection parse once it is its turn."""
        if not self._waiting:
            self._call_later(0, self._run)
        self._waiting.append(connection)

    def _run(self) -> None:
        waiting, self._waiting = self._waiting, deque()
        for _ in range(self._max_per_iteration):
            if not waiting:
                break
            waiting.popleft().parse()
        if not waiting:
            return
        if not self._waiting:
            self._call_later(0, self._run)
        # Those that had no turn come before those that had one.
        self._waiting.extendleft(reversed(waiting))
