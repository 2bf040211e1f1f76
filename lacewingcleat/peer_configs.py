"""coordination: configurations that peers have in force and this entry does not.

The store may have lost the newest configuration when it was restored from a copy. An
entry that starts then, or was cut off before, cannot tell this from the store. So peers
tell each other which version they have in force, and for how long: since then the
configuration of an entry that has an older one is known to be outdated.
"""

from collections.abc import Collection

# Time for which an entry that has just started waits for the answer of a peer, some
# round trips. If all entries start at the same time, none can answer.
PEER_WAIT_SECONDS = 0.5
NO_VERSION = 0
# Versions newer than the own one that are kept; further ones do not change the age.
MAX_NEWER_VERSIONS = 64
NEVER_OUTDATED = float("-inf")


class PeerConfigs:
    """Compare the version in force with those of the peers.

    :param expects_peers: whether there is a peer to wait for at the start.
    """

    __slots__ = (
        "_in_force_since",
        "_since_by_version",
        "_version",
        "_version_by_address",
        "_waits_until",
    )

    def __init__(self, expects_peers: bool, now: float) -> None:
        self._waits_until = now + PEER_WAIT_SECONDS if expects_peers else now
        self._version = NO_VERSION
        self._in_force_since = now
        self._version_by_address: dict[str, int] = {}
        self._since_by_version: dict[int, float] = {}

    def put_in_force(self, version: int, now: float) -> None:
        """Record the version that is in force from now on."""
        self._version = version
        self._in_force_since = now
        self._since_by_version = {
            newer: since
            for newer, since in self._since_by_version.items()
            if newer > version
        }

    def in_force(self, now: float) -> tuple[int, float]:
        """Return the version in force and the seconds for which it has been so."""
        return self._version, now - self._in_force_since

    def record(self, address: str, version: int, seconds: float, now: float) -> None:
        """Record the version that a peer has had in force for some seconds."""
        if version == NO_VERSION:
            return
        self._waits_until = now
        self._version_by_address[address] = version
        if version <= self._version:
            return
        known_since = self._since_by_version.get(version, now)
        self._since_by_version[version] = min(known_since, now - max(0.0, seconds))
        if len(self._since_by_version) > MAX_NEWER_VERSIONS:
            del self._since_by_version[max(self._since_by_version)]

    def retain(self, addresses: Collection[str]) -> None:
        """Forget all other peers, and what only they have had in force."""
        self._version_by_address = {
            address: version
            for address, version in self._version_by_address.items()
            if address in addresses
        }
        if max(self._version_by_address.values(), default=0) <= self._version:
            self._since_by_version.clear()

    def newest_version(self) -> int:
        """Return the newest version that is known to be in force at a peer."""
        return max(self._since_by_version, default=self._version)

    def outdated_seconds(self, now: float) -> float:
        """Return for how long the version in force has been known to be outdated.

        Before a peer has answered, this is for ever.

        :returns: minus infinity if no newer version is known.
        """
        if now < self._waits_until:
            return float("inf")
        since = min(self._since_by_version.values(), default=None)
        return NEVER_OUTDATED if since is None else now - since
