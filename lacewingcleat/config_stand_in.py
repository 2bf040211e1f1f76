"""transport: minimal configuration service for demos and tests.

As with the real service, the HTTP interface allows only reads and watches; new sheets
are published in-process by `publish`. Each read and each watch counts as one call.
"""

from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IDelayedCall

from lacewingcleat.http_server import BoundedFactory, BoundedRequest
from lacewingcleat.sheet_parts import encode_manifest, split_sheet

WATCH_WAIT_SECONDS = 25.0
VALUE_PATH = "/v1/values/"
WATCH_PATH = "/v1/watch/"
MANIFEST_KEY = "manifest"
PART_KEY_PREFIX = "part/"
MAX_VALUE_BYTES = 1 << 20


@dataclass(slots=True)
class _Value:
    content: bytes
    version: int


@dataclass(slots=True)
class _Watch:
    request: BoundedRequest
    key: str
    timer: IDelayedCall


class StandInConfigService:
    """Store versioned values in memory and respond to reads and watches of them."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._value_by_key: dict[str, _Value] = {}
        self._watches: list[_Watch] = []
        self.call_count = 0
        self.factory = BoundedFactory(self.handle)

    @property
    def has_sheet(self) -> bool:
        """Return whether a sheet has been published."""
        return MANIFEST_KEY in self._value_by_key

    def publish(self, sheet: Any) -> None:
        """Publish a sheet document, split into a manifest and its parts."""
        split = split_sheet(sheet)
        for digest, part in split.part_by_digest.items():
            self.set_value(PART_KEY_PREFIX + digest, part)
        self.set_value(MANIFEST_KEY, encode_manifest(split.manifest))

    def set_value(self, key: str, content: bytes) -> None:
        """Set a value and respond to its watches, unless it is unchanged."""
        if len(content) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {key} exceeds {MAX_VALUE_BYTES} bytes")
        current = self._value_by_key.get(key)
        if current is not None and current.content == content:
            return
        version = current.version + 1 if current is not None else 1
        self._value_by_key[key] = _Value(content, version)
        completed_watches = [watch for watch in self._watches if watch.key == key]
        self._watches = [watch for watch in self._watches if watch.key != key]
        for watch in completed_watches:
            if watch.timer.active():  # type: ignore[misc]
                watch.timer.cancel()  # type: ignore[misc]
            self._respond(watch.request, key)

    def handle(self, request: BoundedRequest) -> None:
        """Respond to a read, or to a watch once its value has changed."""
        self.call_count += 1
        path = request.path_text()
        if path.startswith(VALUE_PATH):
            self._respond(request, path.removeprefix(VALUE_PATH))
            return
        if not path.startswith(WATCH_PATH):
            request.respond(404, "text/plain", b"no such path\n")
            return
        key = path.removeprefix(WATCH_PATH)
        after = int(request.args.get(b"after", [b"0"])[0])
        value = self._value_by_key.get(key)
        if value is not None and value.version > after:
            self._respond(request, key)
            return
        timer = self._reactor.callLater(
            WATCH_WAIT_SECONDS, self._end_watch, request, key
        )
        self._watches.append(_Watch(request, key, timer))

    def _end_watch(self, request: BoundedRequest, key: str) -> None:
        self._watches = [item for item in self._watches if item.request is not request]
        self._respond(request, key)

    def _respond(self, request: BoundedRequest, key: str) -> None:
        value = self._value_by_key.get(key)
        if value is None:
            request.respond(404, "text/plain", b"no such key\n")
            return
        request.setHeader(b"X-Version", str(value.version).encode())
        request.respond(200, "application/octet-stream", value.content)
