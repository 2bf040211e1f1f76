from collections.abc import Iterable

from testtools import TestCase

from lacewingcleat.actions import Alarm, Send
from lacewingcleat.config_reader import (
    PART_READ_BURST,
    PART_READS_PER_SECOND,
    READERS_PER_ZONE,
)
from lacewingcleat.identity import Peer, Role
from lacewingcleat.messages import (
    Envelope,
    Heartbeat,
    Message,
    PartReply,
    PartRequest,
    SheetOffer,
    SheetQuery,
)
from lacewingcleat.part_fetch import MAX_FRUITLESS_REQUESTS
from lacewingcleat.relay_actions import (
    FetchPart,
    InForce,
    RelayAction,
    RelayView,
    WatchManifest,
)
from lacewingcleat.relay_metrics import relay_figures
from lacewingcleat.sheet_offers import make_offer
from lacewingcleat.sheet_parts import (
    SplitSheet,
    encode_manifest,
    is_account_part,
    pack_part,
    split_sheet,
)
from lacewingcleat.sheet_relay import SheetRelay
from lacewingcleat.sheet_store import KEPT_MANIFESTS
from tests.builders import make_peer
from tests.builders_sheet import (
    make_account_row,
    make_group_row,
    make_sheet_value,
    make_split_sheet,
)

HEARTBEAT = Heartbeat("", "", "", False, 0, 0)


def make_relay(
    entries: Iterable[str] = ("entry-1",),
    role: Role = Role.ENTRY,
    agents: Iterable[str] = (),
) -> SheetRelay:
    """Build a relay at time 0 whose view has been set."""
    instance = "entry-1" if role is Role.ENTRY else "agent-1"
    relay = SheetRelay(make_peer(instance, role=role), 0.0)
    relay.set_view(RelayView(frozenset(entries), frozenset(agents)), 0.0)
    return relay


def make_envelope(
    body: Message,
    sender: Peer | None = None,
    split: SplitSheet | None = None,
) -> Envelope:
    """Build a message of a peer that holds the given sheet."""
    peer = sender or make_peer("entry-2")
    if split is None:
        return Envelope(peer, 0, "", body)
    return Envelope(peer, split.manifest.revision, split.manifest.digest, body)


def read_from_config(
    relay: SheetRelay, split: SplitSheet, now: float
) -> list[RelayAction]:
    """Let the relay read a sheet from the configuration service."""
    actions = relay.manifest_read(encode_manifest(split.manifest), "v", now)
    seen = list(actions)
    for action in actions:
        if isinstance(action, FetchPart):
            part = split.part_by_digest[action.digest]
            seen += relay.part_read(action.digest, part, now)
    return seen


def offer_by(relay: SheetRelay, split: SplitSheet, now: float) -> list[RelayAction]:
    """Let entry-2 offer a sheet and answer the requests for its parts."""
    actions = relay.receive(
        make_envelope(make_offer(split.manifest, None), split=split), now
    )
    seen = list(actions)
    while sends := [a.message for a in actions if isinstance(a, Send)]:
        requests = [m for m in sends if isinstance(m, PartRequest)]
        if not requests:
            return seen
        parts = {d: pack_part(split.part_by_digest[d]) for d in requests[0].digests}
        actions = relay.receive(make_envelope(PartReply(parts), split=split), now)
        seen += actions
    return seen


def alarm_codes(actions: Iterable[RelayAction]) -> list[str]:
    return [action.code for action in actions if isinstance(action, Alarm)]


def sent(actions: Iterable[RelayAction], kind: type[Message]) -> list[str]:
    """Return the receivers of messages of one kind."""
    return [
        action.instance
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, kind)
    ]


class AcceptTest(TestCase):
    def test_reads_parts_and_puts_in_force(self) -> None:
        """Guards against a revision that never takes effect."""
        relay = make_relay()
        actions = read_from_config(relay, make_split_sheet(3), 1.0)
        self.assertEqual(1, sum(isinstance(a, InForce) for a in actions))
        self.assertEqual(3, relay.revision)

    def test_only_changed_parts_are_read_again(self) -> None:
        """Guards against reading the whole sheet for each change."""
        relay = make_relay()
        read_from_config(relay, make_split_sheet(3, rate=10), 1.0)
        actions = read_from_config(relay, make_split_sheet(4, rate=11), 2.0)
        self.assertEqual(1, sum(isinstance(a, FetchPart) for a in actions))
        self.assertEqual(4, relay.revision)

    def test_lower_revision_is_refused(self) -> None:
        """Guards against a stale configuration service or peer."""
        relay = make_relay()
        read_from_config(relay, make_split_sheet(5, rate=10), 1.0)
        actions = read_from_config(relay, make_split_sheet(4, rate=11), 2.0)
        self.assertIn("config-service-stale", alarm_codes(actions))
        offer_by(relay, make_split_sheet(4, rate=12), 3.0)
        self.assertEqual(5, relay.revision)

    def test_same_revision_with_another_digest_raises_an_alarm(self) -> None:
        """Guards against two contents under one revision that nobody notices."""
        other = make_split_sheet(5, rate=11)
        relay = make_relay()
        read_from_config(relay, make_split_sheet(5, rate=10), 1.0)
        digest = relay.digest
        heard = relay.receive(make_envelope(HEARTBEAT, split=other), 2.0)
        self.assertEqual(["sheet-conflict"], alarm_codes(heard))
        again = relay.receive(make_envelope(HEARTBEAT, split=other), 3.0)
        self.assertEqual([], alarm_codes(again))
        read_from_config(relay, other, 4.0)
        offer_by(relay, other, 5.0)
        self.assertEqual(digest, relay.digest)

    def test_invalid_sheet_is_refused_once(self) -> None:
        """Guards against an invalid sheet in force, or checked again and again."""
        groups = [make_group_row(ranks=("unknown",))]
        bad = make_split_sheet(6, extra={"model_groups": groups})
        relay = make_relay()
        read_from_config(relay, make_split_sheet(5), 1.0)
        self.assertIn("sheet-refused", alarm_codes(read_from_config(relay, bad, 2.0)))
        self.assertEqual([], offer_by(relay, bad, 3.0))
        self.assertEqual(5, relay.revision)

    def test_part_with_another_digest_is_dropped(self) -> None:
        """Guards against a part that was damaged or forged on the way."""
        split = make_split_sheet(5)
        relay = make_relay()
        manifest = encode_manifest(split.manifest)
        for action in relay.manifest_read(manifest, "v", 1.0):
            if isinstance(action, FetchPart):
                relay.part_read(action.digest, b"[]x", 1.0)
        self.assertEqual((0, 0), (relay.revision, relay.held_parts))
        self.assertGreater(relay.counts.bad_parts, 0)

    def test_damaged_reply_of_a_peer_is_dropped(self) -> None:
        """Guards against a peer that sends a part under another part's digest."""
        split = make_split_sheet(5)
        for packed in (pack_part(b"[]x"), b"", b"no zlib", pack_part(bytes(10**7))):
            relay = make_relay(["entry-2"], Role.AGENT)
            relay.receive(make_envelope(make_offer(split.manifest, None)), 1.0)
            digests = split.manifest.digest_by_part.values()
            reply = PartReply(dict.fromkeys(digests, packed))
            relay.receive(make_envelope(reply), 1.0)
            self.assertEqual((0, 0), (relay.revision, relay.held_parts))
            self.assertGreater(relay.counts.bad_parts, 0)

    def test_parts_of_old_revisions_are_dropped(self) -> None:
        """Guards against memory that grows with each change."""
        relay = make_relay()
        for revision in range(1, 40):
            split = make_split_sheet(revision, rate=revision)
            read_from_config(relay, split, float(revision))
        self.assertEqual(39, relay.revision)
        unchanged = len(set(split.part_by_digest)) - 1
        self.assertLessEqual(relay.held_parts, unchanged + KEPT_MANIFESTS)

    def test_offer_whose_digest_does_not_match(self) -> None:
        """Guards against a manifest put together from the wrong base."""
        split = make_split_sheet(5)
        offer = make_offer(split.manifest, None)
        changed = {**offer.digest_by_part, "zones": "0" * 32}
        wrong = SheetOffer(0, "", 5, offer.digest, changed, offer.buckets)
        relay = make_relay()
        actions = relay.receive(make_envelope(wrong), 1.0)
        self.assertEqual(["offer-invalid"], alarm_codes(actions))

    def test_agent_holds_no_account_parts(self) -> None:
        """Guards against account keys in the memory of agents."""
        split = make_split_sheet(5)
        relay = make_relay(["entry-2"], Role.AGENT)
        offer_by(relay, split, 1.0)
        self.assertEqual(5, relay.revision)
        accounts = sum(map(is_account_part, split.part_by_name))
        needed = {
            digest
            for name, digest in split.manifest.digest_by_part.items()
            if not is_account_part(name)
        }
        self.assertGreater(accounts, 0)
        self.assertEqual(len(needed), relay.held_parts)
        self.assertEqual({}, dict(relay.sheet.account_by_name) if relay.sheet else None)

    def test_stage_delays(self) -> None:
        """Guards against a slow stage that operators cannot tell from the others."""
        relay = make_relay()
        read_from_config(relay, make_split_sheet(1), 5.0)
        split = make_split_sheet(2, rate=11)
        manifest = encode_manifest(split.manifest)
        for action in relay.manifest_read(manifest, "v", 10.0, age=0.5):
            if isinstance(action, FetchPart):
                relay.part_read(action.digest, split.part_by_digest[action.digest], 12)
        times = relay.applied(2, 12.25)
        self.assertEqual((2, 0.5, 0.0, 2.0, 0.25, 2.75), _stages(times))
        figures = relay_figures(relay, 13.0)
        stages = {figure.stage: figure.value for figure in figures if figure.stage}
        expected = {"read": 0.5, "relay": 0.0, "accept": 2.0, "apply": 0.25}
        self.assertEqual(expected, stages)
        answers = relay.receive(make_envelope(SheetQuery()), 15.0)
        offers = [a.message for a in answers if isinstance(a, Send)]
        self.assertEqual([(0.5, 5.0)], [_delays(offer) for offer in offers])
        peer = make_relay(["entry-2"], Role.AGENT)
        offer_by(peer, make_split_sheet(1), 1.0)
        offer = make_offer(split.manifest, None, 0.5, 2.0)
        peer.receive(make_envelope(offer, split=split), 4.0)
        self.assertEqual((2, 0.5, 2.0, 0.0, 1.0, 3.5), _stages(peer.applied(2, 5.0)))


def _delays(message: Message) -> tuple[float, float]:
    assert isinstance(message, SheetOffer)
    return message.read_seconds, message.relay_seconds


def _stages(times: object) -> tuple[float, ...]:
    names = ("revision", "read", "relay", "accept", "apply", "total")
    return tuple(getattr(times, name) for name in names)


class SpreadTest(TestCase):
    def test_tree_reaches_each_entry_once(self) -> None:
        """Guards against entries that nobody offers a revision to."""
        entries = [f"entry-{number}" for number in range(30)]
        offered: list[str] = []
        roots = 0
        for name in entries:
            relay = SheetRelay(make_peer(name), 0.0)
            relay.set_view(RelayView(frozenset(entries)), 0.0)
            offers = sent(offer_by(relay, make_split_sheet(1), 1.0), SheetOffer)
            self.assertLessEqual(len(offers), 4)
            offered += offers
            roots += relay.is_reader
        self.assertEqual(2, roots)
        self.assertEqual(len(entries) - 1, len(set(offered)))
        self.assertEqual(len(set(offered)), len(offered))

    def test_one_entry_offers_to_an_agent(self) -> None:
        """Guards against both entries of an agent sending the same offer."""
        entries = ["entry-1", "entry-2", "entry-3"]
        agents = {f"agent-{number}" for number in range(20)}
        offered: list[str] = []
        for name in entries:
            relay = SheetRelay(make_peer(name), 0.0)
            relay.set_view(RelayView(frozenset(entries), frozenset(agents)), 0.0)
            offers = sent(offer_by(relay, make_split_sheet(1), 1.0), SheetOffer)
            offered += [target for target in offers if target in agents]
        self.assertEqual(sorted(agents), sorted(offered))

    def test_heartbeat_repairs_a_lost_offer(self) -> None:
        """Guards against a peer that stays behind after a loss."""
        old, new = make_split_sheet(1), make_split_sheet(2, rate=11)
        relay = make_relay(["entry-2"])
        relay.tick(3.0)
        read_from_config(relay, old, 3.0)
        read_from_config(relay, new, 4.0)
        envelope = make_envelope(HEARTBEAT, split=old)
        self.assertEqual([], sent(relay.receive(envelope, 4.4), SheetOffer))
        self.assertEqual(["entry-2"], sent(relay.receive(envelope, 4.6), SheetOffer))
        self.assertEqual([], sent(relay.receive(envelope, 4.8), SheetOffer))

    def test_higher_revision_of_a_peer_is_asked_for(self) -> None:
        """Guards against waiting for an offer that was lost."""
        relay = make_relay(["entry-2"], Role.AGENT)
        offer_by(relay, make_split_sheet(1), 3.0)
        newer = make_split_sheet(2, rate=11)
        relay.receive(make_envelope(HEARTBEAT, split=newer), 4.0)
        self.assertEqual([], sent(relay.tick(4.1), SheetQuery))
        self.assertEqual(["entry-2"], sent(relay.tick(4.3), SheetQuery))
        relay.observe("entry-2", 2, newer.manifest.digest, 5.0)
        self.assertEqual(["entry-2"], sent(relay.tick(5.3), SheetQuery))

    def test_holder_that_does_not_answer(self) -> None:
        """Guards against endless requests to a peer that has died."""
        split = make_split_sheet(1)
        relay = make_relay(["entry-2"], Role.AGENT)
        relay.receive(make_envelope(make_offer(split.manifest, None)), 0.0)
        asked = sum(
            len(sent(relay.tick(tick / 4), PartRequest)) for tick in range(1, 100)
        )
        self.assertEqual(MAX_FRUITLESS_REQUESTS - 1, asked)
        self.assertEqual(1, relay.counts.fetches_given_up)
        offer_by(relay, split, 30.0)
        self.assertEqual(1, relay.revision)


class InquiryTest(TestCase):
    def test_start_waits_two_seconds_without_an_answer(self) -> None:
        """Guards against decisions from a stale service, or none at all."""
        relay = make_relay(["entry-2"])
        read_from_config(relay, make_split_sheet(1), 0.5)
        self.assertFalse(relay.ready(1.9))
        self.assertTrue(relay.ready(2.1))

    def test_answer_ends_the_wait(self) -> None:
        """Guards against a wait of 2 s at each start and pause."""
        split = make_split_sheet(1)
        relay = make_relay(["entry-2"])
        read_from_config(relay, split, 3.0)
        actions = relay.wake(100.0)
        self.assertEqual(["entry-2"], sent(actions, SheetQuery))
        self.assertFalse(relay.ready(100.1))
        relay.receive(make_envelope(_answer(actions, split), split=split), 100.1)
        self.assertTrue(relay.ready(100.1))

    def test_old_offer_is_no_answer(self) -> None:
        """Guards against a message from before the pause that seems to be an answer."""
        split = make_split_sheet(1)
        relay = make_relay(["entry-2"])
        read_from_config(relay, split, 3.0)
        before = _answer(relay.wake(50.0), split)
        relay.wake(100.0)
        relay.receive(make_envelope(before, split=split), 100.1)
        unasked = make_offer(split.manifest, None)
        relay.receive(make_envelope(unasked, split=split), 100.1)
        self.assertFalse(relay.ready(100.2))

    def test_higher_answer_is_awaited(self) -> None:
        """Guards against decisions from the old sheet while the new one arrives."""
        relay = make_relay(["entry-2"], Role.AGENT)
        offer_by(relay, make_split_sheet(1), 3.0)
        groups = [make_group_row(firm="coteau")]
        newer = make_split_sheet(2, extra={"model_groups": groups})
        actions = relay.wake(100.0)
        relay.receive(make_envelope(_answer(actions, newer), split=newer), 101.5)
        self.assertFalse(relay.ready(102.5))
        offer_by(relay, newer, 103.0)
        self.assertTrue(relay.ready(103.0))

    def test_process_that_wakes_does_not_answer(self) -> None:
        """Guards against two processes that confirm each other's old sheet."""
        relay = make_relay(["entry-2"])
        read_from_config(relay, make_split_sheet(1), 3.0)
        relay.wake(100.0)
        query = make_envelope(SheetQuery("x"))
        self.assertEqual([], sent(relay.receive(query, 100.1), SheetOffer))
        relay.tick(103.0)
        self.assertEqual(["entry-2"], sent(relay.receive(query, 103.1), SheetOffer))


def _answer(actions: Iterable[RelayAction], split: SplitSheet) -> SheetOffer:
    queries = [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, SheetQuery)
    ]
    return make_offer(split.manifest, None, query_id=queries[0].query_id)


def make_large_split_sheet() -> SplitSheet:
    """Build a sheet of 196 parts."""
    buckets = {"groups": 64, "servers": 64, "accounts": 64}
    rows = [make_account_row(f"a-{number}") for number in range(500)]
    return split_sheet(make_sheet_value(client_accounts=rows), buckets)


class ReaderTest(TestCase):
    def test_next_entry_takes_over(self) -> None:
        """Guards against a zone without readers after two deaths."""
        entries = [f"entry-{number}" for number in range(5)]
        relays = {name: SheetRelay(make_peer(name), 0.0) for name in entries}
        alive = set(entries)
        for round_number in range(4):
            view = RelayView(frozenset(alive))
            watches = {
                name: relays[name].set_view(view, float(round_number)) for name in alive
            }
            readers = {name for name in alive if relays[name].is_reader}
            self.assertEqual(min(2, len(alive)), len(readers))
            for name in readers:
                if round_number == 0:
                    self.assertIn(WatchManifest(""), watches[name])
            alive.remove(sorted(readers)[0])

    def test_failed_reads_back_off(self) -> None:
        """Guards against readers that overload a service that is coming back."""
        relay = make_relay()
        watches, alarms = 0, []
        for tick in range(4 * 60):
            for action in relay.tick(tick / 4):
                if isinstance(action, WatchManifest):
                    watches += 1
                    alarms += alarm_codes(relay.manifest_failed(tick / 4))
        self.assertLessEqual(watches, 14)
        self.assertEqual(["config-unreachable"], alarms)

    def test_restarted_reader_asks_peers_for_a_large_sheet(self) -> None:
        """Guards against half a minute of paced reads while peers have all parts."""
        split = make_large_split_sheet()
        relay = make_relay(["entry-2"])
        relay.manifest_read(encode_manifest(split.manifest), "v", 0.0)
        offer_by(relay, split, 0.1)
        self.assertGreaterEqual(relay.held_parts, len(split.part_by_digest) - 8)
        offer_by(relay, split, 1.1)
        self.assertEqual(1, relay.revision)

    def test_reads_of_parts_are_paced(self) -> None:
        """Guards against a burst of reads of a large sheet by all readers at once."""
        split = make_large_split_sheet()
        relay = make_relay()
        actions = relay.manifest_read(encode_manifest(split.manifest), "v", 0.0)
        reads = 0
        for tick in range(1, 5):
            while actions:
                action = actions.pop()
                if isinstance(action, FetchPart):
                    reads += 1
                    part = split.part_by_digest[action.digest]
                    actions += relay.part_read(action.digest, part, tick / 4)
            actions = relay.tick(tick / 4)
        limit = PART_READ_BURST + PART_READS_PER_SECOND
        self.assertLessEqual(reads, limit)
        self.assertLessEqual(31 * READERS_PER_ZONE * (limit + 1), 2_000)
