"""History of one soak test: responses to clients, operator changes and detected violations."""

from __future__ import annotations

from dataclasses import dataclass, field

from foxtailwell.workflows import Resources
from foxtailwell_standins.platform_worker import RunSpan

__all__ = ["MAX_ATTEMPTS", "History", "JobRecord"]

NAMESAKE_SUFFIX = "@"

MAX_ATTEMPTS = 4
"""Attempts of a task, which the operators write into the configuration."""

MAX_VIOLATIONS = 20
"""Most violations that one soak test reports."""


@dataclass(slots=True)
class JobRecord:
    """Submission and responses of one job; times are on the monotonic clock and 0 if unset.

    Attributes:
        request: Resources of one task.
        count: Number of tasks.
        is_fatal: The first task crashes each worker that starts it.
        is_namesake: An earlier job on another queue has its identifier. Runs of the two are told
            apart by their payloads.
        statuses: Status of each submission attempt; 0 if there was no response.
        accepted_s: When the first success response arrived.
        cancelled_s: When a cancellation was acknowledged.
        cancel_sent_s: When the first cancellation was sent.
        last_state: Last state that a client read.
        is_shown_failed: A client has read the state "failed", at any time.
    """

    job_id: str
    payload: str
    request: Resources
    count: int
    is_gang: bool
    is_fatal: bool = False
    is_namesake: bool = False
    statuses: list[int] = field(default_factory=list)
    accepted_s: float = 0.0
    cancelled_s: float = 0.0
    cancel_sent_s: float = 0.0
    last_state: str = ""
    is_shown_failed: bool = False

    @property
    def key(self) -> str:
        """Key of this job in `History.jobs`."""
        return self.job_id + NAMESAKE_SUFFIX if self.is_namesake else self.job_id

    def has_run(self, span: RunSpan) -> bool:
        """Whether a run belongs to this job."""
        return span.payload == self.payload and span.task.startswith(f"{self.job_id}.")

    @property
    def is_refused(self) -> bool:
        """Whether every attempt got a status that rules out that the job ever runs."""
        return bool(self.statuses) and all(s in (401, 404, 429, 503) for s in self.statuses)


@dataclass(slots=True)
class History:
    """All jobs, operator changes and violations of one soak test.

    Attributes:
        jobs: Jobs by `JobRecord.key`.
        revoked_s: When the revocation of each currently revoked API key was stored.
        zones_out_s: When the evacuation of each zone that is out of service was stored.
        violations: Descriptions of the violated guarantees.
    """

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    revoked_s: dict[str, float] = field(default_factory=dict)
    zones_out_s: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def find(self, span: RunSpan) -> JobRecord | None:
        """Return the job of a run; None if no client has submitted it."""
        job_id = span.task.partition(".")[0]
        found = (self.jobs.get(key) for key in (job_id, job_id + NAMESAKE_SUFFIX))
        return next((job for job in found if job is not None and job.has_run(span)), None)

    def add_violation(self, text: str) -> None:
        """Add a violation; repeated ones and those beyond `MAX_VIOLATIONS` are ignored."""
        if len(self.violations) < MAX_VIOLATIONS and text not in self.violations:
            self.violations.append(text)
