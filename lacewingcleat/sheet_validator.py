"""coordination: decide whether a complete revision may come into force."""

from collections import deque
from dataclasses import replace

from result import Err

from lacewingcleat.actions import Alarm
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_check import PartCache, check_parts
from lacewingcleat.sheet_parts import Manifest
from lacewingcleat.sheet_store import SheetStore

KEPT_REFUSALS = 64


class SheetGate:
    """Check revisions, and remember those that were refused.

    :param with_accounts: whether the process holds account parts.
    :param cache: shared by relays that run in one process, such as in the demo.
    """

    __slots__ = ("_cache", "_refused", "_store", "_with_accounts")

    def __init__(
        self,
        store: SheetStore,
        with_accounts: bool,
        cache: PartCache | None,
    ) -> None:
        self._store = store
        self._with_accounts = with_accounts
        self._cache = cache or PartCache()
        self._refused: deque[str] = deque(maxlen=KEPT_REFUSALS)

    def is_refused(self, digest: str) -> bool:
        """Return whether a revision with this digest has failed the check."""
        return digest in self._refused

    def check(self, manifest: Manifest, in_force: Sheet | None) -> Sheet | Alarm:
        """Build the sheet of a manifest whose parts are held, or say what is wrong."""
        digest = manifest.digest
        if in_force is not None and not self._with_accounts:
            if in_force.routing_digest == manifest.routing_digest:
                # Only accounts differ, which this process does not hold.
                return replace(in_force, revision=manifest.revision, digest=digest)
        checked = check_parts(
            manifest,
            self._store.parts_of(manifest),
            f"revision {manifest.revision}",
            self._cache,
            self._with_accounts,
        )
        if isinstance(checked, Err):
            findings = checked.err_value
            self._refused.append(digest)
            text = f"{len(findings)} findings, the first: {findings[0]}"
            return Alarm("sheet-refused", text)
        return checked.ok_value
