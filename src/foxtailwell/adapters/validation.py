"""Strict parsing of untrusted JSON documents and their conversion to data classes."""

from __future__ import annotations

import dataclasses
import json
import math
import types
from collections.abc import Callable, Mapping
from typing import Any, Literal, TypeVar, Union, get_args, get_origin

import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from foxtailwell.core.errors import ValidationError, ValidationIssue

__all__ = ["find_unsafe_value", "parse_json", "read_document", "structure_document"]

T = TypeVar("T")

MAX_BODY_BYTES = 1_000_000
MAX_DEPTH = 32
"""Far above the depth of any valid document, and far below the interpreter's recursion limit."""

_MAX_SHOWN_CHARACTERS = 60


class _MismatchError(ValueError):
    def __init__(self, found: str, remedy: str) -> None:
        super().__init__(found)
        self.found = found
        self.remedy = remedy


def parse_json(
    body: bytes,
    source: str,
    *,
    max_bytes: int = MAX_BODY_BYTES,
    max_depth: int = MAX_DEPTH,
) -> Any:
    """Parse JSON and reject everything that JSON parsers may interpret differently.

    Args:
        body: Encoded JSON text.
        source: Name of the document in error messages.
        max_bytes: Maximum size.
        max_depth: Maximum nesting of objects and lists.

    Returns:
        The parsed value.

    Raises:
        ValidationError: The text is too large, not UTF-8, not JSON or nested too deeply, or
            contains duplicate keys, non-finite numbers or unpaired surrogates.
    """
    if len(body) > max_bytes:
        raise _single_issue_error(
            source, "$", f"{len(body)} bytes", f"send at most {max_bytes} bytes"
        )
    try:
        value = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
    except UnicodeDecodeError as error:
        raise _single_issue_error(
            source, "$", f"no UTF-8 at byte {error.start}", "encode as UTF-8"
        ) from error
    except _MismatchError as error:
        raise _single_issue_error(source, "$", error.found, error.remedy) from error
    except json.JSONDecodeError as error:
        found = f"{error.msg} at line {error.lineno}, column {error.colno}"
        raise _single_issue_error(source, "$", found, "send valid JSON") from error
    except RecursionError as error:
        raise _single_issue_error(
            source, "$", "nested too deeply", _depth_remedy(max_depth)
        ) from error
    except ValueError as error:  # The integer exceeds the interpreter's limit on digits.
        raise _single_issue_error(
            source, "$", str(error), "use a number with fewer digits"
        ) from error
    issue = find_unsafe_value(value, max_depth)
    if issue is not None:
        raise ValidationError(source, (issue,))
    return value


def structure_document(value: Any, kind: type[T], source: str, *, path: str = "$") -> T:
    """Convert a parsed value to a data class without implicit type conversions.

    Args:
        value: Parsed JSON.
        kind: Data class to create.
        source: Name of the document in error messages.
        path: Path of the value in its document, a prefix of the paths in issues.

    Raises:
        ValidationError: The value does not match the class. Lists all missing, unknown and wrongly
            typed fields.
    """
    try:
        return _CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        raise ValidationError(source, tuple(_collect_issues(error, path))) from error


def read_document(body: bytes, kind: type[T], source: str) -> T:
    """Parse a JSON body and convert it to a data class.

    Raises:
        ValidationError: The body is rejected by `parse_json` or by `structure_document`.
    """
    return structure_document(parse_json(body, source), kind, source)


def find_unsafe_value(value: Any, max_depth: int = MAX_DEPTH) -> ValidationIssue | None:
    """Return an issue for a value that is nested too deeply or cannot be encoded as UTF-8."""
    stack: list[tuple[Any, str, int]] = [(value, "$", 1)]
    while stack:
        current, path, depth = stack.pop()
        if depth > max_depth and isinstance(current, dict | list):
            return ValidationIssue(path, "nested too deeply", _depth_remedy(max_depth))
        if isinstance(current, dict):
            if any(_has_surrogate(key) for key in current):
                return ValidationIssue(path, "a key with an unpaired surrogate", "use UTF-8 text")
            stack.extend((v, f"{path}.{k}", depth + 1) for k, v in current.items())
        elif isinstance(current, list):
            stack.extend((v, f"{path}[{i}]", depth + 1) for i, v in enumerate(current))
        elif isinstance(current, str) and _has_surrogate(current):
            return ValidationIssue(path, "an unpaired surrogate", "use UTF-8 text")
    return None


def _depth_remedy(max_depth: int) -> str:
    return f"nest at most {max_depth} objects and lists"


def _has_surrogate(text: str) -> bool:
    return not text.isascii() and any("\ud800" <= c <= "\udfff" for c in text)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for key, value in pairs:
        if key in values:
            raise _MismatchError(f"duplicate key {_abbreviate(key)}", "keep one of the two")
        values[key] = value
    return values


def _reject_constant(name: str) -> Any:
    raise _MismatchError(f"the constant {name}", "use a finite number")


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise _MismatchError(f"the number {text[:_MAX_SHOWN_CHARACTERS]}", "use a finite number")
    return number


def _single_issue_error(source: str, path: str, found: str, remedy: str) -> ValidationError:
    return ValidationError(source, (ValidationIssue(path, found, remedy),))


def _collect_issues(error: BaseException, path: str) -> list[ValidationIssue]:
    if isinstance(error, ClassValidationError):
        with_notes, without_notes = error.group_exceptions()
        issues = [i for e, note in with_notes for i in _collect_issues(e, f"{path}.{note.name}")]
        return issues + [i for e in without_notes for i in _collect_issues(e, path)]
    if isinstance(error, IterableValidationError):
        with_items, without_items = error.group_exceptions()
        issues = [
            i for e, note in with_items for i in _collect_issues(e, _item_path(path, note.index))
        ]
        return issues + [i for e in without_items for i in _collect_issues(e, path)]
    if isinstance(error, ForbiddenExtraKeysError):
        names = sorted(map(str, error.extra_fields))
        return [ValidationIssue(f"{path}.{n}", "an unknown field", "remove it") for n in names]
    if isinstance(error, _MismatchError):
        return [ValidationIssue(path, error.found, error.remedy)]
    if isinstance(error, KeyError):
        return [ValidationIssue(path, "missing", "add the field")]
    return [ValidationIssue(path, f"{type(error).__name__}: {error}", "correct the value")]


def _item_path(path: str, index: int | str) -> str:
    return f"{path}[{index}]" if isinstance(index, int) else f"{path}.{index}"


def _abbreviate(value: Any) -> str:
    text = json.dumps(value, default=str)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else text[: _MAX_SHOWN_CHARACTERS - 3] + "..."


def _make_exact_hook(kind: type, remedy: str) -> Callable[[Any, Any], Any]:
    """Return a hook that rejects other types; cattrs would convert the string "no" to true."""

    def structure(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise _MismatchError(_abbreviate(value), remedy)
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise _MismatchError(_abbreviate(value), "use a number")
    return float(value)


def _make_literal_hook(kind: Any) -> Callable[[Any, Any], Any]:
    choices = get_args(kind)

    def structure(value: Any, _: Any) -> Any:
        if not any(type(value) is type(c) and value == c for c in choices):
            raise _MismatchError(_abbreviate(value), f"use one of {', '.join(map(str, choices))}")
        return value

    return structure


def _make_class_hook(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    inner = cattrs.gen.make_dict_structure_fn(
        kind, converter, _cattrs_forbid_extra_keys=True, _cattrs_detailed_validation=True
    )

    def structure(value: Any, target: Any) -> Any:
        if not isinstance(value, Mapping):
            raise _MismatchError(_abbreviate(value), "use an object")
        return inner(value, target)

    return structure


def _make_tuple_hook(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    list_kind: Any = types.GenericAlias(list, get_args(kind)[:1])

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            raise _MismatchError(_abbreviate(value), "use a list")
        return tuple(converter.structure(value, list_kind))

    return structure


def _make_dict_hook(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    inner = cattrs.gen.make_mapping_structure_fn(kind, converter)

    def structure(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            raise _MismatchError(_abbreviate(value), "use an object")
        return inner(value, target)

    return structure


def _make_optional_hook(kind: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    inner = next(a for a in get_args(kind) if a is not type(None))

    def structure(value: Any, _: Any) -> Any:
        return None if value is None else converter.structure(value, inner)

    return structure


def _is_optional(kind: Any) -> bool:
    is_union = get_origin(kind) in (Union, types.UnionType)
    return is_union and len(get_args(kind)) == 2 and type(None) in get_args(kind)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(int, _make_exact_hook(int, "use an integer"))
    converter.register_structure_hook(str, _make_exact_hook(str, "use a string"))
    converter.register_structure_hook(bool, _make_exact_hook(bool, "use true or false"))
    converter.register_structure_hook(float, _structure_float)
    factories: list[tuple[Callable[[Any], bool], Callable[[Any, cattrs.Converter], Any]]] = [
        (lambda k: get_origin(k) is Literal, lambda k, _: _make_literal_hook(k)),
        (dataclasses.is_dataclass, _make_class_hook),
        (lambda k: get_origin(k) is tuple and get_args(k)[-1] is ..., _make_tuple_hook),
        (lambda k: get_origin(k) is dict, _make_dict_hook),
        (_is_optional, _make_optional_hook),
    ]
    for matches, factory in factories:
        converter.register_structure_hook_factory(matches, _bind_converter(factory, converter))
    return converter


def _bind_converter(
    factory: Callable[[Any, cattrs.Converter], Any], converter: cattrs.Converter
) -> Callable[[Any], Any]:
    return lambda kind: factory(kind, converter)


_CONVERTER = _make_converter()
