"""Watches decoded store documents below a prefix and resumes after store outages."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from foxtailwell.adapters.documents import decode_document
from foxtailwell.adapters.events import (
    DOCUMENT_REFUSED,
    STORE_AVAILABLE,
    STORE_UNAVAILABLE,
)
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.store import StoreClient, Versioned, WatchResult
from foxtailwell.core.errors import (
    DocumentError,
    StoreOverloadedError,
    StoreUnavailableError,
    UnsupportedSchemaError,
)

__all__ = ["DocumentChange", "watch_documents"]

T = TypeVar("T")

DocumentChange = Callable[[str, T], Awaitable[None]]

WATCH_WAIT_S = 25.0
"""Long, because each watch request counts against the store's rate limit, however long it waits."""

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


async def watch_documents(
    store: StoreClient,
    prefix: str,
    kind: type[T],
    on_change: DocumentChange[T],
    *,
    wait_s: float = WATCH_WAIT_S,
    on_result: Callable[[float], None] | None = None,
) -> None:
    """Watch all documents below a prefix until cancelled.

    Documents that cannot be decoded are logged and skipped. Store outages and rate limits are
    retried with exponential backoff.

    Args:
        store: Client of the store.
        prefix: Common prefix of the keys.
        kind: Data class to decode the documents into.
        on_change: Called with the key and the latest document after each change.
        wait_s: Maximum time that one watch request waits for a change.
        on_result: Called after each successful watch request with the monotonic time in seconds at
            which it was sent.
    """
    revision = 0
    backoff_s = INITIAL_BACKOFF_S
    is_available = True
    while True:
        sent_at_s = anyio.current_time()
        try:
            result = await store.watch(prefix, revision, wait_s)
        except (StoreUnavailableError, StoreOverloadedError) as error:
            if is_available:
                log_event(STORE_UNAVAILABLE, prefix=prefix, error=str(error))
            is_available = False
            # Full jitter spreads the retries of all daemons when the store recovers.
            await anyio.sleep(random.uniform(0, backoff_s))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            continue
        if not is_available:
            log_event(STORE_AVAILABLE, prefix=prefix)
        is_available, backoff_s = True, INITIAL_BACKOFF_S
        await _deliver(result, kind, on_change)
        revision = result.revision
        if on_result is not None:
            on_result(sent_at_s)


async def _deliver(result: WatchResult, kind: type[T], on_change: DocumentChange[T]) -> None:
    for change in result.changes:
        document = _decode(change, kind)
        if document is not None:
            await on_change(change.key, document)


def _decode(change: Versioned, kind: type[T]) -> T | None:
    try:
        return decode_document(change.value, kind)
    except (UnsupportedSchemaError, DocumentError) as error:
        log_event(DOCUMENT_REFUSED, key=change.key, version=change.version, error=str(error))
        return None
