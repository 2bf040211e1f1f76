"""coordination: which firm may use a server's slots now.

The sheet gives each firm a share of a pool during its hours. A share becomes a whole
number of slots. A firm within its claim may always start work in a free slot; beyond
it, the firm uses unclaimed slots first and then borrows the idle slots of other firms.
While the holder of a claim has work waiting, no borrower's work is started. Running
work is never interrupted, so a holder gets its slots back as the borrowed work ends.
"""

from collections.abc import Collection, Mapping


def apportion_slots(slots: int, share_by_firm: Mapping[str, float]) -> dict[str, int]:
    """Turn shares into whole slots by largest remainder.

    Shares that add up to more than 1 are scaled down, so that the claims never exceed
    the slots. A positive share gets at least one slot while there are enough, because
    a claim rounded down to nothing would never be served ahead of borrowers.

    :param share_by_firm: shares of the present hour, 0 to 1.
    """
    positive = {firm: share for firm, share in share_by_firm.items() if share > 0}
    total = sum(positive.values())
    scale = slots / max(total, 1.0)
    exact_slots_by_firm = {firm: share * scale for firm, share in positive.items()}
    claim_by_firm = {
        firm: int(amount + 1e-9) for firm, amount in exact_slots_by_firm.items()
    }
    remainder = round(sum(exact_slots_by_firm.values())) - sum(claim_by_firm.values())
    by_remainder = sorted(
        exact_slots_by_firm,
        key=lambda firm: (
            claim_by_firm[firm] > 0,
            claim_by_firm[firm] - exact_slots_by_firm[firm],
            firm,
        ),
    )
    for firm in by_remainder[: max(remainder, 0)]:
        claim_by_firm[firm] += 1
    return claim_by_firm


class FirmClaims:
    """Decide which firm may start work on a server.

    :param slots: requests that the server runs at once.
    """

    __slots__ = ("_claim_by_firm", "_running_by_firm", "_share_by_firm", "_slots")

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._share_by_firm: dict[str, float] = {}
        self._claim_by_firm: dict[str, int] = {}
        self._running_by_firm: dict[str, int] = {}

    @property
    def slots(self) -> int:
        """Return the requests that the server runs at once."""
        return self._slots

    @property
    def total_running(self) -> int:
        """Return the requests running for all firms."""
        return sum(self._running_by_firm.values())

    def claimed_slots(self, firm: str) -> int:
        """Return the slots that a firm claims in the present hour."""
        return self._claim_by_firm.get(firm, 0)

    def running_requests(self, firm: str) -> int:
        """Return the requests that run for a firm."""
        return self._running_by_firm.get(firm, 0)

    def borrowed_slots(self, firm: str) -> int:
        """Return the slots that a firm uses beyond its claim."""
        return max(0, self.running_requests(firm) - self.claimed_slots(firm))

    def set_slots(self, slots: int) -> None:
        """Change the size of the server; running work above it goes on."""
        self._slots = slots
        self._claim_by_firm = apportion_slots(slots, self._share_by_firm)

    def set_shares(self, share_by_firm: Mapping[str, float]) -> None:
        """Put the shares of the present hour in force.

        :param share_by_firm: shares from `hours.claim_share`, 0 to 1.
        """
        self._share_by_firm = dict(share_by_firm)
        self._claim_by_firm = apportion_slots(self._slots, self._share_by_firm)

    def may_start(self, firm: str, waiting_firms: Collection[str]) -> bool:
        """Return whether work of a firm may start now.

        :param waiting_firms: firms that have work waiting at this server.
        """
        if self.total_running >= self._slots:
            return False
        if self.running_requests(firm) < self.claimed_slots(firm):
            return True
        unclaimed = self._slots - sum(self._claim_by_firm.values())
        if sum(map(self.borrowed_slots, self._running_by_firm)) < unclaimed:
            return True
        return not any(
            other != firm and self.running_requests(other) < self.claimed_slots(other)
            for other in waiting_firms
        )

    def usable_slots(self, firm: str, waiting_firms: Collection[str]) -> int:
        """Return the slots that a firm can expect while it has work waiting.

        It may use all slots except those that other firms claim and have work for.
        """
        claimed_by_others = sum(
            self.claimed_slots(other) for other in waiting_firms if other != firm
        )
        return max(self.claimed_slots(firm), self._slots - claimed_by_others)

    def start(self, firm: str) -> None:
        """Count a request of a firm as running."""
        self._running_by_firm[firm] = self.running_requests(firm) + 1

    def finish(self, firm: str) -> None:
        """Count a request of a firm as ended."""
        remaining = self.running_requests(firm) - 1
        if remaining > 0:
            self._running_by_firm[firm] = remaining
        else:
            self._running_by_firm.pop(firm, None)
