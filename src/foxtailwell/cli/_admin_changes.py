"""Commands of `foxtailwell-admin` that change the configuration."""

from __future__ import annotations

import getpass
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

import cappa
import httpcore
import msgspec

from foxtailwell.cli import _exit_codes
from foxtailwell.cli._client import call, exit_unless_ok, print_json, print_table

__all__ = ["AccountCommand", "AsJson", "ClassCommand", "InstanceCommand", "SurviveZoneLoss", "Url"]
__all__ += ["ZoneCommand", "read_configuration"]

Url = Annotated[
    str,
    cappa.Arg(
        long="--url",
        default=cappa.Env("FOXTAILWELL_OPERATORS_URL", default="http://127.0.0.1:8081"),
        help="Base URL of the operators' interface of an entry daemon.",
    ),
]
Actor = Annotated[
    str,
    cappa.Arg(
        long="--actor",
        default=cappa.Env("FOXTAILWELL_ACTOR", default=""),
        help="Name for the audit trail; the login name by default.",
    ),
]
Revision = Annotated[
    int | None,
    cappa.Arg(
        long="--revision",
        help="Revision on which the change is based; the newest by default.",
    ),
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON for use in scripts.")]
AllowUnlisted = Annotated[
    bool, cappa.Arg(long="--allow-unlisted", help="Accept a name that is not in the instance list.")
]


@cappa.command(
    name="set",
    help="Create or change a class; omitted options keep their current value.",
    description=(
        "Examples:\n\n"
        "foxtailwell-admin class set brine-check --kind request --target-ms 300 --idempotent\n\n"
        "foxtailwell-admin class set convergence --kind job --target-ms 3600000"
    ),
)
@dataclass(frozen=True)
class SetClass:
    """Create a class, or change the given values of a class."""

    name: Annotated[str, cappa.Arg(help="Name of the class.")]
    url: Url
    actor: Actor
    kind: Annotated[
        Literal["request", "job"] | None,
        cappa.Arg(long=True, help="Whether the class is for requests or jobs."),
    ] = None
    target_ms: Annotated[
        int | None,
        cappa.Arg(
            long=True, help="Target time in milliseconds to the response, or to the start of a job."
        ),
    ] = None
    patience_ms: Annotated[
        int | None,
        cappa.Arg(long=True, help="Longest wait in milliseconds before refusal; 0 for the target."),
    ] = None
    idempotent: Annotated[
        bool | None,
        cappa.Arg(long=["--idempotent", "--no-idempotent"], help="Whether work may run twice."),
    ] = None
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        base = read_configuration(self.url)
        options = {
            "kind": self.kind,
            "target_ms": self.target_ms,
            "patience_ms": self.patience_ms,
            "idempotent": self.idempotent,
        }
        current = base["configuration"]["classes"].get(self.name)
        value = _merge_options(current or {"patience_ms": 0, "idempotent": False}, options)
        missing = [f"--{name.replace('_', '-')}" for name in options if name not in value]
        if missing:
            raise cappa.Exit(
                f"class {self.name} is new; give {', '.join(missing)}", code=_exit_codes.USAGE
            )
        return _submit_change(self, base, "class.set", self.name, value)


@cappa.command(
    name="delete",
    help="Delete a class; new work of this class is refused.",
    description="Example: foxtailwell-admin class delete brine-check",
)
@dataclass(frozen=True)
class DeleteClass:
    """Delete a class, so that new work of this class is refused."""

    name: Annotated[str, cappa.Arg(help="Name of the class.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        return _submit_change(self, None, "class.delete", self.name)


@cappa.command(
    name="list", help="List the classes.", description="Example: foxtailwell-admin class list"
)
@dataclass(frozen=True)
class ListClasses:
    """List the classes of work with their targets."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        columns = ("name", "kind", "target_ms", "patience_ms", "idempotent")
        return _print_section(self.url, "classes", columns, self.json)


@cappa.command(name="class", help="Classes of work and their targets.")
@dataclass(frozen=True)
class ClassCommand:
    """Group of the commands for classes of work."""

    command: cappa.Subcommands[SetClass | DeleteClass | ListClasses]


@cappa.command(
    name="set",
    help="Create or change a client account; omitted options keep their current value.",
    description=(
        "A guarantee is written as accelerators, or as accelerators x count.\n\n"
        "Examples:\n\n"
        "foxtailwell-admin account set cavern --guarantee 16 --guarantee 8x2 --quota 64\n\n"
        "foxtailwell-admin account set cavern --no-guarantees"
    ),
)
@dataclass(frozen=True)
class SetAccount:
    """Create a client account, or change the given values of an account."""

    name: Annotated[str, cappa.Arg(help="Name of the account.")]
    url: Url
    actor: Actor
    guarantee: Annotated[
        list[str], cappa.Arg(long="--guarantee", help="Guaranteed shape, such as 8x2.")
    ] = field(default_factory=list)
    no_guarantees: Annotated[
        bool, cappa.Arg(long="--no-guarantees", help="Remove all guaranteed shapes.")
    ] = False
    quota: Annotated[
        int | None, cappa.Arg(long=True, help="Maximum accelerators in use; 0 for no limit.")
    ] = None
    slots: Annotated[int | None, cappa.Arg(long=True, help="Guaranteed slots for requests.")] = None
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        base = read_configuration(self.url)
        shapes = [_parse_shape(text) for text in self.guarantee]
        options = {
            "guarantees": [] if self.no_guarantees else shapes or None,
            "quota_accelerators": self.quota,
            "guaranteed_slots": self.slots,
        }
        current = base["configuration"]["accounts"].get(self.name, {})
        return _submit_change(
            self, base, "account.set", self.name, _merge_options(current, options)
        )


@cappa.command(
    name="delete",
    help="Delete a client account; new work of this account is refused.",
    description="Example: foxtailwell-admin account delete cavern",
)
@dataclass(frozen=True)
class DeleteAccount:
    """Delete a client account, so that its new work is refused."""

    name: Annotated[str, cappa.Arg(help="Name of the account.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        return _submit_change(self, None, "account.delete", self.name)


@cappa.command(
    name="list",
    help="List the client accounts.",
    description="Example: foxtailwell-admin account list",
)
@dataclass(frozen=True)
class ListAccounts:
    """List the client accounts with their guarantees and quotas."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        columns = ("name", "guarantees", "quota_accelerators", "guaranteed_slots")
        return _print_section(self.url, "accounts", columns, self.json)


@cappa.command(name="account", help="Client accounts and their guarantees.")
@dataclass(frozen=True)
class AccountCommand:
    """Group of the commands for client accounts."""

    command: cappa.Subcommands[SetAccount | DeleteAccount | ListAccounts]


@cappa.command(
    name="out",
    help="Take an availability zone out of service.",
    description="Example: foxtailwell-admin zone out hengelo-a --reason 'cooling fails'",
)
@dataclass(frozen=True)
class ZoneOut:
    """Take an availability zone out of service, so that no work runs there."""

    name: Annotated[str, cappa.Arg(help="Name of the zone.")]
    url: Url
    actor: Actor
    reason: Annotated[str, cappa.Arg(long=True, help="Reason for the audit trail.")] = ""
    allow_unlisted: AllowUnlisted = False
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        value = {"reason": self.reason, "allow_unlisted": self.allow_unlisted}
        return _submit_change(self, None, "zone.out", self.name, value)


@cappa.command(
    name="back",
    help="Put an availability zone back into service.",
    description="Example: foxtailwell-admin zone back hengelo-a",
)
@dataclass(frozen=True)
class ZoneBack:
    """Put an availability zone back into service."""

    name: Annotated[str, cappa.Arg(help="Name of the zone.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        return _submit_change(self, None, "zone.back", self.name)


@cappa.command(name="zone", help="Availability zones.")
@dataclass(frozen=True)
class ZoneCommand:
    """Group of the commands for availability zones."""

    command: cappa.Subcommands[ZoneOut | ZoneBack]


@cappa.command(
    name="leave",
    help="Stop giving new work to an instance.",
    description="Example: foxtailwell-admin instance leave worker-17",
)
@dataclass(frozen=True)
class InstanceLeave:
    """Mark an instance as leaving, so that it gets no new work."""

    name: Annotated[str, cappa.Arg(help="Identifier in the instance list.")]
    url: Url
    actor: Actor
    allow_unlisted: AllowUnlisted = False
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        value = {"allow_unlisted": self.allow_unlisted}
        return _submit_change(self, None, "instance.leave", self.name, value)


@cappa.command(
    name="back",
    help="Give new work to an instance again.",
    description="Example: foxtailwell-admin instance back worker-17",
)
@dataclass(frozen=True)
class InstanceBack:
    """Remove the mark of an instance as leaving."""

    name: Annotated[str, cappa.Arg(help="Identifier in the instance list.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        return _submit_change(self, None, "instance.back", self.name)


@cappa.command(name="instance", help="Instances that get no new work because they leave the fleet.")
@dataclass(frozen=True)
class InstanceCommand:
    """Group of the commands for instances that leave the fleet."""

    command: cappa.Subcommands[InstanceLeave | InstanceBack]


@cappa.command(
    name="survive-zone-loss",
    help="Set whether the guarantees must still fit after the loss of one zone.",
    description="Example: foxtailwell-admin survive-zone-loss on",
)
@dataclass(frozen=True)
class SurviveZoneLoss:
    """Set whether the guarantees must still fit after the loss of one zone."""

    state: Annotated[Literal["on", "off"], cappa.Arg(help="Whether the guarantees must still fit.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        return _submit_change(self, None, "survive_zone_loss.set", "", self.state == "on")


def read_configuration(url: str) -> Any:
    """Return the configuration and its revision as the entry daemon sends them."""
    return exit_unless_ok(call(url, "GET", "/v1/config"))


def _merge_options(current: dict[str, Any], options: dict[str, Any]) -> dict[str, Any]:
    kept = {name: value for name, value in current.items() if name in options}
    return kept | {name: value for name, value in options.items() if value is not None}


def _parse_shape(text: str) -> dict[str, int]:
    accelerators, _, count = text.partition("x")
    try:
        return {"accelerators": int(accelerators), "count": int(count or "1")}
    except ValueError as error:
        raise cappa.Exit(
            f'guarantee "{text}": write accelerators or accelerators x count, such as 8x2',
            code=_exit_codes.USAGE,
        ) from error


def _submit_change(command: Any, base: Any, operation: str, subject: str, value: Any = None) -> int:
    """Send a change, based on the newest revision by default, and print the new revision."""
    revision = command.revision
    if revision is None:
        revision = (base or read_configuration(command.url))["revision"]
    body = {
        "expected_revision": revision,
        "actor": command.actor or getpass.getuser(),
        "operation": operation,
        "subject": subject,
        "value": value,
    }
    reply = exit_unless_ok(_post_change(command.url, msgspec.json.encode(body)))
    if command.json:
        print_json(reply)
    else:
        print(f"revision {reply['revision']}: {operation} {subject}".rstrip())
    return _exit_codes.OK


def _post_change(url: str, body: bytes) -> Any:
    try:
        return call(url, "POST", "/v1/config/changes", body=body, timeout_s=30)
    except cappa.Exit as exit_:
        cause = exit_.__cause__
        if isinstance(cause, httpcore.ConnectError | httpcore.ConnectTimeout):
            raise
        raise cappa.Exit(
            f"{url}: the response was lost and the change may be stored; "
            "remedy: look for the change in foxtailwell-admin audit",
            code=_exit_codes.OUTCOME_UNKNOWN,
        ) from cause


def _print_section(url: str, section: str, columns: tuple[str, ...], as_json: bool) -> int:
    base = read_configuration(url)
    entries = list(base["configuration"][section].values())
    if as_json:
        print_json({"revision": base["revision"], section: entries})
    else:
        rows = [[_format_cell(entry[column]) for column in columns] for entry in entries]
        print_table(f"{section}, revision {base['revision']}", columns, rows)
    return _exit_codes.OK


def _format_cell(value: Any) -> str:
    if isinstance(value, list):
        return " ".join(f"{shape['accelerators']}x{shape['count']}" for shape in value) or "-"
    return str(value)
