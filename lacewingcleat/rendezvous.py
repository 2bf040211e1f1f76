"""coordination: assign keys to names by rendezvous hashing, without an election.

All processes with the same set of names compute the same order. When a name is added or
removed, only the keys assigned to that name move.
"""

from collections.abc import Iterable
from hashlib import blake2b


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in order of preference for a key.

    :param key: the key to assign, such as an account name.
    :param names: candidates; duplicates are ignored.
    """
    return sorted(set(names), key=lambda name: (_weight(key, name), name))


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\x00{name}".encode(), digest_size=8).digest()
