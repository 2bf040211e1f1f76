"""coordination: to whom a process offers a revision that it has put in force."""

from collections.abc import Collection, Sequence

from lacewingcleat.rendezvous import rank_by_rendezvous

FAN_OUT = 4
ENTRIES_PER_AGENT = 2


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
    readers: Collection[str],
    agents: Collection[str],
    entries: Collection[str],
) -> list[str]:
    """Return the agents that an entry offers a revision to.

    An agent reports to two entries. One makes the offer, and the other one repairs a
    loss; this halves the bytes that entries send. Readers already read the manifest at
    each change, so the entry that is no reader makes the offer.
    """
    chosen: list[str] = []
    for agent in sorted(agents):
        reports_to = rank_by_rendezvous(agent, entries)[:ENTRIES_PER_AGENT]
        others = [entry for entry in reports_to if entry not in readers]
        if (others or reports_to)[0] == instance:
            chosen.append(agent)
    return chosen
