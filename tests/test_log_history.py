"""The history of one request over all processes."""

import json

from testtools import TestCase

from lacewingcleat.ctl_main import main
from lacewingcleat.log_history import find_history


def _line(second: int, instance: str, event: str, **fields: object) -> str:
    time = f"2026-01-01T00:00:{second:02}.000000+0000"
    return json.dumps({"time": time, "instance": instance, "event": event, **fields})


LINES = [
    _line(20, "front-1", "request", request="b", status=200),
    _line(19, "front-1", "request", request="a", status=503, reason="no-server"),
    _line(18, "front-1", "server missing", server="i-1"),
    _line(18, "front-2", "server missing", server="i-1"),
    _line(1, "front-1", "config", version=3),
    "not a line",
    '{"time": "never"}',
]


class LogHistoryTest(TestCase):
    def test_the_cause_stands_before_the_request(self) -> None:
        """Guards against a history without what the process believed."""
        found = find_history(LINES, "a")
        self.assertEqual(["server missing", "request"], [line.event for line in found])
        self.assertEqual({"front-1"}, {line.instance for line in found})

    def test_prefixes_of_collectors_are_accepted(self) -> None:
        """Guards against losing lines that a collector has put a prefix before."""
        found = find_history([f"  3.14 front-1 {line}" for line in LINES[:5]], "a")
        self.assertEqual(2, len(found))

    def test_an_unknown_request_is_a_finding(self) -> None:
        """Guards against an empty answer that looks like success."""
        self.assertEqual([], find_history(LINES, "z"))
        self.assertEqual(1, main(["history", "z", __file__]))
