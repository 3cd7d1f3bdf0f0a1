"""Specification of zone-outs and freshness evidence between two instances, with a discrete clock.

`S` is the scheduler that holds the zone and starts a task on a worker; `P` is a peer. Each may have
one request in flight, to the store or to the other. Every message may be delayed or lost and every
instance may be paused, because no step is ever forced: a broken link and a paused instance are
paths in which some steps do not happen. One tick is one second and all clocks run at one rate.
Revision 0 has the zone in service, revision 1 takes it out.

Ages count ticks and stop at the first value that no rule distinguishes from a later one.

This is the model of `core`, `fleet` and `scheduler`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from foxtailwell.core import EVIDENCE_LIMIT_S, PREPARATION_LIMIT_S
from foxtailwell_model._specification import Specification, State, Step, Transitions

__all__ = ["FRESHNESS"]

EVIDENCE_TICKS = int(EVIDENCE_LIMIT_S)
PREPARATION_TICKS = int(PREPARATION_LIMIT_S)
BOUND_TICKS = 5
STALE = EVIDENCE_TICKS + 1
EXPIRED = PREPARATION_TICKS + 1
LATE = BOUND_TICKS + 1

RULES = {
    "evidence_time_is_sent_time": "core._freshness.evidence_from_store",
    "peer_evidence_counts_age": "core._freshness.evidence_from_peer",
    "peer_evidence_time_is_sent_time": "core._freshness.evidence_from_peer",
    "evidence_of_newer_revision_is_ignored": "core._freshness.newer_evidence",
    "old_evidence_expires": "core._freshness.may_start",
    "zone_out_is_checked": "core._freshness.may_start",
    "preparation_expires": "the worker, PREPARATION_LIMIT_S",
    "repeated_prepare_does_not_extend": "the worker",
    "run_needs_valid_preparation": "the worker",
    "evidence_is_checked_after_prepare": "core._gangs",
    "lower_revision_is_not_applied": "fleet._state.adopt_document",
}

# A request in flight is (kind, age, reply), or None. The reply is (revision, age of the evidence),
# with age 0 for the store; it is None until the store or the peer has replied.
FIELDS = (
    "out_age",  # -1 before the store accepted the zone-out
    "s_revision",
    "s_evidence",
    "s_question",  # request of S in flight
    "p_revision",
    "p_evidence",
    "p_question",  # request of P in flight
    "prepared",  # age of the preparation, -1 before it
    "checked",  # S has found fresh evidence and its start is in flight
    "started_at",  # out_age when the worker accepted start, -1 before
    "running_at",  # out_age when the worker accepted run, -1 before
    "fell",  # a lower revision was applied
)
INITIAL = (-1, 0, STALE, None, 0, STALE, None, -1, False, -1, -1, False)
S, P = 1, 4


def _make_transitions(removed: frozenset[str]) -> Transitions:
    def transitions(state: State) -> Iterable[Step]:
        if state[10] >= 0 or state[11]:
            return
        yield from _clock(state)
        if not state[8]:
            for own, other, name in ((S, P, "s"), (P, S, "p")):
                yield from _send_requests(state, own, other, name)
                yield from _receive_replies(state, own, name, removed)
        yield from _start_task(state, removed)

    return transitions


def _with(state: State, *changes: tuple[int, object]) -> State:
    parts = list(state)
    for index, value in changes:
        parts[index] = value
    return tuple(parts)


def _clock(state: State) -> Iterator[Step]:
    out_age, prepared = state[0], state[7]
    if prepared == PREPARATION_TICKS and not state[8]:
        # Without a start in flight an expired preparation is equivalent to none.
        prepared = -1
    elif prepared >= 0:
        prepared = min(prepared + 1, EXPIRED)
    if out_age < 0:
        yield "zone out accepted", _with(state, (0, 0))
    if out_age >= LATE:
        return
    yield (
        "tick",
        _with(
            state,
            (0, out_age + 1 if out_age >= 0 else -1),
            (2, min(state[2] + 1, STALE)),
            (3, _aged(state[3])),
            (5, min(state[5] + 1, STALE)),
            (6, _aged(state[6])),
            (7, prepared),
        ),
    )


def _aged(request: State | None) -> State | None:
    if request is None:
        return None
    kind, age, reply = request
    # A reply to an older request gives no evidence, and a younger request can get the same
    # revision, so dropping it changes no verdict.
    return (kind, age + 1, reply) if age + 1 < STALE else None


def _send_requests(state: State, own: int, other: int, name: str) -> Iterator[Step]:
    request = state[own + 2]
    if request is None:
        yield f"{name} asks the store", _with(state, (own + 2, ("store", 0, None)))
        yield f"{name} asks its peer", _with(state, (own + 2, ("peer", 0, None)))
        return
    yield f"{name} loses its request", _with(state, (own + 2, None))
    kind, age, reply = request
    if reply is None and kind == "store":
        revision = 1 if state[0] >= 0 else 0
        yield "the store replies", _with(state, (own + 2, (kind, age, (revision, 0))))
    elif reply is None and state[other + 1] < STALE:
        offer = (state[other], state[other + 1])
        yield f"the peer of {name} replies", _with(state, (own + 2, (kind, age, offer)))


def _receive_replies(state: State, own: int, name: str, removed: frozenset[str]) -> Iterator[Step]:
    request = state[own + 2]
    if request is None or request[2] is None:
        return
    kind, sent_age, (offered, reply_age) = request
    revision, evidence = state[own], state[own + 1]
    if kind == "store":
        age = 0 if "evidence_time_is_sent_time" in removed else sent_age
    else:
        age = 0 if "peer_evidence_time_is_sent_time" in removed else sent_age
        age += 0 if "peer_evidence_counts_age" in removed else reply_age
    has_reverted = offered < revision and "lower_revision_is_not_applied" in removed
    # A reply of the store carries the document. A peer's reply carries only the revision, and the
    # document follows in a separate message.
    new_revision = (
        offered if has_reverted else max(revision, offered) if kind == "store" else revision
    )
    if offered <= new_revision or "evidence_of_newer_revision_is_ignored" in removed:
        evidence = min(evidence, age, STALE)
    received = _with(
        state,
        (own, new_revision),
        (own + 1, evidence),
        (own + 2, None),
        (11, has_reverted),
    )
    yield f"{name} takes the reply of the {kind}", received
    if kind == "peer" and offered > revision:
        yield f"{name} takes the document of its peer", _with(state, (own, offered))


def _start_task(state: State, removed: frozenset[str]) -> Iterator[Step]:
    out_age, prepared, checked = state[0], state[7], state[8]
    is_repeated = checked and "repeated_prepare_does_not_extend" in removed
    if prepared < 0 or (is_repeated and prepared > 0):
        yield "the worker prepares", _with(state, (7, 0))
    is_prepared = prepared >= 0 or "evidence_is_checked_after_prepare" in removed
    may_start = (state[1] == 0 or "zone_out_is_checked" in removed) and (
        state[2] <= EVIDENCE_TICKS or "old_evidence_expires" in removed
    )
    if not checked and is_prepared and may_start:
        # What the instances learn after the check does not affect the start in flight, so their
        # state is reset to keep the number of states small.
        yield (
            "S checks and sends start",
            _with(state, (1, 0), (2, STALE), (3, None), (4, 0), (5, STALE), (6, None), (8, True)),
        )
    is_valid = prepared <= PREPARATION_TICKS or "preparation_expires" in removed
    if checked and state[9] < 0 and prepared >= 0 and is_valid:
        yield "the worker accepts start", _with(state, (9, max(out_age, 0)))
    if state[9] >= 0 and (is_valid or "run_needs_valid_preparation" in removed):
        yield "the worker accepts run", _with(state, (10, max(out_age, 0)))


FRESHNESS = Specification(
    name="freshness",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={
        "no_start_after_the_bound": lambda d: d["started_at"] <= BOUND_TICKS,
        "no_work_begins_after_the_bound": lambda d: d["running_at"] <= BOUND_TICKS,
        "revision_never_falls": lambda d: not d["fell"],
    },
    rules=RULES,
)
