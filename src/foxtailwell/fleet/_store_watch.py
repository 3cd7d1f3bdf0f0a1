"""Watch on the configuration in the store."""

from __future__ import annotations

import random
import time

import anyio

from foxtailwell.adapters import events
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.store import StoreClient, WatchResult
from foxtailwell.core import Role
from foxtailwell.core.errors import StoreOverloadedError, StoreUnavailableError
from foxtailwell.fleet._state import FleetState, note_store_document, note_store_reply

CONFIGURATION_KEY = "config"

WATCH_WAIT_S: dict[Role, float] = {"scheduler": 1.0, "entry": 2.0}
"""Evidence dates from the moment a watch was sent, so a scheduler's watch must return well within
the evidence limit of 3 s. Entries start no tasks and need the store half as often."""

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 2.0
_SHORTEST_INTERVAL_S = 0.05
"""Bounds the calls when the store returns from each watch at once."""


async def watch_configuration(state: FleetState, store: StoreClient, role: Role) -> None:
    """Follow the configuration in the store until cancelled."""
    after_revision = 0
    failures = 0
    while True:
        sent_at_s = time.monotonic()
        try:
            result = await store.watch(CONFIGURATION_KEY, after_revision, WATCH_WAIT_S[role])
        except (StoreUnavailableError, StoreOverloadedError) as error:
            failures += 1
            _note_failure(state, error)
            await anyio.sleep(pause_s(failures, random.random()))
            continue
        failures = 0
        _set_available(state, True)
        after_revision = take_result(state, result, after_revision, sent_at_s, time.monotonic())
        await anyio.sleep(max(0.0, sent_at_s + _SHORTEST_INTERVAL_S - time.monotonic()))


def pause_s(failures: int, share: float) -> float:
    """Return the pause before the next call.

    Args:
        failures: Failed calls in a row.
        share: Random number below 1; it spreads the calls of the fleet after an outage.
    """
    longest_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2.0 ** min(failures, 10))
    return longest_s * (0.5 + share / 2)


def take_result(
    state: FleetState,
    result: WatchResult,
    after_revision: int,
    sent_at_s: float,
    now_s: float,
) -> int:
    """Take the result of a watch.

    Args:
        state: State to change.
        result: Answer of the store.
        after_revision: Store revision that the call named; 0 reads from the start.
        sent_at_s: When the call was sent.
        now_s: Current time.

    Returns:
        Store revision for the next call.
    """
    if result.revision < after_revision:
        return 0  # A restored store must be read from the start.
    documents = [c.value for c in result.changes if c.key == CONFIGURATION_KEY]
    is_complete = after_revision == 0
    if documents or is_complete:
        document = documents[-1].encode() if documents else None
        note_store_document(state, document, is_complete=is_complete)
    note_store_reply(state, sent_at_s, now_s)
    return result.revision


def _note_failure(state: FleetState, error: Exception) -> None:
    if isinstance(error, StoreUnavailableError):
        _set_available(state, False, str(error))


def _set_available(state: FleetState, is_available: bool, cause: str = "") -> None:
    if state.view.is_store_available == is_available:
        return
    state.view.is_store_available = is_available
    if is_available:
        log_event(events.STORE_AVAILABLE)
    else:
        log_event(events.STORE_UNAVAILABLE, cause=cause)
    state.view.notify()
