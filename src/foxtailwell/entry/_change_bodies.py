"""Decodes and validates the JSON bodies of operators' configuration changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

from foxtailwell.adapters.validation import parse_json, structure_document
from foxtailwell.core import (
    Change,
    ClientAccount,
    ConfigurationOperation,
    DeleteAccount,
    DeleteClass,
    MarkInstanceLeaving,
    ReturnInstance,
    ReturnZone,
    SetAccount,
    SetClass,
    SetGuarantees,
    SetSurviveZoneLoss,
    Shape,
    TakeZoneOut,
    WorkClass,
)
from foxtailwell.core.errors import ValidationError, ValidationIssue

__all__ = ["read_change"]

_SOURCE = "change"


@dataclass(frozen=True, slots=True)
class _ChangeBody:
    expected_revision: int
    actor: str
    operation: Literal[
        "class.set",
        "class.delete",
        "account.set",
        "account.delete",
        "guarantees.set",
        "survive_zone_loss.set",
        "zone.out",
        "zone.back",
        "instance.leave",
        "instance.back",
    ]
    subject: str = ""
    value: Any = None


@dataclass(frozen=True, slots=True)
class _ClassValue:
    kind: Literal["request", "job"]
    target_ms: int
    patience_ms: int
    idempotent: bool


@dataclass(frozen=True, slots=True)
class _AccountValue:
    guarantees: tuple[Shape, ...] = ()
    quota_accelerators: int = 0
    guaranteed_slots: int = 0


@dataclass(frozen=True, slots=True)
class _ZoneValue:
    reason: str = ""
    allow_unlisted: bool = False


@dataclass(frozen=True, slots=True)
class _InstanceValue:
    allow_unlisted: bool = False


def read_change(body: bytes) -> Change:
    """Decode the JSON body of a configuration change.

    Only the types are checked here; `apply_change` checks the values against the configuration.

    Raises:
        ValidationError: The body is not valid JSON, or a field is missing, unknown or has the wrong
            type.
    """
    change = structure_document(parse_json(body, _SOURCE), _ChangeBody, _SOURCE)
    return Change(change.expected_revision, change.actor, _to_operation(change))


def _to_operation(change: _ChangeBody) -> ConfigurationOperation:
    subject, value = change.subject, change.value
    match change.operation:
        case "class.set":
            class_value = _read_value(value, _ClassValue)
            work_class = WorkClass(
                subject,
                class_value.kind,
                class_value.target_ms,
                class_value.patience_ms,
                class_value.idempotent,
            )
            return SetClass(work_class)
        case "account.set":
            account = _read_value(value, _AccountValue)
            return SetAccount(
                ClientAccount(
                    subject,
                    account.guarantees,
                    account.quota_accelerators,
                    account.guaranteed_slots,
                )
            )
        case "guarantees.set":
            return SetGuarantees(subject, _read_value(value, tuple[Shape, ...]))
        case "survive_zone_loss.set":
            return SetSurviveZoneLoss(_read_value(value, bool))
        case "zone.out":
            zone = _read_value({} if value is None else value, _ZoneValue)
            return TakeZoneOut(subject, zone.reason, zone.allow_unlisted)
        case "instance.leave":
            instance = _read_value({} if value is None else value, _InstanceValue)
            return MarkInstanceLeaving(subject, instance.allow_unlisted)
        case _:
            return _to_operation_without_value(change)


def _to_operation_without_value(change: _ChangeBody) -> ConfigurationOperation:
    if change.value is not None:
        issue = ValidationIssue("$.value", "a value", f"leave it out for {change.operation}")
        raise ValidationError(_SOURCE, (issue,))
    match change.operation:
        case "class.delete":
            return DeleteClass(change.subject)
        case "account.delete":
            return DeleteAccount(change.subject)
        case "zone.back":
            return ReturnZone(change.subject)
        case _:
            return ReturnInstance(change.subject)


def _read_value(value: Any, kind: Any) -> Any:
    return structure_document(value, kind, _SOURCE, path="$.value")
