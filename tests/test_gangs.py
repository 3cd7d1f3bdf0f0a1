"""Gang protocol and allocations: single cases, and a state machine that injects failures.

The state machine drives the protocol against model workers. Commands, replies and store writes are
lost, delayed and repeated, and zones, schedulers and workers fail in any order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from foxtailwell.core import (
    TASK_LEASE_S,
    CommandRefused,
    CommitRun,
    EndAttempt,
    Evidence,
    Gang,
    GangPhase,
    GangSpec,
    Job,
    JobState,
    Member,
    Operation,
    RunCommitted,
    StartPermission,
    StopRequested,
    TaskReported,
    TaskState,
    TimePassed,
    WorkersRemoved,
    ZoneAllocation,
    advance,
    allocate,
    begin_attempt,
    begin_gang,
    raise_term,
    release,
    resume_gang,
    transition,
)
from foxtailwell.core.errors import AcceleratorsTakenError

WAITING = Job("j", "a", "c", GangSpec(3, 4), 1.0, False, "", 1, JobState.WAITING)
GANG = Gang("j", 1, "a", tuple(Member(f"w{i}", (0, 1)) for i in range(3)))
OTHER = Gang("k", 1, "a", (Member("w2", (2, 3)), Member("w2", (1,))))


def _permission(now_s, age_s=0.0, is_zone_out=False):
    return StartPermission(now_s, Evidence(1, now_s - age_s), is_zone_out)


def _run_to(phase, job=WAITING):
    """Return an attempt whose members reported every step up to a phase."""
    run = begin_gang(begin_attempt(job, "z", 1, 1, "test"), GANG, 0.0).run
    for state in (TaskState.PREPARED, TaskState.STARTED, None, TaskState.RUNNING):
        if run.phase is phase:
            break
        events = [TaskReported(i, state) for i in range(3)] if state else [RunCommitted(True)]
        for event in events:
            run = advance(run, event, _permission(0.1)).run
    assert run.phase is phase
    return run


def test_gang_allocates_all_accelerators_or_none():
    """Guards against two gangs on one accelerator, and a gang that holds only some of its own."""
    allocation = allocate(ZoneAllocation(zone="z"), GANG)
    with pytest.raises(AcceleratorsTakenError):
        allocate(allocation, OTHER)
    with pytest.raises(AcceleratorsTakenError):
        allocate(allocation, replace(GANG, members=GANG.members[:2]))
    assert allocate(allocation, GANG) is allocation
    # The release of an older attempt may be lost; it must not block later attempts.
    assert allocate(allocation, replace(GANG, attempt=2)).gangs["j"].attempt == 2
    with pytest.raises(AcceleratorsTakenError):
        allocate(allocate(ZoneAllocation(zone="z"), replace(GANG, attempt=2)), GANG)
    assert release(allocation, "j", 2) is allocation
    assert raise_term(release(allocation, "j", 1), "z", "s") == ZoneAllocation(
        zone="z", term=1, holder="s"
    )


@pytest.mark.parametrize(("age_s", "is_out"), [(3.1, False), (0.0, True)])
def test_start_needs_fresh_evidence_of_a_zone_in_service(age_s, is_out):
    """Guards against a start in a zone that was taken out without this scheduler noticing."""
    run = begin_gang(begin_attempt(WAITING, "z", 1, 1, "test"), GANG, 0.0).run
    operations = []
    for index in range(3):
        permission = _permission(0.1, age_s, is_out)
        step = advance(run, TaskReported(index, TaskState.PREPARED), permission)
        operations += [c.operation for c in step.commands]
        run = step.run
    run = advance(run, TimePassed(), _permission(1.1, age_s, is_out)).run
    assert run.phase is GangPhase.STOPPING
    assert Operation.START not in operations


@pytest.mark.parametrize(
    ("phase", "state"),
    [(GangPhase.PREPARING, TaskState.PREPARED), (GangPhase.STARTING, TaskState.STARTED)],
)
def test_next_step_waits_for_every_member(phase, state):
    """Guards against a barrier that opens while a member has not started."""
    run = _run_to(phase)
    for index in (0, 2):
        step = advance(run, TaskReported(index, state), _permission(0.1))
        assert step.run.phase is phase
        assert not step.commands
        assert not step.effects
        run = step.run


def test_late_commit_does_not_open_the_barrier():
    """Guards against tasks that run after their preparation has expired."""
    run = _run_to(GangPhase.COMMITTING)
    step = advance(run, RunCommitted(True), _permission(1.5))
    assert step.run.phase is GangPhase.STOPPING
    assert not any(m.may_have_run for m in step.run.members)


@pytest.mark.parametrize("phase", [GangPhase.OPENING, GangPhase.RUNNING])
def test_pause_of_the_scheduler_does_not_count_as_lost_workers(phase):
    """Guards against a scheduler that stops gangs after a pause, before it reads their reports."""
    run = _run_to(phase)
    resumed = replace(_permission(20.0), observing_since_s=20.0)
    run = advance(run, TimePassed(), resumed).run
    for index in range(3):
        assert run.phase is phase
        run = advance(run, TaskReported(index, TaskState.RUNNING, True), resumed).run
    assert run.phase is GangPhase.RUNNING


def test_unresponsive_worker_keeps_its_accelerators_until_the_lease_expired():
    """Guards against accelerators that are released while the task may still run."""
    run = _run_to(GangPhase.RUNNING)
    for index in (0, 1):
        run = advance(run, TaskReported(index, TaskState.RUNNING), _permission(16.0)).run
    step = advance(run, TimePassed(), _permission(16.1))
    assert step.run.phase is GangPhase.STOPPING
    run = step.run
    for index in (0, 1):
        run = advance(run, TaskReported(index, TaskState.STOPPED, True), _permission(16.2)).run
    assert advance(run, TimePassed(), _permission(0.1 + TASK_LEASE_S)).run.phase is run.phase
    step = advance(run, TimePassed(), _permission(0.2 + TASK_LEASE_S))
    assert step.effects[0].state is JobState.FAILED
    assert "outcome_unknown" in step.effects[0].reason


def test_checkpoint_of_all_members_returns_with_the_job():
    """Guards against a checkpoint of some members only, from which no gang can continue."""
    run = _run_to(GangPhase.RUNNING)
    step = advance(run, StopRequested("reclaim", 2.0), _permission(1.0))
    label = step.commands[0].checkpoint
    run = step.run
    for index in range(3):
        assert not run.checkpoint
        report = TaskReported(index, TaskState.RUNNING, True, label)
        step = advance(run, report, _permission(1.1))
        run = step.run
    assert run.phase is GangPhase.STOPPING
    for index in range(3):
        step = advance(run, TaskReported(index, TaskState.STOPPED, True), _permission(1.2))
        run = step.run
    ended = EndAttempt(JobState.WAITING, "reclaim", label, lasted_s=1.0)
    assert step.effects == (ended,)


@pytest.mark.parametrize("state", [JobState.RUNNING, JobState.PREPARING])
def test_taken_over_start_is_not_completed(state):
    """Guards against a new scheduler that opens the barrier of an expired preparation."""
    job = begin_attempt(WAITING, "z", 1, 1, "test")
    job = transition(job, state, 1, "test") if state is JobState.RUNNING else job
    run = resume_gang(job, GANG, 10.0)
    step = advance(run, TaskReported(0, TaskState.STARTED), _permission(10.1))
    for index in range(3):
        report = TaskReported(index, TaskState.STOPPED, has_run=False)
        step = advance(step.run, report, _permission(10.2))
    assert [e.state for e in step.effects] == [JobState.WAITING]


@dataclass
class _Task:
    state: TaskState
    prepared_s: float
    lease_until_s: float
    has_run: bool = False


@dataclass
class _Worker:
    """Model of a worker: fencing tokens, expiry of preparations, task leases."""

    attempt: int = 0
    term: int = 0
    tasks: dict[int, _Task] = field(default_factory=dict)

    def refresh(self, now_s):
        for task in self.tasks.values():
            is_live = task.state in (TaskState.PREPARED, TaskState.STARTED, TaskState.RUNNING)
            is_late = task.state is TaskState.PREPARED and now_s - task.prepared_s > 2.0
            if is_live and (is_late or now_s > task.lease_until_s):
                task.state = TaskState.EXPIRED

    def apply_command(self, term, attempt, operation, now_s):
        """Apply a command, and return the reason when it is refused."""
        self.refresh(now_s)
        if term < self.term or attempt < self.attempt:
            return "stale"
        self.term, self.attempt = term, attempt
        task = self.tasks.get(attempt)
        if task is None and operation in (Operation.PREPARE, Operation.STOP):
            state = TaskState.PREPARED if operation is Operation.PREPARE else TaskState.STOPPED
            self.tasks[attempt] = _Task(state, now_s, now_s + TASK_LEASE_S)
        elif task is None:
            return "unknown_task"
        elif operation is Operation.STOP and task.state not in (TaskState.DONE, TaskState.EXPIRED):
            task.state = TaskState.STOPPED
        elif operation is Operation.START and task.state is TaskState.PREPARED:
            task.state = TaskState.STARTED
        elif operation is Operation.RUN and task.state is TaskState.STARTED:
            if now_s - task.prepared_s > 2.0:
                task.state = TaskState.EXPIRED
                return "late"
            task.state, task.has_run = TaskState.RUNNING, True
        return None


_FAILURES = (
    "take_zone_out",
    "cancel",
    "request_stop",
    "replace_scheduler",
    "restart_worker",
    "complete_task",
)


class GangMachine(RuleBasedStateMachine):
    """One job with its schedulers and workers; messages are lost, delayed and repeated."""

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.workers = [_Worker() for _ in range(3)]
        self.messages = []
        self.commits = []
        self.begun = {}
        self.evidence_s = self.now_s
        self.zone_out_s = None
        self.has_zone_out_notice = False
        self.cancelled_s = None
        self.first_run_s = {}
        self.released = {}
        self.run = None

    @initialize(is_idempotent=st.booleans())
    def submit(self, is_idempotent):
        """Submit the job and create the allocation of its zone."""
        self.job = replace(WAITING, idempotent=is_idempotent)
        self.allocation = raise_term(ZoneAllocation(), "z", "s0")

    def _permission(self):
        return StartPermission(self.now_s, Evidence(1, self.evidence_s), self.has_zone_out_notice)

    def _advance(self, event):
        if self.run is not None:
            self._apply(advance(self.run, event, self._permission()))

    def _apply(self, step):
        self.run = step.run
        for command in step.commands:
            message = (self.allocation.term, self.run.attempt, command.operation, command.member)
            self.messages.append(message)
        for effect in step.effects:
            if isinstance(effect, CommitRun):
                self.commits.append((self.allocation.term, self.run.attempt))
            elif isinstance(effect, EndAttempt):
                self._end(effect)

    def _end(self, end):
        attempt = self.run.attempt
        self.job = transition(self.job, end.state, 1, end.reason)
        if self.job.state is JobState.WAITING and self.cancelled_s is not None:
            self.job = transition(self.job, JobState.CANCELLED, 1, "cancel")
        self.allocation = release(self.allocation, "j", attempt)
        self.released[attempt] = self.now_s
        self.run = None

    @precondition(lambda self: self.run is None and self.job.state is JobState.WAITING)
    @rule()
    def start(self):
        """Assign the job and allocate its accelerators."""
        if not self._permission().allows_start:
            # Renews the evidence, so that a later start is allowed.
            self.evidence_s = self.now_s if self.zone_out_s is None else self.evidence_s
            return
        self.job = begin_attempt(self.job, "z", self.allocation.term, 1, "start")
        gang = replace(GANG, attempt=self.job.attempt)
        self.allocation = allocate(self.allocation, gang)
        self._apply(begin_gang(self.job, gang, self.now_s))

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), has_reply=st.booleans(), is_repeated=st.booleans())
    def deliver(self, data, has_reply, is_repeated):
        """Deliver any command; it may be delivered again later, and its reply may be lost."""
        index = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[index] if is_repeated else self.messages.pop(index)
        self._deliver(message, has_reply)

    @precondition(lambda self: self.messages)
    @rule()
    def deliver_all(self):
        """Deliver all commands in order with their replies, as without failures."""
        messages, self.messages = self.messages, []
        for message in messages:
            self._deliver(message, True)

    @precondition(lambda self: self.run is not None)
    @rule(steps=st.integers(1, 4))
    def progress(self, steps):
        """Run several rounds of a start without failures, so that later phases are reached."""
        for _ in range(steps):
            self.deliver_all()
            if self.commits:
                self.write_commit(False)

    def _deliver(self, message, has_reply):
        term, attempt, operation, member = message
        worker = self.workers[member]
        refusal = worker.apply_command(term, attempt, operation, self.now_s)
        task = worker.tasks.get(attempt)
        if operation is Operation.RUN and task and task.has_run:
            self.first_run_s.setdefault((attempt, member), self.now_s)
        is_current = (
            self.run is not None
            and attempt == self.run.attempt
            and term == self.allocation.term
            and has_reply
        )
        if is_current and refusal:
            self._advance(CommandRefused(member, operation, refusal))
        elif is_current:
            self.report(member)

    @precondition(lambda self: self.run is not None)
    @rule(member=st.integers(0, 2))
    def report(self, member):
        """Report a task and renew its lease, as the periodic call of the scheduler does."""
        worker = self.workers[member]
        worker.refresh(self.now_s)
        worker.term = max(worker.term, self.allocation.term)
        task = worker.tasks.get(self.run.attempt)
        if task is None:
            self._advance(TaskReported(member, TaskState.ABSENT))
            return
        if self.run.phase is not GangPhase.STOPPING:
            task.lease_until_s = max(task.lease_until_s, self.now_s + TASK_LEASE_S)
        self._advance(TaskReported(member, task.state, task.has_run))

    @precondition(lambda self: self.commits)
    @rule(is_lost=st.booleans())
    def write_commit(self, is_lost):
        """Write the job as running, unless it is cancelled or another scheduler took over."""
        term, attempt = self.commits.pop()
        is_own = (self.job.term, self.job.attempt) == (term, attempt)
        if not is_own or self.job.state is not JobState.PREPARING or self.cancelled_s is not None:
            if is_own:
                self._advance(RunCommitted(False, "cancelled"))
            return
        self.job = transition(self.job, JobState.RUNNING, 1, "run")
        if not is_lost:
            self._advance(RunCommitted(True))

    @rule(passed_s=st.sampled_from([0.05, 0.35, 0.35, 1.0, 2.1, 16.0, 31.0]))
    def pass_time(self, passed_s):
        """Advance the clock, and let the scheduler check its time limits."""
        self.now_s += passed_s
        self._advance(TimePassed())

    def _take_zone_out(self, member):
        """Take the zone out of service; the scheduler may not be notified."""
        if self.zone_out_s is None:
            self.zone_out_s, self.has_zone_out_notice = self.now_s, member == 0

    def _cancel(self, _member):
        """Confirm a cancellation; the scheduler may be notified late."""
        # The invariant compares clock readings: a run before the cancellation needs an earlier one.
        self.now_s += 0.001
        if self.cancelled_s is None and self.job.state is JobState.WAITING:
            self.job = transition(self.job, JobState.CANCELLED, 1, "cancel")
        if self.job.state in (JobState.CANCELLED, JobState.PREPARING):
            self.cancelled_s = self.cancelled_s or self.now_s

    def _request_stop(self, member):
        """Request a stop, as the planner or a cancellation does."""
        reason = ("reclaim", "zone_out", "cancel")[member]
        if reason != "cancel" or self.cancelled_s is not None:
            self._advance(StopRequested(reason, 0.0 if reason == "cancel" else 2.0))

    def _replace_scheduler(self, _member):
        """Let another scheduler take over the zone with a higher fencing token."""
        if self.run is None:
            return
        self.allocation = raise_term(self.allocation, "z", "next")
        self.job = replace(self.job, term=self.allocation.term)
        self.run = resume_gang(self.job, self.allocation.gangs["j"], self.now_s)

    @rule(kind=st.sampled_from(_FAILURES), member=st.integers(0, 2))
    def fail(self, kind, member):
        """Inject one failure."""
        getattr(self, f"_{kind}")(member)

    def _restart_worker(self, member):
        """Restart a worker process, which loses its tasks."""
        self.workers[member].tasks.clear()

    def _complete_task(self, member):
        """Complete the running tasks of a worker."""
        worker = self.workers[member]
        worker.refresh(self.now_s)
        for task in worker.tasks.values():
            if task.state is TaskState.RUNNING:
                task.state = TaskState.DONE

    @invariant()
    def no_member_runs_before_all_have_started(self):
        """Guards against a gang of which only some members run."""
        for attempt, member in self.first_run_s:
            for other in self.workers:
                # A restarted worker no longer knows its tasks, so an unknown task may have started.
                task = other.tasks.get(attempt)
                assert task is None or task.state is not TaskState.PREPARED, (attempt, member)

    @invariant()
    def non_idempotent_job_runs_in_one_attempt(self):
        """Guards against a second run of a job that is not idempotent."""
        attempts = {attempt for attempt, _ in self.first_run_s}
        assert self.job is None or self.job.idempotent or len(attempts) <= 1

    @invariant()
    def nothing_runs_late_after_zone_out(self):
        """Guards against a run that begins more than 5 s after the zone was taken out."""
        if self.zone_out_s is not None:
            assert all(at_s <= self.zone_out_s + 5.0 for at_s in self.first_run_s.values())

    @invariant()
    def nothing_runs_after_a_confirmed_cancel(self):
        """Guards against a run that begins after the cancellation was confirmed."""
        if self.cancelled_s is not None:
            assert all(at_s < self.cancelled_s for at_s in self.first_run_s.values())

    @invariant()
    def nothing_runs_on_released_accelerators(self):
        """Guards against two gangs on one accelerator."""
        for worker in self.workers:
            worker.refresh(self.now_s)
            for attempt, task in worker.tasks.items():
                assert attempt not in self.released or task.state is not TaskState.RUNNING


TestGangMachine = GangMachine.TestCase
# A violation needs several steps in a row. With fewer examples, faulty variants of the protocol
# pass this test.
TestGangMachine.settings = settings(max_examples=max(400, settings().max_examples))


def _resumed_running_gang():
    job = begin_attempt(WAITING, "z", 1, 1, "test")
    job = transition(job, JobState.RUNNING, 1, "test")
    return resume_gang(job, GANG, 10.0)


def _stop_all_but_first(run, now_s):
    for index in (1, 2):
        run = advance(run, TaskReported(index, TaskState.STOPPED, True), _permission(now_s)).run
    return run


def test_worker_without_a_report_since_takeover_is_not_released():
    """Guards against a second run while a partitioned previous holder still renews the task."""
    run = _stop_all_but_first(_resumed_running_gang(), 11.0)
    for now_s in (41.5, 100.0, 1000.0):
        step = advance(run, TimePassed(), _permission(now_s))
        run = step.run
        assert run.phase is not GangPhase.ENDED
        assert not any(isinstance(e, EndAttempt) for e in step.effects)


def test_lease_of_a_removed_worker_counts_from_its_removal():
    """Guards against accelerators that stay allocated after their worker was removed."""
    run = _stop_all_but_first(_resumed_running_gang(), 11.0)
    removal = WorkersRemoved(frozenset({GANG.members[0].worker}))
    run = advance(run, removal, _permission(100.0)).run
    run = advance(run, TimePassed(), _permission(129.0)).run
    assert run.phase is not GangPhase.ENDED
    assert advance(run, TimePassed(), _permission(131.0)).run.phase is GangPhase.ENDED


def test_lease_of_a_worker_that_reported_under_the_own_term_expires():
    """Guards against accelerators that stay allocated although no other scheduler can renew."""
    run = advance(
        _resumed_running_gang(), TaskReported(0, TaskState.RUNNING, True), _permission(10.5)
    )
    run = _stop_all_but_first(run.run, 11.0)
    assert advance(run, TimePassed(), _permission(41.0)).run.phase is GangPhase.ENDED
