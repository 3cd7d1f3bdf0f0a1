"""Lease of one running task: its renewals, an unreachable worker, and a successor.

The holder S1 renews the task of a worker. S2 takes the zone over at any moment, because S1 is
paused or cut from the store. Each link may be cut on its own: S1 may reach the worker while S2
does not. Accelerators are released, and the job may run elsewhere, only when the task cannot run
any more.

Times are what is left of a lease of `LEASE` ticks. A reply carries the worker's clock; a renewal
names the newest clock that its sender has received, and extends the lease from there. All clocks
run at one rate. One message of each kind is under way at most; a newer one replaces it.
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

LEASE = 4
LOST_AFTER = 2


class _Holder(NamedTuple):
    """One scheduler.

    Attributes:
        is_active: Whether it believes that it holds the zone.
        heard: Time left since it last heard the worker.
        clock: Time left of a lease that starts at the worker's clock in the newest reply.
        renewal: Message under way to the worker, as the time left that it names; -1 is none.
        reply: Reply under way, as the time left since the worker's clock in it; -1 is none.
    """

    is_active: bool
    heard: int
    clock: int
    renewal: int
    reply: int


FIELDS = (
    "is_running",
    "left",  # of the task's lease at the worker
    "term",  # highest term that the worker has seen
    "s1",
    "s2",
    "is_taken_over",
    "s2_has_heard",  # S2 has had a reply from the worker
    "s1_is_known_out",  # S2 knows that S1 renews no more
    "is_released",
)
INITIAL: State = (
    True,
    LEASE,
    1,
    _Holder(True, LEASE, LEASE, -1, -1),
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
            yield from _renewals(state, own, term, removed)
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
    has_lapsed = left == 0 and "task_stops_when_its_lease_expires" not in removed
    s1, s2 = (_older(state[own]) for own in (S1, S2))
    return _with(state, (0, state[0] and not has_lapsed), (1, left), (S1, s1), (S2, s2))


def _older(holder: _Holder) -> _Holder:
    return _Holder(
        holder.is_active,
        max(0, holder.heard - 1),
        max(0, holder.clock - 1),
        max(-1 if holder.renewal < 0 else 0, holder.renewal - 1),
        holder.reply - 1 if holder.reply > 0 else -1,
    )


def _renewals(state: State, own: int, term: int, removed: frozenset[str]) -> Iterator[Step]:
    holder: _Holder = state[own]
    if holder.is_active:
        yield f"S{term} renews", _with(state, (own, holder._replace(renewal=holder.clock)))
    if holder.renewal >= 0 and (term >= state[2] or "worker_refuses_a_lower_term" in removed):
        left = holder.renewal
        if "renewal_extends_from_the_clock_it_names" in removed:
            left = LEASE
        after = _with(
            state,
            (1, max(state[1], left) if state[0] else 0),
            (2, max(state[2], term)),
            (own, holder._replace(renewal=-1, reply=LEASE)),
        )
        yield f"the worker takes the renewal of S{term}", after
    if holder.reply >= 0 and holder.is_active:
        heard = holder._replace(heard=LEASE, clock=max(holder.clock, holder.reply), reply=-1)
        after = _with(state, (own, heard), (6, state[6] or own == S2))
        yield f"S{term} takes the reply", after


def _takeover(state: State, removed: frozenset[str]) -> Iterator[Step]:
    s1, s2 = state[S1], state[S2]
    if not state[5]:
        yield (
            "S2 takes over",
            _with(state, (5, True), (S2, s2._replace(is_active=True, heard=LEASE))),
        )
        return
    if s1.is_active:
        yield "S1 learns the new term or ends", _with(state, (S1, s1._replace(is_active=False)))
    elif not state[7]:
        heard = s2.heard if "wait_counts_from_the_acknowledgement" in removed else LEASE
        known = _with(state, (7, True), (S2, s2._replace(heard=heard)))
        yield "S2 learns that S1 renews no more", known


def _release(state: State, removed: frozenset[str]) -> Iterator[Step]:
    if state[8]:
        return
    wait = LOST_AFTER if "release_waits_for_the_whole_lease" in removed else 0
    is_fenced = state[5] and "release_compares_the_term" not in removed
    if state[S1].is_active and state[S1].heard <= wait and not is_fenced:
        yield "S1 releases", _with(state, (8, True))
    is_settled = state[6] or state[7] or "unresponsive_worker_waits_for_the_old_holder" in removed
    if state[S2].is_active and state[S2].heard <= wait and is_settled:
        yield "S2 releases", _with(state, (8, True))


TASK_LEASE = Specification(
    name="task_lease",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={"released_is_idle": lambda d: not (d["is_released"] and d["is_running"])},
    rules=RULES,
)
