"""coordination: find what requests that crash servers have in common.

A server that crashes when it starts to answer a request makes suspects of the request
and of each prompt segment that it shares with others. A suspect is cleared by an answer
that gets past its start. What is in several crashes and is not cleared is refused.

The evidence is a set of crashes with their suspects and the cleared ones. Sets of
several entries are merged in any order with the same result, so entries may exchange
them over messages that are lost, repeated or late.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from hashlib import blake2b

import msgspec

RETENTION_SECONDS = 900.0
# Crashes after which a suspect is refused.
MIN_CRASHES = 3
# The same for a suspect that was cleared of another crash: it has once been answered.
MIN_CRASHES_ONCE_CLEARED = 6
# An answer this long before a crash still clears a suspect of it.
ANSWERED_BEFORE_CRASH_SECONDS = 10.0
# Time for which a suspect that was answered may be sent again after a crash.
ANSWER_MEMORY_SECONDS = 60.0
MAX_ANSWERED = 4_096
MAX_CRASHES = 64
MAX_SUSPECTS_PER_CRASH = 64
# Keeps a message within one packet of common networks.
MAX_MESSAGE_BYTES = 1_100
RECORD_OVERHEAD_BYTES = 16


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """Describe the crash of a server with the suspects known to the sender.

    :param crash_id: name and start time of the server that crashed.
    :param age: seconds since the crash.
    :param suspects: suspects that are not cleared.
    :param cleared: suspects that are cleared of this crash.
    """

    crash_id: str
    age: float
    suspects: list[str]
    cleared: list[str] = []

    def size(self) -> int:
        """Return the approximate size of the record in a message."""
        names = (self.crash_id, *self.suspects, *self.cleared)
        return RECORD_OVERHEAD_BYTES + sum(len(name) + 2 for name in names)


class _Crash:
    __slots__ = ("cleared", "crashed_at", "suspects")

    def __init__(self, crashed_at: float) -> None:
        self.crashed_at = crashed_at
        self.suspects: set[str] = set()
        self.cleared: set[str] = set()


class CrashEvidence:
    """Store the crashes and suspects that one process knows."""

    __slots__ = (
        "_answered_at_by_name",
        "_cleared_once",
        "_crash_by_id",
        "_crash_ids_by_suspect",
        "_digest",
    )

    def __init__(self) -> None:
        self._crash_by_id: dict[str, _Crash] = {}
        self._crash_ids_by_suspect: dict[str, set[str]] = {}
        self._cleared_once: set[str] = set()
        self._answered_at_by_name: OrderedDict[str, float] = OrderedDict()
        self._digest = 0

    def __len__(self) -> int:
        """Return the number of known crashes."""
        return len(self._crash_by_id)

    @property
    def digest(self) -> int:
        """Return a hash of the evidence, 0 if there is none."""
        return self._digest

    @property
    def refused_count(self) -> int:
        """Return the number of suspects in enough crashes to be refused."""
        return sum(map(self._has_enough_crashes, self._crash_ids_by_suspect))

    def record_crash(
        self, crash_id: str, suspects: Collection[str], now: float
    ) -> bool:
        """Record a crash and return whether this adds to the evidence."""
        suspected = self.unanswered(suspects, now)
        cleared = [name for name in suspects if name not in suspected]
        return self.merge([CrashRecord(crash_id, 0.0, suspected, cleared)], now)

    def unanswered(self, names: Iterable[str], now: float) -> list[str]:
        """Return what no recent answer clears of a crash at the present time."""
        answered_after = now - ANSWERED_BEFORE_CRASH_SECONDS
        return [
            name for name in names if not self._is_answered_after(name, answered_after)
        ]

    def is_suspect(self, name: str) -> bool:
        """Return whether a name is a suspect in any crash."""
        return name in self._crash_ids_by_suspect

    def record_answered(self, names: Iterable[str], now: float) -> dict[str, list[str]]:
        """Record that a server has survived the start of an answer.

        :returns: the crashes of which this clears suspects, by suspect.
        """
        crash_ids_by_suspect = {}
        for name in names:
            self._answered_at_by_name[name] = now
            self._answered_at_by_name.move_to_end(name)
            crash_ids = self._crash_ids_by_suspect.get(name)
            if crash_ids:
                crash_ids_by_suspect[name] = sorted(crash_ids)
        while len(self._answered_at_by_name) > MAX_ANSWERED:
            self._answered_at_by_name.popitem(last=False)
        for name, cleared_ids in crash_ids_by_suspect.items():
            self.record_clearance(name, cleared_ids, now)
        return crash_ids_by_suspect

    def record_clearance(
        self, suspect: str, crash_ids: Iterable[str], now: float
    ) -> bool:
        """Clear a suspect of crashes and return whether this adds to the evidence."""
        records = [CrashRecord(name, 0.0, [], [suspect]) for name in crash_ids]
        return self.merge(records, now)

    def merge(self, records: Iterable[CrashRecord], now: float) -> bool:
        """Add the evidence of another process and return whether any of it is new."""
        changed = any([self._merge_record(record, now) for record in records])
        if changed:
            self._discard_oldest()
            self._rebuild()
        return changed

    def _merge_record(self, record: CrashRecord, now: float) -> bool:
        if not 0.0 <= record.age < RETENTION_SECONDS:
            return False
        crash = self._crash_by_id.get(record.crash_id)
        is_new = crash is None
        if crash is None:
            crash = self._crash_by_id[record.crash_id] = _Crash(now - record.age)
        sizes = (len(crash.suspects), len(crash.cleared))
        crash.cleared.update(record.cleared[:MAX_SUSPECTS_PER_CRASH])
        crash.suspects.update(record.suspects[:MAX_SUSPECTS_PER_CRASH])
        crash.suspects -= crash.cleared
        return is_new or sizes != (len(crash.suspects), len(crash.cleared))

    def expire(self, now: float) -> None:
        """Discard the crashes that are too old to count."""
        expired = [
            crash_id
            for crash_id, crash in self._crash_by_id.items()
            if now - crash.crashed_at >= RETENTION_SECONDS
        ]
        for crash_id in expired:
            del self._crash_by_id[crash_id]
        if expired:
            self._rebuild()

    def find_refused(self, names: Collection[str]) -> str | None:
        """Return the name for which a request with these names is refused, if any.

        A suspect whose crashes are all explained by another one is not refused. If
        several are in the same crashes, any of them may be the cause, so only requests
        with all of them are refused.
        """
        for name in names:
            if not self._has_enough_crashes(name):
                continue
            crash_ids = self._crash_ids_by_suspect[name]
            others = [
                other
                for other, other_ids in self._crash_ids_by_suspect.items()
                if other_ids >= crash_ids and self._has_enough_crashes(other)
            ]
            explained = any(
                len(self._crash_ids_by_suspect[other]) > len(crash_ids)
                for other in others
            )
            if not explained and all(other in names for other in others):
                return name
        return None

    def may_send_again(self, names: Iterable[str], now: float) -> bool:
        """Return whether all of these names have recently been answered.

        Others may have crashed the server and would crash a second one.
        """
        answered_after = now - ANSWER_MEMORY_SECONDS
        return all(self._is_answered_after(name, answered_after) for name in names)

    def records(self, now: float) -> list[CrashRecord]:
        """Return all evidence to send to another process."""
        return [
            CrashRecord(
                crash_id,
                round(now - crash.crashed_at, 2),
                sorted(crash.suspects),
                sorted(crash.cleared),
            )
            for crash_id, crash in self._crash_by_id.items()
        ]

    def _is_answered_after(self, name: str, moment: float) -> bool:
        return self._answered_at_by_name.get(name, float("-inf")) >= moment

    def _has_enough_crashes(self, name: str) -> bool:
        once_cleared = name in self._cleared_once
        limit = MIN_CRASHES_ONCE_CLEARED if once_cleared else MIN_CRASHES
        return len(self._crash_ids_by_suspect.get(name, ())) >= limit

    def _discard_oldest(self) -> None:
        while len(self._crash_by_id) > MAX_CRASHES:
            oldest = min(
                self._crash_by_id,
                key=lambda crash_id: self._crash_by_id[crash_id].crashed_at,
            )
            del self._crash_by_id[oldest]

    def _rebuild(self) -> None:
        self._crash_ids_by_suspect = {}
        self._cleared_once = set()
        digest = blake2b(digest_size=6)
        for crash_id, crash in sorted(self._crash_by_id.items()):
            self._cleared_once |= crash.cleared
            for suspect in crash.suspects:
                self._crash_ids_by_suspect.setdefault(suspect, set()).add(crash_id)
            parts = (crash_id, *sorted(crash.suspects), "", *sorted(crash.cleared))
            digest.update("\n".join(parts).encode())
        self._digest = int.from_bytes(digest.digest()) if self._crash_by_id else 0


def split_into_messages(records: Iterable[CrashRecord]) -> list[list[CrashRecord]]:
    """Split records into lists that each fit into one message."""
    messages: list[list[CrashRecord]] = []
    size = MAX_MESSAGE_BYTES
    for record in records:
        size += record.size()
        if size > MAX_MESSAGE_BYTES:
            messages.append([])
            size = record.size()
        messages[-1].append(record)
    return messages
