"""Specification of the runs of two jobs with one client identifier.

Each job has one task, and workers know both tasks by the same name. A start command stays in
flight after it has arrived, so it may arrive again. An end may be listed long after the task was
released with the lease of its worker. At a hand-over, the next controller knows the records only.

This is the model of the run numbers in `workflows`. Commands under two controllers are the subject
of `workflow_commands`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from functools import partial
from typing import Any, NamedTuple

from foxtailwell_model._specification import (
    Specification,
    State,
    Step,
    Transitions,
    replace_at,
    replace_fields,
)

__all__ = ["NAMESAKES"]

RULES = {
    "numbers_are_not_shared": "workflows._job_registry.next_run",
    "run_is_found_by_its_number": "workflows._job_registry.find_run",
    "numbers_are_stored": "controller._records",
    "name_is_free_at_the_worker": "workflows._capacity",
}

MAX_RUN = 4
JOBS = (0, 1)
WORKERS = (0, 1)
NO_WORKER = -1

Run = tuple[int, int]  # job and number of the run


class _Record(NamedTuple):
    """Record of a job in the store. Run numbers start at 1; 0 means no run yet.

    Attributes:
        numbers: Numbers of all runs of the job.
    """

    run: int = 0
    worker: int = NO_WORKER
    is_done: bool = False
    numbers: frozenset[int] = frozenset()


class _Worker(NamedTuple):
    """One worker.

    Attributes:
        running: Run in progress; None for none.
        refused: Highest run number that the worker refuses to start.
        ended: Runs whose ends the worker reports until they are acknowledged.
    """

    running: Run | None = None
    refused: int = 0
    ended: frozenset[Run] = frozenset()


FIELDS = (
    "records",
    "known",  # numbers of the runs of each job in the memory of the controller
    "commands",  # start commands sent so far, as (worker, run)
    "workers",
    "done",  # jobs with an acknowledged end
    "has_wrong_end",  # an end was acknowledged, and its job is not done
    "has_wrong_start",  # a job was started after its end was acknowledged
    "has_taken_name",  # a start reached a worker that was running the other job
)
INITIAL: State = (
    (_Record(), _Record()),
    (frozenset(), frozenset()),
    frozenset(),
    (_Worker(), _Worker()),
    frozenset(),
    False,
    False,
    False,
)


_with = partial(replace_fields, FIELDS)


def _make_transitions(removed: frozenset[str]) -> Transitions:
    def transitions(state: State) -> Iterable[Step]:
        records, _, commands, workers, *_ = state
        yield "the controller is replaced", _with(state, known=_recovered(records))
        for worker, run in commands:
            yield from _arrive(state, worker, run)
        for number, worker in enumerate(workers):
            if worker.running is not None:
                run = worker.running
                ended = _Worker(None, max(worker.refused, run[1]), worker.ended | {run})
                after = _with(state, workers=replace_at(workers, number, ended))
                yield f"run {run} ends at worker {number}", after
            for run in worker.ended:
                yield from _acknowledge(state, number, run, removed)
        for job in JOBS:
            if records[job].worker != NO_WORKER:
                yield from _stop(state, job)
                yield from _lapse(state, job)
            elif not records[job].is_done:
                for number in WORKERS:
                    yield from _assign(state, job, number, removed)

    return transitions


def _recovered(records: tuple[_Record, ...]) -> tuple[frozenset[int], ...]:
    """Return the numbers that a controller knows from the records alone."""
    return tuple(record.numbers | ({record.run} - {0}) for record in records)


def _arrive(state: State, number: int, run: Run) -> Iterator[Step]:
    worker = state[3][number]
    if worker.running is not None and worker.running[0] != run[0] and run[1] > worker.refused:
        # The protocol does not say what a worker does.
        yield f"run {run} finds its name taken", _with(state, has_taken_name=True)
    elif worker.running is None and run[1] > worker.refused:
        workers = replace_at(state[3], number, worker._replace(running=run))
        has_wrong_start = state[6] or run[0] in state[4]
        after = _with(state, workers=workers, has_wrong_start=has_wrong_start)
        yield f"run {run} starts at worker {number}", after


def _assign(state: State, job: int, number: int, removed: frozenset[str]) -> Iterator[Step]:
    records, known, commands, *_ = state
    own, other = records[job], records[1 - job]
    is_taken = other.worker == number and "name_is_free_at_the_worker" not in removed
    highest = max((own.run, *(known[job] | known[1 - job])))
    if "numbers_are_not_shared" in removed:
        highest = own.run
    if is_taken or highest >= MAX_RUN:
        return
    run = highest + 1
    numbers = known[job] | {run}
    stored = numbers if "numbers_are_stored" not in removed else frozenset()
    after = _with(
        state,
        records=replace_at(records, job, _Record(run, number, False, stored)),
        known=replace_at(known, job, numbers),
        commands=commands | {(number, (job, run))},
    )
    yield f"run {run} of job {job} is assigned to worker {number}", after


def _released(state: State, job: int, worker: _Worker) -> State:
    """Return the state after a task was released, and its worker has changed."""
    record = state[0][job]
    return _with(
        state,
        records=replace_at(state[0], job, record._replace(worker=NO_WORKER)),
        workers=replace_at(state[3], record.worker, worker),
    )


def _stop(state: State, job: int) -> Iterator[Step]:
    record = state[0][job]
    worker = state[3][record.worker]
    run = (job, record.run)
    if run not in worker.ended:
        running = None if worker.running == run else worker.running
        stopped = _Worker(running, max(worker.refused, record.run), worker.ended)
        yield f"run {run} is stopped", _released(state, job, stopped)


def _lapse(state: State, job: int) -> Iterator[Step]:
    """Release a task whose worker cannot be reached; its start is past its deadline as well."""
    record = state[0][job]
    worker = state[3][record.worker]
    run = (job, record.run)
    running = None if worker.running == run else worker.running
    refused = max(worker.refused, record.run) if worker.running == run else worker.refused
    after = _released(state, job, _Worker(running, refused, worker.ended))
    after = _with(after, commands=state[2] - {(record.worker, run)})
    yield f"the lease of run {run} lapses", after


def _acknowledge(state: State, number: int, run: Run, removed: frozenset[str]) -> Iterator[Step]:
    records, known, _, workers, done, has_wrong_end, *_ = state
    owners = [job for job in JOBS if run[1] in known[job]]
    if "run_is_found_by_its_number" in removed:
        owners = [job for job in JOBS if records[job].run]
    worker = workers[number]._replace(ended=workers[number].ended - {run})
    after = _with(state, workers=replace_at(workers, number, worker), done=done | {run[0]})
    if owners:
        job = owners[0]
        record = records[job]
        after = _with(after, records=replace_at(records, job, record._replace(is_done=True)))
        if record.worker != NO_WORKER:
            # A newer run may be in progress.
            holder = after[3][record.worker]
            newer = (job, record.run)
            running = None if holder.running == newer else holder.running
            refused = max(holder.refused, record.run)
            after = _released(after, job, _Worker(running, refused, holder.ended))
    is_wrong = not after[0][run[0]].is_done
    yield (
        f"the end of run {run} is acknowledged",
        _with(after, has_wrong_end=has_wrong_end or is_wrong),
    )


def _has_one_run_each(state: Mapping[str, Any]) -> bool:
    running = [worker.running[0] for worker in state["workers"] if worker.running is not None]
    return len(running) == len(set(running))


NAMESAKES = Specification(
    name="namesakes",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={
        "one_run_of_a_job_at_a_time": _has_one_run_each,
        "end_belongs_to_its_job": lambda d: not d["has_wrong_end"],
        "no_start_after_an_acknowledged_end": lambda d: not d["has_wrong_start"],
        "name_is_free_when_a_start_arrives": lambda d: not d["has_taken_name"],
    },
    rules=RULES,
)
