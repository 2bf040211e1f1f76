"""Stand-in engine and hypothesis phases for the tests of expert map switches."""

import os
from dataclasses import replace

from hypothesis import Phase

from lacewingcleat.messages import OrderKind
from lacewingcleat.order_fence import EngineState, FenceNumber, Order


class StandInEngine:
    """Simulate the engine of one rank, which runs steps and executes orders.

    :param checks_fencing: whether it refuses orders with outdated fencing
        numbers.
    :param start_count: number of restarts, part of the engine's name.
    """

    def __init__(
        self, checks_fencing: bool, map_version: int = 1, start_count: int = 0
    ) -> None:
        self.checks_fencing = checks_fencing
        self.start_count = start_count
        self.step_map_version = 0
        self.highest_fence: FenceNumber | None = None
        held = map_version == 0
        self.state = EngineState(f"engine-{start_count}", map_version, held=held)

    def restart(self, step: int) -> None:
        """Restart without a map, held, at the current step of the group."""
        self.start_count += 1
        self.highest_fence = None
        self.step_map_version = 0
        self.state = EngineState(f"engine-{self.start_count}", step=step)

    def start_step(self) -> None:
        """Start the next step with the current map, unless held."""
        if not self.state.held and not self.step_map_version:
            self.step_map_version = self.state.map_version

    def cancel_step(self) -> None:
        """Return to the last step boundary, because another rank has failed."""
        self.step_map_version = 0
        held = self.state.held or 0 <= self.state.hold_step <= self.state.step
        self.state = replace(self.state, held=held)

    def execute(self, fence: FenceNumber, order: Order) -> bool:
        """Execute an order; return whether it was accepted."""
        if (
            self.checks_fencing
            and self.highest_fence is not None
            and fence <= self.highest_fence
        ):
            return False
        if self.highest_fence is None or fence > self.highest_fence:
            self.highest_fence = fence
        state = self.state
        match order.kind:
            case OrderKind.LOAD_MAP:
                state = replace(state, next_map_version=order.map_version)
            case OrderKind.HOLD:
                at_boundary = not self.step_map_version and state.step >= order.step
                held = state.held or at_boundary
                state = replace(state, hold_step=order.step, held=held)
            case OrderKind.SWITCH_MAP if state.next_map_version == order.map_version:
                state = replace(
                    state,
                    map_version=order.map_version,
                    next_map_version=0,
                )
            case OrderKind.RESUME:
                state = replace(state, held=state.map_version == 0, hold_step=-1)
            case OrderKind.DROP_MAP:
                state = replace(
                    state,
                    next_map_version=0,
                    hold_step=-1,
                    held=state.map_version == 0,
                )
            case OrderKind.LOAD:
                state = replace(state, loaded=state.loaded | {order.name})
            case OrderKind.UNLOAD:
                state = replace(state, loaded=state.loaded - {order.name})
            case OrderKind.SET_ROLE:
                state = replace(state, role=order.name)
        self.state = state
        return True

    def complete_step(self) -> None:
        """Complete a step, and hold if it has reached the requested hold step."""
        self.step_map_version = 0
        step = self.state.step + 1
        held = 0 <= self.state.hold_step <= step
        self.state = replace(self.state, step=step, held=held)


def hypothesis_phases() -> tuple[Phase, ...]:
    """Return the hypothesis phases to run: only generation if NO_SHRINK is set.

    `tests.mutations` sets it, because it needs to know only whether a test fails.
    """
    if os.environ.get("NO_SHRINK"):
        return (Phase.generate,)
    return tuple(Phase)
