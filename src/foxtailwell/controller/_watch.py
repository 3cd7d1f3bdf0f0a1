"""Follows the keys of a prefix, through lost history and failures of the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from foxtailwell.adapters.events import WATCH_FAILED
from foxtailwell.adapters.logs import log_event
from foxtailwell.workflows import Change, HistoryLostError, KeyValueStore, StoreCallError

__all__ = ["ChangeBatch", "follow_prefix"]

RETRY_PAUSE_S = 0.2
"""Pause after a failed watch."""

RELIST_PAUSE_S = 0.3
"""Pause before a prefix is listed a second time; a store may drop its history again and again."""


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes of a prefix.

    Attributes:
        is_snapshot: The changes are all keys of the prefix; keys not among them are gone.
    """

    changes: tuple[Change, ...]
    is_snapshot: bool = False


async def follow_prefix(
    store: KeyValueStore,
    prefix: str,
    after: int | None,
    wait_ms: int,
    pause_s: float,
    deliver: Callable[[ChangeBatch], Awaitable[None]],
) -> None:
    """Deliver every change of a prefix, in order.

    Args:
        store: The platform's store.
        prefix: Keys to follow.
        after: Revision from which to follow; None lists the prefix first.
        wait_ms: Longest wait of one watch.
        pause_s: Pause between two watches, in which changes collect.
        deliver: Takes the changes.
    """
    revision = after
    has_lost_history = False
    while True:
        try:
            if revision is None:
                items, revision = await store.list_items(prefix)
                listed = tuple(Change(i.key, i.value, i.revision) for i in items)
                await deliver(ChangeBatch(listed, is_snapshot=True))
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
            await deliver(ChangeBatch(tuple(changes)))
        if pause_s:
            await anyio.sleep(pause_s)
