"""State of maintenance waves: the turns of their machines, and how many tasks they may take down.

The classes belong to the workflows model and make no calls.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from foxtailwell.workflows import JobRegistry, MaintenanceWave, Task, TaskState, UnitKey

__all__ = ["DisruptionBudgets", "OpenWave", "Turns"]

SCHEDULE_MARGIN_S = 2.0
"""Time reserved for listings and stops within the time available for each machine."""

REJECTION_GRACE_S = 1.0
"""Time for which commands to a machine that rejects its maintenance are repeated at once."""

FAILURE_GRACE_S = 5.0
"""Time for which commands to a machine are repeated that get no response or are limited."""

TURN_PAUSE_S = 2.0
"""Shortest time for which a machine runs tasks after an aborted turn until its next one.

It doubles with each further one, because each turn stops what runs there.
"""

MAX_TURN_PAUSE_S = 32.0
"""Longest time for which such a machine waits for its next turn."""


@dataclass(slots=True)
class Turns:
    """Turns of one machine, in each of which it is cordoned until its maintenance begins.

    Attributes:
        due_since_s: Local time from which its runs may continue for the drain timeout; infinite
            before. Turns that other work prevents do not move it.
        aborted_count: Turns that ended without its maintenance after runs were stopped or commands
            failed.
        paused_until_s: Local time from which the machine may have its next turn.
        cordoned_since_s: Local time at which the present turn began; infinite for none.
        rejected_since_s: Local time of the first rejection in this turn; infinite for none.
        failed_since_s: Local time of the first command in this turn that got no response or was
            limited, or from which machines were not listed; infinite for none.
        blocked_since_s: Local time since which the budget of some step permits no stop; infinite
            if all do.
        has_stopped_runs: Runs were stopped in this turn.
    """

    due_since_s: float = math.inf
    aborted_count: int = 0
    paused_until_s: float = 0.0
    cordoned_since_s: float = math.inf
    rejected_since_s: float = math.inf
    failed_since_s: float = math.inf
    blocked_since_s: float = math.inf
    has_stopped_runs: bool = False

    @property
    def is_cordoned(self) -> bool:
        """Whether the machine has its turn."""
        return self.cordoned_since_s < math.inf

    def begin(self, now_s: float) -> None:
        """Begin a turn."""
        self.cordoned_since_s = now_s
        self.rejected_since_s = self.failed_since_s = self.blocked_since_s = math.inf
        self.has_stopped_runs = False

    def end(self) -> None:
        """End the turn because the maintenance has begun or is no longer wanted."""
        self.cordoned_since_s = math.inf

    def abort(self, now_s: float) -> float:
        """End the turn without its maintenance.

        Returns:
            The pause until the next turn in seconds, during which the machine runs tasks.
        """
        has_failed = min(self.rejected_since_s, self.failed_since_s) < math.inf
        if has_failed:
            self.due_since_s = math.inf
        self.end()
        if not (has_failed or self.has_stopped_runs):
            return 0.0
        pause_s = min(TURN_PAUSE_S * 2.0 ** min(self.aborted_count, 10), MAX_TURN_PAUSE_S)
        self.aborted_count += 1
        self.paused_until_s = now_s + pause_s
        return pause_s

    def note_rejection(self, now_s: float) -> None:
        """Record that the platform rejects the maintenance of the machine."""
        self.rejected_since_s = min(self.rejected_since_s, now_s)

    def note_failure(self, now_s: float) -> None:
        """Record that the machine interface does not carry out commands now."""
        self.failed_since_s = min(self.failed_since_s, now_s)

    def is_failing(self, now_s: float) -> bool:
        """Return whether commands have failed for so long that no further one is sent."""
        return (
            now_s - self.rejected_since_s >= REJECTION_GRACE_S
            or now_s - self.failed_since_s >= FAILURE_GRACE_S
        )


@dataclass(slots=True)
class OpenWave:
    """A maintenance wave in progress.

    Attributes:
        turns: Turns of its machines.
        settled_since_s: Local times at which the maintenance of machines began or they were
            removed.
        unanswered_s: Local times at which commands to machines last got no response.
    """

    wave: MaintenanceWave
    turns: dict[str, Turns] = field(default_factory=dict)
    settled_since_s: dict[str, float] = field(default_factory=dict)
    unanswered_s: dict[str, float] = field(default_factory=dict)

    def turns_of(self, machine: str) -> Turns:
        """Return the turns of a machine of the wave."""
        return self.turns.setdefault(machine, Turns())

    @property
    def cordoned(self) -> list[str]:
        """Machines that have their turn, the longest cordoned first."""
        found = [machine for machine, turns in self.turns.items() if turns.is_cordoned]
        return sorted(found, key=lambda machine: self.turns[machine].cordoned_since_s)

    @property
    def is_complete(self) -> bool:
        """Whether all machines are settled."""
        return self.settled_since_s.keys() >= set(self.wave.machines)

    def drain_timeout_s(self, down_s: float) -> float:
        """Return for how many seconds runs on a cordoned machine may continue until stopped."""
        rounds = -(-len(self.wave.machines) // self.wave.max_count)
        return max(0.0, self.wave.within_s / rounds - down_s - SCHEDULE_MARGIN_S)


class DisruptionBudgets:
    """Numbers of lasting tasks of each step that may still be taken down in one decision.

    Args:
        registry: Unfinished jobs.
    """

    def __init__(self, registry: JobRegistry) -> None:
        self._registry = registry
        self._left: dict[UnitKey, int] = {}

    def _key(self, task: Task) -> UnitKey | None:
        """Return the step of a task; None if any number of its tasks may be taken down."""
        step = self._registry.jobs[task.id.job_id].step(task.id)
        if not step.is_lasting or step.max_unavailable is None:
            return None
        key = task.id.unit_key
        if key not in self._left:
            members = self._registry.step_tasks(task.id)
            available = sum(m.state is TaskState.ASSIGNED and m.percent >= 100 for m in members)
            self._left[key] = step.max_unavailable - (len(members) - available)
        return key

    def permit_progress(self, tasks: Iterable[Task]) -> bool:
        """Return whether each step with assigned runs among the tasks may lose one of them."""
        keys = {self._key(task) for task in tasks if task.state is TaskState.ASSIGNED}
        return all(self._left[key] > 0 for key in keys if key is not None)

    def take(self, tasks: Iterable[Task]) -> list[Task]:
        """Return the runs to stop among the tasks, and charge them to their budgets."""
        stops: list[Task] = []
        for task in tasks:
            if task.state is not TaskState.ASSIGNED:
                continue
            key = self._key(task)
            if key is not None:
                if self._left[key] <= 0:
                    continue
                self._left[key] -= 1
            stops.append(task)
        return stops
