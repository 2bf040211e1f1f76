"""coordination: fetch, validate and distribute revisions of the sheet.

Each entry and agent runs one relay. Two entries per zone read the configuration
service; all other processes receive revisions from peers. The revision in force never
decreases: `_put_in_force` is the only place that changes it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from result import Err

from lacewingcleat.actions import Alarm, Send
from lacewingcleat.alarm_log import AlarmLog
from lacewingcleat.change_times import ChangeHistory, ChangeTimes
from lacewingcleat.config_reader import (
    FAILURES_BEFORE_ALARM,
    MAX_OPEN_PART_READS,
    ConfigReadScheduler,
    choose_config_readers,
)
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import (
    Envelope,
    PartReply,
    PartRequest,
    SheetOffer,
    SheetQuery,
)
from lacewingcleat.offer_tree import choose_child_entries, choose_offered_agents
from lacewingcleat.part_fetch import PartFetch
from lacewingcleat.peer_revisions import PeerRevisions
from lacewingcleat.relay_actions import (
    ApplySheet,
    ReadPart,
    RelayAction,
    RelayCounts,
    RelayPeers,
    WatchManifest,
)
from lacewingcleat.rendezvous import rank_by_rendezvous
from lacewingcleat.revision_inquiry import RevisionInquiry
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_check import PartCache
from lacewingcleat.sheet_offers import apply_offer
from lacewingcleat.sheet_parts import (
    Manifest,
    decode_manifest,
    digest_part,
    unpack_part,
)
from lacewingcleat.sheet_provider import SheetProvider
from lacewingcleat.sheet_store import SheetStore
from lacewingcleat.sheet_validator import SheetValidator

# Entries queried in addition to an agent that has a newer revision, because agents hold
# no account parts.
ENTRIES_QUERIED_WITH_AGENT = 4
# The configuration service normally responds within milliseconds; a reader whose reads
# take longer than this also requests parts from peers.
PEER_FALLBACK_DELAY_SECONDS = 1.0


class SheetRelay:
    """Put the highest valid revision in force and offer it to peers.

    Methods return the actions that the caller must carry out.

    :param peer: identity of this process.
    :param cache: cache of checked parts, shared by relays in the same process, such as
        in the demo.
    """

    def __init__(
        self,
        peer: Peer,
        now: float,
        cache: PartCache | None = None,
    ) -> None:
        self._peer = peer
        self._is_entry = peer.role is Role.ENTRY
        self._live_peers = RelayPeers()
        self._config_readers: list[str] = []
        self._offer_targets: list[str] = []
        self._preferred_peers: list[str] = []
        self._store = SheetStore(with_accounts=self._is_entry)
        self._provider = SheetProvider(self._store)
        self._validator = SheetValidator(self._store, self._is_entry, cache)
        self._read_scheduler = ConfigReadScheduler(peer.instance)
        self._inquiry = RevisionInquiry(peer.incarnation, now)
        self._fetch: PartFetch | None = None
        self._peer_revisions = PeerRevisions()
        self._alarms = AlarmLog()
        self._change_history = ChangeHistory()
        self._in_force_at = now
        self.counts = RelayCounts()
        self.sheet: Sheet | None = None

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force, None without a sheet."""
        return self._provider.manifest

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
        return self._peer.instance in self._config_readers

    @property
    def recent_changes(self) -> tuple[ChangeTimes, ...]:
        """Return the stage delays of the most recent revisions, oldest first."""
        return self._change_history.recent

    @property
    def held_parts(self) -> int:
        """Return the number of parts in memory."""
        return self._store.part_count

    def ready(self, now: float) -> bool:
        """Return whether the sheet in force may be used for decisions.

        The sheet may be outdated after a start or a pause of the process, so the relay
        queries its peers first. The wait ends after 2 s without a response or without
        progress.
        """
        return self.sheet is not None and self._inquiry.is_complete(self.revision, now)

    def update_peers(self, live_peers: RelayPeers, now: float) -> list[RelayAction]:
        """Update the set of live peers, and with it the readers and offer targets."""
        own_name = self._peer.instance
        self._live_peers = live_peers
        self._preferred_peers = [
            *rank_by_rendezvous(own_name, live_peers.zone_entries - {own_name}),
            *rank_by_rendezvous(own_name, live_peers.other_peers - {own_name}),
        ]
        if self._is_entry:
            entries = live_peers.zone_entries | {own_name}
            self._live_peers = replace(live_peers, zone_entries=entries)
            self._config_readers = choose_config_readers(self._peer.zone, entries)
            self._offer_targets = [
                *choose_child_entries(own_name, self._config_readers, entries),
                *choose_offered_agents(
                    own_name, self._config_readers, live_peers.agents, entries
                ),
            ]
        self._peer_revisions.retain_peers(self._known_peers())
        return self.tick(now)

    def revalidate(self, now: float) -> list[RelayAction]:
        """Query the peers again before the sheet is used, after a pause or on reload.

        Reads and watches that are open are discarded.
        """
        self._inquiry.begin(now)
        self._peer_revisions.discard_ahead()
        self._read_scheduler.discard_open_reads()
        return self.tick(now)

    def tick(self, now: float) -> list[RelayAction]:
        """Return pending queries, part requests and reads; call it every 0.25 s."""
        self._inquiry.end_if_complete(self.revision, now)
        query = SheetQuery(self._inquiry.query_id)
        queried_peers = self._inquiry.take_peers_to_query(self._preferred_peers, now)
        actions: list[RelayAction] = [Send(peer, query) for peer in queried_peers]
        actions += self._query_newer_peer(now)
        actions += self._continue_fetch(now)
        if self.is_reader and self._read_scheduler.try_start_watch(now):
            self.counts.watches += 1
            actions.append(WatchManifest(self._read_scheduler.version))
        return actions

    def receive(self, envelope: Envelope, now: float) -> list[RelayAction]:
        """Handle a control message.

        The revision in the envelope is evaluated for every message, also for those of
        other subsystems.
        """
        sender = envelope.sender.instance
        actions = self.compare_revision(sender, envelope.revision, envelope.digest, now)
        match envelope.body:
            case SheetOffer() as offer:
                actions += self._handle_offer(sender, offer, now)
            case SheetQuery(query_id=query_id):
                actions += self._answer_query(sender, envelope.digest, query_id, now)
            case PartRequest(digests=digests):
                reply = self._provider.build_reply(digests)
                self.counts.parts_sent += len(reply.part_by_digest)
                actions.append(Send(sender, reply))
            case PartReply(part_by_digest=packed_parts):
                actions += self._handle_part_reply(packed_parts, now)
            case _:
                actions += self._repair_peer(sender, envelope, now)
        return actions

    def compare_revision(
        self,
        instance: str,
        revision: int,
        digest: str,
        now: float,
    ) -> list[RelayAction]:
        """Compare the revision reported by a process with the one in force.

        A higher revision is recorded as available from that process. The same revision
        with another digest raises an alarm.

        :param instance: process that reported the revision in a control message or in a
            request or response header.
        """
        if revision == self.revision and digest != self.digest and self.sheet:
            return self._alarm_conflict(instance, revision, digest)
        if revision <= self.revision or self._validator.is_refused(digest):
            return []
        if self._fetch and self._fetch.manifest.digest == digest:
            self._fetch.add_holder(instance)
        else:
            self._peer_revisions.record_ahead(instance, revision, now)
        return []

    def handle_manifest(
        self,
        data: bytes,
        version: str,
        now: float,
        age: float = 0.0,
    ) -> list[RelayAction]:
        """Handle a manifest returned by the configuration service.

        :param version: value of the `X-Version` header.
        :param age: seconds since publication, 0 if the service does not report it.
        """
        self._read_scheduler.record_watch_response(version)
        decoded = decode_manifest(data, "manifest")
        if isinstance(decoded, Err):
            return [*self._alarms.once("manifest-invalid", str(decoded.err_value[0]))]
        manifest = decoded.ok_value
        actions: list[RelayAction] = []
        if manifest.revision < self.revision:
            text = f"read revision {manifest.revision}, {self.revision} is in force"
            actions += self._alarms.once("config-service-stale", text)
        actions += self._fetch_revision(manifest, None, now, max(age, 0.0), 0.0)
        return actions + self.tick(now)

    def handle_manifest_unchanged(self, now: float) -> list[RelayAction]:
        """Handle a watch that ended without a change of the manifest."""
        self._read_scheduler.record_watch_response()
        return self.tick(now)

    def handle_manifest_failure(self, now: float) -> list[RelayAction]:
        """Handle a failed watch of the manifest."""
        return self._alarm_after_failures(
            self._read_scheduler.record_watch_failure(now)
        )

    def handle_part(self, digest: str, data: bytes, now: float) -> list[RelayAction]:
        """Handle a part returned by the configuration service.

        A part that does not match its digest counts as a failed read.
        """
        if digest_part(data) != digest:
            self.counts.bad_parts += 1
            return self.handle_part_failure(digest, now)
        self._read_scheduler.record_part_response(digest)
        if self._fetch and digest in self._fetch.missing_digests:
            self._add_part(self._fetch, digest, data, now)
        return self._continue_fetch(now)

    def handle_part_failure(self, digest: str, now: float) -> list[RelayAction]:
        """Handle a failed read of a part from the configuration service."""
        return self._alarm_after_failures(
            self._read_scheduler.record_part_failure(digest, now)
        )

    def record_applied(self, revision: int, now: float) -> ChangeTimes | None:
        """Record that the process has applied a revision.

        :return: its stage delays, None if they are not measured.
        """
        return self._change_history.record_applied(revision, now)

    def _fetch_revision(
        self,
        manifest: Manifest,
        holder: str | None,
        now: float,
        read_seconds: float,
        relay_seconds: float,
    ) -> list[RelayAction]:
        """Start or continue the fetch of a revision if it is the highest one known.

        :param holder: peer that offers it, None for the configuration service.
        :param read_seconds: see `SheetOffer`.
        :param relay_seconds: see `SheetOffer`.
        """
        revision, digest = manifest.revision, manifest.digest
        if revision == self.revision and digest != self.digest:
            return self._alarm_conflict(holder or "config service", revision, digest)
        if revision <= self.revision or self._validator.is_refused(digest):
            return []
        fetch = self._fetch
        if fetch is None or fetch.manifest.revision < revision:
            missing = self._store.missing_digests(manifest)
            fetch = PartFetch(manifest, missing, now, read_seconds, relay_seconds)
            self._fetch = fetch
            self._store.evict_unreferenced_parts([manifest])
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
        if not fetch.missing_digests:
            return self._complete_fetch(fetch, now)
        actions: list[RelayAction] = []
        reads_parts = self._should_read_parts(fetch)
        if reads_parts:
            digests_to_read = self._read_scheduler.start_part_reads(
                fetch.missing_digests, now
            )
            self.counts.part_reads += len(digests_to_read)
            actions += [ReadPart(digest) for digest in digests_to_read]
            few_parts_missing = len(fetch.missing_digests) <= MAX_OPEN_PART_READS
            if (
                few_parts_missing
                and now - fetch.received_at < PEER_FALLBACK_DELAY_SECONDS
            ):
                return actions
        # Reads of the service are rate-limited, so a reader that starts with a large
        # sheet also requests parts from peers, as does one whose reads are slow.
        request = fetch.next_request(now)
        if request is not None:
            holder, digests = request
            actions.append(Send(holder, PartRequest(digests)))
        elif fetch.is_exhausted and not reads_parts:
            # The next heartbeat of a holder, or the next watch, starts a new fetch.
            self._fetch = None
            self._read_scheduler.reset_version()
            self.counts.fetches_given_up += 1
        return actions

    def _should_read_parts(self, fetch: PartFetch) -> bool:
        """Return whether to read parts from the configuration service.

        A reader does so while reads of the service succeed, and also if no peer holds
        the revision or part requests to peers make no progress.
        """
        if not self.is_reader:
            return False
        if fetch.is_exhausted or not fetch.has_holders:
            return True
        return (
            fetch.available_from_config
            and self._read_scheduler.consecutive_failures == 0
        )

    def _complete_fetch(self, fetch: PartFetch, now: float) -> list[RelayAction]:
        """Validate a completely fetched revision and put it in force."""
        self._fetch = None
        checked = self._validator.validate(fetch.manifest, self.sheet)
        if isinstance(checked, Alarm):
            self._store.evict_unreferenced_parts([])
            return [checked]
        return self._put_in_force(fetch, checked, now)

    def _put_in_force(
        self,
        fetch: PartFetch,
        sheet: Sheet,
        now: float,
    ) -> list[RelayAction]:
        """Put a validated revision in force and offer it to entries and agents."""
        manifest, previous = fetch.manifest, self.manifest
        if manifest.revision <= self.revision:
            return []
        accept_seconds = now - fetch.received_at
        if previous and self._inquiry.is_complete(self.revision, now):
            # Delays of a process that catches up after a start or a pause are not
            # recorded: they do not show how fast changes propagate.
            times = (fetch.read_seconds, fetch.relay_seconds, accept_seconds)
            self._change_history.record_accepted(
                ChangeTimes(manifest.revision, *times), now
            )
        self.sheet = sheet
        self._in_force_at = now
        relay_seconds = fetch.relay_seconds + accept_seconds
        self._provider.put_in_force(manifest, now, fetch.read_seconds, relay_seconds)
        self._peer_revisions.discard_reached(manifest.revision)
        self._inquiry.end_if_complete(self.revision, now)
        base_digest = previous.digest if previous else ""
        return [
            ApplySheet(sheet),
            *self._send_offer(self._offer_targets, base_digest, now),
        ]

    def _handle_offer(
        self,
        sender: str,
        offer: SheetOffer,
        now: float,
    ) -> list[RelayAction]:
        self.counts.offers_received += 1
        self._inquiry.record_answer(offer.query_id, offer.revision, now)
        if offer.revision < self.revision or self._validator.is_refused(offer.digest):
            return []
        base = self._find_manifest(offer.base_digest)
        if offer.base_digest and base is None:
            # The offer cannot be applied. The query sent after the usual delay names
            # the digest in force here, so its response is based on a known manifest.
            self._peer_revisions.record_ahead(sender, offer.revision, now)
            return []
        manifest = apply_offer(offer, base)
        if isinstance(manifest, Err):
            self.counts.refused_offers += 1
            text = f"{sender} offers revision {offer.revision}: {manifest.err_value}"
            return [*self._alarms.once("offer-invalid", text)]
        delays = (offer.read_seconds, offer.relay_seconds)
        return self._fetch_revision(manifest.ok_value, sender, now, *delays)

    def _find_manifest(self, digest: str) -> Manifest | None:
        if self._fetch and self._fetch.manifest.digest == digest:
            return self._fetch.manifest
        return self._store.find_manifest(digest)

    def _handle_part_reply(
        self,
        packed_by_digest: Mapping[str, bytes],
        now: float,
    ) -> list[RelayAction]:
        fetch = self._fetch
        if fetch is None:
            return []
        if not packed_by_digest:
            fetch.advance_holder()
        for digest in packed_by_digest.keys() & fetch.missing_digests.keys():
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
        self._inquiry.extend_deadline(now)
        fetch.record_part(digest)

    def _answer_query(
        self,
        sender: str,
        base_digest: str,
        query_id: str,
        now: float,
    ) -> list[RelayAction]:
        """Answer a query with an offer of the revision in force.

        A process that is still querying its peers does not answer: two such processes
        would confirm each other's outdated sheet.
        """
        if not self.ready(now):
            return []
        return self._send_offer([sender], base_digest, now, query_id)

    def _repair_peer(
        self,
        sender: str,
        envelope: Envelope,
        now: float,
    ) -> list[RelayAction]:
        """Repeat the offer to a peer whose messages show an older revision."""
        if envelope.revision >= self.revision or sender not in self._known_peers():
            return []
        if not self.ready(now):
            return []
        if not self._peer_revisions.take_repeat_offer(sender, self._in_force_at, now):
            return []
        self.counts.repairs += 1
        return self._send_offer([sender], envelope.digest, now)

    def _send_offer(
        self,
        receivers: Iterable[str],
        base_digest: str,
        now: float,
        query_id: str = "",
    ) -> list[RelayAction]:
        offer = self._provider.build_offer(base_digest, now, query_id)
        actions: list[RelayAction] = [Send(name, offer) for name in receivers]
        self.counts.offers_sent += len(actions)
        return actions

    def _query_newer_peer(self, now: float) -> list[RelayAction]:
        newer_peer = self._peer_revisions.take_peer_to_query(now)
        if newer_peer is None:
            return []
        if self._fetch and self._fetch.manifest.revision >= newer_peer.revision:
            return []
        targets = [newer_peer.instance]
        if self._is_entry and newer_peer.instance in self._live_peers.agents:
            # Agents hold no account parts, so entries are queried as well.
            targets += self._preferred_peers[:ENTRIES_QUERIED_WITH_AGENT]
        return [Send(target, SheetQuery()) for target in targets]

    def _known_peers(self) -> frozenset[str]:
        live_peers = self._live_peers
        return live_peers.zone_entries | live_peers.agents | live_peers.other_peers

    def _alarm_conflict(
        self,
        instance: str,
        revision: int,
        digest: str,
    ) -> list[RelayAction]:
        text = f"{instance} has different content for revision {revision}: {digest[:8]}"
        return [*self._alarms.once("sheet-conflict", text)]

    def _alarm_after_failures(self, counted: bool) -> list[RelayAction]:
        if (
            not counted
            or self._read_scheduler.consecutive_failures != FAILURES_BEFORE_ALARM
        ):
            return []
        text = f"{FAILURES_BEFORE_ALARM} consecutive reads have failed"
        return [Alarm("config-unreachable", text)]
