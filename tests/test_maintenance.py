"""Maintenance waves: time limit, limit of machines down at once, and no repeated maintenance."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from controller_harness import LATER, make_deployment, step, until
from foxtailwell.controller import MaintenanceAccess
from foxtailwell.controller._maintenance import FIRST_COMMAND_DELAY_S
from foxtailwell.platform import messages
from foxtailwell.platform.machines import open_machines
from foxtailwell.workflows import MachineCallError, MachineState, MaintenanceOutcome, TaskId
from foxtailwell_standins.platform_machines import MemoryMachines

pytestmark = pytest.mark.anyio


def maintained_deployment(group, count, **fields):
    """Return a deployment with machines that support maintenance; `fields` go to the stand-in."""
    deployment = make_deployment(group, count)
    machines = MemoryMachines(deployment.workers, **fields)
    deployment.maintenance = MaintenanceAccess(
        machines,
        machines.down_s,
        messages.WAVES_PREFIX,
        messages.WAVE_STATUS_PREFIX,
        messages.decode_wave,
        messages.encode_wave_status,
    )
    return deployment, machines


def request_wave(deployment, machines, *, within_s=2.0, max_count=1):
    """Write wave 3 to the store as an operator does."""
    wave = {"wave": 3, "machines": machines, "within_s": within_s, "max_count": max_count}
    deployment.store.write("op/wave/3", msgspec.json.encode(wave))


def state_of(deployment):
    """Return the published state of wave 3; empty if there is none."""
    item = deployment.store.items.get("status/wave/3")
    return msgspec.json.decode(item.value)["state"] if item else ""


async def test_wave_takes_machines_down_one_by_one_after_their_work_has_moved(group):
    """Guards against too many machines down at once, and against runs ended by maintenance."""
    deployment, machines = maintained_deployment(group, 4)
    deployment.start("one")
    job = await deployment.submit(1, LATER, [step(3, is_checkpointing=True)])
    assert await until(lambda: sum(len(w.running) for w in deployment.workers.values()) == 3)
    request_wave(deployment, ["m-w0", "m-w1", "m-gone"])
    assert await until(lambda: state_of(deployment) == "running")
    assert await until(lambda: state_of(deployment) == "completed", FIRST_COMMAND_DELAY_S + 8.0)
    assert sorted(name for name, _, _ in machines.log) == ["m-w0", "m-w1"]
    assert machines.max_down_count == 1
    assert [ended for _, _, ended in machines.log] == [0, 0]
    assert await until(lambda: sum(len(w.running) for w in deployment.workers.values()) == 3)
    assert all(deployment.runs(str(TaskId(job, 0, 0, index))) for index in range(3))


async def test_machine_that_one_listing_lacks_has_its_maintenance(group):
    """Guards against a completed wave without the maintenance of a machine that is there."""
    deployment, machines = maintained_deployment(group, 3)
    deployment.start("one")
    machines.omissions = {"m-w1": 1}
    request_wave(deployment, ["m-w0", "m-w1"])
    assert await until(lambda: state_of(deployment) == "completed", FIRST_COMMAND_DELAY_S + 6.0)
    assert sorted(name for name, _, _ in machines.log) == ["m-w0", "m-w1"]


async def test_command_without_response_is_retried_without_further_effect(group):
    """Guards against a wave that never completes, and against maintaining a machine twice."""
    deployment, machines = maintained_deployment(group, 2, lost_responses=1)
    deployment.start("one")
    request_wave(deployment, ["m-w0"])
    assert await until(lambda: state_of(deployment) == "completed", FIRST_COMMAND_DELAY_S + 5.0)
    assert len(machines.log) == 1


async def test_new_controller_delays_its_first_command_and_resumes_the_wave(group):
    """Guards against two controllers that alternate commands, and a wave that starts over."""
    deployment, machines = maintained_deployment(group, 3)
    first = deployment.start("one")
    request_wave(deployment, ["m-w0", "m-w1"], within_s=30.0)
    assert await until(lambda: len(machines.log) == 1, FIRST_COMMAND_DELAY_S + 3.0)
    assert await until(lambda: "foxtailwell/wave/3" in deployment.store.items, 2.0)
    first.kill()
    killed_s = anyio.current_time()
    deployment.start("two")
    assert await until(lambda: len(machines.log) == 2, FIRST_COMMAND_DELAY_S + 5.0)
    assert anyio.current_time() - killed_s >= FIRST_COMMAND_DELAY_S
    assert await until(lambda: state_of(deployment) == "completed", 3.0)
    assert len(machines.log) == 2


async def test_wave_that_is_withdrawn_while_the_history_is_lost_blocks_no_worker(group):
    """Guards against workers that stay empty for a wave whose deletion no watch reports."""
    deployment, _ = maintained_deployment(group, 1)
    deployment.start("one")
    await deployment.start_one_task()
    request_wave(deployment, ["m-w0"], within_s=60.0)
    assert await until(lambda: state_of(deployment) == "running")
    deployment.store.delete("op/wave/3")
    deployment.store.drop_history()
    job = await deployment.submit(2, LATER, [step()])
    assert await until(lambda: bool(deployment.runs(f"{job}.0.0.0")), 2.0)


async def test_machine_that_rejects_its_maintenance_does_not_block_the_wave(group):
    """Guards against a wave that waits for one machine while the others could go on."""
    deployment, machines = maintained_deployment(group, 2, busy=frozenset({"m-w0"}))
    deployment.start("one")
    request_wave(deployment, ["m-w0", "m-w1"])
    assert await until(lambda: bool(machines.log), FIRST_COMMAND_DELAY_S + 3.0)


async def test_machine_that_rejects_its_maintenance_runs_tasks_until_its_next_turn(group):
    """Guards against a worker that stays empty, and a machine that is never asked again."""
    deployment, machines = maintained_deployment(group, 1, busy=frozenset({"m-w0"}))
    deployment.start("one")
    deployment.workers["w0"].task_duration_s = 0.3
    request_wave(deployment, ["m-w0"], within_s=60.0)
    assert await until(lambda: state_of(deployment) == "running")
    job = await deployment.submit(2, LATER, [step()])
    task = f"{job}.0.0.0"
    assert not await until(lambda: bool(deployment.runs(task)), 1.0)
    assert await until(lambda: bool(deployment.runs(task)), FIRST_COMMAND_DELAY_S + 1.0)
    machines.busy = frozenset()
    assert await until(lambda: state_of(deployment) == "completed", 5.0)


@pytest.mark.parametrize("is_first_unanswered", [False, True])
async def test_rejecting_machine_keeps_its_turn_while_a_command_may_take_effect(
    group, monkeypatch, is_first_unanswered
):
    """Guards against a late command that takes down a machine beside the next one of its wave."""
    deployment, machines = maintained_deployment(group, 2, busy=frozenset({"m-w0"}))
    commands = []
    begin = MemoryMachines.begin_maintenance

    async def begin_maintenance(calls, machine, wave, token):
        commands.append((machine, anyio.current_time()))
        if is_first_unanswered and len(commands) == 1:
            raise MachineCallError("no response")
        return await begin(calls, machine, wave, token)

    monkeypatch.setattr(MemoryMachines, "begin_maintenance", begin_maintenance)
    deployment.start("one")
    request_wave(deployment, ["m-w0", "m-w1"], within_s=60.0)
    assert await until(lambda: bool(machines.log), 2 * FIRST_COMMAND_DELAY_S + 3.0)
    first_s = next(at for machine, at in commands if machine == "m-w0")
    next_s = next(at for machine, at in commands if machine == "m-w1")
    assert (next_s - first_s >= FIRST_COMMAND_DELAY_S) == is_first_unanswered


async def test_machines_are_listed_by_page_and_commands_are_fenced(anyio_server):
    """Guards against an adapter that reads only one page or omits the fencing token."""
    pages = [
        {"machines": [{"machine": "m-1", "state": "up", "id": "i-1"}], "next_token": "t/2"},
        {"machines": [{"machine": "m-2", "state": "upkeep", "id": "i-2"}], "next_token": None},
        {"reason": "busy"},
        {},
        {"reason": "odd"},
    ]
    statuses = [200, 200, 409, 400, 409]
    requests = []

    async def handle(stream):
        async with stream:
            while len(requests) < len(pages):
                requests.append(await stream.receive())
                number = len(requests) - 1
                body = msgspec.json.encode(pages[number])
                head = f"HTTP/1.1 {statuses[number]} X\r\nContent-Length: {len(body)}\r\n\r\n"
                await stream.send(head.encode() + body)

    async with anyio.create_task_group() as group:
        calls = open_machines(await anyio_server(group, handle), "one")
        listed = await calls.list_machines()
        assert [(m.name, m.state, m.worker) for m in listed] == [
            ("m-1", MachineState.UP, "i-1"),
            ("m-2", MachineState.MAINTENANCE, "i-2"),
        ]
        assert await calls.begin_maintenance("m-1", 3, 7) is MaintenanceOutcome.BUSY
        assert await calls.begin_maintenance("m-9", 3, 7) is MaintenanceOutcome.ABSENT
        with pytest.raises(MachineCallError):
            await calls.begin_maintenance("m-1", 3, 7)
        group.cancel_scope.cancel()
    assert b"page_token=t%2F2" in requests[1]
    assert b"X-Fencing-Token: 7" in requests[2]
    assert b"X-Duty-Holder: one" in requests[2]


def test_malformed_wave_is_rejected():
    """Guards against a malformed value under the operators' keys that crashes the process."""
    assert messages.decode_wave(b"{}") is None
    assert messages.decode_wave(b"\xff") is None
