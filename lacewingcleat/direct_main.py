"""transport: the program `lacewing-direct-entry`.

It sends the requests of callers directly to the backend servers and reads the
configuration and the list of servers from the platform's store.
"""

import argparse
import os
import signal
import sys
from collections.abc import Collection, Sequence
from pathlib import Path
from random import Random
from typing import Any

from prometheus_client import generate_latest
from result import Err
from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from lacewingcleat import __version__
from lacewingcleat.addresses import split_address
from lacewingcleat.allocator import return_large_blocks
from lacewingcleat.caller_connection import CallerFactory, CallerRequest
from lacewingcleat.clock import read_now
from lacewingcleat.crash_evidence import CrashRecord
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_attempt import AttemptRunner
from lacewingcleat.direct_dispatch import DirectDispatcher
from lacewingcleat.direct_metrics import DirectMetrics
from lacewingcleat.direct_settings import DirectSettings
from lacewingcleat.direct_state import DirectState, LimitChange
from lacewingcleat.evidence_exchange import EvidenceExchange
from lacewingcleat.graceful_stop import FLUSH_SECONDS, GracefulStop
from lacewingcleat.group_tracker import RankStatus
from lacewingcleat.load_gossip import (
    ANNOUNCE_DELAY_SECONDS,
    SEND_INTERVAL_SECONDS,
    LoadGossip,
    PeerLoad,
)
from lacewingcleat.load_socket import LoadSocket
from lacewingcleat.map_driver import MapDriver
from lacewingcleat.memory_budget import CutReason, MemoryBudget, derive_limits
from lacewingcleat.peer_configs import PeerConfigs
from lacewingcleat.platform.config_item import CONFIG_KEY
from lacewingcleat.platform.settings_file import SETTINGS_VARIABLE, decode_settings
from lacewingcleat.report_poller import ReportPoller
from lacewingcleat.request_access import max_key_admission_age
from lacewingcleat.response_buffers import make_response_buffers
from lacewingcleat.routing_config import RoutingConfig
from lacewingcleat.server_connection import ServerConnectionPool
from lacewingcleat.server_pace import PaceReport
from lacewingcleat.server_rate_limits import NamedLimit
from lacewingcleat.server_record import ServerRecord
from lacewingcleat.store_changes import StoreChanges
from lacewingcleat.store_reader import StoreReader

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 1
EXIT_CANNOT_LISTEN = 3
LISTEN_BACKLOG = 1024
TICK_INTERVAL_SECONDS = 0.25
DEFAULT_METRICS_PORT = 9464


class DirectEntry:
    """Run one direct entry."""

    def __init__(
        self,
        reactor: Any,
        settings: DirectSettings,
        settings_path: Path,
        metrics_port: int,
        log: DecisionLog,
        rebalances_large_groups: bool = False,
    ) -> None:
        self._reactor = reactor
        self._metrics_port = metrics_port
        self._settings = settings
        self._settings_path = settings_path
        self._log = log
        self._metrics = DirectMetrics()
        self._stop = GracefulStop(settings.bounds.grace_seconds)
        self._peers = LoadGossip(
            settings.instance,
            settings.control_address,
            settings.seed_addresses,
            Random(os.urandom(8)),
            settings.zone,
        )
        random = Random(os.urandom(8))
        self._state = DirectState(settings.zone, settings.bounds, self._peers, random)
        self._peer_configs = PeerConfigs(
            bool(settings.control_address) and self._peers.has_seeds, read_now()
        )
        self._evidence_exchange = EvidenceExchange(
            self._state.crash_evidence, self._peers
        )
        limits = derive_limits(settings.memory_mb, settings.file_descriptors)
        self._budget = MemoryBudget(limits)
        self._buffers = make_response_buffers(settings.memory_mb)
        self._pool = ServerConnectionPool(reactor, limits.idle_connections)
        self._store_reader = StoreReader(
            reactor,
            settings.store_address,
            "",
            lambda change, now: self._store_changes.apply(change, now),
            log,
        )
        self._store_changes = StoreChanges(
            self._state,
            self._store_reader.view,
            log,
            self._apply_limits,
            settings.uses_accounts,
        )
        self._state.view_age = self._store_reader.view.age
        self._report_poller = ReportPoller(
            self._pool, self._record_status, log, self._buffers
        )
        self._map_driver = MapDriver(
            reactor,
            settings.instance,
            self._state,
            self._pool,
            self._ready_entries,
            log,
            rebalances_large_groups,
            self._buffers,
        )
        self._peer_socket = LoadSocket(self._record_peer_load)
        self._runner = AttemptRunner(
            self._state,
            self._pool,
            log,
            self._announce_request,
            self._announce_crashes,
            self._announce_limit,
            self._buffers,
        )
        self._dispatcher = DirectDispatcher(
            settings,
            self._state,
            self._runner,
            log,
            self._metrics,
            self._config_age,
            self._store_reader.refresh,
            lambda now: self._store_reader.view.may_be_lost(CONFIG_KEY, now),
            self._stop.may_begin,
            reactor.callLater,
        )
        self._caller_factory = CallerFactory(
            reactor,
            self._dispatcher.handle,
            self._should_close,
            self._record_rejected,
            self._record_unread,
            lambda: self._stop.is_stopping,
            self._budget,
            self._record_cut,
        )
        self._probe_factory = CallerFactory(reactor, self._respond_to_probe)
        self._was_ready = False
        self._has_exited = False
        self._caller_port: Any = None
        self._announcement: Any = None

    def start(self) -> None:
        """Start listening and reading the store."""
        self._caller_port = self._listen(
            self._settings.request_address, self._caller_factory
        )
        self._listen(self._settings.readiness_address, self._probe_factory)
        host, _ = split_address(self._settings.readiness_address)
        self._reactor.listenTCP(self._metrics_port, self._probe_factory, interface=host)
        if self._settings.control_address:
            host, port = split_address(self._settings.control_address)
            self._reactor.listenUDP(port, self._peer_socket, interface=host)
            self._send_load()
        self._store_reader.start()
        self._map_driver.start()
        self._reactor.callLater(TICK_INTERVAL_SECONDS, self._tick)
        self._log.lifecycle("start", version=__version__, zone=self._settings.zone)

    def _listen(self, address: str, factory: CallerFactory) -> Any:
        host, port = split_address(address)
        return self._reactor.listenTCP(
            port, factory, backlog=LISTEN_BACKLOG, interface=host
        )

    def _should_close(self) -> bool:
        return self._stop.is_stopping or not self._is_config_fresh(read_now())

    def _is_config_fresh(self, now: float) -> bool:
        limit = max_key_admission_age(self._settings.bounds.revocation_seconds)
        return self._config_age(now) <= limit

    def _config_age(self, now: float) -> float:
        """Return the seconds since the configuration is known to have been current."""
        return max(
            self._store_reader.view.age(now),
            self._store_changes.unread_config_seconds(now),
            self._peer_configs.outdated_seconds(now),
        )

    def _is_ready(self, now: float) -> bool:
        has_config = self._state.config is not None
        return has_config and not self._stop.is_stopping and self._is_config_fresh(now)

    def _record_rejected(self, status: int) -> None:
        now = read_now()
        self._metrics.count_request(status, "unreadable")
        self._log.request("unreadable request", now, status=status)

    def _record_unread(self) -> None:
        self._log.request("caller does not read", read_now())

    def _record_cut(self, reason: CutReason) -> None:
        self._log.request(
            "client cut off",
            read_now(),
            reason=reason.value,
            held_bytes=self._budget.held_bytes,
            connections=self._budget.connection_count,
        )

    def _respond_to_probe(self, request: CallerRequest) -> None:
        now = read_now()
        if request.target.startswith(b"/metrics"):
            self._metrics.config_age.set(min(1e6, self._config_age(now)))
            self._metrics.set_clients(self._budget, self._buffers.buffered_bytes)
            self._metrics.open_requests.set(self._caller_factory.open_requests)
            self._metrics.store_calls.set(self._store_reader.call_count)
            self._metrics.store_listings.set(self._store_reader.listing_count)
            self._metrics.store_era.set(self._store_reader.era)
            self._metrics.lost_log_lines.set(self._log.dropped_lines)
            self._metrics.internal_errors.set(self._log.failure_count)
            self._metrics.map_orders.set(self._map_driver.order_count)
            for outcome, count in self._map_driver.round_counts.items():
                self._metrics.map_rounds.labels(outcome).set(count)
            for when, skew in self._map_driver.last_skews.items():
                self._metrics.map_skew.labels(when).set(skew)
            for service, avoided in self._state.avoided_counts(now).items():
                self._metrics.avoided_servers.labels(service).set(avoided)
            self._metrics.peers.set(self._peers.peer_count)
            evidence = self._state.crash_evidence
            self._metrics.crashes.set(len(evidence))
            self._metrics.refused_suspects.set(evidence.refused_count)
            limited_count = self._state.rate_limits.limited_count
            self._metrics.limited_servers.set(limited_count)
            self._show_restrictions(now)
            cold_servers = self._state.cold_servers
            self._metrics.set_cold_servers(cold_servers.shares(now))
            self._metrics.cold_requests.set(cold_servers.sent_count)
            self._metrics.reports.set(self._report_poller.poll_count)
            self._metrics.server_connections.set(self._pool.connect_count)
            malformed, unsent = (
                self._peer_socket.malformed_datagrams,
                self._peer_socket.unsent_datagrams,
            )
            self._metrics.lost_datagrams.labels("malformed").set(malformed)
            self._metrics.lost_datagrams.labels("unsent").set(unsent)
            request.respond(200, [], generate_latest(self._metrics.registry))
            return
        request.respond(200 if self._is_ready(now) else 503, [], b"")

    def _show_restrictions(self, now: float) -> None:
        state = self._state
        since_by_zone = state.restrictions.evacuated_since(now)
        self._metrics.show_restrictions(
            state.count_unusable(state.directory.records(), now),
            {zone: now - since for zone, since in since_by_zone.items()},
        )
        self._metrics.ignored_pauses.set(state.restrictions.ignored_pauses)

    def _apply_limits(self, config: RoutingConfig, now: float) -> None:
        """Apply what a new configuration changes outside the state."""
        self._caller_factory.limits = config.limits
        self._peer_configs.put_in_force(config.version, now)

    def _record_status(
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

    def _ready_entries(self, now: float) -> list[str]:
        """Return the ready entries, which are eligible to lead a group."""
        entries = self._peers.ready_entries(now)
        if self._is_ready(now):
            entries.append(self._settings.instance)
        return entries

    def _send_load(self) -> None:
        self._reactor.callLater(SEND_INTERVAL_SECONDS, self._send_load)
        self._send_counts(self._peers.next_recipients(read_now()))
        self._evaluate_pace(read_now())

    def _evaluate_pace(self, now: float) -> None:
        for change in self._state.evaluate_pace(now):
            self._log.belief(
                "server avoided" if change.reason else "server used again",
                now,
                service=change.service,
                server=change.server,
                reason=change.reason.value if change.reason else "",
                factor=round(change.factor, 2),
            )

    def _announce_request(self) -> None:
        """Announce a new request, together with those that follow at once."""
        if self._announcement is None and self._settings.control_address:
            self._announcement = self._reactor.callLater(
                ANNOUNCE_DELAY_SECONDS, self._send_announcement
            )

    def _send_announcement(self) -> None:
        self._announcement = None
        self._send_counts(self._peers.announcement_recipients())

    def _send_counts(self, recipients: list[str]) -> None:
        now = read_now()
        limits = self._state.rate_limits.next_message(now)
        pace = self._state.pace.next_message(now)
        self._send_datagram(recipients, limits=limits, pace=pace)

    def _send_datagram(
        self,
        recipients: list[str],
        crashes: Sequence[CrashRecord] = (),
        limits: Sequence[NamedLimit] = (),
        pace: PaceReport | None = None,
    ) -> None:
        """Send the counts, with some crash evidence, limits and answers of servers."""
        counts = self._state.loads.in_flight_by_name()
        digest = self._state.crash_evidence.digest
        now = read_now()
        is_ready = self._is_ready(now)
        message = self._peers.next_message(
            counts,
            is_ready,
            digest,
            crashes,
            limits,
            self._peer_configs.in_force(now),
            self._state.admission.next_message(now),
            pace,
        )
        self._peer_socket.send(message, recipients)

    def _announce_limit(self, server: str) -> None:
        """Announce another limit of a server to all peers at once."""
        now = read_now()
        named = self._state.rate_limits.named(server, now)
        self._log_server_limit(named, self._settings.instance, now)
        self._send_datagram(self._peers.addresses(), limits=[named])

    def _log_server_limit(self, named: NamedLimit, source: str, now: float) -> None:
        self._log.belief(
            "server limit",
            now,
            server=named.server,
            limit=named.per_second,
            source=source,
            age=named.age,
        )

    def _announce_crashes(self, crash_ids: Collection[str]) -> None:
        """Announce new evidence of some crashes to all peers at once."""
        now = read_now()
        self._apply_evidence(self._settings.instance, now)
        for message in self._evidence_exchange.announce(crash_ids, now):
            self._send_datagram(message.recipients, message.crashes)

    def _record_peer_load(self, load: PeerLoad) -> None:
        now = read_now()
        is_new_process = self._peers.is_new_process(load)
        if self._peers.record(load, now):
            self._state.loads.record_peer_counts(
                load.instance, load.count_by_server, now
            )
            self._state.admission.record_peer(load.instance, load.demands, now)
            self._dispatcher.handle_peer_counts()
            self._state.pace.record_peer(load.address, load.incarnation, load.pace, now)
            self._record_peer_config(load, now)
            if is_new_process:
                # It is not ready before it knows the version in force here.
                self._send_counts([load.address])
        for named in self._state.rate_limits.merge(load.limits, now):
            self._log_server_limit(named, load.instance, now)
        if self._evidence_exchange.merge(load, now):
            self._apply_evidence(load.instance, now)
        for message in self._evidence_exchange.replies(load, now):
            self._send_datagram(message.recipients, message.crashes)

    def _record_peer_config(self, load: PeerLoad, now: float) -> None:
        known_version = self._peer_configs.newest_version()
        self._peer_configs.record(
            load.address, load.config_version, load.config_seconds, now
        )
        if load.config_version > known_version:
            self._log.belief(
                "newer config at peer",
                now,
                source=load.instance,
                version=load.config_version,
                age=round(load.config_seconds, 3),
            )

    def _apply_evidence(self, source: str, now: float) -> None:
        """Cancel what turns out to crash servers, and log the new evidence."""
        self._runner.withdraw_refused()
        evidence = self._state.crash_evidence
        self._log.belief(
            "crash evidence",
            now,
            source=source,
            crashes=len(evidence),
            refused=evidence.refused_count,
        )

    def _tick(self) -> None:
        self._reactor.callLater(TICK_INTERVAL_SECONDS, self._tick)
        now = read_now()
        self._caller_factory.check_budget(now)
        for name in self._state.directory.expire(now):
            self._log.belief("server gone", now, server=name)
        self._state.crash_evidence.expire(now)
        for zone in self._state.expire_restrictions(now):
            self._log.belief("zone in full use", now, zone=zone)
        self._runner.withdraw_restricted(now)
        self._runner.end_overdue(now)
        self._peer_configs.retain(self._peers.addresses())
        for event in self._state.update_outliers(now):
            self._log.belief("outlier", now, change=str(event))
        for share in self._state.cold_servers.expire(now):
            self._log.belief("server warm", now, server=share.server, sent=share.sent)
        for change in self._state.adjust_concurrency(now):
            self._log_limit(change, now)
        for record in self._state.servers_to_poll(now):
            self._report_poller.poll(record)
        self._pool.close_expired(set(self._state.directory.names()), now)
        ready = self._is_ready(now)
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.lifecycle(
                "ready" if ready else "not ready",
                config_age=round(min(1e6, self._config_age(now)), 3),
                stopping=self._stop.is_stopping,
            )
        if not self._stop.accepts_connections(now):
            self._finish_requests()

    def _log_limit(self, change: LimitChange, now: float) -> None:
        pace = change.pace
        self._log.belief(
            "group pace",
            now,
            group=change.group,
            share=round(change.share, 2),
            occupancy=round(change.occupancy, 2),
            gap_ms=round(pace.typical_interval * 1000.0, 1) if pace else None,
            longest_gap_ms=round(pace.longest_interval * 1000.0, 1) if pace else None,
        )

    def stop(self) -> None:
        """Start a graceful shutdown, which lets requests in flight finish."""
        if not self._stop.start(read_now()):
            return
        self._reactor.callLater(self._stop.max_seconds, self._end_requests)
        self._log.lifecycle("stop", open_requests=self._caller_factory.open_requests)

    def _finish_requests(self) -> None:
        """Accept no more connections, and exit once all are closed."""
        if self._caller_port is not None:
            self._caller_port.stopListening()
            self._caller_port = None
        self._caller_factory.close_idle()
        # A response that is complete may still have bytes in the write buffer.
        if not self._caller_factory.connections:
            self._exit()

    def _end_requests(self) -> None:
        """Answer the requests that are still open, and exit."""
        self._log.lifecycle(
            "grace period ends", open_requests=self._caller_factory.open_requests
        )
        self._dispatcher.end_open_requests()
        self._reactor.callLater(FLUSH_SECONDS, self._exit)

    def _exit(self) -> None:
        if self._has_exited:
            return
        self._has_exited = True
        self._log.lifecycle("stopped", open_requests=self._caller_factory.open_requests)
        self._reactor.stop()

    def reload(self) -> None:
        """Reload the settings file and apply its seeds.

        All other changes take effect at the next start.
        """
        settings = read_settings(self._settings_path)
        if isinstance(settings, str):
            self._log.failure("reload", error=settings)
            return
        self._peers.set_seeds(settings.seed_addresses)
        self._log.lifecycle("reload", changed=settings != self._settings)


def read_settings(path: Path) -> DirectSettings | str:
    """Return the settings in a file, or the reason why they cannot be read."""
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
        description="Send requests of callers directly to backend servers.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"path of the settings file (default: value of {SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=DEFAULT_METRICS_PORT,
        help="port for metrics on the address of the readiness checks "
        "(default %(default)s); 0 lets the system choose",
    )
    parser.add_argument(
        "--rebalance-large-groups",
        action="store_true",
        help="also change the expert maps of groups of which less than 8%% of the "
        "ranks can be read in 0.7 s",
    )
    options = parser.parse_args(arguments)
    if options.settings is None:
        parser.error(f"give --settings or set {SETTINGS_VARIABLE}")
    path = Path(options.settings)
    settings = read_settings(path)
    if isinstance(settings, str):
        sys.stderr.write(f"{path}: {settings}\n")
        return EXIT_INVALID_SETTINGS
    if options.check:
        return EXIT_OK
    return run(
        reactor,
        settings,
        path,
        options.metrics_port,
        options.rebalance_large_groups,
    )


def run(
    reactor: Any,
    settings: DirectSettings,
    path: Path,
    metrics_port: int = DEFAULT_METRICS_PORT,
    rebalances_large_groups: bool = False,
) -> int:
    """Run an entry until it receives a signal to stop; return the exit code."""
    log = DecisionLog(settings.instance)
    if settings.memory_mb is not None:
        return_large_blocks()
    entry = DirectEntry(
        reactor, settings, path, metrics_port, log, rebalances_large_groups
    )
    exit_code = EXIT_OK

    def start_entry() -> None:
        nonlocal exit_code
        try:
            entry.start()
        except CannotListenError as error:
            log.failure("cannot listen", error=str(error))
            exit_code = EXIT_CANNOT_LISTEN
            reactor.stop()

    def on_signal(number: int, _frame: object) -> None:
        action = entry.reload if number == signal.SIGHUP else entry.stop
        reactor.callFromThread(action)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, on_signal)
    reactor.callWhenRunning(start_entry)
    reactor.run(installSignalHandlers=False)
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
