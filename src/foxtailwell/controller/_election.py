"""Elects the controller: the instance that creates the controller key under a store lease."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from foxtailwell.adapters.events import ELECTION_CALL_FAILED
from foxtailwell.adapters.logs import log_event
from foxtailwell.controller._records import CONTROLLER_KEY
from foxtailwell.workflows import Committed, HistoryLostError, KeyValueStore, Put, StoreCallError

__all__ = ["Election", "Term"]

LEASE_MS = 1500
"""Duration of the lease of the controller key, which bounds the failover time after a crash."""

RENEWAL_INTERVAL_S = 0.4
"""Pause between renewals; three may fail before the lease expires."""

WATCH_WAIT_MS = 2000
"""Longest wait of a watch on the controller key."""

RETRY_PAUSE_S = 0.2
"""Pause after a failed store call."""

MAX_LEASE_DIGITS = 20
"""Digits of the largest lease identifier, which has 64 bits."""


@dataclass(slots=True)
class Term:
    """Term of this instance as the controller.

    Attributes:
        lease_id: Store lease that the controller key is attached to.
        token: Fencing token: the revision at which the key was created.
        renewed_s: Local time at which the last successful renewal was sent.
        is_lost: The lease has expired; another instance may hold the key.
    """

    lease_id: int
    token: int
    renewed_s: float
    is_lost: bool = False


class Election:
    """Acquires, renews and releases the controller key.

    Args:
        store: The platform's store.
        name: Name of this instance, stored in the key for operators and a restarted process.
        now_s: Local clock that also advances while the machine is suspended.
    """

    def __init__(self, store: KeyValueStore, name: str, now_s: Callable[[], float]) -> None:
        self._store = store
        self._name = name
        self._now_s = now_s
        self._own_leases: set[int] = set()

    async def acquire(self) -> Term:
        """Wait until no instance holds the key and create it."""
        while True:
            try:
                # The listing returns the store's current revision: a watch from the revision of
                # the key itself fails immediately if the history since then was dropped.
                items, revision = await self._store.list_items(CONTROLLER_KEY)
                item = next((found for found in items if found.key == CONTROLLER_KEY), None)
                if item is not None:
                    if not await self._revoke_previous_lease(item.value):
                        await self._wait_for_change(revision)
                    continue
                term = await self._try_acquire()
                if term is not None:
                    return term
            except StoreCallError as failure:
                log_event(ELECTION_CALL_FAILED, call="acquire", reason=failure.reason)
                await anyio.sleep(RETRY_PAUSE_S)

    async def _revoke_previous_lease(self, value: bytes) -> bool:
        """Revoke the key's lease if an earlier process of this instance holds it.

        Two processes of one instance cannot run at the same time, so the earlier one has ended.

        Returns:
            Whether a lease was revoked.
        """
        name, _, lease = value.decode(errors="replace").rpartition(" ")
        is_readable = lease.isdecimal() and len(lease) <= MAX_LEASE_DIGITS
        if name != self._name or not is_readable or int(lease) in self._own_leases:
            return False
        await self._store.revoke_lease(int(lease))
        return True

    async def _wait_for_change(self, revision: int) -> None:
        try:
            while True:
                changes, revision = await self._store.watch(CONTROLLER_KEY, revision, WATCH_WAIT_MS)
                if any(change.key == CONTROLLER_KEY for change in changes):
                    return
        except HistoryLostError:
            return

    async def _try_acquire(self) -> Term | None:
        sent_s = self._now_s()
        lease_id = await self._store.grant_lease(LEASE_MS)
        self._own_leases.add(lease_id)
        value = f"{self._name} {lease_id}".encode()
        try:
            result = await self._store.transact(
                {CONTROLLER_KEY: 0}, [Put(CONTROLLER_KEY, value, lease_id)]
            )
        except StoreCallError as failure:
            if not failure.is_outcome_unknown:
                raise
            item = await self._store.get(CONTROLLER_KEY)
            if item is None or item.value != value:
                return None
            return Term(lease_id, item.revision, sent_s)
        if isinstance(result, Committed):
            return Term(lease_id, result.revision, sent_s)
        return None

    async def keep_renewed(self, term: Term) -> None:
        """Renew the lease until the store reports that it has expired."""
        while True:
            sent_s = self._now_s()
            try:
                if not await self._store.renew_lease(term.lease_id):
                    term.is_lost = True
                    return
                term.renewed_s = sent_s
            except StoreCallError as failure:
                log_event(ELECTION_CALL_FAILED, call="renew", reason=failure.reason)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            await anyio.sleep(RENEWAL_INTERVAL_S)

    async def release(self, term: Term) -> None:
        """Delete the key by revoking its lease; if the call fails, the lease expires by itself."""
        try:
            await self._store.revoke_lease(term.lease_id)
        except StoreCallError as failure:
            log_event(ELECTION_CALL_FAILED, call="release", reason=failure.reason)
