"""transport: rebalance the expert maps of the groups that this entry leads.

The leader of a group is chosen by rendezvous hashing over the reachable entries. In a
network partition a group may have two leaders; the rules of `group_map_switch` make
this safe.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from result import Err, Ok, Result
from twisted.internet import defer, task

from lacewingcleat.clock import read_now, read_wall
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_state import DirectState
from lacewingcleat.expert_demand import ExpertDemandEstimator, RankSampler
from lacewingcleat.group_map_switch import (
    REASON_ARMED,
    GroupMapSwitch,
    HoldTracker,
    RankClient,
    SwitchResult,
    is_switch_pending,
)
from lacewingcleat.http_fetch import (
    MAX_SERVER_DOCUMENT_BYTES,
    FetchedResponse,
    fetch,
)
from lacewingcleat.map_orders import GroupOrder, OrderAnswer, RankMapState
from lacewingcleat.map_versions import MapVersions
from lacewingcleat.platform.order_call import (
    COUNTS_TARGET,
    EXPERTS_TARGET,
    ORDER_TARGET,
    decode_counts,
    decode_map_state,
    decode_order_response,
    decode_rank_experts,
    encode_order,
)
from lacewingcleat.platform.report_call import REPORT_TARGET
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.replica_placement import ExpertsByRank, MapShape
from lacewingcleat.replica_plan import (
    NoPlan,
    ReplicaPlan,
    ReplicaPlanner,
    is_map_change_worthwhile,
    make_shape,
)
from lacewingcleat.response_buffers import ResponseBuffers
from lacewingcleat.routing_config import EngineCapacity
from lacewingcleat.server_connection import ServerConnectionPool
from lacewingcleat.server_record import ServerRecord

# Prompts run for a few seconds and demand changes with them. The reads of each round
# count towards the control traffic.
REBALANCE_INTERVAL_SECONDS = 0.7
# Interval of the leadership check. A new leader starts a round at once; a leader that
# has found an unfinished switch of another leader starts a round at each check.
LEADERSHIP_CHECK_SECONDS = 0.35
# Steps of a plan that are calculated without a break, about 3 ms for a large group.
PLAN_STEPS_PER_SLICE = 8
# After a switch the ranks report the new map only when the held pass has begun, which
# is most of a second ahead, and reports are some hundred milliseconds old.
SETTLE_SECONDS = 0.9
# Ranks normally answer orders and reads within a few milliseconds.
RANK_TIMEOUT_SECONDS = 0.2
# Rates for the time that orders take on their way: the map of a large group goes over
# the narrow link of each rank, and once for each rank over the link of this entry.
RANK_LINK_BYTES_PER_SECOND = 300_000
ENTRY_LINK_BYTES_PER_SECOND = 1_200_000
# Bytes of orders that are sent at the same time. The map of a group of 72 ranks has
# 11 KB for each rank; sent to all at once it would delay the events of this entry's
# streams by half a second at 14 Mbit/s, and callers accept pauses of 120 to 150 ms.
MAX_ORDER_BYTES_IN_FLIGHT = 100_000
MIN_ORDERS_IN_FLIGHT = 4


class HttpRankClient(RankClient):
    """Send orders and reads to the ranks of one group over HTTP."""

    def __init__(
        self,
        reactor: Any,
        pool: ServerConnectionPool,
        server_by_rank: Mapping[int, ServerRecord],
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self._buffers = buffers
        self._reactor = reactor
        self._pool = pool
        self._server_by_rank = server_by_rank
        self.read_count = 0
        self.order_count = 0

    def record(self, rank: int) -> ServerRecord:
        """Return the record of a rank's server."""
        return self._server_by_rank[rank]

    def now(self) -> float:
        """Return the current time."""
        return read_now()

    def sleep(self, seconds: float) -> "defer.Deferred[None]":
        """Return a deferred that fires after a delay."""
        return task.deferLater(self._reactor, seconds, lambda: None)

    async def fetch(
        self,
        rank: int,
        target: bytes,
        body: bytes | None,
        timeout_seconds: float = RANK_TIMEOUT_SECONDS,
    ) -> FetchedResponse | str:
        """Send a POST if there is a body, else a GET; return the response or error."""
        record = self._server_by_rank[rank]
        if body is None:
            connection = await self._pool.acquire(record, read_now())
        else:
            # If a pooled connection closed while the order was sent, it would be
            # unknown whether the rank has applied the order.
            connection = await self._pool.connect(record)
        if isinstance(connection, str):
            return connection
        response = await fetch(
            connection,
            record.address,
            target,
            timeout_seconds,
            body,
            MAX_SERVER_DOCUMENT_BYTES,
            self._buffers,
        )
        if isinstance(response, FetchedResponse):
            self._pool.add_idle(record, connection, None, read_now())
        return response

    async def read(self, ranks: Sequence[int]) -> dict[int, RankMapState]:
        """Return the states of the ranks that responded."""
        self.read_count += len(ranks)
        response_by_rank = await self._gather(
            {rank: self.fetch(rank, REPORT_TARGET, None) for rank in ranks}
        )
        states: dict[int, RankMapState] = {}
        for rank, answer in response_by_rank.items():
            if not isinstance(answer, FetchedResponse) or answer.status != 200:
                continue
            state = decode_map_state(answer.body)
            if isinstance(state, Ok) and state.ok_value.rank == rank:
                states[rank] = state.ok_value
        return states

    async def order(
        self,
        orders: Mapping[int, GroupOrder],
    ) -> dict[int, OrderAnswer]:
        """Send orders to several ranks concurrently and return their answers."""
        self.order_count += len(orders)
        # The same order goes to many ranks, and a map of a large group is long.
        body_by_order = {id(order): encode_order(order) for order in orders.values()}
        body_by_rank = {rank: body_by_order[id(o)] for rank, o in orders.items()}
        sizes = [len(body) for body in body_by_rank.values()]
        concurrency = order_concurrency(sizes)
        timeout = order_timeout(sorted(sizes)[-concurrency:])
        response_by_rank = await self._gather(
            {
                rank: self.fetch(rank, ORDER_TARGET, body, timeout)
                for rank, body in body_by_rank.items()
            },
            concurrency,
        )
        return {
            rank: decode_order_response(answer.status)
            if isinstance(answer, FetchedResponse)
            else OrderAnswer.UNKNOWN
            for rank, answer in response_by_rank.items()
        }

    async def _gather(
        self, calls: Mapping[int, Any], concurrency: int | None = None
    ) -> dict[int, FetchedResponse | str]:
        semaphore = defer.DeferredSemaphore(max(1, concurrency or len(calls)))
        deferreds = [
            semaphore.run(defer.ensureDeferred, call) for call in calls.values()
        ]
        results = await defer.DeferredList(deferreds, consumeErrors=True)
        return {
            rank: value if success else str(value)
            for rank, (success, value) in zip(calls, results, strict=True)
        }


class _GroupState:
    """State that a leader keeps for one group."""

    def __init__(self, shape: MapShape, random: Random, now: float) -> None:
        self.shape = shape
        self.sampler = RankSampler(
            shape.ranks, shape.layer_sets * shape.experts, random, now
        )
        self.demand = ExpertDemandEstimator(shape.layer_sets, shape.experts, now)
        self.planner = ReplicaPlanner(shape, now)
        self.hold_tracker = HoldTracker()
        self.last_step = 0
        self.last_step_at = now
        self.step_seconds = 0.0
        # Whether the last round found an unfinished switch of another leader.
        self.has_unfinished_switch = False


class MapDriver:
    """Periodically rebalance the expert maps of the groups that this entry leads.

    :param instance: name of this entry.
    :param live_entries: returns the entries that are reachable and route requests.
    :param rebalances_large_groups: whether maps change of groups of which too few ranks
        can be read in a round.
    :param buffers: bound of all responses that are read at the same time.
    """

    def __init__(
        self,
        reactor: Any,
        instance: str,
        state: DirectState,
        pool: ServerConnectionPool,
        live_entries: Callable[[float], list[str]],
        log: DecisionLog,
        rebalances_large_groups: bool = False,
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self._buffers = buffers
        self._reactor = reactor
        self._instance = instance
        self._state = state
        self._pool = pool
        self._live_entries = live_entries
        self._log = log
        self._rebalances_large_groups = rebalances_large_groups
        self._group_by_name: dict[str, _GroupState] = {}
        self._last_round_at_by_group: dict[str, float] = {}
        self._versions = MapVersions(state.random)
        self.order_count = 0
        # Rounds that reached the decision, by outcome.
        self.round_counts: Counter[str] = Counter()
        self.last_skews: dict[str, float] = {}

    def start(self) -> None:
        """Start the periodic rounds."""
        running = defer.ensureDeferred(self._run())
        running.addErrback(
            lambda failure: self._log.failure(
                "map rounds ended", traceback=failure.getTraceback()
            )
        )

    async def _run(self) -> None:
        while True:
            await task.deferLater(self._reactor, LEADERSHIP_CHECK_SECONDS, lambda: None)
            for name, members, engine in self._led_groups(read_now()):
                if not self._is_round_due(name, read_now()):
                    continue
                self._last_round_at_by_group[name] = read_now()
                try:
                    await self._run_round(name, members, engine)
                except Exception as error:
                    self._log.failure("map round failed", group=name, error=repr(error))

    def _is_round_due(self, name: str, now: float) -> bool:
        last_round_at = self._last_round_at_by_group.get(name)
        group = self._group_by_name.get(name)
        if last_round_at is None or (group is not None and group.has_unfinished_switch):
            return True
        return now - last_round_at >= REBALANCE_INTERVAL_SECONDS

    def _led_groups(
        self,
        now: float,
    ) -> list[tuple[str, dict[str, ServerRecord], EngineCapacity]]:
        live = self._live_entries(now)
        if self._instance not in live:
            return []
        led_groups = []
        for name, members, engine in self._state.model_groups(now):
            leader = rank_by_rendezvous(name, live)[0]
            if leader == self._instance:
                led_groups.append((name, members, engine))
            else:
                self._group_by_name.pop(name, None)
                self._last_round_at_by_group.pop(name, None)
        return led_groups

    async def _run_round(
        self,
        name: str,
        members: dict[str, ServerRecord],
        engine: EngineCapacity,
    ) -> None:
        if (
            len(members) < 2
            or engine.layer_sets < 1
            or not self._state.groups.is_open(next(iter(members)))
        ):
            return
        server_by_rank = self._state.groups.servers_by_rank(name)
        record_by_rank = {
            rank: members[s] for rank, s in server_by_rank.items() if s in members
        }
        size = self._state.groups.count_ranks(name)
        if size != len(record_by_rank):
            return
        client = HttpRankClient(
            self._reactor, self._pool, record_by_rank, self._buffers
        )
        try:
            await self._rebalance(name, client, size, engine)
        finally:
            self.order_count += client.order_count

    async def _rebalance(
        self,
        name: str,
        client: HttpRankClient,
        size: int,
        engine: EngineCapacity,
    ) -> None:
        shape = make_shape(size, engine)
        group = self._group_by_name.get(name)
        if group is None or group.shape != shape:
            group = self._group_by_name[name] = _GroupState(
                shape, self._state.random, read_now()
            )
        sampler = group.sampler
        is_read_often = sampler.has_short_cycle or self._rebalances_large_groups
        if not (sampler.is_representative and is_read_often):
            self.round_counts["not representative"] += 1
            return
        states = await client.read(range(size))
        if len(states) != size:
            # In a large group a single response is often late or lost.
            states |= await client.read([r for r in range(size) if r not in states])
        if len(states) != size or len({s.epoch for s in states.values()}) != 1:
            return
        if not all(state.is_open for state in states.values()):
            return
        self._update_step_seconds(group, states)
        version, epoch = states[0].map_version, states[0].epoch
        if any(state.map_version != version for state in states.values()):
            return
        if is_switch_pending(states):
            # The ranks change their maps within the next passes.
            return
        if version != group.planner.version and not await self._adopt_map(
            name, group, client, version
        ):
            return
        switch = GroupMapSwitch(
            client,
            size,
            group.planner.current_map(),
            self._next_version,
            group.hold_tracker,
            self._state.random,
        )
        recovery = await switch.recover(states)
        group.has_unfinished_switch = (
            recovery is not None and recovery.reason != REASON_ARMED
        )
        if recovery is not None:
            self._log_recovery(name, states, recovery)
            return
        now = read_now()
        pace = self._state.groups.find_pace(name, now)
        if pace is None or not is_map_change_worthwhile(
            pace.typical_interval, self._state.max_event_interval_seconds
        ):
            return
        await self._read_demand(group, client)
        plan = await self._make_plan(group)
        if isinstance(plan, NoPlan):
            self.round_counts[plan.value] += 1
            return
        # The states may have changed while the plan was calculated.
        states = await client.read(range(size))
        if _is_undisturbed(states, size, epoch, version):
            await self._switch_map(name, group, switch, states, plan)

    def _log_recovery(
        self, name: str, states: Mapping[int, RankMapState], recovery: SwitchResult
    ) -> None:
        """Log what has become of another leader's switch, and what the ranks report."""
        self._log.belief(
            "map left",
            read_now(),
            group=name,
            outcome=recovery.reason,
            step=max(state.step for state in states.values()),
            held={r: s.held_step for r, s in states.items() if s.held_step is not None},
            armed={r: s.armed_version for r, s in states.items() if s.armed_version},
        )

    def _update_step_seconds(
        self, group: _GroupState, states: Mapping[int, RankMapState]
    ) -> None:
        now = read_now()
        step = max(state.step for state in states.values())
        elapsed = now - group.last_step_at
        step_count = step - group.last_step
        group.step_seconds = elapsed / step_count if step_count > 0 else 0.0
        group.last_step = step
        group.last_step_at = now

    async def _read_demand(self, group: _GroupState, client: HttpRankClient) -> None:
        """Read the counts of the ranks whose turn it is; some may not answer."""
        restrictions = self._state.restrictions
        for rank in group.sampler.next_ranks(read_now()):
            # Unlike the orders of a switch, these reads can go to any ranks.
            if restrictions.find(client.record(rank), read_now()) is not None:
                continue
            response = await client.fetch(rank, COUNTS_TARGET, None)
            if not isinstance(response, FetchedResponse) or response.status != 200:
                continue
            counts = decode_counts(response.body)
            if isinstance(counts, Ok):
                group.demand.observe(rank, counts.ok_value, read_now())

    async def _make_plan(self, group: _GroupState) -> ReplicaPlan | NoPlan:
        """Calculate a plan in slices, between which other requests are served."""
        loads = group.demand.loads(group.sampler.sampled_share)
        steps = group.planner.plan_in_steps(loads, read_now())
        while True:
            try:
                for _ in range(PLAN_STEPS_PER_SLICE):
                    next(steps)
            except StopIteration as end:
                plan: ReplicaPlan | NoPlan = end.value
                return plan
            await task.deferLater(self._reactor, 0.0, lambda: None)

    async def _adopt_map(
        self,
        name: str,
        group: _GroupState,
        client: HttpRankClient,
        version: int,
    ) -> bool:
        """Read back the map that the ranks use if another leader has installed it.

        Return whether all ranks have answered.
        """
        experts_by_set: list[ExpertsByRank] = [
            [] for _ in range(group.shape.layer_sets)
        ]
        for rank in range(group.shape.ranks):
            response = await client.fetch(rank, EXPERTS_TARGET, None)
            lists = self._decode_lists(response)
            if isinstance(lists, Err) or lists.ok_value[0] != version:
                return False
            for index, experts in enumerate(lists.ok_value[1]):
                experts_by_set[index].append(experts)
        group.planner.adopt(version, experts_by_set)
        self._log.belief("map adopted", read_now(), group=name, version=version)
        return True

    def _decode_lists(
        self,
        response: FetchedResponse | str,
    ) -> Result[tuple[int, list[set[int]]], str]:
        if not isinstance(response, FetchedResponse):
            return Err(response)
        return decode_rank_experts(response.body)

    async def _switch_map(
        self,
        name: str,
        group: _GroupState,
        switch: GroupMapSwitch,
        states: Mapping[int, RankMapState],
        plan: ReplicaPlan,
    ) -> None:
        result = await switch.switch(plan.experts, states, group.step_seconds)
        now = read_now()
        self.last_skews = {"before": plan.skew_before, "after": plan.skew_after}
        self.round_counts["switched" if result.switched else "switch failed"] += 1
        if result.switched:
            group.planner.record_switch(result.version, plan, now)
            self._last_round_at_by_group[name] = (
                now + SETTLE_SECONDS - REBALANCE_INTERVAL_SECONDS
            )
        else:
            group.planner.record_failure(now)
        self._log.belief(
            "map switch",
            now,
            group=name,
            version=result.version,
            epoch=states[0].epoch,
            outcome=result.reason,
            switched=result.switched,
            skew_before=round(plan.skew_before, 3),
            skew_after=round(plan.skew_after, 3),
            copies=plan.copies,
            step_ms=round(group.step_seconds * 1000.0, 1),
        )

    def _next_version(self, above: int) -> int:
        """Return a map version above a given one and all earlier ones."""
        return self._versions.next_version(above, read_wall().timestamp())


def order_concurrency(sizes: Sequence[int]) -> int:
    """Return how many orders are sent at the same time.

    :param sizes: bytes of each order.
    """
    return max(MIN_ORDERS_IN_FLIGHT, MAX_ORDER_BYTES_IN_FLIGHT // max(sizes, default=1))


def order_timeout(sizes: Sequence[int]) -> float:
    """Return the time limit for orders that are sent at the same time.

    :param sizes: bytes of each order.
    """
    return (
        RANK_TIMEOUT_SECONDS
        + max(sizes, default=0) / RANK_LINK_BYTES_PER_SECOND
        + sum(sizes) / ENTRY_LINK_BYTES_PER_SECOND
    )


def _is_undisturbed(
    states: Mapping[int, RankMapState], size: int, epoch: int, version: int
) -> bool:
    """Return whether all ranks use a map and no switch has begun."""
    return len(states) == size and all(
        state.is_open
        and state.epoch == epoch
        and state.map_version == version
        and state.held_step is None
        and state.armed_version is None
        for state in states.values()
    )
