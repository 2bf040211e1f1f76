"""transport: run one stand-in as a process of its own, for demos and tests."""

import os
import sys
from collections.abc import Sequence

from result import Err
from twisted.internet import reactor

from lacewingcleat.config_stand_in import StandInConfigService
from lacewingcleat.documents import parse_document
from lacewingcleat.engine_stand_in import DEFAULT_TOKEN_SECONDS, EngineStandIn
from lacewingcleat.http_server import BoundedFactory
from lacewingcleat.logs import ComponentLogger, configure_logging
from lacewingcleat.program import (
    EXIT_FINDINGS,
    EXIT_USAGE,
    listen,
    make_parser,
    print_findings,
    read_text,
    run_until_stopped,
)
from lacewingcleat.service_stand_in import ServiceStandIn

CRASH_EXIT_CODE = 70
KINDS = ("config", "engine", "service")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one stand-in and return its exit code."""
    parser = make_parser("stand-in", "Run a small engine, service or config service.")
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("address", metavar="IP:PORT")
    parser.add_argument("--sheet", metavar="FILE", help="sheet that `config` publishes")
    parser.add_argument("--token-seconds", type=float, default=DEFAULT_TOKEN_SECONDS)
    parser.add_argument("--delay-seconds", type=float, default=0.0)
    options = parser.parse_args(arguments)
    configure_logging("text", "warning")
    log = ComponentLogger("stand-in")
    config = StandInConfigService(reactor)
    engine = EngineStandIn(
        reactor,
        os.urandom(8).hex(),
        options.token_seconds,
        on_crash=lambda: os._exit(CRASH_EXIT_CODE),
    )
    service = ServiceStandIn(reactor, delay_seconds=options.delay_seconds)
    factory_by_kind: dict[str, BoundedFactory] = {
        "config": config.factory,
        "engine": engine.factory,
        "service": service.factory,
    }

    def publish() -> None:
        text = read_text(options.sheet) if options.sheet else None
        if text is None:
            return
        parsed = parse_document(text, options.sheet)
        if isinstance(parsed, Err):
            print_findings(parsed.err_value)
            return
        config.publish(parsed.ok_value.value)

    if options.kind == "config":
        if not options.sheet:
            print("the config stand-in needs --sheet", file=sys.stderr)
            return EXIT_USAGE
        publish()
        if not config.has_sheet:
            return EXIT_FINDINGS

    def start() -> None:
        listen(reactor, options.address, factory_by_kind[options.kind])
        engine.start()

    async def stop() -> None:
        engine.stop()

    return run_until_stopped(reactor, start, stop, publish, log)


if __name__ == "__main__":
    sys.exit(main())
