"""Jobs whose clients chose the same identifier: on one queue, and on several."""

from __future__ import annotations

from dataclasses import replace

import anyio
import msgspec
import pytest

from controller_harness import LATER, URGENT, job_id, make_deployment, step, until
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller import CancelOutcome, Intake, SubmitOutcome, _controller, _intake
from foxtailwell.controller._commits import Commits, JobChange
from foxtailwell.controller._records import (
    decode_progress,
    encode_progress,
    job_key,
    progress_key,
)
from foxtailwell.controller._stored_jobs import StoredJobs
from foxtailwell.workflows import (
    AdviceRules,
    Change,
    EndKind,
    FleetView,
    JobRegistry,
    JobState,
    Placement,
    Queue,
    Reservation,
    Resources,
    RunNumbers,
    Submission,
    TaskId,
    WorkerView,
    namesake_id,
    plan,
    submission_digest,
)
from foxtailwell.workflows._identifiers import MAX_RANGES, close_run_numbers, with_run
from foxtailwell_standins.platform_store import MemoryStore, StoreFaults
from foxtailwell_standins.platform_worker import MemoryAdvisor

pytestmark = pytest.mark.anyio

ID = job_id(1)
WHOLE = Resources(10_000, 10_000, 8)
OTHER = Queue("other", "pool")


def job(queue=LATER, count=1, account="acme", **fields):
    """Return a job with the common identifier, whose payload names its queue."""
    return Submission(ID, queue.name, account, f"payload of {queue.name}", (step(count, **fields),))


async def submit(deployment, submission):
    """Submit a job through any instance."""
    return await deployment.intake.submit(submission, {})


def runs_of(deployment, queue):
    """Return the runs of a queue's job as (task, run, worker, how it ended)."""
    payload = f"payload of {queue.name}"
    return [
        (span.task, span.run, span.worker, span.end_kind)
        for worker in deployment.workers.values()
        for span in worker.spans
        if span.payload == payload
    ]


async def completes(deployment, queue, limit_s=4.0):
    """Return whether a queue's job is shown as completed within the given time."""
    for _ in range(int(limit_s / 0.02)):
        if await deployment.state(ID, queue) is JobState.COMPLETED:
            return True
        await anyio.sleep(0.02)
    return False


def check_runs(deployment):
    """Check that no two runs of a task name have one number, and none share a worker at once."""
    spans = [span for worker in deployment.workers.values() for span in worker.spans]
    assert len({(span.task, span.run) for span in spans}) == len(spans)
    for one in spans:
        for other in spans:
            if one is not other and (one.task, one.worker) == (other.task, other.worker):
                assert one.ended_s <= other.started_s or other.ended_s <= one.started_s


async def _nothing(deployment, instance):
    return instance


async def _kill(deployment, instance):
    instance.kill()
    return deployment.start("two")


async def _hand_over(deployment, instance):
    successor = deployment.start("two")
    await instance.leadership.stop(1.0)
    return successor


async def _crash_a_worker(deployment, instance):
    deployment.holder_of(f"{ID}.0.0.0").crash()
    return instance


EVENTS = (_nothing, _kill, _hand_over, _crash_a_worker)


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
async def test_jobs_with_one_id_on_two_queues_both_run(group, event):
    """Guards against an accepted job that never runs because another queue's job has its ID."""
    deployment = make_deployment(group, 3, task_duration_s=0.4)
    instance = deployment.start("one")
    assert await submit(deployment, job(LATER)) is SubmitOutcome.STORED
    assert await until(lambda: bool(runs_of(deployment, LATER)))
    assert await submit(deployment, job(URGENT, 3)) is SubmitOutcome.STORED
    await event(deployment, instance)
    assert await completes(deployment, LATER, 8.0)
    assert await completes(deployment, URGENT, 8.0)
    for queue, count in ((LATER, 1), (URGENT, 3)):
        done = {task for task, _, _, how in runs_of(deployment, queue) if how is EndKind.DONE}
        assert len(done) == count
    check_runs(deployment)


async def test_job_with_the_id_of_an_ended_one_runs(group):
    """Guards against the end of another queue's job that counts as that of a later job."""
    deployment = make_deployment(group, 1, task_duration_s=0.1)
    deployment.queues = (LATER, URGENT, OTHER)
    instance = deployment.start("one")
    await submit(deployment, job(LATER))
    assert await completes(deployment, LATER)
    for queue in (URGENT, OTHER):
        assert await submit(deployment, job(queue)) is SubmitOutcome.STORED
        assert await deployment.state(ID, queue) is not JobState.COMPLETED
        assert await completes(deployment, queue)
        # The next controller knows the numbers of ended jobs from their records only.
        instance.kill()
        instance = deployment.start(f"after-{queue.name}")
        assert await until(lambda i=instance: i.leadership.is_controller)
    check_runs(deployment)


async def test_second_of_many_jobs_with_one_id_waits_only_for_the_name(group):
    """Guards against a start under a name that its worker is running, which it rejects."""
    deployment = make_deployment(group, 1)
    deployment.start("one")
    worker = deployment.workers["w0"]
    await submit(deployment, job(LATER, 2))
    assert await until(lambda: len(worker.running) == 2)
    await submit(deployment, job(URGENT, 3))
    assert await until(lambda: len(worker.running) == 3)
    commands = len(worker.commands)
    await anyio.sleep(0.5)
    assert len(worker.commands) == commands
    assert worker.running[f"{ID}.0.0.2"].payload == "payload of urgent"
    worker.end(f"{ID}.0.0.0", EndKind.DONE)
    assert await until(lambda: f"{ID}.0.0.0" in worker.running)
    assert worker.running[f"{ID}.0.0.0"].payload == "payload of urgent"


async def test_lasting_job_does_not_keep_its_namesake_from_other_workers(group):
    """Guards against a job that waits for as long as another account's job with its ID lasts."""
    deployment = make_deployment(group, 2, task_duration_s=0.1)
    for worker in deployment.workers.values():
        worker.payload_duration_s = lambda text: float("inf") if LATER.name in text else 0.1
    deployment.start("one")
    await submit(deployment, job(LATER, is_lasting=True))
    assert await until(lambda: bool(runs_of(deployment, LATER)))
    await submit(deployment, job(URGENT, 2, account="other", is_gang=True))
    assert await completes(deployment, URGENT)
    check_runs(deployment)


async def test_end_is_booked_to_the_job_whose_run_has_ended(group):
    """Guards against an end that a namesake's worker lists after the run has been replaced."""
    deployment = make_deployment(group, 2)
    deployment.start("one", lease_ms=1000)
    group.start_soon(deployment.send_heartbeats)
    await submit(deployment, job(LATER))
    name = f"{ID}.0.0.0"
    assert await until(lambda: len(deployment.runs(name)) == 1)
    silent = deployment.holder_of(name)
    silent.faults.is_unreachable = True
    silent.end(name, EndKind.DONE)
    await submit(deployment, job(URGENT))
    assert await until(lambda: len(runs_of(deployment, URGENT)) == 1)
    other = next(w for w in deployment.workers.values() if w is not silent)
    assert other.running[name].payload == "payload of urgent"
    silent.faults.is_unreachable = False
    assert await completes(deployment, LATER)
    assert await deployment.state(ID, URGENT) is JobState.RUNNING
    other.end(name, EndKind.DONE)
    assert await completes(deployment, URGENT)


async def test_checkpoint_goes_to_the_job_that_saved_it(group):
    """Guards against a start that carries the checkpoint of another job's task."""
    deployment = make_deployment(group, 2)
    deployment.start("one")
    name = f"{ID}.0.0.0"
    for queue in (LATER, URGENT):
        await submit(deployment, job(queue, is_checkpointing=True))
        assert await until(lambda q=queue: bool(runs_of(deployment, q)))
    for worker in deployment.workers.values():
        worker.end(name, EndKind.STOPPED, f"saved by {worker.running[name].payload}")
    assert await until(lambda: len(deployment.runs(name)) == 4)
    check_runs(deployment)
    for worker in deployment.workers.values():
        restarted = worker.running[name]
        assert restarted.checkpoint == f"saved by {restarted.payload}"


async def test_each_namesake_has_its_own_occurrences(group):
    """Guards against an occurrence that counts as done because a namesake has completed its own."""
    deployment = make_deployment(group, 3, task_duration_s=0.1)
    deployment.start("one")
    for queue, count in ((LATER, 2), (URGENT, 4)):
        due = {"start_at_unix_ms": 1, "interval_ms": 1, "repeat_count": count}
        assert await submit(deployment, replace(job(queue), **due)) is SubmitOutcome.STORED
    for queue, count in ((LATER, 2), (URGENT, 4)):
        assert await completes(deployment, queue)
        assert len({task for task, *_ in runs_of(deployment, queue)}) == count
    check_runs(deployment)


@pytest.mark.parametrize("cancelled", [LATER, URGENT], ids=lambda queue: queue.name)
async def test_cancellation_ends_only_the_job_of_its_queue(group, cancelled):
    """Guards against a cancellation that stops another account's job with the same ID."""
    deployment = make_deployment(group, 3)
    deployment.start("one")
    kept = URGENT if cancelled is LATER else LATER
    for queue in (LATER, URGENT):
        await submit(deployment, job(queue))
        assert await until(lambda q=queue: bool(runs_of(deployment, q)))
    assert await deployment.intake.cancel(ID, OTHER.name) is CancelOutcome.ABSENT
    assert await deployment.intake.cancel(ID, cancelled.name) is CancelOutcome.STORED
    assert await until(lambda: runs_of(deployment, cancelled)[-1][3] is EndKind.STOPPED)
    assert await deployment.state(ID, cancelled) is JobState.CANCELLED
    assert await deployment.state(ID, kept) is JobState.RUNNING
    assert await deployment.state(ID, OTHER) is None
    assert [how for *_, how in runs_of(deployment, kept)] == [None]


async def test_pending_jobs_are_counted_on_their_own_queue(group):
    """Guards against a namesake that is counted on no queue, or still after its start."""
    deployment = make_deployment(group, 3)
    for queue in (LATER, URGENT):
        await submit(deployment, job(queue))
        assert await deployment.intake.pending_count(queue.name) == 1
    deployment.start("one")
    for queue in (LATER, URGENT):
        assert await until(lambda q=queue: bool(runs_of(deployment, q)))
    await anyio.sleep(0.3)
    for queue in (LATER, URGENT):
        assert await deployment.intake.pending_count(queue.name) == 0


async def test_crash_counts_against_the_job_that_ran_on_the_worker(group):
    """Guards against a job that is given up for the crashes that its namesake causes."""
    deployment = make_deployment(group, 2)
    deployment.start("one")
    group.start_soon(deployment.send_heartbeats)
    for queue in (LATER, URGENT):
        await submit(deployment, job(queue))
        assert await until(lambda q=queue: bool(runs_of(deployment, q)))
    crashed = runs_of(deployment, URGENT)[0][2]
    deployment.workers[crashed].crash()
    assert await until(lambda: len(runs_of(deployment, URGENT)) == 2, 6.0)
    assert len(runs_of(deployment, LATER)) == 1
    records = {
        name: decode_progress(deployment.store.items[progress_key(name)].value)
        for name in (ID, namesake_id(ID, URGENT.name))
    }
    assert [bool(r.tasks[0].crashes) for r in records.values()] == [False, True]


async def test_advisor_knows_a_namesakes_step_by_the_clients_id(group):
    """Guards against advice on a step that no client has submitted."""
    advisor = MemoryAdvisor({"w0": "t", "w1": "t"})
    deployment = make_deployment(group, 2, ticket="t")
    deployment.advisor = advisor
    deployment.queues = tuple(replace(q, advice=AdviceRules(30.0)) for q in (URGENT, LATER))
    deployment.start("one")
    for queue in (LATER, URGENT):
        await submit(deployment, job(queue))
        assert await until(lambda q=queue: bool(runs_of(deployment, q)))
    assert {asked for asked, _ in advisor.calls} == {f"{ID}.0.0"}


# Submissions


@pytest.fixture
def store():
    """Return an empty in-memory store."""
    return MemoryStore()


@pytest.fixture
def faults():
    """Return the faults of the calls of `intake`."""
    return StoreFaults()


@pytest.fixture
def intake(store, faults):
    """Return the access of one instance to `store`."""
    return Intake(store.client(faults))


SAME_QUEUE = (
    pytest.param(job(), SubmitOutcome.DUPLICATE, id="the same job"),
    pytest.param(replace(job(), accepted_unix_ms=9), SubmitOutcome.DUPLICATE, id="sent later"),
    pytest.param(replace(job(), payload="x"), SubmitOutcome.CONFLICTING, id="payload"),
    pytest.param(job(count=2), SubmitOutcome.CONFLICTING, id="tasks"),
    pytest.param(job(request=WHOLE), SubmitOutcome.CONFLICTING, id="resources"),
    pytest.param(replace(job(), repeat_count=2), SubmitOutcome.CONFLICTING, id="occurrences"),
    pytest.param(job(account="other"), SubmitOutcome.CONFLICTING, id="account"),
)


@pytest.mark.parametrize("is_namesake", [False, True], ids=["first", "namesake"])
@pytest.mark.parametrize(("again", "outcome"), SAME_QUEUE)
async def test_id_stands_for_one_job_on_a_queue(group, again, outcome, is_namesake):
    """Guards against a job that is accepted and not run, and against a job that runs twice."""
    deployment = make_deployment(group, 2, task_duration_s=0.1)
    if is_namesake:
        await submit(deployment, job(URGENT, account="another"))
    assert await submit(deployment, job()) is SubmitOutcome.STORED
    assert await submit(deployment, again) is outcome
    deployment.start("one")
    assert await completes(deployment, LATER)
    assert await submit(deployment, again) is outcome
    assert len(runs_of(deployment, LATER)) == 1


async def test_namesake_remains_one_job_after_the_first_records_are_deleted(store, intake):
    """Guards against a second job when a copy of a submission finds the usual key free."""
    await intake.submit(job(URGENT), {})
    assert await intake.submit(job(LATER), {}) is SubmitOutcome.STORED
    for key in [key for key in store.items if key.endswith(ID)]:
        store.delete(key)
    assert await intake.submit(job(LATER), {}) is SubmitOutcome.DUPLICATE
    assert await intake.state(ID, LATER.name) is JobState.QUEUED
    assert await intake.state(ID, URGENT.name) is None


@pytest.fixture
def before_attempt(monkeypatch):
    """Return a function that takes what to do before the second, third, ... attempt to store."""

    def prepare(*actions):
        remaining = iter(actions)
        choose = _intake._choose_identifier

        def choose_and_act(conflict, submission, keys):
            chosen = choose(conflict, submission, keys)
            next(remaining, lambda: None)()
            return chosen

        monkeypatch.setattr(_intake, "_choose_identifier", choose_and_act)

    return prepare


async def test_lost_response_to_the_create_of_a_namesake_is_read_back(
    intake, faults, before_attempt
):
    """Guards against a refusal of a namesake that the store has accepted."""
    await intake.submit(job(URGENT), {})
    before_attempt(lambda: setattr(faults, "lost_write_responses", 1))
    assert await intake.submit(job(), {}) is SubmitOutcome.DUPLICATE
    assert await intake.submit(job(), {}) is SubmitOutcome.DUPLICATE


@pytest.mark.parametrize("attempt", [1, 2])
async def test_refused_namesake_is_not_stored_by_a_late_create(
    store, intake, faults, before_attempt, attempt
):
    """Guards against a refused job that a delayed write stores under the key of a namesake."""
    await intake.submit(job(URGENT), {})
    if attempt == 1:
        faults.delayed_writes = 1
    else:
        before_attempt(lambda: setattr(faults, "delayed_writes", 1))
    assert await intake.submit(job(), {}) is SubmitOutcome.REFUSED
    store.apply_delayed()
    assert await intake.state(ID, LATER.name) is None
    assert await intake.submit(job(), {}) is SubmitOutcome.STORED
    assert await intake.state(ID, LATER.name) is JobState.QUEUED


async def test_refusal_of_one_job_leaves_its_namesake_to_be_stored(store, intake, faults):
    """Guards against the mark of a refused submission that stands for a job on another queue."""
    faults.delayed_writes = 1
    assert await intake.submit(job(URGENT), {}) is SubmitOutcome.REFUSED
    assert await intake.submit(job(LATER), {}) is SubmitOutcome.STORED
    store.apply_delayed()
    assert await intake.state(ID, URGENT.name) is None
    assert await intake.submit(job(URGENT), {}) is SubmitOutcome.STORED
    assert [await intake.state(ID, q.name) for q in (LATER, URGENT)] == [JobState.QUEUED] * 2


async def test_job_is_stored_once_while_its_namesake_ends(store, before_attempt):
    """Guards against a job under two keys when two copies are stored as its namesake ends."""
    await Intake(store.client()).submit(job(URGENT), {})
    record = decode_progress(b'{"state":"completed","begun":true,"ended_unix_ms":5}')
    ended = encode_progress(replace(record, queue=URGENT.name))
    before_attempt(
        lambda: (store.delete(job_key(ID)), store.write(progress_key(ID), ended)),
        lambda: store.delete(progress_key(ID)),
    )
    outcomes = [await Intake(store.client()).submit(job(LATER), {}) for _ in range(3)]
    assert outcomes == [SubmitOutcome.STORED, SubmitOutcome.DUPLICATE, SubmitOutcome.DUPLICATE]
    assert sum(key.startswith("foxtailwell/in/") for key in store.items) == 1


@pytest.mark.parametrize(
    ("account", "is_found"), [("acme", True), ("", True), ("other", False)], ids=str
)
@pytest.mark.parametrize("has_ended", [False, True])
async def test_account_finds_only_its_own_jobs(store, intake, account, is_found, has_ended):
    """Guards against a client account that sees or cancels a job of another account."""
    await intake.submit(job(), {})
    if has_ended:
        record = decode_progress(b'{"state":"failed","begun":true,"ended_unix_ms":5}')
        store.write(
            progress_key(ID), encode_progress(replace(record, queue=LATER.name, account="acme"))
        )
    state = JobState.FAILED if has_ended else JobState.QUEUED
    assert await intake.state(ID, LATER.name, account) is (state if is_found else None)
    outcome = CancelOutcome.ENDED if has_ended else CancelOutcome.STORED
    assert await intake.cancel(ID, LATER.name, account) is (
        outcome if is_found else CancelOutcome.ABSENT
    )


@pytest.mark.parametrize("is_mark_first", [False, True])
async def test_cancellation_of_a_job_that_has_just_ended_stops_no_later_job(group, is_mark_first):
    """Guards against a mark that stays, and cancels the next job with the same ID on any queue."""
    deployment = make_deployment(group, 1)
    instance = deployment.start("one")
    await submit(deployment, job(LATER))
    worker = deployment.workers["w0"]
    assert await until(lambda: bool(worker.running))
    # The controller stores the end before it has seen the mark.
    instance.faults.is_watch_stalled = True
    await anyio.sleep(_controller.SUBMISSION_WATCH_MS / 1000 + 0.2)
    intake = deployment.intake
    transact = intake._store.transact

    async def end_and_transact(conditions, puts, deletes=()):
        if is_mark_first:
            result = await transact(conditions, puts, deletes)
        worker.end(f"{ID}.0.0.0", EndKind.DONE)
        assert await completes(deployment, LATER)
        assert await until(lambda: f"foxtailwell/in/job/{ID}" not in deployment.store.items)
        return result if is_mark_first else await transact(conditions, puts, deletes)

    intake._store.transact = end_and_transact
    outcome = CancelOutcome.STORED if is_mark_first else CancelOutcome.ENDED
    assert await intake.cancel(ID, LATER.name) is outcome
    assert not [key for key in deployment.store.items if key.startswith("foxtailwell/in/")]


async def test_mark_of_an_ended_job_cancels_no_later_one_in_the_same_term(store, intake):
    """Guards against a controller that remembers the cancellation of an earlier job with the ID."""
    registry = JobRegistry()
    commits = Commits(store.client(), 0, lambda: None)
    stored = StoredJobs(
        store.client(),
        registry,
        commits,
        lambda name: LATER,
        retention_s=0.0,
        now_s=lambda: 0.0,
        now_unix_ms=lambda: 1000,
        metrics=WorkMetrics(),
    )

    async def take_over_changes():
        for prefix in ("foxtailwell/in/cancel/", "foxtailwell/in/job/"):
            for item in (await store.client().list_items(prefix))[0]:
                stored.apply(Change(item.key, item.value, item.revision), {})

    await intake.submit(job(), {})
    await intake.cancel(ID, LATER.name)
    await take_over_changes()
    cancelled = registry.jobs[ID]
    assert cancelled.state is JobState.CANCELLED
    assert await commits.store([JobChange(cancelled)], lambda zones: {}) == []
    cancelled.ended_unix_ms = 1
    assert stored.remove_ended([cancelled]) == [cancelled]
    await stored.delete_old_records()
    assert await intake.submit(job(URGENT), {}) is SubmitOutcome.STORED
    await take_over_changes()
    assert registry.jobs[ID].state is JobState.QUEUED


# Records of the earlier version

OLD_SUBMISSION = msgspec.json.encode(
    {n: v for n, v in msgspec.to_builtins(job(LATER)).items() if n != "digest"}
)
OLD_PROGRESS = (
    b'{"state":"running","begun":true,"ended_unix_ms":0,"tasks":[[0,0,0,1,2,"w0",1,[],""]]}'
)
OLD_END = b'{"state":"completed","begun":true,"ended_unix_ms":5,"tasks":[]}'


async def test_job_of_the_earlier_version_goes_on_beside_a_namesake(group):
    """Guards against an upgrade that loses a running job, or mistakes a namesake's runs for it."""
    deployment = make_deployment(group, 2)
    deployment.store.write(f"foxtailwell/in/job/{ID}", OLD_SUBMISSION)
    deployment.store.write(f"foxtailwell/run/{ID}", OLD_PROGRESS)
    assert await deployment.state(ID, LATER) is JobState.RUNNING
    assert await deployment.state(ID, URGENT) is None
    assert await submit(deployment, job(LATER)) is SubmitOutcome.DUPLICATE
    assert await submit(deployment, job(URGENT)) is SubmitOutcome.STORED
    deployment.start("one")
    assert await until(lambda: bool(runs_of(deployment, URGENT)))
    assert await until(lambda: bool(runs_of(deployment, LATER)), 5.0)
    assert all(run > 2 for _, run, *_ in runs_of(deployment, URGENT))
    check_runs(deployment)


async def test_ended_job_of_the_earlier_version_is_shown_and_not_repeated(store, intake):
    """Guards against a copy that arrives after the upgrade and runs an ended job again."""
    store.write(f"foxtailwell/run/{ID}", OLD_END)
    assert await intake.state(ID, LATER.name, "acme") is JobState.COMPLETED
    assert await intake.submit(job(LATER), {}) is SubmitOutcome.DUPLICATE
    assert await intake.cancel(ID, LATER.name, "acme") is CancelOutcome.ENDED


async def test_namesake_is_told_from_a_record_without_a_queue(store, intake):
    """Guards against a namesake that takes over the end which an earlier version has stored."""
    await intake.submit(job(LATER), {})
    await intake.submit(job(URGENT), {})
    store.delete(f"foxtailwell/in/job/{ID}")
    store.write(f"foxtailwell/run/{ID}", OLD_END)
    assert await intake.state(ID, URGENT.name) is JobState.QUEUED
    assert await intake.state(ID, LATER.name) is JobState.COMPLETED


def test_progress_record_keeps_what_tells_namesakes_apart():
    """Guards against fields that are lost between two terms of a controller."""
    record = replace(
        decode_progress(OLD_PROGRESS),
        queue="q",
        account="a",
        digest="d",
        run_numbers=RunNumbers(9, ((1, 3), (9, 9))),
    )
    assert decode_progress(encode_progress(record)) == record


def test_digest_leaves_out_what_another_copy_may_change():
    """Guards against a digest that a new field with a default value would change."""
    assert submission_digest(job()) == submission_digest(replace(job(), account="x", digest="y"))
    assert submission_digest(job()) == "e1e55f43c5686fb0"


# Run numbers


def units_of(registry):
    """Return the ready units by job."""
    return {unit.job_id: unit for unit in registry.ready_units(0.0, 0)}


def add(registry, queue, count=1):
    """Add the job of a queue, the first one under the client's identifier."""
    name = namesake_id(ID, queue.name) if registry.jobs else ID
    submission = replace(job(queue, count), job_id=name)
    return registry.add(submission, queue, 0.0)


def run_next(registry, added):
    """Assign the only task of a job, and return the number of its run."""
    name = added.submission.job_id
    run = registry.next_run(units_of(registry)[name])
    task = next(iter(added.tasks.values()))
    registry.assign(task, "w", 1, run, 0.0)
    registry.requeue(task)
    return run


def restored(registry, jobs):
    """Return a registry of the next term with the stored progress of jobs, in reverse order."""
    after = JobRegistry()
    added = [after.add(j.submission, j.queue, 0.0, j.progress()) for j in reversed(jobs)]
    return after, added[::-1]


@pytest.mark.parametrize("is_restored", [False, True])
def test_run_is_found_by_its_number_after_any_order_of_starts(is_restored):
    """Guards against a run that is taken for that of a namesake, also in the next term."""
    registry = JobRegistry()
    first = add(registry, LATER)
    owners = {run_next(registry, first): 0 for _ in range(3)}
    jobs = [first, add(registry, URGENT), add(registry, OTHER)]
    for number in (1, 1, 0, 2, 1, 0, 0, 2):
        run = run_next(registry, jobs[number])
        assert run not in owners
        owners[run] = number
        if is_restored:
            registry, jobs = restored(registry, jobs)
    listed = TaskId(ID, 0, 0, 0)
    assert sorted(owners) == list(range(1, len(owners) + 1))
    for run, number in owners.items():
        found = registry.find_run(listed, run)
        assert found.id.job_id == jobs[number].submission.job_id
    assert registry.find_run(listed, len(owners) + 1) is None
    assert registry.find_run(TaskId(ID, 0, 0, 1), 1) is None


def test_run_numbers_go_on_after_a_namesake_has_ended():
    """Guards against a start that a worker rejects, or an old end that is booked to a later job."""
    registry = JobRegistry()
    first = add(registry, LATER)
    assert [run_next(registry, first) for _ in range(2)] == [1, 2]
    registry.remove(ID)
    later = registry.add(replace(job(URGENT), job_id=namesake_id(ID, URGENT.name)), URGENT, 0.0)
    assert run_next(registry, later) == 3
    assert registry.find_run(TaskId(ID, 0, 0, 0), 2) is None
    registry.remove_ended(ID)
    assert run_next(registry, later) == 4


@pytest.mark.parametrize("is_ended_known_first", [True, False])
def test_new_controller_repeats_no_run_number_of_an_ended_namesake(is_ended_known_first):
    """Guards against a shared run number when the records are loaded in another order."""
    registry = JobRegistry()
    if is_ended_known_first:
        registry.add_ended(ID, 3)
    waiting = registry.add(replace(job(URGENT), job_id=namesake_id(ID, URGENT.name)), URGENT, 0.0)
    if not is_ended_known_first:
        registry.add_ended(ID, 3)
    assert registry.find_run(TaskId(ID, 0, 0, 0), 3) is None
    assert run_next(registry, waiting) == 4


def test_job_without_namesakes_numbers_the_runs_of_each_step_from_1():
    """Guards against other run numbers, or larger records, of jobs that share no identifier."""
    registry = JobRegistry()
    added = registry.add(replace(job(), steps=(step(), step())), LATER, 0.0)
    for unit in registry.ready_units(0.0, 0):
        assert registry.next_run(unit) == 1
        registry.assign(registry.find(unit.tasks[0]), "w", 1, 1, 0.0)
    assert added.run_numbers == RunNumbers(1, None)


def test_run_numbers_take_bounded_room():
    """Guards against a record that grows with every restart of two lasting jobs with one ID."""
    numbers = close_run_numbers(RunNumbers())
    for run in range(1, 1000):
        numbers = with_run(numbers, run)
    assert numbers.ranges == ((1, 999),)
    for run in range(1001, 3001, 2):
        numbers = with_run(numbers, run)
    assert len(numbers.ranges) == MAX_RANGES
    assert 2999 in numbers
    assert 2998 not in numbers


def test_run_in_progress_is_found_although_its_number_is_no_longer_kept():
    """Guards against a lasting run that is stopped since its namesake has started many times."""
    registry = JobRegistry()
    first, second = add(registry, LATER), add(registry, URGENT)
    run_next(registry, first)
    task = next(iter(first.tasks.values()))
    first.run_numbers = RunNumbers(1, ())
    for _ in range(3):
        run_next(registry, second)
    assert registry.find_run(TaskId(ID, 0, 0, 0), 1) is task


# Placement


def view(registry, workers, **fields):
    """Return the input of a plan with the ready units of a registry."""
    return FleetView(0.0, workers, registry.ready_units(0.0, 0), **fields)


def empty_workers(count, accelerators=8):
    """Return workers without runs."""
    room = Resources(128_000, 262_144, accelerators)
    return {f"w{n}": WorkerView(f"w{n}", "pool", "a", "r", frozenset(), room) for n in range(count)}


@pytest.mark.parametrize("is_gang", [False, True])
def test_plan_gives_no_name_to_a_worker_twice(is_gang):
    """Guards against two starts of one plan under the same name at the same worker."""
    registry = JobRegistry()
    for queue in (LATER, URGENT, OTHER):
        name = namesake_id(ID, queue.name) if registry.jobs else ID
        submission = replace(job(queue, 2, is_gang=is_gang), job_id=name)
        registry.add(submission, queue, 0.0)
    placed = [
        (worker, str(task))
        for placement in plan(view(registry, empty_workers(4))).placements
        for task, worker in placement.workers.items()
    ]
    assert len(placed) == len(set(placed)) == 6


def test_tasks_swap_workers_so_that_a_gang_fits_beside_its_namesake():
    """Guards against a gang that waits beside room because of the order of its tasks."""
    registry = JobRegistry()
    first, second = add(registry, LATER, count=2), add(registry, URGENT, count=2)
    for index, worker in ((0, "w0"), (1, "w1")):
        task = first.tasks[TaskId(ID, 0, 0, index)]
        registry.assign(task, worker, 1, 1, 0.0)
    placements = plan(view(registry, empty_workers(2, accelerators=1))).placements
    name = second.submission.job_id
    assert [p.workers for p in placements] == [
        {TaskId(name, 0, 0, 0): "w1", TaskId(name, 0, 0, 1): "w0"}
    ]


def test_reservation_ends_when_a_namesake_has_taken_the_name():
    """Guards against a start from a reservation at a worker that runs the name meanwhile."""
    registry = JobRegistry()
    first, second = add(registry, LATER), add(registry, URGENT)
    registry.assign(next(iter(first.tasks.values())), "w0", 1, 1, 0.0)
    unit = units_of(registry)[second.submission.job_id]
    reservation = Reservation(Placement(unit, {unit.tasks[0]: "w0"}), 10.0)
    decided = plan(view(registry, empty_workers(2), reservations=(reservation,)))
    assert [list(p.workers.values()) for p in decided.placements] == [["w1"]]
