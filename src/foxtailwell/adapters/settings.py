"""Loads and validates the settings file of an instance, which is JSON with comments."""

from __future__ import annotations

import re
from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Any, Literal
from urllib.parse import urlsplit

import json5

from foxtailwell.adapters.addresses import split_address
from foxtailwell.adapters.validation import find_unsafe_value, structure_document
from foxtailwell.core.errors import ValidationError, ValidationIssue

__all__ = ["Endpoint", "LogSettings", "PlatformSettings", "Settings", "load_settings"]

MAX_SETTINGS_BYTES = 64_000
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and port to listen on; port 0 selects a free port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """URLs of the platform's services, with the store timeout and the polling interval."""

    store_url: str
    instance_list_url: str
    store_timeout_ms: int = 1000
    instance_list_interval_ms: int = 1000


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Output format and minimum level of the log."""

    form: Literal["json", "text"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon on one instance.

    Attributes:
        instance: Identifier of the instance, unique in the fleet.
        region: Region of the instance.
        availability_zone: Zone of the instance.
        platform: URLs of the platform's services.
        peers: Endpoint of the peer protocol.
        operators: Endpoint of the operators' HTTP interface and the metrics.
        callers: Endpoint of the callers' HTTP interface; the scheduler ignores it.
        seed_peers: `host:port` of peers that are asked for the configuration if neither the
            store nor the instance list responds.
        log: Output format and minimum level of the log.
        shutdown_grace_ms: Maximum time that a graceful shutdown waits for requests in progress.
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


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Args:
        path: Path of the file.

    Raises:
        ValidationError: The file is unreadable or invalid. Names the file, and lists all invalid
            values with their paths and remedies.
    """
    value = _parse_json5(_read_file(path), path)
    settings = structure_document(value, Settings, path)
    issues = _find_issues(settings)
    if issues:
        raise ValidationError(path, tuple(issues))
    return settings


def _read_file(path: str) -> str:
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise _file_error(
            path, f"{error.strerror}", "name a file that exists and is readable"
        ) from error
    if len(data) > MAX_SETTINGS_BYTES:
        raise _file_error(path, f"{len(data)} bytes", f"use at most {MAX_SETTINGS_BYTES} bytes")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise _file_error(path, f"invalid UTF-8 at byte {error.start}", "save as UTF-8") from error


def _parse_json5(text: str, path: str) -> Any:
    try:
        value = json5.loads(text, allow_duplicate_keys=False, parse_constant=_reject_constant)
    except RecursionError as error:
        raise _file_error(path, "nested too deeply", "reduce the nesting") from error
    except ValueError as error:
        raise _file_error(path, str(error), "correct the JSON syntax") from error
    issue = find_unsafe_value(value)
    if issue is not None:
        raise ValidationError(path, (issue,))
    return value


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a finite number")


def _file_error(path: str, found: str, remedy: str) -> ValidationError:
    return ValidationError(path, (ValidationIssue("$", found, remedy),))


def _find_issues(settings: Settings) -> list[ValidationIssue]:
    issues: list[ValidationIssue] = []
    for name in ("instance", "region", "availability_zone"):
        text = getattr(settings, name)
        if not _NAME_PATTERN.fullmatch(text):
            remedy = "use up to 63 letters, digits, dots, dashes or underscores"
            issues.append(ValidationIssue(f"$.{name}", f'"{text}"', remedy))
    for name in ("store_url", "instance_list_url"):
        url = getattr(settings.platform, name)
        if not _is_http_url(url):
            issues.append(
                ValidationIssue(f"$.platform.{name}", f'"{url}"', "use http://IP-address:port")
            )
    for name in ("peers", "operators", "callers"):
        endpoint = getattr(settings, name)
        if endpoint is not None:
            issues += _endpoint_issues(f"$.{name}", endpoint)
    for index, peer in enumerate(settings.seed_peers):
        if not _is_host_port(peer):
            issues.append(
                ValidationIssue(f"$.seed_peers[{index}]", f'"{peer}"', "use IP-address:port")
            )
    return issues + _range_issues(settings)


def _endpoint_issues(path: str, endpoint: Endpoint) -> list[ValidationIssue]:
    issues = []
    if not _is_ip_address(endpoint.host):
        issues.append(ValidationIssue(f"{path}.host", f'"{endpoint.host}"', "use an IP address"))
    if not 0 <= endpoint.port <= 65_535:
        issues.append(ValidationIssue(f"{path}.port", f"{endpoint.port}", "use 0 to 65535"))
    return issues


def _range_issues(settings: Settings) -> list[ValidationIssue]:
    limits = (
        ("$.platform.store_timeout_ms", settings.platform.store_timeout_ms, 50, 60_000),
        (
            "$.platform.instance_list_interval_ms",
            settings.platform.instance_list_interval_ms,
            100,
            60_000,
        ),
        ("$.shutdown_grace_ms", settings.shutdown_grace_ms, 0, 3_600_000),
    )
    return [
        ValidationIssue(path, f"{value}", f"use {low} to {high}")
        for path, value, low, high in limits
        if not low <= value <= high
    ]


def _is_ip_address(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def _is_http_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme == "http" and bool(parts.port) and _is_ip_address(parts.hostname or "")
    except ValueError:
        return False


def _is_host_port(text: str) -> bool:
    parts = split_address(text)
    return parts is not None and _is_ip_address(parts[0].strip("[]"))
