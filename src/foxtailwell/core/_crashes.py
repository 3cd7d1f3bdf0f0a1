"""Which jobs to blame for the crash of a worker, and when to give up a job.

A worker that has crashed reports no failed task, only that it no longer knows its tasks. The jobs
that had just started there are suspects; a job with enough evidence from several crashes is failed.

Workers also restart together, for example after a power failure. A failure at the same moment that
no run on its worker explains shows such a cause, and speaks against no job on any of them.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

PROBATION_S = 2.0
"""Run time up to which a job may have caused the crash of its worker by its start."""

CERTAIN_WEIGHT = 2
"""Weight of a crash that only one job can have caused."""

POSSIBLE_WEIGHT = 1
"""Weight of a crash with other possible causes."""

NO_WEIGHT = 0
"""Weight of a loss with a common cause, which is no evidence."""

GIVE_UP_WEIGHT = 4
"""Total weight at which a job is failed: two crashes without doubt, or four with doubt."""


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A run that a restarted worker no longer knows.

    Attributes:
        job_id: Job of the run.
        lasted_s: Time for which the worker reported the run.
        is_start_known: This scheduler has begun the run; a previous one may have done so long ago.
        is_suspect: There is evidence against the job from earlier crashes.
    """

    job_id: str
    lasted_s: float
    is_start_known: bool
    is_suspect: bool

    @property
    def is_recent(self) -> bool:
        """Whether the run may have caused a crash by its start."""
        return self.lasted_s < PROBATION_S


@dataclass(frozen=True, slots=True)
class WorkerFailure:
    """A worker that has restarted, or is silent and may have.

    Attributes:
        worker: The worker.
        alive_s: Latest time at which it is known to have lived.
        failed_s: Earliest time at which it is known to have failed.
        runs: Runs that were on it.
    """

    worker: str
    alive_s: float
    failed_s: float
    runs: tuple[CrashedRun, ...]

    @property
    def may_have_inner_cause(self) -> bool:
        """Whether a run on the worker may have caused the failure."""
        return any(run.is_recent for run in self.runs)


def may_coincide(one: WorkerFailure, other: WorkerFailure) -> bool:
    """Return whether two workers may have failed at the same moment.

    They have not if one is known to have lived on after the other had failed.
    """
    return one.alive_s <= other.failed_s and other.alive_s <= one.failed_s


def judge_crash(crash: WorkerFailure, others: Collection[WorkerFailure]) -> dict[str, int]:
    """Return the weight of the evidence that the crash of one worker adds against each job.

    Args:
        crash: The restarted worker.
        others: Workers that may have failed at the same moment.
    """
    if not all(other.may_have_inner_cause for other in others):
        return {}
    return weigh_crash(crash.runs, is_isolated=not others)


def weigh_crash(runs: Iterable[CrashedRun], *, is_isolated: bool) -> dict[str, int]:
    """Return the weight of the evidence that the crash of one worker adds against each job.

    Jobs that had run for longer than `PROBATION_S` are not blamed. Earlier suspects are the
    likeliest cause among the others.

    Args:
        runs: All runs that were on the worker.
        is_isolated: No other worker failed at the same moment; otherwise a common cause is
            possible, even if a run on each of them may have caused its failure.
    """
    recent = [run for run in runs if run.is_recent]
    likeliest = [run for run in recent if run.is_suspect] or recent
    weights = {run.job_id: POSSIBLE_WEIGHT for run in recent}
    is_one_job = len({run.job_id for run in likeliest}) == 1
    if is_isolated and is_one_job and all(run.is_start_known for run in likeliest):
        weights[likeliest[0].job_id] = CERTAIN_WEIGHT
    return weights


def is_given_up(crash_weight: int) -> bool:
    """Whether the evidence from crashes suffices to fail a job."""
    return crash_weight >= GIVE_UP_WEIGHT
