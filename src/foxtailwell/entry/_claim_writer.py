"""Writes claims to the store in batches: concurrent claims of a shard share one compare-and-swap.

A claim whose write got no response may be stored although its request never runs. The writer
releases such claims when the store responds again.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.adapters.store import StoreClient, new_write_id
from foxtailwell.core import (
    ClaimOperation,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    ClaimShard,
    apply_claims,
    claim_document_key,
    claim_shard_of,
)
from foxtailwell.core.errors import (
    FoxtailwellError,
    StoreConflictError,
    StoreOverloadedError,
    StoreUnavailableError,
    UnavailableError,
)

__all__ = ["CLAIM_WRITES_PER_S", "ClaimWriter", "open_claim_writer"]

CLAIM_WRITES_PER_S = 150.0
"""Maximum rate of claim writes, shared by all live entries. The store accepts several hundred
writes per second in total."""

BATCH_WINDOW_S = 0.002
"""Time to collect further claims of a shard before a write; about one round trip to the store."""

BURST_WRITES = 16.0
"""Writes that may be sent without spacing, so that an entry with few claims does not wait."""

MAX_DOCUMENT_BYTES = 950_000
"""Maximum size of an encoded document, below the store's limit of 1 MB per value. A full shard
refuses new claims until old ones expire."""

MAX_ATTEMPTS = 20
RELEASE_RETRY_INTERVAL_S = 1.0


@dataclass(slots=True)
class _PendingOperation:
    operation: ClaimOperation
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: ClaimOutcome | None = None
    is_abandoned: bool = False


@dataclass(slots=True)
class _CachedShard:
    version: int
    document: ClaimShard
    is_fresh: bool


class _RateLimiter:
    """Token bucket that delays writes to a maximum rate and allows a burst after idle time.

    The rate is read before each write, because it depends on the number of live entries.
    """

    def __init__(self, rate_per_s: Callable[[], float]) -> None:
        self._rate_per_s = rate_per_s
        self._next_s = 0.0

    async def wait(self) -> None:
        rate = max(1.0, self._rate_per_s())
        now = time.monotonic()
        start_s = max(self._next_s, now - BURST_WRITES / rate)
        self._next_s = start_s + 1.0 / rate
        if start_s > now:
            await anyio.sleep(start_s - now)


class ClaimWriter:
    """Claims and releases idempotency keys, with one batched write at a time for each shard."""

    def __init__(
        self, store: StoreClient, group: TaskGroup, entry_count: Callable[[], int]
    ) -> None:
        self._store = store
        self._group = group
        self._rate_limiter = _RateLimiter(lambda: CLAIM_WRITES_PER_S / max(1, entry_count()))
        self._pending: dict[int, list[_PendingOperation]] = {}
        self._cache: dict[int, _CachedShard] = {}
        self._pending_releases: dict[str, ClaimRelease] = {}
        self.write_count = 0

    async def claim(self, request: ClaimRequest) -> ClaimOutcome:
        """Claim a key, and return once the claim is stored or refused.

        Args:
            request: The key and the claim to store.

        Returns:
            `claimed` when the store has the claim, `held` when another request has claimed the key,
            or `full` when the shard cannot hold more claims.

        Raises:
            UnavailableError: The claim was not confirmed as stored. If it may have reached the
                store, it is released when the store responds again.
        """
        pending = _PendingOperation(request)
        try:
            outcome = await self._submit(pending)
        except BaseException:
            pending.is_abandoned = True
            raise
        if outcome is None:
            raise UnavailableError(
                "the claim of the request could not be stored", "send the request again later"
            )
        return outcome

    async def release(self, key: str, request_id: str) -> None:
        """Release the claim of a request that never ran; `run` retries if the release fails."""
        operation = ClaimRelease(key, request_id)
        if await self._submit(_PendingOperation(operation)) is None:
            self._pending_releases[request_id] = operation

    async def run(self) -> None:
        """Release the claims that remain from an outage, with retries, until cancelled."""
        while True:
            await anyio.sleep(RELEASE_RETRY_INTERVAL_S)
            for request_id, operation in list(self._pending_releases.items()):
                if not await self._fence(claim_shard_of(operation.key)):
                    break
                if await self._submit(_PendingOperation(operation)) is None:
                    break
                self._pending_releases.pop(request_id, None)

    async def _fence(self, shard: int) -> bool:
        """Rewrite a shard unchanged to raise its version, so that a delayed write is refused.

        Without this, a delayed claim could take effect after its release had found nothing to
        release, and would block its key until it expires.

        Returns:
            Whether the version was raised, by this write or by another one.
        """
        try:
            current = await self._read(shard)
            key, text = claim_document_key(shard), encode_document(current.document)
            await self._store.write_with_readback(key, current.version, text, new_write_id())
        except StoreConflictError:
            pass
        except FoxtailwellError:
            return False
        # The cached copy may lack a claim that was delayed.
        self._cache.pop(shard, None)
        return True

    async def _submit(self, pending: _PendingOperation) -> ClaimOutcome | None:
        shard = claim_shard_of(pending.operation.key)
        if shard in self._pending:
            self._pending[shard].append(pending)
        else:
            self._pending[shard] = [pending]
            self._group.start_soon(self._flush, shard)
        await pending.done.wait()
        return pending.outcome

    async def _flush(self, shard: int) -> None:
        await anyio.sleep(BATCH_WINDOW_S)
        while self._pending[shard]:
            await self._rate_limiter.wait()
            batch, self._pending[shard] = self._pending[shard], []
            await self._commit(shard, [p for p in batch if not p.is_abandoned])
        del self._pending[shard]

    async def _commit(self, shard: int, batch: list[_PendingOperation]) -> None:
        try:
            outcomes = await self._write(shard, batch)
        except FoxtailwellError as error:
            self._cache.pop(shard, None)
            if isinstance(error, StoreUnavailableError):
                self._schedule_release(batch)
        else:
            for pending, outcome in zip(batch, outcomes, strict=True):
                pending.outcome = outcome
                if pending.is_abandoned and outcome.kind == "claimed":
                    self._schedule_release([pending])
        finally:
            for pending in batch:
                pending.done.set()

    def _schedule_release(self, batch: list[_PendingOperation]) -> None:
        """Schedule the release of claims that may be stored although their requests never run."""
        for pending in batch:
            operation = pending.operation
            if isinstance(operation, ClaimRequest):
                request_id = operation.claim.request_id
                self._pending_releases[request_id] = ClaimRelease(operation.key, request_id)

    async def _write(self, shard: int, batch: list[_PendingOperation]) -> list[ClaimOutcome]:
        operations = [p.operation for p in batch]
        cached = self._cache.get(shard) or await self._read(shard)
        has_free_space = True
        for _ in range(MAX_ATTEMPTS):
            document, outcomes = apply_claims(
                cached.document, operations, _now_unix_ms(), has_free_space=has_free_space
            )
            if document is cached.document:
                if cached.is_fresh or all(o.kind == "released" for o in outcomes):
                    return outcomes
                # The cached document may contain a claim that was released since.
                cached = await self._read(shard)
                continue
            text = encode_document(document)
            if len(text) > MAX_DOCUMENT_BYTES and has_free_space:
                has_free_space = False
                continue
            try:
                version = await self._store.write_with_readback(
                    claim_document_key(shard), cached.version, text, new_write_id()
                )
            except StoreConflictError:
                cached = await self._read(shard)
                continue
            self.write_count += 1
            self._cache[shard] = _CachedShard(version, document, is_fresh=False)
            return outcomes
        raise StoreOverloadedError(
            f"claims/{shard}: {MAX_ATTEMPTS} conflicting writes in a row",
            "send the request again later",
        )

    async def _read(self, shard: int) -> _CachedShard:
        try:
            found = await self._store.get(claim_document_key(shard))
        except StoreUnavailableError as error:
            raise UnavailableError(str(error), "nothing was written; call again later") from error
        if found is None:
            return _CachedShard(0, ClaimShard(), is_fresh=True)
        return _CachedShard(found.version, decode_document(found.value, ClaimShard), is_fresh=True)


def _now_unix_ms() -> int:
    return time.time_ns() // 1_000_000


@asynccontextmanager
async def open_claim_writer(
    store: StoreClient, entry_count: Callable[[], int]
) -> AsyncIterator[ClaimWriter]:
    """Run a claim writer in the background while the context is open.

    Args:
        store: Client of the store.
        entry_count: Returns the number of live entries, which share `CLAIM_WRITES_PER_S`.
    """
    async with anyio.create_task_group() as group:
        writer = ClaimWriter(store, group, entry_count)
        group.start_soon(writer.run)
        yield writer
        group.cancel_scope.cancel()
