"""Poller of the instance list."""

from __future__ import annotations

import anyio

from foxtailwell.adapters import events
from foxtailwell.adapters.instance_list import InstanceListClient
from foxtailwell.adapters.logs import log_event
from foxtailwell.core.errors import UnavailableError
from foxtailwell.fleet._state import FleetState


async def poll_instances(
    state: FleetState, client: InstanceListClient, interval_s: float, poll: anyio.Event
) -> None:
    """Keep the last list that could be read.

    Args:
        state: State to change.
        client: Client of the instance list.
        interval_s: Time between two reads.
        poll: Set after the first read, whether it succeeded or not.
    """
    is_available = True
    while True:
        try:
            records = await client.fetch()
        except UnavailableError as error:
            if is_available:
                log_event(events.INSTANCE_LIST_UNAVAILABLE, cause=str(error))
            is_available = False
        else:
            if not is_available:
                log_event(events.INSTANCE_LIST_AVAILABLE)
            is_available = True
            if records is not None:
                state.view.instances = {record.id: record for record in records}
                state.view.notify()
        state.view.instance_list_bytes_sent = client.bytes_sent
        poll.set()
        await anyio.sleep(interval_s)
