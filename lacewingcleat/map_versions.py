"""coordination: choose versions of expert maps that no other leader chooses.

Ranks refuse a version that is not above those that they had. Two leaders that act at
the same time, for example in a network partition, must never give the same version to
different maps, whatever their clocks show: ranks would mix the maps. Each version
therefore ends with a number that its leader's process has drawn at random. Only the
part above it is chosen.
"""

from random import Random

# Bits of the leader's number. Versions stay below 2**53 until the year 2106, so that
# engines may represent them as floating-point numbers.
LEADER_BITS = 21


class MapVersions:
    """Choose the versions of one process.

    :param random: draws the number of this process.
    """

    __slots__ = ("_last", "_leader_number")

    def __init__(self, random: Random) -> None:
        self._leader_number = random.getrandbits(LEADER_BITS)
        self._last = 0

    def next_version(self, above: int, wall_seconds: float) -> int:
        """Return a version above a given one and all earlier ones of this process.

        :param wall_seconds: wall clock time, by which versions normally exceed those of
            earlier leaders whose versions are not known.
        """
        prefix = max(int(wall_seconds), (max(above, self._last) >> LEADER_BITS) + 1)
        self._last = (prefix << LEADER_BITS) | self._leader_number
        return self._last
