"""coordination: whether an entry may grant leases as the home entry of an account.

Entries vote for a view of their zone by its digest. A vote echoes a challenge of the
receiver, so the receiver knows a moment after which the vote was sent, however late it
arrives; it counts for `VOTE_VALIDITY_SECONDS` from that moment. An entry changes its vote only
after `VOTE_VALIDITY_SECONDS` plus a margin of silence. Two majorities of the expected entries
share an entry, so at any time at most one view holds a majority, and under one view an
account has one home entry.

A home entry remembers no promise that another one made. It therefore grants only after
it has held its authority for longer than any lease or loan lasts. A home entry that
lost its authority for less than that time goes on at once, because no other one can
have granted meanwhile.
"""

from dataclasses import dataclass
from math import inf

from lacewingcleat.identity import Peer
from lacewingcleat.rendezvous import rank_by_rendezvous

# Largest relative drift between two clocks that the promises tolerate.
DRIFT_MARGIN = 0.1
LEASE_SECONDS = 2.0
LOAN_SECONDS = 6.0
VOTE_VALIDITY_SECONDS = 3.0
# Silence before an entry votes for another view.
VOTE_CHANGE_DELAY_SECONDS = VOTE_VALIDITY_SECONDS * (1.0 + DRIFT_MARGIN)
# The longest promise that a former home entry may have made.
MAX_PROMISE_SECONDS = LOAN_SECONDS * (1.0 + DRIFT_MARGIN)
# Unbroken time after which a new home entry grants, with the drift of its own clock.
NEW_HOME_DELAY_SECONDS = MAX_PROMISE_SECONDS * (1.0 + DRIFT_MARGIN)
# Periods of authority that ended longer ago than this are forgotten.
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
    """Follow the votes for one entry's view of its zone.

    :param me: the entry.
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
        # A challenge of an earlier incarnation must not count for this one.
        self._challenge = int(me.incarnation[:10] or "0", 16) << 23
        self._sent_at_by_challenge: dict[int, float] = {}

    def update_view(
        self,
        entry_names: tuple[str, ...],
        view_digest: str,
        expected_entries: int,
        now: float,
    ) -> None:
        """Take over the present view of the zone.

        :param entry_names: instance names of the live entries.
        :param expected_entries: entries that the sheet expects in the zone.
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
        """Return a new challenge to be sent now."""
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
        """Count the vote of an entry of the zone.

        :param voter: its instance name; a restarted entry has one vote like any other.
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
        """Return whether a majority shares the present view."""
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
            # Without a sheet that names the zone, no number of votes is a majority.
            return
        vote_ends = sorted(
            (
                vote.valid_until
                for vote in self._vote_by_instance.values()
                if vote.digest == self._view_digest
            ),
            reverse=True,
        )
        # More entries than the sheet expects must not form two majorities.
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
