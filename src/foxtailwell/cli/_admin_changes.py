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
        help="Operators' interface of an entry daemon.",
    ),
]
Actor = Annotated[
    str,
    cappa.Arg(
        long="--actor",
        default=cappa.Env("FOXTAILWELL_ACTOR", default=""),
        help="Who makes the change; the login name by default.",
    ),
]
Revision = Annotated[
    int | None,
    cappa.Arg(
        long="--revision",
        help="Revision on which the change is based; the newest by default.",
    ),
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON for scripts.")]
AllowUnlisted = Annotated[
    bool, cappa.Arg(long="--allow-unlisted", help="Accept a name the instance list lacks.")
]


@cappa.command(
    name="set",
    help="Create or change a class; options that are left out keep their present value.",
    description=(
        "Examples:\n\n"
        "foxtailwell-admin class set brine-check --kind request --target-ms 300 --idempotent\n\n"
        "foxtailwell-admin class set convergence --kind job --target-ms 3600000"
    ),
)
@dataclass(frozen=True)
class SetClass:
    """Create or change a class."""

    name: Annotated[str, cappa.Arg(help="Name of the class.")]
    url: Url
    actor: Actor
    kind: Annotated[
        Literal["request", "job"] | None, cappa.Arg(long=True, help="Requests or jobs.")
    ] = None
    target_ms: Annotated[
        int | None, cappa.Arg(long=True, help="Time to the response, or to the start of a job.")
    ] = None
    patience_ms: Annotated[
        int | None, cappa.Arg(long=True, help="Longest wait before refusal; 0 is no limit.")
    ] = None
    idempotent: Annotated[
        bool | None,
        cappa.Arg(long=["--idempotent", "--no-idempotent"], help="Whether work may run twice."),
    ] = None
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        base = read_configuration(self.url)
        given = {
            "kind": self.kind,
            "target_ms": self.target_ms,
            "patience_ms": self.patience_ms,
            "idempotent": self.idempotent,
        }
        present = base["configuration"]["classes"].get(self.name)
        value = _merged(present or {"patience_ms": 0, "idempotent": False}, given)
        missing = [f"--{name.replace('_', '-')}" for name in given if name not in value]
        if missing:
            raise cappa.Exit(
                f"class {self.name} is new; give {', '.join(missing)}", code=_exit_codes.USAGE
            )
        return _change(self, base, "class.set", self.name, value)


@cappa.command(
    name="delete",
    help="Delete a class; new work of it is refused.",
    description="Example: foxtailwell-admin class delete brine-check",
)
@dataclass(frozen=True)
class DeleteClass:
    """Delete a class."""

    name: Annotated[str, cappa.Arg(help="Name of the class.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        return _change(self, None, "class.delete", self.name)


@cappa.command(
    name="list", help="List the classes.", description="Example: foxtailwell-admin class list"
)
@dataclass(frozen=True)
class ListClasses:
    """List the classes."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        """Print the classes."""
        columns = ("name", "kind", "target_ms", "patience_ms", "idempotent")
        return _list(self.url, "classes", columns, self.json)


@cappa.command(name="class", help="Classes of work and their targets.")
@dataclass(frozen=True)
class ClassCommand:
    """Classes of work."""

    command: cappa.Subcommands[SetClass | DeleteClass | ListClasses]


@cappa.command(
    name="set",
    help="Create or change a client account; options that are left out keep their value.",
    description=(
        "A guarantee is written as accelerators, or as accelerators x count.\n\n"
        "Examples:\n\n"
        "foxtailwell-admin account set cavern --guarantee 16 --guarantee 8x2 --quota 64\n\n"
        "foxtailwell-admin account set cavern --no-guarantees"
    ),
)
@dataclass(frozen=True)
class SetAccount:
    """Create or change an account."""

    name: Annotated[str, cappa.Arg(help="Name of the account.")]
    url: Url
    actor: Actor
    guarantee: Annotated[
        list[str], cappa.Arg(long="--guarantee", help="Guaranteed shape, such as 8x2.")
    ] = field(default_factory=list)
    no_guarantees: Annotated[
        bool, cappa.Arg(long="--no-guarantees", help="Remove all guaranteed shapes.")
    ] = False
    quota: Annotated[int | None, cappa.Arg(long=True, help="Most accelerators; 0 is no limit.")] = (
        None
    )
    slots: Annotated[int | None, cappa.Arg(long=True, help="Guaranteed slots for requests.")] = None
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        base = read_configuration(self.url)
        shapes = [_read_shape(text) for text in self.guarantee]
        given = {
            "guarantees": [] if self.no_guarantees else shapes or None,
            "quota_accelerators": self.quota,
            "guaranteed_slots": self.slots,
        }
        present = base["configuration"]["accounts"].get(self.name, {})
        return _change(self, base, "account.set", self.name, _merged(present, given))


@cappa.command(
    name="delete",
    help="Delete a client account; new work of it is refused.",
    description="Example: foxtailwell-admin account delete cavern",
)
@dataclass(frozen=True)
class DeleteAccount:
    """Delete an account."""

    name: Annotated[str, cappa.Arg(help="Name of the account.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        return _change(self, None, "account.delete", self.name)


@cappa.command(
    name="list",
    help="List the client accounts.",
    description="Example: foxtailwell-admin account list",
)
@dataclass(frozen=True)
class ListAccounts:
    """List the accounts."""

    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        """Print the accounts."""
        columns = ("name", "guarantees", "quota_accelerators", "guaranteed_slots")
        return _list(self.url, "accounts", columns, self.json)


@cappa.command(name="account", help="Client accounts and their guarantees.")
@dataclass(frozen=True)
class AccountCommand:
    """Client accounts."""

    command: cappa.Subcommands[SetAccount | DeleteAccount | ListAccounts]


@cappa.command(
    name="out",
    help="Take an availability zone out of service.",
    description="Example: foxtailwell-admin zone out hengelo-a --reason 'cooling fails'",
)
@dataclass(frozen=True)
class ZoneOut:
    """Take a zone out."""

    name: Annotated[str, cappa.Arg(help="Name of the zone.")]
    url: Url
    actor: Actor
    reason: Annotated[str, cappa.Arg(long=True, help="Reason for the audit trail.")] = ""
    allow_unlisted: AllowUnlisted = False
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        value = {"reason": self.reason, "allow_unlisted": self.allow_unlisted}
        return _change(self, None, "zone.out", self.name, value)


@cappa.command(
    name="back",
    help="Put an availability zone back into service.",
    description="Example: foxtailwell-admin zone back hengelo-a",
)
@dataclass(frozen=True)
class ZoneBack:
    """Put a zone back."""

    name: Annotated[str, cappa.Arg(help="Name of the zone.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        return _change(self, None, "zone.back", self.name)


@cappa.command(name="zone", help="Availability zones.")
@dataclass(frozen=True)
class ZoneCommand:
    """Availability zones."""

    command: cappa.Subcommands[ZoneOut | ZoneBack]


@cappa.command(
    name="leave",
    help="Give an instance no more work.",
    description="Example: foxtailwell-admin instance leave worker-17",
)
@dataclass(frozen=True)
class InstanceLeave:
    """Mark an instance as leaving."""

    name: Annotated[str, cappa.Arg(help="Identifier in the instance list.")]
    url: Url
    actor: Actor
    allow_unlisted: AllowUnlisted = False
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        value = {"allow_unlisted": self.allow_unlisted}
        return _change(self, None, "instance.leave", self.name, value)


@cappa.command(
    name="back",
    help="Give an instance work again.",
    description="Example: foxtailwell-admin instance back worker-17",
)
@dataclass(frozen=True)
class InstanceBack:
    """Return an instance."""

    name: Annotated[str, cappa.Arg(help="Identifier in the instance list.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        return _change(self, None, "instance.back", self.name)


@cappa.command(name="instance", help="Instances that leave the fleet.")
@dataclass(frozen=True)
class InstanceCommand:
    """Instances."""

    command: cappa.Subcommands[InstanceLeave | InstanceBack]


@cappa.command(
    name="survive-zone-loss",
    help="Choose whether guarantees must hold with a zone out.",
    description="Example: foxtailwell-admin survive-zone-loss on",
)
@dataclass(frozen=True)
class SurviveZoneLoss:
    """Choose whether guarantees must survive the loss of a zone."""

    state: Annotated[Literal["on", "off"], cappa.Arg(help="Whether they must.")]
    url: Url
    actor: Actor
    revision: Revision = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the change."""
        return _change(self, None, "survive_zone_loss.set", "", self.state == "on")


def read_configuration(url: str) -> Any:
    """Return the configuration with its revision."""
    return exit_unless_ok(call(url, "GET", "/v1/config"))


def _merged(present: dict[str, Any], given: dict[str, Any]) -> dict[str, Any]:
    kept = {name: value for name, value in present.items() if name in given}
    return kept | {name: value for name, value in given.items() if value is not None}


def _read_shape(text: str) -> dict[str, int]:
    accelerators, _, count = text.partition("x")
    try:
        return {"accelerators": int(accelerators), "count": int(count or "1")}
    except ValueError as error:
        raise cappa.Exit(
            f'guarantee "{text}": write accelerators or accelerators x count, such as 8x2',
            code=_exit_codes.USAGE,
        ) from error


def _change(command: Any, base: Any, operation: str, subject: str, value: Any = None) -> int:
    """Send a change and print what became of it."""
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
    reply = exit_unless_ok(_send_change(command.url, msgspec.json.encode(body)))
    if command.json:
        print_json(reply)
    else:
        print(f"revision {reply['revision']}: {operation} {subject}".rstrip())
    return _exit_codes.OK


def _send_change(url: str, body: bytes) -> Any:
    try:
        return call(url, "POST", "/v1/config/changes", body=body, timeout_s=30)
    except cappa.Exit as exit_:
        cause = exit_.__cause__
        if isinstance(cause, httpcore.ConnectError | httpcore.ConnectTimeout):
            raise
        raise cappa.Exit(
            f"{url}: the response was lost and the change may be stored; "
            "remedy: foxtailwell-admin audit shows whether it is",
            code=_exit_codes.OUTCOME_UNKNOWN,
        ) from cause


def _list(url: str, part: str, columns: tuple[str, ...], as_json: bool) -> int:
    base = read_configuration(url)
    entries = list(base["configuration"][part].values())
    if as_json:
        print_json({"revision": base["revision"], part: entries})
    else:
        rows = [[_cell(entry[column]) for column in columns] for entry in entries]
        print_table(f"{part}, revision {base['revision']}", columns, rows)
    return _exit_codes.OK


def _cell(value: Any) -> str:
    if isinstance(value, list):
        return " ".join(f"{shape['accelerators']}x{shape['count']}" for shape in value) or "-"
    return str(value)
