"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from foxtailwell.adapters.malformed import MALFORMED
from foxtailwell.core.errors import ValidationError, ValidationIssue
from foxtailwell.instance import InstanceSettings

__all__ = ["SETTINGS_VARIABLE", "load_instance_settings"]

SETTINGS_VARIABLE = "FOXTAILWELL_BOOT"
"""Environment variable that holds the path of the settings file."""


MIN_MS = 100
"""Shortest plausible duration of a field in milliseconds; a smaller one is likely in seconds."""

MAX_S = 86_400
"""Longest plausible duration of a field in seconds; a larger one is likely in milliseconds."""

_Milliseconds = Annotated[int, msgspec.Meta(ge=MIN_MS)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_S)]


class _Addresses(msgspec.Struct):
    front: str
    ready: str
    control: str = ""


class _Store(msgspec.Struct):
    address: str
    writes_per_s: float = 400
    reads_per_s: float = 2000
    max_value_bytes: Annotated[int, msgspec.Meta(ge=1)] = 2**20


class _CloudApi(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct):
    contact_ms: _Milliseconds = 3000
    grace_s: _Seconds = 6
    max_hold_ms: _Milliseconds = 10_000
    revoke_ms: _Milliseconds = 5000
    reclaim_ms: _Milliseconds = 3000
    stop_timeout_ms: _Milliseconds = 500
    status_s: _Seconds = 120
    maintenance_s: _Seconds = 2


class _SettingsFile(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Addresses
    port_range: tuple[int, int]
    platform: _Store
    recommendation: str | None = None
    cloud_api: _CloudApi | None = None
    heartbeat_ms: _Milliseconds = 1500
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_instance_settings(path: str) -> InstanceSettings:
    """Read and check the settings file; unknown fields are ignored.

    Args:
        path: Path of the file.

    Returns:
        The settings, with defaults for absent bounds.

    Raises:
        ValidationError: The file cannot be read, or a field is missing or invalid. The message
            names it.
    """
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=_SettingsFile, strict=False)
    except (OSError, *MALFORMED) as error:
        raise ValidationError(path, (_issue(error),)) from error
    return InstanceSettings(
        name=file.node_name,
        zone=file.zone,
        client_address=file.listen_addrs.front,
        readiness_address=file.listen_addrs.ready,
        metrics_address=f"{file.ip}:{file.port_range[0]}",
        store_address=file.platform.address,
        max_value_bytes=file.platform.max_value_bytes,
        advisor_address=file.recommendation or "",
        machines_address=file.cloud_api.address if file.cloud_api else "",
        grace_s=file.bounds.grace_s,
        max_hold_ms=file.bounds.max_hold_ms,
        revocation_ms=file.bounds.revoke_ms,
        status_s=file.bounds.status_s,
        maintenance_s=file.bounds.maintenance_s,
        heartbeat_s=file.heartbeat_ms / 1000,
        capacity_grace_s=(file.bounds.contact_ms + file.heartbeat_ms) / 1000,
        reclaim_s=file.bounds.reclaim_ms / 1000,
        stop_timeout_s=file.bounds.stop_timeout_ms / 1000,
    )


def _issue(error: Exception) -> ValidationIssue:
    if not isinstance(error, msgspec.ValidationError):
        return ValidationIssue("settings", str(error), "have the platform write the file again")
    found, _, field = str(error).partition(" - at ")
    remedy = "give each field, in the unit that its name ends with"
    return ValidationIssue(field.strip("`") or "$", found, remedy)
