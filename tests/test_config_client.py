"""Reads and watches of the configuration service."""

from typing import Any

from result import Err, Ok
from testtools import TestCase
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from lacewingcleat.config_client import INSTANCES_RETRY_DELAY_SECONDS, ConfigClient


class _Response:
    code = 200

    def __init__(self, version: str) -> None:
        self.headers = Headers({"X-Version": [version]})


class _ScriptedHttpClient:
    """Answer reads from a list; `None` is a failure."""

    def __init__(self, *answers: tuple[str, bytes] | None) -> None:
        self._answers = list(answers)
        self.paths: list[str] = []

    async def fetch(self, _method: str, _address: str, path: str, *_: Any) -> Any:
        self.paths.append(path)
        answer = self._answers.pop(0)
        if answer is None:
            return Err("reset")
        return Ok((_Response(answer[0]), answer[1]))


class _Owner:
    """Record what the relay and the membership are told."""

    def __init__(self) -> None:
        self.relay = self
        self.membership = self
        self.manifests: list[bytes] = []
        self.unchanged_count = 0
        self.live: list[frozenset[str]] = []

    def perform(self, _actions: Any) -> None:
        pass

    def handle_manifest(self, data: bytes, *_: Any) -> None:
        self.manifests.append(data)

    def handle_manifest_unchanged(self, _now: float) -> None:
        self.unchanged_count += 1

    def update_platform_list(self, platform: Any, _now: float) -> None:
        self.live.append(platform.live)


def _client(owner: _Owner, http_client: _ScriptedHttpClient, clock: Clock) -> Any:
    client: Any = http_client
    relay_owner: Any = owner
    return ConfigClient(clock, client, "127.0.0.1:1", relay_owner)


class ConfigClientTest(TestCase):
    def test_instances_are_read_anew_after_a_failed_watch(self) -> None:
        """Guards against waiting for a version that a restored service gave again."""
        first, second = b'{"live": ["a"]}', b'{"live": ["b"]}'
        http_client = _ScriptedHttpClient(("7", first), None, ("7", second))
        owner, clock = _Owner(), Clock()
        client = _client(owner, http_client, clock)
        client.watch_instances()
        client.watch_instances()
        clock.advance(INSTANCES_RETRY_DELAY_SECONDS)
        client.watch_instances()
        self.assertEqual("/v1/watch/instances?after=7", http_client.paths[1])
        self.assertEqual("/v1/watch/instances?after=0", http_client.paths[2])
        self.assertEqual([frozenset("a"), frozenset("b")], owner.live)

    def test_an_odd_entry_hides_no_instance(self) -> None:
        """Guards against a list that is no longer followed for one odd entry."""
        for odd in (b"7", b"null", b"[[[{}]]]", b"1e999", b"9" * 5_000):
            content = b'{"live": ["a", %s, "b"], "leaving": [%s, "c"]}' % (odd, odd)
            owner = _Owner()
            client = _client(owner, _ScriptedHttpClient(("7", content)), Clock())
            client.watch_instances()
            self.assertEqual([frozenset("ab")], owner.live, odd[:20])

    def test_another_manifest_under_the_watched_version_is_handled(self) -> None:
        """Guards against a manifest under a version that was given out again."""
        http_client = _ScriptedHttpClient(("7", b"one"), ("7", b"two"), ("7", b"two"))
        owner = _Owner()
        client = _client(owner, http_client, Clock())
        for after in ("", "7", "7"):
            client.watch_manifest(after)
        self.assertEqual(
            ([b"one", b"two"], 1), (owner.manifests, owner.unchanged_count)
        )
