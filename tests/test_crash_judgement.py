"""Judgement of crashes: properties of its pure functions over random histories of waves."""

from __future__ import annotations

import math
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from foxtailwell.workflows import (
    SPREAD_S,
    CrashRecord,
    Failure,
    LostRun,
    TaskId,
    is_given_up,
    judge_crash,
    may_coincide,
)
from foxtailwell.workflows._crashes import (
    PROMPT_S,
    RECENT_START_S,
    is_blamed,
    probation_s,
    weigh_crash,
)

TASK = TaskId("task", 0, 0, 0)
OLD_RUN = LostRun(TaskId("old", 0, 0, 0), 60.0, 60.0, is_suspect=False)
MAX_CRASHES = 4
"""Crashes after which a task is given up that crashes each worker right after its start."""

AGES_S = st.floats(0.1, 10.0)
CONFIRMED = st.builds(lambda age_s: {"lasted_s": age_s, "silent_after_s": age_s}, AGES_S)
UNANSWERED = st.just({"lasted_s": 0.0, "silent_after_s": math.inf, "is_unanswered": True})
RESTORED = st.just({"lasted_s": 0.0, "silent_after_s": math.inf})
STARTS = st.one_of(CONFIRMED, UNANSWERED, RESTORED)
SUDDEN_STARTS = st.one_of(
    st.builds(lambda age_s: {"lasted_s": 0.0, "silent_after_s": age_s}, st.floats(0.0, 0.4)),
    UNANSWERED,
    RESTORED,
)


def other_runs(starts):
    """Return a strategy for runs of other tasks, which are no suspects."""
    jobs = st.lists(starts, max_size=3)
    return jobs.map(
        lambda fields: tuple(
            LostRun(TaskId(f"other{number}", 0, 0, 0), is_suspect=False, **start)
            for number, start in enumerate(fields)
        )
    )


@st.composite
def failures(draw, crash_s, worker, runs):
    """Return a crash that happened at a given time and was noticed some time later."""
    alive_s = crash_s - draw(st.floats(0.0, 1.5))
    return Failure(worker, alive_s, crash_s + draw(st.floats(0.0, 0.5)), runs)


@st.composite
def survivors(draw, crash):
    """Return a worker that crashed too, but that is known to have lived on past a crash."""
    alive_s = crash.silent_s + SPREAD_S + draw(st.floats(0.001, 2.0))
    return Failure("survivor", alive_s, alive_s + draw(st.floats(0.0, 1.0)), (OLD_RUN,))


@st.composite
def predecessors(draw, crash):
    """Return a worker that crashed too, before a worker is known to have lived."""
    silent_s = crash.alive_s - SPREAD_S - draw(st.floats(0.001, 2.0))
    return Failure("predecessor", silent_s - 1.0, silent_s, (OLD_RUN,))


class History:
    """Evidence against the task, recorded as the registry does."""

    def __init__(self):
        self.crashes = ()

    def lose(self, start):
        """Return the run that is lost, after evidence that it has outlasted is cleared."""
        if start["lasted_s"] >= probation_s(self.crashes):
            self.crashes = ()
        is_suspect = is_blamed(self.crashes)
        return LostRun(TASK, is_suspect=is_suspect, is_on_probation=is_suspect, **start)

    def judge(self, crash, failed):
        """Judge a crash beside other failures, and record the evidence against the task."""
        near = [other for other in failed if may_coincide(crash, other)]
        weights = judge_crash(crash, near)
        run = next(run for run in crash.runs if run.task == TASK)
        if TASK in weights:
            lasted_ms = int(run.lasted_s * 1000)
            record = CrashRecord(
                len(self.crashes), weights[TASK], lasted_ms, is_immediate=run.is_immediate
            )
            self.crashes = (*(c for c in self.crashes if c.weight), record)


@given(data=st.data(), wave_count=st.integers(1, 12))
def test_task_that_never_causes_a_crash_is_not_given_up(data, wave_count):
    """Guards against common crashes that add up until a job that could be done has failed."""
    history = History()
    for wave in range(wave_count):
        crash_s = 100.0 + 2.5 * wave
        run = history.lose(data.draw(STARTS))
        beside = data.draw(other_runs(STARTS))
        crash = data.draw(failures(crash_s, "own", (run, *beside)))
        others = [
            data.draw(failures(crash_s, f"w{number}", data.draw(other_runs(STARTS))))
            for number in range(data.draw(st.integers(0, 4)))
        ]
        unexplained = data.draw(failures(crash_s, "unexplained", (OLD_RUN,)))
        history.judge(crash, data.draw(st.permutations([*others, unexplained])))
        assert not is_given_up(history.crashes)


@given(data=st.data(), crash_count=st.integers(1, 12))
def test_neighbours_that_crash_a_worker_do_not_end_a_running_task(data, crash_count):
    """Guards against evidence against a run that had gone on before the start of another one."""
    history = History()
    for number in range(crash_count):
        start = {"lasted_s": RECENT_START_S + data.draw(AGES_S), "silent_after_s": math.inf}
        run = history.lose(start)
        fatal = replace(OLD_RUN, task=TaskId("fatal", 0, 0, 0), **data.draw(SUDDEN_STARTS))
        crash = data.draw(failures(100.0 + number, "own", (run, fatal)))
        history.judge(crash, ())
        assert TASK not in weigh_crash(crash.runs, is_isolated=True)
        assert not is_given_up(history.crashes)


@given(data=st.data())
def test_task_that_crashes_each_worker_is_given_up(data):
    """Guards against a fatal task that is excused although the other workers live on."""
    history = History()
    for number in range(MAX_CRASHES):
        run = history.lose(data.draw(SUDDEN_STARTS))
        runs = (run, *data.draw(other_runs(STARTS)))
        crash = data.draw(failures(100.0 + 3 * number, "own", runs))
        others = [data.draw(survivors(crash)), data.draw(predecessors(crash))]
        history.judge(crash, data.draw(st.lists(st.sampled_from(others), max_size=2)))
    assert is_given_up(history.crashes)


@given(data=st.data())
def test_two_certain_crashes_give_up_a_task_that_is_alone(data):
    """Guards against a fatal task that takes more workers with it than its evidence needs."""
    history = History()
    for number in range(2):
        silent_after_s = data.draw(st.floats(0.0, PROMPT_S, exclude_max=True))
        run = history.lose({"lasted_s": 0.0, "silent_after_s": silent_after_s})
        crash = data.draw(failures(100.0 + 3 * number, "own", (run, OLD_RUN)))
        history.judge(crash, [data.draw(survivors(crash))])
    assert is_given_up(history.crashes)


@given(data=st.data())
def test_crashes_at_one_moment_may_coincide(data):
    """Guards against workers of one common crash that seem to have failed one after the other."""
    one = data.draw(failures(100.0, "one", ()))
    other = data.draw(failures(100.0, "other", ()))
    assert may_coincide(one, other)
    assert may_coincide(other, one)


@given(data=st.data())
def test_survivor_does_not_coincide(data):
    """Guards against a common cause of two crashes of which one worker lived past the other."""
    crash = data.draw(failures(100.0, "one", ()))
    for other in (data.draw(survivors(crash)), data.draw(predecessors(crash))):
        assert not may_coincide(crash, other)
        assert not may_coincide(other, crash)
