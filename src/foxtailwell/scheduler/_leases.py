"""Zone leases, which decide which scheduler is the holder of which zone.

Every scheduler is a candidate for every zone. It either holds the lease and runs the executor of
the zone, or is a standby that acquires the lease when it expires or is released.
"""

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

DRAIN_TIMEOUT_S = 3.0
"""Maximum time that a graceful shutdown waits for starts in progress, which take up to about
2.5 s."""

STANDBY_DELAYS_S = (0.02, 0.7, 1.4)
"""Delay after the expected expiry of a lease, by rank of the standby. The first standby asks right
after the expiry, so it acquires the zone within the 3 s of the lease. The next ones cover the case
that the first was killed together with the holder."""

LOW_RANK_DELAY_S = 15.0
"""Delay of all further standbys, which keeps their store calls few. They move up to a shorter delay
when peers before them stop replying."""

RETRY_DELAY_S = 0.2


async def manage_zones(state: SchedulerState) -> None:
    """Acquire zones and run their executors until the scheduler stops.

    Zones that appear later are included.
    """
    known: set[str] = set()
    async with anyio.create_task_group() as group:
        while not state.stop.is_set():
            for zone in state.known_zones() if state.is_loaded else ():
                if zone not in known:
                    known.add(zone)
                    group.start_soon(_manage_zone, state, zone)
            await state.wait_for_change(1.0)


async def _sleep_until_stop(state: SchedulerState, wait_s: float) -> None:
    with anyio.move_on_after(wait_s):
        await state.stop.wait()


def rank(state: SchedulerState, zone: str) -> int:
    """Return how many other schedulers should acquire a zone before this one.

    Schedulers in the zone come first, because they have the shortest network path to its workers.
    The current holder does not count, nor do schedulers that do not reply as peers.
    """
    allocation = state.allocations.get(zone)
    holder = allocation.holder if allocation else ""
    zones = {r.id: r.zone for r in state.view.instances.values() if r.role == "scheduler"}
    if state.view.peers:
        zones = {name: z for name, z in zones.items() if name in state.view.peers}
    zones.pop(holder, None)
    zones[state.instance] = state.local_zone
    candidates = sorted(zones, key=lambda name: (zones[name] != zone, _hash(name, zone)))
    return candidates.index(state.instance)


def _hash(instance: str, zone: str) -> str:
    return hashlib.sha256(f"{instance}/{zone}".encode()).hexdigest()


async def _manage_zone(state: SchedulerState, zone: str) -> None:
    await _sleep_until_stop(state, min(rank(state, zone), 4) * 0.5)
    while not state.stop.is_set():
        sent_at_s = time.monotonic()
        try:
            grant = await state.store.lease_acquire(lease_key(zone), state.instance, LEASE_TTL_S)
        except FoxtailwellError:
            await _sleep_until_stop(state, random.uniform(0.5, 1.0))
            continue
        if grant.held:
            await _run_leased_zone(state, zone, _Lease(sent_at_s + LEASE_TTL_S))
            await _sleep_until_stop(state, random.uniform(RETRY_DELAY_S, 2 * RETRY_DELAY_S))
        else:
            await _wait_to_acquire(state, zone, time.monotonic() + grant.remaining_s)


async def _wait_to_acquire(state: SchedulerState, zone: str, lease_end_s: float) -> None:
    await _sleep_until_stop(state, RETRY_DELAY_S)
    while not state.stop.is_set():
        own_rank = rank(state, zone)
        allocation = state.allocations.get(zone)
        if allocation is not None and not allocation.holder:
            # The holder has released its lease and then cleared its name in the document.
            await _sleep_until_stop(state, own_rank * 0.1)
            return
        is_low_rank = own_rank >= len(STANDBY_DELAYS_S)
        delay_s = LOW_RANK_DELAY_S if is_low_rank else STANDBY_DELAYS_S[own_rank]
        remaining_s = lease_end_s + delay_s - time.monotonic()
        if remaining_s <= 0:
            return
        await state.wait_for_change(min(remaining_s, 1.0))


@dataclass(slots=True)
class _Lease:
    """Time on the local monotonic clock before which the lease cannot have expired."""

    valid_until_s: float

    def is_valid(self) -> bool:
        return time.monotonic() < self.valid_until_s


async def _run_leased_zone(state: SchedulerState, zone: str, lease: _Lease) -> None:
    async with anyio.create_task_group() as group:
        lost = anyio.Event()
        group.start_soon(_renew_lease, state, zone, lease, lost)
        group.start_soon(_cancel_after, lost, group.cancel_scope)
        try:
            executor = await take_over_zone(state, zone, lease.is_valid)
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
            await _release_zone(state, executor)
        group.cancel_scope.cancel()


async def _cancel_after(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _renew_lease(state: SchedulerState, zone: str, lease: _Lease, lost: anyio.Event) -> None:
    """Renew the lease until another scheduler has acquired it, then set `lost`.

    The zone is kept while the store does not respond, also beyond the expiry of the lease: the task
    leases of its gangs need renewals, no gang can start without the store, and the fencing token
    protects against conflicts with a new holder.
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
            error = UnavailableError(
                f"lease of zone {zone} is held by {grant.holder}", "none needed"
            )
            log_event(ZONE_LOST, zone=zone, error=str(error))
            lost.set()
            return
        lease.valid_until_s = sent_at_s + LEASE_TTL_S


async def _run_until_stopped(state: SchedulerState, executor: ZoneExecutor) -> None:
    async with anyio.create_task_group() as group:

        async def stop_on_request() -> None:
            await state.stop.wait()
            executor.is_stopping = True
            # An empty message wakes the executor, which may be sleeping until its next tick.
            executor.submit(())
            await anyio.sleep(DRAIN_TIMEOUT_S)
            group.cancel_scope.cancel()

        group.start_soon(stop_on_request)
        await run_zone(executor)
        group.cancel_scope.cancel()


async def _release_zone(state: SchedulerState, executor: ZoneExecutor) -> None:
    """Release the lease, then clear the holder in the allocation document.

    Leases cannot be watched. Standbys watch the document instead, so they acquire the zone without
    waiting for the expiry.
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
