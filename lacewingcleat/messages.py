"""state: control messages between processes.

Every message is sent in an `Envelope` with its sender and the sheet revision that the
sender uses. Messages are one-way and may be lost, duplicated, reordered or delayed.
"""

from enum import Enum
from typing import Annotated

import msgspec

from lacewingcleat.identity import Peer

# The bounds reject NaN and infinity, which would break comparisons of loads.
Number = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base class of records that are encoded as an array without field names.

    Heartbeats are the most frequent messages, and field names would double their size.
    New fields must be added at the end and have a default, so that processes of
    different releases can exchange messages.
    """


class Body(Record, frozen=True, tag=True):
    """Base class of message bodies, encoded with the class name as the first item."""


class Heartbeat(Body, frozen=True):
    """Announce once a second that a process is alive.

    :param control_address: IP and port of the sender's control socket.
    :param request_address: IP and port of the sender's HTTP listener.
    :param view_digest: digest of the entries of the sender's zone that it considers
        live.
    :param leaving: whether the sender is draining and refuses new work.
    :param in_flight: number of requests running at the sender.
    :param capacity: number of requests that the sender can run concurrently.
    :param sent_at: time by the sender's clock, so that a delayed copy does not count as
        a sign of life.
    """

    control_address: str
    request_address: str
    view_digest: str
    leaving: bool
    in_flight: int
    capacity: int
    sent_at: Number = 0.0


class PeerAddress(Record, frozen=True):
    """Represent the last known addresses of a process.

    :param leaving: whether the process is draining.
    :param age: seconds since the sender of this record last received a message from the
        process.
    """

    peer: Peer
    control_address: str
    request_address: str
    leaving: bool
    age: Number


class PeerList(Body, frozen=True):
    """List the processes that the sender considers alive.

    :param reply_wanted: whether the receiver should reply with its own list.
    :param sent_at: time by the sender's clock to which the ages refer.
    """

    peers: tuple[PeerAddress, ...]
    reply_wanted: bool = False
    sent_at: Number = 0.0


class Suspicion(Body, frozen=True):
    """Announce that the sender cannot reach a process."""

    peer: Peer


class SheetOffer(Body, frozen=True):
    """Announce a sheet revision by its differences from a base revision.

    :param base_revision: revision to which the changes apply, 0 for a full manifest.
    :param base_digest: digest of the base manifest, empty for a full manifest.
    :param digest_by_part: digests of the changed parts; an empty digest removes the
        part.
    :param buckets: bucket count by kind of part, in sorted order.
    :param read_seconds: time from publication until a process read the revision from
        the configuration service, if that service reports the publication time.
    :param relay_seconds: time from that read until this offer, by the clocks of the
        relaying processes; network latency is not included.
    :param query_id: identifies the query to which this offer responds, empty for none.
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
    """Query a peer for the highest sheet revision it holds.

    :param query_id: echoed in the response. It prevents an offer that was sent before a
        pause of this process from being accepted as the response to a later query.
    """

    query_id: str = ""


class PartRequest(Body, frozen=True):
    """Request parts of the sheet from a peer by digest."""

    digests: tuple[str, ...]


class PartReply(Body, frozen=True):
    """Return parts of the sheet by digest, packed by `sheet_parts.pack_part`."""

    part_by_digest: dict[str, bytes]


class RankReport(Body, frozen=True):
    """Report the load of a rank or of a subtree of ranks to the parent in the tree.

    :param step_seconds_by_rank: mean time of the rank's own work in a step.
    :param load_by_expert: tokens routed by `(layer, expert)`, for the most loaded
        experts only.
    :param sequence: increases with each report of the sender.
    """

    group: str
    map_version: int
    step_seconds_by_rank: dict[int, Number]
    load_by_expert: dict[tuple[int, int], int]
    sequence: int


class GroupReport(Body, frozen=True):
    """Report the load of a group or plain-service server to the zone's entries.

    :param server: backend server that receives the group's requests.
    :param queued_seconds: estimated queued work, in seconds of group time.
    :param running: number of requests running.
    :param capacity: number of requests that can run concurrently, 0 while the backend
        is down.
    :param step_seconds: duration of a step, which the slowest rank determines.
    :param slowest_rank: number of the slowest rank.
    :param sequence: increases with each report of one incarnation.
    :param age: seconds since the values were measured, for forwarded reports.
    :param incarnation: incarnation of the agent that measured the values, because a
        forwarded report has a different sender; empty for that of the sender.
    :param admitted_seconds: work admitted since the incarnation started, in seconds of
        group time, 0 if unknown; receivers derive from it the rate of work sent by all
        entries.
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
    """Report the load of all groups of a zone to other zones."""

    zone: str
    reports: tuple[GroupReport, ...]


class CacheEvents(Body, frozen=True):
    """Report the prefix blocks that a group has cached or evicted.

    :param sequence: number of this batch; a gap shows that events were lost.
    """

    group: str
    sequence: int
    added: tuple[str, ...]
    removed: tuple[str, ...]


class CrashReport(Body, frozen=True):
    """Report the requests in flight when a backend server crashed.

    :param crash_id: identifies the crash, so that duplicates count once.
    :param fingerprints: fingerprints of the requests in flight.
    :param alone: whether the request ran exclusively because it was a suspect.
    :param age: seconds since the crash, for forwarded reports.
    :param segments: hashes of the prompt segments that these requests share with
        others; those answered shortly before are left out.
    """

    crash_id: str
    server: str
    fingerprints: tuple[str, ...]
    alone: bool
    age: Number = 0.0
    segments: tuple[str, ...] = ()


class SuspectCleared(Body, frozen=True):
    """Announce that a crash suspect ran exclusively and completed without a crash.

    :param fingerprint: fingerprint of a request, or hash of a prompt segment.
    :param crash_ids: crashes of which the suspect is cleared. Later crashes, and those
        unknown to the sender, still count.
    """

    fingerprint: str
    crash_ids: tuple[str, ...] = ()


class LimitDemand(Record, frozen=True):
    """Request a share of an account's limits from the home entry.

    :param request_id: echoed in the lease; for the borrower, the term starts when it
        sent this request.
    :param loan: whether the sender is the home entry of another zone.
    :param held: slots in use at the sender beyond its own reserve or pool; the home
        entry does not lease these to other entries.
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
    """Send the demands and the vote of one process to a home entry.

    :param view_digest: digest of the live entries of the sender's zone, empty for no
        vote.
    :param challenge: latest challenge from the receiver, 0 for none. A vote that echoes
        a challenge was sent after the challenge was issued.
    """

    demands: tuple[LimitDemand, ...]
    view_digest: str = ""
    challenge: int = 0


class LimitLeases(Body, frozen=True):
    """Grant leases in response to demands.

    :param challenge: challenge to be echoed with the next vote, 0 for none.
    """

    leases: tuple[LimitLease, ...]
    challenge: int = 0


class Epoch(Record, frozen=True, order=True):
    """Identify a term of a group's leader; a higher epoch supersedes a lower one."""

    term: int
    instance: str


class Grant(Record, frozen=True):
    """Identify an agent's permission to act on its server.

    :param incarnation: incarnation of the agent process that issued the grant. After a
        restart, the agent has lost its promises and ignores messages with this grant.
    :param number: increases with each grant of one process, so that the agent can
        determine how old a grant is.
    """

    incarnation: str = ""
    number: int = 0


NO_GRANT = Grant()


class RankPhase(Enum):
    """Represent the progress of a rank in a switch of the expert map."""

    RUNNING = "running"
    PREPARED = "prepared"
    HELD = "held"
    SWITCHED = "switched"
    DOWN = "down"


class SwitchPrepare(Body, frozen=True):
    """Request that a rank load the weights of a new map.

    :param base_version: version of the map to which the changes apply, 0 for a complete
        map.
    :param encoded_changes: the changes, encoded by `expert_placement`.
    """

    group: str
    epoch: Epoch
    map_version: int
    map_digest: str
    base_version: int = 0
    encoded_changes: bytes = b""
    grant: Grant = NO_GRANT


class SwitchHold(Body, frozen=True):
    """Request that a rank stop at a step boundary."""

    group: str
    epoch: Epoch
    map_version: int
    step: int
    grant: Grant = NO_GRANT


class SwitchCommit(Body, frozen=True):
    """Request that a held rank switch to the new map."""

    group: str
    epoch: Epoch
    map_version: int
    grant: Grant = NO_GRANT


class SwitchResume(Body, frozen=True):
    """Request that a rank resume with the given map."""

    group: str
    epoch: Epoch
    map_version: int
    grant: Grant = NO_GRANT


class SwitchAbort(Body, frozen=True):
    """Request that a rank abort a switch that was not committed at any rank."""

    group: str
    epoch: Epoch
    map_version: int
    grant: Grant = NO_GRANT


class SwitchQuery(Body, frozen=True):
    """Request that a rank promise an epoch and report its state.

    :param reading: 1 for the first query, which requests the promise. 2 for the query
        sent after all ranks have promised, which verifies that no rank has restarted.
    """

    group: str
    epoch: Epoch
    reading: int = 1
    grant: Grant = NO_GRANT


class SwitchStatus(Body, frozen=True):
    """Report a rank's state in a switch, in response to every switch message.

    :param promised: highest epoch that the rank has promised.
    :param map_version: version of the map that the rank runs or ran last.
    :param next_map_version: version of the map that it has prepared, 0 for none.
    :param step: last completed step.
    :param reading: highest `reading` of the queries received in the promised epoch.
    :param grant: grant to be included in the next message to this rank.
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
    """Represent the operation that an order requests from an engine."""

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
    """Request that an agent send an order to its engine.

    :param sequence: number within the epoch; both together form the fencing number.
    :param name: model, adapter, version or role to which the order applies.
    """

    group: str
    epoch: Epoch
    sequence: int
    kind: OrderKind
    name: str
    grant: Grant = NO_GRANT


class ServerOrderStatus(Body, frozen=True):
    """Report the outcome of an order, in response to every `ServerOrder`.

    :param outcome: `applied`, `pending` or the code of the refusal.
    :param grant: grant to be included in the next order.
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
    """Wrap a message with its sender and the sheet revision that the sender uses."""

    sender: Peer
    revision: int
    digest: str
    body: Message
