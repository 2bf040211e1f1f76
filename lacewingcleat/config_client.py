"""transport: reads and watches of the configuration service."""

from collections.abc import Iterable
from typing import Any, Protocol

import msgspec
from result import Err
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from lacewingcleat.clock import read_now
from lacewingcleat.http_client import RelayClient, first_header
from lacewingcleat.membership import Membership
from lacewingcleat.peer_table import PlatformList
from lacewingcleat.relay_actions import RelayAction
from lacewingcleat.sheet_relay import SheetRelay

READ_TIMEOUT_SECONDS = 2.0
# Longer than the 25 s after which the service answers a watch without news.
WATCH_TIMEOUT_SECONDS = 28.0
MAX_VALUE_BYTES = 1 << 20
VERSION_HEADER = "X-Version"
INSTANCES_RETRY_SECONDS = 5.0


class _Instances(msgspec.Struct):
    live: list[str]
    leaving: list[str] = []


class RelayOwner(Protocol):
    """Describe the node that holds the relay."""

    relay: SheetRelay
    membership: Membership

    def perform(self, actions: Iterable[RelayAction]) -> None:
        """Carry out actions."""


class ConfigClient:
    """Read the configuration service for a sheet relay.

    :param address: IP and port of the service.
    """

    def __init__(
        self,
        reactor: Any,
        client: RelayClient,
        address: str,
        owner: RelayOwner,
    ) -> None:
        self._client = client
        self._address = address
        self._owner = owner
        self._reactor = reactor
        self._watch: defer.Deferred[None] | None = None
        self._instances: defer.Deferred[None] | None = None
        self._instances_version = ""

    def watch_manifest(self, after: str) -> None:
        """Watch the manifest, in place of an open watch."""
        if self._watch is not None:
            self._watch.cancel()
        self._watch = defer.ensureDeferred(self._watch_manifest(after))
        self._watch.addErrback(_ignore_cancel)

    def fetch_part(self, digest: str) -> None:
        """Read a part."""
        reading = defer.ensureDeferred(self._fetch_part(digest))
        reading.addErrback(_ignore_cancel)

    def watch_instances(self) -> None:
        """Watch the platform's list of instances, unless that is under way."""
        if self._instances is None:
            self._instances = defer.ensureDeferred(self._watch_instances())
            self._instances.addErrback(_ignore_cancel)
            self._instances.addBoth(self._instances_ended)

    def stop(self) -> None:
        """Give up the open watches."""
        for watch in (self._watch, self._instances):
            if watch is not None:
                watch.cancel()

    def _instances_ended(self, _result: object) -> None:
        self._instances = None

    async def _watch_instances(self) -> None:
        path = f"/v1/watch/instances?after={self._instances_version or 0}"
        read = await self._read(path, WATCH_TIMEOUT_SECONDS)
        if read is None:
            # The list is optional and old by nature, so its loss is no reason to hurry.
            await task.deferLater(self._reactor, INSTANCES_RETRY_SECONDS, lambda: None)
            return
        self._instances_version, content = read
        try:
            listed = msgspec.json.decode(content, type=_Instances)
        except (msgspec.MsgspecError, RecursionError):
            return
        platform = PlatformList(frozenset(listed.live), frozenset(listed.leaving))
        self._owner.membership.update_platform(platform, read_now())

    async def _watch_manifest(self, after: str) -> None:
        path = f"/v1/watch/manifest?after={after or 0}"
        read = await self._read(path, WATCH_TIMEOUT_SECONDS)
        relay = self._owner.relay
        now = read_now()
        if read is None:
            self._owner.perform(relay.manifest_failed(now))
            return
        version, content = read
        if version == after:
            self._owner.perform(relay.manifest_unchanged(now))
            return
        self._owner.perform(relay.manifest_read(content, version, now))

    async def _fetch_part(self, digest: str) -> None:
        read = await self._read(f"/v1/values/part/{digest}", READ_TIMEOUT_SECONDS)
        relay = self._owner.relay
        now = read_now()
        if read is None:
            self._owner.perform(relay.part_failed(digest, now))
            return
        self._owner.perform(relay.part_read(digest, read[1], now))

    async def _read(self, path: str, timeout: float) -> tuple[str, bytes] | None:
        fetched = await self._client.fetch(
            "GET",
            self._address,
            path,
            Headers(),
            b"",
            timeout,
            MAX_VALUE_BYTES,
        )
        if isinstance(fetched, Err):
            return None
        response, content = fetched.ok_value
        if response.code != 200:
            return None
        return first_header(response.headers, VERSION_HEADER), content


def _ignore_cancel(failure: Any) -> None:
    failure.trap(defer.CancelledError)
