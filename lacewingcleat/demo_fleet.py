"""transport: a whole fleet in one process, on loopback ports.

Entries and agents are the real ones. The configuration service, the engines and the
plain services are stand-ins.
"""

import copy
import os
import random
import socket
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import defer

from lacewingcleat.agent_process import AgentProcess
from lacewingcleat.config_stand_in import StandInConfigService
from lacewingcleat.engine_stand_in import EngineStandIn
from lacewingcleat.entry_process import EntryProcess
from lacewingcleat.http_server import BoundedFactory
from lacewingcleat.program import listen
from lacewingcleat.service_stand_in import ServiceStandIn
from lacewingcleat.settings import AgentSettings, EntrySettings

LOOPBACK = "127.0.0.1"
DEMO_TRACE_RATIO = 1.0
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_POOL = 200
SEEDS_PER_PROCESS = 2


class PortPool:
    """Find free loopback ports, none of them twice.

    The ports lie below the range from which the system takes the local ports of
    outgoing connections. Each pool reserves a range of its own by a bound socket, so
    that fleets that run at the same time do not meet.
    """

    def __init__(self) -> None:
        self._reservation = socket.socket()
        self._next = self._reserve() + 1

    def _reserve(self) -> int:
        starts = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_POOL))
        random.Random(os.urandom(8)).shuffle(starts)
        for start in starts:
            try:
                self._reservation.bind((LOOPBACK, start))
            except OSError:
                continue
            return start
        raise OSError("no range of ports is free")

    def take(self) -> str:
        """Return an address with a free port."""
        while True:
            port = self._next
            self._next += 1
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
            return f"{LOOPBACK}:{port}"


@dataclass(slots=True)
class DemoServer:
    """Hold one backend server: its agent and the stand-in behind it."""

    name: str
    agent: AgentProcess
    engine: EngineStandIn | None = None
    service: ServiceStandIn | None = None
    port: Any = None
    address: str = ""


@dataclass(slots=True)
class _Plan:
    """Hold the addresses of a fleet."""

    config_address: str
    settings_by_entry: dict[str, EntrySettings] = field(default_factory=dict)
    settings_by_server: dict[str, AgentSettings] = field(default_factory=dict)


def move_to_loopback(sheet: Any, ports: PortPool) -> Any:
    """Return the sheet with the addresses of its servers on free loopback ports."""
    moved = copy.deepcopy(sheet)
    for server in moved["backend_servers"]:
        server["address"] = ports.take()
        server["control_address"] = ports.take()
    return moved


class DemoFleet:
    """Run a fleet for a sheet.

    :param reactor: the loop.
    :param sheet: the sheet as parsed JSON.
    :param token_seconds: time of a step of the engines.
    """

    def __init__(
        self,
        reactor: Any,
        sheet: Any,
        token_seconds: float = 0.005,
        log_level: str = "warning",
    ) -> None:
        self._reactor = reactor
        self._log_level = log_level
        self._token_seconds = token_seconds
        ports = PortPool()
        self.sheet = move_to_loopback(sheet, ports)
        self.config = StandInConfigService(reactor)
        self.config.publish(self.sheet)
        self._plan = self._make_plan(ports)
        self._config_port: Any = None
        self.entries: list[EntryProcess] = []
        self.server_by_name: dict[str, DemoServer] = {}

    def _make_plan(self, ports: PortPool) -> _Plan:
        plan = _Plan(ports.take())
        control_by_zone: dict[str, list[str]] = {}
        for zone in self.sheet["zones"]:
            control_by_zone[zone["name"]] = [
                ports.take() for _ in range(zone["entries"])
            ]
        firsts = [addresses[0] for addresses in control_by_zone.values()]
        for zone, addresses in control_by_zone.items():
            for index, control in enumerate(addresses):
                name = f"entry-{zone}-{index + 1}"
                plan.settings_by_entry[name] = EntrySettings(
                    instance=name,
                    zone=zone,
                    request_address=ports.take(),
                    control_address=control,
                    admin_address=ports.take(),
                    peers=tuple({*addresses[:SEEDS_PER_PROCESS], *firsts} - {control}),
                    log_level=self._log_level,
                    trace_sampling_ratio=DEMO_TRACE_RATIO,
                    config_address=plan.config_address,
                )
        services = {
            name
            for service in self.sheet["services"]
            for name in service["backend_servers"]
        }
        for server in self.sheet["backend_servers"]:
            name = server["name"]
            plan.settings_by_server[name] = AgentSettings(
                instance=f"agent-{name}",
                zone=server["zone"],
                request_address=server["address"],
                control_address=server["control_address"],
                admin_address=ports.take(),
                peers=tuple(control_by_zone[server["zone"]][:SEEDS_PER_PROCESS]),
                log_level=self._log_level,
                trace_sampling_ratio=DEMO_TRACE_RATIO,
                server=name,
                backend_kind="service" if name in services else "engine",
                backend_address=ports.take(),
            )
        return plan

    def start(self) -> None:
        """Start the stand-ins, then agents and entries."""
        plan = self._plan
        self._config_port = listen(
            self._reactor, plan.config_address, self.config.factory
        )
        for settings in plan.settings_by_server.values():
            self._start_server(settings)
        for entry_settings in plan.settings_by_entry.values():
            entry = EntryProcess(self._reactor, entry_settings)
            entry.start()
            self.entries.append(entry)

    def _start_server(self, settings: AgentSettings) -> None:
        name = settings.server
        agent = AgentProcess(self._reactor, settings)
        server = DemoServer(name, agent, address=settings.backend_address)
        factory: BoundedFactory
        if settings.backend_kind == "service":
            server.service = ServiceStandIn(self._reactor, name)
            factory = server.service.factory
        else:
            server.engine = EngineStandIn(
                self._reactor,
                agent.node.random_bytes(8).hex(),
                self._token_seconds,
                on_crash=lambda: self._crash_engine(server),
            )
            server.engine.start()
            factory = server.engine.factory
        server.port = listen(self._reactor, settings.backend_address, factory)
        agent.start()
        self.server_by_name[name] = server

    def _crash_engine(self, server: DemoServer) -> None:
        """Close the engine's port, as a crash would."""
        if server.port is not None:
            server.port.stopListening()
            server.port = None

    def restart_engine(self, name: str) -> None:
        """Start a crashed engine again, as a new incarnation."""
        server = self.server_by_name[name]
        if server.engine is None or server.port is not None:
            return
        server.engine.incarnation = server.agent.node.random_bytes(8).hex()
        server.engine.start()
        server.port = listen(self._reactor, server.address, server.engine.factory)

    def is_ready(self) -> bool:
        """Return whether every entry sees its zone's serving servers."""
        for entry in self.entries:
            if entry.node.unready_reason():
                return False
            sheet = entry.node.sheet
            now = entry.node.now()
            if sheet is None:
                return False
            live = entry.node.membership.live_entries(entry.settings.zone, now)
            if len(live) < sheet.zone_by_name[entry.settings.zone].entries:
                return False
        agents = (server.agent.node for server in self.server_by_name.values())
        return all(node.relay.ready(node.now()) for node in agents)

    def executions(self) -> dict[str, int]:
        """Return how often each call was executed over all plain services."""
        total: dict[str, int] = {}
        for server in self.server_by_name.values():
            if server.service is None:
                continue
            for call, count in server.service.count_by_call.items():
                total[call] = total.get(call, 0) + count
        return total

    async def close(self) -> None:
        """Stop everything."""
        for entry in self.entries:
            await entry.close()
        for server in self.server_by_name.values():
            await server.agent.close()
            if server.engine is not None:
                server.engine.stop()
            if server.port is not None:
                await defer.maybeDeferred(server.port.stopListening)
        if self._config_port is not None:
            await defer.maybeDeferred(self._config_port.stopListening)
