"""Claims of requests that may not be repeated: documents, batches, expiry, release.

A claim is written before the first byte of a request is sent, and is never taken over. An entry
that finds the claim of another request must not send its own.
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
    """One claim. A tuple, because it is stored as a JSON array to keep the document small.

    Attributes:
        request_id: Request that holds the claim.
        owner: Entry that sent the request.
        digest: Digest of the request that the key is bound to.
        at_unix_ms: When it was claimed.
    """

    request_id: str
    owner: str
    digest: str
    at_unix_ms: int


@dataclass(frozen=True, slots=True)
class ClaimShard:
    """Document `claims/<shard>`."""

    schema_version: int = CLAIMS_SCHEMA_VERSION
    claims: dict[str, Claim] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A wish to claim a key."""

    key: str
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """A wish to release the claim of one request that never ran."""

    key: str
    request_id: str


ClaimOperation = ClaimRequest | ClaimRelease


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """Result of one operation.

    Attributes:
        kind: `claimed` and `released` hold once the document is written. `held` means that another
            request has the key, `full` that the shard has no room.
        holder: The claim that holds the key when `kind` is `held`.
    """

    kind: Literal["claimed", "released", "held", "full"]
    holder: Claim | None = None


def claim_key(account: str, idempotency_key: str) -> str:
    """Return the key of a claim; the digest bounds its size whatever the caller sends."""
    return _digest(f"{len(account)}:{account}{idempotency_key}".encode())


def request_digest(work_class: str, body: bytes) -> str:
    """Return the digest that binds a key to its request."""
    return _digest(work_class.encode() + b"\0" + body)


def claim_shard_of(key: str) -> int:
    """Return the shard of a claim key."""
    return int(key[:2], 16) % CLAIM_SHARD_COUNT


def claim_document_key(shard: int) -> str:
    """Return the store key of a shard."""
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
        has_free_space: Whether the document may hold further claims.

    Returns:
        The document to write and one outcome for each operation. The document is the given one
        when no write is needed.
    """
    claims = dict(_live_claims(shard, now_unix_ms))
    outcomes = [_apply(claims, operation, has_free_space) for operation in operations]
    if not any(o.kind in ("claimed", "released") for o in outcomes):
        return shard, outcomes
    if claims == shard.claims:
        return shard, outcomes
    return replace(shard, claims=claims), outcomes


def _apply(
    claims: dict[str, Claim], operation: ClaimOperation, has_free_space: bool
) -> ClaimOutcome:
    held = claims.get(operation.key)
    if isinstance(operation, ClaimRelease):
        if held is not None and held.request_id == operation.request_id:
            del claims[operation.key]
        return ClaimOutcome("released")
    if held is not None and held.request_id != operation.claim.request_id:
        return ClaimOutcome("held", held)
    if held is None and not has_free_space:
        return ClaimOutcome("full")
    claims.setdefault(operation.key, operation.claim)
    return ClaimOutcome("claimed")


def _live_claims(shard: ClaimShard, now_unix_ms: int) -> Iterable[tuple[str, Claim]]:
    for key, claim in shard.claims.items():
        if now_unix_ms - claim.at_unix_ms < CLAIM_LIFETIME_MS:
            yield key, claim


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=12).hexdigest()
