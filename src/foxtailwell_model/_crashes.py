"""Specification of the evidence that crashes of workers add against tasks.

One task never causes a crash, the other one crashes its worker with each start. Both are placed on
two hosts; common crashes hit a third worker as well, whose only run has been going on for long. A
start without an answer may be carried out until a stop is confirmed, also by a later incarnation
of its worker. A controller that takes over knows the records, and when incarnations have begun.

Common crashes are further apart than it takes to judge one, and a crash is remembered until then.
Whether crashes of the two hosts are isolated from each other is left open.

A crash of a single worker for another cause right after a start can't be told from one that the
task causes, nor can a common crash of workers that each have a fresh start or a suspect. Neither is
a step.

This is the model of `workflows._crashes` and `controller._crashes`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from functools import partial
from itertools import product
from typing import Any, NamedTuple

from foxtailwell_model._specification import (
    Specification,
    State,
    Step,
    Transitions,
    replace_at,
    replace_fields,
)

__all__ = ["CRASHES"]

RULES = {
    "start_under_way_is_no_evidence": "controller._crashes.CrashReports.report",
    "crash_waits_for_the_other_workers": "controller._crashes.CrashReports.judge",
    "common_crash_has_no_weight": "workflows._crashes.judge_crash",
    "survivor_has_not_crashed_with_others": "workflows._crashes.may_coincide",
    "event_counts_once_per_task": "controller._crashes.CrashReports.is_pending",
    "suspects_are_kept_apart": "workflows._capacity",
    "new_controller_compares_incarnations": "controller._crashes",
    "evidence_is_stored": "controller._records",
    "run_stays_placed_until_it_is_judged": "controller._crashes.CrashReports.judge",
    "evidence_is_stored_with_the_release": "controller._runs.RunReports.judge_crashes",
}

GIVE_UP_POINTS = 4
CERTAIN_POINTS = 2
POSSIBLE_POINTS = 1

MAX_COMMON = 2

EXCUSED_PER_COMMON = 3
"""Starts of the fatal task whose crashes one common crash may excuse.

Its cause may be that of the crash which is not judged yet when it is noticed, and of the first one
on each host that is not known to have lived past it.
"""

HARMLESS, FATAL = (0, 1)
HOSTS = (0, 1)
NO_WORKER = -1

# How a run was lost. A later crash came after the host is known to have lived past a common one.
NOT_LOST, BY_COMMON_CRASH, BY_TASK, BY_TASK_LATER = range(4)

# What is known of the last common crash, by that of the third worker.
NO_CRASH, UNNOTICED, NOTICED = range(3)


class _Task(NamedTuple):
    """One task and its newest run.

    Attributes:
        start: What the controller knows of the start: "under way", "confirmed", "settled" after
            the run has outlasted its probation, "unanswered", or "restored" after a hand-over.
        is_in_flight: The start may still be carried out.
        lost: How the incarnation of the worker that the start was sent to has ended.
        observations: Observations of the crash that count once it is judged.
        is_judged: The evidence is stored, and the run still counts as placed.
    """

    points: int = 0
    worker: int = NO_WORKER
    start: str = ""
    is_in_flight: bool = False
    lost: int = NOT_LOST
    observations: int = 0
    is_judged: bool = False

    @property
    def is_given_up(self) -> bool:
        return self.points >= GIVE_UP_POINTS


FIELDS = (
    "tasks",
    "common_crash",
    "heard",  # hosts known to have lived past it
    "starts",  # starts of the fatal task
    "common_crashes",  # number so far
    "has_wrong_evidence",  # a start that may yet be rejected has counted
)
INITIAL: State = ((_Task(), _Task()), NO_CRASH, frozenset(), 0, 0, False)


_with = partial(replace_fields, FIELDS)


def _make_transitions(removed: frozenset[str]) -> Transitions:
    def transitions(state: State) -> Iterable[Step]:
        for label, after in _steps(state, removed):
            yield label, _canonical(after)

    return transitions


def _steps(state: State, removed: frozenset[str]) -> Iterator[Step]:
    tasks, common_crash, *_ = state
    yield "the controller is replaced", _handed_over(state, removed)
    yield from _crash_together(state)
    if common_crash == UNNOTICED:
        yield "the crash of the third worker is noticed", _with(state, common_crash=NOTICED)
    elif common_crash == NOTICED and not _has_lost_together(state):
        forgotten = _with(state, common_crash=NO_CRASH, heard=frozenset())
        yield "the crash of the third worker is forgotten", forgotten
    for number, task in enumerate(tasks):
        if task.worker == NO_WORKER:
            yield from _place(state, number, removed)
        elif task.is_judged:
            yield f"task {number} is released", _released(state, number)
        elif not task.observations:
            yield from _act_on_run(state, number)
    for host in HOSTS:
        yield from _act_on_crash(state, host, removed)


def _canonical(state: State) -> State:
    """Return one of two states that differ only in the numbers of the hosts."""
    tasks, _, heard, *_ = state
    placed = [task.worker for task in tasks if task.worker != NO_WORKER]
    if placed[0] == 0 if placed else heard != {1}:
        return state
    swapped = {0: 1, 1: 0, NO_WORKER: NO_WORKER}
    return _with(
        state,
        tasks=tuple(task._replace(worker=swapped[task.worker]) for task in tasks),
        heard=frozenset(swapped[host] for host in heard),
    )


def _changed(state: State, number: int, **changes: Any) -> State:
    task = state[0][number]._replace(**changes)
    return _with(state, tasks=replace_at(state[0], number, task))


def _released(state: State, number: int) -> State:
    return _with(state, tasks=replace_at(state[0], number, _Task(state[0][number].points)))


def _heard(state: State, host: int) -> State:
    return _with(state, heard=state[2] | {host}) if state[1] == NOTICED else state


def _crashed(state: State, host: int, lost: int) -> State:
    for number, task in enumerate(state[0]):
        if task.worker == host and not task.observations and not task.is_judged:
            state = _changed(state, number, lost=max(task.lost, lost))
    return state


def _has_lost_together(state: State) -> bool:
    return any(task.lost == BY_COMMON_CRASH for task in state[0])


def _crash_together(state: State) -> Iterator[Step]:
    count = state[4]
    if count >= MAX_COMMON or state[1] == UNNOTICED or _has_lost_together(state):
        return
    for number, task in enumerate(state[0]):
        if task.lost == BY_TASK_LATER:
            state = _changed(state, number, lost=BY_TASK)
    for hit in ((0,), (1,), HOSTS):
        after = _with(state, common_crash=UNNOTICED, heard=frozenset(), common_crashes=count + 1)
        for host in hit:
            after = _crashed(after, host, BY_COMMON_CRASH)
        yield f"hosts {hit} and the third worker crash", after


def _place(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    task, other = state[0][number], state[0][1 - number]
    if task.is_given_up:
        return
    are_suspects = task.points > 0 and other.points > 0
    is_one_alone = max(task.points, other.points) >= CERTAIN_POINTS
    are_apart = (are_suspects or is_one_alone) and "suspects_are_kept_apart" not in removed
    for host in HOSTS:
        if other.worker == host and are_apart:
            continue
        run = _Task(task.points, host, "under way", is_in_flight=True)
        after = _with(state, tasks=replace_at(state[0], number, run))
        yield f"task {number} is placed on host {host}", after


def _act_on_run(state: State, number: int) -> Iterator[Step]:
    task = state[0][number]
    if task.start == "under way":
        yield f"the start of task {number} is rejected", _released(state, number)
        unanswered = _changed(state, number, start="unanswered")
        yield f"the start of task {number} gets no answer", unanswered
        if not task.lost:
            confirmed = _changed(state, number, start="confirmed", is_in_flight=False)
            after = _begun(_heard(confirmed, task.worker), number)
            yield f"the start of task {number} is confirmed", after
    elif task.is_in_flight:
        after = _begun(_changed(state, number, is_in_flight=False), number)
        yield f"the start of task {number} is carried out", after
        heard = _heard(state, task.worker)
        stopped = _changed(heard, number, is_in_flight=False) if task.lost else None
        yield f"the stop of task {number} is confirmed", stopped or _released(heard, number)
    elif not task.lost and task.start == "unanswered":
        heard = _heard(state, task.worker)
        yield f"the stop of task {number} is confirmed", _released(heard, number)
    elif not task.lost and task.start != "settled":
        after = _changed(state, number, start="settled", points=0)
        yield f"task {number} outlasts its probation", after


def _begun(state: State, number: int) -> State:
    if number == HARMLESS:
        return state
    host = state[0][number].worker
    state = _with(state, starts=state[3] + 1)
    return _crashed(state, host, BY_TASK_LATER if host in state[2] else BY_TASK)


def _act_on_crash(state: State, host: int, removed: frozenset[str]) -> Iterator[Step]:
    tasks, common_crash, *_ = state
    unreported = {
        number: 1
        for number, task in enumerate(tasks)
        if task.worker == host and _is_blamable(task, removed)
    }
    if unreported:
        # Only another incarnation shows a crash.
        after = _observed(_heard(state, host), unreported)
        yield f"the crash of host {host} is noticed", after
    pending = [
        number for number, task in enumerate(tasks) if task.worker == host and task.observations
    ]
    if pending and "event_counts_once_per_task" in removed:
        observations = min(tasks[pending[0]].observations + 1, GIVE_UP_POINTS)
        after = _observed(state, dict.fromkeys(pending, observations))
        yield f"the crash of host {host} is noticed again", after
    if common_crash == UNNOTICED and "crash_waits_for_the_other_workers" not in removed:
        return
    for lost in {tasks[number].lost for number in pending}:
        runs = {number: tasks[number] for number in pending if tasks[number].lost == lost}
        for is_common, is_isolated in product(
            _verdicts(common_crash, lost, removed), (False, True)
        ):
            after = _judged(state, runs, is_common, is_isolated, removed)
            yield f"the crash of host {host} is judged", after


def _is_blamable(task: _Task, removed: frozenset[str]) -> bool:
    if not task.lost or task.observations or task.is_judged:
        return False
    if task.start == "under way":
        return "start_under_way_is_no_evidence" in removed
    return not task.is_in_flight


def _observed(state: State, observations: Mapping[int, int]) -> State:
    for number, count in observations.items():
        state = _changed(state, number, observations=count)
    return state


def _verdicts(common_crash: int, lost: int, removed: frozenset[str]) -> tuple[bool, ...]:
    """Return whether a crash may seem to have the cause of the last common one."""
    is_later = lost == BY_TASK_LATER and "survivor_has_not_crashed_with_others" not in removed
    if common_crash != NOTICED or is_later:
        return (False,)
    return (True,) if lost == BY_COMMON_CRASH else (False, True)


def _judged(
    state: State,
    runs: Mapping[int, _Task],
    is_common: bool,
    is_isolated: bool,
    removed: frozenset[str],
) -> State:
    weights = dict.fromkeys(runs, 0)
    if not is_common:
        weights = _weigh(runs, is_isolated)
    elif "common_crash_has_no_weight" in removed:
        weights = _weigh(runs, False)
    for number, run in runs.items():
        points = min(run.points + weights[number] * run.observations, GIVE_UP_POINTS)
        is_wrong = points > run.points and run.start == "under way"
        state = _with(state, has_wrong_evidence=state[5] or is_wrong)
        state = _changed(state, number, points=points, observations=0, is_judged=True)
        if "evidence_is_stored_with_the_release" not in removed:
            state = _released(state, number)
    return state


def _weigh(runs: Mapping[int, _Task], is_isolated: bool) -> dict[int, int]:
    recent = [number for number, run in runs.items() if run.start != "settled"]
    if not recent:
        return dict.fromkeys(runs, POSSIBLE_POINTS if is_isolated else 0)
    likeliest = (
        [number for number in recent if runs[number].points]
        or [number for number in recent if runs[number].start == "confirmed"]
        or recent
    )
    weights = {number: POSSIBLE_POINTS if number in recent else 0 for number in runs}
    likely = runs[likeliest[0]]
    is_certain = len(likeliest) == 1 and (is_isolated or likely.points > 0)
    if is_certain and likely.start == "confirmed":
        weights[likeliest[0]] = CERTAIN_POINTS
    return weights


def _handed_over(state: State, removed: frozenset[str]) -> State:
    """Return the state with a controller that knows the records only."""
    if "new_controller_compares_incarnations" in removed:
        state = _with(state, common_crash=NO_CRASH, heard=frozenset())
    for number, task in enumerate(state[0]):
        if task.observations and "run_stays_placed_until_it_is_judged" in removed:
            state = _released(state, number)
        elif task.worker != NO_WORKER:
            run = task._replace(start="restored", observations=0, is_judged=False)
            state = _with(state, tasks=replace_at(state[0], number, run))
        if "evidence_is_stored" in removed and not task.is_given_up:
            state = _changed(state, number, points=0)
    return state


def _is_harmless_task_kept(state: Mapping[str, Any]) -> bool:
    return not state["tasks"][HARMLESS].is_given_up


def _is_fatal_task_given_up(state: Mapping[str, Any]) -> bool:
    excused: int = EXCUSED_PER_COMMON * state["common_crashes"]
    return excused + GIVE_UP_POINTS >= int(state["starts"])


def _has_only_fair_evidence(state: Mapping[str, Any]) -> bool:
    return not state["has_wrong_evidence"]


CRASHES = Specification(
    name="crashes",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={
        "harmless_task_is_never_given_up": _is_harmless_task_kept,
        "fatal_task_is_given_up": _is_fatal_task_given_up,
        "rejected_start_is_no_evidence": _has_only_fair_evidence,
    },
    rules=RULES,
)
