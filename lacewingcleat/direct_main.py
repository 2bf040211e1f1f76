"""transport: the program `lacewing-direct-entry`.

It serves callers on a platform whose backend servers are called directly and whose
configuration lies in a store that can only be read.
"""

import argparse
import os
import signal
import sys
from pathlib import Path
from random import Random
from typing import Any

from prometheus_client import generate_latest
from result import Err
from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from lacewingcleat import __version__
from lacewingcleat.addresses import split_address
from lacewingcleat.caller_connection import CallerFactory, CallerRequest
from lacewingcleat.clock import read_now
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_attempt import AttemptRunner
from lacewingcleat.direct_dispatch import DirectDispatcher
from lacewingcleat.direct_metrics import DirectMetrics
from lacewingcleat.direct_settings import DirectSettings
from lacewingcleat.direct_state import DirectState
from lacewingcleat.group_tracker import RankStatus
from lacewingcleat.load_gossip import SEND_INTERVAL_SECONDS, LoadGossip, PeerLoad
from lacewingcleat.map_driver import MapDriver
from lacewingcleat.load_socket import PeerSocket
from lacewingcleat.platform.config_item import CONFIG_KEY, decode_config
from lacewingcleat.platform.server_item import SERVER_PREFIX, decode_server
from lacewingcleat.platform.settings_file import SETTINGS_VARIABLE, decode_settings
from lacewingcleat.report_poller import ReportReader
from lacewingcleat.request_access import max_key_admission_age
from lacewingcleat.server_connection import ServerPool
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.store_reader import StoreReader
from lacewingcleat.store_view import ViewChange

EXIT_OK = 0
EXIT_SETTINGS = 1
EXIT_CANNOT_LISTEN = 3
BACKLOG = 1024
TICK_SECONDS = 0.25
# The platform takes an instance out after two readiness checks a second apart; callers
# it sends until then are still accepted.
STOP_ACCEPTING_SECONDS = 2.6
# Left of the grace period when requests in flight are ended.
GRACE_MARGIN_SECONDS = 0.4
METRICS_PORT = 9464


class DirectEntry:
    """Run one direct entry.

    :param reactor: the reactor.
    """

    def __init__(
        self,
        reactor: Any,
        settings: DirectSettings,
        settings_path: Path,
        metrics_port: int,
        log: DecisionLog,
    ) -> None:
        self._reactor = reactor
        self._metrics_port = metrics_port
        self._settings = settings
        self._settings_path = settings_path
        self._log = log
        self._metrics = DirectMetrics()
        self._peers = LoadGossip(
            settings.instance,
            settings.control_address,
            settings.seed_addresses,
            Random(os.urandom(8)),
        )
        random = Random(os.urandom(8))
        self._state = DirectState(settings.zone, settings.bounds, self._peers, random)
        self._pool = ServerPool(reactor)
        self._reader = StoreReader(
            reactor, settings.store_address, "", self._take_change, log
        )
        self._reports = ReportReader(self._pool, self._take_status, log)
        self._maps = MapDriver(
            reactor,
            settings.instance,
            self._state,
            self._pool,
            self._live_entries,
            log,
        )
        self._peer_socket = PeerSocket(self._take_peer_load)
        self._dispatcher = DirectDispatcher(
            settings,
            self._state,
            AttemptRunner(self._state, self._pool, log),
            log,
            self._metrics,
            self._reader.view.age,
        )
        self._callers = CallerFactory(
            reactor, self._dispatcher.handle, self._asks_to_close, self._note_rejected
        )
        self._probes = CallerFactory(reactor, self._answer_probe)
        self._stopping_since: float | None = None
        self._was_ready = False
        self._port: Any = None

    def start(self) -> None:
        """Listen and begin to read the store."""
        self._port = self._listen(self._settings.request_address, self._callers)
        self._listen(self._settings.readiness_address, self._probes)
        host, _ = split_address(self._settings.readiness_address)
        self._reactor.listenTCP(self._metrics_port, self._probes, interface=host)
        if self._settings.control_address:
            host, port = split_address(self._settings.control_address)
            self._reactor.listenUDP(port, self._peer_socket, interface=host)
            self._tell_peers()
        self._reader.start()
        # Without fencing a late order of a former leader could not be refused.
        if self._settings.bounds.fencing_enforced:
            self._maps.start()
        self._reactor.callLater(TICK_SECONDS, self._tick)
        self._log.lifecycle("start", version=__version__, zone=self._settings.zone)

    def _listen(self, address: str, factory: CallerFactory) -> Any:
        host, port = split_address(address)
        return self._reactor.listenTCP(port, factory, backlog=BACKLOG, interface=host)

    def _asks_to_close(self) -> bool:
        return self._stopping_since is not None or not self._is_fresh(read_now())

    def _is_fresh(self, now: float) -> bool:
        limit = max_key_admission_age(self._settings.bounds.revocation_seconds)
        return self._reader.view.age(now) <= limit

    def _is_ready(self, now: float) -> bool:
        known = self._state.config is not None
        return known and self._stopping_since is None and self._is_fresh(now)

    def _note_rejected(self, status: int) -> None:
        now = read_now()
        self._metrics.count(status, "unreadable")
        self._log.request("unreadable request", now, status=status)

    def _answer_probe(self, request: CallerRequest) -> None:
        now = read_now()
        if request.target.startswith(b"/metrics"):
            self._metrics.config_age.set(min(1e6, self._reader.view.age(now)))
            self._metrics.open_requests.set(self._callers.open_requests)
            self._metrics.store_calls.set(self._reader.calls)
            self._metrics.lost_log_lines.set(self._log.lost_lines)
            self._metrics.map_orders.set(self._maps.order_count)
            self._metrics.peers.set(self._peers.peer_count)
            self._metrics.reports.set(self._reports.calls)
            self._metrics.server_connections.set(self._pool.opened)
            malformed, unsent = self._peer_socket.malformed, self._peer_socket.unsent
            self._metrics.lost_datagrams.labels("malformed").set(malformed)
            self._metrics.lost_datagrams.labels("unsent").set(unsent)
            request.respond(200, [], generate_latest(self._metrics.registry))
            return
        request.respond(200 if self._is_ready(now) else 503, [], b"")

    def _take_change(self, change: ViewChange, now: float) -> None:
        items = self._reader.view.item_by_key
        for key in change.keys:
            item = items.get(key)
            value = item.value if item else None
            if key == CONFIG_KEY and value is not None:
                self._take_config(value, now)
            elif key.startswith(SERVER_PREFIX):
                self._take_server(key, value, now)

    def _take_config(self, value: bytes, now: float) -> None:
        decoded = decode_config(value)
        if isinstance(decoded, Err):
            self._log.belief("malformed config", now, error=decoded.err_value)
            return
        config = decoded.ok_value
        if not self._state.take_config(config):
            return
        self._callers.limits = config.limits
        age = self._reader.view.age(now)
        self._log.belief("config", now, version=config.version, age=round(age, 3))

    def _take_server(self, key: str, value: bytes | None, now: float) -> None:
        name = key.removeprefix(SERVER_PREFIX)
        directory = self._state.directory
        if value is None:
            dropped = directory.remove(name, self._reader.view.returned_at, now)
            self._log.belief("server missing", now, server=name, dropped=dropped)
            return
        decoded = decode_server(key, value)
        if isinstance(decoded, Err):
            self._log.belief(
                "malformed server", now, server=name[:60], error=decoded.err_value
            )
            directory.remove(name, float("-inf"), now)
            return
        record = decoded.ok_value
        before = directory.put(record)
        if before is not None and before == record:
            return
        if before is not None and before.started_ms != record.started_ms:
            self._state.groups.discard_server(name)
        self._log.belief(
            "server",
            now,
            server=name,
            service=record.service,
            address=record.address,
            leaving=record.leaving,
            started_ms=record.started_ms,
        )

    def _take_status(
        self,
        record: ServerRecord,
        status: RankStatus,
        now: float,
    ) -> None:
        if self._state.groups.record_status(record.name, status, now):
            self._log.belief(
                "group",
                now,
                group=status.group,
                epoch=status.epoch,
                open=status.is_open,
                server=record.name,
            )

    def _live_entries(self, now: float) -> list[str]:
        """Return the entries that may lead a group, this one included if it may."""
        peers = self._peers.ready_entries(now)
        if self._is_ready(now):
            peers.append(self._settings.instance)
        return peers

    def _tell_peers(self) -> None:
        self._reactor.callLater(SEND_INTERVAL_SECONDS, self._tell_peers)
        now = read_now()
        counts = self._state.loads.in_flight_by_name()
        message = self._peers.next_message(counts, self._is_ready(now))
        self._peer_socket.send(message, self._peers.next_recipients(now))

    def _take_peer_load(self, load: PeerLoad) -> None:
        now = read_now()
        if self._peers.record(load, now):
            self._state.loads.record_peer_counts(
                load.instance, load.count_by_server, now
            )

    def _tick(self) -> None:
        self._reactor.callLater(TICK_SECONDS, self._tick)
        now = read_now()
        for name in self._state.directory.expire(now):
            self._log.belief("server gone", now, server=name)
        for event in self._state.judge(now):
            self._log.belief("outlier", now, change=str(event))
        for group, share, gap in self._state.adjust_pace(now):
            self._log.belief(
                "group pace",
                now,
                group=group,
                share=round(share, 2),
                gap_ms=round(gap * 1000.0, 1),
            )
        for record in self._state.due_reports(now):
            self._reports.ask(record)
        self._pool.expire(set(self._state.directory.names()), now)
        ready = self._is_ready(now)
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.lifecycle(
                "ready" if ready else "not ready",
                config_age=round(min(1e6, self._reader.view.age(now)), 3),
                stopping=self._stopping_since is not None,
            )
        if self._stopping_since is not None:
            self._go_on_stopping(now - self._stopping_since)

    def stop(self) -> None:
        """Begin to stop: requests in flight are finished first."""
        if self._stopping_since is None:
            self._stopping_since = read_now()
            self._log.lifecycle("stop", open_requests=self._callers.open_requests)

    def _go_on_stopping(self, elapsed: float) -> None:
        if elapsed < STOP_ACCEPTING_SECONDS:
            return
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        self._callers.close_idle()
        limit = self._settings.bounds.grace_seconds - GRACE_MARGIN_SECONDS
        # A request that has been answered may still have bytes to write.
        if not self._callers.connections or elapsed >= limit:
            self._log.lifecycle("stopped", open_requests=self._callers.open_requests)
            self._reactor.stop()

    def reload(self) -> None:
        """Read the settings file again; all but the seeds wait for the next start."""
        settings = read_settings(self._settings_path)
        if isinstance(settings, str):
            self._log.failure("reload", error=settings)
            return
        self._peers.set_seeds(settings.seed_addresses)
        self._log.lifecycle("reload", changed=settings != self._settings)


def read_settings(path: Path) -> DirectSettings | str:
    """Return the settings in a file, or why they cannot be read."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return str(error)
    decoded = decode_settings(data)
    return decoded.err_value if isinstance(decoded, Err) else decoded.ok_value


def main(arguments: list[str] | None = None, reactor: Any = default_reactor) -> int:
    """Run the program; return its exit code."""
    parser = argparse.ArgumentParser(
        "lacewing-direct-entry",
        description="Serve callers at backend servers that are called directly.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings file; by default the one that {SETTINGS_VARIABLE} names",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and end"
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=METRICS_PORT,
        help="port of the metrics beside the readiness checks (default %(default)s); "
        "0 lets the system choose",
    )
    found = parser.parse_args(arguments)
    if found.settings is None:
        parser.error(f"give --settings or set {SETTINGS_VARIABLE}")
    path = Path(found.settings)
    settings = read_settings(path)
    if isinstance(settings, str):
        sys.stderr.write(f"{path}: {settings}\n")
        return EXIT_SETTINGS
    if found.check:
        return EXIT_OK
    return run(reactor, settings, path, found.metrics_port)


def run(
    reactor: Any,
    settings: DirectSettings,
    path: Path,
    metrics_port: int = METRICS_PORT,
) -> int:
    """Run an entry until it is told to stop."""
    log = DecisionLog(settings.instance)
    entry = DirectEntry(reactor, settings, path, metrics_port, log)
    code = EXIT_OK

    def start_entry() -> None:
        nonlocal code
        try:
            entry.start()
        except CannotListenError as error:
            log.failure("cannot listen", error=str(error))
            code = EXIT_CANNOT_LISTEN
            reactor.stop()

    def on_signal(number: int, _frame: object) -> None:
        action = entry.reload if number == signal.SIGHUP else entry.stop
        reactor.callFromThread(action)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
    reactor.callWhenRunning(start_entry)
    reactor.run(installSignalHandlers=False)
    return code


if __name__ == "__main__":
    sys.exit(main())
