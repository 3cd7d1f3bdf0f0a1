"""Specification of the commands for one workflow task, under two controllers.

C1 is the controller and C2 takes over at any moment; C1 does not notice at once. Each keeps a copy
of the task's record as it last read or wrote it. A start command stays in flight after it has
arrived, so it may arrive again at any time. A worker reports the end of a run until the end is
acknowledged.

This is the model of `workflows` and `controller`.
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

__all__ = ["WORKFLOW_COMMANDS"]

RULES = {
    "command_follows_the_record": "controller._controller",
    "transaction_compares_what_was_read": "controller._commits",
    "release_follows_a_confirmed_stop": "controller._controller",
    "stop_blocks_a_late_start": "the worker",
    "end_is_stored_before_it_is_acknowledged": "controller._controller",
    "start_reads_the_cancellation": "controller._commits",
}

MAX_RUN = 3
WORKERS = (0, 1)
NO_WORKER = -1


class _Record(NamedTuple):
    """The task's record in the store. Run numbers start at 1; 0 means no run yet."""

    revision: int = 0
    run: int = 0
    worker: int = NO_WORKER
    is_done: bool = False


class _Worker(NamedTuple):
    """One worker. The fields are numbers of runs; 0 means none.

    Attributes:
        running: Run in progress.
        refused: Highest run that the worker refuses to start.
        ended: Run whose end the worker reports until it is acknowledged.
    """

    running: int = 0
    refused: int = 0
    ended: int = 0


FIELDS = (
    "record",
    "is_cancelled",
    "copies",  # what C1 and C2 last read or wrote; None while C2 is not the controller
    "commands",  # start commands sent so far, as (worker, run)
    "workers",
    "is_acknowledged",  # an end was acknowledged
    "started_after_end",
    "assigned_after_cancellation",
)
INITIAL: State = (
    _Record(),
    False,
    (_Record(), None),
    frozenset(),
    (_Worker(), _Worker()),
    False,
    False,
    False,
)


_with = partial(replace_fields, FIELDS)


def _make_transitions(removed: frozenset[str]) -> Transitions:
    def transitions(state: State) -> Iterable[Step]:
        record, is_cancelled, copies, commands, workers, *_ = state
        if copies[1] is None:
            yield "C2 takes over and reads the record", _with(state, copies=(copies[0], record))
        if not is_cancelled:
            yield "the client cancels", _with(state, is_cancelled=True)
        for worker, run in commands:
            yield from _arrive(state, worker, run)
        for number, worker in enumerate(workers):
            if worker.running:
                ended = _Worker(0, max(worker.refused, worker.running), worker.running)
                after = _with(state, workers=replace_at(workers, number, ended))
                yield f"the run ends at worker {number}", after
        for own, copy in enumerate(copies):
            if copy is not None:
                yield from _act(state, own, copy, removed)

    return transitions


def _arrive(state: State, number: int, run: int) -> Iterator[Step]:
    workers, is_acknowledged = state[4], state[5]
    worker = workers[number]
    if worker.running or run <= worker.refused:
        return
    after = _with(
        state,
        workers=replace_at(workers, number, worker._replace(running=run)),
        started_after_end=state[6] or is_acknowledged,
    )
    yield f"the start of run {run} arrives at worker {number}", after


def _act(state: State, own: int, copy: _Record, removed: frozenset[str]) -> Iterator[Step]:
    name = f"C{own + 1}"
    if copy.worker == NO_WORKER and not copy.is_done and copy.run < MAX_RUN:
        for number in WORKERS:
            yield from _assign(state, own, copy, number, removed)
    if copy.worker != NO_WORKER and not copy.is_done:
        yield from _stop(state, own, copy, removed)
        yield from _acknowledge_end(state, own, copy, removed)
    if copy != state[0] and own == 1:
        yield f"{name} reads the record", _with(state, copies=replace_at(state[2], own, state[0]))


def _can_commit(state: State, own: int, copy: _Record, removed: frozenset[str]) -> bool:
    if "transaction_compares_what_was_read" in removed:
        return True
    # The controller key has changed once C2 has taken over.
    return copy.revision == state[0].revision and (own == 1 or state[2][1] is None)


def _store(state: State, own: int, record: _Record) -> State:
    return _with(state, record=record, copies=replace_at(state[2], own, record))


def _assign(
    state: State, own: int, copy: _Record, number: int, removed: frozenset[str]
) -> Iterator[Step]:
    command = (number, copy.run + 1)
    record = _Record(state[0].revision + 1, copy.run + 1, number)
    if "command_follows_the_record" in removed:
        yield "a command is sent early", _with(state, commands=state[3] | {command})
    reads_cancellation = "start_reads_the_cancellation" not in removed
    if _can_commit(state, own, copy, removed) and not (state[1] and reads_cancellation):
        stored = _store(state, own, record)
        after = _with(
            stored,
            commands=state[3] | {command},
            assigned_after_cancellation=state[7] or state[1],
        )
        yield f"C{own + 1} assigns run {command[1]} to worker {number}", after


def _stop(state: State, own: int, copy: _Record, removed: frozenset[str]) -> Iterator[Step]:
    workers = state[4]
    worker = workers[copy.worker]
    released = _Record(state[0].revision + 1, copy.run)
    if "release_follows_a_confirmed_stop" in removed and _can_commit(state, own, copy, removed):
        yield f"C{own + 1} releases the task", _store(state, own, released)
    if worker.ended == copy.run:
        return
    refused = worker.refused
    if "stop_blocks_a_late_start" not in removed:
        refused = max(refused, copy.run)
    stopped = _Worker(0 if worker.running == copy.run else worker.running, refused, worker.ended)
    after = _with(state, workers=replace_at(workers, copy.worker, stopped))
    yield f"worker {copy.worker} stops run {copy.run}", after
    if _can_commit(state, own, copy, removed):
        yield f"C{own + 1} stops and releases the task", _store(after, own, released)


def _acknowledge_end(
    state: State, own: int, copy: _Record, removed: frozenset[str]
) -> Iterator[Step]:
    workers = state[4]
    worker = workers[copy.worker]
    if worker.ended != copy.run:
        return
    acknowledged = _with(
        state,
        workers=replace_at(workers, copy.worker, worker._replace(ended=0)),
        is_acknowledged=True,
    )
    if "end_is_stored_before_it_is_acknowledged" in removed:
        yield f"C{own + 1} acknowledges the end", acknowledged
    if _can_commit(state, own, copy, removed):
        done = _Record(state[0].revision + 1, copy.run, NO_WORKER, True)
        yield f"C{own + 1} stores and acknowledges the end", _store(acknowledged, own, done)


def _has_one_run(state: Mapping[str, Any]) -> bool:
    return not all(worker.running for worker in state["workers"])


WORKFLOW_COMMANDS = Specification(
    name="workflow_commands",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={
        "one_run_at_a_time": _has_one_run,
        "no_start_after_an_acknowledged_end": lambda d: not d["started_after_end"],
        "no_assignment_after_a_cancellation": lambda d: not d["assigned_after_cancellation"],
        "acknowledged_end_is_stored": lambda d: not d["is_acknowledged"] or d["record"].is_done,
    },
    rules=RULES,
)
