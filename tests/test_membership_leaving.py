"""Regression test for a sequence found by `MembershipMachine`."""

from testtools import TestCase

from tests.test_safety_machines import MembershipMachine

# A server marked "!" starts to leave after 30 s without faults and must receive no work
# 3 s later; an unmarked server starts to leave immediately.
STEPS = (
    "sb2! sa2! sb1! sb2! sb2! sa2! sb1! sa1 sb2! sa2 sb1 sa1 sa1! sa2! sb1 "
    "sb2! sa2 sb1! sa1! sb1! sb1! sa1 sa1! sb1 sa2 sa1! sa1! sb1! sb2! sb1 "
    "sb2! sb1 sb1! sa1 sa1 sb2 sb2 sb2 sb2 sb2! sb1! sb1! sb2! sa1 sa2! "
    "sb2! sb2! "
)


class RepeatedLeavingTest(TestCase):
    def test_leaving_server_receives_no_work_after_3_s(self) -> None:
        """Guards against new work for a leaving server after 3 s (P5).

        The steps take over 15 min, so notices of the first servers would expire.
        """
        machine = MembershipMachine()
        self.addCleanup(machine.teardown)
        for step in STEPS.split():
            if step.endswith("!"):
                machine.leave_without_faults(step[:-1])
            else:
                machine.leave(step)
