"""coordination: whether an entry may grant leases as the home entry of an account.

Entries vote for a view of their zone by its digest. A vote echoes a challenge that the
receiver issued, so the vote was sent after the challenge, even if it arrives late. It
is valid for `VOTE_VALIDITY_SECONDS` after the challenge was issued.

Before it votes for another view, an entry sends no votes for that time plus a margin
for clock drift. Any two majorities of the expected entries have an entry in common, so
at most one view has a majority at any time, and one view gives each account exactly
one home entry.

A new home entry does not know the promises of its predecessor. It therefore grants
leases only after it has held authority for longer than the longest lease or loan. A
home entry that lost its authority for a shorter time resumes at once, because no other
entry can have granted leases in between.
"""

from dataclasses import dataclass
from math import inf

from lacewingcleat.identity import Peer
from lacewingcleat.rendezvous import rank_by_rendezvous

# Maximum relative drift between two clocks for which leases and loans are safe.
DRIFT_MARGIN = 0.1
LEASE_SECONDS = 2.0
LOAN_SECONDS = 6.0
VOTE_VALIDITY_SECONDS = 3.0
# Pause without votes before an entry votes for another view.
VOTE_CHANGE_DELAY_SECONDS = VOTE_VALIDITY_SECONDS * (1.0 + DRIFT_MARGIN)
# Maximum remaining term of a promise by the previous home entry.
MAX_PROMISE_SECONDS = LOAN_SECONDS * (1.0 + DRIFT_MARGIN)
# Time for which a new home entry must hold authority without interruption before it
# grants leases; includes the drift of its own clock.
NEW_HOME_DELAY_SECONDS = MAX_PROMISE_SECONDS * (1.0 + DRIFT_MARGIN)
# Periods of authority that ended longer ago than this are deleted.
PERIOD_RETENTION_SECONDS = 60.0


@dataclass(slots=True)
class _AuthorityPeriod:
    entry_names: tuple[str, ...]
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class _Vote:
    digest: str
    challenge: int
    valid_until: float


class HomeAuthority:
    """Count the votes for one entry's view of its zone.

    :param me: the entry that this object runs in.
    """

    __slots__ = (
        "_challenge",
        "_entry_names",
        "_expected_entries",
        "_me",
        "_periods",
        "_sent_at_by_challenge",
        "_view_digest",
        "_vote_by_instance",
    )

    def __init__(self, me: Peer) -> None:
        self._me = me
        self._view_digest = ""
        self._entry_names: tuple[str, ...] = ()
        self._expected_entries = 0
        self._periods: list[_AuthorityPeriod] = []
        self._vote_by_instance: dict[str, _Vote] = {}
        # Challenges must differ from those of an earlier incarnation, else votes that
        # echo those would be accepted.
        self._challenge = int(me.incarnation[:10] or "0", 16) << 23
        self._sent_at_by_challenge: dict[int, float] = {}

    def update_view(
        self,
        entry_names: tuple[str, ...],
        view_digest: str,
        expected_entries: int,
        now: float,
    ) -> None:
        """Update the view of the zone.

        :param entry_names: instance names of the live entries.
        :param view_digest: digest of the view.
        :param expected_entries: number of entries in the zone according to the sheet.
        """
        if (entry_names, view_digest, expected_entries) == (
            self._entry_names,
            self._view_digest,
            self._expected_entries,
        ):
            return
        if self._periods:
            self._periods[-1].end = min(self._periods[-1].end, now)
        self._entry_names = entry_names
        self._view_digest = view_digest
        self._expected_entries = expected_entries
        self._update_periods(now)

    def issue_challenge(self, now: float) -> int:
        """Return a new challenge, to be sent immediately."""
        self._challenge += 1
        sent_at_by_challenge = self._sent_at_by_challenge
        sent_at_by_challenge[self._challenge] = now
        while next(iter(sent_at_by_challenge.values())) <= now - VOTE_VALIDITY_SECONDS:
            del sent_at_by_challenge[next(iter(sent_at_by_challenge))]
        return self._challenge

    def receive_vote(
        self,
        voter: str,
        view_digest: str,
        challenge: int,
        now: float,
    ) -> None:
        """Record the vote of an entry of the zone.

        :param voter: instance name of the entry; a restarted entry replaces the vote of
            its earlier incarnation.
        :param view_digest: digest of the view that the entry votes for.
        :param challenge: challenge that the vote echoes.
        """
        sent_at = self._sent_at_by_challenge.get(challenge)
        old = self._vote_by_instance.get(voter)
        if sent_at is None or (old is not None and old.challenge >= challenge):
            return
        valid_until = sent_at + VOTE_VALIDITY_SECONDS
        self._vote_by_instance[voter] = _Vote(view_digest, challenge, valid_until)
        for instance, vote in list(self._vote_by_instance.items()):
            if vote.valid_until <= now:
                del self._vote_by_instance[instance]
        self._update_periods(now)

    def has_majority(self, now: float) -> bool:
        """Return whether a majority of entries has a valid vote for this view."""
        return bool(self._periods) and now < self._periods[-1].end

    def may_grant(self, account: str, now: float) -> bool:
        """Return whether this entry may grant leases of an account now."""
        if not self.has_majority(now):
            return False
        since = inf
        end = -inf
        established = False
        for period in self._periods:
            if rank_by_rendezvous(account, period.entry_names)[0] != self._me.instance:
                continue
            interruption = period.start - end
            if interruption > 0.0 and not (
                established and interruption < MAX_PROMISE_SECONDS
            ):
                since = period.start
            end = min(period.end, now)
            established = end - since >= NEW_HOME_DELAY_SECONDS
        return end == now and established

    def _update_periods(self, now: float) -> None:
        if self._expected_entries == 0:
            # The size of a majority is unknown without a sheet that contains the zone.
            return
        vote_ends = sorted(
            (
                vote.valid_until
                for vote in self._vote_by_instance.values()
                if vote.digest == self._view_digest
            ),
            reverse=True,
        )
        # If more entries are live than the sheet configures, two groups could each hold
        # a majority of the configured number.
        majority = max(self._expected_entries, len(self._entry_names)) // 2 + 1
        if len(vote_ends) < majority or vote_ends[majority - 1] <= now:
            return
        end = vote_ends[majority - 1]
        last = self._periods[-1] if self._periods else None
        if last and last.entry_names == self._entry_names and last.end >= now:
            last.end = max(last.end, end)
            return
        self._periods.append(_AuthorityPeriod(self._entry_names, now, end))
        while self._periods[0].end < now - PERIOD_RETENTION_SECONDS:
            del self._periods[0]
