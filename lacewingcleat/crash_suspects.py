"""coordination: detect requests that crash servers and refuse them.

A request that was in flight when a server crashed is a suspect: it may run only on a
server that runs nothing else. If that server crashes too, the request is convicted,
that is refused from then on. If it completes, it is cleared. Each entry and agent has
a copy of the table of suspects and floods its updates to its neighbours. The prompt
segments that different requests share are judged by `crash_evidence`.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from lacewingcleat.actions import Action, Send
from lacewingcleat.crash_evidence import CrashEvidence, CrashRecord
from lacewingcleat.messages import CrashReport, SuspectCleared
from lacewingcleat.rendezvous import rank_by_rendezvous

RETENTION_SECONDS = 900.0
MAX_SUSPECTS = 4_096
# At the design target of 190 failures a day, about 4 occur within the retention time
# of crashes.
MAX_CRASHES = 256
MAX_CLEARED = 4_096
MAX_FINGERPRINTS = 256
MAX_CRASHES_PER_SUSPECT = 8
MAX_REPORTS_TO_NEW_PEER = 64
# Each report is sent again, because a lost report can lead to another server crash.
REPORT_REPEATS = 2
REPORT_REPEAT_SECONDS = 1.0
CRASHES_SERVER = "crashes-server"
CRASHES_SERVER_DETAIL = "backend servers have crashed under such requests"
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
    last_crash_at: float
    # Whether the request was the only one in flight, by crash ID.
    single_by_crash: dict[str, bool] = field(default_factory=dict)
    convicted: bool = False


@dataclass(frozen=True, slots=True)
class _Crash:
    crashed_at: float
    report: CrashReport

    def report_at(self, now: float) -> CrashReport:
        return msgspec.structs.replace(self.report, age=now - self.crashed_at)


@dataclass(slots=True)
class _Repeat:
    body: _Crash | SuspectCleared
    last_sent_at: float
    remaining: int = REPORT_REPEATS


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

    __slots__ = (
        "_cleared_at_by_pair",
        "_crash_by_id",
        "_evidence",
        "_repeats",
        "_suspect_by_fingerprint",
    )

    def __init__(self) -> None:
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._crash_by_id: OrderedDict[str, _Crash] = OrderedDict()
        self._cleared_at_by_pair: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._repeats: list[_Repeat] = []
        self._evidence = CrashEvidence()

    def __len__(self) -> int:
        """Return the number of suspects and convicted requests."""
        return len(self._suspect_by_fingerprint)

    @property
    def convicted(self) -> int:
        """Return the number of convicted requests, which are refused."""
        return sum(
            suspect.convicted for suspect in self._suspect_by_fingerprint.values()
        )

    def verdict(
        self, fingerprint: str, now: float, segments: Collection[str] = ()
    ) -> Verdict:
        """Return how a request may run; entries and agents check before each start.

        :param segments: prompt segments that the request shares with others.
        """
        self._evict_expired(now)
        if self._evidence.find_refused(segments):
            return Convicted(RETENTION_SECONDS)
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.last_crash_at + RETENTION_SECONDS <= now:
            return Unsuspected()
        if suspect.convicted:
            return Convicted(suspect.last_crash_at + RETENTION_SECONDS - now)
        return RunAlone()

    def record_report(
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
        self._evict_expired(now)
        if report.crash_id in self._crash_by_id or report.age >= RETENTION_SECONDS:
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
            self._apply_crash(fingerprint, crash)
        record = CrashRecord(report.crash_id, report.age, list(report.segments))
        self._evidence.merge([record], now)
        return self._flood(crash, neighbours, now, sender)

    def unanswered_segments(self, segments: Iterable[str], now: float) -> list[str]:
        """Return the segments that no recent answer of this process clears."""
        return self._evidence.unanswered(segments, now)

    def record_answer(
        self, segments: Collection[str], neighbours: Collection[str], now: float
    ) -> list[Action]:
        """Clear the segments of a request that this agent's server has answered."""
        actions: list[Action] = []
        for segment, crash_ids in self._evidence.record_answered(segments, now).items():
            cleared = SuspectCleared(segment, tuple(crash_ids))
            actions += self.record_clearance(cleared, neighbours, now)
        return actions

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
        return self.record_clearance(cleared, neighbours, now)

    def record_clearance(
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
        self._evict_expired(now)
        pairs = [(cleared.fingerprint, crash_id) for crash_id in cleared.crash_ids]
        new_pairs = [pair for pair in pairs if pair not in self._cleared_at_by_pair]
        if not new_pairs:
            return []
        self._evidence.record_clearance(cleared.fingerprint, cleared.crash_ids, now)
        for pair in new_pairs:
            self._cleared_at_by_pair[pair] = now
            if len(self._cleared_at_by_pair) > MAX_CLEARED:
                self._cleared_at_by_pair.popitem(last=False)
        suspect = self._suspect_by_fingerprint.get(cleared.fingerprint)
        if suspect is not None and not suspect.convicted:
            for crash_id in cleared.crash_ids:
                suspect.single_by_crash.pop(crash_id, None)
            if not suspect.single_by_crash:
                del self._suspect_by_fingerprint[cleared.fingerprint]
        return self._flood(cleared, neighbours, now, sender)

    def recent_reports_for(self, instance: str, now: float) -> list[Action]:
        """Return recent reports to send to a process that is new or reachable again.

        It received no floods while it was down, paused or partitioned from this one.
        """
        self._evict_expired(now)
        recent = [
            crash.report_at(now)
            for crash in self._crash_by_id.values()
            if now - crash.crashed_at < RETENTION_SECONDS
        ]
        pairs = list(self._cleared_at_by_pair)[-MAX_REPORTS_TO_NEW_PEER:]
        cleared = [
            SuspectCleared(fingerprint, (crash_id,)) for fingerprint, crash_id in pairs
        ]
        # Clearances go first, so that no cleared request becomes a suspect in between.
        bodies: list[CrashReport | SuspectCleared] = [
            *cleared,
            *recent[-MAX_REPORTS_TO_NEW_PEER:],
        ]
        return [Send(instance, body) for body in bodies]

    def tick(self, neighbours: Iterable[str], now: float) -> list[Action]:
        """Return the repeats of recent reports that are now to be sent."""
        actions: list[Action] = []
        targets = list(neighbours)
        for repeat in self._repeats:
            if now < repeat.last_sent_at + REPORT_REPEAT_SECONDS:
                continue
            repeat.remaining -= 1
            repeat.last_sent_at = now
            actions += [
                Send(target, _to_message(repeat.body, now)) for target in targets
            ]
        self._repeats = [repeat for repeat in self._repeats if repeat.remaining]
        return actions

    def _apply_crash(self, fingerprint: str, crash: _Crash) -> None:
        report = crash.report
        if (fingerprint, report.crash_id) in self._cleared_at_by_pair:
            return
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            suspect = _Suspect(crash.crashed_at)
            self._suspect_by_fingerprint[fingerprint] = suspect
        suspect.last_crash_at = max(suspect.last_crash_at, crash.crashed_at)
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
            self._evict_one()

    def _evict_one(self) -> None:
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
        message = _to_message(body, now)
        return [Send(target, message) for target in neighbours if target != sender]

    def _evict_expired(self, now: float) -> None:
        expiry = now - RETENTION_SECONDS
        self._evidence.expire(now)
        # Crashes are retained for longer than suspects, so that a late copy of a
        # report does not count as a new crash.
        crashes = self._crash_by_id
        while (
            crashes
            and next(iter(crashes.values())).crashed_at <= expiry - RETENTION_SECONDS
        ):
            crashes.popitem(last=False)
        cleared = self._cleared_at_by_pair
        while cleared and next(iter(cleared.values())) <= expiry - RETENTION_SECONDS:
            cleared.popitem(last=False)
        suspects = self._suspect_by_fingerprint
        while suspects and next(iter(suspects.values())).last_crash_at <= expiry:
            suspects.popitem(last=False)


def _to_message(
    body: _Crash | SuspectCleared, now: float
) -> CrashReport | SuspectCleared:
    return body.report_at(now) if isinstance(body, _Crash) else body
