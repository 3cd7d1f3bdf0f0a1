"""Exit codes of the commands for callers and operators."""

from __future__ import annotations

OK = 0
FAILED = 1
USAGE = 2
CONFLICT = 3
UNAVAILABLE = 4
OUTCOME_UNKNOWN = 5

_BY_STATUS = {409: CONFLICT, 422: USAGE, 404: FAILED, 503: UNAVAILABLE, 504: OUTCOME_UNKNOWN}


def exit_code_of_status(status: int) -> int:
    """Return the exit code for an HTTP status; 207, a partial failure, counts as failed."""
    return OK if status < 300 and status != 207 else _BY_STATUS.get(status, FAILED)
