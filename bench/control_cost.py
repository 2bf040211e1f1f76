"""What control costs each role: messages, bytes and CPU a second at the target.

Sizes of messages are counted with the encoding that the processes use. CPU is measured
here as the time to decode a message and to let the state machine handle it, for tables
of three sizes, and fitted; it depends on the machine and is reported for information.
The rates per role follow from the design and are stated in `ROLES`.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from bench.measure import Direction, Measure
from lacewingcleat.account_limits import AccountLimits
from lacewingcleat.control_wire import decode, encode
from lacewingcleat.crash_suspects import CrashSuspects
from lacewingcleat.group_leader import ReportAggregator
from lacewingcleat.identity import Peer, Role
from lacewingcleat.load_view import LoadView
from lacewingcleat.membership import Membership
from lacewingcleat.messages import (
    CrashReport,
    Envelope,
    GroupReport,
    Heartbeat,
    LimitDemand,
    LimitDemands,
    Message,
    RankReport,
    ZoneDigest,
)
from lacewingcleat.sheet import ClientAccount, Firm, Sheet, Zone

REPEATS = 400
CORE_SHARE = 0.013
BYTES_PER_SECOND = 29_000.0
DIGEST = "0" * 32
ADDRESS = "10.200.100.50:9100"
# Share of the zone's accounts that are active at an entry at any moment: 8,700
# requests/s over 350 entries give an account 0.7 requests in the 5 s for which it
# counts as active.
ACTIVE_SHARE = 0.5
# Frame of the socket library, TCP and IP.
FRAME_BYTES = 60
ACCOUNTS_IN_ZONE = 181
TICKS_PER_SECOND = 4


@dataclass(frozen=True, slots=True)
class Load:
    """Give one kind of message that a role handles.

    :param kind: name in the report.
    :param received: messages a second at the target.
    :param sent: messages a second at the target.
    """

    kind: str
    received: float
    sent: float


# Zone of the target: 11 entries, 387 agents of which 1.5 lead groups of 256 ranks, 31
# zones of which 3 to 4 share a region. An agent reports to one entry each second and to
# another every 3 s; entries answer agents every 10 s; paired readers of two zones
# exchange heartbeats every 5 s. Each entry is home for its part of the accounts.
AGENT_HEARTBEATS = 387 * (1 + 1 / 3) / 11
AGENT_ANSWERS = 2 * 387 / 11 / 10
ENTRY_LOADS = (
    Load("heartbeat", AGENT_HEARTBEATS + 10, AGENT_ANSWERS + 10),
    Load("group report", 2 * 1.5 + 4, 0),
    Load("zone digest", 2.4 + 2.8, 0),
    Load("limit demands", 20, 20),
)
ROLES: dict[str, tuple[Load, ...]] = {
    "entry": ENTRY_LOADS,
    "zone's config reader": (
        *ENTRY_LOADS,
        Load("heartbeat", 6, 6),
        Load("zone digest", 0, 3 + 2.8 + 10 * 5.2 / 2),
    ),
    "home entry that borrows": (*ENTRY_LOADS, Load("limit demands", 10, 10)),
    "agent of a rank": (Load("heartbeat", 0.2, 1.3), Load("rank report", 0, 0.8)),
    "group leader's agent": (
        Load("heartbeat", 0.2, 1.3),
        Load("rank report", 16 * 0.8, 0),
        Load("group report", 0, 2 * 11),
    ),
}


def _peer(name: str, role: Role = Role.ENTRY) -> Peer:
    return Peer(name, "ab" * 8, "zone-00", role)


def _envelope(sender: Peer, body: Message) -> Envelope:
    return Envelope(sender, 20261204, DIGEST, body)


def _report(number: int) -> GroupReport:
    return GroupReport(
        f"group-{number:03}",
        f"server-{number:05}",
        0.25,
        90,
        256,
        0.0251,
        17,
        20_000.0,
        ("base", "notes"),
        ("2026.11",),
        0.4,
        1000 + number,
    )


def _heartbeat(number: int) -> tuple[Peer, Heartbeat]:
    peer = _peer(f"server-{number:05}", Role.AGENT)
    # The sheet holds the addresses of agents.
    body = Heartbeat("", "", "ab" * 8, False, 12, 32, float(number))
    return peer, body


def _rank_report(ranks: int) -> RankReport:
    steps = {rank: 0.025 for rank in range(ranks)}
    loads = {(31, expert): 900 for expert in range(192)}
    return RankReport("group-001", 3, steps, loads, 77)


def _demands(accounts: int) -> LimitDemands:
    demands = tuple(
        LimitDemand(f"account-{number:05}", 2**40 + number, 1.5, 4, 900.0)
        for number in range(accounts)
    )
    return LimitDemands(demands, "ab" * 8, 2**41)


def _examples() -> dict[str, tuple[Peer, Message]]:
    """Return a message of each kind at the size that it has at the target."""
    return {
        "heartbeat": _heartbeat(1),
        "group report": (_peer("server-00001", Role.AGENT), _report(1)),
        "zone digest": (
            _peer("entry-1"),
            ZoneDigest("zone-01", (_report(1), _report(2))),
        ),
        "limit demands": (
            _peer("entry-2"),
            _demands(round(ACCOUNTS_IN_ZONE / 11 * ACTIVE_SHARE)),
        ),
        "rank report": (_peer("server-00002", Role.AGENT), _rank_report(16)),
        "crash report": (
            _peer("server-00003", Role.AGENT),
            CrashReport("ab" * 8, "server-00003", tuple(["cd" * 16] * 32), False),
        ),
    }


def message_bytes() -> dict[str, int]:
    """Return the bytes of each kind of message on the wire."""
    return {
        kind: len(encode(_envelope(sender, body))) + FRAME_BYTES
        for kind, (sender, body) in _examples().items()
    }


def _seconds_each(handle: Callable[[bytes, float], None], frames: list[bytes]) -> float:
    """Return the least time per message over several passes."""
    best = float("inf")
    for turn in range(5):
        begin = time.perf_counter()
        for number, frame in enumerate(frames):
            handle(frame, 100.0 + turn + number * 1e-4)
        best = min(best, (time.perf_counter() - begin) / len(frames))
    return best


def _accounts_sheet(accounts: int) -> Sheet:
    records = [
        ClientAccount(f"account-{number:05}", "firm", f"{number:064}", 50, 50, 60_000)
        for number in range(accounts)
    ]
    return Sheet(
        1,
        DIGEST,
        DIGEST,
        {"firm": Firm("firm", "UTC", 1, 1)},
        {"zone-00": Zone("zone-00", "region", 11)},
        {record.name: record for record in records},
        {},
        {},
        {},
        {},
    )


def _handlers(
    size: int,
) -> dict[str, tuple[Callable[[bytes, float], None], list[bytes]]]:
    """Return handlers with tables of a size, and frames for them.

    :param size: agents that report to the entry, or ranks below a leader.
    """
    me = _peer("entry-1")
    membership = Membership(me, ADDRESS, ADDRESS, {}, 0.0)
    loads = LoadView()
    limits = AccountLimits(me, 0.0)
    limits.apply_sheet(_accounts_sheet(size), 0.0)
    limits.update_entries([me, _peer("entry-2")], 0.0)
    ranks = tuple(f"server-{number:05}" for number in range(size))
    leader = ReportAggregator("group-001", 0, ranks)
    leader.set_live_instances(ranks)
    suspects = CrashSuspects()

    def hear(frame: bytes, now: float) -> None:
        membership.receive(decode(frame).unwrap(), now)

    def report(frame: bytes, now: float) -> None:
        envelope = decode(frame).unwrap()
        assert isinstance(envelope.body, GroupReport)
        loads.apply_report(envelope.body, envelope.sender.incarnation, now)

    def digest(frame: bytes, now: float) -> None:
        envelope = decode(frame).unwrap()
        assert isinstance(envelope.body, ZoneDigest)
        loads.apply_digest(envelope.body, envelope.sender.incarnation, now)

    def demand(frame: bytes, now: float) -> None:
        envelope = decode(frame).unwrap()
        assert isinstance(envelope.body, LimitDemands)
        limits.receive(envelope.sender, envelope.body, now)

    def rank(frame: bytes, now: float) -> None:
        envelope = decode(frame).unwrap()
        assert isinstance(envelope.body, RankReport)
        leader.receive(envelope.sender.instance, envelope.body, now)

    def crash(frame: bytes, now: float) -> None:
        envelope = decode(frame).unwrap()
        assert isinstance(envelope.body, CrashReport)
        suspects.record_report(envelope.body, (), now)

    examples = _examples()
    frames = {
        kind: [encode(_envelope(sender, body))] * REPEATS
        for kind, (sender, body) in examples.items()
    }
    frames["heartbeat"] = [
        encode(_envelope(*_heartbeat(number % size))) for number in range(REPEATS)
    ]
    by_kind = {
        "heartbeat": hear,
        "group report": report,
        "zone digest": digest,
        "limit demands": demand,
        "rank report": rank,
        "crash report": crash,
    }
    return {kind: (handle, frames[kind]) for kind, handle in by_kind.items()}


SIZES = (20, 70, 250)
TARGET_SIZE = 80


def receive_seconds() -> dict[str, float]:
    """Return the fitted time to receive a message of each kind at the target."""
    seconds_by_kind: dict[str, list[float]] = {}
    for size in SIZES:
        for kind, (handle, frames) in _handlers(size).items():
            seconds_by_kind.setdefault(kind, []).append(_seconds_each(handle, frames))
    fitted = {}
    for kind, seconds in seconds_by_kind.items():
        slope, base = np.polyfit(SIZES, seconds, 1)
        fitted[kind] = float(max(base + slope * TARGET_SIZE, min(seconds)))
    return fitted


def send_seconds() -> dict[str, float]:
    """Return the time to encode a message of each kind."""
    seconds = {}
    for kind, (sender, body) in _examples().items():
        envelope = _envelope(sender, body)
        begin = time.perf_counter()
        for _ in range(REPEATS):
            encode(envelope)
        seconds[kind] = (time.perf_counter() - begin) / REPEATS
    return seconds


def tick_seconds() -> float:
    """Return the time of one tick of an entry's membership at the target."""
    membership = Membership(_peer("entry-1"), ADDRESS, ADDRESS, {}, 0.0)
    for number in range(TARGET_SIZE):
        sender, body = _heartbeat(number)
        membership.receive(_envelope(sender, body), 1.0)
    begin = time.perf_counter()
    for turn in range(40):
        membership.tick(1.0 + turn * 0.01)
    return (time.perf_counter() - begin) / 40


# Moving a message through the socket library and the reactor, as measured between two
# processes on the reference machine; encoding and handling come on top.
SOCKET_SECONDS = 15e-6


def run() -> list[Measure]:
    """Return bytes, messages and CPU a second for each role."""
    sizes = message_bytes()
    receive = receive_seconds()
    send = send_seconds()
    tick = tick_seconds()
    measures = [
        Measure(f"control: bytes of a {kind}", float(size), "B")
        for kind, size in sizes.items()
    ]
    measures += [
        Measure(f"control: CPU of receiving a {kind}", seconds * 1e6, "us")
        for kind, seconds in receive.items()
    ]
    measures.append(Measure("control: CPU of a membership tick", tick * 1e6, "us"))
    for role, loads in ROLES.items():
        octets = sum(sizes[load.kind] * (load.received + load.sent) for load in loads)
        messages = sum(load.received + load.sent for load in loads)
        seconds = TICKS_PER_SECOND * tick
        for load in loads:
            seconds += load.received * (receive[load.kind] + SOCKET_SECONDS)
            seconds += load.sent * (send[load.kind] + SOCKET_SECONDS)
        measures += [
            Measure(f"control: messages of the {role}", messages, "1/s"),
            Measure(
                f"control: bytes of the {role}",
                octets,
                "B/s",
                BYTES_PER_SECOND,
                Direction.AT_MOST,
            ),
            Measure(
                f"control: core share of the {role}",
                seconds * 100,
                "%",
                CORE_SHARE * 100,
                Direction.AT_MOST,
            ),
        ]
    return measures
