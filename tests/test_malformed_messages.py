"""Malformed messages: each decoder of the platform and of the daemons has one declared error."""

from __future__ import annotations

import contextlib
import json
import math
from dataclasses import replace
from ipaddress import IPv4Address

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from foxtailwell.adapters import instance_list
from foxtailwell.adapters import store as document_store
from foxtailwell.adapters import workers as gang_workers
from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.adapters.http_client import HttpReply
from foxtailwell.adapters.http_connection import CallReply
from foxtailwell.adapters.ranges import MAX_INTEGER
from foxtailwell.controller import _records
from foxtailwell.controller._runs import _parse_task
from foxtailwell.core import Configuration, InstanceRecord, JobShard
from foxtailwell.core.errors import (
    DocumentError,
    StaleTermError,
    StoreUnavailableError,
    UnavailableError,
    UnsupportedSchemaError,
)
from foxtailwell.platform import messages, store, workers
from foxtailwell.workflows import (
    CrashRecord,
    Job,
    JobProgress,
    JobState,
    Resources,
    Step,
    StoreCallError,
    Submission,
    TaskProgress,
    WorkerCallError,
)

DEEP = b"[" * 100_000 + b"]" * 100_000
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "draining",
    "born": 1,
    "clock_ms": 1,
    "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 1},
    "labels": ["k", "r"],
    "remaining_ms": 1,
}
LISTING = {
    "clock_ms": 1,
    "born": 1,
    "running": [["t", 1, "", 5]],
    "ended": [[1, "t", 1, "done", ""]],
}
JOB = {"spec": "x", "phases": [{"count": 1, "after": [], "gang": True}]}
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r", "host": "h", "prefix": "/", "service": "s"}],
    "tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 1}}],
}
PAGE = {"items": [{"key": "k", "value": "eA==", "revision": 1}], "at_rev": 1}
WAVE = {"wave": 1, "machines": ["m"], "within_s": 1, "max_count": 1}

EXTREMES = (10**400, 2**64, 2**63, -1, -(10**400), 1e308, 1e400, math.nan)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from(EXTREMES)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


def _encode(value):
    """Return JSON in which an infinite number is written as one that overflows."""
    return json.dumps(value).replace("Infinity", "1e400").encode()


def _page(body):
    return store._items(store._decode(CallReply(200, body), store._Page))


def _document(kind):
    return msgspec.json.decode(encode_document(kind()))


def _decode_document(kind):
    return lambda body: decode_document(body, kind)


def _list_records(body):
    rows = instance_list._decode(body)
    return next((row for row in rows if isinstance(row, InstanceRecord)), None)


def _sync_reply(status):
    request = gang_workers.SyncRequest("z", 1)
    return lambda body: gang_workers._decode("10.0.0.1:80", request, HttpReply(status, {}, body))


TASK = TaskProgress(0, 0, 0, 1, 1, "w", 1, (1,), "", (CrashRecord(1, 1, 1, False),))
STEP = Step(1, Resources(1, 1, 1))
PROGRESS = msgspec.json.decode(
    _records.encode_progress(JobProgress(JobState.QUEUED, False, 0, (TASK,)))
)
SUBMISSION = msgspec.json.decode(
    _records.encode_submission_record(Submission("0" * 16, "q", "a", "text", (STEP,)))
)
INSTANCE = {"id": "w-1", "role": "worker", "zone": "z", "address": "10.0.0.1:80"}
DOCUMENTS = (Configuration, JobShard)
DOCUMENT_ERRORS = (DocumentError, UnsupportedSchemaError)

DECODERS = [
    (ENTRY, lambda body: workers.decode_worker_entry("w", body), ()),
    (LISTING, workers._decode_listing, (WorkerCallError,)),
    (LISTING, lambda body: workers._outcome(CallReply(409, body)), (WorkerCallError,)),
    (
        JOB,
        lambda body: messages.decode_submission("a", "q", "t", 1, body),
        (messages.MessageError,),
    ),
    (CONFIGURATION, messages.decode_configuration, (messages.MessageError,)),
    (WAVE, messages.decode_wave, ()),
    (PAGE, _page, (StoreCallError,)),
    (PROGRESS, _records.decode_progress, (_records.RecordError,)),
    (SUBMISSION, _records.decode_submission_record, (_records.RecordError,)),
    *((_document(kind), _decode_document(kind), DOCUMENT_ERRORS) for kind in DOCUMENTS),
    (
        {"revision": 1, "changes": [{"key": "k", "version": 1, "value": "{}", "write_id": "w"}]},
        lambda body: document_store._decode(HttpReply(200, {}, body), document_store.WatchResult),
        (StoreUnavailableError,),
    ),
    ({"clock_s": 1.0, "tasks": [], "refused": []}, _sync_reply(200), (UnavailableError,)),
    ({"term": 1}, _sync_reply(409), (UnavailableError, StaleTermError)),
    (INSTANCE, lambda body: _list_records(b"[" + body + b"]"), (UnavailableError,)),
]


@pytest.mark.parametrize("number", range(len(DECODERS)))
@given(data=st.data())
def test_malformed_message_raises_only_the_declared_error(number, data):
    """Guards against one message of another writer that ends a whole process, again and again."""
    valid, decode, errors = DECODERS[number]
    changed = valid | {data.draw(st.sampled_from(sorted(valid))): data.draw(VALUES)}
    encoded = _encode(changed)
    cut = data.draw(st.integers(0, len(encoded)))
    for body in (encoded, encoded[:cut], encoded[:cut] + data.draw(st.binary(max_size=20))):
        with contextlib.suppress(*errors):
            decode(body)


@pytest.mark.parametrize("number", range(len(DECODERS)))
def test_deeply_nested_message_raises_only_the_declared_error(number):
    """Guards against a recursion error, which a field that nobody reads may cause as well."""
    valid, decode, errors = DECODERS[number]
    body = b'{"unread":' + DEEP + b"," + msgspec.json.encode(valid)[1:]
    if errors:
        with pytest.raises(errors):
            decode(body)
    else:
        assert decode(body) is None


@pytest.mark.parametrize("extreme", EXTREMES, ids=lambda number: str(number)[:20])
@pytest.mark.parametrize("field", ["born", "clock_ms", "remaining_ms", "cpu", "mem_mb", "gpu"])
def test_accepted_worker_entry_can_be_used(field, extreme):
    """Guards against numbers that end the term when they are converted or stored."""
    change = {field: extreme} if field in ENTRY else {"capacity": {field: extreme}}
    entry = workers.decode_worker_entry("w", _encode(ENTRY | change))
    if entry is None:
        return
    assert entry.capacity.fits(entry.capacity.plus(entry.capacity))
    assert all(math.isfinite(n / 1000) for n in (entry.clock_ms, entry.remaining_ms))
    task = replace(TASK, boot_unix_ms=entry.boot_unix_ms)
    progress = JobProgress(JobState.RUNNING, True, 0, (task,))
    assert _records.decode_progress(_records.encode_progress(progress)) == progress


@pytest.mark.parametrize("extreme", EXTREMES, ids=lambda number: str(number)[:20])
@pytest.mark.parametrize("column", [1, 3])
def test_accepted_listing_can_be_used(column, extreme):
    """Guards against a listed run whose number or progress ends the term of the controller."""
    row = ["t", 1, "", 5, 0]
    row[column] = extreme
    try:
        listing = workers._decode_listing(_encode(LISTING | {"running": [row]}))
    except WorkerCallError:
        return
    assert 0 <= listing.running[0].percent <= 100
    assert 0 <= listing.running[0].run <= MAX_INTEGER


@pytest.mark.parametrize("extreme", EXTREMES, ids=lambda number: str(number)[:20])
@pytest.mark.parametrize("field", ["priority", "stretch", "target_latency_ms", "recommendation"])
def test_accepted_configuration_can_be_used(field, extreme):
    """Guards against a queue whose target or validity of advice ends each process that reads it."""
    value = {"valid_for_ms": extreme} if field == "recommendation" else extreme
    route = CONFIGURATION["routes"][0] | {field: value}
    body = _encode(CONFIGURATION | {"routes": [route]})
    with contextlib.suppress(messages.MessageError):
        queue = messages.decode_configuration(body).queues["r"]
        submission = Submission("0" * 16, "r", "a", "text", (replace(STEP, estimate_ms=2**53),))
        assert math.isfinite(Job(submission, queue, 0.0).target_s())
        assert queue.advice is None or queue.advice.valid_s >= 0


@pytest.mark.parametrize("extreme", EXTREMES, ids=lambda number: str(number)[:20])
@pytest.mark.parametrize("field", ["wave", "within_s", "max_count"])
def test_accepted_wave_can_be_used(field, extreme):
    """Guards against a wave whose number or time limit ends the term of the controller."""
    wave = messages.decode_wave(_encode(WAVE | {field: extreme}))
    if wave is not None:
        assert wave.within_s / wave.max_count < math.inf
        assert msgspec.json.decode(messages.encode_wave_status(wave.number, True))
        assert 0 <= wave.number <= MAX_INTEGER


@pytest.mark.parametrize("extreme", EXTREMES[:-1], ids=lambda number: str(number)[:20])
@pytest.mark.parametrize("field", ["cores", "memory_gb", "accelerators", "slots", "connections"])
def test_accepted_instance_record_can_be_used(field, extreme):
    """Guards against a record whose accelerators, listed one by one, fill the memory."""
    record = _encode(INSTANCE | {field: extreme})
    (row,) = instance_list._decode(b"[" + record + b"]")
    assert not isinstance(row, InstanceRecord)


@pytest.mark.parametrize("extreme", [10**400, 2**64, -(10**400), 1e308])
@pytest.mark.parametrize(
    ("valid", "field", "decode", "error"),
    [
        (_document(Configuration), "revision", _decode_document(Configuration), DocumentError),
        ({"clock_s": 1.0}, "clock_s", _sync_reply(200), UnavailableError),
        ({"term": 1}, "term", _sync_reply(409), UnavailableError),
    ],
)
def test_message_with_a_number_out_of_range_is_refused(valid, field, decode, error, extreme):
    """Guards against a revision or time that cannot be sent on or converted."""
    with pytest.raises(error):
        decode(_encode(valid | {field: extreme}))


@pytest.mark.parametrize("text", ["a.0.0." + "9" * 5000, "a.0.0", "a.0.0.x", "a.0.0.-1", "", "é"])
def test_listed_task_with_a_malformed_identifier_is_left_out(text):
    """Guards against an identifier whose number is too long to convert, which ends the term."""
    assert _parse_task(text) is None


@pytest.mark.parametrize("worker", ["", "w\r\nX: 1", "w 1", "wé", "w" * 129])
def test_entry_under_an_unusable_key_names_no_worker(worker):
    """Guards against an identifier that cannot be sent in a header, which ends the term."""
    assert workers.decode_worker_entry(worker, msgspec.json.encode(ENTRY)) is None


@given(st.text(max_size=12))
@example("999.1.1.1:80")
@example("........:80")
@example("host:port")
@example(":")
@example("10.0.0.1:")
@example("10.0.0.1:65536")
def test_entry_with_an_unusable_address_names_no_worker(address):
    """Guards against a connection to an address that cannot be parsed, which ends the term."""
    entry = workers.decode_worker_entry("w", msgspec.json.encode(ENTRY | {"address": address}))
    if entry is not None:
        host, _, port = entry.address.rpartition(":")
        assert IPv4Address(host)
        assert 0 < int(port) < 65536
