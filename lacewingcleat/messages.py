"""state: control messages between processes.

Every message travels in an `Envelope` that names its sender and the sheet revision the
sender holds. Messages are one-way and may be lost, doubled, reordered or late.
"""

from enum import Enum
from typing import Annotated

import msgspec

from lacewingcleat.identity import Peer

# Excludes values that are not finite; they would make comparisons of loads false.
Number = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Be encoded as an array of its fields, without their names.

    Heartbeats are the most frequent messages, and names would double their size.
    Fields are only ever added at the end and with a default, so that processes of two
    releases understand each other.
    """


class Body(Record, frozen=True, tag=True):
    """Be encoded with its type's name in front."""


class Heartbeat(Body, frozen=True):
    """Tell peers that a process is alive, once a second.

    :param control_address: IP and port of the sender's control socket.
    :param request_address: IP and port of the sender's HTTP listener.
    :param view_digest: digest of the sender's view of the live entries in its zone.
    :param leaving: whether the sender refuses new work.
    :param in_flight: requests running at the sender.
    :param capacity: requests the sender can run at once.
    :param sent_at: the sender's clock, so that a delayed copy is no sign of life.
    """

    control_address: str
    request_address: str
    view_digest: str
    leaving: bool
    in_flight: int
    capacity: int
    sent_at: Number = 0.0


class PeerAddress(Record, frozen=True):
    """Give the address under which a process was last heard.

    :param age: seconds since the sender of this record heard from it.
    """

    peer: Peer
    control_address: str
    request_address: str
    leaving: bool
    age: Number


class PeerList(Body, frozen=True):
    """Pass on the processes that the sender knows to be alive.

    :param reply_wanted: whether the receiver should answer with its own list.
    :param sent_at: the sender's clock, against which the ages are counted.
    """

    peers: tuple[PeerAddress, ...]
    reply_wanted: bool = False
    sent_at: Number = 0.0


class Suspicion(Body, frozen=True):
    """Tell peers that the sender cannot reach a process."""

    peer: Peer


class SheetOffer(Body, frozen=True):
    """Announce a revision by the parts that differ from a base revision.

    :param base_revision: revision to which the changes apply, 0 for a full manifest.
    :param base_digest: digest of that manifest, empty for a full manifest.
    :param digest_by_part: changed parts; an empty digest removes the part.
    :param buckets: bucket count by kind of part, in sorted order.
    :param read_seconds: time from publication until a process read the revision from
        the configuration service, as far as that service says.
    :param relay_seconds: time from then until this offer, by the clocks of the
        processes in between; time on the network is not counted.
    :param query_id: that of the query which this offer answers, empty for none.
    """

    base_revision: int
    base_digest: str
    revision: int
    digest: str
    digest_by_part: dict[str, str]
    buckets: dict[str, int]
    read_seconds: Number = 0.0
    relay_seconds: Number = 0.0
    query_id: str = ""


class SheetQuery(Body, frozen=True):
    """Ask a peer for the highest revision it holds.

    :param query_id: repeated in the answer, so that an offer sent before a pause is not
        taken for the answer to a question asked after it.
    """

    query_id: str = ""


class PartRequest(Body, frozen=True):
    """Ask a peer for parts by digest."""

    digests: tuple[str, ...]


class PartReply(Body, frozen=True):
    """Carry parts, packed by `sheet_parts.pack_part`, keyed by digest."""

    part_by_digest: dict[str, bytes]


class RankReport(Body, frozen=True):
    """Report one rank, or a subtree of ranks, to the parent in the group's tree.

    :param step_seconds_by_rank: mean time of the rank's own work in a step.
    :param load_by_expert: tokens routed per `(layer, expert)`, the heaviest only.
    """

    group: str
    map_version: int
    step_seconds_by_rank: dict[int, Number]
    load_by_expert: dict[tuple[int, int], int]
    sequence: int


class GroupReport(Body, frozen=True):
    """Report the load of a group or plain-service server to the zone's entries.

    :param server: backend server that takes the group's requests.
    :param queued_seconds: estimated work queued, in seconds of group time.
    :param running: requests running.
    :param capacity: requests that can run at once, 0 while the backend is down.
    :param step_seconds: time of a step, which is that of the slowest rank.
    :param slowest_rank: its number.
    :param sequence: rises with each report of one incarnation.
    :param age: seconds since the figures were taken, when passed on.
    :param incarnation: that of the agent that took the figures, because a report that
        is passed on has another sender; empty means the sender's.
    :param admitted_seconds: work admitted since the incarnation began, in seconds of
        group time; readers derive the rate of all entries' sends from it. 0 if unknown.
    """

    group: str
    server: str
    queued_seconds: Number
    running: int
    capacity: int
    step_seconds: Number
    slowest_rank: int
    prefill_tokens_per_second: Number
    adapters: tuple[str, ...]
    versions: tuple[str, ...]
    kv_free_share: Number
    sequence: int
    age: Number = 0.0
    incarnation: str = ""
    admitted_seconds: Number = 0.0


class ZoneDigest(Body, frozen=True):
    """Report all groups of a zone to other zones."""

    zone: str
    reports: tuple[GroupReport, ...]


class CacheEvents(Body, frozen=True):
    """Report prefix blocks a group has cached or dropped.

    :param sequence: number of this batch; a gap means that events were lost.
    """

    group: str
    sequence: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


class CrashReport(Body, frozen=True):
    """Report the requests in flight when a backend server crashed.

    :param crash_id: identifies the crash, so that copies count once.
    :param fingerprints: requests in flight.
    :param alone: whether the request ran alone as a suspect.
    :param age: seconds since the crash, when passed on.
    """

    crash_id: str
    server: str
    fingerprints: tuple[str, ...]
    alone: bool
    age: Number = 0.0


class SuspectCleared(Body, frozen=True):
    """Tell that a suspect completed alone without a crash.

    :param crash_ids: crashes of which it is cleared. A later crash, or one that the
        sender had not heard of, still counts.
    """

    fingerprint: str
    crash_ids: tuple[str, ...] = ()


class LimitDemand(Record, frozen=True):
    """Ask the home entry for a share of an account's limits.

    :param request_id: echoed in the lease; the borrower counts the term from the moment
        it sent this request.
    :param loan: whether a home entry of another zone asks.
    :param held: slots in use at the sender beyond its own reserve or pool; the home
        entry does not give these to others.
    """

    account: str
    request_id: int
    requests_per_second: Number
    concurrency: int
    tokens_per_second: Number
    loan: bool = False
    held: int = 0


class LimitLease(Record, frozen=True):
    """Grant a share of an account's limits for a term."""

    account: str
    request_id: int
    requests_per_second: Number
    concurrency: int
    tokens_per_second: Number
    term_seconds: Number
    loan: bool = False


class LimitDemands(Body, frozen=True):
    """Carry the demands of one process to one home entry, and its vote.

    :param view_digest: digest of the live entries of the sender's zone, empty for no
        vote.
    :param challenge: newest challenge from the receiver, 0 for none; a vote that echoes
        a challenge is known to be younger than it.
    """

    demands: tuple[LimitDemand, ...]
    view_digest: str = ""
    challenge: int = 0


class LimitLeases(Body, frozen=True):
    """Answer demands.

    :param challenge: to be echoed with the next vote.
    """

    leases: tuple[LimitLease, ...]
    challenge: int = 0


class Epoch(Record, frozen=True, order=True):
    """Order the leaders of a group; a higher epoch replaces a lower one."""

    term: int
    instance: str


class Grant(Record, frozen=True):
    """Identify an agent's permission to act on its server.

    :param incarnation: the agent process that granted it; another process under the
        same name has forgotten its promises and ignores messages with this grant.
    :param number: rises with each grant of one process, so the agent knows its age.
    """

    incarnation: str = ""
    number: int = 0


NO_GRANT = Grant()


class RankPhase(Enum):
    """Say how far a rank has come in a switch of the expert map."""

    RUNNING = "running"
    PREPARED = "prepared"
    HELD = "held"
    SWITCHED = "switched"
    DOWN = "down"


class SwitchPrepare(Body, frozen=True):
    """Ask a rank to load the weights of a new map.

    :param base_version: map to which the changes apply, 0 for a complete map.
    :param encoded_changes: the changes, as packed by `expert_placement`.
    """

    group: str
    epoch: Epoch
    map_version: int
    map_digest: str
    base_version: int = 0
    encoded_changes: bytes = b""
    grant: Grant = NO_GRANT


class SwitchHold(Body, frozen=True):
    """Ask a rank to stop at a step boundary."""

    group: str
    epoch: Epoch
    map_version: int
    step: int
    grant: Grant = NO_GRANT


class SwitchCommit(Body, frozen=True):
    """Ask a held rank to switch to the new map."""

    group: str
    epoch: Epoch
    map_version: int
    grant: Grant = NO_GRANT


class SwitchResume(Body, frozen=True):
    """Ask a rank to run on with the map named here."""

    group: str
    epoch: Epoch
    map_version: int
    grant: Grant = NO_GRANT


class SwitchAbort(Body, frozen=True):
    """Ask a rank to drop a switch that was not committed anywhere."""

    group: str
    epoch: Epoch
    map_version: int
    grant: Grant = NO_GRANT


class SwitchQuery(Body, frozen=True):
    """Ask a rank to promise an epoch and to report its state.

    :param reading: 1 asks for the promise; 2 is sent when all ranks have promised and
        shows that none has restarted in between.
    """

    group: str
    epoch: Epoch
    reading: int = 1
    grant: Grant = NO_GRANT


class SwitchStatus(Body, frozen=True):
    """Report a rank's state in a switch, as reply to every switch message.

    :param promised: highest epoch the rank has promised.
    :param map_version: map the rank runs or last ran.
    :param next_map_version: map it has prepared, 0 for none.
    :param step: last completed step.
    :param reading: highest reading that was asked for in the promised epoch.
    :param grant: permission to be named in the next message to this rank.
    """

    group: str
    rank: int
    promised: Epoch
    phase: RankPhase
    map_version: int
    next_map_version: int
    step: int
    reading: int = 0
    grant: Grant = NO_GRANT


class OrderKind(Enum):
    """Say what an order asks of an engine."""

    BARRIER = "barrier"
    LOAD_MAP = "load-map"
    HOLD = "hold"
    SWITCH_MAP = "switch-map"
    RESUME = "resume"
    DROP_MAP = "drop-map"
    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set-role"


class ServerOrder(Body, frozen=True):
    """Ask an agent to give its engine an order.

    :param sequence: number within the epoch; with it, it forms the fencing number.
    :param name: model, adapter, version or role.
    """

    group: str
    epoch: Epoch
    sequence: int
    kind: OrderKind
    name: str
    grant: Grant = NO_GRANT


class ServerOrderStatus(Body, frozen=True):
    """Report what became of an order, as reply to every `ServerOrder`.

    :param outcome: `applied`, `pending` or the code of the refusal.
    :param grant: permission to be named in the next order.
    """

    group: str
    epoch: Epoch
    sequence: int
    outcome: str
    grant: Grant = NO_GRANT


Message = (
    Heartbeat
    | PeerList
    | Suspicion
    | SheetOffer
    | SheetQuery
    | PartRequest
    | PartReply
    | RankReport
    | GroupReport
    | ZoneDigest
    | CacheEvents
    | CrashReport
    | SuspectCleared
    | LimitDemands
    | LimitLeases
    | SwitchPrepare
    | SwitchHold
    | SwitchCommit
    | SwitchResume
    | SwitchAbort
    | SwitchQuery
    | SwitchStatus
    | ServerOrder
    | ServerOrderStatus
)


class Envelope(Record, frozen=True):
    """Wrap a message with its sender and the sheet revision the sender holds."""

    sender: Peer
    revision: int
    digest: str
    body: Message
