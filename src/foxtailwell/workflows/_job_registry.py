"""In-memory state of all unfinished jobs of the workflows model, and its transitions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

from foxtailwell.workflows._crashes import CrashRecord, is_given_up, is_kept_alone
from foxtailwell.workflows._identifiers import (
    client_job_id,
    close_run_numbers,
    is_namesake_id,
    with_run,
)
from foxtailwell.workflows._jobs import JobState, Queue, Step, Submission, TaskId
from foxtailwell.workflows._step_index import StepIndex, StepKey
from foxtailwell.workflows._tasks import (
    EndKind,
    Job,
    JobProgress,
    SchedulingUnit,
    StopReason,
    Task,
    TaskProgress,
    TaskState,
)

__all__ = ["JobRegistry"]


class JobRegistry:
    """State of all unfinished jobs; a change of stored progress marks the job for writing.

    Attributes:
        jobs: Jobs by identifier, including ended ones whose runs are still being stopped.
        changed: Identifiers of the jobs whose progress has to be written to the store.
        version: Number that rises with every change that affects planning.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.changed: set[str] = set()
        self._steps: dict[str, StepIndex] = {}
        self._placed: dict[str, dict[TaskId, Task]] = {}
        # Ended jobs, and gangs of which a member has changed, that may have runs to be stopped.
        self._ended: set[str] = set()
        self._changed_gangs: set[tuple[str, StepKey]] = set()
        self._versions: dict[str, int] = {}
        # Identifiers of the jobs by client identifier, namesakes of the first job before it.
        self._ids: dict[str, list[str]] = {}
        # Highest run numbers of ended jobs by identifier, by client identifier.
        self._ended_runs: dict[str, dict[str, int]] = {}
        self.version = 0

    def add(
        self,
        submission: Submission,
        queue: Queue,
        now_s: float,
        progress: JobProgress | None = None,
        *,
        age_s: float = 0.0,
    ) -> Job:
        """Add a job.

        Args:
            submission: Job as submitted.
            queue: Queue of the job.
            now_s: Local time.
            progress: Stored progress when a new controller recovers the job; None for a new one.
            age_s: Time since the job was accepted.
        """
        job = Job(submission, queue, now_s - age_s)
        job.tasks = {task_id: Task(task_id) for task_id in submission.task_ids()}
        if progress is not None:
            job.state = progress.state
            job.has_started = progress.has_started
            job.ended_unix_ms = progress.ended_unix_ms
            for stored in progress.tasks:
                self._restore(job, stored, now_s)
            if job.state.is_final:
                self._ended.add(submission.job_id)
            highest = max((task.run for task in progress.tasks), default=0)
            job.run_numbers = replace(
                progress.run_numbers, highest=max(highest, progress.run_numbers.highest)
            )
        self.jobs[submission.job_id] = job
        self._steps[submission.job_id] = StepIndex(submission, job.tasks)
        for task in job.started.values():
            self._update(job, task)
        client_id = client_job_id(submission.job_id)
        ids = self._ids.setdefault(client_id, [])
        if submission.job_id not in ids:
            ids.append(submission.job_id)
            # Records of earlier versions may claim numbers of namesakes, which know their own.
            ids.sort(key=is_namesake_id, reverse=True)
        self._separate_run_numbers(client_id)
        self.version += 1
        return job

    def _separate_run_numbers(self, client_id: str) -> None:
        """Tell the runs of jobs with one client identifier apart, if there are several."""
        ids = self._ids.get(client_id, [])
        if len(ids) > 1 or client_id in self._ended_runs:
            for job_id in ids:
                job = self.jobs[job_id]
                job.run_numbers = close_run_numbers(job.run_numbers)

    def add_ended(self, job_id: str, highest_run: int) -> None:
        """Add a job that has ended, so that namesakes do not repeat its run numbers."""
        client_id = client_job_id(job_id)
        self._ended_runs.setdefault(client_id, {})[job_id] = highest_run
        self._separate_run_numbers(client_id)

    def remove_ended(self, job_id: str) -> None:
        """Remove an ended job whose records are deleted."""
        client_id = client_job_id(job_id)
        ended = self._ended_runs.get(client_id, {})
        ended.pop(job_id, None)
        if not ended:
            self._ended_runs.pop(client_id, None)

    def _restore(self, job: Job, stored: TaskProgress, now_s: float) -> None:
        task_id = TaskId(job.submission.job_id, stored.occurrence, stored.step, stored.index)
        task = job.tasks.get(task_id)
        if task is None:
            return
        task.state = TaskState(stored.state)
        task.run = stored.run
        task.worker = stored.worker
        task.boot_unix_ms = stored.boot_unix_ms
        task.failed_runs = stored.failed_runs
        task.checkpoint = stored.checkpoint
        task.crashes = stored.crashes
        task.started_s = task.progress_s = now_s
        if task.run or task.is_done or task.is_placed:
            job.started[task_id] = task
        if task.is_placed:
            self._place(job, task)

    def _place(self, job: Job, task: Task) -> None:
        job.placed[task.id] = task
        self._placed.setdefault(task.worker, {})[task.id] = task
        self._bump_version(task.worker)

    def _update(self, job: Job, task: Task) -> None:
        """Apply a change of a task to what is derived from the tasks of its job."""
        self._steps[job.submission.job_id].update(task)
        if job.step(task.id).is_gang:
            key = (task.id.occurrence, task.id.step)
            self._changed_gangs.add((job.submission.job_id, key))

    def remove(self, job_id: str) -> None:
        """Remove a job that has ended and has no placed tasks left."""
        job = self.jobs.pop(job_id, None)
        self.changed.discard(job_id)
        self._ended.discard(job_id)
        if job is not None:
            del self._steps[job_id]
            client_id = client_job_id(job_id)
            self._ids[client_id].remove(job_id)
            if not self._ids[client_id]:
                del self._ids[client_id]
            self.add_ended(job_id, job.run_numbers.highest)

    def version_of(self, worker: str) -> int:
        """Return a number that rises when the set of runs on the worker may have changed."""
        return self._versions.get(worker, 0)

    def _bump_version(self, worker: str) -> None:
        self._versions[worker] = self._versions.get(worker, 0) + 1
        self.version += 1

    def placed_on(self, worker: str) -> Sequence[Task]:
        """Return the tasks that are assigned to the worker or being stopped there."""
        return tuple(self._placed.get(worker, {}).values())

    def workers_with_tasks(self) -> tuple[str, ...]:
        """Return the workers for which `placed_on` is not empty."""
        return tuple(self._placed)

    def find(self, task_id: TaskId) -> Task | None:
        """Return the task; None when its job is not in the registry."""
        job = self.jobs.get(task_id.job_id)
        return job.tasks.get(task_id) if job else None

    def find_run(self, listed: TaskId, run: int) -> Task | None:
        """Return the task of a run that a worker reports.

        Args:
            listed: Task as named by the worker, with the client's identifier of its job.
            run: Number of the run, which tells namesakes apart.

        Returns:
            The task; None if no job in the registry has had a run of this number.
        """
        for job_id in self._ids.get(listed.job_id, ()):
            job = self.jobs[job_id]
            own_id = listed if job_id == listed.job_id else replace(listed, job_id=job_id)
            task = job.tasks.get(own_id)
            if task is not None and (task.run == run or run in job.run_numbers):
                return task
        return None

    def assign(self, task: Task, worker: str, boot_unix_ms: int, run: int, now_s: float) -> None:
        """Assign the next run of a task to a worker.

        Args:
            task: Task to be started.
            worker: Identifier of the worker.
            boot_unix_ms: Start time of the worker's incarnation.
            run: Number of the run from `next_run`.
            now_s: Local time.
        """
        task.state = TaskState.ASSIGNED
        task.run = run
        task.worker = worker
        task.boot_unix_ms = boot_unix_ms
        task.is_confirmed = False
        task.stopping_since_s = 0.0
        task.stop_reason = None
        task.started_s = task.progress_s = now_s
        task.percent = 0
        task.listed_s = 0.0
        job = self.jobs[task.id.job_id]
        job.run_numbers = with_run(job.run_numbers, run)
        job.started[task.id] = task
        self._place(job, task)
        self._update(job, task)
        self.changed.add(task.id.job_id)

    def next_run(self, unit: SchedulingUnit) -> int:
        """Return a run number greater than all earlier ones of the unit's step.

        It is also greater than all numbers of namesakes, whatever their steps.
        """
        job = self.jobs[unit.job_id]
        if job.run_numbers.ranges is None:
            tasks = self._steps[unit.job_id].tasks((unit.occurrence, unit.step_number))
            return 1 + max(task.run for task in tasks)
        client_id = client_job_id(unit.job_id)
        highest = [self.jobs[job_id].run_numbers.highest for job_id in self._ids[client_id]]
        return 1 + max((*highest, *self._ended_runs.get(client_id, {}).values()))

    def _names_in_use(self, job: Job, waiting: list[Task]) -> frozenset[tuple[str, TaskId]]:
        """Return the workers of namesakes' tasks, each with the waiting task of the same name."""
        job_id = job.submission.job_id
        found: set[tuple[str, TaskId]] = set()
        for other_id in self._ids[client_job_id(job_id)]:
            if other_id != job_id:
                for task in waiting:
                    other = self.jobs[other_id].tasks.get(replace(task.id, job_id=other_id))
                    if other is not None and other.is_placed:
                        found.add((other.worker, task.id))
        return frozenset(found)

    def prepare(self, job_id: str, now_unix_ms: int) -> None:
        """Build the state that the first plan of a job needs, so that this plan takes less long.

        Raises:
            KeyError: The job is not in the registry.
        """
        self._steps[job_id].ready(now_unix_ms)

    def step_tasks(self, task: TaskId) -> tuple[Task, ...]:
        """Return the tasks of the same step and occurrence, ordered by index.

        Raises:
            KeyError: The job of the task is not in the registry.
        """
        return self._steps[task.job_id].tasks((task.occurrence, task.step))

    def confirm(self, task: Task) -> None:
        """Record that the worker runs the task; the first confirmed task makes the job running."""
        task.is_confirmed = True
        job = self.jobs.get(task.id.job_id)
        if job is not None and not job.has_started:
            job.has_started = True
            if not job.state.is_final:
                job.state = JobState.RUNNING
            self.changed.add(task.id.job_id)

    def record_progress(self, task: Task, percent: int, now_s: float) -> None:
        """Record that the worker lists the current run as running, and with which progress."""
        task.listed_s = now_s
        if task.crashes and not task.is_on_probation:
            task.crashes = ()
            self.changed.add(task.id.job_id)
        if percent != task.percent:
            task.percent = percent
            task.progress_s = now_s

    def stalled_runs(self, now_s: float, limit_s: float) -> list[Task]:
        """Return confirmed runs without progress for longer than `limit_s`.

        Lasting tasks are left out because they never complete. So are runs at 100 percent: a gang
        member that has completed its own work waits for the others.
        """
        return [
            task
            for placed in self._placed.values()
            for task in placed.values()
            if task.state is TaskState.ASSIGNED
            and task.is_confirmed
            and task.percent < 100
            and now_s - task.progress_s > limit_s
            and not self.jobs[task.id.job_id].step(task.id).is_lasting
        ]

    def mark_stopping(self, task: Task, reason: StopReason) -> None:
        """Mark an assigned run as being stopped; no effect in other states."""
        if task.state is TaskState.ASSIGNED:
            task.state = TaskState.STOPPING
            task.stop_reason = reason
            self._bump_version(task.worker)
            self._update(self.jobs[task.id.job_id], task)

    def cancel(self, job_id: str, now_unix_ms: int) -> bool:
        """End a job as cancelled unless it has ended; `stale_runs` then lists its runs.

        Returns:
            Whether the job is in the registry.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return False
        if not job.state.is_final:
            self._finish(job, JobState.CANCELLED, now_unix_ms)
        return True

    def end_run(
        self, task: Task, run: int, kind: EndKind, checkpoint: str, now_unix_ms: int
    ) -> bool:
        """Apply the end of a run as listed by its worker.

        A failure counts against the attempts, and a completion completes the task, even if a newer
        run has replaced the run.

        Args:
            task: Task of the run.
            run: Number of the run.
            kind: How it ended.
            checkpoint: Newest checkpoint; empty for none.
            now_unix_ms: Time of day.

        Returns:
            Whether the run was the newest of a task that had not completed, or has completed it.
        """
        job = self.jobs[task.id.job_id]
        if kind is EndKind.FAILED and run not in task.failed_runs:
            task.failed_runs = (*task.failed_runs, run)
            self.changed.add(task.id.job_id)
        is_newest = run == task.run and not task.is_done
        is_late_completion = kind is EndKind.DONE and not is_newest and not task.is_done
        if is_newest:
            # A controller that takes over may see the end before it has seen the run.
            self.confirm(task)
            self._apply_end(job, task, kind, checkpoint)
            self.changed.add(task.id.job_id)
        elif is_late_completion and not job.step(task.id).is_lasting:
            self._complete_earlier(job, task)
        self._update_job_state(job, task, now_unix_ms)
        return is_newest or is_late_completion

    def _complete_earlier(self, job: Job, task: Task) -> None:
        """Complete a task, or its gang, by the end of an earlier run than the newest one."""
        for member in self.step_tasks(task.id) if job.step(task.id).is_gang else (task,):
            if member.is_placed:
                member.is_completed_earlier = True
                self.mark_stopping(member, StopReason.JOB_ENDED)
                self._update(job, member)
            else:
                self._set_done(job, member)
        self.version += 1
        self.changed.add(task.id.job_id)

    def _apply_end(self, job: Job, task: Task, kind: EndKind, checkpoint: str) -> None:
        step = job.step(task.id)
        self._unplace(task)
        if checkpoint:
            task.checkpoint = checkpoint
        if kind is EndKind.DONE and not step.is_lasting:
            self._set_done(job, task)
            for member in self.step_tasks(task.id) if step.is_gang else ():
                self._unplace(member)
                self._set_done(job, member)
        else:
            task.state = _state_without_run(task)
            self._update(job, task)

    def _set_done(self, job: Job, task: Task) -> None:
        task.state = TaskState.DONE
        job.started[task.id] = task
        self._update(job, task)

    def _unplace(self, task: Task) -> None:
        self.jobs[task.id.job_id].placed.pop(task.id, None)
        placed = self._placed.get(task.worker)
        if placed is not None:
            placed.pop(task.id, None)
            self._bump_version(task.worker)
            if not placed:
                del self._placed[task.worker]

    def record_crash(
        self, task: Task, weight: int, now_unix_ms: int, *, is_immediate: bool = False
    ) -> None:
        """Record that the current run ended with a crash of its worker.

        The job fails once the evidence suffices to give the task up.

        Args:
            task: Task that may have caused the crash.
            weight: Weight of the evidence.
            now_unix_ms: Time of day.
            is_immediate: The crash followed the start immediately.
        """
        crash = CrashRecord(task.run, weight, int(task.lasted_s * 1000), is_immediate)
        # Of the crashes that do not count, the last one tells that there were any.
        task.crashes = (*(c for c in task.crashes if c.weight), crash)
        self.changed.add(task.id.job_id)
        job = self.jobs[task.id.job_id]
        self._update(job, task)
        self._update_job_state(job, task, now_unix_ms)

    def requeue(self, task: Task) -> None:
        """Return a task to the waiting state after its run was lost or will never start."""
        self._unplace(task)
        task.state = _state_without_run(task)
        self._update(self.jobs[task.id.job_id], task)
        self.changed.add(task.id.job_id)

    def _update_job_state(self, job: Job, changed: Task, now_unix_ms: int) -> None:
        """End a job if the change of a task has completed it or exhausted the attempts."""
        if job.state.is_final:
            return
        if self._steps[job.submission.job_id].is_done:
            self._finish(job, JobState.COMPLETED, now_unix_ms)
            return
        tasks = [changed]
        if job.checked_attempts != job.queue.max_attempts:
            # The limit may have changed since the other tasks failed.
            job.checked_attempts = job.queue.max_attempts
            tasks = list(job.started.values())
        if any(self._has_exhausted_attempts(job, task) for task in tasks):
            self._finish(job, JobState.FAILED, now_unix_ms)

    def _has_exhausted_attempts(self, job: Job, task: Task) -> bool:
        """Return whether a task, or its gang, may not have another run."""
        if task.is_done:
            return False
        if is_given_up(task.crashes):
            return True
        step = job.step(task.id)
        if step.is_lasting or not task.failed_runs:
            return False
        failed = set(task.failed_runs)
        if step.is_gang:
            members = (m for m in self.step_tasks(task.id) if not m.is_done)
            failed.update(*(member.failed_runs for member in members))
        return len(failed) >= job.queue.max_attempts

    def _finish(self, job: Job, state: JobState, now_unix_ms: int) -> None:
        job.state = state
        job.ended_unix_ms = now_unix_ms
        self._ended.add(job.submission.job_id)
        self.changed.add(job.submission.job_id)

    def stale_runs(self) -> list[Task]:
        """Return assigned runs that have to be stopped.

        These are the runs of jobs that have ended, and the members of a gang of which another
        member is no longer assigned.
        """
        stale: list[Task] = []
        for job_id in self._ended:
            placed = self.jobs[job_id].placed.values()
            stale += [task for task in placed if task.state is TaskState.ASSIGNED]
        for job_id, key in tuple(self._changed_gangs):
            job = self.jobs.get(job_id)
            found: list[Task] = []
            if job is not None and not job.state.is_final:
                found = _partial_gang(self._steps[job_id].tasks(key))
            if not found:
                self._changed_gangs.discard((job_id, key))
            stale += found
        return stale

    def accounts_within_guarantee(self, guaranteed: Mapping[str, int]) -> frozenset[str]:
        """Return the accounts with urgent jobs that together fit into the account's guarantee.

        Args:
            guaranteed: Guaranteed accelerators by account.
        """
        needed: dict[str, int] = {}
        for job in self.jobs.values():
            if job.queue.priority == 0 and not job.state.is_final:
                account = job.submission.account
                needed[account] = needed.get(account, 0) + job.peak_accelerators
        return frozenset(a for a, count in needed.items() if count <= guaranteed.get(a, 0))

    def ready_units(
        self, now_s: float, now_unix_ms: int, within_guarantee: frozenset[str] = frozenset()
    ) -> list[SchedulingUnit]:
        """Return the units that are due and waiting, with all dependencies completed.

        Args:
            now_s: Local time.
            now_unix_ms: Time of day.
            within_guarantee: Result of `accounts_within_guarantee`.
        """
        units: list[SchedulingUnit] = []
        for job_id, job in self.jobs.items():
            if job.state.is_final:
                continue
            steps = self._steps[job_id]
            is_guaranteed = job.queue.priority == 0 and job.submission.account in within_guarantee
            has_namesakes = len(self._ids[client_job_id(job_id)]) > 1
            for key in steps.ready(now_unix_ms):
                unit = steps.unit(key)
                if (
                    unit is None
                    or unit.queue is not job.queue
                    or unit.is_guaranteed != is_guaranteed
                    # The names in use change with the tasks of other jobs.
                    or has_namesakes
                    or unit.has_namesakes
                ):
                    waiting = _waiting_tasks(job.submission.steps[key[1]], steps.tasks(key))
                    names = self._names_in_use(job, waiting) if has_namesakes else None
                    unit = _unit(job, key, waiting, now_s, names, is_guaranteed=is_guaranteed)
                    steps.set_unit(key, unit)
                units.append(unit)
        return units

    def next_due_unix_ms(self, now_unix_ms: int) -> int | None:
        """Return the time of day at which the next occurrence becomes due; None for never."""
        due = [
            job.submission.next_due_unix_ms(now_unix_ms)
            for job in self.jobs.values()
            if job.submission.start_at_unix_ms and not job.state.is_final
        ]
        return min((time for time in due if time is not None), default=None)


def _waiting_tasks(step: Step, tasks: tuple[Task, ...]) -> list[Task]:
    """Return the waiting tasks of a step that are planned together."""
    waiting = [task for task in tasks if task.state is TaskState.WAITING]
    # Suspects are placed apart from the other tasks of their step, and after them.
    unsuspected = [task for task in waiting if not task.crashes]
    return unsuspected if unsuspected and not step.is_gang else waiting


def _unit(
    job: Job,
    key: StepKey,
    waiting: list[Task],
    now_s: float,
    names_in_use: frozenset[tuple[str, TaskId]] | None,
    *,
    is_guaranteed: bool,
) -> SchedulingUnit:
    """Return the unit of the waiting tasks of a ready step.

    Args:
        job: Job of the step.
        key: Occurrence and index of the step.
        waiting: Tasks of the unit.
        now_s: Local time.
        names_in_use: Result of `_names_in_use`; None if the job has no namesakes.
        is_guaranteed: The account's urgent jobs together fit into its guarantee.
    """
    for task in waiting:
        # A value from before the last placement belongs to an earlier run.
        if task.waiting_since_s <= task.started_s:
            task.waiting_since_s = now_s
    occurrence, number = key
    return SchedulingUnit(
        job.submission.job_id,
        occurrence,
        number,
        job.submission.steps[number],
        job.queue,
        job.submission.account,
        tuple(task.id for task in waiting),
        job.ready_since_s.setdefault(key, now_s),
        job.accepted_s + job.target_s(),
        job.accepted_s,
        is_guaranteed,
        any(task.crashes for task in waiting),
        any(is_kept_alone(task.crashes) for task in waiting),
        min(task.waiting_since_s for task in waiting),
        has_namesakes=names_in_use is not None,
        names_in_use=names_in_use or frozenset(),
    )


def _state_without_run(task: Task) -> TaskState:
    return TaskState.DONE if task.is_completed_earlier else TaskState.WAITING


def _partial_gang(members: tuple[Task, ...]) -> list[Task]:
    assigned = [task for task in members if task.state is TaskState.ASSIGNED]
    return assigned if len(assigned) < len(members) else []
