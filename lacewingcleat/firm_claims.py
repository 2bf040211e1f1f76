"""coordination: division of a server's slots between firms.

The sheet gives each firm a share of a pool during its hours. The share is converted to
a whole number of slots, the firm's claim. A firm that runs fewer requests than its
claim may start work in any free slot. Beyond its claim, a firm uses unclaimed slots
first and then borrows idle slots of other firms. No work is started in borrowed slots
while a firm below its claim has work waiting. Running work is never interrupted, so a
firm gets its slots back when the borrowers' requests end.
"""

from collections.abc import Collection, Mapping


def apportion_slots(slots: int, share_by_firm: Mapping[str, float]) -> dict[str, int]:
    """Convert shares to whole slots by the largest-remainder method.

    Shares that add up to more than 1 are scaled down, so that the claims never exceed
    the slots. Each positive share gets at least one slot if there are enough, because a
    firm whose claim is rounded down to zero would have no priority over borrowers.

    :param share_by_firm: shares of the current hour, 0 to 1.
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

    :param slots: number of requests that the server runs concurrently.
    """

    __slots__ = ("_claim_by_firm", "_running_by_firm", "_share_by_firm", "_slots")

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._share_by_firm: dict[str, float] = {}
        self._claim_by_firm: dict[str, int] = {}
        self._running_by_firm: dict[str, int] = {}

    @property
    def slots(self) -> int:
        """Return the number of requests that the server runs concurrently."""
        return self._slots

    @property
    def total_running(self) -> int:
        """Return the number of running requests of all firms."""
        return sum(self._running_by_firm.values())

    def claimed_slots(self, firm: str) -> int:
        """Return the number of slots that a firm claims in the current hour."""
        return self._claim_by_firm.get(firm, 0)

    def running_requests(self, firm: str) -> int:
        """Return the number of running requests of a firm."""
        return self._running_by_firm.get(firm, 0)

    def borrowed_slots(self, firm: str) -> int:
        """Return the number of slots that a firm uses beyond its claim."""
        return max(0, self.running_requests(firm) - self.claimed_slots(firm))

    def set_slots(self, slots: int) -> None:
        """Set the number of slots; running requests in excess of it continue."""
        self._slots = slots
        self._claim_by_firm = apportion_slots(slots, self._share_by_firm)

    def set_shares(self, share_by_firm: Mapping[str, float]) -> None:
        """Apply the shares of the current hour.

        :param share_by_firm: shares from `claimed_shares`, 0 to 1.
        """
        self._share_by_firm = dict(share_by_firm)
        self._claim_by_firm = apportion_slots(self._slots, self._share_by_firm)

    def may_start(self, firm: str, waiting_firms: Collection[str]) -> bool:
        """Return whether a firm may start a request now.

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
        """Return the number of slots that a firm can use while it has work waiting.

        These are all slots except the claims of other firms that have work waiting, but
        at least the firm's own claim.

        :param waiting_firms: firms that have work waiting at this server.
        """
        claimed_by_others = sum(
            self.claimed_slots(other) for other in waiting_firms if other != firm
        )
        return max(self.claimed_slots(firm), self._slots - claimed_by_others)

    def start(self, firm: str) -> None:
        """Record that a request of a firm has started."""
        self._running_by_firm[firm] = self.running_requests(firm) + 1

    def finish(self, firm: str) -> None:
        """Record that a request of a firm has ended."""
        remaining = self.running_requests(firm) - 1
        if remaining > 0:
            self._running_by_firm[firm] = remaining
        else:
            self._running_by_firm.pop(firm, None)
