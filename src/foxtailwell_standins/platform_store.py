"""In-memory stand-in for the platform's key-value store, with injectable faults.

It implements the interface `KeyValueStore` of the workflows model.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio

from foxtailwell.workflows import (
    Change,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    Put,
    StoreCallError,
)

__all__ = ["MemoryStore", "StoreFaults"]

ENTRY_LIMIT = 32
"""Most conditions, puts and deletes in one transaction; the platform's store has this limit."""


@dataclass(slots=True)
class StoreFaults:
    """Faults that one client of the store sees.

    Attributes:
        is_down: Every call fails without effect.
        lost_write_responses: Number of coming writes that take effect but get no response.
        delayed_writes: Number of coming writes that get no response and take effect when
            `apply_delayed` is called.
        is_watch_stalled: Watches report no changes.
        silence_s: Time after which every call fails without a response; 0 for none.
        write_delay_s: Time that every write takes.
    """

    is_down: bool = False
    lost_write_responses: int = 0
    delayed_writes: int = 0
    is_watch_stalled: bool = False
    silence_s: float = 0.0
    write_delay_s: float = 0.0


@dataclass(slots=True)
class MemoryStore:
    """State of the store; clients with separate faults share it.

    Attributes:
        page_size: Items in a page of a listing.
        page_pause_s: Time between two pages, in which changes may come: a listing of several pages
            is no snapshot.
        calls: Number of calls from all clients.
        leases: Expiry time and duration by lease, both in seconds.
        lease_keys: Lease that each attached key is deleted with.
    """

    revision: int = 1
    page_size: int = 500
    page_pause_s: float = 0.001
    calls: int = 0
    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    lease_keys: dict[str, int] = field(default_factory=dict)
    now_s: Callable[[], float] = time.monotonic
    _history: list[Change] = field(default_factory=list)
    _dropped_revision: int = 0
    _delayed: list[Callable[[], object]] = field(default_factory=list)
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def client(self, faults: StoreFaults | None = None) -> _Client:
        """Return a client whose calls fail as `faults` says; changes to `faults` apply at once."""
        return _Client(self, faults or StoreFaults())

    def write(self, key: str, value: bytes) -> int:
        """Write a key unconditionally, as operators and workers do, and return the new revision."""
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        self._record_change(Change(key, value, self.revision))
        return self.revision

    def delete(self, key: str) -> None:
        """Delete a key unconditionally; an absent key is ignored."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_change(Change(key, None, self.revision))

    def drop_history(self) -> None:
        """Discard all history, so that watches from earlier revisions raise `HistoryLostError`."""
        self._dropped_revision = self.revision
        self._history.clear()
        self._notify_watches()

    def apply_delayed(self) -> None:
        """Apply the writes that `delay_write` queued, in order."""
        delayed, self._delayed = self._delayed, []
        for write in delayed:
            write()

    def expire_leases(self) -> None:
        """Revoke all leases whose time has passed, which deletes their keys."""
        for lease_id, (until_s, _) in list(self.leases.items()):
            if self.now_s() >= until_s:
                self.revoke_lease(lease_id)

    def revoke_lease(self, lease_id: int) -> None:
        """Remove a lease and delete the keys attached to it; an unknown lease is ignored."""
        self.leases.pop(lease_id, None)
        for key, owner in list(self.lease_keys.items()):
            if owner == lease_id:
                del self.lease_keys[key]
                self.delete(key)

    def transact(
        self, conditions: Mapping[str, int], puts: Sequence[Put], deletes: Sequence[str]
    ) -> Committed | Conflict:
        """Apply a transaction if every key has the required revision; 0 requires it to be absent.

        Raises:
            StoreCallError: The transaction has more than `ENTRY_LIMIT` entries.
        """
        if len(conditions) + len(puts) + len(deletes) > ENTRY_LIMIT:
            raise StoreCallError("status 400", is_outcome_unknown=False)
        self.expire_leases()
        current = {key: self.items[key] for key in conditions if key in self.items}
        if any(
            (current[key].revision if key in current else 0) != revision
            for key, revision in conditions.items()
        ):
            return Conflict(current)
        self.revision += 1
        for put in puts:
            self.items[put.key] = Item(put.key, put.value, self.revision)
            if put.lease_id:
                self.lease_keys[put.key] = put.lease_id
            self._record_change(Change(put.key, put.value, self.revision))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self._record_change(Change(key, None, self.revision))
        return Committed(self.revision)

    def page(self, prefix: str, after: str) -> tuple[list[Item], bool]:
        """Return the items of a prefix after a key, and whether there are more than a page."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return [self.items[key] for key in keys[: self.page_size]], len(keys) > self.page_size

    async def changes_after(self, prefix: str, after: int, wait_s: float) -> list[Change]:
        """Wait up to `wait_s` for changes of a prefix after a revision.

        Raises:
            HistoryLostError: The history after the revision has been dropped.
        """
        until_s = self.now_s() + wait_s
        while True:
            self.expire_leases()
            if after < self._dropped_revision:
                raise HistoryLostError(prefix)
            found = [c for c in self._history if c.revision > after and c.key.startswith(prefix)]
            remaining_s = until_s - self.now_s()
            if found or remaining_s <= 0:
                return found
            with anyio.move_on_after(min(remaining_s, 0.05)):
                await self._changed.wait()

    def delay_write(self, write: Callable[[], object]) -> None:
        """Queue a write until `apply_delayed` is called."""
        self._delayed.append(write)

    def _record_change(self, change: Change) -> None:
        self._history.append(change)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class _Client:
    """Asynchronous access to the store, with the faults of one caller."""

    def __init__(self, store: MemoryStore, faults: StoreFaults) -> None:
        self._store = store
        self.faults = faults

    async def _begin_call(self) -> None:
        self._store.calls += 1
        await anyio.sleep(0.001)
        if self.faults.is_down:
            raise StoreCallError("status 503", is_outcome_unknown=False)
        if self.faults.silence_s:
            await anyio.sleep(self.faults.silence_s)
            raise StoreCallError("no response", is_outcome_unknown=True)
        self._store.expire_leases()

    async def get(self, key: str) -> Item | None:
        await self._begin_call()
        return self._store.items.get(key)

    async def list_items(self, prefix: str) -> tuple[list[Item], int]:
        await self._begin_call()
        revision = self._store.revision
        found, has_more = self._store.page(prefix, "")
        while has_more:
            await anyio.sleep(self._store.page_pause_s)
            await self._begin_call()
            further, has_more = self._store.page(prefix, found[-1].key)
            found += further
        return found, revision

    async def watch(self, prefix: str, after: int, wait_ms: int) -> tuple[list[Change], int]:
        await self._begin_call()
        if self.faults.is_watch_stalled:
            await anyio.sleep(wait_ms / 1000)
            return [], after
        found = await self._store.changes_after(prefix, after, wait_ms / 1000)
        if self.faults.is_down:
            raise StoreCallError("connection lost", is_outcome_unknown=True)
        return found, max([after, *(change.revision for change in found)])

    async def transact(
        self,
        conditions: Mapping[str, int],
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> Committed | Conflict:
        await self._begin_call()
        await anyio.sleep(self.faults.write_delay_s)
        if self.faults.delayed_writes:
            self.faults.delayed_writes -= 1
            self._store.delay_write(lambda: self._store.transact(conditions, puts, deletes))
            raise StoreCallError("no response", is_outcome_unknown=True)
        result = self._store.transact(conditions, puts, deletes)
        if self.faults.lost_write_responses:
            self.faults.lost_write_responses -= 1
            raise StoreCallError("no response", is_outcome_unknown=True)
        return result

    async def grant_lease(self, ttl_ms: int) -> int:
        await self._begin_call()
        self._store.revision += 1
        ttl_s = ttl_ms / 1000
        self._store.leases[self._store.revision] = (self._store.now_s() + ttl_s, ttl_s)
        return self._store.revision

    async def renew_lease(self, lease_id: int) -> bool:
        await self._begin_call()
        lease = self._store.leases.get(lease_id)
        if lease is None:
            return False
        self._store.leases[lease_id] = (self._store.now_s() + lease[1], lease[1])
        return True

    async def revoke_lease(self, lease_id: int) -> None:
        await self._begin_call()
        self._store.revoke_lease(lease_id)
