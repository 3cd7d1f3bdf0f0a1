"""Tests of strict JSON parsing and of settings files."""

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
    """Nested part of the sample document."""

    count: int
    ratio: float = 1.0


@dataclass(frozen=True)
class Outer:
    """Sample document."""

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
def test_ambiguous_or_oversized_json_is_rejected(body):
    """Guards against bodies that parsers interpret differently, and against untyped exceptions."""
    with pytest.raises(ValidationError):
        parse_json(body, "body")


@given(VALUES)
def test_finite_json_values_round_trip(value):
    """Guards against changed or rejected valid values."""
    assert parse_json(json.dumps(value).encode(), "body") == value


@given(st.binary(max_size=64) | st.text('[]{}":,0e-\\u', max_size=64).map(str.encode))
def test_arbitrary_bytes_are_parsed_or_rejected(body):
    """Guards against untyped exceptions on arbitrary or malicious bodies."""
    with suppress(ValidationError):
        parse_json(body, "body")


def test_all_issues_are_reported_at_once_with_their_paths():
    """Guards against reports that name only the first of several invalid fields."""
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
    """Guards against library exceptions that clients would see as internal errors."""
    for kind in (Outer, Settings):
        with pytest.raises(ValidationError):
            read_document(json.dumps(value).encode(), kind, "body")


def write_settings(path, text):
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)


def test_settings_with_comments_are_loaded(tmp_path):
    """Guards against rejected comments or trailing commas, and against missing defaults."""
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
def test_invalid_setting_is_reported_with_file_path_and_remedy(tmp_path, change, path):
    """Guards against a daemon that starts with an invalid setting or does not name it."""
    file = write_settings(tmp_path / "s.jsonc", json.dumps({**MINIMAL, **change}))
    with pytest.raises(ValidationError) as caught:
        load_settings(file)
    assert [i.path for i in caught.value.issues] == [path]
    assert file in str(caught.value)
    assert caught.value.issues[0].remedy in str(caught.value)


@pytest.mark.parametrize(
    "text", ['{"a": 1, "a": 2}', "{", b"\xff", "[" * 3000, "[NaN]", "", " " * 65_000]
)
def test_malformed_settings_are_rejected(tmp_path, text):
    """Guards against duplicate keys where the last one wins, and against untyped exceptions."""
    with pytest.raises(ValidationError):
        load_settings(write_settings(tmp_path / "s.jsonc", text))


def test_missing_settings_file_is_rejected(tmp_path):
    """Guards against an untyped exception for a file that does not exist."""
    with pytest.raises(ValidationError, match="name a file"):
        load_settings(str(tmp_path / "absent.jsonc"))


@given(value=VALUES, key=st.sampled_from(sorted(MINIMAL)))
def test_any_settings_value_is_accepted_or_rejected(tmp_path_factory, value, key):
    """Guards against untyped exceptions on unexpected setting values."""
    text = json5.dumps({**MINIMAL, key: value})
    file = write_settings(tmp_path_factory.getbasetemp() / "any.jsonc", text)
    with suppress(ValidationError):
        load_settings(file)
