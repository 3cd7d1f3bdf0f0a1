"""What became of the requests of this entry, for explanations and the targets met."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailwell.adapters.metrics import TargetCounts
from foxtailwell.core import WorkClass

__all__ = ["RequestOutcome", "RequestOutcomes"]

RECORD_LIMIT = 4096
"""Ended requests that can be explained; about 1 MB."""


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """How one request ended.

    Attributes:
        id: Identifier of the request.
        account: Client account.
        work_class: Class of the request.
        outcome: `answer`, `not_run` or `outcome_unknown`.
        detail: Why it was not answered, empty otherwise.
        elapsed_ms: Time from its arrival to its end.
        target_ms: Target of its class.
        target_met: Whether it was answered within the target.
    """

    id: str
    account: str
    work_class: str
    outcome: str
    detail: str
    elapsed_ms: float
    target_ms: int
    target_met: bool


class RequestOutcomes:
    """The newest ended requests, and how many met the target of their class."""

    def __init__(self, limit: int = RECORD_LIMIT) -> None:
        self._limit = limit
        self._newest: dict[str, RequestOutcome] = {}
        self.targets = TargetCounts()

    def record(
        self,
        request_id: str,
        account: str,
        work_class: WorkClass,
        elapsed_s: float,
        outcome: str,
        detail: str = "",
    ) -> None:
        """Record the end of a request; one that was refused or lost has missed its target."""
        elapsed_ms = elapsed_s * 1000
        is_met = outcome == "answer" and elapsed_ms <= work_class.target_ms
        self.targets.record(work_class.name, is_met)
        self._newest[request_id] = RequestOutcome(
            request_id,
            account,
            work_class.name,
            outcome,
            detail,
            elapsed_ms,
            work_class.target_ms,
            is_met,
        )
        if len(self._newest) > self._limit:
            del self._newest[next(iter(self._newest))]

    def find(self, request_id: str) -> RequestOutcome | None:
        """Return how a request ended, or None when it is not known here."""
        return self._newest.get(request_id)
