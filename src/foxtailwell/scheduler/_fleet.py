"""View of the fleet without peers: configuration from the store and the instance list."""

from __future__ import annotations

import time

import anyio
from anyio.abc import TaskStatus

from foxtailwell.adapters.documents import decode_document
from foxtailwell.adapters.instance_list import open_instance_list
from foxtailwell.adapters.settings import Settings
from foxtailwell.adapters.store import StoreClient
from foxtailwell.core import Configuration, Role, evidence_from_store, newer_evidence
from foxtailwell.core.errors import FoxtailwellError
from foxtailwell.fleet import FleetView

__all__ = ["run_fleet"]


async def run_fleet(
    settings: Settings,
    role: Role,
    store: StoreClient,
    view: FleetView,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Keep the view up to date by one read of the store a second."""
    async with open_instance_list(settings.platform.instance_list_url) as instances:
        task_status.started()
        while True:
            sent_at_s = time.monotonic()
            try:
                current = await store.get("config")
                if current is not None:
                    found = decode_document(current.value, Configuration)
                    if found.revision >= view.configuration.revision:
                        view.configuration = found
                own = view.configuration.revision
                view.evidence = newer_evidence(
                    view.evidence, evidence_from_store(own, sent_at_s), own
                )
                records = await instances.fetch()
                if records is not None:
                    view.instances = {r.id: r for r in records}
                    view.notify()
            except FoxtailwellError:
                pass
            await anyio.sleep(1.0)
