"""Specification of one gang: `prepare`, `start`, `run`, `stop`, and the takeover by a successor.

S1 starts the gang and may stop it at any step, for any reason. It may be paused, and S2 may take
over the zone at any moment. A command that was sent may arrive at any time, more than once, or
never, so the state keeps only the highest command sent. A preparation is valid for 2 ticks of the
worker's clock.

A scheduler counts the task of an unreachable worker as ended once its lease has certainly expired.
Here that is any moment at which the task does not run and is not within its preparation; the lease
itself is the subject of the specification `task_lease`.

A member is `(term, task, age, has_started, has_run)`: the highest term that its worker has seen,
the state of the task, the age of the preparation, and whether the task ever started or ran.

This is the model of `core` and `scheduler`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from foxtailwell.core import PREPARATION_LIMIT_S
from foxtailwell_model._specification import Specification, State, Step, Transitions, replace_at

__all__ = ["GANG_OF_THREE", "GANG_OF_TWO", "gang_steps"]

RULES = {
    "run_waits_until_all_have_started": "core.advance (CommitRun)",
    "running_is_written_before_run": "core.advance (CommitRun)",
    "commit_compares_the_term": "scheduler._mutations.commit_run",
    "release_waits_until_all_have_ended": "core.advance (EndAttempt)",
    "run_needs_valid_preparation": "the worker",
    "ended_task_is_not_prepared_again": "the worker",
    "commit_reads_the_cancel_mark": "scheduler._mutations.commit_run",
    "successor_stops_what_is_not_written_as_running": "core.resume_gang",
}

RULES_OF_THREE = (
    "run_waits_until_all_have_started",
    "commit_reads_the_cancel_mark",
    "successor_stops_what_is_not_written_as_running",
)
"""Rules that are also removed with three members; the search takes too long for the others."""

EXPIRED = int(PREPARATION_LIMIT_S) + 1
FIELDS = (
    "s1",  # phase
    "sent",  # highest command of S1: 0 prepare, 1 start, 2 run
    "known",  # state of each task as S1 last received it
    "commit",  # S1's write: none, sent, ok, refused
    "job",  # state in the job's document: preparing, cancelled (by its caller), running or ended
    "term",
    "s2",  # phase
    "found",  # state of the job when S2 took over
    "ended",  # tasks that S2 knows to have ended
    "members",
    "verdict",  # recorded at the end of the attempt: "", clean or may have run
)
S1, SENT, KNOWN, COMMIT, JOB, TERM, S2, FOUND, ENDED, MEMBERS, VERDICT = range(11)


def gang_steps(state: State, removed: frozenset[str] = frozenset()) -> Iterator[Step]:
    """Return the steps out of a state, with the members in their given order."""
    yield "tick", _with(state, (MEMBERS, tuple(_aged(m) for m in state[MEMBERS])))
    for part in (
        _advance_s1,
        _receive_states,
        _commit_running,
        _end_by_s1,
        _advance_s2,
        _advance_workers,
    ):
        yield from part(state, removed)


def _make_transitions(removed: frozenset[str]) -> Transitions:
    return lambda state: ((label, _normalise(after)) for label, after in gang_steps(state, removed))


def _normalise(state: State) -> State:
    """Return the state with its members sorted, because their order has no meaning."""
    rows = sorted(zip(state[MEMBERS], state[KNOWN], state[ENDED], strict=True))
    members, known, ended = zip(*rows, strict=True)
    return _with(state, (MEMBERS, members), (KNOWN, known), (ENDED, ended))


def _with(state: State, *changes: tuple[int, Any]) -> State:
    after = list(state)
    for index, value in changes:
        after[index] = value
    return tuple(after)


def _aged(member: State) -> State:
    term, task, age, has_started, has_run = member
    if task == "prepared" and age + 1 >= EXPIRED:
        return (term, "ended", 0, has_started, has_run)
    if task in ("prepared", "started"):
        return (term, task, min(age + 1, EXPIRED), has_started, has_run)
    return member


def _advance_s1(state: State, removed: frozenset[str]) -> Iterator[Step]:
    phase, known = state[S1], state[KNOWN]
    if phase == "preparing" and all(k == "prepared" for k in known):
        yield "S1 sends start", _with(state, (S1, "starting"), (SENT, 1))
    elif phase == "starting" and all(k == "started" for k in known):
        if "running_is_written_before_run" in removed:
            yield "S1 sends run", _with(state, (S1, "running"), (SENT, 2))
        else:
            yield "S1 writes running", _with(state, (S1, "committing"), (COMMIT, "sent"))
    elif phase == "committing" and state[COMMIT] == "ok":
        yield "S1 sends run", _with(state, (S1, "running"), (SENT, 2))
    if phase not in ("stopping", "out"):
        yield "S1 stops the gang", _with(state, (S1, "stopping"))


def _receive_states(state: State, removed: frozenset[str]) -> Iterator[Step]:
    if state[S1] in ("out", "running"):
        return
    for index, (term, task, age, _, _) in enumerate(state[MEMBERS]):
        if term <= 1 and task != "none" and state[KNOWN][index] not in (task, "ended"):
            yield (
                f"S1 receives the state of {index}",
                _with(state, (KNOWN, replace_at(state[KNOWN], index, task))),
            )
        if state[S1] == "stopping" and _has_expired(task, age):
            yield (
                f"S1 sees the lease of {index} expire",
                _with(state, (KNOWN, replace_at(state[KNOWN], index, "ended"))),
            )


def _has_expired(task: str, age: int) -> bool:
    return task in ("none", "ended") or (task == "started" and age == EXPIRED)


def _commit_running(state: State, removed: frozenset[str]) -> Iterator[Step]:
    if state[JOB] == "preparing":
        yield "the caller cancels", _with(state, (JOB, "cancelled"))
    if state[COMMIT] != "sent":
        return
    is_own = state[TERM] == 1 or "commit_compares_the_term" in removed
    may_run = state[JOB] == "preparing" or (
        state[JOB] == "cancelled" and "commit_reads_the_cancel_mark" in removed
    )
    if is_own and may_run:
        # A cancelled job keeps its state, so that an invariant can detect that it runs.
        written = "running" if state[JOB] == "preparing" else state[JOB]
        yield "running is written", _with(state, (COMMIT, "ok"), (JOB, written))
    else:
        yield "the write of running is refused", _with(state, (COMMIT, "refused"), (S1, "out"))


def _end_by_s1(state: State, removed: frozenset[str]) -> Iterator[Step]:
    if state[S1] != "stopping":
        return
    if not _all_ended([k == "ended" for k in state[KNOWN]], removed):
        return
    if state[TERM] == 1:
        verdict = "clean" if state[SENT] < 2 else "may have run"
        ended = _with(state, (S1, "out"), (JOB, "ended"), (VERDICT, verdict))
        yield "S1 ends the attempt", ended
    else:
        yield "S1 learns the new term", _with(state, (S1, "out"))


def _all_ended(ended: Iterable[bool], removed: frozenset[str]) -> bool:
    return any(ended) if "release_waits_until_all_have_ended" in removed else all(ended)


def _advance_s2(state: State, removed: frozenset[str]) -> Iterator[Step]:
    phase = state[S2]
    if phase == "out" and state[TERM] == 1 and state[JOB] != "ended":
        yield "S2 takes over", _with(state, (TERM, 2), (S2, "holding"), (FOUND, state[JOB]))
    elif phase == "holding":
        yield "S2 stops the gang", _with(state, (S2, "stopping"))
        is_resumed = "successor_stops_what_is_not_written_as_running" in removed
        if (
            is_resumed
            and state[FOUND] == "preparing"
            and all(m[1] == "started" for m in state[MEMBERS])
        ):
            yield "S2 sends run", _with(state, (S2, "opening"))
    elif phase == "opening":
        yield "S2 stops the gang", _with(state, (S2, "stopping"))
    elif phase == "stopping":
        yield from _stop_by_s2(state, removed)


def _stop_by_s2(state: State, removed: frozenset[str]) -> Iterator[Step]:
    for index, (_, task, age, has_started, has_run) in enumerate(state[MEMBERS]):
        if state[ENDED][index]:
            continue
        if task == "ended":
            seen = (2, task, age, has_started, has_run)
            yield (
                f"S2 learns that {index} has ended",
                _with(
                    state,
                    (ENDED, replace_at(state[ENDED], index, True)),
                    (MEMBERS, replace_at(state[MEMBERS], index, seen)),
                ),
            )
        if _has_expired(task, age):
            yield (
                f"S2 sees the lease of {index} expire",
                _with(state, (ENDED, replace_at(state[ENDED], index, True))),
            )
    if _all_ended(state[ENDED], removed):
        verdict = "may have run" if state[FOUND] == "running" else "clean"
        ended = _with(state, (S2, "ended"), (JOB, "ended"), (VERDICT, verdict))
        yield "S2 ends the attempt", ended


def _advance_workers(state: State, removed: frozenset[str]) -> Iterator[Step]:
    for index, member in enumerate(state[MEMBERS]):
        for label, after in _advance_worker(state, member, removed):
            yield (
                f"worker {index} {label}",
                _with(state, (MEMBERS, replace_at(state[MEMBERS], index, after))),
            )


def _advance_worker(state: State, member: State, removed: frozenset[str]) -> Iterator[Step]:
    term, task, _, has_started, has_run = member
    stopped = (0, has_started, has_run)
    if task == "running":
        yield "loses its task", (term, "ended", *stopped)
    if term <= 1:
        yield from _execute_commands(state, member, removed)
        if state[S1] == "stopping":
            yield "stops", (term, "ended", *stopped)
    if state[S2] == "stopping":
        yield "stops for S2", (2, "ended", *stopped)
    if state[S2] == "opening" and task == "started":
        yield "runs for S2", (2, "running", 0, True, True)


def _execute_commands(state: State, member: State, removed: frozenset[str]) -> Iterator[Step]:
    term, task, age, has_started, has_run = member
    sent = state[SENT]
    is_new = task == "none" or (task == "ended" and "ended_task_is_not_prepared_again" in removed)
    if is_new:
        yield "prepares", (term, "prepared", 0, has_started, has_run)
    if task == "prepared" and sent >= 1:
        yield "starts", (term, "started", age, True, has_run)
    is_valid = age < EXPIRED or "run_needs_valid_preparation" in removed
    least_command = 1 if "run_waits_until_all_have_started" in removed else 2
    if task == "started" and sent >= least_command and is_valid:
        yield "runs", (term, "running", 0, True, True)


def _runs_only_when_all_started(values: Mapping[str, Any]) -> bool:
    members = values["members"]
    return all(m[3] for m in members) or not any(m[4] for m in members)


def _ended_attempt_is_idle(values: Mapping[str, Any]) -> bool:
    return values["job"] != "ended" or not any(m[1] == "running" for m in values["members"])


def _cancelled_job_never_runs(values: Mapping[str, Any]) -> bool:
    return values["job"] != "cancelled" or not any(m[4] for m in values["members"])


def _clean_attempt_never_ran(values: Mapping[str, Any]) -> bool:
    return values["verdict"] != "clean" or not any(m[4] for m in values["members"])


INVARIANTS: dict[str, Callable[[Mapping[str, Any]], bool]] = {
    "works_only_when_all_have_started": _runs_only_when_all_started,
    "ended_attempt_is_idle": _ended_attempt_is_idle,
    "clean_attempt_never_ran": _clean_attempt_never_ran,
    "cancelled_job_never_runs": _cancelled_job_never_runs,
}


def _make_gang(name: str, size: int, rules: Mapping[str, str]) -> Specification:
    member = (1, "none", 0, False, False)
    return Specification(
        name=name,
        fields=FIELDS,
        initial=(
            "preparing",
            0,
            ("",) * size,
            "none",
            "preparing",
            1,
            "out",
            "",
            (False,) * size,
            (member,) * size,
            "",
        ),
        make_transitions=_make_transitions,
        invariants=INVARIANTS,
        rules=rules,
    )


GANG_OF_TWO = _make_gang("gang_of_two", 2, RULES)
GANG_OF_THREE = _make_gang("gang_of_three", 3, {name: RULES[name] for name in RULES_OF_THREE})
