"""The configuration that operators change, and the operations that change it.

Holds the classes of work, the client accounts with their guarantees, the zones out of service and
the leaving instances. Each change is validated, raises the revision by one and adds a record to the
audit trail. The newest records are part of the configuration document; older ones are moved to
audit documents.
"""

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
"""Number of changes in one audit document."""

AUDIT_DOCUMENT_COUNT = 64
"""Number of audit documents; the oldest is overwritten, because the store cannot delete a key."""

MAX_CLASSES = 200
MAX_ACCOUNTS = 500
MAX_LEAVING_INSTANCES = 500
MAX_SHAPES = 8
MAX_TIME_MS = 30 * 24 * 3_600_000
MAX_ACCELERATORS = 10_000
MAX_TEXT_CHARACTERS = 200
"""Together, the limits above keep a full document with `KEPT_CHANGE_COUNT` changes below the 1 MB
that the store accepts for a value."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_INSTANCE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,126}")
_NAME_REMEDY = "use up to 63 letters, digits, dots, dashes or underscores"


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its target.

    Attributes:
        name: Name that callers use.
        kind: Whether the class is for requests or for jobs.
        target_ms: Target for the completion time of a request, or for the time until a job starts.
        patience_ms: Longest wait of a request before it is refused; 0 means `target_ms`. It has no
            effect on jobs.
        idempotent: Whether the work may run more than once.
    """

    name: str
    kind: Literal["request", "job"]
    target_ms: int
    patience_ms: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Shape:
    """A guarantee for `count` gangs of the same size.

    Attributes:
        accelerators: Number of adjacent accelerators of one gang.
        count: Number of such gangs that must be able to run at once.
    """

    accelerators: int
    count: int = 1


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its guarantees and its quota.

    Attributes:
        name: Name of the account.
        guarantees: Guaranteed gangs of its jobs.
        quota_accelerators: Maximum number of accelerators of its jobs; 0 means no limit.
        guaranteed_slots: Guaranteed slots of its requests over all minions.
    """

    name: str
    guarantees: tuple[Shape, ...] = ()
    quota_accelerators: int = 0
    guaranteed_slots: int = 0


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """Record of a zone that an operator has taken out of service."""

    zone: str
    since_unix_ms: int
    actor: str
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change in the audit trail.

    Attributes:
        revision: Revision of the configuration after the change.
        at_unix_ms: Time of the change.
        actor: Who made the change.
        operation: Name of the operation, see `OPERATION_NAMES`.
        subject: Name of what was changed.
        before: JSON of the changed part before, empty when it did not exist.
        after: JSON of the changed part after, empty when it was deleted.
    """

    revision: int
    at_unix_ms: int
    actor: str
    operation: str
    subject: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration at one revision.

    Attributes:
        schema_version: Version of the document's schema.
        revision: Number of accepted changes; each change raises it by one.
        survive_zone_loss: Whether guarantees must hold without the largest zone.
        classes: Classes of work by name.
        accounts: Client accounts by name.
        zones_out: Zones out of service by name.
        leaving_instances: Instances that get no more work.
        changes: Newest change records, oldest first.
    """

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
    """A block of change records that were moved out of the configuration document."""

    schema_version: int = AUDIT_SCHEMA_VERSION
    first_revision: int = 0
    changes: tuple[ChangeRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class SetClass:
    """Create a class of work or replace the one of the same name."""

    work_class: WorkClass


@dataclass(frozen=True, slots=True)
class DeleteClass:
    """Delete a class of work; new requests and jobs of the class are refused."""

    name: str


@dataclass(frozen=True, slots=True)
class SetAccount:
    """Create a client account or replace the one of the same name, guarantees included."""

    account: ClientAccount


@dataclass(frozen=True, slots=True)
class SetGuarantees:
    """Replace the guaranteed shapes of a client account and keep its other settings."""

    name: str
    guarantees: tuple[Shape, ...]


@dataclass(frozen=True, slots=True)
class DeleteAccount:
    """Delete a client account; its new requests and jobs are refused."""

    name: str


@dataclass(frozen=True, slots=True)
class SetSurviveZoneLoss:
    """Set whether guarantees must hold without the largest zone."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class TakeZoneOut:
    """Take an availability zone out of service, so that no more work starts there.

    Attributes:
        zone: Zone to take out of service.
        reason: Reason for the audit trail.
        allow_unlisted: Whether to accept a zone that the instance list does not contain, such as
            one that is currently lost.
    """

    zone: str
    reason: str = ""
    allow_unlisted: bool = False


@dataclass(frozen=True, slots=True)
class ReturnZone:
    """Put an availability zone back into service."""

    zone: str


@dataclass(frozen=True, slots=True)
class MarkInstanceLeaving:
    """Mark an instance as leaving, so that it gets no more work.

    Attributes:
        instance: Identifier of the instance.
        allow_unlisted: Whether to accept an instance that the instance list does not contain.
    """

    instance: str
    allow_unlisted: bool = False


@dataclass(frozen=True, slots=True)
class ReturnInstance:
    """Remove the leaving mark of an instance, so that it gets work again."""

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
    """A change that an operator requests.

    Attributes:
        expected_revision: Revision on which the change is based.
        actor: Who makes the change.
        operation: The operation to apply.
    """

    expected_revision: int
    actor: str
    operation: ConfigurationOperation


@dataclass(frozen=True, slots=True)
class KnownFleet:
    """Facts from the instance list that changes are checked against.

    An empty set or a count of 0 means unknown and skips the check.

    Attributes:
        zones: Availability zones.
        instances: Identifiers of all instances.
        slots: Total slots of all minions.
    """

    zones: frozenset[str] = frozenset()
    instances: frozenset[str] = frozenset()
    slots: int = 0


GuaranteeCheck = Callable[[Configuration], tuple[str, ...]]
"""Checks whether all guaranteed shapes fit into the fleet together. Returns a text for each one
that does not fit."""


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
        configuration: Current configuration in the store.
        change: The requested change.
        now_unix_ms: Time of the change for the audit trail.
        fleet: Facts from the instance list.
        check_guarantees: Packing check. It is called only for changes that raise a guarantee, so
            that a guarantee can be lowered and a zone taken out of service while capacity is short.

    Returns:
        The new configuration. It may have more than `KEPT_CHANGE_COUNT` change records; call
        `split_changes` before writing it.

    Raises:
        ConflictError: The change is based on another revision.
        ValidationError: The change is invalid; the error lists all issues.
    """
    if change.expected_revision != configuration.revision:
        raise ConflictError(
            f"the change is based on revision {change.expected_revision}, "
            f"the configuration has revision {configuration.revision}",
            f"read revision {configuration.revision} and repeat the change on it",
            configuration.revision,
        )
    issues = _name_and_text_issues(change) + _operation_issues(
        configuration, change.operation, fleet
    )
    if issues:
        raise ValidationError("change", tuple(issues))
    changed = _with_operation(configuration, change, now_unix_ms)
    issues = list(validate_configuration(changed))
    issues += _slot_issues(configuration, changed, fleet)
    if not issues and _raises_guarantees(configuration, change.operation):
        remedy = "lower a guarantee, or add workers first"
        found = check_guarantees(changed)
        issues = [ValidationIssue("$.value.guarantees", text, remedy) for text in found]
    if issues:
        raise ValidationError("change", tuple(issues))
    return _with_record(configuration, changed, change, now_unix_ms)


def validate_configuration(configuration: Configuration) -> tuple[ValidationIssue, ...]:
    """Return all issues of a configuration that can be found without knowing the fleet."""
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
    """Move the oldest change records to an audit document when there are too many.

    The caller writes the audit document before the configuration without these records, so that
    no record is lost when the process is killed between the two writes.

    Returns:
        The audit document, or None when none is needed; and the configuration to write.
    """
    if len(configuration.changes) <= KEPT_CHANGE_COUNT:
        return None, configuration
    old = configuration.changes[:AUDIT_BLOCK_COUNT]
    kept = replace(configuration, changes=configuration.changes[AUDIT_BLOCK_COUNT:])
    return AuditDocument(first_revision=old[0].revision, changes=old), kept


def audit_document_number(first_revision: int) -> int:
    """Return the number of the audit document for the block that begins with a revision."""
    return (first_revision // AUDIT_BLOCK_COUNT) % AUDIT_DOCUMENT_COUNT


def operation_subject(operation: ConfigurationOperation) -> str:
    """Return the name of the class, account, zone, instance or setting that is changed."""
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


def _name_and_text_issues(change: Change) -> list[ValidationIssue]:
    issues = []
    subject = operation_subject(change.operation)
    is_instance = isinstance(change.operation, MarkInstanceLeaving | ReturnInstance)
    if not (_INSTANCE_NAME if is_instance else _NAME).fullmatch(subject):
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
    """Return why an operation cannot be applied to the current configuration and fleet."""
    match operation:
        case DeleteClass(name):
            return _missing_issues("class", name, name in configuration.classes)
        case DeleteAccount(name) | SetGuarantees(name):
            return _missing_issues("account", name, name in configuration.accounts)
        case ReturnZone(zone):
            return _missing_issues("zone out of service", zone, zone in configuration.zones_out)
        case ReturnInstance(instance):
            is_leaving = instance in configuration.leaving_instances
            return _missing_issues("leaving instance", instance, is_leaving)
        case TakeZoneOut(zone):
            is_known = operation.allow_unlisted or not fleet.zones or zone in fleet.zones
            known = ", ".join(sorted(fleet.zones))
            return _unmarked_issues(zone, zone in configuration.zones_out, is_known, known)
        case MarkInstanceLeaving(instance):
            is_known = (
                operation.allow_unlisted or not fleet.instances or instance in fleet.instances
            )
            is_marked = instance in configuration.leaving_instances
            return _unmarked_issues(instance, is_marked, is_known, "the instance list")
        case _:
            return []


def _missing_issues(kind: str, name: str, is_present: bool) -> list[ValidationIssue]:
    if is_present:
        return []
    return [ValidationIssue("$.subject", f'no {kind} "{name}"', "read the configuration again")]


def _unmarked_issues(
    name: str, is_marked: bool, is_known: bool, known: str
) -> list[ValidationIssue]:
    if is_marked:
        return [ValidationIssue("$.subject", f'"{name}" is out already', "nothing to do")]
    if not is_known:
        # Without this check, a misspelt name would be accepted while work still starts in the zone.
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
        _to_json(_changed_part(before, change.operation)),
        _to_json(_changed_part(after, change.operation)),
    )
    return replace(after, changes=(*before.changes, record))


def _changed_part(configuration: Configuration, operation: ConfigurationOperation) -> Any:
    """Return the part of a configuration that an operation changes, None when it does not exist."""
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


def _to_json(part: Any) -> str:
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
        shape_path = f"{path}.guarantees[{index}]"
        issues += _range_issues(
            f"{shape_path}.accelerators", shape.accelerators, 1, MAX_ACCELERATORS
        )
        issues += _range_issues(f"{shape_path}.count", shape.count, 1, MAX_ACCELERATORS)
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
    """Return an issue when the guaranteed slots were raised above the slots of the minions."""
    total = _guaranteed_slots(after)
    if not fleet.slots or total <= max(fleet.slots, _guaranteed_slots(before)):
        return []
    found = f"{total} guaranteed slots, the minions have {fleet.slots}"
    return [ValidationIssue("$.value.guaranteed_slots", found, "lower a guarantee")]


def _guaranteed_slots(configuration: Configuration) -> int:
    return sum(account.guaranteed_slots for account in configuration.accounts.values())


def _raises_guarantees(configuration: Configuration, operation: ConfigurationOperation) -> bool:
    match operation:
        case SetAccount(account):
            name, guarantees = account.name, account.guarantees
        case SetGuarantees(name, guarantees):
            pass
        case SetSurviveZoneLoss(enabled):
            return enabled and not configuration.survive_zone_loss
        case _:
            return False
    existing = configuration.accounts.get(name)
    before = _counts_by_size(existing.guarantees if existing else ())
    return any(count > before.get(size, 0) for size, count in _counts_by_size(guarantees).items())


def _counts_by_size(guarantees: tuple[Shape, ...]) -> dict[int, int]:
    counts: dict[int, int] = {}
    for shape in guarantees:
        counts[shape.accelerators] = counts.get(shape.accelerators, 0) + shape.count
    return counts
