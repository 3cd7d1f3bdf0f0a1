"""Follows the keys of a store prefix across failed calls and discarded history."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from foxtailwell.adapters.events import WATCH_FAILED
from foxtailwell.adapters.logs import log_event
from foxtailwell.workflows import Change, HistoryLostError, KeyValueStore, StoreCallError

__all__ = ["ChangeBatch", "follow_prefix"]

RETRY_PAUSE_S = 0.2
"""Pause after a failed store call."""

RELIST_PAUSE_S = 0.3
"""Pause before listing a prefix again; a store may discard its history repeatedly."""


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes of the keys of a prefix, or a listing of all its keys.

    Attributes:
        is_snapshot: The batch lists all keys of the prefix; keys not among them were deleted.
        revision: Store revision up to which no change is missing after this batch.
    """

    changes: tuple[Change, ...]
    is_snapshot: bool = False
    revision: int = 0


async def follow_prefix(
    store: KeyValueStore,
    prefix: str,
    after: int | None,
    wait_ms: int,
    pause_s: float,
    deliver: Callable[[ChangeBatch], Awaitable[None]],
) -> None:
    """Deliver the changes of a prefix, in order, until cancelled.

    After the store has discarded the history, a snapshot replaces the changes that were missed.

    Args:
        store: The platform's store.
        prefix: Prefix of the keys to follow.
        after: Revision after which changes are delivered; None delivers a snapshot first.
        wait_ms: Longest wait of one watch.
        pause_s: Pause between two watches, so that changes arrive in batches.
        deliver: Called with each batch.
    """
    revision = after
    has_lost_history = False
    while True:
        try:
            if revision is None:
                items, revision = await store.list_items(prefix)
                listed = tuple(Change(i.key, i.value, i.revision) for i in items)
                await deliver(ChangeBatch(listed, is_snapshot=True, revision=revision))
            changes, revision = await store.watch(prefix, revision, wait_ms)
        except HistoryLostError:
            log_event(WATCH_FAILED, prefix=prefix, reason="the history was dropped")
            revision = None
            if has_lost_history:
                await anyio.sleep(RELIST_PAUSE_S)
            has_lost_history = True
            continue
        except StoreCallError as failure:
            log_event(WATCH_FAILED, prefix=prefix, reason=failure.reason)
            await anyio.sleep(RETRY_PAUSE_S)
            continue
        has_lost_history = False
        if changes:
            newest = max(change.revision for change in changes)
            await deliver(ChangeBatch(tuple(changes), revision=newest))
        if pause_s:
            await anyio.sleep(pause_s)
