"""One measured figure with the bound that the stated target sets for it."""

from dataclasses import dataclass
from enum import Enum


class Direction(Enum):
    """Say on which side of its bound a value has to lie."""

    AT_MOST = "<="
    AT_LEAST = ">="
    INFORMATION = "info"


@dataclass(frozen=True, slots=True)
class Measure:
    """Hold a figure, its unit and its bound.

    :param bound: limit from the stated target; ignored for information only.
    """

    name: str
    value: float
    unit: str
    bound: float = 0.0
    direction: Direction = Direction.INFORMATION

    @property
    def ok(self) -> bool:
        """Return whether the value respects its bound."""
        match self.direction:
            case Direction.AT_MOST:
                return self.value <= self.bound
            case Direction.AT_LEAST:
                return self.value >= self.bound
            case Direction.INFORMATION:
                return True
