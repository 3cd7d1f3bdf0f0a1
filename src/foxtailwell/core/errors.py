"""Errors of the project, each with a stable code, a message and a remedy.

The codes are sent to callers and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AcceleratorsTakenError",
    "ConflictError",
    "DocumentError",
    "FoxtailwellError",
    "FrameError",
    "IllegalTransitionError",
    "KeyReusedError",
    "NotRunError",
    "OutcomeUnknownError",
    "StaleTermError",
    "StoreConflictError",
    "StoreOverloadedError",
    "StoreRefusedError",
    "StoreUnavailableError",
    "UnavailableError",
    "UnknownJobError",
    "UnsupportedSchemaError",
    "ValidationError",
    "ValidationIssue",
]


class FoxtailwellError(Exception):
    """Base class of the project's errors.

    Args:
        message: What happened, with the relevant values.
        remedy: What the reader of the message can do about it.
    """

    code = "internal"

    def __init__(
        self,
        message: str,
        remedy: str = "report this with the log around it",
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message}; remedy: {self.remedy}"


@dataclass(frozen=True, slots=True)
class ValidationIssue:
    """One invalid value in an input document.

    Attributes:
        path: Where the value is, such as `$.accounts.x.name`.
        found: What was found there.
        remedy: How to correct it.
    """

    path: str
    found: str
    remedy: str


class ValidationError(FoxtailwellError):
    """An input document is invalid; the error lists all issues."""

    code = "invalid"

    def __init__(self, source: str, issues: tuple[ValidationIssue, ...]) -> None:
        lines = "; ".join(f"{i.path}: {i.found} ({i.remedy})" for i in issues)
        super().__init__(f"{source}: {lines}", "correct the listed fields and try again")
        self.source = source
        self.issues = issues


class ConflictError(FoxtailwellError):
    """A change was based on a revision that is no longer current."""

    code = "revision_conflict"

    def __init__(self, message: str, remedy: str, current_revision: int) -> None:
        super().__init__(message, remedy)
        self.current_revision = current_revision


class UnavailableError(FoxtailwellError):
    """A component that the operation needs cannot be reached; the operation had no effect."""

    code = "unavailable"


class IllegalTransitionError(FoxtailwellError):
    """A job cannot enter the requested state from its current state."""

    code = "illegal_transition"

    def __init__(self, job_id: str, current: str, requested: str) -> None:
        super().__init__(
            f"job {job_id} is {current} and cannot become {requested}",
            "read the job again and decide on its present state",
        )


class AcceleratorsTakenError(FoxtailwellError):
    """Not all accelerators of a gang could be allocated, so none were."""

    code = "accelerators_taken"

    def __init__(self, job_id: str, cause: str) -> None:
        super().__init__(
            f"gang of job {job_id} cannot be taken: {cause}",
            "plan again with the newest document",
        )


class StaleTermError(FoxtailwellError):
    """Another scheduler holds the zone with a higher fencing token.

    The attribute `seen_term` is the higher token.
    """

    code = "stale_term"

    def __init__(self, zone: str, term: int, seen_term: int) -> None:
        super().__init__(
            f"zone {zone}: term {term} is older than {seen_term}",
            "give the zone up; its new holder continues the gangs",
        )
        self.seen_term = seen_term


class KeyReusedError(FoxtailwellError):
    """An idempotency key was used again for different work; nothing was accepted."""

    code = "key_reused"


class NotRunError(FoxtailwellError):
    """The work did not run, so it is safe to send it again.

    Args:
        message: What happened, with the relevant values.
        remedy: What the reader of the message can do about it.
        retry_after_s: Time after which the work may be accepted; None if it is not known.
    """

    code = "not_run"

    def __init__(self, message: str, remedy: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message, remedy)
        self.retry_after_s = retry_after_s


class OutcomeUnknownError(FoxtailwellError):
    """The work may have run, so sending it again could run it twice."""

    code = "outcome_unknown"


class StoreUnavailableError(FoxtailwellError):
    """The store did not respond in time; a write may have taken effect."""

    code = "store_unavailable"


class StoreOverloadedError(FoxtailwellError):
    """The store refused a call because of its rate limit; the call had no effect."""

    code = "store_overloaded"


class StoreRefusedError(FoxtailwellError):
    """The store refused a call that a retry cannot help, such as a value that is too large.

    The call had no effect.
    """

    code = "store_refused"


class StoreConflictError(FoxtailwellError):
    """A compare-and-swap expected a version that is not the current one."""

    code = "store_conflict"

    def __init__(self, key: str, expected_version: int, current_version: int) -> None:
        super().__init__(
            f"{key}: expected version {expected_version}, found {current_version}",
            "read the key again and repeat the change on the current value",
        )
        self.current_version = current_version


class DocumentError(FoxtailwellError):
    """A document in the store cannot be decoded."""

    code = "document_unreadable"


class UnknownJobError(FoxtailwellError):
    """No job has the requested identifier."""

    code = "unknown_job"

    def __init__(self, job_id: str) -> None:
        super().__init__(f"no job {job_id}", "check the identifier; ended jobs are kept for 24 h")


class UnsupportedSchemaError(FoxtailwellError):
    """A document was written by a newer release with an unknown schema version."""

    code = "unsupported_schema"


class FrameError(FoxtailwellError):
    """A peer sent an invalid message; the connection to it is closed."""

    code = "bad_frame"
