"""coordination: validate complete revisions before they are put in force."""

from collections import deque
from dataclasses import replace

from result import Err

from lacewingcleat.actions import Alarm
from lacewingcleat.sheet import Sheet
from lacewingcleat.sheet_check import PartCache, check_parts
from lacewingcleat.sheet_parts import Manifest
from lacewingcleat.sheet_store import SheetStore

MAX_REFUSED_DIGESTS = 64


class SheetValidator:
    """Validate revisions and remember the digests of those that were refused.

    A refused revision is neither fetched nor validated again.

    :param with_accounts: whether the process holds account parts.
    :param cache: cache of checked parts, shared by relays in the same process, such as
        in the demo.
    """

    __slots__ = ("_cache", "_refused_digests", "_store", "_with_accounts")

    def __init__(
        self,
        store: SheetStore,
        with_accounts: bool,
        cache: PartCache | None,
    ) -> None:
        self._store = store
        self._with_accounts = with_accounts
        self._cache = cache or PartCache()
        self._refused_digests: deque[str] = deque(maxlen=MAX_REFUSED_DIGESTS)

    def is_refused(self, digest: str) -> bool:
        """Return whether a revision with this digest has failed validation."""
        return digest in self._refused_digests

    def validate(self, manifest: Manifest, in_force: Sheet | None) -> Sheet | Alarm:
        """Validate a manifest whose parts are held, and build its sheet.

        :param in_force: sheet that the revision replaces.
        :return: the sheet, or the alarm to raise if it is invalid.
        """
        digest = manifest.digest
        if in_force is not None and not self._with_accounts:
            if in_force.routing_digest == manifest.routing_digest:
                # Only accounts have changed, and this process holds none.
                return replace(in_force, revision=manifest.revision, digest=digest)
        checked = check_parts(
            manifest,
            self._store.held_parts_by_name(manifest),
            f"revision {manifest.revision}",
            self._cache,
            self._with_accounts,
        )
        if isinstance(checked, Err):
            errors = checked.err_value
            self._refused_digests.append(digest)
            text = f"{len(errors)} validation errors, the first: {errors[0]}"
            return Alarm("sheet-refused", text)
        return checked.ok_value
