"""Specification of the failover of a zone's scheduler with fencing by terms.

Schedulers A and B hold the zone's lease in turn. The lease may expire at any moment while its
holder is paused; the old holder does not notice and continues with its next step whenever it
resumes. The holder starts one gang on one worker: take the accelerators, `start`, write the job as
running, `run`. Writes name the version that was read; their responses may be lost and they may
arrive late. A command that was sent may arrive at any time, more than once, or never.

The documents of the allocation and of the job are one document here: the rule under check is the
same for both, a compare-and-swap that also compares the term.

A scheduler is `(phase, term, is_current, write, late)`. As in the specification of claims,
`is_current` means that the version it read is still the stored one. `write` is
`(kind, is_write_current)` while its response is awaited, then the response; `late` holds writes in
flight whose response is no longer awaited. A command is `(operation, term, attempt)`.

This is the model of `core` and `scheduler`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from foxtailwell_model._specification import Specification, State, Step, Transitions

__all__ = ["FAILOVER"]

RULES = {
    "worker_refuses_a_lower_term": "the worker",
    "worker_refuses_a_lower_attempt": "the worker",
    "new_holder_raises_the_term": "core.raise_term",
    "raise_is_read_back": "adapters.store.StoreClient.write_with_readback",
    "write_names_the_version_it_read": "adapters.store.StoreClient.compare_and_swap",
    "write_compares_the_term_again": "scheduler._mutations",
    "query_carries_the_term": "scheduler._links",
    "running_is_written_before_run": "core.advance (CommitRun)",
    "running_gang_is_resumed": "core.resume_gang",
}

MAX_TERM = 3
MAX_ATTEMPT = 2
NO_HOLDER = -1
FIELDS = (
    "lease",  # its holder
    "term",
    "raiser",  # scheduler that wrote the term
    "gang",  # absent, taken or running
    "attempt",
    "a",
    "b",
    "worker",  # (highest term, attempt, task)
    "commands",  # sent so far
    "fault",  # description of a forbidden step; "" while none happened
)
LEASE, TERM, RAISER, GANG, ATTEMPT, A, B, WORKER, COMMANDS, FAULT = range(10)
OUT: State = ("out", 0, False, None, ())
INITIAL: State = (NO_HOLDER, 0, NO_HOLDER, "absent", 0, OUT, OUT, (0, 0, "none"), (), "")
PHASE_AFTER_WRITE = {"raise": "asking", "take": "taken", "commit": "open", "release": "ready"}


def _make_transitions(removed: frozenset[str]) -> Transitions:
    def transitions(state: State) -> Iterable[Step]:
        if state[FAULT]:
            return
        if state[LEASE] != NO_HOLDER:
            yield "the lease expires", _with(state, (LEASE, NO_HOLDER))
        for own, name in ((A, "a"), (B, "b")):
            for part in (_elect, _query_worker, _start_gang, _await_write, _store):
                for label, after in part(state, own, removed):
                    yield f"{name} {label}", after
        yield from _worker(state, removed)

    return transitions


def _with(state: State, *changes: tuple[int, Any]) -> State:
    after = list(state)
    for index, value in changes:
        after[index] = value
    return tuple(after)


def _with_phase(state: State, own: int, phase: str) -> State:
    return _with(state, (own, (phase, *state[own][1:])))


def _elect(state: State, own: int, removed: frozenset[str]) -> Iterator[Step]:
    phase = state[own][0]
    if phase == "out" and state[LEASE] == NO_HOLDER and state[TERM] < MAX_TERM:
        yield "acquires the lease", _with(_with_phase(state, own, "elected"), (LEASE, own))
    elif phase == "elected":
        increment = 0 if "new_holder_raises_the_term" in removed else 1
        term = state[TERM] + increment
        if term <= MAX_TERM:
            late = state[own][4]
            elected = ("raising", term, True, ("raise", True), late)
            yield "sends the new term", _with(state, (own, elected))
        yield "gives up", _with_phase(state, own, "out")


def _query_worker(state: State, own: int, removed: frozenset[str]) -> Iterator[Step]:
    """Query the worker's tasks, and continue according to the documents and its reply."""
    phase, term = state[own][:2]
    seen_term, _, task = state[WORKER]
    if phase != "asking" or (seen_term > term and "worker_refuses_a_lower_term" not in removed):
        return
    if "query_carries_the_term" not in removed:
        state = _with(state, (WORKER, (max(seen_term, term), *state[WORKER][1:])))
    gang = state[GANG]
    if gang == "absent":
        yield "finds no gang", _with_phase(state, own, "ready")
    elif gang == "running" and task == "running" and "running_gang_is_resumed" not in removed:
        yield "resumes the running gang", _with_phase(state, own, "running")
    else:
        yield "stops the gang", _send(_with_phase(state, own, "stopping"), own, "stop")


def _send(state: State, own: int, operation: str) -> State:
    command = (operation, state[own][1], state[ATTEMPT])
    return _with(state, (COMMANDS, tuple(sorted({*state[COMMANDS], command}))))


def _start_gang(state: State, own: int, removed: frozenset[str]) -> Iterator[Step]:
    phase, term = state[own][:2]
    seen_term, attempt, task = state[WORKER]
    may_reply = seen_term <= term or "worker_refuses_a_lower_term" in removed
    if phase == "ready" and state[ATTEMPT] < MAX_ATTEMPT:
        yield "takes the accelerators", _write(state, own, "take")
    elif phase == "taken":
        yield "sends start", _send(_with_phase(state, own, "starting"), own, "start")
    elif phase == "starting":
        if may_reply and attempt == state[ATTEMPT] and task == "started":
            yield "learns that the task has started", _with_phase(state, own, "started")
    elif phase == "started":
        if "running_is_written_before_run" in removed:
            yield "sends run", _send(_with_phase(state, own, "running late"), own, "run")
        else:
            yield "writes running", _write(state, own, "commit")
    elif phase == "running late":
        yield "writes running", _write(state, own, "commit")
    elif phase == "open":
        yield "sends run", _send(_with_phase(state, own, "running"), own, "run")
    elif phase == "stopping" and may_reply and task in ("none", "stopped"):
        yield "releases the accelerators", _write(state, own, "release")


def _write(state: State, own: int, kind: str) -> State:
    _, term, _, _, late = state[own]
    # A document of another scheduler is noticed now; one written later causes a conflict.
    is_write_current = state[TERM] == term
    return _with(
        state, (own, (f"writing {kind}", term, is_write_current, (kind, is_write_current), late))
    )


def _await_write(state: State, own: int, removed: frozenset[str]) -> Iterator[Step]:
    phase, term, _, write, late = state[own]
    if write is None:
        return
    kind = "raise" if phase == "raising" else phase.removeprefix("writing ")
    if write == "ok":
        done = (PHASE_AFTER_WRITE[kind], term, False, None, late)
        yield f"has written {kind}", _with(state, (own, done))
        return
    if isinstance(write, tuple):
        late = tuple(sorted({*late, (kind, term)})) if write[1] else late
        if kind == "raise" and "raise_is_read_back" in removed:
            assumed = (PHASE_AFTER_WRITE[kind], term, False, None, late)
            yield "takes the term as written", _with(state, (own, assumed))
    yield f"reads back after {kind}", _read_back(state, own, kind, late, removed)


def _read_back(
    state: State, own: int, kind: str, late: tuple[Any, ...], removed: frozenset[str]
) -> State:
    _, term, is_current, _, _ = state[own]
    is_own = state[TERM] == term and state[RAISER] == own
    if kind == "raise":
        phase = "asking" if is_own else "elected" if not is_current else "out"
        return _with(state, (own, (phase, term, False, None, late)))
    if not is_own and "write_compares_the_term_again" not in removed:
        return _with(state, (own, ("out", term, False, None, late)))
    has_effect = {
        "take": state[GANG] == "taken",
        "commit": state[GANG] == "running",
        "release": state[GANG] == "absent",
    }[kind]
    if has_effect and is_own:
        return _with(state, (own, (PHASE_AFTER_WRITE[kind], term, False, None, late)))
    return _with(state, (own, (f"writing {kind}", term, True, (kind, True), late)))


def _store(state: State, own: int, removed: frozenset[str]) -> Iterator[Step]:
    phase, term, is_current, write, late = state[own]
    for kind, late_term in late:
        remaining = tuple(w for w in late if w != (kind, late_term))
        before = _with(state, (own, (phase, term, is_current, write, remaining)))
        yield f"has a late {kind} take effect", _apply_write(before, own, kind, late_term, removed)
    if not isinstance(write, tuple):
        return
    kind, is_write_current = write
    if is_write_current or "write_names_the_version_it_read" in removed:
        before = _with(state, (own, (phase, term, is_current, "ok", late)))
        yield f"has its {kind} take effect", _apply_write(before, own, kind, term, removed)
    else:
        refused = (phase, term, is_current, "conflict", late)
        yield f"has its {kind} refused", _with(state, (own, refused))


def _apply_write(state: State, own: int, kind: str, term: int, removed: frozenset[str]) -> State:
    if kind == "raise":
        state = _with(state, (TERM, term), (RAISER, own))
    elif term < state[TERM]:
        return _with(state, (FAULT, "a write with a lower term took effect"))
    elif kind == "take":
        state = _with(state, (GANG, "taken"), (ATTEMPT, state[ATTEMPT] + 1))
    else:
        state = _with(state, (GANG, {"commit": "running", "release": "absent"}[kind]))
    for other in (A, B):
        phase, other_term, _, write, late = state[other]
        write = (write[0], False) if isinstance(write, tuple) else write
        late = late if "write_names_the_version_it_read" in removed else ()
        state = _with(state, (other, (phase, other_term, False, write, late)))
    return state


def _worker(state: State, removed: frozenset[str]) -> Iterator[Step]:
    seen_term, attempt, task = state[WORKER]
    for operation, term, command_attempt in state[COMMANDS]:
        if term < seen_term and "worker_refuses_a_lower_term" not in removed:
            continue
        if command_attempt < attempt and "worker_refuses_a_lower_attempt" not in removed:
            continue
        if term < seen_term:
            yield "accepts a lower term", _with(state, (FAULT, "a lower term was accepted"))
        new_task = _task_after(task if command_attempt == attempt else "none", operation)
        is_failover_stop = operation == "stop" and task == "running"
        fault = "a running gang was stopped by a failover" if is_failover_stop else ""
        after = (max(seen_term, term), command_attempt, new_task)
        yield f"the worker takes {operation}", _with(state, (WORKER, after), (FAULT, fault))


def _task_after(task: str, operation: str) -> str:
    if operation == "stop":
        return "stopped"
    if operation == "start":
        return "started" if task == "none" else task
    return "running" if task == "started" else task


FAILOVER = Specification(
    name="failover",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={
        "no_fault": lambda d: not d["fault"],
        "one_scheduler_per_term": lambda d: not _share_a_term(d["a"], d["b"]),
    },
    rules=RULES,
)


def _share_a_term(a: State, b: State) -> bool:
    idle = ("out", "elected", "raising")
    return a[0] not in idle and b[0] not in idle and bool(a[1] == b[1])
