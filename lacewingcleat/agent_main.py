"""transport: the program `lacewing-agent`."""

import sys
from collections.abc import Sequence

from lacewingcleat.agent_process import AgentProcess
from lacewingcleat.node_process import run_node
from lacewingcleat.settings import load_agent_settings

DESCRIPTION = "Admit, queue and forward the requests of one backend server."


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    return run_node(
        "lacewing-agent",
        DESCRIPTION,
        load_agent_settings,
        AgentProcess,
        arguments,
    )


if __name__ == "__main__":
    sys.exit(main())
