"""transport: connect one rank of a group to its engine and its group's leader.

The rank's agent sends orders to the engine, reads its state, dispatches the messages of
map switches and, at the lowest live rank, runs the group's leader and balancer.
"""

from collections.abc import Iterable
from typing import Any

import msgspec
from result import Err
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from lacewingcleat.actions import Alarm, Send
from lacewingcleat.clock import read_now
from lacewingcleat.expert_load import RankCondition
from lacewingcleat.expert_placement import (
    Slots,
    apply_changes,
    decode_changes,
    decode_map,
    encode_map,
)
from lacewingcleat.group_balancer import (
    INITIAL_MAP_VERSION,
    GroupBalancer,
    build_initial_map,
    find_balancing_firm,
)
from lacewingcleat.group_leader import ReportAggregator, reported_layer
from lacewingcleat.map_switch import SwitchLeader
from lacewingcleat.messages import (
    Envelope,
    RankPhase,
    RankReport,
    ServerOrder,
    SwitchAbort,
    SwitchCommit,
    SwitchHold,
    SwitchPrepare,
    SwitchQuery,
    SwitchResume,
    SwitchStatus,
)
from lacewingcleat.node import Node
from lacewingcleat.order_fence import (
    EngineState,
    IssueOrder,
    OrderFence,
    ReadState,
    receive_order,
)
from lacewingcleat.rank_switch import FetchMap, RankSwitch
from lacewingcleat.rebalance import MapChangeCosts
from lacewingcleat.settings import AgentSettings
from lacewingcleat.sheet import ModelGroup, Sheet

ORDER_TIMEOUT_SECONDS = 2.0
MAP_TRANSFER_TIMEOUT_SECONDS = 600.0
MAX_STATE_BYTES = 1 << 16
MAX_MAP_BYTES = 8 << 20
# The map in use, the next one, and two that a delayed order may use as its base.
MAX_CACHED_MAPS = 4
# Tick interval during a switch; it is short because a hold is limited to 300 ms.
SWITCH_TICK_SECONDS = 0.01


class RankAgent:
    """Run the state machines of one rank.

    :param node: the control plane node of the agent.
    :param settings: settings of the agent.
    :param engine_checks_fencing: whether the engine checks fencing numbers.
    """

    def __init__(
        self,
        node: Node,
        settings: AgentSettings,
        group: ModelGroup,
        engine_checks_fencing: bool,
    ) -> None:
        now = read_now()
        name = settings.server
        self.group = group
        self.rank = group.ranks.index(name)
        self._node = node
        self._settings = settings
        self._fence = OrderFence(node.peer.incarnation, engine_checks_fencing, now)
        self._switch = RankSwitch(group.name, self.rank, self._fence)
        self._leader = SwitchLeader(group.name, name, group.ranks, now)
        self.report_aggregator = ReportAggregator(group.name, self.rank, group.ranks)
        self._balancer: GroupBalancer | None = None
        self._reported_slow: set[int] = set()
        self._fast_tick_loop = task.LoopingCall(self._fast_tick)
        self._fast_tick_loop.clock = node.reactor
        self._slots_by_version: dict[int, Slots] = {
            INITIAL_MAP_VERSION: build_initial_map(group),
        }
        self._reading_map = False

    @property
    def phase(self) -> RankPhase:
        """Return the switch phase of the rank."""
        return self._switch.phase

    @property
    def map_version(self) -> int:
        """Return the version of the expert map in use, 0 if unknown."""
        state = self._fence.state
        return state.map_version if state is not None else 0

    @property
    def layer_to_report(self) -> int:
        """Return the layer whose expert loads all ranks report at this step."""
        state = self._fence.state
        step = state.step if state is not None else 0
        return reported_layer(step, self.group.layers)

    @property
    def is_leader(self) -> bool:
        """Return whether this agent leads the group."""
        return self.report_aggregator.is_leader

    def status(self) -> dict[str, Any]:
        """Return the group's section of the status document."""
        return {
            "rank": self.rank,
            "phase": self.phase.value,
            "map_version": self.map_version,
            "leads": self.is_leader,
            "leader_phase": self._leader.phase.value,
            "switches": self._leader.finished_switches,
            "aborted_switches": self._leader.aborted_switches,
            "skew": self._balancer.skew if self._balancer is not None else None,
        }

    # Messages and time

    def receive(self, envelope: Envelope, now: float) -> bool:
        """Handle a message of the group; return False for any other message."""
        sender = envelope.sender.instance
        match envelope.body:
            case RankReport() as report:
                self.report_aggregator.receive(sender, report, now)
            case (
                SwitchPrepare()
                | SwitchHold()
                | SwitchCommit()
                | SwitchResume()
                | SwitchAbort()
                | SwitchQuery()
            ) as message:
                self._perform(self._switch.receive(sender, message, now))
            case SwitchStatus() as status:
                self._perform(self._leader.receive(status, now))
            case ServerOrder() as order:
                receipt = receive_order(self._fence, order, now)
                self._perform(receipt.actions)
                self._node.send(sender, receipt.status)
            case _:
                return False
        self._adjust_ticks()
        return True

    def tick(self, live_instances: Iterable[str], now: float) -> None:
        """Run the periodic work; called four times a second."""
        self.report_aggregator.set_live_instances(live_instances)
        self._switch.set_leader(self.report_aggregator.leader_instance)
        if self.is_leader:
            self._run_leader(now)
        elif self._leader.leading:
            self._leader.stop_leading()
            self._balancer = None
        self._advance(now)
        self._adjust_ticks()

    def stop(self) -> None:
        """Stop the fast ticks."""
        if self._fast_tick_loop.running:
            self._fast_tick_loop.stop()

    def _fast_tick(self) -> None:
        self._advance(read_now())
        self._adjust_ticks()

    def _advance(self, now: float) -> None:
        self._perform(self._switch.tick(now))
        self._perform(self._leader.tick(now))
        self._perform(self._leader.alarms(now))

    def _adjust_ticks(self) -> None:
        """Run the fast ticks only while a switch is in progress."""
        idle = self.phase is RankPhase.RUNNING and not self._leader.has_proposal
        if idle and self._fast_tick_loop.running:
            self._fast_tick_loop.stop()
        elif not idle and not self._fast_tick_loop.running and not self._node.stopping:
            running: defer.Deferred[Any] = self._fast_tick_loop.start(
                SWITCH_TICK_SECONDS
            )
            running.addErrback(
                lambda failure: self._node.log.error(failure.getTraceback()),
            )

    # Leading

    def _run_leader(self, now: float) -> None:
        sheet = self._node.sheet
        if sheet is None:
            return
        if not self._leader.leading:
            self._perform(self._leader.start_leading(now))
        if self._balancer is None:
            self._balancer = self._make_balancer(sheet)
            self._leader.store_map(self._balancer.encode_current_map())
        report = self.report_aggregator.aggregate(now)
        if report is not None:
            self._balancer.observe(report, now)
        version = self._leader.map_version
        if version > self._balancer.map_version and not self._leader.has_proposal:
            self._sync_balancer(self._balancer, version, now)
            return
        self._balance(self._balancer, now)

    def _sync_balancer(self, balancer: GroupBalancer, version: int, now: float) -> None:
        """Update the balancer to the group's map after a switch or a leader change."""
        balancer.record_switch(version, now)
        if balancer.map_version == version:
            return
        slots = self._slots_by_version.get(version)
        if slots is None:
            defer.ensureDeferred(self._read_map(version))
            return
        balancer.adopt_map(version, slots)
        self._leader.store_map(balancer.encode_current_map())

    def _make_balancer(self, sheet: Sheet) -> GroupBalancer:
        firm = find_balancing_firm(self.group, sheet.firm_by_name)
        return GroupBalancer(self.group, firm, MapChangeCosts())

    def _balance(self, balancer: GroupBalancer, now: float) -> None:
        proposal = balancer.tick(now)
        if proposal is not None and not self._leader.propose(proposal, now):
            balancer.discard_proposal()
        if not self._leader.has_proposal:
            balancer.discard_proposal()
        for finding in balancer.rank_findings():
            slow = finding.condition is RankCondition.DRAIN
            if slow and finding.rank not in self._reported_slow:
                self._reported_slow.add(finding.rank)
                server = self.group.ranks[finding.rank]
                self._node.alarm(
                    "slow-rank",
                    f"{server} takes {finding.slowness:.2f} times the time expected "
                    f"for its load; drain it",
                )

    # Actions

    def _perform(self, actions: Iterable[Any]) -> None:
        for action in actions:
            match action:
                case Send(instance, message) if instance == self._settings.server:
                    self._deliver_to_self(message)
                case Send() | Alarm():
                    self._node.perform([action])
                case IssueOrder():
                    defer.ensureDeferred(self._send_order(action))
                case ReadState(read_id):
                    defer.ensureDeferred(self._read_engine_state(read_id))
                case FetchMap():
                    defer.ensureDeferred(self._transfer_map(action))

    def _deliver_to_self(self, message: Any) -> None:
        """Deliver a message to this agent in the next reactor iteration."""
        envelope = Envelope(self._node.peer, 0, "", message)
        self._node.reactor.callLater(0, lambda: self.receive(envelope, read_now()))

    async def _send_order(self, action: IssueOrder) -> None:
        number, order = action.number, action.order
        document = {
            "kind": order.kind.value,
            "fence_term": number.epoch.term,
            "fence_instance": number.epoch.instance,
            "fence_sequence": number.sequence,
            "map_version": order.map_version,
            "step": order.step,
            "name": order.name,
        }
        fetched = await self._node.http_client.fetch(
            "POST",
            self._settings.backend_address,
            "/orders",
            Headers({"Content-Type": ["application/json"]}),
            msgspec.json.encode(document),
            ORDER_TIMEOUT_SECONDS,
            MAX_STATE_BYTES,
        )
        if isinstance(fetched, Err):
            return
        self._perform(self._fence.order_answered(number, read_now()))

    async def _read_engine_state(self, read_id: int) -> None:
        fetched = await self._node.http_client.fetch(
            "GET",
            self._settings.backend_address,
            "/state",
            Headers(),
            b"",
            ORDER_TIMEOUT_SECONDS,
            MAX_STATE_BYTES,
        )
        if isinstance(fetched, Err):
            return
        try:
            state = msgspec.json.decode(fetched.ok_value[1], type=EngineState)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._node.alarm(
                "engine-state", f"the engine returned a malformed state: {error}"
            )
            return
        now = read_now()
        self._perform(self._fence.state_read(read_id, state, now))
        self._perform(self._switch.engine_state_updated(now))

    async def _transfer_map(self, action: FetchMap) -> None:
        """Send a map to the engine, which responds when it has the weights.

        The engine gets the whole map, so that an agent that has restarted can read it
        back.
        """
        slots = await self._build_map(action)
        if slots is None:
            self._node.alarm(
                "map-unknown", f"map {action.map_version}: its base map is unavailable"
            )
            return
        self._cache_map(action.map_version, slots)
        fetched = await self._node.http_client.fetch(
            "PUT",
            self._settings.backend_address,
            f"/maps/{action.map_version}",
            Headers({"Lacewing-Map-Digest": [action.map_digest]}),
            encode_map(slots),
            MAP_TRANSFER_TIMEOUT_SECONDS,
            MAX_STATE_BYTES,
        )
        if isinstance(fetched, Err) or fetched.ok_value[0].code >= 300:
            self._node.alarm(
                "map-refused", f"the engine did not accept map {action.map_version}"
            )
            return
        self._perform(self._switch.weights_ready(action.map_version, read_now()))

    async def _build_map(self, action: FetchMap) -> Slots | None:
        """Build the whole map from its changes; return None if the base is missing."""
        if action.base_version == 0:
            return decode_map(action.encoded_changes)
        if action.base_version not in self._slots_by_version:
            await self._read_map(action.base_version)
        base = self._slots_by_version.get(action.base_version)
        if base is None:
            return None
        return apply_changes(base, decode_changes(action.encoded_changes))

    async def _read_map(self, version: int) -> None:
        """Read a map back from the engine; needed after a restart of this agent."""
        if self._reading_map:
            return
        self._reading_map = True
        fetched = await self._node.http_client.fetch(
            "GET",
            self._settings.backend_address,
            f"/maps/{version}",
            Headers(),
            b"",
            ORDER_TIMEOUT_SECONDS,
            MAX_MAP_BYTES,
        )
        self._reading_map = False
        if isinstance(fetched, Err) or fetched.ok_value[0].code != 200:
            return
        try:
            self._cache_map(version, decode_map(fetched.ok_value[1]))
        except (ValueError, TypeError) as error:
            self._node.alarm(
                "map-unknown", f"engine returned malformed map {version}: {error}"
            )

    def _cache_map(self, version: int, slots: Slots) -> None:
        self._slots_by_version[version] = slots
        while len(self._slots_by_version) > MAX_CACHED_MAPS:
            del self._slots_by_version[min(self._slots_by_version)]
