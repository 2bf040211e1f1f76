"""Decoding and boundary of the adapter to the platform."""

import ast
import base64
import json
import re
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from lacewingcleat.map_orders import (
    ArmMap,
    GroupOrder,
    OrderAnswer,
    PrepareMap,
)
from lacewingcleat.platform import request_headers as names
from lacewingcleat.platform.config_item import decode_config
from lacewingcleat.platform.order_call import (
    decode_map_state,
    decode_order_response,
    encode_order,
)
from lacewingcleat.platform.report_call import decode_report
from lacewingcleat.platform.server_item import decode_server
from lacewingcleat.platform.settings_file import decode_settings
from lacewingcleat.platform.store_calls import (
    decode_era,
    decode_store_response,
    encode_read,
)
from lacewingcleat.routing_config import RequestKind
from lacewingcleat.store_items import (
    UNKNOWN_ERA,
    HistoryCompacted,
    ListPage,
    ListRead,
    ReadFailure,
    WatchChanges,
    WatchRead,
)

PACKAGE = Path(__file__).parent.parent / "lacewingcleat"
ADAPTER = PACKAGE / "platform"
# Names of the platform that only the adapter may use.
PLATFORM_NAMES = re.compile(
    r"kv-(?:key|range|watch)|x-expect-instance|x-not-executed|x-response-signature"
    r"|x-server-load|x-tenant|cold_remaining_ms|/picked|LACEWINGCLEAT_SETTINGS"
    r"|traffic_split|revocation_ms|fencing_token",
    re.IGNORECASE,
)
SERVER = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1788488797695,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 402,
            "priority": 1,
            "traffic_split": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
            "target_gap_ms": 120,
        },
    ],
    "services": [
        {
            "name": "s",
            "max_connections": 10,
            "engine": {"slots": 6, "kv_cache_tokens": 9},
        },
        {"name": "t", "max_connections": 10},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "acme", "api_keys": ["k1", "k2"], "priority": 1}],
}
REPORT = {
    "stage": "combined",
    "group": {"name": "g0-1", "epoch": 3, "rank": 2, "state": "open"},
    "size": 8,
    "pace": 1.5,
    "step": 812,
    "mapping": 4,
    "prepared": None,
    "armed": None,
    "held": 820,
    "sequence": 6,
}


def _encode(value: object) -> bytes:
    return json.dumps(value).encode()


class AdapterTest(TestCase):
    def test_config(self) -> None:
        """Guards against wrong units and field names."""
        config = decode_config(_encode(CONFIG)).unwrap()
        route = config.find_route("h.example", "/a/x")
        assert route is not None
        self.assertEqual(8.0, route.timeout_seconds)
        self.assertEqual(0.12, route.event_interval_seconds)
        self.assertIs(RequestKind.STREAM, route.kind)
        self.assertEqual([90, 10], [share.weight for share in route.weighted_services])
        self.assertEqual("acme", config.account_by_key["k2"].name)
        self.assertIs(None, config.service_by_name["t"].engine)

    def test_an_empty_list_of_accounts_admits_nobody(self) -> None:
        """Guards against requests without a key after the last account is removed."""
        for accounts, uses_accounts, requires_keys in (
            ([], True, True),
            ([], False, False),
            (CONFIG["tenants"], False, True),
        ):
            config = decode_config(
                _encode({**CONFIG, "tenants": accounts}), uses_accounts
            ).unwrap()
            self.assertEqual(requires_keys, config.requires_keys)
        document = {key: CONFIG[key] for key in CONFIG if key != "tenants"}
        config = decode_config(_encode(document), True).unwrap()
        self.assertFalse(config.requires_keys)

    def test_config_with_an_unknown_kind_is_an_error(self) -> None:
        """Guards against retrying requests of a route whose kind is unknown."""
        routes = [{**CONFIG["routes"][0], "kind": "other"}]  # type: ignore[index]
        self.assertIsInstance(decode_config(_encode({**CONFIG, "routes": routes})), Err)

    def test_server(self) -> None:
        """Guards against mistaking one start of a server for another."""
        record = decode_server("servers/i-1", _encode(SERVER)).unwrap()
        self.assertEqual(("i-1", 1788488797695), (record.name, record.started_ms))
        self.assertFalse(record.leaving)

    def test_malformed_servers(self) -> None:
        """Guards against accepting malformed records of servers."""
        for change in (
            {"state": "odd"},
            {"address": "nowhere"},
            {"address": "10.0.0.1:99999"},
            {"slots": "six"},
            {"service": None},
        ):
            found = decode_server("servers/i-1", _encode({**SERVER, **change}))
            self.assertIsInstance(found, Err, change)
        for name in ("", "a b", "a\r\nX-Tenant: t", "\u00e9", "a" * 201):
            found = decode_server(f"servers/{name}", _encode(SERVER))
            self.assertIsInstance(found, Err, name)

    def test_cold_time_of_servers(self) -> None:
        """Guards against a server that an odd cold time takes out of use."""
        cold_seconds_by_text = {
            "3000": 3.0,
            "2500.5": 2.5005,
            "0": 0.0,
            "-1": 0.0,
            "600001": 0.0,
            "1e400": 0.0,
            "9" * 5_000: 0.0,
            '"3000"': 0.0,
            "null": 0.0,
            "[]": 0.0,
        }
        sound = _encode({**SERVER, "cold_remaining_ms": 3000})
        for text, seconds in cold_seconds_by_text.items():
            data = sound.replace(b"3000", text.encode())
            record = decode_server("servers/i-1", data).unwrap()
            self.assertEqual(seconds, record.cold_seconds, text[:40])
        absent = {key: SERVER[key] for key in SERVER if key != "cold_remaining_ms"}
        record = decode_server("servers/i-1", _encode(absent)).unwrap()
        self.assertEqual(0.0, record.cold_seconds)
        self.assertEqual(decode_server("servers/i-1", sound).unwrap(), record)

    def test_cold_limits_of_services(self) -> None:
        """Guards against limits of a service that are read wrongly or not at all."""
        services = [
            {"name": "s", "max_connections": 1, "cold_start_s": 3, "cold_per_s": 26.0},
            {"name": "t", "max_connections": 1, "cold_start_s": 0, "cold_per_s": None},
            {"name": "u", "max_connections": 1, "cold_start_s": -1, "cold_per_s": -2},
            {
                "name": "v",
                "max_connections": 1,
                "cold_per_s": 2,
                "engine": {"slots": 6, "kv_cache_tokens": 9},
            },
        ]
        config = decode_config(_encode({**CONFIG, "services": services})).unwrap()
        limits = {
            name: (service.cold_seconds, service.cold_per_second)
            for name, service in config.service_by_name.items()
        }
        self.assertEqual(
            {"s": (3.0, 26.0), "t": (0.0, 0.0), "u": (0.0, 0.0), "v": (0.0, 2.0)},
            limits,
        )

    def test_cold_bounds_of_the_settings(self) -> None:
        """Guards against bounds that are needed although they have defaults."""
        bounds = {
            "revocation_ms": 5000,
            "configuration_apply_ms": 2000,
            "drain_timeout_ms": 2000,
            "grace_period_s": 8,
            "retry_budget_ratio": 0.2,
            "retry_budget_extra": 92,
            "budget_window_s": 10,
        }
        settings = {
            "node_name": "e",
            "zone": "z",
            "listen_addresses": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
            "platform": {"address": "127.0.0.1:3"},
        }
        for more, expected in (
            ({}, (1.5, 5.0)),
            ({"cold_overshoot": 2.0, "cold_slack": 3}, (2.0, 3.0)),
        ):
            data = _encode({**settings, "bounds": {**bounds, **more}})
            decoded = decode_settings(data).unwrap().bounds
            self.assertEqual(expected, (decoded.cold_overshoot, decoded.cold_slack))

    @given(data=st.binary(max_size=200))
    def test_malformed_data_raises_no_exception(self, data: bytes) -> None:
        """Guards against malformed data that terminates the process."""
        decode_server("servers/i-1", data)
        decode_config(data)
        decode_report(data)
        decode_settings(data)
        decode_map_state(data)
        decode_store_response(ListRead(""), 200, data)
        decode_store_response(WatchRead(1, 1.0), 200, data)

    def test_store_answers(self) -> None:
        """Guards against confusing listings, changes, lost history and failures."""
        value = base64.b64encode(b"x").decode()
        page = {"items": [{"key": "a", "revision": 3, "value": value}], "at": 9}
        listed = decode_store_response(ListRead(""), 200, _encode(page))
        assert isinstance(listed, ListPage)
        self.assertEqual(b"x", listed.items[0].value)
        events = {"events": [{"key": "a", "revision": 4, "removed": True}], "at": 9}
        changed = decode_store_response(WatchRead(3, 1.0), 200, _encode(events))
        assert isinstance(changed, WatchChanges)
        self.assertIs(None, changed.items[0].value)
        self.assertEqual(
            HistoryCompacted(), decode_store_response(WatchRead(3, 1.0), 410, b"")
        )
        failed = decode_store_response(ListRead(""), 503, b"{}", 4)
        self.assertEqual(ReadFailure("status 503", 4), failed)

    def test_era_of_the_store(self) -> None:
        """Guards against an era that is lost, or malformed."""
        events = _encode({"events": [], "at": 9})
        self.assertEqual(
            WatchChanges((), 9, 4),
            decode_store_response(WatchRead(3, 1.0), 200, events, decode_era(b"4")),
        )
        for value in (None, b"", b"-1", b"x", b"1.5", b"9" * 5_000):
            self.assertEqual(UNKNOWN_ERA, decode_era(value))

    def test_store_reads(self) -> None:
        """Guards against a wrong position or time limit in a read."""
        self.assertEqual(
            "/kv-watch?prefix=a/&after=7&wait_ms=1400",
            encode_read("a/", WatchRead(7, 1.4)),
        )
        self.assertEqual(
            "/kv-range?prefix=&after=a/b", encode_read("", ListRead("a/b"))
        )

    def test_report(self) -> None:
        """Guards against mixing up the fields of a report."""
        status = decode_report(_encode(REPORT)).unwrap()
        self.assertEqual(
            ("g0-1", 3, 2, 8),
            (status.group, status.epoch, status.rank, status.rank_count),
        )
        state = decode_map_state(_encode(REPORT)).unwrap()
        self.assertEqual(
            (4, None, 820), (state.map_version, state.armed_version, state.held_step)
        )

    def test_orders(self) -> None:
        """Guards against orders without the epoch of their group."""
        body = json.loads(encode_order(GroupOrder(ArmMap(5, 9), 3)))
        self.assertEqual(
            {
                "operation": "arm",
                "version": 5,
                "step": 9,
                "epoch": 3,
            },
            body,
        )
        order = GroupOrder(PrepareMap(5, (((0,), (1,)),)), 3)
        self.assertEqual([[[0], [1]]], json.loads(encode_order(order))["mapping"])
        self.assertIs(OrderAnswer.ACCEPTED, decode_order_response(202))
        self.assertIs(OrderAnswer.ACCEPTED, decode_order_response(200))
        self.assertIs(OrderAnswer.CONFLICT, decode_order_response(409))
        self.assertIs(OrderAnswer.UNKNOWN, decode_order_response(503))

    def test_loads_and_deadlines(self) -> None:
        """Guards against accepting malformed headers of servers and callers."""
        load = names.parse_server_load(b"3,0,8")
        assert load is not None
        self.assertEqual((3, 0, 8), (load.running, load.waiting, load.slots))
        too_large = b"9" * 5_000 + b",0,6"
        for value in (b"", b"1,2", b"a,b,c", b"1,-1,8", too_large, None):
            self.assertIs(None, names.parse_server_load(value))
        self.assertEqual(2.533, names.parse_deadline_seconds(b"2533"))
        self.assertIs(None, names.parse_deadline_seconds(b"-1"))


class BoundaryTest(TestCase):
    def test_platform_names_occur_only_in_adapter(self) -> None:
        """Guards against use of the platform's formats outside the adapter."""
        found = {
            f"{path.name}: {match.group(0)}"
            for path in PACKAGE.glob("*.py")
            for match in PLATFORM_NAMES.finditer(path.read_text())
        }
        self.assertEqual(set(), found)

    def test_adapter_contains_no_decisions(self) -> None:
        """Guards against decision logic in the adapter.

        Such logic could not be tested without the platform.
        """
        for path in ADAPTER.glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.ImportFrom) or node.module is None:
                    continue
                root = node.module.partition(".")[0]
                self.assertNotIn(root, {"twisted", "time", "random", "socket"}, path)
                if not node.module.startswith("lacewingcleat."):
                    continue
                for alias in node.names:
                    self.assertTrue(
                        alias.name[0].isupper()
                        or "platform" in node.module
                        or alias.name == "index_routes",
                        f"{path.name} imports {alias.name}",
                    )

    def test_adapter_is_small(self) -> None:
        """Guards against an adapter that takes over functions of the package."""
        adapter_lines = sum(
            len(p.read_text().splitlines()) for p in ADAPTER.glob("*.py")
        )
        package_lines = sum(
            len(p.read_text().splitlines()) for p in PACKAGE.rglob("*.py")
        )
        self.assertLess(adapter_lines, package_lines / 10)

    def test_valid_server_is_ok(self) -> None:
        """Guards against a decoder that does not wrap a valid result in `Ok`."""
        self.assertIsInstance(decode_server("servers/i", _encode(SERVER)), Ok)
