"""Retry policy for requests: a token budget, and the decision whether a failed request is retried.

Each new request adds a fraction of a token and each retry takes one, so that retries cannot
multiply the load during an outage.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

TOKENS_PER_REQUEST = 0.1
"""Tokens added by each new request: one retry for ten requests. More would add load while the
minions are overloaded."""

MAX_TOKENS = 10.0
"""Maximum number of unused tokens; it bounds the burst of retries after a period without
failures."""

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Tokens that are left; a retry takes one."""

    tokens: float = MAX_TOKENS


def deposit_for_request(budget: RetryBudget) -> RetryBudget:
    """Return the budget after a new request arrived."""
    if budget.tokens >= MAX_TOKENS:
        return budget
    return replace(budget, tokens=min(MAX_TOKENS, budget.tokens + TOKENS_PER_REQUEST))


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
        attempts: Attempts made so far, the first one included.
        remaining_s: Time until the deadline of the request.
        expected_run_s: Mean run time of the class.
    """
    if may_have_run and not is_idempotent:
        return False
    if attempts >= MAX_ATTEMPTS or remaining_s <= expected_run_s:
        return False
    return budget.tokens >= 1.0


def withdraw_for_retry(budget: RetryBudget) -> RetryBudget:
    """Return the budget after a retry."""
    return replace(budget, tokens=budget.tokens - 1.0)
