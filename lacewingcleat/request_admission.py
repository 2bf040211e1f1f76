"""transport: admit requests by priority, and let some wait for a free slot."""

from collections.abc import Callable
from dataclasses import replace

from twisted.internet import defer

from lacewingcleat.clock import read_now
from lacewingcleat.decision_log import DecisionLog
from lacewingcleat.direct_metrics import DirectMetrics
from lacewingcleat.direct_state import DirectState
from lacewingcleat.priority_admission import (
    ADMITTED,
    EARLY,
    FULL,
    WAITED,
    Decision,
)
from lacewingcleat.request_context import RequestContext
from lacewingcleat.server_choice import ServerChoice, ServersFull
from lacewingcleat.waiting_requests import Waiting, WaitingRequests

# Minimum time between two attempts to start waiting requests because of datagrams. In
# large fleets these arrive hundreds of times a second.
WAKE_INTERVAL_SECONDS = 0.01


class RequestAdmission:
    """Admit the requests to services whose routes differ in priority.

    :param call_later: calls a function after some seconds; without it no request waits
        for a free slot.
    """

    def __init__(
        self,
        state: DirectState,
        log: DecisionLog,
        metrics: DirectMetrics,
        call_later: Callable[[float, Callable[[], None]], object] | None,
    ) -> None:
        self._state = state
        self._log = log
        self._metrics = metrics
        self._call_later = call_later
        self._waiting: WaitingRequests[RequestContext] = WaitingRequests()
        self._choice_by_waiting: dict[
            RequestContext, defer.Deferred[ServerChoice | None]
        ] = {}
        self._woken_at = float("-inf")

    def find_refusal(
        self, context: RequestContext, is_resumed: bool
    ) -> Decision | None:
        """Decide on a request, and note the decision in its context.

        :param is_resumed: whether it goes on with a stream, which was admitted before.
        :returns: the decision if the request is refused, none if it is admitted.
        """
        if is_resumed or not self._state.admission.is_active(context.service):
            return None
        now = read_now()
        context.admission = decision = self._decide(context, now)
        if decision.admitted:
            return None
        self._metrics.count_admission(decision.rank, decision.outcome)
        self._log.request(
            "refused by priority",
            now,
            request=context.request_id,
            service=context.service,
            rank=decision.rank,
            decision=decision.outcome,
            share=round(decision.share, 3),
            account_share=round(decision.account_share, 3),
            capacity=round(decision.capacity, 1),
            demand=round(decision.demand, 1),
            occupancy=round(decision.occupancy, 3),
            age=round(decision.age, 3),
        )
        return decision

    def _decide(self, context: RequestContext, now: float) -> Decision:
        admission, refused = self._state.admission, self._state.refused_requests
        service, rank = context.service, context.granted.rank
        if refused.seconds_early(context.fingerprint, now):
            decision = admission.decide(service, rank, 1.0, now)
            if decision.share < 1.0:
                return replace(decision, outcome=EARLY)
        is_return = refused.take_return(context.fingerprint, now)
        account = context.granted.account.name if context.granted.account else ""
        admission.record_arrival(service, rank, now, is_return, account)
        fraction = self._state.random.random()
        return admission.decide(service, rank, fraction, now, is_return, account)

    async def wait_for_server(self, context: RequestContext) -> ServerChoice | None:
        """Return the server of an admitted request, after a wait if all are full.

        Return none if the request was admitted without regard to its priority.
        """
        decision = context.admission
        if decision is None:
            return None
        now = read_now()
        choice: ServerChoice | None = self._state.choose_server(
            context.service, context.failed_servers, now
        )
        outcome = decision.outcome
        if isinstance(choice, ServersFull) and self._enqueue(context, now):
            done: defer.Deferred[ServerChoice | None] = defer.Deferred()
            self._choice_by_waiting[context] = done
            choice = await done
            outcome = WAITED
        if isinstance(choice, ServersFull):
            outcome = FULL
        if choice is not None:
            self._metrics.count_admission(decision.rank, outcome)
        if outcome != ADMITTED:
            self._log.request(
                "all servers full",
                now,
                request=context.request_id,
                service=context.service,
                rank=decision.rank,
                decision=outcome if choice is not None else "left",
                waited_ms=round((read_now() - now) * 1000.0, 1),
                share=round(decision.share, 3),
                occupancy=round(decision.occupancy, 3),
            )
        return choice

    def _enqueue(self, context: RequestContext, now: float) -> bool:
        """Let a request wait for a slot, if it can still be in time then."""
        if self._call_later is None:
            return False
        route, service = context.granted.route, context.service
        objective = route.target_latency_seconds
        first_event = self._state.first_event_times.estimate(service, objective)
        latest_start = min(context.deadline, context.arrived_at + objective)
        waiting = Waiting(
            context,
            service,
            context.granted.rank,
            context.arrived_at,
            latest_start - first_event,
        )
        free_rate = self._state.admission.free_rate(service)
        if not self._waiting.add(waiting, free_rate, now):
            return False
        self._call_later(waiting.latest_start - now, self.wake_waiting)
        return True

    def handle_peer_counts(self) -> None:
        """Start the waiting requests that fit after peers announced other counts."""
        if read_now() - self._woken_at >= WAKE_INTERVAL_SECONDS:
            self.wake_waiting()

    def wake_waiting(self) -> None:
        """Start the waiting requests that fit, and refuse those that are too late."""
        if not len(self._waiting):
            return
        self._woken_at = now = read_now()
        for late in self._waiting.take_late(now):
            self._end_wait(late.item, ServersFull(0.0))
        for service in self._waiting.services():
            while (first := self._waiting.first(service)) is not None:
                choice = self._state.choose_server(service, frozenset(), now)
                if isinstance(choice, ServersFull):
                    break
                # The request is counted in the loads before the next one is tried.
                self._end_wait(first.item, choice)

    def drop(self, context: RequestContext) -> None:
        """Drop a request whose caller has left."""
        self._end_wait(context, None)

    def _end_wait(self, context: RequestContext, choice: ServerChoice | None) -> None:
        self._waiting.remove(context)
        done = self._choice_by_waiting.pop(context, None)
        if done is not None:
            done.callback(choice)
