"""transport: the program `lacewing-demo`.

It runs a whole fleet for an example sheet in one process, sends requests as callers do,
checks every answer and ends with 0 only if all were right.
"""

import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from result import Err
from twisted.internet import defer, reactor, task
from twisted.web.http_headers import Headers

from lacewingcleat import http_headers as names
from lacewingcleat.clock import read_now
from lacewingcleat.demo_fleet import DemoFleet
from lacewingcleat.documents import parse_document
from lacewingcleat.engine_stand_in import CRASH_MARKER, answer_tokens
from lacewingcleat.expert_placement import rank_times
from lacewingcleat.group_balancer import build_initial_map
from lacewingcleat.http_client import HttpClient, first_header
from lacewingcleat.logs import ComponentLogger, configure_logging
from lacewingcleat.program import (
    EXIT_FINDINGS,
    EXIT_OK,
    EXIT_USAGE,
    make_parser,
    print_findings,
    read_text,
    run_until_stopped,
)
from lacewingcleat.sheet_check import check_sheet

EXAMPLES = Path(__file__).parent.parent / "examples"
DEFAULT_SHEET = EXAMPLES / "coteau.sheet.json"
READY_SECONDS = 30.0
ANSWER_SECONDS = 20.0
MAX_ANSWER_BYTES = 1 << 20
POLL_SECONDS = 0.1
CONCURRENT_REQUESTS = 24
# A caller that is told to come back later does so this often.
MAX_SENDS = 6
# A new home entry of account limits grants leases only after this time.
WARM_UP_SECONDS = 8.0
# The planner confirms a skewed load over several reports before it moves weights.
MAP_SECONDS = 60.0
HOT_TOKENS = 1000
COLD_TOKENS = 20
DEMO_KEY_PREFIX = "demo-"


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold what a caller received."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Hold the outcome of one check of the demo."""

    name: str
    problem: str


class Demo:
    """Send the requests of the demo and check the answers.

    :param fleet: the fleet that answers.
    """

    def __init__(self, fleet: DemoFleet) -> None:
        self._fleet = fleet
        self._client = HttpClient(reactor)
        self._turn = 0
        sheet = fleet.sheet
        self.account = sheet["client_accounts"][0]["name"]
        self.model = sheet["model_groups"][0]["model"]
        self.service = sheet["services"][0]["name"]
        rules = sheet["services"][0].get("idempotent", [])
        prefixes = [rule["path_prefix"] for rule in rules if rule["method"] == "GET"]
        self.read_path = (prefixes or ["/"])[0]
        self.write_path = "/demo-order"
        self.require_ticket = sheet["services"][0].get("require_ticket", False)

    def next_entry(self) -> str:
        """Return the request address of the next entry in turn."""
        self._turn += 1
        entries = self._fleet.entries
        return entries[self._turn % len(entries)].settings.request_address

    async def send(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        key: str = "",
    ) -> Answer:
        """Send a request, and again when its account's limit asks for patience."""
        for _ in range(MAX_SENDS):
            answer = await self.send_once(method, path, body, headers, key)
            if answer.status != 429:
                break
            seconds = float(first_header(answer.headers, names.RETRY_AFTER) or 1)
            await task.deferLater(reactor, seconds, lambda: None)
        return answer

    async def send_once(
        self,
        method: str,
        path: str,
        body: object,
        headers: dict[str, str] | None,
        key: str,
    ) -> Answer:
        """Send one request through the next entry."""
        sent_headers = Headers()
        bearer = key or f"{DEMO_KEY_PREFIX}{self.account}"
        sent_headers.setRawHeaders(names.AUTHORIZATION, [f"Bearer {bearer}"])
        for name, value in (headers or {}).items():
            sent_headers.setRawHeaders(name, [value])
        fetched = await self._client.fetch(
            method,
            self.next_entry(),
            path,
            sent_headers,
            msgspec.json.encode(body) if body is not None else b"",
            ANSWER_SECONDS,
            MAX_ANSWER_BYTES,
        )
        if isinstance(fetched, Err):
            return Answer(0, Headers(), fetched.err_value.reason.encode())
        response, content = fetched.ok_value
        return Answer(response.code, response.headers, content)

    async def chat(self, prompt: str, count: int, stream: bool) -> Answer:
        """Ask a model."""
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": count,
            "stream": stream,
        }
        return await self.send("POST", "/v1/chat/completions", body)

    # Checks; each returns what is wrong, or an empty text.

    async def check_models(self) -> str:
        """Check the list of models."""
        answer = await self.send("GET", "/v1/models")
        listed = [item["id"] for item in _json(answer).get("data", [])]
        return "" if self.model in listed else f"models were {listed}"

    async def check_plain_answer(self) -> str:
        """Check an answer that is not a stream."""
        answer = await self.chat("a loop layout", 6, stream=False)
        text = _text_of(answer)
        expected = "".join(answer_tokens("a loop layout", 6))
        return "" if text == expected else f"status {answer.status}, text {text!r}"

    async def check_streams(self) -> str:
        """Check that concurrent streams each carry their own whole answer."""

        async def one(index: int) -> str:
            prompt = f"room {index}"
            answer = await self.chat(prompt, 10 + index % 7, stream=True)
            expected = "".join(answer_tokens(prompt, 10 + index % 7))
            text = _stream_text(answer)
            return "" if text == expected else f"stream {index} had {text[:80]!r}"

        return await _first_problem([one(i) for i in range(CONCURRENT_REQUESTS)])

    async def check_wrong_key(self) -> str:
        """Check that an unknown key is refused as not run."""
        answer = await self.send("GET", "/v1/models", key="wrong")
        return "" if answer.status == 401 else f"status {answer.status}"

    async def check_unknown_model(self) -> str:
        """Check that an unknown model is refused as not run."""
        body = {"model": "no-such", "messages": [{"role": "user", "content": "x"}]}
        answer = await self.send("POST", "/v1/chat/completions", body)
        code = _json(answer).get("code")
        return "" if answer.status == 404 else f"status {answer.status}, code {code}"

    async def check_idempotent_call(self) -> str:
        """Check a read of the plain service."""
        path = f"/services/{self.service}{self.read_path}"
        answer = await self.send("GET", path)
        return "" if answer.status == 200 else f"status {answer.status}"

    async def check_order_once(self) -> str:
        """Check that an order sent five times through five entries runs once."""
        path = f"/services/{self.service}{self.write_path}"
        body = {"order": "two pallets of pipe", "number": 1}
        first = await self.send("POST", path, body, {names.IDEMPOTENCY_KEY: "order-1"})
        ticket = first_header(first.headers, names.TICKET)
        if first.status != 428 or not ticket:
            return f"the first answer had status {first.status}"
        headers = {names.IDEMPOTENCY_KEY: "order-1", names.TICKET: ticket}
        answers = [await self.send("POST", path, body, headers) for _ in range(5)]
        bodies = {answer.body for answer in answers}
        runs = [
            count for call, count in self._fleet.executions().items() if "pipe" in call
        ]
        if runs != [1]:
            return f"the order ran {runs} times"
        return "" if len(bodies) == 1 else "the answers differ"

    async def check_bare_order(self) -> str:
        """Check an order without key and ticket: it runs once, or is refused."""
        path = f"/services/{self.service}{self.write_path}"
        answer = await self.send("POST", path, {"order": "one manifold"})
        if self.require_ticket:
            return "" if answer.status == 428 else f"status {answer.status}"
        runs = [
            count
            for call, count in self._fleet.executions().items()
            if "manifold" in call
        ]
        if answer.status != 200 or runs != [1]:
            return f"status {answer.status}, runs {runs}"
        return ""

    async def check_crashing_request(self) -> str:
        """Check that a request which crashes engines is refused after two crashes."""
        for _ in range(4):
            answer = await self.chat(f"please {CRASH_MARKER}", 4, stream=False)
            down = self._engines_down()
            for name in down:
                self._fleet.restart_engine(name)
            await task.deferLater(reactor, 1.0, lambda: None)
            if answer.status == 422:
                break
        crashes = sum(
            count
            for server in self._fleet.server_by_name.values()
            if server.engine is not None
            for prompt, count in server.engine.executions.items()
            if CRASH_MARKER in prompt
        )
        if answer.status != 422 or crashes > 2:
            return f"status {answer.status} after {crashes} crashes"
        return ""

    def _engines_down(self) -> list[str]:
        servers = self._fleet.server_by_name.values()
        return [server.name for server in servers if server.port is None]

    async def check_after_crash(self) -> str:
        """Check that other requests are answered after the crashes."""
        return await self.check_streams()

    async def check_expert_map(self) -> str:
        """Check that a skewed group changes its expert map on all ranks together."""
        group = self._fleet.sheet["model_groups"][0]
        servers = [self._fleet.server_by_name[name] for name in group["ranks"]]
        engines = [server.engine for server in servers if server.engine is not None]
        hot = range(0, 4 * len(engines), len(engines))
        shares = self._work_shares(hot)
        for engine, share in zip(engines, shares, strict=True):
            engine.rank_seconds = engine.token_seconds * share
            engine.load_by_expert = {
                (layer, expert): HOT_TOKENS if expert in hot else COLD_TOKENS
                for layer in range(group["layers"])
                for expert in range(group["experts"])
            }
        end = read_now() + MAP_SECONDS
        while read_now() < end:
            versions = {engine.map_version for engine in engines}
            if versions == {2} and not any(engine.held for engine in engines):
                return ""
            await task.deferLater(reactor, POLL_SECONDS, lambda: None)
        return f"after {MAP_SECONDS:.0f} s the ranks use maps {sorted(versions)}"

    def _work_shares(self, hot: range) -> list[float]:
        """Return each rank's work in a step over the mean, under the first map."""
        node = self._fleet.entries[0].node
        sheet = node.sheet
        assert sheet is not None
        group = next(iter(sheet.group_by_name.values()))
        loads = np.full(group.experts, float(COLD_TOKENS))
        loads[list(hot)] = HOT_TOKENS
        times = rank_times(
            build_initial_map(group)[0], loads, np.ones(len(group.ranks))
        )
        return [float(time) for time in times / times.mean()]

    async def check_traces(self) -> str:
        """Check that each hop of a request has a span of the same trace."""
        hops_by_trace: dict[int, set[str]] = {}
        nodes: list[Any] = [entry.node for entry in self._fleet.entries]
        nodes += [server.agent.node for server in self._fleet.server_by_name.values()]
        for node in nodes:
            for span in node.tracing.span_queue.spans:
                trace_id = span.context.trace_id
                hops_by_trace.setdefault(trace_id, set()).add(span.name)
        whole = {"entry", "attempt", "agent", "backend"}
        complete = sum(whole <= hops for hops in hops_by_trace.values())
        return "" if complete >= CONCURRENT_REQUESTS else f"{complete} whole traces"

    async def run(self) -> list[CheckResult]:
        """Run all checks in order."""
        checks: list[Callable[[], Awaitable[str]]] = [
            self.check_models,
            self.check_plain_answer,
            self.check_streams,
            self.check_wrong_key,
            self.check_unknown_model,
            self.check_idempotent_call,
            self.check_order_once,
            self.check_bare_order,
            self.check_crashing_request,
            self.check_after_crash,
            self.check_expert_map,
            self.check_traces,
        ]
        results = []
        for check in checks:
            name = check.__name__.removeprefix("check_").replace("_", " ")
            problem = await check()
            results.append(CheckResult(name, problem))
            print(f"{'FAILED' if problem else 'ok    '}  {name}  {problem}".rstrip())
        await self._client.close()
        return results

    def curl_line(self) -> str:
        """Return a command that asks the fleet for a stream."""
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": "a loop layout"}],
            "max_tokens": 8,
            "stream": True,
        }
        document = msgspec.json.encode(body).decode()
        return (
            f"curl -N http://{self.next_entry()}/v1/chat/completions "
            f"-H 'Authorization: Bearer {DEMO_KEY_PREFIX}{self.account}' "
            f"-d '{document}'"
        )


async def _first_problem(checks: Sequence[Any]) -> str:
    running = [defer.ensureDeferred(check) for check in checks]
    problems = [await one for one in running]
    return next((problem for problem in problems if problem), "")


def _json(answer: Answer) -> dict[str, Any]:
    try:
        return msgspec.json.decode(answer.body, type=dict[str, Any])
    except msgspec.MsgspecError:
        return {}


def _text_of(answer: Answer) -> str:
    choices = _json(answer).get("choices", [])
    return "".join(choice["message"]["content"] for choice in choices)


def _stream_text(answer: Answer) -> str:
    parts = []
    for event in answer.body.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if not data or data == b"[DONE]":
            continue
        document = msgspec.json.decode(data)
        for choice in document.get("choices", []):
            parts.append(choice["delta"]["content"])
    return "".join(parts)


async def _wait_until_ready(fleet: DemoFleet) -> bool:
    end = read_now() + READY_SECONDS
    while read_now() < end:
        if fleet.is_ready():
            await task.deferLater(reactor, WARM_UP_SECONDS, lambda: None)
            return True
        await task.deferLater(reactor, POLL_SECONDS, lambda: None)
    return False


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = make_parser("lacewing-demo", "Run a whole fleet in one process.")
    parser.add_argument("--sheet", default=str(DEFAULT_SHEET), metavar="FILE")
    parser.add_argument(
        "--serve",
        action="store_true",
        help="keep the fleet up and print a command to try",
    )
    parser.add_argument("--log-level", default="error")
    options = parser.parse_args(arguments)
    configure_logging("text", options.log_level)
    text = read_text(options.sheet)
    if text is None:
        return EXIT_USAGE
    parsed = parse_document(text, options.sheet)
    if isinstance(parsed, Err):
        print_findings(parsed.err_value)
        return EXIT_FINDINGS
    checked = check_sheet(parsed.ok_value.value, options.sheet, parsed.ok_value.line_of)
    if isinstance(checked, Err):
        print_findings(checked.err_value)
        return EXIT_FINDINGS
    fleet = DemoFleet(reactor, parsed.ok_value.value)
    log = ComponentLogger("demo")
    failures: list[str] = []
    done: list[str] = []
    react: Any = reactor

    async def run() -> None:
        try:
            if not await _wait_until_ready(fleet):
                failures.append("the fleet did not become ready")
                print("FAILED  the fleet did not become ready")
                return
            demo = Demo(fleet)
            print(
                f"{len(fleet.entries)} entries and {len(fleet.server_by_name)} agents "
                f"run the sheet {options.sheet}.",
            )
            if options.serve:
                print(f"Try:\n{demo.curl_line()}\nStop with Ctrl-C.", flush=True)
                return
            results = await demo.run()
            failures.extend(result.name for result in results if result.problem)
            done.extend(result.name for result in results)
        finally:
            if not options.serve:
                await fleet.close()
                react.stop()

    def start() -> None:
        fleet.start()
        running = defer.ensureDeferred(run())
        running.addErrback(lambda failure: _fail(failure, failures, react))

    exit_code = run_until_stopped(react, start, fleet.close, lambda: None, log)
    if failures:
        print(f"{len(failures)} checks failed.")
        return EXIT_FINDINGS
    if exit_code == EXIT_OK and not options.serve:
        if not done:
            print("The demo was stopped before it had ended.")
            return EXIT_FINDINGS
        print("All answers were right.")
    return exit_code


def _fail(failure: Any, failures: list[str], react: Any) -> None:
    print(failure.getTraceback(), file=sys.stderr)
    failures.append("internal error")
    if react.running:
        react.stop()


if __name__ == "__main__":
    sys.exit(main())
