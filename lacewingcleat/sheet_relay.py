"""coordination: accept revisions of the sheet and spread them.

Each entry and agent has one relay. Two entries per zone read the configuration service;
everyone else hears from peers. The revision in force only rises: `_put_in_force` is the
only place that changes it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from result import Err

from lacewingcleat.actions import Alarm, Send
from lacewingcleat.alarm_log import AlarmLog
from lacewingcleat.change_times import ChangeLog, ChangeTimes
from lacewingcleat.config_reader import (
    FAILURES_BEFORE_ALARM,
    MAX_OPEN_PART_READS,
    ConfigReader,
    choose_readers,
)
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import (
    Envelope,
    PartReply,
    PartRequest,
    SheetOffer,
    SheetQuery,
)
from lacewingcleat.offer_tree import choose_agents, choose_branch
from lacewingcleat.part_fetch import PartFetch
from lacewingcleat.revision_inquiry import PeerInquiry
from lacewingcleat.peer_revisions import PeerRevisions
from lacewingcleat.relay_actions import (
    FetchPart,
    InForce,
    RelayAction,
    RelayCounts,
    RelayView,
    WatchManifest,
)
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_check import PartCache
from lacewingcleat.sheet_validator import SheetGate
from lacewingcleat.sheet_offers import apply_offer
from lacewingcleat.sheet_parts import (
    Manifest,
    decode_manifest,
    digest_part,
    unpack_part,
)
from lacewingcleat.sheet_provider import SheetSource
from lacewingcleat.sheet_store import SheetStore

# Entries asked when only an agent, which holds no account parts, knows a revision.
ENTRIES_ASKED_FOR_AGENT = 4
# The service answers within milliseconds.
SERVICE_PATIENCE_SECONDS = 1.0


class SheetRelay:
    """Decide which revision is in force and whom to tell.

    :param peer: identity of this process.
    :param cache: shared by relays that run in one process, such as in the demo.
    """

    def __init__(
        self,
        peer: Peer,
        now: float,
        cache: PartCache | None = None,
    ) -> None:
        self._peer = peer
        self._is_entry = peer.role is Role.ENTRY
        self._view = RelayView()
        self._readers: list[str] = []
        self._receivers: list[str] = []
        self._preferred_peers: list[str] = []
        self._store = SheetStore(with_accounts=self._is_entry)
        self._source = SheetSource(self._store)
        self._gate = SheetGate(self._store, self._is_entry, cache)
        self._reader = ConfigReader(peer.instance)
        self._inquiry = PeerInquiry(peer.incarnation, now)
        self._fetch: PartFetch | None = None
        self._peers = PeerRevisions()
        self._alarms = AlarmLog()
        self._changes = ChangeLog()
        self._in_force_at = now
        self.counts = RelayCounts()
        self.sheet: Sheet | None = None

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        return self._source.manifest

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 without a sheet."""
        return self.manifest.revision if self.manifest else 0

    @property
    def digest(self) -> str:
        """Return the digest in force, empty without a sheet."""
        return self.manifest.digest if self.manifest else ""

    @property
    def routing_digest(self) -> str:
        """Return the routing digest in force, empty without a sheet."""
        return self.manifest.routing_digest if self.manifest else ""

    @property
    def is_reader(self) -> bool:
        """Return whether this process reads the configuration service."""
        return self._peer.instance in self._readers

    @property
    def recent_changes(self) -> tuple[ChangeTimes, ...]:
        """Return the stage delays of the last revisions, the newest last."""
        return self._changes.recent

    @property
    def held_parts(self) -> int:
        """Return the number of parts in memory."""
        return self._store.part_count

    def ready(self, now: float) -> bool:
        """Return whether decisions may use the sheet in force.

        After a start or a pause the sheet may be outdated, so the process first asks
        its peers. It goes on after 2 s without an answer or without progress.
        """
        return self.sheet is not None and self._inquiry.is_over(self.revision, now)

    def set_view(self, view: RelayView, now: float) -> list[RelayAction]:
        """Take over a change of the live peers."""
        own = self._peer.instance
        self._view = view
        self._preferred_peers = [
            *rank_by_rendezvous(own, view.zone_entries - {own}),
            *rank_by_rendezvous(own, view.other_peers - {own}),
        ]
        if self._is_entry:
            entries = view.zone_entries | {own}
            self._view = replace(view, zone_entries=entries)
            self._readers = choose_readers(self._peer.zone, entries)
            self._receivers = [
                *choose_branch(own, self._readers, entries),
                *choose_agents(own, self._readers, view.agents, entries),
            ]
        self._peers.keep_only(self._known_peers())
        return self.tick(now)

    def wake(self, now: float) -> list[RelayAction]:
        """Ask the peers again after a pause, before the next decision."""
        self._inquiry.begin(now)
        self._peers.forget_ahead()
        self._reader.forget_open_reads()
        return self.tick(now)

    def tick(self, now: float) -> list[RelayAction]:
        """Send what is due; call it every 0.25 s."""
        self._inquiry.settle(self.revision, now)
        query = SheetQuery(self._inquiry.query_id)
        asked = self._inquiry.peers_to_ask(self._preferred_peers, now)
        actions: list[RelayAction] = [Send(peer, query) for peer in asked]
        actions += self._query_peer(now)
        actions += self._continue_fetch(now)
        if self.is_reader and self._reader.start_watch(now):
            self.counts.watches += 1
            actions.append(WatchManifest(self._reader.version))
        return actions

    def receive(self, envelope: Envelope, now: float) -> list[RelayAction]:
        """Handle a control message; messages of other subsystems count as heard."""
        sender = envelope.sender.instance
        actions = self.observe(sender, envelope.revision, envelope.digest, now)
        match envelope.body:
            case SheetOffer() as offer:
                actions += self._handle_offer(sender, offer, now)
            case SheetQuery(query_id=query_id):
                actions += self._answer_query(sender, envelope.digest, query_id, now)
            case PartRequest(digests=digests):
                reply = self._source.reply(digests)
                self.counts.parts_sent += len(reply.part_by_digest)
                actions.append(Send(sender, reply))
            case PartReply(part_by_digest=packed_parts):
                actions += self._handle_reply(packed_parts, now)
            case _:
                actions += self._repair(sender, envelope, now)
        return actions

    def observe(
        self,
        instance: str,
        revision: int,
        digest: str,
        now: float,
    ) -> list[RelayAction]:
        """Compare a revision that a request or response header names.

        :param instance: the process that sent it.
        """
        if revision == self.revision and digest != self.digest and self.sheet:
            return self._alarm_conflict(instance, revision, digest)
        if revision <= self.revision or self._gate.is_refused(digest):
            return []
        if self._fetch and self._fetch.manifest.digest == digest:
            self._fetch.add_holder(instance)
        else:
            self._peers.note_ahead(instance, revision, now)
        return []

    def manifest_read(
        self,
        data: bytes,
        version: str,
        now: float,
        age: float = 0.0,
    ) -> list[RelayAction]:
        """Handle the manifest as the configuration service returned it.

        :param version: value of `X-Version`.
        :param age: seconds since its publication, as far as the service says.
        """
        self._reader.watch_ended(version)
        decoded = decode_manifest(data, "manifest")
        if isinstance(decoded, Err):
            return [*self._alarms.once("manifest-invalid", str(decoded.err_value[0]))]
        manifest = decoded.ok_value
        actions: list[RelayAction] = []
        if manifest.revision < self.revision:
            text = f"it has revision {manifest.revision}, {self.revision} is in force"
            actions += self._alarms.once("config-service-stale", text)
        actions += self._consider(manifest, None, now, max(age, 0.0), 0.0)
        return actions + self.tick(now)

    def manifest_unchanged(self, now: float) -> list[RelayAction]:
        """Handle a watch that ended without news."""
        self._reader.watch_ended()
        return self.tick(now)

    def manifest_failed(self, now: float) -> list[RelayAction]:
        """Handle a failed watch."""
        return self._alarm_failure(self._reader.watch_failed(now))

    def part_read(self, digest: str, data: bytes, now: float) -> list[RelayAction]:
        """Handle a part as the configuration service returned it."""
        if digest_part(data) != digest:
            self.counts.bad_parts += 1
            return self.part_failed(digest, now)
        self._reader.part_ended(digest)
        if self._fetch and digest in self._fetch.missing:
            self._add_part(self._fetch, digest, data, now)
        return self._continue_fetch(now)

    def part_failed(self, digest: str, now: float) -> list[RelayAction]:
        """Handle a failed read of a part."""
        return self._alarm_failure(self._reader.part_failed(digest, now))

    def applied(self, revision: int, now: float) -> ChangeTimes | None:
        """Record that the process uses a revision, and return its stage delays."""
        return self._changes.applied(revision, now)

    def _consider(
        self,
        manifest: Manifest,
        holder: str | None,
        now: float,
        read_seconds: float,
        relay_seconds: float,
    ) -> list[RelayAction]:
        """Fetch a revision if it is the highest one known.

        :param holder: peer that offers it, None for the configuration service.
        """
        revision, digest = manifest.revision, manifest.digest
        if revision == self.revision and digest != self.digest:
            return self._alarm_conflict(holder or "config service", revision, digest)
        if revision <= self.revision or self._gate.is_refused(digest):
            return []
        fetch = self._fetch
        if fetch is None or fetch.manifest.revision < revision:
            missing = self._store.missing_digests(manifest)
            fetch = PartFetch(manifest, missing, now, read_seconds, relay_seconds)
            self._fetch = fetch
            self._store.drop_unused([manifest])
        elif fetch.manifest.revision > revision:
            return []
        elif fetch.manifest.digest != digest:
            return self._alarm_conflict(holder or "config service", revision, digest)
        fetch.add_source(holder)
        return self._continue_fetch(now)

    def _continue_fetch(self, now: float) -> list[RelayAction]:
        fetch = self._fetch
        if fetch is None:
            return []
        if not fetch.missing:
            return self._accept(fetch, now)
        actions: list[RelayAction] = []
        reads_parts = self._reads_parts(fetch)
        if reads_parts:
            started = self._reader.start_part_reads(fetch.missing, now)
            self.counts.part_reads += len(started)
            actions += [FetchPart(digest) for digest in started]
            is_small = len(fetch.missing) <= MAX_OPEN_PART_READS
            if is_small and now - fetch.heard_at < SERVICE_PATIENCE_SECONDS:
                return actions
        # A reader that starts with a large sheet asks peers too, because its reads of
        # the service are paced; so does one whose reads are not answered.
        request = fetch.next_request(now)
        if request is not None:
            holder, digests = request
            actions.append(Send(holder, PartRequest(digests)))
        elif fetch.exhausted and not reads_parts:
            # The next heartbeat of a holder starts it again.
            self._fetch = None
            self._reader.forget_version()
            self.counts.fetches_given_up += 1
        return actions

    def _reads_parts(self, fetch: PartFetch) -> bool:
        """Return whether to read parts from the configuration service."""
        if not self.is_reader:
            return False
        if fetch.exhausted or not fetch.has_holders:
            return True
        return fetch.from_config and self._reader.failures == 0

    def _accept(self, fetch: PartFetch, now: float) -> list[RelayAction]:
        """Check a complete revision and put it in force."""
        self._fetch = None
        checked = self._gate.check(fetch.manifest, self.sheet)
        if isinstance(checked, Alarm):
            self._store.drop_unused([])
            return [checked]
        return self._put_in_force(fetch, checked, now)

    def _put_in_force(
        self,
        fetch: PartFetch,
        sheet: Sheet,
        now: float,
    ) -> list[RelayAction]:
        manifest, previous = fetch.manifest, self.manifest
        if manifest.revision <= self.revision:
            return []
        accept_seconds = now - fetch.heard_at
        if previous and self._inquiry.is_over(self.revision, now):
            # A process that catches up after a start or pause says nothing about how
            # fast changes spread.
            times = (fetch.read_seconds, fetch.relay_seconds, accept_seconds)
            self._changes.accepted(ChangeTimes(manifest.revision, *times), now)
        self.sheet = sheet
        self._in_force_at = now
        relay_seconds = fetch.relay_seconds + accept_seconds
        self._source.put_in_force(manifest, now, fetch.read_seconds, relay_seconds)
        self._peers.reached(manifest.revision)
        self._inquiry.settle(self.revision, now)
        base_digest = previous.digest if previous else ""
        return [InForce(sheet), *self._offer_to(self._receivers, base_digest, now)]

    def _handle_offer(
        self,
        sender: str,
        offer: SheetOffer,
        now: float,
    ) -> list[RelayAction]:
        self.counts.offers_received += 1
        self._inquiry.note_answer(offer.query_id, offer.revision, now)
        if offer.revision < self.revision or self._gate.is_refused(offer.digest):
            return []
        base = self._known_manifest(offer.base_digest)
        if offer.base_digest and base is None:
            # The query after the usual delay brings an offer on a base known here.
            self._peers.note_ahead(sender, offer.revision, now)
            return []
        manifest = apply_offer(offer, base)
        if isinstance(manifest, Err):
            self.counts.refused_offers += 1
            text = f"{sender}, revision {offer.revision}: {manifest.err_value}"
            return [*self._alarms.once("offer-invalid", text)]
        seconds = (offer.read_seconds, offer.relay_seconds)
        return self._consider(manifest.ok_value, sender, now, *seconds)

    def _known_manifest(self, digest: str) -> Manifest | None:
        if self._fetch and self._fetch.manifest.digest == digest:
            return self._fetch.manifest
        return self._store.manifest(digest)

    def _handle_reply(
        self,
        packed_by_digest: Mapping[str, bytes],
        now: float,
    ) -> list[RelayAction]:
        fetch = self._fetch
        if fetch is None:
            return []
        if not packed_by_digest:
            fetch.holder_has_none()
        for digest in packed_by_digest.keys() & fetch.missing.keys():
            self._add_part(fetch, digest, unpack_part(packed_by_digest[digest]), now)
        return self._continue_fetch(now)

    def _add_part(
        self,
        fetch: PartFetch,
        digest: str,
        part: bytes | None,
        now: float,
    ) -> None:
        if part is None or not self._store.add_part(digest, part):
            self.counts.bad_parts += 1
            return
        self.counts.parts_received += 1
        self._inquiry.note_progress(now)
        fetch.received(digest)

    def _answer_query(
        self,
        sender: str,
        base_digest: str,
        query_id: str,
        now: float,
    ) -> list[RelayAction]:
        """Offer the revision in force, unless this process is itself not sure of it."""
        if not self.ready(now):
            return []
        return self._offer_to([sender], base_digest, now, query_id)

    def _repair(
        self,
        sender: str,
        envelope: Envelope,
        now: float,
    ) -> list[RelayAction]:
        """Offer the revision again to a peer whose heartbeat shows an older one."""
        if envelope.revision >= self.revision or sender not in self._known_peers():
            return []
        if not self.ready(now):
            return []
        if not self._peers.take_repair(sender, self._in_force_at, now):
            return []
        self.counts.repairs += 1
        return self._offer_to([sender], envelope.digest, now)

    def _offer_to(
        self,
        receivers: Iterable[str],
        base_digest: str,
        now: float,
        query_id: str = "",
    ) -> list[RelayAction]:
        offer = self._source.offer(base_digest, now, query_id)
        actions: list[RelayAction] = [Send(name, offer) for name in receivers]
        self.counts.offers_sent += len(actions)
        return actions

    def _query_peer(self, now: float) -> list[RelayAction]:
        ahead = self._peers.take_query(now)
        if ahead is None:
            return []
        if self._fetch and self._fetch.manifest.revision >= ahead.revision:
            return []
        targets = [ahead.instance]
        if self._is_entry and ahead.instance in self._view.agents:
            # Agents hold no account parts, so ask where all parts may be.
            targets += self._preferred_peers[:ENTRIES_ASKED_FOR_AGENT]
        return [Send(target, SheetQuery()) for target in targets]

    def _known_peers(self) -> frozenset[str]:
        view = self._view
        return view.zone_entries | view.agents | view.other_peers

    def _alarm_conflict(
        self,
        instance: str,
        revision: int,
        digest: str,
    ) -> list[RelayAction]:
        text = f"{instance} has another content of revision {revision}: {digest[:8]}"
        return [*self._alarms.once("sheet-conflict", text)]

    def _alarm_failure(self, counted: bool) -> list[RelayAction]:
        if not counted or self._reader.failures != FAILURES_BEFORE_ALARM:
            return []
        text = f"{FAILURES_BEFORE_ALARM} reads in a row have failed"
        return [Alarm("config-unreachable", text)]
