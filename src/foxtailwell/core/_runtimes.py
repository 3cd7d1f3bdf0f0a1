"""Prediction of run times from completed jobs of the same client account and class."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

from foxtailwell.core._jobs import Job, JobState

SAMPLES_PER_KEY = 64
"""Most recent samples kept per key, so that predictions follow a changed mix of jobs."""

KEY_LIMIT = 2048
"""Maximum pairs of account and class; 240 teams with 8 classes each need 1,920."""

MINIMUM_SAMPLES = 5
"""With fewer samples one or two jobs determine a quantile, so those of the class are used."""

PLANNING_QUANTILE = 0.9
"""High, because a backfilled job that runs longer than predicted delays a reserved gang."""


class RunTimes:
    """Recent run times by account and class, bounded in samples per key and in keys."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._samples: OrderedDict[tuple[str, str], deque[float]] = OrderedDict()

    def observe(self, account: str, work_class: str, run_s: float) -> None:
        """Record the run time of a completed job, for its account and for all accounts."""
        # The second key covers all accounts of a class; it serves accounts with few samples.
        for key in ((account, work_class), ("", work_class)):
            samples = self._samples.pop(key, None)
            if samples is None:
                samples = deque(maxlen=SAMPLES_PER_KEY)
            samples.append(run_s)
            self._samples[key] = samples
        while len(self._samples) > KEY_LIMIT:
            self._samples.popitem(last=False)

    def quantile_s(
        self, account: str, work_class: str, quantile: float, *, longer_than_s: float = 0.0
    ) -> float | None:
        """Return a quantile of the run times above a lower bound.

        Args:
            account: Client account.
            work_class: Class of work.
            quantile: Share of the run times that is at or below the result, from 0 to 1.
            longer_than_s: Lower bound, usually the time that the job has already run.

        Returns:
            The quantile, twice the bound if no run time exceeds it, or None with too few samples.
        """
        for key in ((account, work_class), ("", work_class)):
            samples = self._samples.get(key, ())
            if len(samples) < MINIMUM_SAMPLES:
                continue
            longer = sorted(s for s in samples if s > longer_than_s)
            if not longer:
                # Longer than all samples: assume that it will run as long again.
                return 2.0 * longer_than_s
            return longer[min(int(quantile * len(longer)), len(longer) - 1)]
        return None

    def predict(
        self, jobs: Iterable[Job], now_unix_ms: int, quantile: float = PLANNING_QUANTILE
    ) -> dict[str, float]:
        """Return the predicted total run time in seconds by job.

        The declared run time is used only if there are too few samples.
        """
        predicted: dict[str, float] = {}
        for job in jobs:
            ran_s = 0.0
            if job.state is JobState.RUNNING and job.started_unix_ms:
                ran_s = max(0.0, (now_unix_ms - job.started_unix_ms) / 1000)
            learned = self.quantile_s(job.account, job.work_class, quantile, longer_than_s=ran_s)
            predicted[job.id] = learned if learned is not None else max(job.declared_run_s, ran_s)
        return predicted
