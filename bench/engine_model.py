"""Model of a group with continuous batching, for benchmarks of routing.

A step decodes one token for each running request and prefills up to a chunk of prompt
tokens. Its time grows with the batch and the chunk. Prompt prefixes are cached by block
in an LRU list.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

from lacewingcleat.messages import CacheEvents, GroupReport
from lacewingcleat.prefix_affinity import BLOCK_TOKENS

SLOTS = 32
EMPTY_STEP_SECONDS = 0.015
FULL_BATCH_SECONDS = 0.005
CHUNK_TOKENS = 256
CHUNK_SECONDS = 0.005
CACHE_BLOCKS = 600
STEP_SMOOTHING = 0.1
FULL_STEP_SECONDS = EMPTY_STEP_SECONDS + FULL_BATCH_SECONDS + CHUNK_SECONDS
PREFILL_TOKENS_PER_SECOND = CHUNK_TOKENS / FULL_STEP_SECONDS


@dataclass(slots=True, eq=False)
class Job:
    """Follow one request through the model."""

    number: int
    arrived_at: float
    entry: int
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[str, ...]
    account: str
    sent_at: float = 0.0
    group: int = -1
    prefill_left: int = 0
    cached_tokens: int = 0
    first_token_at: float = 0.0
    finished_at: float = 0.0
    tries: int = 0
    excluded: frozenset[int] = frozenset()
    handle: object = None

    @property
    def unloaded_first_token_seconds(self) -> float:
        """Return the first-token time at an idle group without cache."""
        chunks = -(-self.prompt_tokens // CHUNK_TOKENS)
        return chunks * (EMPTY_STEP_SECONDS + CHUNK_SECONDS)

    @property
    def work_seconds(self) -> float:
        """Return the cost in seconds of group time, without cache."""
        prefill = self.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        return prefill + self.output_tokens * FULL_STEP_SECONDS / SLOTS


@dataclass(slots=True, eq=False)
class EngineModel:
    """Hold the state of one group; the caller schedules its steps.

    :param slowdown: factor on step times; infinite while a rank is stalled.
    """

    number: int
    slowdown: float = 1.0
    alive: bool = True
    stepping: bool = False
    step: int = 0
    step_started_at: float = 0.0
    step_seconds: float = EMPTY_STEP_SECONDS
    waiting: deque[Job] = field(default_factory=deque)
    prefilling: deque[Job] = field(default_factory=deque)
    decoding: list[tuple[int, int, Job]] = field(default_factory=list)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    sequence: int = 0
    event_sequence: int = 0
    admitted_seconds: float = 0.0
    chunk: int = 0

    @property
    def active(self) -> int:
        """Return the requests that hold a slot."""
        return len(self.prefilling) + len(self.decoding)

    def work_left(self) -> float:
        """Return the outstanding work in seconds of group time."""
        tokens = sum(job.prefill_left for job in self.prefilling)
        steps = sum(finish - self.step for finish, _, _ in self.decoding)
        steps += sum(job.output_tokens for job in self.prefilling)
        waiting = sum(job.work_seconds for job in self.waiting)
        prefill = tokens / PREFILL_TOKENS_PER_SECOND
        return waiting + prefill + steps * FULL_STEP_SECONDS / SLOTS

    def arrive(self, job: Job) -> None:
        """Queue a request."""
        self.waiting.append(job)
        self.admitted_seconds += job.work_seconds

    def start_step(self, now: float) -> float:
        """Begin a step and return its duration, 0 if there is nothing to do."""
        while self.waiting and self.active < SLOTS:
            self._admit(self.waiting.popleft())
        if not self.active:
            self.stepping = False
            return 0.0
        left = CHUNK_TOKENS
        for job in self.prefilling:
            part = min(left, job.prefill_left)
            job.prefill_left -= part
            left -= part
            if not left:
                break
        self.chunk = CHUNK_TOKENS - left
        self.stepping = True
        self.step_started_at = now
        batch = FULL_BATCH_SECONDS * self.active / SLOTS
        chunk = CHUNK_SECONDS * self.chunk / CHUNK_TOKENS
        return self.slowdown * (EMPTY_STEP_SECONDS + batch + chunk)

    def end_step(self, now: float) -> tuple[list[Job], list[Job]]:
        """End a step; return the requests with a first token and the finished ones."""
        self.step += 1
        duration = now - self.step_started_at
        self.step_seconds += STEP_SMOOTHING * (duration - self.step_seconds)
        finished = []
        while self.decoding and self.decoding[0][0] <= self.step:
            finished.append(heappop(self.decoding)[2])
        first = []
        while self.prefilling and self.prefilling[0].prefill_left <= 0:
            job = self.prefilling.popleft()
            first.append(job)
            finish = self.step + max(1, job.output_tokens - 1)
            heappush(self.decoding, (finish, job.number, job))
        return first, finished

    def make_report(self, now: float) -> GroupReport:
        """Return a report of the present state.

        A step that has not ended counts with its time so far, so that a stalled rank
        shows in the report.
        """
        self.sequence += 1
        running_step = now - self.step_started_at if self.stepping else 0.0
        tokens = sum(job.prefill_left for job in self.prefilling)
        queued = tokens / PREFILL_TOKENS_PER_SECOND
        queued += sum(job.work_seconds for job in self.waiting)
        return GroupReport(
            group=f"g{self.number}",
            server=f"s{self.number}",
            queued_seconds=queued * self.slowdown if self.slowdown < 100 else queued,
            running=self.active,
            capacity=SLOTS,
            step_seconds=max(self.step_seconds, running_step),
            slowest_rank=0,
            prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
            adapters=(),
            versions=("1",),
            kv_free_share=0.5,
            sequence=self.sequence,
            admitted_seconds=self.admitted_seconds,
        )

    def take_events(self) -> CacheEvents:
        """Return the cache events since the last call."""
        self.event_sequence += 1
        events = CacheEvents(
            f"g{self.number}",
            self.event_sequence,
            tuple(self.added),
            tuple(self.removed),
        )
        self.added, self.removed = [], []
        return events

    def lose(self) -> list[Job]:
        """Die and return the requests that are lost with the group."""
        self.alive = False
        self.stepping = False
        lost = [*self.waiting, *self.prefilling, *(job for _, _, job in self.decoding)]
        self.waiting.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.cache.clear()
        return lost

    def _admit(self, job: Job) -> None:
        cached = 0
        for block in job.blocks:
            if block not in self.cache:
                break
            cached += 1
        job.cached_tokens = min(cached * BLOCK_TOKENS, job.prompt_tokens - 1)
        job.prefill_left = job.prompt_tokens - job.cached_tokens
        for block in job.blocks:
            if block in self.cache:
                self.cache.move_to_end(block)
            else:
                self.cache[block] = None
                self.added.append(block)
        while len(self.cache) > CACHE_BLOCKS:
            self.removed.append(self.cache.popitem(last=False)[0])
        self.prefilling.append(job)
