"""Records how the requests of this entry ended.

Operators look up single requests, and the metrics count how many met the target of their class.
"""

from __future__ import annotations

from dataclasses import dataclass

from foxtailwell.adapters.metrics import TargetCounts
from foxtailwell.core import WorkClass

__all__ = ["RequestOutcome", "RequestOutcomes"]

MAX_RECORDS = 4096
"""Number of ended requests that are kept for explanations; they take about 1 MB."""


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """How one request ended; it is sent to operators as JSON.

    Attributes:
        id: Identifier of the request.
        account: Client account.
        work_class: Class of the request.
        outcome: `answer`, `not_run` or `outcome_unknown`.
        detail: Why it got no response from a minion, empty otherwise.
        elapsed_ms: Time from its arrival to its end.
        target_ms: Target of its class.
        target_met: Whether it got a response within the target.
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
    """The most recently ended requests, and counts of met and missed targets by class.

    Args:
        limit: Number of requests to keep; the oldest is dropped first.
    """

    def __init__(self, limit: int = MAX_RECORDS) -> None:
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
        """Record the end of a request. Any outcome other than `answer` counts as a missed target.

        Args:
            request_id: Identifier of the request.
            account: Client account.
            work_class: Class of the request, with its target.
            elapsed_s: Time from the arrival of the request to its end.
            outcome: `answer`, `not_run` or `outcome_unknown`.
            detail: Why it got no response from a minion.
        """
        elapsed_ms = elapsed_s * 1000
        is_target_met = outcome == "answer" and elapsed_ms <= work_class.target_ms
        self.targets.record(work_class.name, is_target_met)
        self._newest[request_id] = RequestOutcome(
            request_id,
            account,
            work_class.name,
            outcome,
            detail,
            elapsed_ms,
            work_class.target_ms,
            is_target_met,
        )
        if len(self._newest) > self._limit:
            del self._newest[next(iter(self._newest))]

    def find(self, request_id: str) -> RequestOutcome | None:
        """Return how a request ended, or None if this entry has no record of it."""
        return self._newest.get(request_id)
