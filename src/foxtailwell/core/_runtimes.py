"""Run times learned per client account and class."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

from foxtailwell.core._jobs import Job, JobState

SAMPLES_PER_KEY = 64
"""Newest run times that are kept, so that a mix that changed overnight is forgotten."""

KEY_LIMIT = 2048
"""Pairs of account and class that are kept; 240 teams with 8 classes each need 1,920."""

MINIMUM_SAMPLES = 5
"""Below this count a quantile is decided by one or two jobs, so wider data is used."""

PLANNING_QUANTILE = 0.9
"""Backfilled work that runs longer than predicted delays a reserved gang, so a high quantile."""


class RunTimes:
    """Newest run times by account and class, bounded in both directions."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: OrderedDict[tuple[str, str], deque[float]] = OrderedDict()

    def observe(self, account: str, work_class: str, run_s: float) -> None:
        """Record the run time of a job that completed."""
        # The second key holds all accounts of a class, for accounts that are new to it.
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
        """Return a quantile of the run times that are longer than a value.

        Args:
            account: Client account.
            work_class: Class of work.
            quantile: Share of run times that are at most the result.
            longer_than_s: Time that the job has run already.

        Returns:
            The quantile, or None when too few run times are known.
        """
        for key in ((account, work_class), ("", work_class)):
            samples = self._samples.get(key, ())
            if len(samples) < MINIMUM_SAMPLES:
                continue
            longer = sorted(s for s in samples if s > longer_than_s)
            if not longer:
                # It has outlived all known jobs; expect it to run as long again.
                return 2.0 * longer_than_s
            return longer[min(int(quantile * len(longer)), len(longer) - 1)]
        return None

    def predict(
        self, jobs: Iterable[Job], now_unix_ms: int, quantile: float = PLANNING_QUANTILE
    ) -> dict[str, float]:
        """Return the predicted run time of each job that is running or waiting.

        The declared run time is used only while nothing has been learned.
        """
        predicted: dict[str, float] = {}
        for job in jobs:
            ran_s = 0.0
            if job.state is JobState.RUNNING and job.started_unix_ms:
                ran_s = max(0.0, (now_unix_ms - job.started_unix_ms) / 1000)
            learned = self.quantile_s(job.account, job.work_class, quantile, longer_than_s=ran_s)
            predicted[job.id] = learned if learned is not None else max(job.declared_run_s, ran_s)
        return predicted
