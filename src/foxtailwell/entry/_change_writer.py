"""Writes operators' changes to the store by compare-and-swap."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import anyio

from foxtailwell.adapters import events
from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.store import StoreClient, Versioned, new_write_id
from foxtailwell.core import (
    AuditDocument,
    Change,
    ChangeRecord,
    Configuration,
    InstanceRecord,
    KnownFleet,
    apply_change,
    audit_document_number,
    check_guarantees,
    split_changes,
)
from foxtailwell.core.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreConflictError,
    StoreOverloadedError,
    StoreUnavailableError,
    UnavailableError,
)

__all__ = [
    "CheckGuarantees",
    "packing_problems",
    "read_audit",
    "read_configuration",
    "write_change",
]

CONFIGURATION_KEY = "config"
READ_BACK_ATTEMPTS = 4
READ_BACK_PAUSE_S = 0.25

CheckGuarantees = Callable[[Configuration, Iterable[InstanceRecord]], tuple[str, ...]]
"""Returns which guaranteed shapes of a configuration do not fit on the present workers."""


def packing_problems(
    configuration: Configuration, instances: Iterable[InstanceRecord]
) -> tuple[str, ...]:
    """Return why the guaranteed shapes of a configuration do not fit on the present workers."""
    packing = check_guarantees(configuration, [r for r in instances if r.role == "worker"])
    return () if packing.is_complete else (packing.reason,)


async def write_change(
    store: StoreClient,
    change: Change,
    instances: Iterable[InstanceRecord],
    check: CheckGuarantees = packing_problems,
) -> ChangeRecord:
    """Apply a change and return once the store holds it.

    Args:
        store: Client of the store.
        change: Change of an operator.
        instances: Instance list.
        check: Packing check of the guaranteed shapes.

    Returns:
        The record of the change, with its revision.

    Raises:
        ConflictError: Another change came first; names the revision to read.
        ValidationError: The change is wrong.
        UnavailableError: The store does not respond; nothing was changed.
        OutcomeUnknownError: The store may hold the change.
        UnsupportedSchemaError: The configuration was written by a newer release.
    """
    records = tuple(instances)
    version, before = await read_configuration(store)
    after = apply_change(
        before,
        change,
        now_unix_ms=time.time_ns() // 1_000_000,
        fleet=_known_fleet(records),
        check_guarantees=lambda configuration: check(configuration, records),
    )
    old, kept = split_changes(after)
    if old is not None:
        await _write_audit(store, old)
    record = after.changes[-1]
    try:
        await _write_configuration(store, version, encode_document(kept), record)
    except StoreConflictError as error:
        raise await _conflict(store, change) from error
    log_event(
        events.CONFIGURATION_CHANGED,
        revision=record.revision,
        actor=record.actor,
        operation=record.operation,
        subject=record.subject,
    )
    return record


async def read_configuration(store: StoreClient) -> tuple[int, Configuration]:
    """Return the version and content of the configuration; version 0 where there is none.

    Raises:
        UnavailableError: The store does not respond.
        UnsupportedSchemaError: The document was written by a newer release.
        DocumentError: The document is damaged.
    """
    found = await _get(store, CONFIGURATION_KEY)
    if found is None:
        return 0, Configuration()
    return found.version, decode_document(found.value, Configuration)


async def read_audit(
    store: StoreClient, before_revision: int | None, limit: int
) -> list[ChangeRecord]:
    """Return changes, newest first.

    Args:
        store: Client of the store.
        before_revision: Only changes below this revision; None starts at the newest.
        limit: Most changes to return.

    Raises:
        UnavailableError: The store does not respond.
    """
    _, configuration = await read_configuration(store)
    top = configuration.revision + 1 if before_revision is None else before_revision
    found = [c for c in reversed(configuration.changes) if c.revision < top]
    oldest = configuration.changes[0].revision if configuration.changes else 0
    while len(found) < limit:
        block = await _read_block(store, min(oldest, top) - 1)
        if not block:
            break
        found += [c for c in reversed(block) if c.revision < top]
        oldest = block[0].revision
    return found[:limit]


async def _read_block(store: StoreClient, revision: int) -> tuple[ChangeRecord, ...]:
    """Return the block that holds a revision, or nothing when it was overwritten."""
    if revision < 1:
        return ()
    # Blocks begin at revisions 1, 101, 201 and so on.
    found = await _get(store, _audit_key(revision - 1))
    if found is None:
        return ()
    changes = decode_document(found.value, AuditDocument).changes
    return changes if any(c.revision == revision for c in changes) else ()


async def _get(store: StoreClient, key: str) -> Versioned | None:
    try:
        return await store.get(key)
    except (StoreUnavailableError, StoreOverloadedError) as error:
        raise _unavailable(error) from error


def _unavailable(cause: Exception) -> UnavailableError:
    return UnavailableError(
        f"the store does not respond, nothing was changed: {cause}",
        "send the same change again once the store responds",
    )


async def _write_configuration(
    store: StoreClient, version: int, text: str, record: ChangeRecord
) -> None:
    write_id = new_write_id()
    try:
        await store.compare_and_swap(CONFIGURATION_KEY, version, text, write_id)
    except StoreOverloadedError as error:
        raise _unavailable(error) from error
    except StoreUnavailableError:
        await _settle_lost_write(store, version, text, write_id, record)


async def _settle_lost_write(
    store: StoreClient, version: int, text: str, write_id: str, record: ChangeRecord
) -> None:
    """Find out whether a write took effect whose response was lost."""
    for attempt in range(READ_BACK_ATTEMPTS):
        await anyio.sleep(READ_BACK_PAUSE_S * attempt)
        try:
            found = await store.get(CONFIGURATION_KEY)
        except (StoreUnavailableError, StoreOverloadedError):
            continue
        if found is not None and _holds(found, write_id, record):
            log_event(events.CHANGE_READ_BACK, revision=record.revision)
            return
        if found is not None and found.version != version:
            raise StoreConflictError(CONFIGURATION_KEY, version, found.version)
        try:
            # The same expected version lets at most one of the two writes take effect.
            await store.compare_and_swap(CONFIGURATION_KEY, version, text, write_id)
        except (StoreConflictError, StoreUnavailableError, StoreOverloadedError):
            continue  # The next read tells whose write moved the version.
        return
    raise OutcomeUnknownError(
        f"the store may hold revision {record.revision}; it does not respond",
        "read the configuration once the store responds",
    )


def _holds(found: Versioned, write_id: str, record: ChangeRecord) -> bool:
    """Return whether a document is the own write or was written after it."""
    if found.write_id == write_id:
        return True
    return record in decode_document(found.value, Configuration).changes


async def _conflict(store: StoreClient, change: Change) -> ConflictError:
    try:
        _, current = await read_configuration(store)
        revision = current.revision
    except UnavailableError:
        revision = change.expected_revision + 1
    return ConflictError(
        f"another change came first; the change is based on revision {change.expected_revision}",
        f"read revision {revision} and repeat the change on it",
        revision,
    )


async def _write_audit(store: StoreClient, document: AuditDocument) -> None:
    key = _audit_key(document.first_revision)
    found = await _get(store, key)
    if found is not None:
        held = decode_document(found.value, AuditDocument)
        if held.first_revision > document.first_revision:
            # This configuration is outdated, so its compare-and-swap fails; or the store was
            # restored, and the newer document must not be lost.
            log_event(events.AUDIT_NEWER, key=key, first_revision=held.first_revision)
            return None
        if held == document:
            return None
    version = found.version if found is not None else 0
    try:
        await store.write_with_readback(key, version, encode_document(document), new_write_id())
    except StoreConflictError:
        return await _write_audit(store, document)
    except (StoreUnavailableError, StoreOverloadedError) as error:
        raise _unavailable(error) from error


def _audit_key(first_revision: int) -> str:
    return f"audit/{audit_document_number(first_revision):02}"


def _known_fleet(records: tuple[InstanceRecord, ...]) -> KnownFleet:
    return KnownFleet(
        frozenset(r.zone for r in records),
        frozenset(r.id for r in records),
        sum(r.slots for r in records if r.role == "minion"),
    )
