"""Servers that leave again and again, found by MembershipMachine."""

from testtools import TestCase

from tests.test_safety_machines import MembershipMachine

# A name with "!" leaves after 30 s without faults and must get no work 3 s later; one
# without leaves at once.
STEPS = (
    "sb2! sa2! sb1! sb2! sb2! sa2! sb1! sa1 sb2! sa2 sb1 sa1 sa1! sa2! sb1 "
    "sb2! sa2 sb1! sa1! sb1! sb1! sa1 sa1! sb1 sa2 sa1! sa1! sb1! sb2! sb1 "
    "sb2! sb1 sb1! sa1 sa1 sb2 sb2 sb2 sb2 sb2! sb1! sb1! sb2! sa1 sa2! "
    "sb2! sb2! "
)


class RepeatedLeavingTest(TestCase):
    def test_no_new_work_after_three_seconds(self) -> None:
        """Guards against an entry that sends work to a server that is leaving (P5)."""
        machine = MembershipMachine()
        self.addCleanup(machine.teardown)
        for step in STEPS.split():
            if step.endswith("!"):
                machine.leave_without_faults(step[:-1])
            else:
                machine.leave(step)
