"""The gang protocol and the allocations, with failures as rules of a state machine."""

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
    """Return a gang whose members reported all steps up to a phase."""
    run = begin_gang(begin_attempt(job, "z", 1, 1, "test"), GANG, 0.0).run
    for state in (TaskState.PREPARED, TaskState.STARTED, None, TaskState.RUNNING):
        if run.phase is phase:
            break
        events = [TaskReported(i, state) for i in range(3)] if state else [RunCommitted(True)]
        for event in events:
            run = advance(run, event, _permission(0.1)).run
    assert run.phase is phase
    return run


def test_gang_takes_all_accelerators_or_none():
    """Guards against two gangs on one accelerator, and a gang that holds a part."""
    allocation = allocate(ZoneAllocation(zone="z"), GANG)
    with pytest.raises(AcceleratorsTakenError):
        allocate(allocation, OTHER)
    with pytest.raises(AcceleratorsTakenError):
        allocate(allocation, replace(GANG, members=GANG.members[:2]))
    assert allocate(allocation, GANG) is allocation
    # The release of an older attempt may be lost; it must not block the next attempt for ever.
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
    """Guards against work that begins after the preparation is over."""
    run = _run_to(GangPhase.COMMITTING)
    step = advance(run, RunCommitted(True), _permission(1.5))
    assert step.run.phase is GangPhase.STOPPING
    assert not any(m.may_have_run for m in step.run.members)


@pytest.mark.parametrize("phase", [GangPhase.OPENING, GangPhase.RUNNING])
def test_pause_of_the_scheduler_is_no_silence_of_the_workers(phase):
    """Guards against a scheduler that wakes up and stops gangs whose reports it has not read."""
    run = _run_to(phase)
    woken = replace(_permission(20.0), observing_since_s=20.0)
    run = advance(run, TimePassed(), woken).run
    for index in range(3):
        assert run.phase is phase
        run = advance(run, TaskReported(index, TaskState.RUNNING, True), woken).run
    assert run.phase is GangPhase.RUNNING


def test_silent_worker_keeps_its_accelerators_until_the_lease_lapsed():
    """Guards against accelerators that are given away while the task may still run."""
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
        seen = TaskReported(index, TaskState.RUNNING, True, label)
        step = advance(run, seen, _permission(1.1))
        run = step.run
    assert run.phase is GangPhase.STOPPING
    for index in range(3):
        step = advance(run, TaskReported(index, TaskState.STOPPED, True), _permission(1.2))
        run = step.run
    assert step.effects == (EndAttempt(JobState.WAITING, "reclaim", label),)


@pytest.mark.parametrize("state", [JobState.RUNNING, JobState.PREPARING])
def test_taken_over_start_is_not_completed(state):
    """Guards against a barrier that a successor opens after the preparation is over."""
    job = begin_attempt(WAITING, "z", 1, 1, "test")
    job = transition(job, state, 1, "test") if state is JobState.RUNNING else job
    run = resume_gang(job, GANG, 10.0)
    step = advance(run, TaskReported(0, TaskState.STARTED), _permission(10.1))
    for index in range(3):
        seen = TaskReported(index, TaskState.STOPPED, has_run=False)
        step = advance(step.run, seen, _permission(10.2))
    assert [e.state for e in step.effects] == [JobState.WAITING]


@dataclass
class _Task:
    state: TaskState
    prepared_s: float
    lease_until_s: float
    has_run: bool = False


@dataclass
class _Worker:
    """A worker by the rules of the protocol: fencing, validity of preparations, task leases."""

    attempt: int = 0
    term: int = 0
    tasks: dict[int, _Task] = field(default_factory=dict)

    def refresh(self, now_s):
        for task in self.tasks.values():
            is_live = task.state in (TaskState.PREPARED, TaskState.STARTED, TaskState.RUNNING)
            is_late = task.state is TaskState.PREPARED and now_s - task.prepared_s > 2.0
            if is_live and (is_late or now_s > task.lease_until_s):
                task.state = TaskState.EXPIRED

    def carry_out(self, term, attempt, operation, now_s):
        """Carry out a command; return the reason for a refusal."""
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
        self.seen_zone_out = False
        self.cancelled_s = None
        self.worked = {}
        self.released = {}
        self.run = None

    @initialize(is_idempotent=st.booleans())
    def submit(self, is_idempotent):
        """Begin with a waiting job."""
        self.job = replace(WAITING, idempotent=is_idempotent)
        self.allocation = raise_term(ZoneAllocation(), "z", "s0")

    def _permission(self):
        return StartPermission(self.now_s, Evidence(1, self.evidence_s), self.seen_zone_out)

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
        """Assign the job and take its accelerators."""
        if not self._permission().allows_start:
            # A later confirmation of the configuration would allow it.
            self.evidence_s = self.now_s if self.zone_out_s is None else self.evidence_s
            return
        self.job = begin_attempt(self.job, "z", self.allocation.term, 1, "start")
        gang = replace(GANG, attempt=self.job.attempt)
        self.allocation = allocate(self.allocation, gang)
        self._apply(begin_gang(self.job, gang, self.now_s))

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), answer=st.booleans(), keep=st.booleans())
    def deliver(self, data, answer, keep):
        """Deliver any command, possibly once more later, possibly without its answer."""
        index = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[index] if keep else self.messages.pop(index)
        self._carry_out(message, answer)

    @precondition(lambda self: self.messages)
    @rule()
    def deliver_all(self):
        """Deliver all commands in order with their answers, the usual case."""
        messages, self.messages = self.messages, []
        for message in messages:
            self._carry_out(message, True)

    @precondition(lambda self: self.run is not None)
    @rule(steps=st.integers(1, 4))
    def progress(self, steps):
        """Let some steps of a start succeed, so that later steps are reached often."""
        for _ in range(steps):
            self.deliver_all()
            if self.commits:
                self.write_commit(False)

    def _carry_out(self, message, answer):
        term, attempt, operation, member = message
        worker = self.workers[member]
        refusal = worker.carry_out(term, attempt, operation, self.now_s)
        task = worker.tasks.get(attempt)
        if operation is Operation.RUN and task and task.has_run:
            self.worked.setdefault((attempt, member), self.now_s)
        is_current = (
            self.run is not None
            and attempt == self.run.attempt
            and term == self.allocation.term
            and answer
        )
        if is_current and refusal:
            self._advance(CommandRefused(member, operation, refusal))
        elif is_current:
            self.report(member)

    @precondition(lambda self: self.run is not None)
    @rule(member=st.integers(0, 2))
    def report(self, member):
        """Report a task and renew its lease, as a periodic call does."""
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
        """Let time pass; the scheduler checks its limits."""
        self.now_s += passed_s
        self._advance(TimePassed())

    def _take_zone_out(self, member):
        """Take the zone out; the scheduler may not learn of it."""
        if self.zone_out_s is None:
            self.zone_out_s, self.seen_zone_out = self.now_s, member == 0

    def _cancel(self, _member):
        """Confirm a cancel; the scheduler may learn of it late."""
        # The check compares clock readings, so work that began before must have an earlier one.
        self.now_s += 0.001
        if self.cancelled_s is None and self.job.state is JobState.WAITING:
            self.job = transition(self.job, JobState.CANCELLED, 1, "cancel")
        if self.job.state in (JobState.CANCELLED, JobState.PREPARING):
            self.cancelled_s = self.cancelled_s or self.now_s

    def _request_stop(self, member):
        """Stop the gang on a decision of the planner."""
        reason = ("reclaim", "zone_out", "cancel")[member]
        if reason != "cancel" or self.cancelled_s is not None:
            self._advance(StopRequested(reason, 0.0 if reason == "cancel" else 2.0))

    def _replace_scheduler(self, _member):
        """Let another scheduler take the zone over."""
        if self.run is None:
            return
        self.allocation = raise_term(self.allocation, "z", "next")
        self.job = replace(self.job, term=self.allocation.term)
        self.run = resume_gang(self.job, self.allocation.gangs["j"], self.now_s)

    @rule(kind=st.sampled_from(_FAILURES), member=st.integers(0, 2))
    def fail(self, kind, member):
        """Let one thing happen that a start does not expect."""
        getattr(self, f"_{kind}")(member)

    def _restart_worker(self, member):
        """Let a worker lose its tasks."""
        self.workers[member].tasks.clear()

    def _complete_task(self, member):
        """Let a running task complete."""
        worker = self.workers[member]
        worker.refresh(self.now_s)
        for task in worker.tasks.values():
            if task.state is TaskState.RUNNING:
                task.state = TaskState.DONE

    @invariant()
    def no_member_works_before_all_have_started(self):
        """Guards against a gang that runs partially."""
        for attempt, member in self.worked:
            for other in self.workers:
                # A worker that restarted has forgotten its tasks; it may have started one.
                task = other.tasks.get(attempt)
                assert task is None or task.state is not TaskState.PREPARED, (attempt, member)

    @invariant()
    def unrepeatable_work_runs_in_one_attempt(self):
        """Guards against work that runs twice."""
        attempts = {attempt for attempt, _ in self.worked}
        assert self.job is None or self.job.idempotent or len(attempts) <= 1

    @invariant()
    def nothing_works_late_after_zone_out(self):
        """Guards against a start more than 5 s after a zone-out."""
        if self.zone_out_s is not None:
            assert all(at_s <= self.zone_out_s + 5.0 for at_s in self.worked.values())

    @invariant()
    def nothing_works_after_a_confirmed_cancel(self):
        """Guards against a cancelled job that starts."""
        if self.cancelled_s is not None:
            assert all(at_s < self.cancelled_s for at_s in self.worked.values())

    @invariant()
    def nothing_works_on_released_accelerators(self):
        """Guards against two gangs on one accelerator."""
        for worker in self.workers:
            worker.refresh(self.now_s)
            for attempt, task in worker.tasks.items():
                assert attempt not in self.released or task.state is not TaskState.RUNNING


TestGangMachine = GangMachine.TestCase
# Violations need several steps in a row; fewer examples let mutants of the protocol pass.
TestGangMachine.settings = settings(max_examples=max(400, settings().max_examples))


def _resumed_running_gang():
    job = begin_attempt(WAITING, "z", 1, 1, "test")
    job = transition(job, JobState.RUNNING, 1, "test")
    return resume_gang(job, GANG, 10.0)


def _stop_all_but_first(run, now_s):
    for index in (1, 2):
        run = advance(run, TaskReported(index, TaskState.STOPPED, True), _permission(now_s)).run
    return run


def test_unheard_worker_of_a_previous_holder_is_not_released():
    """Guards against a task that a partitioned previous holder renews while its job runs again."""
    run = _stop_all_but_first(_resumed_running_gang(), 11.0)
    for now_s in (41.5, 100.0, 1000.0):
        step = advance(run, TimePassed(), _permission(now_s))
        run = step.run
        assert run.phase is not GangPhase.ENDED
        assert not any(isinstance(e, EndAttempt) for e in step.effects)


def test_lease_of_a_removed_worker_counts_from_its_removal():
    """Guards against accelerators that stay taken after the platform has removed a worker."""
    run = _stop_all_but_first(_resumed_running_gang(), 11.0)
    gone = WorkersRemoved(frozenset({GANG.members[0].worker}))
    run = advance(run, gone, _permission(100.0)).run
    run = advance(run, TimePassed(), _permission(129.0)).run
    assert run.phase is not GangPhase.ENDED
    assert advance(run, TimePassed(), _permission(131.0)).run.phase is GangPhase.ENDED


def test_worker_that_was_heard_under_the_own_term_lapses():
    """Guards against accelerators that stay taken although no other holder can renew."""
    run = advance(
        _resumed_running_gang(), TaskReported(0, TaskState.RUNNING, True), _permission(10.5)
    )
    run = _stop_all_but_first(run.run, 11.0)
    assert advance(run, TimePassed(), _permission(41.0)).run.phase is GangPhase.ENDED
