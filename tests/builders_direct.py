"""Builders of what direct entries decide with, and a simulated group of ranks."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from lacewingcleat.map_orders import (
    ArmMap,
    DisarmMap,
    FencedOrder,
    HoldPass,
    OrderAnswer,
    PrepareMap,
    RankMapState,
    ReleasePass,
)
from lacewingcleat.routing_config import (
    ConfigAccount,
    ListenerLimits,
    RequestKind,
    Route,
    RoutingConfig,
    WeightedService,
    index_routes,
)
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.store_items import StoreItem

LIMITS = ListenerLimits(16_384, 4_194_304, 3.0, 15.0)


def make_route(
    name: str = "r",
    prefix: str = "/a/",
    kind: RequestKind = RequestKind.IDEMPOTENT,
    public: bool = False,
    resumable: bool = False,
    shares: tuple[WeightedService, ...] = (WeightedService("s", 1.0),),
    priority: int = 1,
) -> Route:
    """Make a route of the host `h`."""
    return Route(
        name=name,
        host="h",
        prefix=prefix,
        kind=kind,
        timeout_seconds=2.0,
        target_latency_seconds=0.2,
        event_interval_seconds=0.12,
        priority=priority,
        weighted_services=shares,
        max_attempts=2,
        public=public,
        resumable=resumable,
    )


def make_config(
    *routes: Route,
    version: int = 1,
    keys: Mapping[str, ConfigAccount] | None = None,
) -> RoutingConfig:
    """Make a configuration with one key `k` unless others are given."""
    accounts = {"k": ConfigAccount("acme", None)} if keys is None else dict(keys)
    return RoutingConfig(
        version=version,
        routes_by_host=index_routes(list(routes or [make_route()])),
        service_by_name={},
        account_by_key=accounts,
        requires_keys=True,
        limits=LIMITS,
    )


def make_record(
    name: str = "i-1",
    zone: str = "z",
    slots: int = 6,
    leaving: bool = False,
    started_ms: int = 1,
) -> ServerRecord:
    """Make a server of the service `s`."""
    return ServerRecord(name, "s", "127.0.0.1:1", zone, slots, leaving, started_ms)


def make_item(key: str, revision: int, value: bytes | None = b"v") -> StoreItem:
    """Make a store item."""
    return StoreItem(key, revision, value)


@dataclass
class SimulatedRank:
    """Obey orders as an engine that checks fencing tokens does."""

    token: int = 0
    mapping: int = 0
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    versions: set[int] = field(default_factory=lambda: {0})


class MixedMapsError(AssertionError):
    """Say that a pass began with different maps."""


class SimulatedGroup:
    """Run passes over ranks; orders may be lost or carried out late.

    :param lost: share of orders whose answer is lost.
    :param late: share of the lost ones that are carried out later.
    :ivar idle_share: share of the seconds in which the group has nothing to do.
    :ivar interlude: called now and then while an order is under way, as if the sender
        had been frozen.
    """

    def __init__(self, size: int, random: Random, lost: float, late: float) -> None:
        self.ranks = [SimulatedRank() for _ in range(size)]
        self.random = random
        self.lost = lost
        self.late = late
        self.now = 0.0
        self.step = 0
        self.pass_seconds = 0.05
        self.next_pass = 0.0
        self.pending: list[tuple[float, int, FencedOrder]] = []
        self.history: list[tuple[float, list[RankMapState]]] = []
        self.idle_share = 0.0
        self.idle_until = 0.0
        self.interlude: Callable[[], None] | None = None
        self.before_order: Callable[[], None] = lambda: None

    def advance(self, seconds: float) -> None:
        """Let time pass; carries out late orders and begins passes."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + 0.01)
            due = [entry for entry in self.pending if entry[0] <= self.now]
            self.pending = [entry for entry in self.pending if entry[0] > self.now]
            for _, rank, order in due:
                self.apply(rank, order)
            if self.now >= max(self.next_pass, self.idle_until):
                self._begin_pass()
            self.history.append((self.now, [self._state(r) for r in self._numbers()]))
        self.history = self.history[-200:]

    def _numbers(self) -> range:
        return range(len(self.ranks))

    def _begin_pass(self) -> None:
        step = self.step + 1
        if any(rank.held == step for rank in self.ranks):
            return
        self.step = step
        self.next_pass = self.now + self.pass_seconds
        if self.random.random() < self.idle_share * self.pass_seconds:
            self.idle_until = self.now + self.random.uniform(1.0, 15.0)
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == step:
                rank.mapping = rank.armed[0]
                rank.armed = None
        if len({rank.mapping for rank in self.ranks}) > 1:
            raise MixedMapsError(f"pass {step}")

    def apply(self, number: int, fenced: FencedOrder) -> OrderAnswer:
        """Carry out an order at a rank."""
        rank = self.ranks[number]
        if fenced.token < rank.token:
            return OrderAnswer.FENCED
        rank.token = fenced.token
        match fenced.order:
            case PrepareMap(version, _):
                if version <= max(rank.versions) or rank.armed is not None:
                    return OrderAnswer.CONFLICT
                rank.versions.add(version)
                rank.prepared = version
            case ArmMap(version, step):
                if rank.armed == (version, step):
                    return OrderAnswer.ACCEPTED
                if rank.prepared != version or step <= self.step:
                    return OrderAnswer.CONFLICT
                rank.armed = (version, step)
            case DisarmMap(version):
                if rank.armed is not None and rank.armed[0] == version:
                    rank.armed = None
            case HoldPass(step):
                if step <= self.step or rank.held not in (None, step):
                    return OrderAnswer.CONFLICT
                rank.held = step
            case ReleasePass(step):
                if rank.held == step:
                    rank.held = None
        return OrderAnswer.ACCEPTED

    def _state(self, number: int) -> RankMapState:
        rank = self.ranks[number]
        armed = rank.armed[0] if rank.armed else None
        return RankMapState(
            "g",
            1,
            number,
            len(self.ranks),
            True,
            self.step,
            rank.mapping,
            rank.prepared,
            armed,
            rank.held,
        )


class SimulatedPort:
    """Reach a simulated group; each call takes some time."""

    def __init__(self, group: SimulatedGroup) -> None:
        self.group = group

    def now(self) -> float:
        return self.group.now

    async def sleep(self, seconds: float) -> None:
        self.group.advance(seconds)

    async def read(self, ranks: Sequence[int]) -> dict[int, RankMapState]:
        """Return states as they were 0.2 s ago."""
        self.group.advance(0.01)
        past = [states for at, states in self.group.history if at <= self.now() - 0.2]
        states = past[-1] if past else self.group.history[0][1]
        return {rank: states[rank] for rank in ranks}

    async def order(
        self,
        orders: Mapping[int, FencedOrder],
    ) -> dict[int, OrderAnswer]:
        """Carry out orders, lose them or delay them by 2 to 12 s."""
        self.group.before_order()
        self.group.advance(0.01)
        random = self.group.random
        interlude = self.group.interlude
        if interlude is not None and random.random() < 0.1:
            # Orders of the interlude's own leader are not interrupted again.
            self.group.interlude = None
            interlude()
            self.group.interlude = interlude
        answers: dict[int, OrderAnswer] = {}
        for rank, order in orders.items():
            if random.random() >= self.group.lost:
                answers[rank] = self.group.apply(rank, order)
                continue
            answers[rank] = OrderAnswer.UNKNOWN
            if random.random() < self.group.late:
                at = self.group.now + random.uniform(2.0, 12.0)
                self.group.pending.append((at, rank, order))
            elif random.random() < 0.5:
                self.group.apply(rank, order)
        if OrderAnswer.UNKNOWN in answers.values():
            self.group.advance(0.2)
        return answers


def run_coroutine(awaitable: Awaitable[object]) -> object:
    """Run a coroutine that never really waits."""
    step = awaitable.__await__()
    try:
        next(step)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waited")
