"""Writes claims in batches: concurrent claims of a shard share one compare-and-swap."""

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
"""Claim writes of all entries together; the store takes several hundred a second in all."""

WINDOW_S = 0.002
"""Wait for further claims of the same shard; about one round trip to the store."""

BURST_WRITES = 16.0
"""Writes that may go out at once, so that a quiet entry writes without waiting."""

DOCUMENT_LIMIT_BYTES = 950_000
"""Largest document; the store takes 1 MB. A full shard refuses new claims until old ones expire."""

MAX_ATTEMPTS = 20
RELEASE_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Pending:
    operation: ClaimOperation
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: ClaimOutcome | None = None
    is_abandoned: bool = False


@dataclass(slots=True)
class _Cached:
    version: int
    document: ClaimShard
    is_fresh: bool


class _Pacer:
    """Spaces writes so that their rate stays below a limit after a burst."""

    def __init__(self, rate_per_s: Callable[[], float]) -> None:
        self._rate_per_s = rate_per_s
        self._next_s = 0.0

    async def wait(self) -> None:
        rate = max(1.0, self._rate_per_s())
        now = time.monotonic()
        at_s = max(self._next_s, now - BURST_WRITES / rate)
        self._next_s = at_s + 1.0 / rate
        if at_s > now:
            await anyio.sleep(at_s - now)


class ClaimWriter:
    """Claims and releases keys, batched by shard."""

    def __init__(
        self, store: StoreClient, group: TaskGroup, entry_count: Callable[[], int]
    ) -> None:
        self._store = store
        self._group = group
        self._pacer = _Pacer(lambda: CLAIM_WRITES_PER_S / max(1, entry_count()))
        self._pending: dict[int, list[_Pending]] = {}
        self._cache: dict[int, _Cached] = {}
        self._unreleased: dict[str, ClaimRelease] = {}
        self.writes = 0

    async def claim(self, request: ClaimRequest) -> ClaimOutcome:
        """Claim a key durably.

        Args:
            request: Key and claim.

        Returns:
            `claimed` once the store holds the claim, otherwise `held` or `full`.

        Raises:
            UnavailableError: The claim could not be written. If it may have reached the store, it
                is released when the store responds again.
        """
        pending = _Pending(request)
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
        """Release the claim of a request that never ran, now or when the store responds again."""
        operation = ClaimRelease(key, request_id)
        if await self._submit(_Pending(operation)) is None:
            self._unreleased[request_id] = operation

    async def run(self) -> None:
        """Release claims left over from an outage until cancelled."""
        while True:
            await anyio.sleep(RELEASE_INTERVAL_S)
            for request_id, operation in list(self._unreleased.items()):
                if not await self._fence(claim_shard_of(operation.key)):
                    break
                if await self._submit(_Pending(operation)) is None:
                    break
                self._unreleased.pop(request_id, None)

    async def _fence(self, shard: int) -> bool:
        """Move the version of a shard, so that a write that is still under way is refused.

        Without it a claim could take effect after its release had found nothing, and block its key
        until it expires.

        Returns:
            Whether the version has moved.
        """
        try:
            current = await self._read(shard)
            key, text = claim_document_key(shard), encode_document(current.document)
            await self._store.write_with_readback(key, current.version, text, new_write_id())
        except StoreConflictError:
            pass
        except FoxtailwellError:
            return False
        # The cached copy may be older than a late claim.
        self._cache.pop(shard, None)
        return True

    async def _submit(self, pending: _Pending) -> ClaimOutcome | None:
        shard = claim_shard_of(pending.operation.key)
        if shard in self._pending:
            self._pending[shard].append(pending)
        else:
            self._pending[shard] = [pending]
            self._group.start_soon(self._flush, shard)
        await pending.done.wait()
        return pending.outcome

    async def _flush(self, shard: int) -> None:
        await anyio.sleep(WINDOW_S)
        while self._pending[shard]:
            await self._pacer.wait()
            batch, self._pending[shard] = self._pending[shard], []
            await self._commit(shard, [p for p in batch if not p.is_abandoned])
        del self._pending[shard]

    async def _commit(self, shard: int, batch: list[_Pending]) -> None:
        try:
            outcomes = await self._write(shard, batch)
        except FoxtailwellError as error:
            self._cache.pop(shard, None)
            if isinstance(error, StoreUnavailableError):
                self._note_unknown(batch)
        else:
            for pending, outcome in zip(batch, outcomes, strict=True):
                pending.outcome = outcome
                if pending.is_abandoned and outcome.kind == "claimed":
                    self._note_unknown([pending])
        finally:
            for pending in batch:
                pending.done.set()

    def _note_unknown(self, batch: list[_Pending]) -> None:
        """Remember claims that may be stored although their requests never run."""
        for pending in batch:
            operation = pending.operation
            if isinstance(operation, ClaimRequest):
                request_id = operation.claim.request_id
                self._unreleased[request_id] = ClaimRelease(operation.key, request_id)

    async def _write(self, shard: int, batch: list[_Pending]) -> list[ClaimOutcome]:
        operations = [p.operation for p in batch]
        cached = self._cache.get(shard) or await self._read(shard)
        has_room = True
        for _ in range(MAX_ATTEMPTS):
            document, outcomes = apply_claims(
                cached.document, operations, _unix_ms(), has_free_space=has_room
            )
            if document is cached.document:
                if cached.is_fresh or all(o.kind == "released" for o in outcomes):
                    return outcomes
                # A cached document may name a holder that has released the key since.
                cached = await self._read(shard)
                continue
            text = encode_document(document)
            if len(text) > DOCUMENT_LIMIT_BYTES and has_room:
                has_room = False
                continue
            try:
                version = await self._store.write_with_readback(
                    claim_document_key(shard), cached.version, text, new_write_id()
                )
            except StoreConflictError:
                cached = await self._read(shard)
                continue
            self.writes += 1
            self._cache[shard] = _Cached(version, document, is_fresh=False)
            return outcomes
        raise StoreOverloadedError(
            f"claims/{shard}: {MAX_ATTEMPTS} conflicting writes in a row",
            "send the request again later",
        )

    async def _read(self, shard: int) -> _Cached:
        try:
            found = await self._store.get(claim_document_key(shard))
        except StoreUnavailableError as error:
            raise UnavailableError(str(error), "nothing was written; call again later") from error
        if found is None:
            return _Cached(0, ClaimShard(), is_fresh=True)
        return _Cached(found.version, decode_document(found.value, ClaimShard), is_fresh=True)


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


@asynccontextmanager
async def open_claim_writer(
    store: StoreClient, entry_count: Callable[[], int]
) -> AsyncIterator[ClaimWriter]:
    """Run a claim writer.

    Args:
        store: Client of the store.
        entry_count: Returns the number of live entries, which share the store's rate.
    """
    async with anyio.create_task_group() as group:
        writer = ClaimWriter(store, group, entry_count)
        group.start_soon(writer.run)
        yield writer
        group.cancel_scope.cancel()
