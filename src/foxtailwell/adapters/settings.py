"""Settings of one instance: JSON with comments, checked at start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

__all__ = ["Endpoint", "LogSettings", "PlatformSettings", "Settings"]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to listen on; port 0 takes a free port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are."""

    store_url: str
    instance_list_url: str
    store_timeout_ms: int = 1000
    instance_list_interval_ms: int = 1000


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Form and level of the log."""

    form: Literal["json", "text"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon on one instance.

    Attributes:
        instance: Identifier of the instance, unique in the fleet.
        region: Region of the instance.
        availability_zone: Zone of the instance.
        platform: Where the platform's services are.
        peers: Endpoint of the peer protocol.
        operators: Endpoint of the operators' HTTP interface and the metrics.
        callers: Endpoint of the callers' HTTP interface; the scheduler ignores it.
        seed_peers: `host:port` of peers that are asked for the configuration when neither the
            store nor the instance list responds.
        log: Form and level of the log.
        shutdown_grace_ms: Longest time that a graceful shutdown waits for requests in progress.
    """

    instance: str
    region: str
    availability_zone: str
    platform: PlatformSettings
    peers: Endpoint
    operators: Endpoint
    callers: Endpoint | None = None
    seed_peers: tuple[str, ...] = ()
    log: LogSettings = LogSettings()
    shutdown_grace_ms: int = 30_000
