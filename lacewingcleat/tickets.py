"""coordination: run a non-idempotent request at most once, at the agent that minted it.

The book belongs to one agent process. A request runs only if the book returns `RunNow`
and then `Started` for its ticket, and each ticket reaches `Started` at most once. The
book says "not run" only about a ticket that can never start any more, so that a copy of
the request that is still on its way cannot make the statement false.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from heapq import heappop, heappush

from result import Err, Ok, Result

from lacewingcleat.identity import Peer
from lacewingcleat.sheet import DEFAULT_TICKET_SECONDS, Service
from lacewingcleat.ticket_outcomes import (
    Attach,
    Minted,
    NotRun,
    PresentOutcome,
    Ran,
    Response,
    RevokeOutcome,
    RunNow,
    StartOutcome,
    Stored,
    TicketCode,
    TicketStarted,
    TicketUse,
    Unknown,
)
from lacewingcleat.ticket_token import (
    Ticket,
    decode_ticket,
    encode_ticket,
    verify_ticket,
)

__all__ = [
    "Attach",
    "Minted",
    "NotRun",
    "PresentOutcome",
    "Ran",
    "Response",
    "RevokeOutcome",
    "RunNow",
    "StartOutcome",
    "Stored",
    "TicketCode",
    "TicketRegistry",
    "TicketStarted",
    "TicketUse",
    "Unknown",
    "choose_ticket_use",
]

MAX_TICKETS = 100_000
MAX_RESPONSE_BYTES = 1 << 20
MAX_STORED_BYTES = 64 << 20
# Memory of a stored response beside its content. Without it, 100,000 small responses
# would take 25 MB more than the bound says.
STORED_OVERHEAD_BYTES = 256
# How long an expired ticket is still known, so that one that was never started can be
# reported as not run. Afterwards the book can no longer tell, and says unknown.
EXPIRED_RETENTION_SECONDS = 60.0


class _State(Enum):
    MINTED = 0
    QUEUED = 1
    RUNNING = 2
    DONE = 3
    LOST = 4
    REFUSED = 5


@dataclass(slots=True)
class _TicketRecord:
    ticket: Ticket
    state: _State = _State.MINTED
    fingerprint: str = ""
    code: str = ""
    response: Response | None = None


@dataclass(frozen=True, slots=True)
class _ScopedKey:
    account: str
    service: str
    key: str


@dataclass(slots=True)
class _KeyUse:
    last_expiry: float
    ticket_id: str = ""


def _scoped_key(ticket: Ticket) -> _ScopedKey:
    return _ScopedKey(ticket.account, ticket.service, ticket.key)


def choose_ticket_use(
    service: Service,
    method: str,
    path: str,
    has_ticket: bool,
    has_key: bool,
) -> TicketUse:
    """Return whether a call needs a ticket and who supplies it.

    :param path: path below the service.
    """
    if has_ticket:
        return TicketUse.PRESENT
    if service.is_idempotent(method, path):
        return TicketUse.NONE
    if has_key or service.require_ticket:
        return TicketUse.DEMAND
    return TicketUse.OBTAIN


class TicketRegistry:
    """Keep the tickets of one agent process.

    :param me: the agent.
    :param address: IP and port of the agent's HTTP listener.
    :param secret: random bytes made at the start of the process.
    """

    __slots__ = (
        "_address",
        "_eviction_queue",
        "_me",
        "_record_by_id",
        "_secret",
        "_size_by_stored_id",
        "_use_by_key",
        "stored_bytes",
    )

    def __init__(self, me: Peer, address: str, secret: bytes) -> None:
        self._me = me
        self._address = address
        self._secret = secret
        self._record_by_id: dict[str, _TicketRecord] = {}
        self._use_by_key: dict[_ScopedKey, _KeyUse] = {}
        self._eviction_queue: list[tuple[float, str]] = []
        self._size_by_stored_id: OrderedDict[str, int] = OrderedDict()
        self.stored_bytes = 0

    def __len__(self) -> int:
        """Return the number of tickets that the book remembers."""
        return len(self._record_by_id)

    def mint(
        self,
        service: str,
        account: str,
        random_bytes: bytes,
        now: float,
        key: str = "",
        ticket_seconds: float = DEFAULT_TICKET_SECONDS,
    ) -> Result[Minted, NotRun | Ran | Unknown]:
        """Make a ticket, or say why there is none.

        :param random_bytes: 16 bytes from a cryptographic source.
        :param key: idempotency key to which the ticket is bound.
        """
        self.evict_expired(now)
        if len(self._record_by_id) >= MAX_TICKETS:
            return Err(NotRun(TicketCode.TOO_MANY))
        ticket = Ticket(
            self._me.instance,
            self._address,
            self._me.incarnation,
            random_bytes.hex(),
            service,
            account,
            key,
            now + ticket_seconds,
        )
        refusal = self._key_conflict(ticket)
        if refusal is not None:
            return Err(refusal)
        if key:
            use = self._use_by_key.setdefault(_scoped_key(ticket), _KeyUse(0.0))
            use.last_expiry = max(use.last_expiry, ticket.expires)
        self._record_by_id[ticket.ticket_id] = _TicketRecord(ticket)
        evict_at = ticket.expires + EXPIRED_RETENTION_SECONDS
        heappush(self._eviction_queue, (evict_at, ticket.ticket_id))
        return Ok(Minted(ticket, encode_ticket(ticket, self._secret)))

    def present(
        self,
        token: str,
        service: str,
        account: str,
        fingerprint: str,
        now: float,
        key: str = "",
    ) -> PresentOutcome:
        """Decide what happens to a request that carries a ticket.

        The first request that is admitted binds the ticket to its fingerprint; a ticket
        answers for one request only.

        :param fingerprint: hash over the request's method, path and body.
        :param key: the request's idempotency key. It has no effect on a ticket that is
            not bound to a key, because the key may have been forgotten before such a
            ticket expires.
        """
        self.evict_expired(now)
        match self._find_record(token, service, account):
            case Err(unknown):
                return unknown
            case Ok(record):
                return self._present(record, fingerprint, key, now)

    def start(self, ticket_id: str, now: float) -> StartOutcome:
        """Mark an admitted request as running, immediately before it is sent on.

        Time may have passed in the queue or in a pause, so expiry is checked again.
        """
        record = self._record_by_id.get(ticket_id)
        if record is None:
            return Unknown(TicketCode.EXPIRED)
        if record.state is _State.REFUSED:
            return NotRun(record.code)
        if record.state is not _State.QUEUED:
            return Unknown(TicketCode.OTHER_REQUEST)
        if now >= record.ticket.expires:
            return self._refuse(record, TicketCode.EXPIRED)
        record.state = _State.RUNNING
        return TicketStarted(ticket_id)

    def finish(self, ticket_id: str, response: Response, now: float) -> None:
        """Store the response of a run, within the bounds."""
        record = self._record_by_id.get(ticket_id)
        if record is None or record.state is not _State.RUNNING:
            return
        record.state = _State.DONE
        if response.size > MAX_RESPONSE_BYTES or now >= record.ticket.expires:
            return
        record.response = response
        size = response.size + STORED_OVERHEAD_BYTES
        self._size_by_stored_id[ticket_id] = size
        self.stored_bytes += size
        while self.stored_bytes > MAX_STORED_BYTES:
            # The oldest response is the least likely to be asked for again.
            self._evict_response(next(iter(self._size_by_stored_id)))

    def finish_without_response(self, ticket_id: str) -> None:
        """Mark a run as complete whose response was not kept, such as a stream."""
        record = self._record_by_id.get(ticket_id)
        if record is not None and record.state is _State.RUNNING:
            record.state = _State.DONE

    def refuse(self, ticket_id: str, code: str) -> NotRun | Unknown:
        """Refuse an admitted request that has not started, for good.

        The ticket becomes a tombstone. Otherwise a delayed copy could still run after
        its caller was told that the request did not.
        """
        record = self._record_by_id.get(ticket_id)
        if record is None:
            return Unknown(TicketCode.EXPIRED)
        if record.state in (_State.MINTED, _State.QUEUED):
            return self._refuse(record, code)
        if record.state is _State.REFUSED:
            return NotRun(record.code)
        return Unknown(TicketCode.OTHER_REQUEST)

    def revoke(self, token: str, account: str, now: float) -> RevokeOutcome:
        """Make sure that a ticket never starts, or say how far its request has come."""
        self.evict_expired(now)
        match self._find_record(token, None, account):
            case Err(unknown):
                return unknown
            case Ok(record):
                pass
        if record.state is _State.MINTED and now >= record.ticket.expires:
            return self._refuse(record, TicketCode.EXPIRED)
        if record.state in (_State.MINTED, _State.QUEUED):
            return self._refuse(record, TicketCode.REVOKED)
        return self._outcome(record, now)

    def refuse_unsent(self, ticket_id: str, code: str) -> None:
        """Refuse a started request of which nothing was sent to the service.

        A refused connection proves that it did not run; the ticket becomes a tombstone.
        """
        record = self._record_by_id.get(ticket_id)
        if record is not None and record.state is _State.RUNNING:
            self._refuse(record, code)

    def mark_lost(self, ticket_id: str) -> None:
        """Mark one run as lost, after its connection to the service broke."""
        record = self._record_by_id.get(ticket_id)
        if record is not None and record.state is _State.RUNNING:
            record.state = _State.LOST

    def mark_running_lost(self) -> list[str]:
        """Mark all runs as lost after the engine or service died or restarted.

        Requests that wait in the agent's queue were never sent and stay admitted.

        :return: the tickets whose waiting requests must be answered with `Unknown`.
        """
        lost_ids = []
        for ticket_id, record in self._record_by_id.items():
            if record.state is _State.RUNNING:
                record.state = _State.LOST
                lost_ids.append(ticket_id)
        return lost_ids

    def evict_expired(self, now: float) -> None:
        """Drop tickets whose time is over, but none that is queued or running."""
        while self._eviction_queue and self._eviction_queue[0][0] <= now:
            _, ticket_id = heappop(self._eviction_queue)
            record = self._record_by_id[ticket_id]
            if record.state in (_State.QUEUED, _State.RUNNING):
                heappush(
                    self._eviction_queue, (now + EXPIRED_RETENTION_SECONDS, ticket_id)
                )
                continue
            self._evict_response(ticket_id)
            del self._record_by_id[ticket_id]
            self._evict_key(record.ticket, now)

    def _find_record(
        self,
        token: str,
        service: str | None,
        account: str,
    ) -> Result[_TicketRecord, Unknown]:
        match decode_ticket(token):
            case Err(_):
                return Err(Unknown(TicketCode.NOT_RECOGNISED))
            case Ok(ticket):
                pass
        if ticket.incarnation != self._me.incarnation:
            return Err(Unknown(TicketCode.OTHER_INCARNATION))
        if not verify_ticket(token, self._secret):
            return Err(Unknown(TicketCode.NOT_RECOGNISED))
        if ticket.account != account or service not in (None, ticket.service):
            return Err(Unknown(TicketCode.OTHER_REQUEST))
        record = self._record_by_id.get(ticket.ticket_id)
        if record is None:
            return Err(Unknown(TicketCode.EXPIRED))
        return Ok(record)

    def _present(
        self,
        record: _TicketRecord,
        fingerprint: str,
        key: str,
        now: float,
    ) -> PresentOutcome:
        if record.state is _State.REFUSED:
            return NotRun(record.code)
        if record.ticket.key and key and key != record.ticket.key:
            return Unknown(TicketCode.OTHER_REQUEST)
        if record.state is not _State.MINTED:
            # A body that differs is not proof of another request: a caller may build
            # the same request anew. So this is never reported as not run.
            if fingerprint != record.fingerprint:
                return Unknown(TicketCode.OTHER_REQUEST)
            return self._outcome(record, now)
        if now >= record.ticket.expires:
            return self._refuse(record, TicketCode.EXPIRED)
        refusal = self._key_conflict(record.ticket)
        if refusal is not None:
            return refusal
        if record.ticket.key:
            use = self._use_by_key[_scoped_key(record.ticket)]
            use.ticket_id = record.ticket.ticket_id
        record.fingerprint = fingerprint
        record.state = _State.QUEUED
        return RunNow(record.ticket.ticket_id)

    def _outcome(self, record: _TicketRecord, now: float) -> RevokeOutcome:
        match record.state:
            case _State.QUEUED | _State.RUNNING:
                return Attach(record.ticket.ticket_id)
            case _State.REFUSED:
                return NotRun(record.code)
            case _State.LOST:
                return Unknown(TicketCode.SERVER_LOST)
        if now >= record.ticket.expires:
            return Unknown(TicketCode.EXPIRED)
        if record.response is None:
            return Ran(TicketCode.RESPONSE_NOT_STORED)
        return Stored(record.ticket.ticket_id, record.response)

    def _refuse(self, record: _TicketRecord, code: str) -> NotRun:
        record.state = _State.REFUSED
        record.code = code
        use = self._use_by_key.get(_scoped_key(record.ticket))
        if use is not None and use.ticket_id == record.ticket.ticket_id:
            use.ticket_id = ""
        return NotRun(code)

    def _key_conflict(self, ticket: Ticket) -> Ran | Unknown | None:
        use = self._use_by_key.get(_scoped_key(ticket))
        if use is None or use.ticket_id in ("", ticket.ticket_id):
            return None
        other = self._record_by_id.get(use.ticket_id)
        if other is None:
            return Unknown(TicketCode.KEY_ALREADY_RUN)
        match other.state:
            case _State.DONE:
                return Ran(TicketCode.KEY_ALREADY_RUN)
            case _State.LOST:
                return Unknown(TicketCode.SERVER_LOST)
        return Unknown(TicketCode.KEY_IN_USE)

    def _evict_key(self, ticket: Ticket, now: float) -> None:
        key = _scoped_key(ticket)
        use = self._use_by_key.get(key)
        if use is None or use.ticket_id in self._record_by_id:
            return
        # Tickets for the same key that are still valid must find that it was used.
        if use.last_expiry + EXPIRED_RETENTION_SECONDS <= now:
            del self._use_by_key[key]

    def _evict_response(self, ticket_id: str) -> None:
        size = self._size_by_stored_id.pop(ticket_id, None)
        if size is not None:
            self.stored_bytes -= size
            self._record_by_id[ticket_id].response = None
