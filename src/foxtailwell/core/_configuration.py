"""The configuration that operators change: classes of work, client accounts, zones."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, is_dataclass, replace
from typing import Any, Literal

from foxtailwell.core.errors import ConflictError, ValidationError, ValidationIssue

CONFIGURATION_SCHEMA_VERSION = 1
AUDIT_SCHEMA_VERSION = 1

KEPT_CHANGE_COUNT = 200
AUDIT_BLOCK_COUNT = 100
"""Changes in one audit document."""

AUDIT_DOCUMENT_COUNT = 64
"""Audit documents; the oldest is overwritten, because the store has no call that deletes."""

MAX_CLASSES = 200
MAX_ACCOUNTS = 500
MAX_LEAVING_INSTANCES = 500
MAX_SHAPES = 8
MAX_TIME_MS = 30 * 24 * 3_600_000
MAX_ACCELERATORS = 10_000
MAX_TEXT_CHARACTERS = 200
"""The limits keep a full document with 200 changes below the 1 MB that the store accepts."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_INSTANCE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,126}")
_NAME_REMEDY = "use up to 63 letters, digits, dots, dashes or underscores"


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its target.

    Attributes:
        name: Name used by callers.
        kind: Whether the class is for requests or for jobs.
        target_ms: Completion time of a request, or time until a job starts.
        patience_ms: Longest time that work may wait before it is refused; 0 is no limit.
        idempotent: Whether the work may run more than once.
    """

    name: str
    kind: Literal["request", "job"]
    target_ms: int
    patience_ms: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Shape:
    """A guaranteed gang of adjacent accelerators, `count` times."""

    accelerators: int
    count: int = 1


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its guarantees and its quota."""

    name: str
    guarantees: tuple[Shape, ...] = ()
    quota_accelerators: int = 0
    guaranteed_slots: int = 0


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """A zone that operators have taken out of service."""

    zone: str
    since_unix_ms: int
    actor: str
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change, kept for the audit trail."""

    revision: int
    at_unix_ms: int
    actor: str
    operation: str
    subject: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration at one revision."""

    schema_version: int = CONFIGURATION_SCHEMA_VERSION
    revision: int = 0
    survive_zone_loss: bool = False
    classes: dict[str, WorkClass] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] = field(default_factory=dict)
    zones_out: dict[str, ZoneOut] = field(default_factory=dict)
    leaving_instances: tuple[str, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class AuditDocument:
    """Older changes that left the configuration document."""

    schema_version: int = AUDIT_SCHEMA_VERSION
    first_revision: int = 0
    changes: tuple[ChangeRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class SetClass:
    """Create or change a class."""

    work_class: WorkClass


@dataclass(frozen=True, slots=True)
class DeleteClass:
    """Delete a class; new work of it is refused."""

    name: str


@dataclass(frozen=True, slots=True)
class SetAccount:
    """Create or change a client account with its guarantees."""

    account: ClientAccount


@dataclass(frozen=True, slots=True)
class SetGuarantees:
    """Change only the guaranteed shapes of an account."""

    name: str
    guarantees: tuple[Shape, ...]


@dataclass(frozen=True, slots=True)
class DeleteAccount:
    """Delete an account; new work of it is refused."""

    name: str


@dataclass(frozen=True, slots=True)
class SetSurviveZoneLoss:
    """Choose whether guarantees must hold with the largest zone out."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class TakeZoneOut:
    """Take a zone out of service.

    Attributes:
        zone: Zone to take out.
        reason: Reason for the audit trail.
        allow_unlisted: Accept a zone that the instance list does not name, such as a zone that is
            lost at present.
    """

    zone: str
    reason: str = ""
    allow_unlisted: bool = False


@dataclass(frozen=True, slots=True)
class ReturnZone:
    """Put a zone back into service."""

    zone: str


@dataclass(frozen=True, slots=True)
class MarkInstanceLeaving:
    """Give an instance no more work."""

    instance: str
    allow_unlisted: bool = False


@dataclass(frozen=True, slots=True)
class ReturnInstance:
    """Give an instance work again."""

    instance: str


ConfigurationOperation = (
    SetClass
    | DeleteClass
    | SetAccount
    | SetGuarantees
    | DeleteAccount
    | SetSurviveZoneLoss
    | TakeZoneOut
    | ReturnZone
    | MarkInstanceLeaving
    | ReturnInstance
)

OPERATION_NAMES: dict[type[ConfigurationOperation], str] = {
    SetClass: "class.set",
    DeleteClass: "class.delete",
    SetAccount: "account.set",
    SetGuarantees: "guarantees.set",
    DeleteAccount: "account.delete",
    SetSurviveZoneLoss: "survive_zone_loss.set",
    TakeZoneOut: "zone.out",
    ReturnZone: "zone.back",
    MarkInstanceLeaving: "instance.leave",
    ReturnInstance: "instance.back",
}


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change and the revision on which it is based."""

    expected_revision: int
    actor: str
    operation: ConfigurationOperation


@dataclass(frozen=True, slots=True)
class KnownFleet:
    """What the instance list names; an empty part is unknown and not checked.

    Attributes:
        zones: Availability zones.
        instances: Identifiers of all instances.
        slots: Slots of all minions.
    """

    zones: frozenset[str] = frozenset()
    instances: frozenset[str] = frozenset()
    slots: int = 0


GuaranteeCheck = Callable[[Configuration], tuple[str, ...]]
"""Returns what does not fit when the guaranteed shapes are packed together."""


def apply_change(
    configuration: Configuration,
    change: Change,
    *,
    now_unix_ms: int,
    fleet: KnownFleet,
    check_guarantees: GuaranteeCheck,
) -> Configuration:
    """Return the configuration after a change, with the next revision and a change record.

    Args:
        configuration: Configuration that the store holds.
        change: Change of an operator.
        now_unix_ms: Time for the audit trail.
        fleet: What the instance list names.
        check_guarantees: Packing check. It is asked only about changes that ask for more, so
            that a guarantee can be lowered and a zone taken out when capacity is short.

    Returns:
        The new configuration; it may hold more changes than are kept, see `split_changes`.

    Raises:
        ConflictError: The change is based on another revision.
        ValidationError: Lists everything that is wrong with the change.
    """
    if change.expected_revision != configuration.revision:
        raise ConflictError(
            f"the change is based on revision {change.expected_revision}, "
            f"the configuration has revision {configuration.revision}",
            f"read revision {configuration.revision} and repeat the change on it",
            configuration.revision,
        )
    issues = _text_issues(change) + _operation_issues(configuration, change.operation, fleet)
    if issues:
        raise ValidationError("change", tuple(issues))
    changed = _with_operation(configuration, change, now_unix_ms)
    issues = list(validate_configuration(changed))
    issues += _slot_issues(configuration, changed, fleet)
    if not issues and _asks_for_more(configuration, change.operation):
        remedy = "lower a guarantee, or add workers first"
        found = check_guarantees(changed)
        issues = [ValidationIssue("$.value.guarantees", text, remedy) for text in found]
    if issues:
        raise ValidationError("change", tuple(issues))
    return _with_record(configuration, changed, change, now_unix_ms)


def validate_configuration(configuration: Configuration) -> tuple[ValidationIssue, ...]:
    """Return everything that is wrong in a configuration, whatever the fleet looks like."""
    issues: list[ValidationIssue] = []
    for name, work_class in configuration.classes.items():
        issues += _class_issues(f"$.classes.{name}", name, work_class)
    for name, account in configuration.accounts.items():
        issues += _account_issues(f"$.accounts.{name}", name, account)
    for path, count, limit in (
        ("$.classes", len(configuration.classes), MAX_CLASSES),
        ("$.accounts", len(configuration.accounts), MAX_ACCOUNTS),
        ("$.leaving_instances", len(configuration.leaving_instances), MAX_LEAVING_INSTANCES),
    ):
        if count > limit:
            issues.append(ValidationIssue(path, f"{count} entries", f"keep at most {limit}"))
    return tuple(issues)


def split_changes(
    configuration: Configuration,
) -> tuple[AuditDocument | None, Configuration]:
    """Return the changes that must go to an audit document first, and the rest.

    The audit document is written before the configuration that lacks its changes, so that no
    change is lost when the writer is killed between the two writes.
    """
    if len(configuration.changes) <= KEPT_CHANGE_COUNT:
        return None, configuration
    old = configuration.changes[:AUDIT_BLOCK_COUNT]
    kept = replace(configuration, changes=configuration.changes[AUDIT_BLOCK_COUNT:])
    return AuditDocument(first_revision=old[0].revision, changes=old), kept


def audit_document_number(first_revision: int) -> int:
    """Return the number of the audit document for a block of changes."""
    return (first_revision // AUDIT_BLOCK_COUNT) % AUDIT_DOCUMENT_COUNT


def operation_subject(operation: ConfigurationOperation) -> str:
    """Return what an operation changes."""
    match operation:
        case SetClass():
            return operation.work_class.name
        case SetAccount():
            return operation.account.name
        case DeleteClass() | DeleteAccount() | SetGuarantees():
            return operation.name
        case TakeZoneOut() | ReturnZone():
            return operation.zone
        case MarkInstanceLeaving() | ReturnInstance():
            return operation.instance
        case SetSurviveZoneLoss():
            return "survive_zone_loss"


def _text_issues(change: Change) -> list[ValidationIssue]:
    issues = []
    subject = operation_subject(change.operation)
    is_instance = isinstance(change.operation, MarkInstanceLeaving | ReturnInstance)
    if not (_INSTANCE if is_instance else _NAME).fullmatch(subject):
        issues.append(ValidationIssue("$.subject", f'"{subject}"', _NAME_REMEDY))
    if not 1 <= len(change.actor) <= MAX_TEXT_CHARACTERS:
        remedy = f"name who makes the change in 1 to {MAX_TEXT_CHARACTERS} characters"
        issues.append(ValidationIssue("$.actor", f"{len(change.actor)} characters", remedy))
    reason = change.operation.reason if isinstance(change.operation, TakeZoneOut) else ""
    if len(reason) > MAX_TEXT_CHARACTERS:
        remedy = f"use at most {MAX_TEXT_CHARACTERS} characters"
        issues.append(ValidationIssue("$.value.reason", f"{len(reason)} characters", remedy))
    return issues


def _operation_issues(
    configuration: Configuration, operation: ConfigurationOperation, fleet: KnownFleet
) -> list[ValidationIssue]:
    """Return why an operation does not fit the present state."""
    match operation:
        case DeleteClass(name):
            return _absent_issue("class", name, name in configuration.classes)
        case DeleteAccount(name) | SetGuarantees(name):
            return _absent_issue("account", name, name in configuration.accounts)
        case ReturnZone(zone):
            return _absent_issue("zone out of service", zone, zone in configuration.zones_out)
        case ReturnInstance(instance):
            is_leaving = instance in configuration.leaving_instances
            return _absent_issue("leaving instance", instance, is_leaving)
        case TakeZoneOut(zone):
            is_known = operation.allow_unlisted or not fleet.zones or zone in fleet.zones
            known = ", ".join(sorted(fleet.zones))
            return _new_mark_issues(zone, zone in configuration.zones_out, is_known, known)
        case MarkInstanceLeaving(instance):
            is_known = (
                operation.allow_unlisted or not fleet.instances or instance in fleet.instances
            )
            is_marked = instance in configuration.leaving_instances
            return _new_mark_issues(instance, is_marked, is_known, "the instance list")
        case _:
            return []


def _absent_issue(kind: str, name: str, is_present: bool) -> list[ValidationIssue]:
    if is_present:
        return []
    return [ValidationIssue("$.subject", f'no {kind} "{name}"', "read the configuration again")]


def _new_mark_issues(
    name: str, is_marked: bool, is_known: bool, known: str
) -> list[ValidationIssue]:
    if is_marked:
        return [ValidationIssue("$.subject", f'"{name}" is out already', "nothing to do")]
    if not is_known:
        # A misspelt name would leave the operator believing that the zone is out.
        remedy = f"use a name of {known}, or set allow_unlisted"
        return [ValidationIssue("$.subject", f'"{name}" is not in the instance list', remedy)]
    return []


def _with_operation(
    configuration: Configuration, change: Change, now_unix_ms: int
) -> Configuration:
    classes, accounts = dict(configuration.classes), dict(configuration.accounts)
    zones_out = dict(configuration.zones_out)
    leaving = configuration.leaving_instances
    survive_zone_loss = configuration.survive_zone_loss
    match change.operation:
        case SetClass(work_class):
            classes[work_class.name] = work_class
        case DeleteClass(name):
            del classes[name]
        case SetAccount(account):
            accounts[account.name] = account
        case SetGuarantees(name, guarantees):
            accounts[name] = replace(accounts[name], guarantees=guarantees)
        case DeleteAccount(name):
            del accounts[name]
        case SetSurviveZoneLoss(enabled):
            survive_zone_loss = enabled
        case TakeZoneOut(zone, reason):
            zones_out[zone] = ZoneOut(zone, now_unix_ms, change.actor, reason)
        case ReturnZone(zone):
            del zones_out[zone]
        case MarkInstanceLeaving(instance):
            leaving = (*leaving, instance)
        case ReturnInstance(instance):
            leaving = tuple(i for i in leaving if i != instance)
    return replace(
        configuration,
        revision=configuration.revision + 1,
        classes=classes,
        accounts=accounts,
        zones_out=zones_out,
        leaving_instances=leaving,
        survive_zone_loss=survive_zone_loss,
    )


def _with_record(
    before: Configuration, after: Configuration, change: Change, now_unix_ms: int
) -> Configuration:
    record = ChangeRecord(
        after.revision,
        now_unix_ms,
        change.actor,
        OPERATION_NAMES[type(change.operation)],
        operation_subject(change.operation),
        _shown(_part(before, change.operation)),
        _shown(_part(after, change.operation)),
    )
    return replace(after, changes=(*before.changes, record))


def _part(configuration: Configuration, operation: ConfigurationOperation) -> Any:
    """Return the part of a configuration that an operation changes; None where it is absent."""
    subject = operation_subject(operation)
    match operation:
        case SetClass() | DeleteClass():
            return configuration.classes.get(subject)
        case SetAccount() | DeleteAccount() | SetGuarantees():
            return configuration.accounts.get(subject)
        case TakeZoneOut() | ReturnZone():
            return configuration.zones_out.get(subject)
        case MarkInstanceLeaving() | ReturnInstance():
            return "leaving" if subject in configuration.leaving_instances else None
        case SetSurviveZoneLoss():
            return configuration.survive_zone_loss


def _shown(part: Any) -> str:
    if part is None:
        return ""
    return json.dumps(asdict(part) if is_dataclass(part) else part, sort_keys=True)  # type: ignore[arg-type]


def _class_issues(path: str, name: str, work_class: WorkClass) -> list[ValidationIssue]:
    return [
        *_name_issues(path, name, work_class.name),
        *_range_issues(f"{path}.target_ms", work_class.target_ms, 1, MAX_TIME_MS),
        *_range_issues(f"{path}.patience_ms", work_class.patience_ms, 0, MAX_TIME_MS),
    ]


def _account_issues(path: str, name: str, account: ClientAccount) -> list[ValidationIssue]:
    issues = [
        *_name_issues(path, name, account.name),
        *_range_issues(f"{path}.guaranteed_slots", account.guaranteed_slots, 0, MAX_ACCELERATORS),
        *_range_issues(
            f"{path}.quota_accelerators", account.quota_accelerators, 0, MAX_ACCELERATORS
        ),
    ]
    if len(account.guarantees) > MAX_SHAPES:
        found = f"{len(account.guarantees)} shapes"
        issues.append(
            ValidationIssue(f"{path}.guarantees", found, f"use at most {MAX_SHAPES} shapes")
        )
    for index, shape in enumerate(account.guarantees):
        place = f"{path}.guarantees[{index}]"
        issues += _range_issues(f"{place}.accelerators", shape.accelerators, 1, MAX_ACCELERATORS)
        issues += _range_issues(f"{place}.count", shape.count, 1, MAX_ACCELERATORS)
    total = sum(shape.accelerators * shape.count for shape in account.guarantees)
    if account.quota_accelerators and total > account.quota_accelerators:
        found = f"{total} guaranteed accelerators, quota {account.quota_accelerators}"
        issues.append(ValidationIssue(f"{path}.guarantees", found, "raise the quota or lower them"))
    return issues


def _name_issues(path: str, key: str, name: str) -> list[ValidationIssue]:
    if key == name and _NAME.fullmatch(name):
        return []
    return [ValidationIssue(f"{path}.name", f'"{name}"', _NAME_REMEDY)]


def _range_issues(path: str, value: int, low: int, high: int) -> list[ValidationIssue]:
    if low <= value <= high:
        return []
    return [ValidationIssue(path, f"{value}", f"use {low} to {high}")]


def _slot_issues(
    before: Configuration, after: Configuration, fleet: KnownFleet
) -> list[ValidationIssue]:
    """Refuse to raise the guaranteed slots over what the minions have."""
    total = _guaranteed_slots(after)
    if not fleet.slots or total <= max(fleet.slots, _guaranteed_slots(before)):
        return []
    found = f"{total} guaranteed slots, the minions have {fleet.slots}"
    return [ValidationIssue("$.value.guaranteed_slots", found, "lower a guarantee")]


def _guaranteed_slots(configuration: Configuration) -> int:
    return sum(account.guaranteed_slots for account in configuration.accounts.values())


def _asks_for_more(configuration: Configuration, operation: ConfigurationOperation) -> bool:
    match operation:
        case SetAccount(account):
            name, guarantees = account.name, account.guarantees
        case SetGuarantees(name, guarantees):
            pass
        case SetSurviveZoneLoss(enabled):
            return enabled and not configuration.survive_zone_loss
        case _:
            return False
    present = configuration.accounts.get(name)
    before = _counts(present.guarantees if present else ())
    return any(count > before.get(size, 0) for size, count in _counts(guarantees).items())


def _counts(guarantees: tuple[Shape, ...]) -> dict[int, int]:
    counts: dict[int, int] = {}
    for shape in guarantees:
        counts[shape.accelerators] = counts.get(shape.accelerators, 0) + shape.count
    return counts
