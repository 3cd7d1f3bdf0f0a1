"""Decisions under load, each replayed against the load pattern that its module names."""

from __future__ import annotations

import random

from foxtailwell.workflows import Resources, RunningTask, TaskId, runs_to_stop

STEP_S = 0.1
"""Time between two decisions in a replay."""

STOP_S = 0.4
"""Longest time that a worker takes to stop a run."""


def _run(number, remaining_s, *, is_checkpointing):
    return RunningTask(
        TaskId(f"{number:016x}", 0, 0, 0),
        Resources(1, 1, 1),
        priority=1,
        elapsed_s=1.0,
        is_checkpointing=is_checkpointing,
        is_stopping=False,
        remaining_s=remaining_s,
    )


def test_no_run_is_cut_off_by_the_announced_end_of_its_worker():
    """Guards against full workers that leave 1.5 s after their notice and take their runs along.

    A run that is cut off waits for the lease of a worker that is gone, 10 s in place of 0.4 s.
    """
    rng = random.Random(20261204)
    notice_s = 1.5
    kinds = {n: (rng.uniform(0.1, 8.0), rng.random() < 0.45) for n in range(190)}
    stopped_s, completed = {}, set()
    for step in range(round(notice_s / STEP_S)):
        now_s = step * STEP_S
        live = {
            n: _run(n, needed_s - now_s, is_checkpointing=has_checkpoints)
            for n, (needed_s, has_checkpoints) in kinds.items()
            if n not in stopped_s and n not in completed
        }
        completed |= {n for n, run in live.items() if run.remaining_s <= 0}
        for task in runs_to_stop(live.values(), notice_s - now_s):
            stopped_s.setdefault(int(task.job_id, 16), now_s)
    for number, (needed_s, has_checkpoints) in kinds.items():
        if needed_s <= notice_s - 2 * STEP_S and not has_checkpoints:
            assert number not in stopped_s
        elif needed_s > notice_s:
            assert stopped_s[number] + STOP_S < notice_s
            assert has_checkpoints or stopped_s[number] == 0.0
