"""transport: HTTP client for reads and watches of the configuration service."""

from collections.abc import Iterable
from typing import Any, Protocol

import msgspec
from result import Err
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from lacewingcleat.clock import read_now
from lacewingcleat.http_client import HttpClient, first_header
from lacewingcleat.logs import ComponentLogger
from lacewingcleat.membership import Membership
from lacewingcleat.peer_table import PlatformList
from lacewingcleat.relay_actions import RelayAction
from lacewingcleat.sheet_relay import SheetRelay

READ_TIMEOUT_SECONDS = 2.0
# Longer than the 25 s after which the service responds to a watch without a change.
WATCH_TIMEOUT_SECONDS = 28.0
MAX_VALUE_BYTES = 1 << 20
VERSION_HEADER = "X-Version"
INSTANCES_RETRY_DELAY_SECONDS = 5.0
_LOG = ComponentLogger("config")


class _InstanceList(msgspec.Struct):
    """Represent the list of instances; an entry that is no name stands for nobody."""

    live: list[msgspec.Raw]
    leaving: list[msgspec.Raw] = []


class RelayOwner(Protocol):
    """Specify what the client needs of the node that owns the relay."""

    relay: SheetRelay
    membership: Membership

    def perform(self, actions: Iterable[RelayAction]) -> None:
        """Carry out the actions that the relay returned."""


class ConfigClient:
    """Read manifests, parts and the list of instances, and pass them to their owner.

    :param client: HTTP client.
    :param address: IP and port of the configuration service.
    :param owner: node whose relay and membership receive the results.
    """

    def __init__(
        self,
        reactor: Any,
        client: HttpClient,
        address: str,
        owner: RelayOwner,
    ) -> None:
        self._client = client
        self._address = address
        self._owner = owner
        self._reactor = reactor
        self._manifest_watch: defer.Deferred[None] | None = None
        self._instances_watch: defer.Deferred[None] | None = None
        self._instances_version = ""
        self._manifest = b""

    def watch_manifest(self, after: str) -> None:
        """Watch the manifest; an open watch is cancelled.

        :param after: version after which a change is reported, empty to read at once.
        """
        if self._manifest_watch is not None:
            self._manifest_watch.cancel()
        self._manifest_watch = defer.ensureDeferred(self._watch_manifest(after))
        self._manifest_watch.addErrback(_ignore_cancel)

    def read_part(self, digest: str) -> None:
        """Read a part by its digest."""
        pending_read = defer.ensureDeferred(self._read_part(digest))
        pending_read.addErrback(_ignore_cancel)

    def watch_instances(self) -> None:
        """Watch the platform's list of instances, unless a watch is open."""
        if self._instances_watch is None:
            self._instances_watch = defer.ensureDeferred(self._watch_instances())
            self._instances_watch.addErrback(_ignore_cancel)
            self._instances_watch.addBoth(self._clear_instances_watch)

    def stop(self) -> None:
        """Cancel the open watches."""
        for watch in (self._manifest_watch, self._instances_watch):
            if watch is not None:
                watch.cancel()

    def _clear_instances_watch(self, _result: object) -> None:
        self._instances_watch = None

    async def _watch_instances(self) -> None:
        path = f"/v1/watch/instances?after={self._instances_version or 0}"
        result = await self._read(path, WATCH_TIMEOUT_SECONDS)
        if result is None:
            # The service may have been restored and versions given out again. The list
            # is optional and always somewhat outdated, so a longer retry delay is
            # sufficient.
            self._instances_version = ""
            await task.deferLater(
                self._reactor, INSTANCES_RETRY_DELAY_SECONDS, lambda: None
            )
            return
        self._instances_version, content = result
        try:
            listed = msgspec.json.decode(content, type=_InstanceList)
        except (msgspec.MsgspecError, RecursionError) as error:
            _LOG.warning(f"the list of instances cannot be read: {error}")
            return
        live, leaving = _decode_names(listed.live), _decode_names(listed.leaving)
        platform = PlatformList(live, leaving)
        self._owner.membership.update_platform_list(platform, read_now())

    async def _watch_manifest(self, after: str) -> None:
        path = f"/v1/watch/manifest?after={after or 0}"
        result = await self._read(path, WATCH_TIMEOUT_SECONDS)
        relay = self._owner.relay
        now = read_now()
        if result is None:
            self._owner.perform(relay.handle_manifest_failure(now))
            return
        version, content = result
        # A service that was restored from a copy gives versions out again.
        if version == after and content == self._manifest:
            self._owner.perform(relay.handle_manifest_unchanged(now))
            return
        self._manifest = content
        self._owner.perform(relay.handle_manifest(content, version, now))

    async def _read_part(self, digest: str) -> None:
        result = await self._read(f"/v1/values/part/{digest}", READ_TIMEOUT_SECONDS)
        relay = self._owner.relay
        now = read_now()
        if result is None:
            self._owner.perform(relay.handle_part_failure(digest, now))
            return
        self._owner.perform(relay.handle_part(digest, result[1], now))

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


def _decode_names(entries: list[msgspec.Raw]) -> frozenset[str]:
    """Return the names among the entries, each of which is decoded on its own."""
    names = set()
    for entry in entries:
        try:
            names.add(msgspec.json.decode(entry, type=str))
        except (ValueError, RecursionError) as error:
            _LOG.warning(f"an entry of the list of instances is no name: {error}")
    return frozenset(names)


def _ignore_cancel(failure: Any) -> None:
    failure.trap(defer.CancelledError)
