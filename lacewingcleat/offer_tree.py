"""coordination: dissemination tree by which revisions are offered within a zone."""

from collections.abc import Collection, Sequence

from lacewingcleat.rendezvous import rank_by_rendezvous

FAN_OUT = 4
ENTRIES_PER_AGENT = 2


def choose_child_entries(
    instance: str,
    readers: Sequence[str],
    entries: Collection[str],
) -> list[str]:
    """Return the entries to which an entry offers a new revision: its child nodes.

    The readers are at the root of the tree, because they receive a revision first. The
    other entries follow sorted by name, so that entries with the same view of the live
    peers derive the same tree.
    """
    entries_in_tree_order = [*readers, *sorted(set(entries) - set(readers))]
    index = entries_in_tree_order.index(instance)
    return entries_in_tree_order[FAN_OUT * index + 1 : FAN_OUT * (index + 1) + 1]


def choose_offered_agents(
    instance: str,
    readers: Collection[str],
    agents: Collection[str],
    entries: Collection[str],
) -> list[str]:
    """Return the agents to which an entry offers a new revision.

    An agent sends its heartbeats to two entries. One of them offers the revision, and
    the other one repeats the offer only if it was lost, which halves the bytes that
    entries send. Readers already have the load of reading each change, so an entry that
    is not a reader is preferred.
    """
    offered_agents: list[str] = []
    for agent in sorted(agents):
        reports_to = rank_by_rendezvous(agent, entries)[:ENTRIES_PER_AGENT]
        non_readers = [entry for entry in reports_to if entry not in readers]
        if (non_readers or reports_to)[0] == instance:
            offered_agents.append(agent)
    return offered_agents
