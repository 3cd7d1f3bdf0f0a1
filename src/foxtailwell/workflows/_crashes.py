"""Which tasks to blame for the crash of a worker, and when to give up a task.

Answers the load pattern of a task that crashes every worker that starts it, beside tasks of other
jobs that only happened to run there. A crash is evidence against a task, of a weight that depends
on what else could have caused it. A task with any evidence is a suspect: while it is on probation,
no other suspect starts on its worker, and with more evidence, or after a crash right after its
start, nothing does, so that the next crash leaves no doubt. While much of the pool is free, other
units keep off for a short time only, except suspects from those that are kept alone.

Workers also crash together, by a power failure or behind a cut. A crash at the same moment that no
task on that worker explains shows such a cause, and speaks against no task on any of them.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from foxtailwell.workflows._jobs import TaskId

__all__ = [
    "CERTAIN_WEIGHT",
    "SPREAD_S",
    "CrashRecord",
    "Failure",
    "LostRun",
    "has_common_cause",
    "is_blamed",
    "is_given_up",
    "is_kept_alone",
    "judge_crash",
    "may_coincide",
    "probation_s",
    "weigh_crash",
]

RECENT_START_S = 2.0
"""Age of a run up to which it counts as just started; workers list their runs every 1.5 s."""

IMMEDIATE_S = 0.5
"""Time from the start of a run to the silence of its worker that points to this run."""

PROMPT_S = 0.2
"""Time from the start of a run to the silence of its worker that leaves little doubt."""

SUDDEN_S = 0.05
"""Time from the start of a run to the silence of its worker that is hardly ever a coincidence."""

CERTAIN_WEIGHT = 2
"""Weight of a crash right after a start that hardly anything but one job can have caused."""

POSSIBLE_WEIGHT = 1
"""Weight of a crash with other possible causes."""

NO_WEIGHT = 0
"""Weight of a crash with a common cause, which is no evidence."""

SPREAD_S = 0.1
"""Longest time between two failures with one cause."""

GIVE_UP_WEIGHT = 4
"""Total weight at which a task is given up: two certain crashes, or up to four possible ones."""


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A run that ended with the crash of its worker, as stored evidence against its task.

    Attributes:
        run: Number of the run.
        weight: Weight of the evidence.
        lasted_ms: Time for which the worker was seen running it.
        is_immediate: The crash followed its start immediately.
    """

    run: int
    weight: int
    lasted_ms: int
    is_immediate: bool = False


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was on a worker when it crashed.

    Attributes:
        lasted_s: Time for which the worker was seen running it.
        silent_after_s: Time from the confirmation of its start to the last silence of the worker;
            negative if none was noticed since, infinite if this controller has no confirmation.
        is_suspect: There is evidence against its task from earlier crashes.
        is_on_probation: It had not outlasted the runs that ended in these crashes.
        is_unanswered: Its start got no response, and may have been the last that the worker did.
    """

    task: TaskId
    lasted_s: float
    silent_after_s: float
    is_suspect: bool
    is_on_probation: bool = False
    is_unanswered: bool = False

    @property
    def is_recent(self) -> bool:
        """Whether the run had started lately, or is on probation."""
        return self.lasted_s < RECENT_START_S or self.is_on_probation

    @property
    def is_immediate(self) -> bool:
        """Whether the worker fell silent immediately after the start."""
        return 0 <= self.silent_after_s < IMMEDIATE_S

    @property
    def is_prompt(self) -> bool:
        """Whether the worker fell silent so soon after the start that another cause is unlikely."""
        return 0 <= self.silent_after_s < PROMPT_S

    @property
    def is_sudden(self) -> bool:
        """Whether it fell silent so soon that even beside others chance is unlikely."""
        return 0 <= self.silent_after_s < SUDDEN_S


@dataclass(frozen=True, slots=True)
class Failure:
    """A worker that has crashed, or is silent and may have.

    Attributes:
        alive_s: Latest local time at which it is known to have lived.
        silent_s: Earliest local time at which it is known to have failed.
        runs: Runs that were on it.
        is_crash: It is known to have ended, and not only silent.
    """

    worker: str
    alive_s: float
    silent_s: float
    runs: tuple[LostRun, ...]
    is_crash: bool = True

    @property
    def may_have_inner_cause(self) -> bool:
        """Whether a run on the worker may have crashed it."""
        return any(
            run.is_immediate or run.is_unanswered or run.is_on_probation for run in self.runs
        )

    @property
    def recent_jobs(self) -> frozenset[str]:
        """Jobs of which a run is known to have started lately on the worker, or is on probation."""
        return frozenset(
            run.task.job_id
            for run in self.runs
            if run.is_recent and (math.isfinite(run.silent_after_s) or run.is_on_probation)
        )


def may_coincide(one: Failure, other: Failure) -> bool:
    """Return whether two workers may have failed at the same moment.

    They have not if one is known to have lived on after the other had failed.
    """
    return one.alive_s <= other.silent_s + SPREAD_S and other.alive_s <= one.silent_s + SPREAD_S


def has_common_cause(crash: Failure, others: Iterable[Failure]) -> bool:
    """Return whether a failure at the same moment shows a cause outside the runs.

    Tasks of one job may behave alike, and crash their workers together some time after a start.
    A single worker that is only silent may have been cut off by chance.

    Args:
        crash: The crashed worker.
        others: Workers that may have failed at the same moment.
    """
    jobs = crash.recent_jobs
    unexplained = [f for f in others if not (f.may_have_inner_cause or f.recent_jobs & jobs)]
    return len(unexplained) > 1 or any(f.is_crash for f in unexplained)


def judge_crash(crash: Failure, others: Collection[Failure]) -> dict[TaskId, int]:
    """Return the weight of the evidence that a crash adds against each task.

    A common cause excuses all runs but those that began at the very moment of the crash: few tasks
    meet with that several times, and one that crashes its workers does so with each start.

    Args:
        crash: The crashed worker.
        others: Workers that may have failed at the same moment.
    """
    if has_common_cause(crash, others):
        excused = weigh_crash(crash.runs, is_isolated=False)
        sudden = {run.task for run in crash.runs if run.is_sudden}
        return {task: POSSIBLE_WEIGHT if task in sudden else NO_WEIGHT for task in excused}
    weights = weigh_crash(crash.runs, is_isolated=not others)
    if not others:
        return weights
    # Suspects on all of the workers may have met with a common cause again.
    return {task: min(weight, POSSIBLE_WEIGHT) for task, weight in weights.items()}


def weigh_crash(runs: Sequence[LostRun], *, is_isolated: bool) -> dict[TaskId, int]:
    """Return the weight of the evidence that a crash adds against each task.

    Runs that had been going on for a while are cleared by those that had just started, unless they
    are still on probation. Among these, earlier suspects are the likeliest cause, then runs whose
    start the crash followed immediately. A crash that comes later may have any cause. One promptly
    after the start of a suspect is blamed on it even if other workers fall silent.

    Args:
        runs: All runs on the crashed worker.
        is_isolated: No other worker failed at the same time; otherwise an external cause, such as
            a power failure, is possible.
    """
    recent = [run for run in runs if run.is_recent]
    if not recent:
        return {run.task: POSSIBLE_WEIGHT for run in runs if is_isolated}
    likeliest = (
        [run for run in recent if run.is_suspect]
        or [run for run in recent if run.is_immediate]
        or recent
    )
    is_one_job = len({run.task.job_id for run in likeliest}) == 1
    weights = {run.task: POSSIBLE_WEIGHT for run in recent}
    for run in likeliest:
        if is_one_job and (is_isolated or run.is_suspect) and run.is_prompt:
            weights[run.task] = CERTAIN_WEIGHT
    return weights


def is_blamed(crashes: Iterable[CrashRecord]) -> bool:
    """Return whether any crash is evidence against a task."""
    return any(crash.weight for crash in crashes)


def is_given_up(crashes: Iterable[CrashRecord]) -> bool:
    """Return whether the evidence suffices to give up a task."""
    return sum(crash.weight for crash in crashes) >= GIVE_UP_WEIGHT


def is_kept_alone(crashes: Iterable[CrashRecord]) -> bool:
    """Return whether nothing else may start on the worker of a suspect on probation.

    A single crash some time after a start is not enough: after a power failure, every task that had
    not run for long would block a worker.
    """
    crashes = tuple(crashes)
    weight = sum(crash.weight for crash in crashes)
    return weight >= CERTAIN_WEIGHT or any(crash.is_immediate for crash in crashes if crash.weight)


def probation_s(crashes: Iterable[CrashRecord]) -> float:
    """Return how long a run must last to be cleared of crashes; 0 if there was none.

    It must outlast each of its earlier runs that ended in a crash, unless that was no evidence.
    """
    crashes = tuple(crashes)
    relevant = [crash for crash in crashes if crash.weight] or crashes
    longest_s = max((crash.lasted_ms / 1000 for crash in relevant), default=None)
    return 0.0 if longest_s is None else longest_s + RECENT_START_S
