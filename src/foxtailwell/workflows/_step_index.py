"""Index of the steps of one job that can be placed, updated with each change of a task."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from foxtailwell.workflows._jobs import Step, Submission, TaskId
from foxtailwell.workflows._tasks import SchedulingUnit, Task, TaskState

__all__ = ["StepIndex", "StepKey"]

StepKey = tuple[int, int]
"""Occurrence of a job and index of a step."""


@dataclass(slots=True)
class _StepState:
    """One step in one occurrence.

    Attributes:
        open_predecessors: Number of steps that it depends on and that have not completed.
        undone_count: Number of its tasks that have not completed.
        waiting_count: Number of its tasks that wait for a worker.
        is_listed: It is among the ready steps.
        unit: Unit of its waiting tasks; None after a change of a task.
    """

    tasks: tuple[Task, ...]
    open_predecessors: int = 0
    undone_count: int = 0
    waiting_count: int = 0
    is_listed: bool = False
    unit: SchedulingUnit | None = None


class StepIndex:
    """Ready steps of a job, and counts of its tasks that are open or wait.

    A change of a task costs the same whatever the number of steps, except that the end of a step
    visits the steps that name it in `after`. The state of an occurrence is built when it is due.

    Args:
        submission: Job as submitted.
        tasks: Tasks of the job; `update` must follow each change of one of them.
    """

    def __init__(self, submission: Submission, tasks: Mapping[TaskId, Task]) -> None:
        self._submission = submission
        self._tasks = tasks
        self._followers: dict[int, list[int]] = {}
        for number, step in enumerate(submission.steps):
            for earlier in set(step.after):
                self._followers.setdefault(earlier, []).append(number)
        self._states: dict[int, list[_StepState]] = {}
        self._due_count = 0
        self._ready: list[StepKey] = []
        self._done_count = 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks of the job have completed."""
        return self._done_count == len(self._tasks)

    def tasks(self, key: StepKey) -> tuple[Task, ...]:
        """Return the tasks of one step in one occurrence, ordered by index."""
        return self._occurrence(key[0])[key[1]].tasks

    def ready(self, now_unix_ms: int) -> Sequence[StepKey]:
        """Return the due steps that wait for a worker only, by occurrence and step."""
        self._set_due_count(self._submission.due_count(now_unix_ms))
        return self._ready

    def unit(self, key: StepKey) -> SchedulingUnit | None:
        """Return what `set_unit` stored for a ready step; None if a task has changed since."""
        return self._states[key[0]][key[1]].unit

    def set_unit(self, key: StepKey, unit: SchedulingUnit) -> None:
        """Store the unit of a ready step until one of its tasks changes."""
        self._states[key[0]][key[1]].unit = unit

    def update(self, task: Task) -> None:
        """Apply a change of a task; no effect if nothing has changed."""
        newly_done = int(task.is_done) - int(task.is_counted_done)
        task.is_counted_done = task.is_done
        self._done_count += newly_done
        states = self._states.get(task.id.occurrence)
        if states is None:
            return
        state = states[task.id.step]
        state.unit = None
        is_waiting = task.state is TaskState.WAITING
        state.waiting_count += int(is_waiting) - int(task.is_counted_waiting)
        task.is_counted_waiting = is_waiting
        was_complete = not state.undone_count
        state.undone_count -= newly_done
        is_complete = not state.undone_count
        if is_complete != was_complete:
            self._update_followers(task.id, states, -1 if is_complete else 1)
        self._list(task.id.occurrence, task.id.step, state)

    def _update_followers(self, task: TaskId, states: list[_StepState], change: int) -> None:
        for number in self._followers.get(task.step, ()):
            states[number].open_predecessors += change
            self._list(task.occurrence, number, states[number])

    def _occurrence(self, occurrence: int) -> list[_StepState]:
        """Return the states of the steps of an occurrence, which are built on first use."""
        states = self._states.get(occurrence)
        if states is None:
            states = [
                self._state(occurrence, number, step)
                for number, step in enumerate(self._submission.steps)
            ]
            for earlier, followers in self._followers.items():
                if states[earlier].undone_count:
                    for number in followers:
                        states[number].open_predecessors += 1
            self._states[occurrence] = states
        return states

    def _state(self, occurrence: int, number: int, step: Step) -> _StepState:
        job_id = self._submission.job_id
        tasks = tuple(
            self._tasks[TaskId(job_id, occurrence, number, index)] for index in range(step.count)
        )
        state = _StepState(tasks)
        for task in tasks:
            task.is_counted_waiting = task.state is TaskState.WAITING
            state.waiting_count += task.is_counted_waiting
            state.undone_count += not task.is_done
        return state

    def _set_due_count(self, count: int) -> None:
        """List the steps of the first `count` occurrences; the time of day may have gone back."""
        if count < self._due_count:
            first = bisect_left(self._ready, (count, 0))
            for occurrence, number in self._ready[first:]:
                self._states[occurrence][number].is_listed = False
            del self._ready[first:]
        previous, self._due_count = self._due_count, count
        for occurrence in range(previous, count):
            for number, state in enumerate(self._occurrence(occurrence)):
                self._list(occurrence, number, state)

    def _list(self, occurrence: int, number: int, state: _StepState) -> None:
        """Add a step to the ready ones or remove it, as its state requires."""
        step = self._submission.steps[number]
        least = len(state.tasks) if step.is_gang else 1
        is_ready = (
            occurrence < self._due_count
            and not state.open_predecessors
            and state.waiting_count >= least
        )
        if is_ready == state.is_listed:
            return
        state.is_listed = is_ready
        key = (occurrence, number)
        if is_ready:
            insort(self._ready, key)
        else:
            del self._ready[bisect_left(self._ready, key)]
