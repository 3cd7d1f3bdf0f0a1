"""Strict JSON bodies and settings files."""

from __future__ import annotations

import json
from contextlib import suppress
from dataclasses import dataclass

import json5
import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailwell.adapters.settings import Settings, load_settings
from foxtailwell.adapters.validation import parse_json, read_document
from foxtailwell.core.errors import ValidationError

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)

MINIMAL = {
    "instance": "i-1",
    "region": "nl-oost",
    "availability_zone": "hengelo-a",
    "platform": {"store_url": "http://127.0.0.1:1", "instance_list_url": "http://127.0.0.1:2"},
    "peers": {"host": "127.0.0.1", "port": 0},
    "operators": {"host": "127.0.0.1", "port": 0},
}


@dataclass(frozen=True)
class Inner:
    """Nested part of the example document."""

    count: int
    ratio: float = 1.0


@dataclass(frozen=True)
class Outer:
    """Example document."""

    name: str
    enabled: bool
    inner: tuple[Inner, ...] = ()
    by_name: dict[str, Inner] | None = None


@pytest.mark.parametrize(
    "body",
    [
        b'{"a": 1, "a": 2}',
        b'{"a": NaN}',
        b"[Infinity]",
        b"[1e999]",
        b'"\xff"',
        b'"\\ud800"',
        b'{"\\udfff": 1}',
        b"[" * 33 + b"]" * 33,
        b"[" * 200_000,
        b"1" * 5000,
        b"",
        b"{",
        b"1 2",
        b'"' + b"a" * 1_000_000 + b'"',
    ],
)
def test_ambiguous_or_oversized_json_is_a_typed_error(body):
    """Guards against bodies that two readers understand differently, and against crashes."""
    with pytest.raises(ValidationError):
        parse_json(body, "body")


@given(VALUES)
def test_every_finite_json_value_is_read_back(value):
    """Guards against a strict parser that changes or refuses ordinary values."""
    assert parse_json(json.dumps(value).encode(), "body") == value


@given(st.binary(max_size=64) | st.text('[]{}":,0e-\\u', max_size=64).map(str.encode))
def test_any_bytes_are_read_or_refused(body):
    """Guards against an untyped exception from a hostile body."""
    with suppress(ValidationError):
        parse_json(body, "body")


def test_all_issues_are_reported_at_once_with_their_paths():
    """Guards against an operator who has to correct a document one field at a time."""
    body = {
        "enabled": "no",
        "inner": [{"count": True}, {"count": 1, "extra": 2}, 5],
        "by_name": {"x": {"count": "1", "ratio": "big"}},
        "other": 1,
    }
    with pytest.raises(ValidationError) as caught:
        read_document(json.dumps(body).encode(), Outer, "body")
    assert {i.path for i in caught.value.issues} == {
        "$.name",
        "$.enabled",
        "$.inner[0].count",
        "$.inner[1].extra",
        "$.inner[2]",
        "$.by_name.x.count",
        "$.by_name.x.ratio",
        "$.other",
    }
    assert all(i.found and i.remedy for i in caught.value.issues)


@given(VALUES)
def test_structuring_never_raises_an_untyped_error(value):
    """Guards against an exception of the library that reaches the caller as an internal error."""
    for kind in (Outer, Settings):
        with pytest.raises(ValidationError):
            read_document(json.dumps(value).encode(), kind, "body")


def write_settings(path, text):
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)


def test_settings_with_comments_are_read(tmp_path):
    """Guards against comments, trailing commas or defaults that are not accepted."""
    text = "// instance\n" + json.dumps(MINIMAL)[:-1] + ', "log": {"form": "text",},}'
    settings = load_settings(write_settings(tmp_path / "s.jsonc", text))
    assert (settings.instance, settings.log.form, settings.callers) == ("i-1", "text", None)


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"instance": ""}, "$.instance"),
        ({"peers": {"host": "localhost", "port": 0}}, "$.peers.host"),
        ({"callers": {"host": "127.0.0.1", "port": 65_536}}, "$.callers.port"),
        ({"platform": {**MINIMAL["platform"], "store_url": "x"}}, "$.platform.store_url"),
        ({"platform": {**MINIMAL["platform"], "store_url": "http://[::1"}}, "$.platform.store_url"),
        ({"seed_peers": ["127.0.0.1"]}, "$.seed_peers[0]"),
        ({"seed_peers": "127.0.0.1:1"}, "$.seed_peers"),
        ({"log": {"level": "LOUD"}}, "$.log.level"),
        ({"shutdown_grace_ms": -1}, "$.shutdown_grace_ms"),
        ({"weights": {}}, "$.weights"),
    ],
)
def test_wrong_setting_names_file_path_and_remedy(tmp_path, change, path):
    """Guards against a daemon that starts with a wrong setting or does not say which it is."""
    file = write_settings(tmp_path / "s.jsonc", json.dumps({**MINIMAL, **change}))
    with pytest.raises(ValidationError) as caught:
        load_settings(file)
    assert [i.path for i in caught.value.issues] == [path]
    assert file in str(caught.value)
    assert caught.value.issues[0].remedy in str(caught.value)


@pytest.mark.parametrize(
    "text", ['{"a": 1, "a": 2}', "{", b"\xff", "[" * 3000, "[NaN]", "", " " * 65_000]
)
def test_unreadable_settings_are_typed_errors(tmp_path, text):
    """Guards against duplicate settings where the last one wins, and against tracebacks."""
    with pytest.raises(ValidationError):
        load_settings(write_settings(tmp_path / "s.jsonc", text))


def test_missing_settings_file_is_a_typed_error(tmp_path):
    """Guards against a traceback for a mistyped file name."""
    with pytest.raises(ValidationError, match="name a file"):
        load_settings(str(tmp_path / "absent.jsonc"))


@given(value=VALUES, key=st.sampled_from(sorted(MINIMAL)))
def test_any_settings_value_is_accepted_or_refused(tmp_path_factory, value, key):
    """Guards against a crash for a settings file that no one thought of."""
    text = json5.dumps({**MINIMAL, key: value})
    file = write_settings(tmp_path_factory.getbasetemp() / "any.jsonc", text)
    with suppress(ValidationError):
        load_settings(file)
