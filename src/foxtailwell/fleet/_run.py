"""The tasks that keep a daemon's view of the fleet."""

from __future__ import annotations

import anyio
from anyio.abc import TaskStatus

from foxtailwell.adapters.instance_list import open_instance_list
from foxtailwell.adapters.settings import Settings
from foxtailwell.adapters.store import StoreClient
from foxtailwell.core import Role
from foxtailwell.fleet._instances import poll_instances
from foxtailwell.fleet._peer_client import Identity, keep_heartbeats, make_claim_asker
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
    """Keep the view current until cancelled.

    Args:
        settings: Settings of the instance.
        role: Role of this daemon.
        store: Client of the store.
        view: View that only these tasks write.
        claim_handler: Answers the claim queries of peers; without it they get `unknown`.
        task_status: Reports the port of the peer protocol once it listens. The configuration may
            arrive later; `view.changed` tells when.
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
        view.query_claim = make_claim_asker(state)
        interval_s = platform.instance_list_interval_ms / 1000
        group.start_soon(poll_instances, state, instance_list, interval_s, first_poll)
        group.start_soon(watch_configuration, state, store, role)
        task_status.started(port)
        # Without the first list every start would contact the seed peers.
        await first_poll.wait()
        group.start_soon(keep_heartbeats, state, identity, settings.seed_peers)
