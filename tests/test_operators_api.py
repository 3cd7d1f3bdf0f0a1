"""Tests of the operators' HTTP interface against the stand-in store."""

from __future__ import annotations

import json
from contextlib import suppress
from dataclasses import dataclass, replace

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from starlette.applications import Starlette

from foxtailwell.adapters.documents import encode_document
from foxtailwell.adapters.http_client import open_http_client
from foxtailwell.adapters.metrics import QueueLength
from foxtailwell.adapters.store import new_write_id
from foxtailwell.core import (
    Change,
    Configuration,
    InstanceRecord,
    MarkInstanceLeaving,
    ReturnInstance,
    SetSurviveZoneLoss,
    TakeZoneOut,
    WorkClass,
)
from foxtailwell.core.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreConflictError,
    StoreUnavailableError,
    UnavailableError,
    ValidationError,
)
from foxtailwell.entry._change_bodies import read_change
from foxtailwell.entry._change_writer import read_audit, read_configuration, write_change
from foxtailwell.entry._operators_api import operator_routes
from foxtailwell.entry._request_outcomes import RequestOutcomes
from foxtailwell.fleet import FleetView
from foxtailwell_standins.store import StoreFailures

pytestmark = pytest.mark.anyio
BRINE = WorkClass("brine", "request", 100, 0, idempotent=True)
WORKER = InstanceRecord("w-1", "worker", "hengelo-a", "", accelerators=8)


def accept_guarantees(_configuration, _instances):
    return ()


@dataclass
class Operators:
    """Client of the operators' interface."""

    http: object

    async def get(self, path):
        """Send a GET request and return the status and the decoded body."""
        reply = await self.http.request("GET", path)
        return reply.status, json.loads(reply.body)

    async def change(self, revision, operation, subject="", value=None, actor="ann"):
        """Send a change and return the status and the decoded body."""
        body = {
            "expected_revision": revision,
            "actor": actor,
            "operation": operation,
            "subject": subject,
            "value": value,
        }
        path = "/v1/config/changes"
        reply = await self.http.request("POST", path, body=json.dumps(body).encode(), timeout_s=10)
        return reply.status, json.loads(reply.body)


@pytest.fixture
async def operators(serving, store):
    view = FleetView(instances={"w-1": WORKER}, own_id="i-1/entry")
    outcomes = RequestOutcomes(limit=2)
    for number, elapsed_s in enumerate((0.2, 0.05, 0.2)):
        outcomes.record(f"r-{number}", "acme", BRINE, elapsed_s, "answer")
    routes = operator_routes(
        store,
        view,
        check_guarantees=accept_guarantees,
        queue=lambda: [QueueLength("brine", "acme", 4)],
        outcomes=outcomes,
    )
    async with serving(Starlette(routes=routes)) as url, open_http_client(url) as http:
        yield Operators(http)


async def test_concurrent_changes_get_a_conflict_with_the_current_revision(operators, store):
    """Guards against two operators who both get the response that their change is in force."""
    replies = []

    async def run(actor):
        replies.append(await operators.change(0, "zone.out", "hengelo-a", actor=actor))

    async with anyio.create_task_group() as group:
        for number in range(8):
            group.start_soon(run, f"operator-{number}")
    assert sorted(status for status, _ in replies) == [200] + [409] * 7
    conflicts = [body for status, body in replies if status == 409]
    assert {body["code"] for body in conflicts} == {"revision_conflict"}
    assert {body["current_revision"] for body in conflicts} == {1}
    assert all("read revision 1" in body["remedy"] for body in conflicts)
    _, configuration = await read_configuration(store)
    winner = next(body for status, body in replies if status == 200)
    assert [c.actor for c in configuration.changes] == [winner["change"]["actor"]]


async def test_lost_store_response_is_read_back(operators, store, store_state):
    """Guards against a stored change that is reported as failed or made twice."""
    store_state.failures = StoreFailures(lose_responses=1)
    status, body = await operators.change(0, "zone.out", "hengelo-a", {"reason": "flood"})
    assert (status, body["revision"]) == (200, 1)
    _, configuration = await read_configuration(store)
    assert len(configuration.changes) == 1
    assert configuration.zones_out["hengelo-a"].reason == "flood"


class FlakyStore:
    """Store client whose first write gets no response, after it took effect or without effect."""

    def __init__(self, store, *, takes_effect, afterwards=None):
        self._store = store
        self._takes_effect = takes_effect
        self._afterwards = afterwards

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def compare_and_swap(self, key, expected_version, value, write_id):
        """Lose the response of the first write, and pass on the others."""
        if self._takes_effect is None:
            return await self._store.compare_and_swap(key, expected_version, value, write_id)
        if self._takes_effect:
            await self._store.compare_and_swap(key, expected_version, value, write_id)
        self._takes_effect = None
        if self._afterwards:
            await self._afterwards()
        raise StoreUnavailableError("response lost", "read back")


async def apply(store, operation, revision, instances=(WORKER,)):
    return await write_change(
        store, Change(revision, "ann", operation), instances, accept_guarantees
    )


@pytest.mark.parametrize("takes_effect", [True, False])
async def test_lost_response_is_resolved_when_another_change_follows(store, takes_effect):
    """Guards against a stored change reported as a conflict, and a conflict reported as stored."""

    async def apply_other_change():
        await apply(store, SetSurviveZoneLoss(True), int(takes_effect))

    flaky = FlakyStore(store, takes_effect=takes_effect, afterwards=apply_other_change)
    if takes_effect:
        assert (await apply(flaky, TakeZoneOut("hengelo-a"), 0)).revision == 1
    else:
        with pytest.raises(ConflictError, match="another change came first"):
            await apply(flaky, TakeZoneOut("hengelo-a"), 0)
    _, configuration = await read_configuration(store)
    assert ("hengelo-a" in configuration.zones_out) == takes_effect


async def test_write_that_was_lost_before_the_store_is_retried(store):
    """Guards against a change that fails because a single write was lost."""
    flaky = FlakyStore(store, takes_effect=False)
    assert (await apply(flaky, TakeZoneOut("hengelo-a"), 0)).revision == 1
    assert (await store.get("config")).version == 1


async def test_change_that_cannot_be_read_back_has_an_unknown_outcome(store, store_state):
    """Guards against the message "nothing was changed" when the change may be stored."""

    async def start_outage():
        store_state.failures = StoreFailures(outage=True)

    flaky = FlakyStore(store, takes_effect=True, afterwards=start_outage)
    with pytest.raises(OutcomeUnknownError):
        await apply(flaky, TakeZoneOut("hengelo-a"), 0)
    with pytest.raises(UnavailableError, match="nothing was changed"):
        await apply(store, TakeZoneOut("hengelo-a"), 0)


async def test_audit_trail_is_complete_over_many_changes(store):
    """Guards against changes that are lost when they are moved to an audit document."""
    for revision in range(0, 350, 2):
        await apply(store, MarkInstanceLeaving("w-1"), revision)
        await apply(store, ReturnInstance("w-1"), revision + 1)
    _, configuration = await read_configuration(store)
    assert configuration.revision == 350
    assert len(configuration.changes) <= 200
    found = await read_audit(store, None, 400)
    assert [c.revision for c in found] == list(range(350, 0, -1))
    assert [c.revision for c in await read_audit(store, 120, 30)] == list(range(119, 89, -1))


async def test_audit_document_is_written_before_the_configuration_drops_its_changes(store):
    """Guards against the loss of 100 changes when the entry is killed between the two writes."""
    for revision in range(0, 200, 2):
        await apply(store, MarkInstanceLeaving("w-1"), revision)
        await apply(store, ReturnInstance("w-1"), revision + 1)

    class ConfigurationConflictStore(FlakyStore):
        async def compare_and_swap(self, key, expected_version, value, write_id):
            if key == "config":
                raise StoreConflictError(key, expected_version, expected_version)
            return await self._store.compare_and_swap(key, expected_version, value, write_id)

    with pytest.raises(ConflictError):
        await apply(
            ConfigurationConflictStore(store, takes_effect=None), MarkInstanceLeaving("w-1"), 200
        )
    assert (await store.get("audit/00")) is not None
    assert len(await read_audit(store, None, 400)) == 200
    await apply(store, MarkInstanceLeaving("w-1"), 200)
    assert [c.revision for c in await read_audit(store, None, 400)] == list(range(201, 0, -1))


async def test_status_configuration_and_metrics_show_the_fleet(operators, store_state):
    """Guards against missing status and metrics, also while the store is down."""
    value = {"kind": "request", "target_ms": 100, "patience_ms": 0, "idempotent": True}
    await operators.change(0, "class.set", "brine", value)
    status, body = await operators.get("/v1/status")
    assert status == 200
    assert body["instances"] == [{"role": "worker", "state": "live", "count": 1}]
    assert body["zones"][0]["accelerators"] == 8
    assert body["targets"] == [{"class": "brine", "met": 1, "missed": 2}]
    assert body["queue"] == [{"work_class": "brine", "account": "acme", "waiting_count": 4}]
    reply = await operators.http.request("GET", "/metrics")
    text = reply.body.decode()
    assert 'foxtailwell_targets_total{class="brine",result="met"} 1' in text
    assert 'foxtailwell_queue_length{account="acme",class="brine"} 4' in text
    for name in ("store_calls_total", "process_cpu_seconds_total", "process_resident_bytes"):
        assert f"foxtailwell_{name} " in text
    assert 'foxtailwell_sent_bytes_total{to="peers"} 0' in text
    status, body = await operators.get("/v1/config")
    assert (body["source"], body["revision"], body["revision_in_force"]) == ("store", 1, 0)
    store_state.failures = StoreFailures(outage=True)
    status, body = await operators.get("/v1/config")
    assert (status, body["source"], body["revision"]) == (200, "daemon", 0)
    status, body = await operators.change(1, "class.delete", "brine")
    assert (status, body["code"]) == (503, "unavailable")


async def test_request_is_explained_while_its_record_is_kept(operators):
    """Guards against an explanation of another request, and against unbounded memory."""
    status, body = await operators.get("/v1/requests/r-1/explain")
    assert (status, body["outcome"], body["target_met"]) == (200, "answer", True)
    status, body = await operators.get("/v1/requests/r-0/explain")
    assert (status, body["code"]) == (404, "unknown_request")


async def test_configuration_of_a_newer_release_is_not_overwritten(operators, store):
    """Guards against an older release that overwrites fields it does not know."""
    text = encode_document(replace(Configuration(revision=3), schema_version=99))
    await store.compare_and_swap("config", 0, text, new_write_id())
    status, body = await operators.change(3, "survive_zone_loss.set", value=True)
    assert (status, body["code"]) == (503, "unsupported_schema")
    assert (await store.get("config")).value == text


@pytest.mark.parametrize(
    ("operation", "value", "path"),
    [
        ("class.set", None, "$.value"),
        ("class.set", {"kind": "batch"}, "$.value.kind"),
        ("account.set", {"guarantees": [{"count": 1}]}, "$.value.guarantees[0].accelerators"),
        ("guarantees.set", {}, "$.value"),
        ("zone.back", {}, "$.value"),
        ("survive_zone_loss.set", "yes", "$.value"),
        ("zone.gone", None, "$.operation"),
    ],
)
async def test_invalid_change_names_the_field(operators, operation, value, path):
    """Guards against an error that does not say which field is invalid."""
    status, body = await operators.change(0, operation, "a", value)
    assert (status, body["code"]) == (422, "invalid")
    assert path in [issue["path"] for issue in body["issues"]]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


@given(
    operation=st.sampled_from(
        ["class.set", "account.set", "guarantees.set", "zone.out", "instance.leave", "zone.back"]
    ),
    subject=JSON,
    value=JSON,
)
def test_any_change_body_is_decoded_or_refused(operation, subject, value):
    """Guards against an exception other than ValidationError for an operator's body."""
    body = {
        "expected_revision": 0,
        "actor": "ann",
        "operation": operation,
        "subject": subject,
        "value": value,
    }
    with suppress(ValidationError):
        assert read_change(json.dumps(body).encode()).expected_revision == 0
