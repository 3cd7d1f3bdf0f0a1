"""The command `foxtailwell-admin`: exit codes, output and help."""

from __future__ import annotations

import json
from pathlib import Path

import anyio
import cappa
import pytest
from starlette.applications import Starlette
from starlette.routing import Route

from foxtailwell.adapters.http_server import json_response
from foxtailwell.adapters.listeners import serve_connections
from foxtailwell.adapters.settings import Settings, load_settings
from foxtailwell.cli.admin import Admin
from foxtailwell.core import InstanceRecord
from foxtailwell.entry import operator_routes
from foxtailwell.entry._request_outcomes import RequestOutcomes
from foxtailwell.fleet import FleetView

ROOT = Path(__file__).parent.parent
UNREACHABLE_URL = "http://127.0.0.1:9"
CLASS_OPTIONS = ("--kind", "request", "--target-ms", "300", "--idempotent")


def invoke(*arguments):
    """Run the command in this process and return its exit code."""
    try:
        return cappa.invoke(Admin, argv=list(arguments)) or 0
    except cappa.Exit as error:
        print(error.message)
        return error.code


@pytest.fixture
async def admin(serving, store, capsys):
    """Return a function that runs the command against an entry's interface."""
    worker = InstanceRecord("w-1", "worker", "hengelo-a", "", accelerators=8)
    view = FleetView(instances={"w-1": worker}, own_id="i-1/entry")
    app = Starlette(routes=operator_routes(store, view, outcomes=RequestOutcomes()))
    async with serving(app) as url:

        async def run(*arguments, address=url):
            command = (*arguments, "--url", address, "--json")
            code = await anyio.to_thread.run_sync(lambda: invoke(*command))
            output = capsys.readouterr().out
            return code, json.loads(output) if output.startswith(("{", "[")) else output

        yield run


@pytest.mark.anyio
async def test_class_is_created_partially_changed_and_deleted(admin):
    """Guards against a change of one value that resets the other values of the class."""
    code, reply = await admin("class", "set", "brine", *CLASS_OPTIONS, "--actor", "ann")
    assert (code, reply["revision"], reply["change"]["actor"]) == (0, 1, "ann")
    assert (await admin("class", "set", "brine", "--target-ms", "200"))[0] == 0
    _, reply = await admin("class", "list")
    assert reply["classes"] == [
        {
            "name": "brine",
            "kind": "request",
            "target_ms": 200,
            "patience_ms": 0,
            "idempotent": True,
        }
    ]
    assert (await admin("class", "delete", "brine"))[0] == 0
    code, message = await admin("class", "set", "other", "--target-ms", "5")
    assert (code, "--kind" in message) == (2, True)
    _, changes = await admin("audit")
    assert [c["operation"] for c in changes] == ["class.delete", "class.set", "class.set"]


@pytest.mark.anyio
async def test_account_zone_and_instance_commands_change_the_configuration(admin):
    """Guards against a command that sends the wrong operation."""
    assert (await admin("account", "set", "cavern", "--guarantee", "4x2", "--quota", "8"))[0] == 0
    assert (await admin("zone", "out", "hengelo-a", "--reason", "flood"))[0] == 0
    assert (await admin("instance", "leave", "w-1"))[0] == 0
    assert (await admin("survive-zone-loss", "off"))[0] == 0
    configuration = (await admin("config", "show"))[1]["configuration"]
    assert configuration["accounts"]["cavern"]["guarantees"] == [{"accelerators": 4, "count": 2}]
    assert configuration["zones_out"]["hengelo-a"]["reason"] == "flood"
    assert configuration["leaving_instances"] == ["w-1"]
    assert (await admin("account", "set", "cavern", "--no-guarantees"))[0] == 0
    assert (await admin("zone", "back", "hengelo-a"))[0] == 0
    assert (await admin("instance", "back", "w-1"))[0] == 0
    configuration = (await admin("config", "show"))[1]["configuration"]
    assert (configuration["zones_out"], configuration["leaving_instances"]) == ({}, [])
    assert configuration["accounts"]["cavern"]["quota_accelerators"] == 8


@pytest.mark.anyio
async def test_guarantee_that_does_not_fit_is_refused_with_the_reason(admin):
    """Guards against a guarantee that exceeds the capacity of the workers."""
    code, message = await admin("account", "set", "cavern", "--guarantee", "16")
    assert code == 2
    assert "16" in message
    assert (await admin("account", "set", "cavern", "--guarantee", "8 by 2"))[0] == 2


@pytest.mark.anyio
async def test_exit_codes_distinguish_failures(admin, store_state):
    """Guards against scripts that cannot tell a conflict from an outage or a wrong argument."""
    assert (await admin("zone", "out", "nowhere"))[0] == 2
    assert (await admin("zone", "out", "hengelo-a", "--revision", "7"))[0] == 3
    assert (await admin("status", address=UNREACHABLE_URL))[0] == 4
    assert (await admin("zone", "back", "x", "--revision", "0", address=UNREACHABLE_URL))[0] == 4
    assert (await admin("explain", "request", "absent"))[0] == 1
    store_state.failures = type(store_state.failures)(outage=True)
    assert (await admin("zone", "out", "hengelo-a"))[0] == 4


@pytest.mark.anyio
async def test_lost_response_to_a_change_is_reported_as_unknown(admin):
    """Guards against the exit code for "unavailable" for a change that may be stored."""

    async def drop(stream):
        async with stream:
            await stream.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    async with anyio.create_task_group() as group:
        group.start_soon(serve_connections, listener, drop)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = f"http://127.0.0.1:{port}"
        code, message = await admin("zone", "back", "x", "--revision", "0", address=address)
        group.cancel_scope.cancel()
    assert (code, "audit" in message) == (5, True)


@pytest.mark.anyio
async def test_views_print_tables(admin, serving, capsys):
    """Guards against tables that fail on actual data or interpret text in brackets as markup."""
    fragmentation = {
        "fragmentation": 0.25,
        "zones": [{"zone": "[red]a", "free_accelerators": 8, "largest_gang": 6}],
    }
    explanation = {"id": "j-1", "state": "waiting", "waits_for": {"code": "no_capacity"}}
    routes = [
        Route("/v1/fragmentation", lambda _: json_response(fragmentation)),
        Route("/v1/jobs/j-1/explain", lambda _: json_response(explanation)),
    ]
    async with serving(Starlette(routes=routes)) as url:
        for command, text in ((("fragmentation",), "[red]a"), (("explain", "job", "j-1"), "no_c")):
            arguments = (*command, "--scheduler-url", url)
            assert await anyio.to_thread.run_sync(lambda a=arguments: invoke(*a)) == 0
            assert text in capsys.readouterr().out
    assert (await admin("status"))[1]["zones"][0]["zone"] == "hengelo-a"
    assert await admin("queue") == (0, [])
    assert await admin("targets") == (0, [])


def commands(command, path=()):
    """Return the paths of all commands without further subcommands."""
    for argument in command.arguments:
        if isinstance(argument, cappa.Subcommand):
            for name, inner in argument.options.items():
                yield from commands(inner, (*path, name))
            return
    yield path


@pytest.mark.parametrize("path", list(commands(cappa.collect(Admin))))
def test_help_of_each_command_has_an_example(path, capsys):
    """Guards against a command without an example of its use."""
    with pytest.raises(cappa.Exit):
        cappa.invoke(Admin, argv=[*path, "--help"])
    output = " ".join(capsys.readouterr().out.split())
    assert f"foxtailwell-admin {' '.join(path)}" in output.partition("Example")[2]


def test_settings_check_reports_every_invalid_value(tmp_path, capsys):
    """Guards against an invalid file that is detected only when the daemon starts."""
    file = tmp_path / "s.jsonc"
    file.write_text('{"instance": "a b", "extra": 1}')
    assert invoke("settings", "check", str(file), "--json") == 2
    issues = json.loads(capsys.readouterr().out)["issues"]
    assert "$.extra" in [issue["path"] for issue in issues]
    assert invoke("settings", "check", str(file)) == 2


@pytest.mark.parametrize("file", sorted((ROOT / "examples").glob("*.jsonc")), ids=lambda p: p.name)
def test_example_settings_are_valid_and_documented(file, capsys):
    """Guards against examples that are no longer valid and settings that are not documented."""
    assert invoke("settings", "check", str(file)) == 0
    assert load_settings(str(file)).callers is not None
    page = (ROOT / "docs/settings.md").read_text()
    assert f"examples/{file.name}" in page
    for name in Settings.__dataclass_fields__:
        assert f"`{name}" in page


def test_help_tells_what_a_patience_of_0_means(capsys):
    """Guards against a class without a limit in the help that the entry limits to the target."""
    with pytest.raises(cappa.Exit):
        cappa.invoke(Admin, argv=["class", "set", "--help"])
    assert "0 for the target" in " ".join(capsys.readouterr().out.split())
