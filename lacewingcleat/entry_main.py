"""transport: the program `lacewing-entry`."""

import sys
from collections.abc import Sequence

from lacewingcleat.entry_process import EntryProcess
from lacewingcleat.node_process import run_node
from lacewingcleat.settings import load_entry_settings

DESCRIPTION = "Serve callers: authenticate, limit, route and retry requests."


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    return run_node(
        "lacewing-entry",
        DESCRIPTION,
        load_entry_settings,
        EntryProcess,
        arguments,
    )


if __name__ == "__main__":
    sys.exit(main())
