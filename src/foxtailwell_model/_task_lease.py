"""Specification of the lease of one running task: renewals, an unreachable worker, a successor.

The holder S1 renews the task's lease at a worker. S2 takes over the zone at any moment, because S1
is paused or has lost the store. Each link may break on its own: S1 may reach the worker while S2
does not. Accelerators are released, and the job may run elsewhere, only when the task can no longer
run.

Times are the remaining ticks of a lease of `LEASE_TICKS`. A reply carries the worker's clock; a
renewal names the newest clock that its sender has received, and extends the lease from there. All
clocks run at one rate. At most one message of each kind is in flight; a newer one replaces it.

This is the model of `core` and `scheduler`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from foxtailwell_model._specification import Specification, State, Step, Transitions

__all__ = ["TASK_LEASE"]

RULES = {
    "task_stops_when_its_lease_expires": "the worker",
    "renewal_extends_from_the_clock_it_names": "the worker, scheduler._links",
    "worker_refuses_a_lower_term": "the worker",
    "release_waits_for_the_whole_lease": "core.advance",
    "release_compares_the_term": "scheduler._mutations.release_gang",
    "unresponsive_worker_waits_for_the_old_holder": "core.advance",
    "wait_counts_from_the_acknowledgement": "core.advance",
}

LEASE_TICKS = 4
EARLY_RELEASE_TICKS = 2
"""Ticks that are left at an early release, which one mutant permits."""


class _Holder(NamedTuple):
    """One scheduler. Times are in remaining ticks of a lease.

    Attributes:
        is_active: Whether it believes that it holds the zone.
        contact_left: Of a lease that starts at its last reply from the worker; for S2 also at its
            takeover, and again when it learns that S1 no longer renews.
        clock_left: Of a lease that starts at the worker's clock in the newest reply.
        renewal: Of the lease that the renewal in flight asks for; -1 without a renewal.
        reply: Of a lease that starts at the worker's clock in the reply in flight; -1 without one.
    """

    is_active: bool
    contact_left: int
    clock_left: int
    renewal: int
    reply: int


FIELDS = (
    "is_running",
    "left",  # remaining ticks of the task's lease at the worker
    "term",  # highest term that the worker has seen
    "s1",
    "s2",
    "is_taken_over",
    "s2_has_heard",  # S2 has received a reply from the worker
    "s1_is_known_out",  # S2 knows that S1 no longer renews
    "is_released",
)
INITIAL: State = (
    True,
    LEASE_TICKS,
    1,
    _Holder(True, LEASE_TICKS, LEASE_TICKS, -1, -1),
    _Holder(False, 0, 0, -1, -1),
    False,
    False,
    False,
    False,
)
S1, S2 = 3, 4


def _make_transitions(removed: frozenset[str]) -> Transitions:
    def transitions(state: State) -> Iterable[Step]:
        yield "tick", _tick(state, removed)
        for own, term in ((S1, 1), (S2, 2)):
            yield from _renew(state, own, term, removed)
        yield from _takeover(state, removed)
        yield from _release(state, removed)

    return transitions


def _with(state: State, *changes: tuple[int, Any]) -> State:
    after = list(state)
    for index, value in changes:
        after[index] = value
    return tuple(after)


def _tick(state: State, removed: frozenset[str]) -> State:
    left = max(0, state[1] - 1)
    has_expired = left == 0 and "task_stops_when_its_lease_expires" not in removed
    s1, s2 = (_aged(state[own]) for own in (S1, S2))
    return _with(state, (0, state[0] and not has_expired), (1, left), (S1, s1), (S2, s2))


def _aged(holder: _Holder) -> _Holder:
    return _Holder(
        holder.is_active,
        max(0, holder.contact_left - 1),
        max(0, holder.clock_left - 1),
        max(-1 if holder.renewal < 0 else 0, holder.renewal - 1),
        holder.reply - 1 if holder.reply > 0 else -1,
    )


def _renew(state: State, own: int, term: int, removed: frozenset[str]) -> Iterator[Step]:
    holder: _Holder = state[own]
    if holder.is_active:
        yield f"S{term} renews", _with(state, (own, holder._replace(renewal=holder.clock_left)))
    if holder.renewal >= 0 and (term >= state[2] or "worker_refuses_a_lower_term" in removed):
        left = holder.renewal
        if "renewal_extends_from_the_clock_it_names" in removed:
            left = LEASE_TICKS
        after = _with(
            state,
            (1, max(state[1], left) if state[0] else 0),
            (2, max(state[2], term)),
            (own, holder._replace(renewal=-1, reply=LEASE_TICKS)),
        )
        yield f"the worker takes the renewal of S{term}", after
    if holder.reply >= 0 and holder.is_active:
        updated = holder._replace(
            contact_left=LEASE_TICKS, clock_left=max(holder.clock_left, holder.reply), reply=-1
        )
        after = _with(state, (own, updated), (6, state[6] or own == S2))
        yield f"S{term} takes the reply", after


def _takeover(state: State, removed: frozenset[str]) -> Iterator[Step]:
    s1, s2 = state[S1], state[S2]
    if not state[5]:
        yield (
            "S2 takes over",
            _with(state, (5, True), (S2, s2._replace(is_active=True, contact_left=LEASE_TICKS))),
        )
        return
    if s1.is_active:
        yield "S1 learns the new term or ends", _with(state, (S1, s1._replace(is_active=False)))
    elif not state[7]:
        contact_left = (
            s2.contact_left if "wait_counts_from_the_acknowledgement" in removed else LEASE_TICKS
        )
        after = _with(state, (7, True), (S2, s2._replace(contact_left=contact_left)))
        yield "S2 learns that S1 no longer renews", after


def _release(state: State, removed: frozenset[str]) -> Iterator[Step]:
    if state[8]:
        return
    early_left = EARLY_RELEASE_TICKS if "release_waits_for_the_whole_lease" in removed else 0
    is_fenced = state[5] and "release_compares_the_term" not in removed
    if state[S1].is_active and state[S1].contact_left <= early_left and not is_fenced:
        yield "S1 releases", _with(state, (8, True))
    may_release = state[6] or state[7] or "unresponsive_worker_waits_for_the_old_holder" in removed
    if state[S2].is_active and state[S2].contact_left <= early_left and may_release:
        yield "S2 releases", _with(state, (8, True))


TASK_LEASE = Specification(
    name="task_lease",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={"released_is_idle": lambda d: not (d["is_released"] and d["is_running"])},
    rules=RULES,
)
