"""Which jobs to blame for the crash of a worker, and when to give up a job.

A worker that has crashed reports no failed task, only that it no longer knows its tasks. The jobs
that had just started there are suspects; a job with enough evidence from several crashes is failed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

PROBATION_S = 2.0
"""Run time up to which a job may have caused the crash of its worker by its start."""

CERTAIN_WEIGHT = 2
"""Weight of a crash that only one job can have caused."""

POSSIBLE_WEIGHT = 1
"""Weight of a crash with other possible causes."""

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


def weigh_crash(runs: Iterable[CrashedRun]) -> dict[str, int]:
    """Return the weight of the evidence that the crash of one worker adds against each job.

    Jobs that had run for longer than `PROBATION_S` are not blamed. Earlier suspects are the
    likeliest cause among the others.

    Args:
        runs: All runs that were on the worker.
    """
    recent = [run for run in runs if run.lasted_s < PROBATION_S]
    likeliest = [run for run in recent if run.is_suspect] or recent
    weights = {run.job_id: POSSIBLE_WEIGHT for run in recent}
    if len({run.job_id for run in likeliest}) == 1 and all(run.is_start_known for run in likeliest):
        weights[likeliest[0].job_id] = CERTAIN_WEIGHT
    return weights


def is_given_up(crash_weight: int) -> bool:
    """Whether the evidence from crashes suffices to fail a job."""
    return crash_weight >= GIVE_UP_WEIGHT
