"""Starts the background tasks that maintain a daemon's view of the fleet."""

from __future__ import annotations

import anyio
from anyio.abc import TaskStatus

from foxtailwell.adapters.instance_list import open_instance_list
from foxtailwell.adapters.settings import Settings
from foxtailwell.adapters.store import StoreClient
from foxtailwell.core import Role
from foxtailwell.fleet._instance_list import poll_instance_list
from foxtailwell.fleet._peer_client import Identity, make_claim_client, run_heartbeats
from foxtailwell.fleet._peer_server import ClaimHandler, serve_peers
from foxtailwell.fleet._state import make_fleet_state
from foxtailwell.fleet._store_watch import watch_configuration
from foxtailwell.fleet._view import FleetView


async def run_fleet(
    settings: Settings,
    role: Role,
    store: StoreClient,
    view: FleetView,
    *,
    claim_handler: ClaimHandler | None = None,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the fleet tasks of one daemon until cancelled.

    Args:
        settings: Settings of the instance.
        role: Role of this daemon.
        store: Client of the store.
        view: View to maintain. The caller may set only `own_load`, and use `suspects`.
        claim_handler: Responds to the claim queries of peers; without it they receive `unknown`.
        task_status: Reports the bound peer port once the server listens. The configuration may
            arrive later; `view.changed` is set when it does.
    """
    view.own_id = f"{settings.instance}/{role}"
    state = make_fleet_state(view)
    identity = Identity(view.own_id, role, settings.availability_zone)
    platform = settings.platform
    first_poll = anyio.Event()
    async with (
        open_instance_list(platform.instance_list_url) as instance_list,
        anyio.create_task_group() as group,
    ):
        port = await group.start(serve_peers, state, settings.peers, claim_handler)
        view.query_claim = make_claim_client(state)
        interval_s = platform.instance_list_interval_ms / 1000
        group.start_soon(poll_instance_list, state, instance_list, interval_s, first_poll)
        group.start_soon(watch_configuration, state, store, role)
        task_status.started(port)
        # Before the first list is read, every daemon would contact the seed peers.
        await first_poll.wait()
        group.start_soon(run_heartbeats, state, identity, settings.seed_peers)
