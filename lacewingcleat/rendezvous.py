"""coordination: choose among names without an election.

Rendezvous hashing gives every process with the same view the same order, and a change
of one name moves only the keys that this name held.
"""

from collections.abc import Iterable
from hashlib import blake2b


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in their order of preference for a key.

    :param key: what is to be placed, such as an account name.
    :param names: candidates; duplicates are dropped.
    """
    return sorted(set(names), key=lambda name: (_weight(key, name), name))


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}\x00{name}".encode(), digest_size=8).digest()
