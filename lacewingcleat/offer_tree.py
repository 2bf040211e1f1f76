"""coordination: to whom a process offers a revision that it has put in force."""

from collections.abc import Collection, Sequence

from lacewingcleat.rendezvous import rank_by_rendezvous

FAN_OUT = 4


def choose_branch(
    instance: str,
    readers: Sequence[str],
    entries: Collection[str],
) -> list[str]:
    """Return the entries that an entry offers a revision to.

    The readers come first in the tree, because they have a revision first. The others
    follow by name, so that entries with the same view agree about the tree.
    """
    tree = [*readers, *sorted(set(entries) - set(readers))]
    index = tree.index(instance)
    return tree[FAN_OUT * index + 1 : FAN_OUT * (index + 1) + 1]


def choose_agents(
    instance: str,
    agents: Collection[str],
    entries: Collection[str],
) -> list[str]:
    """Return the agents that an entry offers a revision to.

    An agent reports to two entries. The one that it prefers makes the offer, and the
    other one repairs a loss; this halves the bytes that entries send.
    """
    return sorted(
        agent for agent in agents if rank_by_rendezvous(agent, entries)[0] == instance
    )
