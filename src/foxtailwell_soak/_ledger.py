"""What clients and operators were told, and when."""

from __future__ import annotations

from dataclasses import dataclass, field

from foxtailwell.workflows import Resources

__all__ = ["MAX_ATTEMPTS", "JobLog", "Ledger"]

MAX_ATTEMPTS = 4
"""Attempts of a task, as the operators of the soak configure them."""

MOST_VIOLATIONS = 20
"""Broken promises that one soak reports."""


@dataclass(slots=True)
class JobLog:
    """One job as its client knows it.

    Attributes:
        answers: Status of each attempt to hand it in; 0 for none.
        accepted_s: When the first success arrived; 0 before.
        cancelled_s: When a cancellation was acknowledged; 0 before.
        cancel_sent_s: When the first cancellation was sent; 0 before.
        shown: Last state that a client was shown.
    """

    job_id: str
    payload: str
    request: Resources
    count: int
    is_gang: bool
    answers: list[int] = field(default_factory=list)
    accepted_s: float = 0.0
    cancelled_s: float = 0.0
    cancel_sent_s: float = 0.0
    shown: str = ""

    @property
    def is_refused(self) -> bool:
        """Whether every attempt was answered with a refusal that promises that it never runs."""
        return bool(self.answers) and all(a in (401, 404, 429, 503) for a in self.answers)


@dataclass(slots=True)
class Ledger:
    """All jobs, and changes of operators.

    Attributes:
        revoked_s: When the removal of each key was stored.
        zones_out_s: Zones out of service, and since when.
        violations: What broke a promise.
    """

    jobs: dict[str, JobLog] = field(default_factory=dict)
    revoked_s: dict[str, float] = field(default_factory=dict)
    zones_out_s: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def blame(self, text: str) -> None:
        """Note a broken promise once; after the first ones nothing new is learnt."""
        if len(self.violations) < MOST_VIOLATIONS and text not in self.violations:
            self.violations.append(text)
