"""Which runs to stop on a worker that has announced its end.

Answers the load pattern of workers that leave at short notice, many at once, while they are full:
work that an announced end would cut off is lost in any case, and waiting for the end adds the
rest of the notice, and the lease of a worker that is gone, to the time until it runs again.
"""

from __future__ import annotations

from collections.abc import Iterable

from foxtailwell.workflows._fleet_view import RunningTask
from foxtailwell.workflows._jobs import TaskId

__all__ = ["runs_to_stop"]

CHECKPOINT_LEAD_S = 0.9
"""Time before the worker's end at which checkpointing runs are stopped.

A stop takes up to 0.4 s, and its command may have to be repeated.
"""


def runs_to_stop(runs: Iterable[RunningTask], left_s: float) -> list[TaskId]:
    """Return the runs to stop now.

    Runs with checkpoints go on until shortly before the end; they lose nothing. Others are stopped
    as soon as they are not expected to end in time, because everything that they do is lost.

    Args:
        runs: Runs of the worker, without lasting ones that have no checkpoints.
        left_s: Time until the worker may shut down.
    """
    return [
        run.id
        for run in runs
        if not run.is_stopping
        and (left_s <= CHECKPOINT_LEAD_S if run.is_checkpointing else run.remaining_s > left_s)
    ]
