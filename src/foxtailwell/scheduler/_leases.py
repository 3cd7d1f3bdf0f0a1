"""Zone leases: who schedules which zone."""

from __future__ import annotations

import hashlib
import random
import time
from dataclasses import dataclass

import anyio

from foxtailwell.adapters.events import ZONE_ACQUIRED, ZONE_LOST, ZONE_RELEASED
from foxtailwell.adapters.logs import log_event
from foxtailwell.core.errors import FoxtailwellError, UnavailableError
from foxtailwell.scheduler._mutations import clear_holder
from foxtailwell.scheduler._state import SchedulerState, allocation_key, lease_key
from foxtailwell.scheduler._zone import ZoneExecutor, run_zone, take_over_zone

__all__ = ["manage_zones"]

LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 1.0

DRAIN_S = 3.0
"""Longest wait of a planned stop for starts in progress; a start takes at most about 2.5 s."""

RANK_DELAYS_S = (0.02, 0.7, 1.4)
"""Wait after the end of a lease by rank. A standby asks exactly when the lease that it last saw
would end, so the first one acquires within the 3 s of the lease, and the next ones cover the case
that it was killed together with the holder."""

LAST_RANK_DELAY_S = 15.0
"""Wait of all further standbys. Their rank rises once peers stop replying, so they need few store
calls until then."""

RETRY_S = 0.2


async def manage_zones(state: SchedulerState) -> None:
    """Acquire and hold zones until the scheduler stops."""
    known: set[str] = set()
    async with anyio.create_task_group() as group:
        while not state.stop.is_set():
            for zone in state.known_zones() if state.is_loaded else ():
                if zone not in known:
                    known.add(zone)
                    group.start_soon(_manage_zone, state, zone)
            await state.wait_for_change(1.0)


async def _pause(state: SchedulerState, wait_s: float) -> None:
    with anyio.move_on_after(wait_s):
        await state.stop.wait()


def rank(state: SchedulerState, zone: str) -> int:
    """Return how many other schedulers should acquire a zone before this one.

    Schedulers in the zone come first, because commands to its workers take the shortest way.
    """
    allocation = state.allocations.get(zone)
    holder = allocation.holder if allocation else ""
    zones = {r.id: r.zone for r in state.view.instances.values() if r.role == "scheduler"}
    if state.view.peers:
        zones = {name: z for name, z in zones.items() if name in state.view.peers}
    zones.pop(holder, None)
    zones[state.instance] = state.local_zone
    order = sorted(zones, key=lambda name: (zones[name] != zone, _hash(name, zone)))
    return order.index(state.instance)


def _hash(instance: str, zone: str) -> str:
    return hashlib.sha256(f"{instance}/{zone}".encode()).hexdigest()


async def _manage_zone(state: SchedulerState, zone: str) -> None:
    await _pause(state, min(rank(state, zone), 4) * 0.5)
    while not state.stop.is_set():
        sent_at_s = time.monotonic()
        try:
            grant = await state.store.lease_acquire(lease_key(zone), state.instance, LEASE_TTL_S)
        except FoxtailwellError:
            await _pause(state, random.uniform(0.5, 1.0))
            continue
        if grant.held:
            await _hold_zone(state, zone, _Lease(sent_at_s + LEASE_TTL_S))
            await _pause(state, random.uniform(RETRY_S, 2 * RETRY_S))
        else:
            await _wait_for_turn(state, zone, time.monotonic() + grant.remaining_s)


async def _wait_for_turn(state: SchedulerState, zone: str, lease_end_s: float) -> None:
    await _pause(state, RETRY_S)
    while not state.stop.is_set():
        own_rank = rank(state, zone)
        allocation = state.allocations.get(zone)
        if allocation is not None and not allocation.holder:
            # The holder has released its lease and shows it in the document.
            await _pause(state, own_rank * 0.1)
            return
        is_far = own_rank >= len(RANK_DELAYS_S)
        delay_s = LAST_RANK_DELAY_S if is_far else RANK_DELAYS_S[own_rank]
        left_s = lease_end_s + delay_s - time.monotonic()
        if left_s <= 0:
            return
        await state.wait_for_change(min(left_s, 1.0))


@dataclass(slots=True)
class _Lease:
    """Local time until which the lease is certainly held."""

    until_s: float

    def is_live(self) -> bool:
        return time.monotonic() < self.until_s


async def _hold_zone(state: SchedulerState, zone: str, lease: _Lease) -> None:
    async with anyio.create_task_group() as group:
        lost = anyio.Event()
        group.start_soon(_renew, state, zone, lease, lost)
        group.start_soon(_cancel_after, lost, group.cancel_scope)
        try:
            executor = await take_over_zone(state, zone, lease.is_live)
        except FoxtailwellError as error:
            log_event(ZONE_LOST, zone=zone, error=str(error))
            group.cancel_scope.cancel()
            return
        log_event(ZONE_ACQUIRED, zone=zone, term=executor.term, gangs=len(executor.active_gangs))
        state.executors[zone] = executor
        state.notify()
        try:
            await _run_until_stopped(state, executor)
        finally:
            del state.executors[zone]
        if not executor.lost.is_set():
            await _release(state, executor)
        group.cancel_scope.cancel()


async def _cancel_after(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _renew(state: SchedulerState, zone: str, lease: _Lease, lost: anyio.Event) -> None:
    """Renew the lease until it goes to another scheduler.

    While the store does not respond the zone is kept: its gangs need renewals, no start is possible
    without the store, and the fencing token protects against a successor.
    """
    while True:
        await anyio.sleep(RENEW_INTERVAL_S)
        sent_at_s = time.monotonic()
        try:
            grant = await state.store.lease_renew(lease_key(zone), state.instance, LEASE_TTL_S)
            if not grant.held:
                grant = await state.store.lease_acquire(
                    lease_key(zone), state.instance, LEASE_TTL_S
                )
        except FoxtailwellError:
            continue
        if not grant.held:
            error = UnavailableError(f"lease for {zone} is held by {grant.holder}", "none needed")
            log_event(ZONE_LOST, zone=zone, error=str(error))
            lost.set()
            return
        lease.until_s = sent_at_s + LEASE_TTL_S


async def _run_until_stopped(state: SchedulerState, executor: ZoneExecutor) -> None:
    async with anyio.create_task_group() as group:

        async def stop_on_request() -> None:
            await state.stop.wait()
            executor.is_stopping = True
            # An empty message wakes the executor, which may be waiting for its next tick.
            executor.submit(())
            await anyio.sleep(DRAIN_S)
            group.cancel_scope.cancel()

        group.start_soon(stop_on_request)
        await run_zone(executor)
        group.cancel_scope.cancel()


async def _release(state: SchedulerState, executor: ZoneExecutor) -> None:
    """Release the lease, then show in the document that the zone is free.

    Leases cannot be watched, but documents are, so standbys acquire the zone at once.
    """
    try:
        await state.store.lease_release(lease_key(executor.zone), state.instance)
        await state.allocation_documents.apply(
            allocation_key(executor.zone), clear_holder(executor.term)
        )
    except FoxtailwellError as error:
        log_event(ZONE_RELEASED, zone=executor.zone, term=executor.term, error=str(error))
    else:
        log_event(ZONE_RELEASED, zone=executor.zone, term=executor.term)
