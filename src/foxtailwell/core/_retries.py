"""Retry budget and the decision to send a request again."""

from __future__ import annotations

from dataclasses import dataclass, replace

RETRY_SHARE = 0.1
"""Retries per request; more would add load when the minions have the least to spare."""

RETRY_RESERVE = 10.0
"""Largest unused budget, so that a quiet hour does not pay for a burst of retries."""

RETRY_ATTEMPT_LIMIT = 3


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that may still be sent."""

    tokens: float = RETRY_RESERVE


def deposit_for_request(budget: RetryBudget) -> RetryBudget:
    """Return the budget after a new request arrived."""
    if budget.tokens >= RETRY_RESERVE:
        return budget
    return replace(budget, tokens=min(RETRY_RESERVE, budget.tokens + RETRY_SHARE))


def may_retry(
    budget: RetryBudget,
    *,
    is_idempotent: bool,
    may_have_run: bool,
    attempts: int,
    remaining_s: float,
    expected_run_s: float,
) -> bool:
    """Return whether a failed request may be sent to another minion.

    Args:
        budget: Current budget.
        is_idempotent: Whether the class allows a second run.
        may_have_run: Whether the failed attempt may have run.
        attempts: Attempts so far.
        remaining_s: Time until the deadline.
        expected_run_s: Expected run time.
    """
    if may_have_run and not is_idempotent:
        return False
    if attempts >= RETRY_ATTEMPT_LIMIT or remaining_s <= expected_run_s:
        return False
    return budget.tokens >= 1.0


def withdraw_for_retry(budget: RetryBudget) -> RetryBudget:
    """Return the budget after a retry."""
    return replace(budget, tokens=budget.tokens - 1.0)
