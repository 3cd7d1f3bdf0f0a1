"""The command `foxtailwell`: exit codes and output."""

from __future__ import annotations

import json

import cappa
import pytest

from foxtailwell.cli import caller
from foxtailwell.cli._exit_codes import exit_code_of_status

UNREACHABLE_URL = "http://127.0.0.1:9"


def _run(*arguments: str) -> int:
    return cappa.invoke(caller.Caller, argv=list(arguments))


def test_unreachable_daemon_has_its_own_exit_code(capsys):
    """Guards against scripts that mistake an outage for a refusal."""
    with pytest.raises(cappa.Exit) as caught:
        _run("list", "--url", UNREACHABLE_URL)
    assert caught.value.code == 4
    assert "remedy" in str(caught.value.message)


def test_cancel_needs_identifiers_or_an_account():
    """Guards against an empty command line that cancels all jobs."""
    with pytest.raises(cappa.Exit) as caught:
        _run("cancel", "--url", UNREACHABLE_URL)
    assert caught.value.code == 2


def test_unreadable_job_file_is_a_usage_error(tmp_path):
    """Guards against a traceback instead of a message that names the file."""
    path = tmp_path / "jobs.jsonc"
    path.write_text('{"account": 1, "account": 2}')
    with pytest.raises(cappa.Exit) as caught:
        _run("submit", "--url", UNREACHABLE_URL, "--file", str(path))
    assert (caught.value.code, str(path) in str(caught.value.message)) == (2, True)


@pytest.mark.parametrize(
    ("status", "code"), [(201, 0), (207, 1), (409, 3), (422, 2), (503, 4), (500, 1)]
)
def test_exit_code_follows_the_status(status, code):
    """Guards against exit codes that differ from the documented ones."""
    assert exit_code_of_status(status) == code


def test_unknown_outcome_has_its_own_exit_code(capsys):
    """Guards against a script that submits a job again although it may have been accepted."""
    value = {"jobs": [{"id": "j", "outcome": "outcome_unknown", "state": "", "message": ""}]}
    assert caller._print_outcomes("t", 503, value, True) == 5
    assert json.loads(capsys.readouterr().out) == value
