"""transport: the program `lacewing-ctl` for operators."""

import argparse
import sys
from collections.abc import Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result
from twisted.internet import defer, reactor
from twisted.web.http_headers import Headers

from lacewingcleat.clock import read_wall
from lacewingcleat.documents import Document, parse_document
from lacewingcleat.findings import Finding
from lacewingcleat.fleet_report import (
    FleetReport,
    InstanceStatus,
    explain_table,
    fleet_table,
    make_fleet_report,
)
from lacewingcleat.http_client import RelayClient
from lacewingcleat.log_history import find_history
from lacewingcleat.program import (
    EXIT_FINDINGS,
    EXIT_OK,
    EXIT_USAGE,
    make_parser,
    print_findings,
    read_text,
)
from lacewingcleat.settings import load_agent_settings, load_entry_settings
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_check import check_sheet
from lacewingcleat.sheet_diff import diff_sheets

ADMIN_TIMEOUT_SECONDS = 3.0
MAX_STATUS_BYTES = 4 << 20


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    options = _parse(arguments)
    match options.command:
        case "check":
            return _check(options.files)
        case "diff":
            return _diff(options.old, options.new)
        case "history":
            return _history(options.request, options.files)
        case "status":
            return _run(_status(options.admin, options.json))
        case _:
            return _run(_explain(options))


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = make_parser("lacewing-ctl", "Check sheets and look into a fleet.")
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="validate sheets and settings")
    check.add_argument("files", nargs="+", metavar="FILE")
    diff = commands.add_parser("diff", help="say what a sheet changes")
    diff.add_argument("old", metavar="OLD")
    diff.add_argument("new", metavar="NEW")
    history = commands.add_parser(
        "history", help="print what log lines say of one request"
    )
    history.add_argument("request", help="identifier of the request")
    history.add_argument(
        "files", nargs="*", metavar="FILE", help="log files; standard input by default"
    )
    status = commands.add_parser("status", help="show the state of processes")
    status.add_argument("admin", nargs="+", metavar="IP:PORT", help="admin addresses")
    status.add_argument("--json", action="store_true", help="print JSON")
    explain = commands.add_parser("explain", help="say where a request would go")
    explain.add_argument("admin", metavar="IP:PORT", help="admin address of an entry")
    explain.add_argument("--model", required=True)
    explain.add_argument("--account", default="")
    explain.add_argument("--firm", default="", help="firm of the client account")
    explain.add_argument("--prompt-tokens", type=int, default=100)
    explain.add_argument("--max-tokens", type=int, default=0)
    explain.add_argument("--version", dest="model_version", default="")
    explain.add_argument("--adapter", default="")
    explain.add_argument("--json", action="store_true", help="print JSON")
    return parser.parse_args(arguments)


# check and diff


def _check(files: Sequence[str]) -> int:
    exit_code = EXIT_OK
    for file in files:
        text = read_text(file)
        if text is None:
            exit_code = EXIT_USAGE
            continue
        findings = _find(text, file)
        print_findings(findings)
        if findings:
            exit_code = max(exit_code, EXIT_FINDINGS)
        else:
            print(f"{file}: valid")
    return exit_code


def _history(request: str, files: Sequence[str]) -> int:
    texts: list[str] = []
    for file in files:
        text = read_text(file)
        if text is None:
            return EXIT_USAGE
        texts += text.splitlines()
    lines = find_history(texts if files else sys.stdin, request)
    for line in lines:
        sys.stdout.write(f"{line}\n")
    if lines:
        return EXIT_OK
    sys.stderr.write(f"no line names request {request}\n")
    return EXIT_FINDINGS


def _find(text: str, file: str) -> list[Finding]:
    """Return the findings of a sheet, or of settings, told apart by their members."""
    parsed = parse_document(text, file)
    if isinstance(parsed, Err):
        return parsed.err_value
    value = parsed.ok_value.value
    members = value.keys() if isinstance(value, dict) else set()
    loaded: Result[Any, list[Finding]]
    if "config_address" in members:
        loaded = load_entry_settings(text, file)
    elif "backend_address" in members or "server" in members:
        loaded = load_agent_settings(text, file)
    else:
        loaded = _check_document(parsed.ok_value, file)
    return loaded.err_value if isinstance(loaded, Err) else []


def _check_document(
    document: Document,
    file: str,
) -> Result[Sheet, list[Finding]]:
    return check_sheet(document.value, file, document.line_of)


def _load_sheet(file: str) -> Result[Sheet, int]:
    """Return a sheet, or the exit code after telling what is wrong with it."""
    text = read_text(file)
    if text is None:
        return Err(EXIT_USAGE)
    parsed = parse_document(text, file)
    if isinstance(parsed, Err):
        print_findings(parsed.err_value)
        return Err(EXIT_FINDINGS)
    checked = _check_document(parsed.ok_value, file)
    if isinstance(checked, Err):
        print_findings(checked.err_value)
        return Err(EXIT_FINDINGS)
    return Ok(checked.ok_value)


def _diff(old: str, new: str) -> int:
    before = _load_sheet(old)
    after = _load_sheet(new)
    if isinstance(before, Err) or isinstance(after, Err):
        return max(before.err() or EXIT_OK, after.err() or EXIT_OK)
    revisions, *changes = diff_sheets(
        before.ok_value,
        after.ok_value,
        read_wall(),
    ).lines()
    for line in (revisions, *(changes or ["no changes"])):
        print(line)
    return EXIT_OK


# status and explain


def _run(command: Any) -> int:
    """Run a command on the reactor and return its exit code."""
    codes: list[int] = []
    react: Any = reactor

    def start() -> None:
        done: defer.Deferred[int] = defer.ensureDeferred(command)
        done.addCallbacks(codes.append, lambda failure: print(failure.getTraceback()))
        done.addBoth(lambda _: react.stop())

    react.callWhenRunning(start)
    react.run()
    return codes[0] if codes else EXIT_FINDINGS


async def _ask(
    client: RelayClient,
    method: str,
    address: str,
    path: str,
    body: bytes,
) -> Result[dict[str, Any], str]:
    fetched = await client.fetch(
        method,
        address,
        path,
        Headers(),
        body,
        ADMIN_TIMEOUT_SECONDS,
        MAX_STATUS_BYTES,
    )
    if isinstance(fetched, Err):
        return Err(fetched.err_value.text)
    try:
        return Ok(msgspec.json.decode(fetched.ok_value[1], type=dict[str, Any]))
    except msgspec.MsgspecError as error:
        return Err(str(error))


async def _status(addresses: Sequence[str], as_json: bool) -> int:
    client = RelayClient(reactor)
    asked = [
        defer.ensureDeferred(_ask(client, "GET", address, "/status", b""))
        for address in addresses
    ]
    statuses = [
        InstanceStatus(address, await answer)
        for address, answer in zip(addresses, asked, strict=True)
    ]
    report: FleetReport = make_fleet_report(statuses)
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        print(fleet_table(report))
    await client.close()
    return EXIT_OK if report.healthy else EXIT_FINDINGS


async def _explain(options: argparse.Namespace) -> int:
    client = RelayClient(reactor)
    question = {
        "model": options.model,
        "account": options.account,
        "firm": options.firm,
        "prompt_tokens": options.prompt_tokens,
        "max_tokens": options.max_tokens,
        "version": options.model_version,
        "adapter": options.adapter,
    }
    body = msgspec.json.encode(question)
    answer = await _ask(client, "POST", options.admin, "/explain", body)
    await client.close()
    match answer:
        case Err(text):
            print(f"{options.admin}: {text}", file=sys.stderr)
            return EXIT_FINDINGS
        case Ok(document):
            if options.json:
                print(msgspec.json.encode(document).decode())
            else:
                print(explain_table(document))
            return EXIT_FINDINGS if "error" in document else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
