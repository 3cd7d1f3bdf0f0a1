"""Polls the platform's instance list into the view of the fleet."""

from __future__ import annotations

import anyio

from foxtailwell.adapters import events
from foxtailwell.adapters.instance_list import InstanceListClient
from foxtailwell.adapters.logs import log_event
from foxtailwell.core.errors import UnavailableError
from foxtailwell.fleet._state import FleetState


async def poll_instance_list(
    state: FleetState, client: InstanceListClient, interval_s: float, first_poll: anyio.Event
) -> None:
    """Poll the instance list until cancelled; during an outage the last list stays in use.

    Args:
        state: Its view receives the list.
        client: Client of the instance list.
        interval_s: Pause between two reads.
        first_poll: Set after the first read, whether it succeeded or not.
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
                state.view.unreadable_instances = client.unreadable_ids
                state.view.notify()
        state.view.instance_list_bytes_sent = client.bytes_sent
        first_poll.set()
        await anyio.sleep(interval_s)
