"""Queues whose steps run only on workers that the advisor allows."""

from __future__ import annotations

from dataclasses import replace

import anyio
import msgspec
import pytest

from controller_harness import LATER, job_id, make_deployment, step, until
from foxtailwell.platform import messages
from foxtailwell.platform.advisor import open_advisor
from foxtailwell.workflows import AdviceCallError, AdviceRules, JobState, Resources
from foxtailwell_standins.platform_worker import MemoryAdvisor

pytestmark = pytest.mark.anyio

ADVISED = replace(LATER, name="advised", advice=AdviceRules(valid_s=3.0))


def advised_deployment(group, allowed, *, valid_s=3.0, **fields):
    """Return a deployment in which the advised queue may run only on the `allowed` workers."""
    deployment = make_deployment(group, 4, task_duration_s=0.05)
    queue = replace(ADVISED, advice=AdviceRules(valid_s))
    deployment.queues = (*deployment.queues, queue)
    tickets = {worker: f"ticket-{worker}" for worker in allowed}
    deployment.advisor = MemoryAdvisor(tickets, **fields)
    for worker in deployment.workers.values():
        worker.ticket = f"ticket-{worker.id}"
    return deployment


async def test_step_runs_only_where_the_advisor_allows_it(group):
    """Guards against starts without a ticket, which workers always reject."""
    deployment = advised_deployment(group, {"w2"})
    deployment.start("one")
    job = await deployment.submit(1, ADVISED, [step(2, after=()), step(1, after=(0,))])
    assert await deployment.reaches(job, JobState.COMPLETED)
    assert {name for name, w in deployment.workers.items() if w.log} == {"w2"}
    assert {asked for asked, _ in deployment.advisor.calls} == {f"{job}.0.0", f"{job}.0.1"}


async def test_refused_advice_call_is_retried(group):
    """Guards against a step that waits forever after the advisor refused a call."""
    deployment = advised_deployment(group, {"w1"}, refusals=2)
    deployment.start("one")
    job = await deployment.submit(1, ADVISED, [step()])
    assert await deployment.reaches(job, JobState.COMPLETED)


async def test_steps_that_cannot_be_placed_do_not_take_all_calls(group):
    """Guards against a step that never gets a ticket because others renew theirs in vain."""
    deployment = advised_deployment(group, {"w1"}, valid_s=1.2, decision_s=0.3)
    deployment.start("one")
    too_large = Resources(500_000, 1, 1)
    for number in range(4):
        await deployment.submit(number, ADVISED, [step(request=too_large)])
    assert await until(lambda: bool(deployment.advisor.calls))
    job = await deployment.submit(4, ADVISED, [step()])
    assert await deployment.reaches(job, JobState.COMPLETED, 5.0)


async def test_failing_calls_for_one_step_do_not_delay_the_others(group):
    """Guards against steps that wait forever behind one that the advisor cannot handle."""
    deployment = advised_deployment(group, {"w1"}, failing_steps=frozenset({f"{job_id(1)}.0.0"}))
    deployment.start("one")
    await deployment.submit(1, ADVISED, [step()])
    assert await until(lambda: bool(deployment.advisor.calls))
    job = await deployment.submit(2, ADVISED, [step()])
    assert await deployment.reaches(job, JobState.COMPLETED)


async def test_ticket_that_its_worker_rejects_is_replaced(group):
    """Guards against a rejected ticket that is sent to its worker again and again."""
    deployment = advised_deployment(group, {"w1"})
    deployment.workers["w1"].ticket = "ticket-of-another-life"
    deployment.start("one")
    job = await deployment.submit(1, ADVISED, [step()])
    assert await until(lambda: len(deployment.advisor.calls) > 2)
    deployment.workers["w1"].ticket = "ticket-w1"
    assert await deployment.reaches(job, JobState.COMPLETED)


async def test_disallowed_workers_are_requested_once(group):
    """Guards against repeated calls about workers that the advisor did not allow."""
    deployment = advised_deployment(group, set())
    deployment.start("one")
    await deployment.submit(1, ADVISED, [step()])
    assert await until(lambda: bool(deployment.advisor.calls))
    await anyio.sleep(0.6)
    asked = [worker for _, workers in deployment.advisor.calls for worker in workers]
    assert sorted(asked) == ["w0", "w1", "w2", "w3"]


async def test_advisor_client_decodes_tickets_and_reports_refusals(anyio_server):
    """Guards against a refusal that counts as advice, and an odd row that hides the others."""
    body = msgspec.json.encode({"allowed": [["i-2", 7], ["i-1", "t"], None], "valid_for_ms": 300})
    answers = [
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
        b"HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\n{}",
    ]

    async def handle(stream):
        async with stream:
            for answer in list(answers):
                await stream.receive()
                await stream.send(answer)

    async with anyio.create_task_group() as group:
        advisor = open_advisor(await anyio_server(group, handle))
        assert await advisor.advise("a.0.0", ["i-1", "i-2"]) == {"i-1": "t"}
        with pytest.raises(AdviceCallError):
            await advisor.advise("a.0.0", ["i-2"])
        group.cancel_scope.cancel()


def test_queue_with_advice_is_read_from_the_configuration():
    """Guards against placing a queue's steps without the advice that its route requires."""
    route = {"name": "q", "host": "h", "prefix": "/", "service": "s"}
    advice = {"decision_ms": 50, "period_ms": 10, "valid_for_ms": 3000}
    value = {"version": 1, "routes": [route | {"recommendation": advice}]}
    configuration = messages.decode_configuration(msgspec.json.encode(value))
    assert configuration.queues["q"].advice == AdviceRules(3.0)
