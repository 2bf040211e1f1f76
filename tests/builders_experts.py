"""Builders and stand-ins for the tests of expert maps and their switch."""

from dataclasses import replace

from lacewingcleat.messages import OrderKind
from lacewingcleat.order_fence import EngineState, FenceNumber, Order


class StandInEngine:
    """Run steps and orders like one rank's engine.

    :param checks: whether it refuses orders with outdated fencing numbers.
    """

    def __init__(self, checks: bool, map_version: int = 1, starts: int = 0) -> None:
        self.checks = checks
        self.starts = starts
        self.highest: FenceNumber | None = None
        held = map_version == 0
        self.state = EngineState(f"engine-{starts}", map_version, held=held)

    def restart(self) -> None:
        """Come back without a map, held, as an engine does."""
        self.__init__(self.checks, 0, self.starts + 1)  # type: ignore[misc]

    def run(self, fence: FenceNumber, order: Order) -> bool:
        """Carry out an order; return whether it was accepted."""
        if self.checks and self.highest is not None and fence <= self.highest:
            return False
        if self.highest is None or fence > self.highest:
            self.highest = fence
        state = self.state
        match order.kind:
            case OrderKind.LOAD_MAP:
                state = replace(state, next_map_version=order.map_version)
            case OrderKind.HOLD:
                held = state.held or state.step >= order.step
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
        """Finish a step, and hold if it was the last one asked for."""
        step = self.state.step + 1
        held = 0 <= self.state.hold_step <= step
        self.state = replace(self.state, step=step, held=held)
