"""transport: the program `lacewing-entry`."""

import sys
from collections.abc import Sequence

from pynng.exceptions import AddressInUse
from result import Err
from twisted.internet import reactor

from lacewingcleat.entry_process import EntryProcess
from lacewingcleat.logs import PartLogger, start_logs
from lacewingcleat.program import (
    EXIT_CANNOT_LISTEN,
    EXIT_FINDINGS,
    EXIT_USAGE,
    make_parser,
    print_findings,
    read_text,
    run_until_stopped,
)
from lacewingcleat.settings import load_entry_settings

DESCRIPTION = "Serve callers: authenticate, limit, route and retry requests."


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = make_parser("lacewing-entry", DESCRIPTION)
    parser.add_argument("settings", metavar="FILE", help="settings, JSON with comments")
    options = parser.parse_args(arguments)
    text = read_text(options.settings)
    if text is None:
        return EXIT_USAGE
    loaded = load_entry_settings(text, options.settings)
    if isinstance(loaded, Err):
        print_findings(loaded.err_value)
        return EXIT_FINDINGS
    settings = loaded.ok_value
    start_logs(settings.log_format, settings.log_level)
    try:
        process = EntryProcess(reactor, settings)
    except AddressInUse:
        PartLogger("entry").error(f"cannot listen on {settings.control_address}.")
        return EXIT_CANNOT_LISTEN
    return run_until_stopped(
        reactor,
        process.start,
        process.stop,
        process.node.reload,
        process.node.log,
    )


if __name__ == "__main__":
    sys.exit(main())
