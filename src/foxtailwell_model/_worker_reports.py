"""Specification of starts that rely on the capacity which a worker has reported.

A worker shrinks once, alone or together with a restart, and tolerates starts for its former
capacity for a short time. Its reports and its response to a listing may be delayed without limit.
One tick is about one heartbeat; ages stop at the first value that no rule distinguishes from a
later one.

This is the model of `controller._workers` and `controller._clocks`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from foxtailwell_model._specification import Specification, State, Step, Transitions

__all__ = ["WORKER_REPORTS"]

RULES = {
    "age_follows_the_clock_of_the_worker": "controller._workers",
    "reading_is_of_the_incarnation_of_the_report": "controller._workers",
    "reading_counts_from_its_request": "controller._clocks",
    "old_reports_expire": "controller._workers",
}

GRACE_TICKS = 2
"""Ticks for which a worker tolerates starts that exceed its capacity after it has shrunk."""

MAX_DELAY_TICKS = 2
"""Ticks from which further delay of a response makes no difference."""

OLD = GRACE_TICKS + MAX_DELAY_TICKS + 1


class _Report(NamedTuple):
    """What a worker reports of itself.

    Attributes:
        boot: Incarnation of the worker.
        is_large: It reports the capacity from before it shrank.
        age: Ticks since it was written.
        shown: Ticks since it appeared in the store.
    """

    boot: int
    is_large: bool
    age: int = 0
    shown: int = 0


class _Question(NamedTuple):
    """A listing under way.

    Attributes:
        unread: Ticks between the request and the response.
        boot: Incarnation that responded; -1 before.
        delay: Ticks since the response.
    """

    unread: int = 0
    boot: int = -1
    delay: int = 0


class _Reading(NamedTuple):
    """A reading of a worker's clock.

    Attributes:
        boot: Incarnation that responded.
        error: Ticks by which ages that follow from it are too large.
    """

    boot: int
    error: int


FIELDS = (
    "boot",
    "shrunk_ticks",  # ticks since the worker has shrunk, -1 before
    "sent",  # report on its way to the store
    "stored",  # report in the store
    "question",
    "reading",
    "is_overloaded",  # a start has exceeded the capacity
)
INITIAL: State = (0, -1, None, None, None, None, False)


def _make_transitions(removed: frozenset[str]) -> Transitions:
    def transitions(state: State) -> Iterable[Step]:
        yield "a tick passes", _tick(state)
        yield from _act_as_worker(state)
        yield from _act_as_controller(state, removed)

    return transitions


def _older(ticks: int, limit: int = OLD) -> int:
    return min(ticks + 1, limit) if ticks >= 0 else ticks


def _tick(state: State) -> State:
    boot, shrunk_ticks, sent, stored, question, reading, is_overloaded = state
    if sent:
        sent = sent._replace(age=_older(sent.age))
    if stored:
        stored = stored._replace(age=_older(stored.age), shown=_older(stored.shown))
    if question and question.boot < 0:
        question = question._replace(unread=_older(question.unread, MAX_DELAY_TICKS))
    elif question:
        question = question._replace(delay=_older(question.delay, MAX_DELAY_TICKS))
    return boot, _older(shrunk_ticks), sent, stored, question, reading, is_overloaded


def _act_as_worker(state: State) -> Iterator[Step]:
    boot, shrunk_ticks, sent, stored, question, reading, is_overloaded = state
    rest = (question, reading, is_overloaded)
    if shrunk_ticks < 0:
        yield "the worker shrinks", (boot, 0, sent, stored, *rest)
        yield "the worker restarts with less", (boot + 1, 0, sent, stored, *rest)
    report = _Report(boot, shrunk_ticks < 0)
    if sent is None:
        yield "the worker reports", (boot, shrunk_ticks, report, stored, *rest)
    else:
        yield "the report appears", (boot, shrunk_ticks, None, sent, *rest)
    if question and question.boot < 0:
        answered = question._replace(boot=boot)
        yield (
            "the worker responds",
            (boot, shrunk_ticks, sent, stored, answered, reading, is_overloaded),
        )


def _act_as_controller(state: State, removed: frozenset[str]) -> Iterator[Step]:
    *world, question, reading, is_overloaded = state
    if question is None:
        yield "a listing is requested", (*world, _Question(), reading, is_overloaded)
    elif question.boot >= 0:
        counts_from_request = "reading_counts_from_its_request" not in removed
        error = question.unread if counts_from_request else -question.delay
        taken = _Reading(question.boot, error)
        yield "the response arrives", (*world, None, taken, is_overloaded)
    if _may_start(state, removed):
        _, shrunk_ticks, _, stored, *_ = state
        exceeds = stored.is_large and shrunk_ticks > GRACE_TICKS
        yield "a task starts", (*world, question, reading, is_overloaded or exceeds)


def _may_start(state: State, removed: frozenset[str]) -> bool:
    stored, reading = state[3], state[5]
    if stored is None:
        return False
    if "age_follows_the_clock_of_the_worker" in removed:
        age = stored.shown
    elif reading is None:
        return False
    elif reading.boot == stored.boot:
        age = stored.age + reading.error
    elif "reading_is_of_the_incarnation_of_the_report" in removed:
        # The clock of a new incarnation starts anew, so the report seems to be of the future.
        age = 0
    else:
        return False
    return age <= GRACE_TICKS or "old_reports_expire" in removed


def _is_within_capacity(state: Mapping[str, Any]) -> bool:
    return not state["is_overloaded"]


WORKER_REPORTS = Specification(
    name="worker_reports",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={"no_start_exceeds_the_capacity": _is_within_capacity},
    rules=RULES,
)
