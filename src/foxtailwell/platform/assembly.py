"""Connects the platform's clients and decoders to an instance and runs it."""

from __future__ import annotations

import os
import sys
from functools import partial

import anyio

from foxtailwell.adapters.logs import configure_logs
from foxtailwell.adapters.work_metrics import WorkMetrics
from foxtailwell.controller import FleetAccess, MaintenanceAccess
from foxtailwell.core.errors import ValidationError
from foxtailwell.instance import InstanceSettings, OperatorKeys, PlatformAdapter, run_instance
from foxtailwell.platform import messages
from foxtailwell.platform.advisor import open_advisor
from foxtailwell.platform.machines import open_machines
from foxtailwell.platform.settings import SETTINGS_VARIABLE, load_instance_settings
from foxtailwell.platform.store import open_store
from foxtailwell.platform.workers import connect_worker, decode_worker_entry

__all__ = ["main"]

SETTINGS_EXIT_CODE = 2
"""Exit code for invalid settings, the same as in the other commands."""


def _platform_adapter(settings: InstanceSettings, path: str) -> PlatformAdapter:
    metrics = WorkMetrics()
    return PlatformAdapter(
        metrics=metrics,
        store=open_store(settings.store_address, metrics),
        fleet=FleetAccess(
            messages.WORKERS_PREFIX,
            decode_worker_entry,
            connect_worker,
            open_advisor(settings.advisor_address) if settings.advisor_address else None,
            _maintenance_access(settings) if settings.machines_address else None,
            settings.heartbeat_s,
            settings.capacity_grace_s,
            settings.reclaim_s,
            settings.stop_timeout_s,
        ),
        operator_keys=OperatorKeys(
            messages.CONFIGURATION_KEY,
            messages.ZONES_OUT_PREFIX,
            messages.decode_configuration,
            messages.MessageError,
        ),
        decode_submission=messages.decode_submission,
        decode_error=messages.MessageError,
        api_key_from_header=messages.api_key_from_header,
        load_settings=partial(load_instance_settings, path),
    )


def _maintenance_access(settings: InstanceSettings) -> MaintenanceAccess:
    return MaintenanceAccess(
        open_machines(settings.machines_address, settings.name),
        settings.maintenance_s,
        messages.WAVES_PREFIX,
        messages.WAVE_STATUS_PREFIX,
        messages.decode_wave,
        messages.encode_wave_status,
    )


async def _run(settings: InstanceSettings, path: str) -> None:
    await run_instance(settings, _platform_adapter(settings, path))


def main() -> None:
    """Run an instance with the settings file that `FOXTAILWELL_BOOT` names, until a signal."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_instance_settings(path)
    except ValidationError as error:
        print(error, file=sys.stderr)
        raise SystemExit(SETTINGS_EXIT_CODE) from error
    configure_logs("json", "INFO", stream=sys.stdout, instance=settings.name)
    anyio.run(_run, settings, path, backend="asyncio", backend_options={"use_uvloop": True})
