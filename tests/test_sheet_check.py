import copy
import json
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from lacewingcleat.documents import parse_document
from lacewingcleat.findings import MAX_FINDINGS
from lacewingcleat.messages import SheetOffer
from lacewingcleat.settings import load_agent_settings, load_entry_settings
from lacewingcleat.sheet import ServerState
from lacewingcleat.sheet_check import PartCache, check_parts, check_sheet
from lacewingcleat.sheet_offers import apply_offer, make_offer
from lacewingcleat.sheet_parts import (
    Manifest,
    bucket_of,
    decode_manifest,
    digest_part,
    encode_canonical,
    encode_manifest,
    join_parts,
    split_sheet,
)
from tests.builders_sheet import (
    make_account_row,
    make_claim_row,
    make_group_row,
    make_server_row,
    make_sheet_value,
    make_split_sheet,
)

EXAMPLES = Path(__file__).parent.parent / "examples"

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def finding_paths(value: object) -> list[str]:
    """Return the paths of all findings, an empty list for a valid sheet."""
    checked = check_sheet(value, "test")
    if isinstance(checked, Ok):
        return []
    return [finding.path for finding in checked.err_value]


class CheckSheetTest(TestCase):
    def test_valid_sheet(self) -> None:
        """Guards against a check that rejects a valid sheet."""
        sheet = check_sheet(make_sheet_value(7), "test").unwrap()
        self.assertEqual(7, sheet.revision)
        self.assertEqual(ServerState.SERVING, sheet.server_by_name["server-1"].state)
        self.assertEqual("", sheet.group_by_name["group-1"].firm)

    def test_invalid_fields_are_reported_with_their_path(self) -> None:
        """Guards against an invalid field that is accepted or has a wrong path."""
        rows = make_sheet_value()
        cases: list[tuple[str, str, object]] = [
            ("firms[0].time_zone", "time_zone", "America/Atlantis"),
            ("zones[0].entries", "entries", 0),
            ("client_accounts[0].firm", "firm", "unknown"),
            ("client_accounts[0].key_sha256", "key_sha256", "AB" * 32),
            ("client_accounts[0].max_priority", "max_priority", 10),
            ("client_accounts[0].concurrency", "concurrency", 1.5),
            ("backend_servers[0].zone", "zone", "unknown"),
            ("backend_servers[0].address", "address", "localhost:80"),
            ("backend_servers[0].control_address", "control_address", "127.0.0.1:0"),
            ("backend_servers[0].state", "state", "gone"),
            ("backend_servers[0].checks_fencing", "checks_fencing", 1),
            ("model_groups[0].ranks[0]", "ranks", ["unknown"]),
            ("model_groups[0].ranks[1]", "ranks", ["server-1", "server-1"]),
            ("model_groups[0].ranks", "ranks", []),
            ("model_groups[0].extra", "extra", 1),
        ]
        for path, field, wrong in cases:
            value = copy.deepcopy(rows)
            member = path.partition("[")[0]
            value[member][0][field] = wrong  # type: ignore[index]
            self.assertEqual([path], finding_paths(value), (field, wrong))

    def test_conflicting_records_are_reported(self) -> None:
        """Guards against accepting records that contradict each other.

        Examples are duplicate names, keys and addresses, a server that is used twice,
        and claims that overlap or exceed the pool.
        """
        same_key = make_account_row("acme-2")
        same_key["key_sha256"] = make_account_row()["key_sha256"]
        same_address = make_server_row("server-2")
        owned_group = make_group_row(firm="coteau")
        same_rank = make_group_row("group-2")
        claim = make_claim_row
        cases: list[tuple[str, dict[str, list[dict[str, object]]]]] = [
            (
                "client_accounts[1].name",
                {"client_accounts": [make_account_row(), make_account_row()]},
            ),
            (
                "client_accounts[1].key_sha256",
                {"client_accounts": [make_account_row(), same_key]},
            ),
            (
                "backend_servers[1].address",
                {"backend_servers": [make_server_row(), same_address]},
            ),
            (
                "model_groups[1].ranks[0]",
                {"model_groups": [make_group_row(), same_rank]},
            ),
            (
                "services[0].backend_servers[0]",
                {"services": [{"name": "desk", "backend_servers": ["server-1"]}]},
            ),
            ("claims[0].pool", {"claims": [claim()], "model_groups": [owned_group]}),
            ("claims[1]", {"claims": [claim(), claim(start="16:59", share=0.1)]}),
            (
                "claims[1]",
                {
                    "claims": [
                        claim(start="00:00", end="24:00", share=0.8),
                        claim("kowhai", "00:00", "24:00", 0.3),
                    ]
                },
            ),
        ]
        for path, changes in cases:
            self.assertIn(path, finding_paths(make_sheet_value(**changes)))

    def test_number_of_findings_is_limited(self) -> None:
        """Guards against an invalid sheet whose findings fill memory."""
        value = make_sheet_value(firms=[{}] * 1_000)
        self.assertEqual(MAX_FINDINGS, len(finding_paths(value)))

    def test_example_files_are_valid(self) -> None:
        """Guards against example files that the programs reject."""
        for path in sorted(EXAMPLES.glob("*.json")):
            text = path.read_text()
            if path.name.endswith(".sheet.json"):
                document = parse_document(text, path.name).unwrap()
                checked = check_sheet(document.value, path.name, document.line_of)
                sheet = checked.unwrap()
                states = [server.state for server in sheet.server_by_name.values()]
                self.assertEqual(1, states.count(ServerState.JOINING))
                self.assertEqual(1, states.count(ServerState.LEAVING))
                self.assertEqual(10, len(sheet.account_by_name))
            elif "entry" in path.name:
                load_entry_settings(text, path.name).unwrap()
            else:
                load_agent_settings(text, path.name).unwrap()

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(json_values, st.data())
    def test_any_value_gives_a_sheet_or_findings(
        self, wrong: object, data: st.DataObject
    ) -> None:
        """Guards against an exception on a sheet with a value of a wrong type."""
        self.assertIsInstance(check_sheet(wrong, "test"), Ok | Err)
        claims = [make_claim_row()]
        services = [{"name": "s", "backend_servers": ["server-1"], "idempotent": []}]
        value = make_sheet_value(claims=claims, services=services)
        member = data.draw(st.sampled_from(sorted(value)))
        rows = value[member]
        if isinstance(rows, list) and data.draw(st.booleans()):
            field = data.draw(st.sampled_from(sorted(rows[0])))
            rows[0][field] = wrong
        else:
            value[member] = wrong
        self.assertIsInstance(check_sheet(value, "test"), Ok | Err)


class SettingsTest(TestCase):
    def test_all_errors_are_reported_at_once(self) -> None:
        """Guards against reporting only the first error of a settings file."""
        text = '{"instance": "E 1", "queue_limit": -1, "color": 1}'
        paths = {f.path for f in load_entry_settings(text, "test").unwrap_err()}
        expected = {"instance", "zone", "queue_limit", "color", "config_address"}
        self.assertEqual(expected, expected & paths)

    def test_unusable_advertised_addresses_are_rejected(self) -> None:
        """Guards against announcing an address that peers cannot connect to."""
        for address in ("0.0.0.0:80", "[::]:80", "host:80", "1.2.3.4", "::1:80"):
            text = json.dumps({"control_address": address})
            paths = [f.path for f in load_entry_settings(text, "test").unwrap_err()]
            self.assertIn("control_address", paths, address)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(json_values)
    def test_any_value_gives_settings_or_findings(self, value: object) -> None:
        """Guards against an exception instead of a finding."""
        for load in (load_entry_settings, load_agent_settings):
            self.assertIsInstance(load(json.dumps(value), "test"), Ok | Err)


class PartsTest(TestCase):
    def test_parts_give_the_same_sheet(self) -> None:
        """Guards against processes that build different sheets from one revision."""
        value = make_sheet_value(7, claims=[make_claim_row()])
        split = split_sheet(value)
        sheet = check_sheet(value, "test").unwrap()
        joined = join_parts(split.manifest, split.part_by_name).unwrap()
        self.assertEqual(Ok(sheet), check_sheet(joined, "joined"))
        parts = check_parts(split.manifest, split.part_by_name, "parts")
        self.assertEqual(Ok(sheet), parts)

    def test_missing_or_changed_part_is_rejected(self) -> None:
        """Guards against applying a sheet of which some records are missing."""
        split = make_split_sheet()
        for name in split.part_by_name:
            for wrong in (b"", b"[]x", b"{}", b"[ ]"):
                parts = {**split.part_by_name, name: wrong}
                self.assertIsInstance(check_parts(split.manifest, parts, "test"), Err)

    def test_record_in_wrong_bucket_is_rejected(self) -> None:
        """Guards against a record in a bucket that its name does not hash to."""
        buckets = {"groups": 1, "servers": 1, "accounts": 2}
        split = split_sheet(make_sheet_value(), buckets)
        own = f"accounts-{bucket_of('acme', 2):02d}"
        other = f"accounts-{1 - bucket_of('acme', 2):02d}"
        parts = dict(split.part_by_name)
        parts[own], parts[other] = parts[other], parts[own]
        digests = {name: digest_part(part) for name, part in parts.items()}
        manifest = Manifest(1, digests, buckets)
        self.assertIsInstance(check_parts(manifest, parts, "test"), Err)

    def test_account_change_keeps_the_routing_digest(self) -> None:
        """Guards against a routing digest that changes with accounts.

        Agents have no account parts and would reject work while accounts change.
        """
        first, second = make_split_sheet(1, rate=1), make_split_sheet(2, rate=2)
        self.assertEqual(first.manifest.routing_digest, second.manifest.routing_digest)
        self.assertNotEqual(first.manifest.digest, second.manifest.digest)
        groups = [make_group_row(firm="coteau")]
        third = make_split_sheet(2, rate=2, extra={"model_groups": groups})
        self.assertNotEqual(
            first.manifest.routing_digest, third.manifest.routing_digest
        )

    def test_manifest_round_trip(self) -> None:
        """Guards against digests that are assigned to a wrong bucket when decoded."""
        buckets = {"groups": 4, "servers": 8, "accounts": 16}
        manifest = split_sheet(make_sheet_value(), buckets).manifest
        self.assertEqual(Ok(manifest), decode_manifest(encode_manifest(manifest), "m"))

    def test_offer_applies_only_to_its_base(self) -> None:
        """Guards against an offer that omits changed, added or removed parts."""
        old = split_sheet(
            make_sheet_value(1), {"groups": 4, "servers": 1, "accounts": 2}
        ).manifest
        new = make_split_sheet(2, rate=11).manifest
        self.assertEqual(Ok(new), apply_offer(make_offer(new, old), old))
        self.assertEqual(Ok(old), apply_offer(make_offer(old, None), None))
        groups = [make_group_row(firm="coteau")]
        other_base = make_split_sheet(1, extra={"model_groups": groups}).manifest
        offer_base = make_split_sheet(1).manifest
        self.assertIsInstance(apply_offer(make_offer(new, offer_base), other_base), Err)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.binary(max_size=60), json_values)
    def test_any_input_gives_a_finding(self, data: bytes, value: object) -> None:
        """Guards against an exception on a damaged manifest, part or offer."""
        for text in (data, json.dumps(value), json.dumps({"parts": value})):
            self.assertIsInstance(decode_manifest(text, "test"), Err)
        split = make_split_sheet()
        for part in (data, encode_canonical(value), encode_canonical([value])):
            for name in ("zones", "accounts-00", "claims"):
                digests = {**split.manifest.digest_by_part, name: digest_part(part)}
                manifest = Manifest(1, digests, split.manifest.buckets)
                parts = {**split.part_by_name, name: part}
                self.assertIsInstance(check_parts(manifest, parts, "test"), Ok | Err)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.integers(),
        st.text(max_size=40),
        st.dictionaries(st.text(max_size=8), st.text(max_size=34), max_size=3),
        st.dictionaries(
            st.sampled_from(["groups", "servers", "accounts"]), st.integers()
        ),
    )
    def test_invalid_offer_is_rejected(
        self,
        revision: int,
        digest: str,
        parts: dict[str, str],
        buckets: dict[str, int],
    ) -> None:
        """Guards against an exception on an invalid offer.

        It would stop the receiver.
        """
        base = make_split_sheet().manifest
        offer = SheetOffer(0, "", revision, digest, parts, buckets)
        for known in (None, base):
            self.assertIsInstance(apply_offer(offer, known), Err)


class ValidityTest(TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 3)), max_size=8))
    def test_validity_depends_only_on_content(
        self, history: list[tuple[int, int]]
    ) -> None:
        """Guards against processes that disagree about whether a sheet is valid.

        The result with a cache of any earlier sheets must equal that without a cache.
        """
        cache = PartCache()
        for kind, rate in history:
            split = _variant(kind, rate)
            uncached = check_parts(split.manifest, split.part_by_name, "test")
            cached = check_parts(split.manifest, split.part_by_name, "test", cache)
            self.assertEqual(uncached, cached)
            self.assertEqual(kind >= 3, isinstance(uncached, Err))

    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(st.integers(0, 10_000))
    def test_order_of_records_does_not_matter(self, seed: int) -> None:
        """Guards against a digest that depends on the order of records."""
        rows = [make_server_row(f"server-{n}", 9000 + n) for n in range(6)]
        value = make_sheet_value(backend_servers=rows)
        shuffled = make_sheet_value(backend_servers=rows)
        Random(seed).shuffle(shuffled["backend_servers"])  # type: ignore[arg-type]
        self.assertEqual(split_sheet(value), split_sheet(shuffled))


def _variant(kind: int, rate: int):  # type: ignore[no-untyped-def]
    """Build valid (kind below 3) and invalid sheets that share most parts."""
    server = make_server_row("server-2", 9005)
    extras: list[dict[str, object]] = [
        {},
        {"backend_servers": [make_server_row(), server]},
        {"model_groups": [make_group_row(firm="coteau")]},
        {"backend_servers": [server]},
        {"model_groups": [make_group_row(firm="unknown")]},
        {"zones": [{"name": "saskatoon", "region": "prairie", "entries": 1}]},
    ]
    return make_split_sheet(1, rate=rate, extra=extras[kind])
