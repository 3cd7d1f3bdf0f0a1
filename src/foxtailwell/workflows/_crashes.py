"""Which tasks to blame for the crash of a worker, and when to give up a task.

Answers the load pattern of a task that crashes every worker that starts it, beside tasks of other
jobs that only happened to run there. A crash is evidence against a task, of a weight that depends
on what else could have caused it. A task with any evidence is a suspect: while it is on probation,
no other suspect starts on its worker, and with more evidence, or after a crash right after its
start, nothing does, so that the next crash leaves no doubt. While much of the pool is free, other
units keep off for a short time only, except suspects from those that are kept alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from foxtailwell.workflows._jobs import TaskId

__all__ = [
    "CERTAIN_WEIGHT",
    "CrashRecord",
    "LostRun",
    "is_given_up",
    "is_kept_alone",
    "probation_s",
    "weigh_crash",
]

RECENT_START_S = 2.0
"""Age of a run up to which it counts as just started; workers list their runs every 1.5 s."""

IMMEDIATE_S = 0.5
"""Time from the start of a run to the silence of its worker that points to this run."""

CERTAIN_WEIGHT = 2
"""Weight of a crash right after a start that hardly anything but one job can have caused."""

POSSIBLE_WEIGHT = 1
"""Weight of a crash with other possible causes."""

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
    """

    task: TaskId
    lasted_s: float
    silent_after_s: float
    is_suspect: bool
    is_on_probation: bool = False

    @property
    def is_immediate(self) -> bool:
        """Whether the worker fell silent immediately after the start."""
        return 0 <= self.silent_after_s < IMMEDIATE_S


def weigh_crash(runs: Sequence[LostRun], *, is_isolated: bool) -> dict[TaskId, int]:
    """Return the weight of the evidence that a crash adds against each task.

    Runs that had been going on for a while are cleared by those that had just started, unless they
    are still on probation. Among these, earlier suspects are the likeliest cause, then runs whose
    start the crash followed immediately. A crash that comes later may have any cause. One right
    after the start of a suspect is blamed on it even if other workers fall silent.

    Args:
        runs: All runs on the crashed worker.
        is_isolated: No other worker fell silent at the same time without a suspect of its own;
            otherwise an external cause, such as a power failure, is likely.
    """
    recent = [run for run in runs if run.lasted_s < RECENT_START_S or run.is_on_probation]
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
        if is_one_job and (is_isolated or run.is_suspect) and run.is_immediate:
            weights[run.task] = CERTAIN_WEIGHT
    return weights


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
    return weight >= CERTAIN_WEIGHT or any(crash.is_immediate for crash in crashes)


def probation_s(crashes: Iterable[CrashRecord]) -> float:
    """Return how long a run of a suspect must last to be cleared; 0 if there is no evidence.

    It must outlast each of its earlier runs that ended in a crash.
    """
    longest_s = max((crash.lasted_ms / 1000 for crash in crashes), default=None)
    return 0.0 if longest_s is None else longest_s + RECENT_START_S
