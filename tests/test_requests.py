"""Requests through real entries and minions, with their failures."""

from __future__ import annotations

import anyio
import pytest

from foxtailwell_standins.store import make_store_app
from request_fleet import Fleet, entry_process, make_settings, open_caller, outcome, send

pytestmark = pytest.mark.anyio


@pytest.fixture
async def fleet(store_state, serving):
    """A store and an empty fleet."""
    async with serving(make_store_app(store_state)) as url, anyio.create_task_group() as group:
        yield Fleet(group, url)
        group.cancel_scope.cancel()


async def test_request_through_an_entry_process(fleet, tmp_path):
    """Guards against a daemon that only works inside the test process."""
    await fleet.add_minion("m1")
    settings = make_settings("e1", fleet.store_url)
    async with (
        entry_process(tmp_path, settings, list(fleet.records.values())) as (_, ports),
        open_caller(ports.callers) as http,
    ):
        reply = await send(http, body=b"level?")
        assert (reply.status, reply.body, outcome(reply)) == (200, b"level?", "answer")
        assert (await http.request("GET", "/readyz")).status == 200
