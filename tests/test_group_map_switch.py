"""Test expert map switches in a simulated group that loses and delays orders."""

from collections.abc import Iterator
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from lacewingcleat.group_map_switch import (
    ORPHAN_AGE_SECONDS,
    GroupMapSwitch,
    HoldTracker,
    SwitchResult,
)
from lacewingcleat.map_orders import ArmMap, FencedOrder, HoldPass, PrepareMap
from tests.builders_direct import SimulatedGroup, SimulatedPort, run_coroutine

EXPERTS = (((0,), (1,)),)
SIZE = 4


def _switch(group: SimulatedGroup, version: int, token: int) -> SwitchResult:
    port = SimulatedPort(group)
    switch = GroupMapSwitch(port, SIZE, HoldTracker())
    states = run_coroutine(port.read(range(SIZE)))
    result = run_coroutine(
        switch.switch(version, EXPERTS, states, token, group.pass_seconds)
    )
    assert isinstance(result, SwitchResult)
    return result


def _recover(group: SimulatedGroup, token: int, orphans: HoldTracker) -> object:
    port = SimulatedPort(group)
    states = run_coroutine(port.read(range(SIZE)))
    return run_coroutine(GroupMapSwitch(port, SIZE, orphans).recover(states, token))


class GroupMapSwitchTest(TestCase):
    def _group(self, seed: int = 1, lost: float = 0.0) -> SimulatedGroup:
        group = SimulatedGroup(SIZE, Random(seed), lost, 0.5)
        group.advance(0.5)
        return group

    def test_all_ranks_switch_without_delay(self) -> None:
        """Guards against a switch that delays the passes of the group."""
        group = self._group()
        before = group.step
        end = _switch(group, 10, 100)
        self.assertTrue(end.switched, end.reason)
        group.advance(2.0)
        self.assertEqual({10}, {rank.mapping for rank in group.ranks})
        self.assertGreater(group.step, before + 30)

    def test_no_rank_switches_if_one_refuses_to_prepare(self) -> None:
        """Guards against a switch of some ranks while one is not prepared.

        The rank has a higher map version already and refuses to prepare this one.
        """
        group = self._group()
        group.ranks[2].versions.add(99)
        end = _switch(group, 10, 100)
        group.advance(2.0)
        self.assertFalse(end.switched)
        self.assertEqual({0}, {rank.mapping for rank in group.ranks})

    def test_a_hold_of_a_dead_leader_is_released(self) -> None:
        """Guards against a group that stays held, or switches only some ranks.

        The leader dies after it has held a pass and armed one of four ranks.
        """
        group = self._group()
        for number in range(SIZE):
            group.apply(number, FencedOrder(PrepareMap(10, EXPERTS), 1, 100))
        target = group.step + 10
        group.apply(0, FencedOrder(HoldPass(target), 1, 100))
        group.apply(1, FencedOrder(ArmMap(10, target), 1, 100))
        group.advance(1.0)
        orphans = HoldTracker()
        _recover(group, 200, orphans)
        group.advance(ORPHAN_AGE_SECONDS)
        _recover(group, 202, orphans)
        group.advance(1.0)
        self.assertGreater(group.step, target)
        self.assertEqual({0}, {rank.mapping for rank in group.ranks})

    def test_suspended_leader_rolls_its_hold_back(self) -> None:
        """Guards against a hold that outlasts the suspension of the leader.

        A leader that was frozen between hold and release left its group held for 6.2 s.
        """
        group = self._group()
        frozen = iter([False, False, True])

        def freeze() -> None:
            if next(frozen, False):
                group.advance(4.0)

        group.before_order = freeze
        end = _switch(group, 10, 100)
        group.advance(1.0)
        self.assertFalse(end.switched)
        self.assertEqual({None}, {rank.held for rank in group.ranks})
        self.assertEqual({0}, {rank.mapping for rank in group.ranks})

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.1, 0.3, 0.5, 0.7]),
        idle=st.sampled_from([0.0, 1.0, 6.0]),
        second=st.booleans(),
    )
    def test_maps_never_mix(
        self,
        seed: int,
        lost: float,
        idle: float,
        second: bool,
    ) -> None:
        """Guards against ranks with different maps in one pass.

        Late orders of a leader that gave up or was replaced could cause this.
        """
        group = self._group(seed, lost)
        group.idle_share = idle
        orphans = HoldTracker()
        tokens = iter(range(1_000, 1_000_000, 10))
        if second:
            group.interlude = lambda: self._run_second_leader(group, tokens)
        for number in range(1, 6):
            _switch(group, number * 10, next(tokens))
            for _ in range(3):
                group.advance(group.random.uniform(0.5, 3.0))
                _recover(group, next(tokens), orphans)
        group.interlude = None
        group.lost = 0.0
        group.idle_share = 0.0
        group.advance(15.0)
        for _ in range(6):
            _recover(group, next(tokens), orphans)
            group.advance(3.0)
        before = group.step
        group.advance(1.0)
        self.assertGreater(group.step, before)

    def _run_second_leader(self, group: SimulatedGroup, tokens: Iterator[int]) -> None:
        """Let a second leader act while the first one is frozen."""
        orphans = HoldTracker()
        for _ in range(3):
            _recover(group, next(tokens), orphans)
            group.advance(ORPHAN_AGE_SECONDS * 0.6)
        _switch(group, 1_000 + next(tokens), next(tokens))
