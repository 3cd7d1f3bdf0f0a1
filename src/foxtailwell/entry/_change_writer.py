"""Reads the configuration and its audit trail, and writes changes of operators to the store."""

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
READ_BACK_BACKOFF_S = 0.25

CheckGuarantees = Callable[[Configuration, Iterable[InstanceRecord]], tuple[str, ...]]
"""Checks whether the guaranteed shapes of a configuration fit on the listed workers. Returns a text
for each problem, none if all fit."""


def packing_problems(
    configuration: Configuration, instances: Iterable[InstanceRecord]
) -> tuple[str, ...]:
    """Return why the guaranteed shapes do not fit on the listed workers; empty if they fit."""
    packing = check_guarantees(configuration, [r for r in instances if r.role == "worker"])
    return () if packing.is_complete else (packing.reason,)


async def write_change(
    store: StoreClient,
    change: Change,
    instances: Iterable[InstanceRecord],
    check: CheckGuarantees = packing_problems,
) -> ChangeRecord:
    """Apply a change to the stored configuration and return once the store has it.

    If the response to the write is lost, the configuration is read back to find out whether the
    write took effect, and the write is retried if it did not.

    Args:
        store: Client of the store.
        change: The requested change.
        instances: Instance list, against which the change is validated.
        check: Packing check of the guaranteed shapes.

    Returns:
        The change record with the new revision.

    Raises:
        ConflictError: The change is based on a revision that is no longer current; the error names
            the current one.
        ValidationError: The change is invalid.
        UnavailableError: The store does not respond or is overloaded; nothing was changed.
        OutcomeUnknownError: The store does not respond and may have stored the change.
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
    audit_document, kept = split_changes(after)
    if audit_document is not None:
        await _write_audit(store, audit_document)
    record = after.changes[-1]
    try:
        await _write_configuration(store, version, encode_document(kept), record)
    except StoreConflictError as error:
        raise await _conflict_error(store, change) from error
    log_event(
        events.CONFIGURATION_CHANGED,
        revision=record.revision,
        actor=record.actor,
        operation=record.operation,
        subject=record.subject,
    )
    return record


async def read_configuration(store: StoreClient) -> tuple[int, Configuration]:
    """Read the configuration from the store.

    Returns:
        The version of the document and its content; version 0 and an empty configuration if the
        store has none.

    Raises:
        UnavailableError: The store does not respond or is overloaded.
        UnsupportedSchemaError: The document was written by a newer release.
        DocumentError: The document cannot be decoded.
    """
    found = await _read(store, CONFIGURATION_KEY)
    if found is None:
        return 0, Configuration()
    return found.version, decode_document(found.value, Configuration)


async def read_audit(
    store: StoreClient, before_revision: int | None, limit: int
) -> list[ChangeRecord]:
    """Return change records from the configuration and the audit documents, newest first.

    Args:
        store: Client of the store.
        before_revision: Only changes below this revision; None starts at the newest.
        limit: Maximum number of changes to return.

    Raises:
        UnavailableError: The store does not respond or is overloaded.
    """
    _, configuration = await read_configuration(store)
    limit_revision = configuration.revision + 1 if before_revision is None else before_revision
    found = [c for c in reversed(configuration.changes) if c.revision < limit_revision]
    oldest = configuration.changes[0].revision if configuration.changes else 0
    while len(found) < limit:
        block = await _read_block(store, min(oldest, limit_revision) - 1)
        if not block:
            break
        found += [c for c in reversed(block) if c.revision < limit_revision]
        oldest = block[0].revision
    return found[:limit]


async def _read_block(store: StoreClient, revision: int) -> tuple[ChangeRecord, ...]:
    """Return the audit block that contains a revision; empty if it was overwritten."""
    if revision < 1:
        return ()
    # Blocks start at revisions 1, 101, 201 and so on, so any revision of a block minus 1 gives the
    # number of its document.
    found = await _read(store, _audit_key(revision - 1))
    if found is None:
        return ()
    changes = decode_document(found.value, AuditDocument).changes
    return changes if any(c.revision == revision for c in changes) else ()


async def _read(store: StoreClient, key: str) -> Versioned | None:
    try:
        return await store.get(key)
    except (StoreUnavailableError, StoreOverloadedError) as error:
        raise _unavailable_error(error) from error


def _unavailable_error(cause: Exception) -> UnavailableError:
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
        raise _unavailable_error(error) from error
    except StoreUnavailableError:
        await _resolve_lost_write(store, version, text, write_id, record)


async def _resolve_lost_write(
    store: StoreClient, version: int, text: str, write_id: str, record: ChangeRecord
) -> None:
    """Find out whether a write whose response was lost took effect, and retry it if it did not.

    Raises:
        StoreConflictError: Another write came first.
        OutcomeUnknownError: No attempt determined the outcome.
    """
    for attempt in range(READ_BACK_ATTEMPTS):
        await anyio.sleep(READ_BACK_BACKOFF_S * attempt)
        try:
            found = await store.get(CONFIGURATION_KEY)
        except (StoreUnavailableError, StoreOverloadedError):
            continue
        if found is not None and _is_stored(found, write_id, record):
            log_event(events.CHANGE_READ_BACK, revision=record.revision)
            return
        if found is not None and found.version != version:
            raise StoreConflictError(CONFIGURATION_KEY, version, found.version)
        try:
            # Both writes expect the same version, so at most one of them takes effect.
            await store.compare_and_swap(CONFIGURATION_KEY, version, text, write_id)
        except (StoreConflictError, StoreUnavailableError, StoreOverloadedError):
            continue  # The next read shows which write changed the version.
        return
    raise OutcomeUnknownError(
        f"the store may hold revision {record.revision}; it does not respond",
        "read the configuration once the store responds",
    )


def _is_stored(found: Versioned, write_id: str, record: ChangeRecord) -> bool:
    """Return whether a document comes from the given write, or from a later one with its record."""
    if found.write_id == write_id:
        return True
    return record in decode_document(found.value, Configuration).changes


async def _conflict_error(store: StoreClient, change: Change) -> ConflictError:
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
    found = await _read(store, key)
    if found is not None:
        stored = decode_document(found.value, AuditDocument)
        if stored.first_revision > document.first_revision:
            # Either this configuration is outdated, and its compare-and-swap will fail; or the
            # store was restored, and the newer audit document must not be overwritten.
            log_event(events.AUDIT_NEWER, key=key, first_revision=stored.first_revision)
            return None
        if stored == document:
            return None
    version = found.version if found is not None else 0
    try:
        await store.write_with_readback(key, version, encode_document(document), new_write_id())
    except StoreConflictError:
        return await _write_audit(store, document)
    except (StoreUnavailableError, StoreOverloadedError) as error:
        raise _unavailable_error(error) from error


def _audit_key(first_revision: int) -> str:
    return f"audit/{audit_document_number(first_revision):02}"


def _known_fleet(records: tuple[InstanceRecord, ...]) -> KnownFleet:
    return KnownFleet(
        frozenset(r.zone for r in records),
        frozenset(r.id for r in records),
        sum(r.slots for r in records if r.role == "minion"),
    )
