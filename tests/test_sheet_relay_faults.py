"""Fault injection: revisions reach all processes and are never reverted."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from bench.spread_model import Network, SpreadModel
from lacewingcleat.sheet_check import PartCache
from tests.builders_sheet import make_group_row, make_split_sheet

ZONE_SIZES = [(2, 1), (2, 1), (1, 1)]
PROCESS_NAMES = sorted(SpreadModel(ZONE_SIZES, Network()).process_by_name)
# Longer than the maximum retry delay of a reader plus the repair by heartbeats.
RECOVERY_SECONDS = 15.0
# Time within which a published revision has to be in force everywhere.
IN_FORCE_SECONDS = 6.0
CACHE = PartCache()

process_names = st.sampled_from(PROCESS_NAMES)


class SpreadFaults(RuleBasedStateMachine):
    """Publish sheets and inject faults in any order.

    Faults are lost and delayed messages, pauses, restarts, partitions and outages of
    the configuration service.
    """

    @initialize(seed=st.integers(0, 1000), loss=st.sampled_from([0.0, 0.05, 0.4]))
    def start(self, seed: int, loss: float) -> None:
        network = Network(loss=loss, slow=0.2, slow_factor=300.0)
        self.model = SpreadModel(ZONE_SIZES, network, seed, CACHE)
        self.revision = 1
        self.model.publish(make_split_sheet(1))
        self.copy = self.model.config.copy()
        self.model.run(3.0)

    @rule(rate=st.sampled_from([10, 20]), seconds=st.sampled_from([0.0, 0.01, 0.5]))
    def publish_next(self, rate: int, seconds: float) -> None:
        self.revision += 1
        self.model.publish(make_split_sheet(self.revision, rate=rate))
        self.model.run(seconds)

    @rule(back=st.integers(0, 3), rate=st.sampled_from([10, 30]))
    def publish_old(self, back: int, rate: int) -> None:
        """Publish a lower revision, or the same one with different content."""
        self.model.publish(make_split_sheet(max(self.revision - back, 1), rate=rate))
        self.model.run(0.01)

    @rule()
    def publish_invalid(self) -> None:
        self.revision += 1
        groups = [make_group_row(ranks=("unknown",))]
        extra = {"model_groups": groups}
        self.model.publish(make_split_sheet(self.revision, extra=extra))
        self.model.run(0.5)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.model.run(seconds)

    @rule(name=process_names)
    def pause(self, name: str) -> None:
        self.model.pause(name)

    @rule(name=process_names)
    def resume(self, name: str) -> None:
        self.model.resume(name)

    @rule(name=process_names)
    def restart(self, name: str) -> None:
        self.model.restart(name)

    @rule(names=st.sets(process_names))
    def partition(self, names: set[str]) -> None:
        self.model.split(dict.fromkeys(names, 1))

    @rule(up=st.booleans())
    def config_service(self, up: bool) -> None:
        self.model.config.up = up

    @rule()
    def copy_config(self) -> None:
        self.copy = self.model.config.copy()

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.5]))
    def restore_config(self, seconds: float) -> None:
        """Restore the service from the last copy; versions are given out again."""
        self.model.restore_config(self.copy)
        self.model.run(seconds)

    @invariant()
    def never_reverts(self) -> None:
        """Guards against a process that reverts to an earlier revision.

        Also guards against stored parts that grow without bound.
        """
        for process in getattr(self, "model", _NO_MODEL).process_by_name.values():
            revisions = [revision for _time, revision in process.in_force]
            assert revisions == sorted(set(revisions)), revisions
            assert process.relay.held_parts <= 8 * 8

    @invariant()
    def holds_only_valid_sheets(self) -> None:
        """Guards against a sheet in force with unresolved references."""
        for process in getattr(self, "model", _NO_MODEL).process_by_name.values():
            sheet = process.relay.sheet
            if sheet is not None:
                assert "unknown" not in sheet.group_by_name["group-1"].ranks

    def teardown(self) -> None:
        """Guards against processes that stay on an old revision after faults end."""
        if not hasattr(self, "model"):
            return
        model = self.model
        model.network = Network()
        model.split({})
        model.config.up = True
        for name in PROCESS_NAMES:
            model.resume(name)
        model.run(RECOVERY_SECONDS)
        entries = [name for name in PROCESS_NAMES if "entry" in name]
        highest = max(model.revisions()[name] for name in entries)
        for name, revision in model.revisions().items():
            # Only an agent may have a higher revision: it received it from an entry
            # that was restarted, and it holds no account parts to pass on.
            assert revision == highest or (revision > highest and "agent" in name)
        model.publish(make_split_sheet(self.revision + 1))
        model.run(6.0)
        assert set(model.revisions().values()) == {self.revision + 1}
        for process in model.process_by_name.values():
            assert process.relay.ready(model.now)


class RestoredServiceTest(TestCase):
    def test_a_revision_under_a_version_given_out_again_is_in_force(self) -> None:
        """Guards against readers that wait for a version which is there already."""
        model = SpreadModel(ZONE_SIZES, Network(), 1, CACHE)
        model.publish(make_split_sheet(1))
        model.run(3.0)
        copy = model.config.copy()
        model.publish(make_split_sheet(2))
        model.publish(make_split_sheet(3))
        model.run(3.0)
        model.restore_config(copy)
        model.publish(make_split_sheet(3))
        model.publish(make_split_sheet(4))
        model.run(IN_FORCE_SECONDS)
        self.assertEqual({4}, set(model.revisions().values()))


class _NoModel:
    process_by_name: dict[str, object] = {}


_NO_MODEL = _NoModel()

SpreadFaults.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
)


class SpreadFaultsTest(SpreadFaults.TestCase):
    """Run the state machine with the settings above."""


@pytest.mark.soak
@pytest.mark.timeout(3600)
def test_spread_faults_soak() -> None:
    """Guards against rare sequences of faults that the short run does not reach."""
    run_state_machine_as_test(
        SpreadFaults,
        settings=settings(
            max_examples=2_000,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
        ),
    )
