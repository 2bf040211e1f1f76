"""coordination: switch all ranks of a group to a new expert map.

`SwitchLeader` runs at the agent of the group's leader, `RankSwitch` at the agent of
each rank. A switch has four phases, each on all ranks: Prepare, Hold, Commit, Resume.
Each attempt has its own epoch. A leader first reads the state of all ranks twice: after
the first read all ranks have promised to follow the epoch, and the second read verifies
that no agent has restarted in between and lost its promise.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import ceil

from lacewingcleat.actions import Action, Alarm, Send
from lacewingcleat.messages import (
    Epoch,
    Grant,
    RankPhase,
    SwitchAbort,
    SwitchCommit,
    SwitchHold,
    SwitchPrepare,
    SwitchQuery,
    SwitchResume,
    SwitchStatus,
)
from lacewingcleat.pause_detector import PauseWatch
from lacewingcleat.rank_switch import FetchMap, RankAction, RankSwitch, SwitchMessage

__all__ = [
    "EncodedMap",
    "FetchMap",
    "LeaderPhase",
    "RankAction",
    "RankSwitch",
    "SwitchLeader",
    "SwitchMessage",
]

RESEND_INTERVAL_SECONDS = 0.05
PREPARE_RESEND_INTERVAL_SECONDS = 2.0
HOLD_TIMEOUT_SECONDS = 0.3
STALL_TIMEOUT_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
PREPARE_TIMEOUT_SECONDS = 600.0
# The hold step is scheduled this far ahead, so that Hold reaches all ranks before they
# run it.
HOLD_LEAD_SECONDS = 0.04
MAX_HOLD_LEAD_SECONDS = 0.16


class LeaderPhase(Enum):
    """Phases of a leader."""

    FOLLOWING = "following"
    READING = "reading"
    CONFIRMING = "confirming"
    SETTLING = "settling"
    IDLE = "idle"
    PREPARING = "preparing"
    HOLDING = "holding"
    BACKING_OFF = "backing-off"


@dataclass(frozen=True, slots=True)
class EncodedMap:
    """Represent an expert map as it is sent to ranks.

    :param changes: encoded changes relative to `base_version`.
    :param complete: the whole map, encoded, for a rank without the base map.
    """

    version: int
    digest: str
    base_version: int
    changes: bytes
    complete: bytes


class SwitchLeader:
    """Coordinate the map switches of one group.

    :param instance: instance name of this leader, part of its epochs.
    :param instance_by_rank: instance names of the ranks' agents, in rank order.
    """

    def __init__(
        self,
        group: str,
        instance: str,
        instance_by_rank: tuple[str, ...],
        now: float,
    ) -> None:
        self.group = group
        self.phase = LeaderPhase.FOLLOWING
        self.epoch = Epoch(0, instance)
        self.map_version = 0
        self.finished_switches = 0
        self.aborted_switches = 0
        self.phase_changes = 0
        self._instance = instance
        self._instance_by_rank = instance_by_rank
        self._pause_watch = PauseWatch(now)
        self._highest_term = 0
        self._grant_by_rank: dict[int, Grant] = {}
        self._incarnation_by_rank: dict[int, str] = {}
        self._status_by_rank: dict[int, SwitchStatus] = {}
        self._map_by_version: dict[int, EncodedMap] = {}
        self._proposal: EncodedMap | None = None
        self._target_version = 0
        self._hold_step = 0
        self._first_step = 0
        self._first_step_at = now
        self._latest_step = 0
        self._latest_step_at = now
        self._hold_lead_seconds = HOLD_LEAD_SECONDS
        self._phase_started_at = now
        self._last_sent_at = float("-inf")
        self._retry_at = now
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._reread_needed = False
        self._resume_sent = False

    @property
    def leading(self) -> bool:
        """Return whether this process acts as leader."""
        return self.phase is not LeaderPhase.FOLLOWING

    @property
    def has_proposal(self) -> bool:
        """Return whether a proposed switch is pending or in progress."""
        return self._proposal is not None

    def start_leading(self, now: float) -> list[Action]:
        """Start to lead, with an epoch above all that this process has seen."""
        if self.leading:
            return []
        return self._start_epoch(now)

    def stop_leading(self) -> None:
        """Stop leading; the successor completes or aborts a switch in progress."""
        self.phase = LeaderPhase.FOLLOWING
        self._proposal = None

    def store_map(self, encoded_map: EncodedMap) -> None:
        """Store a map, to send it to ranks that restart without one."""
        self._map_by_version[encoded_map.version] = encoded_map

    def propose(self, proposal: EncodedMap, now: float) -> bool:
        """Request a switch to a map; return whether the request was accepted."""
        if not self.leading or self._proposal is not None:
            return False
        if proposal.version <= self.map_version:
            return False
        self._proposal = proposal
        self.store_map(proposal)
        return True

    def receive(self, status: SwitchStatus, now: float) -> list[Action]:
        """Record a rank's status; start the next phase once all ranks are ready."""
        if status.group != self.group or not 0 <= status.rank < len(
            self._instance_by_rank
        ):
            return []
        self._highest_term = max(self._highest_term, status.promised.term)
        if not self._record_grant(status.rank, status.grant):
            return []
        if self._pause_watch.observe(now) and self.leading:
            return self._start_epoch(now)
        if not self.leading or self.phase is LeaderPhase.BACKING_OFF:
            return []
        if status.promised > self.epoch:
            return self._back_off(now)
        if status.grant.incarnation != self._incarnation_by_rank.get(status.rank, ""):
            self._reread_needed = True
            return []
        if self.phase is LeaderPhase.IDLE and not self._is_at_target(status):
            self._reread_needed = True
            return []
        if status.promised < self.epoch:
            return []
        self._status_by_rank[status.rank] = status
        if status.step > self._latest_step:
            self._latest_step, self._latest_step_at = status.step, now
        return self._advance(now)

    def tick(self, now: float) -> list[Action]:
        """Resend unanswered messages, and abort phases that exceed their time limit."""
        if self._pause_watch.observe(now) and self.leading:
            return self._start_epoch(now)
        if self.phase is LeaderPhase.FOLLOWING:
            return []
        if (
            self._reread_needed
            and now - self._phase_started_at >= RESEND_INTERVAL_SECONDS
        ):
            return self._start_epoch(now)
        match self.phase:
            case LeaderPhase.BACKING_OFF:
                return self._start_epoch(now) if now >= self._retry_at else []
            case LeaderPhase.IDLE:
                return self._begin_switch(now)
            case LeaderPhase.HOLDING if (
                now - self._phase_started_at > HOLD_TIMEOUT_SECONDS
            ):
                return self._abort(now)
            case LeaderPhase.PREPARING if (
                now - self._phase_started_at > PREPARE_TIMEOUT_SECONDS
            ):
                return self._abort(now)
            case LeaderPhase.SETTLING if (
                now - self._phase_started_at > STALL_TIMEOUT_SECONDS
            ):
                return self._start_epoch(now)
            case _:
                return self._resend(now)

    def _start_epoch(self, now: float) -> list[Action]:
        self._reread_needed = False
        self._highest_term = max(self._highest_term, self.epoch.term) + 1
        self.epoch = Epoch(self._highest_term, self._instance)
        self._incarnation_by_rank = {
            rank: grant.incarnation for rank, grant in self._grant_by_rank.items()
        }
        return self._enter(LeaderPhase.READING, now)

    def _enter(self, phase: LeaderPhase, now: float) -> list[Action]:
        self.phase = phase
        self.phase_changes += 1
        self._resume_sent = False
        self._phase_started_at = now
        self._last_sent_at = float("-inf")
        if phase is LeaderPhase.READING:
            self._status_by_rank = {}
        return self._resend(now)

    def _back_off(self, now: float) -> list[Action]:
        self.phase = LeaderPhase.BACKING_OFF
        self._retry_at = now + self._backoff_seconds
        self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)
        return []

    def _record_grant(self, rank: int, grant: Grant) -> bool:
        """Store a rank's newest grant; return False if the status is out of date."""
        previous = self._grant_by_rank.get(rank, Grant())
        same_incarnation = grant.incarnation == previous.incarnation
        if same_incarnation and grant.number <= previous.number:
            return False
        self._grant_by_rank[rank] = grant
        return True

    def _all_ranks(self, condition: Callable[[SwitchStatus], bool]) -> bool:
        statuses = self._status_by_rank.values()
        return len(statuses) == len(self._instance_by_rank) and all(
            condition(status) for status in statuses
        )

    def _advance(self, now: float) -> list[Action]:
        match self.phase:
            case LeaderPhase.READING if self._all_ranks(
                lambda status: status.reading >= 1
            ):
                return self._enter(LeaderPhase.CONFIRMING, now)
            case LeaderPhase.CONFIRMING if self._all_ranks(
                lambda status: status.reading >= 2,
            ):
                return self._choose_target(now)
            case LeaderPhase.PREPARING if self._all_ranks(self._is_prepared):
                return self._begin_hold(now)
            case LeaderPhase.PREPARING | LeaderPhase.HOLDING if (
                self._has_other_versions()
            ):
                return self._abort(now)
            case LeaderPhase.HOLDING if self._all_ranks(self._is_holding):
                self._target_version = self._proposal.version if self._proposal else 0
                return self._enter(LeaderPhase.SETTLING, now)
            case LeaderPhase.SETTLING:
                return self._check_settled(now)
            case _:
                return []

    def _choose_target(self, now: float) -> list[Action]:
        steps = [status.step for status in self._status_by_rank.values()]
        self._first_step, self._first_step_at = max(steps), now
        self._latest_step, self._latest_step_at = max(steps), now
        versions = [status.map_version for status in self._status_by_rank.values()]
        self._target_version = max(versions)
        self.map_version = self._target_version
        if self._all_ranks(self._is_at_target):
            return self._enter(LeaderPhase.IDLE, now)
        return self._enter(LeaderPhase.SETTLING, now)

    def _begin_switch(self, now: float) -> list[Action]:
        if self._proposal is None or now < self._retry_at:
            return []
        if self._proposal.version <= self.map_version:
            self._proposal = None
            return []
        return self._enter(LeaderPhase.PREPARING, now)

    def _begin_hold(self, now: float) -> list[Action]:
        elapsed = self._latest_step_at - self._first_step_at
        steps = self._latest_step - self._first_step
        steps_per_second = steps / elapsed if elapsed else 0.0
        seconds_ahead = now - self._latest_step_at + self._hold_lead_seconds
        steps_ahead = max(1, ceil(steps_per_second * seconds_ahead))
        self._hold_step = self._latest_step + steps_ahead
        return self._enter(LeaderPhase.HOLDING, now)

    def _abort(self, now: float) -> list[Action]:
        self.aborted_switches += 1
        self._target_version = self.map_version
        self._retry_at = now + self._backoff_seconds
        self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)
        self._hold_lead_seconds = min(
            2 * self._hold_lead_seconds, MAX_HOLD_LEAD_SECONDS
        )
        return self._enter(LeaderPhase.SETTLING, now)

    def _check_settled(self, now: float) -> list[Action]:
        if not self._all_ranks(self._is_at_target):
            if self._resume_sent or not self._all_switched():
                return []
            # Resume is sent as soon as the last rank has switched. Other messages wait
            # for the resend period: if each status caused a message to each rank, and
            # each message a status, their number would grow without bound.
            self._resume_sent = True
            self._last_sent_at = float("-inf")
            return self._resend(now)
        if (
            self._proposal is not None
            and self._target_version == self._proposal.version
        ):
            self.finished_switches += 1
            self._proposal = None
            self._backoff_seconds = MIN_BACKOFF_SECONDS
            self._hold_lead_seconds = HOLD_LEAD_SECONDS
        self.map_version = self._target_version
        return self._start_epoch(now)

    def _resend(self, now: float) -> list[Action]:
        preparing = self.phase is LeaderPhase.PREPARING
        period = (
            PREPARE_RESEND_INTERVAL_SECONDS if preparing else RESEND_INTERVAL_SECONDS
        )
        if now - self._last_sent_at < period:
            return []
        self._last_sent_at = now
        actions: list[Action] = []
        for rank, instance in enumerate(self._instance_by_rank):
            message = self._message_to(rank)
            if message is not None:
                actions.append(Send(instance, message))
        return actions

    def _message_to(self, rank: int) -> SwitchMessage | None:
        grant = self._grant_by_rank.get(rank, Grant())
        status = self._status_by_rank.get(rank)
        group, epoch, proposal = self.group, self.epoch, self._proposal
        match self.phase:
            case LeaderPhase.READING if status is None:
                return SwitchQuery(group, epoch, 1, grant)
            case LeaderPhase.CONFIRMING if status and status.reading < 2:
                return SwitchQuery(group, epoch, 2, grant)
            case LeaderPhase.PREPARING if proposal and status:
                if self._is_prepared(status):
                    return None
                return self._prepare_message(proposal, status, grant)
            case LeaderPhase.HOLDING if proposal and status:
                if self._is_holding(status):
                    return None
                step = self._hold_step
                return SwitchHold(group, epoch, proposal.version, step, grant)
            case LeaderPhase.SETTLING if status:
                return self._settling_message(rank, status)
            case _:
                return None

    def _settling_message(
        self,
        rank: int,
        status: SwitchStatus,
    ) -> SwitchMessage | None:
        grant = self._grant_by_rank.get(rank, Grant())
        group, epoch, target_version = self.group, self.epoch, self._target_version
        if status.map_version == target_version:
            match status.phase:
                case RankPhase.RUNNING | RankPhase.DOWN:
                    return None
                case RankPhase.SWITCHED:
                    if not self._all_switched():
                        return SwitchQuery(group, epoch, 2, grant)
                    return SwitchResume(group, epoch, target_version, grant)
                case _:
                    version = status.next_map_version
                    return SwitchAbort(group, epoch, version, grant)
        if status.phase is RankPhase.DOWN:
            target_map = self._map_by_version.get(target_version)
            if target_map is None:
                return None
            return self._prepare_message(target_map, status, grant)
        if status.next_map_version == target_version:
            return SwitchCommit(group, epoch, target_version, grant)
        return SwitchAbort(group, epoch, status.next_map_version, grant)

    def _prepare_message(
        self,
        new_map: EncodedMap,
        status: SwitchStatus,
        grant: Grant,
    ) -> SwitchPrepare:
        has_base = status.map_version == new_map.base_version != 0
        return SwitchPrepare(
            self.group,
            self.epoch,
            new_map.version,
            new_map.digest,
            new_map.base_version if has_base else 0,
            new_map.changes if has_base else new_map.complete,
            grant,
        )

    def _all_switched(self) -> bool:
        return self._all_ranks(
            lambda status: status.map_version == self._target_version
        )

    def _is_at_target(self, status: SwitchStatus) -> bool:
        final_phase = RankPhase.RUNNING if self._target_version else RankPhase.DOWN
        return (
            status.phase is final_phase and status.map_version == self._target_version
        )

    def _is_prepared(self, status: SwitchStatus) -> bool:
        proposal = self._proposal
        if proposal is None or status.next_map_version != proposal.version:
            return False
        return status.phase in (RankPhase.PREPARED, RankPhase.HELD)

    def _is_holding(self, status: SwitchStatus) -> bool:
        if not self._is_prepared(status) or status.phase is not RankPhase.HELD:
            return False
        return status.map_version == 0 or status.step == self._hold_step

    def _has_other_versions(self) -> bool:
        versions = {status.map_version for status in self._status_by_rank.values()}
        return versions != {self.map_version}

    def alarms(self, now: float) -> list[Alarm]:
        """Return an alarm if ranks have not answered the reads for too long."""
        is_reading = self.phase in (LeaderPhase.READING, LeaderPhase.CONFIRMING)
        if not is_reading or now - self._phase_started_at < STALL_TIMEOUT_SECONDS:
            return []
        missing = sorted(
            set(range(len(self._instance_by_rank))) - set(self._status_by_rank)
        )
        text = f"group {self.group} waits for the status of ranks {missing}"
        return [Alarm("switch-waits-for-ranks", text)]
