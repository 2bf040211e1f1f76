"""transport: a small model engine for demos and tests.

It implements what docs/interfaces.md asks of an engine, and nothing else: run, stream,
cancel, resume at a token offset, load report, cache events, orders with fencing and KV
export and import. The text of an answer follows from the prompt alone, so a caller can
check that it received the whole answer to its own request.
"""

from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec
from twisted.internet import defer, task

from lacewingcleat.chat_api import CHAT_PATH, COMPLETIONS_PATH
from lacewingcleat.event_stream import CONTENT_TYPE, DONE_EVENT, encode_event
from lacewingcleat.http_server import BoundedFactory, BoundedRequest

JSON = "application/json"
DEFAULT_TOKEN_SECONDS = 0.01
DEFAULT_SLOTS = 8
MAX_KV_EXPORTS = 64
MAX_MAPS = 4
MAX_CACHE_EVENTS = 1024
PREFIX_BLOCK_CHARS = 64
# A prompt with this text ends the engine, as some real requests do.
CRASH_MARKER = "crash the engine"
# A stream with this text breaks off halfway and fails when it is resumed.
FAILED_RESUME_MARKER = "fail when resumed"


def answer_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that the engine gives for a prompt."""
    digest = blake2b(prompt.encode(), digest_size=4).hexdigest()
    return [f"{digest}-{index} " for index in range(count)]


class _EngineBody(msgspec.Struct):
    model: str = ""
    messages: list[dict[str, Any]] | None = None
    prompt: Any = None
    stream: bool | None = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    lacewing_resume_offset: int = 0


class _OrderBody(msgspec.Struct):
    kind: str
    fence_term: int
    fence_instance: str
    fence_sequence: int
    map_version: int = 0
    step: int = 0
    name: str = ""


@dataclass(slots=True)
class _Run:
    """Hold a request that the engine is answering."""

    request: BoundedRequest
    body: _EngineBody
    tokens: list[str]
    position: int
    is_chat: bool
    request_id: str

    @property
    def breaks_off(self) -> bool:
        """Return whether the stream breaks off now."""
        is_halfway = self.position == len(self.tokens) // 2
        return is_halfway and FAILED_RESUME_MARKER in _prompt(self.body)


class EngineStandIn:
    """Answer model requests one token per step for all running requests.

    :param reactor: the loop.
    :param token_seconds: time of a step.
    :param checks_fencing: whether orders with old fencing numbers are refused.
    :param on_crash: called when a request crashes the engine.
    """

    def __init__(
        self,
        reactor: Any,
        incarnation: str,
        token_seconds: float = DEFAULT_TOKEN_SECONDS,
        slots: int = DEFAULT_SLOTS,
        checks_fencing: bool = False,
        on_crash: Any = None,
    ) -> None:
        self.incarnation = incarnation
        self.token_seconds = token_seconds
        self.slots = slots
        self.executions: dict[str, int] = {}
        self.cancelled = 0
        self.orders: list[_OrderBody] = []
        self.loaded: set[str] = set()
        self.maps: dict[int, bytes] = {}
        self.load_by_expert: dict[tuple[int, int], int] = {}
        self.role = "mixed"
        # Time of this rank's own work in a step, if it differs from the step.
        self.rank_seconds = 0.0
        self.map_version = 1
        self.next_map_version = 0
        self.hold_step = -1
        self.held = False
        self.step = 0
        self._checks_fencing = checks_fencing
        self._highest_fence: tuple[int, str, int] = (0, "", 0)
        self._on_crash = on_crash
        self._run_by_request_id: dict[str, _Run] = {}
        self._next_id = 0
        self._kv_by_key: dict[str, bytes] = {}
        self._cache_events: deque[tuple[int, str]] = deque(maxlen=MAX_CACHE_EVENTS)
        self._cached: set[str] = set()
        self.factory = BoundedFactory(self.handle)
        self._loop = task.LoopingCall(self._step)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start the steps."""
        ignored: defer.Deferred[Any] = self._loop.start(self.token_seconds, now=False)
        ignored.addErrback(lambda _: None)

    def stop(self) -> None:
        """Stop the steps and break off all answers."""
        if self._loop.running:
            self._loop.stop()
        for run in self._run_by_request_id.values():
            if run.request.is_open:
                run.request.channel.forceAbortClient()
        self._run_by_request_id.clear()

    def handle(self, request: BoundedRequest) -> None:
        """Answer one request."""
        path = request.path_text()
        match (request.method, path):
            case (b"POST", "/v1/chat/completions" | "/v1/completions"):
                self._run(request, path)
            case (b"POST", "/cancel"):
                self._cancel(request)
            case (b"GET", "/load"):
                self._respond(request, self._load())
            case (b"GET", "/cache_events"):
                self._respond_cache_events(request)
            case (b"POST", "/orders"):
                self._order(request)
            case (b"GET", "/state"):
                self._respond(request, self._state())
            case (b"GET" | b"PUT", _) if path.startswith("/maps/"):
                self._take_map(request, path.removeprefix("/maps/"))
            case (b"GET" | b"PUT", _) if path.startswith("/kv/"):
                self._kv(request, path.removeprefix("/kv/"))
            case _:
                request.respond(404, JSON, b'{"error":"no such path"}')

    def _respond(self, request: BoundedRequest, document: object) -> None:
        request.respond(200, JSON, msgspec.json.encode(document))

    def _run(self, request: BoundedRequest, path: str) -> None:
        try:
            body = msgspec.json.decode(request.body.getvalue(), type=_EngineBody)
        except msgspec.MsgspecError as error:
            document = {"error": {"message": str(error), "type": "invalid"}}
            request.respond(400, JSON, msgspec.json.encode(document))
            return
        prompt = _prompt(body)
        request_id = request.header("Lacewing-Request-Id") or self._make_id()
        self.executions[prompt] = self.executions.get(prompt, 0) + 1
        if CRASH_MARKER in prompt:
            self._crash()
            return
        count = body.max_completion_tokens or body.max_tokens or 16
        tokens = answer_tokens(prompt, count)
        offset = max(0, min(body.lacewing_resume_offset, len(tokens)))
        if offset and FAILED_RESUME_MARKER in prompt:
            failure = {"error": {"message": "cannot resume", "type": "internal"}}
            request.respond(500, JSON, msgspec.json.encode(failure))
            return
        run = _Run(request, body, tokens, offset, path == CHAT_PATH, request_id)
        self._run_by_request_id[request_id] = run
        self._remember_prefixes(prompt)
        gone: defer.Deferred[None] = request.notifyFinish()
        gone.addErrback(lambda _: self._drop(request_id))
        if body.stream:
            request.setResponseCode(200)
            request.setHeader(b"Content-Type", CONTENT_TYPE.encode())

    def _make_id(self) -> str:
        self._next_id += 1
        return f"engine-{self._next_id}"

    def _crash(self) -> None:
        self.stop()
        self.factory.abort_connections()
        if self._on_crash is not None:
            self._on_crash()

    def _drop(self, request_id: str) -> None:
        if self._run_by_request_id.pop(request_id, None) is not None:
            self.cancelled += 1

    def _step(self) -> None:
        """Give each running request one token, unless the engine is held."""
        if self.held:
            return
        if self.hold_step >= 0 and self.step >= self.hold_step:
            self.held = True
            return
        self.step += 1
        for request_id, run in list(self._run_by_request_id.items())[: self.slots]:
            if not run.request.is_open:
                self._drop(request_id)
            elif run.position >= len(run.tokens):
                self._finish(request_id, run)
            elif run.breaks_off:
                self._drop(request_id)
                run.request.channel.forceAbortClient()
            elif run.body.stream:
                run.request.write(encode_event(_chunk(run)))
                run.position += 1
            else:
                run.position += 1

    def _finish(self, request_id: str, run: _Run) -> None:
        del self._run_by_request_id[request_id]
        if run.body.stream:
            run.request.write(DONE_EVENT)
            run.request.finish()
            return
        self._respond(run.request, _complete(run))

    def _cancel(self, request: BoundedRequest) -> None:
        request_id = request.header("Lacewing-Request-Id") or ""
        run = self._run_by_request_id.get(request_id)
        self._drop(request_id)
        if run is not None and run.request.is_open:
            run.request.channel.forceAbortClient()
        self._respond(request, {"cancelled": run is not None})

    def _load(self) -> dict[str, Any]:
        runs = self._run_by_request_id.values()
        remaining = sum(len(run.tokens) - run.position for run in runs)
        running = min(self.slots, len(self._run_by_request_id))
        return {
            "incarnation": self.incarnation,
            "running": running,
            "waiting": len(self._run_by_request_id) - running,
            "capacity": self.slots,
            "queued_seconds": remaining * self.token_seconds / self.slots,
            "step_seconds": self.rank_seconds or self.token_seconds,
            "prefill_tokens_per_second": 20_000.0,
            "kv_free_share": 1.0 - running / self.slots,
            "adapters": sorted(self.loaded),
            "load_by_expert": [
                [layer, expert, tokens]
                for (layer, expert), tokens in self.load_by_expert.items()
            ],
        }

    def _state(self) -> dict[str, Any]:
        return {
            "incarnation": self.incarnation,
            "map_version": self.map_version,
            "next_map_version": self.next_map_version,
            "hold_step": self.hold_step,
            "held": self.held,
            "step": self.step,
            "loaded": sorted(self.loaded),
            "role": self.role,
        }

    def _order(self, request: BoundedRequest) -> None:
        try:
            order = msgspec.json.decode(request.body.getvalue(), type=_OrderBody)
        except msgspec.MsgspecError as error:
            request.respond(400, JSON, msgspec.json.encode({"error": str(error)}))
            return
        fence = (order.fence_term, order.fence_instance, order.fence_sequence)
        if self._checks_fencing and fence < self._highest_fence:
            request.respond(409, JSON, b'{"error":"old fencing number"}')
            return
        self._highest_fence = max(fence, self._highest_fence)
        self.orders.append(order)
        self._apply(order)
        self._respond(request, self._state())

    def _apply(self, order: _OrderBody) -> None:
        match order.kind:
            case "load-map":
                self.next_map_version = order.map_version
            case "hold":
                self.hold_step = order.step
                self.held = self.step >= self.hold_step
            case "switch-map":
                self.map_version = order.map_version
                self.next_map_version = 0
            case "resume":
                self.held = False
                self.hold_step = -1
            case "drop-map":
                self.next_map_version = 0
            case "load":
                self.loaded.add(order.name)
            case "unload":
                self.loaded.discard(order.name)
            case "set-role":
                self.role = order.name

    def _take_map(self, request: BoundedRequest, version: str) -> None:
        """Keep or return a map; a real engine keeps it when it has the weights."""
        if request.method == b"GET":
            content = self.maps.get(int(version) if version.isdigit() else 0)
            request.respond(404 if content is None else 200, JSON, content or b"{}")
            return
        if not version.isdigit():
            request.respond(400, JSON, b'{"error":"malformed version"}')
            return
        self.maps[int(version)] = request.body.getvalue()
        while len(self.maps) > MAX_MAPS:
            del self.maps[min(self.maps)]
        request.respond(204, JSON, b"")

    def _kv(self, request: BoundedRequest, key: str) -> None:
        if request.method == b"PUT":
            if len(self._kv_by_key) < MAX_KV_EXPORTS:
                self._kv_by_key[key] = request.body.getvalue()
            request.respond(204, JSON, b"")
            return
        content = self._kv_by_key.get(key)
        if content is None:
            request.respond(404, JSON, b'{"error":"no such key"}')
            return
        request.respond(200, "application/octet-stream", content)

    def _remember_prefixes(self, prompt: str) -> None:
        for end in range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS):
            block = blake2b(prompt[:end].encode(), digest_size=8).hexdigest()
            if block not in self._cached:
                self._cached.add(block)
                last = self._cache_events[-1][0] if self._cache_events else 0
                self._cache_events.append((last + 1, block))

    def _respond_cache_events(self, request: BoundedRequest) -> None:
        values = request.args.get(b"after", [b"0"])
        after = int(values[0]) if values[0].isdigit() else 0
        events = [
            {"sequence": sequence, "added": block}
            for sequence, block in self._cache_events
            if sequence > after
        ]
        self._respond(request, {"events": events})


def _prompt(body: _EngineBody) -> str:
    if body.messages:
        return "\n".join(str(message.get("content", "")) for message in body.messages)
    return str(body.prompt or "")


def _chunk(run: _Run) -> dict[str, Any]:
    text = run.tokens[run.position]
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if run.position == len(run.tokens) - 1:
        choice["finish_reason"] = "stop"
    if run.is_chat:
        choice["delta"] = {"role": "assistant", "content": text}
        kind = "chat.completion.chunk"
    else:
        choice["text"] = text
        kind = "text_completion"
    return _envelope(run, kind, [choice])


def _complete(run: _Run) -> dict[str, Any]:
    text = "".join(run.tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if run.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
        document = _envelope(run, "chat.completion", [choice])
    else:
        choice["text"] = text
        document = _envelope(run, "text_completion", [choice])
    count = len(run.tokens)
    document["usage"] = {
        "prompt_tokens": 1,
        "completion_tokens": count,
        "total_tokens": count + 1,
    }
    return document


def _envelope(run: _Run, kind: str, choices: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "id": run.request_id,
        "object": kind,
        "created": 0,
        "model": run.body.model,
        "choices": choices,
    }


__all__ = ["COMPLETIONS_PATH", "CRASH_MARKER", "EngineStandIn", "answer_tokens"]
