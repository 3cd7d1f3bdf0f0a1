"""Follows the configuration in the store with long-polling watches, with backoff on failures."""

from __future__ import annotations

import random
import time

import anyio

from foxtailwell.adapters import events
from foxtailwell.adapters.logs import log_event
from foxtailwell.adapters.store import StoreClient, WatchResult
from foxtailwell.core import Role
from foxtailwell.core.errors import StoreOverloadedError, StoreUnavailableError
from foxtailwell.fleet._state import FleetState, handle_store_document, handle_store_reply

CONFIGURATION_KEY = "config"

WATCH_WAIT_S: dict[Role, float] = {"scheduler": 1.0, "entry": 2.0}
"""Longest time the store may hold a watch open, by role of the daemon.

Evidence is dated to when the watch was sent, so a scheduler's watch must return well within the
evidence limit of 3 s. Entries start no tasks on workers and may poll half as often."""

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_MIN_INTERVAL_S = 0.05
"""Least time between two watches; bounds the call rate if the store returns each one at once."""


async def watch_configuration(state: FleetState, store: StoreClient, role: Role) -> None:
    """Watch the configuration until cancelled, and update the view from each result."""
    after_revision = 0
    failures = 0
    while True:
        sent_at_s = time.monotonic()
        try:
            result = await store.watch(CONFIGURATION_KEY, after_revision, WATCH_WAIT_S[role])
        except (StoreUnavailableError, StoreOverloadedError) as error:
            failures += 1
            _handle_failure(state, error)
            await anyio.sleep(backoff_s(failures, random.random()))
            continue
        failures = 0
        _set_available(state, True)
        after_revision = handle_watch_result(
            state, result, after_revision, sent_at_s, time.monotonic()
        )
        await anyio.sleep(max(0.0, sent_at_s + _MIN_INTERVAL_S - time.monotonic()))


def backoff_s(failures: int, jitter: float) -> float:
    """Return the pause before the next watch: exponential backoff with jitter.

    Args:
        failures: Consecutive failed watches.
        jitter: Random number in [0, 1) that spreads the daemons' calls after an outage.
    """
    max_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2.0 ** min(failures, 10))
    return max_s * (0.5 + jitter / 2)


def handle_watch_result(
    state: FleetState,
    result: WatchResult,
    after_revision: int,
    sent_at_s: float,
    now_s: float,
) -> int:
    """Update the configuration and the evidence from the result of a watch.

    Args:
        state: State to update.
        result: Response of the store.
        after_revision: Store revision that the watch named; 0 reads from the start.
        sent_at_s: Monotonic time at which the watch was sent.
        now_s: Current monotonic time.

    Returns:
        Store revision that the next watch names.
    """
    if result.revision < after_revision:
        return 0  # The revision decreased: the store was restored and must be read from the start.
    documents = [c.value for c in result.changes if c.key == CONFIGURATION_KEY]
    is_complete = after_revision == 0
    if documents or is_complete:
        document = documents[-1].encode() if documents else None
        handle_store_document(state, document, is_complete=is_complete)
    handle_store_reply(state, sent_at_s, now_s)
    return result.revision


def _handle_failure(state: FleetState, error: Exception) -> None:
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
