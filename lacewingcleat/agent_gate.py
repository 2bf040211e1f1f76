"""coordination: admission control at the agent of one backend server.

An agent runs a request only if this gate admits it. The conditions are: a sheet is in
force, the sender's routing is not older than the agent's, the server accepts new work,
the process is not recovering from a pause, the firm's claim and the slots allow the
start, and a crash suspect runs alone. The gate queues requests that may run later and
refuses all others as not run.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

from lacewingcleat.firm_claims import FirmClaims
from lacewingcleat.load_shedding import (
    AdmissionQueue,
    QueuedRequest,
    ShedReason,
    ShedRequest,
)
from lacewingcleat.sheet import ServerState, Sheet

# Callers retry elsewhere at once if this server is leaving or has no sheet. The delay
# is for callers that have no other server to try.
UNAVAILABLE_RETRY_SECONDS = 1.0


class RefusalReason(Enum):
    """Enumerate the reasons for which the gate refuses a request as not run."""

    NO_SHEET = "no-sheet"
    OLD_REVISION = "old-revision"
    NOT_IN_SHEET = "not-in-sheet"
    LEAVING = "leaving"
    PAUSED = "paused"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    DISPLACED = "displaced"
    ALONE_BUSY = "alone-busy"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, slots=True)
class GateRequest:
    """Represent a request that asks for admission.

    :param request_id: unique during the lifetime of this agent process.
    :param priority: 0 is the most urgent.
    :param revision: sheet revision of the sender.
    :param routing_digest: digest of the sender's sheet without accounts.
    :param deadline: on the agent's clock, infinite for none.
    :param run_alone: whether the request is a crash suspect, which may run only while
        the server runs nothing else.
    """

    request_id: str
    account: str
    firm: str
    priority: int
    revision: int
    routing_digest: str
    deadline: float = inf
    run_alone: bool = False


@dataclass(frozen=True, slots=True)
class Started:
    """Report that a request has a slot and must be sent to the server now."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Queued:
    """Report that a request is queued; a later event starts or refuses it.

    :param expected_seconds: expected time in the queue.
    """

    request_id: str
    expected_seconds: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Report that a request was refused and did not run.

    :param retry_after_seconds: time after which this server can be expected to admit
        the same request.
    """

    request_id: str
    reason: RefusalReason
    retry_after_seconds: float


GateEvent = Started | Refused
GateDecision = Started | Queued | Refused


@dataclass(slots=True)
class _Running:
    request: GateRequest
    started_at: float


class AgentGate:
    """Admit, queue or refuse the requests to one backend server.

    Every method that frees a slot or changes a condition returns the resulting events:
    the queued requests that start now or are refused.

    :param server: name of the backend server in the sheet.
    :param max_waiting: maximum length of the queue.
    """

    __slots__ = (
        "_claims",
        "_displaced_events",
        "_draining",
        "_paused",
        "_queue",
        "_request_by_waiting_id",
        "_run_alone_id",
        "_running_by_id",
        "_server",
        "_sheet",
        "_state",
    )

    def __init__(self, server: str, max_waiting: int = 1024) -> None:
        self._server = server
        self._claims = FirmClaims(0)
        self._queue = AdmissionQueue(self._slots_for, max_waiting)
        self._sheet: Sheet | None = None
        self._state: ServerState | None = None
        self._draining = False
        self._paused = False
        self._run_alone_id = ""
        self._displaced_events: list[GateEvent] = []
        self._running_by_id: dict[str, _Running] = {}
        self._request_by_waiting_id: dict[str, GateRequest] = {}

    @property
    def leaving(self) -> bool:
        """Return whether the server is leaving and accepts no new work."""
        return self._draining or self._state is ServerState.LEAVING

    @property
    def drained(self) -> bool:
        """Return whether the server is leaving and has no running requests."""
        return self.leaving and not self._running_by_id

    @property
    def running(self) -> int:
        """Return the number of running requests, each of which occupies a slot."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._queue)

    @property
    def slots(self) -> int:
        """Return the number of requests that the server can run concurrently."""
        return self._claims.slots

    @property
    def claims(self) -> FirmClaims:
        """Return the firm claims, for metrics and status pages."""
        return self._claims

    @property
    def queue(self) -> AdmissionQueue:
        """Return the queue, for metrics and status pages."""
        return self._queue

    def apply_sheet(self, sheet: Sheet, now: float) -> list[GateEvent]:
        """Apply a sheet revision, including this server's state and slots."""
        self._sheet = sheet
        server = sheet.server_by_name.get(self._server)
        self._state = server.state if server else None
        slots = server.slots if server else 0
        self._claims.set_slots(slots)
        return self._process_queue(now)

    def set_shares(
        self,
        share_by_firm: Mapping[str, float],
        now: float,
    ) -> list[GateEvent]:
        """Apply the shares of the slots that firms can claim at present.

        :param share_by_firm: shares from `claimed_shares`, to be set on each tick.
        """
        self._claims.set_shares(share_by_firm)
        return self._process_queue(now)

    def drain(self, now: float) -> list[GateEvent]:
        """Accept no new work and let running requests finish.

        Called when the platform lists the instance as leaving, and on SIGTERM.
        """
        self._draining = True
        return self._process_queue(now)

    def undrain(self, now: float) -> list[GateEvent]:
        """Accept new work again, after the platform listed the instance by mistake."""
        self._draining = False
        return self._process_queue(now)

    def pause(self, now: float) -> list[GateEvent]:
        """Start nothing after a pause of the process until the sheet is confirmed."""
        self._paused = True
        return self._process_queue(now)

    def resume(self, now: float) -> list[GateEvent]:
        """Start requests again, once a peer confirmed the sheet or none answered."""
        self._paused = False
        return self._process_queue(now)

    def admit(self, request: GateRequest, now: float) -> GateDecision:
        """Start, queue or refuse a new request.

        If this request displaces a queued one, the refusal of the displaced request is
        in the events that the next call of another method returns.
        """
        reason = self._refusal_reason(request)
        if reason is not None:
            return self._refuse(request, reason, now)
        if request.run_alone and self._run_alone_id:
            return self._refuse(request, RefusalReason.ALONE_BUSY, now)
        queued = QueuedRequest(
            request.request_id,
            request.account,
            request.firm,
            request.priority,
            request.deadline,
        )
        if request.run_alone:
            self._run_alone_id = request.request_id
        self._request_by_waiting_id[request.request_id] = request
        # Every change processes the queue, so no queued request can start now, and a
        # new request that can start does not overtake one.
        if now < request.deadline and self._may_start(queued):
            self._start(queued, now)
            return Started(request.request_id)
        expected_seconds = self._queue.expected_wait(request.firm, request.priority)
        for shed in self._queue.offer(queued, now):
            refused = self._refuse_shed(shed)
            if shed.request.request_id == request.request_id:
                return refused
            self._displaced_events.append(refused)
        return Queued(request.request_id, expected_seconds)

    def finish(self, request_id: str, now: float) -> list[GateEvent]:
        """Free the slot of a completed request."""
        running = self._running_by_id.pop(request_id, None)
        if running is None:
            return []
        self._claims.finish(running.request.firm)
        if self._run_alone_id == request_id:
            self._run_alone_id = ""
        self._queue.record_service_time(now - running.started_at)
        return self._process_queue(now)

    def cancel(self, request_id: str, now: float) -> list[GateEvent]:
        """Remove a queued or running request whose caller has disconnected."""
        running = self._running_by_id.pop(request_id, None)
        if running is not None:
            self._claims.finish(running.request.firm)
        else:
            self._queue.remove(request_id)
            self._remove_waiting(request_id)
        if self._run_alone_id == request_id:
            self._run_alone_id = ""
        return self._process_queue(now)

    def tick(self, now: float) -> list[GateEvent]:
        """Drop requests past their deadline and start others; called every 0.25 s."""
        return self._process_queue(now)

    def _refusal_reason(self, request: GateRequest) -> RefusalReason | None:
        sheet = self._sheet
        if sheet is None:
            return RefusalReason.NO_SHEET
        if self._state is None:
            return RefusalReason.NOT_IN_SHEET
        if self.leaving:
            return RefusalReason.LEAVING
        if self._paused:
            return RefusalReason.PAUSED
        if (
            request.revision < sheet.revision
            and request.routing_digest != sheet.routing_digest
        ):
            return RefusalReason.OLD_REVISION
        open_ids = self._running_by_id.keys() | self._request_by_waiting_id.keys()
        if request.request_id in open_ids:
            return RefusalReason.DUPLICATE
        return None

    def _refuse(
        self,
        request: GateRequest,
        reason: RefusalReason,
        now: float,
    ) -> Refused:
        match reason:
            case RefusalReason.OVERLOAD | RefusalReason.DEADLINE:
                seconds = self._queue.retry_after(
                    request.firm,
                    request.priority,
                    now,
                )
            case RefusalReason.ALONE_BUSY:
                seconds = self._queue.service_seconds
            case _:
                seconds = UNAVAILABLE_RETRY_SECONDS
        return Refused(request.request_id, reason, seconds)

    def _refuse_shed(self, shed: ShedRequest) -> Refused:
        self._remove_waiting(shed.request.request_id)
        reason = {
            ShedReason.OVERLOAD: RefusalReason.OVERLOAD,
            ShedReason.DEADLINE: RefusalReason.DEADLINE,
            ShedReason.DISPLACED: RefusalReason.DISPLACED,
        }[shed.reason]
        return Refused(shed.request.request_id, reason, shed.retry_after_seconds)

    def _remove_waiting(self, request_id: str) -> None:
        self._request_by_waiting_id.pop(request_id, None)
        if self._run_alone_id == request_id:
            self._run_alone_id = ""

    def _may_start(self, queued: QueuedRequest) -> bool:
        if self._paused or self.leaving or self._state is None:
            return False
        if self._run_alone_id and not self._run_alone_allows(queued):
            return False
        return self._claims.may_start(queued.firm, self._queue.waiting_firms)

    def _slots_for(self, firm: str) -> int:
        return self._claims.usable_slots(firm, self._queue.waiting_firms)

    def _run_alone_allows(self, queued: QueuedRequest) -> bool:
        """Return whether the running or queued crash suspect lets a request start."""
        if queued.request_id == self._run_alone_id:
            return not self._running_by_id
        if self._run_alone_id in self._running_by_id:
            return False
        suspect = self._request_by_waiting_id[self._run_alone_id]
        # While the suspect waits because slots are reserved for another firm's claim,
        # blocking other requests for its sake would only leave the server idle.
        other_firms = set(self._queue.waiting_firms) - {suspect.firm}
        claims = self._claims
        claim_holder_waits = any(
            claims.running_requests(f) < claims.claimed_slots(f) for f in other_firms
        )
        return claim_holder_waits and claims.claimed_slots(suspect.firm) == 0

    def _start(self, queued: QueuedRequest, now: float) -> None:
        request = self._request_by_waiting_id.pop(queued.request_id)
        self._claims.start(request.firm)
        self._running_by_id[request.request_id] = _Running(request, now)

    def _process_queue(self, now: float) -> list[GateEvent]:
        """Refuse queued requests that can no longer run and start those that can."""
        events: list[GateEvent] = list(self._displaced_events)
        self._displaced_events.clear()
        if self.leaving or (self._sheet is not None and self._state is None):
            reason = RefusalReason.LEAVING if self.leaving else None
            for queued in self._queue.clear():
                request = self._request_by_waiting_id[queued.request_id]
                self._remove_waiting(queued.request_id)
                events.append(
                    self._refuse(request, reason or RefusalReason.NOT_IN_SHEET, now),
                )
        events += [self._refuse_shed(shed) for shed in self._queue.drop_expired(now)]
        while (next_queued := self._queue.take(self._may_start)) is not None:
            self._start(next_queued, now)
            events.append(Started(next_queued.request_id))
        return events
