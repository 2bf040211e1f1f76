"""transport: arguments, listeners, signal handlers and exit codes of all programs."""

import argparse
import signal
import sys
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any

from twisted.internet import defer
from twisted.internet.error import CannotListenError

from lacewingcleat import __version__
from lacewingcleat.addresses import split_address
from lacewingcleat.documents import MAX_DOCUMENT_BYTES
from lacewingcleat.findings import Finding
from lacewingcleat.http_server import BoundedFactory
from lacewingcleat.logs import ComponentLogger

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_CANNOT_LISTEN = 3
LISTEN_BACKLOG = 1024


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return an argument parser with the options common to all programs."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument(
        "--version",
        action="version",
        version=f"{program} {__version__}",
    )
    return parser


def read_text(path: str) -> str | None:
    """Return the text of a file; on failure print the error and return None."""
    try:
        with Path(path).open("rb") as file:
            content = file.read(MAX_DOCUMENT_BYTES + 1)
        if len(content) > MAX_DOCUMENT_BYTES:
            print(f"{path}: exceeds {MAX_DOCUMENT_BYTES} bytes", file=sys.stderr)
            return None
        return content.decode()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return None


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings to standard error, one per line."""
    for finding in findings:
        print(finding, file=sys.stderr)


def listen(reactor: Any, address: str, factory: BoundedFactory) -> Any:
    """Open a TCP listener on an address of the form `host:port`."""
    host, port = split_address(address)
    return reactor.listenTCP(port, factory, backlog=LISTEN_BACKLOG, interface=host)


def run_until_stopped(
    reactor: Any,
    start: Callable[[], None],
    stop: Callable[[], Coroutine[Any, Any, None]],
    reload: Callable[[], None],
    log: ComponentLogger,
) -> int:
    """Run the reactor until SIGTERM or SIGINT, then stop gracefully.

    A second SIGTERM or SIGINT stops the reactor immediately. SIGHUP calls `reload`.

    :param start: opens the listeners.
    :param stop: drains and closes them.
    :return: the exit code of the process.
    """
    exit_code = EXIT_OK
    stopping = False

    def start_listening() -> None:
        nonlocal exit_code
        try:
            start()
        except CannotListenError as error:
            log.error(f"cannot listen: {error}")
            exit_code = EXIT_CANNOT_LISTEN
            reactor.stop()

    def handle_stop_signal(_signal: int = 0, _frame: object = None) -> None:
        nonlocal stopping
        if stopping:
            reactor.callFromThread(reactor.stop)
            return
        stopping = True
        reactor.callFromThread(stop_gracefully)

    def stop_gracefully() -> None:
        log.info("stopping after the requests in flight have finished.")
        stopped: defer.Deferred[None] = defer.ensureDeferred(stop())
        stopped.addErrback(lambda failure: log.error(failure.getTraceback()))
        stopped.addBoth(lambda _: reactor.stop() if reactor.running else None)

    def handle_reload_signal(_signal: int, _frame: object) -> None:
        reactor.callFromThread(reload)

    def install_signal_handlers() -> None:
        signal.signal(signal.SIGTERM, handle_stop_signal)
        signal.signal(signal.SIGINT, handle_stop_signal)
        signal.signal(signal.SIGHUP, handle_reload_signal)

    reactor.callWhenRunning(install_signal_handlers)
    reactor.callWhenRunning(start_listening)
    reactor.run(installSignalHandlers=False)
    return exit_code
