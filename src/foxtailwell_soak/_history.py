"""What clients and operators were told, and when."""

from __future__ import annotations

from dataclasses import dataclass, field

from foxtailwell.workflows import Resources

__all__ = ["MAX_ATTEMPTS", "JobRecord", "History"]

MAX_ATTEMPTS = 4
"""Attempts of a task, as the operators of the soak configure them."""

MAX_VIOLATIONS = 20
"""Broken promises that one soak reports."""


@dataclass(slots=True)
class JobRecord:
    """One job as its client knows it.

    Attributes:
        statuses: Status of each attempt to hand it in; 0 for none.
        accepted_s: When the first success arrived; 0 before.
        cancelled_s: When a cancellation was acknowledged; 0 before.
        cancel_sent_s: When the first cancellation was sent; 0 before.
        last_state: Last state that a client was shown.
    """

    job_id: str
    payload: str
    request: Resources
    count: int
    is_gang: bool
    statuses: list[int] = field(default_factory=list)
    accepted_s: float = 0.0
    cancelled_s: float = 0.0
    cancel_sent_s: float = 0.0
    last_state: str = ""

    @property
    def is_refused(self) -> bool:
        """Whether every attempt was answered with a refusal that promises that it never runs."""
        return bool(self.statuses) and all(a in (401, 404, 429, 503) for a in self.statuses)


@dataclass(slots=True)
class History:
    """All jobs, and changes of operators.

    Attributes:
        revoked_s: When the removal of each key was stored.
        zones_out_s: Zones out of service, and since when.
        violations: What broke a promise.
    """

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    revoked_s: dict[str, float] = field(default_factory=dict)
    zones_out_s: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def add_violation(self, text: str) -> None:
        """Note a broken promise once; after the first ones nothing new is learnt."""
        if len(self.violations) < MAX_VIOLATIONS and text not in self.violations:
            self.violations.append(text)
