"""`foxtailwell-admin`: classes, accounts, zones, status, explanations and the audit trail."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated, Any
from urllib.parse import quote

import cappa
import msgspec

from foxtailwell.adapters.settings import load_settings
from foxtailwell.cli import _exit_codes
from foxtailwell.cli._admin_changes import (
    AccountCommand,
    AsJson,
    ClassCommand,
    InstanceCommand,
    SurviveZoneLoss,
    Url,
    ZoneCommand,
    read_configuration,
)
from foxtailwell.cli._client import call, exit_unless_ok, print_json, print_table
from foxtailwell.core.errors import ValidationError

__all__ = ["main"]

SchedulerUrl = Annotated[
    str,
    cappa.Arg(
        long="--scheduler-url",
        default=cappa.Env("FOXTAILWELL_SCHEDULER_URL", default="http://127.0.0.1:8082"),
        help="Base URL of the operators' interface of a scheduler daemon.",
    ),
]


@cappa.command(
    name="status",
    help="Show instances, zones, and the revision that each daemon runs.",
    description="Example: foxtailwell-admin status --json",
)
@dataclass(frozen=True)
class Status:
    """Show instances, zones and peers as one daemon sees them."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        status = _get(self.url, "/v1/status")
        if self.json:
            print_json(status)
            return _exit_codes.OK
        store = "available" if status["store_is_available"] else "does not respond"
        print(f"{status['daemon']}: revision {status['revision']}, store {store}")
        _print_rows("Instances", ("role", "state", "count"), status["instances"])
        zones = [{**z, "state": "out" if z["out"] else "in service"} for z in status["zones"]]
        columns = ("zone", "state", "workers", "accelerators", "minions", "slots")
        _print_rows("Zones", columns, zones)
        columns = ("id", "zone", "revision", "reply_age_s", "queue_length", "in_flight")
        _print_rows("Peers", columns, status["peers"])
        return _exit_codes.OK


@cappa.command(
    name="queue",
    help="Show waiting requests of one entry daemon by class and account.",
    description="Example: foxtailwell-admin queue",
)
@dataclass(frozen=True)
class Queue:
    """Show the requests that wait in the queue of an entry daemon."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        queue = _get(self.url, "/v1/status")["queue"]
        columns = ("work_class", "account", "waiting_count")
        return _print("Waiting requests", columns, queue, self.json)


@cappa.command(
    name="targets",
    help="Show how much work met the target of its class since the entry daemon started.",
    description="Example: foxtailwell-admin targets",
)
@dataclass(frozen=True)
class Targets:
    """Show how much work met its target since the entry daemon started."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        rows = [
            {**row, "share": f"{row['met'] / max(1, row['met'] + row['missed']):.4f}"}
            for row in _get(self.url, "/v1/status")["targets"]
        ]
        return _print("Targets met", ("class", "met", "missed", "share"), rows, self.json)


@cappa.command(
    name="fragmentation",
    help="Show free accelerators and the largest gang that could start, by zone.",
    description="Example: foxtailwell-admin fragmentation",
)
@dataclass(frozen=True)
class Fragmentation:
    """Show free accelerators and the largest gang that could start, by zone."""

    scheduler_url: SchedulerUrl
    json: AsJson = False

    def __call__(self) -> int:
        value = _get(self.scheduler_url, "/v1/fragmentation")
        if self.json:
            print_json(value)
            return _exit_codes.OK
        title = f"Fragmentation {value['fragmentation']:.3f}"
        _print_rows(title, ("zone", "free_accelerators", "largest_gang"), value["zones"])
        return _exit_codes.OK


@cappa.command(
    name="job",
    help="Explain the state of a job and why it waits.",
    description="Example: foxtailwell-admin explain job j-0123456789abcdef01234567",
)
@dataclass(frozen=True)
class ExplainJob:
    """Explain the state of a job, and why it waits."""

    id: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    scheduler_url: SchedulerUrl
    json: AsJson = False

    def __call__(self) -> int:
        value = _get(self.scheduler_url, f"/v1/jobs/{quote(self.id, safe='')}/explain")
        return _print_fields(value, self.json)


@cappa.command(
    name="request",
    help="Explain the outcome of a request that this entry daemon handled.",
    description="Example: foxtailwell-admin explain request i-1-0123456789ab-1f",
)
@dataclass(frozen=True)
class ExplainRequest:
    """Explain the outcome of a request that an entry daemon handled."""

    id: Annotated[str, cappa.Arg(help="Identifier from Foxtailwell-Request-Id.")]
    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        value = _get(self.url, f"/v1/requests/{quote(self.id, safe='')}/explain")
        return _print_fields(value, self.json)


@cappa.command(name="explain", help="Explain a job or a request.")
@dataclass(frozen=True)
class Explain:
    """Group of the commands that explain a job or a request."""

    command: cappa.Subcommands[ExplainJob | ExplainRequest]


@cappa.command(
    name="audit",
    help="Show accepted changes, newest first.",
    description="Example: foxtailwell-admin audit --limit 20 --before 1200",
)
@dataclass(frozen=True)
class Audit:
    """Show the audit trail of the configuration, newest change first."""

    url: Url
    limit: Annotated[int, cappa.Arg(long=True, help="Maximum number of changes.")] = 50
    before: Annotated[int, cappa.Arg(long=True, help="Only changes before this revision.")] = 0
    json: AsJson = False

    def __call__(self) -> int:
        changes = _get(self.url, f"/v1/audit?limit={self.limit}&before={self.before}")["changes"]
        rows = (
            changes
            if self.json
            else [{**c, "time": _format_time(c["at_unix_ms"])} for c in changes]
        )
        columns = ("revision", "time", "actor", "operation", "subject", "before", "after")
        return _print("Changes", columns, rows, self.json)


@cappa.command(
    name="check",
    help="Check a settings file without starting a daemon.",
    description="Example: foxtailwell-admin settings check /etc/foxtailwell/settings.jsonc",
)
@dataclass(frozen=True)
class CheckSettings:
    """Check a settings file without starting a daemon."""

    file: Annotated[str, cappa.Arg(help="Path of a file in JSON with comments.")]
    json: AsJson = False

    def __call__(self) -> int:
        """Print every invalid value with its remedy."""
        try:
            load_settings(self.file)
        except ValidationError as error:
            issues = msgspec.to_builtins(error.issues)
            if self.json:
                print_json({"file": self.file, "valid": False, "issues": issues})
            else:
                _print_rows(f"{self.file} is invalid", ("path", "found", "remedy"), issues)
            return _exit_codes.USAGE
        if self.json:
            print_json({"file": self.file, "valid": True, "issues": []})
        else:
            print(f"{self.file} is valid")
        return _exit_codes.OK


@cappa.command(name="settings", help="Settings files.")
@dataclass(frozen=True)
class SettingsCommand:
    """Group of the commands for settings files."""

    command: cappa.Subcommands[CheckSettings]


@cappa.command(
    name="show",
    help="Print the configuration as JSON.",
    description="Example: foxtailwell-admin config show",
)
@dataclass(frozen=True)
class ShowConfiguration:
    """Show the whole configuration with its revision."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        """Print the configuration; `--json` prints it on one line."""
        value = read_configuration(self.url)
        if self.json:
            print_json(value)
        else:
            print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
        return _exit_codes.OK


@cappa.command(name="config", help="The whole configuration.")
@dataclass(frozen=True)
class ConfigurationCommand:
    """Group of the commands for the whole configuration."""

    command: cappa.Subcommands[ShowConfiguration]


@cappa.command(
    name="foxtailwell-admin",
    help="Operate foxtailwell: classes, accounts, guarantees, zones, status and explanations.",
    description=(
        "Exit code 0: success, 1: failed, 2: invalid usage or settings, 3: conflict with another "
        "operator's change, 4: unavailable, 5: outcome unknown.\n\n"
        "Examples:\n\n"
        "foxtailwell-admin zone out hengelo-a --reason 'cooling fails'\n\n"
        "foxtailwell-admin status"
    ),
)
@dataclass(frozen=True)
class Admin:
    """The command `foxtailwell-admin` for operators."""

    command: cappa.Subcommands[
        ClassCommand
        | AccountCommand
        | ZoneCommand
        | InstanceCommand
        | SurviveZoneLoss
        | Status
        | Queue
        | Targets
        | Fragmentation
        | Explain
        | Audit
        | SettingsCommand
        | ConfigurationCommand
    ]


def _get(url: str, path: str) -> Any:
    return exit_unless_ok(call(url, "GET", path))


def _print(title: str, columns: tuple[str, ...], rows: list[Any], as_json: bool) -> int:
    if as_json:
        print_json(rows)
    else:
        _print_rows(title, columns, rows)
    return _exit_codes.OK


def _print_rows(title: str, columns: tuple[str, ...], rows: list[Any]) -> None:
    print_table(title, columns, [[_format_cell(row[column]) for column in columns] for row in rows])


def _print_fields(value: dict[str, Any], as_json: bool) -> int:
    if as_json:
        print_json(value)
    else:
        print_table(
            value.get("id", ""),
            ("field", "value"),
            [[k, _format_cell(v)] for k, v in value.items()],
        )
    return _exit_codes.OK


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()


def _format_time(at_unix_ms: int) -> str:
    return datetime.fromtimestamp(at_unix_ms / 1000, UTC).isoformat(timespec="seconds")


def main() -> None:
    """Run `foxtailwell-admin` with the arguments of the process; its help lists the exit codes."""
    sys.exit(cappa.invoke(Admin))


if __name__ == "__main__":
    main()
