"""coordination: detect requests that crash servers and refuse them.

A request that was in flight when a server crashed is a suspect: it may run only on a
server that runs nothing else. If that server crashes too, the request is convicted,
that is refused from then on. If it completes, it is cleared. Each entry and agent has
a copy of the table of suspects and floods its updates to its neighbours.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from lacewingcleat.actions import Action, Send
from lacewingcleat.messages import CrashReport, SuspectCleared
from lacewingcleat.rendezvous import rank_by_rendezvous

FORGET_SECONDS = 900.0
MAX_SUSPECTS = 4_096
# At the design target of 190 failures a day, about 4 occur within the retention time
# of crashes.
MAX_CRASHES = 256
MAX_CLEARED = 4_096
MAX_FINGERPRINTS = 256
MAX_CRASHES_PER_SUSPECT = 8
MAX_REPORTS_FOR_NEWCOMER = 64
# Each report is sent again, because a lost report can lead to another server crash.
REPEATS = 2
REPEAT_SECONDS = 1.0
CRASHES_SERVER = "crashes-server"
RUN_ALONE = "run-alone"


@dataclass(frozen=True, slots=True)
class Unsuspected:
    """Allow the request to run concurrently with others."""


@dataclass(frozen=True, slots=True)
class RunAlone:
    """Allow the request to run only on a server that runs nothing else."""


@dataclass(frozen=True, slots=True)
class Convicted:
    """Refuse the request as not run (422, code `crashes-server`)."""

    retry_after: float


Verdict = Unsuspected | RunAlone | Convicted


@dataclass(slots=True)
class _Suspect:
    at: float
    # Whether the request was the only one in flight, by crash ID.
    single_by_crash: dict[str, bool] = field(default_factory=dict)
    convicted: bool = False


@dataclass(frozen=True, slots=True)
class _Crash:
    at: float
    report: CrashReport

    def as_of(self, now: float) -> CrashReport:
        return msgspec.structs.replace(self.report, age=now - self.at)


@dataclass(slots=True)
class _Repeat:
    body: _Crash | SuspectCleared
    at: float
    left: int = REPEATS


def fingerprint_request(account: str, target: str, body: bytes) -> str:
    """Return a hash that identifies a request across its attempts.

    Headers are not part of the hash, because they differ between attempts.

    :param target: method and path, or model.
    """
    digest = blake2b(digest_size=16)
    for part in (account.encode(), target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


def choose_isolation_server(
    fingerprint: str,
    servers_by_zone: Mapping[str, Collection[str]],
) -> str | None:
    """Return the only server on which a suspect may run alone at present.

    All entries that can communicate choose the same zone and server, so two copies of
    a suspect cannot crash two servers at once. The choice changes only when servers
    become live or unreachable. A server whose engine is down remains the choice, and
    its agent, which has seen the crash, refuses the request.

    :param servers_by_zone: servers that can run the request, by the zones that this
        entry can reach.
    """
    zones = [zone for zone, servers in servers_by_zone.items() if servers]
    if not zones:
        return None
    zone = rank_by_rendezvous(fingerprint, zones)[0]
    return rank_by_rendezvous("isolation", servers_by_zone[zone])[0]


class CrashSuspects:
    """Maintain one process's copy of the table of crash suspects."""

    __slots__ = ("_cleared_at", "_crash_by_id", "_repeats", "_suspect_by_fingerprint")

    def __init__(self) -> None:
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._crash_by_id: OrderedDict[str, _Crash] = OrderedDict()
        self._cleared_at: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._repeats: list[_Repeat] = []

    def __len__(self) -> int:
        """Return the number of suspects and convicted requests."""
        return len(self._suspect_by_fingerprint)

    @property
    def convicted(self) -> int:
        """Return the number of convicted requests, which are refused."""
        return sum(
            suspect.convicted for suspect in self._suspect_by_fingerprint.values()
        )

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may run; entries and agents check before each start."""
        self._forget(now)
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.at + FORGET_SECONDS <= now:
            return Unsuspected()
        if suspect.convicted:
            return Convicted(suspect.at + FORGET_SECONDS - now)
        return RunAlone()

    def hear_report(
        self,
        report: CrashReport,
        neighbours: Iterable[str],
        now: float,
        sender: str = "",
    ) -> list[Action]:
        """Apply a crash report and forward it, unless the crash is known already.

        An agent reports the crashes of its own engine. If an entry's connection to an
        agent breaks while a suspect runs alone there, agent and engine may have died
        together, so the entry reports the crash in the agent's place, with crash ID
        `INCARNATION:lost`.

        :param neighbours: processes to which this one forwards reports.
        :param sender: process that sent the report, empty for this one.
        """
        self._forget(now)
        if report.crash_id in self._crash_by_id or report.age >= FORGET_SECONDS:
            return []
        fingerprints = report.fingerprints[:MAX_FINGERPRINTS]
        crash = _Crash(
            now - report.age,
            msgspec.structs.replace(report, fingerprints=fingerprints),
        )
        self._crash_by_id[report.crash_id] = crash
        if len(self._crash_by_id) > MAX_CRASHES:
            self._crash_by_id.popitem(last=False)
        for fingerprint in fingerprints:
            self._strike(fingerprint, crash)
        return self._flood(crash, neighbours, now, sender)

    def clear(
        self,
        fingerprint: str,
        neighbours: Iterable[str],
        now: float,
    ) -> list[Action]:
        """Clear a suspect that completed while it ran alone at this agent."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.convicted:
            return []
        cleared = SuspectCleared(fingerprint, tuple(sorted(suspect.single_by_crash)))
        return self.hear_cleared(cleared, neighbours, now)

    def hear_cleared(
        self,
        cleared: SuspectCleared,
        neighbours: Iterable[str],
        now: float,
        sender: str = "",
    ) -> list[Action]:
        """Remove the given crashes from the record of a suspect and forward the update.

        The cleared crashes are retained, because the report of a crash may arrive
        after its clearance.
        """
        self._forget(now)
        pairs = [(cleared.fingerprint, crash_id) for crash_id in cleared.crash_ids]
        new = [pair for pair in pairs if pair not in self._cleared_at]
        if not new:
            return []
        for pair in new:
            self._cleared_at[pair] = now
            if len(self._cleared_at) > MAX_CLEARED:
                self._cleared_at.popitem(last=False)
        suspect = self._suspect_by_fingerprint.get(cleared.fingerprint)
        if suspect is not None and not suspect.convicted:
            for crash_id in cleared.crash_ids:
                suspect.single_by_crash.pop(crash_id, None)
            if not suspect.single_by_crash:
                del self._suspect_by_fingerprint[cleared.fingerprint]
        return self._flood(cleared, neighbours, now, sender)

    def greet(self, instance: str, now: float) -> list[Action]:
        """Return recent reports to send to a process that is new or reachable again.

        It received no floods while it was down, paused or partitioned from this one.
        """
        self._forget(now)
        recent = [
            crash.as_of(now)
            for crash in self._crash_by_id.values()
            if now - crash.at < FORGET_SECONDS
        ]
        pairs = list(self._cleared_at)[-MAX_REPORTS_FOR_NEWCOMER:]
        cleared = [
            SuspectCleared(fingerprint, (crash_id,)) for fingerprint, crash_id in pairs
        ]
        # Clearances go first, so that no cleared request becomes a suspect in between.
        bodies: list[CrashReport | SuspectCleared] = [
            *cleared,
            *recent[-MAX_REPORTS_FOR_NEWCOMER:],
        ]
        return [Send(instance, body) for body in bodies]

    def tick(self, neighbours: Iterable[str], now: float) -> list[Action]:
        """Return the repeats of recent reports that are now to be sent."""
        actions: list[Action] = []
        targets = list(neighbours)
        for repeat in self._repeats:
            if now < repeat.at + REPEAT_SECONDS:
                continue
            repeat.left -= 1
            repeat.at = now
            actions += [Send(target, _body(repeat.body, now)) for target in targets]
        self._repeats = [repeat for repeat in self._repeats if repeat.left]
        return actions

    def _strike(self, fingerprint: str, crash: _Crash) -> None:
        report = crash.report
        if (fingerprint, report.crash_id) in self._cleared_at:
            return
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = _Suspect(crash.at)
            self._suspect_by_fingerprint[fingerprint] = suspect
        suspect.at = max(suspect.at, crash.at)
        if len(suspect.single_by_crash) < MAX_CRASHES_PER_SUSPECT:
            is_single = len(report.fingerprints) == 1
            suspect.single_by_crash[report.crash_id] = is_single
        # A request runs alone only after a first crash, so a crash while it runs alone
        # is the second. A request that ran concurrently with others may be innocent,
        # however many crashes it was in flight at. The result must not depend on the
        # order in which a process receives the reports.
        is_second = len(suspect.single_by_crash) > 1
        if report.alone or (is_second and any(suspect.single_by_crash.values())):
            suspect.convicted = True
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        if len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            self._drop_one()

    def _drop_one(self) -> None:
        """Evict the oldest suspect, or the oldest convicted request if none is left."""
        for fingerprint, suspect in self._suspect_by_fingerprint.items():
            if not suspect.convicted:
                del self._suspect_by_fingerprint[fingerprint]
                return
        self._suspect_by_fingerprint.popitem(last=False)

    def _flood(
        self,
        body: _Crash | SuspectCleared,
        neighbours: Iterable[str],
        now: float,
        sender: str,
    ) -> list[Action]:
        self._repeats.append(_Repeat(body, now))
        message = _body(body, now)
        return [Send(target, message) for target in neighbours if target != sender]

    def _forget(self, now: float) -> None:
        limit = now - FORGET_SECONDS
        # Crashes are retained for longer than suspects, so that a late copy of a
        # report does not count as a new crash.
        crashes = self._crash_by_id
        while crashes and next(iter(crashes.values())).at <= limit - FORGET_SECONDS:
            crashes.popitem(last=False)
        cleared = self._cleared_at
        while cleared and next(iter(cleared.values())) <= limit - FORGET_SECONDS:
            cleared.popitem(last=False)
        suspects = self._suspect_by_fingerprint
        while suspects and next(iter(suspects.values())).at <= limit:
            suspects.popitem(last=False)


def _body(body: _Crash | SuspectCleared, now: float) -> CrashReport | SuspectCleared:
    return body.as_of(now) if isinstance(body, _Crash) else body
