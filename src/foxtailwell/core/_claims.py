"""Claims, which keep a request that is not idempotent from running twice.

A claim binds the idempotency key of an account to one request. An entry writes it to the store
before it sends the first byte of the request. No other request can take over a claim: an entry
that finds the key claimed by another request must not send its own. A claim ends when it is
released, because its request never ran, or when it expires.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Literal, NamedTuple

CLAIM_SHARD_COUNT = 16
CLAIM_LIFETIME_MS = 3_600_000
CLAIMS_SCHEMA_VERSION = 1


class Claim(NamedTuple):
    """A claim of one key. It is a tuple and thus stored as a JSON array, to keep documents small.

    Attributes:
        request_id: Request that holds the claim.
        owner: Entry that sends the request.
        digest: Digest of the request's content, see `request_digest`.
        at_unix_ms: When the key was claimed.
    """

    request_id: str
    owner: str
    digest: str
    at_unix_ms: int


@dataclass(frozen=True, slots=True)
class ClaimShard:
    """Claims by key, as stored in the document `claims/<shard>`."""

    schema_version: int = CLAIMS_SCHEMA_VERSION
    claims: dict[str, Claim] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Operation that claims a key for a request."""

    key: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """Operation that releases the claim of a request that never ran."""

    key: str
    request_id: str


ClaimOperation = ClaimRequest | ClaimRelease


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """Result of one operation.

    Attributes:
        kind: `claimed` and `released` take effect when the document is written. `held` means that
            another request has claimed the key, `full` that the document cannot hold more claims.
        holder: The existing claim when `kind` is `held`, otherwise None.
    """

    kind: Literal["claimed", "released", "held", "full"]
    holder: Claim | None = None


def claim_key(account: str, idempotency_key: str) -> str:
    """Return the key of a claim, a digest of fixed size whatever the length of the caller's key."""
    return _digest(f"{len(account)}:{account}{idempotency_key}".encode())


def request_digest(work_class: str, body: bytes) -> str:
    """Return the digest of a request, which shows whether a key was reused for another one."""
    return _digest(work_class.encode() + b"\0" + body)


def claim_shard_of(key: str) -> int:
    """Return the number of the `claims/` document that holds a claim key."""
    return int(key[:2], 16) % CLAIM_SHARD_COUNT


def claim_document_key(shard: int) -> str:
    """Return the key in the store of the document of a shard."""
    return f"claims/{shard}"


def apply_claims(
    shard: ClaimShard,
    operations: Sequence[ClaimOperation],
    now_unix_ms: int,
    *,
    has_free_space: bool = True,
) -> tuple[ClaimShard, list[ClaimOutcome]]:
    """Apply a batch of operations in order, and remove expired claims.

    Args:
        shard: Current document.
        operations: The batch.
        now_unix_ms: Current time.
        has_free_space: Whether the document may grow by further claims.

    Returns:
        The document to write, and one outcome for each operation. The document is the same object
        as `shard` when no write is needed.
    """
    claims = dict(_unexpired_claims(shard, now_unix_ms))
    outcomes = [_apply(claims, operation, has_free_space) for operation in operations]
    if not any(o.kind in ("claimed", "released") for o in outcomes):
        return shard, outcomes
    if claims == shard.claims:
        return shard, outcomes
    return replace(shard, claims=claims), outcomes


def _apply(
    claims: dict[str, Claim], operation: ClaimOperation, has_free_space: bool
) -> ClaimOutcome:
    current = claims.get(operation.key)
    if isinstance(operation, ClaimRelease):
        if current is not None and current.request_id == operation.request_id:
            del claims[operation.key]
        return ClaimOutcome("released")
    if current is not None and current.request_id != operation.claim.request_id:
        return ClaimOutcome("held", current)
    if current is None and not has_free_space:
        return ClaimOutcome("full")
    claims.setdefault(operation.key, operation.claim)
    return ClaimOutcome("claimed")


def _unexpired_claims(shard: ClaimShard, now_unix_ms: int) -> Iterable[tuple[str, Claim]]:
    for key, claim in shard.claims.items():
        if now_unix_ms - claim.at_unix_ms < CLAIM_LIFETIME_MS:
            yield key, claim


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=12).hexdigest()
